//! Predicted time to the first event of a generation.
//!
//! Load pattern: prompts are read one after another, so the time to the first
//! event grows with the unread tokens ahead of a request. Base time and time
//! per token are learned from the answers, because neither is configured and
//! both change with the load. Many calls take longer than their tokens explain:
//! they wait behind work of other VMs that is not known yet, or at a server
//! that is slow or cold. The model therefore follows the median, and one answer
//! moves it by a fixed step, however late it came.

use std::time::Duration;

use crate::time::Moment;

/// Step of the learned times with one sample, as a share of them. Halving or
/// doubling takes about 35 samples, which a busy VM has in a second.
const STEP: f64 = 0.04;
/// Base time before the first sample, in ms; typical for a loaded engine.
const START_BASE_MS: f64 = 50.0;
/// Time per 1,000 unread tokens before the first sample, in ms.
const START_KTOKEN_MS: f64 = 10.0;
/// Bounds of the learned time per 1,000 tokens, in ms. They keep a burst of
/// odd samples from making the model useless.
const KTOKEN_MS: (f64, f64) = (2.0, 100.0);
/// Time without answers of urgent calls after which late ones count.
const LATE_ONLY_AFTER: Duration = Duration::from_secs(1);
/// Bounds of the learned base time, in ms.
const BASE_MS: (f64, f64) = (1.0, 1_000.0);

/// Measured time to the first event of one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEventSample {
    /// Unread tokens up to the end of the call's own prompt.
    pub tokens: u64,
    /// Measured time.
    pub observed: Duration,
    /// Whether the call was sent as urgent.
    pub urgent: bool,
}

/// Learned model of the time to the first event.
#[derive(Debug, Clone, Copy)]
pub struct FirstEventModel {
    base_ms: f64,
    ktoken_ms: f64,
    urgent_at: Option<Moment>,
}

impl Default for FirstEventModel {
    fn default() -> Self {
        Self {
            base_ms: START_BASE_MS,
            ktoken_ms: START_KTOKEN_MS,
            urgent_at: None,
        }
    }
}

impl FirstEventModel {
    /// Learned base time and time per 1,000 unread tokens, in ms.
    pub fn learned_ms(&self) -> (f64, f64) {
        (self.base_ms, self.ktoken_ms)
    }

    /// Time to the first event with `tokens` unread tokens, the request's own included.
    pub fn predict(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.base_ms / 1_000.0) + self.read_time(tokens)
    }

    /// Time to read `tokens`.
    pub fn read_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.ktoken_ms * kilo(tokens) / 1_000.0)
    }

    /// Learns from the first event of a call.
    ///
    /// The larger part of the prediction is corrected: short prompts tell
    /// little about the reading, long ones little about the base time. Late
    /// calls also wait for urgent ones that come after them, so they only count
    /// where there are no urgent ones. Without them, a model that predicts all
    /// calls to be late would learn nothing any more.
    pub fn learn(&mut self, sample: FirstEventSample, now: Moment) {
        let urgent_age = self.urgent_at.map(|at| now.since(at));
        match sample.urgent {
            true => self.urgent_at = Some(now),
            false if urgent_age.is_some_and(|age| age < LATE_ONLY_AFTER) => return,
            false => {}
        }
        let read_ms = self.ktoken_ms * kilo(sample.tokens);
        let half = match sample.observed > self.predict(sample.tokens) {
            true => 0.5,
            false => -0.5,
        };
        let factor = 1.0 + STEP * half;
        if read_ms > self.base_ms {
            self.ktoken_ms = (self.ktoken_ms * factor).clamp(KTOKEN_MS.0, KTOKEN_MS.1);
        } else {
            self.base_ms = (self.base_ms * factor).clamp(BASE_MS.0, BASE_MS.1);
        }
    }
}

fn kilo(tokens: u64) -> f64 {
    tokens as f64 / 1_000.0
}

/// Weight of a new sample of a service time.
const SERVICE_WEIGHT: f64 = 0.05;
/// Service time before the first sample.
const START_SERVICE_MS: f64 = 30.0;

/// Learned time that a plain service takes for one call.
#[derive(Debug, Clone)]
pub struct ServiceTimeModel {
    mean_ms: f64,
}

impl Default for ServiceTimeModel {
    fn default() -> Self {
        Self {
            mean_ms: START_SERVICE_MS,
        }
    }
}

impl ServiceTimeModel {
    /// Time to the answer with `ahead` calls at a server of `slots` slots.
    pub fn predict(&self, ahead: u32, slots: u32) -> Duration {
        let slots = f64::from(slots.max(1));
        let rounds = 1.0 + (f64::from(ahead) + 1.0 - slots).max(0.0) / slots;
        Duration::from_secs_f64(self.mean_ms * rounds / 1_000.0)
    }

    /// Learns from a call that had `ahead` others before it.
    pub fn learn(&mut self, ahead: u32, slots: u32, observed: Duration) {
        let rounds =
            1.0 + (f64::from(ahead) + 1.0 - f64::from(slots)).max(0.0) / f64::from(slots.max(1));
        let sample = observed.as_secs_f64() * 1_000.0 / rounds;
        self.mean_ms += SERVICE_WEIGHT * (sample - self.mean_ms);
    }
}
