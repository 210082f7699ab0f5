//! Path of a call from arrival to a server: admission, region choice, queue and
//! server choice.

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
use super::simulation::{
    CONNECT_TIMEOUT, DETECTION_TIME, Event, LOCAL_DELAY, REGION_DELAY, Simulation, customer_index,
    region_name,
};
use super::variant::RegionKind;

/// Time until a region's load summary has spread to all nodes through the
/// delegates and their local peers.
const SUMMARY_LAG: Duration = Duration::from_secs(1);
/// Delay before a suspected request that must wait is routed again.
const SUSPECT_WAIT: Duration = Duration::from_millis(200);

impl Simulation<'_> {
    /// Admits a call at its entry node or refuses it by the contract's limits.
    pub(super) fn admit_call(&mut self, call: usize) {
        let now = self.events.now();
        let state = &self.calls[call];
        let (entry, deadline, tokens) = (state.entry, state.deadline, state.spec.estimate.total());
        let expected_duration = self.expected_duration(call);
        let request = AdmissionRequest {
            tokens,
            deadline,
            expected_duration,
        };
        let customer = &self.terms[customer_index(&state.spec)].customer;
        let node = &mut self.nodes[entry];
        match node
            .admission
            .admit(&node.allotments, customer, &request, now)
        {
            Ok(permit) => {
                node.hedge_budget.record_request();
                node.move_budget.record_request();
                self.calls[call].permit = Some(permit);
                self.place_call(call);
            }
            Err(_) => self.end_call(call, CallOutcome::Limited),
        }
    }

    /// Chooses the region of a call at its entry node and queues, forwards or
    /// refuses the call.
    pub(super) fn place_call(&mut self, call: usize) {
        if self.calls[call].has_ended {
            return;
        }
        let now = self.events.now();
        let entry = self.calls[call].entry;
        self.calls[call].hops = 0;
        match self.choose_region(call, now) {
            (RegionChoice::Local, _) => self.enqueue(call, entry),
            (RegionChoice::Remote(index), regions) => self.forward_call(call, regions[index]),
            (RegionChoice::Refused(reason), _) => {
                let outcome = match reason {
                    RegionRefusal::Residency => CallOutcome::Residency,
                    RegionRefusal::Capacity | RegionRefusal::Link => CallOutcome::Capacity,
                };
                self.end_call(call, outcome);
            }
        }
    }

    /// Expected wait in seconds for a slot at a node. Long calls also wait for
    /// the short ones in the queue, but not the other way round.
    pub(super) fn node_wait(&self, node: usize, kind: usize) -> f64 {
        let node_state = &self.nodes[node];
        let spec = &self.run.deployment.regions[node_state.region];
        let tokens_per_s = spec.engines as f64 * self.tokens_per_s / spec.nodes as f64;
        let queued: u64 = node_state.queued_tokens[..=kind].iter().sum();
        queued as f64 / tokens_per_s
    }

    /// Estimated run time of a call: prefill and decoding in a full batch.
    fn expected_duration(&self, call: usize) -> Duration {
        let spec = &self.calls[call].spec;
        let engine = &self.run.deployment.engine;
        let step = engine.step_s + engine.decode_s * engine.slots as f64;
        let seconds = f64::from(spec.estimate.prompt_tokens) * engine.prefill_s
            + f64::from(spec.size.answer_tokens) * step;
        Duration::from_secs_f64(seconds)
    }

    /// Chooses a region. A [`RegionChoice::Remote`] is an index into the
    /// returned list of the other regions.
    fn choose_region(&mut self, call: usize, now: Moment) -> (RegionChoice, Vec<usize>) {
        let state = &self.calls[call];
        let entry_region = self.nodes[state.entry].region;
        let kind = state.spec.kind;
        let specs = &self.run.deployment.regions;
        let names: Vec<_> = specs.iter().map(|spec| region_name(spec.name)).collect();
        let others: Vec<usize> = (0..specs.len())
            .filter(|region| *region != entry_region)
            .collect();
        let prefill = 1.0 / self.run.deployment.engine.prefill_s;
        let view = |region: usize, wait: Option<f64>, age: Duration, reachable: bool| RegionView {
            region: &names[region],
            reachable,
            wait: wait.map(Duration::from_secs_f64),
            age,
            round_trip: ROUND_TRIP,
            prefill_tokens_per_s: prefill,
            warm: false,
            cost: specs[region].price / specs[entry_region].price,
        };
        let has_server = self.nodes[state.entry].has_server(now);
        let local_wait = has_server.then(|| self.node_wait(state.entry, kind));
        let local = view(entry_region, local_wait, Duration::ZERO, true);
        let remotes: Vec<RegionView<'_>> = others
            .iter()
            .map(|region| {
                let (wait, age) = self.region_summary(entry_region, *region, kind, now);
                view(
                    *region,
                    wait,
                    age,
                    self.is_reachable(entry_region, *region, now),
                )
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

    /// Expected wait in a region in seconds and age of this value, as nodes of
    /// another region know them. The wait is `None` if no engine of the region
    /// reports; it is 0 with the maximum age before the first summary.
    fn region_summary(
        &self,
        observer: usize,
        region: usize,
        kind: usize,
        now: Moment,
    ) -> (Option<f64>, Duration) {
        let latest = match self.partition {
            Some((_, since)) if self.is_partitioned(observer, region) => since,
            _ => now,
        };
        let visible = self.summaries[region]
            .iter()
            .rev()
            .find(|(at, _)| latest.since(*at) >= SUMMARY_LAG);
        let Some((at, waits)) = visible else {
            return (Some(0.0), Duration::MAX);
        };
        let has_servers = self.reports.iter().zip(&self.engine_regions);
        let has_servers = has_servers
            .into_iter()
            .any(|(reports, engine_region)| *engine_region == region && !reports.is_empty());
        (has_servers.then_some(waits[kind]), now.since(*at))
    }

    /// Whether nodes of a region believe that another region can be reached.
    fn is_reachable(&self, observer: usize, region: usize, now: Moment) -> bool {
        let is_known = self
            .partition
            .is_some_and(|(_, since)| now.since(since) >= DETECTION_TIME);
        !(is_known && self.is_partitioned(observer, region))
    }

    /// Sends a call over the link to a random node of another region. Calls
    /// share the link rate in turn.
    fn forward_call(&mut self, call: usize, region: usize) {
        let now = self.events.now();
        let from = self.nodes[self.calls[call].entry].region;
        self.calls[call].hops += 1;
        let hop = self.calls[call].hops;
        if self.is_partitioned(from, region) {
            self.events
                .schedule_after(CONNECT_TIMEOUT, Event::Unreachable { call, hop });
            return;
        }
        let bytes = self.calls[call].spec.bytes();
        let idle_at = &mut self.link_idle_at[from][region];
        let seconds = bytes as f64 / self.run.deployment.link_bytes_per_s;
        *idle_at = (*idle_at).max(now) + Duration::from_secs_f64(seconds);
        let arrival = *idle_at + REGION_DELAY;
        self.record.link_bytes += bytes;
        self.calls[call].record.was_sent_away = true;
        let count = self.run.deployment.regions[region].nodes;
        let node = self.first_node(region) + self.rng.random_range(0..count);
        self.events
            .schedule_at(arrival, Event::Forwarded { call, node });
    }

    /// Queues a forwarded call, or refuses it if the node cannot reach any
    /// server.
    pub(super) fn receive_forwarded(&mut self, call: usize, node: usize) {
        if self.calls[call].has_ended {
            return;
        }
        let now = self.events.now();
        let from = self.nodes[self.calls[call].entry].region;
        if self.is_partitioned(from, self.nodes[node].region) || !self.nodes[node].has_server(now) {
            let hop = self.calls[call].hops;
            self.events
                .schedule_after(REGION_DELAY, Event::Unreachable { call, hop });
            return;
        }
        self.enqueue(call, node);
    }

    /// Retries a call whose forward was lost or refused, unless it has been
    /// forwarded again since `hop`.
    pub(super) fn fail_forward(&mut self, call: usize, hop: u32) {
        let state = &self.calls[call];
        if state.has_ended || state.hops != hop {
            return;
        }
        self.retry_or_end(call, AttemptFailure::Refused);
    }

    /// Retries a call that has no attempt in flight, or ends it if no retry is
    /// allowed.
    pub(super) fn retry_or_end(&mut self, call: usize, failure: AttemptFailure) {
        let now = self.events.now();
        let state = &mut self.calls[call];
        let customer = &self.terms[customer_index(&state.spec)].customer;
        let limiter = &mut self.nodes[state.entry].retry_limiter;
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
                    self.events.schedule_after(pause, Event::Route(call));
                } else {
                    self.release_slot(call);
                    let delay = if is_remote {
                        REGION_DELAY
                    } else {
                        Duration::ZERO
                    };
                    self.events
                        .schedule_after(delay + pause, Event::Place(call));
                }
            }
            NextAttempt::GiveUp(outcome) => self.end_call(call, CallOutcome::Failed(outcome)),
        }
    }

    /// Queues a call at a node, or ends it if the queue is full.
    fn enqueue(&mut self, call: usize, node: usize) {
        let now = self.events.now();
        let latest_start = self.calls[call].deadline - self.expected_duration(call);
        let state = &mut self.calls[call];
        let terms = &self.terms[customer_index(&state.spec)];
        let specs = &self.run.deployment.regions;
        let region = region_name(specs[self.nodes[node].region].name);
        self.record.violations.residency += u64::from(!terms.residency.allows(&region));
        self.record.violations.forwarding_loops += u64::from(state.hops > 1);
        let request = QueueRequest {
            estimate: state.spec.estimate,
            latest_start,
        };
        state.holder = node;
        let holder = &mut self.nodes[node];
        if holder.queue.push(&terms.customer, &request, call, now) {
            state.is_queued = true;
            let kind = state.spec.kind;
            holder.queued_tokens[kind] += u64::from(state.spec.estimate.total());
            self.dispatch_queued(node);
        } else {
            self.end_call(call, CallOutcome::QueueFull);
        }
    }

    /// Dispatches queued calls of a node while it has free slots, and ends
    /// those that can no longer meet their deadline.
    pub(super) fn dispatch_queued(&mut self, node: usize) {
        let now = self.events.now();
        let mut late = Vec::new();
        loop {
            let next = self.nodes[node].queue.next(now, &mut late);
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
                self.route_call(call);
            } else {
                self.nodes[node].queue.finish(slot, 0);
            }
        }
    }

    /// Removes a call from the counts of a queue. Returns whether it still
    /// waited there and has no outcome yet.
    fn leave_queue(&mut self, call: usize, node: usize) -> bool {
        let state = &mut self.calls[call];
        let tokens = u64::from(state.spec.estimate.total());
        self.nodes[node].queued_tokens[state.spec.kind] -= tokens;
        let waited = state.is_queued && state.holder == node;
        state.is_queued &= !waited;
        waited && !state.has_ended
    }

    /// Frees the slot of a call, if it holds one.
    pub(super) fn release_slot(&mut self, call: usize) {
        let state = &mut self.calls[call];
        if let Some(slot) = state.slot.take() {
            let tokens = state.record.tokens();
            let holder = state.holder;
            self.nodes[holder].queue.finish(slot, tokens);
        }
    }

    /// Chooses a server for a call that holds a slot.
    pub(super) fn route_call(&mut self, call: usize) {
        let state = &self.calls[call];
        if state.has_ended || state.slot.is_none() {
            return;
        }
        let node = state.holder;
        self.choose_server(call, node, false, false);
    }

    /// Chooses a server at the owner node that a call was relayed to.
    pub(super) fn route_relayed_call(&mut self, call: usize, node: usize) {
        let state = &self.calls[call];
        if state.has_ended || state.slot.is_none() {
            return;
        }
        self.choose_server(call, node, true, false);
    }

    /// Sends a call to a server, or relays it to the node that owns the server.
    ///
    /// Returns false if a hedge found no server, or if the quarantine delays or
    /// refuses the call.
    pub(super) fn choose_server(
        &mut self,
        call: usize,
        node: usize,
        relayed: bool,
        is_hedge: bool,
    ) -> bool {
        let now = self.events.now();
        let mut excluded: Vec<ServerId> = self.calls[call].plan.tried_servers().to_vec();
        let mut alone = false;
        if self.variant.quarantine {
            let fingerprint = self.calls[call].spec.fingerprint;
            excluded.extend(self.nodes[node].quarantine.isolating_servers());
            match self.nodes[node].quarantine.decide(&fingerprint, now) {
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
                    self.events.schedule_after(SUSPECT_WAIT, Event::Route(call));
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
            None => self.retry_or_end(call, AttemptFailure::Refused),
            Some(choice) => match choice.owner {
                Some(owner) if !relayed && !is_hedge => {
                    let node = self.first_node(self.nodes[node].region) + owner;
                    self.events
                        .schedule_after(LOCAL_DELAY, Event::Relayed { call, node });
                }
                _ => self.send_attempt(call, node, choice.server, alone),
            },
        }
        true
    }
}

/// Baseline: chooses the region with the least expected wait plus round trip,
/// regardless of cost.
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
