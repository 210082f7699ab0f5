//! Listening sockets with limits that protect the node's memory.
//!
//! The number of connections, the size of a request head, the time to receive a
//! head and the time to write to a caller that does not read are limited. A
//! graceful shutdown waits for open requests. Heads that cannot be parsed are
//! refused here, because they never reach a handler.

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
use hyper::header::{CONNECTION, HeaderValue};
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
use verbenaring_core::caller::connection::{ConnectionState, ConnectionTable, TrackedBody};
use verbenaring_policy::memory::MemoryAccount;
use verbenaring_protocol::header;

use crate::body::AnswerBody;
use crate::config::LimitSettings;
use crate::error::{Error, Result};
use crate::live::LiveSettings;
use crate::refusal::Refusal;
use crate::tls::NodeStream;

/// Time for which a listener whose connections are all taken waits before it closes some
/// that make no progress.
const REPLACE_PERIOD: Duration = Duration::from_millis(100);
/// Part of the connections that is closed at a time, as a divisor.
const REPLACE_DIVISOR: usize = 4;
/// Part of the connections, as a divisor. While fewer places are left, answers close their
/// connections, so that clients with many of them do not keep others out.
const CROWDED_DIVISOR: usize = 8;

/// Handler of the requests that arrive at a listening socket.
pub trait RequestHandler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        &self,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<AnswerBody>> + Send;
}

/// Bound HTTP listening socket.
pub struct NodeListener {
    listener: TcpListener,
    settings: ConnectionSettings,
}

/// Source of the limits and the TLS configuration of new connections.
#[derive(Clone)]
enum ConnectionSettings {
    /// Fixed limits, no TLS.
    Fixed(LimitSettings),
    /// Limits and TLS that a reload may replace, read for each new connection.
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

impl ConnectionSettings {
    fn limits(&self) -> LimitSettings {
        match self {
            Self::Fixed(limits) => *limits,
            Self::Live(live, _) => live.limits(),
        }
    }

    async fn accept_tls(
        &self,
        stream: WriteTimeoutStream,
    ) -> io::Result<NodeStream<WriteTimeoutStream>> {
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
    /// Binds `address`; `field` is the settings field that an error names.
    ///
    /// Connections have the limits of `limits` and no TLS.
    pub async fn bind(
        field: &'static str,
        address: SocketAddr,
        limits: LimitSettings,
    ) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::Listen {
                field,
                address,
                source,
            })?;
        let settings = ConnectionSettings::Fixed(limits);
        Ok(Self { listener, settings })
    }

    /// Takes limits and TLS from `live` for each new connection. The maximum number
    /// of connections is read once, by [`NodeListener::serve`].
    pub fn with_live_settings(self, live: &Arc<LiveSettings>, role: PeerRole) -> Self {
        let settings = ConnectionSettings::Live(live.clone(), role);
        Self { settings, ..self }
    }

    /// Bound address, with the port that the system chose if port 0 was asked for.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// Serves until `shutdown`, then stops listening and waits for open requests.
    ///
    /// While all connections are taken, those that have sent no whole request and are quiet
    /// make room for the ones that wait. `memory` is for the heads of requests.
    pub async fn serve<H: RequestHandler>(
        self,
        handler: H,
        memory: Arc<MemoryAccount>,
        shutdown: CancellationToken,
    ) {
        let max_connections = self.settings.limits().max_connections;
        let places = Arc::new(ConnectionPlaces {
            permits: Arc::new(Semaphore::new(max_connections)),
            table: Arc::default(),
            max_connections,
        });
        let graceful = GracefulShutdown::new();
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => break,
                accepted = self.accept(&places) => accepted,
            };
            let (socket, permit) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    // The process is probably out of file descriptors; the delay lets
                    // connections end.
                    log::warn!("connection cannot be accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let settings = self.settings.clone();
            let handler = handler.clone();
            let watcher = graceful.watcher();
            let places = places.clone();
            let entry = places.table.insert(&memory);
            tokio::spawn(async move {
                let _permit = permit;
                let state = entry.state.clone();
                let served = serve_connection(socket, settings, handler, watcher, &state, &places);
                tokio::select! {
                    () = served => {}
                    reason = state.closed() => places.table.log_closed(reason.as_str()),
                }
            });
        }
        drop(self.listener);
        graceful.shutdown().await;
    }

    async fn accept(
        &self,
        places: &ConnectionPlaces,
    ) -> io::Result<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
        let permit = loop {
            let permit = places.permits.clone().acquire_owned();
            match tokio::time::timeout(REPLACE_PERIOD, permit).await {
                Ok(permit) => break permit.map_err(|_| io::ErrorKind::BrokenPipe)?,
                Err(_) => {
                    let count = (places.max_connections / REPLACE_DIVISOR).max(1);
                    let idle_limit = self.settings.limits().header_timeout;
                    places.table.close_stalled(idle_limit, count);
                }
            }
        };
        let (socket, _) = self.listener.accept().await?;
        socket.set_nodelay(true)?;
        Ok((socket, permit))
    }
}

