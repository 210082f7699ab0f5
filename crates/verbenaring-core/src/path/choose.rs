//! Chooses the server or VM that gets a call.
//!
//! Servers in the region of this VM are preferred; the rules are in
//! [`verbenaring_policy::dispatch`]. While this VM does not reach them, a call goes
//! through another VM of the region. A call that another VM forwarded is sent to a
//! server of this region or refused, so that no call is forwarded twice.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;
use verbenaring_policy::dispatch::build::BuildId;
use verbenaring_policy::dispatch::candidate::OverloadCause;
use verbenaring_policy::dispatch::ownership::RegionView;
use verbenaring_policy::dispatch::place::{Placement, PlacementError, PlacementRequest};
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

/// Time after its start, or after it stood still, by which a VM has received reports of
/// all others in its region, even if their first datagrams were lost.
const VM_DISCOVERY_TIME: Duration = Duration::from_millis(1_500);
/// The same where relays describe the others, a few in each datagram.
const RELAYED_DISCOVERY_TIME: Duration = Duration::from_millis(5_000);
/// `Retry-After` when no server takes calls, in ms. Servers return within
/// seconds; the random value spreads the callers that come back.
const NO_SERVER_RETRY_AFTER_MS: std::ops::Range<u64> = 400..800;
/// `Retry-After` while servers are cold: half of the one-second window in which
/// their calls are counted.
const PACED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Servers that a call could not reach, after which another VM of the region tries.
const MAX_UNREACHED_SERVERS: usize = 2;
/// Other VMs that are asked for a call for which this VM has no place at brittle servers.
const MAX_PLACE_HOLDERS: usize = 5;
/// Other VMs that are asked for a call that only owners of cold servers may send.
const MAX_OWNERS: usize = 3;
/// `Retry-After` while all places at brittle servers are taken, in ms: the time of a few
/// short calls or a part of a long one.
const BRITTLE_RETRY_AFTER_MS: std::ops::Range<u64> = 200..600;
/// `Retry-After` of a VM that does not reach the servers and was asked by another one,
/// which then asks the next.
const UNREACHED_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Age from which the waits that a region stated are not used: its VMs may have lost
/// contact with their servers since.
const MAX_WAITS_AGE: Duration = Duration::from_secs(5);
/// Lower limit of `Retry-After`.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Largest random extension of `Retry-After`, as a fraction, so that callers
/// refused at the same time do not return at the same time.
const RETRY_AFTER_JITTER: f64 = 0.25;

/// Target of one attempt.
#[derive(Debug)]
pub enum CallTarget {
    /// Backend server in the region of this VM.
    Server(ChosenServer),
    /// Other VM, which sends the call to a server of its region.
    Vm(ChosenVm),
}

/// Chosen backend server. The work of the call is already added to its load.
#[derive(Debug)]
pub struct ChosenServer {
    /// Identity of the server, sent along so that another server refuses.
    pub id: ServerId,
    /// Address for calls.
    pub address: SocketAddr,
    /// Software version of the server, if its process has shown it.
    pub build: Option<BuildId>,
    /// Work added to the load of the server; removed when the call ends.
    pub work: InFlightCall,
    /// Predicted time to the first event or the whole answer.
    pub forecast: Duration,
    /// Server from which the engine can copy cached parts of the prompt; `None`
    /// if nothing is to be copied.
    pub cache_source: Option<SocketAddr>,
}

/// Chosen VM that sends the call to a server.
#[derive(Debug)]
pub struct ChosenVm {
    /// Name of the VM.
    pub vm: VmId,
    /// Address for forwarded calls.
    pub address: SocketAddr,
    /// Predicted time to the first event or the whole answer.
    pub forecast: Duration,
}

impl ChosenVm {
    fn new(record: &VmRecord, forecast: Duration) -> Self {
        Self {
            vm: record.vm.clone(),
            address: record.peer_address,
            forecast,
        }
    }
}

/// What another region can do for a call.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct RegionOffer {
    pub(super) region: RegionName,
    /// Predicted time to the first event or the whole answer.
    pub(super) forecast: Duration,
    /// Fraction of time that the servers of the region spend reading prompts.
    pub(super) busy: f64,
    /// Number of servers there.
    pub(super) servers: u16,
    /// Time that a server needs for the call.
    work: Duration,
    /// Age of the statement on which the prediction is based.
    age: Duration,
}

