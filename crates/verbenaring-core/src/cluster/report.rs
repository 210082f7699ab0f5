//! Periodic reports between VMs.
//!
//! Each VM states, in UDP datagrams, its state, the revisions of its
//! configuration and its outstanding work at each server of its region. A lost
//! report does no harm, because the next one replaces it. Reports are datagrams
//! rather than requests because a late report is worthless, a dead connection
//! would delay all that follow, and a datagram costs only two system calls.
//!
//! Few VMs report to each other directly. Many report to relays, which pass
//! totals on; [`verbenaring_policy::dispatch::relay`] decides to whom. This module
//! sends a VM's own reports, [`super::relay`] what a relay passes on, and
//! [`super::receive`] applies what arrives.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};
use verbenaring_policy::dispatch::allowance::AllowanceScope;
use verbenaring_policy::dispatch::limit::{LimitUpdate, StatementSource};
use verbenaring_policy::dispatch::presence::VmKey;
use verbenaring_policy::dispatch::prompt::PromptRecord;
use verbenaring_policy::dispatch::relay::{OwnVm, RelayPlan};
use verbenaring_policy::dispatch::retry_share::RetryStatement;
use verbenaring_policy::dispatch::server::LoadShare;
use verbenaring_policy::id::DataCentre;

use super::message::{MAX_DATAGRAM_BYTES, MessageTail, VmDescription, VmReport, encode_report};
use crate::config::source::VmAnnouncement;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Smallest interval of direct reports per VM of this region. The interval grows
/// with the number of VMs, so that the rate of datagrams that a VM sends stays
/// bounded.
const NEAR_INTERVAL_PER_VM: Duration = Duration::from_millis(10);
/// Smallest interval of direct reports per VM of other regions.
const FAR_INTERVAL_PER_VM: Duration = Duration::from_millis(40);
/// Interval of reports to a relay and of the loads that it states.
pub(super) const RELAY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which news of a VM that relays pass on arrive at the latest.
pub(super) const PASSED_ON_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of reports to VMs that have not been heard yet.
const CONTACT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the relays are computed again.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Servers whose loads are stated: the busiest ones, if there are more.
const MAX_LOADS: usize = 60;
/// Own reports that are remembered, to subtract them from the totals of a relay.
const REMEMBERED_REPORTS: usize = 32;

/// Addresses to which reports are sent besides those of known VMs.
#[derive(Debug, Default)]
pub struct ReportTargets {
    announced: Mutex<HashSet<SocketAddr>>,
    added: Mutex<HashSet<SocketAddr>>,
}

impl ReportTargets {
    /// Replaces the addresses of announced VMs.
    pub fn set_announced(&self, vms: &[VmAnnouncement]) {
        let addresses = vms.iter().map(|vm| vm.report_address).collect();
        *self
            .announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Adds an address that is reported to whatever is announced.
    pub fn add(&self, address: SocketAddr) {
        let added = self.added.lock();
        added
            .unwrap_or_else(PoisonError::into_inner)
            .insert(address);
    }

    fn all(&self) -> HashSet<SocketAddr> {
        let announced = self.announced.lock();
        let announced = announced.unwrap_or_else(PoisonError::into_inner);
        let added = self.added.lock();
        let added = added.unwrap_or_else(PoisonError::into_inner);
        announced.union(&added).copied().collect()
    }
}

/// Sends and receives reports until the process ends.
pub async fn exchange_reports<P: WireProtocol>(node: Arc<FrontNode<P>>, socket: Arc<UdpSocket>) {
    let mut reporter = Reporter::new(node);
    let tick = Duration::from_millis(reporter.node.settings.tuning.near_report_ms);
    let mut ticks = tokio::time::interval(tick);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut datagram = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut datagram) => match received {
                Ok((length, from)) => reporter.receive(&datagram[..length], from),
                Err(error) => log::debug!(error:% = error; "failed to receive report"),
            },
            _ = ticks.tick() => {
                for (address, bytes) in reporter.datagrams() {
                    if let Err(error) = socket.send_to(&bytes, address).await {
                        log::debug!(address:% = address, error:% = error; "failed to send report");
                    }
                }
            }
        }
    }
}

