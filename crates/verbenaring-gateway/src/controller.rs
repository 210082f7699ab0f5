//! The path of a request through the filters.
//!
//! `authenticate` → `identify` → residency → admission → `route` → `attempt`
//! → `relay` → `account`. Each filter returns the input of the next or a
//! [`Refusal`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use uuid::Uuid;
use verbenaring_policy::id::AttemptId;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::quarantine::suspect_delay;
use verbenaring_policy::retry::{AttemptPlan, NextAttempt};
use verbenaring_protocol::header;

use crate::account::{AnswerObservers, AnswerRecord, WorkTickets};
use crate::admit::AdmissionDesk;
use crate::attempt::{
    AttemptClient, AttemptFailure, AttemptRequest, EchoRule, ReceiverKind, is_refusal, json_headers,
};
use crate::authenticate::authenticate_caller;
use crate::backend::{BackendTable, ChosenServer, PrintDecision, WorkGuard};
use crate::body::AnswerBody;
use crate::catalog::{ContractEntry, ServingCatalog};
use crate::clock::NodeClock;
use crate::cluster::ClusterView;
use crate::config::{NodeSettings, PeerSettings};
use crate::entry::entry_list;
use crate::event::has_foreign_identity;
use crate::identify::{identify_inference, identify_service};
use crate::links::ControlLinks;
use crate::listener::RequestHandler;
use crate::live::LiveSettings;
use crate::metrics::NodeMetrics;
use crate::operation::{read_operation, run_operation};
use crate::peer::{ForwardHead, PeerGate, SignedMessage};
use crate::records::RecordStore;
use crate::refusal::Refusal;
use crate::relay::{RelayMode, RelayStream};
use crate::replica::ConfigReplica;
use crate::resume::ResumeSource;
use crate::route::{RegionRouter, RouteContext, RouteFault, RouteTarget, TriedTargets};
use crate::schedule::RequestQueues;
use crate::store::PlatformStore;
use crate::timeline::{EventKind, TimelineRing};
use crate::work::{PendingWork, WorkTarget};

/// Largest answer that is collected before it is passed on.
const MAX_WHOLE_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Wait before a request that may crash servers is considered again.
const SUSPECT_WAIT: Duration = Duration::from_millis(100);

/// Answer of a target up to the point where the caller's begins.
struct AnswerHead {
    attempt: AttemptId,
    status: StatusCode,
    headers: HeaderMap,
    body: HeadBody,
    place: Option<String>,
    guard: Option<WorkGuard>,
    resume: Option<ResumeSource>,
}

enum HeadBody {
    Whole(Bytes),
    Open(Incoming, RelayMode),
}

/// Shared state of one node.
pub struct NodeCore<S> {
    /// Settings of the node at its start.
    pub settings: NodeSettings,
    /// Settings that a reload replaces.
    pub live: Arc<LiveSettings>,
    /// Clock of the node.
    pub clock: NodeClock,
    /// Configuration in force.
    pub catalog: Arc<ArcSwap<ServingCatalog>>,
    /// Backend servers as this node uses them.
    pub backends: Arc<BackendTable>,
    /// Limits of contracts at this node.
    pub desk: Arc<AdmissionDesk>,
    /// Fair queues of this node.
    pub queues: Arc<RequestQueues>,
    /// Choice between data centres.
    pub regions: RegionRouter,
    /// Observers of answers.
    pub observers: AnswerObservers,
    /// Client of backend servers and nodes.
    pub client: AttemptClient,
    /// Gate for requests of other nodes.
    pub gate: PeerGate,
    /// Operation records in the platform store.
    pub records: RecordStore<S>,
    /// Running operations; a graceful shutdown waits for them.
    pub operations: TaskTracker,
    /// Counters of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub timeline: Arc<TimelineRing>,
    /// Configuration merged from the platform store and from peers.
    pub replica: Arc<ConfigReplica>,
    /// Control connections to other nodes.
    pub links: Arc<ControlLinks>,
    /// View of the other nodes.
    pub cluster: Arc<ClusterView>,
}

/// Answer or refusal of a request.
pub type Outcome = Result<Response<AnswerBody>, Refusal>;

