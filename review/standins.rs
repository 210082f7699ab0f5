//! Stand-ins of the platform for the scripts of this folder: metadata store, backend
//! servers, callers, and the starter of the gateway's processes. Standard library only.
//! Usage: standins CASE FRONT_BINARY RECORD_FILE; the variable TROUBLE=0 leaves the
//! disruption out. Exit code 1: rule broken, 0: rule held, 2: the case could not run.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

type Shared<T> = Arc<Mutex<T>>;

/// Processes that were started and have to be ended.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends one process.
fn end(child: &mut Child) {
    let _ = child.kill();
    let _ = child.wait();
    STARTED.lock().unwrap().retain(|pid| *pid != child.id() as i32);
}

/// Ends all processes that were started and have not been waited for.
fn end_all() {
    for pid in STARTED.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

// ---------------------------------------------------------------- record

#[derive(Clone)]
struct Record {
    start: Instant,
    file: Shared<File>,
}

impl Record {
    fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
    fn say(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut block = [0u8; 65536];
    let n = stream.read(&mut block)?;
    buffer.extend_from_slice(&block[..n]);
    Ok(n > 0)
}

/// Reads the head of a message; `None` if the connection ends before.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Message>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = text.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            return Ok(Some(Message { first, headers, body: Vec::new() }));
        }
        if !fill(stream, buffer)? {
            return Ok(None);
        }
    }
}

/// Reads a whole request with its body; `None` if the connection ends before.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Message> {
    let mut message = read_head(stream, buffer).ok()??;
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !fill(stream, buffer).ok()? {
            return None;
        }
    }
    message.body = buffer.drain(..length).collect();
    Some(message)
}

/// Reads a body as it arrives; calls `seen` with the bytes so far. True if it is complete.
fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    message: &mut Message,
    mut seen: impl FnMut(usize),
) -> bool {
    if message.header("transfer-encoding").is_some() {
        loop {
            let end = loop {
                if let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") {
                    break end;
                }
                if !matches!(fill(stream, buffer), Ok(true)) {
                    return false;
                }
            };
            let size = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16) else {
                return false;
            };
            while buffer.len() < end + 2 + size + 2 {
                if !matches!(fill(stream, buffer), Ok(true)) {
                    return false;
                }
            }
            message.body.extend_from_slice(&buffer[end + 2..end + 2 + size]);
            buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return true;
            }
            seen(message.body.len());
        }
    }
    let length: usize = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if !matches!(fill(stream, buffer), Ok(true)) {
            return false;
        }
    }
    message.body = buffer.drain(..length).collect();
    true
}

