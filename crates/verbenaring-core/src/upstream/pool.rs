//! Pool of connections to backend servers and to other VMs.
//!
//! A connection serves one call at a time. It returns to the pool only after a
//! whole answer and is closed otherwise, so that a late answer cannot be taken
//! for that of the next call, and the server stops work that nobody waits for.
//! Copies of earlier answers are skipped on a connection that is used again, and
//! no call is sent on a connection that has carried it.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite};
use tokio::task::AbortHandle;
use tokio::time::Instant;

pub use super::connect::ConnectOptions;
use super::connect::{ConnectError, open_stream};
use super::filter::AnswerFilter;
use super::history::{CallHash, CallHistory};
use super::request_body::RequestBody;
use super::reset::{EndWatcher, ResetGuard};
use crate::caller::listener::READ_BUFFER_BYTES;

/// Idle time after which a connection is closed if the server states no
/// timeout. Some of those servers close after less than a second, others after
/// a few.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(900);
/// Safety margin subtracted from the idle timeout that a server states.
const IDLE_MARGIN: Duration = Duration::from_millis(600);
/// Upper limit on the idle timeout.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
/// Limit on the idle connections kept for one address.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum SendError {
    /// No connection could be used, and no byte of the request was sent.
    #[error("no connection: {0}")]
    NoConnection(String),
    /// The connection failed after at least a part of the request was sent.
    #[error("connection failed after the request was sent: {0}")]
    Broken(String),
    /// A connection was opened, and its server did not state its start on it. No byte of the
    /// request was sent.
    #[error("no report: {0}")]
    NoReport(String),
    /// What has become known of the server forbids to send the request there now. No byte of
    /// it was sent.
    #[error("the server takes no such call now")]
    Withdrawn,
}

struct IdleConnection {
    sender: SendRequest<RequestBody>,
    task: AbortHandle,
    history: CallHistory,
    end: EndWatcher,
    expires_at: Instant,
    idle_since: Instant,
}

/// Idle connections, grouped by address.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    opened_connections: std::sync::atomic::AtomicU64,
    /// Header that identifies a call in its request and its answer; without one, no answer
    /// can be told from a copy of another one.
    id_header: Option<HeaderName>,
}

/// What became of a request for which idle connections were tried.
pub(crate) enum IdleSend {
    /// It was sent, and the head of its answer arrived.
    Answered(Response<Incoming>, ConnectionLease),
    /// No byte of it was sent.
    Unsent(Request<RequestBody>),
}

/// What a new connection shows of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerState {
    /// It is refused: nothing listens.
    Refuses,
    /// It is closed although nothing was sent: the server ends, or has too many.
    Closes,
    /// It stays open.
    Accepts,
    /// It could not be opened in time, or failed otherwise.
    Unknown,
}

/// Connection in use; closed when dropped unless it is released.
pub struct ConnectionLease {
    pool: Arc<ConnectionPool>,
    address: SocketAddr,
    sender: Option<SendRequest<RequestBody>>,
    task: AbortHandle,
    history: CallHistory,
    end: EndWatcher,
    idle_timeout: Duration,
    reused: bool,
    single_use: bool,
}

impl ConnectionLease {
    /// Whether the connection has carried other requests before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Copies of earlier answers that preceded the answer.
    pub fn take_skipped_answers(&self) -> u32 {
        self.history.take_skipped()
    }

    /// Whether the connection was reset after an answer that ends with it.
    pub(crate) async fn was_reset(&self) -> bool {
        self.end.was_reset().await
    }

