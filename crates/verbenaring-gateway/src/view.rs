//! State that the cluster task shares with the request path.
//!
//! Holds the nodes that requests can be forwarded to, and whether this node may
//! serve: after a pause it first synchronises its configuration with its peers.

use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::{DataCentre, ModelName};
use verbenaring_policy::rendezvous::rendezvous;
use verbenaring_policy::summary::CentreSummary;
use verbenaring_policy::time::Moment;
use verbenaring_protocol::control::{NodeDescription, NodeFacts, ReportedLoad};
use verbenaring_protocol::document::{ScopeDocument, StopDocument};

use crate::admit::AdmissionControl;
use crate::backend::BackendTable;
use crate::clock::NodeClock;
use crate::config::{NodeSettings, PeerSettings};
use crate::replica::ConfigReplica;

/// Longest time that a request waits for the resynchronisation after a pause:
/// one timeout each for local and remote peers, and a margin.
const RESYNC_WAIT_LIMIT: Duration = Duration::from_millis(1_500);

/// Interval at which a waiting request checks for the end of the resynchronisation.
const RESYNC_POLL_PERIOD: Duration = Duration::from_millis(10);

/// Load of a data centre for one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CentreLoad {
    /// Expected queueing time of a new request.
    pub wait: Duration,
    /// Time of the measurement in milliseconds since 1970-01-01 UTC.
    pub unix_ms: u64,
}

/// Other nodes that requests can be forwarded to now.
#[derive(Debug, Clone, Default)]
pub struct NodeList {
    /// Live nodes of the own data centre that are not leaving.
    pub local: Vec<PeerSettings>,
    /// Reachable nodes of other data centres; configured peers where none is known.
    pub remote: Vec<PeerSettings>,
    /// Latest summary of each other data centre, without expired ones.
    pub centres: Vec<CentreSummary>,
}

impl NodeList {
    /// Load of a data centre for `model`.
    ///
    /// The wait is zero and the time `unix_ms` for a data centre without a summary;
    /// the wait is also zero for a model that the summary does not list.
    pub fn load_of(
        &self,
        centre: &DataCentre,
        model: Option<&ModelName>,
        unix_ms: u64,
    ) -> CentreLoad {
        let summary = self
            .centres
            .iter()
            .find(|summary| summary.centre == *centre);
        let spare = summary
            .zip(model)
            .and_then(|(summary, model)| summary.status.models.get(model));
        CentreLoad {
            wait: Duration::from_millis(spare.map_or(0, |spare| u64::from(spare.wait_ms))),
            unix_ms: summary.map_or(unix_ms, |summary| summary.status.unix_ms),
        }
    }

    /// Newest revision in force on all nodes of every known data centre.
    ///
    /// `own` is the revision of this node; 0 while a data centre still applies a
    /// change on some of its nodes.
    pub fn accepted_revision(&self, own: Revision) -> Revision {
        let centres = self.centres.iter().map(|summary| match &summary.status {
            status if status.nodes_in_force >= status.node_count => status.revision,
            _ => 0,
        });
        centres.fold(own, Revision::min)
    }
}

/// Cluster state shared by the cluster task, the control service and the request path.
pub struct ClusterView {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: NodeClock,
    /// Monotonic time of the last tick of the cluster task, in microseconds.
    pub(crate) last_tick: AtomicI64,
    /// Whether the configuration is being synchronised after a pause.
    pub(crate) resyncing: AtomicBool,
    pub(crate) replica: Arc<ConfigReplica>,
    /// Other nodes, replaced by the cluster task at every refresh.
    pub nodes: ArcSwap<NodeList>,
    /// Latest load reports of the servers that this node polls.
    pub loads: Mutex<Vec<ReportedLoad>>,
    /// Backend servers of the own data centre.
    pub backends: Arc<BackendTable>,
    /// Enforces the contract limits at this node.
    pub admission: Arc<AdmissionControl>,
    /// Whether a graceful shutdown has begun.
    pub stopping: AtomicBool,
}

