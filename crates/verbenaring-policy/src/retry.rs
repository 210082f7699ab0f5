//! Budgets and plans of retries.
//!
//! Only the entry node retries. A retry needs budget from the customer and
//! from the node, so that neither one customer nor an outage multiplies load.

use std::collections::HashMap;
use std::time::Duration;

use crate::id::{CustomerId, ServerId};
use crate::outcome::RunOutcome;
use crate::time::Moment;

/// Retries allowed per success.
pub const RETRY_SHARE: f64 = 0.1;
/// Retries allowed in a window without any success.
pub const MIN_RETRIES: u32 = 3;
/// Time over which successes and retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Deadline below which an attempt can not deliver a first token.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

const BUCKETS: usize = 10;
const BUCKET_US: u64 = RETRY_WINDOW.as_micros() as u64 / BUCKETS as u64;

/// Retries that a budget allows in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries per success.
    pub retries_per_success: f64,
    /// Retries on top of the share.
    pub extra_retries: f64,
    /// Retries allowed in any case.
    pub min_retries: u32,
}

impl Default for BudgetTerms {
    fn default() -> Self {
        Self {
            retries_per_success: RETRY_SHARE,
            extra_retries: 0.0,
            min_retries: MIN_RETRIES,
        }
    }
}

impl BudgetTerms {
    /// Part of one of `vms` VMs in a budget of all of them.
    ///
    /// The extra retries are divided. Each VM keeps below its part by a tenth,
    /// because callers move between VMs within a window.
    pub fn per_vm(self, vms: usize) -> Self {
        const USED_PART: f64 = 0.9;
        Self {
            retries_per_success: self.retries_per_success * USED_PART,
            extra_retries: self.extra_retries * USED_PART / vms.max(1) as f64,
            min_retries: 0,
        }
    }
}

/// Successes and retries of the last [`RETRY_WINDOW`].
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    terms: BudgetTerms,
    successes: [u32; BUCKETS],
    retries: [u32; BUCKETS],
    bucket: u64,
}

impl RetryBudget {
    /// Replaces the terms and keeps the counts.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
    }

    /// Counts a successful request.
    pub fn record_success(&mut self, now: Moment) {
        let slot = self.turn(now);
        self.successes[slot] = self.successes[slot].saturating_add(1);
    }

    /// Whether a retry is within the budget.
    pub fn allows(&mut self, now: Moment) -> bool {
        self.turn(now);
        let successes: u32 = self.successes.iter().sum();
        let retries: u32 = self.retries.iter().sum();
        let allowed =
            f64::from(successes) * self.terms.retries_per_success + self.terms.extra_retries;
        retries < (allowed as u32).max(self.terms.min_retries)
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Moment) {
        let slot = self.turn(now);
        self.retries[slot] = self.retries[slot].saturating_add(1);
    }

    /// Whether nothing was counted in the window.
    pub fn is_idle(&mut self, now: Moment) -> bool {
        self.turn(now);
        self.successes
            .iter()
            .chain(&self.retries)
            .all(|count| *count == 0)
    }

    /// Clears the buckets that have left the window and returns the current one.
    fn turn(&mut self, now: Moment) -> usize {
        let bucket = now.0 / BUCKET_US;
        let passed = bucket.saturating_sub(self.bucket).min(BUCKETS as u64);
        for step in 1..=passed {
            let slot = ((self.bucket + step) % BUCKETS as u64) as usize;
            self.successes[slot] = 0;
            self.retries[slot] = 0;
        }
        if passed == BUCKETS as u64 {
            self.successes = [0; BUCKETS];
            self.retries = [0; BUCKETS];
        }
        self.bucket = self.bucket.max(bucket);
        (self.bucket % BUCKETS as u64) as usize
    }
}

/// Budgets of the node and of its customers.
#[derive(Debug, Default)]
pub struct RetryLimiter {
    node: RetryBudget,
    customers: HashMap<CustomerId, RetryBudget>,
}