    /// Returns the connection to the pool; to be called after a whole answer.
    pub fn release(mut self) {
        if self.single_use || self.history.is_full() {
            return;
        }
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
            history: self.history.clone(),
            end: self.end.clone(),
            expires_at: now + self.idle_timeout,
            idle_since: now,
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
    /// Creates a pool for calls that `id_header` identifies in requests and answers.
    pub fn with_call_ids(id_header: HeaderName) -> Self {
        Self {
            id_header: Some(id_header),
            ..Self::default()
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// Tries idle connections first, and the next one as long as no byte of the
    /// request was sent.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<RequestBody>,
        options: ConnectOptions,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        let sent = self.send_on_idle(address, request, options, || true);
        match sent.await? {
            IdleSend::Answered(answer, lease) => Ok((answer, lease)),
            IdleSend::Unsent(request) => self.open(address, options).await?.send(request).await,
        }
    }

    /// Sends a request on an idle connection, if there is one that works. `may_send` decides
    /// each time whether it may still be sent.
    pub(crate) async fn send_on_idle(
        self: &Arc<Self>,
        address: SocketAddr,
        mut request: Request<RequestBody>,
        options: ConnectOptions,
        mut may_send: impl FnMut() -> bool,
    ) -> Result<IdleSend, SendError> {
        let call = self.call_hash(request.headers());
        while let Some(mut lease) = self.reuse(address, options.max_idle, call) {
            if !may_send() {
                lease.release();
                return Err(SendError::Withdrawn);
            }
            match lease.try_send(request, call).await {
                Ok(answer) => return Ok(IdleSend::Answered(answer, lease)),
                Err((_, Some(unsent))) => request = *unsent,
                Err((reason, None)) => return Err(SendError::Broken(reason)),
            }
        }
        Ok(IdleSend::Unsent(request))
    }

    /// Opens a connection.
    pub(crate) async fn open(
        self: &Arc<Self>,
        address: SocketAddr,
        options: ConnectOptions,
    ) -> Result<ConnectionLease, SendError> {
        let opened = self.connect(address, options).await;
        opened.map_err(|error| SendError::NoConnection(error.to_string()))
    }

    /// Whether connections to an address are refused because nothing listens there.
    pub async fn is_refused(
        self: &Arc<Self>,
        address: SocketAddr,
        options: ConnectOptions,
    ) -> bool {
        match self.connect(address, options).await {
            Ok(_) => false,
            Err(error) => {
                matches!(error, ConnectError::Failed(error) if error.kind() == ErrorKind::ConnectionRefused)
            }
        }
    }

    /// What a new connection to `address` shows of its server. One that is accepted is
    /// watched for `close_time`.
    pub async fn look_at(
        &self,
        address: SocketAddr,
        options: ConnectOptions,
        close_time: Duration,
    ) -> ListenerState {
        let mut stream = match open_stream(address, options).await {
            Ok(stream) => stream,
            Err(ConnectError::Failed(error)) if error.kind() == ErrorKind::ConnectionRefused => {
                return ListenerState::Refuses;
            }
            Err(ConnectError::Failed(error)) if error.kind() == ErrorKind::ConnectionReset => {
                return ListenerState::Closes;
            }
            Err(_) => return ListenerState::Unknown,
        };
        self.opened_connections
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        match tokio::time::timeout(close_time, stream.read_u8()).await {
            Ok(Err(_)) => ListenerState::Closes,
            Ok(Ok(_)) | Err(_) => ListenerState::Accepts,
        }
    }

    /// Number of connections opened since the start.
    pub fn opened_connections(&self) -> u64 {
        self.opened_connections
            .load(std::sync::atomic::Ordering::Relaxed)
    }

    /// Closes connections whose idle timeout has passed.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.lock().retain(|_, connections| {
            connections.retain(|connection| {
                let keep = now < connection.expires_at && !connection.sender.is_closed();
                if !keep {
                    connection.task.abort();
                }
                keep
            });
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an address. When one connection falls silent, the
    /// others may have done so as well, and each would cost a time limit.
    pub fn close_idle(&self, address: SocketAddr) {
        let connections = self.lock().remove(&address);
        for connection in connections.into_iter().flatten() {
            connection.task.abort();
        }
    }

    fn call_hash(&self, headers: &HeaderMap) -> Option<CallHash> {
        let id = headers.get(self.id_header.as_ref()?)?;
        id.to_str().ok().map(CallHash::of)
    }

    /// Idle connection, the last used first, that has not carried `call`.
    fn reuse(
        self: &Arc<Self>,
        address: SocketAddr,
        max_idle: Duration,
        call: Option<CallHash>,
    ) -> Option<ConnectionLease> {
        let now = Instant::now();
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        let may_carry = |connection: &IdleConnection| {
            call.is_none_or(|call| !connection.history.contains(call))
        };
        while let Some(last) = connections.iter().rposition(may_carry) {
            let mut connection = connections.remove(last);
            let ready = matches!(connection.sender.ready().now_or_never(), Some(Ok(())));
            let unexpired = now < connection.expires_at && now < connection.idle_since + max_idle;
            if ready && unexpired {
                return Some(ConnectionLease {
                    pool: self.clone(),
                    address,
                    sender: Some(connection.sender),
                    task: connection.task,
                    history: connection.history,
                    end: connection.end,
                    idle_timeout: connection.expires_at - connection.idle_since,
                    reused: true,
                    single_use: false,
                });
            }
            connection.task.abort();
        }
        None
    }

    async fn connect(
        self: &Arc<Self>,
        address: SocketAddr,
        options: ConnectOptions,
    ) -> Result<ConnectionLease, ConnectError> {
        let stream = ResetGuard::new(open_stream(address, options).await?);
        let end = stream.watcher();
        let history = CallHistory::default();
        let (sender, task) = match &self.id_header {
            Some(header) => {
                let filter = AnswerFilter::new(stream, header.clone(), history.clone());
                start_connection(filter).await?
            }
            None => start_connection(stream).await?,
        };
        self.opened_connections
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        Ok(ConnectionLease {
            pool: self.clone(),
            address,
            sender: Some(sender),
            task,
            history,
            end,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            reused: false,
            single_use: false,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn start_connection<S>(
    stream: S,
) -> Result<(SendRequest<RequestBody>, AbortHandle), hyper::Error>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(error:% = error; "server connection ended");
        }
    });
    Ok((sender, task.abort_handle()))
}

type UnsentRequest = Option<Box<Request<RequestBody>>>;

impl ConnectionLease {
    /// Sends a request on a connection that was just opened, and waits for the head of its
    /// answer.
    pub(crate) async fn send(
        mut self,
        request: Request<RequestBody>,
    ) -> Result<(Response<Incoming>, Self), SendError> {
        let call = self.pool.call_hash(request.headers());
        match self.try_send(request, call).await {
            Ok(answer) => Ok((answer, self)),
            Err((reason, Some(_))) => Err(SendError::NoConnection(reason)),
            Err((reason, None)) => Err(SendError::Broken(reason)),
        }
    }

    /// Sends a request that names no call, and reads its answer of at most `max_bytes`.
    ///
    /// The connection can carry a call afterwards unless [`Self::is_open`] denies it.
    pub(crate) async fn ask(
        &mut self,
        request: Request<RequestBody>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, String> {
        self.history.record_unnamed();
        self.reused = true;
        let sent = self.try_send(request, None).await;
        let (head, body) = sent.map_err(|(reason, _)| reason)?.into_parts();
        let body = Limited::new(body, max_bytes).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Closes the connection after the request that it carries next.
    pub(crate) fn close_after_use(&mut self) {
        self.single_use = true;
    }

    /// Whether the connection takes another request, once it has taken in the last answer.
    pub(crate) async fn is_open(&mut self) -> bool {
        match &mut self.sender {
            Some(sender) => sender.ready().await.is_ok(),
            None => false,
        }
    }

    /// Sends a request; the error includes it if no byte of it was sent.
    async fn try_send(
        &mut self,
        request: Request<RequestBody>,
        call: Option<CallHash>,
    ) -> Result<Response<Incoming>, (String, UnsentRequest)> {
        let Some(sender) = &mut self.sender else {
            return Err((
                "connection was released".to_owned(),
                Some(Box::new(request)),
            ));
        };
        if let Some(call) = call {
            self.history.begin(call);
        }
        match sender.try_send_request(request).await {
            Ok(answer) => {
                self.idle_timeout = stated_idle_timeout(answer.headers());
                Ok(answer)
            }
            Err(mut error) => {
                let unsent = error.take_message().map(Box::new);
                Err((error.into_error().to_string(), unsent))
            }
        }
    }
}

/// Idle timeout from the `Keep-Alive` header, less the safety margin.
fn stated_idle_timeout(headers: &HeaderMap) -> Duration {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|text| {
            text.split(',')
                .find_map(|part| part.trim().strip_prefix("timeout="))
        })
        .and_then(|seconds| seconds.trim().parse().ok());
    match stated.map(Duration::from_secs) {
        Some(idle) => idle.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT),
        None => DEFAULT_IDLE_TIMEOUT,
    }
}