impl<S: PlatformStore> NodeCore<S> {
    async fn answer_caller(
        self: &Arc<Self>,
        parts: &Parts,
        body: Incoming,
        request: &Arc<str>,
    ) -> Outcome {
        let path = parts.uri.path();
        match (&parts.method, path) {
            (&Method::GET, "/healthz") => Ok(text_answer("ok\n")),
            (&Method::GET, "/readyz") => self.answer_ready(),
            (&Method::GET, "/metrics") => Ok(text_answer(&self.metrics.render())),
            (&Method::GET, "/v1/entry") => {
                let list = entry_list(
                    &self.settings,
                    &self.cluster.nodes.load(),
                    self.cluster.stopping.load(Ordering::Relaxed),
                );
                Ok(json_answer(
                    serde_json::to_string(&list).unwrap_or_default(),
                ))
            }
            // Until the configuration is loaded, a valid key may be unknown here.
            _ if !self.replica.is_loaded() => Err(not_loaded().with_retry_after(1)),
            _ => {
                self.cluster.settle().await;
                let catalog = self.catalog.load_full();
                let entry = authenticate_caller(&catalog, &parts.headers)?;
                let customer = entry.terms.customer.clone();
                let counted = entry
                    .terms
                    .residency
                    .allows(&self.settings.data_centre.region);
                let outcome = self.answer_customer(entry, parts, body, request).await;
                if counted {
                    let failed = outcome.as_ref().err().map(|refusal| refusal.outcome);
                    self.metrics.contracts.count_request(&customer, failed);
                }
                outcome
            }
        }
    }

    async fn answer_customer(
        self: &Arc<Self>,
        entry: Arc<ContractEntry>,
        parts: &Parts,
        body: Incoming,
        request: &Arc<str>,
    ) -> Outcome {
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
        let work = self.identify(entry, parts, body, request)?;
        self.timeline
            .record(EventKind::RequestAccepted, request, None);
        if work.repeatable {
            return self.run(work).await;
        }
        work.check_residency(&self.settings.data_centre.region)?;
        let admission = self.desk.admit(&self.catalog.load_full(), &work)?;
        let key = header_text(&parts.headers, header::IDEMPOTENCY_KEY);
        run_operation(self, work, key.as_deref(), admission).await
    }

    fn identify(
        &self,
        entry: Arc<ContractEntry>,
        parts: &Parts,
        body: Bytes,
        request: &Arc<str>,
    ) -> Result<PendingWork, Refusal> {
        let path = parts.uri.path();
        let method = &parts.method;
        match (method, path) {
            (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
                let key = &self.gate.signing_key().secret;
                identify_inference(entry, key, path, &body, request)
            }
            (_, "/v1/chat/completions" | "/v1/completions") => Err(Refusal::not_run(
                StatusCode::METHOD_NOT_ALLOWED,
                "method_not_allowed",
                format!("{method} is not allowed here, use POST"),
            )),
            _ => match path.strip_prefix("/v1/services/") {
                Some(_) => identify_service(entry, parts, body, request),
                None => Err(Refusal::not_run(
                    StatusCode::NOT_FOUND,
                    "not_found",
                    format!("{method} {path} does not exist"),
                )),
            },
        }
    }

    /// Serves a request that another node forwarded, in this data centre only.
    async fn answer_peer(self: &Arc<Self>, parts: &Parts, body: Incoming) -> Outcome {
        let body = self.read_body(body).await?;
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let message = SignedMessage {
            method: parts.method.as_str(),
            path,
            body: &body,
            unix_ms: self.clock.unix_ms(),
        };
        let head = self.gate.check(&parts.headers, &message).map_err(|fault| {
            Refusal::not_run(StatusCode::FORBIDDEN, "forward_refused", fault.to_string())
        })?;
        self.cluster.settle().await;
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
        check_revisions(&entry, &head)?;
        let request: Arc<str> = head.attempt.to_string().into();
        let mut work = self.identify(entry, parts, body, &request)?;
        work.deadline = work.accepted + Duration::from_millis(head.deadline_ms);
        work.forwarded = Some(head);
        self.timeline
            .record(EventKind::ForwardReceived, &request, None);
        self.run(work).await
    }

    /// Admits, queues and tries a request until a target answers.
    async fn run(self: &Arc<Self>, work: PendingWork) -> Outcome {
        let catalog = self.catalog.load_full();
        work.check_residency(&self.settings.data_centre.region)?;
        let mut tickets = WorkTickets::default();
        if work.forwarded.is_none() {
            tickets.admission = Some(self.desk.admit(&catalog, &work)?);
        }
        if self.backends.can_run(&catalog, &work) {
            let nodes = self.cluster.nodes.load().near.len() + 1;
            tickets.run = self.queues.enter(&catalog, nodes, &work).await?;
        }
        let mut tickets = Some(tickets);
        self.try_targets(&work, &mut tickets).await
    }

