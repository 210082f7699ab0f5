//! Tests that a VM notices that it stood still.

use std::time::Duration;

use verbenaring_policy::dispatch::standstill::StandstillDetector;

use super::fixture::*;

/// Detector of a VM that has ticked every 50 ms until `until_ms`, with the same time on
/// both clocks.
fn ticked_until(until_ms: u64) -> StandstillDetector {
    let mut detector = StandstillDetector::default();
    for now in (0..=until_ms).step_by(50) {
        assert_eq!(detector.record_tick(ms(now), at(now)), None);
    }
    detector
}

#[test]
fn a_vm_that_ticks_runs_from_its_start() {
    assert_eq!(ticked_until(5_000).running_time(at(5_400)), ms(5_400));
}

/// Guards against a VM that acts on old state before its first tick.
#[test]
fn a_gap_counts_before_the_next_tick() {
    let mut detector = ticked_until(5_000);
    assert_eq!(detector.running_time(at(8_000)), Duration::ZERO);
    assert_eq!(detector.record_tick(ms(8_000), at(8_000)), Some(ms(3_000)));
    assert_eq!(detector.running_time(at(8_700)), ms(700));
}

/// Guards against a suspension that the clock of the VM does not show.
#[test]
fn a_suspension_counts_although_the_clock_stood_still() {
    let mut detector = ticked_until(5_000);
    assert_eq!(detector.record_tick(ms(8_050), at(5_050)), Some(ms(3_050)));
    assert_eq!(detector.running_time(at(5_350)), ms(300));
}
