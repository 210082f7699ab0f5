//! Evidence, pace, caches and budgets.

use std::time::Duration;

use verbenaring_policy::dispatch::evidence::{AnswerQuality, ServerEvidence};
use verbenaring_policy::dispatch::pace::PaceWindow;
use verbenaring_policy::dispatch::prompt::{PartCache, ReadNote};
use verbenaring_policy::retry::{BudgetTerms, RetryBudget};

use super::fixture::*;

#[test]
fn forgets_failures_without_answers() {
    let mut evidence = ServerEvidence::default();
    for _ in 0..20 {
        evidence.record_answer(AnswerQuality::Failed, at(0));
    }
    assert!(evidence.penalty(at(1)) > ms(500));
    assert!(evidence.penalty(at(20_000)) < ms(10));
}

#[test]
fn usual_failures_cost_nothing() {
    let mut evidence = ServerEvidence::default();
    for round in 0..100 {
        let quality = match round % 7 {
            0 => AnswerQuality::Failed,
            _ => AnswerQuality::Good,
        };
        evidence.record_answer(quality, at(round * 50));
    }
    assert!(evidence.penalty(at(5_000)) < ms(100));
}

#[test]
fn silence_costs_while_calls_wait() {
    let mut evidence = ServerEvidence::default();
    evidence.record_sent(at(0));
    assert!(evidence.penalty(at(3_000)) > ms(2_000));
    evidence.record_settled();
    assert_eq!(evidence.penalty(at(3_000)), Duration::ZERO);
}

#[test]
fn pace_holds_in_every_window() {
    let mut window = PaceWindow::default();
    let mut sent: Vec<u64> = Vec::new();
    for now in 0..5_000 {
        if window.allows(4, at(now)) {
            window.record(at(now));
            sent.push(now);
        }
    }
    for first in &sent {
        let within = sent
            .iter()
            .filter(|other| (*first..first + 1_000).contains(*other));
        assert!(within.count() <= 4);
    }
}

#[test]
fn cache_drops_the_least_recently_used() {
    let mut cache = PartCache::default();
    let note = |session: u32| ReadNote {
        session,
        server: 0,
        shared: 400,
        own: 100,
    };
    for session in 0..4 {
        cache.record(&note(session), 1_600, at(u64::from(session)));
    }
    assert_eq!(cache.last_use(0), None);
    assert_eq!(cache.last_use(3), Some(at(3)));
}

#[test]
fn parts_of_a_budget_stay_within_it() {
    let whole = BudgetTerms {
        retries_per_success: 0.2,
        extra_retries: 54.0,
        min_retries: 0,
    };
    let mut repeats = 0;
    for _ in 0..7 {
        let mut budget = RetryBudget::default();
        budget.set_terms(whole.per_vm(7));
        for _ in 0..20 {
            budget.record_success(at(1));
        }
        while budget.allows(at(2)) {
            budget.record_retry(at(2));
            repeats += 1;
        }
    }
    let allowed = (0.2 * 140.0 + 54.0) as usize;
    assert!(repeats <= allowed, "{repeats} of {allowed}");
    assert!(repeats > allowed / 2);
}
