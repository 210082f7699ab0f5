//! Weights and limits of the choice of a server and a region.

use serde::{Deserialize, Serialize};

/// Weights and limits of the choice of a server and a region.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DispatchSettings {
    /// Part of the goal that a prediction may use; the rest covers its error.
    pub goal_margin: f64,
    /// Part of their time for reading prompts up to which servers keep their
    /// work in the region.
    pub spill_busy: f64,
    /// Difference to another region below which work stays. It costs bytes and
    /// reading there, and the report of that region is old.
    pub spill_difference: f64,
    /// Part of its time for reading prompts beyond which an engine takes no
    /// call of rank 0. Above it, answers advance too slowly to end in time.
    pub busy_limit: f64,
    /// By how much the limit falls with each rank, so that the more urgent
    /// calls are served when not all can be.
    pub busy_rank_step: f64,
    /// Weight of the time to read shared parts again beside the time that the
    /// call waits. Reading them takes the server's time from all its calls.
    pub reread_weight: f64,
    /// Part of the shared tokens that a server still has to read when it can
    /// copy them: the other server may have dropped them.
    pub copy_share: f64,
    /// Weight of the time for the answer's tokens: a later end costs less than
    /// a later first event.
    pub answer_weight: f64,
    /// Tokens that an engine may read without pause before the streams that run
    /// there stall noticeably: a few chunks.
    pub stall_tokens: f64,
    /// Cost of each stream that stalls while another as many tokens are read,
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
    /// Part of its time for reading prompts beyond which an engine takes no
    /// call of `rank`.
    pub fn busy_limit(&self, rank: u8) -> f64 {
        self.busy_limit - self.busy_rank_step * f64::from(rank)
    }
}
