//! Listener and HTTP helpers shared by the stand-ins.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::Value;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep};

use crate::error::Result;

/// Pause after a failed accept, which fails again until a file descriptor is free.
const ACCEPT_RETRY_TIME: Duration = Duration::from_millis(10);

/// Ends the connection without a complete response.
#[derive(Debug, thiserror::Error)]
#[error("connection closed by the stand-in")]
pub(crate) struct Closed;

pub(crate) type Body = UnsyncBoxBody<Bytes, Closed>;
pub(crate) type Reply = std::result::Result<Response<Body>, Closed>;

/// Request handling of one stand-in.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request or closes its connection.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Reply> + Send;
}

/// Resets connections and refuses new ones.
#[derive(Debug)]
pub(crate) struct ConnectionGate {
    state: Mutex<GateState>,
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

    /// Resets every connection and, while `down`, every new one.
    pub(crate) fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
        if down {
            self.reset();
        }
    }

    /// Resets every connection and refuses new ones until `until`.
    pub(crate) fn refuse_until(&self, until: Instant) {
        self.state.lock().unwrap().refuse_until = Some(until);
        self.reset();
    }

    fn reset(&self) {
        self.resets.send_modify(|count| *count += 1);
    }

    fn refuses(&self) -> bool {
        let state = self.state.lock().unwrap();
        state.down
            || state
                .refuse_until
                .is_some_and(|until| Instant::now() < until)
    }
}

/// Listening socket and its connections; dropping it closes all of them.
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
        let socket = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = socket.local_addr()?;
        let task = tokio::spawn(accept(socket, handler, gate));
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

async fn accept<H: Handler>(socket: TcpListener, handler: Arc<H>, gate: Arc<ConnectionGate>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = socket.accept() => {
                let Ok((stream, _)) = accepted else {
                    sleep(ACCEPT_RETRY_TIME).await;
                    continue;
                };
                let resets = gate.resets.subscribe();
                if gate.refuses() {
                    reset(stream);
                    continue;
                }
                connections.spawn(serve(stream, handler.clone(), resets));
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, handler: Arc<H>, mut resets: watch::Receiver<u64>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler.clone().handle(request));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = &mut connection => {}
        _ = resets.changed() => reset(connection.into_parts().io.into_inner()),
    }
}

/// Closes with a TCP reset, so that the peer cannot take it for an orderly end.
fn reset(stream: TcpStream) {
    let _ = stream.set_zero_linger();
}

/// Whole request body; a client that disconnects meanwhile closes the connection.
pub(crate) async fn read_body(request: Request<Incoming>) -> std::result::Result<Bytes, Closed> {
    collect(request.into_body()).await
}

pub(crate) async fn collect(body: Incoming) -> std::result::Result<Bytes, Closed> {
    let collected = body.collect().await.map_err(|_| Closed)?;
    Ok(collected.to_bytes())
}

/// Header of a request as text; empty if it is absent.
pub(crate) fn header_text<'a, B>(request: &'a Request<B>, name: &str) -> &'a str {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

pub(crate) fn text_response(
    status: StatusCode,
    kind: &'static str,
    text: String,
) -> Response<Body> {
    let body = Full::new(Bytes::from(text)).map_err(|never| match never {});
    let mut response = Response::new(body.boxed_unsync());
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    text_response(status, "application/json", value.to_string())
}

pub(crate) fn stream_response(
    kind: &'static str,
    chunks: impl Stream<Item = std::result::Result<Bytes, Closed>> + Send + 'static,
) -> Response<Body> {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Adds a header unless `value` has bytes that a header cannot carry.
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
