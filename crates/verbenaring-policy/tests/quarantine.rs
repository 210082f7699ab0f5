//! Tests of the quarantine of fingerprints that crash servers.

use std::time::Duration;

use verbenaring_policy::id::{Digest, ServerId};
use verbenaring_policy::quarantine::{
    MAX_ENTRIES, MAX_LOST_SERVERS, QUARANTINE_PERIOD, QuarantineList, SuspectDecision,
};
use verbenaring_policy::time::Moment;

const START: Moment = Moment(3_600_000_000);

fn fingerprint(number: usize) -> Digest {
    Digest::of(&number.to_le_bytes())
}

fn server(number: usize) -> ServerId {
    ServerId::new(&format!("s{number}")).unwrap()
}

/// Sends copies of one fingerprint for 50 s as the list allows, to servers that
/// crash 2 s later. Returns the number of crashed servers.
fn count_crashed_servers(list: &mut QuarantineList, shared: bool, start: Moment) -> usize {
    let mut running: Vec<usize> = Vec::new();
    let mut crashed = 0;
    for step in 0..50 {
        let now = start + Duration::from_secs(step as u64);
        let alone = match list.decide(&fingerprint(0), now) {
            SuspectDecision::Unrestricted => Some(false),
            SuspectDecision::Alone { avoid } => Some(!avoid.contains(&server(step))),
            _ => None,
        };
        if let Some(alone) = alone {
            list.record_start(&fingerprint(0), &server(step), alone);
            running.push(step);
        }
        if running.first().is_some_and(|first| first + 2 <= step) {
            list.record_crash(&server(running.remove(0)), shared, now);
            crashed += 1;
        }
    }
    crashed
}

/// Guards against repeated and overlapping copies of one request that crash more
/// than 3 servers within the quarantine period.
#[test]
fn one_fingerprint_crashes_at_most_three_servers() {
    for shared in [false, true] {
        let mut list = QuarantineList::default();
        let crashed = count_crashed_servers(&mut list, shared, START);
        assert!((1..=MAX_LOST_SERVERS).contains(&crashed), "{crashed}");
        let now = START + Duration::from_secs(60);
        assert_eq!(list.decide(&fingerprint(0), now), SuspectDecision::Refused);
        let later = now + QUARANTINE_PERIOD;
        assert_eq!(
            list.decide(&fingerprint(0), later),
            SuspectDecision::Unrestricted
        );
    }
}

/// Guards against requests that are blocked or quarantined because they were in
/// flight on the same server as a crashing one.
#[test]
fn suspects_recover_after_a_proven_crash() {
    let mut list = QuarantineList::default();
    (0..3).for_each(|number| list.record_start(&fingerprint(number), &server(1), false));
    assert!(list.record_crash(&server(1), false, START).is_empty());
    let alone = |avoid: &[usize]| SuspectDecision::Alone {
        avoid: avoid.iter().map(|number| server(*number)).collect(),
    };
    assert_eq!(list.decide(&fingerprint(1), START), alone(&[1]));
    list.record_start(&fingerprint(1), &server(2), true);
    assert_eq!(
        list.decide(&fingerprint(1), START),
        SuspectDecision::Wait,
        "one copy at a time"
    );
    assert_eq!(
        list.decide(&fingerprint(0), START),
        alone(&[1, 2]),
        "not on the server of another suspect"
    );
    list.record_start(&fingerprint(0), &server(3), true);
    assert_eq!(list.decide(&fingerprint(2), START), SuspectDecision::Wait);
    let now = START + Duration::from_secs(1);
    list.record_finish(&fingerprint(1), &server(2), true, now);
    assert_eq!(
        list.decide(&fingerprint(1), now),
        SuspectDecision::Unrestricted
    );
    assert_eq!(list.record_crash(&server(3), false, now), [fingerprint(0)]);
    assert_eq!(
        list.decide(&fingerprint(2), now),
        SuspectDecision::Unrestricted,
        "crash was attributed to fingerprint 0"
    );
    assert_eq!(list.decide(&fingerprint(0), now), SuspectDecision::Refused);
}

/// Guards against decisions that depend on the order or repetition of reports or
/// on the clocks of other nodes, and against merged entries that never expire.
#[test]
fn reports_merge_between_nodes() {
    let mut first = QuarantineList::default();
    let mut second = QuarantineList::default();
    for (list, number) in [(&mut first, 5), (&mut second, 6)] {
        list.record_start(&fingerprint(0), &server(1), false);
        list.record_start(&fingerprint(number), &server(1), false);
        list.record_crash(&server(1), true, START);
    }
    let stale = second.reports(START);
    first.record_start(&fingerprint(0), &server(2), true);
    first.record_crash(&server(2), false, START);
    // The clock of the second node is an hour behind.
    let now = Moment(1_000_000);
    let reports = first.reports(START);
    let mut other = QuarantineList::default();
    for report in stale.iter().chain(&reports).chain(&stale) {
        other.merge(report, now);
        other.merge(report, now);
    }
    assert_eq!(other.decide(&fingerprint(0), now), SuspectDecision::Refused);
    assert_eq!(
        other.decide(&fingerprint(6), now),
        SuspectDecision::Unrestricted,
        "crash was attributed to fingerprint 0"
    );
    other.expire(now + QUARANTINE_PERIOD);
    assert!(other.is_empty());
}

/// Guards against memory that grows with the number of distinct crashing requests.
#[test]
fn memory_is_bounded() {
    let mut list = QuarantineList::default();
    for number in 0..MAX_ENTRIES + 10 {
        let now = START + Duration::from_millis(number as u64);
        list.record_start(&fingerprint(number), &server(number), false);
        list.record_start(&fingerprint(number + 1), &server(number), false);
        list.record_crash(&server(number), true, now);
    }
    assert_eq!(list.len(), MAX_ENTRIES);
}

/// Guards against nodes that retry copies of one suspect at the same moment.
#[test]
fn suspects_are_retried_after_different_delays() {
    use rand::SeedableRng;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let delays: Vec<_> = (0..100)
        .map(|_| verbenaring_policy::quarantine::suspect_delay(&mut rng))
        .collect();
    assert!(
        delays
            .iter()
            .all(|delay| *delay >= Duration::from_millis(500))
    );
    let first = delays[0];
    let apart = |delay: &&Duration| delay.abs_diff(first) > Duration::from_millis(100);
    assert!(delays.iter().filter(apart).count() > 80, "{delays:?}");
}
