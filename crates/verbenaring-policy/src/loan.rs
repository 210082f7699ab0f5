//! Messages of a loan between two entry VMs, and its terms.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, VmId};
use crate::layout::Allotment;

/// Longest term of a loan at the borrower; also bounds the restart hold.
pub const MAX_LOAN_TERM: Duration = Duration::from_secs(300);
/// Added to the deadline of a contract for the term of its loans, so that a
/// request started shortly after the grant ends within the term.
pub const LOAN_SLACK: Duration = Duration::from_secs(5);
// The lender waits 5% and 1 s longer than the borrower, which covers clocks
// that differ in rate by up to 5%.
const LENDER_MARGIN: Duration = Duration::from_secs(1);
const LENDER_DRIFT_DIVISOR: u32 = 20;

/// Bucket balance that moves with a loan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BucketCredit {
    /// Thousandths of a request.
    pub millirequests: u64,
    /// Thousandths of a token.
    pub millitokens: u64,
}

impl BucketCredit {
    /// Part of the balance that belongs to `amount` out of `own`.
    pub fn part(&self, amount: &Allotment, own: &Allotment) -> Self {
        let part = |balance: u64, amount: u64, own: u64| {
            (u128::from(balance) * u128::from(amount) / u128::from(own.max(1))) as u64
        };
        Self {
            millirequests: part(
                self.millirequests,
                amount.millirequests_per_s,
                own.millirequests_per_s,
            ),
            millitokens: part(
                self.millitokens,
                amount.millitokens_per_s,
                own.millitokens_per_s,
            ),
        }
    }
}

/// Identifies a loan; a borrower uses each once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LoanId {
    /// VM that borrows.
    pub borrower: VmId,
    /// Incarnation of the borrower.
    pub incarnation: u64,
    /// Number within the incarnation.
    pub sequence: u64,
}

/// Request for a loan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Loan asked for.
    pub id: LoanId,
    /// VM asked.
    pub lender: VmId,
    /// Contract.
    pub customer: CustomerId,
    /// Largest useful amount.
    pub wanted: Allotment,
    /// Term from the moment of the request.
    pub term: Duration,
}

/// Positive answer to a [`LoanRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanGrant {
    /// Loan granted.
    pub id: LoanId,
    /// Contract.
    pub customer: CustomerId,
    /// Amount deducted at the lender.
    pub amount: Allotment,
    /// Balance taken from the lender's buckets.
    pub credit: BucketCredit,
}

/// Early end of a loan, sent after the borrower has stopped using it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReturn {
    /// Loan returned.
    pub id: LoanId,
    /// VM that granted it.
    pub lender: VmId,
    /// Contract.
    pub customer: CustomerId,
}

/// Time for which the lender deducts a loan of `term`.
pub fn lender_term(term: Duration) -> Duration {
    term + term / LENDER_DRIFT_DIVISOR + LENDER_MARGIN
}

/// Term of loans under a contract with the given deadline.
pub fn loan_term(deadline: Duration) -> Duration {
    deadline.saturating_add(LOAN_SLACK).min(MAX_LOAN_TERM)
}

/// Question to possible borrowers, sent by a restarted lender or by the new
/// holder of a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanInquiry {
    /// VM that may have lent; differs from the asker after a slot was claimed.
    pub former: VmId,
    /// VM that asks.
    pub asker: VmId,
    /// Incarnation of the asker.
    pub incarnation: u64,
}

/// Loan that is open at a borrower.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenLoanReport {
    /// Open loan.
    pub id: LoanId,
    /// Contract.
    pub customer: CustomerId,
    /// Amount borrowed.
    pub amount: Allotment,
    /// Time to the end of the loan at the borrower.
    pub remaining: Duration,
}

/// Answer to a [`LoanInquiry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoanReport {
    /// VM that answers.
    pub borrower: VmId,
    /// VM that may have lent.
    pub former: VmId,
    /// VM that asked.
    pub asker: VmId,
    /// Incarnation of the asker.
    pub incarnation: u64,
    /// Loans not yet ended at the borrower.
    pub loans: Vec<OpenLoanReport>,
}
