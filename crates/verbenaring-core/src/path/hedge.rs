//! Makes a second attempt of a call that takes longer than comparable calls.
//!
//! Both attempts run until one of them has a whole answer; the other one is dropped, which
//! closes its connection. An attempt that fails does not end the other one. The decisions
//! are in [`verbenaring_policy::dispatch::hedge`].

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep_until};
use verbenaring_policy::dispatch::hedge::{HedgeClass, HedgeRefusal};
use verbenaring_policy::dispatch::server::InFlightCall;
use verbenaring_policy::dispatch::suspect::PartVerdict;

use super::attempts::{EndedAttempt, EndedAttempts, EndedTarget};
use super::call::{AttemptRole, PendingCall, TriedTargets};
use super::choose::{CallTarget, ChosenServer};
use super::exchange::AttemptOutcome;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Least time between two decisions about the same call, while hedges are withheld.
const MIN_DECISION_INTERVAL: Duration = Duration::from_millis(50);

impl<P: WireProtocol> FrontNode<P> {
    /// Calls with which this one is compared; `None` if an attempt at `target` is not to be
    /// hedged.
    pub(super) fn hedge_class(
        &self,
        call: &PendingCall,
        target: &CallTarget,
    ) -> Option<HedgeClass> {
        let is_on = self.settings.tuning.hedge.is_on();
        let hedged = is_on && matches!(target, CallTarget::Server(_)) && call.may_be_hedged();
        hedged.then(|| HedgeClass::of(&call.route.name, &call.placement_request(&[])))
    }

    /// Makes an attempt, and a second one if it takes long.
    pub(super) async fn attempt_hedged(
        self: &Arc<Self>,
        call: &PendingCall,
        target: CallTarget,
        tried: &TriedTargets,
        class: HedgeClass,
    ) -> EndedAttempts<P> {
        let CallTarget::Server(server) = &target else {
            return self.attempt_once(call, target, tried, None).await;
        };
        let began = Instant::now();
        let first_work = server.work;
        let first_target = EndedTarget::of(&target);
        let hedge_tried = TriedTargets {
            servers: [&tried.servers[..], &[first_work.key]].concat(),
            ..tried.clone()
        };
        let first = self.attempt(call, target, tried, None, AttemptRole::First);
        tokio::pin!(first);
        let chosen = tokio::select! {
            biased;
            outcome = &mut first => {
                self.record_call_time(&class, began, &outcome);
                return EndedAttempts::one(first_target, outcome);
            }
            chosen = self.await_hedge(call, &class, &hedge_tried, began) => chosen,
        };
        let hedge_work = chosen.work;
        let hedge_target = CallTarget::Server(chosen);
        let ended_target = EndedTarget::of(&hedge_target);
        self.report_hedge(call, "sent", &first_target, &ended_target, began);
        let hedge = self.attempt(call, hedge_target, &hedge_tried, None, AttemptRole::Hedge);
        tokio::pin!(hedge);
        let (first_ended, outcome) = tokio::select! {
            biased;
            outcome = &mut first => (true, outcome),
            outcome = &mut hedge => (false, outcome),
        };
        let answered = matches!(outcome, AttemptOutcome::Whole(_));
        let (ended, earlier) = match (first_ended, answered) {
            (true, true) => {
                self.record_call_time(&class, began, &outcome);
                self.record_cancelled(call, &hedge_work, AttemptRole::Hedge);
                (EndedAttempts::one(first_target, outcome), None)
            }
            (false, true) => {
                self.record_call_time(&class, began, &outcome);
                self.record_cancelled(call, &first_work, AttemptRole::First);
                self.report_hedge(call, "won", &first_target, &ended_target, began);
                return EndedAttempts::one(ended_target, outcome);
            }
            (true, false) => {
                let last = hedge.await;
                let won = matches!(last, AttemptOutcome::Whole(_));
                let result = if won { "won" } else { "lost" };
                self.report_hedge(call, result, &first_target, &ended_target, began);
                let earlier = EndedAttempt {
                    target: first_target,
                    outcome,
                };
                return EndedAttempts {
                    earlier: Some(Box::new(earlier)),
                    ..EndedAttempts::one(ended_target, last)
                };
            }
            (false, false) => {
                let last = first.await;
                self.record_call_time(&class, began, &last);
                (EndedAttempts::one(first_target, last), Some(outcome))
            }
        };
        self.report_hedge(call, "lost", &ended.last.target, &ended_target, began);
        let earlier = earlier.map(|outcome| {
            let target = ended_target;
            Box::new(EndedAttempt { target, outcome })
        });
        EndedAttempts { earlier, ..ended }
    }

