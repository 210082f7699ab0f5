//! Admission of requests under the node's share of a contract.
//!
//! In any window of length `t` the requests admitted under one contract are at
//! most rate × (`t` + [`BURST`]), and one more for each node that holds or has
//! borrowed less than one request per [`BURST`]. Token balances may become negative: a request is admitted on
//! its estimate and later corrected by its actual size, and the debt is repaid
//! before more is admitted.

use std::collections::HashMap;
use std::time::Duration;

pub use crate::allotment::AllotmentTable;
pub use crate::layout::{Allotment, SplitLayout};

use crate::id::CustomerId;
use crate::loan::{BucketCredit, LoanGrant, LoanRequest, LoanReturn};
use crate::time::Moment;

/// Time over which an unused rate accumulates.
pub const BURST: Duration = Duration::from_secs(1);
/// Longest wait told to a caller; a share may return earlier.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Wait told to a caller if no request has ended yet or no share is usable.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
// Weight of the newest sample in the mean time of requests.
const SERVICE_TIME_WEIGHT: f64 = 0.1;
const MILLI: f64 = 1_000.0;

/// Token bucket in which time is an argument.
#[derive(Debug, Clone, Copy)]
pub struct RateBucket {
    rate: f64,
    capacity: f64,
    balance: f64,
    updated: Moment,
}

impl RateBucket {
    /// Full bucket with `rate` units per second.
    pub fn new(rate: f64, now: Moment) -> Self {
        let capacity = capacity_of(rate);
        Self {
            rate,
            capacity,
            balance: capacity,
            updated: now,
        }
    }

    /// Changes the rate; the balance does not grow by it.
    ///
    /// The time since the last call counts at the lower of both rates, because
    /// a borrowed rate may have ended since.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        self.rate = self.rate.min(rate);
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity_of(rate);
        self.balance = self.balance.min(self.capacity);
    }

    /// Time until `amount` can be taken; `None` if the rate is zero.
    ///
    /// An amount above the capacity needs a full bucket.
    pub fn wait_for(&mut self, amount: f64, now: Moment) -> Option<Duration> {
        self.refill(now);
        let missing = amount.min(self.capacity) - self.balance;
        if self.rate <= 0.0 && (missing > 0.0 || self.capacity <= 0.0) {
            return None;
        }
        // Rounding of one step of the clock must not cause another wait.
        let micros = (missing.max(0.0) / self.rate * 1e6 - 1e-3).ceil().max(0.0);
        Some(Duration::from_micros(micros as u64))
    }

    /// Takes `amount`, or gives back if it is negative.
    pub fn charge(&mut self, amount: f64, now: Moment) {
        self.refill(now);
        self.balance = (self.balance - amount).min(self.capacity);
    }

    /// Rate spent during the last [`BURST`], at most the whole rate without debt.
    pub fn rate_in_use(&mut self, now: Moment) -> f64 {
        let spent = self.capacity - self.balance(now);
        if spent > 0.0 {
            spent / self.capacity * self.rate
        } else {
            0.0
        }
    }

    /// Content; negative while a debt is open.
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
fn capacity_of(rate: f64) -> f64 {
    if rate > 0.0 {
        (rate * BURST.as_secs_f64()).max(1.0)
    } else {
        0.0
    }
}

/// Limit that a refused request has hit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LimitKind {
    /// Requests per second.
    RequestRate,
    /// Tokens per second.
    TokenRate,
    /// Requests in flight.
    Concurrency,
    /// The answer cannot be complete before the deadline.
    Deadline,
    /// This node has no share at present; a loan or another node may help.
    NoShare,
}

/// Refusal of a request that has not been run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("limit {limit:?} reached, retry after {retry_after:?}")]
pub struct LimitRefusal {
    /// Limit that was hit.
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

    /// Value of the header `Retry-After`: whole seconds, at least one.
    pub fn retry_after_s(&self) -> u64 {
        self.retry_after.as_millis().div_ceil(1_000).max(1) as u64
    }
}

/// Request as seen by admission.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionRequest {
    /// Estimated tokens.
    pub tokens: u32,
    /// Moment at which the answer must be complete.
    pub deadline: Moment,
    /// Expected time to the end of the answer.
    pub expected: Duration,
}

/// Permission for one request, ended by [`AdmissionGate::finish`].
#[derive(Debug)]
#[must_use = "a permit counts against concurrency until it is finished"]
pub struct AdmissionPermit {
    customer: CustomerId,
    tokens: u32,
    admitted: Moment,
}

#[derive(Debug)]
struct ContractGate {
    requests: RateBucket,
    tokens: RateBucket,
    in_flight: u32,
    mean_seconds: Option<f64>,
}

