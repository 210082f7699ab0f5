//! The path of a request through the filters.
//!
//! `authenticate` → `identify` → residency → admission → `route` → `attempt`
//! → `relay` → `account`. Each filter returns the input of the next or a
//! [`Refusal`].

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
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
use verbenaring_protocol::header;

use crate::account::AnswerRecord;
use crate::attempt::{
    AttemptClient, AttemptFailure, AttemptRequest, EchoRule, is_refusal, json_headers,
};
use crate::authenticate::authenticate_caller;
use crate::backend::{BackendState, BackendTable, WorkGuard};
use crate::body::AnswerBody;
use crate::catalog::{ContractEntry, ServingCatalog};
use crate::clock::NodeClock;
use crate::config::{NodeSettings, PeerSettings};
use crate::entry::entry_list;
use crate::event::has_foreign_identity;
use crate::identify::{identify_inference, identify_service};
use crate::listener::RequestHandler;
use crate::metrics::NodeMetrics;
use crate::operation::{read_operation, run_operation};
use crate::peer::{ForwardHead, PeerGate, SignedMessage};
use crate::records::RecordStore;
use crate::refusal::Refusal;
use crate::relay::{RelayMode, RelayStream};
use crate::resume::ResumeSource;
use crate::route::{RouteTarget, TriedTargets, route_work};
use crate::store::PlatformStore;
use crate::timeline::{EventKind, TimelineRing};
use crate::work::{PendingWork, WorkTarget};

/// Largest answer that is collected before it is passed on.
const MAX_WHOLE_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Tries of one request, the first included.
const MAX_ATTEMPTS: usize = 3;