impl ClusterView {
    /// Whether this node is the one of all known nodes that tries a quarantined part of
    /// prompts.
    pub fn is_trier(&self, part: u32) -> bool {
        let nodes = self.nodes.load();
        let others = nodes.local.iter().chain(&nodes.remote);
        let own = &self.settings.vm;
        let all = others.map(|node| &node.vm).chain([own]);
        rendezvous(&format!("part {part:08x}"), all, 1) == [own]
    }

    /// Creates the state with the configured peers as its initial nodes.
    pub fn new(
        settings: &NodeSettings,
        clock: NodeClock,
        replica: &Arc<ConfigReplica>,
        backends: &Arc<BackendTable>,
        admission: &Arc<AdmissionControl>,
    ) -> Self {
        let (local, remote) = settings
            .peers
            .iter()
            .cloned()
            .partition(|peer| peer.data_centre == settings.data_centre);
        Self {
            settings: settings.clone(),
            clock,
            last_tick: AtomicI64::new(clock.now().0),
            resyncing: AtomicBool::new(false),
            replica: replica.clone(),
            nodes: ArcSwap::from_pointee(NodeList {
                local,
                remote,
                centres: Vec::new(),
            }),
            backends: backends.clone(),
            admission: admission.clone(),
            loads: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Waits until the configuration is synchronised again if the process was paused.
    ///
    /// During a pause the peers may have removed this node from the membership and
    /// accepted a lower contract limit without it. If no peer answers, the node
    /// continues with its last revision, as an isolated data centre does.
    pub async fn wait_for_resync(&self) {
        let resynced = async {
            while !self.is_synced() {
                tokio::time::sleep(RESYNC_POLL_PERIOD).await;
            }
        };
        if !self.is_synced()
            && tokio::time::timeout(RESYNC_WAIT_LIMIT, resynced)
                .await
                .is_err()
        {
            log::warn!("no peer confirmed the configuration after a pause");
        }
    }

    /// Whether neither a pause nor a resynchronisation is in progress.
    fn is_synced(&self) -> bool {
        let last = Moment(self.last_tick.load(Ordering::Acquire));
        self.clock.now().since(last) < crate::cluster::PAUSE_THRESHOLD
            && !self.resyncing.load(Ordering::Acquire)
    }

    /// Whether callers and other nodes should avoid this node, because it shuts
    /// down or a planned stop of its VM or data centre is in effect.
    pub fn is_leaving(&self) -> bool {
        let now_ms = self.clock.unix_ms();
        let covers = |stop: &StopDocument| match stop.scope {
            ScopeDocument::Vm => stop.target == self.settings.vm.as_str(),
            ScopeDocument::DataCentre => stop.target == self.settings.data_centre.name.as_str(),
            ScopeDocument::Server | ScopeDocument::Rack => false,
        };
        let is_in_effect = |stop: &StopDocument| {
            now_ms >= stop.from_unix_ms && stop.until_unix_ms.is_none_or(|until| now_ms < until)
        };
        let catalog = self.replica.catalog();
        let mut stops = catalog.stops().iter();
        self.stopping.load(Ordering::Relaxed)
            || stops.any(|stop| covers(stop) && is_in_effect(stop))
    }

    /// Description of this node that is sent to other nodes.
    pub fn description(&self) -> NodeDescription {
        let loads = self.loads.lock().unwrap_or_else(|error| error.into_inner());
        NodeDescription {
            vm: self.settings.vm.clone(),
            data_centre: self.settings.data_centre.clone(),
            facts: NodeFacts {
                caller_port: self.settings.caller_address.port(),
                peer_port: self.settings.peer_address.port(),
                config: self.replica.summary(),
                loads: loads.clone(),
                leaving: self.is_leaving(),
            },
            stopping: self.is_leaving(),
        }
    }
}
