//! Way of a call from its arrival to a server: admission, region, queue, route.

use std::time::Duration;

use rand::Rng;
use verbenaring_policy::admission::AdmissionRequest;
use verbenaring_policy::id::ServerId;
use verbenaring_policy::quarantine::{SuspectDecision, suspect_delay};
use verbenaring_policy::region::{
    ROUND_TRIP, RegionChoice, RegionRefusal, RegionRequest, RegionView,
};
use verbenaring_policy::retry::{AttemptFailure, NextAttempt};
use verbenaring_policy::scheduler::QueueRequest;
use verbenaring_policy::time::Moment;

use super::measure::CallOutcome;
use super::node::PlanContext;
use super::variant::RegionKind;
use super::world::{
    CONNECT_TIMEOUT, DETECTION_TIME, Event, LOCAL_DELAY, REGION_DELAY, World, customer_index,
    region_name,
};

/// Time for summaries to spread through delegates and local peers.
const SUMMARY_LAG: Duration = Duration::from_secs(1);
/// Wait before a suspect is tried again.
const SUSPECT_WAIT: Duration = Duration::from_millis(200);

impl World<'_> {
    pub(super) fn arrive(&mut self, call: usize) {
        let now = self.agenda.now();
        let state = &self.calls[call];
        let (entry, deadline, tokens) = (state.entry, state.deadline, state.spec.estimate.total());
        let expected = self.expected(call);
        let request = AdmissionRequest {
            tokens,
            deadline,
            expected,
        };
        let customer = &self.terms[customer_index(&state.spec)].customer;
        let node = &mut self.nodes[entry];
        match node.gate.admit(&node.table, customer, &request, now) {
            Ok(permit) => {
                node.hedges.record_request();
                node.moves.record_request();
                self.calls[call].permit = Some(permit);
                self.handle(call);
            }
            Err(_) => self.end_call(call, CallOutcome::Limited),
        }
    }

    /// Decides the region at the entry node.
    pub(super) fn handle(&mut self, call: usize) {
        if self.calls[call].has_ended {
            return;
        }
        let now = self.agenda.now();
        let entry = self.calls[call].entry;
        self.calls[call].hops = 0;
        match self.choose_region(call, now) {
            (RegionChoice::Local, _) => self.enqueue(call, entry),
            (RegionChoice::Remote(index), regions) => self.forward(call, regions[index]),
            (RegionChoice::Refused(reason), _) => {
                let outcome = match reason {
                    RegionRefusal::Residency => CallOutcome::Residency,
                    RegionRefusal::Capacity | RegionRefusal::Link => CallOutcome::Capacity,
                };
                self.end_call(call, outcome);
            }
        }
    }

    /// Expected wait for a slot at a node.
    pub(super) fn node_wait(&self, node: usize, kind: usize) -> f64 {
        let own = &self.nodes[node];
        let spec = &self.run.deployment.regions[own.region];
        let rate = spec.engines as f64 * self.tokens_per_s / spec.nodes as f64;
        let queued: u64 = own.queued_tokens[..=kind].iter().sum();
        queued as f64 / rate
    }

    fn expected(&self, call: usize) -> Duration {
        let spec = &self.calls[call].spec;
        let engine = &self.run.deployment.engine;
        let step = engine.step_s + engine.decode_s * engine.slots as f64;
        let seconds = f64::from(spec.estimate.prompt_tokens) * engine.prefill_s
            + f64::from(spec.size.answer_tokens) * step;
        Duration::from_secs_f64(seconds)
    }

    fn choose_region(&mut self, call: usize, now: Moment) -> (RegionChoice, Vec<usize>) {
        let state = &self.calls[call];
        let own = self.nodes[state.entry].region;
        let kind = state.spec.kind;
        let specs = &self.run.deployment.regions;
        let names: Vec<_> = specs.iter().map(|spec| region_name(spec.name)).collect();
        let others: Vec<usize> = (0..specs.len()).filter(|region| *region != own).collect();
        let prefill = 1.0 / self.run.deployment.engine.prefill_s;
        let view = |region: usize, wait: Option<f64>, age: Duration, reachable: bool| RegionView {
            region: &names[region],
            reachable,
            wait: wait.map(Duration::from_secs_f64),
            age,
            round_trip: ROUND_TRIP,
            prefill_tokens_per_s: prefill,
            warm: false,
            cost: specs[region].price / specs[own].price,
        };
        let has_server = self.nodes[state.entry].has_server(now);
        let local_wait = has_server.then(|| self.node_wait(state.entry, kind));
        let local = view(own, local_wait, Duration::ZERO, true);
        let remotes: Vec<RegionView<'_>> = others
            .iter()
            .map(|region| {
                let (wait, age) = self.summary(own, *region, kind, now);
                view(*region, wait, age, self.is_reachable(own, *region, now))
            })
            .collect();
        let request = RegionRequest {
            terms: &self.terms[customer_index(&state.spec)],
            prompt_tokens: state.spec.size.prompt_tokens,
            bytes: state.spec.bytes(),
            forwarded: false,
        };
        let choice = match self.variant.region {
            RegionKind::Cost => {
                let selector = &mut self.nodes[state.entry].selector;
                selector.select(&request, &local, &remotes, now)
            }
            RegionKind::Latency => least_latency(&request, &local, &remotes),
        };
        (choice, others)
    }

    /// Wait of a region as another region knows it, and its age.
    fn summary(
        &self,
        own: usize,
        region: usize,
        kind: usize,
        now: Moment,
    ) -> (Option<f64>, Duration) {
        let limit = match self.cut {
            Some((_, since)) if self.is_cut(own, region) => since,
            _ => now,
        };
        let visible = self.summaries[region]
            .iter()
            .rev()
            .find(|(at, _)| limit.since(*at) >= SUMMARY_LAG);
        let Some((at, waits)) = visible else {
            return (Some(0.0), Duration::MAX);
        };
        let has_servers = self.reports.iter().zip(&self.engine_region);
        let has_servers = has_servers
            .into_iter()
            .any(|(reports, home)| *home == region && !reports.is_empty());
        (has_servers.then_some(waits[kind]), now.since(*at))
    }

    fn is_reachable(&self, own: usize, region: usize, now: Moment) -> bool {
        let is_known = self
            .cut
            .is_some_and(|(_, since)| now.since(since) >= DETECTION_TIME);
        !(is_known && self.is_cut(own, region))
    }

    fn forward(&mut self, call: usize, region: usize) {
        let now = self.agenda.now();
        let from = self.nodes[self.calls[call].entry].region;
        self.calls[call].hops += 1;
        let hop = self.calls[call].hops;
        if self.is_cut(from, region) {
            self.agenda
                .after(CONNECT_TIMEOUT, Event::Unreachable { call, hop });
            return;
        }
        let bytes = self.calls[call].spec.bytes();
        let free = &mut self.link_free[from][region];
        let seconds = bytes as f64 / self.run.deployment.link_bytes_per_s;
        *free = (*free).max(now) + Duration::from_secs_f64(seconds);
        let arrival = *free + REGION_DELAY;
        self.record.link_bytes += bytes;
        self.calls[call].record.was_sent_away = true;
        let count = self.run.deployment.regions[region].nodes;
        let node = self.first_node(region) + self.rng.random_range(0..count);
        self.agenda.add(arrival, Event::Forwarded { call, node });
    }

    pub(super) fn receive_forwarded(&mut self, call: usize, node: usize) {
        if self.calls[call].has_ended {
            return;
        }
        let now = self.agenda.now();
        let from = self.nodes[self.calls[call].entry].region;
        if self.is_cut(from, self.nodes[node].region) || !self.nodes[node].has_server(now) {
            let hop = self.calls[call].hops;
            self.agenda
                .after(REGION_DELAY, Event::Unreachable { call, hop });
            return;
        }
        self.enqueue(call, node);
    }

    /// Decides again after a forward that did not arrive or was refused.
    pub(super) fn fail_forward(&mut self, call: usize, hop: u32) {
        let state = &self.calls[call];
        if state.has_ended || state.hops != hop {
            return;
        }
        self.after_failure(call, AttemptFailure::Refused);
    }

    /// Retries a call that has no attempt left, or tells its caller.
    pub(super) fn after_failure(&mut self, call: usize, failure: AttemptFailure) {
        let now = self.agenda.now();
        let state = &mut self.calls[call];
        let customer = &self.terms[customer_index(&state.spec)].customer;
        let limiter = &mut self.nodes[state.entry].limiter;
        let next = state.plan.after_failure(failure, customer, limiter, now);
        match next {
            NextAttempt::Retry { alone, .. } => {
                self.record.retries += 1;
                let pause = if alone && self.variant.quarantine {
                    suspect_delay(&mut self.rng)
                } else {
                    Duration::ZERO
                };
                let is_remote = state.holder != state.entry;
                let has_server = self.nodes[state.entry].has_server(now);
                if state.slot.is_some() && !is_remote && has_server {
                    self.agenda.after(pause, Event::Route(call));
                } else {
                    self.release_slot(call);
                    let delay = if is_remote {
                        REGION_DELAY
                    } else {
                        Duration::ZERO
                    };
                    self.agenda.after(delay + pause, Event::Handle(call));
                }
            }
            NextAttempt::GiveUp(outcome) => self.end_call(call, CallOutcome::Failed(outcome)),
        }
    }

    fn enqueue(&mut self, call: usize, node: usize) {
        let now = self.agenda.now();
        let latest_start = self.calls[call].deadline - self.expected(call);
        let state = &mut self.calls[call];
        let terms = &self.terms[customer_index(&state.spec)];
        let specs = &self.run.deployment.regions;
        let region = region_name(specs[self.nodes[node].region].name);
        self.record.violations.residency += u64::from(!terms.residency.allows(&region));
        self.record.violations.loops += u64::from(state.hops > 1);
        let request = QueueRequest {
            estimate: state.spec.estimate,
            latest_start,
        };
        state.holder = node;
        let own = &mut self.nodes[node];
        if own.waiting.push(&terms.customer, &request, call, now) {
            state.is_queued = true;
            let kind = state.spec.kind;
            own.queued_tokens[kind] += u64::from(state.spec.estimate.total());
            self.pump(node);
        } else {
            self.end_call(call, CallOutcome::QueueFull);
        }
    }

    /// Sends what the slots of a node allow.
    pub(super) fn pump(&mut self, node: usize) {
        let now = self.agenda.now();
        let mut late = Vec::new();
        loop {
            let next = self.nodes[node].waiting.next(now, &mut late);
            for call in late.drain(..) {
                if self.leave_queue(call, node) {
                    self.end_call(call, CallOutcome::Late);
                }
            }
            let Some((call, slot)) = next else {
                return;
            };
            if self.leave_queue(call, node) {
                self.calls[call].slot = Some(slot);
                self.route(call);
            } else {
                self.nodes[node].waiting.finish(slot, 0);
            }
        }
    }

    /// Whether the call still waited at the node for an outcome.
    fn leave_queue(&mut self, call: usize, node: usize) -> bool {
        let state = &mut self.calls[call];
        let tokens = u64::from(state.spec.estimate.total());
        self.nodes[node].queued_tokens[state.spec.kind] -= tokens;
        let waited = state.is_queued && state.holder == node;
        state.is_queued &= !waited;
        waited && !state.has_ended
    }

    pub(super) fn release_slot(&mut self, call: usize) {
        let state = &mut self.calls[call];
        if let Some(slot) = state.slot.take() {
            let tokens = state.record.tokens();
            let holder = state.holder;
            self.nodes[holder].waiting.finish(slot, tokens);
        }
    }

    /// Chooses a server for a call that holds a slot.
    pub(super) fn route(&mut self, call: usize) {
        let state = &self.calls[call];
        if state.has_ended || state.slot.is_none() {
            return;
        }
        let node = state.holder;
        self.choose_server(call, node, false, false);
    }

    pub(super) fn route_relayed(&mut self, call: usize, node: usize) {
        let state = &self.calls[call];
        if state.has_ended || state.slot.is_none() {
            return;
        }
        self.choose_server(call, node, true, false);
    }

    /// Sends a call to a server, or to the node that owns one.
    pub(super) fn choose_server(
        &mut self,
        call: usize,
        node: usize,
        relayed: bool,
        is_hedge: bool,
    ) -> bool {
        let now = self.agenda.now();
        let mut excluded: Vec<ServerId> = self.calls[call].plan.tried_servers().to_vec();
        let mut alone = false;
        if self.variant.quarantine {
            let print = self.calls[call].spec.print;
            excluded.extend(self.nodes[node].quarantine.isolating_servers());
            match self.nodes[node].quarantine.decide(&print, now) {
                SuspectDecision::Unrestricted => {}
                SuspectDecision::Confined(servers) => {
                    let all = self.nodes[node].servers.iter().map(|server| &server.id);
                    excluded.extend(all.filter(|id| !servers.contains(id)).cloned());
                }
                SuspectDecision::Alone { avoid } => {
                    alone = true;
                    excluded.extend(avoid);
                }
                SuspectDecision::Wait if is_hedge => return false,
                SuspectDecision::Wait => {
                    self.agenda.after(SUSPECT_WAIT, Event::Route(call));
                    return false;
                }
                SuspectDecision::Refused => {
                    if !is_hedge {
                        self.end_call(call, CallOutcome::Quarantined);
                    }
                    return false;
                }
            }
        }
        let context = PlanContext {
            reports: &self.reports,
            variant: &self.variant,
            lag: self.run.report_lag,
            relayed,
            now,
        };
        let spec = &self.calls[call].spec;
        let choice = self.nodes[node].plan(spec, &context, &excluded, &mut self.rng);
        match choice {
            None if is_hedge => return false,
            None => self.after_failure(call, AttemptFailure::Refused),
            Some(choice) => match choice.owner {
                Some(owner) if !relayed && !is_hedge => {
                    let node = self.first_node(self.nodes[node].region) + owner;
                    self.agenda
                        .after(LOCAL_DELAY, Event::Relayed { call, node });
                }
                _ => self.send(call, node, choice.server, alone),
            },
        }
        true
    }
}

/// Baseline: least expected wait plus round trip, whatever it costs.
fn least_latency(
    request: &RegionRequest<'_>,
    local: &RegionView<'_>,
    remotes: &[RegionView<'_>],
) -> RegionChoice {
    let allowed = |view: &RegionView<'_>| {
        view.reachable && request.terms.residency.allows(view.region) && view.wait.is_some()
    };
    let total = |view: &RegionView<'_>| view.wait.unwrap_or_default() + view.round_trip;
    let best = (0..remotes.len())
        .filter(|index| allowed(&remotes[*index]))
        .min_by_key(|index| total(&remotes[*index]));
    match (local.wait, best) {
        (Some(wait), Some(index)) if total(&remotes[index]) < wait => RegionChoice::Remote(index),
        (Some(_), _) => RegionChoice::Local,
        (None, Some(index)) => RegionChoice::Remote(index),
        (None, None) => RegionChoice::Refused(RegionRefusal::Capacity),
    }
}
