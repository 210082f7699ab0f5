//! Life cycle of a call.
//!
//! A call is accepted, matched with a route, sent to a target, retried where
//! its route allows it, and answered. Every call gets its final answer by its
//! deadline, or as soon as no further attempt is possible.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri};
use tokio::time::{Instant, timeout_at};
use verbenaring_policy::dispatch::build::BuildId;
use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::prompt::{name_hash, short_part_id};
use verbenaring_policy::dispatch::suspect::PartVerdict;
use verbenaring_policy::time::Moment;

use super::attempts::{EndedAttempt, EndedTarget};
use super::call::{
    ATTEMPTS_HEADER, BUILD_HEADER, CallOrigin, ELAPSED_HEADER, PendingCall, REPEATABLE_HEADER,
    RunningAttempts, TriedTargets, strip_connection_headers,
};
use super::choose::CallTarget;
use super::exchange::{AttemptOutcome, UpstreamStream};
use super::refusal::CallRefusal;
use super::relay::StreamRelay;
use super::upload::read_body;
use crate::caller::body::AnswerBody;
use crate::node::FrontNode;
use crate::upstream::request_body::RequestBody;
use crate::wire::{CallMetadata, WireProtocol};

/// Limit on the targets tried for one call, including those that could not be
/// reached.
const MAX_TARGETS: usize = 6;
/// Limit on the placements of one call that are withdrawn before it is sent, as the servers
/// of a region turn out to have started again.
const MAX_WITHDRAWALS: usize = 64;
/// `Retry-After` while this VM lacks the configuration for a call.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);
/// `Retry-After` of a VM that is stopping. Short, because other VMs of the region
/// serve the call.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(20);
/// `Retry-After` for a call that was not sent before its deadline, or for which
/// no further attempt is allowed.
const UNSENT_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Answer of a server or VM that is passed on to the caller.
pub enum UpstreamAnswer<P: WireProtocol> {
    /// Answer that has been read completely.
    Whole(Response<Bytes>),
    /// Stream whose head has been read.
    Stream(Box<UpstreamStream<P>>),
}

