//! Outcomes of failed tries.

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

/// A hedge that was surely not run must not hide that the first try may have
/// run: the caller would be told `not_run` wrongly.
#[test]
fn second_failure_keeps_the_doubt_of_the_first() {
    let unknown = failure(RunOutcome::Unknown);
    let not_run = failure(RunOutcome::NotRun);
    assert_eq!(not_run.clone().after(&unknown).outcome, RunOutcome::Unknown);
    assert_eq!(unknown.after(&not_run).outcome, RunOutcome::Unknown);
    assert_eq!(not_run.clone().after(&not_run).outcome, RunOutcome::NotRun);
}
