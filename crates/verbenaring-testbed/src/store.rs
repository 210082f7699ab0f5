//! Stand-in for the platform's key-value store.
//!
//! It serves the HTTP/JSON API of etcd v3. Watches can start at any revision,
//! since the history is never compacted, but only the current one can be read.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
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
use crate::http::{self, Body, Closed, ConnectionGate, Handler, HandlerResult, Listener};
use crate::keyspace::{KeyChange, Keyspace, in_range};
use crate::wire::{
    DeleteRequest, LeaseRequest, PutRequest, RangeRequest, Refusal, TxnRequest, WatchCreate,
    WatchFilter, WatchRequest,
};

/// Settings of a store, which stay the same while it runs.
#[derive(Debug, Clone, Default)]
pub struct StoreSettings {
    /// Time from the arrival of a call to its execution.
    pub latency: Duration,
}

/// Faults of a store; each applies to every call while it is set.
#[derive(Debug, Clone, Default)]
pub struct StoreFaults {
    /// Resets all connections, also new ones.
    pub down: bool,
    /// Latency in addition to the configured one.
    pub extra_latency: Duration,
    /// Closes the connection of a write after it took effect, without an answer.
    pub lose_answers: bool,
    /// Closes the connection of a write without an answer, and applies the write
    /// after this time.
    pub write_delay: Option<Duration>,
    /// Confirms keepalives without renewing the lease, so that it expires while
    /// its holder believes to have it.
    pub ignore_keepalives: bool,
}

/// Counts of the calls that a store has received since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreCounters {
    /// Range calls.
    pub reads: u64,
    /// All other calls except watches: puts, deletions, transactions and lease
    /// calls.
    pub writes: u64,
    /// Watches that are open now.
    pub open_watches: u64,
    /// All watches that were opened, including closed ones.
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
    /// Signals that the revision or the next lease expiry has changed.
    changed: watch::Sender<()>,
    gate: Arc<ConnectionGate>,
    /// Watches up to this number are silent.
    silent_watches: AtomicU64,
}

/// Task that expires the leases; dropping it with the store aborts it.
#[derive(Debug)]
struct ExpiryTask(JoinHandle<()>);

impl Drop for ExpiryTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Handle of a running store; dropping it stops the store.
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
            silent_watches: AtomicU64::new(0),
        });
        let listener = Listener::start(core.clone(), core.gate.clone()).await?;
        let expiry = ExpiryTask(tokio::spawn(run_lease_expiry(core.clone())));
        Ok(Self {
            core,
            listener,
            _expiry: expiry,
        })
    }

    /// Loopback address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.core.gate.set_down(faults.down);
        *self.core.faults.lock().unwrap() = faults;
    }

    /// Silences the watches that were opened so far: they stay open and send nothing more.
    pub fn silence_watches(&self) {
        let opened = self.counters().watches_opened;
        self.core.silent_watches.store(opened, Ordering::SeqCst);
    }

    /// Expires all leases now, which deletes the keys attached to them.
    pub fn expire_leases(&self) {
        self.core.update(Keyspace::expire_all);
    }

    /// Counts of received calls and open watches.
    pub fn counters(&self) -> StoreCounters {
        *self.core.counters.lock().unwrap()
    }

    /// Revision of the last change; 1 in an empty store.
    pub fn revision(&self) -> i64 {
        self.core.keyspace.lock().unwrap().revision()
    }

    /// Closes all connections and stops the store.
    pub async fn stop(self) {
        self.listener.stop().await;
    }
}

impl StoreCore {
    /// Expires due leases and runs `action`. Wakes the watches and the expiry task
    /// if the revision or the next expiry changed.
    fn update<T>(&self, action: impl FnOnce(&mut Keyspace) -> T) -> T {
        let mut keyspace = self.keyspace.lock().unwrap();
        let before = (keyspace.revision(), keyspace.next_expiry());
        keyspace.expire_due(Instant::now());
        let result = action(&mut keyspace);
        let after = (keyspace.revision(), keyspace.next_expiry());
        drop(keyspace);
        if after != before {
            self.changed.send_replace(());
        }
        result
    }

