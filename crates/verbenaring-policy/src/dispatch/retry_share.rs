//! Shares of the retry budgets, and what of them is left after a VM has started again.
//!
//! Load pattern: servers refuse calls, every VM uses up its share of the budget, and VMs
//! end and start again, one after the other or all at once. A process that began with an
//! unused share would spend it a second time in the window of its predecessor.
//!
//! VMs state what they have spent to others, which hold the newest statement of each and
//! tell it to the process that follows under the same name. That process goes on with the
//! share of its predecessor. One that is told nothing may follow a process that has spent
//! its whole share: for one window it retries only for calls of its own.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::retry_pool::{CallAges, RetryPool};
use crate::id::ServiceName;
use crate::retry::{
    BudgetHistory, BudgetTerms, BudgetUsage, RETRY_WINDOW, RetryBudget, WINDOW_BUCKETS,
};
use crate::time::Moment;

/// Age of a statement up to which it describes what its VM has spent. A VM that was not
/// heard for longer may have spent more meanwhile.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(5);
/// Age up to which a statement tells what its VM spends now. Also the time within which
/// all others have heard of a retry.
const FRESH_AGE: Duration = Duration::from_millis(1_500);
/// Time for which further answers about the predecessor are merged: another VM may hold a
/// newer statement.
const MERGE_TIME: Duration = Duration::from_secs(1);
/// Statements of other VMs that are held at most.
const MAX_HELD_STATEMENTS: usize = 2_048;
/// Services of one statement. Those with most retries go first.
const MAX_STATED_SERVICES: usize = 8;

/// What a VM states of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceHistory {
    /// Service whose calls were retried.
    pub service: ServiceName,
    /// Calls and retries of the window.
    pub history: BudgetHistory,
}

/// What a VM states of its shares of the retry budgets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryStatement {
    /// Short hash of the name of the VM.
    pub vm: u32,
    /// Boot number of its process.
    pub boot: u64,
    /// Whether the VM does not know yet what the process before it has spent.
    pub asks: bool,
    /// Number of VMs among which it divides the budgets.
    pub vms: u16,
    /// Time since the VM made the statement, in ms.
    pub age_ms: u32,
    /// Services with calls or retries in the window.
    pub services: Vec<ServiceHistory>,
}

impl RetryStatement {
    fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }

    /// Retries of all services in the window.
    pub fn spent(&self) -> usize {
        let services = self.services.iter();
        services.map(|service| service.history.spent()).sum()
    }
}

/// What is known of the process before this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PredecessorState {
    /// Nothing; it may have spent its whole share.
    Unknown,
    /// There was none.
    Absent,
    /// What it has spent, from statements of its boot since a moment.
    Told { boot: u64, since: Moment },
}

/// Shares of this VM of the retry budgets of all services.
#[derive(Debug)]
pub struct RetryShares {
    terms: BudgetTerms,
    budgets: HashMap<ServiceName, RetryBudget>,
    predecessor: PredecessorState,
    /// Retries taken over, by service.
    inherited: HashMap<ServiceName, usize>,
    /// Number of VMs by which the predecessor divided the budgets; this process may not
    /// have heard all of them yet.
    predecessor_vms: usize,
    /// When retries beyond the shares were taken of which others may not know yet.
    borrowed: VecDeque<Moment>,
    started_at: Moment,
    changed_at: Moment,
}

impl RetryShares {
    /// Shares of a process that starts at `now` and knows of none before it.
    pub fn new(terms: BudgetTerms, now: Moment) -> Self {
        Self {
            terms,
            budgets: HashMap::new(),
            predecessor: PredecessorState::Unknown,
            inherited: HashMap::new(),
            predecessor_vms: 0,
            borrowed: VecDeque::new(),
            started_at: now,
            changed_at: now,
        }
    }

    /// Counts a call of a caller; it adds to the budget of its service.
    pub fn record_call(&mut self, service: &ServiceName, now: Moment) {
        self.budget(service).record_success(now);
    }