/// Point in time at which something is due again.
#[derive(Debug)]
pub(super) struct Schedule {
    due: Instant,
}

impl Schedule {
    fn new() -> Self {
        Self {
            due: Instant::now(),
        }
    }

    /// Whether it is due; if so, the next time is after `interval`.
    pub(super) fn is_due(&mut self, interval: Duration) -> bool {
        let now = Instant::now();
        let due = now >= self.due;
        if due {
            self.due = now + interval;
        }
        due
    }
}

pub(super) type Datagrams = Vec<(SocketAddr, Vec<u8>)>;

/// Exchanges reports for one VM.
pub(super) struct Reporter<P: WireProtocol> {
    pub(super) node: Arc<FrontNode<P>>,
    pub(super) own: DataCentre,
    pub(super) plan: RelayPlan,
    pub(super) sequence: u32,
    pub(super) near_schedule: Schedule,
    pub(super) far_schedule: Schedule,
    pub(super) member_schedule: Schedule,
    pub(super) contact_schedule: Schedule,
    pub(super) plan_schedule: Schedule,
    pub(super) suspect_schedule: Schedule,
    pub(super) quarantine_schedule: Schedule,
    pub(super) builds_schedule: Schedule,
    pub(super) builds_repeat: Schedule,
    pub(super) retries_schedule: Schedule,
    pub(super) retries_repeat: Schedule,
    /// Statements for VMs that ask what their earlier processes have spent.
    pub(super) recalled_statements: Vec<(SocketAddr, RetryStatement)>,
    /// Number of declared builds that were last told.
    pub(super) told_builds: usize,
    /// Own loads of the newest reports, by sequence number.
    pub(super) reported: VecDeque<(u32, HashMap<u32, LoadShare>)>,
    /// Sequence number of the newest report of each VM that reports to this one.
    pub(super) included: HashMap<VmKey, u32>,
    /// Prompts given to servers by this VM and by those that report to it.
    pub(super) group_reads: Vec<(u32, PromptRecord)>,
    /// The same by the groups of the other relays.
    pub(super) near_reads: Vec<(u32, PromptRecord)>,
    pub(super) far_reads: Vec<PromptRecord>,
    pub(super) introductions: Vec<(SocketAddr, DataCentre)>,
    pub(super) member_cursor: usize,
    pub(super) news_cursor: usize,
    pub(super) recent_cursor: usize,
    pub(super) briefing_cursor: usize,
}

impl<P: WireProtocol> Reporter<P> {
    fn new(node: Arc<FrontNode<P>>) -> Self {
        Self {
            own: node.location.clone(),
            plan: RelayPlan::default(),
            sequence: node.report_sequence.load(Ordering::Relaxed),
            node,
            near_schedule: Schedule::new(),
            far_schedule: Schedule::new(),
            member_schedule: Schedule::new(),
            contact_schedule: Schedule::new(),
            plan_schedule: Schedule::new(),
            suspect_schedule: Schedule::new(),
            quarantine_schedule: Schedule::new(),
            builds_schedule: Schedule::new(),
            builds_repeat: Schedule::new(),
            retries_schedule: Schedule::new(),
            retries_repeat: Schedule::new(),
            recalled_statements: Vec::new(),
            told_builds: 0,
            reported: VecDeque::new(),
            included: HashMap::new(),
            group_reads: Vec::new(),
            near_reads: Vec::new(),
            far_reads: Vec::new(),
            introductions: Vec::new(),
            member_cursor: 0,
            news_cursor: 0,
            recent_cursor: 0,
            briefing_cursor: 0,
        }
    }

    /// Datagrams that are due now.
    fn datagrams(&mut self) -> Datagrams {
        self.node.record_tick();
        if self.plan_schedule.is_due(PLAN_INTERVAL) {
            self.update_plan();
        }
        let mut datagrams = Vec::new();
        match self.plan.relayed {
            false => self.report_directly(&mut datagrams),
            true if self.plan.is_relay => self.relay(&mut datagrams),
            true => self.report_to_relay(&mut datagrams),
        }
        if self.contact_schedule.is_due(CONTACT_INTERVAL) {
            self.contact_unknown(&mut datagrams);
        }
        self.introduce(&mut datagrams);
        self.report_suspects(&mut datagrams);
        self.report_origins(&mut datagrams);
        self.report_builds(&mut datagrams);
        self.recall_statements(&mut datagrams);
        datagrams
    }

