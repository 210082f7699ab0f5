//! State behind the choice of a backend server in a data centre.
//!
//! [`crate::backend::BackendTable`] holds this state behind its lock. It is
//! updated from the catalog and combines the algorithms of the policy crate:
//! planned stops, straggler detection, quarantine of requests that crash
//! servers, and server selection.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use verbenaring_policy::contract::{PriorityLevel, Revision};
use verbenaring_policy::drain::{DrainSchedule, NoticeSource, Placement, PlannedStop};
use verbenaring_policy::hedge::HedgeBudget;
use verbenaring_policy::id::{DataCentre, Digest, ModelName, ServerId};
use verbenaring_policy::load::{OTHER_NODE_REQUEST_TOKENS, PrefixTable};
use verbenaring_policy::quarantine::{QuarantineList, SuspectDecision};
use verbenaring_policy::retry::RetryLimiter;
use verbenaring_policy::router::{
    PrefixAffinity, RoutePlanner, RouteRequest, ServedModel, ServerLoad, ServerRequirement,
    ServerRole, ServerState, ServerView, TwoChoices,
};
use verbenaring_policy::straggler::{ModelReplicaKey, StragglerDetector};
use verbenaring_policy::summary::ModelSpareCapacity;
use verbenaring_policy::time::Moment;
use verbenaring_protocol::document::{KindDocument, ServerTerms};

use crate::backend::BackendTable;
use crate::catalog::{ServingCatalog, stop_scope};
use crate::clock::NodeClock;
use crate::crashes::PartCrashes;
use crate::guard::WorkGuard;
use crate::work::{PendingWork, WorkTarget};

/// Interval of model listings from an engine whose models are not known yet.
const UNKNOWN_MODELS_PERIOD: Duration = Duration::from_millis(200);

/// Interval of model listings from an engine that has not loaded all its configured models.
const MISSING_MODEL_PERIOD: Duration = Duration::from_secs(1);

/// Interval of model listings from an engine that has loaded all its configured models.
const LISTING_PERIOD: Duration = Duration::from_secs(60);

/// Assumed duration of the longest request. A server takes no new work from this
/// long before a planned stop.
const MAX_REQUEST_TIME: Duration = Duration::from_secs(30);

/// State of one backend server, as seen by this node.
pub(crate) struct ServerRecord {
    pub(crate) terms: Arc<ServerTerms>,
    /// Configured models that the engine is known to have loaded.
    pub(crate) models: Vec<ServedModel>,
    /// Time of the last request for the engine's models; `None` makes one due at once.
    pub(crate) last_listing: Option<Moment>,
    /// Whether the engine has listed its models since it was added or last failed.
    pub(crate) models_known: bool,
    /// Keys of the straggler detector by model name.
    pub(crate) replicas: HashMap<String, ModelReplicaKey>,
    pub(crate) prefixes: PrefixTable,
    /// Requests of this node in flight at the server.
    pub(crate) requests: u32,
    /// Estimated tokens of these requests.
    pub(crate) tokens: u64,
    /// Latest load report and when it was made.
    pub(crate) report: Option<(ServerLoad, Moment)>,
    /// Time until which no request is sent after a crash or a refused connection.
    pub(crate) avoided_until: Moment,
    /// Whether the engine has ended and not listed its models since.
    pub(crate) gone: bool,
    /// Whether the engine has failed and not listed its models since. It may have ended: a node
    /// that had no request there notices only when it sends one.
    pub(crate) failed: bool,
    /// Whether the server takes no new work because of a planned stop or notice.
    pub(crate) leaving: bool,
}

/// Server table and the policy state that server selection uses.
pub(crate) struct BackendState {
    /// Catalog revision that the other fields reflect; `None` before the first one.
    pub(crate) applied: Option<Revision>,
    pub(crate) servers: Vec<ServerRecord>,
    pub(crate) planner: RoutePlanner<PrefixAffinity<TwoChoices>>,
    pub(crate) detector: StragglerDetector,
    pub(crate) quarantine: QuarantineList,
    pub(crate) crashes: PartCrashes,
    pub(crate) limiter: RetryLimiter,
    pub(crate) hedges: HedgeBudget,
    pub(crate) drain: DrainSchedule,
    pub(crate) rng: StdRng,
}

