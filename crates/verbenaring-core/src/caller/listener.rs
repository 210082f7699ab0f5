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

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio_util::task::TaskTracker;
use verbenaring_policy::dispatch::call::CallerLimits;

use super::body::AnswerBody;
use crate::error::{Error, Result};

/// Time for which sent data may stay unacknowledged before a connection is
/// closed. A connection whose peer has vanished is not reset by itself.
pub const TCP_USER_TIMEOUT: Duration = Duration::from_secs(6);
/// Pause after a failed accept, for example when descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Largest read buffer of one connection, which holds the head of a message of the
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
#[derive(Debug, Clone)]
pub struct ListenerOptions {
    /// Current phase of the shutdown.
    pub shutdown_phase: watch::Receiver<ShutdownPhase>,
    /// Tracks open connections; the shutdown waits for those of callers.
    pub connections: TaskTracker,
    /// One permit for each connection that may be open.
    pub permits: Arc<Semaphore>,
    /// Time that a connection may wait for a request head.
    pub idle_timeout: Arc<IdleTimeout>,
}

/// Idle time after which connections of callers are closed.
///
/// A configuration change applies to connections that are accepted later.
#[derive(Debug)]
pub struct IdleTimeout {
    millis: AtomicU64,
}

/// Idle timeout as a multiple of the configured limit. Callers reuse a
/// connection until shortly before the limit, and the limit may be raised while
/// a connection is open.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

impl Default for IdleTimeout {
    fn default() -> Self {
        let limit = Self {
            millis: AtomicU64::new(0),
        };
        limit.set(CallerLimits::default().idle_timeout);
        limit
    }
}

impl IdleTimeout {
    /// Sets the timeout from the configured limit.
    pub fn set(&self, configured: Duration) {
        let millis = (configured * IDLE_TIMEOUT_FACTOR).as_millis() as u64;
        self.millis.store(millis, Ordering::Relaxed);
    }

    /// Time after which a connection is closed.
    pub fn duration(&self) -> Duration {
        Duration::from_millis(self.millis.load(Ordering::Relaxed))
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
pub async fn serve<H, F>(listener: TcpListener, mut options: ListenerOptions, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = options.shutdown_phase.wait_for(|phase| *phase == ShutdownPhase::Closed) => return,
        };
        let (stream, _) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:% = error; "failed to accept connection");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = options.permits.clone().try_acquire_owned() else {
            log::warn!("connection closed: too many open connections");
            continue;
        };
        if let Err(error) = set_socket_options(&stream) {
            log::warn!(error:% = error; "connection closed: failed to set socket options");
            continue;
        }
        let connection = serve_connection(stream, options.clone(), handler.clone());
        options.connections.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

/// Disables Nagle's algorithm and sets the TCP user timeout.
pub fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

async fn serve_connection<H, F>(stream: TcpStream, mut options: ListenerOptions, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<AnswerBody>>,
{
    let shutdown_phase = options.shutdown_phase.clone();
    let service = service_fn(|request: Request<Incoming>| {
        // Bytes after a chunked request may be a smuggled request, if a proxy in
        // front of this process took the length from another header. The
        // connection is therefore closed.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let answer = handler(request);
        let shutdown_phase = shutdown_phase.clone();
        async move {
            let mut answer = answer.await;
            if chunked || *shutdown_phase.borrow() != ShutdownPhase::Serving {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(options.idle_timeout.duration())
        .max_buf_size(READ_BUFFER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection that is accepted in the closing phase still serves one request.
    let mut closing = *options.shutdown_phase.borrow_and_update() >= ShutdownPhase::Closing;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "caller connection ended");
                }
                return;
            }
            changed = options.shutdown_phase.changed(), if !closing => {
                if changed.is_err() || *options.shutdown_phase.borrow() >= ShutdownPhase::Closing {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
