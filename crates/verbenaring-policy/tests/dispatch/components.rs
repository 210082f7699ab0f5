//! Tests of server health, pacing, prompt caches and retry budgets.

use std::time::Duration;

use verbenaring_policy::dispatch::health::{AnswerQuality, ServerHealth};
use verbenaring_policy::dispatch::pace::PaceWindow;
use verbenaring_policy::dispatch::prompt::{PromptCache, PromptRecord};
use verbenaring_policy::retry::{BudgetTerms, RetryBudget};

use super::fixture::*;

#[test]
fn forgets_failures_without_answers() {
    let mut health = ServerHealth::default();
    for _ in 0..20 {
        health.record_answer(AnswerQuality::Failed, at(0));
    }
    assert!(health.penalty(at(1)) > ms(500));
    assert!(health.penalty(at(20_000)) < ms(10));
}

#[test]
fn tolerated_failures_add_no_penalty() {
    let mut health = ServerHealth::default();
    for round in 0..100 {
        let quality = match round % 7 {
            0 => AnswerQuality::Failed,
            _ => AnswerQuality::Good,
        };
        health.record_answer(quality, at(round * 50));
    }
    assert!(health.penalty(at(5_000)) < ms(100));
}

#[test]
fn silence_adds_a_penalty_while_calls_wait() {
    let mut health = ServerHealth::default();
    health.record_sent(at(0));
    assert!(health.penalty(at(3_000)) > ms(2_000));
    health.record_wait_ended();
    assert_eq!(health.penalty(at(3_000)), Duration::ZERO);
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

/// Guards against a VM that is not the owner of a server and keeps every call to it.
#[test]
fn pace_keeps_the_calls_of_one_window() {
    let mut window = PaceWindow::default();
    for now in 0..5_000 {
        window.record(at(now));
    }
    assert!(window.kept_calls() <= 1_001, "{}", window.kept_calls());
}

#[test]
fn cache_evicts_the_least_recently_used() {
    let mut cache = PromptCache::default();
    let prompt = |session: u32| PromptRecord {
        session,
        server: 0,
        shared: 400,
        own: 100,
    };
    for session in 0..4 {
        cache.record(&prompt(session), 1_600, at(u64::from(session)));
    }
    assert_eq!(cache.last_use(0), None);
    assert_eq!(cache.last_use(3), Some(at(3)));
}

#[test]
fn parts_of_a_budget_stay_within_it() {
    let total = BudgetTerms {
        retries_per_success: 0.2,
        extra_retries: 54.0,
        min_retries: 0,
    };
    let mut retries = 0;
    for _ in 0..7 {
        let mut budget = RetryBudget::default();
        budget.set_terms(total.per_vm(7));
        for _ in 0..20 {
            budget.record_success(at(1));
        }
        while budget.allows(at(2)) {
            budget.record_retry(at(2));
            retries += 1;
        }
    }
    let allowed = (0.2 * 140.0 + 54.0) as usize;
    assert!(retries <= allowed, "{retries} of {allowed}");
    assert!(retries > allowed / 2);
}

/// Load: callers move from some VMs to others, and servers fail meanwhile, so that each
/// VM retries while its own load is high. Guards against parts of a budget that together
/// exceed it.
#[test]
fn parts_of_a_budget_stay_within_it_while_callers_move() {
    const VMS: usize = 7;
    /// VMs that callers leave, one after the other.
    const LEFT_VMS: usize = 4;
    const STEP_MS: u64 = 100;
    const WINDOW_MS: u64 = 10_000;
    let total = BudgetTerms {
        retries_per_success: 0.2,
        extra_retries: 54.0,
        min_retries: 0,
    };
    let mut budgets: Vec<RetryBudget> = (0..VMS).map(|_| RetryBudget::default()).collect();
    let mut requests: Vec<u64> = Vec::new();
    let mut retries: Vec<u64> = Vec::new();
    for now in (0..60_000).step_by(STEP_MS as usize) {
        for (vm, budget) in budgets.iter_mut().enumerate() {
            budget.set_terms(total.per_vm(VMS));
            let busy = (vm < LEFT_VMS) == (now < 20_000);
            for _ in 0..if busy { 8 } else { 1 } {
                budget.record_success(at(now));
                requests.push(now);
            }
            while now > 18_000 && budget.allows(at(now)) {
                budget.record_retry(at(now));
                retries.push(now);
            }
        }
    }
    let count = |times: &[u64], start: u64| {
        let inside = times
            .iter()
            .filter(|at| (start..start + WINDOW_MS).contains(*at));
        inside.count()
    };
    for start in (WINDOW_MS..50_000).step_by(STEP_MS as usize) {
        // The rules count the requests of the window, of the one before it or of the one
        // half a window before it.
        let starts = [start, start - WINDOW_MS / 2, start - WINDOW_MS];
        let sent = starts.map(|start| count(&requests, start));
        let most = sent.into_iter().max().unwrap_or_default();
        let allowed = (most as f64 * total.retries_per_success + total.extra_retries) as usize;
        let taken = count(&retries, start);
        assert!(taken <= allowed, "{taken} of {allowed} from {start} ms");
    }
}
