//! Stand-in for a model server.
//!
//! It reads the prompts one after the other, at 112 tokens a ms, in chunks between the steps
//! in which each running request gets a token; an event holds 7 tokens. It drops a request
//! when its channel closes, and counts it as begun with its first token.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Request, read_more, take_request};

const CHUNK_TOKENS: u32 = 512;
const CHUNK_TIME: Duration = Duration::from_micros(4_570);
const STEP_TIME: Duration = Duration::from_micros(3_230);
const EVENT_TOKENS: u32 = 7;
const LAST_EVENT: u32 = 55;

/// What became of one request.
#[derive(Debug, Clone)]
pub struct RunRecord {
    pub server: String,
    pub attempt: String,
    /// `Last-Event-Id` of the request; 0 without one.
    pub after: u32,
    pub arrived: Instant,
    /// First work on it and the last so far.
    pub began: Option<Instant>,
    pub worked: Option<Instant>,
    /// When its channel was seen to close.
    pub closed: Option<Instant>,
}

struct Job {
    record: usize,
    stream: TcpStream,
    unread_tokens: u32,
    tokens: u32,
    event: u32,
    head_sent: bool,
    connection: u64,
}

#[derive(Default)]
struct State {
    jobs: Vec<Job>,
    streams: Vec<(u64, TcpStream)>,
    connections: u64,
    /// Whether the part that all prompts share has been read.
    shared_read: bool,
    crashed: bool,
}

/// Records of all servers, shared by them.
pub type Records = Arc<Mutex<Vec<RunRecord>>>;

#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    state: Arc<Mutex<State>>,
    records: Records,
}

impl Engine {
    pub fn start(id: &str, born: u64, records: &Records) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback");
        listener.set_nonblocking(true).expect("option");
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("bound"),
            born,
            state: Arc::default(),
            records: records.clone(),
        };
        let acceptor = engine.clone();
        thread::spawn(move || acceptor.accept(&listener));
        let worker = engine.clone();
        thread::spawn(move || worker.work());
        engine
    }

    /// Entry in the store.
    pub fn entry(&self, zone: &str) -> String {
        let Self { address, born, .. } = self;
        entry(&address.to_string(), zone, *born)
    }

    /// Ends like a process that is killed: the listener and all channels close.
    pub fn crash(&self) {
        let mut state = self.state.lock().expect("engine");
        state.crashed = true;
        for (_, stream) in state.streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        state.jobs.clear();
    }

    fn has_crashed(&self) -> bool {
        self.state.lock().expect("engine").crashed
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.has_crashed() {
            match listener.accept() {
                Ok((stream, _)) => {
                    let server = self.clone();
                    thread::spawn(move || server.serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let connection = {
            let mut state = self.state.lock().expect("engine");
            if state.crashed {
                return;
            }
            state.connections += 1;
            let connection = state.connections;
            let copy = stream.try_clone().expect("socket");
            state.streams.push((connection, copy));
            connection
        };
        let mut buffer = Vec::new();
        loop {
            while let Some(request) = take_request(&mut buffer) {
                self.take(&mut stream, connection, &request);
            }
            if !read_more(&mut stream, &mut buffer) {
                break;
            }
        }
        let now = Instant::now();
        let mut state = self.state.lock().expect("engine");
        state.streams.retain(|(known, _)| *known != connection);
        let mut records = self.records.lock().expect("records");
        for job in state.jobs.iter().filter(|job| job.connection == connection) {
            records[job.record].closed = Some(now);
        }
        state.jobs.retain(|job| job.connection != connection);
    }

    fn take(&self, stream: &mut TcpStream, connection: u64, request: &Request) {
        if request.method == "GET" {
            let body = format!(
                r#"{{"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seq":1,"waiting":0,"running":0,"kvUsed":0,"kvTotal":685031,"handles":0,"born":{}}}"#,
                self.born
            );
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let _ = stream.write_all(answer.as_bytes());
            return;
        }
        let number = |text: &str| text.trim().parse::<u32>().unwrap_or(0);
        // All prompts begin with the same part, which is read once.
        let prompt = request.header("prompt-prefix").unwrap_or_default();
        let parts = prompt.split(',').filter_map(|part| part.split_once(':'));
        let parts: Vec<u32> = parts.map(|(_, tokens)| number(tokens)).collect();
        let after = request.header("last-event-id").map_or(0, number);
        let record = RunRecord {
            server: self.id.clone(),
            attempt: request.header("attempt-id").unwrap_or_default().to_owned(),
            after,
            arrived: Instant::now(),
            began: None,
            worked: None,
            closed: None,
        };
        let mut state = self.state.lock().expect("engine");
        let mut records = self.records.lock().expect("records");
        records.push(record);
        let cached = if state.shared_read { 1 } else { 0 };
        state.shared_read = true;
        state.jobs.push(Job {
            record: records.len() - 1,
            stream: stream.try_clone().expect("socket"),
            unread_tokens: parts.iter().skip(cached).sum::<u32>() + after * EVENT_TOKENS,
            tokens: 0,
            event: after,
            head_sent: false,
            connection,
        });
    }

    fn work(&self) {
        while !self.has_crashed() {
            let read = self.read_chunk();
            if read {
                thread::sleep(CHUNK_TIME);
            }
            let stepped = self.step();
            match (read, stepped) {
                (_, true) => thread::sleep(STEP_TIME),
                (false, false) => thread::sleep(Duration::from_millis(1)),
                (true, false) => {}
            }
        }
    }

    /// Reads a chunk of the prompt that came first.
    fn read_chunk(&self) -> bool {
        let mut state = self.state.lock().expect("engine");
        let Some(job) = state.jobs.iter_mut().find(|job| job.unread_tokens > 0) else {
            return false;
        };
        job.unread_tokens = job.unread_tokens.saturating_sub(CHUNK_TOKENS);
        self.note_work(job.record);
        true
    }

    fn note_work(&self, record: usize) {
        let now = Instant::now();
        let record = &mut self.records.lock().expect("records")[record];
        record.began.get_or_insert(now);
        record.worked = Some(now);
    }

    /// Gives a token to each running request.
    fn step(&self) -> bool {
        let mut state = self.state.lock().expect("engine");
        let mut any = false;
        let records = self.records.clone();
        for job in state.jobs.iter_mut().filter(|job| job.unread_tokens == 0) {
            any = true;
            self.note_work(job.record);
            let mut text = String::new();
            if !job.head_sent {
                job.head_sent = true;
                let attempt = records.lock().expect("records")[job.record].attempt.clone();
                text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: stamp-{}\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                    self.id
                );
            }
            job.tokens += 1;
            if job.tokens.is_multiple_of(EVENT_TOKENS) {
                job.event += 1;
                let event = format!("id: {}\ndata: seven tokens of text\n\n", job.event);
                text += &format!("{:x}\r\n{event}\r\n", event.len());
                if job.event >= LAST_EVENT {
                    text += "0\r\n\r\n";
                }
            }
            if !text.is_empty() {
                // A channel that has closed is noticed by its reader.
                let _ = job.stream.write_all(text.as_bytes());
            }
        }
        state.jobs.retain(|job| job.event < LAST_EVENT);
        any
    }
}

/// Entry of a model server in the store.
pub fn entry(address: &str, zone: &str, born: u64) -> String {
    format!(
        r#"{{"service":"verb-pool","addr":"{address}","zone":"{zone}","version":"v1","slots":128,"state":"ready","coldLeftMs":0,"seq":1,"stage":"both","models":[{{"name":"m","version":1,"adapters":[]}}],"born":{born}}}"#
    )
}
