//! What VMs state to each other of the allowances, and what is known of the others.
//!
//! Load pattern: the calls of a tenant arrive at any VM and move between regions, VMs and
//! links fail, and relays pass totals on. A statement replaces the one before it, so that a
//! lost one does no harm. What is known of VMs that are not heard any more is kept.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Age from which the VMs of a statement may be cut off. One or two statements may get lost
/// before.
pub(super) const MAX_FRESH_AGE: Duration = Duration::from_millis(900);
/// Intervals of the statements that are waited for at least.
const MIN_FRESH_INTERVALS: u32 = 2;
/// Longest interval that is taken into account.
const MAX_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time that a statement takes on its way.
const TRANSIT_TIME: Duration = Duration::from_millis(150);
/// Time for which parts of VMs are kept that are not heard, which may still spend them.
/// Their records are dropped after the same time.
const KEPT_AGE: Duration = Duration::from_secs(60);
/// Time after which what was stated of a tenant is dropped unless it is stated again.
pub(super) const USE_AGE: Duration = Duration::from_secs(4);
/// Tenants of one statement; the others follow in the next ones.
pub const MAX_STATED_TENANTS: usize = 24;
/// Statements that are held at most.
const MAX_PARTS: usize = 2_048;
/// Tenants of one part that are held at most.
const MAX_PART_TENANTS: usize = 8_192;
/// Parts of a unit in which amounts are stated.
const STATED_FRACTIONS: f64 = 64.0;

/// Which VMs a statement includes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AllowanceScope {
    /// The sender alone.
    Vm,
    /// The sending relay, its group, and the groups of other regions that it is told of.
    Near,
    /// The sending relay and its group.
    Far,
    /// All VMs, the receiver included.
    Total,
}

/// Use of one tenant's allowance, in 1/64 of its unit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantUse {
    /// Short hash of the tenant's name.
    pub tenant: u32,
    /// Demand per second.
    pub demand: u64,
    /// Amount charged per second.
    pub spent: i64,
    /// Amount that is left of the whole allowance.
    pub level: i64,
    /// Last known demand per second of VMs that are not heard.
    pub lost: u64,
}

/// What a VM states of the allowances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceStatement {
    /// Short hash of the name of the sender.
    pub source: u32,
    /// VMs that are included.
    pub scope: AllowanceScope,
    /// Number of these VMs.
    pub vms: u16,
    /// Number of VMs of the scope that are not heard.
    pub lost_vms: u16,
    /// Some of the tenants.
    pub uses: Vec<TenantUse>,
}

/// Use by some VMs, in units.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct UseSum {
    pub(super) demand: f64,
    pub(super) spent: f64,
    pub(super) level: f64,
    /// VMs that state a level.
    pub(super) level_vms: f64,
    pub(super) lost: f64,
}

impl UseSum {
    /// Adds what `vms` VMs state.
    pub(super) fn add(&mut self, demand: f64, spent: f64, level: f64, vms: f64) {
        self.demand += demand;
        self.spent += spent;
        self.level += level * vms;
        self.level_vms += vms;
    }

    fn add_sum(&mut self, other: &Self) {
        self.demand += other.demand;
        self.spent += other.spent;
        self.level += other.level;
        self.level_vms += other.level_vms;
        self.lost += other.lost;
    }

    /// Mean level of those that state one.
    pub(super) fn mean_level(&self) -> Option<f64> {
        (self.level_vms > 0.0).then(|| self.level / self.level_vms)
    }

    /// What is stated of it; `None` if no VM uses the allowance.
    pub(super) fn stated(&self, tenant: u32) -> Option<TenantUse> {
        if self.level_vms == 0.0 && self.lost == 0.0 {
            return None;
        }
        Some(TenantUse {
            tenant,
            demand: (self.demand * STATED_FRACTIONS).round() as u64,
            spent: (self.spent * STATED_FRACTIONS).round() as i64,
            level: (self.mean_level().unwrap_or_default() * STATED_FRACTIONS).round() as i64,
            lost: (self.lost * STATED_FRACTIONS).round() as u64,
        })
    }
}

/// To whom this VM states what.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum AllowanceRole {
    /// To all other VMs.
    #[default]
    Direct,
    /// To a relay.
    Member,
    /// To its group and to other relays.
    Relay,
}

