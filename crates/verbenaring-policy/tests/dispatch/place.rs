//! Tests of the choice of a server.

use std::time::Duration;

use verbenaring_policy::dispatch::ownership::RegionView;
use verbenaring_policy::dispatch::place::PlacementError;
use verbenaring_policy::dispatch::prompt::PromptRecord;
use verbenaring_policy::dispatch::server::CallOutcome;
use verbenaring_policy::dispatch::table::EntryChange;
use verbenaring_policy::id::CentreName;

use super::fixture::*;

/// Load: prompts arrive faster than one engine reads them.
#[test]
fn spreads_prompts_over_engines() {
    let mut table = table(&["a", "b", "c"]);
    let mut used = std::collections::HashSet::new();
    for session in 0..3 {
        used.insert(TestCall::new(session, 0, 4_000).send(&mut table, at(1)).key);
    }
    assert_eq!(used.len(), 3);
}

/// Load: repeated calls of one session with a long shared part.
#[test]
fn keeps_a_session_on_the_server_that_cached_its_parts() {
    let mut table = table(&["a", "b", "c"]);
    let call = TestCall::new(7, 5_000, 100);
    let first = call.send(&mut table, at(1));
    complete(&mut table, &first, at(200));
    for round in 1..5 {
        let now = at(round * 3_000);
        let placement = call.place(&mut table, now).unwrap();
        assert_eq!(
            (
                placement.key,
                placement.unread_tokens,
                placement.cache_source
            ),
            (first.key, 100, None)
        );
        let sent = table.record_sent(&placement, &call.request(), now);
        complete(&mut table, &sent, now + ms(100));
    }
}

/// Load: another VM sent the session to a server that is busy now.
#[test]
fn copies_parts_cached_by_a_call_of_another_vm() {
    let mut table = table(&["a", "b"]);
    let call = TestCall::new(7, 5_000, 100);
    let first = call.place(&mut table, at(1)).unwrap();
    let hash = verbenaring_policy::dispatch::prompt::name_hash(
        table.entry(first.key).unwrap().id.as_str(),
    );
    let prompt = PromptRecord {
        session: verbenaring_policy::dispatch::prompt::short_part_id(7),
        server: hash as u32,
        shared: 5_000,
        own: 100,
    };
    table.record_peer_prompts(&[prompt], |_| 100_000, at(1));
    // Outstanding unread tokens make the server of the session late.
    let busy = TestCall::new(7, 5_000, 90_000).send(&mut table, at(2));
    assert_eq!(busy.key, first.key);
    let placement = call.place(&mut table, at(3)).unwrap();
    assert_ne!(placement.key, first.key);
    assert!(placement.cache_source.is_some());
}

/// Load: a long prompt while streams run on some engines.
#[test]
fn keeps_long_prompts_away_from_running_streams() {
    let mut table = table(&["a", "b"]);
    let mut streams = Vec::new();
    for session in 0..6 {
        let sent = TestCall::new(session, 0, 10).send(&mut table, at(1));
        table.record_first_event(&sent, at(50));
        streams.push(sent);
    }
    // All streams of one server end.
    let empty = streams[0].key;
    for sent in streams.iter().filter(|sent| sent.key == empty) {
        table.record_end(sent, true, CallOutcome::Good, at(60));
    }
    assert_eq!(
        TestCall::new(50, 0, 50_000)
            .place(&mut table, at(70))
            .unwrap()
            .key,
        empty
    );
}

/// Load: a burst whose answers would arrive after their time limit.
#[test]
fn refuses_calls_at_once_that_would_be_late() {
    let mut table = table(&["a"]);
    let mut call = TestCall::new(1, 0, 60_000);
    call.remaining = ms(1_500);
    let mut refused = None;
    for _ in 0..10 {
        match call.place(&mut table, at(1)) {
            Ok(placement) => {
                table.record_sent(&placement, &call.request(), at(1));
            }
            Err(error) => refused = Some(error),
        }
    }
    match refused {
        Some(PlacementError::Overloaded { forecast, .. }) => assert!(forecast > ms(1_000)),
        Some(PlacementError::Saturated { until }) => assert!(until > Duration::ZERO),
        other => panic!("not refused: {other:?}"),
    }
}

/// Load: streams that progress slowly because the engine reads most of the time.
#[test]
fn refuses_answers_that_cannot_end_in_time() {
    let mut table = table(&["a"]);
    let mut long = TestCall::new(1, 0, 100);
    long.answer_tokens = 2_000;
    assert!(long.place(&mut table, at(1)).is_ok());
    for session in 0..6 {
        let sent = TestCall::new(session + 10, 0, 25_000).send(&mut table, at(1));
        complete(&mut table, &sent, at(1) + ms(250));
    }
    assert!(matches!(
        long.place(&mut table, at(300)),
        Err(PlacementError::Overloaded { .. } | PlacementError::Saturated { .. })
    ));
}

