//! Backend servers as this node uses them.
//!
//! Holds the decision state of server choice: outstanding work, load reports,
//! warm prefixes, stragglers, requests that crash servers, retry and hedge
//! budgets, leaving servers. One lock covers all of it; a decision takes a few
//! microseconds.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use verbenaring_policy::contract::{PriorityLevel, Revision};
use verbenaring_policy::drain::{DrainSchedule, NoticeSource, Placement, PlannedStop, StopScope};
use verbenaring_policy::hedge::HedgeBudget;
use verbenaring_policy::id::{
    AttemptId, CentreName, CustomerId, DataCentre, Digest, ModelName, ServerId, VmId,
};
use verbenaring_policy::load::{FOREIGN_REQUEST_TOKENS, PrefixTable};
use verbenaring_policy::quarantine::{QuarantineList, SuspectDecision, SuspectReport};
use verbenaring_policy::request::RequestClass;
use verbenaring_policy::retry::{
    AttemptFailure as RetryFailure, AttemptPlan, NextAttempt, RetryLimiter,
};
use verbenaring_policy::router::{
    PrefixAffinity, RoutePlanner, RouteRequest, RouteTarget as PolicyTarget, ServedModel,
    ServerLoad, ServerRole, ServerState, ServerView, TwoChoices,
};
use verbenaring_policy::straggler::{FlightKey, MemberKey, StragglerDetector, StragglerSettings};
use verbenaring_policy::summary::ModelSpare;
use verbenaring_policy::time::Moment;
use verbenaring_protocol::control::LoadFact;
use verbenaring_protocol::document::{KindDocument, ScopeDocument, ServerTerms};

use crate::attempt::AttemptClient;
use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::work::{PendingWork, WorkTarget};

/// Time between judgements of stragglers.
pub const EVALUATE_PERIOD: Duration = Duration::from_millis(100);
/// Time between two listings of the models of an engine that never answered one.
const UNANSWERED_PERIOD: Duration = Duration::from_millis(200);
/// Time between two listings of the models of an engine that lacks one.
const MISSING_MODEL_PERIOD: Duration = Duration::from_secs(1);
/// Time between two listings of the models of an engine that lacks none.
const LISTING_PERIOD: Duration = Duration::from_secs(10);
/// Time for which a server that crashed or refused a connection is avoided.
///
/// Without it, requests spend their tries and the retry budget on servers that
/// are known to be restarting.
const AVOIDED_TIME: Duration = Duration::from_secs(1);
/// Longest request that a planned stop waits for.
const LONGEST_REQUEST: Duration = Duration::from_secs(30);

struct ServerRecord {
    terms: Arc<ServerTerms>,
    /// Models of the document that the engine is known to have loaded.
    models: Vec<ServedModel>,
    /// Last time the engine was asked for its models.
    listed: Option<Moment>,
    /// Whether the engine has ever answered with its models.
    answered: bool,
    members: HashMap<String, MemberKey>,
    prefixes: PrefixTable,
    requests: u32,
    tokens: u64,
    report: Option<(ServerLoad, u64)>,
    /// Time until which the server is avoided after it crashed or refused a connection.
    avoided_until: Moment,
    leaving: bool,
}

struct BackendState {
    applied: Option<Revision>,
    servers: Vec<ServerRecord>,
    planner: RoutePlanner<PrefixAffinity<TwoChoices>>,
    detector: StragglerDetector,
    quarantine: QuarantineList,
    limiter: RetryLimiter,
    hedges: HedgeBudget,
    drain: DrainSchedule,
    rng: StdRng,
}

/// Load of one server at this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendLoad {
    /// Server.
    pub server: ServerId,
    /// Requests of this node in flight.
    pub requests: u32,
    /// Estimated tokens of this node in flight.
    pub tokens: u64,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the server is slow or ejected.
    pub slow: bool,
}