impl AllowanceRole {
    fn includes(self, scope: AllowanceScope) -> bool {
        match self {
            Self::Direct => scope == AllowanceScope::Vm,
            Self::Member => scope == AllowanceScope::Total,
            Self::Relay => scope != AllowanceScope::Total,
        }
    }
}

#[derive(Debug)]
struct HeldPart {
    vms: u16,
    lost_vms: u16,
    /// Age from which the VMs may be cut off.
    fresh_age: Duration,
    received_at: Moment,
    uses: HashMap<u32, (UseSum, Moment)>,
}

impl HeldPart {
    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.received_at) < self.fresh_age
    }

    /// Use of a tenant. What a fresh part does not state again is over.
    fn use_of(&self, tenant: u32) -> Option<UseSum> {
        let (sum, stated_at) = self.uses.get(&tenant)?;
        (self.received_at.since(*stated_at) < USE_AGE).then_some(*sum)
    }
}

/// What is known of one tenant's use by other VMs.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct OthersView {
    /// Use by the VMs that are heard.
    pub(super) fresh: UseSum,
    /// VMs that are heard, this one included.
    pub(super) fresh_vms: f64,
    /// Last known demand of VMs that are not heard.
    pub(super) lost_demand: f64,
    /// Number of VMs that are not heard, or not yet.
    pub(super) lost_vms: f64,
    /// Whether the sums include this VM.
    pub(super) includes_own: bool,
}

/// Newest statements of others.
#[derive(Debug, Default)]
pub(super) struct HeldParts {
    parts: HashMap<(u32, AllowanceScope), HeldPart>,
    pub(super) role: AllowanceRole,
    /// VMs that are known, this one included, whether they are heard or not.
    pub(super) known_vms: usize,
}

impl HeldParts {
    pub(super) fn new(known_vms: usize) -> Self {
        Self {
            known_vms,
            ..Self::default()
        }
    }

    /// Holds a statement; the next one follows after `interval`.
    pub(super) fn record(
        &mut self,
        statement: &AllowanceStatement,
        interval: Duration,
        now: Moment,
    ) {
        let key = (statement.source, statement.scope);
        if !self.parts.contains_key(&key) && self.parts.len() >= MAX_PARTS {
            return;
        }
        let part = self.parts.entry(key).or_insert_with(|| HeldPart {
            vms: 0,
            lost_vms: 0,
            fresh_age: MAX_FRESH_AGE,
            received_at: now,
            uses: HashMap::new(),
        });
        part.vms = statement.vms;
        part.lost_vms = statement.lost_vms;
        part.received_at = now;
        let expected = interval.min(MAX_INTERVAL) * MIN_FRESH_INTERVALS + TRANSIT_TIME;
        part.fresh_age = MAX_FRESH_AGE.max(expected);
        for stated in &statement.uses {
            if part.uses.len() >= MAX_PART_TENANTS && !part.uses.contains_key(&stated.tenant) {
                continue;
            }
            let vms = f64::from(statement.vms);
            let mut sum = UseSum::default();
            sum.add(
                stated.demand as f64 / STATED_FRACTIONS,
                stated.spent as f64 / STATED_FRACTIONS,
                stated.level as f64 / STATED_FRACTIONS,
                vms,
            );
            sum.lost = stated.lost as f64 / STATED_FRACTIONS;
            part.uses.insert(stated.tenant, (sum, now));
        }
    }

    /// Whether any statement has been heard that this VM uses.
    pub(super) fn hears_any(&self, now: Moment) -> bool {
        self.used().any(|(_, part)| part.is_fresh(now))
    }

    fn used(&self) -> impl Iterator<Item = (&(u32, AllowanceScope), &HeldPart)> {
        let parts = self.parts.iter();
        parts.filter(|((_, scope), _)| self.role.includes(*scope))
    }

