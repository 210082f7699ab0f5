//! Tests of share loans under message faults, and of the share that is withheld
//! after a restart.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{customer, runner, vm};
use proptest::prelude::*;
use verbenaring_policy::allotment::AllotmentTable;
use verbenaring_policy::id::{CustomerId, VmId};
use verbenaring_policy::layout::Allotment;
use verbenaring_policy::loan::{
    BucketCredit, LoanGrant, LoanInquiry, LoanReport, LoanRequest, LoanReturn, lender_term,
};
use verbenaring_policy::time::Moment;

const DEADLINE: Duration = Duration::from_secs(20);

fn office() -> CustomerId {
    customer("office")
}

fn node_vm(node: usize, generation: u64) -> VmId {
    vm(&format!("vm-{node}-{generation}"))
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
    Grant(LoanGrant),
    Return(LoanReturn),
    Inquiry(LoanInquiry),
    Report(LoanReport),
}

/// Kind of event, node, other node or message index, amount.
type Step = (u8, usize, usize, u32);

const NODES: usize = 5;
// Clock rates differ by up to 4%, within the 5% that lenders allow for.
const CLOCK_PERCENT: [u64; NODES] = [98, 99, 100, 101, 102];

struct Nodes {
    tables: Vec<AllotmentTable>,
    names: Vec<VmId>,
    paused: [bool; NODES],
    /// Messages in transit, each with its target.
    messages: Vec<(VmId, Message)>,
    time: u64,
    incarnation: u64,
    revision: u64,
    staged: BTreeMap<u64, Vec<Allotment>>,
    borrowed: usize,
}

