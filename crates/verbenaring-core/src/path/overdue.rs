//! Waits for the head of an answer, and decides when it will not come.
//!
//! A call is given up only if it may be sent again and there is a place for it elsewhere.
//! The decision about silent servers is in [`verbenaring_policy::dispatch::silence`].

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use tokio::time::Instant;
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::dispatch::silence::{AnswerWait, ServerSigns, WaitVerdict};
use verbenaring_policy::id::VmId;
use verbenaring_policy::time::Moment;

use super::call::{AttemptRole, CallOrigin, PendingCall, TriedTargets};
use super::exchange::AttemptRequest;
use crate::node::FrontNode;
use crate::upstream::pool::{ConnectionLease, SendError};
use crate::wire::WireProtocol;

/// Time without an answer after which a repeatable call is judged, as a multiple of the
/// predicted time to its first event or answer.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
/// Time added to that multiple, because predictions do not include calls that
/// other VMs have just sent.
const RESPONSE_TIMEOUT_SLACK: Duration = Duration::from_millis(400);
/// Time between two judgements.
const JUDGE_INTERVAL: Duration = Duration::from_millis(100);

/// Attempt that may be given up.
struct OverdueAttempt<'a> {
    call: &'a PendingCall,
    tried: &'a TriedTargets,
    role: AttemptRole,
    server: Option<ServerKey>,
    vm: Option<&'a VmId>,
    limit: Duration,
    wait: AnswerWait,
}

impl<P: WireProtocol> FrontNode<P> {
    /// Sends an attempt and waits for the head of its answer.
    pub(super) async fn await_answer(
        self: &Arc<Self>,
        call: &PendingCall,
        tried: &TriedTargets,
        attempt: AttemptRequest,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        let limit = attempt.forecast * RESPONSE_TIMEOUT_FACTOR + RESPONSE_TIMEOUT_SLACK;
        let sent_at = self.clock.now();
        let vm = attempt.vm.clone();
        let role = attempt.role;
        let server = attempt.work.map(|work| work.key);
        let mut overdue = OverdueAttempt {
            call,
            tried,
            role,
            server,
            vm: vm.as_ref(),
            limit,
            wait: AnswerWait::new(limit, sent_at),
        };
        let sending = self.send_attempt(call, attempt);
        tokio::pin!(sending);
        let mut judged_at = Instant::now() + limit;
        loop {
            tokio::select! {
                sent = sending.as_mut() => return sent,
                () = tokio::time::sleep_until(judged_at) => {}
            }
            judged_at = Instant::now() + JUDGE_INTERVAL;
            // A call that waits until its server has stated its start has not been sent.
            let is_sent = vm.is_some() || call.running.includes(role);
            if is_sent && !call.may_repeat_after_attempt() {
                continue;
            }
            if let Some(reason) = self.judge_attempt(&mut overdue) {
                return Err(match is_sent {
                    true => SendError::Broken(reason),
                    false => SendError::NoConnection(reason),
                });
            }
        }
    }

    /// Returns why an attempt is given up; `None` if it goes on waiting.
    fn judge_attempt(self: &Arc<Self>, attempt: &mut OverdueAttempt<'_>) -> Option<String> {
        let now = self.clock.now();
        let overlaps = attempt.call.route.kind.may_overlap();
        let silence = match (attempt.server, attempt.vm) {
            (Some(server), _) if !overlaps => {
                let signs = self.lock().servers.signs(server);
                self.judge_server(server, signs.unwrap_or_default(), attempt, now)?
            }
            // The VM judges the server to which it has sent the stream.
            (None, Some(vm)) if !overlaps && self.is_vm_live(vm) => return None,
            _ => Duration::ZERO,
        };
        let reason = format!(
            "no answer within {:?}, server silent for {silence:?}",
            attempt.limit
        );
        self.can_repeat(attempt, now).then_some(reason)
    }

    /// Returns for how long a server has been silent if its answer will not come.
    fn judge_server(
        self: &Arc<Self>,
        server: ServerKey,
        signs: ServerSigns,
        attempt: &mut OverdueAttempt<'_>,
        now: Moment,
    ) -> Option<Duration> {
        match attempt.wait.judge(signs, now) {
            WaitVerdict::Wait => None,
            WaitVerdict::Silent => {
                if self.lock().servers.begin_check(server, now) {
                    let node = self.clone();
                    tokio::spawn(node.check_silent_server(server));
                }
                None
            }
            WaitVerdict::GiveUp => Some(signs.silence(attempt.wait.sent_at(), now)),
        }
    }

    /// Whether the call of an attempt may be sent elsewhere now, as far as this VM can tell.
    fn can_repeat(&self, attempt: &OverdueAttempt<'_>, now: Moment) -> bool {
        let OverdueAttempt { call, tried, .. } = attempt;
        let is_sent = call.running.includes(attempt.role);
        if call.origin == CallOrigin::Vm {
            return call.forwarded_repeatable || !is_sent;
        }
        let mut state = self.lock();
        if is_sent && !state.allows_retry(&call.service, now) {
            return false;
        }
        if self.can_use_peer(call, tried, &state, now) {
            return true;
        }
        let tried = TriedTargets {
            servers: tried
                .servers
                .iter()
                .copied()
                .chain(attempt.server)
                .collect(),
            ..TriedTargets::default()
        };
        let local = self.place_locally(call, &tried, false, &mut state, now);
        local.is_ok_and(|placement| !state.servers.is_silent(placement.key, now))
            || self.best_region(call, &tried, &[], &state, now).is_some()
    }
}

impl PendingCall {
    /// Whether the call may run at a further server if an attempt that is about to be made
    /// has no answer. An attempt that is made at the same time counts as well.
    pub(super) fn may_repeat_after_attempt(&self) -> bool {
        let runs = self.runs.load(Ordering::Relaxed) + self.running.count().max(1);
        let more = runs < self.max_attempts || self.forwarded_repeatable;
        self.route.kind.is_repeatable() && more
    }
}
