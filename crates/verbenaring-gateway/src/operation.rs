//! Calls that must run at most once.
//!
//! [`OperationLedger`] is the state machine that decides the next step; this
//! module performs its actions: store access, connection, request and reply.
//! The driver runs in its own task, so that the outcome is recorded even if
//! the caller disconnects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::{Response, StatusCode};
use tokio::sync::oneshot;
use tokio::time::Instant;
use uuid::Uuid;
use verbenaring_core::path::framing::AnswerFraming;
use verbenaring_core::upstream::reset::EndWatcher;
use verbenaring_policy::id::{AttemptId, Digest, ServerId};
use verbenaring_policy::ledger::{
    LedgerAction, LedgerEvent, LedgerReport, OperationAttempt, OperationLedger, OutcomeReason,
};
use verbenaring_policy::operation::{IdempotencyKey, KeyError, ReadAnswer, RecordState};
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::header;
use verbenaring_protocol::node::OperationStatus;

use crate::admit::AdmissionGuard;
use crate::answer::{caller_answer, header_text};
use crate::attempt::{AttemptConnection, AttemptRequest, EchoRule, ReceiverKind};
use crate::body::AnswerBody;
use crate::check::may_be_cut;
use crate::controller::{AnswerResult, NodeCore};
use crate::records::operation_key;
use crate::refusal::Refusal;
use crate::route::RouteTarget;
use crate::store::PlatformStore;
use crate::timeline::EventKind;
use crate::work::PendingWork;

/// Largest answer body that is buffered for a call that runs at most once.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Delay before the first retry when the store has not confirmed the final state
/// of a record; it doubles with each retry up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Answer of a backend server, held until the ledger reports the outcome.
type HeldAnswer = Response<AnswerBody>;

/// Performs the actions of the ledger for one attempt.
struct OperationDriver<S: PlatformStore> {
    core: Arc<NodeCore<S>>,
    work: PendingWork,
    store_key: String,
    attempt: AttemptId,
    connection: Option<AttemptConnection>,
    /// Server that runs the call; `None` if another node chooses it.
    server: Option<ServerId>,
    answer: Option<HeldAnswer>,
    reply: Option<oneshot::Sender<AnswerResult>>,
    /// Admission of the request; dropped when the caller is answered.
    admission: Option<AdmissionGuard>,
}

/// Runs a call at most once under the idempotency key `key`.
///
/// The call is refused without a valid key. Otherwise a task drives the attempt
/// to its end, also if this future is dropped.
pub async fn run_operation<S: PlatformStore>(
    core: &Arc<NodeCore<S>>,
    work: PendingWork,
    key: Option<&str>,
    admission: AdmissionGuard,
) -> AnswerResult {
    let key_text = key.ok_or_else(|| {
        invalid_key("this call may not be repeated: send a UUID of version 7 as Idempotency-Key")
    })?;
    let key = IdempotencyKey::parse(key_text).map_err(|error| invalid_key(&error.to_string()))?;
    let attempt = AttemptId(Uuid::new_v4());
    let digest = request_digest(key_text, &work);
    let (reply, outcome) = oneshot::channel();
    let driver = OperationDriver {
        core: core.clone(),
        store_key: operation_key(&work.entry.terms.customer, key_text),
        work,
        attempt,
        connection: None,
        server: None,
        answer: None,
        reply: Some(reply),
        admission: Some(admission),
    };
    core.operations.spawn(driver.drive(OperationAttempt {
        key,
        digest,
        attempt,
    }));
    let lost_refusal = Refusal::unknown("operation_lost", "operation ended without an outcome");
    outcome.await.unwrap_or(Err(lost_refusal))
}

/// Reads the outcome of an operation from its record in the platform store.
///
/// Fails if `key_text` is no valid idempotency key or the store does not answer.
pub async fn read_operation<S: PlatformStore>(
    core: &NodeCore<S>,
    customer: &verbenaring_policy::id::CustomerId,
    key_text: &str,
) -> Result<OperationStatus, Refusal> {
    IdempotencyKey::parse(key_text).map_err(|error| invalid_key(&error.to_string()))?;
    let found = match core.records.read(&operation_key(customer, key_text)).await {
        ReadAnswer::Found(found) => found,
        ReadAnswer::Lost => {
            let message = "platform store did not answer";
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(Refusal {
                status,
                ..Refusal::unknown("store_unreachable", message)
            }
            .with_retry_after(1));
        }
    };
    let (state, outcome, status) = match found.map(|stored| stored.record.state) {
        // A claim may still be on its way to the store, so a missing record
        // does not prove that the operation did not run.
        None => ("absent", RunOutcome::Unknown, None),
        Some(RecordState::Claimed) => ("claimed", RunOutcome::Unknown, None),
        Some(RecordState::Done(status)) => ("done", RunOutcome::Ran, Some(status)),
        Some(RecordState::Abandoned) => ("abandoned", RunOutcome::NotRun, None),
    };
    Ok(OperationStatus {
        key: key_text.to_owned(),
        state: state.to_owned(),
        outcome,
        status,
    })
}

