//! Predicted time to the first event of a generation or to a plain answer.
//!
//! Load pattern: prompts are read one after another, so the time to the first
//! event grows with the prompt of a request and with the unread tokens ahead of
//! it. Base time and times per token are learned from the answers, because they
//! are not configured and change with the load. The two times per token differ:
//! the prompt is known, while the tokens ahead are an estimate, part of which the
//! engine has read or finds in its cache. A common time made long prompts on idle
//! engines look two to three times faster than they are. Many calls take longer
//! than their tokens explain: they wait behind calls of other VMs that are not yet
//! reported, or at a server that is slow or cold. The model therefore tracks the
//! median: each answer moves it by a fixed step, no matter how late the answer
//! was.

use std::time::Duration;

use crate::time::Moment;

/// Step size of the learned times, as a fraction of them. A sample moves a time up
/// or down by half of it, so halving or doubling takes about 35 samples, which a
/// busy VM gets in a second.
const LEARNING_STEP: f64 = 0.04;
/// Base time before the first sample, in ms; typical for a loaded engine.
const INITIAL_BASE_MS: f64 = 50.0;
/// Time per 1,000 unread tokens before the first sample, in ms.
const INITIAL_KTOKEN_MS: f64 = 10.0;
/// Bounds of the learned time per 1,000 tokens, in ms. They keep the model usable
/// after a burst of outliers.
const KTOKEN_MS_BOUNDS: (f64, f64) = (2.0, 100.0);
/// Time without samples of urgent calls after which the model learns from others.
const URGENT_PREFERENCE_TIME: Duration = Duration::from_secs(1);
/// Bounds of the learned base time, in ms.
const BASE_MS_BOUNDS: (f64, f64) = (1.0, 1_000.0);

/// Measured time to the first event of one call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstEventSample {
    /// Unread tokens of the call's own prompt.
    pub own_tokens: u64,
    /// Unread tokens ahead of the call.
    pub ahead_tokens: u64,
    /// Measured time from sending to the first event.
    pub observed: Duration,
    /// Whether the call was sent as urgent.
    pub urgent: bool,
}

/// Learned model of an engine's time to the first event.
#[derive(Debug, Clone, Copy)]
pub struct FirstEventModel {
    times: LearnedTimes,
    last_urgent_at: Option<Moment>,
}

/// Terms of a [`FirstEventModel`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearnedTimes {
    /// Time to the first event of an empty prompt on an idle engine, in ms.
    pub base_ms: f64,
    /// Time per 1,000 unread tokens of the call's own prompt, in ms.
    pub own_ktoken_ms: f64,
    /// Time per 1,000 unread tokens ahead of the call, in ms.
    pub ahead_ktoken_ms: f64,
}

impl Default for FirstEventModel {
    fn default() -> Self {
        Self {
            times: LearnedTimes {
                base_ms: INITIAL_BASE_MS,
                own_ktoken_ms: INITIAL_KTOKEN_MS,
                ahead_ktoken_ms: INITIAL_KTOKEN_MS,
            },
            last_urgent_at: None,
        }
    }
}

impl FirstEventModel {
    /// Learned times.
    pub fn learned(&self) -> LearnedTimes {
        self.times
    }

    /// Predicted time to the first event of a call with `own_tokens` unread tokens
    /// behind `ahead_tokens` others.
    pub fn predict(&self, own_tokens: u64, ahead_tokens: u64) -> Duration {
        duration_from_ms(self.times.base_ms)
            + self.read_time(own_tokens)
            + self.queue_time(ahead_tokens)
    }

    /// Predicted time to read `tokens` of a prompt.
    pub fn read_time(&self, tokens: u64) -> Duration {
        duration_from_ms(self.times.own_ktoken_ms * to_thousands(tokens))
    }

    /// Predicted time until `tokens` that are estimated to be unread are read.
    pub fn queue_time(&self, tokens: u64) -> Duration {
        duration_from_ms(self.times.ahead_ktoken_ms * to_thousands(tokens))
    }

    /// Learns from the first event of a call.
    ///
    /// Only the largest term of the prediction is corrected: short prompts say
    /// little about the read time, long ones little about the base time. Calls that
    /// are not urgent also wait for urgent ones that arrive later, so they count
    /// only while there are no urgent ones. If they never counted, a model that
    /// predicts all calls to be late could not recover.
    pub fn learn(&mut self, sample: FirstEventSample, now: Moment) {
        let urgent_age = self.last_urgent_at.map(|at| now.since(at));
        match sample.urgent {
            true => self.last_urgent_at = Some(now),
            false if urgent_age.is_some_and(|age| age < URGENT_PREFERENCE_TIME) => return,
            false => {}
        }
        let predicted = self.predict(sample.own_tokens, sample.ahead_tokens);
        let direction = match sample.observed > predicted {
            true => 0.5,
            false => -0.5,
        };
        let factor = 1.0 + LEARNING_STEP * direction;
        let times = &mut self.times;
        let own_ms = times.own_ktoken_ms * to_thousands(sample.own_tokens);
        let ahead_ms = times.ahead_ktoken_ms * to_thousands(sample.ahead_tokens);
        let (term, bounds) = if ahead_ms > own_ms.max(times.base_ms) {
            (&mut times.ahead_ktoken_ms, KTOKEN_MS_BOUNDS)
        } else if own_ms > times.base_ms {
            (&mut times.own_ktoken_ms, KTOKEN_MS_BOUNDS)
        } else {
            (&mut times.base_ms, BASE_MS_BOUNDS)
        };
        *term = (*term * factor).clamp(bounds.0, bounds.1);
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}

fn to_thousands(tokens: u64) -> f64 {
    tokens as f64 / 1_000.0
}

/// Weight of a new sample in the mean service time.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.05;
/// Service time before the first sample, in ms.
const INITIAL_SERVICE_MS: f64 = 30.0;

/// Learned mean time in which a plain service runs one call.
#[derive(Debug, Clone)]
pub struct ServiceTimeModel {
    mean_ms: f64,
}

impl Default for ServiceTimeModel {
    fn default() -> Self {
        Self {
            mean_ms: INITIAL_SERVICE_MS,
        }
    }
}

impl ServiceTimeModel {
    /// Predicted time to the answer with `queued_ahead` calls at a server that runs
    /// `slots` calls at a time.
    pub fn predict(&self, queued_ahead: u32, slots: u32) -> Duration {
        let slots = f64::from(slots.max(1));
        let rounds = 1.0 + (f64::from(queued_ahead) + 1.0 - slots).max(0.0) / slots;
        Duration::from_secs_f64(self.mean_ms * rounds / 1_000.0)
    }

    /// Learns from the answer of a call that had `queued_ahead` calls ahead of it.
    pub fn learn(&mut self, queued_ahead: u32, slots: u32, observed: Duration) {
        let rounds = 1.0
            + (f64::from(queued_ahead) + 1.0 - f64::from(slots)).max(0.0) / f64::from(slots.max(1));
        let sample = observed.as_secs_f64() * 1_000.0 / rounds;
        self.mean_ms += SERVICE_SAMPLE_WEIGHT * (sample - self.mean_ms);
    }
}
