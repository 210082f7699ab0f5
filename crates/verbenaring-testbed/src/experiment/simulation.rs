//! State and event loop of one simulated run.

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

use super::call_queue::{HeldSlot, member_name};
use super::engine::SimulatedEngine;
use super::event_queue::EventQueue;
use super::measure::{CallOutcome, CallRecord, RunRecord};
use super::node::{EntryNode, TimedReport};
use super::scenario::{RunSpec, TimedFault};
use super::variant::PolicyVariant;
use super::workload::{BOUND_MEMBER, CallSpec, KINDS, MEMBER_SHARES, draw_calls};

/// One-way latency within a region: between its data centres, nodes and
/// servers.
pub const LOCAL_DELAY: Duration = Duration::from_micros(500);
/// One-way latency between regions.
pub const REGION_DELAY: Duration = Duration::from_millis(55);
/// One-way latency between a caller and its entry node.
pub const CLIENT_DELAY: Duration = Duration::from_millis(3);
/// Time until nodes know that a region cannot be reached.
pub const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Time after which a connection into a partitioned region fails.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Period of the straggler evaluation and of the queue checks at all nodes.
const TICK: Duration = Duration::from_millis(100);
/// Period of load reports and region summaries.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Reports kept per server and summaries per region; enough for the longest
/// lag.
const REPORTS_KEPT: usize = 12;
/// Time after a change of a server's speed in which its ejection still counts
/// as correct.
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Event of the simulation. Calls, attempts, nodes and servers are given by
/// index.
#[derive(Debug)]
pub(super) enum Event {
    /// A call arrives at its entry node.
    Arrive(usize),
    /// The entry node chooses a region for a call again.
    Place(usize),
    /// A forwarded call arrives at a node of another region.
    Forwarded { call: usize, node: usize },
    /// A server is chosen for a call that holds a slot.
    Route(usize),
    /// A call arrives at the node that owns its server.
    Relayed { call: usize, node: usize },
    /// A forwarded call was lost or refused.
    Unreachable { call: usize, hop: u32 },
    /// An attempt arrives at its engine.
    Start(usize),
    /// An engine ends a step.
    Step { server: usize, epoch: u64 },
    /// A node learns that the engine of an attempt is down.
    Refused(usize),
    /// A hedge is due unless the call has received a token.
    Hedge(usize),
    /// The deadline of a call passes.
    Deadline(usize),
    /// An engine restarts after a crash.
    Restart { server: usize, epoch: u64 },
    /// A node receives the suspected requests of another one.
    Merge {
        node: usize,
        reports: Vec<SuspectReport>,
    },
    /// Periodic work of all nodes.
    Tick,
    /// Engines publish load reports, regions publish summaries.
    Publish,
    /// A fault of the run is injected.
    Fault(usize),
}

/// State of a call.
#[derive(Debug)]
pub struct CallState {
    /// What the caller sends.
    pub spec: CallSpec,
    /// Node that the caller is connected to.
    pub entry: usize,
    /// Node whose queue holds the call or whose slot it uses; not always the
    /// entry node.
    pub holder: usize,
    /// Whether it waits in the queue of `holder`.
    pub is_queued: bool,
    /// Slot that the call holds at `holder`.
    pub slot: Option<HeldSlot>,
    /// Admission at the entry node, until the call ends.
    pub permit: Option<AdmissionPermit>,
    /// Attempts made and retries still allowed.
    pub plan: AttemptPlan,
    /// Indices of the attempts in flight.
    pub in_flight: Vec<usize>,
    /// Forwards since the entry node last chose a region.
    pub hops: u32,
    /// Number of attempts sent, hedges and moves included.
    pub sent: u32,
    /// Deadline by the contract.
    pub deadline: Moment,
    /// Size, timing and result so far.
    pub record: CallRecord,
    /// Whether the call has an outcome.
    pub has_ended: bool,
}

/// State of an attempt at an engine.
#[derive(Debug)]
pub struct AttemptState {
    /// Index of the call.
    pub call: usize,
    /// Node that chose the server and counts the attempt as in flight.
    pub node: usize,
    /// Index of the server.
    pub server: usize,
    /// Key of the attempt in the straggler detector.
    pub in_flight_key: Option<InFlightKey>,
    /// Answer tokens so far, including those before a move to this server.
    pub tokens: u32,
    /// Answer tokens that the call had received before this attempt.
    pub resumed_tokens: u32,
    /// Whether the attempt is in flight.
    pub is_in_flight: bool,
}

