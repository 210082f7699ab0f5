//! Tests of the datagrams between VMs.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use verbenaring_core::cluster::message::{
    MemberDigest, VmDescription, VmMessage, VmReport, decode, encode_members, encode_report,
};
use verbenaring_policy::dispatch::presence::{VmNews, VmState};
use verbenaring_policy::id::{CentreName, VmId};

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

fn datagrams() -> [Vec<u8>; 2] {
    let report = VmReport {
        vm: description(),
        interval_ms: 100,
        waits: Vec::new(),
        loads: vec![(7, Default::default())],
        reads: Vec::new(),
    };
    let news = VmNews {
        vm: 1,
        boot: 2,
        sequence: 3,
    };
    let digest = MemberDigest {
        vm: description(),
        interval_ms: 1_000,
        regions: Vec::new(),
        members: vec![description(); 3],
        news: vec![news; 20],
        reads: Vec::new(),
    };
    [
        encode_report(&report).unwrap(),
        encode_members(&digest).unwrap(),
    ]
}

#[test]
fn a_report_is_read_as_it_was_sent() {
    let [report, _] = datagrams();
    let Ok(VmMessage::Report(read)) = decode(&report) else {
        panic!("no report");
    };
    assert_eq!(read.vm, description());
}

/// Load: datagrams that are cut, changed, random or empty. None may panic.
#[test]
fn odd_datagrams_are_refused() {
    let mut rng = StdRng::seed_from_u64(7);
    assert!(decode(&[]).is_err());
    for datagram in datagrams() {
        for length in 0..datagram.len() {
            assert!(decode(&datagram[..length]).is_err(), "{length} bytes");
        }
        for _ in 0..20_000 {
            let mut odd = datagram.clone();
            for _ in 0..rng.random_range(1..6) {
                let at = rng.random_range(0..odd.len());
                odd[at] = rng.random();
            }
            let _ = decode(&odd);
        }
    }
    for _ in 0..20_000 {
        let length = rng.random_range(0..300);
        let odd: Vec<u8> = (0..length).map(|_| rng.random()).collect();
        let _ = decode(&odd);
    }
}
