//! Checks whether a server has ended.
//!
//! An answer whose end nothing marks ends with its connection, and so does one that is
//! cut because its server ended. A broken connection alone does not tell a server that
//! has ended from one that failed a single call. Nothing listens at the address of a
//! server that has ended, unless a proxy in front of it does.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use verbenaring_core::upstream::reset::EndWatcher;

/// Time limit for the connection by which a server is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Time within which a proxy closes a connection that leads to no server.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Whether the server at `address` refuses a connection.
async fn is_refused(address: SocketAddr) -> bool {
    let opened = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}

/// Whether an answer that ended with its connection may have been cut: the connection, which
/// `end` watches, was reset, or the server at `address` refuses another one.
pub async fn may_be_cut(address: Option<SocketAddr>, end: Option<EndWatcher>) -> bool {
    let reset = async {
        match &end {
            Some(end) => end.was_reset().await,
            None => false,
        }
    };
    let refused = async {
        match address {
            Some(address) => is_refused(address).await,
            None => false,
        }
    };
    let (reset, refused) = tokio::join!(reset, refused);
    reset || refused
}

/// Whether the server at `address` refuses a connection, or closes it although no request
/// was sent.
pub async fn has_ended(address: SocketAddr) -> bool {
    let opened = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    let mut socket = match opened {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => {
            let closed = [
                io::ErrorKind::ConnectionRefused,
                io::ErrorKind::ConnectionReset,
            ];
            return closed.contains(&error.kind());
        }
        Err(_) => return false,
    };
    let read = timeout(CLOSE_TIME, socket.read_u8()).await;
    matches!(read, Ok(Err(_)))
}