/// Servers that must not run a request.
pub(crate) struct ExcludedServers {
    /// Excluded for the whole request, mostly because it was tried there before.
    pub(crate) permanent: Vec<ServerId>,
    /// Excluded until other requests end, because this or another request has to
    /// run alone or on certain servers only.
    pub(crate) temporary: Vec<ServerId>,
}

impl BackendState {
    /// Applies a new catalog revision and updates which servers are leaving.
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
            record.leaving = !self.drain.accepts(server, placement, MAX_REQUEST_TIME, now);
        }
    }

    /// Adds, updates and removes servers, and their drain notices.
    pub(crate) fn apply_servers(
        &mut self,
        catalog: &ServingCatalog,
        centre: &DataCentre,
        clock: &NodeClock,
    ) {
        let now = clock.now();
        let local = |terms: &&Arc<ServerTerms>| terms.data_centre == *centre;
        let terms: Vec<&Arc<ServerTerms>> = catalog.servers().iter().filter(local).collect();
        let is_configured = |server: &ServerId| terms.iter().any(|terms| terms.server == *server);
        let (kept, removed): (Vec<_>, Vec<_>) = self
            .servers
            .drain(..)
            .partition(|record| is_configured(&record.terms.server));
        self.servers = kept;
        for record in removed {
            for replica in record.replicas.into_values() {
                self.detector.remove_replica(replica);
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
                last_listing: None,
                models_known: false,
                replicas: HashMap::new(),
                prefixes: PrefixTable::default(),
                requests: 0,
                tokens: 0,
                report: None,
                avoided_until: Moment::default(),
                gone: false,
                failed: false,
                leaving: false,
            });
            self.servers.len() - 1
        });
        let record = &mut self.servers[position];
        if record.terms.models != terms.models {
            record.last_listing = None;
        }
        record.terms = terms.clone();
        // An added model is used once the engine lists it. A removed one is
        // dropped at once, because the engine may unload it at any time.
        let models = &terms.models;
        record
            .models
            .retain(|served| models.contains(&served.model));
        for model in &terms.models {
            if !record.replicas.contains_key(model.as_str()) {
                let replica = self.detector.add_replica(model, now);
                record.replicas.insert(model.to_string(), replica);
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

    /// Idle token rate and expected queueing time for `model`; `None` if no server has it.
    ///
    /// `queued` counts the requests that wait at this node.
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

    pub(crate) fn record_of(&mut self, server: &ServerId) -> Option<&mut ServerRecord> {
        let mut records = self.servers.iter_mut();
        records.find(|record| record.terms.server == *server)
    }

    /// Whether any server outside `excluded` can run the work, busy or not.
    pub(crate) fn offers(&self, work: &PendingWork, excluded: &[ServerId]) -> bool {
        self.servers.iter().any(|record| {
            !record.leaving
                && record.offers(&work.target)
                && !excluded.contains(&record.terms.server)
        })
    }

    /// Servers that must not run the request; `alone` means it must not share a server.
    pub(crate) fn excluded_servers(
        &mut self,
        work: &PendingWork,
        tried: &[ServerId],
        alone: bool,
        now: Moment,
    ) -> ExcludedServers {
        let mut excluded = ExcludedServers {
            permanent: tried.to_vec(),
            temporary: self.quarantine.isolating_servers(),
        };
        let servers = self.servers.iter().map(|record| &record.terms.server);
        let decision = work
            .digests
            .map(|digests| self.quarantine.decide(&digests.whole, now));
        match decision {
            Some(SuspectDecision::Confined(confined)) => {
                let others = servers.filter(|server| !confined.contains(server));
                excluded.temporary.extend(others.cloned());
            }
            Some(SuspectDecision::Alone { avoid }) => {
                let avoided = [excluded.permanent.as_slice(), &avoid].concat();
                // If every server crashed under this request once, it may run on
                // one of them again; its third crash quarantines the request.
                if self.offers(work, &avoided) {
                    excluded.permanent = avoided;
                }
            }
            _ => {}
        }
        if alone {
            let busy = self.servers.iter().filter(|record| record.requests > 0);
            let busy = busy.map(|record| record.terms.server.clone());
            excluded.temporary.extend(busy);
        }
        excluded
    }

    /// Index of the server that should run the work; `None` if none can take it now.
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
                    age: now.since(at),
                    ..load
                }),
                models: &record.models,
                services: &record.terms.services,
                prefixes: &record.prefixes,
            })
            .collect();
        let request = RouteRequest {
            requirement: match &work.target {
                WorkTarget::Model(model) => ServerRequirement::Model {
                    model,
                    version: None,
                    adapter: None,
                    role: ServerRole::Whole,
                },
                WorkTarget::Service(service) => ServerRequirement::Service(service),
            },
            size: work.size,
            prefix: work
                .digests
                .map_or(Digest([0; 32]), |digests| digests.prefix),
            low_priority: work.repeatable && work.entry.terms.priority == PriorityLevel::Batch,
            relayed: false,
            excluded,
        };
        planner
            .plan(&request, &views, rng)
            .map(|choice| choice.server)
    }

    /// Counts the work at the server `index` until the returned guard is dropped.
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
        let mut in_flight = None;
        let mut run = None;
        if let (Some(digests), WorkTarget::Model(model)) = (&work.digests, &work.target) {
            record.prefixes.insert(&digests.prefix);
            self.quarantine
                .record_start(&digests.whole, &record.terms.server, alone);
            run = Some(
                self.crashes
                    .record_start(&record.terms.server, &work.parts, now),
            );
            in_flight = record
                .replicas
                .get(model.as_str())
                .and_then(|replica| self.detector.start(*replica, work.size.prompt_tokens, now));
        }
        WorkGuard {
            table: table.clone(),
            server: record.terms.server.clone(),
            tokens,
            request: work
                .digests
                .map(|digests| (digests.whole, work.parts.clone())),
            request_digest: work.digests.map(|digests| digests.whole),
            in_flight,
            run,
            cancel_target: None,
            complete: false,
        }
    }
}

