//! Admission of requests under the node's share of a contract.
//!
//! In any period of length `t`, a contract admits at most
//! rate × (`t` + [`BURST_TIME`]) requests, plus one for each node whose own or
//! borrowed rate is below one request per [`BURST_TIME`]. A request is charged
//! its estimated tokens when it is admitted, and the difference to the actual
//! number when it ends. The balance of tokens may therefore become negative;
//! no more requests are admitted until this debt is repaid.

use std::collections::HashMap;
use std::time::Duration;

pub use crate::allotment::AllotmentTable;
pub use crate::layout::{Allotment, SplitLayout};

use crate::id::CustomerId;
use crate::loan::{BucketCredit, LoanGrant, LoanRequest, LoanReturn};
use crate::time::Moment;

/// Time over which an unused rate accumulates; the capacity of a bucket is the
/// rate times this.
pub const BURST_TIME: Duration = Duration::from_secs(1);
/// Longest `Retry-After` told to a caller; a lent share may return earlier than
/// the computed time.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// `Retry-After` told to a caller where none can be computed: no request has
/// ended yet, or the node has no usable share.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
// Weight of the newest request in the moving average of request times.
const MEAN_TIME_WEIGHT: f64 = 0.1;
const MILLI_PER_UNIT: f64 = 1_000.0;

/// Token bucket that takes the current time as an argument.
#[derive(Debug, Clone, Copy)]
pub struct RateBucket {
    rate: f64,
    capacity: f64,
    balance: f64,
    updated: Moment,
}

impl RateBucket {
    /// Creates a full bucket that gains `rate` units per second.
    pub fn new(rate: f64, now: Moment) -> Self {
        let capacity = burst_capacity(rate);
        Self {
            rate,
            capacity,
            balance: capacity,
            updated: now,
        }
    }

    /// Changes the rate without adding to the balance.
    ///
    /// The time since the last call counts at the lower of the two rates, because
    /// a borrowed rate may have ended in between.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        self.rate = self.rate.min(rate);
        self.refill(now);
        self.rate = rate;
        self.capacity = burst_capacity(rate);
        self.balance = self.balance.min(self.capacity);
    }

    /// Time until `amount` can be taken; `None` if the rate is zero and the
    /// balance too low.
    ///
    /// An amount above the capacity needs a full bucket.
    pub fn wait_for(&mut self, amount: f64, now: Moment) -> Option<Duration> {
        self.refill(now);
        let missing = amount.min(self.capacity) - self.balance;
        if self.rate <= 0.0 && (missing > 0.0 || self.capacity <= 0.0) {
            return None;
        }
        // The tolerance of 1e-3 µs keeps a rounding error from causing another
        // wait of one microsecond.
        let micros = (missing.max(0.0) / self.rate * 1e6 - 1e-3).ceil().max(0.0);
        Some(Duration::from_micros(micros as u64))
    }

    /// Takes `amount` from the balance, or adds to it if `amount` is negative.
    pub fn charge(&mut self, amount: f64, now: Moment) {
        self.refill(now);
        self.balance = (self.balance - amount).min(self.capacity);
    }

    /// Rate used during the last [`BURST_TIME`], computed from what is missing to a
    /// full bucket: the whole rate when it is empty, more while it is in debt.
    pub fn rate_in_use(&mut self, now: Moment) -> f64 {
        let spent = self.capacity - self.balance(now);
        if spent > 0.0 {
            spent / self.capacity * self.rate
        } else {
            0.0
        }
    }

    /// Units that can be taken; negative while the bucket is in debt.
    pub fn balance(&mut self, now: Moment) -> f64 {
        self.refill(now);
        self.balance
    }

    fn refill(&mut self, now: Moment) {
        let elapsed = now.since(self.updated).as_secs_f64();
        self.balance = (self.balance + elapsed * self.rate).min(self.capacity);
        self.updated = self.updated.max(now);
    }
}

// A positive rate must be able to admit one whole unit.
fn burst_capacity(rate: f64) -> f64 {
    if rate > 0.0 {
        (rate * BURST_TIME.as_secs_f64()).max(1.0)
    } else {
        0.0
    }
}

/// Limit that a refused request has hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// Requests per second of the contract.
    RequestRate,
    /// Tokens per second of the contract.
    TokenRate,
    /// Requests in flight of the contract.
    Concurrency,
    /// The deadline passes before the answer is expected to be complete.
    Deadline,
    /// The node has no usable share of the contract. A loan from another node, or
    /// a retry at another node, may help.
    NoShare,
}

