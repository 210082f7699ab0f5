//! Which server or VM gets a call.
//!
//! The own region comes first; see [`verbenaring_policy::dispatch`] for the
//! decisions. A call that another VM forwarded is served in this region or
//! refused, so that no call is forwarded twice.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use verbenaring_policy::dispatch::place::{Placement, PlacementError, RegionVms};
use verbenaring_policy::dispatch::presence::VmRecord;
use verbenaring_policy::dispatch::server::InFlightCall;
use verbenaring_policy::dispatch::spill::{RegionForecast, RemoteRegion, TimeBudget, should_spill};
use verbenaring_policy::id::{RegionName, ServerId, VmId};
use verbenaring_policy::time::Moment;

use super::call::{CallOrigin, PendingCall, TriedTargets};
use super::refusal::CallRefusal;
use crate::node::FrontNode;
use crate::state::FrontState;
use crate::wire::WireProtocol;

/// Time after its start in which a VM has heard the others of its region: the
/// report intervals and their first, lost datagrams.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Wait that is suggested when no server takes calls, in ms. Servers come back
/// within seconds; the range spreads the callers.
const NO_SERVER_WAIT_MS: std::ops::Range<u64> = 400..800;
/// Wait that is suggested while servers are cold: half of the second over which
/// their calls are counted.
const PACED_WAIT: Duration = Duration::from_millis(500);
/// Shortest wait that is suggested to a caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Part by which a suggested wait is prolonged at random, so that the callers
/// of one moment do not return together.
const RETRY_SPREAD: f64 = 0.25;

/// Where a call goes.
#[derive(Debug)]
pub enum CallTarget {
    /// Backend server.
    Server(ChosenServer),
    /// VM of another region.
    Vm(ChosenVm),
}

/// Chosen backend server; its work is already counted.
#[derive(Debug)]
pub struct ChosenServer {
    /// Identity.
    pub id: ServerId,
    /// Address.
    pub address: SocketAddr,
    /// Counted work.
    pub work: InFlightCall,
    /// Predicted time to the first event or the answer.
    pub forecast: Duration,
    /// Server from which shared parts can be copied.
    pub donor: Option<SocketAddr>,
}

/// Chosen VM of another region.
#[derive(Debug)]
pub struct ChosenVm {
    /// Name.
    pub vm: VmId,
    /// Address for forwarded calls.
    pub address: SocketAddr,
    /// Predicted time to the first event or the answer.
    pub forecast: Duration,
    /// Part of their time that the servers of its region spend reading prompts.
    pub busy: f64,
    /// Age of the report behind the prediction.
    pub age: Duration,
}

