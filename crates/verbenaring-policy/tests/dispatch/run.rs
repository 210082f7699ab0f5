//! Tests of what is known of the calls of a server that ends.

use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::run::RunTable;
use verbenaring_policy::dispatch::server::ServerKey;

use super::fixture::*;

/// Load: a server breaks off two of its answers and another call that waits there.
/// Guards against blame of the parts of a prompt whose answer had not begun, and of calls
/// at another server.
#[test]
fn the_calls_of_the_server_are_remembered() {
    let mut keys = slotmap::SlotMap::<ServerKey, ()>::with_key();
    let (ended, other) = (keys.insert(()), keys.insert(()));
    let mut runs = RunTable::default();
    let call = |id: u32| CallParts {
        request: 100 + id,
        shared: vec![1, id],
    };
    let first = runs.record_sent(ended, call(10), at(50));
    let second = runs.record_sent(ended, call(11), at(50));
    let waiting = runs.record_sent(ended, call(12), at(50));
    let elsewhere = runs.record_sent(other, call(13), at(50));
    runs.record_begun(first, at(100));
    runs.record_begun(elsewhere, at(150));
    runs.record_begun(second, at(200));
    runs.record_break(waiting);
    runs.record_break(first);
    runs.record_break(second);
    assert_eq!(runs.take_unchecked(), [ended]);
    let as_a_whole = CallParts {
        shared: Vec::new(),
        ..call(12)
    };
    let left = [call(11), call(10), as_a_whole];
    assert_eq!(runs.take_break(ended).calls, left);
    assert_eq!(runs.take_break(ended).calls, []);
}