/// Decision about a request before a server is chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PrintDecision {
    /// May be sent.
    Send {
        /// Whether the request must run alone on its server.
        alone: bool,
    },
    /// Must wait for another suspect.
    Wait,
    /// Quarantined.
    Refused,
}

/// Servers that a request must not use.
struct SuspectLimits {
    /// Excluded for this request.
    lasting: Vec<ServerId>,
    /// Excluded until other requests end.
    passing: Vec<ServerId>,
}

/// Result of the choice of a server.
pub enum ServerChoice {
    /// Server for the try.
    Chosen(ChosenServer),
    /// A server can run the request after other requests have ended.
    Busy,
    /// No server can run the request.
    None,
}

/// Server chosen for one try.
pub struct ChosenServer {
    /// Server.
    pub terms: Arc<ServerTerms>,
    /// Counts the work until dropped.
    pub guard: WorkGuard,
}

/// Backend servers of the own data centre.
pub struct BackendTable {
    centre: DataCentre,
    clock: NodeClock,
    state: Mutex<BackendState>,
}

impl BackendTable {
    /// Table of the servers in `centre`.
    pub fn new(centre: &DataCentre, clock: NodeClock) -> Self {
        Self {
            centre: centre.clone(),
            clock,
            state: Mutex::new(BackendState {
                applied: None,
                servers: Vec::new(),
                planner: RoutePlanner::default(),
                detector: StragglerDetector::new(StragglerSettings::default()),
                quarantine: QuarantineList::default(),
                limiter: RetryLimiter::default(),
                hedges: HedgeBudget::default(),
                drain: DrainSchedule::default(),
                rng: StdRng::from_rng(&mut rand::rng()),
            }),
        }
    }

    /// Chooses a server for a try, or none if no server may run it now.
    pub fn choose(
        self: &Arc<Self>,
        catalog: &ServingCatalog,
        work: &PendingWork,
        tried: &[ServerId],
        alone: bool,
    ) -> ServerChoice {
        let now = self.clock.now();
        let mut state = self.lock();
        state.apply(catalog, &self.centre, &self.clock);
        let state = &mut *state;
        let limits = state.suspect_limits(work, tried, alone, now);
        let excluded = [limits.lasting.as_slice(), &limits.passing].concat();
        let Some(index) = state.plan(work, &excluded, &self.clock) else {
            return if state.offers(work, &limits.lasting) {
                ServerChoice::Busy
            } else {
                ServerChoice::None
            };
        };
        let guard = state.start(self, index, work, alone, now);
        ServerChoice::Chosen(ChosenServer {
            terms: state.servers[index].terms.clone(),
            guard,
        })
    }

    /// Whether the data centre has a server for the work, busy or not.
    pub fn can_run(&self, catalog: &ServingCatalog, work: &PendingWork) -> bool {
        let mut state = self.lock();
        state.apply(catalog, &self.centre, &self.clock);
        state.offers(work, &[])
    }

    /// Whether a request may be sent, by what is known of its digest.
    pub fn decide(&self, work: &PendingWork) -> PrintDecision {
        let Some(print) = &work.print else {
            return PrintDecision::Send { alone: false };
        };
        let now = self.clock.now();
        match self.lock().quarantine.decide(&print.whole, now) {
            SuspectDecision::Free | SuspectDecision::Confined(_) => {
                PrintDecision::Send { alone: false }
            }
            SuspectDecision::Alone { .. } => PrintDecision::Send { alone: true },
            SuspectDecision::Wait => PrintDecision::Wait,
            SuspectDecision::Refused => PrintDecision::Refused,
        }
    }

    /// Decides what follows a failed try.
    pub fn after_failure(
        &self,
        plan: &mut AttemptPlan,
        failure: RetryFailure,
        customer: &CustomerId,
    ) -> NextAttempt {
        let now = self.clock.now();
        plan.after_failure(failure, customer, &mut self.lock().limiter, now)
    }

