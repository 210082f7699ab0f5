//! Tests of second attempts under the loads for which they are sent or withheld.

use std::time::Duration;

use verbenaring_policy::dispatch::hedge::{HedgeClass, HedgePlanner, HedgeRefusal, HedgeSettings};
use verbenaring_policy::dispatch::server::{CallOutcome, ServerEntry};

use super::fixture::*;
use super::hedge_load::{Load, SLOTS, plain_request, plain_settings, plain_table, play};

const SHARE: f64 = 0.02;
const SEEDS: std::ops::Range<u64> = 0..5;

/// Prints what hedges change under a load; the figures are in the design note.
fn report(name: &str, load: &Load) {
    for share in [0.0, SHARE, 0.05, 0.1] {
        let outcome = play(load, share, 1);
        println!(
            "{name} share {share}: p50 {:.0} p99 {:.0} p99.9 {:.0} ms, extra {:.4}, unanswered {}, withheld {:?}",
            outcome.percentile(50.0),
            outcome.percentile(99.0),
            outcome.percentile(99.9),
            outcome.extra_share(),
            outcome.unanswered,
            outcome.withheld,
        );
    }
}

/// Load: a part of the calls takes ten times as long, at any server.
#[test]
fn single_stragglers_are_cut_for_little_extra_work() {
    let load = Load {
        stragglers: 0.015,
        ..Load::default()
    };
    report("stragglers", &load);
    for seed in SEEDS {
        let without = play(&load, 0.0, seed);
        let hedged = play(&load, SHARE, seed);
        let (before, after) = (without.percentile(99.0), hedged.percentile(99.0));
        assert!(after <= 0.8 * before, "{seed}: {before} ms, {after} ms");
        assert!(hedged.extra_share() <= SHARE, "{seed}");
    }
}

/// Load: one server in ten is slower by a factor of 5.
#[test]
fn a_slow_server_gets_no_more_hedges_than_the_share() {
    let load = Load {
        factor: |server, _| if server == 0 { 5.0 } else { 1.0 },
        ..Load::default()
    };
    report("one slow in ten", &load);
    for seed in SEEDS {
        let without = play(&load, 0.0, seed);
        let hedged = play(&load, SHARE, seed);
        assert!(hedged.sent > 0, "{seed}");
        assert!(hedged.extra_share() <= SHARE, "{seed}");
        assert!(
            hedged.percentile(99.0) <= without.percentile(99.0) * 1.05,
            "{seed}"
        );
    }
}

/// Load: one server of ten hangs and leaves its calls without an answer.
#[test]
fn calls_at_a_server_that_hangs_are_answered_elsewhere() {
    let load = Load {
        hangs: Some(0),
        ..Load::default()
    };
    report("one hangs", &load);
    for seed in SEEDS {
        let without = play(&load, 0.0, seed);
        let hedged = play(&load, SHARE, seed);
        assert!(without.unanswered > 0, "{seed}: the load shows nothing");
        assert!(hedged.extra_share() <= SHARE, "{seed}");
        assert!(
            hedged.unanswered * 2 <= without.unanswered,
            "{seed}: {} of {} unanswered",
            hedged.unanswered,
            without.unanswered
        );
    }
}

/// Load: all servers become five times slower at once. A second attempt is no faster.
#[test]
fn hedges_stay_within_the_share_while_all_servers_are_slow() {
    let load = Load {
        factor: |_, now| if now > 20_000_000 { 5.0 } else { 1.0 },
        ..Load::default()
    };
    report("all slow", &load);
    for seed in SEEDS {
        let hedged = play(&load, SHARE, seed);
        assert!(hedged.extra_share() <= SHARE, "{seed}");
        let early = hedged.sent_us.iter();
        let early = early.filter(|at| (20_000_000..21_000_000).contains(*at));
        // What had been saved, and the share of the calls of this second.
        assert!(early.count() <= 6, "{seed}");
    }
}

