//! A node's shares of the contract limits, and loans of unused shares between
//! nodes.
//!
//! The shares that all nodes may use never add up to more than the contract.
//! The following rules keep this true under lost messages, restarts and
//! changed layouts:
//!
//! - The lender deducts a loan before it answers. The borrower counts the term
//!   from the moment it sent its request, the lender from the later moment of
//!   the grant and with a margin, so the loan ends earlier at the borrower.
//! - A restarted node does not know what it had lent. Its own share is withheld
//!   until every VM that may have borrowed has reported its open loans, or
//!   until all loans must have ended.
//! - When the split of a contract changes, a node uses the minimum of the old
//!   and the new share until every node has applied the change.
//! - A loan transfers token bucket balance from the lender to the borrower, so
//!   that repeated loans cannot create bursts.
//!
//! After a restart, a node can use its own share, less open loans, as soon as
//! all peers have answered (one round trip), or after
//! [`AllotmentTable::restart_hold`] (316 s) if one of them does not. The share
//! of a failed node becomes usable again after the failure detector's suspicion
//! time, the lag of the platform's list of VMs,
//! [`RECLAIM_DELAY`](crate::layout::RECLAIM_DELAY) and the restart hold at the
//! VM that claims the slot. A loan that is not returned ends at the lender after
//! [`lender_term`]. Requests of a crashed process are not counted: they end
//! when the engine notices the closed connection.

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

/// Loan that was requested from a lender and not yet granted.
#[derive(Debug)]
struct PendingLoan {
    lender: VmId,
    wanted: Allotment,
    until: Moment,
}

/// Loan that this node received and has not returned.
#[derive(Debug)]
struct OpenLoan {
    amount: Allotment,
    until: Moment,
    lender: VmId,
}

/// Share of one contract at this node, with its loans in both directions.
#[derive(Debug, Default)]
struct ContractShare {
    accepted: Option<(Revision, Allotment)>,
    staged: BTreeMap<Revision, Allotment>,
    /// Loans granted to peers, with the moment at which each ends here.
    lent: HashMap<LoanId, (LoanGrant, Moment)>,
    // `pending` and `borrowed` are keyed by the sequence number of the loan.
    pending: BTreeMap<u64, PendingLoan>,
    borrowed: BTreeMap<u64, OpenLoan>,
}

impl ContractShare {
    /// Minimum of the accepted and all staged shares.
    fn effective_share(&self) -> Allotment {
        let Some((_, accepted)) = self.accepted else {
            return Allotment::default();
        };
        self.staged
            .values()
            .fold(accepted, |minimum, staged| minimum.min(staged))
    }

    fn lent_total(&self, now: Moment) -> Allotment {
        self.lent
            .values()
            .filter(|(_, until)| now < *until)
            .fold(Allotment::default(), |sum, (grant, _)| {
                sum.plus(&grant.amount)
            })
    }

    /// Sum of the borrowed loans that are still open at `end`.
    fn borrowed_total(&self, end: Moment) -> Allotment {
        self.borrowed
            .values()
            .filter(|loan| end < loan.until)
            .fold(Allotment::default(), |sum, loan| sum.plus(&loan.amount))
    }

    fn remove_expired(&mut self, now: Moment) {
        self.lent.retain(|_, (_, until)| now < *until);
        self.pending.retain(|_, loan| now < loan.until);
        self.borrowed.retain(|_, loan| now < loan.until);
    }
}

/// Shares of all contracts at one node, and the loans that it gave and took.
#[derive(Debug)]
pub struct AllotmentTable {
    vm: VmId,
    incarnation: u64,
    peers: BTreeSet<VmId>,
    /// VM that held the slot before and may have lent its share; this VM itself
    /// after a restart.
    former_holder: VmId,
    /// Peers that have not yet reported their loans from `former_holder`.
    unreported_peers: BTreeSet<VmId>,
    held_until: Moment,
    suspended: bool,
    next_sequence: u64,
    shares: HashMap<CustomerId, ContractShare>,
}