    async fn try_targets(&self, work: &PendingWork, tickets: &mut Option<WorkTickets>) -> Outcome {
        let entry_node = work.forwarded.is_none();
        let deadline = self.clock.moment(work.deadline);
        let mut plan = AttemptPlan::new(deadline, work.repeatable, entry_node);
        let mut tried = TriedTargets::default();
        let mut outcome = RunOutcome::NotRun;
        let mut last = None;
        loop {
            work.check_deadline()
                .map_err(|refusal| refusal.with_outcome(outcome))?;
            let alone = match self.backends.decide(work) {
                PrintDecision::Send { alone } => alone,
                PrintDecision::Refused => return Err(quarantined().with_outcome(outcome)),
                PrintDecision::Wait => {
                    tokio::time::sleep(SUSPECT_WAIT).await;
                    continue;
                }
            };
            let target = match self.route(work, &tried, alone) {
                Ok(target) => target,
                Err(RouteFault::Busy) => {
                    tokio::time::sleep(SUSPECT_WAIT).await;
                    continue;
                }
                Err(RouteFault::Refused(refusal)) => {
                    return Err(match last {
                        Some(failure) => refuse_failure(failure, outcome),
                        None => refusal,
                    });
                }
            };
            let failure = match self.attempt_hedged(work, target, &mut tried, tickets).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.timeline
                .record(EventKind::AttemptFailed, &work.request, None);
            outcome = outcome.combine(failure.outcome);
            if let Some(server) = tried.servers.last() {
                plan.record_attempt(server);
            }
            let customer = &work.entry.terms.customer;
            let next = self
                .backends
                .after_failure(&mut plan, failure.kind(), customer);
            match next {
                NextAttempt::GiveUp(_) => return Err(refuse_failure(failure, outcome)),
                NextAttempt::Retry { alone: true, .. } => {
                    let delay = suspect_delay(&mut rand::rng());
                    tokio::time::sleep(delay).await;
                }
                NextAttempt::Retry { .. } => {}
            }
            last = Some(failure);
        }
    }

