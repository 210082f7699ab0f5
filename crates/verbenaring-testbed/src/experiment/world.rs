//! State of one run and its event loop.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::admission::AdmissionPermit;
use verbenaring_policy::contract::{
    ContractTerms, LimitTerms, PriorityLevel, ResidencyRule, RoutingPreference,
};
use verbenaring_policy::id::{CustomerId, RegionName};
use verbenaring_policy::quarantine::SuspectReport;
use verbenaring_policy::retry::AttemptPlan;
use verbenaring_policy::router::ServerState;
use verbenaring_policy::straggler::InFlightKey;
use verbenaring_policy::time::Moment;

use super::agenda::EventAgenda;
use super::engine::FakeEngine;
use super::measure::{CallOutcome, CallRecord, RunRecord};
use super::node::{EntryNode, TimedReport};
use super::scenario::{RunSpec, TimedFault};
use super::variant::PolicyVariant;
use super::waiting::{HeldSlot, member_name};
use super::workload::{BOUND_MEMBER, CallSpec, KINDS, MEMBER_SHARES, draw_calls};

/// One-way latency between data centres of a region, servers included.
pub const LOCAL_DELAY: Duration = Duration::from_micros(500);
/// One-way latency between regions.
pub const REGION_DELAY: Duration = Duration::from_millis(55);
/// One-way latency to clients.
pub const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// Time until a node knows that a region cannot be reached.
pub const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Time after which a connection attempt into a partition fails.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const TICK: Duration = Duration::from_millis(100);
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Reports kept per server, enough for the longest lag.
const REPORTS_KEPT: usize = 12;
/// Time after a slow period in which an ejection is still correct.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// What happens at a moment.
#[derive(Debug)]
pub(super) enum Event {
    /// A caller's request arrives at its entry node.
    Arrive(usize),
    /// A call is decided again at its entry node.
    Handle(usize),
    /// A forwarded call arrives at a node of another region.
    Forwarded { call: usize, node: usize },
    /// A call that holds a slot is routed.
    Route(usize),
    /// A call arrives at the owner of a server.
    Relayed { call: usize, node: usize },
    /// A forwarded call could not be delivered.
    Unreachable { call: usize, hop: u32 },
    /// A request arrives at an engine.
    Start(usize),
    /// An engine ends a step.
    Step { server: usize, epoch: u64 },
    /// An engine refused the connection.
    Refused(usize),
    /// A hedge is due unless a token has arrived.
    Hedge(usize),
    /// The deadline of a call.
    Deadline(usize),
    /// An engine restarts.
    Restart { server: usize, epoch: u64 },
    /// Suspects known to another node arrive.
    Merge {
        node: usize,
        reports: Vec<SuspectReport>,
    },
    /// Periodic work of all nodes.
    Tick,
    /// Load reports and summaries.
    Publish,
    /// Next fault of the scenario.
    Fault(usize),
}

/// Call on its way.
#[derive(Debug)]
pub struct CallState {
    /// Request.
    pub spec: CallSpec,
    /// Entry node.
    pub entry: usize,
    /// Node whose queue holds the call or whose slot it uses.
    pub holder: usize,
    /// Whether it waits in the queue of `holder`.
    pub is_queued: bool,
    /// Slot at `holder`.
    pub slot: Option<HeldSlot>,
    /// Admission at the entry node.
    pub permit: Option<AdmissionPermit>,
    /// Attempts made and allowed.
    pub plan: AttemptPlan,
    /// Attempts in flight.
    pub live: Vec<usize>,
    /// Hops of the present path.
    pub hops: u32,
    /// Attempts sent.
    pub sent: u32,
    /// Deadline of the contract.
    pub deadline: Moment,
    /// Result so far.
    pub record: CallRecord,
    /// Whether the caller has an outcome.
    pub has_ended: bool,
}

