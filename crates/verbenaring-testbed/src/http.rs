//! HTTP server and helpers that the stand-ins share.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep, sleep_until};

use crate::error::Result;

/// Pause after a failed accept. Without a free file descriptor, accepting fails
/// again at once.
const ACCEPT_RETRY_TIME: Duration = Duration::from_millis(10);
/// Connections that wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1_024;
/// Time for which a stand-in that restarts listens before it serves; it resets connections
/// meanwhile.
const LISTEN_LEAD: Duration = Duration::from_millis(5);
/// Time between the bytes of an unframed response and the end of its connection.
const UNFRAMED_END_DELAY: Duration = Duration::from_millis(20);

/// Error of a handler that closes the connection instead of completing its
/// response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed by the stand-in")]
pub(crate) struct Closed;

pub(crate) type Body = UnsyncBoxBody<Bytes, Closed>;
pub(crate) type HandlerResult = std::result::Result<Response<Body>, Closed>;

/// Handler for the requests of one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request or closes its connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = HandlerResult> + Send;
}

/// Switch that resets the connections of a stand-in and refuses new ones.
#[derive(Debug)]
pub(crate) struct ConnectionGate {
    state: Mutex<GateState>,
    /// Number of resets; each change closes the open connections.
    resets: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct GateState {
    down: bool,
    refuse_until: Option<Instant>,
}

impl ConnectionGate {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            resets: watch::channel(0).0,
        })
    }

    /// Sets whether new connections are refused. If `down`, the open ones are
    /// reset as well.
    pub(crate) fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        if down {
            self.reset_all();
        }
    }

    /// Resets the open connections and refuses new ones until `until`.
    pub(crate) fn refuse_until(&self, until: Instant) {
        self.state.lock().unwrap().refuse_until = Some(until);
        self.reset_all();
    }

    fn reset_all(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    fn refuses_connections(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.down
            || state
                .refuse_until
                .is_some_and(|until| Instant::now() < until)
    }

    /// Time until which nothing listens; `None` if it has passed.
    fn closed_until(&self) -> Option<Instant> {
        let until = self.state.lock().unwrap().refuse_until?;
        let opened = until.checked_sub(LISTEN_LEAD)?;
        (Instant::now() < opened).then_some(opened)
    }
}

/// HTTP server on a loopback port. Dropping it closes the socket and all
/// connections.
#[derive(Debug)]
pub(crate) struct Listener {
    pub(crate) address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    pub(crate) async fn start<H: Handler>(
        handler: Arc<H>,
        gate: Arc<ConnectionGate>,
    ) -> Result<Self> {
        let holder = bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let address = holder.local_addr()?;
        let socket = bind(address)?.listen(ACCEPT_BACKLOG)?;
        let task = tokio::spawn(async move {
            // Keeps the port while nothing listens, so that no other stand-in gets it.
            let _holder = holder;
            accept_connections(socket, address, handler, gate).await;
        });
        Ok(Self { address, task })
    }

    pub(crate) async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts connections; nothing listens while the stand-in restarts.
async fn accept_connections<H: Handler>(
    mut socket: TcpListener,
    address: SocketAddr,
    handler: Arc<H>,
    gate: Arc<ConnectionGate>,
) {
    let mut resets = gate.resets.subscribe();
    loop {
        accept_until_restart(&socket, &handler, &gate, &mut resets).await;
        drop(socket);
        socket = loop {
            while let Some(until) = gate.closed_until() {
                sleep_until(until).await;
            }
            match bind(address).and_then(|socket| socket.listen(ACCEPT_BACKLOG)) {
                Ok(socket) => break socket,
                Err(_) => sleep(ACCEPT_RETRY_TIME).await,
            }
        };
    }
}

async fn accept_until_restart<H: Handler>(
    socket: &TcpListener,
    handler: &Arc<H>,
    gate: &Arc<ConnectionGate>,
    resets: &mut watch::Receiver<u64>,
) {
    let mut connections = JoinSet::new();
    while gate.closed_until().is_none() {
        tokio::select! {
            accepted = socket.accept() => {
                let Ok((stream, _)) = accepted else {
                    sleep(ACCEPT_RETRY_TIME).await;
                    continue;
                };
                let resets = gate.resets.subscribe();
                if gate.refuses_connections() {
                    reset_connection(stream);
                    continue;
                }
                connections.spawn(serve_connection(stream, handler.clone(), resets));
            }
            _ = resets.changed() => {}
            Some(_) = connections.join_next() => {}
        }
    }
    // Each connection resets itself.
    connections.detach_all();
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut resets: watch::Receiver<u64>,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler.clone().handle(request));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = &mut connection => {}
        _ = resets.changed() => reset_connection(connection.into_parts().io.into_inner()),
    }
}

/// Closes a connection with a TCP reset, so that the peer does not mistake it
/// for an orderly end.
fn reset_connection(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Reads the body of a request; fails if the client disconnects before its end.
pub(crate) async fn read_body(request: Request<Incoming>) -> std::result::Result<Bytes, Closed> {
    collect_body(request.into_body()).await
}

/// Reads a body to its end; fails if the client disconnects before.
pub(crate) async fn collect_body(body: Incoming) -> std::result::Result<Bytes, Closed> {
    let collected = body.collect().await.map_err(|_| Closed)?;
    Ok(collected.to_bytes())
}

/// Value of a request header; empty if it is absent or not plain text.
pub(crate) fn header_text<'a, B>(request: &'a Request<B>, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

pub(crate) fn text_response(
    status: StatusCode,
    content_type: &'static str,
    text: String,
) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|infallible| match infallible {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    text_response(status, "application/json", value.to_string())
}

pub(crate) fn stream_response(
    content_type: &'static str,
    chunks: impl Stream<Item = std::result::Result<Bytes, Closed>> + Send + 'static,
) -> Response<Body> {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Response with neither a length nor chunks, which ends with its connection.
pub(crate) fn unframed_response(content_type: &'static str, bytes: Bytes) -> Response<Body> {
    let end = stream::once(async {
        sleep(UNFRAMED_END_DELAY).await;
        Ok(Bytes::new())
    });
    without_framing(content_type, stream::iter([Ok(bytes)]).chain(end))
}

/// Unframed response whose connection stays open until its listener stops.
pub(crate) fn held_response(content_type: &'static str, bytes: Bytes) -> Response<Body> {
    let bytes = stream::iter([Ok(bytes)]);
    without_framing(content_type, bytes.chain(stream::pending()))
}

fn without_framing(
    content_type: &'static str,
    chunks: impl Stream<Item = std::result::Result<Bytes, Closed>> + Send + 'static,
) -> Response<Body> {
    let mut response = stream_response(content_type, chunks);
    *response.version_mut() = Version::HTTP_10;
    response
}

/// Adds a header. Leaves it out if `value` is not a valid header value.
pub(crate) fn with_header(
    mut response: Response<Body>,
    name: &'static str,
    value: &str,
) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
    response
}
