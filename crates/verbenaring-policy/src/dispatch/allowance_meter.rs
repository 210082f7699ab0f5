//! Amounts of one tenant at this VM in the time that VMs take to tell each other of them.

use std::time::Duration;

use crate::time::Moment;

/// Time within which all VMs have heard of a change: 100 ms to a relay, 300 ms to another
/// region, 100 ms to the other relays and 100 ms to their groups, and the pauses of VMs
/// with a small part of a core.
pub const EXCHANGE_TIME: Duration = Duration::from_millis(800);
/// Parts into which [`EXCHANGE_TIME`] is divided.
const BUCKETS: usize = 16;
/// Time constant of the demand of VMs with rare calls.
pub(super) const SLOW_TIME: Duration = Duration::from_secs(6);
const BUCKET_MICROS: i64 = EXCHANGE_TIME.as_micros() as i64 / BUCKETS as i64;

/// Charges and demand within the last [`EXCHANGE_TIME`].
#[derive(Debug, Clone, Default)]
pub(super) struct TenantMeter {
    bucket: i64,
    charged: [f64; BUCKETS],
    demanded: [f32; BUCKETS],
    /// Demand of the time before the end of each bucket.
    past_demand: [f32; BUCKETS],
    charged_sum: f64,
    /// Average demand per second up to [`EXCHANGE_TIME`] ago.
    slow_demand: f64,
}

impl TenantMeter {
    pub(super) fn new(now: Moment) -> Self {
        Self {
            bucket: now.0.div_euclid(BUCKET_MICROS),
            ..Self::default()
        }
    }

    /// Moves on to `now`; returns whether a new bucket has begun.
    pub(super) fn advance(&mut self, now: Moment) -> bool {
        let current = now.0.div_euclid(BUCKET_MICROS);
        let steps = current.saturating_sub(self.bucket);
        if steps <= 0 {
            return false;
        }
        for _ in 0..steps.min(2 * BUCKETS as i64) {
            let demand = self.demanded.iter().sum();
            self.past_demand[slot(self.bucket)] = demand;
            self.bucket += 1;
            let leaving = f64::from(self.demanded[slot(self.bucket)]);
            let bucket = BUCKET_MICROS as f64 / 1e6;
            let part = bucket / SLOW_TIME.as_secs_f64();
            self.slow_demand += (leaving / bucket - self.slow_demand) * part;
            self.charged[slot(self.bucket)] = 0.0;
            self.demanded[slot(self.bucket)] = 0.0;
        }
        if self.bucket < current {
            self.bucket = current;
            self.charged = Default::default();
            self.demanded = Default::default();
            self.past_demand = Default::default();
            self.slow_demand = 0.0;
        }
        self.charged_sum = self.charged.iter().sum();
        true
    }

    pub(super) fn record_demand(&mut self, cost: u64) {
        self.demanded[slot(self.bucket)] += cost as f32;
    }

    /// Adds a charge, or takes one back if it is negative.
    pub(super) fn record_charge(&mut self, amount: f64) {
        self.charged[slot(self.bucket)] += amount;
        self.charged_sum += amount;
    }

    /// Charges that other VMs may not have heard of.
    pub(super) fn unseen(&self) -> f64 {
        self.charged_sum.max(0.0)
    }

    /// Charges per second; negative while more is returned than charged.
    pub(super) fn spent_rate(&self) -> f64 {
        self.charged_sum / EXCHANGE_TIME.as_secs_f64()
    }

    /// Demand per second.
    pub(super) fn demand_rate(&self) -> f64 {
        let demand: f32 = self.demanded.iter().sum();
        f64::from(demand) / EXCHANGE_TIME.as_secs_f64()
    }

    /// Average demand per second of a longer time, without what others may not know.
    pub(super) fn slow_demand_rate(&self) -> f64 {
        self.slow_demand
    }

    /// Least demand per second that this VM had within [`EXCHANGE_TIME`], so that each VM
    /// knows at least this much of it.
    pub(super) fn known_demand_rate(&self) -> f64 {
        let least = self.past_demand.iter().copied().fold(f32::MAX, f32::min);
        let least = f64::from(least) / EXCHANGE_TIME.as_secs_f64();
        least.min(self.demand_rate())
    }
}

fn slot(bucket: i64) -> usize {
    bucket.rem_euclid(BUCKETS as i64) as usize
}
