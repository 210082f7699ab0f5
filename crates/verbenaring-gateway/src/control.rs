//! Server side of the control protocol between nodes.
//!
//! It receives gossip, load summaries, usage and reports of requests that may
//! crash servers, and returns the configuration, the timeline and the status of
//! this node.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::context;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use verbenaring_policy::config::{ConfigDelta, ConfigDigest, DeltaRequest, SnapshotPage};
use verbenaring_policy::dispatch::evidence::SuspectNews;
use verbenaring_policy::gossip::GossipMessage;
use verbenaring_policy::quarantine::SuspectReport;
use verbenaring_policy::summary::SummaryMessage;
use verbenaring_protocol::control::{NodeControl, NodeDescription, TimelinePage, UsageUpdate};
use verbenaring_protocol::operator::NodeStatus;

use crate::cluster::ClusterMessage;
use crate::controller::NodeCore;
use crate::handshake::{self, HandshakeError};
use crate::links::frame_codec;
use crate::status::own_status;
use crate::store::PlatformStore;
use crate::tls::NodeStream;

/// Timeout of the TLS handshake and the cluster key handshake together.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Control service that other nodes call.
pub struct ControlServer<S> {
    /// Gossip and summaries for the cluster task.
    pub inbox: mpsc::Sender<ClusterMessage>,
    /// Shared state of this node.
    pub core: Arc<NodeCore<S>>,
}

impl<S> Clone for ControlServer<S> {
    fn clone(&self) -> Self {
        Self {
            inbox: self.inbox.clone(),
            core: self.core.clone(),
        }
    }
}

impl<S: PlatformStore> NodeControl for ControlServer<S> {
    async fn gossip(self, _: context::Context, message: GossipMessage) {
        // A message is dropped if the channel is full; the failure detector
        // tolerates loss.
        let _ = self.inbox.try_send(ClusterMessage::Gossip(message));
    }

    async fn summary(self, _: context::Context, message: SummaryMessage) {
        let _ = self.inbox.try_send(ClusterMessage::Summary(message));
    }

    async fn config_digest(self, _: context::Context) -> ConfigDigest {
        self.core.replica.digest()
    }

    async fn config_delta(self, _: context::Context, request: DeltaRequest) -> ConfigDelta {
        self.core.replica.delta(&request)
    }

    async fn config_snapshot(self, _: context::Context, after: Option<String>) -> SnapshotPage {
        self.core.cluster.wait_for_resync().await;
        self.core.replica.snapshot(after.as_deref())
    }

    async fn timeline_since(self, _: context::Context, sequence: u64) -> TimelinePage {
        self.core.timeline.page(sequence)
    }

    async fn suspects(self, _: context::Context, reports: Vec<SuspectReport>) {
        self.core.backends.merge_suspects(&reports);
    }

    async fn suspect_parts(self, _: context::Context, reports: Vec<SuspectNews>) {
        self.core.backends.merge_parts(&reports);
    }

    async fn usage(self, _: context::Context, update: UsageUpdate) {
        self.core.observers.usage.merge_update(&update);
    }

    async fn node_status(self, _: context::Context) -> NodeStatus {
        own_status(&self.core)
    }

    async fn status(self, _: context::Context) -> NodeDescription {
        self.core.cluster.description()
    }
}

impl<S: PlatformStore> ControlServer<S> {
    /// Serves control connections until `shutdown`.
    ///
    /// All connections are closed when the credentials change, so that none
    /// outlives the cluster key or the certificate authority that it was accepted
    /// with. The other nodes connect again.
    pub async fn listen(self, listener: TcpListener, shutdown: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                () = shutdown.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((socket, _)) => {
                    let mut credentials_generation = self.core.live.generation();
                    let connection = self.clone().serve_connection(socket);
                    let shutdown = shutdown.clone();
                    tokio::spawn(async move {
                        tokio::select! {
                            () = shutdown.cancelled() => {}
                            _ = credentials_generation.changed() => {}
                            () = connection => {}
                        }
                    });
                }
                Err(error) => {
                    log::warn!("control connection cannot be accepted: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    }

    async fn serve_connection(self, socket: TcpStream) {
        if socket.set_nodelay(true).is_err() {
            return;
        }
        let stream = match tokio::time::timeout(HANDSHAKE_TIMEOUT, self.authenticate(socket)).await
        {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return log::warn!("control connection refused: {error}"),
            Err(_) => return log::warn!("control connection refused: handshake timed out"),
        };
        let transport =
            tarpc::serde_transport::new(frame_codec().new_framed(stream), Bincode::default());
        let requests = BaseChannel::with_defaults(transport).execute(NodeControl::serve(self));
        requests.for_each_concurrent(None, |answer| answer).await;
    }

    /// Performs the TLS handshake, if configured, and checks that the connecting node
    /// has a cluster key.
    async fn authenticate(
        &self,
        socket: TcpStream,
    ) -> Result<NodeStream<TcpStream>, HandshakeError> {
        let credentials = self.core.live.credentials();
        let mut stream = NodeStream::accept_node(credentials.node_tls.as_ref(), socket).await?;
        handshake::accept(&mut stream, &credentials.cluster_keys).await?;
        Ok(stream)
    }
}
