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

use super::allowance_account::TenantAccount;
pub use super::allowance_meter::EXCHANGE_TIME;
use super::allowance_meter::TenantMeter;
pub use super::allowance_parts::{
    AllowanceRole, AllowanceScope, AllowanceStatement, MAX_STATED_TENANTS, TenantUse,
};
use super::allowance_parts::{HeldParts, USE_AGE, UseSum};
use super::prompt::name_hash;
use super::tenant::Tenant;
use crate::id::TenantName;
use crate::time::Moment;

/// Time after the start within which a VM that hears no other may not know of them.
const START_TIME: Duration = Duration::from_secs(3);
/// Number of VMs that is assumed until then.
const ASSUMED_VMS: usize = 256;
/// Time after which the list of stated tenants is made again if it is long.
const LIST_TIME: Duration = Duration::from_millis(500);

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
    /// Tenants that are stated.
    order: Vec<u32>,
    /// Position of the next one to be stated, by scope.
    cursors: HashMap<AllowanceScope, usize>,
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
            cursors: HashMap::new(),
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
        // Others that state a level have followed the spending before this process started.
        let known = view.fresh.mean_level();
        let level = known.unwrap_or_else(|| limits.burst.min(earned));
        let account = TenantAccount {
            name: tenant.name.clone(),
            limits,
            meter: TenantMeter::new(now),
            level,
            lost_share: 0.0,
            lost_vms: 0.0,
            heard_vms: 1.0,
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
        let cursor = self.cursors.entry(scope).or_default();
        let start = match tenants.len() > count {
            true => *cursor % tenants.len(),
            false => 0,
        };
        *cursor = start + count;
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