    /// Counts a request and returns when it may be hedged.
    pub fn hedge_delay(&self, work: &PendingWork) -> Option<Duration> {
        let WorkTarget::Model(model) = &work.target else {
            return None;
        };
        let mut state = self.lock();
        state.hedges.record_request();
        let short = work.size.class() == RequestClass::Short;
        (work.repeatable && short)
            .then(|| state.detector.hedge_delay(model))
            .flatten()
    }

    /// Takes a hedge from the budget.
    pub fn try_hedge(&self, work: &PendingWork) -> bool {
        self.lock()
            .hedges
            .try_hedge(work.size.class(), work.repeatable)
    }

    /// Counts a whole answer.
    pub fn record_success(&self, customer: &CustomerId) {
        let now = self.clock.now();
        self.lock().limiter.record_success(customer, now);
    }

    /// Takes over load reports, polled here or by another node.
    pub fn record_loads(&self, loads: &[LoadFact], age: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        let BackendState {
            servers, detector, ..
        } = &mut *state;
        for fact in loads {
            let hash = |record: &&mut ServerRecord| short_hash(&record.terms.server) == fact.server;
            let Some(record) = servers.iter_mut().find(hash) else {
                continue;
            };
            let load = ServerLoad {
                running: u32::from(fact.running),
                waiting: u32::from(fact.waiting),
                cache_usage: 0.0,
                age,
            };
            record.report = Some((load, (now - age).0));
            for member in record.members.values() {
                detector.record_load(*member, u32::from(fact.running));
            }
        }
    }

    /// Expected wait of a new request for a model, from the load reports.
    ///
    /// `queued` requests wait at this node and at each of its `nodes` peers.
    pub fn expected_wait(&self, model: &ModelName, queued: usize, nodes: usize) -> Duration {
        let state = self.lock();
        let spare = state.spare(model, queued * nodes.max(1));
        Duration::from_millis(spare.map_or(0, |spare| u64::from(spare.wait_ms)))
    }

    /// Spare capacity of the data centre by model.
    pub fn spare_by_model(&self) -> BTreeMap<ModelName, ModelSpare> {
        let state = self.lock();
        let models: BTreeSet<&ModelName> = state
            .servers
            .iter()
            .flat_map(|record| &record.terms.models)
            .collect();
        models
            .into_iter()
            .filter_map(|model| Some((model.clone(), state.spare(model, 0)?)))
            .collect()
    }

    /// Judges stragglers; called every [`EVALUATE_PERIOD`].
    pub fn evaluate(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.detector.evaluate(now);
        state.quarantine.expire(now);
        state.drain.expire(now);
    }

    /// What this node knows of requests that crash servers.
    pub fn suspect_reports(&self) -> Vec<SuspectReport> {
        let now = self.clock.now();
        self.lock().quarantine.reports(now)
    }

    /// Takes over what another node knows of requests that crash servers.
    pub fn merge_suspects(&self, reports: &[SuspectReport]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for report in reports {
            state.quarantine.merge(report, now);
            for crash in &report.crashes {
                state.avoid(&crash.server, now - crash.age);
            }
        }
    }

    /// Load of every server at this node.
    pub fn loads(&self) -> Vec<BackendLoad> {
        let now = self.clock.now();
        let state = self.lock();
        let slow = |record: &ServerRecord| {
            record
                .members
                .values()
                .any(|member| state.detector.state(*member, now) != ServerState::Active)
        };
        state
            .servers
            .iter()
            .map(|record| BackendLoad {
                server: record.terms.server.clone(),
                requests: record.requests,
                tokens: record.tokens,
                leaving: record.leaving,
                slow: slow(record),
            })
            .collect()
    }

