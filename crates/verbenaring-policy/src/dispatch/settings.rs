//! Weights and limits in the choice of a server and a region.

use serde::{Deserialize, Serialize};

/// Weights and limits in the choice of a server and a region.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DispatchSettings {
    /// Fraction of the goal that a prediction may use; the rest covers its error.
    pub goal_margin: f64,
    /// Fraction of their time spent reading prompts up to which the servers of a
    /// region keep their calls.
    pub spill_busy: f64,
    /// Minimum difference of that fraction to another region before calls move
    /// there. A move costs traffic and reading, and the region's report is old.
    pub spill_difference: f64,
    /// Fraction of its time spent reading prompts above which an engine takes no
    /// calls of rank 0, because answers progress too slowly to end in time.
    pub busy_limit: f64,
    /// The same where every server is above `busy_limit` and the call is predicted to meet
    /// its goal all the same: the rate of work is an average, which a burst raises before
    /// queues are long.
    pub burst_busy_limit: f64,
    /// Factor by which the predicted end of an answer may exceed the remaining time.
    /// Callers' estimates of the length of answers are often far off.
    pub length_tolerance: f64,
    /// Fraction of their time that engines are to spend reading prompts while callers ask
    /// for more: of the least urgent calls, as many are refused as keeps it. 0 admits
    /// calls as they come.
    pub target_busy: f64,
    /// Decrease of both limits per rank, so that more urgent calls are served
    /// when there is no capacity for all.
    pub busy_rank_step: f64,
    /// Weight of the time to read shared parts again, relative to the wait of the
    /// call. Reading them takes server time from all calls there.
    pub reread_weight: f64,
    /// Expected fraction of the shared tokens that a server has to read although
    /// it can copy them, as the other server may have evicted them.
    pub copy_share: f64,
    /// Weight of the time to generate the answer; a later end costs less than a
    /// later first event.
    pub answer_weight: f64,
    /// Tokens, a few chunks, that an engine may read without a pause before the
    /// streams that run there stall noticeably.
    pub stall_tokens: f64,
    /// Cost per running call and per further `stall_tokens` read without a pause,
    /// in ms of waiting.
    pub stall_ms: f64,
}

impl Default for DispatchSettings {
    fn default() -> Self {
        Self {
            goal_margin: 0.7,
            spill_busy: 0.3,
            spill_difference: 0.1,
            busy_limit: 0.85,
            burst_busy_limit: 100.0,
            length_tolerance: 1.5,
            target_busy: 0.0,
            busy_rank_step: 0.1,
            reread_weight: 3.0,
            copy_share: 0.3,
            answer_weight: 0.1,
            stall_tokens: 8_000.0,
            stall_ms: 100.0,
        }
    }
}

impl DispatchSettings {
    /// Fraction of its time spent reading prompts above which an engine takes no
    /// calls of `rank`.
    pub fn busy_limit(&self, rank: u8) -> f64 {
        self.busy_limit - self.busy_rank_step * f64::from(rank)
    }

    /// The same for calls that are predicted to meet their goal although every server is
    /// busier.
    pub fn burst_busy_limit(&self, rank: u8) -> f64 {
        self.burst_busy_limit - self.busy_rank_step * f64::from(rank)
    }
}
