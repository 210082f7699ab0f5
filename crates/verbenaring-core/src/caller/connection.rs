//! What the connections of a listener do, and which of them may be closed for others.
//!
//! A connection counts as quiet while no request of it is being answered. One that stays
//! quiet without a single complete request makes no progress, and gives its place to a new
//! connection when all places are taken.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http_body::{Body, Frame, SizeHint};
use slab::Slab;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, Sleep, sleep};
use verbenaring_policy::memory::{MemoryAccount, MemoryHold};

use crate::clock::NodeClock;
use crate::observe::logger::LogRateLimiter;
use crate::observe::metrics::FrontMetrics;

/// Time for which a connection without a complete request may be quiet when others wait for
/// its place. Longer than a caller at the other end of a slow link needs for a head.
const MIN_QUIET_TIME: Duration = Duration::from_secs(1);
/// Bytes of a head that take no part of the memory account; most heads are shorter.
const FREE_HEAD_BYTES: usize = 4 * 1024;
/// Size as which longer heads count. Heads without end then leave room for small bodies.
const HEAD_SIZE: usize = 128 * 1024;
/// Limit on log lines per second about closed connections of one listener.
const CLOSED_LINES_PER_S: u32 = 1;
/// Time for which the rest of a request is discarded after an early answer, so that the
/// client reads the answer before the connection is reset.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Limit on the bytes that are discarded.
const MAX_LINGER_BYTES: usize = 8 * 1024 * 1024;
/// Size of a read whose bytes are discarded.
const DISCARD_BYTES: usize = 8 * 1024;

/// Why a connection is closed before its client closes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// Another connection takes its place.
    Replaced,
    /// A request head was begun and not completed in time.
    SlowHead,
    /// The memory for request heads is used up.
    NoMemory,
}

impl CloseReason {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseReason::Replaced => "replaced",
            CloseReason::SlowHead => "slow_head",
            CloseReason::NoMemory => "no_memory",
        }
    }
}

#[derive(Debug)]
struct Activity {
    /// Requests that are being answered; quiet if 0.
    open_requests: u32,
    requests: u64,
    quiet_since: Instant,
    head_since: Option<Instant>,
    head_bytes: usize,
    head_hold: Option<MemoryHold>,
    close: Option<CloseReason>,
}

/// State of one connection, shared with the listener.
#[derive(Debug)]
pub struct ConnectionState {
    account: Arc<MemoryAccount>,
    activity: Mutex<Activity>,
    closing: Notify,
    lingers: AtomicBool,
}

impl ConnectionState {
    fn new(account: Arc<MemoryAccount>) -> Self {
        Self {
            account,
            activity: Mutex::new(Activity {
                open_requests: 0,
                requests: 0,
                quiet_since: Instant::now(),
                head_since: None,
                head_bytes: 0,
                head_hold: None,
                close: None,
            }),
            closing: Notify::new(),
            lingers: AtomicBool::new(false),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the head of a request is complete. The connection is quiet again once
    /// the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        let mut activity = self.lock();
        activity.open_requests += 1;
        activity.requests += 1;
        activity.head_since = None;
        activity.head_bytes = 0;
        self.lingers.store(false, Ordering::Relaxed);
        RequestGuard {
            state: self.clone(),
            _head: activity.head_hold.take(),
        }
    }

    /// Has the rest of the request discarded before the connection is closed.
    pub fn linger(&self) {
        self.lingers.store(true, Ordering::Relaxed);
    }

    /// Why the connection is to be closed; `None` if it is not.
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.lock().close
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.close_reason() {
                return reason;
            }
            self.closing.notified().await;
        }
    }

    fn close(&self, reason: CloseReason) {
        self.lock().close.get_or_insert(reason);
        self.closing.notify_one();
    }

    /// Records bytes that were read; fails if the head of a request exceeds the memory.
    pub fn record_read(&self, bytes: usize) -> io::Result<()> {
        let mut activity = self.lock();
        if activity.open_requests > 0 {
            return Ok(());
        }
        activity.head_since.get_or_insert_with(Instant::now);
        activity.head_bytes += bytes;
        let needed = activity.head_bytes.saturating_sub(FREE_HEAD_BYTES);
        let held = activity.head_hold.as_ref().map_or(0, MemoryHold::bytes);
        let more = needed.saturating_sub(held);
        if more == 0 {
            return Ok(());
        }
        let has_room = match &mut activity.head_hold {
            Some(hold) => hold.try_grow(more, HEAD_SIZE),
            None => {
                activity.head_hold = self.account.try_hold(more, HEAD_SIZE);
                activity.head_hold.is_some()
            }
        };
        if has_room {
            return Ok(());
        }
        activity.close = Some(CloseReason::NoMemory);
        Err(io::ErrorKind::OutOfMemory.into())
    }
}

/// Request that is being answered; ends when dropped.
#[derive(Debug)]
pub struct RequestGuard {
    state: Arc<ConnectionState>,
    _head: Option<MemoryHold>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let mut activity = self.state.lock();
        activity.open_requests -= 1;
        activity.quiet_since = Instant::now();
    }
}