    /// Engines that are to be asked for their models now.
    pub fn due_listings(&self, catalog: &ServingCatalog) -> Vec<Arc<ServerTerms>> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.apply(catalog, &self.centre, &self.clock);
        let due = state
            .servers
            .iter_mut()
            .filter(|record| record.is_listing_due(now));
        due.map(|record| {
            record.listed = Some(now);
            record.terms.clone()
        })
        .collect()
    }

    /// Takes over the models that an engine has loaded.
    ///
    /// Ignored if the document names other models than when the engine was
    /// asked: an order may have changed the engine since.
    pub fn record_models(&self, asked: &ServerTerms, loaded: &[ModelName]) {
        let mut state = self.lock();
        let current = |record: &&mut ServerRecord| {
            record.terms.server == asked.server
                && record.terms.address == asked.address
                && record.terms.models == asked.models
        };
        if let Some(record) = state.servers.iter_mut().find(current) {
            let models = asked.models.iter().filter(|model| loaded.contains(model));
            record.models = models.map(served_model).collect();
            record.answered = true;
        }
    }

    /// Whether an engine is not known to have every model of its document.
    pub fn lacks_model(&self, terms: &ServerTerms) -> bool {
        let state = self.lock();
        let mut servers = state.servers.iter();
        let record = servers.find(|record| record.terms.server == terms.server);
        let has = |model| record.is_some_and(|record| record.has_model(model));
        !terms.models.iter().all(has)
    }

    fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}

impl BackendState {
    /// Follows the catalog: new, changed and removed servers, planned stops.
    fn apply(&mut self, catalog: &ServingCatalog, centre: &DataCentre, clock: &NodeClock) {
        let now = clock.now();
        if self.applied != Some(catalog.revision()) {
            self.apply_servers(catalog, centre, clock);
            self.apply_stops(catalog, centre, clock);
            self.applied = Some(catalog.revision());
        }
        let placement = Placement { centre, rack: None };
        for record in &mut self.servers {
            let server = &record.terms.server;
            record.leaving = !self.drain.accepts(server, placement, LONGEST_REQUEST, now);
        }
    }

    fn apply_servers(&mut self, catalog: &ServingCatalog, centre: &DataCentre, clock: &NodeClock) {
        let now = clock.now();
        let local = |terms: &&Arc<ServerTerms>| terms.data_centre == *centre;
        let terms: Vec<&Arc<ServerTerms>> = catalog.servers().iter().filter(local).collect();
        let named = |server: &ServerId| terms.iter().any(|terms| terms.server == *server);
        let (kept, removed): (Vec<_>, Vec<_>) = self
            .servers
            .drain(..)
            .partition(|record| named(&record.terms.server));
        self.servers = kept;
        for record in removed {
            for member in record.members.into_values() {
                self.detector.remove_member(member);
            }
            self.drain
                .withdraw_notice(&record.terms.server, NoticeSource::Operator);
        }
        for terms in terms {
            if terms.leaving {
                let source = NoticeSource::Operator;
                self.drain
                    .record_notice(&terms.server, source, Duration::ZERO, now);
            } else {
                self.drain
                    .withdraw_notice(&terms.server, NoticeSource::Operator);
            }
            self.apply_server(terms, clock);
        }
    }

    fn apply_server(&mut self, terms: &Arc<ServerTerms>, clock: &NodeClock) {
        let now = clock.now();
        let position = self
            .servers
            .iter()
            .position(|record| record.terms.server == terms.server);
        let position = position.unwrap_or_else(|| {
            self.servers.push(ServerRecord {
                terms: terms.clone(),
                models: Vec::new(),
                listed: None,
                answered: false,
                members: HashMap::new(),
                prefixes: PrefixTable::default(),
                requests: 0,
                tokens: 0,
                report: None,
                avoided_until: Moment::default(),
                leaving: false,
            });
            self.servers.len() - 1
        });
        let record = &mut self.servers[position];
        if record.terms.models != terms.models {
            record.listed = None;
        }
        record.terms = terms.clone();
        // An added model is used once the engine is known to have it; one that
        // was removed may be unloaded at any time.
        let models = &terms.models;
        record
            .models
            .retain(|served| models.contains(&served.model));
        for model in &terms.models {
            if !record.members.contains_key(model.as_str()) {
                let member = self.detector.add_member(model, now);
                record.members.insert(model.to_string(), member);
            }
        }
    }