impl<S: PlatformStore> OperationDriver<S> {
    async fn drive(mut self, attempt: OperationAttempt) {
        let (mut ledger, actions) = OperationLedger::start(attempt, self.core.clock.unix_ms());
        let mut pending = VecDeque::from(actions);
        let mut retry_delay = INITIAL_RETRY_DELAY;
        loop {
            while let Some(action) = pending.pop_front() {
                let Some(event) = self.perform(action).await else {
                    continue;
                };
                pending.extend(ledger.on(event, self.core.clock.unix_ms()));
            }
            if ledger.is_closed() {
                break;
            }
            if !ledger.awaits_store() {
                log::error!(
                    "operation attempt {} stopped: its ledger is open but has no next action",
                    self.attempt
                );
                break;
            }
            tokio::time::sleep(retry_delay).await;
            retry_delay = (2 * retry_delay).min(MAX_RETRY_DELAY);
            pending.extend(ledger.on(LedgerEvent::StoreReturned, self.core.clock.unix_ms()));
        }
    }

    async fn perform(&mut self, action: LedgerAction) -> Option<LedgerEvent> {
        match action {
            LedgerAction::Write(write) => {
                let answer = self.core.records.write(&self.store_key, write).await;
                Some(LedgerEvent::Written(write.serial, answer))
            }
            LedgerAction::Read(serial) => {
                let answer = self.core.records.read(&self.store_key).await;
                Some(LedgerEvent::Read(serial, answer))
            }
            LedgerAction::Connect => {
                self.record_event(EventKind::OperationClaimed);
                Some(self.connect().await)
            }
            LedgerAction::Send => Some(self.send().await),
            LedgerAction::Report(report) => {
                self.answer_report(report);
                None
            }
        }
    }

    async fn connect(&mut self) -> LedgerEvent {
        if self.work.check_deadline().is_err() {
            return LedgerEvent::GaveUp;
        }
        let core = self.core.clone();
        let routed = core.route_once(&self.work);
        let (address, served_by) = match &routed {
            Ok(RouteTarget::Server(chosen)) => {
                let terms = &chosen.terms;
                self.server = Some(terms.server.clone());
                (
                    terms.address,
                    Some(format!("{}/{}", core.settings.vm, terms.server)),
                )
            }
            Ok(RouteTarget::Peer(peer)) => {
                if core
                    .sign_forward(&mut self.work, peer, self.attempt)
                    .is_none()
                {
                    return LedgerEvent::Unsent;
                }
                (peer.peer_address, None)
            }
            Err(_) => return LedgerEvent::Unsent,
        };
        match core.client.connect(address, served_by, routed.ok()).await {
            Ok(connection) => {
                self.connection = Some(connection);
                LedgerEvent::Connected
            }
            Err(failure) => {
                log::info!(
                    "operation attempt {} not sent: {}",
                    self.attempt,
                    failure.message
                );
                LedgerEvent::Unsent
            }
        }
    }

    async fn send(&mut self) -> LedgerEvent {
        let Some(connection) = self.connection.take() else {
            return LedgerEvent::Unsent;
        };
        self.record_event(EventKind::AttemptSent);
        let forwarded = connection.is_peer();
        let path = if forwarded {
            &self.work.forward_path
        } else {
            &self.work.path
        };
        let request = AttemptRequest {
            address: connection.address,
            attempt: self.attempt,
            method: &self.work.method,
            path,
            headers: &self.work.headers,
            body: self.work.body.clone(),
            echo: if forwarded {
                EchoRule::Required
            } else {
                EchoRule::IfPresent
            },
            receiver: if forwarded {
                ReceiverKind::Node
            } else {
                ReceiverKind::Server
            },
        };
        let served_by = connection.served_by.clone();
        let answer = match connection.send(&request, self.work.deadline).await {
            Ok(answer) => answer,
            Err(failure) => {
                log::warn!(
                    "operation attempt {} has an unknown outcome: {}",
                    self.attempt,
                    failure.message
                );
                return LedgerEvent::Broken;
            }
        };
        let (mut head, upstream) = answer.into_parts();
        let end = head.extensions.remove::<EndWatcher>();
        let outcome = header_text(&head.headers, header::OUTCOME);
        match outcome.as_deref().filter(|_| forwarded) {
            Some("not_run") => return LedgerEvent::Refused,
            Some("unknown") => return LedgerEvent::Broken,
            _ => {}
        }
        let framing = AnswerFraming::of(&head.headers, &upstream);
        let limited = Limited::new(upstream, MAX_ANSWER_BYTES);
        match tokio::time::timeout_at(self.work.deadline, limited.collect()).await {
            Ok(Ok(_)) if self.ended_with_answer(framing, end).await => {
                log::warn!(
                    "operation attempt {} has an unknown outcome: the answer may be cut",
                    self.attempt
                );
                LedgerEvent::Broken
            }
            Ok(Ok(body)) => {
                let body = AnswerBody::Full(Some(body.to_bytes()));
                let served_by = served_by.or_else(|| header_text(&head.headers, header::SERVED_BY));
                self.answer = Some(caller_answer(head.status, &head.headers, body, served_by));
                LedgerEvent::Finished(head.status.as_u16())
            }
            _ => LedgerEvent::Broken,
        }
    }

