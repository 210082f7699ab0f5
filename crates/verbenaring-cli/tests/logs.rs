//! Explaining failures from log lines. `logs/vms.log` holds lines of three VMs
//! of a run with servers that were taken away, and two lines that were cut off.

use std::path::PathBuf;

use verbenaring_cli::logs::explain::{RequestStory, explain};
use verbenaring_cli::logs::line::LogBook;
use verbenaring_cli::logs::summary::{summarize, write_plot};

/// Refused under load, after another region was asked.
const REFUSED: &str = "b15c04def06f0fef";
/// Stream cut in another region.
const CUT: &str = "bc28afb2c6b69c3e";
/// Not run because of the routes in force.
const NO_ROUTE: &str = "3ff1c0d28c01d3fb";

fn book() -> LogBook {
    let file = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/vms.log"));
    LogBook::load(&[file]).expect("file")
}

fn story(request: &str) -> RequestStory {
    explain(&book(), request).expect("request is in the logs")
}

fn steps(story: &RequestStory) -> Vec<(&str, &str)> {
    let steps = story.steps.iter();
    steps
        .map(|step| (step.vm.as_str(), step.what.as_str()))
        .collect()
}

/// Guards against a story that blames the wrong region: the lines of all VMs
/// must come in the order of time, and the caller's VM has the last word.
#[test]
fn a_refused_call_is_explained_by_both_regions() {
    let story = story(REFUSED);
    let expected = [
        ("front-dublin-depot-2", "call forwarded"),
        ("front-dublin-depot-2", "attempt failed"),
        ("front-cork-depot-1", "call refused"),
        ("front-dublin-depot-2", "attempt failed"),
        ("front-dublin-depot-2", "call refused"),
    ];
    assert_eq!(steps(&story), expected);
    assert!(story.cause.starts_with("refused: overloaded (no server"));
    assert!(
        story
            .cause
            .contains("front-cork-depot-1: the VM answered 503")
    );
    let learned = "front-cork-depot-1: engine times learned, 4007 ms before";
    assert!(
        story
            .beliefs
            .iter()
            .any(|belief| belief.starts_with(learned))
    );
}

#[test]
fn a_cut_stream_names_the_server() {
    let story = story(CUT);
    assert!(story.cause.starts_with("the stream broke after 37 parts"));
    let placed = &story.steps[1];
    assert_eq!(placed.what, "call placed");
    assert!(placed.details.contains("server=\"i-4bde574639\""));
    let entry = "front-cork-depot-2: server entry changed";
    assert!(story.beliefs.iter().any(|belief| belief.starts_with(entry)));
}

#[test]
fn a_call_without_a_route_shows_the_routes_in_force() {
    let story = story(NO_ROUTE);
    assert!(story.cause.starts_with("refused: no_route"));
    let routes = story
        .beliefs
        .iter()
        .find(|belief| belief.contains("routes in force"));
    assert!(routes.is_some_and(|belief| belief.contains("version=3")));
}

/// Guards against a story that hides what the logs do not hold.
#[test]
fn gaps_are_said() {
    let story = story(REFUSED);
    let said = |text: &str| story.gaps.iter().any(|gap| gap.contains(text));
    assert!(said("left out 135 lines"));
    assert!(said("2 lines are not of a VM or cut off"));
    assert_eq!(explain(&book(), "0000000000000000"), None);
}

#[test]
fn a_summary_counts_by_reason_and_vm() {
    let summary = summarize(&book());
    assert_eq!(summary.reasons["refused: overloaded"], 1);
    assert_eq!(summary.reasons["refused: no_route"], 1);
    assert_eq!(summary.reasons["stream: broken"], 2);
    let vm = &summary.vms["front-cork-depot-1"];
    assert_eq!(vm["refused: saturated"], 1);
    assert_eq!(summary.data_centres["front-cork-depot-1"], "cork-depot");
    assert!(summary.missing_lines >= 135);
    let file = std::env::temp_dir().join(format!("verbenaring-summary-{}.svg", std::process::id()));
    write_plot(&summary, &file).expect("plot");
    let plot = std::fs::read_to_string(&file).expect("plot");
    std::fs::remove_file(&file).expect("removed");
    assert!(plot.contains("refused: no_route"));
}
