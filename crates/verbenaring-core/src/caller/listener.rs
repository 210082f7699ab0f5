//! HTTP listeners of a VM.
//!
//! A shutdown has three phases. While it is announced, every answer closes its
//! connection, and idle connections stay open for callers that do not know of
//! the shutdown yet. Then idle connections are closed and open calls finish. Last,
//! no connection is accepted any more.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::task::TaskTracker;
use verbenaring_policy::dispatch::call::CallerLimits;
use verbenaring_policy::memory::MemoryAccount;

use super::body::AnswerBody;
use super::connection::{ConnectionState, ConnectionTable, TrackedBody, TrackedStream};
use crate::error::{Error, Result};
use crate::observe::metrics::FrontMetrics;

/// Time for which sent data may stay unacknowledged before a connection is
/// closed. A connection whose peer has vanished is not reset by itself.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after a failed accept, for example when descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Time between checks of connections for heads that arrive too slowly.
const SWEEP_PERIOD: Duration = Duration::from_millis(500);
/// Part of the connections of a listener, as a divisor. While fewer places are left, answers
/// close their connections, so that clients with many of them do not keep others out.
const CROWDED_DIVISOR: usize = 8;
/// Largest read buffer of a connection of a client: twice the documented limit on a head.
const CLIENT_BUFFER_BYTES: usize = 32 * 1024;
/// Largest read buffer of a connection to a server, which holds the head of a message of the
/// usual size limit and a chunk of a body.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Phase of the shutdown of a VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown has been requested.
    #[default]
    Serving,
    /// Calls are still accepted, and each answer closes its connection.
    Announced,
    /// Idle connections are closed, and open calls finish.
    Closing,
    /// No connection is accepted any more.
    Closed,
}

/// Options and limits of a listener.
#[derive(Clone)]
pub struct ListenerOptions {
    /// Current phase of the shutdown.
    pub shutdown_phase: watch::Receiver<ShutdownPhase>,
    /// Tracks open connections; the shutdown waits for those of callers.
    pub connections: TaskTracker,
    /// Connections that may be open.
    pub max_connections: usize,
    /// Times after which connections are closed.
    pub timeouts: Arc<ClientTimeouts>,
    /// Memory for the heads of requests.
    pub memory: Arc<MemoryAccount>,
    /// Counts connections that are closed.
    pub metrics: Arc<FrontMetrics>,
}

/// Times after which connections of clients are closed.
///
/// A change of the idle timeout applies to connections that are accepted later.
#[derive(Debug)]
pub struct ClientTimeouts {
    idle_ms: AtomicU64,
    head_ms: AtomicU64,
}

/// Timeouts as a multiple of the configured limits. Callers reuse a connection until
/// shortly before the limit, and the limit may be raised while a connection is open.
const TIMEOUT_FACTOR: u32 = 2;

impl Default for ClientTimeouts {
    fn default() -> Self {
        let timeouts = Self {
            idle_ms: AtomicU64::new(0),
            head_ms: AtomicU64::new(0),
        };
        timeouts.set(&CallerLimits::default());
        timeouts
    }
}

impl ClientTimeouts {
    /// Sets the timeouts from the configured limits.
    pub fn set(&self, limits: &CallerLimits) {
        let millis = |limit: Duration| (limit * TIMEOUT_FACTOR).as_millis() as u64;
        let order = Ordering::Relaxed;
        self.idle_ms.store(millis(limits.idle_timeout), order);
        self.head_ms.store(millis(limits.header_timeout), order);
    }

    /// Time after which a connection without a request is closed.
    pub fn idle(&self) -> Duration {
        Duration::from_millis(self.idle_ms.load(Ordering::Relaxed))
    }

    /// Time in which the head of a request must arrive once it has begun.
    pub fn head(&self) -> Duration {
        Duration::from_millis(self.head_ms.load(Ordering::Relaxed))
    }
}

/// Listens on the TCP address of the settings field `field`.
pub async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let listening = TcpListener::bind(address).await;
    listening.map_err(|source| Error::Listen {
        field,
        address,
        source,
    })
}

