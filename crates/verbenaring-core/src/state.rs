//! State on which a VM decides: servers, other VMs and budgets.
//!
//! One lock covers all of it; a decision takes a few microseconds. Routes are
//! kept in the node, replaced as a whole and read without the lock.

use std::collections::HashMap;
use std::time::Duration;

use verbenaring_policy::dispatch::allowance::{AllowanceRole, AllowanceTable};
use verbenaring_policy::dispatch::doubt::DoubtfulServers;
use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::hedge::HedgePlanner;
use verbenaring_policy::dispatch::origin::StreamOrigins;
use verbenaring_policy::dispatch::ownership::RegionView;
use verbenaring_policy::dispatch::presence::{PresenceTable, VmState};
use verbenaring_policy::dispatch::prompt::{name_hash, rendezvous_score};
use verbenaring_policy::dispatch::retry_share::{
    HeldStatements, OtherShares, RetryShares, RetryStatement,
};
use verbenaring_policy::dispatch::run::RunTable;
use verbenaring_policy::dispatch::shortage::ShortageGate;
use verbenaring_policy::dispatch::spill::SpillTracker;
use verbenaring_policy::dispatch::standstill::StandstillDetector;
use verbenaring_policy::dispatch::suspect::{PartVerdict, SuspectTable};
use verbenaring_policy::dispatch::table::ServerTable;
use verbenaring_policy::dispatch::watcher::{WatchPeer, WatcherElection};
use verbenaring_policy::id::{RegionName, ServiceName};
use verbenaring_policy::retry::BudgetUsage;
use verbenaring_policy::time::Moment;

use crate::observe::logger::LogRateLimiter;
use crate::path::call::CallOrigin;
use crate::settings::FrontSettings;

/// Time within which VMs start that start together, by their clocks, in ms.
const START_SPREAD_MS: u64 = 5_000;

/// State that placement and retry decisions read and update.
#[derive(Debug)]
pub struct FrontState {
    /// Backend servers with their load and learned times.
    pub servers: ServerTable,
    /// Calls that servers of the own region answer.
    pub runs: RunTable,
    /// Servers of which it is open whether they have ended.
    pub doubtful: DoubtfulServers,
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
    /// Work that callers ask this VM for, by service with engines.
    pub shortage: HashMap<ServiceName, ShortageGate>,
    /// Calls recently forwarded to other regions.
    pub spilled_calls: SpillTracker,
    /// Revision of the operators' configuration in force; 0 if none is known.
    pub operator_revision: u64,
    watcher_election: WatcherElection,
    /// Limits the log lines about calls that succeeded.
    pub routine_lines: LogRateLimiter,
    /// This VM's shares of the retry budgets.
    pub retry_shares: RetryShares,
    /// What other VMs have spent of theirs.
    pub held_statements: HeldStatements,
    /// This VM's accounts of the tenants' quotas.
    pub allowances: AllowanceTable,
    /// Budgets and delays of second attempts.
    pub hedges: HedgePlanner,
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
            doubtful: DoubtfulServers::default(),
            suspects: SuspectTable::default(),
            origins: StreamOrigins::default(),
            vms: PresenceTable::default(),
            standstill: StandstillDetector::default(),
            unheard_vms: settings.seeds.len(),
            shortage: HashMap::new(),
            spilled_calls: SpillTracker::default(),
            operator_revision: 0,
            watcher_election: WatcherElection::default(),
            routine_lines: LogRateLimiter::default(),
            retry_shares: RetryShares::new(settings.bounds.budget(), Moment::default()),
            held_statements: HeldStatements::default(),
            allowances: AllowanceTable::new(
                name_hash(settings.vm.as_str()) as u32,
                Moment::default(),
            ),
            hedges: HedgePlanner::new(settings.tuning.hedge),
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

    /// Takes one retry from this VM's share of the retry budget of a service; fails with
    /// what is spent if the share is used up.
    pub fn try_take_retry(
        &mut self,
        service: &ServiceName,
        now: Moment,
    ) -> Result<(), BudgetUsage> {
        let others = OtherShares {
            known_vms: self.known_vms(),
            statements: &self.held_statements,
        };
        self.retry_shares.try_take(service, others, now)
    }

    /// Whether this VM's share of the retry budget of a service allows a retry.
    pub fn allows_retry(&mut self, service: &ServiceName, now: Moment) -> bool {
        let others = OtherShares {
            known_vms: self.known_vms(),
            statements: &self.held_statements,
        };
        self.retry_shares.allows(service, others, now)
    }

    /// What the process with this boot number has spent of the retry budgets.
    pub fn retry_statement(&mut self, boot: u64, now: Moment) -> RetryStatement {
        let vms = self.known_vms();
        let vm = self.vm_hash as u32;
        self.retry_shares.statement(vm, boot, vms, now)
    }

    /// Records that no process of this VM ran before the one with this boot number. Its
    /// shares are unused if all VMs have started with it; others may have spent theirs
    /// while they knew of fewer VMs.
    pub fn record_first_start(&mut self, boot: u64) {
        let mut others = self.vms.iter();
        if others.all(|other| other.boot + START_SPREAD_MS >= boot) {
            self.retry_shares.record_first_start();
        }
    }

    /// Number of VMs that are known, this one included.
    ///
    /// VMs that send no reports count as well, because they may be cut off and still
    /// retry calls.
    fn known_vms(&self) -> usize {
        self.vms.iter().count() + 1
    }

    /// Sets to whom this VM states the use of quotas.
    pub(crate) fn set_allowance_group(&mut self, role: AllowanceRole, now: Moment) {
        let known_vms = self.known_vms() + self.unheard_vms;
        self.allowances.set_group(role, known_vms, now);
    }

    /// Number of VMs among which the retry budgets are divided.
    pub fn budget_vms(&self, now: Moment) -> usize {
        self.retry_shares.divisor(self.known_vms(), now)
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

    /// Removes expired entries.
    pub fn expire(&mut self, now: Moment) {
        self.servers.expire(now);
        self.doubtful.expire(now);
        self.suspects.expire(now);
        self.origins.expire(now);
        self.vms.expire(now);
        for gate in self.shortage.values_mut() {
            gate.expire(now);
        }
        self.retry_shares.expire(now);
        self.held_statements.expire(now);
        self.allowances.expire(now);
        self.hedges.expire(now);
    }
}
