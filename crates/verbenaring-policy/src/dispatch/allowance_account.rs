//! The quota of one tenant, as one VM follows it.

use std::collections::VecDeque;
use std::time::Duration;

use super::allowance_meter::{EXCHANGE_TIME, SLOW_TIME, TenantMeter};
use super::allowance_parts::{MAX_FRESH_AGE, OthersView};
use super::tenant::Allowance;
use crate::id::TenantName;
use crate::time::Moment;

/// Part of the level beyond the expected demand of all VMs that one VM may use.
const SPARE_SHARE: f64 = 0.25;
/// Excess over what the quota allows in [`SPARE_TIME`] that VMs may cause together by this.
const SPARE_EXCESS: f64 = 0.08;
/// Time in which the excess counts.
const SPARE_TIME: Duration = Duration::from_secs(8);
/// Factor on each VM's part of the excess: calls do not come in bursts at all VMs at once.
const SPARE_FACTOR: f64 = 3.0;
/// Part of the quota that follows the demand of the last second.
const FAST_WEIGHT: f64 = 0.45;
/// Part that follows the demand of a longer time, for VMs with rare calls.
const SLOW_WEIGHT: f64 = 0.3;
/// Both. The rest is divided evenly, for VMs whose demand has just begun.
const DEMAND_WEIGHT: f64 = FAST_WEIGHT + SLOW_WEIGHT;
/// Updates of the demand that are kept; they cover the age at which a VM counts as lost and
/// [`EXCHANGE_TIME`].
const KEPT_DEMANDS: usize = 46;
/// Age at which a VM counts as lost, in seconds.
const LOST_AFTER_S: f64 = MAX_FRESH_AGE.as_millis() as f64 / 1_000.0;
/// Use of the permitted excess of a tenth: it makes up for what the delay of statements
/// leaves unused.
const HEADROOM: f64 = 1.02;
/// Spending that may be missing in the level while it is full, as time of the rate.
const UNSEEN_TIME: Duration = Duration::from_millis(900);
/// Excess that is made up for by refusals, as time of the rate.
const MAX_DEBT: Duration = Duration::from_secs(8);
/// Time in which the levels that VMs follow approach each other.
const LEVEL_TIME: Duration = Duration::from_secs(2);
/// Shortest time without calls after which an account is dropped.
const MIN_IDLE_TIME: Duration = Duration::from_secs(10);
/// Longest such time.
const MAX_IDLE_TIME: Duration = Duration::from_secs(600);
/// Shortest suggested wait of a refused caller.
const MIN_WAIT: Duration = Duration::from_millis(200);
/// Excess of the demand over the quota up to which refused callers are spread.
const MAX_EXCESS: f64 = 5.0;
/// Longest suggested wait of a refused caller.
const MAX_WAIT: Duration = Duration::from_secs(8);

#[derive(Debug)]
pub(super) struct TenantAccount {
    pub(super) name: TenantName,
    pub(super) limits: Allowance,
    pub(super) meter: TenantMeter,
    pub(super) level: f64,
    /// Part of the quota that VMs hold which are not heard.
    pub(super) lost_share: f64,
    pub(super) lost_vms: f64,
    /// VMs that are heard, this one included.
    pub(super) heard_vms: f64,
    /// Part of the rest that this VM may use.
    pub(super) share: f64,
    /// Demand per second at the VMs that are heard.
    pub(super) demand: f64,
    /// Average demand per second of a longer time.
    pub(super) slow_demand: f64,
    /// Latest demands per second of all VMs, heard or not.
    pub(super) demands: VecDeque<f64>,
    pub(super) updated_at: Moment,
    pub(super) used_at: Moment,
    pub(super) charged: u64,
    pub(super) refused: u64,
}

impl TenantAccount {
    pub(super) fn rate(&self) -> f64 {
        self.limits.rate * HEADROOM
    }

    pub(super) fn burst(&self) -> f64 {
        self.limits.burst
    }

