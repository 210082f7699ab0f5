//! Stand-in for the platform's key-value store.
//!
//! It speaks the etcd v3 HTTP/JSON mapping. History is never compacted, and
//! only the current revision can be read.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, stream};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, sleep_until};

use crate::error::Result;
use crate::http::{self, Body, Closed, ConnectionGate, Handler, Listener, Reply};
use crate::keyspace::{Change, Keyspace, in_range};
use crate::wire::{
    DeleteRequest, LeaseRequest, PutRequest, RangeRequest, Refusal, TxnRequest, WatchCreate,
    WatchFilter, WatchRequest,
};

/// Fixed settings of a store.
#[derive(Debug, Clone, Default)]
pub struct StoreSettings {
    /// Time that every call takes.
    pub latency: Duration,
}

/// Faults of a store; each applies to every call while it is set.
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// Resets every connection.
    pub down: bool,
    /// Time that every call takes in addition to the configured one.
    pub extra_latency: Duration,
    /// Closes the connection of a write after it took effect.
    pub lose_answers: bool,
    /// Closes the connection of a write at once and applies it this much later.
    pub write_delay: Option<Duration>,
    /// Confirms keepalives without renewing, so that leases lapse at their holders.
    pub ignore_keepalives: bool,
}

/// Calls that a store has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Ranges.
    pub reads: u64,
    /// Puts, deletions, transactions and lease calls.
    pub writes: u64,
    /// Watches that wait now.
    pub open_watches: u64,
    /// Watches opened so far.
    pub watches_opened: u64,
}

const RANGE_PATH: &str = "/v3/kv/range";
const WATCH_PATH: &str = "/v3/watch";
const WRITE_PATHS: [&str; 6] = [
    "/v3/kv/put",
    "/v3/kv/deleterange",
    "/v3/kv/txn",
    "/v3/lease/grant",
    "/v3/lease/keepalive",
    "/v3/lease/revoke",
];

#[derive(Debug)]
struct StoreCore {
    settings: StoreSettings,
    faults: Mutex<StoreFaults>,
    counters: Mutex<StoreCounters>,
    keyspace: Mutex<Keyspace>,
    changed: watch::Sender<()>,
    gate: Arc<ConnectionGate>,
}

/// Aborts the expiry of leases with its store.
#[derive(Debug)]
struct ExpiryTask(JoinHandle<()>);

impl Drop for ExpiryTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Running store; dropping it stops it.
#[derive(Debug)]
pub struct StoreServer {
    core: Arc<StoreCore>,
    listener: Listener,
    _expiry: ExpiryTask,
}

impl StoreServer {
    /// Starts an empty store on a free loopback port.
    pub async fn start(settings: StoreSettings) -> Result<Self> {
        let core = Arc::new(StoreCore {
            settings,
            faults: Mutex::default(),
            counters: Mutex::default(),
            keyspace: Mutex::new(Keyspace::new()),
            changed: watch::channel(()).0,
            gate: ConnectionGate::new(),
        });
        let listener = Listener::start(core.clone(), core.gate.clone()).await?;
        let expiry = ExpiryTask(tokio::spawn(expire_leases(core.clone())));
        Ok(Self {
            core,
            listener,
            _expiry: expiry,
        })
    }

    /// Address of the store.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.core.gate.set_down(faults.down);
        *self.core.faults.lock().unwrap() = faults;
    }

    /// Ends every lease at once and deletes the keys attached to them.
    pub fn expire_leases(&self) {
        self.core.change(Keyspace::lapse_all);
    }

    /// Calls received so far.
    pub fn counters(&self) -> StoreCounters {
        *self.core.counters.lock().unwrap()
    }

    /// Revision of the last change.
    pub fn revision(&self) -> i64 {
        self.core.keyspace.lock().unwrap().revision()
    }

    /// Closes all connections and stops.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl StoreCore {
    /// Runs `action` and wakes watches and lease expiry if it changed anything for them.
    fn change<T>(&self, action: impl FnOnce(&mut Keyspace) -> T) -> T {
        let mut keyspace = self.keyspace.lock().unwrap();
        let before = (keyspace.revision(), keyspace.next_expiry());
        keyspace.expire(Instant::now());
        let result = action(&mut keyspace);
        let after = (keyspace.revision(), keyspace.next_expiry());
        drop(keyspace);
        if after != before {
            self.changed.send_replace(());
        }
        result
    }

    fn count(&self, path: &str) {
        let mut counters = self.counters.lock().unwrap();
        match path {
            RANGE_PATH => counters.reads += 1,
            WATCH_PATH => counters.watches_opened += 1,
            _ => counters.writes += 1,
        }
    }

    /// Runs a call to its end, also when its caller has disconnected.
    async fn execute(self: Arc<Self>, path: String, body: Bytes) -> Reply {
        self.count(&path);
        let faults = self.faults.lock().unwrap().clone();
        sleep(self.settings.latency + faults.extra_latency).await;
        let writes = WRITE_PATHS.contains(&path.as_str());
        if let (true, Some(delay)) = (writes, faults.write_delay) {
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = self.run(&path, &body);
            });
            return Err(Closed);
        }
        let result = match path.as_str() {
            WATCH_PATH => self.clone().watch(&body),
            _ => self
                .run(&path, &body)
                .map(|answer| http::json_response(StatusCode::OK, &answer)),
        };
        if writes && faults.lose_answers {
            return Err(Closed);
        }
        Ok(result.unwrap_or_else(|refusal| refuse(&refusal)))
    }

    fn run(&self, path: &str, body: &[u8]) -> std::result::Result<Value, Refusal> {
        let now = Instant::now();
        match path {
            RANGE_PATH => {
                let request: RangeRequest = parse(body)?;
                self.change(|keyspace| keyspace.range(&request))
            }
            "/v3/kv/put" => {
                let request: PutRequest = parse(body)?;
                self.change(|keyspace| keyspace.put(request))
            }
            "/v3/kv/deleterange" => {
                let request: DeleteRequest = parse(body)?;
                self.change(|keyspace| keyspace.delete(request))
            }
            "/v3/kv/txn" => {
                let request: TxnRequest = parse(body)?;
                self.change(|keyspace| keyspace.txn(request))
            }
            "/v3/lease/grant" => {
                let request: LeaseRequest = parse(body)?;
                self.change(|keyspace| keyspace.grant(request.id.0, request.ttl.0, now))
            }
            "/v3/lease/keepalive" => {
                let request: LeaseRequest = parse(body)?;
                let renew = !self.faults.lock().unwrap().ignore_keepalives;
                let answer = self.change(|keyspace| keyspace.keep_alive(request.id.0, renew, now));
                Ok(json!({"result": answer}))
            }
            "/v3/lease/revoke" => {
                let request: LeaseRequest = parse(body)?;
                self.change(|keyspace| keyspace.revoke(request.id.0))
            }
            _ => Err(Refusal::not_found("Not Found")),
        }
    }

    fn watch(self: Arc<Self>, body: &[u8]) -> std::result::Result<Response<Body>, Refusal> {
        let request: WatchRequest = parse(body)?;
        let mut changed = self.changed.subscribe();
        changed.mark_changed();
        let keyspace = self.keyspace.lock().unwrap();
        let header = keyspace.header();
        let position = match request.create_request.start_revision.0 {
            0 => keyspace.history().len(),
            start => first_at(keyspace.history(), start),
        };
        drop(keyspace);
        let cursor = WatchCursor {
            waiting: WaitingWatch::new(self),
            request: request.create_request,
            position,
            changed,
        };
        let created = json!({"result": {"header": header, "created": true}});
        let first = stream::iter([Ok(line(&created))]);
        let chunks = futures::StreamExt::chain(first, events(cursor));
        Ok(http::stream_response("application/json", chunks))
    }
}

