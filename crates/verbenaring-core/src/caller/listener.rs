//! Listening sockets of a VM.
//!
//! A stop has two steps. While it is announced, every answer closes its
//! connection, and idle connections stay open for callers that have not heard
//! of it. Then idle connections are closed and open calls end.

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

/// Time without acknowledgement after which a connection is given up. Silent
/// connections do not reset by themselves.
pub const SILENT_CONNECTION: Duration = Duration::from_secs(6);
/// Pause after a failed accept, for example for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest buffer of one connection; the usual head limit and a body chunk.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Steps of a stop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopStep {
    /// Serving.
    #[default]
    Serving,
    /// Answers close their connections.
    Announced,
    /// Idle connections are closed.
    Closing,
}

/// What the listeners of a VM share.
#[derive(Debug, Clone)]
pub struct ListenerRules {
    /// Steps of the stop.
    pub stop: watch::Receiver<StopStep>,
    /// Open connections; a stop waits for them.
    pub open: TaskTracker,
    /// Connections that may be open.
    pub permits: Arc<Semaphore>,
    /// Time for which a connection may wait for a request head.
    pub idle: Arc<IdleLimit>,
}

/// Idle time after which connections of callers are closed.
///
/// It follows the configuration and applies to connections accepted later.
#[derive(Debug)]
pub struct IdleLimit {
    millis: AtomicU64,
}

/// Idle time of a connection as a multiple of the configured limit. Callers use
/// a connection until shortly before the limit, and the limit may be raised
/// while it is open.
const IDLE_FACTOR: u32 = 2;

impl Default for IdleLimit {
    fn default() -> Self {
        let limit = Self {
            millis: AtomicU64::new(0),
        };
        limit.set(CallerLimits::default().idle_timeout);
        limit
    }
}

impl IdleLimit {
    /// Follows the configured limit.
    pub fn set(&self, configured: Duration) {
        let millis = (configured * IDLE_FACTOR).as_millis() as u64;
        self.millis.store(millis, Ordering::Relaxed);
    }

    /// Time after which a connection is closed.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.millis.load(Ordering::Relaxed))
    }
}

/// Binds the TCP address of a settings field.
pub async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener> {
    let listening = TcpListener::bind(address).await;
    listening.map_err(|source| Error::Listen {
        field,
        address,
        source,
    })
}

/// Accepts connections until the process ends.
pub async fn serve<H, F>(listener: TcpListener, rules: ListenerRules, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    loop {
        let (stream, _) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!(error:% = error; "connection not accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = rules.permits.clone().try_acquire_owned() else {
            log::warn!("connection closed: too many open connections");
            continue;
        };
        if let Err(error) = prepare(&stream) {
            log::warn!(error:% = error; "connection closed: options not accepted");
            continue;
        }
        let connection = serve_connection(stream, rules.clone(), handler.clone());
        rules.open.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

/// Sets the options of every connection.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(SILENT_CONNECTION))
}

async fn serve_connection<H, F>(stream: TcpStream, mut rules: ListenerRules, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<AnswerBody>>,
{
    let stop = rules.stop.clone();
    let service = service_fn(|request: Request<Incoming>| {
        // What follows a chunked request may be a smuggled one, if a proxy
        // before this process took its length from another header.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let answer = handler(request);
        let stop = stop.clone();
        async move {
            let mut answer = answer.await;
            if chunked || *stop.borrow() != StopStep::Serving {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(rules.idle.timeout())
        .max_buf_size(READ_BUFFER_BYTES);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // A connection that is opened while others close is still answered once.
    let mut closing = *rules.stop.borrow_and_update() == StopStep::Closing;
    loop {
        tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!(error:% = error; "caller connection ended");
                }
                return;
            }
            changed = rules.stop.changed(), if !closing => {
                if changed.is_err() || *rules.stop.borrow() == StopStep::Closing {
                    closing = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
        }
    }
}
