//! The story of a call.
//!
//! Accepted, matched with a route, placed, sent, repeated where its route
//! allows it, answered. Every call gets its final answer when its time is over
//! at the latest, and at once when nothing more can be done for it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HOST};
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, timeout, timeout_at};
use verbenaring_policy::dispatch::prompt::name_hash;

use super::call::{ATTEMPTS, CallOrigin, ELAPSED_MS, PendingCall, TriedTargets, strip_connection};
use super::choose::CallTarget;
use super::exchange::{AttemptEnd, BegunStream};
use super::refusal::CallRefusal;
use super::relay::StreamRelay;
use crate::caller::body::AnswerBody;
use crate::node::FrontNode;
use crate::wire::{CallMetadata, WireProtocol};

/// Most targets of one call, those that were not reached included.
const MAX_TARGETS: usize = 6;
/// Time limit for a body. Longer ones come from callers that have stopped.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait that is suggested while the VM has no configuration.
const STARTING_WAIT: Duration = Duration::from_millis(300);
/// Wait that is suggested by a VM that stops; other VMs serve the call.
const STOPPING_WAIT: Duration = Duration::from_millis(20);
/// Wait that is suggested to a call whose time ended before it was sent.
const UNSENT_WAIT: Duration = Duration::from_millis(100);

/// Call that a server has answered.
pub enum SettledCall<B: WireProtocol> {
    /// Whole answer.
    Whole(Response<Bytes>),
    /// Stream that has begun.
    Stream(Box<BegunStream<B>>),
}