    /// Whether the end of an answer is that of its server or of a connection that was reset,
    /// so that the answer may have been cut.
    async fn ended_with_answer(&self, framing: AnswerFraming, end: Option<EndWatcher>) -> bool {
        if framing != AnswerFraming::Connection {
            return false;
        }
        let backends = &self.core.backends;
        let server = self.server.as_ref();
        may_be_cut(
            server.and_then(|server| backends.serving_address(server)),
            end,
        )
        .await
    }

    fn answer_report(&mut self, report: LedgerReport) {
        self.admission = None;
        let outcome = match (report.reason, self.answer.take()) {
            (OutcomeReason::Finished(_), Some(answer)) => {
                self.record_event(EventKind::OperationDone);
                self.core.metrics.requests.with_label_values(&["ran"]).inc();
                let elapsed = Instant::now() - self.work.accepted;
                self.core
                    .metrics
                    .request_seconds
                    .observe(elapsed.as_secs_f64());
                Ok(answer)
            }
            _ => Err(refusal_for_report(report)),
        };
        if let Some(reply) = self.reply.take() {
            // Fails if the caller disconnected; the record keeps the outcome.
            let _ = reply.send(outcome);
        }
    }

    fn record_event(&self, kind: EventKind) {
        self.core
            .timeline
            .record(kind, &self.work.request_id, Some(self.attempt));
    }
}

fn invalid_key(message: &str) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "invalid_idempotency_key", message)
}

/// Digest of a request, keyed with its idempotency key.
///
/// The key is known only to the caller and is not stored, so the content of a
/// request with few possible values cannot be guessed from the stored digest.
fn request_digest(key: &str, work: &PendingWork) -> Digest {
    let secret = blake3::derive_key("verbenaring operation digest 1", key.as_bytes());
    let mut content = format!("{} {}\n", work.method, work.forward_path).into_bytes();
    content.extend_from_slice(&work.body);
    Digest::keyed(&secret, &content)
}

/// Refusal that tells the caller why the ledger returned no answer.
fn refusal_for_report(report: LedgerReport) -> Refusal {
    let (status, code, message) = match report.reason {
        OutcomeReason::Key(error @ KeyError::Expired) => (
            StatusCode::BAD_REQUEST,
            "idempotency_key_expired",
            error.to_string(),
        ),
        OutcomeReason::Key(error) => (
            StatusCode::BAD_REQUEST,
            "invalid_idempotency_key",
            error.to_string(),
        ),
        OutcomeReason::DigestMismatch => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            "the idempotency key was used for another request".into(),
        ),
        OutcomeReason::InProgress => (
            StatusCode::CONFLICT,
            "operation_in_progress",
            "another attempt holds the operation; ask for its outcome later".into(),
        ),
        OutcomeReason::AlreadyDone(status) => (
            StatusCode::CONFLICT,
            "operation_done",
            format!("the operation ran before and was answered with status {status}"),
        ),
        OutcomeReason::StoreUnreachable => (
            StatusCode::SERVICE_UNAVAILABLE,
            "store_unreachable",
            "the operation could not be claimed in the platform store".into(),
        ),
        OutcomeReason::GaveUp => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline_exceeded",
            "deadline passed before the operation ended".into(),
        ),
        OutcomeReason::Refused => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_backend",
            "no backend server took the operation".into(),
        ),
        OutcomeReason::Broken | OutcomeReason::Finished(_) => (
            StatusCode::BAD_GATEWAY,
            "backend_failed",
            "the connection broke after the operation was sent".into(),
        ),
    };
    let refusal = Refusal::not_run(status, code, message).with_outcome(report.outcome);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        refusal.with_retry_after(1)
    } else {
        refusal
    }
}
