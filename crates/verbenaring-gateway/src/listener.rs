//! Listening sockets with limits that protect the node's memory.
//!
//! Each connection has a bounded head, a time limit for the head and for a
//! caller that does not read. A graceful shutdown lets open requests end.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

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

use crate::body::AnswerBody;
use crate::config::GuardSettings;
use crate::error::{Error, Result};
use crate::live::LiveSettings;
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
    pub fn with_live(self, live: &Arc<LiveSettings>, role: PeerRole) -> Self {
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
    let stream = StallGuard::new(socket, guards.stall_timeout);
    let stream = match tokio::time::timeout(guards.header_timeout, rules.secure(stream)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return log::info!("connection refused: {error}"),
        Err(_) => return log::info!("connection refused: no TLS handshake in time"),
    };
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
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
struct StallGuard {
    socket: TcpStream,
    timeout: Duration,
    stalled: Option<Pin<Box<Sleep>>>,
}

impl StallGuard {
    fn new(socket: TcpStream, timeout: Duration) -> Self {
        Self {
            socket,
            timeout,
            stalled: None,
        }
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
        let result = Pin::new(&mut self.socket).poll_write(context, data);
        self.watch(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
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
