//! State on which a VM decides: servers, other VMs and budgets.
//!
//! One lock covers all of it; a decision takes a few microseconds. Routes are
//! kept in the node, replaced as a whole and read without the lock.

use std::collections::HashMap;
use std::time::Duration;

use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::origin::StreamOrigins;
use verbenaring_policy::dispatch::ownership::RegionView;
use verbenaring_policy::dispatch::presence::{PresenceTable, VmState};
use verbenaring_policy::dispatch::prompt::{name_hash, rendezvous_score};
use verbenaring_policy::dispatch::run::RunTable;
use verbenaring_policy::dispatch::spill::SpillTracker;
use verbenaring_policy::dispatch::standstill::StandstillDetector;
use verbenaring_policy::dispatch::suspect::{PartVerdict, SuspectTable};
use verbenaring_policy::dispatch::table::ServerTable;
use verbenaring_policy::dispatch::watcher::{WatchPeer, WatcherElection};
use verbenaring_policy::id::{RegionName, ServiceName};
use verbenaring_policy::retry::{BudgetTerms, BudgetUsage, RetryBudget};
use verbenaring_policy::time::Moment;

use crate::observe::logger::LogRateLimiter;
use crate::path::call::CallOrigin;
use crate::settings::FrontSettings;

/// State that placement and retry decisions read and update.
#[derive(Debug)]
pub struct FrontState {
    /// Backend servers with their load and learned times.
    pub servers: ServerTable,
    /// Calls that servers of the own region answer.
    pub runs: RunTable,
    /// Requests and parts of prompts that crash servers.
    pub suspects: SuspectTable,
    /// Where streams began.
    pub origins: StreamOrigins,
    /// Other VMs, as their reports describe them.
    pub vms: PresenceTable,
    /// Whether this VM has run without standing still.
    pub standstill: StandstillDetector,
    /// Addresses of VMs that are expected and have not been heard yet.
    pub unheard_vms: usize,
    /// Calls recently forwarded to other regions.
    pub spilled_calls: SpillTracker,
    /// Revision of the operators' configuration in force; 0 if none is known.
    pub operator_revision: u64,
    watcher_election: WatcherElection,
    /// Limits the log lines about calls that succeeded.
    pub routine_lines: LogRateLimiter,
    retry_budgets: HashMap<ServiceName, RetryBudget>,
    budget_terms: BudgetTerms,
    region: RegionName,
    vm_hash: u64,
    capacity: u32,
}

impl FrontState {
    /// Empty state of a VM that has just started.
    pub fn new(settings: &FrontSettings) -> Self {
        let region = settings.location().region;
        Self {
            servers: ServerTable::new(
                region.clone(),
                settings.bounds.pace(),
                settings.tuning.dispatch,
            )
            .with_centre(settings.data_centre.clone()),
            runs: RunTable::default(),
            suspects: SuspectTable::default(),
            origins: StreamOrigins::default(),
            vms: PresenceTable::default(),
            standstill: StandstillDetector::default(),
            unheard_vms: settings.seeds.len(),
            spilled_calls: SpillTracker::default(),
            operator_revision: 0,
            watcher_election: WatcherElection::default(),
            routine_lines: LogRateLimiter::default(),
            retry_budgets: HashMap::new(),
            budget_terms: settings.bounds.budget(),
            vm_hash: name_hash(settings.vm.as_str()),
            capacity: settings.capacity(),
            region,
        }
    }

    /// Hash of the name of this VM.
    pub fn vm_hash(&self) -> u64 {
        self.vm_hash
    }

    /// The region, as this VM sees it. `discovery_time` is the time that this VM must
    /// have run to know the others.
    pub fn region_view(&self, discovery_time: Duration, now: Moment) -> RegionView {
        let view = RegionView::new(self.vm_hash, &self.region, &self.vms, now);
        RegionView {
            expected: view.expected + self.unheard_vms,
            peers_known: self.standstill.running_time(now) >= discovery_time,
            ..view
        }
    }

    /// Records that newer configuration could not be fetched from another VM. A
    /// VM that fails to do so watches the source itself.
    pub fn record_snapshot_failure(&mut self, now: Moment) {
        self.watcher_election.record_query_failure(now);
    }

