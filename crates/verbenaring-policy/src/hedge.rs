//! Delay and budget of hedged requests, and of streams that move to another server.
//!
//! A hedge is a second attempt at another server for a request that has not
//! received its first token yet; the attempt that answers first is used. A stream
//! moves when its server becomes slow after the first token: it is resumed on
//! another server, which the engine must support. Hedges and moves have separate
//! budgets.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::request::RequestClass;
use crate::router::ServerState;

/// Hedges, or moves, that each request adds to its budget.
pub const HEDGE_SHARE: f64 = 0.05;
/// Hedges, or moves, that a budget accumulates at most while none is needed.
pub const HEDGE_BURST: f64 = 10.0;
/// Quantile of the first-token latency after which a hedge is sent.
pub const HEDGE_QUANTILE: f64 = 0.95;
/// Slowdown from which streams are moved. Prefill of long prompts makes a healthy
/// engine up to 4.8 times slower than an idle one.
pub const MOVE_MIN_SLOWDOWN: f64 = 5.0;
/// Largest recorded latency; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Samples that must be recorded before the quantile is used.
const MIN_SAMPLES: u64 = 20;
/// Samples of one window; the distribution covers the current window and the one
/// before it.
const WINDOW_SAMPLES: u64 = 500;
/// Samples between two computations of the quantile.
const REFRESH_SAMPLES: u64 = 10;

/// Distribution of the recent first-token latencies of one model.
#[derive(Debug, Clone)]
pub struct FirstTokenLatency {
    current: Histogram<u32>,
    // The samples of `current` and of the window before it.
    merged: Histogram<u32>,
    quantile: Option<Duration>,
}

impl Default for FirstTokenLatency {
    fn default() -> Self {
        // Two significant digits resolve 1%, far below the spread of latencies.
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 2)
            .expect("bounds and digits are within the supported range");
        Self {
            current: histogram.clone(),
            merged: histogram,
            quantile: None,
        }
    }
}

impl FirstTokenLatency {
    /// Adds the first-token latency of one request.
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

    /// Time without a first token after which a hedge is sent; `None` while there
    /// are too few samples.
    pub fn hedge_delay(&self) -> Option<Duration> {
        self.quantile
    }
}

/// Whether short streams should move away from a server in this state.
pub fn should_move_streams(state: ServerState) -> bool {
    match state {
        ServerState::Ejected { .. } => true,
        ServerState::Slow { factor } => factor >= MOVE_MIN_SLOWDOWN,
        ServerState::Active | ServerState::Leaving => false,
    }
}

/// Budget of hedges or of moves: [`HEDGE_SHARE`] of the requests, at most
/// [`HEDGE_BURST`] at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct HedgeBudget {
    credit: f64,
}

impl HedgeBudget {
    /// Adds the share of one request to the budget; not to be called for hedges.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + HEDGE_SHARE).min(HEDGE_BURST);
    }

    /// Takes one hedge from the budget. Returns false if the budget is used up, or
    /// if the request is not short or must not be repeated.
    pub fn try_hedge(&mut self, class: RequestClass, repeatable: bool) -> bool {
        let allowed = repeatable && class == RequestClass::Short && self.credit >= 1.0;
        if allowed {
            self.credit -= 1.0;
        }
        allowed
    }
}
