//! Stand-in for the platform's store, as `PROTOCOL.md` describes it.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Json, Request, encode_base64, read_more, take_request};

/// Time for an answer, as the sheets state it.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    /// Base64.
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and event.
    events: Vec<(u64, String, String)>,
    leases: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        let store = Self {
            address: listener.local_addr().expect("bound"),
            state: Arc::default(),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes an item; returns its revision.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.put_encoded(key, encode_base64(value.as_bytes()), 0)
    }

    fn put_encoded(&self, key: &str, value: String, lease: u64) -> u64 {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        state.revision += 1;
        let revision = state.revision;
        let item = Item {
            value,
            revision,
            lease,
        };
        state
            .events
            .push((revision, key.to_owned(), item_json(key, &item)));
        state.items.insert(key.to_owned(), item);
        changed.notify_all();
        revision
    }

    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        if state.items.remove(key).is_none() {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let event = format!(r#"{{"key":"{key}","rev":{revision},"tombstone":true}}"#);
        state.events.push((revision, key.to_owned(), event));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        loop {
            while let Some(request) = take_request(&mut buffer) {
                thread::sleep(ANSWER_TIME);
                let (status, body) = self.answer(&request);
                let answer = format!(
                    "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            if !read_more(&mut stream, &mut buffer) {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        match request.path() {
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-txn" => self.transact(request),
            "/api/kv-lease" => {
                let mut state = self.state.0.lock().expect("store");
                state.leases += 1;
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl = body.get("ttlMs").number();
                (
                    "200 OK",
                    format!(r#"{{"lease":{},"ttlMs":{ttl}}}"#, state.leases),
                )
            }
            path if path.starts_with("/api/kv-keep/") => {
                ("200 OK", r#"{"ttlMs":15000}"#.to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> (&'static str, String) {
        const PAGE: usize = 500;
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let after = request.query("after").unwrap_or_default();
        let state = self.state.0.lock().expect("store");
        let matching: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
            .map(|(key, item)| item_json(key, item))
            .collect();
        let truncated = matching.len() > PAGE;
        let items = matching[..matching.len().min(PAGE)].join(",");
        let revision = state.revision;
        let body =
            format!(r#"{{"items":[{items}],"truncated":{truncated},"storeRevision":{revision}}}"#);
        ("200 OK", body)
    }

    fn watch(&self, request: &Request) -> (&'static str, String) {
        let prefix = request.query("pathPrefix").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let after: u64 = number("after");
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("store");
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                .map(|(_, _, event)| event.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"storeRevision":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).expect("store").0;
        }
    }

    fn transact(&self, request: &Request) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let mut revision = self.state.0.lock().expect("store").revision;
        for item in body.get("setKeys").list() {
            let value = item.get("value").text().to_owned();
            revision = self.put_encoded(item.get("key").text(), value, item.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        ("200 OK", format!(r#"{{"rev":{revision}}}"#))
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","rev":{revision},"createRev":{revision},"lease":{lease}}}"#
    )
}
