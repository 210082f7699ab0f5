//! Loans under message faults, and the hold after a restart.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use verbenaring_policy::allotment::AllotmentTable;
use verbenaring_policy::id::{CustomerId, VmId};
use verbenaring_policy::layout::Allotment;
use verbenaring_policy::loan::{
    BucketCredit, LoanGrant, LoanInquiry, LoanReport, LoanRequest, LoanReturn, lender_term,
};
use verbenaring_policy::time::Moment;

const SEED: [u8; 32] = [41; 32];
const DEADLINE: Duration = Duration::from_secs(20);

fn customer() -> CustomerId {
    CustomerId::new("council").unwrap()
}

fn vm(node: usize, generation: u64) -> VmId {
    VmId::new(&format!("vm-{node}-{generation}")).unwrap()
}

fn share(concurrent: u32) -> Allotment {
    Allotment {
        millirequests_per_s: u64::from(concurrent) * 1_000,
        millitokens_per_s: u64::from(concurrent) * 300_000,
        concurrent,
    }
}

fn sum(shares: impl IntoIterator<Item = Allotment>) -> Allotment {
    let add = |total: Allotment, share: Allotment| total.plus(&share);
    shares.into_iter().fold(Allotment::default(), add)
}

#[derive(Debug, Clone)]
enum Message {
    Request(LoanRequest),
    Grant(VmId, LoanGrant),
    Return(LoanReturn),
    Inquiry(VmId, LoanInquiry),
    Report(LoanReport),
}

