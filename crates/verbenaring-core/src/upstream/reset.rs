//! Tells answers that were reset from those that ended in order.
//!
//! A server may answer before it has read its request, and end the connection. What it has
//! sent can still be read after a write has failed, but the kernel states the reset only
//! once, to whichever side asks first: a reader that comes after the writer sees an end in
//! order. The same holds if the server closed its direction before the reset. An answer
//! without a stated length would then look complete.

use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::pin::Pin;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use hyper_util::client::legacy::connect::{Connected, Connection};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Time for which a connection is kept after its peer has closed its direction. A peer that
/// then closes the rest without reading what was sent resets it.
const RESET_WAIT: Duration = Duration::from_millis(15);

/// How a connection has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndState {
    /// Not yet, or it is not known yet.
    Open,
    InOrder,
    Reset,
}

/// Learns how a connection ends.
#[derive(Debug, Clone)]
pub struct EndWatcher(watch::Receiver<EndState>);

impl EndWatcher {
    /// Whether the connection was reset after its peer had closed its direction. To be asked
    /// when that end has been read.
    pub async fn was_reset(&self) -> bool {
        let mut state = self.0.clone();
        let ended = state.wait_for(|state| *state != EndState::Open).await;
        ended.is_ok_and(|state| *state == EndState::Reset)
    }
}

/// Connection on which a failed write is reported to the reader, after the bytes that have
/// arrived. Its end is reported only after all that was written has been sent.
#[derive(Debug)]
pub struct ResetGuard {
    stream: TcpStream,
    /// Why no more can be written.
    failure: Option<io::ErrorKind>,
    /// Whether bytes were given to the stream and no flush has followed.
    unsent: bool,
    /// Reader that waits for the rest to be sent, after the peer closed its direction.
    reader: Option<Waker>,
    /// Whether the end has been read.
    ended: bool,
    end: watch::Sender<EndState>,
}

impl ResetGuard {
    /// Creates a guard of a new connection.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            failure: None,
            unsent: false,
            reader: None,
            ended: false,
            end: watch::Sender::new(EndState::Open),
        }
    }

    /// Watcher of the end of this connection.
    pub fn watcher(&self) -> EndWatcher {
        EndWatcher(self.end.subscribe())
    }

    fn fail(&mut self, error: &io::Error) {
        self.failure.get_or_insert(error.kind());
        self.end.send_replace(EndState::Reset);
        self.wake_reader();
    }

    fn wake_reader(&mut self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Result of a write. After a failure, the bytes count as written, so that the writer
    /// does not give up the answer.
    fn written(
        &mut self,
        result: Poll<io::Result<usize>>,
        length: usize,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Err(error)) => {
                self.fail(&error);
                Poll::Ready(Ok(length))
            }
            other => {
                self.unsent = true;
                other
            }
        }
    }

    /// Keeps the socket, which is not shut down, until a reset would have arrived.
    fn watch_end(&mut self) -> io::Result<()> {
        if !std::mem::replace(&mut self.ended, true) {
            let socket = self.stream.as_fd().try_clone_to_owned()?;
            tokio::spawn(record_end(socket, self.end.clone()));
        }
        Ok(())
    }
}

async fn record_end(socket: OwnedFd, end: watch::Sender<EndState>) {
    tokio::time::sleep(RESET_WAIT).await;
    let state = match SockRef::from(&socket).take_error() {
        Ok(None) => EndState::InOrder,
        _ => EndState::Reset,
    };
    end.send_if_modified(|known| {
        // The guard may have taken the error.
        let unknown = *known == EndState::Open;
        if unknown {
            *known = state;
        }
        unknown
    });
}

impl AsyncRead for ResetGuard {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let before = buffer.filled().len();
        if let Err(error) = ready!(Pin::new(&mut this.stream).poll_read(context, buffer)) {
            this.fail(&error);
            return Poll::Ready(Err(error));
        }
        if buffer.filled().len() > before || buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        if let Some(failure) = this.failure {
            return Poll::Ready(Err(failure.into()));
        }
        if this.unsent {
            this.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        if let Some(error) = this.stream.take_error()? {
            this.fail(&error);
            return Poll::Ready(Err(error));
        }
        Poll::Ready(this.watch_end())
    }
}

impl AsyncWrite for ResetGuard {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.failure.is_some() {
            return Poll::Ready(Ok(bytes.len()));
        }
        let result = Pin::new(&mut this.stream).poll_write(context, bytes);
        this.written(result, bytes.len())
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let length = slices.iter().map(|slice| slice.len()).sum();
        if this.failure.is_some() {
            return Poll::Ready(Ok(length));
        }
        let result = Pin::new(&mut this.stream).poll_write_vectored(context, slices);
        this.written(result, length)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if let Err(error) = ready!(Pin::new(&mut this.stream).poll_flush(context)) {
            this.fail(&error);
        }
        this.unsent = false;
        this.wake_reader();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        match this.ended {
            false => Pin::new(&mut this.stream).poll_shutdown(context),
            // The kernel states no reset of a connection that both sides have closed.
            true => Poll::Ready(Ok(())),
        }
    }
}

impl Connection for ResetGuard {
    fn connected(&self) -> Connected {
        Connected::new().extra(self.watcher())
    }
}