    fn apply_stops(&mut self, catalog: &ServingCatalog, centre: &DataCentre, clock: &NodeClock) {
        self.drain
            .retain_stops(|id| catalog.stops().iter().any(|stop| stop.stop == id));
        for stop in catalog.stops() {
            let Some(scope) = stop_scope(stop.scope, &stop.target, centre) else {
                continue;
            };
            let planned = PlannedStop {
                scope,
                starts: clock.moment_of_unix(stop.from_unix_ms),
                ends: stop.until_unix_ms.map(|unix| clock.moment_of_unix(unix)),
            };
            self.drain.plan_stop(&stop.stop, planned);
        }
    }

    fn spare(&self, model: &ModelName, queued: usize) -> Option<ModelSpare> {
        let mut capacity = 0.0;
        let mut idle = 0.0;
        let mut waiting = queued as f64;
        let serving = |record: &&ServerRecord| !record.leaving && record.has_model(model);
        for record in self.servers.iter().filter(serving) {
            let slots = f64::from(record.terms.slots);
            capacity += record.terms.tokens_per_s * slots;
            let running = record
                .report
                .map_or(record.requests, |(load, _)| load.running);
            idle += record.terms.tokens_per_s * (slots - f64::from(running)).max(0.0);
            waiting += record
                .report
                .map_or(0.0, |(load, _)| f64::from(load.waiting));
        }
        let wait_s = waiting * FOREIGN_REQUEST_TOKENS / capacity;
        (capacity > 0.0).then_some(ModelSpare {
            tokens_per_s: idle as u32,
            wait_ms: (wait_s * 1_000.0) as u32,
        })
    }

    /// Avoids a server that failed at `since` until it may have restarted.
    fn avoid(&mut self, server: &ServerId, since: Moment) {
        let named = |record: &&mut ServerRecord| record.terms.server == *server;
        if let Some(record) = self.servers.iter_mut().find(named) {
            record.avoided_until = record.avoided_until.max(since + AVOIDED_TIME);
        }
    }

    /// Whether a server that is not excluded offers the work, busy or not.
    fn offers(&self, work: &PendingWork, excluded: &[ServerId]) -> bool {
        self.servers.iter().any(|record| {
            !record.leaving
                && record.offers(&work.target)
                && !excluded.contains(&record.terms.server)
        })
    }

    /// Servers that must not run the request, for good or at the moment.
    fn suspect_limits(
        &mut self,
        work: &PendingWork,
        tried: &[ServerId],
        alone: bool,
        now: Moment,
    ) -> SuspectLimits {
        let mut limits = SuspectLimits {
            lasting: tried.to_vec(),
            passing: self.quarantine.isolated(),
        };
        let servers = self.servers.iter().map(|record| &record.terms.server);
        let decision = work
            .print
            .map(|print| self.quarantine.decide(&print.whole, now));
        match decision {
            Some(SuspectDecision::Confined(confined)) => {
                let others = servers.filter(|server| !confined.contains(server));
                limits.passing.extend(others.cloned());
            }
            Some(SuspectDecision::Alone { avoid }) => {
                let avoided = [limits.lasting.as_slice(), &avoid].concat();
                // Where every server was lost once, the same one may run the
                // suspect again; the third crash quarantines it.
                if self.offers(work, &avoided) {
                    limits.lasting = avoided;
                }
            }
            _ => {}
        }
        if alone {
            let busy = self.servers.iter().filter(|record| record.requests > 0);
            let busy = busy.map(|record| record.terms.server.clone());
            limits.passing.extend(busy);
        }
        limits
    }