    /// Takes a retry from the share of one of `vms` VMs, or one that no share covers as
    /// the `others` state; fails with what is spent if there is none.
    pub fn try_take(
        &mut self,
        service: &ServiceName,
        vms: usize,
        others: &HeldStatements,
        now: Moment,
    ) -> Result<(), BudgetUsage> {
        let usage = self.usage(service, vms, now);
        if !usage.has_room() {
            if !self.can_borrow(service, vms, others, now) {
                return Err(usage);
            }
            self.borrowed.push_back(now);
        }
        self.budget(service).record_retry(now);
        self.changed_at = now;
        Ok(())
    }

    /// Whether [`try_take`](Self::try_take) would succeed.
    pub fn allows(
        &mut self,
        service: &ServiceName,
        vms: usize,
        others: &HeldStatements,
        now: Moment,
    ) -> bool {
        self.usage(service, vms, now).has_room() || self.can_borrow(service, vms, others, now)
    }

    fn can_borrow(
        &mut self,
        service: &ServiceName,
        vms: usize,
        others: &HeldStatements,
        now: Moment,
    ) -> bool {
        if !self.knows_spending(now) {
            return false;
        }
        while let Some(oldest) = self.borrowed.front()
            && now.since(*oldest) >= FRESH_AGE
        {
            self.borrowed.pop_front();
        }
        let vms = self.divisor(vms, now);
        let share = self.terms.per_vm(vms);
        let history = self.budget(service).history(now);
        let Some((mut calls, committed)) = others.committed(service, share, vms, now) else {
            return false;
        };
        calls.add(&history, 0);
        let committed = committed + history.usage(share).committed();
        let pool = RetryPool::new(self.terms, &calls, committed, vms);
        self.borrowed.len() < pool.part()
    }

    /// Retries of the window, and those that the share of one of `vms` VMs allows in it.
    pub fn usage(&mut self, service: &ServiceName, vms: usize, now: Moment) -> BudgetUsage {
        let extra_retries = match self.knows_spending(now) {
            true => self.terms.extra_retries,
            false => 0.0,
        };
        let terms = BudgetTerms {
            extra_retries,
            ..self.terms
        };
        let terms = terms.per_vm(self.divisor(vms, now));
        let budget = self.budget(service);
        budget.set_terms(terms);
        budget.usage(now)
    }

    /// Records that there was no process before this one.
    pub fn record_first_start(&mut self) {
        if self.predecessor == PredecessorState::Unknown {
            self.predecessor = PredecessorState::Absent;
        }
    }

    /// Number of VMs among which the budgets are divided, `vms` of which are known.
    pub fn divisor(&self, vms: usize, now: Moment) -> usize {
        match self.has_run_for_window(now) {
            true => vms,
            false => vms.max(self.predecessor_vms),
        }
    }

    /// Whether it is known what this VM has spent in the window, its earlier processes
    /// included.
    pub fn knows_spending(&self, now: Moment) -> bool {
        self.predecessor != PredecessorState::Unknown || self.has_run_for_window(now)
    }

    fn has_run_for_window(&self, now: Moment) -> bool {
        now.since(self.started_at) >= RETRY_WINDOW
    }

    /// Whether a retry was taken or taken over within `time`.
    pub fn changed_within(&self, time: Duration, now: Moment) -> bool {
        now.since(self.changed_at) < time
    }

    /// What this VM states to others.
    pub fn statement(&mut self, vm: u32, boot: u64, vms: usize, now: Moment) -> RetryStatement {
        let budgets = self.budgets.iter_mut();
        let services = budgets.map(|(service, budget)| ServiceHistory {
            service: service.clone(),
            history: budget.history(now),
        });
        let mut services: Vec<ServiceHistory> = services
            .filter(|service| service.history != BudgetHistory::default())
            .collect();
        services.sort_by(|one, other| {
            let spent = other.history.spent().cmp(&one.history.spent());
            spent.then_with(|| one.service.cmp(&other.service))
        });
        services.truncate(MAX_STATED_SERVICES);
        RetryStatement {
            vm,
            boot,
            asks: !self.knows_spending(now),
            vms: u16::try_from(self.divisor(vms, now)).unwrap_or(u16::MAX),
            age_ms: 0,
            services,
        }
    }

