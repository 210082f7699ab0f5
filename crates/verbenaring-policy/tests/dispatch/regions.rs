//! Tests of forwarding to other regions.

use verbenaring_policy::dispatch::server::CallOutcome;
use verbenaring_policy::dispatch::settings::DispatchSettings;
use verbenaring_policy::dispatch::spill::{RegionForecast, TimeBudget, should_spill};
use verbenaring_policy::dispatch::table::ServerTable;

use super::fixture::*;

/// Load: one region at its peak while another is idle.
#[test]
fn load_above_the_threshold_leaves_the_region() {
    let settings = DispatchSettings::default();
    let times = TimeBudget {
        goal: ms(1_000),
        remaining: ms(10_000),
    };
    let forecast = |first: u64, busy: f64| RegionForecast {
        first_event: ms(first),
        busy,
    };
    let forwarded = |local: f64, remote: f64| {
        let leaves = |index: &u64| {
            let session = index.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            should_spill(
                &settings,
                forecast(100, local),
                forecast(250, remote),
                times,
                session,
            )
        };
        (0..1_000_u64).filter(leaves).count()
    };
    assert_eq!(forwarded(0.25, 0.0), 0);
    let half = forwarded(0.6, 0.1);
    assert!((450..550).contains(&half), "{half} of 1,000 left");
    assert_eq!(forwarded(0.9, 0.85), 0, "no region gains from an exchange");
    // A late call is forwarded for an earlier answer regardless of the threshold.
    assert!(should_spill(
        &settings,
        forecast(2_000, 0.1),
        forecast(300, 0.1),
        times,
        0
    ));
    assert!(!should_spill(
        &settings,
        forecast(900, 0.1),
        forecast(850, 0.1),
        times,
        0
    ));
}

/// Guards against the failure of bungline trouble-1: the only server of a region
/// broke every call, and other regions kept forwarding calls to it, because the
/// reported wait did not include its penalty.
#[test]
fn reported_waits_show_servers_that_break_calls() {
    let mut table = table(&["a"]);
    let call = TestCall::new(1, 100, 100);
    let wait = |table: &mut ServerTable, now| {
        let services = [(&call.service, &call.settings)];
        table.waits(services.into_iter(), now)[0].wait_ms
    };
    let before = wait(&mut table, at(0));
    for round in 0..5 {
        let sent = call.send(&mut table, at(10 * round));
        table.record_end(&sent, false, CallOutcome::Broken, at(10 * round + 5));
    }
    let after = wait(&mut table, at(50));
    assert!(after > before + 1_000, "{before} ms, then {after} ms");
}
