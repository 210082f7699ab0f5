//! One running node: its sockets, tasks and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::account::AnswerObservers;
use crate::admit::AdmissionDesk;
use crate::attempt::AttemptClient;
use crate::backend::BackendTable;
use crate::clock::NodeClock;
use crate::cluster::ClusterTask;
use crate::config::NodeSettings;
use crate::control::ControlServer;
use crate::controller::NodeCore;
use crate::error::{Error, Result};
use crate::etcd::EtcdStore;
use crate::handler::{CallerHandler, PeerHandler};
use crate::links::ControlLinks;
use crate::listener::{NodeListener, PeerRole};
use crate::listing::poll_models;
use crate::live::LiveSettings;
use crate::metrics::NodeMetrics;
use crate::operator::OperatorHandler;
use crate::order::OrderDriver;
use crate::peer::PeerGate;
use crate::poller::poll_loads;
use crate::records::RecordStore;
use crate::replica::ConfigReplica;
use crate::route::RegionRouter;
use crate::schedule::RequestQueues;
use crate::timeline::{EventKind, TimelineRing};
use crate::usage::{UsageDriver, UsageLedger};
use crate::view::ClusterView;
use crate::watcher::ConfigWatcher;

/// Control messages that wait for the cluster task.
const INBOX_MESSAGES: usize = 1_024;
/// Longest wait for operations whose records the platform store does not take.
const OPERATION_LIMIT: Duration = Duration::from_secs(10);

/// Sockets of a node, bound before anything is started.
pub struct BoundNode {
    settings: NodeSettings,
    callers: NodeListener,
    peers: NodeListener,
    control: TcpListener,
    operators: NodeListener,
}

impl BoundNode {
    /// Binds every socket of the settings.
    pub async fn bind(mut settings: NodeSettings) -> Result<Self> {
        let guards = settings.guards;
        let callers = NodeListener::bind("caller_address", settings.caller_address, guards).await?;
        let peers = NodeListener::bind("peer_address", settings.peer_address, guards).await?;
        let operators =
            NodeListener::bind("operator_address", settings.operator_address, guards).await?;
        settings.operator_address = operators.address();
        settings.caller_address = callers.address();
        settings.peer_address = peers.address();
        let control = bind_control(settings.control_address).await?;
        settings.control_address = control.1;
        Ok(Self {
            settings,
            callers,
            peers,
            control: control.0,
            operators,
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
        let catalog = Arc::new(ArcSwap::default());
        let metrics = Arc::new(NodeMetrics::default());
        let timeline = Arc::new(TimelineRing::new(&settings.vm));
        let replica = Arc::new(ConfigReplica::new(&catalog, &metrics, &timeline));
        let backends = Arc::new(BackendTable::new(&settings.data_centre, clock));
        let desk = Arc::new(AdmissionDesk::new(&settings, clock));
        let view = Arc::new(ClusterView::new(
            &settings, clock, &replica, &backends, &desk,
        ));
        let observers = AnswerObservers {
            metrics: metrics.clone(),
            timeline: timeline.clone(),
            backends: backends.clone(),
            usage: Arc::new(UsageLedger::new(&settings, clock)),
        };
        let live = Arc::new(LiveSettings::new(&settings));
        let core = Arc::new(NodeCore {
            links: Arc::new(ControlLinks::new(&live)),
            clock,
            catalog,
            replica: replica.clone(),
            cluster: view.clone(),
            backends,
            desk,
            queues: Arc::new(RequestQueues::new(&settings, clock)),
            regions: RegionRouter::new(clock),
            observers,
            client: AttemptClient::new(settings.guards.connect_timeout, &live),
            gate: PeerGate::new(&settings.vm, &live, clock.unix_ms()),
            records: RecordStore::start(store.clone()),
            operations: TaskTracker::new(),
            metrics,
            timeline,
            settings,
            live: live.clone(),
        });
        let shutdown = CancellationToken::new();
        let mut servers = JoinSet::new();
        servers.spawn(
            self.callers
                .with_live_settings(&live, PeerRole::Caller)
                .serve(CallerHandler(core.clone()), shutdown.clone()),
        );
        servers.spawn(
            self.peers
                .with_live_settings(&live, PeerRole::Node)
                .serve(PeerHandler(core.clone()), shutdown.clone()),
        );
        let background = CancellationToken::new();
        start_cluster(&core, self.control, &store, &background);
        // Operators follow a graceful shutdown until its end.
        tokio::spawn(
            self.operators
                .serve(OperatorHandler::new(&core, &store), background.clone()),
        );
        RunningNode {
            core,
            servers,
            shutdown,
            background: background.drop_guard(),
        }
    }
}

async fn bind_control(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let failed = |source| Error::Listen {
        field: "control_address",
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// Starts membership, the control service and the configuration watcher.
fn start_cluster(
    core: &Arc<NodeCore<EtcdStore>>,
    control: TcpListener,
    store: &Arc<EtcdStore>,
    background: &CancellationToken,
) {
    let (inbox, messages) = mpsc::channel(INBOX_MESSAGES);
    let (watcher, enabled) = watch::channel(false);
    let task = ClusterTask::new(&core.cluster, &core.links, core.clock, watcher);
    let server = ControlServer {
        inbox,
        core: core.clone(),
    };
    tokio::spawn(server.listen(control, background.clone()));
    tokio::spawn(ConfigWatcher::new(store, &core.replica).run(enabled));
    tokio::spawn(task.run(messages, background.clone()));
    tokio::spawn(poll_loads(core.clone(), background.clone()));
    tokio::spawn(poll_models(core.clone(), background.clone()));
    tokio::spawn(UsageDriver::new(core, store).run(background.clone()));
    tokio::spawn(OrderDriver::new(core, store).run(background.clone()));
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

    /// Address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.core.settings.operator_address
    }

    /// Stops gracefully.
    ///
    /// Readiness falls first and the node still serves, so that callers learn
    /// of it and leave. Then it accepts nothing new and waits for open requests.
    pub async fn stop(self) {
        let drain = self.core.settings.drain;
        self.stop_after(drain).await;
    }

    /// Stops as [`RunningNode::stop`] does, but serves for `drain` first.
    pub async fn stop_after(mut self, drain: Duration) {
        self.core.cluster.stopping.store(true, Ordering::Relaxed);
        self.core
            .timeline
            .record(EventKind::ShutdownStarted, "", None);
        tokio::time::sleep(drain).await;
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
