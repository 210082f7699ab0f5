//! Relays, through which VMs report to each other where there are many.
//!
//! Load pattern: hundreds of VMs that each report to all others send a number of
//! datagrams that grows with the square of their number, or reports that are
//! seconds old. Above [`RelaySettings::direct_vms`], a VM reports only to one
//! relay of its data centre. The relays of a region tell each other the total of
//! their groups, and each tells its group the total of the region. One relay of
//! each region is told by each relay of the others, so that links between regions
//! carry a number of datagrams that does not depend on the number of VMs.
//!
//! Every VM computes the relays from the VMs that it knows. Any VM can be one;
//! VMs with more capacity come first. Where views differ, a report reaches a VM
//! that is no relay; it answers with the VMs that it knows.

use super::presence::{PresenceTable, VmKey, VmRecord};
use super::prompt::{name_hash, rendezvous_score};
use crate::id::{DataCentre, VmId};
use crate::time::Moment;

/// VMs of a data centre per relay. A relay sends each of them about a dozen
/// datagrams a second.
const GROUP_SIZE: usize = 12;
/// Smallest number of relays of a data centre, so that the loss of one does not
/// silence the others.
const MIN_RELAYS: usize = 2;
/// Seed of the rank among VMs of equal capacity. Any number works if all VMs use
/// the same one.
const RANK_SEED: u64 = 0x0072_656c_6179;

/// When reports go through relays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct RelaySettings {
    /// Number of VMs of the deployment up to which all report to each other.
    pub direct_vms: usize,
}

impl Default for RelaySettings {
    fn default() -> Self {
        Self { direct_vms: 24 }
    }
}

/// This VM, as the relay plan sees it.
#[derive(Debug, Clone, Copy)]
pub struct OwnVm<'a> {
    /// Name of the VM.
    pub vm: &'a VmId,
    /// Data centre and region of the VM.
    pub centre: &'a DataCentre,
    /// Capacity of the VM.
    pub capacity: u32,
    /// Whether the VM has the configuration that a relay passes on.
    pub ready: bool,
}

/// To whom a VM reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// Whether reports go through relays.
    pub relayed: bool,
    /// Whether this VM is a relay of its data centre.
    pub is_relay: bool,
    /// Relay to which this VM reports; `None` if it is a relay itself.
    pub primary: Option<VmKey>,
    /// VMs that report to this VM; empty if it is no relay.
    pub group: Vec<VmKey>,
    /// Other relays of the region.
    pub near_relays: Vec<VmKey>,
    /// One relay of each other region.
    pub far_relays: Vec<VmKey>,
}

impl RelayPlan {
    /// Computes the plan of a VM from the VMs that it knows.
    pub fn new(settings: RelaySettings, own: OwnVm<'_>, vms: &PresenceTable, now: Moment) -> Self {
        let live: Vec<(VmKey, &VmRecord)> = vms.live(now).collect();
        if live.len() < settings.direct_vms {
            return Self::default();
        }
        let own_hash = name_hash(own.vm.as_str());
        let own_candidate = Candidate {
            key: None,
            vm: own_hash,
            rank: (own.ready, own.capacity, rank_score(own_hash)),
        };
        let relays = relays_of(&live, own.centre, Some(own_candidate));
        let is_relay = relays.iter().any(|relay| relay.key.is_none());
        let primary_of = |vm: u64| {
            let nearest = relays
                .iter()
                .max_by_key(|relay| rendezvous_score(vm, relay.vm));
            nearest.map(|relay| relay.key)
        };
        let is_known_relay = |key: VmKey| relays.iter().any(|relay| relay.key == Some(key));
        let group = match is_relay {
            true => {
                let members = live.iter().filter(|(key, record)| {
                    record.centre == *own.centre
                        && !is_known_relay(*key)
                        && primary_of(record.name_hash) == Some(None)
                });
                members.map(|(key, _)| *key).collect()
            }
            false => Vec::new(),
        };
        let mut near_relays: Vec<VmKey> = relays.iter().filter_map(|relay| relay.key).collect();
        let mut far_relays = Vec::new();
        for centre in other_centres(&live, own.centre) {
            let relays = relays_of(&live, &centre, None);
            let keys = relays
                .iter()
                .filter_map(|relay| Some((relay.key?, relay.vm)));
            if centre.region == own.centre.region {
                near_relays.extend(keys.map(|(key, _)| key));
            } else {
                far_relays.extend(keys.map(|(key, vm)| (centre.region.clone(), key, vm)));
            }
        }
        Self {
            relayed: true,
            is_relay,
            primary: match is_relay {
                true => None,
                false => primary_of(own_hash).flatten(),
            },
            group,
            near_relays,
            far_relays: one_per_region(far_relays, own_hash),
        }
    }
}

/// VM that may be a relay; `key` is `None` for this VM.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: Option<VmKey>,
    vm: u64,
    rank: (bool, u32, u64),
}

fn rank_score(vm: u64) -> u64 {
    rendezvous_score(RANK_SEED, vm)
}

/// Relays of a data centre, best first.
fn relays_of(
    live: &[(VmKey, &VmRecord)],
    centre: &DataCentre,
    own: Option<Candidate>,
) -> Vec<Candidate> {
    let members = live.iter().filter(|(_, record)| record.centre == *centre);
    let others = members.map(|(key, record)| Candidate {
        key: Some(*key),
        vm: record.name_hash,
        rank: (
            record.state.is_serving(),
            record.capacity,
            rank_score(record.name_hash),
        ),
    });
    let mut candidates: Vec<Candidate> = others.chain(own).collect();
    candidates.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.rank));
    let relays = candidates.len().div_ceil(GROUP_SIZE).max(MIN_RELAYS);
    candidates.truncate(relays);
    candidates
}

fn other_centres(live: &[(VmKey, &VmRecord)], own: &DataCentre) -> Vec<DataCentre> {
    let mut centres: Vec<DataCentre> = Vec::new();
    for (_, record) in live {
        if record.centre != *own && !centres.contains(&record.centre) {
            centres.push(record.centre.clone());
        }
    }
    centres
}

/// For each region, the relay with the highest score for this VM, so that the
/// relays of a region tell different ones.
fn one_per_region(relays: Vec<(crate::id::RegionName, VmKey, u64)>, own_hash: u64) -> Vec<VmKey> {
    let mut best: Vec<(crate::id::RegionName, VmKey, u64)> = Vec::new();
    for (region, key, vm) in relays {
        let score = rendezvous_score(own_hash, vm);
        match best.iter_mut().find(|(known, _, _)| *known == region) {
            Some(entry) if entry.2 < score => *entry = (region, key, score),
            Some(_) => {}
            None => best.push((region, key, score)),
        }
    }
    best.into_iter().map(|(_, key, _)| key).collect()
}
