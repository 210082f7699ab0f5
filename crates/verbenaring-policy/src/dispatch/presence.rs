//! Other VMs and their state, as known from their reports.
//!
//! Every VM sends reports to the others at an interval that grows with their
//! number. A VM is live while its reports arrive. A report of a newer boot
//! replaces that of an older one; late datagrams of an older boot are dropped.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::id::{DataCentre, ServiceName, VmId};
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
    /// Expected waits in the VM's region, by service.
    pub waits: Vec<ServiceWait>,
    /// Interval of the VM's reports to this VM.
    pub interval: Duration,
    /// Time at which the report arrived.
    pub received_at: Moment,
}

impl VmRecord {
    /// Whether reports of the VM still arrive.
    pub fn is_live(&self, now: Moment) -> bool {
        now.since(self.received_at) < (self.interval * MISSED_REPORTS).max(MIN_SILENCE)
    }

    /// Whether calls may be forwarded to the VM.
    pub fn takes_calls(&self, now: Moment) -> bool {
        self.state == VmState::Ready && self.is_live(now)
    }
}

/// Newest report of each known VM.
#[derive(Debug, Default)]
pub struct PresenceTable {
    vms: SlotMap<VmKey, VmRecord>,
}

impl PresenceTable {
    /// Records a report; returns false if it is outdated.
    ///
    /// Boot numbers come from the time of day, which may jump back, so a VM that
    /// is no longer live may return with a lower number.
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

    /// Record of a VM by name.
    pub fn find(&self, vm: &VmId) -> Option<&VmRecord> {
        self.vms.values().find(|record| record.vm == *vm)
    }

    /// VMs that are live at `now`.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = (VmKey, &VmRecord)> {
        self.vms
            .iter()
            .filter(move |(_, record)| record.is_live(now))
    }

    /// Records of all known VMs, live or not.
    pub fn iter(&self) -> impl Iterator<Item = &VmRecord> {
        self.vms.values()
    }

    /// Whether a known VM receives reports at `address`.
    pub fn contains_address(&self, address: &SocketAddr) -> bool {
        let mut vms = self.vms.values();
        vms.any(|record| record.report_address == *address)
    }

    /// Record of a VM by key; `None` once it has been dropped.
    pub fn get(&self, key: VmKey) -> Option<&VmRecord> {
        self.vms.get(key)
    }

    /// Drops VMs that have been silent for a minute.
    pub fn expire(&mut self, now: Moment) {
        self.vms
            .retain(|_, record| now.since(record.received_at) < FORGET_AFTER);
    }
}
