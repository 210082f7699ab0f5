//! Tests of servers whose answers broke off although they accepted connections.

use std::net::SocketAddr;

use verbenaring_policy::dispatch::doubt::DoubtfulServers;
use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::run::ServerBreak;

use super::fixture::*;

const OLD_BOOT: u32 = 1;
const NEW_BOOT: u32 = 2;

fn address() -> SocketAddr {
    "10.0.0.1:80".parse().unwrap()
}

fn broken(request: u32) -> ServerBreak {
    let call = CallParts {
        request,
        shared: vec![7],
    };
    ServerBreak { calls: vec![call] }
}

/// A break at server 1 at 1,000 ms.
fn doubtful() -> DoubtfulServers<u32> {
    let mut servers = DoubtfulServers::default();
    servers.hold(1, address(), OLD_BOOT, broken(10), at(1_000));
    servers
}

/// Guards against an end that is forgotten because the server listened when it was looked
/// for.
#[test]
fn later_evidence_counts_for_the_moment_of_the_break() {
    let ended = doubtful().record_refusal(1).expect("ended");
    assert_eq!((ended.at, ended.boot), (at(1_000), OLD_BOOT));
    assert_eq!(ended.calls, broken(10).calls);
    // Another server, or a later start of the same, at its address.
    for next in [1, 2] {
        let mut servers = doubtful();
        let ended = servers.record_start(next, address(), NEW_BOOT);
        assert_eq!(ended.len(), 1);
        assert_eq!((ended[0].server, ended[0].at), (1, at(1_000)));
        assert_eq!(servers.record_refusal(1), None, "counted once");
    }
}

/// Guards against blame for a single call that failed: the server answers others, stops
/// later, or is merely published again.
#[test]
fn a_server_that_lives_has_not_ended() {
    let mut servers = doubtful();
    servers.record_answer(1, at(1_001));
    assert_eq!(servers.record_refusal(1), None);
    let mut servers = doubtful();
    servers.record_answer(1, at(1_001));
    assert_eq!(servers.record_start(2, address(), NEW_BOOT), []);
    let mut servers = doubtful();
    assert_eq!(servers.record_start(1, address(), OLD_BOOT), []);
    let elsewhere = "10.0.0.2:80".parse().unwrap();
    assert_eq!(servers.record_start(2, elsewhere, NEW_BOOT), []);
    servers.expire(at(60_000));
    assert_eq!(servers.record_refusal(1), None);
}

/// Guards against an answer to a call from before the break, or by the next process under
/// the same name, that is taken for a sign of life.
#[test]
fn answers_that_show_nothing_clear_nothing() {
    let mut servers = doubtful();
    servers.record_answer(1, at(1_000));
    assert!(servers.record_refusal(1).is_some());
    let mut servers = doubtful();
    servers.record_answer(1, at(1_500));
    assert_eq!(servers.record_start(1, address(), NEW_BOOT).len(), 1);
}

/// Guards against the calls of an earlier break that the server survived.
#[test]
fn the_latest_break_counts() {
    let mut servers = doubtful();
    servers.hold(1, address(), OLD_BOOT, broken(11), at(2_000));
    let ended = servers.record_refusal(1).expect("ended");
    assert_eq!(ended.calls, broken(11).calls);
}