/// Simulation of one run with one policy.
pub struct Simulation<'a> {
    pub(super) run: &'a RunSpec,
    pub(super) variant: PolicyVariant,
    pub(super) events: EventQueue<Event>,
    pub(super) calls: Vec<CallState>,
    pub(super) attempts: Vec<AttemptState>,
    /// Indices of the attempts in flight.
    pub(super) in_flight: BTreeSet<usize>,
    pub(super) engines: Vec<SimulatedEngine>,
    /// Index of the region, per engine.
    pub(super) engine_regions: Vec<usize>,
    pub(super) nodes: Vec<EntryNode>,
    /// Contracts, by [`customer_index`].
    pub(super) terms: Vec<ContractTerms>,
    /// Load reports per server, oldest first.
    pub(super) reports: Vec<VecDeque<TimedReport>>,
    /// Per region, moments of its summaries and the expected waits in seconds
    /// by call kind, oldest first.
    pub(super) summaries: Vec<VecDeque<(Moment, [f64; KINDS])>>,
    /// Moment at which the link from one region to another becomes idle.
    pub(super) link_idle_at: [[Moment; 3]; 3],
    /// Region that is partitioned from the others, and since when.
    pub(super) partition: Option<(usize, Moment)>,
    pub(super) rng: ChaCha8Rng,
    pub(super) record: RunRecord,
    /// Assumed throughput of an engine for the estimates of waiting time.
    pub(super) tokens_per_s: f64,
    pub(super) faults: Vec<TimedFault>,
    /// Moment of the last change of speed, per server.
    pub(super) speed_changed_at: Vec<Moment>,
}

impl<'a> Simulation<'a> {
    /// Creates a run at time zero with all its calls and faults scheduled.
    pub fn new(run: &'a RunSpec, variant: PolicyVariant, seed: u64) -> Self {
        let deployment = &run.deployment;
        // Mean over the call kinds; it only scales estimates.
        let tokens_per_s = 4_000.0;
        let mut nodes = Vec::new();
        let mut engine_regions = Vec::new();
        for (region, spec) in deployment.regions.iter().enumerate() {
            engine_regions.extend(std::iter::repeat_n(region, spec.engines));
            for node_index in 0..spec.nodes {
                nodes.push(EntryNode::new(
                    deployment,
                    region,
                    node_index,
                    &variant,
                    tokens_per_s,
                ));
            }
        }
        let terms = contract_terms(run);
        for (index, terms) in terms.iter().enumerate() {
            let home_region = index / KINDS / MEMBER_SHARES.len();
            let member = index / KINDS % MEMBER_SHARES.len();
            for node in &mut nodes {
                node.queue
                    .add_contract(&terms.customer, member, terms.priority);
                if node.region == home_region {
                    node.add_contract(terms, deployment.regions[home_region].nodes);
                }
            }
        }
        let engine_count = engine_regions.len();
        let faults = run.faults(seed);
        let mut simulation = Self {
            run,
            variant,
            events: EventQueue::default(),
            calls: Vec::new(),
            attempts: Vec::new(),
            in_flight: BTreeSet::new(),
            engines: (0..engine_count)
                .map(|_| SimulatedEngine::new(deployment.engine))
                .collect(),
            engine_regions,
            nodes,
            terms,
            reports: vec![VecDeque::new(); engine_count],
            summaries: vec![VecDeque::new(); deployment.regions.len()],
            link_idle_at: Default::default(),
            partition: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            record: RunRecord::default(),
            tokens_per_s,
            faults,
            speed_changed_at: vec![Moment::default(); engine_count],
        };
        for call in draw_calls(deployment, &run.load, run.duration, seed) {
            simulation.add_call(call);
        }
        for index in 0..simulation.faults.len() {
            simulation
                .events
                .schedule_at(simulation.faults[index].at, Event::Fault(index));
        }
        simulation.events.schedule_after(TICK, Event::Tick);
        simulation
            .events
            .schedule_after(REPORT_PERIOD, Event::Publish);
        simulation
    }

    /// Processes all events, after which every call has ended or its deadline
    /// has passed, and returns the results.
    pub fn run_to_end(mut self) -> RunRecord {
        while let Some(event) = self.events.pop() {
            self.handle_event(event);
        }
        self.record.count_lost_calls(&self.calls);
        let regions = &self.run.deployment.regions;
        let spec = &self.run.deployment.engine;
        for (engine, region) in self.engines.iter().zip(&self.engine_regions) {
            let work_s = engine.prefilled_tokens as f64 * spec.prefill_s
                + engine.generated_tokens as f64 * spec.token_s();
            self.record.engine_cost += work_s * regions[*region].price;
            self.record.prefilled_tokens += engine.prefilled_tokens;
        }
        self.record.calls = self.calls.into_iter().map(|call| call.record).collect();
        self.record
    }

