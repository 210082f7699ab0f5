//! Outcome of a request whose attempts all failed.

use verbenaring_gateway::attempt::AttemptFailure;
use verbenaring_policy::outcome::RunOutcome;

fn failure(outcome: RunOutcome) -> AttemptFailure {
    AttemptFailure {
        outcome,
        code: "backend_failed",
        message: "test".into(),
        crashed: false,
    }
}

/// If one attempt may have run and the other, a hedge, did not, the outcome must be
/// `unknown`: with `not_run` the caller could repeat a request that ran.
#[test]
fn second_failure_keeps_an_unknown_outcome() {
    let unknown = failure(RunOutcome::Unknown);
    let not_run = failure(RunOutcome::NotRun);
    assert_eq!(not_run.clone().after(&unknown).outcome, RunOutcome::Unknown);
    assert_eq!(unknown.after(&not_run).outcome, RunOutcome::Unknown);
    assert_eq!(not_run.clone().after(&not_run).outcome, RunOutcome::NotRun);
}
