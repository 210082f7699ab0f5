//! One attempt of a call at a server or a VM.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use tokio::time::Instant;
use verbenaring_policy::dispatch::server::{CallOutcome, InFlightCall, ServerKey};
use verbenaring_policy::id::VmId;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::header;

use super::call::{ARRIVED, ATTEMPTS, ELAPSED_MS, PendingCall, strip_connection};
use super::choose::{CallTarget, ChosenServer, ChosenVm};
use crate::node::FrontNode;
use crate::upstream::pool::{ConnectOptions, ConnectionLease, SendFault};
use crate::wire::{AnswerKind, AttemptMetadata, WireProtocol};

/// Largest answer that is held until it is whole.
const MAX_WHOLE_BYTES: usize = 8 * 1024 * 1024;
/// Idle time after which a connection is not used again for a call that must
/// not be repeated: the server may have closed it without this VM knowing.
const ONCE_MAX_IDLE: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not used again for other calls.
const MAX_IDLE: Duration = Duration::from_secs(15);
/// Wait for a repeatable call beyond which a server counts as silent, as a
/// multiple of the prediction.
const SILENCE_FACTOR: u32 = 3;
/// Wait that is added to it. Predictions do not see what other VMs have just sent.
const SILENCE_SLACK: Duration = Duration::from_millis(400);
/// Time between checks whether a VM with a forwarded call still reports.
const PRESENCE_CHECK: Duration = Duration::from_millis(250);
/// Rank of an urgent call at an engine, before the rank of its route is added.
const URGENT_PRIORITY: u8 = 2;
/// Highest rank that is added.
const MAX_ROUTE_RANK: u8 = 4;
/// Rank of a call that cannot meet its goal; it takes what others leave.
const LATE_PRIORITY: u8 = 8;

/// How an attempt ended.
pub enum AttemptEnd<B: WireProtocol> {
    /// Whole answer.
    Whole(Response<Bytes>),
    /// Stream that has begun.
    Stream(Box<BegunStream<B>>),
    /// Whole answer by which the server says that it failed.
    Failed(Response<Bytes>),
    /// The call was not run.
    NotRun {
        /// Reason, for logs.
        reason: String,
        /// Whether a server saw the call.
        arrived: bool,
    },
    /// The call may have run.
    Broken {
        /// Reason, for logs.
        reason: String,
    },
}

/// Stream whose head has arrived.
pub struct BegunStream<B: WireProtocol> {
    /// Head of the answer.
    pub head: Parts,
    /// Events.
    pub body: Incoming,
    /// Work at the server; none for a stream from another VM.
    pub guard: WorkGuard<B>,
    /// Connection; returned after the last event.
    pub lease: ConnectionLease,
    /// VM that passes the stream on.
    pub vm: Option<VmId>,
}

/// Work counted at a server, until dropped.
pub struct WorkGuard<B: WireProtocol> {
    node: Arc<FrontNode<B>>,
    work: Option<InFlightCall>,
    sent: Instant,
    forecast: Duration,
    answered: bool,
    end: CallOutcome,
}

impl<B: WireProtocol> WorkGuard<B> {
    fn new(node: &Arc<FrontNode<B>>, work: Option<InFlightCall>, forecast: Duration) -> Self {
        Self {
            node: node.clone(),
            work,
            sent: Instant::now(),
            forecast,
            answered: false,
            end: CallOutcome::Abandoned,
        }
    }

    /// Counts the first event or the answer.
    pub fn record_first(&mut self) {
        if self.answered {
            return;
        }
        self.answered = true;
        let Some(work) = &self.work else {
            return;
        };
        let now = self.node.clock.now();
        self.node.lock().servers.record_first_event(work, now);
        let error = self.sent.elapsed().abs_diff(self.forecast);
        let metrics = &self.node.metrics;
        metrics.forecast_error.observe(error.as_secs_f64());
    }

    /// Sets how the call ended.
    pub fn set_end(&mut self, end: CallOutcome) {
        self.end = end;
    }

    /// Server of the work.
    pub fn server(&self) -> Option<ServerKey> {
        self.work.map(|work| work.key)
    }
}

impl<B: WireProtocol> Drop for WorkGuard<B> {
    fn drop(&mut self) {
        if let Some(work) = &self.work {
            let now = self.node.clock.now();
            let mut state = self.node.lock();
            state.servers.record_end(work, self.answered, self.end, now);
        }
    }
}

