//! Retry budgets, and the attempts of one request.
//!
//! Only the entry node of a request retries it. A retry needs both the budget of
//! the customer and that of the node, so that neither a single customer nor an
//! outage multiplies the load on the backend servers.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, ServerId};
use crate::outcome::RunOutcome;
use crate::time::Moment;

/// Retries that the default budget allows per successful request.
pub const RETRIES_PER_SUCCESS: f64 = 0.1;
/// Retries that the default budget allows in a window however few requests
/// succeeded.
pub const MIN_RETRIES: u32 = 3;
/// Sliding window over which successes and retries are counted.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// Largest number of attempts of one request, the first included.
pub const MAX_ATTEMPTS: u32 = 3;
/// Remaining time below which an attempt cannot deliver its first token.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(20);

/// Part of the retries earned by successes that a VM takes of a budget that it shares.
const EARNED_FRACTION: f64 = 0.5;
/// Part of its extra retries that a VM takes, as it may not know of all other VMs.
const EXTRA_FRACTION: f64 = 0.9;
/// Parts of a window in which successes are counted.
pub(crate) const WINDOW_BUCKETS: usize = 10;
const BUCKET_US: u64 = RETRY_WINDOW.as_micros() as u64 / WINDOW_BUCKETS as u64;

/// Limits of a retry budget over one [`RETRY_WINDOW`].
///
/// Allows `retries_per_success` times the successes plus `extra_retries`, and at
/// least `min_retries`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetTerms {
    /// Retries allowed per successful request.
    pub retries_per_success: f64,
    /// Retries added to those earned by successes.
    pub extra_retries: f64,
    /// Retries allowed however few requests succeeded.
    pub min_retries: u32,
}

impl Default for BudgetTerms {
    fn default() -> Self {
        Self {
            retries_per_success: RETRIES_PER_SUCCESS,
            extra_retries: 0.0,
            min_retries: MIN_RETRIES,
        }
    }
}

impl BudgetTerms {
    /// Retries that the limits allow for this many successful requests in the window.
    fn allowed(self, successes: u32) -> usize {
        let allowed = f64::from(successes) * self.retries_per_success + self.extra_retries;
        (allowed as u32).max(self.min_retries) as usize
    }

    /// Limits for all VMs together, less the part that no VM takes.
    pub(crate) fn for_all_vms(self) -> Self {
        Self {
            extra_retries: self.extra_retries * EXTRA_FRACTION,
            min_retries: 0,
            ..self
        }
    }

    /// Limits for each of `vms` VMs that together keep within this budget, however callers
    /// move between them.
    ///
    /// A VM may retry at the start of a window for the requests of the window before, and
    /// another one at its end for those of the window itself. All VMs together therefore
    /// retry for the requests of two windows at most, so each earns half a retry where the
    /// budget allows one. The extra retries are divided among the VMs.
    pub fn per_vm(self, vms: usize) -> Self {
        Self {
            retries_per_success: self.retries_per_success * EARNED_FRACTION,
            extra_retries: self.extra_retries * EXTRA_FRACTION / vms.max(1) as f64,
            min_retries: 0,
        }
    }
}

/// What a retry budget has given out and may give out in the current window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Retries of the last [`RETRY_WINDOW`].
    pub spent: usize,
    /// Retries that the limits allow in it.
    pub allowed: usize,
}

impl BudgetUsage {
    /// Whether another retry is allowed.
    pub fn has_room(self) -> bool {
        self.spent < self.allowed
    }

    /// The larger of what is spent and what is allowed.
    pub fn committed(self) -> usize {
        self.spent.max(self.allowed)
    }
}

/// What was counted in a retry budget, by age in tenths of [`RETRY_WINDOW`]; the latest
/// comes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetHistory {
    /// Successful requests.
    pub successes: [u16; WINDOW_BUCKETS],
    /// Retries.
    pub retries: [u16; WINDOW_BUCKETS],
}

impl BudgetHistory {
    /// Number of retries in the window.
    pub fn spent(&self) -> usize {
        self.retries.iter().map(|count| usize::from(*count)).sum()
    }