    /// Whether this VM should watch the configuration source itself. `watching`
    /// tells whether it does so now.
    pub fn should_watch(&mut self, watching: bool, now: Moment) -> bool {
        let own = WatchPeer {
            vm: self.vm_hash,
            capacity: self.capacity,
            watching,
            heard_ago: Duration::ZERO,
        };
        let region_vms = self.vms.live(now).filter(|(_, record)| {
            record.centre.region == self.region && record.state == VmState::Ready
        });
        let peers: Vec<WatchPeer> = region_vms
            .map(|(_, record)| WatchPeer {
                vm: record.name_hash,
                capacity: record.capacity,
                watching: record.watching,
                heard_ago: now.since(record.received_at),
            })
            .collect();
        self.watcher_election.should_watch(own, &peers, now)
    }

    /// Capacity that this VM states: 0 while it reaches no servers, so that the others
    /// neither forward calls to it nor report through it.
    pub fn effective_capacity(&self, now: Moment) -> u32 {
        match self.servers.is_cut_off(now) {
            true => 0,
            false => self.capacity,
        }
    }

    /// Whether another VM of the region follows the configuration source.
    pub fn hears_watcher(&self, now: Moment) -> bool {
        let mut live = self.vms.live(now);
        live.any(|(_, record)| record.centre.region == self.region && record.watching)
    }

    /// Counts a call that a caller sent for a service; it adds to the retry budget.
    pub fn record_call(&mut self, service: &ServiceName, now: Moment) {
        self.retry_budget(service).record_success(now);
    }

    /// Takes one retry from this VM's share of the retry budget of a service; fails with
    /// what is spent if the share is used up.
    pub fn try_take_retry(
        &mut self,
        service: &ServiceName,
        now: Moment,
    ) -> Result<(), BudgetUsage> {
        let usage = self.retry_usage(service, now);
        if !usage.has_room() {
            return Err(usage);
        }
        self.retry_budget(service).record_retry(now);
        Ok(())
    }

    /// Whether this VM's share of the retry budget of a service allows a retry.
    pub fn allows_retry(&mut self, service: &ServiceName, now: Moment) -> bool {
        self.retry_usage(service, now).has_room()
    }

    fn retry_usage(&mut self, service: &ServiceName, now: Moment) -> BudgetUsage {
        let terms = self.budget_terms.per_vm(self.budget_vms());
        let budget = self.retry_budget(service);
        budget.set_terms(terms);
        budget.usage(now)
    }

    /// Number of VMs among which retry budgets are divided.
    ///
    /// VMs that send no reports count as well, because they may be cut off and still
    /// retry calls.
    pub fn budget_vms(&self) -> usize {
        self.vms.iter().count() + 1
    }

    /// Decides on a call by its parts. A VM that forwards a call
    /// has decided already whether it is the one that tries a part.
    pub fn judge_parts(&self, parts: &CallParts, origin: CallOrigin, now: Moment) -> PartVerdict {
        let is_trier = |part| origin == CallOrigin::Vm || self.is_trier(part, now);
        self.suspects.judge(parts, is_trier, now)
    }

    /// Whether this VM is the one that tries and publishes a quarantined part.
    pub fn is_trier(&self, part: u32, now: Moment) -> bool {
        let score = |vm: u64| rendezvous_score(u64::from(part), vm);
        let own = score(self.vm_hash);
        let mut live = self.vms.live(now);
        live.all(|(_, record)| score(record.name_hash) <= own)
    }

    fn retry_budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        if !self.retry_budgets.contains_key(service) {
            self.retry_budgets
                .insert(service.clone(), RetryBudget::default());
        }
        self.retry_budgets.get_mut(service).expect("inserted above")
    }

    /// Removes expired entries.
    pub fn expire(&mut self, now: Moment) {
        self.servers.expire(now);
        self.suspects.expire(now);
        self.origins.expire(now);
        self.vms.expire(now);
        self.retry_budgets.retain(|_, budget| !budget.is_idle(now));
    }
}