    fn count_call(&self, path: &str) {
        let mut counters = self.counters.lock().unwrap();
        match path {
            RANGE_PATH => counters.reads += 1,
            WATCH_PATH => counters.watches_opened += 1,
            _ => counters.writes += 1,
        }
    }

    /// Answers a call with the latency and the faults of the store.
    async fn execute(self: Arc<Self>, path: String, body: Bytes) -> HandlerResult {
        self.count_call(&path);
        let faults = self.faults.lock().unwrap().clone();
        sleep(self.settings.latency + faults.extra_latency).await;
        let is_write = WRITE_PATHS.contains(&path.as_str());
        if let (true, Some(delay)) = (is_write, faults.write_delay) {
            tokio::spawn(async move {
                sleep(delay).await;
                let _ = self.run_call(&path, &body);
            });
            return Err(Closed);
        }
        let result = match path.as_str() {
            WATCH_PATH => self.clone().watch(&body),
            _ => self
                .run_call(&path, &body)
                .map(|answer| http::json_response(StatusCode::OK, &answer)),
        };
        if is_write && faults.lose_answers {
            return Err(Closed);
        }
        Ok(result.unwrap_or_else(|refusal| refusal_response(&refusal)))
    }

    /// Runs a call other than a watch and returns the JSON body of its answer.
    fn run_call(&self, path: &str, body: &[u8]) -> std::result::Result<Value, Refusal> {
        let now = Instant::now();
        match path {
            RANGE_PATH => {
                let request: RangeRequest = parse(body)?;
                self.update(|keyspace| keyspace.range(&request))
            }
            "/v3/kv/put" => {
                let request: PutRequest = parse(body)?;
                self.update(|keyspace| keyspace.put(request))
            }
            "/v3/kv/deleterange" => {
                let request: DeleteRequest = parse(body)?;
                self.update(|keyspace| keyspace.delete(request))
            }
            "/v3/kv/txn" => {
                let request: TxnRequest = parse(body)?;
                self.update(|keyspace| keyspace.txn(request))
            }
            "/v3/lease/grant" => {
                let request: LeaseRequest = parse(body)?;
                self.update(|keyspace| keyspace.grant(request.id.0, request.ttl.0, now))
            }
            "/v3/lease/keepalive" => {
                let request: LeaseRequest = parse(body)?;
                let renew = !self.faults.lock().unwrap().ignore_keepalives;
                let answer = self.update(|keyspace| keyspace.keep_alive(request.id.0, renew, now));
                Ok(json!({"result": answer}))
            }
            "/v3/lease/revoke" => {
                let request: LeaseRequest = parse(body)?;
                self.update(|keyspace| keyspace.revoke(request.id.0))
            }
            _ => Err(Refusal::not_found("Not Found")),
        }
    }

    /// Opens a watch, whose response is a stream of JSON lines.
    fn watch(self: Arc<Self>, body: &[u8]) -> std::result::Result<Response<Body>, Refusal> {
        let request: WatchRequest = parse(body)?;
        let mut changed = self.changed.subscribe();
        changed.mark_changed();
        let keyspace = self.keyspace.lock().unwrap();
        let header = keyspace.header();
        let position = match request.create_request.start_revision.0 {
            0 => keyspace.history().len(),
            start => first_change_at(keyspace.history(), start),
        };
        drop(keyspace);
        let cursor = WatchCursor {
            open: OpenWatch::new(self),
            request: request.create_request,
            position,
            changed,
        };
        let created = json!({"result": {"header": header, "created": true}});
        let first = stream::iter([Ok(json_line(&created))]);
        let chunks = futures::StreamExt::chain(first, watch_lines(cursor));
        Ok(http::stream_response("application/json", chunks))
    }
}