/// Attempt at an engine.
#[derive(Debug)]
pub struct AttemptState {
    /// Call.
    pub call: usize,
    /// Node that chose the server and counts the attempt.
    pub node: usize,
    /// Server.
    pub server: usize,
    /// Flight in the detector.
    pub flight: Option<InFlightKey>,
    /// Tokens of the answer so far, those before a move included.
    pub tokens: u32,
    /// Tokens received before this attempt resumed the answer.
    pub resumed_at: u32,
    /// Whether it is in flight.
    pub is_live: bool,
}

/// One run.
pub struct World<'a> {
    pub(super) run: &'a RunSpec,
    pub(super) variant: PolicyVariant,
    pub(super) agenda: EventAgenda<Event>,
    pub(super) calls: Vec<CallState>,
    pub(super) attempts: Vec<AttemptState>,
    /// Attempts in flight.
    pub(super) live: BTreeSet<usize>,
    pub(super) engines: Vec<FakeEngine>,
    pub(super) engine_region: Vec<usize>,
    pub(super) nodes: Vec<EntryNode>,
    pub(super) terms: Vec<ContractTerms>,
    pub(super) reports: Vec<VecDeque<TimedReport>>,
    pub(super) summaries: Vec<VecDeque<(Moment, [f64; KINDS])>>,
    pub(super) link_free: [[Moment; 3]; 3],
    /// Region that is cut off, and since when.
    pub(super) cut: Option<(usize, Moment)>,
    pub(super) rng: ChaCha8Rng,
    pub(super) record: RunRecord,
    pub(super) tokens_per_s: f64,
    pub(super) faults: Vec<TimedFault>,
    /// Moment of the last change of speed.
    pub(super) slow_until: Vec<Moment>,
}

impl<'a> World<'a> {
    /// World at time zero.
    pub fn new(run: &'a RunSpec, variant: PolicyVariant, seed: u64) -> Self {
        let deployment = &run.deployment;
        // Mean over the request kinds; it scales estimates only.
        let tokens_per_s = 4_000.0;
        let mut nodes = Vec::new();
        let mut engine_region = Vec::new();
        for (region, spec) in deployment.regions.iter().enumerate() {
            engine_region.extend(std::iter::repeat_n(region, spec.engines));
            for own in 0..spec.nodes {
                nodes.push(EntryNode::new(
                    deployment,
                    region,
                    own,
                    &variant,
                    tokens_per_s,
                ));
            }
        }
        let terms = all_terms(run);
        for (index, terms) in terms.iter().enumerate() {
            let home = index / KINDS / MEMBER_SHARES.len();
            let member = index / KINDS % MEMBER_SHARES.len();
            for node in &mut nodes {
                node.waiting
                    .add_contract(&terms.customer, member, terms.priority);
                if node.region == home {
                    node.add_contract(terms, deployment.regions[home].nodes);
                }
            }
        }
        let count = engine_region.len();
        let faults = run.faults(seed);
        let mut world = Self {
            run,
            variant,
            agenda: EventAgenda::default(),
            calls: Vec::new(),
            attempts: Vec::new(),
            live: BTreeSet::new(),
            engines: (0..count)
                .map(|_| FakeEngine::new(deployment.engine))
                .collect(),
            engine_region,
            nodes,
            terms,
            reports: vec![VecDeque::new(); count],
            summaries: vec![VecDeque::new(); deployment.regions.len()],
            link_free: Default::default(),
            cut: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            record: RunRecord::default(),
            tokens_per_s,
            faults,
            slow_until: vec![Moment::default(); count],
        };
        for call in draw_calls(deployment, &run.load, run.duration, seed) {
            world.add_call(call);
        }
        for index in 0..world.faults.len() {
            world
                .agenda
                .add(world.faults[index].at, Event::Fault(index));
        }
        world.agenda.after(TICK, Event::Tick);
        world.agenda.after(REPORT_PERIOD, Event::Publish);
        world
    }