impl AllotmentTable {
    /// Creates the table of a process that started at `now`.
    ///
    /// `incarnation` must be higher than that of any earlier process on this
    /// VM. `peers` are all VMs that may have borrowed from an earlier process.
    pub fn new(vm: VmId, incarnation: u64, peers: BTreeSet<VmId>, now: Moment) -> Self {
        Self {
            held_until: now + Self::restart_hold(),
            former_holder: vm.clone(),
            unreported_peers: peers.clone(),
            vm,
            incarnation,
            peers,
            suspended: false,
            next_sequence: 0,
            shares: HashMap::new(),
        }
    }

    /// Time for which the own share is withheld after a restart or a slot claim
    /// if not all peers report; by then every earlier loan has ended.
    pub fn restart_hold() -> Duration {
        lender_term(MAX_LOAN_TERM)
    }

    /// Takes over the slot of `former_holder`, whose loans are not known here.
    ///
    /// The own share is withheld until they are. Loans that this node has from
    /// `former_holder` end, because it now owns the share that they came from.
    pub fn claim_slot(&mut self, former_holder: VmId, now: Moment) {
        for share in self.shares.values_mut() {
            share.pending.retain(|_, loan| loan.lender != former_holder);
            share
                .borrowed
                .retain(|_, loan| loan.lender != former_holder);
        }
        self.former_holder = former_holder;
        self.unreported_peers = self.peers.clone();
        self.held_until = now + Self::restart_hold();
    }

    /// Adds a VM that may borrow from this node.
    pub fn add_peer(&mut self, peer: VmId) {
        self.peers.insert(peer);
    }

    /// Removes a VM that is confirmed to be gone; no report of it is awaited any
    /// more.
    pub fn remove_peer(&mut self, peer: &VmId) {
        self.peers.remove(peer);
        self.unreported_peers.remove(peer);
    }

    /// Whether the own share is withheld: while suspended, or after a restart or
    /// slot claim until all peers have reported or the hold has run out.
    pub fn is_held(&self, now: Moment) -> bool {
        self.suspended || (!self.unreported_peers.is_empty() && now < self.held_until)
    }

    /// Inquiry about open loans, and the peers that have not answered it.
    pub fn inquiry(&self) -> (LoanInquiry, &BTreeSet<VmId>) {
        let inquiry = LoanInquiry {
            former: self.former_holder.clone(),
            asker: self.vm.clone(),
            incarnation: self.incarnation,
        };
        (inquiry, &self.unreported_peers)
    }