impl<B: WireProtocol> FrontNode<B> {
    /// Chooses a target for a call or refuses it.
    pub(crate) fn choose(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
    ) -> Result<CallTarget, CallRefusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let local = self.place_here(call, tried, state, now);
        let remote = match call.origin {
            CallOrigin::Caller => self.best_region(call, tried, state, now),
            CallOrigin::Vm => None,
        };
        let left = call.left();
        let chosen = match (local, remote) {
            (Ok(placement), Some((vm, work))) => {
                let here = RegionForecast {
                    first_event: placement.forecast,
                    busy: placement.busy,
                };
                let there = RegionForecast {
                    first_event: vm.forecast,
                    busy: vm.busy,
                };
                let session = call.spread(&self.place.region);
                let times = TimeBudget {
                    goal: call.route.goal,
                    left,
                };
                let terms = &self.settings.tuning.dispatch;
                match should_spill(terms, here, there, times, session) {
                    true => Ok(self.leave(call, vm, work, state, now)),
                    false => Ok(self.stay(call, tried, &placement, state, now)),
                }
            }
            (Ok(placement), None) => Ok(self.stay(call, tried, &placement, state, now)),
            (Err(_), Some((vm, work))) if vm.forecast < left => {
                Ok(self.leave(call, vm, work, state, now))
            }
            (Err(fault), _) => Err(refuse(call, &fault)),
        };
        chosen.and_then(|target| target.ok_or_else(|| refuse(call, &PlacementError::NoServer)))
    }

    fn place_here(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        state: &mut FrontState,
        now: Moment,
    ) -> Result<Placement, PlacementError> {
        if !call.route.allows(&self.place.region) {
            return Err(PlacementError::NoServer);
        }
        let live = state.cohort(now);
        let cohort = RegionVms {
            own: state.own(),
            live: &live,
            peers_known: now.since(Moment::default()) >= SETTLE_TIME,
        };
        state
            .servers
            .place(&call.demand(&tried.servers), &cohort, now)
    }

    fn stay(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        placement: &Placement,
        state: &mut FrontState,
        now: Moment,
    ) -> Option<CallTarget> {
        let facts = state.servers.entry(placement.key)?;
        let (id, address) = (facts.id.clone(), facts.address);
        let routine_lines = self.settings.tuning.routine_lines_per_s;
        if let Some(suppressed) = state.lines.take(routine_lines, now) {
            log::info!(request = call.facts.attempt_id.as_str(), route = call.route.name.as_str(),
                routes_version = self.routes.load().version(), server:% = id,
                entry_revision = facts.revision, urgent = placement.urgent,
                unread = placement.unread_tokens, ahead = placement.queued_ahead, busy = placement.busy,
                forecast_ms = placement.forecast.as_millis() as u64,
                copied = placement.copy_source.is_some(), suppressed_lines = suppressed; "call placed");
        }
        let demand = call.demand(&tried.servers);
        let work = state.servers.record_sent(placement, &demand, now);
        Some(CallTarget::Server(ChosenServer {
            id,
            address,
            work,
            forecast: placement.forecast,
            donor: placement.copy_source,
        }))
    }

    fn leave(
        &self,
        call: &PendingCall,
        vm: ChosenVm,
        work: (RegionName, Duration),
        state: &mut FrontState,
        now: Moment,
    ) -> Option<CallTarget> {
        state.spill.record(&work.0, &call.service, work.1, now);
        let routine_lines = self.settings.tuning.routine_lines_per_s;
        if let Some(suppressed) = state.lines.take(routine_lines, now) {
            log::info!(request = call.facts.attempt_id.as_str(), route = call.route.name.as_str(),
                routes_version = self.routes.load().version(), target:% = vm.vm, region:% = work.0,
                busy = vm.busy, forecast_ms = vm.forecast.as_millis() as u64,
                report_age_ms = vm.age.as_millis() as u64,
                suppressed_lines = suppressed; "call forwarded");
        }
        Some(CallTarget::Vm(vm))
    }

    /// VM of the region with the earliest predicted answer.
    fn best_region(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        state: &FrontState,
        now: Moment,
    ) -> Option<(ChosenVm, (RegionName, Duration))> {
        let usable = |record: &&VmRecord| {
            record.centre.region != self.place.region
                && record.takes_calls(now)
                && call.route.allows(&record.centre.region)
                && !tried.vms.contains(&record.vm)
                && state
                    .servers
                    .has_server(&record.centre.region, &call.service)
        };
        let live = state.vms.live(now).map(|(_, record)| record);
        let vms: Vec<&VmRecord> = live.filter(usable).collect();
        let work = state
            .servers
            .uncached_read_time(&call.demand(&tried.servers));
        let busy_limit = self.settings.tuning.dispatch.busy_limit(call.route.rank);
        let mut best: Option<(Duration, f64, &VmRecord)> = None;
        for record in &vms {
            let wait = record
                .waits
                .iter()
                .find(|wait| wait.service == call.service);
            let Some(wait) = wait else {
                continue;
            };
            let offer = RemoteRegion {
                region: &record.centre.region,
                wait: Duration::from_millis(u64::from(wait.wait_ms)),
                servers: wait.servers,
            };
            let forecast = state.spill.predict(&offer, &call.service, work, now);
            let busy = f64::from(wait.busy_percent) / 100.0;
            if busy > busy_limit {
                continue;
            }
            // Less work counts as long as the goal can be met.
            let meets_goal = forecast < call.route.goal;
            let better = |(known, known_busy, _): (Duration, f64, _)| match meets_goal {
                true => known >= call.route.goal || busy < known_busy,
                false => forecast < known,
            };
            if best.is_none_or(better) {
                best = Some((forecast, busy, record));
            }
        }
        let (forecast, busy, record) = best?;
        let region = &record.centre.region;
        // The VMs of a region report nearly the same wait; any of them serves.
        let same: Vec<&&VmRecord> = vms
            .iter()
            .filter(|other| other.centre.region == *region)
            .collect();
        let record = same.choose(&mut rand::rng())?;
        let vm = ChosenVm {
            vm: record.vm.clone(),
            address: record.peer_address,
            forecast,
            busy,
            age: now.since(record.received_at),
        };
        Some((vm, (region.clone(), work)))
    }
}

fn refuse(call: &PendingCall, fault: &PlacementError) -> CallRefusal {
    let mut rng = rand::rng();
    let spread = rng.random_range(1.0..1.0 + RETRY_SPREAD);
    let later = |wait: Duration| wait.max(MIN_RETRY_AFTER).mul_f64(spread);
    match fault {
        PlacementError::NoServer => {
            let wait = rng.random_range(NO_SERVER_WAIT_MS);
            CallRefusal::busy("no_server", Duration::from_millis(wait))
        }
        PlacementError::Paced => CallRefusal::busy("servers_cold", later(PACED_WAIT)),
        PlacementError::Saturated { until } => CallRefusal::busy("saturated", later(*until)),
        PlacementError::Overloaded { forecast } => {
            let turn = forecast.saturating_sub(call.route.goal / 2);
            CallRefusal::busy("overloaded", later(turn))
        }
    }
}
