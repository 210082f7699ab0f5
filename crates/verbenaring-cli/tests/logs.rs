//! Explanation and counting of failures from log lines. `logs/vms.log` holds lines of
//! four VMs from a run in which servers were removed, and two truncated lines.

use std::path::PathBuf;

use verbenaring_cli::logs::explain::{RequestExplanation, explain};
use verbenaring_cli::logs::line::MergedLog;
use verbenaring_cli::logs::summary::{summarize, write_plot};

/// Request refused under load, after attempts in another region.
const REFUSED: &str = "b15c04def06f0fef";
/// Request whose stream broke in another region.
const BROKEN_STREAM: &str = "bc28afb2c6b69c3e";
/// Request refused because no route in force matches.
const NO_ROUTE: &str = "3ff1c0d28c01d3fb";

fn sample_log() -> MergedLog {
    let file = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/vms.log"));
    MergedLog::load(&[file]).expect("sample log can be read")
}

fn explanation_of(request: &str) -> RequestExplanation {
    explain(&sample_log(), request).expect("request is in the logs")
}

fn step_messages(explanation: &RequestExplanation) -> Vec<(&str, &str)> {
    let steps = explanation.steps.iter();
    steps
        .map(|step| (step.vm.as_str(), step.what.as_str()))
        .collect()
}

/// Guards against an explanation that names the cause of the wrong region: the lines of
/// all VMs must be in the order of time, and the outcome must come from the VM that
/// answered the caller.
#[test]
fn refused_call_is_explained_with_lines_of_both_regions() {
    let explanation = explanation_of(REFUSED);
    let expected_steps = [
        ("front-dublin-depot-2", "call forwarded"),
        ("front-dublin-depot-2", "attempt failed"),
        ("front-cork-depot-1", "call refused"),
        ("front-dublin-depot-2", "attempt failed"),
        ("front-dublin-depot-2", "call refused"),
    ];
    assert_eq!(step_messages(&explanation), expected_steps);
    assert!(
        explanation
            .cause
            .starts_with("refused: overloaded (no server")
    );
    assert!(
        explanation
            .cause
            .contains("front-cork-depot-1: the VM answered 503")
    );
    let learned = "front-cork-depot-1: engine times learned, 4007 ms before";
    assert!(
        explanation
            .beliefs
            .iter()
            .any(|belief| belief.starts_with(learned))
    );
}

#[test]
fn broken_stream_is_explained_with_its_server() {
    let explanation = explanation_of(BROKEN_STREAM);
    assert!(
        explanation
            .cause
            .starts_with("the stream broke after 37 parts")
    );
    let placed = &explanation.steps[1];
    assert_eq!(placed.what, "call placed");
    assert!(placed.details.contains("server=\"i-4bde574639\""));
    let server_entry = "front-cork-depot-2: server entry changed";
    assert!(
        explanation
            .beliefs
            .iter()
            .any(|belief| belief.starts_with(server_entry))
    );
}

#[test]
fn call_without_a_route_is_explained_with_the_routes_in_force() {
    let explanation = explanation_of(NO_ROUTE);
    assert!(explanation.cause.starts_with("refused: no_route"));
    let routes = explanation
        .beliefs
        .iter()
        .find(|belief| belief.contains("routes in force"));
    assert!(routes.is_some_and(|belief| belief.contains("version=3")));
}

/// Guards against an explanation that looks complete although lines are missing.
#[test]
fn missing_lines_are_reported() {
    let explanation = explanation_of(REFUSED);
    let reported = |text: &str| explanation.gaps.iter().any(|gap| gap.contains(text));
    assert!(reported("left out 135 lines"));
    assert!(reported("2 lines are not of a VM or cut off"));
    assert_eq!(explain(&sample_log(), "0000000000000000"), None);
}

#[test]
fn summary_counts_by_reason_and_vm() {
    let summary = summarize(&sample_log());
    assert_eq!(summary.reasons["refused: overloaded"], 1);
    assert_eq!(summary.reasons["refused: no_route"], 1);
    assert_eq!(summary.reasons["stream: broken"], 2);
    let vm = &summary.vms["front-cork-depot-1"];
    assert_eq!(vm["refused: saturated"], 1);
    assert_eq!(summary.data_centres["front-cork-depot-1"], "cork-depot");
    assert!(summary.missing_lines >= 135);
    let file = std::env::temp_dir().join(format!("verbenaring-summary-{}.svg", std::process::id()));
    write_plot(&summary, &file).expect("plot can be written");
    let plot = std::fs::read_to_string(&file).expect("plot can be read");
    std::fs::remove_file(&file).expect("plot can be removed");
    assert!(plot.contains("refused: no_route"));
}
