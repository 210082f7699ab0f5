//! Rates, concurrency, deadlines and refusals of the admission gate.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::vm;
use verbenaring_policy::admission::{
    AdmissionGate, AdmissionPermit, AdmissionRequest, Allotment, AllotmentTable, LimitKind,
    LimitRefusal, RateBucket,
};
use verbenaring_policy::id::{CustomerId, VmId};
use verbenaring_policy::time::Moment;

const DEADLINE: Duration = Duration::from_secs(20);

struct Node {
    table: AllotmentTable,
    gate: AdmissionGate,
}

fn customer() -> CustomerId {
    common::customer("council")
}

fn share(requests_per_s: u64, tokens_per_s: u64, concurrent: u32) -> Allotment {
    Allotment {
        millirequests_per_s: requests_per_s * 1_000,
        millitokens_per_s: tokens_per_s * 1_000,
        concurrent,
    }
}

impl Node {
    fn new(name: &str, peer: Option<&str>, share: Allotment) -> Self {
        let peers: BTreeSet<VmId> = peer.into_iter().map(vm).collect();
        let mut table = AllotmentTable::new(vm(name), 1, peers, Moment(0));
        table.stage(&customer(), 1, share);
        table.accept(&customer(), 1);
        Self {
            table,
            gate: AdmissionGate::default(),
        }
    }

    fn admit(&mut self, tokens: u32, now: Moment) -> Result<AdmissionPermit, LimitRefusal> {
        let request = AdmissionRequest {
            tokens,
            deadline: now + DEADLINE,
            expected_duration: Duration::from_secs(1),
        };
        self.gate.admit(&self.table, &customer(), &request, now)
    }
}

/// Guards against a `Retry-After` after which a retry still fails, or that is
/// longer than needed.
#[test]
fn a_retry_after_the_stated_wait_succeeds() {
    let mut node = Node::new("vm", None, share(4, 1_000, 100));
    let now = Moment(0);
    let permits: Vec<_> = (0..4).map(|_| node.admit(10, now).unwrap()).collect();
    let refusal = node.admit(10, now).unwrap_err();
    assert_eq!(refusal.limit, LimitKind::RequestRate);
    assert_eq!(refusal.retry_after, Duration::from_millis(250));
    assert_eq!(refusal.retry_after_s(), 1);
    assert!(node.admit(10, now + Duration::from_millis(249)).is_err());
    assert!(node.admit(10, now + refusal.retry_after).is_ok());
    drop(permits);
}

/// Guards against answers that are larger than estimated and whose additional
/// tokens are never charged.
#[test]
fn actual_tokens_correct_the_token_rate() {
    let mut node = Node::new("vm", None, share(100, 100, 100));
    let permit = node.admit(50, Moment(0)).unwrap();
    node.gate.finish(permit, 350, Moment(0));
    let refusal = node.admit(50, Moment(0)).unwrap_err();
    assert_eq!(refusal.limit, LimitKind::TokenRate);
    assert_eq!(refusal.retry_after, Duration::from_secs(3));
    let permit = node.admit(50, Moment(3_000_000)).unwrap();
    node.gate.finish(permit, 0, Moment(3_000_000));
    assert!(node.admit(50, Moment(3_000_000)).is_ok());
    // More tokens than the bucket can hold are admitted when it is full.
    assert!(node.admit(1_000, Moment(9_000_000)).is_ok());
}

/// Guards against a refusal that charges a bucket or counts a request in flight.
#[test]
fn concurrency_and_deadline_refuse_without_effect() {
    let mut node = Node::new("vm", None, share(100, 10_000, 1));
    let permit = node.admit(10, Moment(0)).unwrap();
    let in_use = node.gate.in_use(&node.table, &customer(), Moment(0));
    let refusal = node.admit(10, Moment(0)).unwrap_err();
    assert_eq!(refusal.limit, LimitKind::Concurrency);
    let late_request = AdmissionRequest {
        tokens: 10,
        deadline: Moment(2_000_000),
        expected_duration: Duration::from_secs(5),
    };
    let result = node
        .gate
        .admit(&node.table, &customer(), &late_request, Moment(0));
    let refusal = result.unwrap_err();
    assert_eq!(refusal.limit, LimitKind::Deadline);
    assert_eq!(refusal.retry_after_s(), 3);
    let unchanged = node.gate.in_use(&node.table, &customer(), Moment(0));
    assert_eq!(unchanged, in_use);
    assert_eq!(node.gate.in_flight(&customer()), 1);
    node.gate.finish(permit, 10, Moment(1_000_000));
    assert!(node.admit(10, Moment(1_000_000)).is_ok());
}