/// Where an attempt is sent.
struct AttemptRoute {
    request: Request<Full<Bytes>>,
    address: std::net::SocketAddr,
    rules: ConnectOptions,
    vm: Option<VmId>,
    forecast: Duration,
}

impl<B: WireProtocol> FrontNode<B> {
    /// Sends a call to its target and waits for the answer or the first part.
    pub(crate) async fn attempt(
        self: &Arc<Self>,
        call: &PendingCall,
        target: CallTarget,
        last_event_id: Option<&str>,
    ) -> AttemptEnd<B> {
        let (route, mut guard) = match target {
            CallTarget::Server(server) => {
                let route = self.server_request(call, &server, last_event_id);
                let guard = WorkGuard::new(self, Some(server.work), server.forecast);
                (route, guard)
            }
            CallTarget::Vm(vm) => {
                let guard = WorkGuard::new(self, None, vm.forecast);
                (self.vm_request(call, vm, last_event_id), guard)
            }
        };
        let vm = route.vm.clone();
        let target = if vm.is_some() { "vm" } else { "server" };
        let silence = call.may_run_again().then(|| {
            let next = call.runs.load(Ordering::Relaxed) + 1;
            let limit = route.forecast * SILENCE_FACTOR + SILENCE_SLACK;
            (next < call.attempts).then_some(limit)
        });
        call.in_doubt.store(true, Ordering::Relaxed);
        let end = self.await_answer(call, route, silence.flatten()).await;
        let (end, result) = match end {
            Ok((answer, lease)) => self.read_answer(call, answer, lease, vm, guard).await,
            Err(SendFault::NoConnection(reason)) => {
                guard.set_end(CallOutcome::Refused);
                let arrived = false;
                (AttemptEnd::NotRun { reason, arrived }, "not_run")
            }
            Err(SendFault::Broken(reason)) => {
                guard.set_end(CallOutcome::Broken);
                (AttemptEnd::Broken { reason }, "unknown")
            }
        };
        if let AttemptEnd::NotRun { .. } = end {
            call.in_doubt.store(false, Ordering::Relaxed);
        }
        let attempts = &self.metrics.attempts;
        attempts.with_label_values(&[target, result]).inc();
        end
    }

