//! Runs each request through the filter chain.
//!
//! `authenticate` → `identify` → residency check → `admit` → `schedule` →
//! `route` → `attempt` → `relay` → `account`. Each filter returns the input of
//! the next one or a [`Refusal`].

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use hyper::{Method, Response, StatusCode};
use tokio_util::task::TaskTracker;
use verbenaring_policy::memory::MemoryAccount;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::quarantine::suspect_delay;
use verbenaring_policy::retry::{AttemptPlan, NextAttempt};
use verbenaring_protocol::header;

use crate::account::{AnswerObservers, RequestGuards};
use crate::admit::AdmissionControl;
use crate::answer::{header_text, json_answer, model_list, refusal_answer, text_answer};
use crate::attempt::AttemptClient;
use crate::authenticate::authenticate_caller;
use crate::backend::{BackendTable, QuarantineDecision};
use crate::body::AnswerBody;
use crate::catalog::{ContractEntry, ServingCatalog};
use crate::clock::NodeClock;
use crate::config::NodeSettings;
use crate::entry::entry_list;
use crate::exchange::refusal_from_failure;
use crate::identify::{identify_inference, identify_service};
use crate::links::ControlLinks;
use crate::live::LiveSettings;
use crate::metrics::NodeMetrics;
use crate::operation::{read_operation, run_operation};
use crate::peer::{ForwardHead, ForwardVerifier, SignedMessage};
use crate::records::RecordStore;
use crate::refusal::Refusal;
use crate::replica::ConfigReplica;
use crate::route::{
    RegionRouter, RouteContext, RouteError, RouteTarget, TriedTargets, centre_offers,
};
use crate::schedule::{QueueCapacity, RequestQueues, SlotGuard};
use crate::store::PlatformStore;
use crate::timeline::{EventKind, TimelineRing};
use crate::upload::read_body;
use crate::view::ClusterView;
use crate::work::{PendingWork, WorkTarget};

/// Interval at which a request that waits for a suspect request or for a busy
/// server is checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// State that the requests and background tasks of one node share.
pub struct NodeCore<S> {
    /// Settings read at start.
    pub settings: NodeSettings,
    /// Settings that a reload replaces while the node runs.
    pub live: Arc<LiveSettings>,
    /// Source of monotonic and Unix time.
    pub clock: NodeClock,
    /// Configuration in force; replaced as a whole on a change.
    pub catalog: Arc<ArcSwap<ServingCatalog>>,
    /// Load and health of this data centre's backend servers, as this node sees
    /// them.
    pub backends: Arc<BackendTable>,
    /// Enforces this node's share of the limits of each contract.
    pub admission: Arc<AdmissionControl>,
    /// Fair queues of this node, one per model.
    pub queues: Arc<RequestQueues>,
    /// Chooses the data centre that runs a request.
    pub region_router: RegionRouter,
    /// Receivers of the progress and result of each answer.
    pub observers: AnswerObservers,
    /// Memory for the bodies of requests at all listeners.
    pub client_memory: Arc<MemoryAccount>,
    /// HTTP client for backend servers and other nodes.
    pub client: AttemptClient,
    /// Verifies the signatures of requests that other nodes forward.
    pub forward_verifier: ForwardVerifier,
    /// Records of calls that may not be repeated, in the platform store.
    pub records: RecordStore<S>,
    /// Running operations; a graceful shutdown waits for them.
    pub operations: TaskTracker,
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Recent events of requests at this node.
    pub timeline: Arc<TimelineRing>,
    /// Configuration merged from the platform store and from peers.
    pub replica: Arc<ConfigReplica>,
    /// Control connections to other nodes.
    pub links: Arc<ControlLinks>,
    /// Usable other nodes, and whether this node is leaving.
    pub cluster: Arc<ClusterView>,
}

/// Answer to a request, or the refusal sent in its place.
pub type AnswerResult = Result<Response<AnswerBody>, Refusal>;