impl<P: WireProtocol> FrontNode<P> {
    /// Processes a call from its request to its answer. The body of a stream is
    /// relayed after the return.
    pub async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        origin: CallOrigin,
    ) -> Response<AnswerBody> {
        self.metrics.open_calls.inc();
        let _open = OpenCallGuard(self.clone());
        let started = Instant::now();
        let (parts, body) = request.into_parts();
        let metadata = match P::read_call(&parts.headers) {
            Ok(metadata) => metadata,
            Err(reason) => {
                log::warn!(reason = reason.as_str(); "invalid call headers");
                let refusal = CallRefusal::not_run(StatusCode::BAD_REQUEST, "bad_request");
                return self.refuse(&CallMetadata::default(), &refusal, started);
            }
        };
        let caller_metadata = metadata.clone();
        match self.accept(parts, body, metadata, origin, started).await {
            Ok(call) => self.run(call).await,
            Err(refusal) => self.refuse(&caller_metadata, &refusal, started),
        }
    }

    async fn accept(
        &self,
        parts: Parts,
        body: Incoming,
        metadata: CallMetadata,
        origin: CallOrigin,
        started: Instant,
    ) -> Result<PendingCall, CallRefusal> {
        if !self.is_configured() {
            return Err(CallRefusal::busy("starting", STARTING_RETRY_AFTER));
        }
        let routes = self.routes.load_full();
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.map_or("", host_name);
        let path = parts.uri.path();
        let route = routes.find(host, path).cloned();
        let route = route.ok_or_else(|| match origin {
            CallOrigin::Caller => CallRefusal::not_run(StatusCode::NOT_FOUND, "no_route"),
            // The VM that forwarded the call has newer routes than this VM.
            CallOrigin::Vm => CallRefusal::busy("no_route_yet", STARTING_RETRY_AFTER),
        })?;
        let access = self.check_access(&routes, &route, &parts.headers, origin)?;
        let session = metadata
            .prompt
            .iter()
            .rev()
            .nth(1)
            .or(metadata.prompt.first());
        let hash = session.map_or_else(|| name_hash(&metadata.attempt_id), |part| part.id);
        let service = route.service(hash).cloned();
        let known_service = service.and_then(|service| {
            let service_settings = routes.service(&service)?.clone();
            Some((service, service_settings))
        });
        let (service, service_settings) =
            known_service.ok_or_else(|| CallRefusal::busy("no_service", STARTING_RETRY_AFTER))?;
        let charge = match origin {
            CallOrigin::Caller => self.charge_tenant(access.tenant.as_ref(), &metadata)?,
            CallOrigin::Vm => None,
        };
        let limit = routes.document().limits.body_bytes;
        let clients = &self.settings.tuning.clients;
        let body = read_body(body, limit, &self.client_memory, clients).await?;
        let header_number = |name: &str| {
            let value = parts.headers.get(name)?.to_str().ok()?;
            value.parse::<u64>().ok()
        };
        let elapsed = Duration::from_millis(header_number(ELAPSED_HEADER).unwrap_or_default());
        let timeout = metadata.timeout.unwrap_or(route.timeout);
        let deadline = (started + timeout).min(started + route.timeout.saturating_sub(elapsed));
        if !self.can_finish(deadline) {
            return Err(CallRefusal::busy("stopping", self.stopping_retry_after()));
        }
        let stated_attempts = header_number(ATTEMPTS_HEADER).filter(|_| origin == CallOrigin::Vm);
        let max_attempts = stated_attempts.map_or(route.attempts, |attempts| attempts as u32);
        let forwarded_repeatable =
            origin == CallOrigin::Vm && parts.headers.contains_key(REPEATABLE_HEADER);
        let build = header_number(BUILD_HEADER).filter(|_| origin == CallOrigin::Vm);
        let build = build.map(|build| BuildId(build as u32));
        let call_parts = call_parts(&parts.method, host, &parts.uri, &body, &metadata);
        let mut headers = parts.headers;
        P::strip_internal_headers(&mut headers);
        access.write_headers::<P>(&mut headers);
        strip_connection_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let call = PendingCall {
            parts: call_parts,
            service,
            service_settings,
            method: parts.method,
            uri: parts.uri,
            headers,
            body: Mutex::new(body),
            origin,
            received_at: started.checked_sub(elapsed).unwrap_or(started),
            deadline,
            max_attempts: max_attempts.max(1),
            forwarded_repeatable,
            build: build.map_or_else(OnceLock::new, OnceLock::from),
            admitted: OnceLock::new(),
            runs: AtomicU32::new(0),
            running: RunningAttempts::default(),
            reached_server: AtomicBool::new(false),
            charge,
            metadata,
            route,
            tenant: access.tenant,
            residency: access.residency,
        };
        if origin == CallOrigin::Caller {
            let now = self.clock.now();
            self.lock().retry_shares.record_call(&call.service, now);
        }
        Ok(call)
    }

    /// Suggested wait while this VM stops. If no other VM of the region takes calls,
    /// callers must look up those of another region first.
    fn stopping_retry_after(&self) -> Duration {
        match self.region_has_ready_vm() {
            true => STOPPING_RETRY_AFTER,
            false => Duration::from_secs(self.settings.tuning.directory_ttl_s),
        }
    }

    async fn run(self: &Arc<Self>, call: PendingCall) -> Response<AnswerBody> {
        let call = Arc::new(call);
        let mut tried = TriedTargets::default();
        let last_event_id = call.metadata.last_event_id.as_deref();
        let answering = async {
            self.bind_to_origin(&call).await?;
            self.try_targets(&call, &mut tried, last_event_id).await
        };
        let answered = tokio::select! {
            answered = timeout_at(call.deadline, answering) => answered.ok(),
            () = self.wait_for_last_answers() => None,
        };
        match answered {
            Some(Ok(UpstreamAnswer::Stream(stream))) => {
                StreamRelay::start(self, &call, tried, stream)
            }
            Some(Ok(UpstreamAnswer::Whole(answer))) => {
                self.observe_first_event(&call);
                self.report_answer(&call, answer.status());
                answer.map(AnswerBody::whole)
            }
            Some(Err(refusal)) => self.refuse_call(&call, refusal),
            None => {
                let refusal = match call.may_have_run() {
                    true => CallRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timed_out"),
                    false => CallRefusal::busy("not_sent_in_time", UNSENT_RETRY_AFTER),
                };
                self.refuse_call(&call, refusal)
            }
        }
    }

    fn refuse_call(&self, call: &PendingCall, refusal: CallRefusal) -> Response<AnswerBody> {
        let refusal = CallRefusal {
            reached_server: call.origin == CallOrigin::Vm
                && call.reached_server.load(Ordering::Relaxed),
            ..refusal
        };
        self.refuse(&call.metadata, &refusal, call.received_at)
    }

    /// Tries targets until one answers or no further attempt is allowed.
    pub(crate) async fn try_targets(
        self: &Arc<Self>,
        call: &Arc<PendingCall>,
        tried: &mut TriedTargets,
        last_event_id: Option<&str>,
    ) -> Result<UpstreamAnswer<P>, CallRefusal> {
        let mut failed = None;
        let mut withdrawals = 0;
        let mut targets = 0;
        // What is taken for a send also covers the one that follows its withdrawal.
        let mut withdrawn = None;
        while targets < MAX_TARGETS && withdrawals < MAX_WITHDRAWALS {
            let now = self.clock.now();
            let verdict = match withdrawn.take() {
                Some(verdict) => verdict,
                None => match self.admit_send(call, now) {
                    Ok(verdict) => verdict,
                    Err(refusal) => return final_answer(call, failed, refusal),
                },
            };
            let target = match self.choose_target(call, tried) {
                Ok(target) => target,
                Err(refusal) => return final_answer(call, failed, refusal),
            };
            let is_server = matches!(target, CallTarget::Server(_));
            if let PartVerdict::Trial { part } = verdict
                && is_server
            {
                self.lock().suspects.record_trial(part, now);
            }
            let class = self.hedge_class(call, &target);
            let ended = match class {
                None => self.attempt_once(call, target, tried, last_event_id).await,
                // Boxed, so that calls that are not hedged have no memory for two attempts.
                Some(class) => Box::pin(self.attempt_hedged(call, target, tried, class)).await,
            };
            for attempt in ended
                .earlier
                .map(|earlier| *earlier)
                .into_iter()
                .chain([ended.last])
            {
                let EndedAttempt { target, outcome } = attempt;
                targets += 1;
                let is_server = matches!(target, EndedTarget::Server { .. });
                let reason = match outcome {
                    AttemptOutcome::Whole(answer) => return Ok(UpstreamAnswer::Whole(answer)),
                    AttemptOutcome::Stream(stream) => return Ok(UpstreamAnswer::Stream(stream)),
                    AttemptOutcome::NotRun {
                        reason,
                        reached_server,
                    } => {
                        call.reached_server
                            .fetch_or(reached_server, Ordering::Relaxed);
                        let unreached = !reached_server && is_server;
                        tried.unreached_servers += usize::from(unreached);
                        target.exclude(tried);
                        reason
                    }
                    AttemptOutcome::Withdrawn { reason, excluded } => {
                        match excluded {
                            true => target.exclude(tried),
                            false => targets -= 1,
                        }
                        withdrawals += 1;
                        // A server counts as tried with the part, and no second trial is due
                        // yet.
                        withdrawn = Some(match is_server {
                            true => PartVerdict::Free,
                            false => verdict,
                        });
                        reason
                    }
                    AttemptOutcome::Failed(answer) => {
                        call.reached_server.store(true, Ordering::Relaxed);
                        call.runs.fetch_add(1, Ordering::Relaxed);
                        // A server that failed a call often fails it again.
                        target.exclude(tried);
                        let reason = format!("the server failed with {}", answer.status());
                        failed = Some(answer);
                        reason
                    }
                    AttemptOutcome::Broken { reason } => {
                        call.reached_server.store(true, Ordering::Relaxed);
                        call.runs.fetch_add(1, Ordering::Relaxed);
                        target.exclude(tried);
                        reason
                    }
                };
                self.report_attempt(call, target.name(), &reason);
            }
            call.running.clear();
            let ran = call.runs.load(Ordering::Relaxed) > 0;
            if ran && !call.may_run_again() {
                break;
            }
        }
        let refusal = CallRefusal::busy("targets_failed", UNSENT_RETRY_AFTER);
        final_answer(call, failed, refusal)
    }

    /// Takes what a call needs to be sent: a retry from the budget if it was sent before, and
    /// the verdict on its parts.
    fn admit_send(&self, call: &PendingCall, now: Moment) -> Result<PartVerdict, CallRefusal> {
        let is_retry = call.reached_server.load(Ordering::Relaxed);
        if is_retry && !self.take_retry(call, now) {
            return Err(CallRefusal::busy("repeat_budget", UNSENT_RETRY_AFTER));
        }
        match self.lock().judge_parts(&call.parts, call.origin, now) {
            PartVerdict::Refused { wait } => Err(CallRefusal::busy("quarantined", wait)),
            verdict => Ok(verdict),
        }
    }

    /// Takes a retry from the budget of the call's service; returns false if there is none.
    fn take_retry(&self, call: &PendingCall, now: Moment) -> bool {
        let (taken, vms) = {
            let mut state = self.lock();
            (
                state.try_take_retry(&call.service, now),
                state.budget_vms(now),
            )
        };
        let result = if taken.is_ok() { "taken" } else { "refused" };
        self.metrics.retries.with_label_values(&[result]).inc();
        if let Err(usage) = taken
            && let Some(suppressed) = self.allow_log_line(true)
        {
            log::warn!(request = call.metadata.attempt_id.as_str(), service:% = call.service,
                spent = usage.spent, allowed = usage.allowed, vms = vms,
                suppressed_lines = suppressed; "repeat refused: budget used up");
        }
        taken.is_ok()
    }

    fn refuse(
        &self,
        metadata: &CallMetadata,
        refusal: &CallRefusal,
        started: Instant,
    ) -> Response<AnswerBody> {
        self.count_call("refused");
        let refusals = &self.metrics.refusals;
        refusals.with_label_values(&[refusal.reason]).inc();
        if let Some(suppressed) = self.allow_log_line(true) {
            log::warn!(request = metadata.attempt_id.as_str(), reason = refusal.reason,
                status = refusal.status.as_u16(), outcome = refusal.outcome.as_str(),
                retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64),
                elapsed_ms = started.elapsed().as_millis() as u64,
                suppressed_lines = suppressed; "call refused");
        }
        let mut answer = refusal.answer();
        P::write_gateway_answer(answer.headers_mut(), &metadata.attempt_id);
        answer
    }

    fn report_answer(&self, call: &PendingCall, status: StatusCode) {
        self.count_call("answered");
        if let Some(suppressed) = self.allow_log_line(status.is_server_error()) {
            log::info!(request = call.metadata.attempt_id.as_str(), route = call.route.name.as_str(),
                status = status.as_u16(), runs = call.runs.load(Ordering::Relaxed),
                total_ms = call.received_at.elapsed().as_millis() as u64,
                suppressed_lines = suppressed; "call answered");
        }
    }

    fn report_attempt(&self, call: &PendingCall, target: &str, reason: &str) {
        if let Some(suppressed) = self.allow_log_line(true) {
            log::warn!(request = call.metadata.attempt_id.as_str(), target = target, reason = reason,
                runs = call.runs.load(Ordering::Relaxed), attempts = call.max_attempts,
                left_ms = call.remaining().as_millis() as u64,
                suppressed_lines = suppressed; "attempt failed");
        }
    }
}

