//! Published entries.

use verbenaring_policy::dispatch::place::PlacementError;
use verbenaring_policy::dispatch::table::{EntryChange, ServerTable};
use verbenaring_policy::id::ServerId;
use verbenaring_policy::time::Moment;

use super::fixture::*;

#[test]
fn entries_never_go_back() {
    let mut table = table(&["a"]);
    let id = ServerId::new("a").unwrap();
    let mut draining = entry("a", 5);
    draining.draining = true;
    assert_eq!(table.apply(draining, ms(0), at(1)), EntryChange::Draining);
    assert_eq!(
        table.apply(entry("a", 4), ms(0), at(2)),
        EntryChange::Outdated
    );
    assert_eq!(
        TestCall::new(1, 0, 10).place(&mut table, at(3)),
        Err(PlacementError::NoServer)
    );
    assert!(table.remove(&id, 6, at(4), at(4)));
    table.expire(at(5));
    // A snapshot of another VM may be older than the removal.
    assert_eq!(
        table.apply(entry("a", 5), ms(0), at(6)),
        EntryChange::Outdated
    );
    assert_eq!(table.apply(entry("a", 7), ms(0), at(7)), EntryChange::Added);
}

/// Load: entries that lapse while the store is away come back within seconds.
#[test]
fn uses_a_lapsed_server_for_its_grace_only() {
    let mut table = table(&["a"]);
    let call = TestCall::new(1, 0, 10);
    table.remove(&ServerId::new("a").unwrap(), 5, at(2_000), at(0));
    assert!(call.place(&mut table, at(1_999)).is_ok());
    assert_eq!(
        call.place(&mut table, at(2_000)),
        Err(PlacementError::NoServer)
    );
    table.apply(entry("a", 6), ms(0), at(2_100));
    assert!(call.place(&mut table, at(2_200)).is_ok());
}

/// Takes over what one table tells another.
fn pass_on(from: &ServerTable, to: &mut ServerTable, now: Moment) {
    let news = from.changes_since(to.revision(), now);
    let mut named = Vec::new();
    for entry in news.entries {
        named.push(entry.id.clone());
        to.apply(entry, ms(0), now);
    }
    for removed in news.removed {
        to.remove(&removed.id, removed.revision, now + removed.grace, now);
        named.push(removed.id);
    }
    if news.complete {
        for id in to.listed_ids() {
            if !named.contains(&id) {
                to.remove_unlisted(&id, news.revision, now, now);
            }
        }
        to.record_listing(news.revision);
    }
    to.advance_revision(news.revision);
}

/// Load: VMs that do not watch ask others for changes only.
#[test]
fn news_hold_only_what_changed() {
    let mut watcher = table(&["a", "b", "c"]);
    let mut asker = table(&["a", "b", "c"]);
    watcher.apply(entry("b", 10), ms(0), at(0));
    watcher.remove(&ServerId::new("c").unwrap(), 11, at(2_000), at(0));
    let news = watcher.changes_since(asker.revision(), at(500));
    assert_eq!((news.complete, news.entries.len()), (false, 1));
    assert_eq!(news.removed[0].grace, ms(1_500));
    pass_on(&watcher, &mut asker, at(500));
    assert_eq!(asker.revision(), 11);
    assert_eq!(asker.listed_ids().len(), 2);
    assert!(
        watcher
            .changes_since(asker.revision(), at(500))
            .entries
            .is_empty()
    );
}

/// Guards against a server that is never removed: its removal was before the
/// listing of the VM that is asked, or is no longer remembered there.
#[test]
fn news_are_complete_where_removals_may_be_missing() {
    let mut asker = table(&["a", "b"]);
    asker.apply(entry("a", 5), ms(0), at(0));
    let mut started = table(&[]);
    started.apply(entry("a", 5), ms(0), at(0));
    started.apply(entry("d", 9), ms(0), at(0));
    started.record_listing(8);
    pass_on(&started, &mut asker, at(0));
    let listed = asker.listed_ids();
    assert!(!listed.contains(&ServerId::new("b").unwrap()), "{listed:?}");

    let mut asker = table(&["a", "b"]);
    let mut old = table(&["a", "b"]);
    old.remove(&ServerId::new("b").unwrap(), 7, at(0), at(0));
    old.expire(at(60_000));
    pass_on(&old, &mut asker, at(60_000));
    assert_eq!(asker.listed_ids().len(), 1);
}

/// Guards against a removal that only a listing shows and that no other VM asks
/// about, because no entry has a newer revision.
#[test]
fn a_removal_found_by_a_listing_is_news() {
    let mut watcher = table(&["a", "b"]);
    let mut asker = table(&["a", "b"]);
    watcher.remove_unlisted(&ServerId::new("b").unwrap(), 40, at(0), at(0));
    assert!(watcher.revision() > asker.revision());
    pass_on(&watcher, &mut asker, at(0));
    assert_eq!(asker.listed_ids().len(), 1);
}
