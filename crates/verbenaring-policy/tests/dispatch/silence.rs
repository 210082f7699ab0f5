//! Tests of how long calls wait for servers that owe them answers.

use verbenaring_policy::dispatch::contact::ContactChange;
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::dispatch::silence::{AnswerWait, WaitVerdict};
use verbenaring_policy::dispatch::table::ServerTable;
use verbenaring_policy::time::Moment;

use crate::fixture::{TestCall, at, ms, table};

const LIMIT_MS: u64 = 600;
/// Longest time between two checks of a server.
const CHECK_MS: u64 = 500;

/// Server at which a call waits that was sent at 0.
struct WaitingCall {
    table: ServerTable,
    server: ServerKey,
    wait: AnswerWait,
}

impl WaitingCall {
    fn new() -> Self {
        let mut table = table(&["i-1"]);
        let server = TestCall::new(1, 100, 100).send(&mut table, at(0)).key;
        Self {
            table,
            server,
            wait: AnswerWait::new(ms(LIMIT_MS), at(0)),
        }
    }

    fn judge(&mut self, now: Moment) -> WaitVerdict {
        let signs = self.table.signs(self.server).expect("server is known");
        self.wait.judge(signs, now)
    }

    /// Judges every 100 ms from the limit on; returns when the call is given up.
    fn given_up_at(&mut self, heard: impl Fn(u64) -> bool, until: u64) -> Option<u64> {
        (0..until).step_by(100).find(|now| {
            if heard(*now) {
                self.table.record_heard(self.server, at(*now));
            }
            *now >= LIMIT_MS && self.judge(at(*now)) == WaitVerdict::GiveUp
        })
    }
}

/// Guards against streams that are sent elsewhere while their server stands still.
#[test]
fn a_call_waits_while_its_server_stands_still() {
    for (silent_from, silent_until) in
        [(0, 500), (0, 1_300), (300, 1_500), (500, 2_600), (0, 3_500)]
    {
        let mut call = WaitingCall::new();
        let heard = |now| now < silent_from || now >= silent_until;
        // The answer comes soon after the server goes on.
        let answered_at = silent_until + LIMIT_MS;
        assert_eq!(
            call.given_up_at(heard, answered_at),
            None,
            "{silent_from} to {silent_until}"
        );
    }
}

/// Guards against calls that wait for an answer that is lost.
#[test]
fn a_call_is_given_up_at_a_server_that_answers_others() {
    let mut call = WaitingCall::new();
    let given_up_at = call.given_up_at(|_| true, 10_000);
    assert!(
        given_up_at.is_some_and(|at| at <= 2 * LIMIT_MS + 200),
        "{given_up_at:?}"
    );
    // The server is heard only because it is checked.
    let mut call = WaitingCall::new();
    let given_up_at = call.given_up_at(|now| now >= LIMIT_MS && now % CHECK_MS == 0, 10_000);
    assert!(
        given_up_at.is_some_and(|at| at <= 2 * (LIMIT_MS + CHECK_MS)),
        "{given_up_at:?}"
    );
}

/// Guards against calls that wait for a server that is stuck for good.
#[test]
fn a_call_is_given_up_at_a_server_that_stays_silent() {
    let mut call = WaitingCall::new();
    let given_up_at = call.given_up_at(|_| false, 10_000);
    assert!(
        given_up_at.is_some_and(|at| (3_000..5_000).contains(&at)),
        "{given_up_at:?}"
    );
}

/// Guards against calls that wait for a server that has vanished.
#[test]
fn a_call_is_given_up_once_its_server_is_out_of_reach() {
    let mut call = WaitingCall::new();
    assert_eq!(call.judge(at(LIMIT_MS)), WaitVerdict::Silent);
    let change = call.table.record_unreached(call.server, at(900));
    assert!(matches!(change, Some(ContactChange::Lost(_))));
    // Its queue of new connections may have been full.
    assert_eq!(call.judge(at(1_000)), WaitVerdict::Silent);
    call.table.record_unreached(call.server, at(1_400));
    assert_eq!(call.judge(at(1_800)), WaitVerdict::Silent);
    assert_eq!(call.judge(at(1_900)), WaitVerdict::GiveUp);
    // A connection that worked later shows that the server is there.
    call.table.record_reached(call.server, at(1_950));
    assert_eq!(call.judge(at(2_000)), WaitVerdict::Silent);
    call.table.record_unreached(call.server, at(2_100));
    assert_eq!(call.judge(at(3_000)), WaitVerdict::Silent);
}

/// Guards against a check of the same server by each call that waits there.
#[test]
fn a_silent_server_is_checked_at_intervals() {
    let mut call = WaitingCall::new();
    let mut begin = |now| call.table.begin_check(call.server, at(now));
    let begun = (600..2_600).step_by(10).filter(|now| begin(*now)).count();
    assert_eq!(begun, 4);
}