    fn plan(
        &mut self,
        work: &PendingWork,
        excluded: &[ServerId],
        clock: &NodeClock,
    ) -> Option<usize> {
        let now = clock.now();
        let Self {
            servers,
            planner,
            detector,
            rng,
            ..
        } = self;
        let views: Vec<ServerView<'_, PrefixTable>> = servers
            .iter()
            .map(|record| ServerView {
                id: &record.terms.server,
                state: record.state(&work.target, detector, now),
                own_tokens: record.tokens,
                own_requests: record.requests,
                slots: record.terms.slots,
                tokens_per_s: record.terms.tokens_per_s * f64::from(record.terms.slots),
                report: record.report.map(|(load, at)| ServerLoad {
                    age: now.since(Moment(at)),
                    ..load
                }),
                models: &record.models,
                services: &record.terms.services,
                prefixes: &record.prefixes,
            })
            .collect();
        let request = RouteRequest {
            target: match &work.target {
                WorkTarget::Model(model) => PolicyTarget::Model {
                    model,
                    version: None,
                    adapter: None,
                    role: ServerRole::Whole,
                },
                WorkTarget::Service(service) => PolicyTarget::Service(service),
            },
            size: work.size,
            prefix: work.print.map_or(Digest([0; 32]), |print| print.prefix),
            low_priority: work.repeatable && work.entry.terms.priority == PriorityLevel::Batch,
            relayed: false,
            excluded,
        };
        planner
            .plan(&request, &views, rng)
            .map(|choice| choice.server)
    }

    fn start(
        &mut self,
        table: &Arc<BackendTable>,
        index: usize,
        work: &PendingWork,
        alone: bool,
        now: Moment,
    ) -> WorkGuard {
        let record = &mut self.servers[index];
        let tokens = work.size.total();
        record.requests += 1;
        record.tokens += u64::from(tokens);
        let mut flight = None;
        if let (Some(print), WorkTarget::Model(model)) = (&work.print, &work.target) {
            record.prefixes.insert(&print.prefix);
            self.quarantine
                .start(&print.whole, &record.terms.server, alone);
            flight = record
                .members
                .get(model.as_str())
                .and_then(|member| self.detector.start(*member, work.size.prompt_tokens, now));
        }
        WorkGuard {
            table: table.clone(),
            server: record.terms.server.clone(),
            tokens,
            print: work.print.map(|print| print.whole),
            flight,
            target: None,
            whole: false,
        }
    }
}

impl ServerRecord {
    fn has_model(&self, model: &ModelName) -> bool {
        self.models.iter().any(|served| served.model == *model)
    }

    fn lacks_model(&self) -> bool {
        !self.terms.models.iter().all(|model| self.has_model(model))
    }

    /// Whether the server runs the target, or may do so once its models are
    /// known: a node that has just started waits instead of refusing.
    fn offers(&self, target: &WorkTarget) -> bool {
        let loaded = match target {
            WorkTarget::Model(model) => !self.answered || self.has_model(model),
            WorkTarget::Service(_) => true,
        };
        loaded && target.is_offered_by(&self.terms)
    }

    fn is_listing_due(&self, now: Moment) -> bool {
        let period = match (self.answered, self.lacks_model()) {
            (false, _) => UNANSWERED_PERIOD,
            (true, true) => MISSING_MODEL_PERIOD,
            (true, false) => LISTING_PERIOD,
        };
        let due = |listed| now >= listed + period;
        self.terms.kind == KindDocument::Engine && self.listed.is_none_or(due)
    }

    fn state(&self, target: &WorkTarget, detector: &StragglerDetector, now: Moment) -> ServerState {
        if self.leaving {
            return ServerState::Leaving;
        }
        if now < self.avoided_until {
            return ServerState::Ejected { probe_due: false };
        }
        match target {
            WorkTarget::Model(model) => self
                .members
                .get(model.as_str())
                .map_or(ServerState::Active, |member| detector.state(*member, now)),
            WorkTarget::Service(_) => ServerState::Active,
        }
    }
}