    /// Waits until a second attempt is due and allowed; returns its server, to which its
    /// work has been added.
    async fn await_hedge(
        &self,
        call: &PendingCall,
        class: &HedgeClass,
        tried: &TriedTargets,
        began: Instant,
    ) -> ChosenServer {
        let Some(delay) = self.lock().hedges.delay(class) else {
            return std::future::pending().await;
        };
        let mut due_at = began + delay;
        let mut counted = false;
        loop {
            sleep_until(due_at).await;
            due_at = Instant::now() + delay.max(MIN_DECISION_INTERVAL);
            match self.choose_hedge(call, class, tried) {
                Ok(server) => return server,
                Err(reason) if !counted => {
                    counted = true;
                    let withheld = &self.metrics.withheld_hedges;
                    withheld.with_label_values(&[reason.as_str()]).inc();
                }
                Err(_) => {}
            }
        }
    }

    /// Chooses the server of a second attempt and takes it from the budgets.
    fn choose_hedge(
        &self,
        call: &PendingCall,
        class: &HedgeClass,
        tried: &TriedTargets,
    ) -> Result<ChosenServer, HedgeRefusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        if state.judge_parts(&call.parts, call.origin, now) != PartVerdict::Free {
            return Err(HedgeRefusal::Suspect);
        }
        if !state.hedges.has_credit(class.service()) {
            return Err(HedgeRefusal::Share);
        }
        let is_reached = state.servers.has_contact(&call.service);
        if !is_reached || !call.allows(&self.location.region) {
            return Err(HedgeRefusal::NoServer);
        }
        let vms = self.region_view(state, now);
        let request = call.placement_request(&tried.servers);
        let placement = state.servers.place_hedge(&request, &vms, now)?;
        let taken = state.try_take_retry(&call.service, now).is_ok();
        let result = if taken { "taken" } else { "refused" };
        self.metrics.retries.with_label_values(&[result]).inc();
        if !taken {
            return Err(HedgeRefusal::RetryBudget);
        }
        state.hedges.try_take(class.service());
        let sent = self.send_to_server(call, tried, &placement, state, now);
        sent.ok_or(HedgeRefusal::NoServer)
    }

    /// Records how long the first attempt took, or has taken when the second one answered;
    /// the answered call adds to the budget of its service.
    fn record_call_time(&self, class: &HedgeClass, began: Instant, outcome: &AttemptOutcome<P>) {
        if matches!(outcome, AttemptOutcome::Whole(_)) {
            let now = self.clock.now();
            let time = began.elapsed();
            let hedges = &mut self.lock().hedges;
            hedges.record_call(class.service());
            hedges.record_time(class, time, now);
        }
    }

    /// Records that an attempt is cancelled.
    fn record_cancelled(&self, call: &PendingCall, work: &InFlightCall, role: AttemptRole) {
        let now = self.clock.now();
        let sent = call.running.includes(role);
        self.lock().servers.record_cancelled(work, sent, now);
        let attempts = &self.metrics.attempts;
        attempts.with_label_values(&["server", "cancelled"]).inc();
    }

    fn report_hedge(
        &self,
        call: &PendingCall,
        result: &'static str,
        first: &EndedTarget,
        hedge: &EndedTarget,
        began: Instant,
    ) {
        self.metrics.hedges.with_label_values(&[result]).inc();
        if let Some(suppressed) = self.allow_log_line(false) {
            log::info!(request = call.metadata.attempt_id.as_str(), service:% = call.service,
                result = result, server = first.name(), hedge_server = hedge.name(),
                elapsed_ms = began.elapsed().as_millis() as u64,
                suppressed_lines = suppressed; "call hedged");
        }
    }
}