    /// Runs until every call has ended or its deadline has passed.
    pub fn finish(mut self) -> RunRecord {
        while let Some(event) = self.agenda.take() {
            self.apply(event);
        }
        self.record.is_complete(&self.calls);
        let regions = &self.run.deployment.regions;
        let spec = &self.run.deployment.engine;
        for (engine, region) in self.engines.iter().zip(&self.engine_region) {
            let work_s =
                engine.prefilled as f64 * spec.prefill_s + engine.generated as f64 * spec.token_s();
            self.record.engine_cost += work_s * regions[*region].price;
            self.record.prefilled += engine.prefilled;
        }
        self.record.calls = self.calls.into_iter().map(|call| call.record).collect();
        self.record
    }

    /// Adds a call and the event of its arrival.
    pub(super) fn add_call(&mut self, spec: CallSpec) {
        use rand::Rng;
        let call = self.calls.len();
        let first = self.first_node(spec.home);
        let count = self.run.deployment.regions[spec.home].nodes;
        let entry = first + self.rng.random_range(0..count);
        let terms = &self.terms[customer_index(&spec)];
        let deadline = spec.at + terms.limits.deadline;
        self.agenda.add(spec.at + CLIENT_DELAY, Event::Arrive(call));
        self.agenda.add(deadline, Event::Deadline(call));
        self.calls.push(CallState {
            entry,
            holder: entry,
            is_queued: false,
            slot: None,
            permit: None,
            plan: AttemptPlan::new(deadline, spec.repeatable, true),
            live: Vec::new(),
            hops: 0,
            sent: 0,
            deadline,
            record: CallRecord::new(&spec),
            has_ended: false,
            spec,
        });
    }

    /// Index of the first node of a region.
    pub(super) fn first_node(&self, region: usize) -> usize {
        let regions = &self.run.deployment.regions[..region];
        regions.iter().map(|spec| spec.nodes).sum()
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Handle(call) => self.handle(call),
            Event::Forwarded { call, node } => self.receive_forwarded(call, node),
            Event::Route(call) => self.route(call),
            Event::Relayed { call, node } => self.route_relayed(call, node),
            Event::Unreachable { call, hop } => self.fail_forward(call, hop),
            Event::Start(attempt) => self.start(attempt),
            Event::Step { server, epoch } => self.step(server, epoch),
            Event::Refused(attempt) => self.refuse_connection(attempt),
            Event::Hedge(call) => self.hedge(call),
            Event::Deadline(call) => self.expire(call),
            Event::Restart { server, epoch } => self.restart(server, epoch),
            Event::Merge { node, reports } => {
                let now = self.agenda.now();
                for report in &reports {
                    self.nodes[node].quarantine.merge(report, now);
                }
            }
            Event::Tick => self.tick(),
            Event::Publish => self.publish(),
            Event::Fault(index) => self.apply_fault(index),
        }
    }

    fn is_over(&self) -> bool {
        self.agenda.now() > Moment::default() + self.run.duration
            && self.calls.iter().all(|call| call.has_ended)
    }

    fn tick(&mut self) {
        let now = self.agenda.now();
        for node in 0..self.nodes.len() {
            if self.variant.stragglers {
                self.nodes[node].detector.evaluate(now);
            }
            self.pump(node);
        }
        if self.variant.stragglers {
            self.move_streams();
        }
        if !self.is_over() {
            self.agenda.after(TICK, Event::Tick);
        }
    }

    fn publish(&mut self) {
        let now = self.agenda.now();
        for (server, engine) in self.engines.iter().enumerate() {
            let (running, waiting) = engine.load();
            let reports = &mut self.reports[server];
            if engine.is_up {
                reports.push_back((now, running, waiting));
            }
            if reports.len() > REPORTS_KEPT {
                reports.pop_front();
            }
        }
        for region in 0..self.summaries.len() {
            let waits = [self.region_wait(region, 0), self.region_wait(region, 1)];
            self.summaries[region].push_back((now, waits));
            if self.summaries[region].len() > REPORTS_KEPT {
                self.summaries[region].pop_front();
            }
        }
        for node in &mut self.nodes {
            for position in 0..node.servers.len() {
                // A report that cannot be fetched shows that the server is down.
                let index = node.servers[position].index;
                if !self.engines[index].is_up {
                    node.mark_down(index, now);
                }
                let server = &node.servers[position];
                let reports = &self.reports[server.index];
                let report = super::node::visible(reports, self.run.report_lag, now);
                if let Some((_, running, _)) = report {
                    node.detector.record_load(server.member, running);
                }
                let state = node.detector.state(server.member, now);
                let is_slow = self.engines[server.index].slowness > 1.0
                    || self.slow_until[server.index] + RECOVERY_TIME > now
                    || !self.engines[server.index].is_up;
                self.record.server_samples += 1;
                let is_ejected = matches!(state, ServerState::Ejected { .. });
                self.record.false_ejections += u64::from(is_ejected && !is_slow);
            }
        }
        if !self.is_over() {
            self.agenda.after(REPORT_PERIOD, Event::Publish);
        }
    }

    fn region_wait(&self, region: usize, kind: usize) -> f64 {
        let first = self.first_node(region);
        let count = self.run.deployment.regions[region].nodes;
        let waits = (first..first + count).map(|node| self.node_wait(node, kind));
        waits.sum::<f64>() / count as f64
    }

    /// Ends a call with its outcome.
    pub(super) fn end_call(&mut self, call: usize, outcome: CallOutcome) {
        let now = self.agenda.now();
        let state = &mut self.calls[call];
        if state.has_ended {
            self.record.violations.outcomes_twice += 1;
            return;
        }
        state.has_ended = true;
        state.record.outcome = outcome;
        let total = state.spec.size.total();
        if let Some(permit) = state.permit.take() {
            self.nodes[state.entry].gate.finish(permit, total, now);
        }
        self.release_slot(call);
        let spec = &self.calls[call].spec;
        if spec.crashes && spec.resent < self.run.resends {
            let again = CallSpec {
                at: now + Duration::from_secs(1),
                resent: spec.resent + 1,
                ..spec.clone()
            };
            self.add_call(again);
        }
    }
}