impl ContractGate {
    fn move_credit(&mut self, credit: &BucketCredit, sign: f64, now: Moment) {
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
            let seconds = self.mean_seconds.map(Duration::from_secs_f64);
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

/// Rates and requests in flight of all contracts at one node.
#[derive(Debug, Default)]
pub struct AdmissionGate {
    gates: HashMap<CustomerId, ContractGate>,
}

impl AdmissionGate {
    /// Admits a request or refuses it without any effect.
    pub fn admit(
        &mut self,
        table: &AllotmentTable,
        customer: &CustomerId,
        request: &AdmissionRequest,
        now: Moment,
    ) -> Result<AdmissionPermit, LimitRefusal> {
        let remaining = request.deadline.since(now);
        if remaining.is_zero() || request.expected > remaining {
            let wait = request.expected.saturating_sub(remaining);
            return Err(LimitRefusal::new(LimitKind::Deadline, wait));
        }
        let usable = table.usable(customer, now, now);
        // Borrowed concurrency must outlast the request.
        let concurrent = table.usable(customer, now, request.deadline).concurrent;
        if usable.is_zero() || concurrent == 0 {
            return Err(LimitRefusal::new(LimitKind::NoShare, DEFAULT_RETRY_AFTER));
        }
        let gate = self.gate(table, customer, now);
        gate.check(request, concurrent, now)?;
        gate.requests.charge(1.0, now);
        gate.tokens.charge(f64::from(request.tokens), now);
        gate.in_flight += 1;
        Ok(AdmissionPermit {
            customer: customer.clone(),
            tokens: request.tokens,
            admitted: now,
        })
    }

    /// Ends a request and corrects the token balance by its actual size.
    pub fn finish(&mut self, permit: AdmissionPermit, actual_tokens: u32, now: Moment) {
        let Some(gate) = self.gates.get_mut(&permit.customer) else {
            return;
        };
        gate.in_flight = gate.in_flight.saturating_sub(1);
        let difference = f64::from(actual_tokens) - f64::from(permit.tokens);
        gate.tokens.charge(difference, now);
        let seconds = now.since(permit.admitted).as_secs_f64();
        let mean = gate.mean_seconds.unwrap_or(seconds);
        gate.mean_seconds = Some(mean + SERVICE_TIME_WEIGHT * (seconds - mean));
    }

    /// Requests in flight.
    pub fn in_flight(&self, customer: &CustomerId) -> u32 {
        self.gates.get(customer).map_or(0, |gate| gate.in_flight)
    }

    /// What is in use: requests in flight, and the rates of the last [`BURST`].
    pub fn in_use(
        &mut self,
        table: &AllotmentTable,
        customer: &CustomerId,
        now: Moment,
    ) -> Allotment {
        let gate = self.gate(table, customer, now);
        Allotment {
            millirequests_per_s: (gate.requests.rate_in_use(now) * MILLI) as u64,
            millitokens_per_s: (gate.tokens.rate_in_use(now) * MILLI) as u64,
            concurrent: gate.in_flight,
        }
    }

    /// Lends what is not in use, with its part of the bucket balance.
    pub fn lend(
        &mut self,
        table: &mut AllotmentTable,
        request: &LoanRequest,
        now: Moment,
    ) -> Option<LoanGrant> {
        let customer = &request.customer;
        let in_use = self.in_use(table, customer, now);
        let gate = self.gate(table, customer, now);
        let balance = BucketCredit {
            millirequests: (gate.requests.balance(now).max(0.0) * MILLI) as u64,
            millitokens: (gate.tokens.balance(now).max(0.0) * MILLI) as u64,
        };
        let grant = table.grant(request, &in_use, &balance, now)?;
        let gate = self.gate(table, customer, now);
        gate.move_credit(&grant.credit, 1.0, now);
        Some(grant)
    }

    /// Uses a granted loan; returns whether it was still expected.
    pub fn borrow(&mut self, table: &mut AllotmentTable, grant: &LoanGrant, now: Moment) -> bool {
        self.gate(table, &grant.customer, now);
        let is_expected = table.receive_grant(grant, now);
        if is_expected {
            let gate = self.gate(table, &grant.customer, now);
            gate.move_credit(&grant.credit, -1.0, now);
        }
        is_expected
    }

    /// Ends loans that are not in use. Their remaining balance is lost.
    pub fn give_back(
        &mut self,
        table: &mut AllotmentTable,
        customer: &CustomerId,
        now: Moment,
    ) -> Vec<LoanReturn> {
        let in_use = self.in_use(table, customer, now);
        let returns = table.return_unused(customer, &in_use, now);
        self.gate(table, customer, now);
        returns
    }

    /// Uses the share of a returned loan again.
    pub fn take_back(&mut self, table: &mut AllotmentTable, message: &LoanReturn, now: Moment) {
        self.gate(table, &message.customer, now);
        table.receive_return(message);
        self.gate(table, &message.customer, now);
    }

    /// Removes the state of a contract that has ended.
    pub fn remove(&mut self, customer: &CustomerId) {
        self.gates.remove(customer);
    }

    fn gate(
        &mut self,
        table: &AllotmentTable,
        customer: &CustomerId,
        now: Moment,
    ) -> &mut ContractGate {
        let usable = table.usable(customer, now, now);
        let gate = self.gates.entry(customer.clone()).or_insert_with(|| {
            // Only the own share starts with a full bucket; the balance of a
            // borrowed one is what the lender gave up.
            let own = table.unlent_share(customer, now);
            ContractGate {
                requests: RateBucket::new(from_milli(own.millirequests_per_s), now),
                tokens: RateBucket::new(from_milli(own.millitokens_per_s), now),
                in_flight: 0,
                mean_seconds: None,
            }
        });
        gate.requests
            .set_rate(from_milli(usable.millirequests_per_s), now);
        gate.tokens
            .set_rate(from_milli(usable.millitokens_per_s), now);
        gate
    }
}

fn from_milli(amount: u64) -> f64 {
    amount as f64 / MILLI
}
