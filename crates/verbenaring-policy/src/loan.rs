//! Messages by which one entry VM lends part of its share to another, and the
//! terms of such loans.
//!
//! [`crate::allotment`] decides which loans are requested, granted and returned.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, VmId};
use crate::layout::Allotment;

/// Longest term of a loan at the borrower. Also bounds the time for which a
/// restarted lender withholds its share.
pub const MAX_LOAN_TERM: Duration = Duration::from_secs(300);
/// Added to the deadline of a contract for the term of its loans, so that a
/// request started shortly after the grant ends within the term.
pub const LOAN_SLACK: Duration = Duration::from_secs(5);
// The lender counts a loan for 5% and 1 s longer than the borrower, which covers
// clocks whose rates differ by up to 5%.
const LENDER_MARGIN: Duration = Duration::from_secs(1);
const LENDER_DRIFT_DIVISOR: u32 = 20;

/// Token bucket balance that moves from the lender to the borrower with a loan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketCredit {
    /// Balance of the request bucket, in thousandths of a request.
    pub millirequests: u64,
    /// Balance of the token bucket, in thousandths of a token.
    pub millitokens: u64,
}

impl BucketCredit {
    /// Part of the balance in the ratio of `amount` to the lender's share `own`.
    pub fn proportional_part(&self, amount: &Allotment, own: &Allotment) -> Self {
        let scaled = |balance: u64, amount: u64, own: u64| {
            (u128::from(balance) * u128::from(amount) / u128::from(own.max(1))) as u64
        };
        Self {
            millirequests: scaled(
                self.millirequests,
                amount.millirequests_per_s,
                own.millirequests_per_s,
            ),
            millitokens: scaled(
                self.millitokens,
                amount.millitokens_per_s,
                own.millitokens_per_s,
            ),
        }
    }
}

/// Identifier of a loan; a borrower never reuses one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    /// VM that borrows.
    pub borrower: VmId,
    /// Incarnation of the borrower's process, higher after each restart.
    pub incarnation: u64,
    /// Number of the loan within the incarnation.
    pub sequence: u64,
}

/// Message by which a VM asks another for a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Identifier that the borrower chose for the loan.
    pub id: LoanId,
    /// VM that is asked to lend.
    pub lender: VmId,
    /// Customer whose contract the share belongs to.
    pub customer: CustomerId,
    /// Most that the borrower can use; the lender may grant less.
    pub wanted: Allotment,
    /// Term that the borrower counts from the moment of the request.
    pub term: Duration,
}

/// Positive answer to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Identifier from the request.
    pub id: LoanId,
    /// Customer whose contract the share belongs to.
    pub customer: CustomerId,
    /// Amount deducted at the lender.
    pub amount: Allotment,
    /// Balance deducted from the lender's token buckets.
    pub credit: BucketCredit,
}

/// Early end of a loan, sent after the borrower has stopped using it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Identifier of the returned loan.
    pub id: LoanId,
    /// VM that granted it.
    pub lender: VmId,
    /// Customer whose contract the share belongs to.
    pub customer: CustomerId,
}

/// Time for which the lender deducts a loan that lasts `term` at the borrower.
pub fn lender_term(term: Duration) -> Duration {
    term + term / LENDER_DRIFT_DIVISOR + LENDER_MARGIN
}

/// Term of loans under a contract with the given request deadline.
pub fn loan_term(deadline: Duration) -> Duration {
    deadline.saturating_add(LOAN_SLACK).min(MAX_LOAN_TERM)
}

/// Asks peers for their open loans from `former`. Sent by a restarted lender,
/// or by a VM that has claimed another VM's slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanInquiry {
    /// VM that held the slot before and may have lent its share; the asker itself
    /// after a restart.
    pub former: VmId,
    /// VM that asks.
    pub asker: VmId,
    /// Incarnation of the asker's process.
    pub incarnation: u64,
}

/// Loan that is open at a borrower, as reported to the lender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenLoanReport {
    /// Identifier of the open loan.
    pub id: LoanId,
    /// Customer whose contract the share belongs to.
    pub customer: CustomerId,
    /// Amount borrowed.
    pub amount: Allotment,
    /// Time until the loan ends at the borrower.
    pub remaining: Duration,
}

/// Answer to a [`LoanInquiry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// VM that answers.
    pub borrower: VmId,
    /// VM that may have lent, from the inquiry.
    pub former: VmId,
    /// VM that asked.
    pub asker: VmId,
    /// Incarnation of the asker, from the inquiry.
    pub incarnation: u64,
    /// Loans from `former` that are open at the borrower.
    pub loans: Vec<OpenLoanReport>,
}
