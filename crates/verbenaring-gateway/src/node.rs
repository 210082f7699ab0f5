//! One running node: its sockets, tasks and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::attempt::AttemptClient;
use crate::backend::BackendTable;
use crate::clock::NodeClock;
use crate::config::NodeSettings;
use crate::controller::{CallerHandler, NodeCore, PeerHandler};
use crate::error::Result;
use crate::etcd::EtcdStore;
use crate::listener::NodeListener;
use crate::metrics::NodeMetrics;
use crate::peer::PeerGate;
use crate::records::RecordStore;
use crate::timeline::{EventKind, TimelineRing};
use crate::watcher::ConfigWatcher;

/// Longest wait for operations whose records the platform store does not take.
const OPERATION_LIMIT: Duration = Duration::from_secs(10);

/// Sockets of a node, bound before anything is started.
pub struct BoundNode {
    settings: NodeSettings,
    callers: NodeListener,
    peers: NodeListener,
}

impl BoundNode {
    /// Binds every socket of the settings.
    pub async fn bind(mut settings: NodeSettings) -> Result<Self> {
        let guards = settings.guards;
        let callers = NodeListener::bind("caller_address", settings.caller_address, guards).await?;
        let peers = NodeListener::bind("peer_address", settings.peer_address, guards).await?;
        settings.caller_address = callers.address();
        settings.peer_address = peers.address();
        Ok(Self {
            settings,
            callers,
            peers,
        })
    }

    /// Settings with the addresses that were bound.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Settings, to add peers whose addresses were unknown before binding.
    pub fn settings_mut(&mut self) -> &mut NodeSettings {
        &mut self.settings
    }

    /// Starts serving.
    pub fn start(self) -> RunningNode {
        let settings = self.settings;
        let clock = NodeClock::default();
        let store = Arc::new(EtcdStore::new(
            &settings.store_addresses,
            settings.store_timeout,
        ));
        let core = Arc::new(NodeCore {
            clock,
            catalog: Arc::new(ArcSwap::default()),
            backends: BackendTable::default(),
            client: AttemptClient::new(settings.guards.connect_timeout),
            gate: PeerGate::new(&settings.vm, &settings.cluster_keys, clock.unix_ms()),
            records: RecordStore::start(store.clone()),
            operations: TaskTracker::new(),
            metrics: Arc::new(NodeMetrics::default()),
            timeline: Arc::new(TimelineRing::new(&settings.vm)),
            stopping: AtomicBool::new(false),
            settings,
        });
        let shutdown = CancellationToken::new();
        let mut servers = JoinSet::new();
        servers.spawn(
            self.callers
                .serve(CallerHandler(core.clone()), shutdown.clone()),
        );
        servers.spawn(
            self.peers
                .serve(PeerHandler(core.clone()), shutdown.clone()),
        );
        let background = CancellationToken::new();
        let watcher = ConfigWatcher::new(store, &core.catalog, &core.metrics, &core.timeline);
        tokio::spawn(watcher.run(background.clone()));
        RunningNode {
            core,
            servers,
            shutdown,
            background: background.drop_guard(),
        }
    }
}

/// Node that serves requests; dropping it ends its background tasks.
pub struct RunningNode {
    core: Arc<NodeCore<EtcdStore>>,
    servers: JoinSet<()>,
    shutdown: CancellationToken,
    background: tokio_util::sync::DropGuard,
}

impl RunningNode {
    /// Shared state of the node.
    pub fn core(&self) -> &Arc<NodeCore<EtcdStore>> {
        &self.core
    }

    /// Address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.core.settings.caller_address
    }

    /// Stops gracefully.
    ///
    /// Readiness falls first and the node still serves, so that callers learn
    /// of it and leave. Then it accepts nothing new and waits for open requests.
    pub async fn stop(mut self) {
        self.core.stopping.store(true, Ordering::Relaxed);
        self.core
            .timeline
            .record(EventKind::ShutdownStarted, "", None);
        tokio::time::sleep(self.core.settings.drain).await;
        self.shutdown.cancel();
        while self.servers.join_next().await.is_some() {}
        self.core.operations.close();
        let ended = tokio::time::timeout(OPERATION_LIMIT, self.core.operations.wait()).await;
        if ended.is_err() {
            log::warn!("operations are left unsettled: the platform store does not answer");
        }
        drop(self.background);
    }
}
