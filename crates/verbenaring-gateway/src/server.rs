//! Decision state of the backend servers of a data centre.
//!
//! [`crate::backend::BackendTable`] holds this state behind its lock. It follows
//! the catalog and combines the decisions of the policy crate: planned stops,
//! stragglers, suspects, and the choice of a server.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use verbenaring_policy::contract::{PriorityLevel, Revision};
use verbenaring_policy::drain::{DrainSchedule, NoticeSource, Placement, PlannedStop, StopScope};
use verbenaring_policy::hedge::HedgeBudget;
use verbenaring_policy::id::{CentreName, DataCentre, Digest, ModelName, ServerId, VmId};
use verbenaring_policy::load::{OTHER_NODE_REQUEST_TOKENS, PrefixTable};
use verbenaring_policy::quarantine::{QuarantineList, SuspectDecision};
use verbenaring_policy::retry::RetryLimiter;
use verbenaring_policy::router::{
    PrefixAffinity, RoutePlanner, RouteRequest, RouteTarget as PolicyTarget, ServedModel,
    ServerLoad, ServerRole, ServerState, ServerView, TwoChoices,
};
use verbenaring_policy::straggler::{ModelReplicaKey, StragglerDetector};
use verbenaring_policy::summary::ModelSpareCapacity;
use verbenaring_policy::time::Moment;
use verbenaring_protocol::document::{KindDocument, ScopeDocument, ServerTerms};

use crate::backend::BackendTable;
use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::guard::WorkGuard;
use crate::work::{PendingWork, WorkTarget};

/// Time between two listings of the models of an engine that never answered one.
const UNANSWERED_PERIOD: Duration = Duration::from_millis(200);

/// Time between two listings of the models of an engine that lacks one.
const MISSING_MODEL_PERIOD: Duration = Duration::from_secs(1);

/// Time between two listings of the models of an engine that lacks none.
const LISTING_PERIOD: Duration = Duration::from_secs(60);

/// Time for which a server that crashed or refused a connection is avoided.
///
/// Without it, requests spend their tries and the retry budget on servers that
/// are known to be restarting.
const AVOIDED_TIME: Duration = Duration::from_secs(1);

/// Longest request that a planned stop waits for.
const LONGEST_REQUEST: Duration = Duration::from_secs(30);

pub(crate) struct ServerRecord {
    pub(crate) terms: Arc<ServerTerms>,
    /// Models of the document that the engine is known to have loaded.
    pub(crate) models: Vec<ServedModel>,
    /// Last time the engine was asked for its models.
    pub(crate) listed: Option<Moment>,
    /// Whether the engine has ever answered with its models.
    pub(crate) answered: bool,
    pub(crate) members: HashMap<String, ModelReplicaKey>,
    pub(crate) prefixes: PrefixTable,
    pub(crate) requests: u32,
    pub(crate) tokens: u64,
    pub(crate) report: Option<(ServerLoad, u64)>,
    /// Time until which the server is avoided after it crashed or refused a connection.
    pub(crate) avoided_until: Moment,
    pub(crate) leaving: bool,
}

pub(crate) struct BackendState {
    pub(crate) applied: Option<Revision>,
    pub(crate) servers: Vec<ServerRecord>,
    pub(crate) planner: RoutePlanner<PrefixAffinity<TwoChoices>>,
    pub(crate) detector: StragglerDetector,
    pub(crate) quarantine: QuarantineList,
    pub(crate) limiter: RetryLimiter,
    pub(crate) hedges: HedgeBudget,
    pub(crate) drain: DrainSchedule,
    pub(crate) rng: StdRng,
}

/// Servers that a request must not use.
pub(crate) struct SuspectLimits {
    /// Excluded for this request.
    pub(crate) lasting: Vec<ServerId>,
    /// Excluded until other requests end.
    pub(crate) passing: Vec<ServerId>,
}

