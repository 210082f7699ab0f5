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
    /// What it has spent; first told at a moment.
    Told { since: Moment },
}

/// What a VM knows of the others that have shares.
#[derive(Debug, Clone, Copy)]
pub struct OtherShares<'a> {
    /// Number of VMs that are known, this one included.
    pub known_vms: usize,
    /// Their newest statements.
    pub statements: &'a HeldStatements,
}

/// Share of this VM of the retry budget of one service.
#[derive(Debug, Default)]
struct ServiceShare {
    budget: RetryBudget,
    /// Retries taken over from the predecessor.
    inherited: usize,
    /// When retries beyond the share were taken of which others may not know yet.
    borrowed: VecDeque<Moment>,
}

impl ServiceShare {
    fn drop_known_loans(&mut self, now: Moment) {
        while let Some(oldest) = self.borrowed.front()
            && now.since(*oldest) >= FRESH_AGE
        {
            self.borrowed.pop_front();
        }
    }
}

/// Shares of this VM of the retry budgets of all services.
#[derive(Debug)]
pub struct RetryShares {
    terms: BudgetTerms,
    services: HashMap<ServiceName, ServiceShare>,
    predecessor: PredecessorState,
    /// Number of VMs by which the predecessor divided the budgets; this process may not
    /// have heard all of them yet.
    predecessor_vms: usize,
    started_at: Moment,
    changed_at: Moment,
}

impl RetryShares {
    /// Shares of a process that starts at `now` and knows of none before it.
    pub fn new(terms: BudgetTerms, now: Moment) -> Self {
        Self {
            terms,
            services: HashMap::new(),
            predecessor: PredecessorState::Unknown,
            predecessor_vms: 0,
            started_at: now,
            changed_at: now,
        }
    }

    /// Counts a call of a caller; it adds to the budget of its service.
    pub fn record_call(&mut self, service: &ServiceName, now: Moment) {
        self.share(service).budget.record_success(now);
    }

    /// Takes a retry from the share, or one that no share covers; fails with what is spent
    /// if there is none.
    pub fn try_take(
        &mut self,
        service: &ServiceName,
        others: OtherShares<'_>,
        now: Moment,
    ) -> Result<(), BudgetUsage> {
        let usage = self.usage(service, others.known_vms, now);
        let borrows = !usage.has_room();
        if borrows && !self.can_borrow(service, others, now) {
            return Err(usage);
        }
        let share = self.share(service);
        if borrows {
            share.borrowed.push_back(now);
        }
        share.budget.record_retry(now);
        self.changed_at = now;
        Ok(())
    }

    /// Whether [`try_take`](Self::try_take) would succeed.
    pub fn allows(&mut self, service: &ServiceName, others: OtherShares<'_>, now: Moment) -> bool {
        let usage = self.usage(service, others.known_vms, now);
        usage.has_room() || self.can_borrow(service, others, now)
    }

    fn can_borrow(&mut self, service: &ServiceName, others: OtherShares<'_>, now: Moment) -> bool {
        if !self.knows_spending(now) {
            return false;
        }
        let terms = self.terms;
        let vms = self.divisor(others.known_vms, now);
        let per_vm = terms.per_vm(vms);
        let share = self.share(service);
        share.drop_known_loans(now);
        let history = share.budget.history(now);
        let statements = others.statements;
        let Some((mut calls, committed)) = statements.committed(service, per_vm, vms, now) else {
            return false;
        };
        calls.add(&history, 0);
        let committed = committed + history.usage(per_vm).committed();
        let pool = RetryPool::new(terms, &calls, committed, vms);
        share.borrowed.len() < pool.part()
    }

    /// Retries of the window, and those that the share of one of `known_vms` VMs allows in
    /// it.
    pub fn usage(&mut self, service: &ServiceName, known_vms: usize, now: Moment) -> BudgetUsage {
        let extra_retries = match self.knows_spending(now) {
            true => self.terms.extra_retries,
            false => 0.0,
        };
        let terms = BudgetTerms {
            extra_retries,
            ..self.terms
        };
        let terms = terms.per_vm(self.divisor(known_vms, now));
        let budget = &mut self.share(service).budget;
        budget.set_terms(terms);
        budget.usage(now)
    }

    /// Records that there was no process before this one.
    pub fn record_first_start(&mut self) {
        if self.predecessor == PredecessorState::Unknown {
            self.predecessor = PredecessorState::Absent;
        }
    }

    /// Number of VMs among which the budgets are divided, `known_vms` of which are known.
    pub fn divisor(&self, known_vms: usize, now: Moment) -> usize {
        match self.has_run_for_window(now) {
            true => known_vms,
            false => known_vms.max(self.predecessor_vms),
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
    pub fn statement(
        &mut self,
        vm: u32,
        boot: u64,
        known_vms: usize,
        now: Moment,
    ) -> RetryStatement {
        let services = self.services.iter_mut();
        let services = services.map(|(service, share)| ServiceHistory {
            service: service.clone(),
            history: share.budget.history(now),
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
            vms: u16::try_from(self.divisor(known_vms, now)).unwrap_or(u16::MAX),
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
            PredecessorState::Told { since } if now.since(since) >= MERGE_TIME => return false,
            PredecessorState::Told { .. } => false,
        };
        for ServiceHistory { service, history } in &statement.services {
            let share = self.share(service);
            if is_first {
                share.budget.restore_successes(history, age, now);
            }
            // Each process states what it has taken over as well.
            let known = share.inherited;
            share.budget.restore_retries(history, known, age, now);
            share.inherited = known.max(history.spent());
        }
        self.predecessor_vms = self.predecessor_vms.max(usize::from(statement.vms));
        self.changed_at = now;
        if is_first {
            self.predecessor = PredecessorState::Told { since: now };
        }
        is_first
    }

    /// Drops the shares of services without calls and retries in the window.
    pub fn expire(&mut self, now: Moment) {
        self.services.retain(|_, share| !share.budget.is_idle(now));
    }

    fn share(&mut self, service: &ServiceName) -> &mut ServiceShare {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.clone(), ServiceShare::default());
        }
        self.services.get_mut(service).expect("inserted above")
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
