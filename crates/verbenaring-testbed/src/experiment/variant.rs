//! Policies under test: the product and baselines, as combinations of the
//! decisions to make.

use rand_chacha::ChaCha8Rng;
use verbenaring_policy::load::PrefixTable;
use verbenaring_policy::router::{
    LeastReported, OwnerNode, PrefixAffinity, RoundRobin, RouteChoice, RoutePlanner, RouteRequest,
    ServerView, TwoChoices,
};

/// Rule that chooses a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterKind {
    /// Takes the servers in turn.
    RoundRobin,
    /// Takes the server with the least reported load.
    LeastReported,
    /// Takes the better of two random servers, with prefix affinity.
    TwoChoices,
    /// Leaves the choice of a server to the one node that owns it, with prefix
    /// affinity.
    OwnerNode,
}

/// Order in which queued calls are dispatched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueKind {
    /// Fair queue with size classes; engines schedule by priority.
    Fair,
    /// First come, first served; all calls have the same engine priority.
    Fifo,
}

/// Rule that chooses a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionKind {
    /// The product's rule, which weighs the cost of a region.
    Cost,
    /// Least expected wait plus round trip.
    Latency,
}

/// Policy under test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyVariant {
    /// Name on the command line and in reports.
    pub name: &'static str,
    /// Whether the targets compare the product with it.
    pub is_baseline: bool,
    /// Rule that chooses a server.
    pub router: RouterKind,
    /// Order of the queued calls.
    pub queue: QueueKind,
    /// Rule that chooses a region.
    pub region: RegionKind,
    /// Whether slow servers are detected and ejected, and calls hedged and
    /// moved.
    pub handles_stragglers: bool,
    /// Whether requests that crash servers are quarantined.
    pub quarantine: bool,
}

/// The product with all its decisions.
pub const PRODUCT: PolicyVariant = PolicyVariant {
    name: "product",
    is_baseline: false,
    router: RouterKind::TwoChoices,
    queue: QueueKind::Fair,
    region: RegionKind::Cost,
    handles_stragglers: true,
    quarantine: true,
};

/// Base of the baselines, itself not run.
const BASELINE: PolicyVariant = PolicyVariant {
    name: "plain",
    is_baseline: true,
    router: RouterKind::RoundRobin,
    queue: QueueKind::Fifo,
    region: RegionKind::Latency,
    handles_stragglers: false,
    quarantine: false,
};

/// Baseline: servers in turn, first come first served, region by latency.
pub const ROUND_ROBIN: PolicyVariant = PolicyVariant {
    name: "round-robin",
    ..BASELINE
};

/// Baseline: least reported load, otherwise as [`ROUND_ROBIN`].
pub const LEAST_REPORTED: PolicyVariant = PolicyVariant {
    name: "least-reported",
    router: RouterKind::LeastReported,
    ..BASELINE
};

/// Baseline: the product's choice of servers and regions, but first come first
/// served, without straggler handling and without quarantine.
pub const FIFO: PolicyVariant = PolicyVariant {
    name: "fifo",
    router: RouterKind::TwoChoices,
    region: RegionKind::Cost,
    ..BASELINE
};

/// The product with a first-come, first-served queue.
pub const PRODUCT_FIFO: PolicyVariant = PolicyVariant {
    name: "product-fifo",
    queue: QueueKind::Fifo,
    ..PRODUCT
};

/// The product without straggler handling.
pub const PRODUCT_NO_EJECTION: PolicyVariant = PolicyVariant {
    name: "product-no-ejection",
    handles_stragglers: false,
    ..PRODUCT
};

/// Baseline: the product, but regions are chosen by latency only.
pub const LATENCY_FIRST: PolicyVariant = PolicyVariant {
    name: "latency-first",
    is_baseline: true,
    region: RegionKind::Latency,
    ..PRODUCT
};

/// The product with servers in turn.
pub const PRODUCT_ROUND_ROBIN: PolicyVariant = PolicyVariant {
    name: "product-round-robin",
    router: RouterKind::RoundRobin,
    ..PRODUCT
};

/// The product with the server of least reported load.
pub const PRODUCT_LEAST_REPORTED: PolicyVariant = PolicyVariant {
    name: "product-least-reported",
    router: RouterKind::LeastReported,
    ..PRODUCT
};

/// The product with one owner node per server.
pub const OWNER_NODE: PolicyVariant = PolicyVariant {
    name: "owner-node",
    router: RouterKind::OwnerNode,
    ..PRODUCT
};

/// All policies, in the order of the list on the command line.
pub const VARIANTS: [PolicyVariant; 10] = [
    PRODUCT,
    PRODUCT_FIFO,
    PRODUCT_NO_EJECTION,
    ROUND_ROBIN,
    LEAST_REPORTED,
    FIFO,
    LATENCY_FIRST,
    PRODUCT_ROUND_ROBIN,
    PRODUCT_LEAST_REPORTED,
    OWNER_NODE,
];

/// Route planner of any [`RouterKind`].
#[derive(Debug)]
pub enum AnyPlanner {
    /// Planner for [`RouterKind::RoundRobin`].
    RoundRobin(RoutePlanner<RoundRobin>),
    /// Planner for [`RouterKind::LeastReported`].
    LeastReported(RoutePlanner<LeastReported>),
    /// Planner for [`RouterKind::TwoChoices`].
    TwoChoices(RoutePlanner<PrefixAffinity<TwoChoices>>),
    /// Planner for [`RouterKind::OwnerNode`].
    OwnerNode(RoutePlanner<PrefixAffinity<OwnerNode>>),
}

impl AnyPlanner {
    /// Creates the planner of one node. `node_index` is its index in `nodes`,
    /// the rendezvous keys of all nodes of the region.
    pub fn new(kind: RouterKind, node_index: usize, nodes: Vec<u64>) -> Self {
        match kind {
            RouterKind::RoundRobin => Self::RoundRobin(RoutePlanner::default()),
            RouterKind::LeastReported => Self::LeastReported(RoutePlanner::default()),
            RouterKind::TwoChoices => Self::TwoChoices(RoutePlanner::default()),
            RouterKind::OwnerNode => {
                let policy = PrefixAffinity(OwnerNode::new(node_index, nodes));
                Self::OwnerNode(RoutePlanner::new(policy))
            }
        }
    }

    /// Chooses a server; `None` if no server can run the request.
    pub fn plan(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, PrefixTable>],
        rng: &mut ChaCha8Rng,
    ) -> Option<RouteChoice> {
        match self {
            Self::RoundRobin(planner) => planner.plan(request, servers, rng),
            Self::LeastReported(planner) => planner.plan(request, servers, rng),
            Self::TwoChoices(planner) => planner.plan(request, servers, rng),
            Self::OwnerNode(planner) => planner.plan(request, servers, rng),
        }
    }
}
