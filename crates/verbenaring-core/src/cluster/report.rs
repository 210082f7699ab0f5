//! Periodic reports between VMs.
//!
//! Each VM states, in UDP datagrams, its state, the revisions of its
//! configuration and its outstanding work at each server of its region. A lost
//! report does no harm, because the next one replaces it. Reports are datagrams
//! rather than requests because a late report is worthless, a dead connection
//! would delay all that follow, and a datagram costs only two system calls.
//!
//! Few VMs report to each other directly. Many report to relays, which pass
//! totals on; [`verbenaring_policy::dispatch::relay`] decides to whom.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};
use verbenaring_policy::dispatch::presence::{RegionWaits, VmKey, VmNews, VmRecord, VmState};
use verbenaring_policy::dispatch::prompt::{PromptRecord, name_hash};
use verbenaring_policy::dispatch::relay::{OwnVm, RelayPlan};
use verbenaring_policy::dispatch::server::LoadShare;
use verbenaring_policy::dispatch::table::MIN_REMOTE_TOKENS;
use verbenaring_policy::id::{DataCentre, ServiceName};
use verbenaring_policy::time::Moment;

use super::message::{
    LoadDigest, LoadScope, MAX_DATAGRAM_BYTES, MemberDigest, ReadDigest, RegionDigest,
    VmDescription, VmMessage, VmReport, decode, encode_loads, encode_members, encode_reads,
    encode_report,
};
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
const RELAY_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which relays state the VMs and regions that they know.
const MEMBER_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which news of a VM that relays pass on arrive at the latest.
const PASSED_ON_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval of reports to VMs that have not been heard yet.
const CONTACT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the relays are computed again.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which a VM that was first heard, or that changed, goes before others.
const RECENT_TIME: Duration = Duration::from_millis(1_500);
/// VMs that are described in one datagram beside news of others.
const MEMBERS_PER_DATAGRAM: usize = 5;
/// VMs that are described in one datagram without news of others.
const MEMBERS_PER_INTRODUCTION: usize = 11;
/// VMs of which one datagram has news.
const NEWS_PER_DATAGRAM: usize = 50;
/// Datagrams with descriptions that a relay sends to a VM that has just started,
/// in every interval of its loads.
const BRIEFING_DATAGRAMS: usize = 2;
/// Introductions that a VM sends in one tick.
const MAX_INTRODUCTIONS: usize = 20;
/// Servers whose loads are stated: the busiest ones, if there are more.
const MAX_LOADS: usize = 60;
/// Prompt records in one datagram; each takes about 18 bytes.
const READS_PER_DATAGRAM: usize = 70;
/// Prompt records that wait to be passed on; an overloaded relay drops others.
const MAX_WAITING_READS: usize = 400;
/// Prompt records for other regions in one datagram.
const MAX_FAR_READS: usize = 12;
/// Own reports that are remembered, to subtract them from the totals of a relay.
const REMEMBERED_REPORTS: usize = 32;

/// Addresses to which reports are sent besides those of known VMs.
#[derive(Debug, Default)]
pub struct ReportTargets {
    announced: Mutex<HashSet<SocketAddr>>,
}

