//! What a relay passes on to the VMs that report to it and to other relays.
//!
//! The loads of its group and of the region, the prompts given to servers, and the
//! VMs and regions that it knows.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaring_policy::dispatch::allowance::AllowanceScope;
use verbenaring_policy::dispatch::limit::StatementSource;
use verbenaring_policy::dispatch::presence::{RegionWaits, VmKey, VmNews, VmRecord};
use verbenaring_policy::dispatch::prompt::{PromptRecord, name_hash};
use verbenaring_policy::dispatch::table::MIN_REMOTE_TOKENS;
use verbenaring_policy::dispatch::watcher::WATCHERS_PER_REGION;
use verbenaring_policy::time::Moment;

use super::message::{
    LoadDigest, LoadScope, MemberDigest, MessageTail, ReadDigest, RegionDigest, VmDescription,
    encode_digest, encode_loads, encode_members, encode_reads,
};
use super::report::{Datagrams, PASSED_ON_INTERVAL, RELAY_INTERVAL, Reporter, busiest};
use crate::wire::WireProtocol;

/// Interval at which relays state the VMs and regions that they know.
pub(super) const MEMBER_INTERVAL: Duration = Duration::from_millis(300);
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
/// Watchers of the region of which every datagram has news.
const MAX_WATCHER_NEWS: usize = 2 * WATCHERS_PER_REGION;
/// Prompt records in one datagram; each takes about 18 bytes.
const READS_PER_DATAGRAM: usize = 70;
/// Prompt records that wait to be passed on; an overloaded relay drops others.
pub(super) const MAX_WAITING_READS: usize = 400;
/// Prompt records for other regions in one datagram.
const MAX_FAR_READS: usize = 12;

impl<P: WireProtocol> Reporter<P> {
    /// Sends what a relay owes: loads to its group and to the other relays of the
    /// region, VMs and regions to these and to one relay of each other region.
    pub(super) fn relay(&mut self, datagrams: &mut Datagrams) {
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
        let retries = self.due_statement();
        let tail = |source, retries, scope| {
            // The lock is released before the quotas are read under it again.
            let limits = self.node.lock().servers.limit_updates(source, now);
            MessageTail {
                limits,
                retries,
                allowances: self.stated_allowances(scope),
            }
        };
        let for_relays = tail(StatementSource::Vm, retries, AllowanceScope::Near);
        let for_group = tail(StatementSource::Relay, Vec::new(), AllowanceScope::Total);
        let encoded = encode_digest(&group_digest, &for_relays).and_then(|group| {
            let region = encode_digest(&region_digest, &for_group)?;
            Ok((group, region))
        });
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

    pub(super) fn add_group_read(&mut self, vm: u32, read: PromptRecord) {
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
        let far = addresses(&self.plan.far_relays);
        push_members(&far_digest, &far, datagrams);
        self.relay_allowances(&far, datagrams);
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
        // Whether a VM must watch the configuration source itself depends on the watchers
        // of its region, so that news of them must not wait for their turn.
        let watchers = state
            .vms
            .live(now)
            .filter(|(_, record)| record.watching && record.centre.region == self.own.region);
        let watchers = watchers.map(|(key, _)| key).take(MAX_WATCHER_NEWS);
        let news: Vec<VmKey> = match members {
            MEMBERS_PER_DATAGRAM => {
                let others = next_of(&live, &mut self.news_cursor, NEWS_PER_DATAGRAM);
                watchers.chain(others).collect()
            }
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

    /// Tells VMs that this VM has just heard which others there are, beginning with
    /// those of their own data centre.
    pub(super) fn introduce(&mut self, datagrams: &mut Datagrams) {
        let introductions = std::mem::take(&mut self.introductions);
        let newcomers: Vec<SocketAddr> =
            introductions.iter().map(|(address, _)| *address).collect();
        self.introduce_suspects(&newcomers, datagrams);
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

fn push_members(digest: &MemberDigest, addresses: &[SocketAddr], datagrams: &mut Datagrams) {
    if addresses.is_empty() {
        return;
    }
    match encode_members(digest) {
        Ok(bytes) => datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone()))),
        Err(error) => log::warn!(error:% = error; "failed to encode VMs"),
    }
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