fn lend(lender: &mut Node, borrower: &mut Node, wanted: Allotment, now: Moment) {
    let request = borrower
        .table
        .request(&customer(), &vm("vm-a"), wanted, DEADLINE, now);
    if let Some(grant) = lender.gate.lend(&mut lender.table, &request, now) {
        assert!(borrower.gate.borrow(&mut borrower.table, &grant, now));
    }
}

/// Guards against loans that multiply bursts or refill the buckets of both nodes
/// for the same time. A rate of one request per second that is lent and returned
/// a hundred times a second must stay one request per second.
#[test]
fn repeated_loans_do_not_raise_the_rate() {
    let mut lender = Node::new("vm-a", Some("vm-b"), share(1, 1_000, 1));
    let mut borrower = Node::new("vm-b", Some("vm-a"), Allotment::default());
    let seconds = 30;
    let mut admitted = 0;
    for step in 0..seconds * 100 {
        let now = Moment(400_000_000 + step * 10_000);
        lend(&mut lender, &mut borrower, share(1, 1_000, 1), now);
        for node in [&mut lender, &mut borrower] {
            if let Ok(permit) = node.admit(10, now) {
                admitted += 1;
                node.gate.finish(permit, 10, now);
            }
        }
        let Node { gate, table } = &mut borrower;
        for message in gate.give_back(table, &customer(), now) {
            lender.gate.take_back(&mut lender.table, &message, now);
        }
    }
    assert!((2..=seconds + 1).contains(&admitted), "{admitted} admitted");
}

/// Guards against a share that is lent while it is in use, and against a request
/// that still uses borrowed concurrency after the loan has ended.
#[test]
fn borrowed_concurrency_outlasts_the_request() {
    let mut lender = Node::new("vm-a", Some("vm-b"), share(10, 1_000, 2));
    let mut borrower = Node::new("vm-b", Some("vm-a"), Allotment::default());
    let now = Moment(400_000_000);
    let used: Vec<_> = (0..2).map(|_| lender.admit(10, now).unwrap()).collect();
    lend(&mut lender, &mut borrower, share(0, 0, 1), now);
    assert_eq!(borrower.table.usable(&customer(), now, now).concurrent, 0);
    for permit in used {
        lender.gate.finish(permit, 10, now);
    }
    lend(&mut lender, &mut borrower, share(5, 500, 1), now);
    // Loans last for 25 s and requests for 20 s.
    let (early, late) = (now + Duration::from_secs(4), now + Duration::from_secs(6));
    let permit = borrower.admit(10, early).unwrap();
    borrower.gate.finish(permit, 10, early);
    let refusal = borrower.admit(10, late).unwrap_err();
    assert_eq!(refusal.limit, LimitKind::NoShare);
}

/// Guards against a balance that grows when the rate changes or when an earlier
/// time is passed again.
#[test]
fn a_bucket_gains_only_by_time() {
    let mut bucket = RateBucket::new(10.0, Moment(1_000_000));
    bucket.charge(10.0, Moment(1_000_000));
    bucket.set_rate(100.0, Moment(1_000_000));
    assert_eq!(bucket.balance(Moment(1_000_000)), 0.0);
    assert_eq!(bucket.balance(Moment(500_000)), 0.0);
    assert_eq!(bucket.balance(Moment(1_100_000)), 10.0);
    bucket.charge(10.0, Moment(1_100_000));
    bucket.set_rate(1.0, Moment(1_200_000));
    assert_eq!(bucket.balance(Moment(1_200_000)), 0.1);
    bucket.set_rate(0.0, Moment(1_200_000));
    assert_eq!(bucket.wait_for(1.0, Moment(1_200_000)), None);
}