/// Index of the first change at or after `revision`.
fn first_change_at(history: &[KeyChange], revision: i64) -> usize {
    history.partition_point(|change| change.entry.mod_revision.0 < revision)
}

/// Guard that counts a watch as open until it is dropped.
struct OpenWatch {
    core: Arc<StoreCore>,
    /// Number of watches opened up to this one.
    number: u64,
}

impl OpenWatch {
    fn new(core: Arc<StoreCore>) -> Self {
        let mut counters = core.counters.lock().unwrap();
        counters.open_watches += 1;
        let number = counters.watches_opened;
        drop(counters);
        Self { core, number }
    }

    fn is_silent(&self) -> bool {
        self.number <= self.core.silent_watches.load(Ordering::SeqCst)
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.core.counters.lock().unwrap().open_watches -= 1;
    }
}

struct WatchCursor {
    open: OpenWatch,
    request: WatchCreate,
    /// Index in the history of the next change to send.
    position: usize,
    changed: watch::Receiver<()>,
}

impl WatchCursor {
    /// Line with the new changes that match the watch; `None` if there are none.
    fn next_line(&mut self) -> Option<Bytes> {
        let keyspace = self.open.core.keyspace.lock().unwrap();
        let new_changes = &keyspace.history()[self.position..];
        let matching = new_changes
            .iter()
            .filter(|change| matches_watch(&self.request, change));
        let events: Vec<Value> = matching.map(watch_event).collect();
        self.position = keyspace.history().len();
        let answer = json!({"result": {"header": keyspace.header(), "events": events}});
        (!events.is_empty()).then(|| json_line(&answer))
    }
}

fn watch_lines(cursor: WatchCursor) -> impl Stream<Item = std::result::Result<Bytes, Closed>> {
    stream::unfold(cursor, |mut cursor| async move {
        loop {
            cursor.changed.changed().await.ok()?;
            if cursor.open.is_silent() {
                std::future::pending::<()>().await;
            }
            if let Some(line) = cursor.next_line() {
                return Some((Ok(line), cursor));
            }
        }
    })
}

/// Whether a change is in the range of a watch and passes its filters.
fn matches_watch(request: &WatchCreate, change: &KeyChange) -> bool {
    let excluding_filter = if change.deleted {
        WatchFilter::NoDelete
    } else {
        WatchFilter::NoPut
    };
    change.entry.mod_revision >= request.start_revision
        && in_range(&change.entry.key, &request.key, &request.range_end)
        && !request.filters.contains(&excluding_filter)
}

fn watch_event(change: &KeyChange) -> Value {
    if !change.deleted {
        return json!({"kv": change.entry});
    }
    let KeyChange { entry, .. } = change;
    json!({"type": "DELETE", "kv": {"key": entry.key, "mod_revision": entry.mod_revision}})
}

fn json_line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> std::result::Result<T, Refusal> {
    serde_json::from_slice(body).map_err(|error| Refusal::invalid(error.to_string()))
}

fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let status = match refusal.code {
        5 => StatusCode::NOT_FOUND,
        _ => StatusCode::BAD_REQUEST,
    };
    http::json_response(status, &refusal.to_json())
}

/// Expires leases when they are due, so that watches report it even if no call
/// arrives.
async fn run_lease_expiry(core: Arc<StoreCore>) {
    let mut changed = core.changed.subscribe();
    loop {
        let next = core.keyspace.lock().unwrap().next_expiry();
        match next {
            Some(expiry) => tokio::select! {
                _ = sleep_until(expiry) => core.update(|_| {}),
                _ = changed.changed() => {}
            },
            None => {
                let _ = changed.changed().await;
            }
        }
    }
}

impl Handler for StoreCore {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> HandlerResult {
        let path = request.uri().path().to_owned();
        let body = http::read_body(request).await?;
        // In its own task, so that the call runs even if its caller disconnects.
        tokio::spawn(self.execute(path, body))
            .await
            .unwrap_or(Err(Closed))
    }
}
