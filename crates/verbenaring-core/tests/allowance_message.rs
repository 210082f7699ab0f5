//! Tests of the use of quotas behind the datagrams between VMs.

use serde::{Deserialize, Serialize};
use verbenaring_core::cluster::message::{
    LoadDigest, LoadScope, MAX_DATAGRAM_BYTES, MessageTail, VmDescription, VmMessage, VmReport,
    decode, encode_allowances, encode_digest, encode_loads, encode_report,
};
use verbenaring_policy::dispatch::allowance::{
    AllowanceScope, AllowanceStatement, MAX_STATED_TENANTS, TenantUse,
};
use verbenaring_policy::dispatch::limit::LimitUpdate;
use verbenaring_policy::dispatch::presence::VmState;
use verbenaring_policy::dispatch::retry_share::RetryStatement;
use verbenaring_policy::id::{CentreName, VmId};

const REPORT: u8 = 1;
const LOADS: u8 = 2;

fn description() -> VmDescription {
    let address = "10.0.0.1:80".parse().unwrap();
    VmDescription {
        vm: VmId::new("vm-1").unwrap(),
        centre: CentreName::new("north-a").unwrap(),
        report_address: address,
        peer_address: address,
        caller_address: address,
        boot: 1,
        sequence: 2,
        state: VmState::Ready,
        routes_version: 3,
        operator_revision: 4,
        servers_revision: 5,
        watching: true,
        capacity: 100,
    }
}

fn report(loads: usize) -> VmReport {
    VmReport {
        vm: description(),
        interval_ms: 100,
        waits: Vec::new(),
        loads: vec![(u32::MAX, Default::default()); loads],
        reads: Vec::new(),
    }
}

fn statement(scope: AllowanceScope, tenants: usize) -> AllowanceStatement {
    let stated = TenantUse {
        tenant: u32::MAX,
        demand: 1 << 40,
        spent: -(1 << 40),
        level: -(1 << 40),
        lost: 1 << 40,
    };
    AllowanceStatement {
        source: u32::MAX,
        scope,
        vms: 195,
        lost_vms: 0,
        uses: vec![stated; tenants],
    }
}

fn tail(retries: Vec<RetryStatement>, tenants: usize) -> MessageTail {
    MessageTail {
        retries,
        allowances: vec![statement(AllowanceScope::Vm, tenants)],
        ..MessageTail::default()
    }
}

fn retries() -> Vec<RetryStatement> {
    vec![RetryStatement {
        vm: 1,
        boot: 2,
        asks: false,
        vms: 7,
        age_ms: 0,
        services: Vec::new(),
    }]
}

/// Decodes the part of a datagram that the build before knows, in the way that it does.
fn decode_as_before<'a, T: Deserialize<'a>>(
    body: &'a [u8],
) -> (T, Vec<LimitUpdate>, Vec<RetryStatement>) {
    let (message, rest) = postcard::take_from_bytes(body).unwrap();
    if rest.is_empty() {
        return (message, Vec::new(), Vec::new());
    }
    let (limits, rest) = postcard::take_from_bytes(rest).unwrap();
    let retries = match rest.split_first() {
        Some((1, statements)) => postcard::from_bytes(statements).unwrap(),
        Some(_) | None => Vec::new(),
    };
    (message, limits, retries)
}

/// Encodes a report as the build before does.
fn encode_as_before<T: Serialize>(message: &T, retries: &[RetryStatement]) -> Vec<u8> {
    let datagram = postcard::to_extend(message, vec![REPORT]).unwrap();
    let limits: [LimitUpdate; 0] = [];
    let mut datagram = postcard::to_extend(&limits[..], datagram).unwrap();
    if !retries.is_empty() {
        datagram.push(1);
        datagram = postcard::to_extend(retries, datagram).unwrap();
    }
    datagram
}

/// Guards against reports that the build before drops, so that the VMs of both do not hear
/// each other during an update.
#[test]
fn the_build_before_reads_reports_with_quotas() {
    for retries in [Vec::new(), retries()] {
        let datagram = encode_report(&report(3), &tail(retries.clone(), 16)).unwrap();
        assert_eq!(datagram[0], REPORT);
        let (decoded, limits, stated): (VmReport, _, _) = decode_as_before(&datagram[1..]);
        assert_eq!(decoded, report(3));
        assert!(limits.is_empty());
        assert_eq!(stated, retries);
    }
}

/// Guards against the same for the loads that relays state.
#[test]
fn the_build_before_reads_loads_with_quotas() {
    let digest = LoadDigest {
        vm: description(),
        interval_ms: 100,
        scope: LoadScope::Region,
        loads: Vec::new(),
    };
    let encoded = encode_digest(&digest, &tail(retries(), 16)).unwrap();
    let datagram = encode_loads(9, &encoded);
    assert_eq!(datagram[0], LOADS);
    let (decoded, _, stated): (LoadDigest, _, _) = decode_as_before(&datagram[5..]);
    assert_eq!((decoded, stated), (digest, retries()));
}

/// Guards against reports of the build before that are dropped, or read as quotas.
#[test]
fn reports_of_the_build_before_state_no_quotas() {
    for retries in [Vec::new(), retries()] {
        let datagram = encode_as_before(&report(3), &retries);
        let Ok(VmMessage::Report(decoded, tail)) = decode(&datagram) else {
            panic!("no report");
        };
        assert_eq!(decoded, report(3));
        assert_eq!(tail.retries, retries);
        assert!(tail.allowances.is_empty());
    }
}

/// Guards against quotas that get lost on the way, and against datagrams too long to be
/// carried whole.
#[test]
fn quotas_arrive_in_datagrams_of_the_permitted_size() {
    for loads in [0, 20, 60] {
        for limits in [0, 500] {
            let update = LimitUpdate {
                server: u32::MAX,
                rate: u32::MAX,
                age_ms: u32::MAX,
            };
            let tail = MessageTail {
                limits: vec![update; limits],
                ..tail(retries(), MAX_STATED_TENANTS)
            };
            let datagram = encode_report(&report(loads), &tail).unwrap();
            assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
            let Ok(VmMessage::Report(_, decoded)) = decode(&datagram) else {
                panic!("no report");
            };
            let stated = decoded.allowances.first();
            let stated = stated.map_or(0, |statement| statement.uses.len());
            println!("{loads} loads, {limits} limits: {stated} tenants");
            assert!(stated >= 16 || loads == 60, "{stated} tenants");
        }
    }
    let far = statement(AllowanceScope::Far, MAX_STATED_TENANTS);
    let datagram = encode_allowances(&far).unwrap();
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
    assert_eq!(decode(&datagram), Ok(VmMessage::Allowances(far)));
}
