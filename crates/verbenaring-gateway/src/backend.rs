//! Chooses backend servers for the requests of this node.
//!
//! Holds the state behind the choice: outstanding work, load reports, cached
//! prefixes, stragglers, requests that crash servers, retry and hedge budgets
//! and leaving servers. One lock covers all of it, since a decision takes only
//! a few microseconds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use verbenaring_policy::drain::DrainSchedule;
use verbenaring_policy::hedge::HedgeBudget;
use verbenaring_policy::id::{CustomerId, DataCentre, ModelName, ServerId};
use verbenaring_policy::quarantine::{QuarantineList, SuspectDecision, SuspectReport};
use verbenaring_policy::request::RequestClass;
use verbenaring_policy::retry::{
    AttemptFailure as RetryFailure, AttemptPlan, NextAttempt, RetryLimiter,
};
use verbenaring_policy::router::{RoutePlanner, ServerLoad, ServerState};
use verbenaring_policy::straggler::{StragglerDetector, StragglerSettings};
use verbenaring_policy::summary::ModelSpareCapacity;
use verbenaring_protocol::control::ReportedLoad;
use verbenaring_protocol::document::ServerTerms;

use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::crashes::PartCrashes;
use crate::guard::WorkGuard;
use crate::server::{BackendState, ServerRecord, served_model, server_hash};
use crate::work::{PendingWork, WorkTarget};

/// Interval between calls of [`BackendTable::evaluate`].
pub const EVALUATE_PERIOD: Duration = Duration::from_millis(100);

/// Work that this node has outstanding at one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendLoad {
    /// Identifier of the server.
    pub server: ServerId,
    /// Requests that this node has in flight at the server.
    pub requests: u32,
    /// Estimated prompt and answer tokens of these requests.
    pub tokens: u64,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the straggler detection has found the server slow or ejected it.
    pub slow: bool,
}

/// Whether a request may be sent, given the requests that crashed servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QuarantineDecision {
    /// The request may be sent.
    Send {
        /// Whether the request must run alone on its server.
        alone: bool,
    },
    /// The request must wait until another suspect, or a copy of this one, ends.
    Wait,
    /// The request is quarantined.
    Refused,
}

/// Result of choosing a server.
pub enum ServerChoice {
    /// Server for the attempt.
    Chosen(ChosenServer),
    /// Servers that can run the request are excluded until other requests end.
    Busy,
    /// No server can run the request.
    None,
}

/// Server chosen for one attempt.
pub struct ChosenServer {
    /// Configuration of the server.
    pub terms: Arc<ServerTerms>,
    /// Keeps the request counted at the server until dropped.
    pub guard: WorkGuard,
}

/// Backend servers of the node's own data centre, with their load and health.
pub struct BackendTable {
    centre: DataCentre,
    pub(crate) clock: NodeClock,
    state: Mutex<BackendState>,
}