    fn route(
        &self,
        work: &PendingWork,
        tried: &TriedTargets,
        alone: bool,
    ) -> Result<RouteTarget, RouteFault> {
        let catalog = self.catalog.load_full();
        let nodes = self.cluster.nodes.load_full();
        let wait = match &work.target {
            WorkTarget::Model(model) => {
                let queued = self.queues.queued(model);
                self.backends
                    .expected_wait(model, queued, nodes.near.len() + 1)
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
        self.regions.route(&context, work, tried, alone)
    }

    /// Chooses a target for a call that may not be repeated.
    pub fn route_once(&self, work: &PendingWork) -> Result<RouteTarget, RouteFault> {
        self.route(work, &TriedTargets::default(), false)
    }

    /// Sends a try and, if no answer begins in the usual time, a second one.
    async fn attempt_hedged(
        &self,
        work: &PendingWork,
        target: RouteTarget,
        tried: &mut TriedTargets,
        tickets: &mut Option<WorkTickets>,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        tried.add(&target);
        let delay = self
            .backends
            .hedge_delay(work)
            .filter(|_| work.forwarded.is_none());
        let first = self.attempt(work, target);
        let Some(delay) = delay else {
            return self.answer(work, first.await?, tickets);
        };
        tokio::pin!(first);
        tokio::select! {
            head = &mut first => return self.answer(work, head?, tickets),
            () = tokio::time::sleep(delay) => {}
        }
        let second = self
            .route(work, tried, false)
            .ok()
            .filter(|_| self.backends.try_hedge(work));
        let Some(second) = second else {
            return self.answer(work, first.await?, tickets);
        };
        tried.add(&second);
        let second = self.attempt(work, second);
        tokio::pin!(second);
        // The loser is dropped, which closes its connection and cancels it.
        let head = tokio::select! {
            head = &mut first => match head {
                Ok(head) => head,
                Err(_) => second.await?,
            },
            head = &mut second => match head {
                Ok(head) => head,
                Err(_) => first.await?,
            },
        };
        self.answer(work, head, tickets)
    }

    fn answer(
        &self,
        work: &PendingWork,
        head: AnswerHead,
        tickets: &mut Option<WorkTickets>,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        let tickets = tickets.take().unwrap_or_default();
        let observers = &self.observers;
        let mut record = AnswerRecord::new(work, head.attempt, observers, head.guard, tickets);
        let body = match head.body {
            HeadBody::Whole(body) => {
                record.add_tokens(read_answer_tokens(&body));
                record.succeed();
                AnswerBody::Whole(Some(body))
            }
            HeadBody::Open(upstream, mode) => {
                let identity = head.attempt.to_string();
                let stream = RelayStream::new(upstream, mode, identity, work.deadline, record);
                AnswerBody::Relay(Box::new(stream.with_resume(head.resume)))
            }
        };
        Ok(caller_answer(head.status, &head.headers, body, head.place))
    }

    async fn attempt(
        &self,
        work: &PendingWork,
        target: RouteTarget,
    ) -> Result<AnswerHead, AttemptFailure> {
        let attempt = match &work.forwarded {
            Some(head) => head.attempt,
            None => AttemptId(Uuid::new_v4()),
        };
        let (label, result) = match target {
            RouteTarget::Server(chosen) => {
                self.timeline
                    .record(EventKind::AttemptSent, &work.request, Some(attempt));
                ("server", self.attempt_server(work, *chosen, attempt).await)
            }
            RouteTarget::Peer(peer) => {
                self.timeline
                    .record(EventKind::AttemptForwarded, &work.request, Some(attempt));
                ("node", self.forward(work, &peer, attempt).await)
            }
        };
        let text = result
            .as_ref()
            .map_or_else(|failure| failure.outcome.as_str(), |_| "ok");
        self.metrics
            .attempts
            .with_label_values(&[label, text])
            .inc();
        result
    }

    async fn attempt_server(
        &self,
        work: &PendingWork,
        chosen: ChosenServer,
        attempt: AttemptId,
    ) -> Result<AnswerHead, AttemptFailure> {
        let ChosenServer { terms, mut guard } = chosen;
        if work.print.is_some() {
            guard.set_cancel(&self.client, terms.address, attempt);
        }
        let request = AttemptRequest {
            address: terms.address,
            attempt,
            method: &work.method,
            path: &work.path,
            headers: &work.headers,
            body: work.body.clone(),
            echo: match &work.target {
                WorkTarget::Model(_) => EchoRule::Required,
                WorkTarget::Service(_) => EchoRule::IfPresent,
            },
            receiver: ReceiverKind::Server,
        };
        let place = format!("{}/{}", self.settings.vm, terms.server);
        let resume =
            (terms.resumes && work.stream).then(|| ResumeSource::new(&self.client, &request));
        let result = self.exchange(work, &request, Some(place)).await;
        match result {
            Ok(head) => Ok(AnswerHead {
                guard: Some(guard),
                resume,
                ..head
            }),
            Err(failure) => {
                if failure.crashed && failure.outcome == RunOutcome::Unknown {
                    guard.crash();
                }
                if failure.outcome == RunOutcome::NotRun {
                    guard.set_refused();
                }
                if failure.code == "backend_unreachable" {
                    guard.set_unreachable();
                }
                Err(failure)
            }
        }
    }

    async fn forward(
        &self,
        work: &PendingWork,
        peer: &PeerSettings,
        attempt: AttemptId,
    ) -> Result<AnswerHead, AttemptFailure> {
        let mut work = work.clone();
        self.sign_forward(&mut work, peer, attempt)
            .ok_or_else(|| AttemptFailure {
                outcome: RunOutcome::NotRun,
                code: "invalid_request",
                message: "request cannot be forwarded".into(),
                crashed: false,
            })?;
        let request = AttemptRequest {
            address: peer.peer_address,
            attempt,
            method: &work.method,
            path: &work.forward_path,
            headers: &work.headers,
            body: work.body.clone(),
            echo: EchoRule::Required,
            receiver: ReceiverKind::Node,
        };
        self.exchange(&work, &request, None).await
    }

    /// Sends one try and takes its answer up to the point where the caller's begins.
    async fn exchange(
        &self,
        work: &PendingWork,
        request: &AttemptRequest<'_>,
        place: Option<String>,
    ) -> Result<AnswerHead, AttemptFailure> {
        let answer = self.client.send(request, remaining(work.deadline)).await?;
        let (head, upstream) = answer.into_parts();
        if let Some(failure) = refused_answer(head.status, &head.headers, work) {
            return Err(failure);
        }
        let engine = work.print.is_some();
        let events = engine && is_event_stream(&head.headers);
        let body = if engine && !events {
            let identity = request.attempt.to_string();
            HeadBody::Whole(collect_answer(upstream, &identity, work.deadline).await?)
        } else {
            let mode = if events {
                RelayMode::Events
            } else {
                RelayMode::Plain
            };
            HeadBody::Open(upstream, mode)
        };
        let place = place.or_else(|| header_text(&head.headers, header::SERVED_BY));
        Ok(AnswerHead {
            attempt: request.attempt,
            status: head.status,
            headers: head.headers,
            body,
            place,
            guard: None,
            resume: None,
        })
    }

    /// Adds the forwarding headers to the request.
    pub fn sign_forward(
        &self,
        work: &mut PendingWork,
        peer: &PeerSettings,
        attempt: AttemptId,
    ) -> Option<()> {
        let head = ForwardHead {
            visited: vec![self.settings.vm.clone()],
            revision: work.entry.revision,
            deadline_ms: remaining(work.deadline).as_millis() as u64,
            attempt,
            customer: work.entry.terms.customer.to_string(),
        };
        let message = SignedMessage {
            method: work.method.as_str(),
            path: &work.forward_path,
            body: &work.body,
            unix_ms: self.clock.unix_ms(),
        };
        head.write(
            &mut work.headers,
            &self.gate.signing_key(),
            &peer.vm,
            &message,
        )
    }

    pub(crate) async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let guards = self.live.guards();
        let limited = Limited::new(body, guards.max_body_bytes);
        match tokio::time::timeout(guards.body_timeout, limited.collect()).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                Err(Refusal::not_run(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    "body_too_large",
                    format!("body is larger than {} bytes", guards.max_body_bytes),
                ))
            }
            Ok(Err(error)) => Err(Refusal::not_run(
                StatusCode::BAD_REQUEST,
                "body_incomplete",
                format!("body cannot be read: {error}"),
            )),
            Err(_) => Err(Refusal::not_run(
                StatusCode::REQUEST_TIMEOUT,
                "body_timeout",
                format!("body was not complete within {:?}", guards.body_timeout),
            )),
        }
    }

    fn answer_ready(&self) -> Outcome {
        let stopping = self.cluster.stopping.load(Ordering::Relaxed);
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

    fn finish(&self, outcome: Outcome, request: &Arc<str>) -> Response<AnswerBody> {
        let mut answer = outcome.unwrap_or_else(|refusal| {
            if refusal.code != "not_ready" {
                let label = refusal.outcome.as_str();
                self.metrics.requests.with_label_values(&[label]).inc();
                self.timeline
                    .record(EventKind::RequestRefused, request, None);
            }
            refusal_answer(&refusal)
        });
        if let Ok(value) = HeaderValue::from_str(request) {
            answer.headers_mut().insert(header::REQUEST_ID, value);
        }
        answer
    }
}