/// Accepts connections and serves their requests until the VM is closed.
///
/// While all connections are taken, the one that makes no progress for longest gives its
/// place to a new one; without such a one, the new one is closed.
pub async fn serve<H, F>(listener: TcpListener, mut options: ListenerOptions, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let table = Arc::new(ConnectionTable::default());
    let permits = Arc::new(Semaphore::new(options.max_connections));
    let mut sweep = interval(SWEEP_PERIOD);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = options.shutdown_phase.wait_for(|phase| *phase == ShutdownPhase::Closed) => return,
            _ = sweep.tick() => {
                table.close_slow_heads(options.timeouts.head());
                continue;
            }
        };
        let (stream, _) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:% = error; "failed to accept connection");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let permit = permits.clone().try_acquire_owned().ok();
        // A connection may be reused until half of the time after which it is closed.
        let idle_limit = options.timeouts.idle() / TIMEOUT_FACTOR;
        if permit.is_none() && table.close_stalled(idle_limit, 1) == 0 {
            table.report_closed(&options.metrics, "full");
            continue;
        }
        if let Err(error) = set_socket_options(&stream) {
            log::debug!(error:% = error; "connection closed: failed to set socket options");
            continue;
        }
        let entry = table.insert(&options.memory);
        let connection = Connection {
            options: options.clone(),
            state: entry.state.clone(),
            table: table.clone(),
            permits: permits.clone(),
        };
        let handler = handler.clone();
        let permits = permits.clone();
        options.connections.spawn(async move {
            let permit = match permit {
                Some(permit) => Ok(permit),
                None => permits.acquire_owned().await,
            };
            if permit.is_ok() {
                connection.serve(stream, handler).await;
            }
            drop(entry);
        });
    }
}

/// Disables Nagle's algorithm and sets the TCP user timeout.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Accepted connection of a listener.
struct Connection {
    options: ListenerOptions,
    state: Arc<ConnectionState>,
    table: Arc<ConnectionTable>,
    permits: Arc<Semaphore>,
}

impl Connection {
    /// Whether so few places are left that answers close their connections.
    fn is_crowded(&self) -> bool {
        self.permits.available_permits() < self.options.max_connections / CROWDED_DIVISOR
    }

    async fn serve<H, F>(self, stream: TcpStream, handler: H)
    where
        H: Fn(Request<Incoming>) -> F,
        F: Future<Output = Response<AnswerBody>>,
    {
        let mut shutdown_phase = self.options.shutdown_phase.clone();
        // A connection that is accepted in the closing phase still serves one request.
        let mut closing = *shutdown_phase.borrow_and_update() >= ShutdownPhase::Closing;
        let this = &self;
        let service = service_fn(|request: Request<Incoming>| {
            let request_guard = this.state.begin_request();
            // Bytes after a chunked request may be a smuggled request, if a proxy in
            // front of this process took the length from another header. The
            // connection is therefore closed.
            let chunked = request.headers().contains_key(TRANSFER_ENCODING);
            let has_body = !request.body().is_end_stream();
            let answer = handler(request);
            async move {
                let mut answer = answer.await;
                let phase = *this.options.shutdown_phase.borrow();
                if chunked || phase != ShutdownPhase::Serving || this.is_crowded() {
                    let close = HeaderValue::from_static("close");
                    answer.headers_mut().insert(CONNECTION, close);
                }
                if has_body && !answer.status().is_success() {
                    this.state.linger();
                }
                Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, request_guard)))
            }
        });
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(this.options.timeouts.idle())
            .max_buf_size(CLIENT_BUFFER_BYTES);
        let stream = TrackedStream::new(stream, this.state.clone());
        let connection = builder.serve_connection(TokioIo::new(stream), service);
        tokio::pin!(connection);
        let reason = loop {
            tokio::select! {
                ended = connection.as_mut() => {
                    let Err(error) = ended else {
                        return;
                    };
                    log::debug!(error:% = error; "caller connection ended");
                    match this.state.close_reason() {
                        Some(reason) => break reason.as_str(),
                        None if error.is_parse() => break "malformed",
                        // The client went away.
                        None => return,
                    }
                }
                reason = this.state.closed() => break reason.as_str(),
                changed = shutdown_phase.changed(), if !closing => {
                    if changed.is_err() || *shutdown_phase.borrow() >= ShutdownPhase::Closing {
                        closing = true;
                        connection.as_mut().graceful_shutdown();
                    }
                }
            }
        };
        this.table.report_closed(&this.options.metrics, reason);
    }
}