/// Open connections of a listener.
#[derive(Debug, Default)]
pub struct ConnectionTable {
    connections: Mutex<Slab<Arc<ConnectionState>>>,
    closed_lines: Mutex<LogRateLimiter>,
    clock: NodeClock,
}

impl ConnectionTable {
    fn lock(&self) -> MutexGuard<'_, Slab<Arc<ConnectionState>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts and logs a connection that is closed before its client closes it.
    pub fn report_closed(&self, metrics: &FrontMetrics, reason: &str) {
        let closed = &metrics.closed_connections;
        closed.with_label_values(&[reason]).inc();
        self.log_closed(reason);
    }

    /// Logs a connection that is closed before its client closes it.
    pub fn log_closed(&self, reason: &str) {
        let lines = self.closed_lines.lock();
        let mut lines = lines.unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        if let Some(suppressed) = lines.try_acquire(CLOSED_LINES_PER_S, now) {
            log::warn!(reason = reason, suppressed_lines = suppressed; "connection closed");
        }
    }

    /// Adds a connection, which is removed when the entry is dropped.
    pub fn insert(self: &Arc<Self>, account: &Arc<MemoryAccount>) -> TableEntry {
        let state = Arc::new(ConnectionState::new(account.clone()));
        TableEntry {
            key: self.lock().insert(state.clone()),
            table: self.clone(),
            state,
        }
    }

    /// Closes up to `count` connections that have made no progress, those that are quiet for
    /// longest first; returns their number. A connection that has carried requests may be
    /// used again until it has been quiet for `idle_limit`.
    pub fn close_stalled(&self, idle_limit: Duration, count: usize) -> usize {
        let now = Instant::now();
        let connections = self.lock();
        let stalled = connections.iter().filter_map(|(_, state)| {
            let activity = state.lock();
            let used = activity.requests > 0;
            let limit = if used { idle_limit } else { MIN_QUIET_TIME };
            let quiet = now.saturating_duration_since(activity.quiet_since);
            let stalled = activity.open_requests == 0 && activity.close.is_none() && quiet >= limit;
            stalled.then_some((used, activity.quiet_since, state))
        });
        let mut stalled: Vec<_> = stalled.collect();
        if stalled.len() > count {
            stalled.select_nth_unstable_by_key(count, |(used, since, _)| (*used, *since));
            stalled.truncate(count);
        }
        for (_, _, state) in &stalled {
            state.close(CloseReason::Replaced);
        }
        stalled.len()
    }

    /// Closes connections whose request heads were begun longer than `limit` ago.
    pub fn close_slow_heads(&self, limit: Duration) {
        let now = Instant::now();
        for (_, state) in self.lock().iter() {
            let since = state.lock().head_since;
            if since.is_some_and(|since| now.saturating_duration_since(since) >= limit) {
                state.close(CloseReason::SlowHead);
            }
        }
    }
}

/// Place of a connection in its table.
#[derive(Debug)]
pub struct TableEntry {
    table: Arc<ConnectionTable>,
    key: usize,
    /// State of the connection.
    pub state: Arc<ConnectionState>,
}

impl Drop for TableEntry {
    fn drop(&mut self) {
        self.table.lock().remove(self.key);
    }
}

/// Stream of a client that records what arrives.
#[derive(Debug)]
pub struct TrackedStream {
    stream: TcpStream,
    state: Arc<ConnectionState>,
    linger: Option<Linger>,
}

#[derive(Debug)]
struct Linger {
    timer: Pin<Box<Sleep>>,
    discarded: usize,
}

impl TrackedStream {
    /// Wraps the stream of a connection.
    pub fn new(stream: TcpStream, state: Arc<ConnectionState>) -> Self {
        Self {
            stream,
            state,
            linger: None,
        }
    }
}

impl AsyncRead for TrackedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        Poll::Ready(match read {
            0 => Ok(()),
            _ => this.state.record_read(read),
        })
    }
}

impl AsyncWrite for TrackedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.state.lingers.load(Ordering::Relaxed) {
            return Pin::new(&mut this.stream).poll_shutdown(context);
        }
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(context))?;
        }
        let linger = this.linger.get_or_insert_with(|| Linger {
            timer: Box::pin(sleep(LINGER_TIME)),
            discarded: 0,
        });
        if linger.timer.as_mut().poll(context).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut block = [0; DISCARD_BYTES];
        while linger.discarded < MAX_LINGER_BYTES {
            let mut buffer = ReadBuf::new(&mut block);
            match ready!(Pin::new(&mut this.stream).poll_read(context, &mut buffer)) {
                Ok(()) if !buffer.filled().is_empty() => linger.discarded += buffer.filled().len(),
                _ => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// Body of an answer whose request stays open until the body has been handed on.
#[derive(Debug)]
pub struct TrackedBody<B> {
    body: B,
    _request: RequestGuard,
}

impl<B> TrackedBody<B> {
    /// Joins a body and its request.
    pub fn new(body: B, request: RequestGuard) -> Self {
        Self {
            body,
            _request: request,
        }
    }
}

impl<B: Body + Unpin> Body for TrackedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
