//! Quotas of tenants across all VMs.
//!
//! Load pattern: a tenant asks for several times its quota at one VM, at all of them or at
//! VMs that change every few seconds, while VMs end, stand still or are cut off. Fixed
//! parts of the quota would be unused at VMs without calls, and calls that cost more than
//! a part, or that arrive at a VM once a minute, would never be let through.
//!
//! Each VM follows the level of one token bucket for all VMs from what they state to each
//! other, and may use a part of the level within the time that a statement takes, in
//! proportion to its part of the demand. What nobody uses stays in the level. A call that
//! the part does not cover is let through with the probability with which the level covers
//! all calls. The part of VMs that are not heard counts as used. See
//! `docs/design/allowances.md`.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

pub use super::allowance_meter::EXCHANGE_TIME;
use super::allowance_meter::{SLOW_TIME, TenantMeter};
pub use super::allowance_parts::{
    AllowanceRole, AllowanceScope, AllowanceStatement, MAX_STATED_TENANTS, TenantUse,
};
use super::allowance_parts::{HeldParts, MAX_FRESH_AGE, OthersView, USE_AGE, UseSum};
use super::prompt::name_hash;
use super::tenant::{Allowance, Tenant};
use crate::id::TenantName;
use crate::time::Moment;

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
/// Time after the start within which a VM that hears no other may not know of them.
const START_TIME: Duration = Duration::from_secs(3);
/// Number of VMs that is assumed until then.
const ASSUMED_VMS: usize = 256;
/// Time after which the list of stated tenants is made again if it is long.
const LIST_TIME: Duration = Duration::from_millis(500);
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

/// What a call was charged; returned if it reaches no server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceCharge {
    tenant: u64,
    cost: u64,
}

impl AllowanceCharge {
    /// Units that were charged.
    pub fn cost(&self) -> u64 {
        self.cost
    }
}

/// Why a call was not charged.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaExceeded {
    /// Time after which there will be capacity, without jitter.
    pub wait: Duration,
    /// Units that are left of the whole allowance; negative if too much was used.
    pub level: f64,
    /// Part of the level that this VM may use, as a fraction.
    pub share: f64,
}

/// State of one tenant's allowance at this VM.
#[derive(Debug, Clone, PartialEq)]
pub struct AllowanceUsage {
    /// Name of the tenant.
    pub tenant: TenantName,
    /// Quota in units per second.
    pub rate: f64,
    /// Units per second that this VM charges.
    pub spent: f64,
    /// Units left of the whole allowance.
    pub level: f64,
    /// Part of the level that this VM may use, as a fraction.
    pub share: f64,
    /// Units charged since the account began, without those returned.
    pub charged: u64,
    /// Calls refused since the account began.
    pub refused: u64,
}

#[derive(Debug)]
struct TenantAccount {
    name: TenantName,
    limits: Allowance,
    meter: TenantMeter,
    level: f64,
    /// Part of the quota that VMs hold which are not heard.
    lost_share: f64,
    lost_vms: f64,
    /// Part of the rest that this VM may use.
    share: f64,
    /// Demand per second at the VMs that are heard.
    demand: f64,
    /// Average demand per second of a longer time.
    slow_demand: f64,
    /// Latest demands per second of all VMs, heard or not.
    demands: VecDeque<f64>,
    updated_at: Moment,
    used_at: Moment,
    charged: u64,
    refused: u64,
}

impl TenantAccount {
    fn rate(&self) -> f64 {
        self.limits.rate * HEADROOM
    }

    fn burst(&self) -> f64 {
        self.limits.burst
    }

