//! Predicted cost of a call at one server, and whether it can be answered in time there.
//!
//! Load patterns: prompts queue at engines, and between two tokens of an answer an engine
//! reads a chunk of each waiting prompt, so that answers at busy engines end late. A call
//! that cannot end before its deadline takes time and memory from those that can.

use std::time::Duration;

use super::brittle::RESERVE_DIVISOR;
use super::place::PlacementRequest;
use super::server::{ServerKey, ServerRecord};
use super::table::ServerTable;
use crate::time::Moment;

/// Calls that a plain server accepts, as a multiple of its slots. Servers queue
/// a few times their slots and refuse the rest.
const PLAIN_QUEUE_FACTOR: u32 = 4;
/// Time in which an idle engine generates one token of an answer, in ms.
const IDLE_TOKEN_MS: f64 = 4.0;
/// Upper bound of the busy fraction in the prediction of answer times.
const MAX_BUSY: f64 = 0.9;
/// Cost of sending a call to another data centre of the region: the round trip.
const CROSSING_COST: Duration = Duration::from_millis(2);
/// Most of a server's penalty that enters the wait suggested to a refused call.
/// The penalty keeps calls away for longer than the server may need to recover.
const MAX_SUGGESTED_PENALTY: Duration = Duration::from_millis(1_000);

/// Why a server cannot answer a call in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverloadCause {
    /// The first event would come after the deadline.
    LateStart,
    /// The answer would end after the deadline.
    LateEnd,
    /// The server has no room for the call.
    Full,
}

/// Usable server with its predicted cost.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) key: ServerKey,
    pub(super) urgent: bool,
    pub(super) unread_tokens: u32,
    pub(super) queued_ahead: u32,
    pub(super) forecast: Duration,
    /// `forecast` with the penalty limited to [`MAX_SUGGESTED_PENALTY`].
    pub(super) suggested_wait: Duration,
    pub(super) busy: f64,
    pub(super) cost: Duration,
    /// What rules the server out; `None` if it is predicted to answer in time.
    pub(super) obstacle: Option<OverloadCause>,
}

impl Candidate {
    pub(super) fn is_in_time(&self) -> bool {
        self.obstacle.is_none()
    }
}

impl ServerTable {
    /// Prediction for a call at a server.
    pub(super) fn candidate(
        &self,
        key: ServerKey,
        request: &PlacementRequest<'_>,
        cache_source: Option<ServerKey>,
        now: Moment,
    ) -> Candidate {
        let record = &self.servers[key];
        let busy = self.busy(record, request.settings, now);
        let unread_tokens = self.unread_tokens(key, request, cache_source);
        let penalty = match request.through_peer {
            true => Duration::ZERO,
            false => record.health.penalty(now),
        };
        let (queued_ahead, first) =
            self.forecast(record, request.settings, unread_tokens, true, now);
        let first = first + penalty;
        let crossing = match self.is_in_own_centre(record) {
            true => Duration::ZERO,
            false => CROSSING_COST,
        };
        let cost =
            first + crossing + self.extra_cost(record, request, unread_tokens, queued_ahead, now);
        let urgent = request.elapsed + first <= request.goal.mul_f64(self.settings.goal_margin);
        let (queued_ahead, forecast) = match urgent {
            true => (queued_ahead, first),
            false => {
                let (queued_ahead, late_first) =
                    self.forecast(record, request.settings, unread_tokens, false, now);
                (queued_ahead, late_first + penalty)
            }
        };
        let end = forecast + answer_time(request, busy);
        let latest_end = request.remaining.mul_f64(self.settings.length_tolerance);
        let obstacle = if forecast > request.remaining {
            Some(OverloadCause::LateStart)
        } else if end > latest_end {
            Some(OverloadCause::LateEnd)
        } else if !self.has_room(key, request, now) {
            Some(OverloadCause::Full)
        } else {
            None
        };
        Candidate {
            key,
            urgent,
            unread_tokens,
            queued_ahead,
            forecast,
            suggested_wait: forecast - penalty + penalty.min(MAX_SUGGESTED_PENALTY),
            busy,
            cost,
            obstacle,
        }
    }

    /// Cost of a choice in addition to the call's own wait, as time: reading
    /// shared parts again, a slower answer, and stalls of running streams.
    fn extra_cost(
        &self,
        record: &ServerRecord,
        request: &PlacementRequest<'_>,
        unread_tokens: u32,
        queued_ahead: u32,
        now: Moment,
    ) -> Duration {
        if request.settings.cache_tokens.is_none() {
            return Duration::ZERO;
        }
        let own = request.prompt.last().map_or(0, |part| part.tokens);
        let reread_tokens = u64::from(unread_tokens.saturating_sub(own));
        let busy = self.busy(record, request.settings, now);
        let idle_time = answer_time(request, 0.0);
        let slowdown = answer_time(request, busy).saturating_sub(idle_time);
        let settings = &self.settings;
        let stall =
            (f64::from(queued_ahead) + f64::from(unread_tokens)) / settings.stall_tokens - 1.0;
        let calls = f64::from(record.load(now).calls);
        let stall_ms = stall.max(0.0) * calls * settings.stall_ms;
        self.model_of(request.service)
            .read_time(reread_tokens)
            .mul_f64(self.settings.reread_weight)
            + slowdown.mul_f64(settings.answer_weight)
            + Duration::from_secs_f64(stall_ms / 1_000.0)
    }

    fn has_room(&self, key: ServerKey, request: &PlacementRequest<'_>, now: Moment) -> bool {
        let record = &self.servers[key];
        let load = record.load(now);
        match request.settings.cache_tokens {
            None => {
                let accepted = record.entry.slots.saturating_mul(PLAIN_QUEUE_FACTOR);
                u32::from(load.calls) < accepted
            }
            Some(capacity) => {
                let memory = u64::from(load.memory_tokens)
                    + u64::from(request.prompt_tokens())
                    + u64::from(request.answer_tokens);
                let capacity = match self.is_brittle(request.service, now) {
                    true => capacity - capacity / u64::from(RESERVE_DIVISOR),
                    false => capacity,
                };
                load.calls == 0 || memory <= capacity
            }
        }
    }
}

/// Time to generate the answer. Between two tokens, the engine reads a chunk of
/// each waiting prompt.
fn answer_time(request: &PlacementRequest<'_>, busy: f64) -> Duration {
    if request.settings.cache_tokens.is_none() {
        return Duration::ZERO;
    }
    let idle_share = 1.0 - busy.min(MAX_BUSY);
    Duration::from_secs_f64(f64::from(request.answer_tokens) * IDLE_TOKEN_MS / idle_share / 1_000.0)
}
