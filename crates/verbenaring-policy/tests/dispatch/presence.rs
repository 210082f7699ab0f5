//! Tests of reports from other VMs.

use verbenaring_policy::dispatch::presence::{PresenceTable, VmRecord, VmState};
use verbenaring_policy::dispatch::prompt::name_hash;
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
        capacity: 100,
        name_hash: name_hash(vm),
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

/// Guards against news of a lost VM that circulate between others, so that all of
/// them go on naming it to callers.
#[test]
fn news_that_circulate_do_not_keep_a_lost_vm_alive() {
    let mut tables = [PresenceTable::default(), PresenceTable::default()];
    for table in &mut tables {
        table.record(record("a", 5, 9, at(0)), at(0));
    }
    for step in 1..40 {
        let now = at(step * 100);
        let (first, second) = (step as usize % 2, (step as usize + 1) % 2);
        let key = tables[first].key_of(&VmId::new("a").unwrap()).unwrap();
        let news = tables[first].news_of(key).unwrap();
        tables[second].record_news(news, now);
    }
    assert!(
        tables
            .iter()
            .all(|table| table.live(at(4_000)).count() == 0)
    );
}

/// Guards against news of an earlier boot that hide the reports of a restarted VM.
#[test]
fn news_of_an_earlier_boot_are_dropped() {
    let mut vms = PresenceTable::default();
    vms.record(record("a", 6, 1, at(0)), at(0));
    let key = vms.key_of(&VmId::new("a").unwrap()).unwrap();
    let mut news = vms.news_of(key).unwrap();
    (news.boot, news.sequence) = (5, 900);
    vms.record_news(news, at(2_000));
    assert_eq!(vms.live(at(2_000)).count(), 0);
    (news.boot, news.sequence) = (6, 2);
    vms.record_news(news, at(2_000));
    assert_eq!(vms.live(at(2_001)).count(), 1);
    assert!(vms.record(record("a", 6, 3, at(2_100)), at(2_100)));
}