/// Load: a burst of twelve times the calls for 2 s fills the servers.
#[test]
fn a_burst_is_not_hedged() {
    let load = Load {
        servers: 4,
        rate: |now| match now {
            20_000_000..22_000_000 => 2_400.0,
            _ => 200.0,
        },
        ..Load::default()
    };
    report("burst", &load);
    for seed in SEEDS {
        let hedged = play(&load, SHARE, seed);
        let during = hedged.sent_us.iter();
        let during = during.filter(|at| (20_100_000..22_000_000).contains(*at));
        assert_eq!(during.count(), 0, "{seed}");
        assert!(
            hedged
                .withheld
                .get("capacity")
                .is_some_and(|count| *count > 0),
            "{seed}"
        );
        assert!(hedged.extra_share() <= SHARE, "{seed}");
    }
}

/// Load: all other servers have just started. Guards against second attempts at them.
#[test]
fn cold_servers_get_no_hedges() {
    let settings = engine_settings();
    let service = service("engine");
    let mut table = plain_table(1);
    let key = table.key_of(&entry("i-0", 1).id).unwrap();
    for (index, cold_ms) in [(1, 3_000), (2, 0)] {
        let cold = ServerEntry {
            models: Vec::new(),
            cold_left: ms(cold_ms),
            ..entry(&format!("i-{index}"), index + 1)
        };
        let excluded = [key];
        let request = plain_request(&service, &settings, &excluded);
        table.set_current(true, at(0));
        table.apply(cold, ms(cold_ms), at(0));
        let placed = table.place_hedge(&request, &single_vm(), at(1_000));
        match cold_ms {
            0 => assert_eq!(placed.map(|placement| placement.paced), Ok(false)),
            _ => assert_eq!(placed, Err(HedgeRefusal::Cold)),
        }
    }
}

/// Load: a server names a limit, and has room. Guards against work beyond what it takes.
#[test]
fn a_service_whose_server_names_a_limit_is_not_hedged() {
    let (service, settings) = (service("engine"), plain_settings());
    let mut table = plain_table(3);
    let keys: Vec<_> = (0..3)
        .map(|index| table.key_of(&entry(&format!("i-{index}"), 1).id).unwrap())
        .collect();
    let excluded = [keys[0]];
    let request = plain_request(&service, &settings, &excluded);
    assert!(table.place_hedge(&request, &single_vm(), at(100)).is_ok());
    table.record_limit(keys[1], Some(50.0), at(100));
    let placed = table.place_hedge(&request, &single_vm(), at(200));
    assert_eq!(placed, Err(HedgeRefusal::Capacity));
}

/// Load: servers that fail when they refuse many calls.
#[test]
fn a_brittle_service_is_not_hedged() {
    let (service, settings) = (service("engine"), plain_settings());
    let mut table = plain_table(3);
    table.record_brittleness(&service, true, at(100));
    let request = plain_request(&service, &settings, &[]);
    let placed = table.place_hedge(&request, &single_vm(), at(200));
    assert_eq!(placed, Err(HedgeRefusal::Brittle));
}

/// Load: servers whose slots are nearly taken, and such that have room.
#[test]
fn hedges_need_free_slots() {
    let (service, settings) = (service("engine"), plain_settings());
    for (calls, fits) in [(SLOTS, true), (SLOTS * 2 - 4, false)] {
        let mut table = plain_table(2);
        let request = plain_request(&service, &settings, &[]);
        for _ in 0..calls {
            let placement = table.place(&request, &single_vm(), at(100)).unwrap();
            table.record_sent(&placement, &request, at(100));
        }
        let placed = table.place_hedge(&request, &single_vm(), at(101));
        assert_eq!(placed.is_ok(), fits, "{calls} calls: {placed:?}");
    }
}

/// Load: many calls without a setting. Guards against hedges that nobody asked for.
#[test]
fn nothing_is_hedged_by_default() {
    let mut planner = HedgePlanner::new(HedgeSettings::default());
    let service = service("engine");
    for _ in 0..10_000 {
        planner.record_call(&service);
    }
    assert!(!planner.has_credit(&service));
    assert!(!planner.try_take(&service));
}

/// Load: processes that start again and again. Guards against a budget that each of them
/// has anew.
#[test]
fn restarts_add_nothing_to_the_budget() {
    let service = service("engine");
    let (mut calls, mut taken) = (0, 0);
    for process in 1..200 {
        let mut planner = HedgePlanner::new(HedgeSettings {
            share: SHARE,
            ..HedgeSettings::default()
        });
        for _ in 0..process {
            planner.record_call(&service);
            calls += 1;
            taken += usize::from(planner.try_take(&service));
        }
    }
    assert!(taken > 0);
    assert!(
        taken as f64 <= SHARE * f64::from(calls),
        "{taken} of {calls}"
    );
}

