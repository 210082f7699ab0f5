//! Product policy and baselines as combinations of decisions.

use rand_chacha::ChaCha8Rng;
use verbenaring_policy::load::PrefixTable;
use verbenaring_policy::router::{
    LeastReported, OwnerNode, PrefixAffinity, RoundRobin, RouteChoice, RoutePlanner, RouteRequest,
    ServerView, TwoChoices,
};

/// Choice of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouterKind {
    /// Servers in turn.
    RoundRobin,
    /// Least reported load.
    LeastReported,
    /// Two choices with prefix affinity.
    TwoChoices,
    /// Owner node per server with prefix affinity.
    OwnerNode,
}

/// Order of waiting requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueKind {
    /// Fair queue with size classes and engine priorities.
    Fair,
    /// First come, first served.
    Fifo,
}

/// Choice of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionKind {
    /// The product's rule.
    Cost,
    /// Least expected wait plus round trip.
    Latency,
}

/// Combination of decisions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PolicyVariant {
    /// Name on the command line.
    pub name: &'static str,
    /// Whether the product is measured against it.
    pub is_baseline: bool,
    /// Choice of a server.
    pub router: RouterKind,
    /// Order of waiting requests.
    pub queue: QueueKind,
    /// Choice of a region.
    pub region: RegionKind,
    /// Whether slow servers are detected and requests hedged.
    pub stragglers: bool,
    /// Whether crashing requests are quarantined.
    pub quarantine: bool,
}

/// All decisions of the product.
pub const PRODUCT: PolicyVariant = PolicyVariant {
    name: "product",
    is_baseline: false,
    router: RouterKind::TwoChoices,
    queue: QueueKind::Fair,
    region: RegionKind::Cost,
    stragglers: true,
    quarantine: true,
};

const PLAIN: PolicyVariant = PolicyVariant {
    name: "plain",
    is_baseline: true,
    router: RouterKind::RoundRobin,
    queue: QueueKind::Fifo,
    region: RegionKind::Latency,
    stragglers: false,
    quarantine: false,
};

/// Servers in turn, first come, first served, region by latency.
pub const ROUND_ROBIN: PolicyVariant = PolicyVariant {
    name: "round-robin",
    ..PLAIN
};

/// Least reported load, otherwise as [`ROUND_ROBIN`].
pub const LEAST_REPORTED: PolicyVariant = PolicyVariant {
    name: "least-reported",
    router: RouterKind::LeastReported,
    ..PLAIN
};

/// The product's choice of servers and regions, but first come, first served,
/// and without the reactions to slow servers and crashing requests.
pub const FIFO: PolicyVariant = PolicyVariant {
    name: "fifo",
    router: RouterKind::TwoChoices,
    region: RegionKind::Cost,
    ..PLAIN
};

/// The product with a queue without classes or fairness.
pub const PRODUCT_FIFO: PolicyVariant = PolicyVariant {
    name: "product-fifo",
    queue: QueueKind::Fifo,
    ..PRODUCT
};

/// The product without the reactions to slow servers.
pub const PRODUCT_NO_EJECTION: PolicyVariant = PolicyVariant {
    name: "product-no-ejection",
    stragglers: false,
    ..PRODUCT
};

/// The product with region choice by latency only.
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

/// The product with the least reported load.
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

/// All combinations.
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

/// Planner with the router of a variant.
#[derive(Debug)]
pub enum AnyPlanner {
    /// Servers in turn.
    RoundRobin(RoutePlanner<RoundRobin>),
    /// Least reported load.
    LeastReported(RoutePlanner<LeastReported>),
    /// Two choices with prefix affinity.
    TwoChoices(RoutePlanner<PrefixAffinity<TwoChoices>>),
    /// Owner node with prefix affinity.
    OwnerNode(RoutePlanner<PrefixAffinity<OwnerNode>>),
}

impl AnyPlanner {
    /// Planner of the node at index `own` among `nodes`.
    pub fn new(kind: RouterKind, own: usize, nodes: Vec<u64>) -> Self {
        match kind {
            RouterKind::RoundRobin => Self::RoundRobin(RoutePlanner::default()),
            RouterKind::LeastReported => Self::LeastReported(RoutePlanner::default()),
            RouterKind::TwoChoices => Self::TwoChoices(RoutePlanner::default()),
            RouterKind::OwnerNode => {
                let policy = PrefixAffinity(OwnerNode::new(own, nodes));
                Self::OwnerNode(RoutePlanner::new(policy))
            }
        }
    }

    /// Chooses a server.
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
