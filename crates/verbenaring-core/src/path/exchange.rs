//! One attempt of a call: sends it to a server or a VM and reads the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use verbenaring_policy::dispatch::build::BuildId;
use verbenaring_policy::dispatch::server::{CallOutcome, InFlightCall};
use verbenaring_policy::id::VmId;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::header;

use super::call::{
    ATTEMPTS_HEADER, AttemptRole, BUILD_HEADER, ELAPSED_HEADER, NO_CONTACT_HEADER, PendingCall,
    REACHED_SERVER_HEADER, REPEATABLE_HEADER, TriedTargets, strip_connection_headers,
};
use super::choose::{CallTarget, ChosenServer, ChosenVm};
use super::collect::{CollectError, collect_answer};
use super::framing::{AnswerFraming, is_final};
use super::work::WorkGuard;
use crate::node::FrontNode;
use crate::upstream::pool::{ConnectOptions, ConnectionLease, SendError};
use crate::upstream::request_body::RequestBody;
use crate::wire::{AnswerKind, AttemptMetadata, WireProtocol};

/// Idle time after which a connection is not reused for a call that must not be
/// repeated: the server may have closed it without this VM knowing.
const UNREPEATABLE_MAX_IDLE: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not reused for other calls.
const MAX_IDLE: Duration = Duration::from_secs(15);
/// Engine priority of an urgent call, to which the rank of its route is added.
/// Lower priorities run first.
const URGENT_BASE_PRIORITY: u8 = 2;
/// Largest route rank that is added.
const MAX_ROUTE_RANK: u8 = 4;
/// Engine priority of a call that cannot meet its goal, behind all urgent ones.
const LATE_PRIORITY: u8 = 8;

/// Result of one attempt.
pub enum AttemptOutcome<P: WireProtocol> {
    /// The whole answer has been read.
    Whole(Response<Bytes>),
    /// The head of a stream has been read.
    Stream(Box<UpstreamStream<P>>),
    /// The whole answer has been read and its status is a server error.
    Failed(Response<Bytes>),
    /// The call was certainly not run.
    NotRun {
        /// Reason, for logs.
        reason: String,
        /// Whether the call reached a server.
        reached_server: bool,
    },
    /// The call was not sent after a connection had been opened.
    Withdrawn {
        /// Reason, for logs.
        reason: String,
        /// Whether it is to be sent to another server.
        excluded: bool,
    },
    /// No usable answer arrived; the call may have run.
    Broken {
        /// Reason, for logs.
        reason: String,
    },
}

/// Stream from a server or VM whose head has been read.
pub struct UpstreamStream<P: WireProtocol> {
    /// Head of the answer.
    pub head: Parts,
    /// Body, whose events have not been read yet.
    pub body: Incoming,
    /// Framing of the body.
    pub framing: AnswerFraming,
    /// Accounts for the work at the server; empty for a stream from another VM.
    pub guard: WorkGuard<P>,
    /// Connection, to be released after the last event.
    pub lease: ConnectionLease,
    /// VM that forwards the stream; `None` if it comes from a server.
    pub vm: Option<VmId>,
    /// Software version of the server; `None` if the VM does not state it.
    pub build: Option<BuildId>,
}

/// Request of an attempt with its destination.
pub(crate) struct AttemptRequest {
    pub(crate) request: Request<RequestBody>,
    pub(crate) address: std::net::SocketAddr,
    pub(crate) options: ConnectOptions,
    pub(super) vm: Option<VmId>,
    pub(super) forecast: Duration,
    pub(crate) role: AttemptRole,
    /// Work at a server; `None` if the target is a VM.
    pub(crate) work: Option<InFlightCall>,
}

