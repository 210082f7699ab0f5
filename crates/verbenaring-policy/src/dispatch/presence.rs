//! Other VMs as their reports show them.
//!
//! Every VM sends its report to the others at an interval that grows with
//! their number. A VM is live while reports arrive. A report of a newer boot
//! replaces that of an older one; late datagrams of an older boot are dropped.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::id::{DataCentre, ServiceName, VmId};
use crate::time::Moment;

new_key_type! {
    /// Another VM.
    pub struct VmKey;
}

/// Missed reports after which a VM is no longer used.
const MISSED_REPORTS: u32 = 5;
/// Shortest silence after which a VM is no longer used. Datagrams are lost and
/// processes on small shares of a core pause for some hundred milliseconds.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// Time after which a silent VM is forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// What a VM takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum VmState {
    /// Not ready yet.
    Starting,
    /// Takes calls.
    Ready,
    /// Announces its stop; still serves callers that have not heard of it.
    Leaving,
    /// Finishes its calls and stops.
    Closing,
}

/// Expected wait of a new call for a service in the VM's region.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ServiceWait {
    /// Service.
    pub service: ServiceName,
    /// Expected time to the first event or the answer, in ms.
    pub wait_ms: u32,
    /// Servers that take work.
    pub servers: u16,
    /// Mean part of their time that they spend reading prompts, in percent.
    pub busy_percent: u16,
}

/// Another VM.
#[derive(Debug, Clone)]
pub struct VmRecord {
    /// Name.
    pub vm: VmId,
    /// Place.
    pub centre: DataCentre,
    /// Address for reports.
    pub report_address: SocketAddr,
    /// Address for forwarded calls.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Start of its process; a later process has a higher number.
    pub boot: u64,
    /// Number of the newest report.
    pub sequence: u32,
    /// What it takes.
    pub state: VmState,
    /// Version of the routes that it applies.
    pub routes_version: u64,
    /// Revision of the operators' entries that it applies.
    pub operator_revision: u64,
    /// Revision of the servers that it knows.
    pub servers_revision: u64,
    /// Whether it watches the configuration source.
    pub watching: bool,
    /// Waits in its region.
    pub waits: Vec<ServiceWait>,
    /// Time between its reports to this VM.
    pub interval: Duration,
    /// Arrival of the newest report.
    pub received_at: Moment,
}

impl VmRecord {
    /// Whether reports of the VM arrive.
    pub fn is_live(&self, now: Moment) -> bool {
        now.since(self.received_at) < (self.interval * MISSED_REPORTS).max(MIN_SILENCE)
    }

    /// Whether the VM may be given calls.
    pub fn takes_calls(&self, now: Moment) -> bool {
        self.state == VmState::Ready && self.is_live(now)
    }
}

/// VMs known to this one.
#[derive(Debug, Default)]
pub struct PresenceTable {
    vms: SlotMap<VmKey, VmRecord>,
}

impl PresenceTable {
    /// Takes over a report; false if it is older than the one known.
    ///
    /// Boot numbers come from the time of day, which may jump back: a silent VM
    /// may return with a lower one.
    pub fn record(&mut self, report: VmRecord, now: Moment) -> bool {
        let known = self.vms.values_mut().find(|record| record.vm == report.vm);
        match known {
            None => {
                self.vms.insert(report);
                true
            }
            Some(known)
                if (report.boot, report.sequence) > (known.boot, known.sequence)
                    || (report.boot != known.boot && !known.is_live(now)) =>
            {
                *known = report;
                true
            }
            Some(_) => false,
        }
    }

    /// Record of a VM by its name.
    pub fn find(&self, vm: &VmId) -> Option<&VmRecord> {
        self.vms.values().find(|record| record.vm == *vm)
    }

    /// VMs from which reports arrive.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (VmKey, &VmRecord)> {
        self.vms
            .iter()
            .filter(move |(_, record)| record.is_live(now))
    }

    /// All known VMs.
    pub fn iter(&self) -> impl Iterator<Item = &VmRecord> {
        self.vms.values()
    }

    /// Whether a VM with this address for reports is known.
    pub fn contains_address(&self, address: &SocketAddr) -> bool {
        let mut vms = self.vms.values();
        vms.any(|record| record.report_address == *address)
    }

    /// Record of a VM.
    pub fn get(&self, key: VmKey) -> Option<&VmRecord> {
        self.vms.get(key)
    }

    /// Drops VMs that have been silent for long.
    pub fn expire(&mut self, now: Moment) {
        self.vms
            .retain(|_, record| now.since(record.received_at) < FORGET);
    }
}