fn reply(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

// ---------------------------------------------------------------- store

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

// ---------------------------------------------------------------- backend servers

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A backend server in a process of its own, which can be killed. It tells on its standard
/// output what it runs.
struct ServerProcess {
    id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    child: Shared<Child>,
    /// Further fields of its entry; `None` once it writes none.
    state: Shared<Option<String>>,
    /// Lines of its output: time, event, request.
    told: Shared<Vec<(f64, String, String)>>,
}

impl ServerProcess {
    /// Starts a server that streams so many events; each answer whose number is a multiple
    /// of `unframed` has neither a length nor chunks (0: none).
    fn start(id: &str, zone: &'static str, events: u32, pause_ms: u32, unframed: u32, store: &Store, record: &Record) -> Self {
        let mut child = Command::new(std::env::current_exe().expect("own path"))
            .args(["backend", id, &events.to_string(), &pause_ms.to_string(), &unframed.to_string()])
            .env_clear()
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("server starts");
        STARTED.lock().unwrap().push(child.id() as i32);
        let mut lines = std::io::BufRead::lines(std::io::BufReader::new(child.stdout.take().expect("output")));
        let first = lines.next().expect("a line").expect("read");
        let server = Self {
            id: id.to_owned(),
            service: "model",
            zone,
            address: first.parse().expect("address"),
            child: Arc::new(Mutex::new(child)),
            state: Arc::new(Mutex::new(Some(r#""state":"ready""#.to_owned()))),
            told: Arc::default(),
        };
        let (told, clock, name) = (server.told.clone(), record.clone(), id.to_owned());
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if let Some((event, request)) = line.split_once(' ') {
                    clock.say(&format!("server {name}: {event} {request}"));
                    let request = request.split(' ').next().unwrap_or("").to_owned();
                    told.lock().unwrap().push((clock.now(), event.to_owned(), request));
                }
            }
        });
        server.write(store, 1);
        let (id, service, zone, address, state, store) =
            (server.id.clone(), server.service, server.zone, server.address, server.state.clone(), store.clone());
        let born = server.born();
        thread::spawn(move || {
            for seq in 2.. {
                thread::sleep(HEARTBEAT);
                let Some(fields) = state.lock().unwrap().clone() else { return };
                store.put(&format!("servers/{id}"), &entry(service, address, zone, &fields, seq, born));
            }
        });
        server
    }

    fn born(&self) -> u64 {
        1_796_000_000_000 + u64::from(self.address.port())
    }

    fn write(&self, store: &Store, seq: u64) {
        if let Some(fields) = self.state.lock().unwrap().clone() {
            let value = entry(self.service, self.address, self.zone, &fields, seq, self.born());
            store.put(&format!("servers/{}", self.id), &value);
        }
    }

    /// Lets the server fall silent for some time.
    fn fall_silent(&self, millis: u64) {
        if let Some(input) = self.child.lock().unwrap().stdin.as_mut() {
            let _ = input.write_all(format!("silent {millis}\n").as_bytes());
        }
    }

    /// Lets the server run so many requests at a time and refuse the others. It sends each
    /// refusal once more when the next request arrives on the channel, and works on when a
    /// channel closes.
    fn refuse_beyond(&self, running: u64) {
        if let Some(input) = self.child.lock().unwrap().stdin.as_mut() {
            let _ = input.write_all(format!("busy {running}\n").as_bytes());
        }
    }

    /// Tells the server to state in all its answers that it leaves.
    fn leave(&self) {
        if let Some(input) = self.child.lock().unwrap().stdin.as_mut() {
            let _ = input.write_all(b"leave\n");
        }
    }

    fn kill(&self) {
        end(&mut self.child.lock().unwrap());
    }
}

fn entry(service: &str, address: SocketAddr, zone: &str, fields: &str, seq: u64, born: u64) -> String {
    format!(
        r#"{{"service":"{service}","addr":"{address}","zone":"{zone}","version":"v1","slots":128,{fields},"coldLeftMs":0,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"seq":{seq},"born":{born}}}"#
    )
}

/// Whether the peer has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

/// How many requests the server runs at a time; 0: all. With a limit, it repeats refusals
/// and works on for closed channels.
static BUSY_LIMIT: AtomicU64 = AtomicU64::new(0);
static RUNNING: AtomicU64 = AtomicU64::new(0);

/// Until when the server is silent: it reads and writes nothing, and works on.
static SILENT: Mutex<Option<Instant>> = Mutex::new(None);

/// Waits while the server is silent.
fn wait_silence() {
    while let Some(until) = *SILENT.lock().unwrap() {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return;
        }
        thread::sleep(left.min(ms(2)));
    }
}