impl ServerRecord {
    pub(crate) fn has_model(&self, model: &ModelName) -> bool {
        self.models.iter().any(|served| served.model == *model)
    }

    /// Whether the engine has not loaded all its configured models.
    pub(crate) fn lacks_model(&self) -> bool {
        !self.terms.models.iter().all(|model| self.has_model(model))
    }

    /// Whether the server offers the target. An engine whose models are not known
    /// yet counts, so that a node that has just started waits instead of refusing.
    pub(crate) fn offers(&self, target: &WorkTarget) -> bool {
        let loaded = match target {
            WorkTarget::Model(model) => !self.models_known || self.has_model(model),
            WorkTarget::Service(_) => true,
        };
        loaded && target.is_offered_by(&self.terms)
    }

    pub(crate) fn is_listing_due(&self, now: Moment) -> bool {
        let period = match (self.models_known, self.lacks_model()) {
            (false, _) => UNKNOWN_MODELS_PERIOD,
            (true, true) => MISSING_MODEL_PERIOD,
            (true, false) => LISTING_PERIOD,
        };
        let is_due = |last| now >= last + period;
        self.terms.kind == KindDocument::Engine && self.last_listing.is_none_or(is_due)
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
        if self.is_avoided(now) {
            return ServerState::Ejected { probe_due: false };
        }
        match target {
            WorkTarget::Model(model) => self
                .replicas
                .get(model.as_str())
                .map_or(ServerState::Active, |replica| detector.state(*replica, now)),
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

/// First 32 bits of the digest of a server name; load reports in gossip carry it
/// in place of the name.
pub fn server_hash(server: &ServerId) -> u32 {
    Digest::of(server.as_str().as_bytes()).short_id()
}