impl<P: WireProtocol> FrontNode<P> {
    /// Chooses a target for a call, or returns the refusal if there is none.
    pub(crate) fn choose_target(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
    ) -> Result<CallTarget, CallRefusal> {
        let now = self.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let has_contact = state.servers.has_contact(&call.service);
        if call.origin == CallOrigin::Vm && !has_contact {
            return Err(CallRefusal {
                no_contact: true,
                ..CallRefusal::busy("servers_unreached", UNREACHED_RETRY_AFTER)
            });
        }
        let region = &self.location.region;
        let mut region_vm = match has_contact && tried.unreached_servers < MAX_UNREACHED_SERVERS {
            true => None,
            false => self.pick_vm(call, tried, region, |_| true, state, now),
        };
        let mut local = self.place_locally(call, tried, region_vm.is_some(), state, now);
        if local == Err(PlacementError::Brittle) && tried.vms.len() < MAX_PLACE_HOLDERS {
            let view = state.region_view(Duration::ZERO, now);
            let has_place = |vm: &VmRecord| {
                let servers = &state.servers;
                servers.has_place(&call.service, vm.name_hash, &view, now)
            };
            region_vm = self.pick_vm(call, tried, region, has_place, state, now);
            if region_vm.is_some() {
                local = self.place_locally(call, tried, true, state, now);
            }
        }
        if local == Err(PlacementError::Paced) && tried.vms.len() < MAX_OWNERS {
            let view = state.region_view(Duration::ZERO, now);
            let request = call.placement_request(&tried.servers);
            let owns = |vm: &VmRecord| {
                let servers = &state.servers;
                servers.owns_cold_server(&request, vm.name_hash, &view, now)
            };
            region_vm = self.pick_vm(call, tried, region, owns, state, now);
            if region_vm.is_some() {
                local = self.place_locally(call, tried, true, state, now);
            }
        }
        let local_answers = region_vm.is_some() || !state.servers.is_unanswered(&call.service);
        let mut excluded = Vec::new();
        loop {
            let offer = match call.origin {
                CallOrigin::Caller => self.best_region(call, tried, &excluded, state, now),
                CallOrigin::Vm => None,
            };
            let is_better = |offer: &RegionOffer| match local_answers {
                true => self.should_forward(call, &local, offer),
                false => offer.forecast < call.remaining(),
            };
            let Some(offer) = offer.filter(is_better) else {
                let placement = match &local {
                    Ok(placement) => placement,
                    Err(error) => return Err(refusal_for(call, error)),
                };
                if let Some(target) = self.admit(call, tried, placement, state, now)? {
                    return Ok(target);
                }
                if let Some(vm) = region_vm {
                    return Ok(self.forward_in_region(call, vm, placement, state, now));
                }
                let sent = self.send_to_server(call, tried, placement, state, now);
                let sent = sent.map(CallTarget::Server);
                return sent.ok_or_else(|| refusal_for(call, &PlacementError::NoServer));
            };
            match self.pick_vm(call, tried, &offer.region, |_| true, state, now) {
                Some(vm) => return Ok(self.forward_to_region(call, vm, &offer, state, now)),
                None => excluded.push(offer.region),
            }
        }
    }

    /// Whether a call is forwarded to another region instead of the local server.
    fn should_forward(
        &self,
        call: &PendingCall,
        local: &Result<Placement, PlacementError>,
        offer: &RegionOffer,
    ) -> bool {
        let remaining = call.remaining();
        let Ok(placement) = local else {
            return offer.forecast < remaining;
        };
        let local_forecast = RegionForecast {
            first_event: placement.forecast,
            busy: placement.busy,
        };
        let remote_forecast = RegionForecast {
            first_event: offer.forecast,
            busy: offer.busy,
        };
        let session = call.session_hash(&self.location.region);
        let times = TimeBudget {
            goal: call.route.goal,
            remaining,
        };
        let settings = &self.settings.tuning.dispatch;
        should_spill(settings, local_forecast, remote_forecast, times, session)
    }

    pub(super) fn place_locally(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        through_peer: bool,
        state: &mut FrontState,
        now: Moment,
    ) -> Result<Placement, PlacementError> {
        if !call.allows(&self.location.region) {
            return Err(PlacementError::NoServer);
        }
        let vms = self.region_view(state, now);
        let request = match through_peer {
            true => PlacementRequest {
                through_peer,
                ..call.placement_request(&[])
            },
            false => call.placement_request(&tried.servers),
        };
        state.servers.place(&request, &vms, now)
    }