/// Shared state of one node.
pub struct NodeCore<S> {
    /// Settings of the node.
    pub settings: NodeSettings,
    /// Clock of the node.
    pub clock: NodeClock,
    /// Configuration in force.
    pub catalog: Arc<ArcSwap<ServingCatalog>>,
    /// Backend servers as this node uses them.
    pub backends: BackendTable,
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
    /// Whether a graceful shutdown has begun.
    pub stopping: AtomicBool,
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
                let list = entry_list(&self.settings, self.stopping.load(Ordering::Relaxed));
                Ok(json_answer(
                    serde_json::to_string(&list).unwrap_or_default(),
                ))
            }
            _ => {
                let catalog = self.catalog.load_full();
                let entry = authenticate_caller(&catalog, &parts.headers)?;
                self.answer_customer(entry, parts, body, request).await
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
        let key = header_text(&parts.headers, header::IDEMPOTENCY_KEY);
        run_operation(self, work, key.as_deref()).await
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
    async fn answer_peer(&self, parts: &Parts, body: Incoming) -> Outcome {
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

    /// Tries targets until one answers or no further try is allowed.
    async fn run(&self, work: PendingWork) -> Outcome {
        let mut tried = TriedTargets::default();
        let mut outcome = RunOutcome::NotRun;
        let mut last = None;
        for remaining in (0..MAX_ATTEMPTS).rev() {
            work.check_deadline()
                .map_err(|refusal| refusal.with_outcome(outcome))?;
            let catalog = self.catalog.load_full();
            let routed = route_work(&self.settings, &catalog, &self.backends, &work, &tried);
            let target = routed.map_err(|refusal| match last.take() {
                Some(failure) => refuse_failure(failure, outcome),
                None => refusal,
            })?;
            let failure = match self.attempt(&work, target, &mut tried).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.timeline
                .record(EventKind::AttemptFailed, &work.request, None);
            outcome = outcome.combine(failure.outcome);
            let retry = work.repeatable && work.forwarded.is_none() && remaining > 0;
            if !retry {
                return Err(refuse_failure(failure, outcome));
            }
            last = Some(failure);
        }
        unreachable!("the last try returns")
    }

    async fn attempt(
        &self,
        work: &PendingWork,
        target: RouteTarget,
        tried: &mut TriedTargets,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        let attempt = match &work.forwarded {
            Some(head) => head.attempt,
            None => AttemptId(Uuid::new_v4()),
        };
        let (label, result) = match target {
            RouteTarget::Server(terms, mut guard) => {
                tried.servers.push(terms.server.clone());
                self.timeline
                    .record(EventKind::AttemptSent, &work.request, Some(attempt));
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
                };
                let place = format!("{}/{}", self.settings.vm, terms.server);
                let resume = (terms.resumes && work.stream)
                    .then(|| ResumeSource::new(&self.client, &request));
                (
                    "server",
                    self.exchange(work, &request, guard, Some(place), resume)
                        .await,
                )
            }
            RouteTarget::Peer(peer) => {
                tried.peers.push(peer.vm.clone());
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

    async fn forward(
        &self,
        work: &PendingWork,
        peer: &PeerSettings,
        attempt: AttemptId,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
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
        };
        let guard = WorkGuard::new(&Arc::new(BackendState::default()), work.size.total());
        self.exchange(&work, &request, guard, None, None).await
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
            self.gate.signing_key(),
            &peer.vm,
            &message,
        )
    }

    /// Sends one try and turns its answer into the answer for the caller.
    async fn exchange(
        &self,
        work: &PendingWork,
        request: &AttemptRequest<'_>,
        guard: WorkGuard,
        place: Option<String>,
        resume: Option<ResumeSource>,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        let answer = self.client.send(request, remaining(work.deadline)).await?;
        let (head, upstream) = answer.into_parts();
        if let Some(failure) = refused_answer(head.status, &head.headers, work) {
            return Err(failure);
        }
        let record = AnswerRecord::new(
            work.request.clone(),
            request.attempt,
            work.entry.terms.customer.clone(),
            work.accepted,
            (&self.metrics, &self.timeline),
            guard,
        );
        let identity = request.attempt.to_string();
        let engine = work.print.is_some();
        let events = engine && is_event_stream(&head.headers);
        let body = if engine && !events {
            collect_answer(upstream, &identity, work.deadline, record).await?
        } else {
            let mode = if events {
                RelayMode::Events
            } else {
                RelayMode::Plain
            };
            let stream = RelayStream::new(upstream, mode, identity, work.deadline, record);
            AnswerBody::Relay(Box::new(stream.with_resume(resume)))
        };
        let place = place.or_else(|| header_text(&head.headers, header::SERVED_BY));
        Ok(caller_answer(head.status, &head.headers, body, place))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, Refusal> {
        let guards = &self.settings.guards;
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
        let stopping = self.stopping.load(Ordering::Relaxed);
        if !stopping && self.catalog.load().revision() > 0 {
            return Ok(text_answer("ready\n"));
        }
        let reason = if stopping {
            "node is stopping"
        } else {
            "configuration is not loaded"
        };
        Err(Refusal::not_run(
            StatusCode::SERVICE_UNAVAILABLE,
            "not_ready",
            reason,
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
    mut record: AnswerRecord,
) -> Result<AnswerBody, AttemptFailure> {
    let failure = |code, message: String| AttemptFailure {
        outcome: RunOutcome::Unknown,
        code,
        message,
        crashed: code == "backend_failed",
    };
    let limited = Limited::new(upstream, MAX_WHOLE_ANSWER_BYTES);
    let collected = tokio::time::timeout_at(deadline, limited.collect()).await;
    let body = match collected {
        Err(_) => {
            record.fail("deadline exceeded");
            return Err(failure(
                "deadline_exceeded",
                "answer was not whole in time".into(),
            ));
        }
        Ok(Err(error)) => {
            record.fail("answer was truncated");
            return Err(failure(
                "backend_failed",
                format!("answer was truncated: {error}"),
            ));
        }
        Ok(Ok(body)) => body.to_bytes(),
    };
    if has_foreign_identity(&body, identity) {
        record.fail("answer of another request");
        return Err(failure(
            "foreign_answer",
            "backend server answered another request".into(),
        ));
    }
    record.add_tokens(read_answer_tokens(&body));
    record.succeed();
    Ok(AnswerBody::Whole(Some(body)))
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

fn json_answer(text: String) -> Response<AnswerBody> {
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
