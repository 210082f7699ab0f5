//! Attempts of a request: sending, hedging and receiving the answer.
//!
//! An attempt ends when the answer to the caller begins. Until then it can fail
//! unnoticed by the caller and be retried, so an engine's answer that is not
//! streamed is received completely first.

use std::fmt::Display;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};
use serde::de::IgnoredAny;
use serde_json::Value;
use tokio::time::Instant;
use uuid::Uuid;
use verbenaring_core::path::framing::AnswerFraming;
use verbenaring_core::upstream::reset::EndWatcher;
use verbenaring_policy::id::AttemptId;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::header;

use crate::account::{AnswerRecord, RequestGuards};
use crate::answer::{caller_answer, header_text};
use crate::attempt::{AttemptFailure, AttemptRequest, EchoRule, ReceiverKind, is_refusal};
use crate::backend::{ChosenServer, QuarantineDecision};
use crate::body::AnswerBody;
use crate::config::PeerSettings;
use crate::controller::NodeCore;
use crate::event::has_foreign_attempt_id;
use crate::guard::WorkGuard;
use crate::peer::{ForwardHead, SignedMessage};
use crate::refusal::Refusal;
use crate::relay::{RelayMode, RelayStream};
use crate::resume::ResumeRequest;
use crate::route::{RouteTarget, TriedTargets};
use crate::store::PlatformStore;
use crate::timeline::EventKind;
use crate::work::{PendingWork, WorkTarget};

/// Largest answer that is buffered before it is passed on.
const MAX_BUFFERED_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Answer to an attempt, up to the point where the answer to the caller begins.
struct AnswerHead {
    attempt: AttemptId,
    status: StatusCode,
    headers: HeaderMap,
    body: HeadBody,
    served_by: Option<String>,
    guard: Option<WorkGuard>,
    resume: Option<ResumeRequest>,
    end: Option<EndWatcher>,
}

enum HeadBody {
    Full(Bytes),
    Relayed(Incoming, RelayMode),
}

impl<S: PlatformStore> NodeCore<S> {
    /// Sends an attempt and, if no answer begins within the hedge delay, a second
    /// one to another target.
    pub(crate) async fn attempt_hedged(
        &self,
        work: &PendingWork,
        target: RouteTarget,
        tried: &mut TriedTargets,
        guards: &mut Option<RequestGuards>,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        tried.add(&target);
        // A request that may crash servers must not run on two of them at once.
        let is_suspect =
            self.backends.quarantine_decision(work) != QuarantineDecision::Send { alone: false };
        let delay = self
            .backends
            .hedge_delay(work)
            .filter(|_| work.forwarded.is_none() && !is_suspect);
        let first = self.send_attempt(work, target);
        let Some(delay) = delay else {
            return self.start_answer(work, first.await?, guards);
        };
        tokio::pin!(first);
        tokio::select! {
            head = &mut first => return self.start_answer(work, head?, guards),
            () = tokio::time::sleep(delay) => {}
        }
        let second = self
            .route(work, tried, false)
            .ok()
            .filter(|_| self.backends.try_hedge(work));
        let Some(second) = second else {
            return self.start_answer(work, first.await?, guards);
        };
        tried.add(&second);
        let second = self.send_attempt(work, second);
        tokio::pin!(second);
        // Dropping the slower attempt closes its connection and cancels it.
        let head = tokio::select! {
            head = &mut first => match head {
                Ok(head) => head,
                Err(earlier) => second.await.map_err(|failure| failure.after(&earlier))?,
            },
            head = &mut second => match head {
                Ok(head) => head,
                Err(earlier) => first.await.map_err(|failure| failure.after(&earlier))?,
            },
        };
        self.start_answer(work, head, guards)
    }