/// Places for the connections of a listener.
struct ConnectionPlaces {
    permits: Arc<Semaphore>,
    table: Arc<ConnectionTable>,
    max_connections: usize,
}

impl ConnectionPlaces {
    /// Whether so few places are left that answers close their connections.
    fn is_crowded(&self) -> bool {
        self.permits.available_permits() < self.max_connections / CROWDED_DIVISOR
    }
}

async fn serve_connection<H: RequestHandler>(
    socket: TcpStream,
    settings: ConnectionSettings,
    handler: H,
    watcher: Watcher,
    state: &Arc<ConnectionState>,
    places: &Arc<ConnectionPlaces>,
) {
    let limits = settings.limits();
    let request_handled = Arc::new(AtomicBool::new(false));
    let stream = WriteTimeoutStream::new(
        socket,
        limits.stall_timeout,
        request_handled.clone(),
        state.clone(),
    );
    let stream =
        match tokio::time::timeout(limits.header_timeout, settings.accept_tls(stream)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return log::info!("connection refused: {error}"),
            Err(_) => return log::info!("connection refused: TLS handshake timed out"),
        };
    let (state, places) = (state.clone(), places.clone());
    let service = service_fn(move |request| {
        request_handled.store(true, Ordering::Relaxed);
        let request_guard = state.begin_request();
        let is_crowded = places.is_crowded();
        let handler = handler.clone();
        // hyper keeps this future allocated while it writes the answer. The large
        // handler future is boxed, so that it is freed before that.
        async move {
            let mut answer = Box::pin(handler.handle(request)).await;
            if is_crowded {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, request_guard)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_head_bytes)
        .half_close(false)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = watcher.watch(connection).await {
        log::debug!("connection ended: {error}");
    }
}

/// Socket whose writes fail if the peer accepts no data for `timeout`.
///
/// hyper answers a head that it cannot parse with a status and no body. Such an
/// answer is replaced by a refusal with a body, but only before the first request
/// of the connection was handled, because later bytes could be content of an answer.
struct WriteTimeoutStream {
    socket: TcpStream,
    timeout: Duration,
    /// Timer of the pending write.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the handler was called for this connection.
    request_handled: Arc<AtomicBool>,
    /// Part of the replacement refusal that is not written yet.
    refusal: Option<Bytes>,
    /// Records what arrives.
    state: Arc<ConnectionState>,
}

impl WriteTimeoutStream {
    fn new(
        socket: TcpStream,
        timeout: Duration,
        request_handled: Arc<AtomicBool>,
        state: Arc<ConnectionState>,
    ) -> Self {
        Self {
            socket,
            timeout,
            write_timer: None,
            request_handled,
            refusal: None,
            state,
        }
    }

    /// Refusal to write instead of `data`, if `data` is hyper's answer to a head that
    /// it could not parse.
    fn replacement(&mut self, data: &[u8]) -> Option<&mut Bytes> {
        if self.refusal.is_none() && !self.request_handled.load(Ordering::Relaxed) {
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

    /// Fails a write that has been pending for `timeout`.
    fn apply_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let timeout = self.timeout;
        let sleep = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        match sleep.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(context, buffer))?;
        match buffer.filled().len() - before {
            0 => Poll::Ready(Ok(())),
            read => Poll::Ready(self.state.record_read(read)),
        }
    }
}

impl AsyncWrite for WriteTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = match self.replacement(data) {
            Some(_) => self.poll_refusal(context).map_ok(|()| data.len()),
            None => Pin::new(&mut self.socket).poll_write(context, data),
        };
        self.apply_timeout(context, result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = data.iter().find(|slice| !slice.is_empty());
        if let Some(first) = first
            && self.replacement(first).is_some()
        {
            return self.poll_write(context, first);
        }
        let result = Pin::new(&mut self.socket).poll_write_vectored(context, data);
        self.apply_timeout(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.socket).poll_flush(context);
        self.apply_timeout(context, result)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}

/// Refusal in place of hyper's answer to a head that it could not parse; `None`
/// for any other answer.
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
