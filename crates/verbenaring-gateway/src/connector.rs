//! Opens connections to other nodes for forwarded requests.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Uri;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;
use tower_service::Service;

use crate::live::LiveSettings;
use crate::tls::NodeStream;

/// Opens connections to other nodes, with TLS where the settings ask for it.
#[derive(Clone)]
pub struct NodeConnector {
    live: Arc<LiveSettings>,
    timeout: Duration,
}

impl NodeConnector {
    /// Creates a connector that gives up after `timeout`, TLS handshake included.
    pub fn new(live: &Arc<LiveSettings>, timeout: Duration) -> Self {
        Self {
            live: live.clone(),
            timeout,
        }
    }

    /// Opens a connection to the node at `address`.
    ///
    /// With TLS, the node has accepted this node's certificate when this returns.
    pub async fn open(&self, address: SocketAddr) -> io::Result<NodeStream<TcpStream>> {
        let opened = async {
            let socket = TcpStream::connect(address).await?;
            socket.set_nodelay(true)?;
            let credentials = self.live.credentials();
            NodeStream::connect(credentials.node_tls.as_ref(), socket).await
        };
        tokio::time::timeout(self.timeout, opened)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
    }
}

impl Service<Uri> for NodeConnector {
    type Response = TokioIo<NodeStream<TcpStream>>;
    type Error = io::Error;
    type Future = OpeningConnection;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = self.clone();
        let task = tokio::spawn(async move {
            let authority = uri.authority().map_or("", |authority| authority.as_str());
            let address = authority.parse().map_err(io::Error::other)?;
            connector.open(address).await
        });
        OpeningConnection(AbortOnDropHandle::new(task))
    }
}

/// Connection that is being opened in a task of its own, so that the future has a
/// type name without `dyn`. Dropping it aborts the task.
pub struct OpeningConnection(AbortOnDropHandle<io::Result<NodeStream<TcpStream>>>);

impl Future for OpeningConnection {
    type Output = io::Result<TokioIo<NodeStream<TcpStream>>>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let joined = std::task::ready!(Pin::new(&mut self.0).poll(context));
        Poll::Ready(joined.map_err(io::Error::other)?.map(TokioIo::new))
    }
}