    /// VMs of the region, as this VM sees them.
    pub(crate) fn region_view(&self, state: &FrontState, now: Moment) -> RegionView {
        let discovery_time = match self.is_relayed() {
            true => RELAYED_DISCOVERY_TIME,
            false => VM_DISCOVERY_TIME,
        };
        state.region_view(discovery_time, now)
    }

    pub(super) fn send_to_server(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        placement: &Placement,
        state: &mut FrontState,
        now: Moment,
    ) -> Option<ChosenServer> {
        let entry = state.servers.entry(placement.key)?;
        let (id, address) = (entry.id.clone(), entry.address);
        let build = state.servers.build_of(placement.key);
        let routine_lines = self.settings.tuning.routine_lines_per_s;
        if let Some(suppressed) = state.routine_lines.try_acquire(routine_lines, now) {
            log::info!(request = call.metadata.attempt_id.as_str(), route = call.route.name.as_str(),
                routes_version = self.routes.load().version(), server:% = id,
                entry_revision = entry.revision, rank = call.rank(), urgent = placement.urgent,
                unread = placement.unread_tokens, ahead = placement.queued_ahead, busy = placement.busy,
                forecast_ms = placement.forecast.as_millis() as u64,
                copied = placement.cache_source.is_some(), suppressed_lines = suppressed; "call placed");
        }
        if placement.paced {
            self.metrics.paced_calls.inc();
            let view = state.region_view(Duration::ZERO, now);
            log::info!(request = call.metadata.attempt_id.as_str(), server:% = id,
                live_vms = view.live.len(), expected_vms = view.expected;
                "call sent to a cold server");
        }
        let request = call.placement_request(&tried.servers);
        let work = state.servers.record_sent(placement, &request, now);
        Some(ChosenServer {
            id,
            address,
            build,
            work,
            forecast: placement.forecast,
            cache_source: placement.cache_source,
        })
    }

    /// Forwards a call to a VM of this region, which reaches the servers.
    fn forward_in_region(
        &self,
        call: &PendingCall,
        record: VmRecord,
        placement: &Placement,
        state: &mut FrontState,
        now: Moment,
    ) -> CallTarget {
        let routine_lines = self.settings.tuning.routine_lines_per_s;
        if let Some(suppressed) = state.routine_lines.try_acquire(routine_lines, now) {
            log::info!(request = call.metadata.attempt_id.as_str(), route = call.route.name.as_str(),
                routes_version = self.routes.load().version(), target:% = record.vm,
                forecast_ms = placement.forecast.as_millis() as u64,
                suppressed_lines = suppressed; "call forwarded in the region");
        }
        CallTarget::Vm(ChosenVm::new(&record, placement.forecast))
    }

    pub(super) fn forward_to_region(
        &self,
        call: &PendingCall,
        record: VmRecord,
        offer: &RegionOffer,
        state: &mut FrontState,
        now: Moment,
    ) -> CallTarget {
        state
            .spilled_calls
            .record(&offer.region, &call.service, offer.work, now);
        let routine_lines = self.settings.tuning.routine_lines_per_s;
        if let Some(suppressed) = state.routine_lines.try_acquire(routine_lines, now) {
            log::info!(request = call.metadata.attempt_id.as_str(), route = call.route.name.as_str(),
                routes_version = self.routes.load().version(), target:% = record.vm, region:% = offer.region,
                busy = offer.busy, forecast_ms = offer.forecast.as_millis() as u64,
                report_age_ms = offer.age.as_millis() as u64,
                suppressed_lines = suppressed; "call forwarded");
        }
        CallTarget::Vm(ChosenVm::new(&record, offer.forecast))
    }

