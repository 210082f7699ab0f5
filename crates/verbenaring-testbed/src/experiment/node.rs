//! Entry node: own instances of the policy modules and own counts.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use verbenaring_policy::admission::{AdmissionGate, Allotment, AllotmentTable};
use verbenaring_policy::contract::ContractTerms;
use verbenaring_policy::hedge::HedgeBudget;
use verbenaring_policy::id::{ModelName, ServerId, VmId};
use verbenaring_policy::load::{PrefixTable, key_of};
use verbenaring_policy::quarantine::QuarantineList;
use verbenaring_policy::region::{LinkBudget, RegionSelector};
use verbenaring_policy::retry::RetryLimiter;
use verbenaring_policy::router::{
    RouteChoice, RouteRequest, RouteTarget, ServedModel, ServerLoad, ServerRole, ServerState,
    ServerView,
};
use verbenaring_policy::straggler::{MemberKey, StragglerDetector, StragglerSettings};
use verbenaring_policy::time::Moment;

use super::variant::{AnyPlanner, PolicyVariant};
use super::waiting::WaitingCalls;
use super::workload::{CallSpec, DeploymentSpec};

/// Time for which a server that refused a connection is left out. It exceeds
/// the period of the load reports, whose next failure extends it.
const CONNECT_BACKOFF: Duration = Duration::from_millis(1_100);
/// Part of a link that the nodes of a region share for forwarded requests.
const LINK_SHARE: f64 = 0.5;

/// Server as one node sees it.
#[derive(Debug)]
pub struct KnownServer {
    /// Index in the deployment.
    pub index: usize,
    /// Identifier.
    pub id: ServerId,
    /// Tokens outstanding.
    pub own_tokens: u64,
    /// Requests outstanding.
    pub own_requests: u32,
    /// Prefixes sent before.
    pub prefixes: PrefixTable,
    /// Member of the detector.
    pub member: MemberKey,
    /// Moment until which it is left out after a failed connection.
    pub down_until: Moment,
}

/// Load report of a server and the moment at which it was made.
pub type TimedReport = (Moment, u32, u32);

/// What a choice of a server depends on besides the call.
#[derive(Debug)]
pub struct PlanContext<'a> {
    /// Load reports of all servers.
    pub reports: &'a [VecDeque<TimedReport>],
    /// Policy.
    pub variant: &'a PolicyVariant,
    /// Lag of the reports.
    pub lag: Duration,
    /// Whether a peer relayed the call.
    pub relayed: bool,
    /// Present moment.
    pub now: Moment,
}

/// Entry node.
#[derive(Debug)]
pub struct EntryNode {
    /// Region.
    pub region: usize,
    /// Server choice.
    pub planner: AnyPlanner,
    /// Slow servers.
    pub detector: StragglerDetector,
    /// Hedge budget.
    pub hedges: HedgeBudget,
    /// Budget of moved streams.
    pub moves: HedgeBudget,
    /// Retry budgets.
    pub limiter: RetryLimiter,
    /// Crashing requests.
    pub quarantine: QuarantineList,
    /// Region choice.
    pub selector: RegionSelector,
    /// Waiting requests.
    pub waiting: WaitingCalls,
    /// Admission.
    pub gate: AdmissionGate,
    /// Shares of contracts.
    pub table: AllotmentTable,
    /// Servers of the region.
    pub servers: Vec<KnownServer>,
    /// Estimated tokens that wait, by kind.
    pub queued_tokens: [u64; 2],
    models: Vec<ServedModel>,
    model: ModelName,
    slots: u32,
    tokens_per_s: f64,
}

