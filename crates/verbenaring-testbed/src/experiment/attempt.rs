//! Attempts at engines: start, tokens, hedges, failures.

use std::time::Duration;

use verbenaring_policy::hedge::is_move_due;
use verbenaring_policy::request::RequestClass;
use verbenaring_policy::retry::AttemptFailure;
use verbenaring_policy::scheduler::engine_priority;
use verbenaring_policy::time::Moment;

use super::engine::{EngineJob, StepOutput};
use super::measure::CallOutcome;
use super::variant::QueueKind;
use super::world::{
    AttemptState, CLIENT_DELAY, Event, LOCAL_DELAY, REGION_DELAY, World, customer_index,
    region_name,
};

/// Tokens after which the queue is told the size of a running request.
const PROGRESS_TOKENS: u32 = 32;

impl World<'_> {
    pub(super) fn send(&mut self, call: usize, node: usize, position: usize, alone: bool) {
        let now = self.agenda.now();
        let attempt = self.attempts.len();
        let own = &mut self.nodes[node];
        let state = &mut self.calls[call];
        own.send(position, &state.spec);
        let server = &own.servers[position];
        let resumed_at = state.record.answer_tokens;
        let prompt = state.spec.size.prompt_tokens + resumed_at;
        let flight = own.detector.start(server.member, prompt, now);
        if self.variant.quarantine {
            own.quarantine
                .record_start(&state.spec.print, &server.id, alone);
        }
        state.plan.record_attempt(&server.id);
        state.sent += 1;
        state.live.push(attempt);
        let is_repeated = !state.spec.repeatable && state.sent > 1;
        self.record.violations.repeated += u64::from(is_repeated);
        let delay = own.detector.hedge_delay(own.model());
        if self.variant.stragglers
            && state.sent == 1
            && let Some(delay) = delay
        {
            self.agenda.after(delay, Event::Hedge(call));
        }
        self.attempts.push(AttemptState {
            call,
            node,
            server: server.index,
            flight,
            tokens: resumed_at,
            resumed_at,
            is_live: true,
        });
        self.live.insert(attempt);
        self.agenda.after(LOCAL_DELAY, Event::Start(attempt));
    }

    pub(super) fn start(&mut self, attempt: usize) {
        let own = &self.attempts[attempt];
        if !own.is_live {
            return;
        }
        let (server, resumed_at) = (own.server, own.resumed_at);
        if !self.engines[server].is_up {
            self.agenda.after(LOCAL_DELAY, Event::Refused(attempt));
            return;
        }
        let spec = &self.calls[own.call].spec;
        let terms = &self.terms[customer_index(spec)];
        let region = self.run.deployment.regions[self.engine_region[server]].name;
        let is_allowed = terms.residency.allows(&region_name(region));
        self.record.violations.residency += u64::from(!is_allowed);
        let priority = match self.variant.queue {
            QueueKind::Fair => engine_priority(spec.class(), terms.priority),
            QueueKind::Fifo => 0,
        };
        self.engines[server].push(EngineJob {
            attempt,
            priority,
            prompt: spec.size.prompt_tokens + resumed_at,
            answer: spec.size.answer_tokens.saturating_sub(resumed_at),
            prefix: spec.prefix,
            prefix_tokens: spec.prefix_tokens.min(spec.size.prompt_tokens),
            crashes: spec.crashes,
        });
        self.kick(server);
    }

    fn kick(&mut self, server: usize) {
        if self.engines[server].is_stepping || !self.engines[server].is_up {
            return;
        }
        let Some((duration, started)) = self.engines[server].start_step() else {
            return;
        };
        let now = self.agenda.now();
        for attempt in started {
            let record = &mut self.calls[self.attempts[attempt].call].record;
            record.started.get_or_insert(now);
        }
        self.engines[server].is_stepping = true;
        let epoch = self.engines[server].epoch;
        self.agenda.after(duration, Event::Step { server, epoch });
    }

    pub(super) fn step(&mut self, server: usize, epoch: u64) {
        if self.engines[server].epoch != epoch {
            return;
        }
        self.engines[server].is_stepping = false;
        let (outputs, crashed) = self.engines[server].end_step();
        if crashed {
            self.record.crashed_servers += 1;
            self.crash(server);
            return;
        }
        for output in outputs {
            self.deliver(output);
        }
        self.kick(server);
    }

    fn deliver(&mut self, output: StepOutput) {
        let now = self.agenda.now();
        let own = &mut self.attempts[output.attempt];
        if !own.is_live {
            return;
        }
        own.tokens += 1;
        let (call, node, tokens) = (own.call, own.node, own.tokens);
        let is_first = tokens == own.resumed_at + 1;
        if let Some(flight) = own.flight {
            self.nodes[node].detector.progress(flight, 1, now);
        }
        if is_first {
            self.cancel_others(call, output.attempt);
            let arrival = self.arrival_at_caller(call, now);
            self.calls[call].record.first_token.get_or_insert(arrival);
        }
        let state = &mut self.calls[call];
        state.record.answer_tokens = state.record.answer_tokens.max(tokens);
        if tokens.is_multiple_of(PROGRESS_TOKENS)
            && let Some(slot) = state.slot
        {
            let total = state.record.tokens();
            let holder = state.holder;
            self.nodes[holder].waiting.progress(slot, total);
        }
        if output.is_done {
            self.complete(output.attempt);
        }
    }

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

    fn complete(&mut self, attempt: usize) {
        let now = self.agenda.now();
        let call = self.attempts[attempt].call;
        self.end_attempt(attempt, true);
        self.cancel_others(call, attempt);
        let arrival = self.arrival_at_caller(call, now);
        let state = &mut self.calls[call];
        let holder = state.holder;
        state.record.ended = Some(arrival);
        let customer = &self.terms[customer_index(&state.spec)].customer;
        self.nodes[state.entry]
            .limiter
            .record_success(customer, now);
        self.end_call(call, CallOutcome::Completed);
        self.pump(holder);
    }

    /// Removes an attempt from all counts; `complete` if its answer is whole.
    fn end_attempt(&mut self, attempt: usize, complete: bool) {
        let now = self.agenda.now();
        let own = &mut self.attempts[attempt];
        own.is_live = false;
        self.live.remove(&attempt);
        let (call, server) = (own.call, own.server);
        let node = &mut self.nodes[own.node];
        let position = node.position(server);
        let state = &mut self.calls[call];
        node.receive(position, &state.spec);
        if let Some(flight) = own.flight {
            node.detector.finish(flight, now);
        }
        state.live.retain(|live| *live != attempt);
        if self.variant.quarantine {
            let id = &node.servers[position].id;
            node.quarantine
                .record_finish(&state.spec.print, id, complete, now);
        }
    }

    fn cancel_others(&mut self, call: usize, winner: usize) {
        for attempt in self.calls[call].live.clone() {
            if attempt != winner {
                self.cancel(attempt);
            }
        }
    }

    pub(super) fn cancel(&mut self, attempt: usize) {
        self.end_attempt(attempt, false);
        let server = self.attempts[attempt].server;
        self.engines[server].cancel(attempt);
    }

    pub(super) fn hedge(&mut self, call: usize) {
        let state = &self.calls[call];
        let is_due = !state.has_ended
            && state.record.first_token.is_none()
            && state.live.len() == 1
            && state.sent == 1
            && state.holder == state.entry;
        if !is_due || !state.plan.may_repeat() || state.spec.class() != RequestClass::Short {
            return;
        }
        let node = self.attempts[state.live[0]].node;
        let entry = state.entry;
        let repeatable = state.spec.repeatable;
        let budget = self.nodes[entry].hedges;
        if self.nodes[entry]
            .hedges
            .try_hedge(RequestClass::Short, repeatable)
        {
            if self.choose_server(call, node, true, true) {
                self.record.hedges += 1;
            } else {
                self.nodes[entry].hedges = budget;
            }
        }
    }

    /// Resumes short streams of slow servers on other servers. The old attempt
    /// goes on until the new one has a token.
    pub(super) fn move_streams(&mut self) {
        let now = self.agenda.now();
        let live: Vec<usize> = self.live.iter().copied().collect();
        for attempt in live {
            let own = &self.attempts[attempt];
            let (call, node) = (own.call, own.node);
            let server = &self.nodes[node].servers[self.nodes[node].position(own.server)];
            if !is_move_due(self.nodes[node].detector.state(server.member, now)) {
                continue;
            }
            let state = &self.calls[call];
            let class = state.spec.class();
            let is_single = state.live.len() == 1 && state.holder == state.entry;
            if !is_single || class != RequestClass::Short || !state.plan.may_repeat() {
                continue;
            }
            let (entry, repeatable) = (state.entry, state.spec.repeatable);
            let budget = self.nodes[entry].moves;
            if self.nodes[entry].moves.try_hedge(class, repeatable) {
                if self.choose_server(call, node, true, true) {
                    self.record.moves += 1;
                } else {
                    self.nodes[entry].moves = budget;
                }
            }
        }
    }

    pub(super) fn refuse_connection(&mut self, attempt: usize) {
        if !self.attempts[attempt].is_live {
            return;
        }
        let now = self.agenda.now();
        let (node, server) = (self.attempts[attempt].node, self.attempts[attempt].server);
        self.nodes[node].mark_down(server, now);
        self.fail(attempt, AttemptFailure::Refused);
    }

    /// Ends a failed attempt and retries the call unless another one runs.
    pub(super) fn fail(&mut self, attempt: usize, failure: AttemptFailure) {
        if !self.attempts[attempt].is_live {
            return;
        }
        let call = self.attempts[attempt].call;
        self.end_attempt(attempt, false);
        let state = &self.calls[call];
        if state.has_ended || !state.live.is_empty() {
            return;
        }
        if state.record.first_token.is_some() {
            self.end_call(call, CallOutcome::Broken);
        } else {
            self.after_failure(call, failure);
        }
    }

    pub(super) fn expire(&mut self, call: usize) {
        if self.calls[call].has_ended {
            return;
        }
        for attempt in self.calls[call].live.clone() {
            self.cancel(attempt);
        }
        let holder = self.calls[call].holder;
        self.end_call(call, CallOutcome::TimedOut);
        self.pump(holder);
    }
}