impl<S: PlatformStore> NodeCore<S> {
    pub(crate) async fn answer_caller(
        self: &Arc<Self>,
        parts: &Parts,
        body: Incoming,
        request_id: &Arc<str>,
    ) -> AnswerResult {
        let path = parts.uri.path();
        match (&parts.method, path) {
            (&Method::GET, "/healthz") => Ok(text_answer("ok\n")),
            (&Method::GET, "/readyz") => self.answer_ready(),
            (&Method::GET, "/metrics") => Ok(text_answer(&self.metrics.render())),
            (&Method::GET, "/v1/entry") => {
                let list = entry_list(
                    &self.settings,
                    &self.cluster.nodes.load(),
                    self.cluster.is_leaving(),
                );
                Ok(json_answer(
                    serde_json::to_string(&list).unwrap_or_default(),
                ))
            }
            // Until the configuration is loaded, a valid key may be unknown here.
            _ if !self.replica.is_loaded() => Err(not_loaded().with_retry_after(1)),
            _ => {
                self.cluster.wait_for_resync().await;
                let catalog = self.catalog.load_full();
                let entry = authenticate_caller(&catalog, &parts.headers)?;
                let customer = entry.terms.customer.clone();
                let is_counted = entry
                    .terms
                    .residency
                    .allows(&self.settings.data_centre.region);
                let result = self.answer_customer(entry, parts, body, request_id).await;
                if is_counted {
                    let failed = result.as_ref().err().map(|refusal| refusal.outcome);
                    self.metrics
                        .contract_counters
                        .count_request(&customer, failed);
                }
                result
            }
        }
    }

    async fn answer_customer(
        self: &Arc<Self>,
        entry: Arc<ContractEntry>,
        parts: &Parts,
        body: Incoming,
        request_id: &Arc<str>,
    ) -> AnswerResult {
        let path = parts.uri.path();
        if (&parts.method, path) == (&Method::GET, "/v1/models") {
            return Ok(json_answer(model_list(&entry)));
        }
        if let (&Method::GET, Some(key)) = (&parts.method, path.strip_prefix("/v1/operations/")) {
            let status = read_operation(self, &entry.terms.customer, key).await?;
            return Ok(json_answer(
                serde_json::to_string(&status).unwrap_or_default(),
            ));
        }
        let body = self.read_body(body).await?;
        let work = self.identify(entry, parts, body, request_id)?;
        self.timeline
            .record(EventKind::RequestAccepted, request_id, None);
        if work.repeatable {
            return self.run_request(work).await;
        }
        work.check_residency(&self.settings.data_centre.region)?;
        let admission = self.admission.admit(&self.catalog.load_full(), &work)?;
        let key = header_text(&parts.headers, header::IDEMPOTENCY_KEY);
        run_operation(self, work, key.as_deref(), admission).await
    }