impl BackendState {
    /// Follows the catalog: new, changed and removed servers, planned stops.
    pub(crate) fn apply(
        &mut self,
        catalog: &ServingCatalog,
        centre: &DataCentre,
        clock: &NodeClock,
    ) {
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

    pub(crate) fn apply_servers(
        &mut self,
        catalog: &ServingCatalog,
        centre: &DataCentre,
        clock: &NodeClock,
    ) {
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
                self.detector.remove_replica(member);
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

    pub(crate) fn apply_server(&mut self, terms: &Arc<ServerTerms>, clock: &NodeClock) {
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
                let member = self.detector.add_replica(model, now);
                record.members.insert(model.to_string(), member);
            }
        }
    }

    pub(crate) fn apply_stops(
        &mut self,
        catalog: &ServingCatalog,
        centre: &DataCentre,
        clock: &NodeClock,
    ) {
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

    pub(crate) fn spare(&self, model: &ModelName, queued: usize) -> Option<ModelSpareCapacity> {
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
        let wait_s = waiting * OTHER_NODE_REQUEST_TOKENS / capacity;
        (capacity > 0.0).then_some(ModelSpareCapacity {
            tokens_per_s: idle as u32,
            wait_ms: (wait_s * 1_000.0) as u32,
        })
    }

    /// Avoids a server that failed at `since` until it may have restarted.
    pub(crate) fn avoid(&mut self, server: &ServerId, since: Moment) {
        let named = |record: &&mut ServerRecord| record.terms.server == *server;
        if let Some(record) = self.servers.iter_mut().find(named) {
            record.avoided_until = record.avoided_until.max(since + AVOIDED_TIME);
            // A restarted engine may have other models.
            record.answered = false;
        }
    }

    /// Whether a server that is not excluded offers the work, busy or not.
    pub(crate) fn offers(&self, work: &PendingWork, excluded: &[ServerId]) -> bool {
        self.servers.iter().any(|record| {
            !record.leaving
                && record.offers(&work.target)
                && !excluded.contains(&record.terms.server)
        })
    }

    /// Servers that must not run the request, for good or at the moment.
    pub(crate) fn suspect_limits(
        &mut self,
        work: &PendingWork,
        tried: &[ServerId],
        alone: bool,
        now: Moment,
    ) -> SuspectLimits {
        let mut limits = SuspectLimits {
            lasting: tried.to_vec(),
            passing: self.quarantine.isolating_servers(),
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

    pub(crate) fn plan(
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

    pub(crate) fn start(
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
                .record_start(&print.whole, &record.terms.server, alone);
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
    pub(crate) fn has_model(&self, model: &ModelName) -> bool {
        self.models.iter().any(|served| served.model == *model)
    }

    pub(crate) fn lacks_model(&self) -> bool {
        !self.terms.models.iter().all(|model| self.has_model(model))
    }

    /// Whether the server runs the target, or may do so once its models are
    /// known: a node that has just started waits instead of refusing.
    pub(crate) fn offers(&self, target: &WorkTarget) -> bool {
        let loaded = match target {
            WorkTarget::Model(model) => !self.answered || self.has_model(model),
            WorkTarget::Service(_) => true,
        };
        loaded && target.is_offered_by(&self.terms)
    }

    pub(crate) fn is_listing_due(&self, now: Moment) -> bool {
        let period = match (self.answered, self.lacks_model()) {
            (false, _) => UNANSWERED_PERIOD,
            (true, true) => MISSING_MODEL_PERIOD,
            (true, false) => LISTING_PERIOD,
        };
        let due = |listed| now >= listed + period;
        self.terms.kind == KindDocument::Engine && self.listed.is_none_or(due)
    }

    pub(crate) fn state(
        &self,
        target: &WorkTarget,
        detector: &StragglerDetector,
        now: Moment,
    ) -> ServerState {
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

pub(crate) fn served_model(model: &ModelName) -> ServedModel {
    ServedModel {
        model: model.clone(),
        version: String::new(),
        adapters: Vec::new(),
        role: ServerRole::Whole,
    }
}

pub(crate) fn stop_scope(
    scope: ScopeDocument,
    target: &str,
    centre: &DataCentre,
) -> Option<StopScope> {
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
