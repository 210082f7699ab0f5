//! Tests of what is known of the calls of a server that ends.

use verbenaring_policy::dispatch::run::RunTable;
use verbenaring_policy::dispatch::server::ServerKey;

use super::fixture::*;

/// Load: a server breaks off two of its answers while another call still waits there.
/// Guards against blame of a call that had not begun, or that is at another server.
#[test]
fn only_begun_calls_of_the_server_are_remembered() {
    let mut keys = slotmap::SlotMap::<ServerKey, ()>::with_key();
    let (ended, other) = (keys.insert(()), keys.insert(()));
    let mut runs = RunTable::default();
    let first = runs.record_sent(ended, vec![1, 10]);
    let second = runs.record_sent(ended, vec![1, 11]);
    let waiting = runs.record_sent(ended, vec![1, 12]);
    let elsewhere = runs.record_sent(other, vec![1, 13]);
    runs.record_begun(first, at(100));
    runs.record_begun(elsewhere, at(150));
    runs.record_begun(second, at(200));
    runs.record_break(waiting);
    assert!(runs.take_unchecked().is_empty());
    runs.record_break(first);
    runs.record_break(second);
    assert_eq!(runs.take_unchecked(), [ended]);
    assert_eq!(runs.take_break(ended).prompts, [[1, 11], [1, 10]]);
    assert_eq!(runs.take_break(ended).prompts, Vec::<Vec<u32>>::new());
}
