//! Attempts of a call at engines: start, tokens, hedges, moves and failures.

use std::time::Duration;

use verbenaring_policy::hedge::should_move_streams;
use verbenaring_policy::request::RequestClass;
use verbenaring_policy::retry::AttemptFailure;
use verbenaring_policy::scheduler::engine_priority;
use verbenaring_policy::time::Moment;

use super::engine::{EngineJob, StepOutput};
use super::measure::CallOutcome;
use super::simulation::{
    AttemptState, CLIENT_DELAY, Event, LOCAL_DELAY, REGION_DELAY, Simulation, customer_index,
    region_name,
};
use super::variant::QueueKind;

/// Answer tokens between two size updates of a running call to its queue.
const PROGRESS_TOKENS: u32 = 32;

impl Simulation<'_> {
    /// Sends an attempt to the server at `position` in the list of `node` and
    /// schedules a hedge for the first one. `alone` marks the isolated retry of
    /// a suspected request.
    pub(super) fn send_attempt(&mut self, call: usize, node: usize, position: usize, alone: bool) {
        let now = self.events.now();
        let attempt = self.attempts.len();
        let sender = &mut self.nodes[node];
        let state = &mut self.calls[call];
        sender.record_sent(position, &state.spec);
        let server = &sender.servers[position];
        let resumed_tokens = state.record.answer_tokens;
        let prompt = state.spec.size.prompt_tokens + resumed_tokens;
        let in_flight_key = sender.detector.start(server.replica, prompt, now);
        if self.variant.quarantine {
            sender
                .quarantine
                .record_start(&state.spec.fingerprint, &server.id, alone);
        }
        state.plan.record_attempt(&server.id);
        state.sent += 1;
        state.in_flight.push(attempt);
        let is_repeated = !state.spec.repeatable && state.sent > 1;
        self.record.violations.unsafe_repeats += u64::from(is_repeated);
        let delay = sender.detector.hedge_delay(sender.model());
        if self.variant.handles_stragglers
            && state.sent == 1
            && let Some(delay) = delay
        {
            self.events.schedule_after(delay, Event::Hedge(call));
        }
        self.attempts.push(AttemptState {
            call,
            node,
            server: server.index,
            in_flight_key,
            tokens: resumed_tokens,
            resumed_tokens,
            is_in_flight: true,
        });
        self.in_flight.insert(attempt);
        self.events
            .schedule_after(LOCAL_DELAY, Event::Start(attempt));
    }

    /// Queues an attempt at its engine, or has it refused if the engine is
    /// down.
    pub(super) fn start_attempt(&mut self, attempt: usize) {
        let attempt_state = &self.attempts[attempt];
        if !attempt_state.is_in_flight {
            return;
        }
        let (server, resumed_tokens) = (attempt_state.server, attempt_state.resumed_tokens);
        if !self.engines[server].is_up {
            self.events
                .schedule_after(LOCAL_DELAY, Event::Refused(attempt));
            return;
        }
        let spec = &self.calls[attempt_state.call].spec;
        let terms = &self.terms[customer_index(spec)];
        let region = self.run.deployment.regions[self.engine_regions[server]].name;
        let is_allowed = terms.residency.allows(&region_name(region));
        self.record.violations.residency += u64::from(!is_allowed);
        let priority = match self.variant.queue {
            QueueKind::Fair => engine_priority(spec.class(), terms.priority),
            QueueKind::Fifo => 0,
        };
        self.engines[server].push(EngineJob {
            attempt,
            priority,
            prompt: spec.size.prompt_tokens + resumed_tokens,
            answer: spec.size.answer_tokens.saturating_sub(resumed_tokens),
            prefix: spec.prefix,
            prefix_tokens: spec.prefix_tokens.min(spec.size.prompt_tokens),
            crashes: spec.crashes,
        });
        self.start_engine_step(server);
    }

    /// Starts the next step of an engine that is up and idle.
    fn start_engine_step(&mut self, server: usize) {
        if self.engines[server].is_stepping || !self.engines[server].is_up {
            return;
        }
        let Some((duration, started)) = self.engines[server].start_step() else {
            return;
        };
        let now = self.events.now();
        for attempt in started {
            let record = &mut self.calls[self.attempts[attempt].call].record;
            record.started_at.get_or_insert(now);
        }
        self.engines[server].is_stepping = true;
        let epoch = self.engines[server].epoch;
        self.events
            .schedule_after(duration, Event::Step { server, epoch });
    }

    /// Ends an engine step: delivers its tokens, or crashes the engine if a
    /// request of the batch does so.
    pub(super) fn end_engine_step(&mut self, server: usize, epoch: u64) {
        if self.engines[server].epoch != epoch {
            return;
        }
        self.engines[server].is_stepping = false;
        let (outputs, crashed) = self.engines[server].end_step();
        if crashed {
            self.record.crashed_servers += 1;
            self.crash_engine(server);
            return;
        }
        for output in outputs {
            self.deliver_token(output);
        }
        self.start_engine_step(server);
    }

    /// Delivers one token to its call; the first token cancels the other
    /// attempts.
    fn deliver_token(&mut self, output: StepOutput) {
        let now = self.events.now();
        let attempt_state = &mut self.attempts[output.attempt];
        if !attempt_state.is_in_flight {
            return;
        }
        attempt_state.tokens += 1;
        let (call, node, tokens) = (attempt_state.call, attempt_state.node, attempt_state.tokens);
        let is_first = tokens == attempt_state.resumed_tokens + 1;
        if let Some(in_flight_key) = attempt_state.in_flight_key {
            self.nodes[node].detector.progress(in_flight_key, 1, now);
        }
        if is_first {
            self.cancel_other_attempts(call, output.attempt);
            let arrival = self.arrival_at_caller(call, now);
            self.calls[call]
                .record
                .first_token_at
                .get_or_insert(arrival);
        }
        let state = &mut self.calls[call];
        state.record.answer_tokens = state.record.answer_tokens.max(tokens);
        if tokens.is_multiple_of(PROGRESS_TOKENS)
            && let Some(slot) = state.slot
        {
            let total = state.record.tokens();
            let holder = state.holder;
            self.nodes[holder].queue.progress(slot, total);
        }
        if output.is_last {
            self.complete_call(output.attempt);
        }
    }

    /// Moment at which a token sent now reaches the caller.
    fn arrival_at_caller(&self, call: usize, now: Moment) -> Moment {
        let state = &self.calls[call];
        let is_remote = self.nodes[state.holder].region != self.nodes[state.entry].region;
        let transit = if is_remote {
            REGION_DELAY
        } else {
            Duration::ZERO
        };
        now + LOCAL_DELAY + transit + CLIENT_DELAY
    }

    fn complete_call(&mut self, attempt: usize) {
        let now = self.events.now();
        let call = self.attempts[attempt].call;
        self.end_attempt(attempt, true);
        self.cancel_other_attempts(call, attempt);
        let arrival = self.arrival_at_caller(call, now);
        let state = &mut self.calls[call];
        let holder = state.holder;
        state.record.ended_at = Some(arrival);
        let customer = &self.terms[customer_index(&state.spec)].customer;
        self.nodes[state.entry]
            .retry_limiter
            .record_success(customer, now);
        self.end_call(call, CallOutcome::Completed);
        self.dispatch_queued(holder);
    }

    /// Removes an attempt from the counts of its node and call; `complete`
    /// tells the quarantine whether the answer was finished.
    fn end_attempt(&mut self, attempt: usize, complete: bool) {
        let now = self.events.now();
        let attempt_state = &mut self.attempts[attempt];
        attempt_state.is_in_flight = false;
        self.in_flight.remove(&attempt);
        let (call, server) = (attempt_state.call, attempt_state.server);
        let node = &mut self.nodes[attempt_state.node];
        let position = node.position(server);
        let state = &mut self.calls[call];
        node.record_ended(position, &state.spec);
        if let Some(in_flight_key) = attempt_state.in_flight_key {
            node.detector.finish(in_flight_key, now);
        }
        state.in_flight.retain(|other| *other != attempt);
        if self.variant.quarantine {
            let id = &node.servers[position].id;
            node.quarantine
                .record_finish(&state.spec.fingerprint, id, complete, now);
        }
    }

    fn cancel_other_attempts(&mut self, call: usize, winner: usize) {
        for attempt in self.calls[call].in_flight.clone() {
            if attempt != winner {
                self.cancel_attempt(attempt);
            }
        }
    }

    pub(super) fn cancel_attempt(&mut self, attempt: usize) {
        self.end_attempt(attempt, false);
        let server = self.attempts[attempt].server;
        self.engines[server].cancel(attempt);
    }

    /// Sends a hedge for a short call without a token, if the budget allows. A
    /// hedge that finds no server gives its budget back.
    pub(super) fn send_hedge(&mut self, call: usize) {
        let state = &self.calls[call];
        let is_due = !state.has_ended
            && state.record.first_token_at.is_none()
            && state.in_flight.len() == 1
            && state.sent == 1
            && state.holder == state.entry;
        if !is_due || !state.plan.may_repeat() || state.spec.class() != RequestClass::Short {
            return;
        }
        let node = self.attempts[state.in_flight[0]].node;
        let entry = state.entry;
        let repeatable = state.spec.repeatable;
        let budget = self.nodes[entry].hedge_budget;
        if self.nodes[entry]
            .hedge_budget
            .try_hedge(RequestClass::Short, repeatable)
        {
            if self.choose_server(call, node, true, true) {
                self.record.hedges += 1;
            } else {
                self.nodes[entry].hedge_budget = budget;
            }
        }
    }

    /// Resumes short streams of slow servers on other servers. The old attempt
    /// continues until the new one delivers a token.
    pub(super) fn move_streams(&mut self) {
        let now = self.events.now();
        let in_flight: Vec<usize> = self.in_flight.iter().copied().collect();
        for attempt in in_flight {
            let attempt_state = &self.attempts[attempt];
            let (call, node) = (attempt_state.call, attempt_state.node);
            let server = &self.nodes[node].servers[self.nodes[node].position(attempt_state.server)];
            if !should_move_streams(self.nodes[node].detector.state(server.replica, now)) {
                continue;
            }
            let state = &self.calls[call];
            let class = state.spec.class();
            let is_single = state.in_flight.len() == 1 && state.holder == state.entry;
            if !is_single || class != RequestClass::Short || !state.plan.may_repeat() {
                continue;
            }
            let (entry, repeatable) = (state.entry, state.spec.repeatable);
            let budget = self.nodes[entry].move_budget;
            if self.nodes[entry].move_budget.try_hedge(class, repeatable) {
                if self.choose_server(call, node, true, true) {
                    self.record.moves += 1;
                } else {
                    self.nodes[entry].move_budget = budget;
                }
            }
        }
    }

    /// Marks a server as down for the node that could not connect to it.
    pub(super) fn handle_refused_connection(&mut self, attempt: usize) {
        if !self.attempts[attempt].is_in_flight {
            return;
        }
        let now = self.events.now();
        let (node, server) = (self.attempts[attempt].node, self.attempts[attempt].server);
        self.nodes[node].mark_down(server, now);
        self.fail_attempt(attempt, AttemptFailure::Refused);
    }

    /// Ends a failed attempt. Unless another one is in flight, the call is
    /// retried, or ends as broken if it has already received tokens.
    pub(super) fn fail_attempt(&mut self, attempt: usize, failure: AttemptFailure) {
        if !self.attempts[attempt].is_in_flight {
            return;
        }
        let call = self.attempts[attempt].call;
        self.end_attempt(attempt, false);
        let state = &self.calls[call];
        if state.has_ended || !state.in_flight.is_empty() {
            return;
        }
        if state.record.first_token_at.is_some() {
            self.end_call(call, CallOutcome::Broken);
        } else {
            self.retry_or_end(call, failure);
        }
    }

    /// Cancels the attempts of a call whose deadline has passed.
    pub(super) fn expire_call(&mut self, call: usize) {
        if self.calls[call].has_ended {
            return;
        }
        for attempt in self.calls[call].in_flight.clone() {
            self.cancel_attempt(attempt);
        }
        let holder = self.calls[call].holder;
        self.end_call(call, CallOutcome::TimedOut);
        self.dispatch_queued(holder);
    }
}
