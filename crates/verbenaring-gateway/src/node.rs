//! Startup and graceful shutdown of a node.

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
use crate::admit::AdmissionControl;
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
use crate::peer::ForwardVerifier;
use crate::poller::poll_loads;
use crate::records::RecordStore;
use crate::replica::ConfigReplica;
use crate::route::RegionRouter;
use crate::schedule::RequestQueues;
use crate::timeline::{EventKind, TimelineRing};
use crate::upload::body_account;
use crate::usage::{UsageDriver, UsageLedger};
use crate::view::ClusterView;
use crate::watcher::ConfigWatcher;

/// Maximum number of control messages that wait for the cluster task.
const INBOX_CAPACITY: usize = 1_024;
/// Time that a shutdown waits for operations whose records the platform store
/// does not accept.
const OPERATION_TIMEOUT: Duration = Duration::from_secs(10);

/// Node with bound sockets that serves nothing yet.
pub struct BoundNode {
    settings: NodeSettings,
    callers: NodeListener,
    peers: NodeListener,
    control: TcpListener,
    operators: NodeListener,
}

impl BoundNode {
    /// Binds the sockets of all addresses in the settings.
    ///
    /// Fails with [`Error::Listen`] if an address cannot be bound.
    pub async fn bind(mut settings: NodeSettings) -> Result<Self> {
        let limits = settings.limits;
        let callers = NodeListener::bind("caller_address", settings.caller_address, limits).await?;
        let peers = NodeListener::bind("peer_address", settings.peer_address, limits).await?;
        let operators =
            NodeListener::bind("operator_address", settings.operator_address, limits).await?;
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

    /// Settings with the bound addresses; port 0 is replaced by the actual port.
    pub fn settings(&self) -> &NodeSettings {
        &self.settings
    }

    /// Mutable settings, to add peers whose ports were unknown before binding.
    pub fn settings_mut(&mut self) -> &mut NodeSettings {
        &mut self.settings
    }

    /// Starts all tasks of the node and serves requests.
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
        let admission = Arc::new(AdmissionControl::new(&settings, clock));
        let view = Arc::new(ClusterView::new(
            &settings, clock, &replica, &backends, &admission,
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
            admission,
            queues: Arc::new(RequestQueues::new(&settings, clock)),
            region_router: RegionRouter::new(clock),
            observers,
            client_memory: body_account(),
            client: AttemptClient::new(settings.limits.connect_timeout, &live),
            forward_verifier: ForwardVerifier::new(&settings.vm, &live, clock.unix_ms()),
            records: RecordStore::start(store.clone()),
            operations: TaskTracker::new(),
            metrics,
            timeline,
            settings,
            live: live.clone(),
        });
        let shutdown = CancellationToken::new();
        let memory = core.client_memory.clone();
        let mut servers = JoinSet::new();
        servers.spawn(
            self.callers
                .with_live_settings(&live, PeerRole::Caller)
                .serve(
                    CallerHandler(core.clone()),
                    memory.clone(),
                    shutdown.clone(),
                ),
        );
        servers.spawn(self.peers.with_live_settings(&live, PeerRole::Node).serve(
            PeerHandler(core.clone()),
            memory.clone(),
            shutdown.clone(),
        ));
        let background = CancellationToken::new();
        start_cluster(&core, self.control, &store, &background);
        // Stays up during a graceful shutdown, so that operators can watch it.
        tokio::spawn(self.operators.serve(
            OperatorHandler::new(&core, &store),
            memory,
            background.clone(),
        ));
        RunningNode {
            core,
            servers,
            shutdown,
            background: background.drop_guard(),
        }
    }
}

async fn bind_control(address: SocketAddr) -> Result<(TcpListener, SocketAddr)> {
    let listen_error = |source| Error::Listen {
        field: "control_address",
        address,
        source,
    };
    let listener = TcpListener::bind(address).await.map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    Ok((listener, address))
}

/// Starts the control service and the background tasks of the node.
fn start_cluster(
    core: &Arc<NodeCore<EtcdStore>>,
    control: TcpListener,
    store: &Arc<EtcdStore>,
    background: &CancellationToken,
) {
    let (inbox, messages) = mpsc::channel(INBOX_CAPACITY);
    let (watch_enabled, enabled) = watch::channel(false);
    let task = ClusterTask::new(&core.cluster, &core.links, core.clock, watch_enabled);
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
    /// State shared by the handlers and tasks of the node.
    pub fn core(&self) -> &Arc<NodeCore<EtcdStore>> {
        &self.core
    }

    /// Bound address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.core.settings.caller_address
    }

    /// Bound address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.core.settings.operator_address
    }

    /// Shuts down gracefully, with the drain time of the settings.
    ///
    /// The node first reports that it is not ready but still serves, so that
    /// callers notice and move to other nodes. Then it accepts nothing new and
    /// waits for open requests.
    pub async fn stop(self) {
        let drain = self.core.settings.drain;
        self.stop_after(drain).await;
    }

    /// Shuts down like [`RunningNode::stop`], but with `drain` as the drain time.
    pub async fn stop_after(mut self, drain: Duration) {
        self.core.cluster.stopping.store(true, Ordering::Relaxed);
        self.core
            .timeline
            .record(EventKind::ShutdownStarted, "", None);
        tokio::time::sleep(drain).await;
        self.shutdown.cancel();
        while self.servers.join_next().await.is_some() {}
        self.core.operations.close();
        let ended = tokio::time::timeout(OPERATION_TIMEOUT, self.core.operations.wait()).await;
        if ended.is_err() {
            log::warn!(
                "shutting down with unfinished operations: the platform store does not answer"
            );
        }
        drop(self.background);
    }
}
