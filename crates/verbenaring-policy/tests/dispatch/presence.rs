//! Tests of reports from other VMs.

use verbenaring_policy::dispatch::presence::{PresenceTable, VmRecord, VmState};
use verbenaring_policy::id::VmId;
use verbenaring_policy::time::Moment;

use super::fixture::*;

fn record(vm: &str, boot: u64, sequence: u32, received_at: Moment) -> VmRecord {
    let address = "10.0.0.2:1".parse().unwrap();
    VmRecord {
        vm: VmId::new(vm).unwrap(),
        centre: entry("x", 1).centre,
        report_address: address,
        peer_address: address,
        caller_address: address,
        boot,
        sequence,
        state: VmState::Ready,
        routes_version: 1,
        operator_revision: 1,
        servers_revision: 1,
        watching: true,
        waits: Vec::new(),
        interval: ms(50),
        received_at,
    }
}

/// Guards against a late datagram of an earlier boot that replaces newer state, and
/// against a VM that stays ignored because its clock jumped back between two boots.
#[test]
fn reports_of_an_earlier_boot_are_dropped_while_the_vm_is_live() {
    let mut vms = PresenceTable::default();
    assert!(vms.record(record("a", 5, 9, at(0)), at(0)));
    assert!(!vms.record(record("a", 5, 8, at(10)), at(10)));
    assert!(!vms.record(record("a", 4, 50, at(20)), at(20)));
    assert!(vms.record(record("a", 6, 1, at(30)), at(30)));
    assert_eq!(vms.live(at(31)).count(), 1);
    assert_eq!(vms.live(at(2_000)).count(), 0);
    assert!(vms.record(record("a", 3, 1, at(2_000)), at(2_000)));
    assert_eq!(vms.live(at(2_001)).count(), 1);
}
