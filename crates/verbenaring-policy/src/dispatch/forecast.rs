//! Predicted time to the first event of a generation.
//!
//! Load pattern: prompts are read one after another, so the time to the first
//! event grows with the unread tokens ahead of a request. Base time and time
//! per token are learned from the answers of the last seconds by recursive
//! least squares, because neither is configured and both change with the load.

use std::time::Duration;

/// Weight that an earlier sample keeps with each new one; 0.98 spans about 50.
const MEMORY: f64 = 0.98;
/// Base time before the first sample, in ms; typical for a loaded engine.
const START_BASE_MS: f64 = 50.0;
/// Time per 1,000 unread tokens before the first sample, in ms.
const START_KTOKEN_MS: f64 = 10.0;
/// Bounds of the learned time per 1,000 tokens, in ms. They keep a burst of
/// odd samples from making the model useless.
const KTOKEN_MS: (f64, f64) = (2.0, 100.0);
/// Bounds of the learned base time, in ms.
const BASE_MS: (f64, f64) = (1.0, 1_000.0);
/// Uncertainty of the start values, in units of their squares.
const START_VARIANCE: f64 = 10.0;

/// Learned model of the time to the first event.
#[derive(Debug, Clone)]
pub struct FirstEventModel {
    base_ms: f64,
    ktoken_ms: f64,
    covariance: [[f64; 2]; 2],
}

impl Default for FirstEventModel {
    fn default() -> Self {
        Self {
            base_ms: START_BASE_MS,
            ktoken_ms: START_KTOKEN_MS,
            covariance: [[START_VARIANCE, 0.0], [0.0, START_VARIANCE]],
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
        Duration::from_secs_f64((self.base_ms + self.ktoken_ms * kilo(tokens)) / 1_000.0)
    }

    /// Time to read `tokens`.
    pub fn read_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(self.ktoken_ms * kilo(tokens) / 1_000.0)
    }

    /// Learns from a request that had `tokens` unread tokens up to its own end.
    pub fn learn(&mut self, tokens: u64, observed: Duration) {
        let input = [1.0, kilo(tokens)];
        let error = observed.as_secs_f64() * 1_000.0 - self.base_ms - self.ktoken_ms * input[1];
        let spread = self.times(input);
        let scale = MEMORY + input[0] * spread[0] + input[1] * spread[1];
        let gain = [spread[0] / scale, spread[1] / scale];
        self.base_ms = (self.base_ms + gain[0] * error).clamp(BASE_MS.0, BASE_MS.1);
        self.ktoken_ms = (self.ktoken_ms + gain[1] * error).clamp(KTOKEN_MS.0, KTOKEN_MS.1);
        for (row, part) in self.covariance.iter_mut().zip(gain) {
            for (cell, other) in row.iter_mut().zip(spread) {
                // The bound keeps the gain finite while all samples are alike.
                *cell = ((*cell - part * other) / MEMORY).clamp(-START_VARIANCE, START_VARIANCE);
            }
        }
    }

    fn times(&self, input: [f64; 2]) -> [f64; 2] {
        let row = |row: &[f64; 2]| row[0] * input[0] + row[1] * input[1];
        [row(&self.covariance[0]), row(&self.covariance[1])]
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