    /// Applies the time since the last update.
    fn update(&mut self, others: &OthersView, now: Moment) {
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
    fn hold_lost_share(&mut self, others: &OthersView, spent: f64) {
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
    fn own_share(&self, demand: f64, fresh_vms: f64) -> f64 {
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
    fn covers(&self, cost: f64, draw: f64) -> bool {
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
        // While the level covers all calls, one more than those that others allow for may
        // be let through; calls do not arrive evenly.
        if expected < self.level {
            return unseen <= part.max(0.0) + cost;
        }
        unseen <= part.max(0.0) && draw * expected < self.level - cost
    }

    fn wait(&self, cost: f64) -> Duration {
        let missing = (cost + self.meter.unseen() - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.rate());
        // The more the demand exceeds the quota, the more callers have to come back later.
        let excess = (self.demand / self.rate() - 1.0).clamp(0.0, MAX_EXCESS);
        let spread = EXCHANGE_TIME.mul_f64(excess / 2.0);
        wait.unwrap_or(MAX_WAIT)
            .max(spread)
            .clamp(MIN_WAIT, MAX_WAIT)
    }

    fn idle_time(&self) -> Duration {
        let fill = Duration::try_from_secs_f64(self.limits.burst / self.limits.rate);
        fill.unwrap_or(MAX_IDLE_TIME)
            .clamp(MIN_IDLE_TIME, MAX_IDLE_TIME)
    }
}

/// Accounts of the tenants with a quota, and what other VMs state of theirs.
#[derive(Debug)]
pub struct AllowanceTable {
    accounts: HashMap<u64, TenantAccount>,
    parts: HeldParts,
    /// Hashes of the accounts' tenants by the hashes that are stated.
    by_short_hash: HashMap<u32, u64>,
    own: u32,
    started_at: Moment,
    enabled: bool,
    /// Tenants that are stated, of which `cursor` is the next.
    order: Vec<u32>,
    cursor: usize,
    listed_at: Moment,
}

impl AllowanceTable {
    /// Accounts of a process that starts at `now`; `own` is the short hash of the name of
    /// its VM.
    pub fn new(own: u32, now: Moment) -> Self {
        Self {
            accounts: HashMap::new(),
            parts: HeldParts::new(ASSUMED_VMS),
            by_short_hash: HashMap::new(),
            own,
            started_at: now,
            enabled: false,
            order: Vec::new(),
            cursor: 0,
            listed_at: now,
        }
    }

    /// Sets to whom this VM reports, and the number of VMs that are known or expected,
    /// this one included.
    pub fn set_group(&mut self, role: AllowanceRole, known_vms: usize, now: Moment) {
        self.parts.role = role;
        let starting = now.since(self.started_at) < START_TIME && !self.parts.hears_any(now);
        self.parts.known_vms = match starting {
            true => known_vms.max(ASSUMED_VMS),
            false => known_vms.max(1),
        };
    }

    /// Charges a call of a tenant. `draw` is a random number from 0 to 1. `None` if the
    /// tenant has no quota.
    pub fn charge(
        &mut self,
        tenant: &Tenant,
        stated_tokens: Option<u64>,
        draw: f64,
        now: Moment,
    ) -> Result<Option<AllowanceCharge>, QuotaExceeded> {
        let limits = tenant.allowance;
        if !limits.is_limited() {
            return Ok(None);
        }
        let hash = name_hash(tenant.name.as_str());
        self.open(hash, tenant, now);
        self.update(hash, now);
        let cost = limits.cost(stated_tokens);
        let account = self.accounts.get_mut(&hash).expect("opened above");
        account.used_at = now;
        account.meter.record_demand(cost);
        if !account.covers(cost as f64, draw) {
            account.refused += 1;
            return Err(QuotaExceeded {
                wait: account.wait(cost as f64),
                level: account.level,
                share: account.share,
            });
        }
        account.meter.record_charge(cost as f64);
        account.charged += cost;
        Ok(Some(AllowanceCharge { tenant: hash, cost }))
    }

    /// Returns what a call was charged that has reached no server.
    pub fn refund(&mut self, charge: AllowanceCharge, now: Moment) {
        self.update(charge.tenant, now);
        if let Some(account) = self.accounts.get_mut(&charge.tenant) {
            account.meter.record_charge(-(charge.cost as f64));
            account.charged = account.charged.saturating_sub(charge.cost);
        }
    }

    fn open(&mut self, hash: u64, tenant: &Tenant, now: Moment) {
        if let Some(account) = self.accounts.get_mut(&hash) {
            account.limits = tenant.allowance;
            return;
        }
        let limits = tenant.allowance;
        let view = self.parts.view(hash as u32, 0.0, now);
        let uptime = now.since(self.started_at).as_secs_f64();
        let earned = limits.rate * uptime;
        let level = view.fresh.mean_level().unwrap_or(limits.burst).min(earned);
        let account = TenantAccount {
            name: tenant.name.clone(),
            limits,
            meter: TenantMeter::new(now),
            level,
            lost_share: 0.0,
            lost_vms: 0.0,
            share: 0.0,
            demand: 0.0,
            slow_demand: 0.0,
            demands: VecDeque::new(),
            updated_at: now,
            used_at: now,
            charged: 0,
            refused: 0,
        };
        self.accounts.insert(hash, account);
        self.by_short_hash.insert(hash as u32, hash);
        self.refresh(hash, now);
    }

    fn update(&mut self, hash: u64, now: Moment) {
        let account = self.accounts.get_mut(&hash);
        if account.is_some_and(|account| account.meter.advance(now)) {
            self.refresh(hash, now);
        }
    }

    fn refresh(&mut self, hash: u64, now: Moment) {
        if let Some(account) = self.accounts.get_mut(&hash) {
            let own_demand = account.meter.known_demand_rate();
            let view = self.parts.view(hash as u32, own_demand, now);
            account.update(&view, now);
        }
    }

    /// Takes over what another VM states, which does so again after `interval`.
    pub fn record(&mut self, statement: &AllowanceStatement, interval: Duration, now: Moment) {
        if statement.source != self.own {
            self.parts.record(statement, interval, now);
        }
    }

    /// Sets whether any tenant has a quota.
    pub fn set_enabled(&mut self, enabled: bool) {
        self.enabled = enabled;
    }

    /// Whether this VM states the use of quotas: VMs without calls do as well, since a VM
    /// that is not heard counts as lost.
    pub fn is_stated(&self, now: Moment) -> bool {
        self.enabled || self.parts.hears_any(now)
    }

    /// Tenants that are stated, in order.
    fn stated_tenants(&mut self, now: Moment) -> Vec<u32> {
        let accounts = self.accounts.iter();
        let accounts = accounts.map(|(hash, account)| (*hash as u32, account.used_at));
        let accounts: Vec<(u32, Moment)> = accounts.collect();
        let mut tenants: BTreeSet<u32> = self.parts.tenants().collect();
        if tenants.len() + accounts.len() <= MAX_STATED_TENANTS {
            tenants.extend(accounts.iter().map(|(tenant, _)| *tenant));
        } else {
            let active = accounts
                .iter()
                .filter(|(_, used_at)| now.since(*used_at) < USE_AGE);
            tenants.extend(active.map(|(tenant, _)| *tenant));
        }
        tenants.into_iter().collect()
    }

    /// What this VM states of the VMs of a scope: of [`MAX_STATED_TENANTS`] tenants, the
    /// next ones in turn if there are more.
    pub fn statement(&mut self, scope: AllowanceScope, now: Moment) -> AllowanceStatement {
        if now.since(self.listed_at) >= LIST_TIME || self.order.len() <= MAX_STATED_TENANTS {
            self.order = self.stated_tenants(now);
            self.listed_at = now;
        }
        let tenants = std::mem::take(&mut self.order);
        let count = tenants.len().min(MAX_STATED_TENANTS);
        let start = match tenants.len() > count {
            true => self.cursor % tenants.len(),
            false => 0,
        };
        let mut uses = Vec::with_capacity(count);
        for index in 0..count {
            let tenant = tenants[(start + index) % tenants.len()];
            let hash = self.by_short_hash.get(&tenant).copied();
            if let Some(hash) = hash {
                self.update(hash, now);
            }
            let account = hash.and_then(|hash| self.accounts.get(&hash));
            uses.extend(self.stated_use(tenant, account, scope, now));
        }
        self.order = tenants;
        if scope != AllowanceScope::Far {
            self.cursor = start + count;
        }
        let (vms, lost_vms) = match scope {
            AllowanceScope::Vm => (0, 0),
            AllowanceScope::Near => self.parts.group_vms(true, now),
            AllowanceScope::Far => self.parts.group_vms(false, now),
            AllowanceScope::Total => {
                let view = self.parts.view(0, 0.0, now);
                (view.fresh_vms as usize - 1, view.lost_vms as usize)
            }
        };
        AllowanceStatement {
            source: self.own,
            scope,
            vms: u16::try_from(vms + 1).unwrap_or(u16::MAX),
            lost_vms: u16::try_from(lost_vms).unwrap_or(u16::MAX),
            uses,
        }
    }

    fn stated_use(
        &self,
        tenant: u32,
        account: Option<&TenantAccount>,
        scope: AllowanceScope,
        now: Moment,
    ) -> Option<TenantUse> {
        let mut sum = match scope {
            AllowanceScope::Vm => UseSum::default(),
            AllowanceScope::Near => self.parts.group_sum(tenant, true, now),
            AllowanceScope::Far => self.parts.group_sum(tenant, false, now),
            AllowanceScope::Total => {
                let view = self.parts.view(tenant, 0.0, now);
                UseSum {
                    lost: view.lost_demand,
                    ..view.fresh
                }
            }
        };
        if let Some(account) = account {
            let demand = account.meter.demand_rate();
            sum.add(demand, account.meter.spent_rate(), account.level, 1.0);
        }
        sum.stated(tenant)
    }

    /// State of the tenants' allowances, those with most refusals first.
    pub fn usages(&mut self, now: Moment) -> Vec<AllowanceUsage> {
        for account in self.accounts.values_mut() {
            let _ = account.meter.advance(now);
        }
        let usages = self.accounts.values().map(|account| AllowanceUsage {
            tenant: account.name.clone(),
            rate: account.limits.rate,
            spent: account.meter.spent_rate(),
            level: account.level,
            share: account.share * (1.0 - account.lost_share),
            charged: account.charged,
            refused: account.refused,
        });
        let mut usages: Vec<AllowanceUsage> = usages.collect();
        usages.sort_by(|one, other| {
            let refused = other.refused.cmp(&one.refused);
            refused.then_with(|| one.tenant.cmp(&other.tenant))
        });
        usages
    }

    /// Drops accounts that are full again, and statements on which nothing depends.
    pub fn expire(&mut self, now: Moment) {
        self.accounts
            .retain(|_, account| now.since(account.used_at) < account.idle_time());
        let accounts = &self.accounts;
        self.by_short_hash
            .retain(|_, hash| accounts.contains_key(hash));
        self.parts.expire(now);
    }
}