    fn update_plan(&mut self) {
        let now = self.node.clock.now();
        let settings = &self.node.settings;
        let own = OwnVm {
            vm: &settings.vm,
            centre: &self.own,
            capacity: self.node.effective_capacity(),
            ready: self.node.vm_state().is_serving(),
        };
        let mut state = self.node.lock();
        let plan = RelayPlan::new(settings.tuning.relay, own, &state.vms, now);
        if plan.is_relay || !plan.relayed {
            state.servers.clear_region_loads();
        }
        drop(state);
        if plan.is_relay != self.plan.is_relay {
            log::info!(relay = plan.is_relay, group = plan.group.len(),
                near_relays = plan.near_relays.len(); "relay duty changed");
        }
        self.node.set_relay_duty(&plan);
        let live_group: HashSet<VmKey> = plan.group.iter().copied().collect();
        self.included.retain(|key, _| live_group.contains(key));
        self.plan = plan;
        self.update_allowance_group();
    }

    fn report_directly(&mut self, datagrams: &mut Datagrams) {
        let tuning = self.node.settings.tuning;
        let (near, far) = self.known_addresses();
        let near_interval = Duration::from_millis(tuning.near_report_ms)
            .max(NEAR_INTERVAL_PER_VM * near.len() as u32);
        let far_interval =
            Duration::from_millis(tuning.far_report_ms).max(FAR_INTERVAL_PER_VM * far.len() as u32);
        if self.near_schedule.is_due(near_interval) {
            let (loads, reads) = self.own_work(true);
            let report = self.report(near_interval, loads, reads);
            let tail = self.own_tail();
            push_report(&report, &tail, &near, datagrams);
        }
        if self.far_schedule.is_due(far_interval) {
            let (_, reads) = self.own_work(false);
            let report = VmReport {
                waits: self.own_waits(),
                ..self.report(far_interval, Vec::new(), reads)
            };
            let tail = MessageTail {
                limits: Vec::new(),
                retries: vec![self.own_statement()],
                allowances: self.stated_allowances(AllowanceScope::Vm),
            };
            push_report(&report, &tail, &far, datagrams);
        }
    }

    fn report_to_relay(&mut self, datagrams: &mut Datagrams) {
        if !self.near_schedule.is_due(RELAY_INTERVAL) {
            return;
        }
        let address = {
            let state = self.node.lock();
            let primary = self.plan.primary.and_then(|key| state.vms.get(key));
            primary.map(|record| record.report_address)
        };
        let Some(address) = address else {
            return;
        };
        let (loads, reads) = self.own_work(true);
        self.remember_report(self.sequence + 1, &loads);
        let report = self.report(RELAY_INTERVAL, loads, reads);
        let tail = self.own_tail();
        push_report(&report, &tail, &[address], datagrams);
    }

    /// Own loads and prompts given to servers since the last report.
    pub(super) fn own_work(&mut self, near: bool) -> (Vec<(u32, LoadShare)>, Vec<PromptRecord>) {
        let now = self.node.clock.now();
        let mut state = self.node.lock();
        let loads = match near {
            true => busiest(state.servers.own_loads(now)),
            false => Vec::new(),
        };
        let reads = state.servers.take_prompt_records(near);
        if self.plan.relayed && near {
            // The relay passes on the prompts that other regions may copy.
            drop(state.servers.take_prompt_records(false));
        }
        (loads, reads)
    }

    /// What this VM states behind its reports now.
    fn own_tail(&mut self) -> MessageTail {
        MessageTail {
            limits: self.own_limits(),
            retries: self.due_statement(),
            allowances: self.stated_allowances(AllowanceScope::Vm),
        }
    }