    /// Other region that is best for a call.
    ///
    /// Among regions that meet the goal of the call the least busy one is best,
    /// otherwise the one with the earliest predicted answer.
    pub(super) fn best_region(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        excluded: &[RegionName],
        state: &FrontState,
        now: Moment,
    ) -> Option<RegionOffer> {
        let eligible = |region: &RegionName| {
            *region != self.location.region
                && call.allows(region)
                && !excluded.contains(region)
                && state
                    .servers
                    .has_server(region, &call.service, call.build_rule(), now)
        };
        let work = state
            .servers
            .uncached_read_time(&call.placement_request(&tried.servers));
        let busy_limit = self.settings.tuning.dispatch.busy_limit(call.rank());
        let mut best: Option<RegionOffer> = None;
        for (region, stated) in state.vms.region_waits() {
            let wait = stated.waits.iter();
            let wait = wait.into_iter().find(|wait| wait.service == call.service);
            let is_fresh = now.since(stated.stated_at) < MAX_WAITS_AGE;
            let Some(wait) = wait.filter(|_| is_fresh && eligible(region)) else {
                continue;
            };
            let remote = RemoteRegion {
                region,
                wait: Duration::from_millis(u64::from(wait.wait_ms)),
                servers: wait.servers,
            };
            let forecast = state
                .spilled_calls
                .predict(&remote, &call.service, work, now);
            let busy = f64::from(wait.busy_percent) / 100.0;
            if busy > busy_limit {
                continue;
            }
            // A region that meets the goal beats one that does not. If both meet
            // it, the less busy one wins; if neither does, the faster one.
            let meets_goal = forecast < call.route.goal;
            let better = |best: &RegionOffer| match meets_goal {
                true => best.forecast >= call.route.goal || busy < best.busy,
                false => forecast < best.forecast,
            };
            if best.as_ref().is_none_or(better) {
                best = Some(RegionOffer {
                    region: region.clone(),
                    forecast,
                    busy,
                    servers: wait.servers,
                    work,
                    age: now.since(stated.stated_at),
                });
            }
        }
        best
    }

    /// Whether another VM of this region may send a call to servers that this one does not
    /// reach.
    pub(super) fn can_use_peer(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        state: &FrontState,
        now: Moment,
    ) -> bool {
        let region = &self.location.region;
        !state.servers.has_contact(&call.service)
            && self
                .pick_vm(call, tried, region, |_| true, state, now)
                .is_some()
    }

    /// Random suitable VM of a region that reaches servers, weighted by capacity. `None` if
    /// no such VM there takes calls.
    pub(super) fn pick_vm(
        &self,
        call: &PendingCall,
        tried: &TriedTargets,
        region: &RegionName,
        is_suitable: impl Fn(&VmRecord) -> bool,
        state: &FrontState,
        now: Moment,
    ) -> Option<VmRecord> {
        if call.origin == CallOrigin::Vm || !call.allows(region) {
            return None;
        }
        let vms: Vec<&VmRecord> = state
            .vms
            .live(now)
            .filter(|(key, record)| {
                record.centre.region == *region
                    && state.vms.is_reachable(*key, now)
                    && state.vms.may_have_contact(*key, &call.service, now)
                    && !tried.vms.contains(&record.vm)
                    && is_suitable(record)
            })
            .map(|(_, record)| record)
            .collect();
        let chosen = vms.choose_weighted(&mut rand::rng(), |record| record.capacity);
        chosen.ok().map(|record| (*record).clone())
    }
}

fn refusal_for(call: &PendingCall, error: &PlacementError) -> CallRefusal {
    let mut rng = rand::rng();
    let jitter = rng.random_range(1.0..1.0 + RETRY_AFTER_JITTER);
    let retry_after = |wait: Duration| wait.max(MIN_RETRY_AFTER).mul_f64(jitter);
    match error {
        PlacementError::NoServer => {
            let wait = rng.random_range(NO_SERVER_RETRY_AFTER_MS);
            CallRefusal::busy("no_server", Duration::from_millis(wait))
        }
        PlacementError::Paced => CallRefusal::busy("servers_cold", retry_after(PACED_RETRY_AFTER)),
        PlacementError::Limited { until } => {
            CallRefusal::busy("servers_limited", retry_after(*until))
        }
        PlacementError::Brittle => {
            let wait = rng.random_range(BRITTLE_RETRY_AFTER_MS);
            CallRefusal::busy("servers_brittle", Duration::from_millis(wait))
        }
        PlacementError::Saturated { until } => CallRefusal::busy("saturated", retry_after(*until)),
        PlacementError::Overloaded { cause, forecast } => {
            let wait = forecast.saturating_sub(call.route.goal / 2);
            let reason = match cause {
                OverloadCause::LateStart => "start_too_late",
                OverloadCause::LateEnd => "end_too_late",
                OverloadCause::Full => "servers_full",
            };
            CallRefusal::busy(reason, retry_after(wait))
        }
    }
}