impl Nodes {
    fn new() -> Self {
        let names: Vec<VmId> = (0..NODES).map(|node| node_vm(node, 0)).collect();
        let peers: BTreeSet<VmId> = names.iter().cloned().collect();
        let table = |name: &VmId| {
            let mut others = peers.clone();
            others.remove(name);
            AllotmentTable::new(name.clone(), 0, others, Moment(0))
        };
        let mut nodes = Nodes {
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
        nodes.stage_new_revision(5);
        for node in 0..NODES {
            nodes.read_revisions(node);
            nodes.tables[node].accept(&office(), 1);
        }
        nodes
    }

    fn now(&self, node: usize) -> Moment {
        Moment::default() + Duration::from_micros(self.time * CLOCK_PERCENT[node] / 100)
    }

    fn stage_new_revision(&mut self, first: u32) {
        self.revision += 1;
        let parts = [first, 10 - first, first / 2, 4, 6 - first / 2];
        let shares = parts.map(share).to_vec();
        self.staged.insert(self.revision, shares);
    }

    fn read_revisions(&mut self, node: usize) {
        for (revision, shares) in &self.staged {
            self.tables[node].stage(&office(), *revision, shares[node]);
        }
    }

    fn accept(&mut self) {
        let settled =
            |node: usize| self.tables[node].is_settled(&office(), self.revision, 0, self.now(node));
        if (0..NODES).all(settled) {
            for node in (0..NODES).filter(|node| !self.paused[*node]) {
                self.tables[node].accept(&office(), self.revision);
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
            for other in &mut self.tables {
                other.remove_peer(&former);
                other.add_peer(name.clone());
            }
        }
        self.tables[node] = table;
        // A new process reads all revisions, the first one included.
        self.read_revisions(node);
        self.tables[node].accept(&office(), 1);
        self.paused[node] = false;
    }

    fn borrow(&mut self, node: usize, lender: usize, amount: u32) {
        let (now, lender) = (self.now(node), self.names[lender].clone());
        let request = self.tables[node].request(&office(), &lender, share(amount), DEADLINE, now);
        self.messages.push((lender, Message::Request(request)));
    }

    fn return_unused(&mut self, node: usize) {
        let (now, unused) = (self.now(node), Allotment::default());
        let returns = self.tables[node].return_unused(&office(), &unused, now);
        let send = |message: LoanReturn| (message.lender.clone(), Message::Return(message));
        self.messages.extend(returns.into_iter().map(send));
    }

    fn inquire(&mut self, node: usize) {
        let (inquiry, targets) = self.tables[node].inquiry();
        let send = |target: &VmId| (target.clone(), Message::Inquiry(inquiry.clone()));
        self.messages.extend(targets.iter().map(send));
    }

    /// Delivers a message. Messages to a paused node stay in transit; those to a
    /// replaced VM are lost.
    fn deliver(&mut self, index: usize) {
        let (target, message) = self.messages.swap_remove(index);
        let Some(node) = self.names.iter().position(|name| *name == target) else {
            return;
        };
        if self.paused[node] {
            return self.messages.push((target, message));
        }
        let (now, nothing) = (
            self.now(node),
            (Allotment::default(), BucketCredit::default()),
        );
        let table = &mut self.tables[node];
        let reply = match message {
            Message::Request(request) => table
                .grant(&request, &nothing.0, &nothing.1, now)
                .map(|grant| (request.id.borrower, Message::Grant(grant))),
            Message::Inquiry(inquiry) => {
                let report = table.report_loans(&inquiry, now);
                Some((inquiry.asker, Message::Report(report)))
            }
            Message::Grant(grant) => {
                self.borrowed += usize::from(table.receive_grant(&grant, now));
                None
            }
            Message::Return(message) => {
                table.receive_return(&message);
                None
            }
            Message::Report(report) => {
                table.receive_report(&report, now);
                None
            }
        };
        self.messages.extend(reply);
    }

    fn apply(&mut self, (kind, node, other, amount): Step) {
        // Picks one of the last eight messages, so that older ones arrive late.
        let count = self.messages.len();
        let recent = count.saturating_sub(1 + other % count.clamp(1, 8));
        let is_running = !self.paused[node];
        match kind {
            0..=7 if is_running && node != other % NODES => {
                self.borrow(node, other % NODES, amount)
            }
            8..=10 if is_running => self.return_unused(node),
            11..=34 if count > 0 => self.deliver(recent),
            35..=37 if count > 0 => self.messages.push(self.messages[recent].clone()),
            38..=40 if count > 0 => _ = self.messages.swap_remove(recent),
            41..=48 => self.time += u64::from(amount) * 2_500_000,
            49 => self.time += u64::from(amount) * 70_000_000,
            50..=51 => self.paused[node] = is_running,
            52 => self.restart(node, self.names[node].clone()),
            53 => self.restart(node, node_vm(node, self.incarnation + 1)),
            54..=55 if is_running => self.inquire(node),
            56..=60 if is_running => self.read_revisions(node),
            61 => self.stage_new_revision(other as u32 % 11),
            _ => {}
        }
        self.accept();
    }

    fn usable(&self) -> Allotment {
        let share = |node: usize| {
            let now = self.now(node);
            self.tables[node].usable(&office(), now, now)
        };
        sum((0..NODES).map(share))
    }
}

/// Guards against shares that two nodes use at once after lost, late or repeated
/// messages, pauses, restarts, replaced VMs and changed layouts, and against
/// shares that no node can use again afterwards.
#[test]
fn usable_shares_never_exceed_the_contract() {
    let whole = share(20);
    let borrowed = std::cell::Cell::new(0);
    let step = (0u8..62, 0..NODES, 0usize..64, 1u32..6);
    runner(41)
        .run(&prop::collection::vec(step, 100..400), |steps| {
            let mut nodes = Nodes::new();
            for (index, step) in steps.into_iter().enumerate() {
                nodes.apply(step);
                let usable = nodes.usable();
                prop_assert!(
                    usable.fits_within(&whole),
                    "{usable:?} after step {index}, {step:?}"
                );
            }
            borrowed.set(borrowed.get() + nodes.borrowed);
            nodes.paused = [false; NODES];
            let hold = AllotmentTable::restart_hold() + lender_term(DEADLINE);
            nodes.time += 2 * hold.as_micros() as u64;
            (0..NODES).for_each(|node| nodes.read_revisions(node));
            nodes.accept();
            prop_assert_eq!(nodes.usable(), whole);
            Ok(())
        })
        .unwrap();
    assert!(borrowed.get() > 500, "only {} loans", borrowed.get());
}

/// Guards against a restarted node that stays without its share although all
/// peers have answered, or that ignores a loan which is still open.
#[test]
fn share_is_usable_after_all_peers_have_reported() {
    let mut nodes = Nodes::new();
    let before = nodes.usable();
    nodes.borrow(1, 0, 2);
    nodes.deliver(0);
    nodes.deliver(0);
    assert_eq!(nodes.borrowed, 1);
    nodes.restart(0, node_vm(0, 0));
    assert!(nodes.tables[0].is_held(nodes.now(0)));
    nodes.inquire(0);
    while !nodes.messages.is_empty() {
        nodes.deliver(0);
    }
    assert!(!nodes.tables[0].is_held(nodes.now(0)));
    assert_eq!(nodes.usable(), before);
}

/// A VM that holds the whole contract, and one without a share.
fn lender_and_borrower() -> (AllotmentTable, AllotmentTable) {
    let table = |name: usize, other: usize| {
        AllotmentTable::new(
            node_vm(name, 0),
            1,
            BTreeSet::from([node_vm(other, 0)]),
            Moment(0),
        )
    };
    let (mut lender, mut borrower) = (table(0, 1), table(1, 0));
    lender.stage(&office(), 1, share(3));
    lender.accept(&office(), 1);
    borrower.stage(&office(), 1, Allotment::default());
    borrower.accept(&office(), 1);
    (lender, borrower)
}

const NOW: Moment = Moment(400_000_000);

fn borrow(lender: &mut AllotmentTable, borrower: &mut AllotmentTable) -> LoanGrant {
    let request = borrower.request(&office(), &node_vm(0, 0), share(1), DEADLINE, NOW);
    let none = (Allotment::default(), BucketCredit::default());
    lender.grant(&request, &none.0, &none.1, NOW).unwrap()
}

/// Guards against a grant that arrives after the borrower restarted: the new
/// process uses the same sequence number for another loan.
#[test]
fn a_grant_to_an_earlier_incarnation_is_ignored() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    let mut restarted = AllotmentTable::new(node_vm(1, 0), 2, BTreeSet::new(), NOW);
    borrow(&mut lender, &mut restarted);
    assert!(!restarted.receive_grant(&grant, NOW));
}

/// Guards against a borrower that accepts a grant after it has reported to the
/// restarted lender that there is no such loan.
#[test]
fn a_grant_after_a_report_is_ignored() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    let peers = BTreeSet::from([node_vm(1, 0)]);
    let mut restarted = AllotmentTable::new(node_vm(0, 0), 2, peers, NOW);
    restarted.receive_report(&borrower.report_loans(&restarted.inquiry().0, NOW), NOW);
    assert!(!restarted.is_held(NOW));
    assert!(!borrower.receive_grant(&grant, NOW));
}