    async fn await_answer(
        self: &Arc<Self>,
        call: &PendingCall,
        route: AttemptRoute,
        silence: Option<Duration>,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendFault> {
        let sending = self.pool.send(route.address, route.request, route.rules);
        tokio::pin!(sending);
        let silent_at = silence.map(|silence| Instant::now() + silence);
        let silent = tokio::time::sleep_until(silent_at.unwrap_or(call.limit));
        tokio::pin!(silent);
        loop {
            tokio::select! {
                sent = sending.as_mut() => return sent,
                () = silent.as_mut(), if silent_at.is_some() => {
                    return Err(SendFault::Broken(format!("no answer within {silence:?}")));
                }
                () = tokio::time::sleep(PRESENCE_CHECK), if route.vm.is_some() => {
                    if route.vm.as_ref().is_some_and(|vm| !self.is_vm_live(vm)) {
                        return Err(SendFault::Broken("the VM no longer reports".to_owned()));
                    }
                }
            }
        }
    }

    async fn read_answer(
        self: &Arc<Self>,
        call: &PendingCall,
        answer: Response<Incoming>,
        lease: ConnectionLease,
        vm: Option<VmId>,
        mut guard: WorkGuard<B>,
    ) -> (AttemptEnd<B>, &'static str) {
        let (head, body) = answer.into_parts();
        if let Some(outcome) = vm_outcome(&head) {
            let reason = format!("the VM answered {} {outcome:?}", head.status);
            let arrived = head.headers.contains_key(ARRIVED);
            drain(body, lease).await;
            return match outcome {
                RunOutcome::NotRun => (AttemptEnd::NotRun { reason, arrived }, "not_run"),
                _ => (AttemptEnd::Broken { reason }, "unknown"),
            };
        }
        let said = B::classify_answer(head.status, &head.headers, &call.facts.attempt_id);
        match said {
            AnswerKind::NotRun | AnswerKind::WrongServer => {
                guard.set_end(match said {
                    AnswerKind::NotRun => CallOutcome::Failed,
                    _ => CallOutcome::Refused,
                });
                let reason = format!("the server answered {} not run", head.status);
                drain(body, lease).await;
                let arrived = true;
                (AttemptEnd::NotRun { reason, arrived }, "not_run")
            }
            AnswerKind::Foreign => {
                guard.set_end(CallOutcome::Broken);
                let reason = format!("the answer {} is not to this call", head.status);
                (AttemptEnd::Broken { reason }, "foreign")
            }
            AnswerKind::Ran if head.status.is_success() && call.route.kind.is_stream() => {
                let stream = BegunStream {
                    head,
                    body,
                    guard,
                    lease,
                    vm,
                };
                (AttemptEnd::Stream(Box::new(stream)), "stream")
            }
            AnswerKind::Ran => read_whole(head, body, lease, guard).await,
        }
    }

    fn server_request(
        &self,
        call: &PendingCall,
        server: &ChosenServer,
        last_event_id: Option<&str>,
    ) -> AttemptRoute {
        let engine = call.terms.cache_tokens.is_some();
        let priority = match server.work.urgent {
            true => URGENT_PRIORITY + call.route.rank.min(MAX_ROUTE_RANK),
            false => LATE_PRIORITY,
        };
        let facts = AttemptMetadata {
            remaining: call.left(),
            server: Some(&server.id),
            priority: engine.then_some(priority),
            cache_source: server.donor,
            last_event_id,
        };
        let max_idle = match call.route.kind.is_repeatable() {
            true => MAX_IDLE,
            false => ONCE_MAX_IDLE,
        };
        AttemptRoute {
            request: request_of::<B>(call, &facts),
            address: server.address,
            rules: ConnectOptions {
                connect_timeout: Duration::from_millis(self.settings.tuning.connect_ms),
                max_idle,
            },
            vm: None,
            forecast: server.forecast,
        }
    }

    fn vm_request(
        &self,
        call: &PendingCall,
        vm: ChosenVm,
        last_event_id: Option<&str>,
    ) -> AttemptRoute {
        let facts = AttemptMetadata {
            remaining: call.left(),
            server: None,
            priority: None,
            cache_source: None,
            last_event_id,
        };
        let mut request = request_of::<B>(call, &facts);
        let headers = request.headers_mut();
        let elapsed = call.arrived.elapsed().as_millis() as u64;
        headers.insert(ELAPSED_MS, HeaderValue::from(elapsed));
        // This VM decides on repeats; the other one sends the call once.
        headers.insert(ATTEMPTS, HeaderValue::from(1));
        AttemptRoute {
            request,
            address: vm.address,
            rules: ConnectOptions {
                connect_timeout: Duration::from_millis(self.settings.tuning.far_connect_ms),
                max_idle: MAX_IDLE,
            },
            vm: Some(vm.vm),
            forecast: vm.forecast,
        }
    }
}

fn request_of<B: WireProtocol>(
    call: &PendingCall,
    facts: &AttemptMetadata<'_>,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.path.clone();
    *request.headers_mut() = call.headers.clone();
    B::write_attempt(request.headers_mut(), facts);
    request
}

/// Outcome that a VM states for an answer of its own.
fn vm_outcome(head: &Parts) -> Option<RunOutcome> {
    let stated = head.headers.get(header::OUTCOME)?.as_bytes();
    let all = [RunOutcome::NotRun, RunOutcome::Unknown, RunOutcome::Ran];
    let known = all
        .iter()
        .find(|outcome| outcome.as_str().as_bytes() == stated);
    // An outcome that this version does not know promises nothing.
    Some(known.copied().unwrap_or(RunOutcome::Unknown))
}

async fn drain(body: Incoming, lease: ConnectionLease) {
    /// Refusals are short; a longer body is not worth its connection.
    const MAX_REFUSAL_BYTES: usize = 16 * 1024;
    if Limited::new(body, MAX_REFUSAL_BYTES)
        .collect()
        .await
        .is_ok()
    {
        lease.release();
    }
}

async fn read_whole<B: WireProtocol>(
    mut head: Parts,
    body: Incoming,
    lease: ConnectionLease,
    mut guard: WorkGuard<B>,
) -> (AttemptEnd<B>, &'static str) {
    let body = match Limited::new(body, MAX_WHOLE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            guard.set_end(CallOutcome::Broken);
            let reason = format!("the answer broke off: {error}");
            return (AttemptEnd::Broken { reason }, "unknown");
        }
    };
    guard.record_first();
    lease.release();
    strip_connection(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    let failed = head.status.is_server_error();
    let answer = Response::from_parts(head, body);
    match failed {
        true => {
            guard.set_end(CallOutcome::Failed);
            (AttemptEnd::Failed(answer), "failed")
        }
        false => {
            guard.set_end(CallOutcome::Good);
            (AttemptEnd::Whole(answer), "ok")
        }
    }
}
