// Stand-in for the platform's metadata store.

const B64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(B64[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct StoreState {
    rev: u64,
    items: BTreeMap<String, Item>,
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    era: u64,
    away: bool,
}

impl StoreState {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.rev += 1;
        let rev = self.rev;
        let created = self.items.get(key).map_or(rev, |item| item.created);
        let item = Item { value, rev, created, lease };
        let json = item_json(key, &item);
        self.items.insert(key.to_owned(), item);
        self.events.push((rev, key.to_owned(), json));
        rev
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let json = format!(r#"{{"key":"{key}","rev":{},"tombstone":true}}"#, self.rev);
            self.events.push((self.rev, key.to_owned(), json));
        }
    }
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, (until, _))| *until < now).map(|(l, _)| *l).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","rev":{},"createRev":{},"lease":{}}}"#,
        item.value, item.rev, item.created, item.lease
    )
}

#[derive(Clone)]
struct Store {
    address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

fn text_field(json: &str, name: &str) -> Vec<String> {
    let mark = format!("\"{name}\":\"");
    json.split(&mark).skip(1).map(|rest| rest.split('"').next().unwrap_or("").to_owned()).collect()
}

fn number_field(json: &str, name: &str) -> Vec<u64> {
    let mark = format!("\"{name}\":");
    let digits = |rest: &str| rest.chars().take_while(char::is_ascii_digit).collect::<String>();
    json.split(&mark).skip(1).filter_map(|rest| digits(rest).parse().ok()).collect()
}

fn query_of(target: &str) -> BTreeMap<String, String> {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(k, v)| (k.to_owned(), v.replace("%2F", "/").replace("%2f", "/"))).collect()
}

impl Store {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("store listens");
        let store = Self { address: listener.local_addr().unwrap(), state: Arc::default() };
        store.state.0.lock().unwrap().rev = 100;
        let acceptor = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let reaper = store.clone();
        thread::spawn(move || loop {
            thread::sleep(ms(100));
            let before = reaper.state.0.lock().unwrap().rev;
            let mut state = reaper.state.0.lock().unwrap();
            state.expire();
            if state.rev != before {
                reaper.state.1.notify_all();
            }
        });
        store
    }

    fn put(&self, key: &str, value: &str) -> u64 {
        if self.state.0.lock().unwrap().away {
            return 0;
        }
        let rev = self.state.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
        rev
    }

    fn copy(&self) -> StoreState {
        self.state.0.lock().unwrap().clone()
    }

    fn set_away(&self) {
        self.state.0.lock().unwrap().away = true;
        self.state.1.notify_all();
    }

    /// Comes back from a copy: what was written since is gone.
    fn restore(&self, copy: StoreState) {
        let mut state = self.state.0.lock().unwrap();
        let era = state.era + 1;
        *state = copy;
        state.era = era;
        state.away = false;
        drop(state);
        self.state.1.notify_all();
    }

    fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            let (status, body) = self.handle(&request);
            let era = self.state.0.lock().unwrap().era + 1;
            let head = format!("Content-Type: application/json\r\nStore-Era: {era}\r\n");
            let answer = reply(status, &head, &body);
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
        let path = target.split('?').next().unwrap_or("").to_owned();
        let query = query_of(&target);
        let prefix = query.get("pathPrefix").cloned().unwrap_or_default();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut state = self.state.0.lock().unwrap();
        if state.away {
            return ("503 Service Unavailable", "{}".to_owned());
        }
        match path.as_str() {
            "/api/kv-range" => {
                let after = query.get("after").cloned().unwrap_or_default();
                let items: Vec<String> = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let items = items.join(",");
                ("200 OK", format!(r#"{{"items":[{items}],"truncated":false,"storeRevision":{}}}"#, state.rev))
            }
            "/api/kv-watch" => {
                let after: u64 = query.get("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = query.get("waitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                let until = Instant::now() + ms(wait);
                let era = state.era;
                loop {
                    if state.away {
                        return ("503 Service Unavailable", "{}".to_owned());
                    }
                    if state.era != era || after > state.rev {
                        return ("410 Gone", "{}".to_owned());
                    }
                    let events: Vec<String> = state
                        .events
                        .iter()
                        .filter(|(rev, key, _)| *rev > after && key.starts_with(&prefix))
                        .map(|(_, _, json)| json.clone())
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let events = events.join(",");
                        return ("200 OK", format!(r#"{{"events":[{events}],"storeRevision":{}}}"#, state.rev));
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            "/api/kv-txn" => {
                let (set, removed) = body.split_once("\"remove\"").map_or((body.as_str(), ""), |(a, b)| (a, b));
                // The fields may come in any order; keys under `remove` are plain texts.
                let writes = body.split_once("\"setKeys\"").map_or(set, |(_, rest)| rest);
                let keys = text_field(writes, "key");
                let values = text_field(writes, "value");
                let leases = number_field(writes, "lease");
                for (at, key) in keys.iter().enumerate() {
                    let lease = leases.get(at).copied().unwrap_or(0);
                    if lease != 0 && !state.leases.contains_key(&lease) {
                        return ("404 Not Found", "{}".to_owned());
                    }
                    if let Some(value) = values.get(at) {
                        state.put(key, value.clone(), lease);
                    }
                }
                let list = removed.split('[').nth(1).and_then(|rest| rest.split(']').next()).unwrap_or("");
                for key in list.split(',').map(|key| key.trim().trim_matches('"')).filter(|key| !key.is_empty()) {
                    state.remove(key);
                }
                let rev = state.rev;
                drop(state);
                self.state.1.notify_all();
                ("200 OK", format!(r#"{{"rev":{rev}}}"#))
            }
            "/api/kv-lease" => {
                let ttl = number_field(&body, "ttlMs").first().copied().unwrap_or(1000);
                state.next_lease += 1;
                let lease = state.next_lease;
                state.leases.insert(lease, (Instant::now() + ms(ttl), ms(ttl)));
                ("200 OK", format!(r#"{{"lease":{lease},"ttlMs":{ttl}}}"#))
            }
            path if path.starts_with("/api/kv-keep/") => {
                let lease: u64 = path.rsplit('/').next().and_then(|l| l.parse().ok()).unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}
