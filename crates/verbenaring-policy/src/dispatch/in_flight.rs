//! Accounts for calls from the moment they are sent until they end, and learns from them
//! how long work takes.

use std::time::Duration;

use super::forecast::{FirstEventModel, FirstEventSample};
use super::health::AnswerQuality;
use super::place::{Placement, PlacementRequest};
use super::server::{CallOutcome, InFlightCall};
use super::table::ServerTable;
use crate::id::ServiceName;
use crate::time::Moment;

impl ServerTable {
    /// Records that a call is sent to its placement.
    pub fn record_sent(
        &mut self,
        placement: &Placement,
        call: &PlacementRequest<'_>,
        now: Moment,
    ) -> InFlightCall {
        let memory_tokens = call.prompt_tokens().saturating_add(call.answer_tokens);
        let record = &mut self.servers[placement.key];
        let own = &mut record.own_share;
        match placement.urgent {
            true => own.urgent_tokens += placement.unread_tokens,
            false => own.late_tokens += placement.unread_tokens,
        }
        own.memory_tokens += memory_tokens;
        own.calls += 1;
        record.rate.add(placement.unread_tokens, now);
        record.health.record_sent(now);
        record.signs.unanswered_since.get_or_insert(now);
        record.pace.record(now);
        record.statements.limit.record_sent(now);
        if let Some(capacity) = call.settings.cache_tokens {
            let prompt = call.prompt_record(record.name_hash);
            record.cache.record(&prompt, capacity, now);
            self.queue_prompt_record(prompt);
        }
        InFlightCall {
            key: placement.key,
            urgent: placement.urgent,
            unread_tokens: placement.unread_tokens,
            queued_ahead: placement.queued_ahead,
            memory_tokens,
            sent_at: now,
        }
    }

    /// Learned models of the engines' time to the first event, by service.
    pub fn first_event_models(&self) -> impl Iterator<Item = (&ServiceName, &FirstEventModel)> {
        self.engine_models.iter()
    }

    /// Records the first event or the answer of a call and learns its time.
    pub fn record_first_event(&mut self, call: &InFlightCall, now: Moment) {
        let Some(record) = self.servers.get_mut(call.key) else {
            return;
        };
        record.release_unread(call);
        record.health.record_progress(now);
        record.signs.unanswered_since = None;
        self.learn_time(call, now.since(call.sent_at), now);
    }

    /// Time to the first event or the answer that was to be expected of a call; `None` once
    /// its server is dropped.
    pub(super) fn expected_time(&self, call: &InFlightCall) -> Option<Duration> {
        let entry = self.entry(call.key)?;
        if entry.models.is_empty() {
            let model = self.service_time_models.get(&entry.service);
            let model = model.cloned().unwrap_or_default();
            return Some(model.predict(call.queued_ahead, entry.slots));
        }
        let model = self.model_of(&entry.service);
        let (own, ahead) = (call.unread_tokens, call.queued_ahead);
        Some(model.predict(u64::from(own), u64::from(ahead)))
    }

    /// Learns the time to the first event or the answer of a call.
    pub(super) fn learn_time(&mut self, call: &InFlightCall, observed: Duration, now: Moment) {
        let Some(record) = self.servers.get(call.key) else {
            return;
        };
        let service = record.entry.service.clone();
        if record.entry.models.is_empty() {
            let slots = record.entry.slots;
            let model = self.service_time_models.entry(service).or_default();
            model.learn(call.queued_ahead, slots, observed);
        } else {
            let model = self.engine_models.entry(service).or_default();
            let sample = FirstEventSample {
                own_tokens: u64::from(call.unread_tokens),
                ahead_tokens: u64::from(call.queued_ahead),
                observed,
                urgent: call.urgent,
            };
            model.learn(sample, now);
        }
    }

    /// Takes back a call that was not sent after all; it counts neither towards the pace nor
    /// towards the rate of work.
    pub fn withdraw(&mut self, call: &InFlightCall, now: Moment) {
        if let Some(record) = self.servers.get_mut(call.key) {
            record.pace.withdraw(call.sent_at);
            record.rate.take_back(call.unread_tokens, call.sent_at, now);
        }
        self.record_end(call, false, CallOutcome::Abandoned, now);
    }

    /// Records the end of a call; `begun` tells whether its first event arrived.
    pub fn record_end(&mut self, call: &InFlightCall, begun: bool, end: CallOutcome, now: Moment) {
        let Some(record) = self.servers.get_mut(call.key) else {
            return;
        };
        if !begun {
            record.release_unread(call);
        }
        let own = &mut record.own_share;
        own.memory_tokens = own.memory_tokens.saturating_sub(call.memory_tokens);
        own.calls = own.calls.saturating_sub(1);
        match end {
            CallOutcome::Good => {
                record.health.record_answer(AnswerQuality::Good, now);
                record.process.record_answered(now);
                record.refusals = 0;
            }
            CallOutcome::Failed => record.health.record_answer(AnswerQuality::Failed, now),
            CallOutcome::Broken => record.health.record_answer(AnswerQuality::Broken, now),
            CallOutcome::Refused => {
                record.health.record_refused(now);
                record.process.record_refused(now);
            }
            CallOutcome::Abandoned => {}
        }
    }
}