/// The process of a backend server. It stops work on a request when it finds the
/// connection closed, or at the time limit that the request states.
fn backend(arguments: &[String]) -> ! {
    let [id, events, pause, unframed] = arguments else { exit(2) };
    let number = |text: &String| text.parse::<u32>().unwrap_or(0);
    let (events, pause, unframed) = (number(events), ms(u64::from(number(pause))), number(unframed));
    let listener = TcpListener::bind("127.0.0.1:0").expect("server listens");
    println!("{}", listener.local_addr().unwrap());
    let leaving = Arc::new(AtomicBool::new(false));
    let input = leaving.clone();
    thread::spawn(move || {
        let mut line = String::new();
        // The input ends with the starter; the server then ends too.
        while std::io::stdin().read_line(&mut line).unwrap_or(0) > 0 {
            match line.trim().split_once(' ').and_then(|(word, n)| Some((word, n.parse().ok()?))) {
                Some(("silent", time)) => *SILENT.lock().unwrap() = Some(Instant::now() + ms(time)),
                Some(("busy", running)) => BUSY_LIMIT.store(running, Ordering::Relaxed),
                _ => input.store(true, Ordering::Relaxed),
            }
            line.clear();
        }
        exit(0);
    });
    let count = Arc::new(AtomicU64::new(0));
    for stream in listener.incoming().flatten() {
        let (id, leaving, count) = (id.clone(), leaving.clone(), count.clone());
        thread::spawn(move || {
            let mut stream = stream;
            let _ = stream.set_nodelay(true);
            let mut buffer = Vec::new();
            let mut refusal: Option<String> = None;
            while let Some(mut request) = read_request(&mut stream, &mut buffer) {
                let length = std::mem::take(&mut request.body).len();
                let Some(attempt) = request.header("attempt-id").map(str::to_owned) else {
                    let head = format!("Instance-Id: {id}\r\n");
                    let _ = stream.write_all(reply("200 OK", &head, "").as_bytes());
                    continue;
                };
                if request.header("expect-instance").is_some_and(|expected| expected != id) {
                    let head = format!("Attempt-Id: {attempt}\r\nInstance-Id: {id}\r\n");
                    let _ = stream.write_all(reply("421 Misdirected Request", &head, "").as_bytes());
                    continue;
                }
                wait_silence();
                if is_closed(&stream) {
                    return;
                }
                let busy_limit = BUSY_LIMIT.load(Ordering::Relaxed);
                if let Some(copy) = refusal.take() {
                    println!("copies {attempt}");
                    let _ = stream.write_all(copy.as_bytes());
                }
                if busy_limit > 0 && RUNNING.load(Ordering::Relaxed) >= busy_limit {
                    let head = format!("Attempt-Id: {attempt}\r\nNot-Run: 1\r\nKeep-Alive: timeout=15\r\n");
                    let text = reply("503 Service Unavailable", &head, "full");
                    println!("refuses {attempt}");
                    if stream.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                    refusal = Some(text);
                    continue;
                }
                RUNNING.fetch_add(1, Ordering::Relaxed);
                let begun = Instant::now();
                let limit = request.header("deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(60_000);
                let until = Instant::now() + ms(limit);
                let turn = count.fetch_add(1, Ordering::Relaxed) + 1;
                let plain = unframed > 0 && turn % u64::from(unframed) == 0;
                println!("{} {attempt} body {length}", if plain { "runs-unframed" } else { "runs" });
                let state = if leaving.load(Ordering::Relaxed) { "Server-Leaving: 1\r\n" } else { "" };
                let framing = if plain { "Connection: close\r\n" } else { "Transfer-Encoding: chunked\r\n" };
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: stamp.{id}.{attempt}\r\n{state}Content-Type: text/event-stream\r\n{framing}\r\n");
                // The head goes out with the first event.
                let mut out = head.into_bytes();
                let mut ok = true;
                for event in 1..=events {
                    thread::sleep((begun + pause * event).saturating_duration_since(Instant::now()));
                    wait_silence();
                    let text = format!("id: {event}\ndata: piece {event}\n\n");
                    let text = if plain { text } else { format!("{:x}\r\n{text}\r\n", text.len()) };
                    out.extend_from_slice(text.as_bytes());
                    ok = Instant::now() < until && !is_closed(&stream) && stream.write_all(&out).is_ok();
                    out.clear();
                    if !ok && busy_limit == 0 {
                        break;
                    }
                }
                RUNNING.fetch_sub(1, Ordering::Relaxed);
                if ok && !plain {
                    ok = stream.write_all(b"0\r\n\r\n").is_ok();
                }
                println!("{} {attempt}", if ok { "done" } else { "stops" });
                if !ok || plain {
                    return;
                }
            }
        });
    }
    exit(0)
}

// ---------------------------------------------------------------- gateway processes

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}
const SIGKILL: i32 = 9;

struct Vm {
    name: String,
    ip: String,
    settings: PathBuf,
    child: Shared<Option<Child>>,
}

#[derive(Clone, Copy)]
struct Ports {
    base: u16,
}

impl Ports {
    /// Ports that are free on all addresses now.
    fn find(ips: &[String]) -> Self {
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_nanos();
        let mut base = 10_000 + (nanos / 1_000 % 1_200) as u16 * 16;
        loop {
            let free = ips.iter().all(|ip| {
                (base..base + 8).all(|port| TcpListener::bind((ip.as_str(), port)).is_ok())
                    && std::net::UdpSocket::bind((ip.as_str(), base + 4)).is_ok()
            });
            if free {
                return Self { base };
            }
            base += 16;
        }
    }
}

impl Vm {
    fn caller(&self, ports: Ports) -> SocketAddr {
        format!("{}:{}", self.ip, ports.base).parse().unwrap()
    }