    /// What is known of the others' use of a tenant's allowance. `own_demand` is part of
    /// the totals that a relay states.
    pub(super) fn view(&self, tenant: u32, own_demand: f64, now: Moment) -> OthersView {
        let is_member = self.role == AllowanceRole::Member;
        let newest = self.used().max_by_key(|(_, part)| part.received_at);
        let newest = newest.map(|(key, _)| *key);
        let mut view = OthersView {
            fresh_vms: 1.0,
            ..OthersView::default()
        };
        let mut stale_vms = 0.0;
        let mut stale_demand = 0.0;
        for (key, part) in self.used() {
            if is_member && Some(*key) != newest {
                continue;
            }
            let vms = f64::from(part.vms);
            let sum = part.use_of(tenant);
            match (part.is_fresh(now), is_member) {
                (true, true) => {
                    view.fresh = sum.unwrap_or_default();
                    view.fresh_vms = vms.max(1.0);
                    view.lost_vms = f64::from(part.lost_vms);
                    view.lost_demand = view.fresh.lost;
                    view.includes_own = true;
                    return view;
                }
                (true, false) => {
                    view.fresh_vms += vms;
                    view.fresh.add_sum(&sum.unwrap_or_default());
                    stale_vms += f64::from(part.lost_vms);
                    stale_demand += sum.map_or(0.0, |sum| sum.lost);
                }
                (false, true) => {
                    stale_vms = (vms - 1.0).max(0.0);
                    stale_demand = sum.map_or(0.0, |sum| (sum.demand - own_demand).max(0.0));
                }
                (false, false) => {
                    stale_vms += vms + f64::from(part.lost_vms);
                    stale_demand += sum.map_or(0.0, |sum| sum.demand + sum.lost);
                }
            }
        }
        let known = self.known_vms as f64;
        view.lost_vms = match is_member {
            true => stale_vms.max(known - 1.0),
            false => (known - view.fresh_vms).max(0.0),
        };
        // VMs whose relay is gone are heard through another one.
        let weight = (view.lost_vms / f64::max(stale_vms, 1.0)).min(1.0);
        view.lost_demand = stale_demand * weight;
        view
    }

    /// Use by the VMs of the group, and of the groups of other regions if `with_far`.
    pub(super) fn group_sum(&self, tenant: u32, with_far: bool, now: Moment) -> UseSum {
        let mut total = UseSum::default();
        for (_, part) in self.group_parts(with_far) {
            let Some(sum) = part.use_of(tenant) else {
                continue;
            };
            match part.is_fresh(now) {
                true => total.add_sum(&sum),
                false => total.lost += sum.demand + sum.lost,
            }
        }
        total
    }

    /// Numbers of VMs in [`group_sum`](Self::group_sum) that are heard and that are not.
    pub(super) fn group_vms(&self, with_far: bool, now: Moment) -> (usize, usize) {
        let (mut fresh, mut lost) = (0, 0);
        for (_, part) in self.group_parts(with_far) {
            let vms = match part.is_fresh(now) {
                true => &mut fresh,
                false => &mut lost,
            };
            *vms += usize::from(part.vms);
            lost += usize::from(part.lost_vms);
        }
        (fresh, lost)
    }

    fn group_parts(
        &self,
        with_far: bool,
    ) -> impl Iterator<Item = (&(u32, AllowanceScope), &HeldPart)> {
        self.parts.iter().filter(move |((_, scope), _)| {
            *scope == AllowanceScope::Vm || with_far && *scope == AllowanceScope::Far
        })
    }

    /// Tenants of which others state something.
    pub(super) fn tenants(&self) -> impl Iterator<Item = u32> {
        let parts = self.used();
        parts.flat_map(|(_, part)| part.uses.keys().copied())
    }

    /// Drops what nothing depends on any more. `is_member` tells whether a VM reports to
    /// this one.
    pub(super) fn expire(&mut self, now: Moment) {
        let known = self.known_vms;
        let role = self.role;
        let fresh = self.used().filter(|(_, part)| part.is_fresh(now));
        let fresh_vms: usize = fresh.map(|(_, part)| usize::from(part.vms)).sum();
        let complete = fresh_vms + 1 >= known;
        self.parts.retain(|(_, scope), part| {
            let silence = now.since(part.received_at);
            let used = role.includes(*scope);
            part.is_fresh(now) || (used && !complete && silence < KEPT_AGE)
        });
        for part in self.parts.values_mut() {
            let received_at = part.received_at;
            part.uses
                .retain(|_, (_, stated_at)| received_at.since(*stated_at) < USE_AGE);
        }
    }
}