impl<B: WireProtocol> FrontNode<B> {
    /// Answers a call.
    pub async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        origin: CallOrigin,
    ) -> Response<AnswerBody> {
        self.metrics.open_calls.inc();
        let _open = OpenCall(self.clone());
        let started = Instant::now();
        let (parts, body) = request.into_parts();
        let facts = match B::read_call(&parts.headers) {
            Ok(facts) => facts,
            Err(reason) => {
                log::warn!(reason = reason.as_str(); "call cannot be read");
                let refusal = CallRefusal::not_run(StatusCode::BAD_REQUEST, "bad_request");
                return self.refuse(&CallMetadata::default(), &refusal, started);
            }
        };
        let attempt = facts.clone();
        match self.accept(parts, body, facts, origin, started).await {
            Ok(call) => self.run(call).await,
            Err(refusal) => self.refuse(&attempt, &refusal, started),
        }
    }

    async fn accept(
        &self,
        parts: Parts,
        body: Incoming,
        facts: CallMetadata,
        origin: CallOrigin,
        started: Instant,
    ) -> Result<PendingCall, CallRefusal> {
        if !self.is_configured() {
            return Err(CallRefusal::busy("starting", STARTING_WAIT));
        }
        let routes = self.routes.load_full();
        let host = parts.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.map_or("", host_name);
        let path = parts.uri.path();
        let route = routes.find(host, path).cloned();
        let route = route.ok_or_else(|| match origin {
            CallOrigin::Caller => CallRefusal::not_run(StatusCode::NOT_FOUND, "no_route"),
            // The sender knows the route; this VM has an older version.
            CallOrigin::Vm => CallRefusal::busy("no_route_yet", STARTING_WAIT),
        })?;
        let session = facts.prompt.iter().rev().nth(1).or(facts.prompt.first());
        let hash = session.map_or_else(|| name_hash(&facts.attempt_id), |part| part.id);
        let service = route.service(hash).cloned();
        let terms = service.and_then(|service| {
            let terms = routes.service(&service)?.clone();
            Some((service, terms))
        });
        let (service, terms) =
            terms.ok_or_else(|| CallRefusal::busy("no_service", STARTING_WAIT))?;
        let body = read_body(body, routes.document().limits.body_bytes).await?;
        let number = |name: &str| {
            let value = parts.headers.get(name)?.to_str().ok()?;
            value.parse::<u64>().ok()
        };
        let elapsed = Duration::from_millis(number(ELAPSED_MS).unwrap_or_default());
        let left = facts.timeout.unwrap_or(route.timeout);
        let limit = (started + left).min(started + route.timeout.saturating_sub(elapsed));
        if !self.can_finish(limit) {
            return Err(CallRefusal::busy("stopping", STOPPING_WAIT));
        }
        let attempts = number(ATTEMPTS).map_or(route.attempts, |attempts| attempts as u32);
        let mut headers = parts.headers;
        B::strip_internal_headers(&mut headers);
        strip_connection(&mut headers);
        headers.remove(CONTENT_LENGTH);
        let call = PendingCall {
            service,
            terms,
            method: parts.method,
            path: parts.uri,
            headers,
            body,
            origin,
            arrived: started.checked_sub(elapsed).unwrap_or(started),
            limit,
            attempts: attempts.max(1),
            runs: AtomicU32::new(0),
            in_doubt: AtomicBool::new(false),
            seen: AtomicBool::new(false),
            facts,
            route,
        };
        if origin == CallOrigin::Caller {
            let now = self.clock.now();
            self.lock().record_call(&call.service, now);
        }
        Ok(call)
    }

    async fn run(self: &Arc<Self>, call: PendingCall) -> Response<AnswerBody> {
        let call = Arc::new(call);
        let mut tried = TriedTargets::default();
        let last = call.facts.last_event_id.as_deref();
        let trying = self.try_targets(&call, &mut tried, last);
        let settled = timeout_at(call.limit, trying).await;
        match settled {
            Ok(Ok(SettledCall::Stream(begun))) => StreamRelay::start(self, &call, tried, begun),
            Ok(Ok(SettledCall::Whole(answer))) => {
                self.observe_first(&call);
                self.report_answer(&call, answer.status());
                answer.map(AnswerBody::whole)
            }
            Ok(Err(refusal)) => self.refuse_call(&call, refusal),
            Err(_) => {
                let refusal = match call.in_doubt.load(Ordering::Relaxed) {
                    true => CallRefusal::unknown(StatusCode::GATEWAY_TIMEOUT, "timed_out"),
                    false => CallRefusal::busy("not_sent_in_time", UNSENT_WAIT),
                };
                self.refuse_call(&call, refusal)
            }
        }
    }

    fn refuse_call(&self, call: &PendingCall, refusal: CallRefusal) -> Response<AnswerBody> {
        let refusal = CallRefusal {
            seen: call.origin == CallOrigin::Vm && call.seen.load(Ordering::Relaxed),
            ..refusal
        };
        self.refuse(&call.facts, &refusal, call.arrived)
    }

    /// Tries targets until one answers or none is left.
    pub(crate) async fn try_targets(
        self: &Arc<Self>,
        call: &Arc<PendingCall>,
        tried: &mut TriedTargets,
        last_event_id: Option<&str>,
    ) -> Result<SettledCall<B>, CallRefusal> {
        let mut failed = None;
        for _ in 0..MAX_TARGETS {
            let now = self.clock.now();
            let repeat = call.seen.load(Ordering::Relaxed);
            if repeat && !self.lock().take_repeat(&call.service, now) {
                let refusal = CallRefusal::busy("repeat_budget", UNSENT_WAIT);
                return give_up(call, failed, refusal);
            }
            let target = match self.choose(call, tried) {
                Ok(target) => target,
                Err(refusal) => return give_up(call, failed, refusal),
            };
            let name = target_name(&target);
            let target_key = TargetKey::of(&target);
            let reason = match self.attempt(call, target, last_event_id).await {
                AttemptEnd::Whole(answer) => return Ok(SettledCall::Whole(answer)),
                AttemptEnd::Stream(begun) => return Ok(SettledCall::Stream(begun)),
                AttemptEnd::NotRun { reason, arrived } => {
                    call.seen.fetch_or(arrived, Ordering::Relaxed);
                    target_key.exclude(tried);
                    reason
                }
                AttemptEnd::Failed(answer) => {
                    call.seen.store(true, Ordering::Relaxed);
                    call.runs.fetch_add(1, Ordering::Relaxed);
                    // Many servers fail the same call again.
                    target_key.exclude(tried);
                    let reason = format!("the server failed with {}", answer.status());
                    failed = Some(answer);
                    reason
                }
                AttemptEnd::Broken { reason } => {
                    call.seen.store(true, Ordering::Relaxed);
                    call.runs.fetch_add(1, Ordering::Relaxed);
                    target_key.exclude(tried);
                    reason
                }
            };
            self.report_attempt(call, &name, &reason);
            let ran = call.runs.load(Ordering::Relaxed) > 0;
            if ran && !call.may_run_again() {
                break;
            }
        }
        let refusal = CallRefusal::busy("targets_failed", UNSENT_WAIT);
        give_up(call, failed, refusal)
    }

    fn refuse(
        &self,
        facts: &CallMetadata,
        refusal: &CallRefusal,
        started: Instant,
    ) -> Response<AnswerBody> {
        self.count_call("refused");
        let refusals = &self.metrics.refusals;
        refusals.with_label_values(&[refusal.reason]).inc();
        if let Some(suppressed) = self.take_line(true) {
            log::warn!(request = facts.attempt_id.as_str(), reason = refusal.reason,
                status = refusal.status.as_u16(), outcome = refusal.outcome.as_str(),
                retry_after_ms = refusal.retry_after.map_or(0, |wait| wait.as_millis() as u64),
                elapsed_ms = started.elapsed().as_millis() as u64,
                suppressed_lines = suppressed; "call refused");
        }
        let mut answer = refusal.answer();
        B::write_gateway_answer(answer.headers_mut(), &facts.attempt_id);
        answer
    }

    fn report_answer(&self, call: &PendingCall, status: StatusCode) {
        self.count_call("answered");
        if let Some(suppressed) = self.take_line(status.is_server_error()) {
            log::info!(request = call.facts.attempt_id.as_str(), route = call.route.name.as_str(),
                status = status.as_u16(), runs = call.runs.load(Ordering::Relaxed),
                total_ms = call.arrived.elapsed().as_millis() as u64,
                suppressed_lines = suppressed; "call answered");
        }
    }

    fn report_attempt(&self, call: &PendingCall, target: &str, reason: &str) {
        if let Some(suppressed) = self.take_line(true) {
            log::warn!(request = call.facts.attempt_id.as_str(), target = target, reason = reason,
                runs = call.runs.load(Ordering::Relaxed), attempts = call.attempts,
                left_ms = call.left().as_millis() as u64,
                suppressed_lines = suppressed; "attempt failed");
        }
    }
}

