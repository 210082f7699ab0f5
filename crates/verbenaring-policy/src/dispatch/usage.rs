//! Rate of work over the last moments.

use std::time::Duration;

use crate::time::Moment;

/// Time over which work is averaged. Bursts of some hundred ms are smoothed,
/// a rise of the load is seen within two seconds.
const RATE_TIME: Duration = Duration::from_millis(1_500);

/// Most multiples of [`RATE_TIME`] that a prediction spans.
const MAX_TIMES: f64 = 10.0;

/// Exponentially decaying rate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkRate {
    sum: f64,
    at: Moment,
}

impl WorkRate {
    /// Counts work.
    pub fn add(&mut self, amount: u32, now: Moment) {
        self.sum = self.decayed(now) + f64::from(amount);
        self.at = now;
    }

    /// Work per second.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.decayed(now) / RATE_TIME.as_secs_f64()
    }

    /// Time in which a rate falls from `from` to `to` without new work.
    pub fn time_to_fall(from: f64, to: f64) -> Duration {
        let halvings = (from / to.max(f64::EPSILON)).ln().max(0.0);
        RATE_TIME.mul_f64(halvings.min(MAX_TIMES))
    }

    fn decayed(&self, now: Moment) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / RATE_TIME.as_secs_f64();
        self.sum * (-passed).exp()
    }
}