/// Guards against a VM that claims a slot and uses both the slot's share and a
/// loan that it took from it earlier.
#[test]
fn claiming_a_slot_ends_loans_from_it() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    assert!(borrower.receive_grant(&grant, NOW));
    borrower.claim_slot(node_vm(0, 0), NOW);
    borrower.remove_peer(&node_vm(0, 0));
    assert!(borrower.usable(&office(), NOW, NOW).is_zero());
}

/// Guards against reporting a smaller share as in force while more than this
/// share is still lent or in use.
#[test]
fn a_smaller_share_is_settled_after_its_loans() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let grant = borrow(&mut lender, &mut borrower);
    assert!(borrower.receive_grant(&grant, NOW));
    lender.stage(&office(), 2, Allotment::default());
    assert!(!lender.is_settled(&office(), 2, 0, NOW));
    for message in borrower.return_unused(&office(), &Allotment::default(), NOW) {
        lender.receive_return(&message);
    }
    assert!(!lender.is_settled(&office(), 2, 1, NOW));
    assert!(lender.is_settled(&office(), 2, 0, NOW));
}

/// Guards against loans from a VM that may have lost its slot, and against loans
/// to a VM that the lender would not ask about open loans after a restart.
#[test]
fn a_suspended_lender_and_an_unknown_borrower_get_no_loan() {
    let (mut lender, mut borrower) = lender_and_borrower();
    let request = borrower.request(&office(), &node_vm(0, 0), share(1), DEADLINE, NOW);
    let none = (Allotment::default(), BucketCredit::default());
    lender.suspend();
    assert_eq!(lender.grant(&request, &none.0, &none.1, NOW), None);
    lender.resume();
    lender.remove_peer(&node_vm(1, 0));
    assert_eq!(lender.grant(&request, &none.0, &none.1, NOW), None);
    lender.add_peer(node_vm(1, 0));
    assert!(lender.grant(&request, &none.0, &none.1, NOW).is_some());
}