/// Guards against a delay that falls with every hedge because the slowest calls are
/// cancelled, and against one that hedges calls of usual length.
#[test]
fn the_delay_follows_the_slowest_calls() {
    let (service, settings) = (service("engine"), plain_settings());
    let class = HedgeClass::of("route", &plain_request(&service, &settings, &[]));
    let mut planner = HedgePlanner::new(HedgeSettings {
        share: SHARE,
        ..HedgeSettings::default()
    });
    assert_eq!(planner.delay(&class), None);
    for index in 0..5_000_u64 {
        // One call in 30 is slow and is cancelled some time after the delay.
        let delay = planner.delay(&class).unwrap_or(ms(200));
        let time = match index % 30 {
            0 => ms(200).min(delay + ms(20)),
            _ => ms(20),
        };
        planner.record_time(&class, time, at(index * 10));
    }
    let delay = planner.delay(&class).unwrap();
    assert!(delay >= ms(100), "{delay:?}");
    let other = HedgeClass::of("other route", &plain_request(&service, &settings, &[]));
    for index in 0..200 {
        planner.record_time(&other, ms(20), at(60_000 + index * 10));
    }
    let delay = planner.delay(&other).unwrap();
    assert!((ms(29)..ms(40)).contains(&delay), "{delay:?}");
}

/// Guards against work that stays with the server of a cancelled attempt, and against a
/// slow server that is avoided as if it had failed.
#[test]
fn a_cancelled_attempt_leaves_no_work_and_is_no_failure() {
    let (service, settings) = (service("engine"), plain_settings());
    let mut table = plain_table(1);
    let request = plain_request(&service, &settings, &[]);
    let idle = table.place(&request, &single_vm(), at(10)).unwrap();
    let work = table.record_sent(&idle, &request, at(10));
    table.record_end(&work, false, CallOutcome::Abandoned, at(60));
    table.record_cancelled(&work, true, at(60));
    let after = table.place(&request, &single_vm(), at(60)).unwrap();
    assert_eq!(after.queued_ahead, 0);
    // The expected time of 30 ms was exceeded by 20 ms, of which a twentieth is learned.
    let learned = after.forecast.saturating_sub(idle.forecast);
    assert_eq!(learned, ms(1));
    let unsent = table.record_sent(&after, &request, at(61));
    table.record_end(&unsent, false, CallOutcome::Abandoned, at(200));
    table.record_cancelled(&unsent, false, at(200));
    let last = table.place(&request, &single_vm(), at(200)).unwrap();
    assert_eq!(
        last.forecast, after.forecast,
        "an attempt that was not sent was learned from"
    );
}

/// Load: a server hangs, and each of its calls is answered by another one. Guards against
/// a server that is never noticed because no call waits there for long, and against one
/// that is avoided for good.
#[test]
fn a_server_that_hangs_is_avoided_for_a_while() {
    let (service, settings) = (service("engine"), plain_settings());
    let mut table = plain_table(1);
    let request = plain_request(&service, &settings, &[]);
    let mut now = 0;
    let forecast = |table: &mut _, now| -> Duration {
        let table: &mut verbenaring_policy::dispatch::table::ServerTable = table;
        table
            .place(&request, &single_vm(), at(now))
            .unwrap()
            .forecast
    };
    let sound = forecast(&mut table, now);
    for _ in 0..30 {
        let placement = table.place(&request, &single_vm(), at(now)).unwrap();
        let work = table.record_sent(&placement, &request, at(now));
        table.record_end(&work, false, CallOutcome::Abandoned, at(now + 40));
        table.record_cancelled(&work, true, at(now + 40));
        now += 50;
    }
    let hung = forecast(&mut table, now);
    assert!(hung > sound + ms(200), "{sound:?}, {hung:?}");
    assert!(forecast(&mut table, now + 10_000) < sound + ms(50));
    let placement = table.place(&request, &single_vm(), at(now)).unwrap();
    let work = table.record_sent(&placement, &request, at(now));
    complete(&mut table, &work, at(now + 20));
    assert!(forecast(&mut table, now + 20) < sound + ms(50));
}