impl Message {
    fn target(&self) -> &VmId {
        match self {
            Message::Request(message) => &message.lender,
            Message::Grant(target, _) | Message::Inquiry(target, _) => target,
            Message::Return(message) => &message.lender,
            Message::Report(message) => &message.asker,
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Borrow(usize, usize, u32),
    GiveBack(usize),
    Deliver(usize),
    Duplicate(usize),
    Lose(usize),
    Advance(u64),
    Pause(usize),
    Restart(usize),
    Replace(usize),
    Inquire(usize),
    Learn(usize),
    Restage(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    prop_oneof![
        8 => (node.clone(), node.clone(), 1u32..6).prop_map(|(a, b, n)| Step::Borrow(a, b, n)),
        3 => node.clone().prop_map(Step::GiveBack),
        24 => (0usize..64).prop_map(Step::Deliver),
        3 => (0usize..64).prop_map(Step::Duplicate),
        3 => (0usize..64).prop_map(Step::Lose),
        8 => (1u64..15_000).prop_map(Step::Advance),
        1 => (300_000u64..400_000).prop_map(Step::Advance),
        2 => node.clone().prop_map(Step::Pause),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Replace),
        2 => node.clone().prop_map(Step::Inquire),
        5 => node.prop_map(Step::Learn),
        1 => (0u32..=10).prop_map(Step::Restage),
    ]
}

const NODES: usize = 5;
// Clocks differ in rate by up to 4%, within the 5% that loans allow for.
const CLOCK_PERCENT: [u64; NODES] = [98, 99, 100, 101, 102];

struct Cluster {
    tables: Vec<AllotmentTable>,
    names: Vec<VmId>,
    paused: [bool; NODES],
    messages: Vec<Message>,
    time: u64,
    incarnation: u64,
    revision: u64,
    staged: BTreeMap<u64, Vec<Allotment>>,
    borrowed: usize,
}

impl Cluster {
    fn new() -> Self {
        let names: Vec<VmId> = (0..NODES).map(|node| vm(node, 0)).collect();
        let peers: BTreeSet<VmId> = names.iter().cloned().collect();
        let table = |name: &VmId| {
            let mut others = peers.clone();
            others.remove(name);
            AllotmentTable::new(name.clone(), 0, others, Moment(0))
        };
        let mut cluster = Cluster {
            tables: names.iter().map(table).collect(),
            names,
            paused: [false; NODES],
            messages: Vec::new(),
            time: 400_000_000,
            incarnation: 0,
            revision: 0,
            staged: BTreeMap::new(),
            borrowed: 0,
        };
        cluster.restage(5);
        for node in 0..NODES {
            cluster.learn(node);
            cluster.tables[node].accept(&customer(), 1);
        }
        cluster
    }

    fn now(&self, node: usize) -> Moment {
        Moment(self.time * CLOCK_PERCENT[node] / 100)
    }

    fn restage(&mut self, first: u32) {
        self.revision += 1;
        let parts = [first, 10 - first, first / 2, 4, 6 - first / 2];
        let shares = parts.map(share).to_vec();
        self.staged.insert(self.revision, shares);
    }

    fn learn(&mut self, node: usize) {
        for (revision, shares) in &self.staged {
            self.tables[node].stage(&customer(), *revision, shares[node]);
        }
    }

    fn accept(&mut self) {
        let settled =
            |node: usize| self.tables[node].is_settled(&customer(), self.revision, self.now(node));
        if (0..NODES).all(settled) {
            for node in (0..NODES).filter(|node| !self.paused[*node]) {
                self.tables[node].accept(&customer(), self.revision);
            }
        }
    }

    fn restart(&mut self, node: usize, name: VmId) {
        self.incarnation += 1;
        let former = std::mem::replace(&mut self.names[node], name.clone());
        let mut peers: BTreeSet<VmId> = self.names.iter().cloned().collect();
        peers.remove(&name);
        let now = self.now(node);
        let mut table = AllotmentTable::new(name.clone(), self.incarnation, peers, now);
        if former != name {
            table.claim_slot(former.clone(), now);
            for (_, other) in self
                .tables
                .iter_mut()
                .enumerate()
                .filter(|(each, _)| *each != node)
            {
                other.remove_peer(&former);
                other.add_peer(name.clone());
            }
        }
        self.tables[node] = table;
        // A new process reads the first revision and all later ones.
        self.learn(node);
        self.tables[node].accept(&customer(), 1);
        self.paused[node] = false;
    }

    fn deliver(&mut self, message: Message) {
        let Some(node) = self.names.iter().position(|name| name == message.target()) else {
            return;
        };
        if self.paused[node] {
            self.messages.push(message);
            return;
        }
        let now = self.now(node);
        let table = &mut self.tables[node];
        let balance = BucketCredit::default();
        match message {
            Message::Request(request) => {
                let grant = table.grant(&request, &Allotment::default(), &balance, now);
                let reply = |grant| Message::Grant(request.id.borrower.clone(), grant);
                self.messages.extend(grant.map(reply));
            }
            Message::Grant(_, grant) => self.borrowed += usize::from(table.receive(&grant, now)),
            Message::Return(message) => table.take_back(&message),
            Message::Inquiry(_, inquiry) => {
                let report = table.report(&inquiry, now);
                self.messages.push(Message::Report(report));
            }
            Message::Report(report) => table.receive_report(&report, now),
        }
    }

    fn apply(&mut self, step: &Step) {
        // Mostly recent messages; older ones stay behind and arrive late.
        let count = self.messages.len();
        let pick = |index: usize| (count > 0).then(|| count - 1 - index % count.min(8));
        match *step {
            Step::Borrow(node, lender, amount) if node != lender && !self.paused[node] => {
                let (now, lender) = (self.now(node), self.names[lender].clone());
                let table = &mut self.tables[node];
                let request = table.request(&customer(), &lender, share(amount), DEADLINE, now);
                self.messages.push(Message::Request(request));
            }
            Step::GiveBack(node) if !self.paused[node] => {
                let now = self.now(node);
                let table = &mut self.tables[node];
                let returns = table.give_back(&customer(), &Allotment::default(), now);
                self.messages
                    .extend(returns.into_iter().map(Message::Return));
            }
            Step::Deliver(index) => {
                if let Some(index) = pick(index) {
                    let message = self.messages.swap_remove(index);
                    self.deliver(message);
                }
            }
            Step::Duplicate(index) => {
                if let Some(index) = pick(index) {
                    self.messages.push(self.messages[index].clone());
                }
            }
            Step::Lose(index) => {
                if let Some(index) = pick(index) {
                    self.messages.swap_remove(index);
                }
            }
            Step::Advance(millis) => self.time += millis * 1_000,
            Step::Pause(node) => self.paused[node] = !self.paused[node],
            Step::Restart(node) => self.restart(node, self.names[node].clone()),
            Step::Replace(node) => self.restart(node, vm(node, self.incarnation + 1)),
            Step::Inquire(node) if !self.paused[node] => {
                let (inquiry, targets) = self.tables[node].inquiry();
                let send = |target: &VmId| Message::Inquiry(target.clone(), inquiry.clone());
                self.messages.extend(targets.iter().map(send));
            }
            Step::Learn(node) if !self.paused[node] => self.learn(node),
            Step::Restage(first) => self.restage(first),
            _ => {}
        }
        self.accept();
    }

    fn usable(&self) -> Allotment {
        let share = |node: usize| {
            let now = self.now(node);
            self.tables[node].usable(&customer(), now, now)
        };
        sum((0..NODES).map(share))
    }
}

/// Guards against shares that are counted twice after lost, late or repeated
/// messages, pauses, restarts, replaced VMs and changed layouts, and against
/// shares that never return.
#[test]
fn usable_shares_never_exceed_the_contract() {
    let whole = share(20);
    let borrowed = std::cell::Cell::new(0);
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, rng)
        .run(&prop::collection::vec(step(), 1..300), |steps| {
            let mut cluster = Cluster::new();
            for (index, step) in steps.iter().enumerate() {
                cluster.apply(step);
                let usable = cluster.usable();
                prop_assert!(
                    usable.fits(&whole),
                    "{usable:?} after step {index}, {step:?}"
                );
            }
            borrowed.set(borrowed.get() + cluster.borrowed);
            cluster.paused = [false; NODES];
            let hold = AllotmentTable::restart_hold() + lender_term(DEADLINE);
            cluster.apply(&Step::Advance(2 * hold.as_millis() as u64));
            for node in 0..NODES {
                cluster.apply(&Step::Learn(node));
            }
            prop_assert_eq!(cluster.usable(), whole);
            Ok(())
        })
        .unwrap();
    assert!(borrowed.get() > 500, "only {} loans", borrowed.get());
}

/// Guards against a node that stays without its share after a restart although
/// all peers have answered, and against forgetting a loan that is still open.
#[test]
fn reports_of_all_peers_end_the_hold_after_a_restart() {
    let mut cluster = Cluster::new();
    let before = cluster.usable();
    cluster.apply(&Step::Borrow(1, 0, 2));
    cluster.apply(&Step::Deliver(0));
    cluster.apply(&Step::Deliver(0));
    assert_eq!(cluster.borrowed, 1);
    cluster.apply(&Step::Restart(0));
    assert!(cluster.tables[0].is_held(cluster.now(0)));
    cluster.apply(&Step::Inquire(0));
    while !cluster.messages.is_empty() {
        cluster.apply(&Step::Deliver(0));
    }
    assert!(!cluster.tables[0].is_held(cluster.now(0)));
    assert_eq!(cluster.usable(), before);
}

// One VM with the whole contract, and one without a share.
fn lender_and_borrower() -> (AllotmentTable, AllotmentTable) {
    let table = |name: usize, other: usize| {
        AllotmentTable::new(vm(name, 0), 1, BTreeSet::from([vm(other, 0)]), Moment(0))
    };
    let (mut lender, mut borrower) = (table(0, 1), table(1, 0));
    lender.stage(&customer(), 1, share(3));
    lender.accept(&customer(), 1);
    borrower.stage(&customer(), 1, Allotment::default());
    borrower.accept(&customer(), 1);
    (lender, borrower)
}

const NOW: Moment = Moment(400_000_000);

fn borrow(lender: &mut AllotmentTable, borrower: &mut AllotmentTable) -> LoanGrant {
    let request = borrower.request(&customer(), &vm(0, 0), share(1), DEADLINE, NOW);
    let none = (Allotment::default(), BucketCredit::default());
    lender.grant(&request, &none.0, &none.1, NOW).unwrap()
}

/// Guards against a grant that reaches the next process on the borrower's VM,
/// where the same sequence number names another loan.
#[test]
fn a_grant_to_an_earlier_incarnation_is_ignored() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    let mut restarted = AllotmentTable::new(vm(1, 0), 2, BTreeSet::new(), NOW);
    borrow(&mut lender, &mut restarted);
    assert!(!restarted.receive(&grant, NOW));
}