    /// Reports the open loans from the VM in the inquiry.
    ///
    /// Cancels pending requests to that VM, because a later grant would be
    /// missing in the report. The asker becomes the lender of the open loans.
    pub fn report_loans(&mut self, inquiry: &LoanInquiry, now: Moment) -> LoanReport {
        let mut loans = Vec::new();
        for (customer, share) in &mut self.shares {
            share.remove_expired(now);
            share
                .pending
                .retain(|_, loan| loan.lender != inquiry.former);
            let open_loans = share
                .borrowed
                .iter_mut()
                .filter(|(_, loan)| loan.lender == inquiry.former);
            for (sequence, loan) in open_loans {
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

    /// Deducts the reported loans from the own share.
    ///
    /// The hold ends with the report of the last peer. Reports that repeat or
    /// answer another inquiry are ignored.
    pub fn receive_report(&mut self, report: &LoanReport, now: Moment) {
        let is_expected = report.asker == self.vm
            && report.incarnation == self.incarnation
            && report.former == self.former_holder;
        if !is_expected {
            return;
        }
        if !self.unreported_peers.remove(&report.borrower) {
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

    /// Adds the share under a newer revision of the contract or layout.
    ///
    /// Until [`accept`](Self::accept) is called for the revision, the minimum of
    /// this share and the earlier ones is used. Older revisions are ignored.
    pub fn stage(&mut self, customer: &CustomerId, revision: Revision, share: Allotment) {
        let entry = self.shares.entry(customer.clone()).or_default();
        let is_newer = entry.accepted.is_none_or(|(current, _)| revision > current);
        if is_newer {
            entry.staged.insert(revision, share);
        }
    }

    /// Whether this node has applied `revision` and its loans and requests in
    /// flight fit into the share in use, which is the minimum of all revisions.
    ///
    /// The node may report the revision as in force only if this is true.
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
        let is_applied = share.staged.contains_key(&revision)
            || share
                .accepted
                .is_some_and(|(current, _)| current >= revision);
        let mut used = share.lent_total(now);
        let own_requests = in_flight.saturating_sub(share.borrowed_total(now).concurrent);
        used.concurrent = used.concurrent.saturating_add(own_requests);
        is_applied && !self.is_held(now) && used.fits_within(&share.effective_share())
    }

    /// Replaces the current share by the one staged for `revision`.
    ///
    /// Call it when [`is_settled`](Self::is_settled) holds at every node, or if
    /// this is the first revision of the contract.
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
        share.remove_expired(now);
        if share.lent.is_empty() && share.borrowed.is_empty() {
            self.shares.remove(customer);
        }
    }

    /// Withholds the own share after a pause of the process, until the slot
    /// claim has been read again: another VM may have claimed the slot.
    pub fn suspend(&mut self) {
        self.suspended = true;
    }

    /// Ends the suspension after the slot claim was found unchanged.
    pub fn resume(&mut self) {
        self.suspended = false;
    }

    /// Own share less open loans to peers; zero while it is withheld.
    pub fn unlent_share(&self, customer: &CustomerId, now: Moment) -> Allotment {
        if self.is_held(now) {
            return Allotment::default();
        }
        self.shares
            .get(customer)
            .map_or_else(Allotment::default, |share| {
                share.effective_share().minus(&share.lent_total(now))
            })
    }

    /// Own share less open loans to peers, plus the borrowed loans that do not
    /// end between `now` and `end`.
    pub fn usable(&self, customer: &CustomerId, now: Moment, end: Moment) -> Allotment {
        let borrowed = self
            .shares
            .get(customer)
            .map_or_else(Allotment::default, |share| {
                share.borrowed_total(end.max(now))
            });
        self.unlent_share(customer, now).plus(&borrowed)
    }

    /// Records a pending loan and returns the request to send to `lender`.
    ///
    /// `deadline` is that of the contract and sets the term of the loan.
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
        share.remove_expired(now);
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

    /// Deducts and grants the requested amount, up to the unused own share.
    ///
    /// `balance` is what the lender's token buckets contain. The caller must
    /// deduct the credit of the grant from them, also for a repeated request,
    /// which returns the same grant. Returns `None` if nothing is granted.
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
        share.remove_expired(now);
        let grant = match share.lent.get(&request.id) {
            Some((grant, _)) => grant.clone(),
            None => {
                let amount = request.wanted.min(&idle);
                LoanGrant {
                    id: request.id.clone(),
                    customer: request.customer.clone(),
                    amount,
                    credit: balance.proportional_part(&amount, &own),
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

    /// Adds a granted loan and returns whether it was still expected.
    ///
    /// Only then may the caller add the credit of the grant to its own buckets.
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
        if now >= loan.until || !grant.amount.fits_within(&loan.wanted) {
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

    /// Ends borrowed loans as long as the rest of the share covers `in_use`, and
    /// returns the messages for their lenders.
    pub fn return_unused(
        &mut self,
        customer: &CustomerId,
        in_use: &Allotment,
        now: Moment,
    ) -> Vec<LoanReturn> {
        let mut unused = self.usable(customer, now, now).minus(in_use);
        let Some(share) = self.shares.get_mut(customer) else {
            return Vec::new();
        };
        share.remove_expired(now);
        let mut returns = Vec::new();
        share.borrowed.retain(|sequence, loan| {
            if !loan.amount.fits_within(&unused) {
                return true;
            }
            unused = unused.minus(&loan.amount);
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

    /// Ends a loan that the borrower has returned.
    pub fn receive_return(&mut self, message: &LoanReturn) {
        if message.lender != self.vm {
            return;
        }
        if let Some(share) = self.shares.get_mut(&message.customer) {
            share.lent.remove(&message.id);
        }
    }
}