/// Refusal of a request at admission; it has not been run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("limit {limit:?} reached, retry after {retry_after:?}")]
pub struct LimitRefusal {
    /// Limit that the request would exceed.
    pub limit: LimitKind,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

impl LimitRefusal {
    fn new(limit: LimitKind, wait: Duration) -> Self {
        Self {
            limit,
            retry_after: wait.min(MAX_RETRY_AFTER),
        }
    }

    /// Value of the header `Retry-After`: seconds, rounded up, at least one.
    pub fn retry_after_s(&self) -> u64 {
        self.retry_after.as_millis().div_ceil(1_000).max(1) as u64
    }
}

/// Properties of a request on which its admission depends.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// Estimated tokens of prompt and answer together.
    pub tokens: u32,
    /// Moment at which the answer must be complete.
    pub deadline: Moment,
    /// Expected time from now to the end of the answer; zero if unknown.
    pub expected_duration: Duration,
}

/// Admission of one request, to be given back to [`AdmissionGate::finish`].
#[derive(Debug)]
#[must_use = "a permit counts against concurrency until it is finished"]
pub struct AdmissionPermit {
    customer: CustomerId,
    tokens: u32,
    admitted: Moment,
}

#[derive(Debug)]
struct ContractState {
    requests: RateBucket,
    tokens: RateBucket,
    in_flight: u32,
    mean_request_s: Option<f64>,
}

impl ContractState {
    fn transfer_credit(&mut self, credit: &BucketCredit, sign: f64, now: Moment) {
        let requests = sign * from_milli(credit.millirequests);
        self.requests.charge(requests, now);
        self.tokens
            .charge(sign * from_milli(credit.millitokens), now);
    }

    fn check(
        &mut self,
        request: &AdmissionRequest,
        concurrent: u32,
        now: Moment,
    ) -> Result<(), LimitRefusal> {
        if self.in_flight >= concurrent {
            let seconds = self.mean_request_s.map(Duration::from_secs_f64);
            let wait = seconds.unwrap_or(DEFAULT_RETRY_AFTER) / concurrent.max(1);
            return Err(LimitRefusal::new(LimitKind::Concurrency, wait));
        }
        check_rate(&mut self.requests, 1.0, LimitKind::RequestRate, now)?;
        let tokens = f64::from(request.tokens);
        check_rate(&mut self.tokens, tokens, LimitKind::TokenRate, now)
    }
}

fn check_rate(
    bucket: &mut RateBucket,
    amount: f64,
    limit: LimitKind,
    now: Moment,
) -> Result<(), LimitRefusal> {
    match bucket.wait_for(amount, now) {
        Some(Duration::ZERO) => Ok(()),
        Some(wait) => Err(LimitRefusal::new(limit, wait)),
        None => Err(LimitRefusal::new(LimitKind::NoShare, DEFAULT_RETRY_AFTER)),
    }
}

/// Rates and requests in flight of all contracts at one node, checked against
/// the node's shares in an [`AllotmentTable`].
#[derive(Debug, Default)]
pub struct AdmissionGate {
    contracts: HashMap<CustomerId, ContractState>,
}

impl AdmissionGate {
    /// Admits a request and charges it, or refuses it without changing any balance.
    pub fn admit(
        &mut self,
        table: &AllotmentTable,
        customer: &CustomerId,
        request: &AdmissionRequest,
        now: Moment,
    ) -> Result<AdmissionPermit, LimitRefusal> {
        let remaining = request.deadline.since(now);
        if remaining.is_zero() || request.expected_duration > remaining {
            let wait = request.expected_duration.saturating_sub(remaining);
            return Err(LimitRefusal::new(LimitKind::Deadline, wait));
        }
        let usable = table.usable(customer, now, now);
        // A borrowed slot must remain usable until the deadline of the request.
        let concurrent = table.usable(customer, now, request.deadline).concurrent;
        if usable.is_zero() || concurrent == 0 {
            return Err(LimitRefusal::new(LimitKind::NoShare, DEFAULT_RETRY_AFTER));
        }
        let contract = self.contract_state(table, customer, now);
        contract.check(request, concurrent, now)?;
        contract.requests.charge(1.0, now);
        contract.tokens.charge(f64::from(request.tokens), now);
        contract.in_flight += 1;
        Ok(AdmissionPermit {
            customer: customer.clone(),
            tokens: request.tokens,
            admitted: now,
        })
    }

