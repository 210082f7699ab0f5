//! Opens connections to backend servers and to other VMs.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::caller::listener::set_socket_options;

/// Silence after which the kernel probes a peer, and the interval of its probes.
/// [`TCP_USER_TIMEOUT`](crate::caller::listener::TCP_USER_TIMEOUT) limits the time
/// without an answer to them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Why no connection was opened.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The system reported an error.
    #[error("{0}")]
    Failed(#[from] std::io::Error),
    /// The peer did not answer in time.
    #[error("no answer within {0:?}")]
    TimedOut(Duration),
    /// The connection failed before a request was sent.
    #[error("{0}")]
    Handshake(#[from] hyper::Error),
}

/// Which connection a request may use.
#[derive(Debug, Clone, Copy)]
pub struct ConnectOptions {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Longest idle time of a connection that is reused.
    pub max_idle: Duration,
    /// Whether the kernel probes the peer while the connection is silent. Without
    /// probes, an answer of a peer that vanished is awaited until the deadline.
    pub probe: bool,
}

/// Opens a connection with the socket options of this gateway.
pub(super) async fn open_stream(
    address: SocketAddr,
    options: ConnectOptions,
) -> Result<TcpStream, ConnectError> {
    let timeout = options.connect_timeout;
    let opened = async {
        let stream = TcpStream::connect(address).await?;
        set_socket_options(&stream)?;
        if options.probe {
            let probes = TcpKeepalive::new()
                .with_time(PROBE_INTERVAL)
                .with_interval(PROBE_INTERVAL);
            SockRef::from(&stream).set_tcp_keepalive(&probes)?;
        }
        Ok::<_, std::io::Error>(stream)
    };
    match tokio::time::timeout(timeout, opened).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => Err(error.into()),
        Err(_) => Err(ConnectError::TimedOut(timeout)),
    }
}