    /// What is spent, and what `terms` allow for the successful requests.
    pub fn usage(&self, terms: BudgetTerms) -> BudgetUsage {
        let successes = self.successes.iter().map(|count| u32::from(*count)).sum();
        BudgetUsage {
            spent: self.spent(),
            allowed: terms.allowed(successes),
        }
    }
}

/// Retry budget over the successes and retries of the last [`RETRY_WINDOW`].
///
/// Successes are counted in buckets, of which the oldest may be left out too early.
/// Retries are counted exactly: those that were left out too early would be allowed
/// again within the window.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    terms: BudgetTerms,
    successes: [u32; WINDOW_BUCKETS],
    retries: VecDeque<Moment>,
    bucket: u64,
}

impl RetryBudget {
    /// Replaces the limits and keeps the counts.
    pub fn set_terms(&mut self, terms: BudgetTerms) {
        self.terms = terms;
    }

    /// Counts a successful request.
    pub fn record_success(&mut self, now: Moment) {
        let index = self.advance(now);
        self.successes[index] = self.successes[index].saturating_add(1);
    }

    /// Whether the budget allows another retry at `now`; does not count it.
    pub fn allows(&mut self, now: Moment) -> bool {
        self.usage(now).has_room()
    }

    /// Retries given out and allowed in the window that ends at `now`.
    pub fn usage(&mut self, now: Moment) -> BudgetUsage {
        self.advance(now);
        BudgetUsage {
            spent: self.retries.len(),
            allowed: self.terms.allowed(self.successes.iter().sum()),
        }
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, now: Moment) {
        self.advance(now);
        self.retries.push_back(now);
    }

    /// Counts of the window that ends at `now`. Retries are stated at most one bucket too
    /// young, so that they leave the window late rather than early.
    pub fn history(&mut self, now: Moment) -> BudgetHistory {
        let newest = self.advance(now);
        let mut history = BudgetHistory::default();
        for (age, count) in history.successes.iter_mut().enumerate() {
            let index = (newest + WINDOW_BUCKETS - age) % WINDOW_BUCKETS;
            *count = u16::try_from(self.successes[index]).unwrap_or(u16::MAX);
        }
        for retry in &self.retries {
            let age = now.since(*retry).as_micros() as u64 / BUCKET_US;
            if let Some(count) = history.retries.get_mut(age as usize) {
                *count = count.saturating_add(1);
            }
        }
        history
    }

    /// Adds successful requests of a history that was stated `age` ago.
    pub fn restore_successes(&mut self, history: &BudgetHistory, age: Duration, now: Moment) {
        let newest = self.advance(now);
        let passed = (age.as_micros() as u64).div_ceil(BUCKET_US) as usize;
        for (age, count) in history.successes.iter().enumerate() {
            let age = age.saturating_add(passed);
            if age < WINDOW_BUCKETS {
                let index = (newest + WINDOW_BUCKETS - age) % WINDOW_BUCKETS;
                self.successes[index] = self.successes[index].saturating_add(u32::from(*count));
            }
        }
    }

    /// Adds retries of a history that was stated `age` ago: the youngest ones, without
    /// `known`, which were added before.
    pub fn restore_retries(
        &mut self,
        history: &BudgetHistory,
        known: usize,
        age: Duration,
        now: Moment,
    ) {
        let bucket = Duration::from_micros(BUCKET_US);
        let missing = history.spent().saturating_sub(known);
        let moments = (0..).zip(&history.retries).flat_map(|(index, count)| {
            let moment = now - (bucket * index + age);
            std::iter::repeat_n(moment, usize::from(*count))
        });
        self.retries.extend(moments.take(missing));
        self.retries.make_contiguous().sort_unstable();
    }

    /// Whether no success or retry was counted in the window.
    pub fn is_idle(&mut self, now: Moment) -> bool {
        self.advance(now);
        self.retries.is_empty() && self.successes.iter().all(|count| *count == 0)
    }

