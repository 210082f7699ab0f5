//! Admission of callers' calls while engines have too little room for all.
//!
//! The decision is [`verbenaring_policy::dispatch::shortage`]. It is taken once a call, where
//! the call would be sent to a server of the region. A call that is not admitted goes to a
//! region with room or is refused at once.

use std::time::Duration;

use rand::Rng;
use verbenaring_policy::dispatch::place::Placement;
use verbenaring_policy::dispatch::shortage::Admission;
use verbenaring_policy::time::Moment;

use super::call::{CallOrigin, PendingCall, TriedTargets};
use super::choose::CallTarget;
use super::refusal::CallRefusal;
use crate::node::FrontNode;
use crate::state::FrontState;
use crate::wire::WireProtocol;

/// `Retry-After` of a call that is not admitted, in ms: the time in which the rates of work
/// change noticeably.
const RETRY_AFTER_MS: std::ops::Range<u64> = 500..1_500;

impl<P: WireProtocol> FrontNode<P> {
    /// Decides whether a call is sent to the server of `placement`. If not, it returns the
    /// VM of another region that takes the call, or the refusal.
    pub(super) fn admit(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        placement: &Placement,
        state: &mut FrontState,
        now: Moment,
    ) -> Result<Option<CallTarget>, CallRefusal> {
        let target = self.settings.tuning.dispatch.target_busy;
        let is_engine = call.service_settings.cache_tokens.is_some();
        if target <= 0.0 || !is_engine || call.origin == CallOrigin::Vm || call.continues_stream() {
            return Ok(None);
        }
        if call.admitted.get().is_some() {
            return Ok(None);
        }
        let (busy, servers) = state
            .servers
            .mean_busy(&call.service, &call.service_settings, now)
            .unwrap_or_default();
        let gate = state.shortage.entry(call.service.clone()).or_default();
        let rank = call.call_rank();
        gate.record_asked(rank, placement.unread_tokens, now);
        let admission = gate.admission(rank, busy, target, now);
        let mut rng = rand::rng();
        let admitted = rng.random::<f64>() < admission.part;
        let _ = call.admitted.set(admitted);
        if admitted {
            return Ok(None);
        }
        if let Some(target) = self.forward_excess(call, tried, admission, servers, state, now) {
            return Ok(Some(target));
        }
        let wait = Duration::from_millis(rng.random_range(RETRY_AFTER_MS));
        Err(CallRefusal::busy("shortage", wait))
    }

    /// Target in a region that has room for a call that is not admitted here.
    fn forward_excess(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        admission: Admission,
        servers: u16,
        state: &mut FrontState,
        now: Moment,
    ) -> Option<CallTarget> {
        let settings = &self.settings.tuning.dispatch;
        let offer = self.best_region(call, tried, &[], state, now)?;
        let part = admission.spill_part(offer.busy, settings.target_busy, (servers, offer.servers));
        let in_time = offer.forecast < call.route.goal.mul_f64(settings.goal_margin);
        if !in_time || rand::rng().random::<f64>() >= part {
            return None;
        }
        let vm = self.pick_vm(call, tried, &offer.region, |_| true, state, now)?;
        Some(self.forward_to_region(call, vm, &offer, state, now))
    }
}