impl<P: WireProtocol> FrontNode<P> {
    /// Sends a call to its target and waits for the whole answer, or for the
    /// head of a stream.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        call: &PendingCall,
        target: CallTarget,
        tried: &TriedTargets,
        last_event_id: Option<&str>,
        role: AttemptRole,
    ) -> AttemptOutcome<P> {
        let (attempt, mut guard) = match target {
            CallTarget::Server(server) => {
                let attempt = self.server_request(call, &server, last_event_id);
                let attempt = AttemptRequest { role, ..attempt };
                (attempt, WorkGuard::at_server(self, call, &server))
            }
            CallTarget::Vm(vm) => {
                let guard = WorkGuard::at_vm(self, vm.forecast);
                (self.vm_request(call, vm, last_event_id), guard)
            }
        };
        let vm = attempt.vm.clone();
        let target = if vm.is_some() { "vm" } else { "server" };
        let sent = self.await_answer(call, tried, attempt).await;
        let (outcome, result) = match sent {
            Ok((answer, lease)) => {
                self.report_skipped(call, &lease);
                self.read_answer(call, answer, lease, vm.clone(), guard)
                    .await
            }
            Err(SendError::NoConnection(reason)) => {
                guard.set_end(CallOutcome::Refused);
                if let Some(server) = guard.server() {
                    self.record_unreached(server);
                }
                if let Some(vm) = &vm {
                    let now = self.clock.now();
                    self.lock().vms.record_unreachable(vm, now);
                }
                let reached_server = false;
                (
                    AttemptOutcome::NotRun {
                        reason,
                        reached_server,
                    },
                    "not_run",
                )
            }
            Err(error @ (SendError::NoReport(_) | SendError::Withdrawn)) => {
                let excluded = matches!(error, SendError::NoReport(_));
                guard.withdraw();
                let reason = error.to_string();
                (AttemptOutcome::Withdrawn { reason, excluded }, "not_run")
            }
            Err(SendError::Broken(reason)) => {
                guard.set_end(CallOutcome::Broken);
                (AttemptOutcome::Broken { reason }, "unknown")
            }
        };
        if let AttemptOutcome::NotRun { .. } | AttemptOutcome::Withdrawn { .. } = outcome {
            call.running.set(role, false);
        }
        let attempts = &self.metrics.attempts;
        attempts.with_label_values(&[target, result]).inc();
        outcome
    }

    fn report_skipped(&self, call: &PendingCall, lease: &ConnectionLease) {
        let skipped = lease.take_skipped_answers();
        self.metrics.skipped_answers.inc_by(u64::from(skipped));
        if skipped == 0 {
            return;
        }
        if let Some(suppressed) = self.allow_log_line(true) {
            log::info!(request = call.metadata.attempt_id.as_str(), copies = skipped,
                suppressed_lines = suppressed; "copies of earlier answers skipped");
        }
    }

    async fn read_answer(
        self: &Arc<Self>,
        call: &PendingCall,
        answer: Response<Incoming>,
        lease: ConnectionLease,
        vm: Option<VmId>,
        mut guard: WorkGuard<P>,
    ) -> (AttemptOutcome<P>, &'static str) {
        let (head, body) = answer.into_parts();
        if !is_final(head.status) {
            guard.set_end(CallOutcome::Broken);
            let reason = format!("{} is not the status of an answer", head.status.as_u16());
            return (AttemptOutcome::Broken { reason }, "unknown");
        }
        if let Some(outcome) = vm_outcome(&head) {
            let reason = format!("the VM answered {} {outcome:?}", head.status);
            let reached_server = head.headers.contains_key(REACHED_SERVER_HEADER);
            if let Some(vm) = vm.filter(|_| head.headers.contains_key(NO_CONTACT_HEADER)) {
                let now = self.clock.now();
                self.lock().vms.record_no_contact(&vm, &call.service, now);
            }
            drain(body, lease);
            return match outcome {
                RunOutcome::NotRun => (
                    AttemptOutcome::NotRun {
                        reason,
                        reached_server,
                    },
                    "not_run",
                ),
                _ => (AttemptOutcome::Broken { reason }, "unknown"),
            };
        }
        let near_vm = vm.as_ref().is_some_and(|vm| self.is_in_region(vm));
        if let Some(server) = guard.current_server() {
            self.record_reached(server);
            let now = self.clock.now();
            self.lock().servers.record_heard(server, now);
        } else if near_vm {
            self.lock().servers.record_peer_contact(&call.service);
        }
        let attempt_id = &call.metadata.attempt_id;
        let kind = P::classify_answer(head.status, &head.headers, attempt_id, lease.is_reused());
        let framing = AnswerFraming::of(&head.headers, &body);
        if kind == AnswerKind::Ran {
            guard.record_begun(framing);
        }
        let statement = P::read_statement(head.status, &head.headers, attempt_id);
        if let Some(statement) = statement {
            if guard.server().is_some() || near_vm {
                self.record_brittleness(&call.service, statement.brittle);
            }
            match (guard.current_server(), guard.server()) {
                (Some(server), _) => self.record_statement(server, statement),
                (None, None) => self.record_passed_statement(&head.headers, statement),
                // The next process of the server has stated nothing.
                (None, Some(_)) => {}
            }
        }
        match kind {
            AnswerKind::NotRun | AnswerKind::WrongServer => {
                guard.set_end(match kind {
                    AnswerKind::NotRun => CallOutcome::Failed,
                    _ => CallOutcome::Refused,
                });
                if let (AnswerKind::NotRun, Some(server)) = (kind, guard.current_server()) {
                    let now = self.clock.now();
                    self.lock().servers.record_call_refused(server, now);
                }
                let reason = format!("the server answered {} not run", head.status);
                drain(body, lease);
                let reached_server = true;
                (
                    AttemptOutcome::NotRun {
                        reason,
                        reached_server,
                    },
                    "not_run",
                )
            }
            AnswerKind::Foreign => {
                guard.set_end(CallOutcome::Broken);
                let reason = format!("the answer {} is not to this call", head.status);
                (AttemptOutcome::Broken { reason }, "foreign")
            }
            AnswerKind::Ran if head.status.is_success() && call.route.kind.is_stream() => {
                let stream = UpstreamStream {
                    build: self.origin_build(&guard, &head),
                    framing,
                    head,
                    body,
                    guard,
                    lease,
                    vm,
                };
                (AttemptOutcome::Stream(Box::new(stream)), "stream")
            }
            AnswerKind::Ran => {
                self.read_whole_answer(call, head, body, framing, lease, guard)
                    .await
            }
        }
    }

    /// Software version that has begun a stream; `None` if its server turned out to be
    /// another process than the one that has shown its version.
    fn origin_build(&self, guard: &WorkGuard<P>, head: &Parts) -> Option<BuildId> {
        match guard.server() {
            Some(server) => {
                let shown = self.lock().servers.build_of(server);
                guard.build().filter(|build| shown == Some(*build))
            }
            None => stated_build(head),
        }
    }

    async fn read_whole_answer(
        &self,
        call: &PendingCall,
        mut head: Parts,
        body: Incoming,
        framing: AnswerFraming,
        lease: ConnectionLease,
        mut guard: WorkGuard<P>,
    ) -> (AttemptOutcome<P>, &'static str) {
        let mut collected = collect_answer(body, &self.answer_memory).await;
        if collected.is_ok()
            && self
                .ended_with_answer(framing, guard.server(), &lease)
                .await
        {
            collected = Err(CollectError::Ended);
        }
        let body = match collected {
            Ok(body) => body,
            Err(error) => {
                // Too little memory here says nothing about the server.
                guard.set_end(match error {
                    CollectError::NoMemory => CallOutcome::Abandoned,
                    _ => CallOutcome::Broken,
                });
                let reason = format!("the answer broke off: {error}");
                return (AttemptOutcome::Broken { reason }, "unknown");
            }
        };
        guard.record_first_event();
        lease.release();
        strip_connection_headers(&mut head.headers);
        self.name_server(call, guard.current_server(), None, &mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        let failed = head.status.is_server_error();
        let answer = Response::from_parts(head, body);
        match failed {
            true => {
                guard.set_end(CallOutcome::Failed);
                (AttemptOutcome::Failed(answer), "failed")
            }
            false => {
                guard.set_end(CallOutcome::Good);
                (AttemptOutcome::Whole(answer), "ok")
            }
        }
    }

    fn server_request(
        &self,
        call: &PendingCall,
        server: &ChosenServer,
        last_event_id: Option<&str>,
    ) -> AttemptRequest {
        let engine = call.service_settings.cache_tokens.is_some();
        let priority = match server.work.urgent {
            true => URGENT_BASE_PRIORITY + call.rank().min(MAX_ROUTE_RANK),
            false => LATE_PRIORITY,
        };
        let metadata = AttemptMetadata {
            remaining: call.remaining(),
            server: Some(&server.id),
            priority: engine.then_some(priority),
            cache_source: server.cache_source,
            last_event_id,
        };
        let max_idle = match call.route.kind.is_repeatable() {
            true => MAX_IDLE,
            false => UNREPEATABLE_MAX_IDLE,
        };
        AttemptRequest {
            request: build_request::<P>(call, &metadata),
            address: server.address,
            options: ConnectOptions {
                connect_timeout: Duration::from_millis(self.settings.tuning.connect_ms),
                max_idle,
                probe: false,
            },
            vm: None,
            forecast: server.forecast,
            role: AttemptRole::First,
            work: Some(server.work),
        }
    }

    fn vm_request(
        &self,
        call: &PendingCall,
        vm: ChosenVm,
        last_event_id: Option<&str>,
    ) -> AttemptRequest {
        let metadata = AttemptMetadata {
            remaining: call.remaining(),
            server: None,
            priority: None,
            cache_source: None,
            last_event_id,
        };
        let mut request = build_request::<P>(call, &metadata);
        let headers = request.headers_mut();
        let elapsed = call.received_at.elapsed().as_millis() as u64;
        headers.insert(ELAPSED_HEADER, HeaderValue::from(elapsed));
        if let Some(BuildId(build)) = call.build.get() {
            headers.insert(BUILD_HEADER, HeaderValue::from(*build));
        }
        // Only this VM retries; the other one sends the call once.
        headers.insert(ATTEMPTS_HEADER, HeaderValue::from(1));
        let now = self.clock.now();
        if call.may_repeat_after_attempt() && self.lock().allows_retry(&call.service, now) {
            headers.insert(REPEATABLE_HEADER, HeaderValue::from(1));
        }
        AttemptRequest {
            request,
            address: vm.address,
            options: ConnectOptions {
                connect_timeout: Duration::from_millis(self.settings.tuning.far_connect_ms),
                max_idle: MAX_IDLE,
                probe: true,
            },
            vm: Some(vm.vm),
            forecast: vm.forecast,
            role: AttemptRole::First,
            work: None,
        }
    }
}

