//! Other VMs and their state, as known from their reports.
//!
//! VMs report to each other directly or through relays. A VM is live while its
//! reports arrive, or while others state that they do. A report of a newer boot
//! replaces that of an older one; late datagrams of an older boot are dropped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::id::{DataCentre, RegionName, ServiceName, VmId};
use crate::time::Moment;

new_key_type! {
    /// Key of another VM in the table; valid in this process only.
    pub struct VmKey;
}

/// Number of missed reports after which a VM is no longer live.
const MISSED_REPORTS: u32 = 5;
/// Minimum silence before a VM is no longer live. Datagrams get lost, and
/// processes with a small share of a core pause for a few hundred milliseconds.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// Time for which a VM gets no calls after it could not be reached, or none of a service
/// whose servers it could not reach. Its reports may still arrive by another way.
const UNREACHABLE_TIME: Duration = Duration::from_secs(1);
/// Silence after which the record of a VM is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum VmState {
    /// Starts up and takes no calls yet.
    Starting,
    /// Takes calls.
    Ready,
    /// Announces its stop, but still serves callers that have not noticed it.
    Leaving,
    /// Finishes its open calls and stops.
    Closing,
}

impl VmState {
    /// Whether the VM has its configuration and is not about to stop.
    pub fn is_serving(self) -> bool {
        self == Self::Ready
    }
}

/// Expected wait of a new call for a service in the VM's region.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceWait {
    /// Name of the service.
    pub service: ServiceName,
    /// Expected time to the first event or the answer, in ms.
    pub wait_ms: u32,
    /// Number of servers in the region that take calls of the service.
    pub servers: u16,
    /// Mean fraction of their time that these servers read prompts, in percent.
    pub busy_percent: u16,
}

/// Newest report of another VM.
#[derive(Debug, Clone)]
pub struct VmRecord {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre and region of the VM.
    pub centre: DataCentre,
    /// Address that receives reports.
    pub report_address: SocketAddr,
    /// Address that accepts calls forwarded by other VMs.
    pub peer_address: SocketAddr,
    /// Address that accepts calls from callers.
    pub caller_address: SocketAddr,
    /// Boot number of the process, from the time of day at its start.
    pub boot: u64,
    /// Sequence number of the report within its boot.
    pub sequence: u32,
    /// Lifecycle state.
    pub state: VmState,
    /// Version of the routes in force on the VM.
    pub routes_version: u64,
    /// Revision of the operators' entries in force on the VM.
    pub operator_revision: u64,
    /// Revision that the VM's server table has reached.
    pub servers_revision: u64,
    /// Whether the VM watches the configuration source.
    pub watching: bool,
    /// Capacity of the VM relative to others; 0 while it reaches no servers.
    pub capacity: u32,
    /// Hash of `vm`.
    pub name_hash: u64,
    /// Interval at which news of the VM arrive.
    pub interval: Duration,
    /// Time at which the report arrived, or would have arrived without relays.
    pub received_at: Moment,
}

/// News that a VM still reports, as other VMs pass it on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct VmNews {
    /// Lower 32 bits of the hash of the VM name.
    pub vm: u32,
    /// Lower 8 bits of the boot number.
    pub boot: u8,
    /// Sequence number of the newest report.
    pub sequence: u32,
}

/// Expected waits of a region.
#[derive(Debug, Clone, PartialEq)]
pub struct RegionWaits {
    /// Expected waits, by service.
    pub waits: Vec<ServiceWait>,
    /// Time at which a VM of the region stated them.
    pub stated_at: Moment,
}

impl VmRecord {
    /// Whether reports of the VM still arrive.
    pub fn is_live(&self, now: Moment) -> bool {
        now.since(self.received_at) < (self.interval * MISSED_REPORTS).max(MIN_SILENCE)
    }

    /// Whether reports of the VM still arrived at most `time` ago.
    pub fn was_live_within(&self, time: Duration, now: Moment) -> bool {
        self.is_live(now - time)
    }

    /// Whether calls may be forwarded to the VM.
    pub fn takes_calls(&self, now: Moment) -> bool {
        self.state == VmState::Ready && self.is_live(now)
    }

    /// Whether the VM reaches servers, as far as it has noticed.
    pub fn reaches_servers(&self) -> bool {
        self.capacity > 0
    }
}

/// Newest report of each known VM, and the waits of the regions.
#[derive(Debug, Default)]
pub struct PresenceTable {
    vms: SlotMap<VmKey, KnownVm>,
    by_hash: HashMap<u64, VmKey>,
    by_short_hash: HashMap<u32, VmKey>,
    regions: HashMap<RegionName, RegionWaits>,
}

#[derive(Debug)]
struct KnownVm {
    record: VmRecord,
    /// Time at which the VM was first heard, or at which its boot, state, watch or
    /// capacity last changed.
    changed_at: Moment,
    unreachable_at: Option<Moment>,
    /// Services with whose servers the VM had no contact, and when it said so.
    no_contact: Vec<(ServiceName, Moment)>,
}

impl PresenceTable {
    /// Records a report; returns false if it is outdated.
    ///
    /// Boot numbers come from the time of day, which may jump back, so a VM that
    /// is no longer live may return with a lower number.
    pub fn record(&mut self, report: VmRecord, now: Moment) -> bool {
        let known = self.by_hash.get(&report.name_hash).copied();
        let Some(known) = known.and_then(|key| self.vms.get_mut(key)) else {
            let hash = report.name_hash;
            let key = self.vms.insert(KnownVm {
                record: report,
                changed_at: now,
                unreachable_at: None,
                no_contact: Vec::new(),
            });
            self.by_hash.insert(hash, key);
            self.by_short_hash.insert(hash as u32, key);
            return true;
        };
        let record = &mut known.record;
        let newer = (report.boot, report.sequence) > (record.boot, record.sequence);
        let returned = report.boot != record.boot && !record.is_live(now);
        if !newer && !returned {
            return false;
        }
        let changed = report.boot != record.boot
            || report.state != record.state
            || report.watching != record.watching
            || report.capacity != record.capacity;
        if changed {
            known.changed_at = now;
        }
        *record = report;
        true
    }