impl EntryNode {
    /// Node number `own` of a region.
    pub fn new(
        deployment: &DeploymentSpec,
        region: usize,
        own: usize,
        variant: &PolicyVariant,
        tokens_per_s: f64,
    ) -> Self {
        let spec = &deployment.regions[region];
        let name = |index: usize| format!("{}-node-{index}", spec.name);
        let keys = (0..spec.nodes).map(|index| key_of(&name(index))).collect();
        let vm = VmId::new(&name(own)).expect("a valid name");
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
                member: detector.add_member(&model, Moment::default()),
                down_until: Moment::default(),
            })
            .collect();
        let slots = (spec.engines * deployment.engine.slots).div_ceil(spec.nodes);
        let mut selector = RegionSelector::default();
        let rate = deployment.link_bytes_per_s * LINK_SHARE / spec.nodes as f64;
        for remote in deployment
            .regions
            .iter()
            .filter(|remote| remote.name != spec.name)
        {
            let budget = LinkBudget::new(rate, rate, Moment::default());
            selector.set_link(&super::world::region_name(remote.name), budget);
        }
        Self {
            region,
            planner: AnyPlanner::new(variant.router, own, keys),
            detector,
            hedges: HedgeBudget::default(),
            moves: HedgeBudget::default(),
            limiter: RetryLimiter::default(),
            quarantine: QuarantineList::default(),
            selector,
            waiting: WaitingCalls::new(variant.queue, slots),
            gate: AdmissionGate::default(),
            table: AllotmentTable::new(vm, 1, BTreeSet::new(), Moment::default()),
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

    /// Takes over a contract, whose limits the nodes of the home region share.
    pub fn add_contract(&mut self, terms: &ContractTerms, nodes: usize) {
        let whole = Allotment::from_limits(&terms.limits);
        let parts = nodes as u64;
        let share = Allotment {
            millirequests_per_s: whole.millirequests_per_s / parts,
            millitokens_per_s: whole.millitokens_per_s / parts,
            concurrent: whole.concurrent / parts as u32,
        };
        self.table.stage(&terms.customer, 1, share);
        self.table.accept(&terms.customer, 1);
    }

    /// Model that all engines serve.
    pub fn model(&self) -> &ModelName {
        &self.model
    }

    /// Position of a server in this node's list.
    pub fn position(&self, server: usize) -> usize {
        server - self.servers[0].index
    }

    /// Whether any server is believed to run.
    pub fn has_server(&self, now: Moment) -> bool {
        self.servers.iter().any(|server| server.down_until <= now)
    }

    /// Leaves a server out after a failed connection.
    pub fn mark_down(&mut self, server: usize, now: Moment) {
        let position = self.position(server);
        self.servers[position].down_until = now + CONNECT_BACKOFF;
        self.servers[position].prefixes.clear();
    }

    /// Chooses a server for a call.
    pub fn plan(
        &mut self,
        call: &CallSpec,
        context: &PlanContext<'_>,
        excluded: &[ServerId],
        rng: &mut ChaCha8Rng,
    ) -> Option<RouteChoice> {
        let request = RouteRequest {
            target: RouteTarget::Model {
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
            } else if context.variant.stragglers {
                self.detector.state(server.member, now)
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
                report: visible(&context.reports[server.index], context.lag, now).map(
                    |(at, running, waiting)| ServerLoad {
                        running,
                        waiting,
                        cache_usage: 0.0,
                        age: now.since(at),
                    },
                ),
                models: &self.models,
                services: &[],
                prefixes: &server.prefixes,
            });
        }
        self.planner.plan(&request, &views, rng)
    }

    /// Counts a request sent to a server.
    pub fn send(&mut self, position: usize, call: &CallSpec) {
        let server = &mut self.servers[position];
        server.own_tokens += u64::from(call.estimate.total());
        server.own_requests += 1;
        server.prefixes.insert(&prefix_digest(call.prefix));
    }

    /// Removes a request from the counts of a server.
    pub fn receive(&mut self, position: usize, call: &CallSpec) {
        let server = &mut self.servers[position];
        server.own_tokens -= u64::from(call.estimate.total());
        server.own_requests -= 1;
    }
}

/// Newest report that has arrived.
pub fn visible(reports: &VecDeque<TimedReport>, lag: Duration, now: Moment) -> Option<TimedReport> {
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