    /// Applies the time since the last update.
    pub(super) fn update(&mut self, others: &OthersView, now: Moment) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let own_demand = self.meter.demand_rate();
        let own_spent = self.meter.spent_rate();
        let (demand, spent) = match others.includes_own {
            true => (others.fresh.demand, others.fresh.spent),
            false => (
                others.fresh.demand + own_demand,
                others.fresh.spent + own_spent,
            ),
        };
        self.demand = demand;
        let part = (elapsed / SLOW_TIME.as_secs_f64()).min(1.0);
        self.slow_demand += (demand - self.slow_demand) * part;
        if self.demands.len() == KEPT_DEMANDS {
            self.demands.pop_front();
        }
        self.demands.push_back(demand + others.lost_demand);
        self.hold_lost_share(others, spent);
        self.heard_vms = others.fresh_vms;
        self.share = self.own_share(demand, others.fresh_vms);
        let heard = 1.0 - self.lost_share;
        let cap = self.burst() * heard + spent.clamp(0.0, self.rate()) * UNSEEN_TIME.as_secs_f64();
        let floor = -MAX_DEBT.as_secs_f64() * self.rate();
        let level = self.level + elapsed * (self.rate() * heard - spent);
        self.level = level.min(cap).max(floor);
        if others.fresh.level_vms > 0.0 {
            let mean = match others.includes_own {
                true => others.fresh.level / others.fresh.level_vms,
                false => (others.fresh.level + self.level) / (others.fresh.level_vms + 1.0),
            };
            let part = 1.0 - (-elapsed / LEVEL_TIME.as_secs_f64()).exp();
            self.level += (mean.min(cap) - self.level) * part;
        }
    }

    /// Takes what VMs may use that are not heard out of the level. Their part does not
    /// shrink by demand that they do not know of. What the others, which have spent `spent`
    /// per second, used since these VMs were heard comes out of the part of the others.
    pub(super) fn hold_lost_share(&mut self, others: &OthersView, spent: f64) {
        let lost_vms = others.lost_vms;
        let by_vms = lost_vms / (others.fresh_vms + lost_vms);
        let least = self.demands.iter().copied().fold(f64::INFINITY, f64::min);
        let least = least.max(others.lost_demand);
        let by_demand = match least > 0.0 {
            true => others.lost_demand / least,
            false => by_vms,
        };
        let mut lost_share = DEMAND_WEIGHT * by_demand + (1.0 - DEMAND_WEIGHT) * by_vms;
        if lost_vms > 0.0 && self.lost_vms > 0.0 {
            let still_lost = (lost_vms / self.lost_vms).min(1.0);
            lost_share = lost_share.max(self.lost_share * still_lost);
        }
        if lost_share > self.lost_share && self.level > 0.0 {
            let kept = (1.0 - lost_share) / (1.0 - self.lost_share);
            let used = spent.max(0.0) * LOST_AFTER_S;
            self.level = self.level * kept - used * (1.0 - kept);
        }
        self.lost_share = lost_share.min(1.0 - f64::EPSILON);
        self.lost_vms = lost_vms;
    }

    /// Part of this VM among those that are heard. All of these know at least the demand
    /// that it had for some time, so that the parts add up to at most 1.
    pub(super) fn own_share(&self, demand: f64, fresh_vms: f64) -> f64 {
        if fresh_vms <= 1.0 {
            return 1.0;
        }
        let known = self.meter.known_demand_rate();
        let by_vms = 1.0 / fresh_vms;
        let by_demand = match demand > 0.0 {
            true => (known / demand.max(known)).min(1.0),
            false => by_vms,
        };
        let slow = self.meter.slow_demand_rate();
        let by_slow_demand = match self.slow_demand > 0.0 {
            true => (slow / self.slow_demand).min(1.0),
            false => by_vms,
        };
        // The least demand of VMs with rare calls is 0 most of the time.
        let by_demand = by_demand.max(by_slow_demand);
        FAST_WEIGHT * by_demand + SLOW_WEIGHT * by_slow_demand + (1.0 - DEMAND_WEIGHT) * by_vms
    }

    /// Whether a call may be charged. `draw` is a random number from 0 to 1.
    pub(super) fn covers(&self, cost: f64, draw: f64) -> bool {
        let unseen = self.meter.unseen();
        let part = self.share * self.level;
        if unseen + cost <= part {
            return true;
        }
        // Demand that has just begun here counts before the others know of it; this call
        // is part of the average demand.
        let time = EXCHANGE_TIME.as_secs_f64();
        let new_demand = self.meter.demand_rate() - self.meter.known_demand_rate();
        let expected =
            self.demand.max(self.meter.demand_rate()) * time + (new_demand * time - cost).max(0.0);
        if unseen + cost > self.level {
            return false;
        }
        // Calls do not arrive evenly. While the level covers all of them, a VM may use a part
        // of what is left, and at least one call more than others allow for.
        if expected < self.level {
            // VMs that are not heard may count on the same units.
            let spare = match self.heard_vms > 1.0 && self.lost_vms < 1.0 {
                true => ((self.level - expected) * SPARE_SHARE).min(self.spare_limit()),
                false => 0.0,
            };
            return unseen <= part.max(0.0) + cost.max(spare);
        }
        unseen <= part.max(0.0) && draw * expected < self.level - cost
    }

    fn spare_limit(&self) -> f64 {
        let allowed = self.limits.rate * SPARE_TIME.as_secs_f64() + self.burst();
        allowed * SPARE_EXCESS * SPARE_FACTOR / self.heard_vms
    }

    pub(super) fn wait(&self, cost: f64) -> Duration {
        let missing = (cost + self.meter.unseen() - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate());
        // The more the demand exceeds the quota, the more callers have to come back later.
        let excess = (self.demand / self.rate() - 1.0).clamp(0.0, MAX_EXCESS);
        let spread = EXCHANGE_TIME.mul_f64(excess / 2.0);
        wait.unwrap_or(MAX_WAIT)
            .max(spread)
            .clamp(MIN_WAIT, MAX_WAIT)
    }

    pub(super) fn idle_time(&self) -> Duration {
        let fill = Duration::try_from_secs_f64(self.limits.burst / self.limits.rate);
        fill.unwrap_or(MAX_IDLE_TIME)
            .clamp(MIN_IDLE_TIME, MAX_IDLE_TIME)
    }
}