/// Guards against incident inc-87f9 of bungline: all regions refused long answers
/// although the engines were less than half busy, because the estimated length of
/// the answers was taken as exact.
#[test]
fn tries_long_answers_whose_length_is_only_estimated() {
    let mut table = table(&["a"]);
    let mut long = TestCall::new(1, 0, 100);
    long.answer_tokens = 2_200;
    for session in 0..4 {
        let sent = TestCall::new(session + 10, 0, 15_000).send(&mut table, at(1));
        complete(&mut table, &sent, at(1) + ms(180));
    }
    let placed = long.place(&mut table, at(400)).expect("placed");
    assert!((0.2..0.6).contains(&placed.busy), "{}", placed.busy);
}

#[test]
fn avoids_a_server_that_refuses_connections_or_breaks_answers() {
    for end in [CallOutcome::Refused, CallOutcome::Broken] {
        let mut table = table(&["a", "b"]);
        let call = TestCall::new(3, 0, 10);
        let sent = call.send(&mut table, at(1));
        table.record_end(&sent, false, end, at(10));
        for round in 0..3 {
            assert_ne!(
                call.place(&mut table, at(20 + round)).unwrap().key,
                sent.key
            );
        }
    }
}

/// Load: servers return cold at the same time, and several VMs have calls for them.
#[test]
fn one_vm_paces_a_cold_server() {
    let mut table = table(&["a"]);
    let mut cold = entry("a", 10);
    cold.born = Some(2);
    assert_eq!(
        table.apply(cold, ms(3_000), at(100)),
        EntryChange::Restarted
    );
    let call = TestCall::new(1, 0, 10);
    let mut sent_calls = 0;
    for step in 0..1_000 {
        let now = at(100 + step);
        if let Ok(placement) = call.place(&mut table, now) {
            let sent = table.record_sent(&placement, &call.request(), now);
            complete(&mut table, &sent, now);
            sent_calls += 1;
        }
    }
    // Half of 4.6 x 1.5 + 3 calls a second.
    assert_eq!(sent_calls, 4);
    // Exactly one of three VMs owns the server.
    let vms = [11, 22, 33];
    let owners = vms.iter().filter(|own| {
        let vms = RegionView::of_live(**own, &vms);
        table.place(&call.request(), &vms, at(2_500)).is_ok()
    });
    assert_eq!(owners.count(), 1);
    assert!(call.place(&mut table, at(3_200)).is_ok(), "warm again");
}

/// Guards against three VMs that start at the same time and each take themselves
/// for the only owner (opam-crankline places-lost --vary --seed 418382486603).
#[test]
fn a_vm_that_has_just_started_sends_nothing_to_cold_servers() {
    let mut table = table(&["a"]);
    let mut cold = entry("a", 10);
    cold.born = Some(2);
    table.apply(cold, ms(3_000), at(100));
    let alone = RegionView {
        peers_known: false,
        ..single_vm()
    };
    let call = TestCall::new(1, 0, 10);
    assert_eq!(
        table.place(&call.request(), &alone, at(200)),
        Err(PlacementError::Paced)
    );
    assert!(table.place(&call.request(), &single_vm(), at(200)).is_ok());
}

/// Guards against a suggested wait that includes the whole penalty of a server: a
/// call was refused with a wait of 10.5 s because the only server had refused a
/// connection (own day servers-taken-away --vary --seed 77).
#[test]
fn a_suggested_wait_does_not_include_the_whole_penalty() {
    let mut table = table(&["a"]);
    let mut call = TestCall::new(1, 100, 100);
    call.remaining = ms(1_500);
    let sent = call.send(&mut table, at(0));
    table.record_end(&sent, false, CallOutcome::Refused, at(10));
    // Without a limit for cold servers, the server is only penalised, not paced.
    call.settings.cold_rate = 0.0;
    match call.place(&mut table, at(20)) {
        Err(PlacementError::Overloaded { forecast, .. }) => {
            assert!(forecast <= ms(1_500), "{forecast:?}");
        }
        other => panic!("{other:?}"),
    }
}

/// Load: thousands of calls whose prompts share little, in a region of two data
/// centres between which traffic is billed.
#[test]
fn calls_that_share_little_stay_in_their_data_centre() {
    let names = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];
    let mut table = table(&[]).with_centre(CentreName::new("north-a").unwrap());
    for (index, name) in names.iter().enumerate() {
        let mut server = entry(name, index as u64 + 1);
        if index % 2 == 1 {
            server.centre.name = CentreName::new("north-b").unwrap();
        }
        table.apply(server, ms(0), at(0));
    }
    let live: Vec<u64> = (0..20).collect();
    let vms = RegionView::of_live(0, &live);
    let mut crossed = |shared: u32| {
        let placed = (0..200).map(|session| {
            let call = TestCall::new(session, shared, 300);
            table.place(&call.request(), &vms, at(0)).unwrap().key
        });
        let placed: Vec<_> = placed.collect();
        let crossing = placed.into_iter().filter(|key| {
            let centre = &table.entry(*key).unwrap().centre;
            centre.name.as_str() == "north-b"
        });
        crossing.count()
    };
    assert_eq!(crossed(90), 0, "short shared parts");
    // Of two servers compared, both are in the other data centre in 6 of 28 cases.
    assert!(crossed(5_000) > 20, "long shared parts go by session");
}
