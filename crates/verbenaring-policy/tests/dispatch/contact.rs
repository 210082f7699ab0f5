//! Tests of VMs that lose contact with servers.

use verbenaring_policy::dispatch::contact::ContactChange;
use verbenaring_policy::dispatch::ownership::RegionView;
use verbenaring_policy::dispatch::place::{PlacementError, PlacementRequest};
use verbenaring_policy::dispatch::server::{CallOutcome, ServerKey};
use verbenaring_policy::dispatch::table::ServerTable;
use verbenaring_policy::id::ServerId;

use super::fixture::*;

/// Keys of the servers of a table, each of which is sent a call.
fn keys_of(table: &mut ServerTable, count: usize) -> Vec<ServerKey> {
    let mut keys: Vec<ServerKey> = Vec::new();
    let call = TestCall::new(1, 0, 10);
    while keys.len() < count {
        let request = call.request();
        let request = PlacementRequest {
            excluded: &keys,
            ..request
        };
        let placement = table.place(&request, &single_vm(), at(0)).expect("placed");
        let sent = table.record_sent(&placement, &request, at(0));
        complete(table, &sent, at(0));
        keys.push(placement.key);
    }
    keys
}

fn lost() -> Option<ContactChange> {
    Some(ContactChange::Lost(service("engine")))
}

fn regained(away_ms: u64) -> Option<ContactChange> {
    Some(ContactChange::Regained {
        service: service("engine"),
        away: ms(away_ms),
    })
}

#[test]
fn contact_is_lost_when_several_servers_are_out_of_reach() {
    let mut table = table(&["a", "b", "c", "d"]);
    let keys = keys_of(&mut table, 4);
    assert_eq!(table.record_unreached(keys[0], at(10)), None);
    assert_eq!(table.record_unreached(keys[0], at(20)), None, "same server");
    assert_eq!(table.record_unreached(keys[1], at(30)), None);
    assert!(table.doubtful_servers(ms(1_000), at(30)).is_empty());
    assert!(table.has_contact(&service("engine")));
    assert_eq!(table.record_unreached(keys[2], at(40)), lost());
    assert!(!table.has_contact(&service("engine")));
    // Its servers refuse connections; the others are not checked for that.
    assert!(!table.is_unanswered(&service("engine")));
    assert!(table.is_cut_off(at(40)));
    assert_eq!(table.doubtful_servers(ms(1_000), at(40)).len(), 4);
    assert_eq!(table.record_reached(keys[3], at(1_040)), regained(1_000));
    assert!(!table.is_cut_off(at(1_040)));
    assert!(table.doubtful_servers(ms(1_000), at(1_040)).is_empty());
}

/// Load: some servers are gone, and calls at the others are answered in between.
#[test]
fn contact_is_kept_while_any_server_is_reached() {
    let mut table = table(&["a", "b", "c", "d"]);
    let keys = keys_of(&mut table, 4);
    for now in (0..10_000).step_by(100) {
        for gone in &keys[..2] {
            assert_eq!(table.record_unreached(*gone, at(now)), None);
        }
        assert_eq!(table.record_reached(keys[3], at(now + 50)), None);
    }
}

#[test]
fn the_only_server_of_a_service_decides() {
    let mut table = table(&["a"]);
    let keys = keys_of(&mut table, 1);
    assert_eq!(table.record_unreached(keys[0], at(10)), lost());
    // Without servers there is nothing to reach.
    table.remove(&ServerId::new("a").unwrap(), 9, at(20), at(20));
    assert!(table.doubtful_servers(ms(0), at(30)).is_empty());
}

/// A VM that does not own a server, in a region with VM 1.
fn view_of_other(table: &mut ServerTable, now: u64) -> RegionView {
    let call = TestCall::new(1, 0, 10);
    let views = (2..).map(|vm| RegionView::of_live(vm, &[1, vm]));
    let mut others = views
        .filter(|view| table.place(&call.request(), view, at(now)) == Err(PlacementError::Paced));
    others.next().expect("VM that does not own the server")
}

/// Guards against servers that stay out of use after a cut, and against the flood of
/// servers that have restarted meanwhile.
#[test]
fn refusals_during_a_cut_count_only_if_no_other_vm_reached_the_servers() {
    for peer_reached in [true, false] {
        let mut table = table(&["a"]);
        table.set_current(true, at(0));
        let keys = keys_of(&mut table, 1);
        let call = TestCall::new(1, 0, 10);
        let sent = call.send(&mut table, at(0));
        table.record_end(&sent, false, CallOutcome::Refused, at(300));
        table.record_unreached(keys[0], at(300));
        let view = view_of_other(&mut table, 310);
        if peer_reached {
            table.record_peer_contact(&service("engine"));
        }
        table.record_reached(keys[0], at(2_000));
        let placed = table.place(&call.request(), &view, at(2_010));
        assert_eq!(placed.is_ok(), peer_reached);
    }
}

/// Load: calls go through another VM, whatever this one knows of the servers.
#[test]
fn a_call_through_another_vm_is_placed_although_servers_refuse_this_one() {
    let mut table = table(&["a"]);
    let call = TestCall::new(1, 0, 10);
    let sent = call.send(&mut table, at(0));
    table.record_end(&sent, false, CallOutcome::Refused, at(10));
    let view = view_of_other(&mut table, 20);
    let request = PlacementRequest {
        through_peer: true,
        ..call.request()
    };
    let placement = table.place(&request, &view, at(20)).expect("placed");
    assert!(placement.forecast < ms(1_000), "{:?}", placement.forecast);
}

/// Load: calls are sent, and servers that accept connections answer neither them nor
/// checks.
#[test]
fn servers_that_accept_connections_and_never_answer_are_out_of_contact() {
    let mut table = table(&["a", "b", "c", "d"]);
    let keys = keys_of(&mut table, 4);
    assert!(table.doubtful_servers(ms(1_200), at(1_300)).is_empty());
    let call = TestCall::new(1, 0, 10);
    call.send(&mut table, at(2_000));
    assert!(table.doubtful_servers(ms(1_200), at(3_199)).is_empty());
    let doubtful = table.doubtful_servers(ms(1_200), at(3_200));
    assert_eq!(doubtful.len(), 1);
    // The others of the service are checked as soon as one has not answered.
    assert_eq!(table.record_unanswered(doubtful[0], at(4_200)), None);
    assert_eq!(table.doubtful_servers(ms(1_200), at(4_200)).len(), 4);
    let others: Vec<ServerKey> = keys.into_iter().filter(|key| *key != doubtful[0]).collect();
    assert_eq!(table.record_unanswered(others[0], at(4_300)), None);
    assert_eq!(table.record_unanswered(others[1], at(4_300)), lost());
    assert!(table.is_unanswered(&service("engine")));
    // Checks that fail do not make connections count as failed.
    assert!(
        table
            .signs(others[0])
            .is_some_and(|signs| signs.unreached_since.is_none())
    );
    assert_eq!(
        table.record_reached(others[2], at(16_300)),
        regained(12_000)
    );
}
