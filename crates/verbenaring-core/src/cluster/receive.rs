//! Applies the datagrams that arrive from other VMs.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaring_policy::dispatch::limit::StatementSource;
use verbenaring_policy::dispatch::presence::{RegionWaits, VmKey, VmState};
use verbenaring_policy::dispatch::prompt::{PromptRecord, name_hash};
use verbenaring_policy::dispatch::server::LoadShare;
use verbenaring_policy::id::ServiceName;

use super::message::{
    LoadDigest, LoadScope, MemberDigest, ReadDigest, VmDescription, VmMessage, VmReport, decode,
};
use super::relay::{MAX_WAITING_READS, MEMBER_INTERVAL};
use super::report::Reporter;
use crate::wire::WireProtocol;

/// Introductions that a VM sends in one tick.
const MAX_INTRODUCTIONS: usize = 20;

impl<P: WireProtocol> Reporter<P> {
    pub(super) fn receive(&mut self, datagram: &[u8], from: SocketAddr) {
        match decode(datagram) {
            Ok(VmMessage::Report(report, tail)) => {
                self.node.merge_limits(&tail.limits, StatementSource::Vm);
                self.hold_statements(tail.retries, report.vm.report_address);
                let interval = Duration::from_millis(u64::from(report.interval_ms));
                self.hold_allowances(&tail.allowances, interval);
                self.apply_report(report);
            }
            Ok(VmMessage::Loads(included, digest, tail)) => {
                self.node.merge_limits(&tail.limits, StatementSource::Relay);
                self.hold_statements(tail.retries, digest.vm.report_address);
                let interval = Duration::from_millis(u64::from(digest.interval_ms));
                self.hold_allowances(&tail.allowances, interval);
                self.apply_loads(included, digest);
            }
            Ok(VmMessage::Members(digest)) => self.apply_members(digest),
            Ok(VmMessage::Reads(digest)) => self.apply_reads(digest),
            Ok(VmMessage::Suspects(news)) => self.apply_suspects(&news),
            Ok(VmMessage::Origins(origins)) => self.apply_origins(&origins),
            Ok(VmMessage::Builds(declared)) => self.apply_builds(&declared),
            Ok(VmMessage::Retries(statement)) => self.inherit_retries(&statement),
            Ok(VmMessage::Allowances(statement)) => {
                self.hold_allowances(&[statement], MEMBER_INTERVAL)
            }
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