    /// Drops what has left the window and returns the index of the current bucket.
    fn advance(&mut self, now: Moment) -> usize {
        let bucket = now.since(Moment::default()).as_micros() as u64 / BUCKET_US;
        let passed = bucket
            .saturating_sub(self.bucket)
            .min(WINDOW_BUCKETS as u64);
        for step in 1..=passed {
            let index = ((self.bucket + step) % WINDOW_BUCKETS as u64) as usize;
            self.successes[index] = 0;
        }
        if passed == WINDOW_BUCKETS as u64 {
            self.successes = [0; WINDOW_BUCKETS];
        }
        while let Some(oldest) = self.retries.front()
            && now.since(*oldest) >= RETRY_WINDOW
        {
            self.retries.pop_front();
        }
        self.bucket = self.bucket.max(bucket);
        (self.bucket % WINDOW_BUCKETS as u64) as usize
    }
}

/// Retry budgets of the node and of each of its customers.
#[derive(Debug, Default)]
pub struct RetryLimiter {
    node: RetryBudget,
    customers: HashMap<CustomerId, RetryBudget>,
}

impl RetryLimiter {
    /// Counts a successful request in the budgets of the node and the customer.
    pub fn record_success(&mut self, customer: &CustomerId, now: Moment) {
        self.node.record_success(now);
        self.customer(customer).record_success(now);
    }

    /// Takes a retry from both budgets if both allow it, and returns whether they
    /// did.
    pub fn try_retry(&mut self, customer: &CustomerId, now: Moment) -> bool {
        let allowed = self.node.allows(now) && self.customer(customer).allows(now);
        if allowed {
            self.node.record_retry(now);
            self.customer(customer).record_retry(now);
        }
        allowed
    }

    /// Drops the budgets of customers without successes and retries in the window.
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
    /// No connection, or the server refused the request before running it.
    Refused,
    /// The connection broke after the first byte of the request.
    Broken,
    /// The server crashed with the request in flight.
    Crashed,
}

impl AttemptFailure {
    /// What is known of the execution: a refused request was not run, otherwise
    /// the server may have run it.
    pub fn outcome(self) -> RunOutcome {
        match self {
            AttemptFailure::Refused => RunOutcome::NotRun,
            AttemptFailure::Broken | AttemptFailure::Crashed => RunOutcome::Unknown,
        }
    }
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAttempt {
    /// Try another server within the remaining time.
    Retry {
        /// Time until the deadline of the request.
        remaining: Duration,
        /// Whether the request must run alone on its server.
        alone: bool,
    },
    /// Send no further attempt and tell the caller the outcome.
    GiveUp(RunOutcome),
}

/// Attempts of one request: which servers were tried, with what outcome, and
/// whether another attempt is allowed.
#[derive(Debug, Clone)]
pub struct AttemptPlan {
    deadline: Moment,
    repeatable: bool,
    entry_node: bool,
    /// Whether an attempt crashed its server.
    suspect: bool,
    outcome: RunOutcome,
    tried_servers: Vec<ServerId>,
}

impl AttemptPlan {
    /// Creates the plan of a request that must end by `deadline`.
    ///
    /// `repeatable` is whether the request may be run more than once.
    /// `entry_node` is false on a node that received the request from a peer.
    pub fn new(deadline: Moment, repeatable: bool, entry_node: bool) -> Self {
        Self {
            deadline,
            repeatable,
            entry_node,
            suspect: false,
            outcome: RunOutcome::NotRun,
            tried_servers: Vec::new(),
        }
    }

    /// Time until the deadline, less the `transit` time to the next process.
    ///
    /// `None` if less than [`MIN_ATTEMPT_TIME`] remains.
    pub fn remaining(&self, transit: Duration, now: Moment) -> Option<Duration> {
        let remaining = self.deadline.since(now).checked_sub(transit)?;
        (remaining >= MIN_ATTEMPT_TIME).then_some(remaining)
    }

    /// Servers already tried, which the next attempt must not use.
    pub fn tried_servers(&self) -> &[ServerId] {
        &self.tried_servers
    }

    /// Counts an attempt that is sent to `server`.
    pub fn record_attempt(&mut self, server: &ServerId) {
        self.tried_servers.push(server.clone());
    }

    /// Whether a further attempt may be sent, be it a retry or a hedge.
    pub fn may_repeat(&self) -> bool {
        self.repeatable && self.entry_node && self.tried_servers.len() < MAX_ATTEMPTS as usize
    }

    /// Decides whether to retry after a failed attempt, and takes the retry from
    /// the budgets.
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
