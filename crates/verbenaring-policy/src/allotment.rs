//! Shares of contracts at one node, and loans of unused shares between nodes.
//!
//! The sum of usable shares never exceeds the contract. Each rule below covers
//! one way in which it could:
//!
//! - The lender deducts before it answers. The borrower counts the term from
//!   the moment it sent its request, the lender from the later moment of the
//!   grant and with a margin, so the loan ends earlier at the borrower.
//! - A restarted node cannot know what it had lent. Its own share is held back
//!   until every VM that may have borrowed has reported its open loans, or
//!   until all loans must have ended.
//! - A changed split is used as the minimum of the old and the new share until
//!   every node has applied it.
//! - A loan carries bucket balance that was taken from the lender, so that
//!   repeated loans cannot create bursts.
//!
//! After a restart the own share, less open loans, is usable after one round
//! trip to all peers, and after [`AllotmentTable::restart_hold`] (316 s) if a
//! peer does not answer. A lost node's share returns after the suspicion time,
//! the lag of the list of VMs, [`RECLAIM_HOLD`](crate::layout::RECLAIM_HOLD) and
//! the same hold at the VM that claims the slot. A loan that is not returned
//! ends at the lender after [`lender_term`]. Requests of a crashed process are
//! not counted: they end when the engine notices the closed connection.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::contract::Revision;
use crate::id::{CustomerId, VmId};
use crate::layout::Allotment;
use crate::loan::{
    BucketCredit, LoanGrant, LoanId, LoanInquiry, LoanReport, LoanRequest, LoanReturn,
    MAX_LOAN_TERM, OpenLoanReport, lender_term, loan_term,
};
use crate::time::Moment;

#[derive(Debug)]
struct PendingLoan {
    lender: VmId,
    wanted: Allotment,
    until: Moment,
}

#[derive(Debug)]
struct OpenLoan {
    amount: Allotment,
    until: Moment,
    lender: VmId,
}

#[derive(Debug, Default)]
struct ContractShare {
    accepted: Option<(Revision, Allotment)>,
    staged: BTreeMap<Revision, Allotment>,
    lent: HashMap<LoanId, (LoanGrant, Moment)>,
    pending: BTreeMap<u64, PendingLoan>,
    borrowed: BTreeMap<u64, OpenLoan>,
}

impl ContractShare {
    fn base(&self) -> Allotment {
        let Some((_, accepted)) = self.accepted else {
            return Allotment::default();
        };
        self.staged
            .values()
            .fold(accepted, |least, staged| least.min(staged))
    }

    fn lent(&self, now: Moment) -> Allotment {
        self.lent
            .values()
            .filter(|(_, until)| now < *until)
            .fold(Allotment::default(), |sum, (grant, _)| {
                sum.plus(&grant.amount)
            })
    }

    fn borrowed(&self, through: Moment) -> Allotment {
        self.borrowed
            .values()
            .filter(|loan| through < loan.until)
            .fold(Allotment::default(), |sum, loan| sum.plus(&loan.amount))
    }

    fn drop_ended(&mut self, now: Moment) {
        self.lent.retain(|_, (_, until)| now < *until);
        self.pending.retain(|_, loan| now < loan.until);
        self.borrowed.retain(|_, loan| now < loan.until);
    }
}

/// Shares of all contracts at one node.
#[derive(Debug)]
pub struct AllotmentTable {
    vm: VmId,
    incarnation: u64,
    peers: BTreeSet<VmId>,
    former: VmId,
    unreported: BTreeSet<VmId>,
    held_until: Moment,
    suspended: bool,
    next_sequence: u64,
    shares: HashMap<CustomerId, ContractShare>,
}

impl AllotmentTable {
    /// Table of a process that started at `now`. `incarnation` is higher than
    /// that of any earlier process on this VM. `peers` are all VMs that may
    /// have borrowed from an earlier process.
    pub fn new(vm: VmId, incarnation: u64, peers: BTreeSet<VmId>, now: Moment) -> Self {
        Self {
            held_until: now + Self::restart_hold(),
            former: vm.clone(),
            unreported: peers.clone(),
            vm,
            incarnation,
            peers,
            suspended: false,
            next_sequence: 0,
            shares: HashMap::new(),
        }
    }

    /// Time after which no loan of an earlier process or slot holder is open.
    pub fn restart_hold() -> Duration {
        lender_term(MAX_LOAN_TERM)
    }

    /// Starts use of the slot of `former`, whose loans are not known here.
    ///
    /// Loans that this node has from `former` end, as it now owns that share.
    pub fn claim_slot(&mut self, former: VmId, now: Moment) {
        for share in self.shares.values_mut() {
            share.pending.retain(|_, loan| loan.lender != former);
            share.borrowed.retain(|_, loan| loan.lender != former);
        }
        self.former = former;
        self.unreported = self.peers.clone();
        self.held_until = now + Self::restart_hold();
    }

