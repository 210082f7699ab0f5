//! Listening sockets with limits that protect the node's memory.
//!
//! Each connection has a bounded head, a time limit for the head and for a
//! caller that does not read. A graceful shutdown lets open requests end.
//! Heads that cannot be parsed are refused here, as no handler sees them.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::Sleep;
use tokio_util::sync::CancellationToken;
use verbenaring_protocol::header;

use crate::body::AnswerBody;
use crate::config::GuardSettings;
use crate::error::{Error, Result};
use crate::live::LiveSettings;
use crate::refusal::Refusal;
use crate::tls::NodeStream;

/// Answers requests of one listening socket.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Listening socket.
pub struct NodeListener {
    listener: TcpListener,
    rules: ConnectionRules,
}

/// Limits and TLS of the connections of a listening socket.
#[derive(Clone)]
enum ConnectionRules {
    /// Fixed limits, no TLS.
    Fixed(GuardSettings),
    /// Limits and TLS in force, read for each connection.
    Live(Arc<LiveSettings>, PeerRole),
}

/// Who connects to a listening socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// Callers, with `caller_tls`.
    Caller,
    /// Other nodes, with `node_tls`.
    Node,
}

impl ConnectionRules {
    fn guards(&self) -> GuardSettings {
        match self {
            Self::Fixed(guards) => *guards,
            Self::Live(live, _) => live.guards(),
        }
    }

    async fn secure(&self, stream: StallGuard) -> io::Result<NodeStream<StallGuard>> {
        let Self::Live(live, role) = self else {
            return Ok(NodeStream::Plain(stream));
        };
        let credentials = live.credentials();
        match role {
            PeerRole::Caller => {
                NodeStream::accept_caller(credentials.caller_tls.as_ref(), stream).await
            }
            PeerRole::Node => NodeStream::accept_node(credentials.node_tls.as_ref(), stream).await,
        }
    }
}

impl NodeListener {
    /// Binds the address of a settings field.
    pub async fn bind(
        field: &'static str,
        address: SocketAddr,
        guards: GuardSettings,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::Listen {
                field,
                address,
                source,
            })?;
        let rules = ConnectionRules::Fixed(guards);
        Ok(Self { listener, rules })
    }

    /// Takes limits and TLS from `live` for each connection.
    pub fn with_live_settings(self, live: &Arc<LiveSettings>, role: PeerRole) -> Self {
        let rules = ConnectionRules::Live(live.clone(), role);
        Self { rules, ..self }
    }

    /// Address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// Serves until `shutdown`, then waits for open requests.
    pub async fn serve<H: RequestHandler>(self, handler: H, shutdown: CancellationToken) {
        let permits = Arc::new(Semaphore::new(self.rules.guards().max_connections));
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => break,
                accepted = self.accept(&permits) => accepted,
            };
            let (socket, permit) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    // Out of descriptors: waiting lets connections end.
                    log::warn!("connection cannot be accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let rules = self.rules.clone();
            let handler = handler.clone();
            let watcher = graceful.watcher();
            tokio::spawn(async move {
                let _permit = permit;
                serve_connection(socket, rules, handler, watcher).await;
            });
        }
        drop(self.listener);
        graceful.shutdown().await;
    }

    async fn accept(
        &self,
        permits: &Arc<Semaphore>,
    ) -> io::Result<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
        let permit = permits
            .clone()
            .acquire_owned()
            .await
            .map_err(|_| io::ErrorKind::BrokenPipe)?;
        let (socket, _) = self.listener.accept().await?;
        socket.set_nodelay(true)?;
        Ok((socket, permit))
    }
}

/// Serves one connection to its end.
async fn serve_connection<H: RequestHandler>(
    socket: TcpStream,
    rules: ConnectionRules,
    handler: H,
    watcher: Watcher,
) {
    let guards = rules.guards();
    let handled = Arc::new(AtomicBool::new(false));
    let stream = StallGuard::new(socket, guards.stall_timeout, handled.clone());
    let stream = match tokio::time::timeout(guards.header_timeout, rules.secure(stream)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return log::info!("connection refused: {error}"),
        Err(_) => return log::info!("connection refused: no TLS handshake in time"),
    };
    let service = service_fn(move |request| {
        handled.store(true, Ordering::Relaxed);
        let handler = handler.clone();
        // The connection keeps the memory of the future while it relays the
        // answer, so the large part of the future is boxed and freed before.
        async move { Ok::<_, Infallible>(Box::pin(handler.handle(request)).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(guards.header_timeout)
        .max_buf_size(guards.max_head_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!("connection ended: {error}");
    }
}

/// Ends a connection whose peer accepts nothing for too long.
///
/// The HTTP library answers a head that it cannot parse with a status and no
/// body. Such an answer is replaced by a refusal as long as no request of the
/// connection was handled; later bytes could be content of an answer.
struct StallGuard {
    socket: TcpStream,
    timeout: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
    handled: Arc<AtomicBool>,
    refusal: Option<Bytes>,
}

impl StallGuard {
    fn new(socket: TcpStream, timeout: Duration, handled: Arc<AtomicBool>) -> Self {
        Self {
            socket,
            timeout,
            stalled: None,
            handled,
            refusal: None,
        }
    }

    /// Refusal to write instead of `data`, if `data` is an answer without a request.
    fn replace(&mut self, data: &[u8]) -> Option<&mut Bytes> {
        if self.refusal.is_none() && !self.handled.load(Ordering::Relaxed) {
            self.refusal = head_refusal(data).map(Bytes::from);
        }
        self.refusal.as_mut()
    }

    fn poll_refusal(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(rest) = self.refusal.as_mut().filter(|rest| rest.has_remaining()) {
            let written = ready!(Pin::new(&mut self.socket).poll_write(context, rest))?;
            rest.advance(written);
        }
        Poll::Ready(Ok(()))
    }

    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.stalled = None;
            return result;
        }
        let timeout = self.timeout;
        let sleep = self
            .stalled
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        match sleep.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for StallGuard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for StallGuard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = match self.replace(data) {
            Some(_) => self.poll_refusal(context).map_ok(|()| data.len()),
            None => Pin::new(&mut self.socket).poll_write(context, data),
        };
        self.watch(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = data.iter().find(|slice| !slice.is_empty());
        if let Some(first) = first
            && self.replace(first).is_some()
        {
            return self.poll_write(context, first);
        }
        let result = Pin::new(&mut self.socket).poll_write_vectored(context, data);
        self.watch(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.socket).poll_flush(context);
        self.watch(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

/// Refusal in place of an answer of the HTTP library.
fn head_refusal(answer: &[u8]) -> Option<String> {
    let status = answer.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
    let status = StatusCode::from_bytes(status).ok()?;
    let (code, message) = match status {
        StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE | StatusCode::URI_TOO_LONG => {
            ("head_too_large", "head of the request is too large")
        }
        StatusCode::BAD_REQUEST => ("invalid_head", "head of the request cannot be read"),
        _ => return None,
    };
    let refusal = Refusal::not_run(status, code, message);
    let body = refusal.to_json();
    Some(format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\n{}: {}\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        header::OUTCOME,
        refusal.outcome.as_str(),
        body.len(),
    ))
}