impl ReportTargets {
    /// Replaces the addresses by those of the announced VMs.
    pub fn set_announced(&self, vms: &[VmAnnouncement]) {
        let addresses = vms.iter().map(|vm| vm.report_address).collect();
        *self
            .announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Adds an address until the announced VMs are replaced.
    pub fn add(&self, address: SocketAddr) {
        let announced = self.announced.lock();
        announced
            .unwrap_or_else(PoisonError::into_inner)
            .insert(address);
    }

    fn announced(&self) -> HashSet<SocketAddr> {
        let announced = self.announced.lock();
        announced.unwrap_or_else(PoisonError::into_inner).clone()
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
struct Schedule {
    due: Instant,
}

impl Schedule {
    fn new() -> Self {
        Self {
            due: Instant::now(),
        }
    }

    /// Whether it is due; if so, the next time is after `interval`.
    fn is_due(&mut self, interval: Duration) -> bool {
        let now = Instant::now();
        let due = now >= self.due;
        if due {
            self.due = now + interval;
        }
        due
    }
}

type Datagrams = Vec<(SocketAddr, Vec<u8>)>;

/// Exchanges reports for one VM.
struct Reporter<P: WireProtocol> {
    node: Arc<FrontNode<P>>,
    own: DataCentre,
    plan: RelayPlan,
    sequence: u32,
    near_schedule: Schedule,
    far_schedule: Schedule,
    member_schedule: Schedule,
    contact_schedule: Schedule,
    plan_schedule: Schedule,
    /// Own loads of the newest reports, by sequence number.
    reported: VecDeque<(u32, HashMap<u32, LoadShare>)>,
    /// Sequence number of the newest report of each VM that reports to this one.
    included: HashMap<VmKey, u32>,
    /// Prompts given to servers by this VM and by those that report to it.
    group_reads: Vec<(u32, PromptRecord)>,
    /// The same by the groups of the other relays.
    near_reads: Vec<(u32, PromptRecord)>,
    far_reads: Vec<PromptRecord>,
    introductions: Vec<(SocketAddr, DataCentre)>,
    member_cursor: usize,
    news_cursor: usize,
    recent_cursor: usize,
    briefing_cursor: usize,
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
        datagrams
    }

    fn update_plan(&mut self) {
        let now = self.node.clock.now();
        let settings = &self.node.settings;
        let own = OwnVm {
            vm: &settings.vm,
            centre: &self.own,
            capacity: settings.capacity(),
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
            push_report(&report, &near, datagrams);
        }
        if self.far_schedule.is_due(far_interval) {
            let (_, reads) = self.own_work(false);
            let report = VmReport {
                waits: self.own_waits(),
                ..self.report(far_interval, Vec::new(), reads)
            };
            push_report(&report, &far, datagrams);
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
        push_report(&report, &[address], datagrams);
    }

    /// Own loads and prompts given to servers since the last report.
    fn own_work(&mut self, near: bool) -> (Vec<(u32, LoadShare)>, Vec<PromptRecord>) {
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

    fn report(
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

    fn own_waits(&self) -> Vec<verbenaring_policy::dispatch::presence::ServiceWait> {
        let now = self.node.clock.now();
        let routes = self.node.routes.load();
        self.node.lock().servers.waits(routes.services(), now)
    }

    /// Description of this VM with the next sequence number.
    fn describe(&mut self) -> VmDescription {
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
            capacity: settings.capacity(),
        }
    }

    /// Sends what a relay owes: loads to its group and to the other relays of the
    /// region, VMs and regions to these and to one relay of each other region.
    fn relay(&mut self, datagrams: &mut Datagrams) {
        if self.near_schedule.is_due(RELAY_INTERVAL) {
            self.relay_loads(datagrams);
            self.brief_newcomers(datagrams);
        }
        if self.member_schedule.is_due(MEMBER_INTERVAL) {
            self.relay_members(datagrams);
        }
    }

    fn relay_loads(&mut self, datagrams: &mut Datagrams) {
        let now = self.node.clock.now();
        let own_hash = name_hash(self.node.settings.vm.as_str()) as u32;
        let (_, own_reads) = self.own_work(true);
        for read in own_reads {
            self.add_group_read(own_hash, read);
        }
        let (group_loads, region_loads, group, relays) = {
            let state = self.node.lock();
            let record = |key: &VmKey| state.vms.get(*key);
            let relays: Vec<&VmRecord> = self.plan.near_relays.iter().filter_map(record).collect();
            let relay_hashes: Vec<u64> = relays.iter().map(|record| record.name_hash).collect();
            let group: Vec<(SocketAddr, u32)> = self
                .plan
                .group
                .iter()
                .filter_map(|key| {
                    let included = self.included.get(key).copied().unwrap_or_default();
                    Some((state.vms.get(*key)?.report_address, included))
                })
                .collect();
            let addresses: Vec<SocketAddr> =
                relays.iter().map(|record| record.report_address).collect();
            (
                busiest(state.servers.group_loads(&relay_hashes, now)),
                busiest(state.servers.region_loads(now)),
                group,
                addresses,
            )
        };
        let vm = self.describe();
        let digest = |scope, loads| LoadDigest {
            vm: vm.clone(),
            interval_ms: RELAY_INTERVAL.as_millis() as u32,
            scope,
            loads,
        };
        let group_digest = digest(LoadScope::Group, group_loads);
        let region_digest = digest(LoadScope::Region, region_loads);
        let encoded = postcard::to_allocvec(&group_digest)
            .and_then(|group| Ok((group, postcard::to_allocvec(&region_digest)?)));
        let (for_relays, for_group) = match encoded {
            Ok(encoded) => encoded,
            Err(error) => {
                log::warn!(error:% = error; "failed to encode loads");
                return;
            }
        };
        let to_relays = relays
            .iter()
            .map(|address| (*address, encode_loads(0, &for_relays)));
        datagrams.extend(to_relays);
        let to_group = group
            .iter()
            .map(|(address, included)| (*address, encode_loads(*included, &for_group)));
        datagrams.extend(to_group);
        let group: Vec<SocketAddr> = group.into_iter().map(|(address, _)| address).collect();
        let group_reads = std::mem::take(&mut self.group_reads);
        push_reads(LoadScope::Group, &group_reads, &relays, datagrams);
        let region_reads = [group_reads, std::mem::take(&mut self.near_reads)].concat();
        push_reads(LoadScope::Region, &region_reads, &group, datagrams);
    }

    fn add_group_read(&mut self, vm: u32, read: PromptRecord) {
        if self.group_reads.len() < MAX_WAITING_READS {
            self.group_reads.push((vm, read));
        }
        if read.shared >= MIN_REMOTE_TOKENS && self.far_reads.len() < MAX_FAR_READS {
            self.far_reads.push(read);
        }
    }

    fn relay_members(&mut self, datagrams: &mut Datagrams) {
        let now = self.node.clock.now();
        let own_waits = RegionWaits {
            waits: self.own_waits(),
            stated_at: now,
        };
        let own_region = self.own.region.clone();
        self.node.lock().vms.record_waits(&own_region, own_waits);
        let digest = self.member_digest(MEMBERS_PER_DATAGRAM);
        let far_digest = MemberDigest {
            reads: std::mem::take(&mut self.far_reads),
            ..digest.clone()
        };
        let addresses = |keys: &[VmKey]| -> Vec<SocketAddr> {
            let state = self.node.lock();
            let records = keys.iter().filter_map(|key| state.vms.get(*key));
            records.map(|record| record.report_address).collect()
        };
        let near = [self.plan.group.as_slice(), &self.plan.near_relays].concat();
        push_members(&digest, &addresses(&near), datagrams);
        push_members(&far_digest, &addresses(&self.plan.far_relays), datagrams);
    }

    /// Describes the VMs of the region to those of the group that have just started.
    fn brief_newcomers(&mut self, datagrams: &mut Datagrams) {
        let now = self.node.clock.now();
        let newcomers: Vec<SocketAddr> = {
            let state = self.node.lock();
            let recent = state.vms.changed_since(now - RECENT_TIME, now);
            let newcomers = recent.filter(|key| self.plan.group.contains(key));
            let records = newcomers.filter_map(|key| state.vms.get(key));
            records.map(|record| record.report_address).collect()
        };
        if newcomers.is_empty() {
            return;
        }
        for _ in 0..BRIEFING_DATAGRAMS {
            let digest = self.briefing();
            push_members(&digest, &newcomers, datagrams);
        }
    }

    /// VMs of the region in turn, without news.
    fn briefing(&mut self) -> MemberDigest {
        let mut digest = self.member_digest(0);
        let now = self.node.clock.now();
        let state = self.node.lock();
        let region = &self.own.region;
        let near = state.vms.live(now);
        let near: Vec<VmKey> = near
            .filter(|(_, record)| record.centre.region == *region)
            .map(|(key, _)| key)
            .collect();
        let chosen = next_of(&near, &mut self.briefing_cursor, MEMBERS_PER_INTRODUCTION);
        let records = chosen.into_iter().filter_map(|key| state.vms.get(key));
        digest.members = records.map(VmDescription::of).collect();
        digest
    }

    /// VMs and regions that this VM knows: VMs that changed recently first, then
    /// the others in turn.
    fn member_digest(&mut self, members: usize) -> MemberDigest {
        let vm = self.describe();
        let now = self.node.clock.now();
        let state = self.node.lock();
        let live: Vec<VmKey> = state.vms.live(now).map(|(key, _)| key).collect();
        let recent = state.vms.changed_since(now - RECENT_TIME, now);
        let mut chosen: Vec<VmKey> = recent.collect();
        if chosen.len() > members {
            let start = self.recent_cursor % chosen.len();
            chosen.rotate_left(start);
            self.recent_cursor = self.recent_cursor.wrapping_add(members);
        }
        chosen.truncate(members);
        for key in next_of(&live, &mut self.member_cursor, members - chosen.len()) {
            if !chosen.contains(&key) {
                chosen.push(key);
            }
        }
        let news = match members {
            MEMBERS_PER_DATAGRAM => next_of(&live, &mut self.news_cursor, NEWS_PER_DATAGRAM),
            _ => Vec::new(),
        };
        let news: Vec<VmNews> = news
            .into_iter()
            .filter_map(|key| state.vms.news_of(key))
            .collect();
        let described = chosen.iter().filter_map(|key| state.vms.get(*key));
        MemberDigest {
            vm,
            interval_ms: PASSED_ON_INTERVAL.as_millis() as u32,
            regions: state.region_digests(now),
            members: described.map(VmDescription::of).collect(),
            news,
            reads: Vec::new(),
        }
    }

    /// Reports to addresses at which no known VM listens.
    fn contact_unknown(&mut self, datagrams: &mut Datagrams) {
        let own = self.node.settings.report_address;
        let unknown: Vec<SocketAddr> = {
            let state = self.node.lock();
            // All VMs of a deployment use the same ports.
            let seeds = self.node.settings.seeds.iter();
            let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
            let others: HashSet<SocketAddr> = seeds.chain(self.node.reports.announced()).collect();
            let unknown = others
                .into_iter()
                .filter(|address| *address != own && !state.vms.contains_address(address));
            unknown.collect()
        };
        if !unknown.is_empty() {
            let report = VmReport {
                waits: self.own_waits(),
                ..self.report(PASSED_ON_INTERVAL, Vec::new(), Vec::new())
            };
            push_report(&report, &unknown, datagrams);
        }
    }

    /// Tells VMs that this VM has just heard which others there are, beginning with
    /// those of their own data centre.
    fn introduce(&mut self, datagrams: &mut Datagrams) {
        let introductions = std::mem::take(&mut self.introductions);
        for (address, centre) in introductions {
            let mut digest = self.member_digest(MEMBERS_PER_INTRODUCTION);
            let now = self.node.clock.now();
            let state = self.node.lock();
            let same_centre = state.vms.live(now).map(|(_, record)| record);
            let mut same_centre: Vec<&VmRecord> = same_centre
                .filter(|record| record.centre == centre && record.report_address != address)
                .collect();
            same_centre.sort_by_key(|record| std::cmp::Reverse(record.capacity));
            let nearest = same_centre.iter().take(MEMBERS_PER_INTRODUCTION);
            let nearest = nearest.map(|record| VmDescription::of(record));
            digest.members = nearest.chain(digest.members).collect();
            digest.members.truncate(MEMBERS_PER_INTRODUCTION);
            drop(state);
            push_members(&digest, &[address], datagrams);
        }
    }

    fn known_addresses(&self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
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

    fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        match decode(datagram) {
            Ok(VmMessage::Report(report)) => self.apply_report(report),
            Ok(VmMessage::Loads(included, digest)) => self.apply_loads(included, digest),
            Ok(VmMessage::Members(digest)) => self.apply_members(digest),
            Ok(VmMessage::Reads(digest)) => self.apply_reads(digest),
            Err(error) => {
                if let Some(suppressed) = self.node.allow_log_line(true) {
                    log::warn!(from:% = from, bytes = datagram.len(), error:% = error,
                        suppressed_lines = suppressed; "failed to decode report");
                }
            }
        }
    }

    /// Records what a VM states about itself; returns its key if it is news.
    fn apply_description(&mut self, vm: VmDescription, interval_ms: u32) -> Option<VmKey> {
        if vm.vm == self.node.settings.vm {
            return None;
        }
        let now = self.node.clock.now();
        let interval = Duration::from_millis(u64::from(interval_ms));
        let record = vm.into_record(&self.node.settings, interval, now);
        let (name, near) = (record.vm.clone(), record.centre.region == self.own.region);
        let mut state = self.node.lock();
        let was_live = state.vms.find(&name).map(|known| known.is_live(now));
        if !state.vms.record(record, now) {
            return None;
        }
        if was_live != Some(true) {
            log::info!(peer:% = name, near = near; "VM heard");
        }
        state.vms.key_of(&name)
    }

    fn apply_report(&mut self, report: VmReport) {
        let now = self.node.clock.now();
        let hash = name_hash(report.vm.vm.as_str());
        let (sequence, state) = (report.vm.sequence, report.vm.state);
        let known_boot = {
            let state = self.node.lock();
            state.vms.find(&report.vm.vm).map(|record| record.boot)
        };
        let is_new = known_boot != Some(report.vm.boot);
        let Some(key) = self.apply_description(report.vm, report.interval_ms) else {
            return;
        };
        let (centre, address) = {
            let state = self.node.lock();
            match state.vms.get(key) {
                Some(record) => (record.centre.clone(), record.report_address),
                None => return,
            }
        };
        let near = centre.region == self.own.region;
        if !near && state == VmState::Ready && !report.waits.is_empty() {
            let waits = RegionWaits {
                waits: report.waits,
                stated_at: now,
            };
            self.node.lock().vms.record_waits(&centre.region, waits);
        }
        self.record_prompts(&report.reads);
        if near {
            let mut state = self.node.lock();
            state.servers.record_peer_loads(hash, &report.loads, now);
        }
        if self.plan.is_relay && near {
            self.included.insert(key, sequence);
            for read in report.reads {
                self.add_group_read(hash as u32, read);
            }
        }
        let misdirected = self.plan.relayed && !self.plan.group.contains(&key);
        if (is_new || misdirected) && self.introductions.len() < MAX_INTRODUCTIONS {
            self.introductions.push((address, centre));
        }
    }

    fn apply_loads(&mut self, included: u32, digest: LoadDigest) {
        let now = self.node.clock.now();
        let hash = name_hash(digest.vm.vm.as_str());
        if self
            .apply_description(digest.vm, digest.interval_ms)
            .is_none()
        {
            return;
        }
        match digest.scope {
            LoadScope::Group => {
                let mut state = self.node.lock();
                state.servers.record_peer_loads(hash, &digest.loads, now);
            }
            LoadScope::Region if !self.plan.is_relay => {
                let reported = self.reported.iter().rev();
                let mut reported = reported.filter(|(sequence, _)| *sequence == included);
                let reported = reported.next().map(|(_, loads)| loads);
                let own_part = |server: &u32| reported.and_then(|loads| loads.get(server)).copied();
                let others: Vec<(u32, LoadShare)> = digest
                    .loads
                    .iter()
                    .map(|(server, share)| {
                        (*server, share.without(own_part(server).unwrap_or_default()))
                    })
                    .collect();
                self.node.lock().servers.record_region_loads(&others, now);
            }
            LoadScope::Region => {}
        }
    }

    fn apply_members(&mut self, digest: MemberDigest) {
        let now = self.node.clock.now();
        let _ = self.apply_description(digest.vm, digest.interval_ms);
        for member in digest.members {
            let _ = self.apply_description(member, digest.interval_ms);
        }
        let mut state = self.node.lock();
        for news in digest.news {
            state.vms.record_news(news, now);
        }
        for region in digest.regions {
            if region.region != self.own.region || !self.plan.is_relay {
                let age = Duration::from_millis(u64::from(region.age_ms));
                let waits = RegionWaits {
                    waits: region.waits,
                    stated_at: now - age,
                };
                state.vms.record_waits(&region.region, waits);
            }
        }
        drop(state);
        self.record_prompts(&digest.reads);
        if self.plan.is_relay {
            for read in digest.reads {
                if self.near_reads.len() < MAX_WAITING_READS {
                    self.near_reads.push((0, read));
                }
            }
        }
    }

    fn apply_reads(&mut self, digest: ReadDigest) {
        let own = name_hash(self.node.settings.vm.as_str()) as u32;
        let reads = digest.reads.iter().filter(|(vm, _)| *vm != own);
        let reads: Vec<PromptRecord> = reads.map(|(_, read)| *read).collect();
        self.record_prompts(&reads);
        if digest.scope == LoadScope::Group && self.plan.is_relay {
            let room = MAX_WAITING_READS.saturating_sub(self.near_reads.len());
            self.near_reads.extend(digest.reads.into_iter().take(room));
        }
    }

    fn record_prompts(&self, reads: &[PromptRecord]) {
        if reads.is_empty() {
            return;
        }
        let now = self.node.clock.now();
        let routes = self.node.routes.load();
        let capacity = |service: &ServiceName| {
            let settings = routes.service(service);
            settings
                .and_then(|settings| settings.cache_tokens)
                .unwrap_or(0)
        };
        let mut state = self.node.lock();
        state.servers.record_peer_prompts(reads, capacity, now);
    }
}

impl crate::state::FrontState {
    fn region_digests(&self, now: Moment) -> Vec<RegionDigest> {
        let regions = self.vms.region_waits();
        let digests = regions.map(|(region, waits)| RegionDigest {
            region: region.clone(),
            age_ms: now.since(waits.stated_at).as_millis() as u32,
            waits: waits.waits.clone(),
        });
        digests.collect()
    }
}

fn push_report(report: &VmReport, addresses: &[SocketAddr], datagrams: &mut Datagrams) {
    match encode_report(report) {
        Ok(bytes) => datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone()))),
        Err(error) => log::warn!(error:% = error; "failed to encode report"),
    }
}

fn push_members(digest: &MemberDigest, addresses: &[SocketAddr], datagrams: &mut Datagrams) {
    if addresses.is_empty() {
        return;
    }
    match encode_members(digest) {
        Ok(bytes) => datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone()))),
        Err(error) => log::warn!(error:% = error; "failed to encode VMs"),
    }
}