/// Answers callers.
pub struct CallerHandler<S>(pub Arc<NodeCore<S>>);

/// Answers other nodes.
pub struct PeerHandler<S>(pub Arc<NodeCore<S>>);

impl<S> Clone for CallerHandler<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S> Clone for PeerHandler<S> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<S: PlatformStore> RequestHandler for CallerHandler<S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (mut parts, body) = request.into_parts();
        for name in header::INTERNAL {
            parts.headers.remove(name);
        }
        let identifier = request_identifier(&parts.headers);
        let outcome = self.0.answer_caller(&parts, body, &identifier).await;
        self.0.finish(outcome, &identifier)
    }
}

impl<S: PlatformStore> RequestHandler for PeerHandler<S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        // The sender checks that the answer carries its attempt identifier.
        let identifier: Arc<str> = header_text(&parts.headers, header::REQUEST_ID)
            .unwrap_or_default()
            .into();
        let outcome = self.0.answer_peer(&parts, body).await;
        self.0.finish(outcome, &identifier)
    }
}

/// Longest request identifier taken over from a caller.
const MAX_REQUEST_ID_BYTES: usize = 128;

fn request_identifier(headers: &HeaderMap) -> Arc<str> {
    header_text(headers, header::REQUEST_ID)
        .filter(|text| !text.is_empty() && text.len() <= MAX_REQUEST_ID_BYTES)
        .unwrap_or_else(|| Uuid::new_v4().to_string())
        .into()
}

