//! Backend servers as this node uses them.
//!
//! Holds the decision state of server choice: outstanding work, load reports,
//! warm prefixes, stragglers, requests that crash servers, retry and hedge
//! budgets, leaving servers. One lock covers all of it; a decision takes a few
//! microseconds.

use std::collections::{BTreeMap, BTreeSet};
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
use verbenaring_policy::summary::ModelSpare;
use verbenaring_protocol::control::ReportedLoad;
use verbenaring_protocol::document::ServerTerms;

use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::guard::WorkGuard;
use crate::server::{BackendState, ServerRecord, served_model, short_hash};
use crate::work::{PendingWork, WorkTarget};

/// Time between judgements of stragglers.
pub const EVALUATE_PERIOD: Duration = Duration::from_millis(100);

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
    pub(crate) clock: NodeClock,
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
            SuspectDecision::Unrestricted | SuspectDecision::Confined(_) => {
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
    pub fn record_loads(&self, loads: &[ReportedLoad], age: Duration) {
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

    pub(crate) fn lock(&self) -> MutexGuard<'_, BackendState> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }
}