impl RetryLimiter {
    /// Counts a successful request of a customer.
    pub fn record_success(&mut self, customer: &CustomerId, now: Moment) {
        self.node.record_success(now);
        self.customer(customer).record_success(now);
    }

    /// Takes a retry from both budgets, or from none.
    pub fn try_retry(&mut self, customer: &CustomerId, now: Moment) -> bool {
        let allowed = self.node.allows(now) && self.customer(customer).allows(now);
        if allowed {
            self.node.record_retry(now);
            self.customer(customer).record_retry(now);
        }
        allowed
    }

    /// Drops customers without requests in the window.
    pub fn remove_idle(&mut self, now: Moment) {
        self.customers.retain(|_, budget| !budget.is_idle(now));
    }

    fn customer(&mut self, customer: &CustomerId) -> &mut RetryBudget {
        if !self.customers.contains_key(customer) {
            self.customers
                .insert(customer.clone(), RetryBudget::default());
        }
        self.customers.get_mut(customer).expect("inserted above")
    }
}

/// How an attempt failed before the first byte of the answer reached the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection, or refusal before execution.
    Refused,
    /// The connection broke after the first byte of the request.
    Broken,
    /// The server crashed with the request in flight.
    Crashed,
}

impl AttemptFailure {
    /// Whether the server may have run the request.
    pub fn outcome(self) -> RunOutcome {
        match self {
            AttemptFailure::Refused => RunOutcome::NotRun,
            AttemptFailure::Broken | AttemptFailure::Crashed => RunOutcome::Unknown,
        }
    }
}

/// What follows a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAttempt {
    /// Another server, within the remaining time.
    Retry {
        /// Time until the deadline.
        remaining: Duration,
        /// Whether the request must run alone on its server.
        alone: bool,
    },
    /// The caller is told the outcome.
    GiveUp(RunOutcome),
}

/// Attempts of one request.
#[derive(Debug, Clone)]
pub struct AttemptPlan {
    deadline: Moment,
    repeatable: bool,
    entry_node: bool,
    suspect: bool,
    outcome: RunOutcome,
    tried: Vec<ServerId>,
}

impl AttemptPlan {
    /// Plan of a request that must end by `deadline`.
    ///
    /// `entry_node` is false on a node that received the request from a peer.
    pub fn new(deadline: Moment, repeatable: bool, entry_node: bool) -> Self {
        Self {
            deadline,
            repeatable,
            entry_node,
            suspect: false,
            outcome: RunOutcome::NotRun,
            tried: Vec::new(),
        }
    }

    /// Time until the deadline, less `transit` to the next process.
    ///
    /// `None` if too little remains for an attempt.
    pub fn remaining(&self, transit: Duration, now: Moment) -> Option<Duration> {
        let remaining = self.deadline.since(now).checked_sub(transit)?;
        (remaining >= MIN_ATTEMPT_TIME).then_some(remaining)
    }

    /// Servers that the next attempt must not use.
    pub fn tried_servers(&self) -> &[ServerId] {
        &self.tried
    }

    /// Counts an attempt at a server.
    pub fn record_attempt(&mut self, server: &ServerId) {
        self.tried.push(server.clone());
    }

    /// Whether an attempt, a hedge included, may be added to those sent.
    pub fn may_repeat(&self) -> bool {
        self.repeatable && self.entry_node && self.tried.len() < MAX_ATTEMPTS as usize
    }

    /// Decides what follows a failure and takes a retry from the budgets.
    pub fn after_failure(
        &mut self,
        failure: AttemptFailure,
        customer: &CustomerId,
        limiter: &mut RetryLimiter,
        now: Moment,
    ) -> NextAttempt {
        self.outcome = self.outcome.combine(failure.outcome());
        self.suspect |= failure == AttemptFailure::Crashed;
        let remaining = self.remaining(Duration::ZERO, now);
        match remaining {
            Some(remaining) if self.may_repeat() && limiter.try_retry(customer, now) => {
                NextAttempt::Retry {
                    remaining,
                    alone: self.suspect,
                }
            }
            _ => NextAttempt::GiveUp(self.outcome),
        }
    }
}