/// Header as text.
pub fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn check_revisions(entry: &ContractEntry, head: &ForwardHead) -> Result<(), Refusal> {
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

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Failure if the answer says that the request was refused before it ran.
fn refused_answer(
    status: StatusCode,
    headers: &HeaderMap,
    work: &PendingWork,
) -> Option<AttemptFailure> {
    let message = format!("backend answered with status {status}");
    let failure = |outcome, code| {
        Some(AttemptFailure {
            outcome,
            code,
            message: message.clone(),
            crashed: false,
        })
    };
    match header_text(headers, header::OUTCOME).as_deref() {
        Some("not_run") => return failure(RunOutcome::NotRun, "backend_refused"),
        Some("unknown") => return failure(RunOutcome::Unknown, "backend_failed"),
        _ => {}
    }
    let from_engine = work.print.is_some();
    if from_engine && is_refusal(status) {
        return failure(RunOutcome::NotRun, "backend_refused");
    }
    if from_engine && status.is_server_error() {
        return failure(RunOutcome::Unknown, "backend_failed");
    }
    None
}

fn refuse_failure(failure: AttemptFailure, outcome: RunOutcome) -> Refusal {
    let status = match (outcome, failure.code) {
        (_, "deadline_exceeded") => StatusCode::GATEWAY_TIMEOUT,
        (RunOutcome::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::BAD_GATEWAY,
    };
    let refusal = Refusal::not_run(status, failure.code, failure.message).with_outcome(outcome);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        refusal.with_retry_after(1)
    } else {
        refusal
    }
}

/// Collects a whole answer, so that a truncated one can be retried.
async fn collect_answer(
    upstream: Incoming,
    identity: &str,
    deadline: Instant,
) -> Result<Bytes, AttemptFailure> {
    let failure = |code, message: String| AttemptFailure {
        outcome: RunOutcome::Unknown,
        code,
        message,
        crashed: code == "backend_failed",
    };
    let limited = Limited::new(upstream, MAX_WHOLE_ANSWER_BYTES);
    let body = tokio::time::timeout_at(deadline, limited.collect())
        .await
        .map_err(|_| failure("deadline_exceeded", "answer was not whole in time".into()))?
        .map_err(|error| failure("backend_failed", format!("answer was truncated: {error}")))?
        .to_bytes();
    if has_foreign_identity(&body, identity) {
        return Err(failure(
            "foreign_answer",
            "backend server answered another request".into(),
        ));
    }
    Ok(body)
}

fn not_loaded() -> Refusal {
    Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "not_ready",
        "configuration is not loaded",
    )
}

fn quarantined() -> Refusal {
    Refusal::not_run(
        StatusCode::UNPROCESSABLE_ENTITY,
        "request_quarantined",
        "this request crashed backend servers and is refused for a while",
    )
}

fn read_answer_tokens(body: &[u8]) -> u32 {
    #[derive(serde::Deserialize)]
    struct UsageView {
        completion_tokens: u32,
    }
    #[derive(serde::Deserialize)]
    struct AnswerView {
        usage: UsageView,
    }
    serde_json::from_slice::<AnswerView>(body).map_or(0, |answer| answer.usage.completion_tokens)
}

/// Answer for the caller with the headers that are passed on.
pub fn caller_answer(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
    place: Option<String>,
) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    for name in [CONTENT_TYPE, RETRY_AFTER] {
        if let Some(value) = headers.get(&name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    if let (AnswerBody::Relay(_), Some(length)) = (answer.body(), headers.get(CONTENT_LENGTH)) {
        let length = length.clone();
        answer.headers_mut().insert(CONTENT_LENGTH, length);
    }
    if let Some(value) = place.and_then(|place| HeaderValue::from_str(&place).ok()) {
        answer.headers_mut().insert(header::SERVED_BY, value);
    }
    answer
}

fn refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let mut answer = json_answer(refusal.to_json());
    *answer.status_mut() = refusal.status;
    let outcome = HeaderValue::from_static(refusal.outcome.as_str());
    answer.headers_mut().insert(header::OUTCOME, outcome);
    if let Some(seconds) = refusal.retry_after_s {
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

pub(crate) fn json_answer(text: String) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::from(text));
    *answer.headers_mut() = json_headers();
    answer
}

fn text_answer(text: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::from(text.to_owned()));
    let kind = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

fn model_list(entry: &ContractEntry) -> String {
    let models = entry.terms.models.iter().map(|model| {
        serde_json::json!({ "id": model, "object": "model", "created": 0, "owned_by": "verbenaring" })
    });
    serde_json::json!({ "object": "list", "data": models.collect::<Vec<_>>() }).to_string()
}
