//! Tests of retry budgets and attempt plans.

use std::time::Duration;

use verbenaring_policy::id::{CustomerId, ServerId};
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::retry::{
    AttemptFailure, AttemptPlan, BudgetTerms, NextAttempt, RETRY_WINDOW, RetryBudget, RetryLimiter,
};
use verbenaring_policy::time::Moment;

fn at(seconds: u64) -> Moment {
    Moment::default() + Duration::from_secs(seconds)
}

fn customer(name: &str) -> CustomerId {
    CustomerId::new(name).unwrap()
}

/// Guards against retries beyond 10% of the successes of a customer or a node,
/// which would multiply the load during an outage.
#[test]
fn retries_are_limited_per_customer_and_node() {
    let mut limiter = RetryLimiter::default();
    let (busy, quiet) = (customer("busy"), customer("quiet"));
    let mut take = |name: &CustomerId, successes: u32, now| {
        (0..successes).for_each(|_| limiter.record_success(name, now));
        (0..100).filter(|_| limiter.try_retry(name, now)).count()
    };
    assert_eq!(take(&quiet, 0, at(1)), 3, "minimum without successes");
    assert_eq!(take(&busy, 200, at(1)), 17, "node allows 20, 3 are used");
    assert_eq!(
        take(&quiet, 100, at(5)),
        7,
        "customer allows 10, 3 are used"
    );
    assert_eq!(
        take(&quiet, 0, at(11)),
        3,
        "retries of second 1 have left the window"
    );
    assert_eq!(
        take(&quiet, 0, at(30)),
        3,
        "all counts have left the window"
    );
    limiter.remove_idle(at(60));
}

/// Load: servers fail twice within a window, each time for a moment. Guards against two
/// whole budgets in one window.
#[test]
fn retries_stay_within_the_budget_in_every_window() {
    const RETRIES_PER_SUCCESS: f64 = 0.2;
    const SUCCESSES_PER_WINDOW: u64 = 1_000;
    let mut budget = RetryBudget::default();
    budget.set_terms(BudgetTerms {
        retries_per_success: RETRIES_PER_SUCCESS,
        extra_retries: 0.0,
        min_retries: 0,
    });
    let interval = RETRY_WINDOW / SUCCESSES_PER_WINDOW as u32;
    let mut taken: Vec<Moment> = Vec::new();
    for step in 0..4 * SUCCESSES_PER_WINDOW {
        let now = at(0) + interval * step as u32;
        budget.record_success(now);
        let now_ms = now.0 / 1_000;
        // Second 12 ends and second 22 begins with failures.
        let fails = (12_900..13_000).contains(&now_ms) || (22_000..22_100).contains(&now_ms);
        while fails && budget.allows(now) {
            budget.record_retry(now);
            taken.push(now);
        }
    }
    let allowed = (SUCCESSES_PER_WINDOW as f64 * RETRIES_PER_SUCCESS) as usize;
    for start in &taken {
        let window = taken
            .iter()
            .filter(|at| *at >= start && at.since(*start) < RETRY_WINDOW);
        let count = window.count();
        assert!(
            count <= allowed,
            "{count} from {start:?}, {allowed} allowed"
        );
    }
    assert!(taken.len() > allowed / 2);
}

/// Guards against sending a booking twice, whatever the failure, and against
/// retries by a node that is not the entry node.
#[test]
fn only_repeatable_calls_are_retried_by_the_entry_node() {
    let name = customer("council");
    for (failure, outcome) in [
        (AttemptFailure::Refused, RunOutcome::NotRun),
        (AttemptFailure::Broken, RunOutcome::Unknown),
        (AttemptFailure::Crashed, RunOutcome::Unknown),
    ] {
        for (repeatable, entry_node) in [(false, true), (true, false)] {
            let mut plan = AttemptPlan::new(at(30), repeatable, entry_node);
            let mut limiter = RetryLimiter::default();
            let next = plan.after_failure(failure, &name, &mut limiter, at(1));
            assert_eq!(next, NextAttempt::GiveUp(outcome));
        }
    }
}

/// Guards against a refusal that turns the unknown outcome of an earlier attempt
/// into `not_run` (invariant I5 of the design document).
#[test]
fn outcome_and_deadline_are_kept_across_attempts() {
    let name = customer("council");
    let mut limiter = RetryLimiter::default();
    let mut plan = AttemptPlan::new(at(30), true, true);
    plan.record_attempt(&ServerId::new("s1").unwrap());
    let next = plan.after_failure(AttemptFailure::Crashed, &name, &mut limiter, at(10));
    let remaining = Duration::from_secs(20);
    let alone = true;
    assert_eq!(next, NextAttempt::Retry { remaining, alone });
    assert_eq!(plan.tried_servers().len(), 1);
    assert_eq!(plan.remaining(Duration::from_secs(20), at(10)), None);
    let next = plan.after_failure(AttemptFailure::Refused, &name, &mut limiter, at(30));
    assert_eq!(next, NextAttempt::GiveUp(RunOutcome::Unknown));
}
