//! Quotas beside many other tenants, of which a statement names a part.

use std::time::Duration;

use verbenaring_policy::dispatch::tenant::Tenant;
use verbenaring_policy::id::TenantName;

use super::fleet::{Arrival, Fleet, Load, tokens};

/// Quota of the tenant that floods, in tokens a second.
const RATE: f64 = 400_000.0;
/// Interval in which each of the others calls once at each VM.
const OTHERS_INTERVAL: Duration = Duration::from_secs(2);

/// Lets a tenant ask for ten times its quota beside `others` tenants with rare calls.
fn check_flood(vms: usize, others: usize) {
    let mut fleet = Fleet::new(vms, tokens(RATE, 2.0 * RATE), 7);
    let others: Vec<Tenant> = (0..others)
        .map(|index| Tenant {
            name: TenantName::new(&format!("other-{index}")).expect("name"),
            ..tokens(1_000.0, 100_000.0)
        })
        .collect();
    let load = |demand: f64| Load {
        units_per_s: RATE * demand,
        cost: 2_400,
        arrival: Arrival::All,
    };
    for round in 0..14 {
        fleet.call_others(&others);
        let demand = if round < 6 { 0.5 } else { 10.0 };
        fleet.run(OTHERS_INTERVAL, load(demand));
    }
    let part = fleet.most_in_window() / fleet.bound();
    assert!(
        part <= 1.0,
        "{vms} VMs, {} others: {part:.2} of the bound",
        others.len()
    );
}

/// Guards against tenants that are never stated by one of the scopes of a relay, as all
/// scopes take turns at the same list.
#[test]
fn a_flood_keeps_the_bound_beside_tens_of_tenants() {
    for vms in [7, 90] {
        for others in [0, 20, 47, 95] {
            check_flood(vms, others);
        }
    }
}

/// Guards against tenants that count as idle before it is their turn to be stated again.
#[test]
fn a_flood_keeps_the_bound_beside_hundreds_of_tenants() {
    for vms in [7, 90] {
        for others in [200, 1_000] {
            check_flood(vms, others);
        }
    }
}
