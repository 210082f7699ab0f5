//! Pace of calls to servers that start cold.
//!
//! Load pattern: servers return together, with empty caches, and every VM has
//! work for them. A cold server crashes under more than a few calls a second
//! over all VMs. One VM per cold server, by rendezvous over the live VMs, sends
//! at most half of the bound, so that two VMs that both believe to be the owner
//! stay inside it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Window of the bound.
const PACE_WINDOW: Duration = Duration::from_secs(1);

/// Bound on the calls to a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceLimits {
    /// Factor on the tolerated rate.
    pub factor: f64,
    /// Calls beyond the factor.
    pub slack: f64,
}

impl Default for PaceLimits {
    /// No tolerance beyond the rate.
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

impl PaceLimits {
    /// Calls that one owner may send in a second.
    pub fn owner_calls(&self, rate: f64) -> usize {
        ((rate * self.factor + self.slack) / 2.0).max(0.0) as usize
    }
}

/// Calls sent to one cold server.
#[derive(Debug, Clone, Default)]
pub struct PaceWindow {
    sent: VecDeque<Moment>,
}

impl PaceWindow {
    /// Whether another call stays within `limit` in every window.
    pub fn allows(&mut self, limit: usize, now: Moment) -> bool {
        while let Some(first) = self.sent.front() {
            if now.since(*first) <= PACE_WINDOW {
                break;
            }
            self.sent.pop_front();
        }
        self.sent.len() < limit
    }

    /// Counts a call.
    pub fn record(&mut self, now: Moment) {
        self.sent.push_back(now);
    }
}