/// Final answer of a call after its last attempt: the failed answer of a server
/// if there is one, else a refusal.
fn final_answer<P: WireProtocol>(
    call: &PendingCall,
    failed: Option<Response<Bytes>>,
    refusal: CallRefusal,
) -> Result<UpstreamAnswer<P>, CallRefusal> {
    if let Some(answer) = failed {
        return Ok(UpstreamAnswer::Whole(answer));
    }
    if call.runs.load(Ordering::Relaxed) > 0 {
        return Err(CallRefusal::unknown(StatusCode::BAD_GATEWAY, "broken"));
    }
    Err(refusal)
}

/// What may crash servers: the request as a whole, by method, host, target and body, and
/// the shared parts of its prompt.
fn call_parts(
    method: &Method,
    host: &str,
    uri: &Uri,
    body: &RequestBody,
    metadata: &CallMetadata,
) -> CallParts {
    let target = uri.path_and_query().map_or("", |target| target.as_str());
    let mut hasher = blake3::Hasher::new();
    for text in [method.as_str(), host, target] {
        hasher.update(text.as_bytes());
        // Separates the fields; none of them holds this byte.
        hasher.update(&[0]);
    }
    for part in body.parts() {
        hasher.update(part);
    }
    let [b0, b1, b2, b3, ..] = *hasher.finalize().as_bytes();
    let shared = metadata.prompt.split_last();
    let shared = shared.map_or(&[][..], |(_, shared)| shared);
    CallParts {
        request: u32::from_le_bytes([b0, b1, b2, b3]),
        shared: shared.iter().map(|part| short_part_id(part.id)).collect(),
    }
}

/// Host name of a `Host` header, without the port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Decrements the gauge of open calls when dropped.
struct OpenCallGuard<P: WireProtocol>(Arc<FrontNode<P>>);

impl<P: WireProtocol> Drop for OpenCallGuard<P> {
    fn drop(&mut self) {
        self.0.metrics.open_calls.dec();
    }
}