    /// Takes over what another VM holds of the process before this one; returns whether
    /// it is the first such statement.
    pub fn inherit(&mut self, statement: &RetryStatement, now: Moment) -> bool {
        let age = statement.age();
        if age > MAX_STATEMENT_AGE {
            return false;
        }
        let is_first = match self.predecessor {
            PredecessorState::Unknown if self.has_run_for_window(now) => return false,
            PredecessorState::Absent => return false,
            PredecessorState::Unknown => true,
            PredecessorState::Told { boot, since } => {
                if boot != statement.boot || now.since(since) >= MERGE_TIME {
                    return false;
                }
                false
            }
        };
        for ServiceHistory { service, history } in &statement.services {
            let known = self.inherited.get(service).copied().unwrap_or_default();
            let budget = self.budget(service);
            if is_first {
                budget.restore_successes(history, age, now);
            }
            budget.restore_retries(history, known, age, now);
            self.inherited
                .insert(service.clone(), known.max(history.spent()));
        }
        self.predecessor_vms = self.predecessor_vms.max(usize::from(statement.vms));
        self.changed_at = now;
        if is_first {
            self.predecessor = PredecessorState::Told {
                boot: statement.boot,
                since: now,
            };
        }
        is_first
    }

    /// Drops the budgets of services without calls and retries in the window.
    pub fn expire(&mut self, now: Moment) {
        self.budgets.retain(|_, budget| !budget.is_idle(now));
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.clone(), RetryBudget::default());
        }
        self.budgets.get_mut(service).expect("inserted above")
    }
}

#[derive(Debug)]
struct HeldStatement {
    statement: RetryStatement,
    received_at: Moment,
}

impl HeldStatement {
    fn age(&self, now: Moment) -> Duration {
        self.statement.age() + now.since(self.received_at)
    }
}

/// Newest statement of each other VM.
#[derive(Debug, Default)]
pub struct HeldStatements {
    by_vm: HashMap<u32, HeldStatement>,
}

impl HeldStatements {
    /// Holds what another VM states. Returns what its predecessor stated, if it asks for
    /// that and this VM holds it.
    pub fn record(&mut self, statement: RetryStatement, now: Moment) -> Option<RetryStatement> {
        let held = self.by_vm.get(&statement.vm);
        if statement.asks {
            // What the predecessor spent is kept until its successor has been told.
            let held = held.filter(|held| held.statement.boot != statement.boot)?;
            let age = held.age(now);
            return (age <= MAX_STATEMENT_AGE).then(|| RetryStatement {
                age_ms: age.as_millis() as u32,
                ..held.statement.clone()
            });
        }
        if held.is_some() || self.by_vm.len() < MAX_HELD_STATEMENTS {
            let vm = statement.vm;
            let held = HeldStatement {
                statement,
                received_at: now,
            };
            self.by_vm.insert(vm, held);
        }
        None
    }

    /// Calls of the others, and the retries that they have made or may make, if the
    /// statements of all `vms` VMs but this one are fresh.
    fn committed(
        &self,
        service: &ServiceName,
        share: BudgetTerms,
        vms: usize,
        now: Moment,
    ) -> Option<(CallAges, usize)> {
        let mut calls = CallAges::default();
        let mut committed = 0;
        let mut fresh = 0;
        for held in self.by_vm.values() {
            let age = held.age(now);
            if age <= FRESH_AGE {
                fresh += 1;
            }
            let services = held.statement.services.iter();
            let stated = services.filter(|stated| stated.service == *service);
            let history = stated.map(|stated| stated.history).next();
            let history = history.unwrap_or_default();
            let tenth = RETRY_WINDOW / WINDOW_BUCKETS as u32;
            calls.add(
                &history,
                age.as_micros().div_ceil(tenth.as_micros()) as usize,
            );
            committed += history.usage(share).committed();
        }
        (fresh + 1 >= vms).then_some((calls, committed))
    }

    /// Drops statements that are too old to be told.
    pub fn expire(&mut self, now: Moment) {
        self.by_vm
            .retain(|_, held| held.age(now) <= MAX_STATEMENT_AGE);
    }
}