fn build_request<P: WireProtocol>(
    call: &PendingCall,
    metadata: &AttemptMetadata<'_>,
) -> Request<RequestBody> {
    let mut request = Request::new(call.body());
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    P::write_attempt(request.headers_mut(), metadata);
    request
}

/// Software version that a VM states for the server of a stream.
fn stated_build(head: &Parts) -> Option<BuildId> {
    let stated = head.headers.get(BUILD_HEADER)?.to_str().ok()?;
    stated.parse().ok().map(BuildId)
}

/// Outcome that a VM states in an answer that it generated itself; `None` for an
/// answer of a server.
fn vm_outcome(head: &Parts) -> Option<RunOutcome> {
    let stated = head.headers.get(header::OUTCOME)?.as_bytes();
    let all = [RunOutcome::NotRun, RunOutcome::Unknown, RunOutcome::Ran];
    let known = all
        .iter()
        .find(|outcome| outcome.as_str().as_bytes() == stated);
    // An outcome that this version does not know does not rule out a run.
    Some(known.copied().unwrap_or(RunOutcome::Unknown))
}

/// Reads and discards a body so that the connection can be reused.
///
/// The call goes on meanwhile: a refusal whose body stalls must not use up its
/// time.
fn drain(body: Incoming, lease: ConnectionLease) {
    /// Limit on the body that is read. Refusals are short, and reading a longer
    /// body costs more than opening a new connection.
    const MAX_REFUSAL_BYTES: usize = 16 * 1024;
    /// Time limit for reading it.
    const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
    tokio::spawn(async move {
        let discarded = Limited::new(body, MAX_REFUSAL_BYTES).collect();
        if let Ok(Ok(_)) = tokio::time::timeout(DRAIN_TIMEOUT, discarded).await {
            lease.release();
        }
    });
}