    /// Records news of a VM that another one passed on. Ignored unless it is newer
    /// than what is known, so that news cannot circulate.
    pub fn record_news(&mut self, news: VmNews, now: Moment) {
        let known = self.by_short_hash.get(&news.vm).copied();
        let Some(known) = known.and_then(|key| self.vms.get_mut(key)) else {
            return;
        };
        let record = &mut known.record;
        if record.boot as u8 == news.boot && news.sequence > record.sequence {
            record.sequence = news.sequence;
            record.received_at = now;
        }
    }

    /// Newest news of a VM, to be passed on.
    pub fn news_of(&self, key: VmKey) -> Option<VmNews> {
        let record = self.get(key)?;
        Some(VmNews {
            vm: record.name_hash as u32,
            boot: record.boot as u8,
            sequence: record.sequence,
        })
    }

    /// Records that no connection to a VM could be opened.
    pub fn record_unreachable(&mut self, vm: &VmId, now: Moment) {
        let known = self.vms.values_mut();
        let mut known = known.filter(|known| known.record.vm == *vm);
        if let Some(known) = known.next() {
            known.unreachable_at = Some(now);
        }
    }

    /// Whether calls may be forwarded to a VM.
    pub fn is_reachable(&self, key: VmKey, now: Moment) -> bool {
        self.vms.get(key).is_some_and(|known| {
            let failed = known
                .unreachable_at
                .is_some_and(|at| now.since(at) < UNREACHABLE_TIME);
            known.record.takes_calls(now) && !failed
        })
    }

    /// Records that a VM refused a call because it has no contact with the servers of
    /// its service.
    pub fn record_no_contact(&mut self, vm: &VmId, service: &ServiceName, now: Moment) {
        let known = self.vms.values_mut();
        let mut known = known.filter(|known| known.record.vm == *vm);
        if let Some(known) = known.next() {
            known.no_contact.retain(|(name, _)| name != service);
            known.no_contact.push((service.clone(), now));
        }
    }

    /// Whether a VM may have contact with the servers of a service.
    pub fn may_have_contact(&self, key: VmKey, service: &ServiceName, now: Moment) -> bool {
        self.vms.get(key).is_some_and(|known| {
            let mut stated = known.no_contact.iter();
            known.record.reaches_servers()
                && !stated.any(|(name, at)| name == service && now.since(*at) < UNREACHABLE_TIME)
        })
    }

    /// Records the waits of a region unless newer ones are known.
    pub fn record_waits(&mut self, region: &RegionName, waits: RegionWaits) {
        match self.regions.get_mut(region) {
            Some(known) if known.stated_at >= waits.stated_at => {}
            Some(known) => *known = waits,
            None => {
                self.regions.insert(region.clone(), waits);
            }
        }
    }

    /// Waits of all regions that are known.
    pub fn region_waits(&self) -> impl Iterator<Item = (&RegionName, &RegionWaits)> {
        self.regions.iter()
    }

    /// Key of a VM by name.
    pub fn key_of(&self, vm: &VmId) -> Option<VmKey> {
        let key = *self.by_hash.get(&super::prompt::name_hash(vm.as_str()))?;
        self.get(key).filter(|record| record.vm == *vm)?;
        Some(key)
    }

    /// Record of a VM by name.
    pub fn find(&self, vm: &VmId) -> Option<&VmRecord> {
        let key = self.by_hash.get(&super::prompt::name_hash(vm.as_str()))?;
        self.get(*key).filter(|record| record.vm == *vm)
    }

    /// VMs that are live at `now`.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (VmKey, &VmRecord)> {
        let vms = self.vms.iter().map(|(key, known)| (key, &known.record));
        vms.filter(move |(_, record)| record.is_live(now))
    }

    /// Live VMs that changed or were first heard after `since`.
    pub fn changed_since(&self, since: Moment, now: Moment) -> impl Iterator<Item = VmKey> {
        let changed = self.vms.iter();
        changed
            .filter(move |(_, known)| known.changed_at > since && known.record.is_live(now))
            .map(|(key, _)| key)
    }

    /// Records of all known VMs, live or not.
    pub fn iter(&self) -> impl Iterator<Item = &VmRecord> {
        self.vms.values().map(|known| &known.record)
    }

    /// Whether a known VM receives reports at `address`.
    pub fn contains_address(&self, address: &SocketAddr) -> bool {
        let mut vms = self.iter();
        vms.any(|record| record.report_address == *address)
    }

    /// Record of a VM by key; `None` once it has been dropped.
    pub fn get(&self, key: VmKey) -> Option<&VmRecord> {
        self.vms.get(key).map(|known| &known.record)
    }

    /// Drops VMs that have been silent for a minute.
    pub fn expire(&mut self, now: Moment) {
        let by_hash = &mut self.by_hash;
        let by_short_hash = &mut self.by_short_hash;
        self.vms.retain(|_, known| {
            let keep = now.since(known.record.received_at) < FORGET_AFTER;
            if !keep {
                by_hash.remove(&known.record.name_hash);
                by_short_hash.remove(&(known.record.name_hash as u32));
            }
            keep
        });
    }
}
