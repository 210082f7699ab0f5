//! The bound while VMs and links fail.

use std::time::Duration;

use proptest::prelude::*;
use verbenaring_policy::dispatch::allowance::AllowanceTable;
use verbenaring_policy::time::Moment;

use super::fleet::{Arrival, Cases, Fleet, Load, REGIONS, tokens};

const VMS: [usize; 4] = [7, 23, 90, 195];
const RATE: f64 = 400_000.0;
const BURST: f64 = 800_000.0;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn load(demand: f64) -> Load {
    Load {
        units_per_s: RATE * demand,
        cost: 2_400,
        arrival: Arrival::All,
    }
}

fn fleet(vms: usize) -> Fleet {
    let mut fleet = Fleet::new(vms, tokens(RATE, BURST), 17);
    fleet.run(seconds(14), load(0.5));
    fleet
}

/// Guards against both sides of a partition spending the whole quota.
#[test]
fn a_partition_keeps_the_bound() {
    let mut cases = Cases::default();
    for vms in VMS {
        for demand in [0.5, 10.0] {
            let mut fleet = fleet(vms);
            fleet.cut = |from, to| (from % REGIONS == 0) != (to % REGIONS == 0);
            fleet.run(seconds(3), load(demand));
            fleet.run(seconds(20), load(10.0));
            fleet.cut = |_, _| false;
            fleet.run(seconds(12), load(10.0));
            fleet.check_bound(
                &mut cases,
                &format!("{vms} VMs, {demand} before the cut is noticed"),
            );
        }
    }
    cases.finish();
}

/// Guards against a rise of demand on the side of a partition that had little before.
#[test]
fn demand_that_rises_in_a_partition_keeps_the_bound() {
    let mut cases = Cases::default();
    for vms in VMS {
        let mut fleet = fleet(vms);
        let first = Load {
            arrival: Arrival::Region(0),
            ..load(0.5)
        };
        fleet.run(seconds(4), first);
        fleet.cut = |from, to| (from % REGIONS == 0) != (to % REGIONS == 0);
        fleet.run(seconds(4), first);
        fleet.run(seconds(16), load(20.0));
        fleet.check_bound(&mut cases, &format!("{vms} VMs"));
    }
    cases.finish();
}

/// Guards against VMs that are not heard any more, but hear the others.
#[test]
fn a_one_way_cut_keeps_the_bound() {
    let mut cases = Cases::default();
    for vms in VMS {
        let mut fleet = fleet(vms);
        fleet.cut = |from, to| from % REGIONS == 0 && to % REGIONS != 0;
        fleet.run(seconds(2), load(0.5));
        fleet.run(seconds(20), load(10.0));
        fleet.check_bound(&mut cases, &format!("{vms} VMs"));
    }
    cases.finish();
}

/// Guards against VMs that each spend the quota while they hear nobody.
#[test]
fn vms_that_hear_nobody_keep_the_bound() {
    let mut cases = Cases::default();
    for vms in VMS {
        let mut fleet = fleet(vms);
        fleet.cut = |_, _| true;
        fleet.run(seconds(30), load(10.0));
        fleet.check_bound(&mut cases, &format!("{vms} VMs"));
    }
    cases.finish();
}

/// Guards against a VM that takes up what it held before it stood still.
#[test]
fn frozen_vms_keep_the_bound() {
    let mut cases = Cases::default();
    for vms in VMS {
        let mut fleet = fleet(vms);
        for round in 0..4 {
            for vm in 0..vms / 3 {
                fleet.freeze(vm + round, seconds(3));
            }
            fleet.run(seconds(4), load(10.0));
        }
        fleet.check_bound(&mut cases, &format!("{vms} VMs"));
    }
    cases.finish();
}

/// Guards against processes that begin with a full bucket, or that do not know of others.
#[test]
fn restarts_keep_the_bound() {
    let mut cases = Cases::default();
    for vms in VMS {
        let mut fleet = fleet(vms);
        fleet.run(seconds(3), load(10.0));
        for vm in 0..vms.min(40) {
            fleet.restart(vm);
            fleet.run(Duration::from_millis(400), load(10.0));
        }
        fleet.check_bound(&mut cases, &format!("{vms} VMs, one by one"));
        for _ in 0..3 {
            fleet.restart_all();
            fleet.run(seconds(4), load(10.0));
        }
        fleet.check_bound(&mut cases, &format!("{vms} VMs, all"));
        fleet.run(seconds(4), load(0.9));
        let used = fleet.measure(seconds(16), load(0.9));
        println!("{vms} VMs after restarts: use {used:.3}");
        cases.check(
            used >= 0.95,
            format!("{vms} VMs: use {used:.3} after restarts"),
        );
    }
    cases.finish();
}

/// Guards against a quota that is left unused after the loss of relays, whose groups report
/// to others.
#[test]
fn lost_relays_are_replaced() {
    let mut cases = Cases::default();
    for vms in [90, 195] {
        let mut fleet = fleet(vms);
        fleet.run(seconds(4), load(0.9));
        fleet.stop_relay(0);
        fleet.stop_relay(1);
        fleet.run(seconds(3), load(0.9));
        let used = fleet.measure(seconds(16), load(0.9));
        cases.check(used >= 0.95, format!("{vms} VMs: use {used:.3}"));
        fleet.run(seconds(10), load(10.0));
        fleet.check_bound(&mut cases, &format!("{vms} VMs"));
    }
    cases.finish();
}

/// Guards against a level that was filled under a higher limit.
#[test]
fn a_lowered_limit_binds_what_is_held() {
    let mut cases = Cases::default();
    for vms in VMS {
        let mut fleet = fleet(vms);
        fleet.tenant.allowance.rate = RATE / 8.0;
        fleet.tenant.allowance.burst = BURST / 8.0;
        fleet.run(seconds(8), load(2.0));
        let lowered = fleet.now_ms;
        fleet.run(seconds(24), load(2.0));
        let used = fleet.measure(seconds(16), load(2.0));
        let bound = fleet.bound();
        let most = fleet.most_since(lowered);
        assert!(
            most <= bound,
            "{vms} VMs: {most} in a window, at most {bound}"
        );
        cases.check(used >= 0.95, format!("{vms} VMs: use {used:.3}"));
    }
    cases.finish();
}

proptest! {
    /// Guards against a charge that is returned twice, or to another tenant.
    #[test]
    fn charges_and_refunds_add_up(steps in prop::collection::vec((0_u64..5_000, any::<bool>(), 0_i64..200), 1..200)) {
        let mut now = Moment(0);
        let mut table = AllowanceTable::new(1, now);
        let tenant = tokens(50_000.0, 100_000.0);
        let mut open = Vec::new();
        let mut expected = 0;
        for (cost, refunds, wait_ms) in steps {
            now = now + Duration::from_millis(wait_ms as u64);
            table.set_group(Default::default(), 1, now);
            if let Ok(Some(charge)) = table.charge(&tenant, Some(cost), 0.5, now) {
                prop_assert_eq!(charge.cost(), cost);
                expected += cost;
                open.push(charge);
            }
            if refunds && let Some(charge) = open.pop() {
                expected -= charge.cost();
                table.refund(charge, now);
            }
            let charged: u64 = table.usages(now).iter().map(|usage| usage.charged).sum();
            prop_assert_eq!(charged, expected);
        }
    }
}