    /// Adds a VM that may borrow.
    pub fn add_peer(&mut self, peer: VmId) {
        self.peers.insert(peer);
    }

    /// Removes a VM that is confirmed gone.
    pub fn remove_peer(&mut self, peer: &VmId) {
        self.peers.remove(peer);
        self.unreported.remove(peer);
    }

    /// Whether the own share is held back.
    pub fn is_held(&self, now: Moment) -> bool {
        self.suspended || (!self.unreported.is_empty() && now < self.held_until)
    }

    /// Question to send to all peers that have not answered it.
    pub fn inquiry(&self) -> (LoanInquiry, &BTreeSet<VmId>) {
        let inquiry = LoanInquiry {
            former: self.former.clone(),
            asker: self.vm.clone(),
            incarnation: self.incarnation,
        };
        (inquiry, &self.unreported)
    }

    /// Reports open loans and gives up requests that may still be granted.
    pub fn report_loans(&mut self, inquiry: &LoanInquiry, now: Moment) -> LoanReport {
        let mut loans = Vec::new();
        for (customer, share) in &mut self.shares {
            share.drop_ended(now);
            share
                .pending
                .retain(|_, loan| loan.lender != inquiry.former);
            let lent_here = share
                .borrowed
                .iter_mut()
                .filter(|(_, loan)| loan.lender == inquiry.former);
            for (sequence, loan) in lent_here {
                loan.lender = inquiry.asker.clone();
                loans.push(OpenLoanReport {
                    id: LoanId {
                        borrower: self.vm.clone(),
                        incarnation: self.incarnation,
                        sequence: *sequence,
                    },
                    customer: customer.clone(),
                    amount: loan.amount,
                    remaining: loan.until.since(now),
                });
            }
        }
        LoanReport {
            borrower: self.vm.clone(),
            former: inquiry.former.clone(),
            asker: inquiry.asker.clone(),
            incarnation: inquiry.incarnation,
            loans,
        }
    }

    /// Deducts reported loans; the last report ends the hold.
    pub fn receive_report(&mut self, report: &LoanReport, now: Moment) {
        let is_expected = report.asker == self.vm
            && report.incarnation == self.incarnation
            && report.former == self.former;
        if !is_expected {
            return;
        }
        if !self.unreported.remove(&report.borrower) {
            return;
        }
        for loan in &report.loans {
            let share = self.shares.entry(loan.customer.clone()).or_default();
            let grant = LoanGrant {
                id: loan.id.clone(),
                customer: loan.customer.clone(),
                amount: loan.amount,
                credit: BucketCredit::default(),
            };
            let until = now + lender_term(loan.remaining);
            share.lent.insert(loan.id.clone(), (grant, until));
        }
    }

    /// Adds the share under a newer contract or layout revision. Until
    /// [`accept`](Self::accept) the minimum of it and earlier shares is used.
    pub fn stage(&mut self, customer: &CustomerId, revision: Revision, share: Allotment) {
        let entry = self.shares.entry(customer.clone()).or_default();
        let newer = entry.accepted.is_none_or(|(current, _)| revision > current);
        if newer {
            entry.staged.insert(revision, share);
        }
    }

    /// Whether this node cannot exceed its staged share, with its loans and its
    /// requests in flight. Only then it may report the revision as in force.
    pub fn is_settled(
        &self,
        customer: &CustomerId,
        revision: Revision,
        in_flight: u32,
        now: Moment,
    ) -> bool {
        let Some(share) = self.shares.get(customer) else {
            return false;
        };
        let applied = share.staged.contains_key(&revision)
            || share
                .accepted
                .is_some_and(|(current, _)| current >= revision);
        let mut taken = share.lent(now);
        let own_requests = in_flight.saturating_sub(share.borrowed(now).concurrent);
        taken.concurrent = taken.concurrent.saturating_add(own_requests);
        applied && !self.is_held(now) && taken.fits(&share.base())
    }

    /// Puts a staged revision fully in force, once every node has settled it
    /// or if it is the first revision of the contract.
    pub fn accept(&mut self, customer: &CustomerId, revision: Revision) {
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        if let Some(staged) = share.staged.remove(&revision) {
            share.accepted = Some((revision, staged));
            share.staged = share.staged.split_off(&revision);
        }
    }

    /// Removes a contract that has ended. Open loans stay recorded, because the
    /// customer may receive a new contract before they end.
    pub fn remove(&mut self, customer: &CustomerId, now: Moment) {
        let Some(share) = self.shares.get_mut(customer) else {
            return;
        };
        share.accepted = None;
        share.staged.clear();
        share.drop_ended(now);
        if share.lent.is_empty() && share.borrowed.is_empty() {
            self.shares.remove(customer);
        }
    }