fn served_model(model: &ModelName) -> ServedModel {
    ServedModel {
        model: model.clone(),
        version: String::new(),
        adapters: Vec::new(),
        role: ServerRole::Whole,
    }
}

fn stop_scope(scope: ScopeDocument, target: &str, centre: &DataCentre) -> Option<StopScope> {
    match scope {
        ScopeDocument::Vm => VmId::new(target).ok().map(StopScope::Vm),
        ScopeDocument::Server => ServerId::new(target).ok().map(StopScope::Server),
        ScopeDocument::Rack => Some(StopScope::Rack {
            centre: centre.clone(),
            rack: target.to_owned(),
        }),
        ScopeDocument::DataCentre => {
            let name = CentreName::new(target).ok()?;
            (name == centre.name).then(|| StopScope::Centre(centre.clone()))
        }
    }
}

/// Short hash of a server name, for load reports in gossip.
pub fn short_hash(server: &ServerId) -> u32 {
    let digest = Digest::of(server.as_str().as_bytes());
    u32::from_le_bytes([digest.0[0], digest.0[1], digest.0[2], digest.0[3]])
}

/// Try to cancel when its answer is not wanted any more.
struct CancelTarget {
    client: AttemptClient,
    address: SocketAddr,
    attempt: AttemptId,
}

/// Counts work at a backend server until dropped.
pub struct WorkGuard {
    table: Arc<BackendTable>,
    server: ServerId,
    tokens: u32,
    print: Option<Digest>,
    flight: Option<FlightKey>,
    target: Option<Box<CancelTarget>>,
    whole: bool,
}

impl WorkGuard {
    /// Names the try to cancel unless its answer is whole.
    pub fn set_cancel(&mut self, client: &AttemptClient, address: SocketAddr, attempt: AttemptId) {
        let client = client.clone();
        self.target = Some(Box::new(CancelTarget {
            client,
            address,
            attempt,
        }));
    }

    /// Counts received tokens.
    pub fn progress(&mut self, tokens: u32) {
        if let Some(flight) = self.flight {
            let now = self.table.clock.now();
            self.table.lock().detector.progress(flight, tokens, now);
        }
    }

    /// The answer is whole.
    pub fn set_whole(&mut self) {
        self.whole = true;
    }

    /// The server crashed with the request in flight.
    pub fn crash(&mut self) {
        let now = self.table.clock.now();
        if self.print.take().is_some() {
            // Other nodes may have had requests there as well.
            let mut state = self.table.lock();
            state.avoid(&self.server, now);
            let prints = state.quarantine.crash(&self.server, true, now);
            drop(state);
            for print in prints {
                log::warn!("requests with digest {print} are quarantined: they crash servers");
            }
        }
    }

    /// The engine refused the request, so there is nothing to cancel.
    pub fn set_refused(&mut self) {
        self.target = None;
    }

    /// The server accepted no connection.
    pub fn set_unreachable(&mut self) {
        let now = self.table.clock.now();
        self.table.lock().avoid(&self.server, now);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if let Some(target) = self.target.take().filter(|_| !self.whole) {
            target.client.cancel(target.address, target.attempt);
        }
        let now = self.table.clock.now();
        let mut state = self.table.lock();
        let server = &self.server;
        if let Some(record) = state
            .servers
            .iter_mut()
            .find(|record| record.terms.server == *server)
        {
            record.requests = record.requests.saturating_sub(1);
            record.tokens = record.tokens.saturating_sub(u64::from(self.tokens));
        }
        if let Some(flight) = self.flight {
            state.detector.finish(flight, now);
        }
        if let Some(print) = &self.print {
            state.quarantine.finish(print, server, self.whole, now);
        }
    }
}
