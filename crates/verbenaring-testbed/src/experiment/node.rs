//! Entry node of the gateway: its own policy instances and its own view of the
//! servers in its region.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use verbenaring_policy::admission::{AdmissionGate, Allotment, AllotmentTable};
use verbenaring_policy::contract::ContractTerms;
use verbenaring_policy::hedge::HedgeBudget;
use verbenaring_policy::id::{ModelName, ServerId, VmId};
use verbenaring_policy::load::{PrefixTable, rendezvous_key};
use verbenaring_policy::quarantine::QuarantineList;
use verbenaring_policy::region::{LinkBudget, RegionSelector};
use verbenaring_policy::retry::RetryLimiter;
use verbenaring_policy::router::{
    RouteChoice, RouteRequest, ServedModel, ServerLoad, ServerRequirement, ServerRole, ServerState,
    ServerView,
};
use verbenaring_policy::straggler::{ModelReplicaKey, StragglerDetector, StragglerSettings};
use verbenaring_policy::time::Moment;

use super::call_queue::CallQueue;
use super::variant::{AnyPlanner, PolicyVariant};
use super::workload::{CallSpec, DeploymentSpec};

/// Time for which a node avoids a server after a failed connection. Longer than
/// the period of the load reports, so that the next failed report extends it
/// without a gap.
const CONNECT_BACKOFF: Duration = Duration::from_millis(1_100);
/// Share of a link's rate for forwarded requests, which the nodes of the region
/// split evenly.
const FORWARD_LINK_SHARE: f64 = 0.5;

/// Server as one node knows it.
#[derive(Debug)]
pub struct KnownServer {
    /// Index among all servers of the deployment.
    pub index: usize,
    /// Name of the server.
    pub id: ServerId,
    /// Estimated tokens of this node's requests in flight at the server.
    pub own_tokens: u64,
    /// Requests of this node in flight at the server.
    pub own_requests: u32,
    /// Prompt prefixes that this node has recently sent to the server.
    pub prefixes: PrefixTable,
    /// Key of the server in the straggler detector.
    pub replica: ModelReplicaKey,
    /// Moment until which the node avoids the server after a failed connection.
    pub down_until: Moment,
}

/// Load report of a server: moment at which it was made, running and waiting
/// requests.
pub type TimedReport = (Moment, u32, u32);

/// Inputs of a server choice that do not depend on the call.
#[derive(Debug)]
pub struct PlanContext<'a> {
    /// Load reports per server, oldest first.
    pub reports: &'a [VecDeque<TimedReport>],
    /// Policy under test.
    pub variant: &'a PolicyVariant,
    /// Age that a report must have before nodes see it.
    pub lag: Duration,
    /// Whether another node relayed the call; it is then not relayed again.
    pub relayed: bool,
    /// Current virtual time.
    pub now: Moment,
}

/// Gateway node with its policy state.
#[derive(Debug)]
pub struct EntryNode {
    /// Index of the node's region.
    pub region: usize,
    /// Chooses the server of a call.
    pub planner: AnyPlanner,
    /// Detects slow servers.
    pub detector: StragglerDetector,
    /// Limits hedge requests.
    pub hedge_budget: HedgeBudget,
    /// Limits streams moved off slow servers.
    pub move_budget: HedgeBudget,
    /// Limits retries.
    pub retry_limiter: RetryLimiter,
    /// Requests suspected of crashing servers.
    pub quarantine: QuarantineList,
    /// Chooses the region of a call.
    pub selector: RegionSelector,
    /// Calls that wait for a slot.
    pub queue: CallQueue,
    /// Admits or refuses calls by the limits of their contracts.
    pub admission: AdmissionGate,
    /// This node's parts of the contract limits.
    pub allotments: AllotmentTable,
    /// Servers of the node's region, in the order of their index.
    pub servers: Vec<KnownServer>,
    /// Estimated tokens of the waiting calls, by call kind.
    pub queued_tokens: [u64; 2],
    models: Vec<ServedModel>,
    model: ModelName,
    slots: u32,
    tokens_per_s: f64,
}

impl EntryNode {
    /// Creates node number `node_index` of a region.
    pub fn new(
        deployment: &DeploymentSpec,
        region: usize,
        node_index: usize,
        variant: &PolicyVariant,
        tokens_per_s: f64,
    ) -> Self {
        let spec = &deployment.regions[region];
        let name = |index: usize| format!("{}-node-{index}", spec.name);
        let node_keys = (0..spec.nodes)
            .map(|index| rendezvous_key(&name(index)))
            .collect();
        let vm = VmId::new(&name(node_index)).expect("a valid name");
        let model = ModelName::new("base").expect("a valid name");
        let mut detector = StragglerDetector::new(StragglerSettings::default());
        let first: usize = deployment.regions[..region]
            .iter()
            .map(|spec| spec.engines)
            .sum();
        let servers = (first..first + spec.engines)
            .map(|index| KnownServer {
                index,
                id: server_name(index),
                own_tokens: 0,
                own_requests: 0,
                prefixes: PrefixTable::default(),
                replica: detector.add_replica(&model, Moment::default()),
                down_until: Moment::default(),
            })
            .collect();
        let slots = (spec.engines * deployment.engine.slots).div_ceil(spec.nodes);
        let mut selector = RegionSelector::default();
        let rate = deployment.link_bytes_per_s * FORWARD_LINK_SHARE / spec.nodes as f64;
        for remote in deployment
            .regions
            .iter()
            .filter(|remote| remote.name != spec.name)
        {
            let budget = LinkBudget::new(rate, rate, Moment::default());
            selector.set_link(&super::simulation::region_name(remote.name), budget);
        }
        Self {
            region,
            planner: AnyPlanner::new(variant.router, node_index, node_keys),
            detector,
            hedge_budget: HedgeBudget::default(),
            move_budget: HedgeBudget::default(),
            retry_limiter: RetryLimiter::default(),
            quarantine: QuarantineList::default(),
            selector,
            queue: CallQueue::new(variant.queue, slots),
            admission: AdmissionGate::default(),
            allotments: AllotmentTable::new(vm, 1, BTreeSet::new(), Moment::default()),
            servers,
            queued_tokens: [0; 2],
            models: vec![ServedModel {
                model: model.clone(),
                version: "1".into(),
                adapters: Vec::new(),
                role: ServerRole::Whole,
            }],
            model,
            slots: deployment.engine.slots as u32,
            tokens_per_s,
        }
    }