/// Guards against a grant that arrives after the restarted lender was told
/// that the loan does not exist.
#[test]
fn a_grant_after_a_report_is_ignored() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    let peers = BTreeSet::from([vm(1, 0)]);
    let mut restarted = AllotmentTable::new(vm(0, 0), 2, peers, NOW);
    restarted.receive_report(&borrower.report(&restarted.inquiry().0, NOW), NOW);
    assert!(!restarted.is_held(NOW));
    assert!(!borrower.receive(&grant, NOW));
}

/// Guards against a VM that uses a slot's share and also its own loan of it.
#[test]
fn a_loan_from_a_claimed_slot_ends() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    assert!(borrower.receive(&grant, NOW));
    borrower.claim_slot(vm(0, 0), NOW);
    borrower.remove_peer(&vm(0, 0));
    assert!(borrower.usable(&customer(), NOW, NOW).is_zero());
}

/// Guards against a smaller share that is reported as in force while more
/// than it is still lent.
#[test]
fn a_smaller_share_is_settled_after_its_loans() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    assert!(borrower.receive(&grant, NOW));
    lender.stage(&customer(), 2, Allotment::default());
    assert!(!lender.is_settled(&customer(), 2, NOW));
    for message in borrower.give_back(&customer(), &Allotment::default(), NOW) {
        lender.take_back(&message);
    }
    assert!(lender.is_settled(&customer(), 2, NOW));
}
