//! Delay and budget of hedged requests and moved streams.
//!
//! A hedge competes with a request that has no token yet. A moved stream is
//! resumed on another server after its own became slow in mid-stream; the
//! engine must support it. Both have a budget of their own.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::request::RequestClass;
use crate::router::ServerState;

/// Share of requests that may be hedged.
pub const HEDGE_SHARE: f64 = 0.05;
/// Hedges that may be saved up while none is needed.
pub const HEDGE_BURST: f64 = 10.0;
/// Quantile of the first-token latency after which a hedge is sent.
pub const HEDGE_QUANTILE: f64 = 0.95;
/// Slowness from which streams are moved. Prefill of long prompts makes a healthy
/// engine up to 4.8 times slower than an idle one.
pub const MOVE_FACTOR: f64 = 5.0;
/// Longer latencies count as this one.
const LONGEST_LATENCY_US: u64 = 60_000_000;
/// Samples before a quantile is used.
const MIN_SAMPLES: u64 = 20;
/// Samples after which the older half of the distribution is dropped.
const WINDOW_SAMPLES: u64 = 500;
/// Samples between two computations of the quantile.
const REFRESH_SAMPLES: u64 = 10;

/// Running distribution of the first-token latency of one model.
#[derive(Debug, Clone)]
pub struct FirstTokenLatency {
    current: Histogram<u32>,
    merged: Histogram<u32>,
    quantile: Option<Duration>,
}

impl Default for FirstTokenLatency {
    fn default() -> Self {
        // Two digits resolve 1%, far below the spread of the latency.
        let histogram = Histogram::new_with_bounds(1, LONGEST_LATENCY_US, 2)
            .expect("bounds and digits are within the supported range");
        Self {
            current: histogram.clone(),
            merged: histogram,
            quantile: None,
        }
    }
}

impl FirstTokenLatency {
    /// Adds a sample.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros);
        self.merged.saturating_record(micros);
        if self.current.len() >= WINDOW_SAMPLES {
            self.merged = self.current.clone();
            self.current.reset();
        }
        let count = self.merged.len();
        if count >= MIN_SAMPLES
            && (self.quantile.is_none() || count.is_multiple_of(REFRESH_SAMPLES))
        {
            let micros = self.merged.value_at_quantile(HEDGE_QUANTILE);
            self.quantile = Some(Duration::from_micros(micros));
        }
    }

    /// Time without a first token after which a hedge is sent.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.quantile
    }
}

/// Whether short streams on a server in this state should be moved.
pub fn should_move_streams(state: ServerState) -> bool {
    match state {
        ServerState::Ejected { .. } => true,
        ServerState::Slow { factor } => factor >= MOVE_FACTOR,
        ServerState::Active | ServerState::Leaving => false,
    }
}

/// Budget of hedges or of moves as a share of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct HedgeBudget {
    credit: f64,
}

impl HedgeBudget {
    /// Counts a request that is not itself a hedge.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + HEDGE_SHARE).min(HEDGE_BURST);
    }

    /// Takes a hedge from the budget, for short idempotent requests only.
    pub fn try_hedge(&mut self, class: RequestClass, repeatable: bool) -> bool {
        let allowed = repeatable && class == RequestClass::Short && self.credit >= 1.0;
        if allowed {
            self.credit -= 1.0;
        }
        allowed
    }
}