/// Position of the first change at or after `revision`.
fn first_at(history: &[Change], revision: i64) -> usize {
    history.partition_point(|change| change.current.mod_revision.0 < revision)
}

/// Counts a watch while it waits.
struct WaitingWatch(Arc<StoreCore>);

impl WaitingWatch {
    fn new(core: Arc<StoreCore>) -> Self {
        core.counters.lock().unwrap().open_watches += 1;
        Self(core)
    }
}

impl Drop for WaitingWatch {
    fn drop(&mut self) {
        self.0.counters.lock().unwrap().open_watches -= 1;
    }
}

struct WatchCursor {
    waiting: WaitingWatch,
    request: WatchCreate,
    position: usize,
    changed: watch::Receiver<()>,
}

impl WatchCursor {
    /// Next line of the watch, if changes since the last one match.
    fn advance(&mut self) -> Option<Bytes> {
        let keyspace = self.waiting.0.keyspace.lock().unwrap();
        let fresh = &keyspace.history()[self.position..];
        let matching = fresh.iter().filter(|change| wants(&self.request, change));
        let events: Vec<Value> = matching.map(event).collect();
        self.position = keyspace.history().len();
        let answer = json!({"result": {"header": keyspace.header(), "events": events}});
        (!events.is_empty()).then(|| line(&answer))
    }
}

fn events(cursor: WatchCursor) -> impl Stream<Item = std::result::Result<Bytes, Closed>> {
    stream::unfold(cursor, |mut cursor| async move {
        loop {
            cursor.changed.changed().await.ok()?;
            if let Some(line) = cursor.advance() {
                return Some((Ok(line), cursor));
            }
        }
    })
}

fn wants(request: &WatchCreate, change: &Change) -> bool {
    let unwanted = if change.deleted {
        WatchFilter::NoDelete
    } else {
        WatchFilter::NoPut
    };
    change.current.mod_revision >= request.start_revision
        && in_range(&change.current.key, &request.key, &request.range_end)
        && !request.filters.contains(&unwanted)
}

fn event(change: &Change) -> Value {
    if !change.deleted {
        return json!({"kv": change.current});
    }
    let Change { current, .. } = change;
    json!({"type": "DELETE", "kv": {"key": current.key, "mod_revision": current.mod_revision}})
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> std::result::Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::invalid(error.to_string()))
}

fn refuse(refusal: &Refusal) -> Response<Body> {
    let status = match refusal.code {
        5 => StatusCode::NOT_FOUND,
        _ => StatusCode::BAD_REQUEST,
    };
    http::json_response(status, &refusal.to_json())
}

/// Ends leases when they expire, so that watches see it without any call.
async fn expire_leases(core: Arc<StoreCore>) {
    let mut changed = core.changed.subscribe();
    loop {
        let next = core.keyspace.lock().unwrap().next_expiry();
        match next {
            Some(expiry) => tokio::select! {
                _ = sleep_until(expiry) => core.change(|_| {}),
                _ = changed.changed() => {}
            },
            None => {
                let _ = changed.changed().await;
            }
        }
    }
}

impl Handler for StoreCore {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Reply {
        let path = request.uri().path().to_owned();
        let body = http::read_body(request).await?;
        tokio::spawn(self.execute(path, body))
            .await
            .unwrap_or(Err(Closed))
    }
}
