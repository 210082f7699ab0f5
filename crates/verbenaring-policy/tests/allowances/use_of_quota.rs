//! Steady, moving and excessive demand while all VMs hear each other.

use std::time::Duration;

use verbenaring_policy::dispatch::tenant::AllowanceUnit;

use super::fleet::{Arrival, Cases, Fleet, Load, tenant, tokens};

const STEADY_USE: f64 = 0.95;
const MOVING_USE: f64 = 0.8;
const VMS: [usize; 5] = [7, 23, 73, 90, 195];
const WARM_UP: Duration = Duration::from_secs(12);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Plays a load from a start without calls, and then measures it.
fn check_use(cases: &mut Cases, name: &str, fleet: &mut Fleet, load: Load, least: f64) {
    let case = format!("{name}, {load:?}");
    let used = fleet.measure(seconds(24), load);
    println!("{case}: use {used:.3}");
    fleet.check_bound(cases, &case);
    cases.check(used >= least, format!("{case}: use {used:.3}"));
}

fn idle(vms: usize, rate: f64, burst: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(vms, tokens(rate, burst), seed);
    let load = Load {
        units_per_s: rate * 0.3,
        cost: 200,
        arrival: Arrival::All,
    };
    fleet.run(WARM_UP, load);
    fleet
}

/// Guards against parts of the quota that stay at VMs without calls.
#[test]
fn steady_demand_is_served_wherever_it_arrives() {
    let mut cases = Cases::default();
    for vms in VMS {
        for arrival in [Arrival::One(vms - 1), Arrival::All, Arrival::Region(1)] {
            for demand in [0.9, 1.5] {
                let mut fleet = idle(vms, 400_000.0, 800_000.0, 7);
                let load = Load {
                    units_per_s: 400_000.0 * demand,
                    cost: 2_400,
                    arrival,
                };
                fleet.run(seconds(3), load);
                check_use(
                    &mut cases,
                    &format!("{vms} VMs"),
                    &mut fleet,
                    load,
                    STEADY_USE,
                );
            }
        }
    }
    cases.finish();
}

/// Guards against a quota that follows the demand too late.
#[test]
fn moving_demand_is_served() {
    let mut cases = Cases::default();
    for vms in VMS {
        for demand in [0.6, 0.9, 1.5] {
            let mut fleet = idle(vms, 400_000.0, 800_000.0, 7);
            let load = Load {
                units_per_s: 400_000.0 * demand,
                cost: 2_400,
                arrival: Arrival::Moving,
            };
            fleet.run(seconds(3), load);
            check_use(
                &mut cases,
                &format!("{vms} VMs"),
                &mut fleet,
                load,
                MOVING_USE,
            );
        }
    }
    cases.finish();
}

/// Guards against VMs that each take the rise for their own, before they hear that it is
/// the same at all others.
#[test]
fn a_flood_keeps_the_bound_and_uses_the_quota() {
    let mut cases = Cases::default();
    for vms in VMS {
        for arrival in [
            Arrival::One(vms - 1),
            Arrival::All,
            Arrival::Region(2),
            Arrival::Moving,
        ] {
            for (cost, rate, burst) in [
                (2_400, 400_000.0, 800_000.0),
                (12_400, 100_000.0, 100_000.0),
                (200, 100_000.0, 400_000.0),
                (2_400, 1_000_000.0, 4_000_000.0),
            ] {
                let mut fleet = idle(vms, rate, burst, 7);
                let load = Load {
                    units_per_s: rate * 10.0,
                    cost,
                    arrival,
                };
                let least = match arrival {
                    Arrival::Moving => MOVING_USE,
                    _ => STEADY_USE,
                };
                fleet.run(seconds(8), load);
                let name = format!("{vms} VMs, rate {rate}, burst {burst}");
                check_use(&mut cases, &name, &mut fleet, load, least);
            }
        }
    }
    cases.finish();
}

/// Guards against shares below one call, of which no VM can ever serve one.
#[test]
fn two_requests_per_second_are_served() {
    let mut cases = Cases::default();
    for vms in VMS {
        for demand in [1.8, 3.0] {
            for arrival in [Arrival::All, Arrival::One(3)] {
                let mut fleet = Fleet::new(vms, tenant(AllowanceUnit::Requests, 2.0, 4.0), 11);
                let load = Load {
                    units_per_s: demand,
                    cost: 1,
                    arrival,
                };
                fleet.run(WARM_UP, load);
                let used = fleet.measure(seconds(120), load);
                let case = format!("{vms} VMs, {load:?}");
                println!("{case}: use {used:.3}");
                fleet.check_bound(&mut cases, &case);
                cases.check(used >= STEADY_USE, format!("{case}: use {used:.3}"));
            }
        }
    }
    cases.finish();
}

/// Guards against calls that no VM's share covers although the quota does.
#[test]
fn calls_beyond_the_share_of_a_vm_are_served() {
    let mut cases = Cases::default();
    for vms in VMS {
        let mut fleet = Fleet::new(vms, tokens(60_000.0, 60_000.0), 13);
        let load = Load {
            units_per_s: 55_000.0,
            cost: 12_400,
            arrival: Arrival::All,
        };
        fleet.run(WARM_UP, load);
        check_use(
            &mut cases,
            &format!("{vms} VMs"),
            &mut fleet,
            load,
            STEADY_USE,
        );
    }
    cases.finish();
}

/// Guards against a flood of small requests that exceeds a small quota by chance, as the
/// VMs let calls through by probability.
#[test]
fn a_flood_keeps_the_bound_of_two_requests_per_second() {
    let mut cases = Cases::default();
    for vms in VMS {
        for seed in [7, 11, 101, 202, 303] {
            for arrival in [Arrival::All, Arrival::One(3)] {
                let allowed = tenant(AllowanceUnit::Requests, 2.0, 4.0);
                let mut fleet = Fleet::new(vms, allowed, seed);
                let load = Load {
                    units_per_s: 20.0,
                    cost: 1,
                    arrival,
                };
                fleet.run(WARM_UP, load);
                let used = fleet.measure(seconds(120), load);
                let case = format!("{vms} VMs, seed {seed}, {load:?}");
                fleet.check_bound(&mut cases, &case);
                cases.check(used >= STEADY_USE, format!("{case}: use {used:.3}"));
            }
        }
    }
    cases.finish();
}

/// Guards against a flood of calls that cost an eighth of the burst, which moves faster
/// than VMs that report every 640 ms hear of it.
#[test]
fn a_moving_flood_of_large_calls_uses_the_quota() {
    let mut cases = Cases::default();
    for vms in VMS {
        for seed in [7, 101, 202, 303] {
            let mut fleet = idle(vms, 100_000.0, 100_000.0, seed);
            let load = Load {
                units_per_s: 1_000_000.0,
                cost: 12_400,
                arrival: Arrival::Moving,
            };
            fleet.run(seconds(8), load);
            let name = format!("{vms} VMs, seed {seed}");
            check_use(&mut cases, &name, &mut fleet, load, MOVING_USE);
        }
    }
    cases.finish();
}