impl BackendTable {
    /// Creates the table of the servers in `centre`; the catalog adds them.
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
                crashes: PartCrashes::default(),
                limiter: RetryLimiter::default(),
                hedges: HedgeBudget::default(),
                drain: DrainSchedule::default(),
                rng: StdRng::from_rng(&mut rand::rng()),
            }),
        }
    }

    /// Chooses a server for an attempt and counts the work there.
    ///
    /// Servers in `tried` are excluded. With `alone`, the request must be the only
    /// one on its server.
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
        let excluded = state.excluded_servers(work, tried, alone, now);
        let all_excluded = state.all_excluded(work, &excluded);
        let Some(index) = state.plan(work, &all_excluded, &self.clock) else {
            return if state.offers(work, &excluded.permanent) {
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

    /// Address of a server unless it is leaving: one that shuts down may close its listener
    /// before its last answers end.
    pub fn serving_address(&self, server: &ServerId) -> Option<SocketAddr> {
        let state = self.lock();
        let mut records = state.servers.iter();
        let record = records.find(|record| record.terms.server == *server)?;
        (!record.leaving).then_some(record.terms.address)
    }

    /// Whether the data centre has a server for the work, even a busy one.
    pub fn can_run(&self, catalog: &ServingCatalog, work: &PendingWork) -> bool {
        let mut state = self.lock();
        state.apply(catalog, &self.centre, &self.clock);
        state.offers(work, &[])
    }

    /// Whether all servers here that offer the target have ended.
    pub fn has_lost_all(&self, target: &WorkTarget) -> bool {
        let state = self.lock();
        let mut servers = state.servers.iter();
        servers.all(|record| record.gone || record.leaving || !record.offers(target))
    }

    /// Engines that have ended and are not back yet.
    pub fn ended_engines(&self) -> Vec<ServerId> {
        self.lock().ended_engines()
    }

    /// Engines that get no work now because they have failed.
    pub fn unused_engines(&self) -> Vec<ServerId> {
        let now = self.clock.now();
        self.lock().unused_engines(now)
    }

    /// Decides whether a request may be sent, by the crashes that are attributed to
    /// its digest. Plain services have no digest and are not restricted.
    pub fn quarantine_decision(&self, work: &PendingWork) -> QuarantineDecision {
        let Some(digests) = &work.digests else {
            return QuarantineDecision::Send { alone: false };
        };
        let now = self.clock.now();
        match self.lock().quarantine.decide(&digests.whole, now) {
            SuspectDecision::Unrestricted | SuspectDecision::Confined(_) => {
                QuarantineDecision::Send { alone: false }
            }
            SuspectDecision::Alone { .. } => QuarantineDecision::Send { alone: true },
            SuspectDecision::Wait => QuarantineDecision::Wait,
            SuspectDecision::Refused => QuarantineDecision::Refused,
        }
    }

    /// Decides whether a request is retried after a failed attempt, and takes the
    /// retry from the budget.
    pub fn after_failure(
        &self,
        plan: &mut AttemptPlan,
        failure: RetryFailure,
        customer: &CustomerId,
    ) -> NextAttempt {
        let now = self.clock.now();
        plan.after_failure(failure, customer, &mut self.lock().limiter, now)
    }

    /// Counts a request for the hedge budget and returns the delay after which it
    /// may be hedged.
    ///
    /// `None` if it is not to be hedged; only short requests that may be repeated
    /// are.
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

    /// Takes a hedge from the budget; `false` if none is left or the request may not
    /// be hedged.
    pub fn try_hedge(&self, work: &PendingWork) -> bool {
        self.lock()
            .hedges
            .try_hedge(work.size.class(), work.repeatable)
    }

    /// Counts a complete answer for the retry budget.
    pub fn record_success(&self, customer: &CustomerId) {
        let now = self.clock.now();
        self.lock().limiter.record_success(customer, now);
    }

    /// Stores load reports that this or another node polled `age` ago.
    pub fn record_loads(&self, loads: &[ReportedLoad], age: Duration) {
        let now = self.clock.now();
        let mut state = self.lock();
        let BackendState {
            servers, detector, ..
        } = &mut *state;
        for fact in loads {
            let is_reported =
                |record: &&mut ServerRecord| server_hash(&record.terms.server) == fact.server;
            let Some(record) = servers.iter_mut().find(is_reported) else {
                continue;
            };
            let load = ServerLoad {
                running: u32::from(fact.running),
                waiting: u32::from(fact.waiting),
                cache_usage: 0.0,
                age,
            };
            record.report = Some((load, now - age));
            for member in record.replicas.values() {
                detector.record_load(*member, u32::from(fact.running));
            }
        }
    }

    /// Expected wait of a new request for a model, from the load reports.
    ///
    /// Assumes that `queued` requests wait at each of the `nodes` nodes of the
    /// data centre. Zero if no engine there serves the model.
    pub fn expected_wait(&self, model: &ModelName, queued: usize, nodes: usize) -> Duration {
        let state = self.lock();
        let spare = state.spare(model, queued * nodes.max(1));
        Duration::from_millis(spare.map_or(0, |spare| u64::from(spare.wait_ms)))
    }

    /// Spare capacity of the data centre for each model.
    pub fn spare_by_model(&self) -> BTreeMap<ModelName, ModelSpareCapacity> {
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

    /// Detects stragglers and removes expired quarantines and planned stops; called
    /// every [`EVALUATE_PERIOD`].
    pub fn evaluate(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.detector.evaluate(now);
        state.quarantine.expire(now);
        state.crashes.expire(now);
        state.drain.expire(now);
    }

    /// What this node knows about requests that may crash servers, for other nodes.
    pub fn suspect_reports(&self) -> Vec<SuspectReport> {
        let now = self.clock.now();
        self.lock().quarantine.reports(now)
    }

    /// Merges what another node knows about requests that may crash servers.
    pub fn merge_suspects(&self, reports: &[SuspectReport]) {
        let now = self.clock.now();
        let mut state = self.lock();
        for report in reports {
            state.quarantine.merge(report, now);
            for crash in &report.crashes {
                state.avoid_reported(&crash.server, now - crash.age);
            }
        }
    }

    /// Work that this node has outstanding at every server.
    pub fn loads(&self) -> Vec<BackendLoad> {
        let now = self.clock.now();
        let state = self.lock();
        let is_slow = |record: &ServerRecord| {
            record
                .replicas
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
                slow: is_slow(record),
            })
            .collect()
    }

    /// Engines whose loaded models are to be queried now; each counts as queried
    /// from now on.
    pub fn due_listings(&self, catalog: &ServingCatalog) -> Vec<Arc<ServerTerms>> {
        let now = self.clock.now();
        let mut state = self.lock();
        state.apply(catalog, &self.centre, &self.clock);
        let due = state
            .servers
            .iter_mut()
            .filter(|record| record.is_listing_due(now));
        due.map(|record| {
            record.last_listing = Some(now);
            record.terms.clone()
        })
        .collect()
    }

    /// Stores the models that an engine has loaded.
    ///
    /// Ignored if the engine's document has changed its address or models since
    /// the query, because an order may have changed the engine meanwhile.
    pub fn record_models(&self, asked: &ServerTerms, loaded: &[ModelName]) {
        let now = self.clock.now();
        let mut state = self.lock();
        let is_unchanged = |record: &&mut ServerRecord| {
            record.terms.server == asked.server
                && record.terms.address == asked.address
                && record.terms.models == asked.models
        };
        if let Some(record) = state.servers.iter_mut().find(is_unchanged) {
            let models = asked.models.iter().filter(|model| loaded.contains(model));
            record.models = models.map(served_model).collect();
            record.models_known = true;
            record.failed = false;
            if std::mem::take(&mut record.gone) {
                record.avoided_until = now;
            }
        }
    }

    /// Whether an engine has not yet reported every model of its document.
    pub fn lacks_model(&self, terms: &ServerTerms) -> bool {
        let state = self.lock();
        let mut servers = state.servers.iter();
        let record = servers.find(|record| record.terms.server == terms.server);
        let has_model = |model| record.is_some_and(|record| record.has_model(model));
        !terms.models.iter().all(has_model)
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}
