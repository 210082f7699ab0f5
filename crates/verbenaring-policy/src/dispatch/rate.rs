//! Average rate of recent work.

use std::time::Duration;

use crate::time::Moment;

/// Time constant of the average. It smooths bursts of a few hundred ms and shows
/// a rise of the load within two seconds.
const TIME_CONSTANT: Duration = Duration::from_millis(1_500);

/// Longest prediction, in multiples of [`TIME_CONSTANT`].
const MAX_TIME_CONSTANTS: f64 = 10.0;

/// Exponentially weighted rate of work, in units of the added amounts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct WorkRate {
    sum: f64,
    updated_at: Moment,
}

impl WorkRate {
    /// Adds an amount of work.
    pub fn add(&mut self, amount: u32, now: Moment) {
        self.sum = self.decayed(now) + f64::from(amount);
        self.updated_at = now;
    }

    /// Takes back an amount that was added at `added_at`.
    pub fn take_back(&mut self, amount: u32, added_at: Moment, now: Moment) {
        let elapsed = now.since(added_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.sum = (self.decayed(now) - f64::from(amount) * (-elapsed).exp()).max(0.0);
        self.updated_at = now;
    }

    /// Average work per second.
    pub fn per_second(&self, now: Moment) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    /// Time in which a rate falls from `from` to `to` without new work; at most ten
    /// time constants.
    pub fn time_to_fall(from: f64, to: f64) -> Duration {
        let time_constants = (from / to.max(f64::EPSILON)).ln().max(0.0);
        TIME_CONSTANT.mul_f64(time_constants.min(MAX_TIME_CONSTANTS))
    }

    fn decayed(&self, now: Moment) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / TIME_CONSTANT.as_secs_f64();
        self.sum * (-elapsed).exp()
    }
}