    /// Limits that servers named in answers to this VM.
    fn own_limits(&self) -> Vec<LimitUpdate> {
        let now = self.node.clock.now();
        let state = self.node.lock();
        state.servers.limit_updates(StatementSource::Server, now)
    }

    pub(super) fn report(
        &mut self,
        interval: Duration,
        loads: Vec<(u32, LoadShare)>,
        reads: Vec<PromptRecord>,
    ) -> VmReport {
        VmReport {
            vm: self.describe(),
            interval_ms: interval.as_millis() as u32,
            waits: Vec::new(),
            loads,
            reads,
        }
    }

    fn remember_report(&mut self, sequence: u32, loads: &[(u32, LoadShare)]) {
        let loads = loads.iter().copied().collect();
        self.reported.push_back((sequence, loads));
        if self.reported.len() > REMEMBERED_REPORTS {
            self.reported.pop_front();
        }
    }

    /// Waits in the region, as far as this VM can tell: none while it has no contact with
    /// servers, whose state others know better.
    pub(super) fn own_waits(&self) -> Vec<verbenaring_policy::dispatch::presence::ServiceWait> {
        let now = self.node.clock.now();
        let routes = self.node.routes.load();
        let state = self.node.lock();
        match state.servers.lost_services() {
            0 => state.servers.waits(routes.services(), now),
            _ => Vec::new(),
        }
    }

    /// Description of this VM with the next sequence number.
    pub(super) fn describe(&mut self) -> VmDescription {
        self.sequence += 1;
        let node = &self.node;
        node.report_sequence.store(self.sequence, Ordering::Relaxed);
        let settings = &node.settings;
        let (operator_revision, servers_revision) = {
            let state = node.lock();
            (state.operator_revision, state.servers.revision())
        };
        VmDescription {
            vm: settings.vm.clone(),
            centre: settings.data_centre.clone(),
            report_address: settings.report_address,
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            boot: node.boot,
            sequence: self.sequence,
            state: node.vm_state(),
            routes_version: node.routes.load().version(),
            operator_revision,
            servers_revision,
            watching: node.is_watching(),
            capacity: self.node.effective_capacity(),
        }
    }

    /// Reports to addresses at which no known VM listens.
    fn contact_unknown(&mut self, datagrams: &mut Datagrams) {
        let own = self.node.settings.report_address;
        let unknown: Vec<SocketAddr> = {
            let mut state = self.node.lock();
            // All VMs of a deployment use the same ports.
            let seeds = self.node.settings.seeds.iter();
            let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
            let others: HashSet<SocketAddr> = seeds.chain(self.node.reports.all()).collect();
            let unknown = others
                .into_iter()
                .filter(|address| *address != own && !state.vms.contains_address(address));
            let unknown: Vec<SocketAddr> = unknown.collect();
            state.unheard_vms = unknown.len();
            unknown
        };
        if !unknown.is_empty() {
            let report = VmReport {
                waits: self.own_waits(),
                ..self.report(PASSED_ON_INTERVAL, Vec::new(), Vec::new())
            };
            push_report(&report, &MessageTail::default(), &unknown, datagrams);
        }
    }

    pub(super) fn known_addresses(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let state = self.node.lock();
        let mut near = Vec::new();
        let mut far = Vec::new();
        for record in state.vms.iter() {
            match record.centre.region == self.own.region {
                true => near.push(record.report_address),
                false => far.push(record.report_address),
            }
        }
        (near, far)
    }
}

fn push_report(
    report: &VmReport,
    tail: &MessageTail,
    addresses: &[SocketAddr],
    datagrams: &mut Datagrams,
) {
    match encode_report(report, tail) {
        Ok(bytes) => datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone()))),
        Err(error) => log::warn!(error:% = error; "failed to encode report"),
    }
}

/// Loads of the busiest servers, if not all fit into a datagram.
pub(super) fn busiest(mut loads: Vec<(u32, LoadShare)>) -> Vec<(u32, LoadShare)> {
    if loads.len() > MAX_LOADS {
        loads.sort_by_key(|(_, share)| {
            std::cmp::Reverse(share.urgent_tokens.saturating_add(share.late_tokens))
        });
        loads.truncate(MAX_LOADS);
    }
    loads
}