    fn start_answer(
        &self,
        work: &PendingWork,
        head: AnswerHead,
        guards: &mut Option<RequestGuards>,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        let guards = guards.take().unwrap_or_default();
        let observers = &self.observers;
        let mut record = AnswerRecord::new(work, head.attempt, observers, head.guard, guards);
        let body = match head.body {
            HeadBody::Full(body) => {
                record.add_tokens(read_answer_tokens(&body));
                record.succeed();
                AnswerBody::Full(Some(body))
            }
            HeadBody::Relayed(upstream, mode) => {
                let attempt_id = head.attempt.to_string();
                let stream = RelayStream::new(upstream, mode, attempt_id, work.deadline, record);
                let stream = stream.with_resume(head.resume).with_end(head.end);
                AnswerBody::Relayed(Box::new(stream))
            }
        };
        Ok(caller_answer(
            head.status,
            &head.headers,
            body,
            head.served_by,
        ))
    }

    async fn send_attempt(
        &self,
        work: &PendingWork,
        target: RouteTarget,
    ) -> Result<AnswerHead, AttemptFailure> {
        let attempt = match &work.forwarded {
            Some(head) => head.attempt,
            None => AttemptId(Uuid::new_v4()),
        };
        let (target_kind, result) = match target {
            RouteTarget::Server(chosen) => {
                self.timeline
                    .record(EventKind::AttemptSent, &work.request_id, Some(attempt));
                ("server", self.attempt_server(work, *chosen, attempt).await)
            }
            RouteTarget::Peer(peer) => {
                self.timeline
                    .record(EventKind::AttemptForwarded, &work.request_id, Some(attempt));
                ("node", self.forward(work, &peer, attempt).await)
            }
        };
        let outcome = result
            .as_ref()
            .map_or_else(|failure| failure.outcome.as_str(), |_| "ok");
        self.metrics
            .attempts
            .with_label_values(&[target_kind, outcome])
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
        if work.digests.is_some() {
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
        let served_by = format!("{}/{}", self.settings.vm, terms.server);
        let resume =
            (terms.resumes && work.stream).then(|| ResumeRequest::new(&self.client, &request));
        let result = self.exchange(work, &request, Some(served_by)).await;
        match result {
            Ok(head) => Ok(AnswerHead {
                guard: Some(guard),
                resume,
                ..head
            }),
            Err(failure) => {
                if failure.crashed && failure.outcome == RunOutcome::Unknown {
                    guard.record_crash();
                }
                if failure.outcome == RunOutcome::NotRun {
                    guard.record_refusal();
                }
                match failure.code {
                    "backend_unreachable" => guard.record_unreachable(),
                    "model_not_loaded" => guard.record_unloaded(&work.target),
                    _ => {}
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

    /// Sends one attempt and receives its answer up to the point where the answer
    /// to the caller begins.
    async fn exchange(
        &self,
        work: &PendingWork,
        request: &AttemptRequest<'_>,
        served_by: Option<String>,
    ) -> Result<AnswerHead, AttemptFailure> {
        let answer = self
            .client
            .send(request, remaining_time(work.deadline))
            .await?;
        let (mut head, upstream) = answer.into_parts();
        let end = head.extensions.remove::<EndWatcher>();
        if let Some(failure) = answer_failure(head.status, &head.headers, work) {
            return Err(failure);
        }
        let from_engine = work.digests.is_some();
        let framing = AnswerFraming::of(&head.headers, &upstream);
        let body = match (from_engine, is_event_stream(&head.headers)) {
            (true, true) => {
                // A resumed stream may have another length than it stated first.
                head.headers.remove(CONTENT_LENGTH);
                HeadBody::Relayed(upstream, RelayMode::Events)
            }
            (true, false) => {
                let attempt_id = request.attempt.to_string();
                let body = collect_answer(upstream, &attempt_id, work.deadline).await?;
                if framing == AnswerFraming::Connection
                    && head.status.is_success()
                    && !is_json_document(&body)
                {
                    return Err(truncated_answer("it is not a whole JSON document"));
                }
                if head.status == StatusCode::NOT_FOUND && lacks_model(&body) {
                    return Err(model_not_loaded());
                }
                HeadBody::Full(body)
            }
            (false, true) => HeadBody::Relayed(upstream, RelayMode::PlainEvents(framing)),
            (false, false) => HeadBody::Relayed(upstream, RelayMode::Plain(framing)),
        };
        let served_by = served_by.or_else(|| header_text(&head.headers, header::SERVED_BY));
        Ok(AnswerHead {
            attempt: request.attempt,
            status: head.status,
            headers: head.headers,
            body,
            served_by,
            guard: None,
            resume: None,
            end,
        })
    }

    /// Adds the signed forwarding headers to the request; `None` if a value is not
    /// a valid header value.
    pub fn sign_forward(
        &self,
        work: &mut PendingWork,
        peer: &PeerSettings,
        attempt: AttemptId,
    ) -> Option<()> {
        let head = ForwardHead {
            visited: vec![self.settings.vm.clone()],
            revision: work.entry.revision,
            deadline_ms: remaining_time(work.deadline).as_millis() as u64,
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
            &self.forward_verifier.signing_key(),
            &peer.vm,
            &message,
        )
    }
}

fn remaining_time(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}

fn is_event_stream(headers: &HeaderMap) -> bool {
    headers
        .get(CONTENT_TYPE)
        .and_then(|value| value.to_str().ok())
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Failure that the status and headers of an answer report, if any.
///
/// A refusal or server error of an engine is a failed attempt. The status of a
/// plain service belongs to its answer, unless the outcome header reports a
/// failure.
fn answer_failure(
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
    let from_engine = work.digests.is_some();
    if from_engine && is_refusal(status) {
        return failure(RunOutcome::NotRun, "backend_refused");
    }
    if from_engine && status.is_server_error() {
        return failure(RunOutcome::Unknown, "backend_failed");
    }
    None
}

pub(crate) fn refusal_from_failure(failure: AttemptFailure, outcome: RunOutcome) -> Refusal {
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

/// Receives a complete answer, so that a truncated one can be retried.
async fn collect_answer(
    upstream: Incoming,
    attempt_id: &str,
    deadline: Instant,
) -> Result<Bytes, AttemptFailure> {
    let failure = |code, message: &str| AttemptFailure {
        outcome: RunOutcome::Unknown,
        code,
        message: message.to_owned(),
        crashed: false,
    };
    let limited = Limited::new(upstream, MAX_BUFFERED_ANSWER_BYTES);
    let body = tokio::time::timeout_at(deadline, limited.collect())
        .await
        .map_err(|_| failure("deadline_exceeded", "answer was not whole in time"))?
        .map_err(truncated_answer)?
        .to_bytes();
    if has_foreign_attempt_id(&body, attempt_id) {
        return Err(failure(
            "foreign_answer",
            "backend server answered another request",
        ));
    }
    Ok(body)
}

/// Failure of a server that broke off its answer.
fn truncated_answer(reason: impl Display) -> AttemptFailure {
    AttemptFailure {
        outcome: RunOutcome::Unknown,
        code: "backend_failed",
        message: format!("answer was truncated: {reason}"),
        crashed: true,
    }
}

/// Failure of an engine that has restarted and not loaded the model again, which the contract
/// and the server's document have.
fn model_not_loaded() -> AttemptFailure {
    AttemptFailure {
        outcome: RunOutcome::NotRun,
        code: "model_not_loaded",
        message: "backend server has not loaded the model".into(),
        crashed: false,
    }
}

/// Whether the body of an answer with status 404 says that the engine lacks the model,
/// rather than the path.
fn lacks_model(body: &[u8]) -> bool {
    let answer: Value = serde_json::from_slice(body).unwrap_or_default();
    // Some engines have the fields of the error at the top level.
    let error = answer.get("error").unwrap_or(&answer);
    error["code"] == "model_not_found" || error["type"] == "NotFoundError"
}

fn is_json_document(body: &[u8]) -> bool {
    serde_json::from_slice::<IgnoredAny>(body).is_ok()
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
