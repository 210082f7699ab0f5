//! Counters per contract, for operators and members of the consortium.
//!
//! They are not exported as metrics, because the number of label values would
//! grow with the number of customers.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

use verbenaring_policy::id::CustomerId;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::operator::ContractCounters;

/// Counters by customer since the start of the node.
#[derive(Debug, Default)]
pub struct ContractCounterTable {
    counters: Mutex<BTreeMap<CustomerId, ContractCounters>>,
}

impl ContractCounterTable {
    /// Counts a request of a caller; `failed` is its outcome if it was refused.
    pub fn count_request(&self, customer: &CustomerId, failed: Option<RunOutcome>) {
        self.update(customer, |counters| {
            counters.requests += 1;
            match failed {
                Some(RunOutcome::NotRun) => counters.not_run += 1,
                Some(RunOutcome::Unknown) => counters.unknown += 1,
                Some(RunOutcome::Ran) | None => {}
            }
        });
    }

    /// Counts a relayed answer and its tokens. `label` is the outcome label of the
    /// request metric: `ran`, `caller_gone` or `unknown`.
    pub fn count_answer(&self, customer: &CustomerId, label: &str, tokens: u32) {
        self.update(customer, |counters| {
            counters.tokens += u64::from(tokens);
            match label {
                "ran" => counters.whole += 1,
                "caller_gone" => counters.caller_gone += 1,
                _ => counters.unknown += 1,
            }
        });
    }

    /// Counters of all customers that this node has counted, ordered by customer.
    pub fn contracts(&self) -> Vec<ContractCounters> {
        self.lock().values().cloned().collect()
    }

    fn update(&self, customer: &CustomerId, update: impl FnOnce(&mut ContractCounters)) {
        let mut counters = self.lock();
        if !counters.contains_key(customer) {
            let new = ContractCounters {
                customer: customer.to_string(),
                ..ContractCounters::default()
            };
            counters.insert(customer.clone(), new);
        }
        if let Some(counters) = counters.get_mut(customer) {
            update(counters);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<CustomerId, ContractCounters>> {
        self.counters
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }
}