    /// Writes the settings file as the template of the deploy file renders it.
    fn new(name: &str, ip: &str, zones: &str, zone: &str, seeds: &[String], ports: Ports, store: &Store, folder: &PathBuf) -> Self {
        let base = ports.base;
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:{}\"", base + 3)).collect();
        let text = format!(
            r#"{{"vm":"{name}","data_centre":"{zone}","data_centres":{zones},
"caller_address":"{ip}:{}","ready_address":"{ip}:{}","directory_address":"{ip}:{}","peer_address":"{ip}:{}",
"report_address":"{ip}:{}","metrics_address":"{ip}:{}","seeds":[{}],"store_address":"{}","max_descriptors":4100,
"resources":{{"cores":0.25,"memory_mb":260,"link_mbps":1000.0}},
"bounds":{{"drain_ms":3000,"grace_s":8,"retry_share":0.2,"retry_extra":54,"cold_factor":1.5,"cold_slack":3}}}}"#,
            base, base + 1, base + 2, base + 3, base + 4, base + 5, seeds.join(","), store.address
        );
        let settings = folder.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("settings written");
        Self {
            name: name.to_owned(),
            ip: ip.to_owned(),
            settings,
            child: Arc::default(),
        }
    }

    fn start(&self, front: &str, folder: &PathBuf, record: &Record) {
        let log = File::options().create(true).append(true).open(folder.join(format!("{}.log", self.name))).unwrap();
        let child = Command::new(front)
            .env_clear()
            .env("VERBENARING_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                record.say(&format!("{} starts, pid {}", self.name, child.id()));
                STARTED.lock().unwrap().push(child.id() as i32);
                *self.child.lock().unwrap() = Some(child);
            }
            Err(error) => {
                record.say(&format!("{} does not start: {error}", self.name));
                exit(2);
            }
        }
    }

    fn pid(&self) -> Option<i32> {
        self.child.lock().unwrap().as_ref().map(|child| child.id() as i32)
    }

    /// Ends the process at once.
    fn kill_now(&self) {
        if let Some(child) = self.child.lock().unwrap().as_mut() {
            end(child);
        }
    }

    fn ready(&self, ports: Ports) -> bool {
        let ended = |child: &mut Child| !matches!(child.try_wait(), Ok(None));
        if self.child.lock().unwrap().as_mut().is_none_or(ended) {
            return false;
        }
        let address: SocketAddr = format!("{}:{}", self.ip, ports.base + 1).parse().unwrap();
        get(address, "/api/readyz").is_some_and(|answer| answer.status() == 200)
    }
}

/// Resident memory of a process, in bytes.
fn resident(pid: i32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    text.split(' ').nth(1)?.parse::<u64>().ok().map(|pages| pages * page_size())
}

extern "C" {
    fn sysconf(name: i32) -> i64;
}

fn page_size() -> u64 {
    // _SC_PAGESIZE on Linux.
    unsafe { sysconf(30) as u64 }
}

fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, ms(1_000)).ok()?;
    stream.set_read_timeout(Some(ms(1_000))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: directory\r\nConnection: close\r\n\r\n").as_bytes()).ok()?;
    let mut buffer = Vec::new();
    let mut answer = read_head(&mut stream, &mut buffer).ok()??;
    read_body(&mut stream, &mut buffer, &mut answer, |_| {}).then_some(answer)
}

// ---------------------------------------------------------------- callers

#[derive(Debug, Clone, PartialEq)]
enum End {
    /// Whole answer with this status.
    Whole(u16),
    /// The channel ended inside the answer.
    Cut,
    /// The channel ended without an answer.
    NoAnswer,
    /// No channel could be opened.
    NoChannel,
    /// The caller's own time limit passed.
    Limit,
}

#[derive(Clone)]
struct Try {
    id: String,
    vm: SocketAddr,
    /// When an answer with `Server-Leaving` began to arrive.
    leaving: Option<f64>,
    /// When its last byte was sent.
    sent: f64,
    ended: f64,
    end: End,
    /// Events of a stream that arrived whole.
    events: usize,
}

static IDS: AtomicU64 = AtomicU64::new(1);

fn new_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000_0000u64 + IDS.fetch_add(1, Ordering::Relaxed))
}

struct Call<'a> {
    method: &'a str,
    path: &'a str,
    headers: &'a str,
    limit: Duration,
    body: &'a [u8],
    /// Bytes a second at which the body is sent.
    rate: Option<usize>,
}

