//! Published entries.

use verbenaring_policy::dispatch::place::NoPlacement;
use verbenaring_policy::dispatch::table::EntryChange;
use verbenaring_policy::id::ServerId;

use super::fixture::*;

#[test]
fn entries_never_go_back() {
    let mut table = table(&["a"]);
    let id = ServerId::new("a").unwrap();
    let mut draining = facts("a", 5);
    draining.draining = true;
    assert_eq!(table.apply(draining, ms(0), at(1)), EntryChange::Draining);
    assert_eq!(
        table.apply(facts("a", 4), ms(0), at(2)),
        EntryChange::Outdated
    );
    assert_eq!(
        Ask::new(1, 0, 10).place(&mut table, at(3)),
        Err(NoPlacement::NoServer)
    );
    assert!(table.remove(&id, 6, at(4), at(4)));
    table.expire(at(5));
    // A snapshot of another VM may be older than the removal.
    assert_eq!(
        table.apply(facts("a", 5), ms(0), at(6)),
        EntryChange::Outdated
    );
    assert_eq!(table.apply(facts("a", 7), ms(0), at(7)), EntryChange::Added);
}

/// Load: entries that lapse while the store is away come back within seconds.
#[test]
fn uses_a_lapsed_server_for_its_grace_only() {
    let mut table = table(&["a"]);
    let ask = Ask::new(1, 0, 10);
    table.remove(&ServerId::new("a").unwrap(), 5, at(2_000), at(0));
    assert!(ask.place(&mut table, at(1_999)).is_ok());
    assert_eq!(ask.place(&mut table, at(2_000)), Err(NoPlacement::NoServer));
    table.apply(facts("a", 6), ms(0), at(2_100));
    assert!(ask.place(&mut table, at(2_200)).is_ok());
}