    /// Ends a request and charges the difference between actual and estimated
    /// tokens.
    pub fn finish(&mut self, permit: AdmissionPermit, actual_tokens: u32, now: Moment) {
        let Some(contract) = self.contracts.get_mut(&permit.customer) else {
            return;
        };
        contract.in_flight = contract.in_flight.saturating_sub(1);
        let difference = f64::from(actual_tokens) - f64::from(permit.tokens);
        contract.tokens.charge(difference, now);
        let seconds = now.since(permit.admitted).as_secs_f64();
        let mean = contract.mean_request_s.unwrap_or(seconds);
        contract.mean_request_s = Some(mean + MEAN_TIME_WEIGHT * (seconds - mean));
    }

    /// Requests of a customer that are in flight at this node.
    pub fn in_flight(&self, customer: &CustomerId) -> u32 {
        self.contracts
            .get(customer)
            .map_or(0, |contract| contract.in_flight)
    }

    /// Part of the share that is in use: requests in flight, and the rates from
    /// [`RateBucket::rate_in_use`].
    pub fn in_use(
        &mut self,
        table: &AllotmentTable,
        customer: &CustomerId,
        now: Moment,
    ) -> Allotment {
        let contract = self.contract_state(table, customer, now);
        Allotment {
            millirequests_per_s: (contract.requests.rate_in_use(now) * MILLI_PER_UNIT) as u64,
            millitokens_per_s: (contract.tokens.rate_in_use(now) * MILLI_PER_UNIT) as u64,
            concurrent: contract.in_flight,
        }
    }

    /// Lends from the part of the share that is not in use, together with its
    /// part of the bucket balances. `None` if nothing can be lent.
    pub fn lend(
        &mut self,
        table: &mut AllotmentTable,
        request: &LoanRequest,
        now: Moment,
    ) -> Option<LoanGrant> {
        let customer = &request.customer;
        let in_use = self.in_use(table, customer, now);
        let contract = self.contract_state(table, customer, now);
        let balance = BucketCredit {
            millirequests: (contract.requests.balance(now).max(0.0) * MILLI_PER_UNIT) as u64,
            millitokens: (contract.tokens.balance(now).max(0.0) * MILLI_PER_UNIT) as u64,
        };
        let grant = table.grant(request, &in_use, &balance, now)?;
        let contract = self.contract_state(table, customer, now);
        contract.transfer_credit(&grant.credit, 1.0, now);
        Some(grant)
    }

    /// Adds a granted loan to the share, and its credit to the buckets. Returns
    /// false and adds neither if the loan is no longer expected.
    pub fn borrow(&mut self, table: &mut AllotmentTable, grant: &LoanGrant, now: Moment) -> bool {
        self.contract_state(table, &grant.customer, now);
        let is_expected = table.receive_grant(grant, now);
        if is_expected {
            let contract = self.contract_state(table, &grant.customer, now);
            contract.transfer_credit(&grant.credit, -1.0, now);
        }
        is_expected
    }

    /// Ends the loans from other nodes that are not in use, and returns the messages
    /// to the lenders. The bucket balance that came with a loan is lost.
    pub fn give_back(
        &mut self,
        table: &mut AllotmentTable,
        customer: &CustomerId,
        now: Moment,
    ) -> Vec<LoanReturn> {
        let in_use = self.in_use(table, customer, now);
        let returns = table.return_unused(customer, &in_use, now);
        self.contract_state(table, customer, now);
        returns
    }

    /// Takes a returned loan back into the own share.
    pub fn take_back(&mut self, table: &mut AllotmentTable, message: &LoanReturn, now: Moment) {
        self.contract_state(table, &message.customer, now);
        table.receive_return(message);
        self.contract_state(table, &message.customer, now);
    }

    /// Removes the state of a contract that has ended.
    pub fn remove(&mut self, customer: &CustomerId) {
        self.contracts.remove(customer);
    }

    // State of a contract, created if absent, with the rates of the share that is
    // usable now.
    fn contract_state(
        &mut self,
        table: &AllotmentTable,
        customer: &CustomerId,
        now: Moment,
    ) -> &mut ContractState {
        let usable = table.usable(customer, now, now);
        let contract = self.contracts.entry(customer.clone()).or_insert_with(|| {
            // Only the own share starts with a full bucket. A borrowed share
            // brings the balance that the lender has given up.
            let own = table.unlent_share(customer, now);
            ContractState {
                requests: RateBucket::new(from_milli(own.millirequests_per_s), now),
                tokens: RateBucket::new(from_milli(own.millitokens_per_s), now),
                in_flight: 0,
                mean_request_s: None,
            }
        });
        contract
            .requests
            .set_rate(from_milli(usable.millirequests_per_s), now);
        contract
            .tokens
            .set_rate(from_milli(usable.millitokens_per_s), now);
        contract
    }
}

fn from_milli(amount: u64) -> f64 {
    amount as f64 / MILLI_PER_UNIT
}