/// Sends one request on a channel of its own.
fn send(vm: SocketAddr, call: &Call, record: &Record) -> Try {
    let id = new_id();
    let mut result = Try { id: id.clone(), vm, leaving: None, sent: record.now(), ended: 0.0, end: End::NoChannel, events: 0 };
    let begun = Instant::now();
    if let Ok(mut stream) = TcpStream::connect_timeout(&vm, ms(1_000)) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(call.limit));
        let head = format!(
            "{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: {}\r\n{}Content-Length: {}\r\n\r\n",
            call.method, call.path, call.limit.as_millis(), call.headers, call.body.len()
        );
        let mut ok = stream.write_all(head.as_bytes()).is_ok();
        for (at, part) in call.body.chunks(65_536).enumerate() {
            if let Some(rate) = call.rate {
                let due = Duration::from_secs_f64((at * 65_536) as f64 / rate as f64);
                thread::sleep(due.saturating_sub(begun.elapsed()));
            }
            ok = ok && stream.write_all(part).is_ok();
        }
        result.sent = record.now();
        let mut buffer = Vec::new();
        result.end = match read_head(&mut stream, &mut buffer) {
            Ok(Some(mut answer)) => {
                let status = answer.status();
                result.leaving = answer.header("server-leaving").map(|_| record.now());
                let whole = read_body(&mut stream, &mut buffer, &mut answer, |_| {});
                result.events = String::from_utf8_lossy(&answer.body).matches("\n\n").count();
                match whole {
                    true => End::Whole(status),
                    false if begun.elapsed() >= call.limit => End::Limit,
                    false => End::Cut,
                }
            }
            _ if begun.elapsed() >= call.limit => End::Limit,
            _ => End::NoAnswer,
        };
    }
    result.ended = record.now();
    record.say(&format!("caller: {id} at {vm} sent {:.3} ended {:?}, events {}", result.sent, result.end, result.events));
    result
}

// ---------------------------------------------------------------- cases

struct Setting {
    front: String,
    record: Record,
    folder: PathBuf,
    trouble: bool,
    store: Store,
}

fn manifest(routes: &str, version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{{"name":"model","healthPath":"/healthz","maxConns":620,"proto":"h1","tls":false,"coldS":3.0,"coldPerS":4.6,"engine":{{"slots":128,"kvCapacity":685031,"kvTokenBytes":35136,"linkMbps":260000.0,"moves":true,"backups":true,"stride":7,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handle_s":5.0,"models":[{{"name":"m"}}]}}}},{{"name":"plain","healthPath":"/healthz","maxConns":100,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#
    )
}

fn route(name: &str, kind: &str, service: &str, attempts: u32, timeout: u32, goal: u32, homes: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"shop.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":{timeout},"goalMs":{goal},"priority":1,"service":"{service}","attempts":{attempts},"sticky":{},"resumable":false,"gapAimMs":600,"homeRegions":[{homes}]}}"#,
        service == "model"
    )
}

fn wait_ready(vms: &[Vm], ports: Ports, record: &Record) -> bool {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        if vms.iter().all(|vm| vm.ready(ports)) {
            record.say("all VMs are ready");
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}

include!("cases.rs");

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).is_some_and(|first| first == "backend") {
        backend(&arguments[2..]);
    }
    let [_, case, front, record_file] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FRONT_BINARY RECORD_FILE");
        exit(2);
    };
    let Ok(file) = File::create(record_file) else { exit(2) };
    let folder = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        exit(2);
    }
    let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.say(&format!("case {case}, trouble {}", u8::from(trouble)));
    let setting = Setting {
        front: front.clone(),
        record: record.clone(),
        folder: folder.clone(),
        trouble,
        store: Store::start(),
    };
    // The script ends within its time even if the case does not.
    thread::spawn(|| {
        thread::sleep(ms(115_000));
        end_all();
        exit(2);
    });
    let code = match case.as_str() {
        "crash" => crash(&setting),
        "spot" => spot(&setting),
        "memory" => memory(&setting),
        "restored" => restored(&setting),
        "silence" => silence(&setting),
        "copies" => copies(&setting),
        _ => 2,
    };
    end_all();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    record.say(&format!("exit code {code}"));
    println!("case {case}, trouble {}: exit code {code}", u8::from(trouble));
    exit(code);
}
