//! Which VM of a region may send calls to a server that tolerates few of them.
//!
//! Load pattern: servers return together and cold, and every VM of the region has calls
//! for them. Each such server has one owner VM, by rendezvous hashing over the live VMs,
//! so that VMs need not agree on every call.

use super::presence::PresenceTable;
use super::prompt::rendezvous_score;
use crate::id::RegionName;
use crate::time::Moment;

/// VMs of a region, as one of them sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionView {
    /// Name hash of this VM.
    pub own: u64,
    /// Name hashes of all live VMs, including this one.
    pub live: Vec<u64>,
    /// Whether this VM has run long enough to have heard from the others. Before
    /// that, each VM of a restarting region would take itself for the only one.
    pub peers_known: bool,
}

impl RegionView {
    /// View of the VM `own` in `region` that has run long enough to know the others.
    pub fn new(own: u64, region: &RegionName, vms: &PresenceTable, now: Moment) -> Self {
        let region_vms = vms
            .live(now)
            .filter(|(_, record)| record.centre.region == *region);
        let live = region_vms.map(|(_, record)| record.name_hash).chain([own]);
        Self {
            own,
            live: live.collect(),
            peers_known: true,
        }
    }

    /// View in which all of `live` are known to be live.
    pub fn of_live(own: u64, live: &[u64]) -> Self {
        Self {
            own,
            live: live.to_vec(),
            peers_known: true,
        }
    }

    /// Whether this VM is the one that may send calls to a cold server.
    pub(super) fn is_owner(&self, server: u64) -> bool {
        let rank = |vm: &u64| rendezvous_score(server, *vm);
        self.peers_known && self.live.iter().all(|vm| rank(vm) <= rank(&self.own))
    }
}