/// Target of an attempt, kept to exclude it after a failure.
enum TargetKey {
    Server(verbenaring_policy::dispatch::server::ServerKey),
    Vm(verbenaring_policy::id::VmId),
}

impl TargetKey {
    fn of(target: &CallTarget) -> Self {
        match target {
            CallTarget::Server(server) => TargetKey::Server(server.work.key),
            CallTarget::Vm(vm) => TargetKey::Vm(vm.vm.clone()),
        }
    }

    fn exclude(self, tried: &mut TriedTargets) {
        match self {
            TargetKey::Server(server) => tried.servers.push(server),
            TargetKey::Vm(vm) => tried.vms.push(vm),
        }
    }
}

fn target_name(target: &CallTarget) -> String {
    match target {
        CallTarget::Server(server) => server.id.to_string(),
        CallTarget::Vm(vm) => vm.vm.to_string(),
    }
}

/// Final answer of a call for which nothing more can be done.
fn give_up<B: WireProtocol>(
    call: &PendingCall,
    failed: Option<Response<Bytes>>,
    refusal: CallRefusal,
) -> Result<SettledCall<B>, CallRefusal> {
    if let Some(answer) = failed {
        return Ok(SettledCall::Whole(answer));
    }
    if call.runs.load(Ordering::Relaxed) > 0 {
        return Err(CallRefusal::unknown(StatusCode::BAD_GATEWAY, "broken"));
    }
    Err(refusal)
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, CallRefusal> {
    let collected = timeout(BODY_TIMEOUT, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(CallRefusal::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
        )),
        Ok(Err(_)) => Err(CallRefusal::not_run(StatusCode::BAD_REQUEST, "body_broken")),
        Err(_) => Err(CallRefusal::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
        )),
    }
}

/// Host without its port.
fn host_name(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Counts an open call until dropped.
struct OpenCall<B: WireProtocol>(Arc<FrontNode<B>>);

impl<B: WireProtocol> Drop for OpenCall<B> {
    fn drop(&mut self) {
        self.0.metrics.open_calls.dec();
    }
}
