//! Which VMs of a region may send calls to a server that tolerates few of them.
//!
//! Load pattern: servers return together and cold, and every VM of the region has calls
//! for them. Each such server has one owner VM, by rendezvous hashing, so that VMs need
//! not agree on every call. VMs see each other differently while some are cut off, stand
//! still or are lost, and several may take themselves for the owner. Two things bound
//! what they send together: an owner that is no longer heard is replaced only after
//! [`HANDOVER_TIME`], in which views that change at different times become alike, and an
//! owner that hears less than half of the VMs sends only the part of the limit that
//! corresponds to what it hears.

use std::time::Duration;

use super::presence::{PresenceTable, VmState};
use super::prompt::rendezvous_score;
use crate::id::RegionName;
use crate::time::Moment;

/// Time for which a VM that is no longer live keeps the servers that it owns.
pub const HANDOVER_TIME: Duration = Duration::from_millis(1_500);

/// VMs that share a limit besides one for each request per second. They may all send a
/// call at the same time, which exceeds the limit for this moment.
const EXTRA_HOLDERS: usize = 3;

/// VMs of a region, as one of them sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegionView {
    /// Name hash of this VM.
    pub own: u64,
    /// Name hashes of all live VMs, including this one.
    pub live: Vec<u64>,
    /// Name hashes of the VMs that were live until recently.
    pub recent: Vec<u64>,
    /// Name hashes of the VMs that are expected and have not been live for longer.
    pub lost: Vec<u64>,
    /// VMs that are expected in the region, live or not, including this one.
    pub expected: usize,
    /// Whether this VM has run long enough to have heard from the others. Before
    /// that, each VM of a restarting region would take itself for the only one.
    pub peers_known: bool,
}

impl RegionView {
    /// View of the VM `own` in `region` that has run long enough to know the others.
    pub fn new(own: u64, region: &RegionName, vms: &PresenceTable, now: Moment) -> Self {
        let mut view = Self::of_live(own, &[own]);
        for record in vms.iter().filter(|record| record.centre.region == *region) {
            let stops = matches!(record.state, VmState::Leaving | VmState::Closing);
            if record.is_live(now) {
                view.live.push(record.name_hash);
            } else if record.was_live_within(HANDOVER_TIME, now) {
                view.recent.push(record.name_hash);
            } else if !stops {
                view.lost.push(record.name_hash);
            }
            view.expected += usize::from(!stops);
        }
        view
    }

    /// View in which all of `live` are known to be live.
    pub fn of_live(own: u64, live: &[u64]) -> Self {
        Self {
            own,
            live: live.to_vec(),
            recent: Vec::new(),
            lost: Vec::new(),
            expected: live.len(),
            peers_known: true,
        }
    }

    /// Whether this VM is the one that may send calls to a cold server.
    pub(super) fn is_owner(&self, server: u64) -> bool {
        self.peers_known && self.is_owned_by(self.own, server)
    }

    /// Whether a VM of the region is the one that may send calls to a cold server.
    pub(super) fn is_owned_by(&self, vm: u64, server: u64) -> bool {
        let rank = |vm: &u64| rendezvous_score(server, *vm);
        let own = rank(&vm);
        let mut rivals = self.live.iter().chain(&self.recent);
        rivals.all(|rival| rank(rival) <= own)
    }

    /// Part of a limit, in requests per second for all VMs together, that falls to this
    /// VM. Several VMs share a limit, because each of many VMs has few of the calls.
    ///
    /// The VMs that hear most of the others keep the limit together. Each other group of
    /// VMs that hear each other takes the fraction that it is of all, so that all groups
    /// take one and a half times the limit at most.
    pub(super) fn limit_part(&self, server: u64, limit: f64) -> f64 {
        let rank = |vm: &u64| rendezvous_score(server, *vm);
        let own = rank(&self.own);
        let rivals = self.live.iter().chain(&self.recent);
        let higher = rivals.filter(|vm| rank(vm) > own).count();
        let holders = (limit as usize + EXTRA_HOLDERS).min(self.live.len().max(1));
        if !self.peers_known || higher >= holders {
            return 0.0;
        }
        let live_share = self.live_share();
        let taken = match live_share > 0.5 {
            true => limit,
            false => limit * live_share,
        };
        taken / holders as f64
    }

    /// Part of the `places` of a server that falls to this VM. A VM that hears less than
    /// half of the others takes the part of one of all of them.
    pub(super) fn places_part(&self, server: u64, places: u32) -> u32 {
        match self.peers_known {
            true => self.part_of(self.own, server, places),
            false => 0,
        }
    }

    /// Whether another VM may send calls to a server with so many places.
    pub(super) fn is_place_holder(&self, vm: u64, server: u64, places: u32) -> bool {
        self.part_of(vm, server, places) > 0
    }

    fn part_of(&self, vm: u64, server: u64, places: u32) -> u32 {
        let rank = |vm: &u64| rendezvous_score(server, *vm);
        let hears_most = self.live_share() > 0.5;
        let lost = match hears_most {
            true => &[][..],
            false => &self.lost,
        };
        let known = self.live.len() + self.recent.len() + lost.len();
        let holders = match hears_most {
            true => known,
            false => known.max(self.expected),
        };
        let holders = holders.max(1) as u32;
        let rivals = self.live.iter().chain(&self.recent).chain(lost);
        let higher = rivals.filter(|rival| rank(rival) > rank(&vm)).count() as u32;
        places / holders + u32::from(higher < places % holders)
    }

    /// Fraction of the expected VMs that are live, at most 1.
    pub(super) fn live_share(&self) -> f64 {
        (self.live.len() as f64 / self.expected.max(1) as f64).min(1.0)
    }
}