/// Index of the customer of a call.
pub fn customer_index(spec: &CallSpec) -> usize {
    (spec.home * MEMBER_SHARES.len() + spec.member) * KINDS + spec.kind
}

/// Name of a region.
pub fn region_name(name: &str) -> RegionName {
    RegionName::new(name).expect("a valid name")
}

fn all_terms(run: &RunSpec) -> Vec<ContractTerms> {
    let regions = &run.deployment.regions;
    let mut terms = Vec::new();
    for home in regions {
        for member in 0..MEMBER_SHARES.len() {
            for (kind, sizes) in run.deployment.sizes.iter().enumerate() {
                let name = format!("{}-{member}-{kind}", home.name);
                let bound = member == BOUND_MEMBER;
                let allowed = regions.iter().filter(|own| !bound || own.name == home.name);
                terms.push(ContractTerms {
                    customer: CustomerId::new(&name).expect("a valid name"),
                    member: member_name(member),
                    keys: Vec::new(),
                    residency: ResidencyRule {
                        home: region_name(home.name),
                        allowed: allowed.map(|own| region_name(own.name)).collect(),
                    },
                    limits: LimitTerms {
                        requests_per_s: 2_000.0,
                        tokens_per_s: 4_000_000.0,
                        concurrent: 6_000,
                        deadline: sizes.deadline,
                    },
                    priority: if kind == 0 {
                        PriorityLevel::Interactive
                    } else {
                        PriorityLevel::Batch
                    },
                    weight: 1,
                    models: Default::default(),
                    services: Default::default(),
                    preference: RoutingPreference {
                        send_away_after: sizes.send_away_after,
                    },
                });
            }
        }
    }
    terms
}
