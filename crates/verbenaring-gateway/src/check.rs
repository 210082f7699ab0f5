//! Checks whether a server has ended together with an answer whose end nothing marks.
//!
//! Such an answer ends with its connection, and so does one that is cut because its
//! server ended. Nothing listens at the address of a server that has ended.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time limit for the connection by which a server is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether the server at `address` refuses a connection.
pub async fn is_refused(address: SocketAddr) -> bool {
    let opened = timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await;
    matches!(opened, Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused)
}