/// Loads of the busiest servers, if not all fit into a datagram.
fn busiest(mut loads: Vec<(u32, LoadShare)>) -> Vec<(u32, LoadShare)> {
    if loads.len() > MAX_LOADS {
        loads.sort_by_key(|(_, share)| {
            std::cmp::Reverse(share.urgent_tokens.saturating_add(share.late_tokens))
        });
        loads.truncate(MAX_LOADS);
    }
    loads
}

fn push_reads(
    scope: LoadScope,
    reads: &[(u32, PromptRecord)],
    addresses: &[SocketAddr],
    datagrams: &mut Datagrams,
) {
    for reads in reads.chunks(READS_PER_DATAGRAM) {
        let reads = reads.to_vec();
        match encode_reads(&ReadDigest { scope, reads }) {
            Ok(bytes) => {
                datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone())));
            }
            Err(error) => log::warn!(error:% = error; "failed to encode prompts"),
        }
    }
}

/// The next `count` keys after the cursor, from the beginning again at the end.
fn next_of(keys: &[VmKey], cursor: &mut usize, count: usize) -> Vec<VmKey> {
    let count = count.min(keys.len());
    let next = (0..count).map(|step| keys[(*cursor + step) % keys.len()]);
    let next = next.collect();
    *cursor = cursor.wrapping_add(count);
    next
}