    /// Adds a contract with this node's equal part of its limits. `nodes` is
    /// the number of nodes in the contract's home region.
    pub fn add_contract(&mut self, terms: &ContractTerms, nodes: usize) {
        let whole = Allotment::from_limits(&terms.limits);
        let parts = nodes as u64;
        let share = Allotment {
            millirequests_per_s: whole.millirequests_per_s / parts,
            millitokens_per_s: whole.millitokens_per_s / parts,
            concurrent: whole.concurrent / parts as u32,
        };
        self.allotments.stage(&terms.customer, 1, share);
        self.allotments.accept(&terms.customer, 1);
    }

    /// Name of the model that all engines serve.
    pub fn model(&self) -> &ModelName {
        &self.model
    }

    /// Position of a server in this node's list.
    pub fn position(&self, server: usize) -> usize {
        server - self.servers[0].index
    }

    /// Whether the node may use at least one server.
    pub fn has_server(&self, now: Moment) -> bool {
        self.servers.iter().any(|server| server.down_until <= now)
    }

    /// Avoids a server after a failed connection and forgets its cached
    /// prefixes.
    pub fn mark_down(&mut self, server: usize, now: Moment) {
        let position = self.position(server);
        self.servers[position].down_until = now + CONNECT_BACKOFF;
        self.servers[position].prefixes.clear();
    }

    /// Chooses a server for a call; `None` if no server can be used.
    pub fn plan(
        &mut self,
        call: &CallSpec,
        context: &PlanContext<'_>,
        excluded: &[ServerId],
        rng: &mut ChaCha8Rng,
    ) -> Option<RouteChoice> {
        let request = RouteRequest {
            requirement: ServerRequirement::Model {
                model: &self.model,
                version: None,
                adapter: None,
                role: ServerRole::Whole,
            },
            size: call.estimate,
            prefix: prefix_digest(call.prefix),
            low_priority: call.kind == 1,
            relayed: context.relayed,
            excluded,
        };
        let now = context.now;
        let mut views = Vec::with_capacity(self.servers.len());
        for server in &self.servers {
            let state = if server.down_until > now {
                ServerState::Leaving
            } else if context.variant.handles_stragglers {
                self.detector.state(server.replica, now)
            } else {
                ServerState::Active
            };
            views.push(ServerView {
                id: &server.id,
                state,
                own_tokens: server.own_tokens,
                own_requests: server.own_requests,
                slots: self.slots,
                tokens_per_s: self.tokens_per_s,
                report: latest_visible_report(&context.reports[server.index], context.lag, now)
                    .map(|(at, running, waiting)| ServerLoad {
                        running,
                        waiting,
                        cache_usage: 0.0,
                        age: now.since(at),
                    }),
                models: &self.models,
                services: &[],
                prefixes: &server.prefixes,
            });
        }
        self.planner.plan(&request, &views, rng)
    }

    /// Counts a call sent to the server at `position`.
    pub fn record_sent(&mut self, position: usize, call: &CallSpec) {
        let server = &mut self.servers[position];
        server.own_tokens += u64::from(call.estimate.total());
        server.own_requests += 1;
        server.prefixes.insert(&prefix_digest(call.prefix));
    }

    /// Removes a call from the counts of the server at `position`.
    pub fn record_ended(&mut self, position: usize, call: &CallSpec) {
        let server = &mut self.servers[position];
        server.own_tokens -= u64::from(call.estimate.total());
        server.own_requests -= 1;
    }
}

/// Newest report that is at least `lag` old.
pub fn latest_visible_report(
    reports: &VecDeque<TimedReport>,
    lag: Duration,
    now: Moment,
) -> Option<TimedReport> {
    reports
        .iter()
        .rev()
        .find(|(at, _, _)| now.since(*at) >= lag)
        .copied()
}

/// Name of a server.
pub fn server_name(index: usize) -> ServerId {
    ServerId::new(&format!("engine-{index}")).expect("a valid name")
}

fn prefix_digest(prefix: u64) -> verbenaring_policy::id::Digest {
    verbenaring_policy::id::Digest::of(&prefix.to_le_bytes())
}
