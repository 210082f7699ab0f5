//! Connections to backend servers and to other VMs.
//!
//! One call at a time uses a connection. A connection returns to the pool only
//! after a whole answer; any other end closes it, so that a late answer cannot
//! meet the next call and the server stops work on what nobody waits for.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::caller::listener::prepare;

/// Idle time after which a connection is closed unless the server states more.
/// Servers that state none close after less than a second or a few.
const DEFAULT_IDLE: Duration = Duration::from_millis(900);
/// Time before the stated end of an idle connection at which it is not used.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Longest idle time.
const MAX_IDLE: Duration = Duration::from_secs(15);
/// Idle connections kept for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why a request was not answered.
#[derive(Debug, thiserror::Error)]
pub enum SendFault {
    /// No connection; the request was not sent.
    #[error("no connection: {0}")]
    NoConnection(String),
    /// The connection ended after the request was sent, wholly or in part.
    #[error("connection broke: {0}")]
    Broken(String),
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    until: Instant,
    since: Instant,
}

/// Idle connections by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    opened: std::sync::atomic::AtomicU64,
}

/// How a connection may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Time limit of a new connection.
    pub connect_timeout: Duration,
    /// Longest idle time of a connection that is used again.
    pub max_idle: Duration,
}

/// Connection in use; closed when dropped.
pub struct ConnectionLease {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    task: AbortHandle,
    idle: Duration,
}

impl ConnectionLease {
    /// Returns the connection after a whole answer.
    pub fn release(mut self) {
        let Some(sender) = self.sender.take() else {
            return;
        };
        if sender.is_closed() {
            return;
        }
        let now = Instant::now();
        let connection = IdleConnection {
            sender,
            task: self.task.clone(),
            until: now + self.idle,
            since: now,
        };
        let mut idle = self.pool.lock();
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(connection);
        } else {
            connection.task.abort();
        }
    }
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        if self.sender.is_some() {
            self.task.abort();
        }
    }
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        rules: ConnectOptions,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendFault> {
        while let Some(mut lease) = self.reuse(address, rules.max_idle) {
            match lease.try_send(request).await {
                Ok(answer) => return Ok((answer, lease)),
                Err((_, Some(unsent))) => request = *unsent,
                Err((reason, None)) => return Err(SendFault::Broken(reason)),
            }
        }
        let mut lease = self.connect(address, rules.connect_timeout).await?;
        match lease.try_send(request).await {
            Ok(answer) => Ok((answer, lease)),
            Err((reason, Some(_))) => Err(SendFault::NoConnection(reason)),
            Err((reason, None)) => Err(SendFault::Broken(reason)),
        }
    }

    /// Connections opened so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Closes connections whose idle time is over.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.retain(|connection| {
                let keep = now < connection.until && !connection.sender.is_closed();
                if !keep {
                    connection.task.abort();
                }
                keep
            });
            !connections.is_empty()
        });
    }

    fn reuse(self: &Arc<Self>, address: SocketAddr, max_idle: Duration) -> Option<ConnectionLease> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(mut connection) = connections.pop() {
            let ready = matches!(connection.sender.ready().now_or_never(), Some(Ok(())));
            let fresh = now < connection.until && now < connection.since + max_idle;
            if ready && fresh {
                return Some(ConnectionLease {
                    pool: self.clone(),
                    address,
                    sender: Some(connection.sender),
                    task: connection.task,
                    idle: connection.until - connection.since,
                });
            }
            connection.task.abort();
        }
        None
    }

    async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<ConnectionLease, SendFault> {
        let fault = |reason: String| SendFault::NoConnection(reason);
        let opened = async {
            let stream = TcpStream::connect(address).await?;
            prepare(&stream)?;
            Ok::<_, std::io::Error>(stream)
        };
        let stream = match tokio::time::timeout(timeout, opened).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(fault(error.to_string())),
            Err(_) => return Err(fault(format!("no answer within {timeout:?}"))),
        };
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| fault(error.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(error:% = error; "server connection ended");
            }
        });
        self.opened
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Ok(ConnectionLease {
            pool: self.clone(),
            address,
            sender: Some(sender),
            task: task.abort_handle(),
            idle: DEFAULT_IDLE,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Unsent = Option<Box<Request<Full<Bytes>>>>;

impl ConnectionLease {
    /// Sends a request; returns it if no byte of it was sent.
    async fn try_send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, (String, Unsent)> {
        let Some(sender) = &mut self.sender else {
            return Err((
                "connection was released".to_owned(),
                Some(Box::new(request)),
            ));
        };
        match sender.try_send_request(request).await {
            Ok(answer) => {
                self.idle = stated_idle(answer.headers());
                Ok(answer)
            }
            Err(mut error) => {
                let unsent = error.take_message().map(Box::new);
                Err((error.into_error().to_string(), unsent))
            }
        }
    }
}

/// Idle time that the server states, less a margin.
fn stated_idle(headers: &HeaderMap) -> Duration {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok());
    match stated.map(Duration::from_secs) {
        Some(idle) => idle.saturating_sub(IDLE_MARGIN).min(MAX_IDLE),
        None => DEFAULT_IDLE,
    }
}
