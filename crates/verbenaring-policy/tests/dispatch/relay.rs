//! Tests of the choice of relays.

use std::collections::HashMap;

use verbenaring_policy::dispatch::presence::{PresenceTable, VmKey, VmRecord, VmState};
use verbenaring_policy::dispatch::prompt::name_hash;
use verbenaring_policy::dispatch::relay::{OwnVm, RelayPlan, RelaySettings};
use verbenaring_policy::id::{CentreName, DataCentre, VmId};

use super::fixture::*;

/// Datagrams that a relay sends to each receiver of loads, per second.
const LOADS_PER_S: usize = 10;
/// The same for descriptions of VMs, rounded up.
const MEMBERS_PER_S: usize = 4;

/// Deployment of three regions with two data centres each, in which every tenth VM
/// has ten times the capacity of the others.
struct Fleet {
    vms: Vec<VmRecord>,
}

impl Fleet {
    fn new(vms: usize) -> Self {
        let vms = (0..vms).map(|index| {
            let region_name = ["north", "south", "west"][index % 3];
            let half = ["a", "b"][index / 3 % 2];
            let name = format!("vm-{index}");
            let address = "10.0.0.2:1".parse().unwrap();
            VmRecord {
                vm: VmId::new(&name).unwrap(),
                centre: DataCentre {
                    region: region(region_name),
                    name: CentreName::new(&format!("{region_name}-{half}")).unwrap(),
                },
                report_address: address,
                peer_address: address,
                caller_address: address,
                boot: 1,
                sequence: 1,
                state: VmState::Ready,
                routes_version: 1,
                operator_revision: 1,
                servers_revision: 1,
                watching: false,
                capacity: if index / 6 % 10 == 0 { 200 } else { 20 },
                name_hash: name_hash(&name),
                interval: ms(1_000),
                received_at: at(0),
            }
        });
        Self { vms: vms.collect() }
    }

    /// Plan of each VM, with the names in place of the keys; VMs in `lost` are not
    /// known to anyone.
    fn plans(&self, lost: &[VmId]) -> HashMap<VmId, NamedPlan> {
        let alive = self.vms.iter().filter(|vm| !lost.contains(&vm.vm));
        let alive: Vec<&VmRecord> = alive.collect();
        let plans = alive.iter().map(|own| {
            let mut table = PresenceTable::default();
            for other in alive.iter().filter(|other| other.vm != own.vm) {
                table.record((*other).clone(), at(0));
            }
            let own_vm = OwnVm {
                vm: &own.vm,
                centre: &own.centre,
                capacity: own.capacity,
                ready: true,
            };
            let plan = RelayPlan::new(RelaySettings::default(), own_vm, &table, at(1));
            (own.vm.clone(), NamedPlan::new(&plan, &table))
        });
        plans.collect()
    }

    fn vm(&self, name: &VmId) -> &VmRecord {
        self.vms.iter().find(|vm| vm.vm == *name).unwrap()
    }
}

#[derive(Debug)]
struct NamedPlan {
    relayed: bool,
    is_relay: bool,
    primary: Option<VmId>,
    group: Vec<VmId>,
    near_relays: Vec<VmId>,
    far_relays: Vec<VmId>,
}

impl NamedPlan {
    fn new(plan: &RelayPlan, table: &PresenceTable) -> Self {
        let name = |key: &VmKey| table.get(*key).unwrap().vm.clone();
        let names = |keys: &[VmKey]| keys.iter().map(name).collect();
        Self {
            relayed: plan.relayed,
            is_relay: plan.is_relay,
            primary: plan.primary.as_ref().map(name),
            group: names(&plan.group),
            near_relays: names(&plan.near_relays),
            far_relays: names(&plan.far_relays),
        }
    }

    /// Datagrams that the VM sends per second.
    fn datagrams_per_s(&self) -> usize {
        match self.is_relay {
            false => LOADS_PER_S,
            true => {
                let near = self.group.len() + self.near_relays.len();
                near * (LOADS_PER_S + MEMBERS_PER_S) + self.far_relays.len() * MEMBERS_PER_S
            }
        }
    }
}

#[test]
fn few_vms_report_to_each_other() {
    let plans = Fleet::new(24).plans(&[]);
    assert!(plans.values().all(|plan| !plan.relayed));
}

/// Guards against a VM that reports to one that does not count it to its group, so
/// that its load and its news are lost.
#[test]
fn every_vm_has_one_relay_that_counts_it_to_its_group() {
    let fleet = Fleet::new(195);
    let plans = fleet.plans(&[]);
    for (name, plan) in &plans {
        let groups = plans.iter().filter(|(_, other)| other.group.contains(name));
        let relays: Vec<&VmId> = groups.map(|(relay, _)| relay).collect();
        match plan.is_relay {
            true => assert!(relays.is_empty(), "{name} reports although it is a relay"),
            false => assert_eq!(relays, [plan.primary.as_ref().unwrap()], "{name}"),
        }
    }
    for (name, plan) in plans.iter().filter(|(_, plan)| plan.is_relay) {
        let own = fleet.vm(name);
        assert_eq!(own.capacity, 200, "{name} is a relay with a small link");
        let region_relays = plans.iter().filter(|(other, plan)| {
            plan.is_relay && *other != name && fleet.vm(other).centre.region == own.centre.region
        });
        assert_eq!(plan.near_relays.len(), region_relays.count());
        assert_eq!(plan.far_relays.len(), 2);
    }
}

/// Load: fleets of 30 to 400 VMs. What a VM sends must not grow with their number;
/// reports to all others would be up to 399 datagrams in each interval.
#[test]
fn datagrams_of_a_vm_hardly_grow_with_the_fleet() {
    let mut means = Vec::new();
    for vms in [30, 100, 200, 400] {
        let plans = Fleet::new(vms).plans(&[]);
        let sent: Vec<usize> = plans.values().map(NamedPlan::datagrams_per_s).collect();
        let most = *sent.iter().max().unwrap();
        let mean = sent.iter().sum::<usize>() as f64 / vms as f64;
        println!("{vms} VMs: mean {mean:.1}, most {most} datagrams a second");
        assert!(most <= 600, "{vms} VMs: {most} datagrams a second");
        means.push(mean);
    }
    assert!(means[3] <= 2.0 * means[0], "{means:?}");
}

/// Load: all relays of the fleet are lost at the same moment, repeatedly.
#[test]
fn others_become_relays_when_relays_are_lost() {
    let fleet = Fleet::new(120);
    let mut lost: Vec<VmId> = Vec::new();
    for _ in 0..3 {
        let plans = fleet.plans(&lost);
        let relays = plans.iter().filter(|(_, plan)| plan.is_relay);
        let relays: Vec<VmId> = relays.map(|(name, _)| name.clone()).collect();
        assert!(relays.len() >= 12, "{} relays", relays.len());
        lost.extend(relays);
    }
}