    /// Adds a call at a random entry node of its region and schedules its
    /// arrival and deadline.
    pub(super) fn add_call(&mut self, spec: CallSpec) {
        use rand::Rng;
        let call = self.calls.len();
        let first = self.first_node(spec.home_region);
        let count = self.run.deployment.regions[spec.home_region].nodes;
        let entry = first + self.rng.random_range(0..count);
        let terms = &self.terms[customer_index(&spec)];
        let deadline = spec.sent_at + terms.limits.deadline;
        self.events
            .schedule_at(spec.sent_at + CLIENT_DELAY, Event::Arrive(call));
        self.events.schedule_at(deadline, Event::Deadline(call));
        self.calls.push(CallState {
            entry,
            holder: entry,
            is_queued: false,
            slot: None,
            permit: None,
            plan: AttemptPlan::new(deadline, spec.repeatable, true),
            in_flight: Vec::new(),
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

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.admit_call(call),
            Event::Place(call) => self.place_call(call),
            Event::Forwarded { call, node } => self.receive_forwarded(call, node),
            Event::Route(call) => self.route_call(call),
            Event::Relayed { call, node } => self.route_relayed_call(call, node),
            Event::Unreachable { call, hop } => self.fail_forward(call, hop),
            Event::Start(attempt) => self.start_attempt(attempt),
            Event::Step { server, epoch } => self.end_engine_step(server, epoch),
            Event::Refused(attempt) => self.handle_refused_connection(attempt),
            Event::Hedge(call) => self.send_hedge(call),
            Event::Deadline(call) => self.expire_call(call),
            Event::Restart { server, epoch } => self.restart_engine(server, epoch),
            Event::Merge { node, reports } => {
                let now = self.events.now();
                for report in &reports {
                    self.nodes[node].quarantine.merge(report, now);
                }
            }
            Event::Tick => self.tick(),
            Event::Publish => self.publish_reports(),
            Event::Fault(index) => self.apply_fault(index),
        }
    }

    /// Whether arrivals have stopped and every call has an outcome.
    fn is_finished(&self) -> bool {
        self.events.now() > Moment::default() + self.run.duration
            && self.calls.iter().all(|call| call.has_ended)
    }

    fn tick(&mut self) {
        let now = self.events.now();
        for node in 0..self.nodes.len() {
            if self.variant.handles_stragglers {
                self.nodes[node].detector.evaluate(now);
            }
            self.dispatch_queued(node);
        }
        if self.variant.handles_stragglers {
            self.move_streams();
        }
        if !self.is_finished() {
            self.events.schedule_after(TICK, Event::Tick);
        }
    }

    /// Publishes load reports and region summaries, and counts falsely ejected
    /// servers.
    fn publish_reports(&mut self) {
        let now = self.events.now();
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
                let report = super::node::latest_visible_report(reports, self.run.report_lag, now);
                if let Some((_, running, _)) = report {
                    node.detector.record_load(server.replica, running);
                }
                let state = node.detector.state(server.replica, now);
                let is_slow = self.engines[server.index].slowdown_factor > 1.0
                    || self.speed_changed_at[server.index] + RECOVERY_TIME > now
                    || !self.engines[server.index].is_up;
                self.record.server_samples += 1;
                let is_ejected = matches!(state, ServerState::Ejected { .. });
                self.record.false_ejections += u64::from(is_ejected && !is_slow);
            }
        }
        if !self.is_finished() {
            self.events.schedule_after(REPORT_PERIOD, Event::Publish);
        }
    }

    /// Mean expected wait in seconds over the nodes of a region.
    fn region_wait(&self, region: usize, kind: usize) -> f64 {
        let first = self.first_node(region);
        let count = self.run.deployment.regions[region].nodes;
        let waits = (first..first + count).map(|node| self.node_wait(node, kind));
        waits.sum::<f64>() / count as f64
    }

    /// Records the outcome of a call and releases what it holds. A caller sends
    /// a crashing request again after one second.
    pub(super) fn end_call(&mut self, call: usize, outcome: CallOutcome) {
        let now = self.events.now();
        let state = &mut self.calls[call];
        if state.has_ended {
            self.record.violations.duplicate_outcomes += 1;
            return;
        }
        state.has_ended = true;
        state.record.outcome = outcome;
        let total = state.spec.size.total();
        if let Some(permit) = state.permit.take() {
            self.nodes[state.entry].admission.finish(permit, total, now);
        }
        self.release_slot(call);
        let spec = &self.calls[call].spec;
        if spec.crashes && spec.resent < self.run.resends {
            let again = CallSpec {
                sent_at: now + Duration::from_secs(1),
                resent: spec.resent + 1,
                ..spec.clone()
            };
            self.add_call(again);
        }
    }
}

/// Index of the customer of a call; every home region, member and call kind has
/// one customer.
pub fn customer_index(spec: &CallSpec) -> usize {
    (spec.home_region * MEMBER_SHARES.len() + spec.member) * KINDS + spec.kind
}

/// Identifier of a region; `name` must be valid.
pub fn region_name(name: &str) -> RegionName {
    RegionName::new(name).expect("a valid name")
}

/// Contracts of all customers, in the order of [`customer_index`].
fn contract_terms(run: &RunSpec) -> Vec<ContractTerms> {
    let regions = &run.deployment.regions;
    let mut terms = Vec::new();
    for home in regions {
        for member in 0..MEMBER_SHARES.len() {
            for (kind, sizes) in run.deployment.sizes.iter().enumerate() {
                let name = format!("{}-{member}-{kind}", home.name);
                let is_bound = member == BOUND_MEMBER;
                let allowed = regions
                    .iter()
                    .filter(|region| !is_bound || region.name == home.name);
                terms.push(ContractTerms {
                    customer: CustomerId::new(&name).expect("a valid name"),
                    member: member_name(member),
                    keys: Vec::new(),
                    residency: ResidencyRule {
                        home: region_name(home.name),
                        allowed: allowed.map(|region| region_name(region.name)).collect(),
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
