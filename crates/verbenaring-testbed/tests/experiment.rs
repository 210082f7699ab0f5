//! Short runs of the experiments.

use std::time::Duration;

use verbenaring_testbed::experiment::run;
use verbenaring_testbed::experiment::scenario::{Experiment, experiments};

/// The experiment's first run, cut to 30 s of arrivals and measured from its
/// start.
fn shortened(name: &str) -> Experiment {
    let mut experiment = experiments()
        .into_iter()
        .find(|candidate| candidate.name == name)
        .expect("a known experiment");
    experiment.runs.truncate(1);
    for spec in &mut experiment.runs {
        spec.duration = Duration::from_secs(30);
        spec.measured_from = Duration::ZERO;
    }
    experiment
}

/// Guards against hidden sources of randomness, such as the iteration order of
/// a hash map, and against violated invariants with slow servers and with a
/// request that crashes servers.
#[test]
fn same_seed_gives_same_bytes_without_violations() {
    for name in ["stragglers", "crashing-request"] {
        let experiment = shortened(name);
        let first = run(&experiment, 7, None);
        let second = run(&experiment, 7, None);
        assert_eq!(first.text(), second.text(), "{name}");
        let json = |report| serde_json::to_string(report).expect("plain data");
        assert_eq!(json(&first), json(&second), "{name}");
        assert_eq!(first.violations(), 0.0, "{name}");
        let completed = 1.0 - first.results[0].figure("not_completed_share");
        assert!(completed > 0.5, "{name}: {completed}");
    }
}
