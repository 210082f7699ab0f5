//! View of the other nodes, shared with the request path.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::{DataCentre, ModelName};
use verbenaring_policy::summary::CentreSummary;
use verbenaring_policy::time::Moment;
use verbenaring_protocol::control::{NodeDescription, NodeFacts, ReportedLoad};
use verbenaring_protocol::document::{ScopeDocument, StopDocument};

use crate::admit::AdmissionDesk;
use crate::backend::BackendTable;
use crate::clock::NodeClock;
use crate::config::{NodeSettings, PeerSettings};
use crate::replica::ConfigReplica;

/// Longest delay of a request after a pause: peers near, then far, and a margin.
const SETTLE_LIMIT: Duration = Duration::from_millis(1_500);

/// Time between two looks at whether the configuration was read again.
const SETTLE_POLL: Duration = Duration::from_millis(10);

/// Load of a data centre for one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CentreLoad {
    /// Expected wait of a new request.
    pub wait: Duration,
    /// Time of the measurement, in milliseconds since 1970-01-01 UTC.
    pub unix_ms: u64,
}

/// Other nodes that may be used now.
#[derive(Debug, Clone, Default)]
pub struct NodeList {
    /// Live nodes of the own data centre.
    pub near: Vec<PeerSettings>,
    /// Nodes of other data centres.
    pub far: Vec<PeerSettings>,
    /// Latest known state of other data centres.
    pub centres: Vec<CentreSummary>,
}

impl NodeList {
    /// Load of a data centre; idle where nothing is known.
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

    /// Newest revision that every data centre has in force on all its nodes.
    pub fn accepted_revision(&self, own: Revision) -> Revision {
        let centres = self.centres.iter().map(|summary| match &summary.status {
            status if status.nodes_in_force >= status.node_count => status.revision,
            _ => 0,
        });
        centres.fold(own, Revision::min)
    }
}

/// View of the other nodes, shared with the request path.
pub struct ClusterView {
    pub(crate) settings: NodeSettings,
    pub(crate) clock: NodeClock,
    /// Moment of the last tick, in microseconds.
    pub(crate) last_tick: AtomicU64,
    /// Whether the configuration is being read again after a pause.
    pub(crate) rereading: AtomicBool,
    pub(crate) replica: Arc<ConfigReplica>,
    /// Other nodes that may be used now.
    pub nodes: ArcSwap<NodeList>,
    /// Load of the servers that this node polls.
    pub loads: Mutex<Vec<ReportedLoad>>,
    /// Backend servers of the data centre.
    pub backends: Arc<BackendTable>,
    /// Limits of contracts at this node.
    pub desk: Arc<AdmissionDesk>,
    /// Whether a graceful shutdown has begun.
    pub stopping: AtomicBool,
}

impl ClusterView {
    /// View that starts with the peers of the settings.
    pub fn new(
        settings: &NodeSettings,
        clock: NodeClock,
        replica: &Arc<ConfigReplica>,
        backends: &Arc<BackendTable>,
        desk: &Arc<AdmissionDesk>,
    ) -> Self {
        let (near, far) = settings
            .peers
            .iter()
            .cloned()
            .partition(|peer| peer.data_centre == settings.data_centre);
        Self {
            settings: settings.clone(),
            clock,
            last_tick: AtomicU64::new(clock.now().0),
            rereading: AtomicBool::new(false),
            replica: replica.clone(),
            nodes: ArcSwap::from_pointee(NodeList {
                near,
                far,
                centres: Vec::new(),
            }),
            backends: backends.clone(),
            desk: desk.clone(),
            loads: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    /// Waits until a node that was paused has read its configuration again.
    ///
    /// Its peers may have removed it meanwhile, and a narrower contract may be
    /// accepted without it. A node that reaches no peer goes on under its last
    /// revision, as a data centre that is cut off does.
    pub async fn settle(&self) {
        let settled = async {
            while !self.is_settled() {
                tokio::time::sleep(SETTLE_POLL).await;
            }
        };
        if !self.is_settled() && tokio::time::timeout(SETTLE_LIMIT, settled).await.is_err() {
            log::warn!("no peer confirmed the configuration after a pause");
        }
    }

    fn is_settled(&self) -> bool {
        let last = Moment(self.last_tick.load(Ordering::Acquire));
        self.clock.now().since(last) < crate::cluster::PAUSE
            && !self.rereading.load(Ordering::Acquire)
    }

    /// Whether callers and nodes should use other nodes: a graceful shutdown
    /// has begun, or a planned stop covers this node.
    pub fn is_leaving(&self) -> bool {
        let now_ms = self.clock.unix_ms();
        let covers = |stop: &StopDocument| match stop.scope {
            ScopeDocument::Vm => stop.target == self.settings.vm.as_str(),
            ScopeDocument::DataCentre => stop.target == self.settings.data_centre.name.as_str(),
            ScopeDocument::Server | ScopeDocument::Rack => false,
        };
        let is_due = |stop: &StopDocument| {
            now_ms >= stop.from_unix_ms && stop.until_unix_ms.is_none_or(|until| now_ms < until)
        };
        let catalog = self.replica.catalog();
        let mut stops = catalog.stops().iter();
        self.stopping.load(Ordering::Relaxed) || stops.any(|stop| covers(stop) && is_due(stop))
    }

    /// Addresses and facts of this node.
    pub fn card(&self) -> NodeDescription {
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
