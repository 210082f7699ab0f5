//! Tries of a request: sending, hedging and taking the answer.
//!
//! A try ends where the answer for the caller begins. Until then it can fail
//! without a trace for the caller, so a whole answer is collected first.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Response, StatusCode};
use tokio::time::Instant;
use uuid::Uuid;
use verbenaring_policy::id::AttemptId;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::header;

use crate::account::{AnswerRecord, WorkTickets};
use crate::answer::{caller_answer, header_text};
use crate::attempt::{AttemptFailure, AttemptRequest, EchoRule, ReceiverKind, is_refusal};
use crate::backend::{ChosenServer, PrintDecision};
use crate::body::AnswerBody;
use crate::config::PeerSettings;
use crate::controller::NodeCore;
use crate::event::has_foreign_identity;
use crate::guard::WorkGuard;
use crate::peer::{ForwardHead, SignedMessage};
use crate::refusal::Refusal;
use crate::relay::{RelayMode, RelayStream};
use crate::resume::ResumeSource;
use crate::route::{RouteTarget, TriedTargets};
use crate::store::PlatformStore;
use crate::timeline::EventKind;
use crate::work::{PendingWork, WorkTarget};

/// Largest answer that is collected before it is passed on.
const MAX_WHOLE_ANSWER_BYTES: usize = 16 * 1024 * 1024;

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

impl<S: PlatformStore> NodeCore<S> {
    /// Sends a try and, if no answer begins in the usual time, a second one.
    pub(crate) async fn attempt_hedged(
        &self,
        work: &PendingWork,
        target: RouteTarget,
        tried: &mut TriedTargets,
        tickets: &mut Option<WorkTickets>,
    ) -> Result<Response<AnswerBody>, AttemptFailure> {
        tried.add(&target);
        // A suspect must not run on two servers at once.
        let suspect = self.backends.decide(work) != PrintDecision::Send { alone: false };
        let delay = self
            .backends
            .hedge_delay(work)
            .filter(|_| work.forwarded.is_none() && !suspect);
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
                Err(earlier) => second.await.map_err(|failure| failure.after(&earlier))?,
            },
            head = &mut second => match head {
                Ok(head) => head,
                Err(earlier) => first.await.map_err(|failure| failure.after(&earlier))?,
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
                    guard.record_crash();
                }
                if failure.outcome == RunOutcome::NotRun {
                    guard.record_refusal();
                }
                if failure.code == "backend_unreachable" {
                    guard.record_unreachable();
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
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
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

pub(crate) fn refuse_failure(failure: AttemptFailure, outcome: RunOutcome) -> Refusal {
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
