//! Opens connections to backend servers, and to other nodes for forwarded requests.

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
use verbenaring_core::upstream::reset::ResetGuard;

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
    type Future = OpeningConnection<NodeStream<TcpStream>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = self.clone();
        let task = tokio::spawn(async move { connector.open(address_of(&uri)?).await });
        OpeningConnection(AbortOnDropHandle::new(task))
    }
}

/// Opens connections to backend servers, without TLS.
#[derive(Debug, Clone, Copy)]
pub struct ServerConnector {
    timeout: Duration,
}

impl ServerConnector {
    /// Creates a connector that gives up after `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self { timeout }
    }

    /// Opens a connection to the server at `address`.
    pub async fn open(self, address: SocketAddr) -> io::Result<ResetGuard> {
        let opened = tokio::time::timeout(self.timeout, TcpStream::connect(address));
        let socket = opened.await.map_err(|_| io::ErrorKind::TimedOut)??;
        socket.set_nodelay(true)?;
        Ok(ResetGuard::new(socket))
    }
}

impl Service<Uri> for ServerConnector {
    type Response = TokioIo<ResetGuard>;
    type Error = io::Error;
    type Future = OpeningConnection<ResetGuard>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connector = *self;
        let task = tokio::spawn(async move { connector.open(address_of(&uri)?).await });
        OpeningConnection(AbortOnDropHandle::new(task))
    }
}

fn address_of(uri: &Uri) -> io::Result<SocketAddr> {
    let authority = uri.authority().map_or("", |authority| authority.as_str());
    authority.parse().map_err(io::Error::other)
}

/// Connection that is being opened in a task of its own, so that the future has a
/// type name without `dyn`. Dropping it aborts the task.
pub struct OpeningConnection<S>(AbortOnDropHandle<io::Result<S>>);

impl<S> Future for OpeningConnection<S> {
    type Output = io::Result<TokioIo<S>>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        let joined = std::task::ready!(Pin::new(&mut self.0).poll(context));
        Poll::Ready(joined.map_err(io::Error::other)?.map(TokioIo::new))
    }
}
