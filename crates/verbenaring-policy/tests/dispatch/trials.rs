//! Tests of the trials by which a wrong quarantine ends.

use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::suspect::{
    MAX_CRASHES, PartVerdict, QUARANTINE_TIME, SuspectTable,
};

use super::fixture::*;
use super::suspect::{BAD, FIRST, call, crash, is_refused, unique};

/// Requests with a part that crashes servers that may reach them once it is known, by the
/// rules.
const MAX_LATE_REQUESTS: usize = 3;

/// Guards against a wrong quarantine that is never corrected, and against more trials than
/// the rules allow.
#[test]
fn a_quarantined_part_is_tried_a_few_times_by_one_vm() {
    let mut table = SuspectTable::default();
    crash(&mut table, MAX_CRASHES);
    let mut trials = 0;
    let end = QUARANTINE_TIME.as_millis() as u64;
    for now in (3_000..end).step_by(1_000).map(at) {
        assert!(is_refused(&table, &[FIRST, BAD], now));
        let verdict = table.judge(&call(0, &[FIRST, BAD]), |_| true, now);
        if verdict == (PartVerdict::Trial { part: BAD }) {
            table.record_trial(BAD, now);
            trials += 1;
        }
    }
    assert!((1..=2).contains(&trials), "{trials}");
    table.record_complete(&unique(900, &[FIRST, BAD]), at(end));
    assert!(!is_refused(&table, &[FIRST, BAD], at(end)));
}

/// Load: a VM with the bad calls restarts under them, so that only the ends of servers that
/// had sound calls as well are known. Guards against a first part that stays blamed because
/// its calls are refused.
#[test]
fn a_part_that_is_blamed_on_half_of_the_evidence_is_cleared_soon() {
    let mut table = SuspectTable::default();
    for index in 0..MAX_CRASHES as u32 {
        let sound = unique(index, &[FIRST, 100 + index]);
        table.record_crash(index, &[sound], at(1_000 + 400 * u64::from(index)));
    }
    let bad = unique(50, &[FIRST, BAD]);
    table.record_crash(90, std::slice::from_ref(&bad), at(2_000));
    table.record_crash(91, std::slice::from_ref(&bad), at(2_300));
    assert!(is_refused(&table, &[FIRST, 7], at(2_500)));
    let verdict = |call: &CallParts, now| table.judge(call, |_| true, at(now));
    let sound = unique(60, &[FIRST, 7]);
    let trial = PartVerdict::Trial { part: FIRST };
    assert_eq!(verdict(&sound, 4_500), trial);
    assert_eq!(verdict(&unique(61, &[FIRST, 100]), 4_500), trial, "one end");
    assert!(matches!(verdict(&bad, 4_500), PartVerdict::Refused { .. }));
    table.record_trial(FIRST, at(4_500));
    assert!(is_refused(&table, &[FIRST, 7], at(5_000)), "one trial");
    table.record_complete(&sound, at(5_500));
    assert!(!is_refused(&table, &[FIRST, 8], at(5_500)));
}

/// Guards against more requests with a first part that crashes servers, once it is known,
/// than the rules allow.
#[test]
fn a_first_part_that_crashes_servers_gets_few_trials() {
    let mut table = SuspectTable::default();
    let mut ends = 0_usize;
    for now in (0..QUARANTINE_TIME.as_millis() as u64).step_by(300) {
        let call = unique(now as u32, &[FIRST, 1_000 + now as u32]);
        let verdict = table.judge(&call, |_| true, at(now));
        if let PartVerdict::Trial { part } = verdict {
            table.record_trial(part, at(now));
        }
        if !matches!(verdict, PartVerdict::Refused { .. }) {
            ends += 1;
            table.record_crash(ends as u32, &[call], at(now));
        }
    }
    let trials = ends - MAX_CRASHES;
    assert!((1..=MAX_LATE_REQUESTS).contains(&trials), "{trials} trials");
}