    fn identify(
        &self,
        entry: Arc<ContractEntry>,
        parts: &Parts,
        body: Bytes,
        request_id: &Arc<str>,
    ) -> Result<PendingWork, Refusal> {
        let path = parts.uri.path();
        let method = &parts.method;
        match (method, path) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                let key = &self.forward_verifier.signing_key().secret;
                identify_inference(entry, key, path, &body, request_id)
            }
            (_, "/v1/chat/completions" | "/v1/completions") => Err(Refusal::not_run(
                StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                format!("{method} is not allowed here, use POST"),
            )),
            _ => match path.strip_prefix("/v1/services/") {
                Some(_) => identify_service(entry, parts, body, request_id),
                None => Err(Refusal::not_run(
                    StatusCode::NOT_FOUND,
                    "not_found",
                    format!("{method} {path} does not exist"),
                )),
            },
        }
    }

    /// Serves a request that another node forwarded, in this data centre only.
    pub(crate) async fn answer_peer(
        self: &Arc<Self>,
        parts: &Parts,
        body: Incoming,
    ) -> AnswerResult {
        let body = self.read_body(body).await?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let message = SignedMessage {
            method: parts.method.as_str(),
            path,
            body: &body,
            unix_ms: self.clock.unix_ms(),
        };
        let head = self
            .forward_verifier
            .verify(&parts.headers, &message)
            .map_err(|error| {
                Refusal::not_run(StatusCode::FORBIDDEN, "forward_refused", error.to_string())
            })?;
        self.cluster.wait_for_resync().await;
        let catalog = self.catalog.load_full();
        let entry = catalog
            .contract_of(&head.customer)
            .cloned()
            .ok_or_else(|| {
                Refusal::not_run(
                    StatusCode::CONFLICT,
                    "stale_revision",
                    "contract is not known here",
                )
            })?;
        check_contract_revision(&entry, &head)?;
        let request_id: Arc<str> = head.attempt.to_string().into();
        let mut work = self.identify(entry, parts, body, &request_id)?;
        work.deadline = work.accepted + Duration::from_millis(head.deadline_ms);
        work.forwarded = Some(head);
        self.timeline
            .record(EventKind::ForwardReceived, &request_id, None);
        self.run_request(work).await
    }

    /// Admits and queues a request, then attempts it at one target after another
    /// until one answers.
    ///
    /// A forwarded request was admitted by the node that forwarded it.
    async fn run_request(self: &Arc<Self>, work: PendingWork) -> AnswerResult {
        let catalog = self.catalog.load_full();
        work.check_residency(&self.settings.data_centre.region)?;
        let mut guards = RequestGuards::default();
        if work.forwarded.is_none() {
            guards.admission = Some(self.admission.admit(&catalog, &work)?);
        }
        guards.slot = self.wait_for_slot(&work).await?;
        let mut guards = Some(guards);
        self.try_targets(&work, &mut guards).await
    }

    /// Waits for a slot, unless the work will run in another data centre.
    async fn wait_for_slot(&self, work: &PendingWork) -> Result<Option<SlotGuard>, Refusal> {
        let catalog = self.catalog.load_full();
        let nodes = self.cluster.nodes.load_full();
        let is_sent_away = self.backends.has_lost_all(&work.target)
            && work.forwarded.is_none()
            && nodes.remote.iter().any(|peer| {
                let centre = &peer.data_centre;
                work.entry.terms.residency.allows(&centre.region)
                    && centre_offers(&catalog, centre, work)
            });
        if is_sent_away || !self.backends.can_run(&catalog, work) {
            return Ok(None);
        }
        let capacity = QueueCapacity {
            nodes: nodes.local.len() + 1,
            unused: self.backends.unused_engines(),
        };
        self.queues.wait_for_slot(&catalog, capacity, work).await
    }

    async fn try_targets(
        &self,
        work: &PendingWork,
        guards: &mut Option<RequestGuards>,
    ) -> AnswerResult {
        let is_entry = work.forwarded.is_none();
        let deadline = self.clock.moment(work.deadline);
        let mut plan = AttemptPlan::new(deadline, work.repeatable, is_entry);
        let mut tried = TriedTargets::default();
        let mut outcome = RunOutcome::NotRun;
        let mut last_failure = None;
        loop {
            work.check_deadline()
                .map_err(|refusal| refusal.with_outcome(outcome))?;
            let alone = match self.backends.quarantine_decision(work) {
                QuarantineDecision::Send { alone } => alone,
                QuarantineDecision::Refused => return Err(quarantined().with_outcome(outcome)),
                QuarantineDecision::Wait => {
                    tokio::time::sleep(RECHECK_INTERVAL).await;
                    continue;
                }
            };
            let is_trier = |part| !is_entry || self.cluster.is_trier(part);
            if !self.backends.allows_parts(work, is_trier) {
                return Err(part_quarantined().with_outcome(outcome));
            }
            let target = match self.route(work, &tried, alone) {
                Ok(target) => target,
                Err(RouteError::Busy) => {
                    tokio::time::sleep(RECHECK_INTERVAL).await;
                    continue;
                }
                Err(RouteError::Refused(refusal)) => {
                    return Err(match last_failure {
                        Some(failure) => refusal_from_failure(failure, outcome),
                        None => refusal,
                    });
                }
            };
            let failure = match self.attempt_hedged(work, target, &mut tried, guards).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.timeline
                .record(EventKind::AttemptFailed, &work.request_id, None);
            outcome = outcome.combine(failure.outcome);
            if let Some(server) = tried.servers.last() {
                plan.record_attempt(server);
            }
            let customer = &work.entry.terms.customer;
            let next = self
                .backends
                .after_failure(&mut plan, failure.kind(), customer);
            match next {
                NextAttempt::GiveUp(_) => return Err(refusal_from_failure(failure, outcome)),
                NextAttempt::Retry { alone: true, .. } => {
                    // Suspects are few, and run alone on a server. They must not keep the slots
                    // of others while they wait for it.
                    if let Some(mut slot) = guards.as_mut().and_then(|guards| guards.slot.take()) {
                        slot.set_tokens(0);
                    }
                    let delay = suspect_delay(&mut rand::rng());
                    tokio::time::sleep(delay).await;
                }
                NextAttempt::Retry { .. } => {}
            }
            last_failure = Some(failure);
        }
    }

    pub(crate) fn route(
        &self,
        work: &PendingWork,
        tried: &TriedTargets,
        alone: bool,
    ) -> Result<RouteTarget, RouteError> {
        let catalog = self.catalog.load_full();
        let nodes = self.cluster.nodes.load_full();
        let wait = match &work.target {
            WorkTarget::Model(model) => {
                let queued = self.queues.queued(model);
                self.backends
                    .expected_wait(model, queued, nodes.local.len() + 1)
            }
            WorkTarget::Service(_) => Duration::ZERO,
        };
        let context = RouteContext {
            centre: &self.settings.data_centre,
            catalog: &catalog,
            nodes,
            backends: &self.backends,
            wait,
        };
        self.region_router.route(&context, work, tried, alone)
    }

    /// Chooses the only target of a call that may not be repeated.
    pub fn route_once(&self, work: &PendingWork) -> Result<RouteTarget, RouteError> {
        self.route(work, &TriedTargets::default(), false)
    }

    pub(crate) async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        read_body(body, &self.live.limits(), &self.client_memory).await
    }

    fn answer_ready(&self) -> AnswerResult {
        let stopping = self.cluster.is_leaving();
        if !stopping && self.replica.is_loaded() {
            return Ok(text_answer("ready\n"));
        }
        if !stopping {
            return Err(not_loaded());
        }
        Err(Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            "node is stopping",
        ))
    }

    pub(crate) fn finish_answer(
        &self,
        result: AnswerResult,
        request_id: &Arc<str>,
    ) -> Response<AnswerBody> {
        let mut answer = result.unwrap_or_else(|refusal| {
            if refusal.code != "not_ready" {
                let label = refusal.outcome.as_str();
                self.metrics.requests.with_label_values(&[label]).inc();
                self.timeline
                    .record(EventKind::RequestRefused, request_id, None);
            }
            refusal_answer(&refusal)
        });
        if let Ok(value) = HeaderValue::from_str(request_id) {
            answer.headers_mut().insert(header::REQUEST_ID, value);
        }
        answer
    }
}

fn check_contract_revision(entry: &ContractEntry, head: &ForwardHead) -> Result<(), Refusal> {
    if entry.revision == head.revision {
        return Ok(());
    }
    Err(Refusal::not_run(
        StatusCode::CONFLICT,
        "stale_revision",
        format!(
            "contract revision is {} here, not {}",
            entry.revision, head.revision
        ),
    ))
}

fn not_loaded() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        "configuration is not loaded",
    )
}

fn part_quarantined() -> Refusal {
    Refusal::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "prompt_quarantined",
        "a part of this prompt crashed backend servers and is refused for a while",
    )
}

fn quarantined() -> Refusal {
    Refusal::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "request_quarantined",
        "this request crashed backend servers and is refused for a while",
    )
}
