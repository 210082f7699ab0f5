//! What a VM believes: routes, servers, other VMs, budgets.
//!
//! One lock covers what decisions read and write; a decision takes some
//! microseconds. Routes are replaced as a whole and read without the lock.

use std::collections::HashMap;

use verbenaring_policy::dispatch::duty::{WatchDuty, WatchPeer};
use verbenaring_policy::dispatch::presence::{PresenceTable, VmState};
use verbenaring_policy::dispatch::prompt::name_hash;
use verbenaring_policy::dispatch::spill::SpillLedger;
use verbenaring_policy::dispatch::table::ServerTable;
use verbenaring_policy::id::{RegionName, ServiceName};
use verbenaring_policy::retry::{BudgetTerms, RetryBudget};
use verbenaring_policy::time::Moment;

use crate::observe::logger::LineBudget;
use crate::settings::FrontSettings;

/// State of decisions.
#[derive(Debug)]
pub struct FrontState {
    /// Backend servers.
    pub servers: ServerTable,
    /// Other VMs.
    pub vms: PresenceTable,
    /// Calls sent to other regions lately.
    pub spill: SpillLedger,
    /// Revision of the operators' entries in force.
    pub operator_revision: u64,
    duty: WatchDuty,
    /// Budget of log lines on calls that went well.
    pub lines: LineBudget,
    budgets: HashMap<ServiceName, RetryBudget>,
    budget: BudgetTerms,
    region: RegionName,
    own: u64,
}

impl FrontState {
    /// State of a VM that has just started.
    pub fn new(settings: &FrontSettings) -> Self {
        let region = settings.place().region;
        Self {
            servers: ServerTable::new(
                region.clone(),
                settings.bounds.pace(),
                settings.tuning.dispatch,
            ),
            vms: PresenceTable::default(),
            spill: SpillLedger::default(),
            operator_revision: 0,
            duty: WatchDuty::default(),
            lines: LineBudget::default(),
            budgets: HashMap::new(),
            budget: settings.bounds.budget(),
            own: name_hash(settings.vm.as_str()),
            region,
        }
    }

    /// Name hash of this VM.
    pub fn own(&self) -> u64 {
        self.own
    }

    /// Name hashes of the live VMs of the own region, this one included.
    pub fn cohort(&self, now: Moment) -> Vec<u64> {
        let near = self
            .vms
            .live(now)
            .filter(|(_, record)| record.centre.region == self.region);
        near.map(|(_, record)| name_hash(record.vm.as_str()))
            .chain([self.own])
            .collect()
    }

    /// Counts that other VMs have news and cannot be asked.
    pub fn record_missed_news(&mut self, now: Moment) {
        self.duty.record_failure(now);
    }

    /// Whether this VM reads the configuration source itself.
    pub fn is_on_duty(&mut self, watching: bool, now: Moment) -> bool {
        let own = WatchPeer {
            vm: self.own,
            watching,
        };
        let near = self.vms.live(now).filter(|(_, record)| {
            record.centre.region == self.region && record.state == VmState::Ready
        });
        let peers: Vec<WatchPeer> = near
            .map(|(_, record)| WatchPeer {
                vm: name_hash(record.vm.as_str()),
                watching: record.watching,
            })
            .collect();
        self.duty.is_on_duty(own, &peers, now)
    }

    /// Counts a call of a caller for a service.
    pub fn record_call(&mut self, service: &ServiceName, now: Moment) {
        self.budget_of(service).record_success(now);
    }

    /// Takes a repeat from the part of this VM in the budget of a service.
    ///
    /// VMs that are silent count as well: they may be cut off and repeat too.
    pub fn take_repeat(&mut self, service: &ServiceName, now: Moment) -> bool {
        let terms = self.budget.per_vm(self.vms.iter().count() + 1);
        let budget = self.budget_of(service);
        budget.set_terms(terms);
        let allowed = budget.allows(now);
        if allowed {
            budget.record_retry(now);
        }
        allowed
    }

    fn budget_of(&mut self, service: &ServiceName) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), RetryBudget::default());
        }
        self.budgets.get_mut(service).expect("inserted above")
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Moment) {
        self.servers.expire(now);
        self.vms.expire(now);
        self.budgets.retain(|_, budget| !budget.is_idle(now));
    }
}