    /// Stops use of the own share after a pause, until the slot claim is read
    /// again: another VM may have claimed the slot.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Ends a suspension after the slot claim was found unchanged.
    pub fn resume(&mut self) {
        self.suspended = false;
    }

    /// Own share without what is lent.
    pub fn unlent_share(&self, customer: &CustomerId, now: Moment) -> Allotment {
        if self.is_held(now) {
            return Allotment::default();
        }
        self.shares
            .get(customer)
            .map_or_else(Allotment::default, |share| {
                share.base().minus(&share.lent(now))
            })
    }

    /// Share that is usable at `now` and stays so through `through`.
    pub fn usable(&self, customer: &CustomerId, now: Moment, through: Moment) -> Allotment {
        let borrowed = self
            .shares
            .get(customer)
            .map_or_else(Allotment::default, |share| share.borrowed(through.max(now)));
        self.unlent_share(customer, now).plus(&borrowed)
    }

    /// Asks `lender` for a loan.
    pub fn request(
        &mut self,
        customer: &CustomerId,
        lender: &VmId,
        wanted: Allotment,
        deadline: Duration,
        now: Moment,
    ) -> LoanRequest {
        let term = loan_term(deadline);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let share = self.shares.entry(customer.clone()).or_default();
        share.drop_ended(now);
        let loan = PendingLoan {
            lender: lender.clone(),
            wanted,
            until: now + term,
        };
        share.pending.insert(sequence, loan);
        LoanRequest {
            id: LoanId {
                borrower: self.vm.clone(),
                incarnation: self.incarnation,
                sequence,
            },
            lender: lender.clone(),
            customer: customer.clone(),
            wanted,
            term,
        }
    }

    /// Deducts and grants what is asked for, up to the own share not in use.
    ///
    /// `balance` is the content of the lender's buckets. The caller takes the
    /// credit of the grant from them, also for a repeated request.
    pub fn grant(
        &mut self,
        request: &LoanRequest,
        in_use: &Allotment,
        balance: &BucketCredit,
        now: Moment,
    ) -> Option<LoanGrant> {
        let may_borrow = self.peers.contains(&request.id.borrower);
        if request.lender != self.vm || !may_borrow || request.term > MAX_LOAN_TERM {
            return None;
        }
        let own = self.unlent_share(&request.customer, now);
        let idle = own.minus(in_use);
        let share = self.shares.get_mut(&request.customer)?;
        share.drop_ended(now);
        let grant = match share.lent.get(&request.id) {
            Some((grant, _)) => grant.clone(),
            None => {
                let amount = request.wanted.min(&idle);
                LoanGrant {
                    id: request.id.clone(),
                    customer: request.customer.clone(),
                    amount,
                    credit: balance.part(&amount, &own),
                }
            }
        };
        if grant.amount.is_zero() {
            return None;
        }
        let until = now + lender_term(request.term);
        share
            .lent
            .insert(request.id.clone(), (grant.clone(), until));
        Some(grant)
    }

    /// Credits a grant; returns whether it was still expected. Only then the
    /// caller adds its credit to the own buckets.
    pub fn receive_grant(&mut self, grant: &LoanGrant, now: Moment) -> bool {
        if grant.id.borrower != self.vm || grant.id.incarnation != self.incarnation {
            return false;
        }
        let Some(share) = self.shares.get_mut(&grant.customer) else {
            return false;
        };
        let Some(loan) = share.pending.remove(&grant.id.sequence) else {
            return false;
        };
        if now >= loan.until || !grant.amount.fits(&loan.wanted) {
            return false;
        }
        let open = OpenLoan {
            amount: grant.amount,
            until: loan.until,
            lender: loan.lender,
        };
        share.borrowed.insert(grant.id.sequence, open);
        true
    }

    /// Ends every loan without which the share still covers `in_use`.
    pub fn return_unused(
        &mut self,
        customer: &CustomerId,
        in_use: &Allotment,
        now: Moment,
    ) -> Vec<LoanReturn> {
        let mut spare = self.usable(customer, now, now).minus(in_use);
        let Some(share) = self.shares.get_mut(customer) else {
            return Vec::new();
        };
        share.drop_ended(now);
        let mut returns = Vec::new();
        share.borrowed.retain(|sequence, loan| {
            if !loan.amount.fits(&spare) {
                return true;
            }
            spare = spare.minus(&loan.amount);
            returns.push(LoanReturn {
                id: LoanId {
                    borrower: self.vm.clone(),
                    incarnation: self.incarnation,
                    sequence: *sequence,
                },
                lender: loan.lender.clone(),
                customer: customer.clone(),
            });
            false
        });
        returns
    }

    /// Credits a loan that the borrower has returned.
    pub fn receive_return(&mut self, message: &LoanReturn) {
        if message.lender != self.vm {
            return;
        }
        if let Some(share) = self.shares.get_mut(&message.customer) {
            share.lent.remove(&message.id);
        }
    }
}
