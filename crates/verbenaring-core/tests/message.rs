//! Tests of the datagrams between VMs.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use verbenaring_core::cluster::message::{
    MAX_DATAGRAM_BYTES, MemberDigest, MessageTail, VmDescription, VmMessage, VmReport, decode,
    encode_members, encode_report, encode_retries, encode_suspects,
};
use verbenaring_core::cluster::suspects::NEWS_PER_DATAGRAM;
use verbenaring_policy::dispatch::evidence::{CrashNews, SuspectNews};
use verbenaring_policy::dispatch::limit::LimitUpdate;
use verbenaring_policy::dispatch::presence::{VmNews, VmState};
use verbenaring_policy::dispatch::retry_share::{RetryStatement, ServiceHistory};
use verbenaring_policy::id::{CentreName, ServiceName, VmId};
use verbenaring_policy::retry::BudgetHistory;

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

/// Evidence about a part that takes the most bytes.
fn suspect_news() -> SuspectNews {
    let crash = CrashNews {
        server: u32::MAX,
        age_ms: u32::MAX,
    };
    SuspectNews {
        part: u32::MAX,
        depth: u8::MAX,
        crashes: vec![crash; 8],
        sound_age_ms: Some(u32::MAX),
        quarantine_age_ms: Some(u32::MAX),
        trials: u8::MAX,
    }
}

fn report() -> VmReport {
    VmReport {
        vm: description(),
        interval_ms: 100,
        waits: Vec::new(),
        loads: vec![(7, Default::default())],
        reads: Vec::new(),
    }
}

fn retry_statement() -> RetryStatement {
    RetryStatement {
        vm: 1,
        boot: 2,
        asks: false,
        vms: 7,
        age_ms: 0,
        services: vec![ServiceHistory {
            service: ServiceName::new("plain").unwrap(),
            history: BudgetHistory {
                successes: [30; 10],
                retries: [1; 10],
            },
        }],
    }
}

fn datagrams() -> [Vec<u8>; 4] {
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
        encode_report(&report(), &MessageTail::default()).unwrap(),
        encode_members(&digest).unwrap(),
        encode_suspects(&[suspect_news(), suspect_news()]).unwrap(),
        encode_retries(&retry_statement()).unwrap(),
    ]
}

#[test]
fn a_report_is_read_as_it_was_sent() {
    let [report, ..] = datagrams();
    let Ok(VmMessage::Report(read, tail)) = decode(&report) else {
        panic!("no report");
    };
    assert_eq!(read.vm, description());
    assert_eq!(tail, MessageTail::default());
}

/// Guards against versions that do not understand each other's reports: those without
/// limits are read, and those with limits begin like those without.
#[test]
fn limits_follow_a_report() {
    let update = LimitUpdate {
        server: u32::MAX,
        rate: u32::MAX,
        age_ms: u32::MAX,
    };
    let without = encode_report(&report(), &MessageTail::default()).unwrap();
    let tail = MessageTail {
        limits: vec![update; 500],
        ..MessageTail::default()
    };
    let datagram = encode_report(&report(), &tail).unwrap();
    assert!(datagram.starts_with(&without));
    let read_before: VmReport = postcard::from_bytes(&datagram[1..]).unwrap();
    assert_eq!(read_before, report());
    assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
    let Ok(VmMessage::Report(_, MessageTail { limits, .. })) = decode(&datagram) else {
        panic!("no report");
    };
    assert!(limits.len() > 50, "{}", limits.len());
    assert!(limits.iter().all(|limit| *limit == update));
    for length in without.len() + 1..datagram.len() {
        assert!(decode(&datagram[..length]).is_err(), "{length} bytes");
    }
}

/// Guards against statements of retries that the build before cannot read past: it reads
/// the report, then the limits, and leaves the rest.
#[test]
fn statements_follow_the_limits() {
    let update = LimitUpdate {
        server: 1,
        rate: 2,
        age_ms: 3,
    };
    let full = vec![update; 500];
    for limits in [Vec::new(), vec![update; 3], full] {
        let tail = MessageTail {
            limits,
            retries: vec![retry_statement()],
            ..MessageTail::default()
        };
        let datagram = encode_report(&report(), &tail).unwrap();
        assert!(datagram.len() <= MAX_DATAGRAM_BYTES);
        let (read, rest): (VmReport, _) = postcard::take_from_bytes(&datagram[1..]).unwrap();
        assert_eq!(read, report());
        let read_before: Vec<LimitUpdate> = postcard::from_bytes(rest).unwrap();
        let Ok(VmMessage::Report(_, read)) = decode(&datagram) else {
            panic!("no report");
        };
        assert_eq!(read.limits, read_before);
        assert_eq!(read.retries, [retry_statement()]);
    }
}

/// Guards against reports of a later version that are lost, with the VM that sends them,
/// because its statements cannot be read.
#[test]
fn statements_of_a_later_format_are_left_out() {
    let report = report();
    let mut datagram = encode_report(&report, &MessageTail::default()).unwrap();
    const NO_LIMITS: u8 = 0;
    const LATER_FORMAT: u8 = 2;
    datagram.extend([NO_LIMITS, LATER_FORMAT, 0xff, 0xff]);
    let Ok(VmMessage::Report(read, tail)) = decode(&datagram) else {
        panic!("no report");
    };
    assert_eq!(read, report);
    assert_eq!(tail, MessageTail::default());
}

/// Guards against evidence that is dropped because its datagram is too long.
#[test]
fn evidence_about_many_parts_fits_into_a_datagram() {
    let news = vec![suspect_news(); NEWS_PER_DATAGRAM];
    assert!(encode_suspects(&news).unwrap().len() <= MAX_DATAGRAM_BYTES);
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
