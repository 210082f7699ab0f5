//! Explanation of the outcome of one request: its log lines at all VMs, the state that
//! the VMs knew, what the logs do not show, and the cause.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::line::{LogLine, MergedLog};

/// Step in the handling of a request, from one log line.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestStep {
    /// Time since the first step, in milliseconds, by the clocks of the VMs.
    pub after_ms: u64,
    /// Name of the VM.
    pub vm: String,
    /// Message of the log line.
    pub what: String,
    /// Other fields of the log line, as `name=value`.
    pub details: String,
}

/// What log files show about one request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Steps in the order of their times.
    pub steps: Vec<RequestStep>,
    /// State that each VM with a step knew at its first step: configuration,
    /// connection to the store, learned times.
    pub beliefs: Vec<String>,
    /// Reasons why steps may be missing.
    pub gaps: Vec<String>,
    /// Outcome of the request and its cause.
    pub cause: String,
}

/// Messages that show the state known to a VM, each with a field name or an empty text.
/// The newest line is shown for each message and value of its field.
const STATE_MESSAGES: [(&str, &str); 9] = [
    ("routes in force", ""),
    ("evacuated data centres changed", ""),
    ("state known", "scope"),
    ("platform store lost", "scope"),
    ("platform store regained", "scope"),
    ("engine times learned", "service"),
    ("stop started", ""),
    ("started", ""),
    ("snapshot taken over", ""),
];
/// Messages that show the entry that a VM has of one server.
const SERVER_STATE_MESSAGES: [&str; 3] = [
    "server entry changed",
    "server entry removed",
    "server entry missing",
];

/// Explains a request; `None` if no line of the log names it.
pub fn explain(log: &MergedLog, request: &str) -> Option<RequestExplanation> {
    let of_request = |line: &&LogLine| line.request.as_deref() == Some(request);
    let lines: Vec<&LogLine> = log.lines.iter().filter(of_request).collect();
    let start = lines.first()?.unix_ms;
    let steps = lines.iter().map(|line| RequestStep {
        after_ms: line.unix_ms - start,
        vm: line.vm.clone(),
        what: line.message.clone(),
        details: line.details(),
    });
    Some(RequestExplanation {
        steps: steps.collect(),
        beliefs: known_state(log, &lines),
        gaps: possible_gaps(log, &lines),
        cause: describe_outcome(&lines),
    })
}

/// Names of the servers and VMs that the lines of a request mention.
fn mentioned_names<'a>(lines: &[&'a LogLine]) -> BTreeSet<&'a str> {
    let named = lines
        .iter()
        .flat_map(|line| ["server", "target", "vm"].map(|name| line.text(name)));
    named.filter(|name| !name.is_empty()).collect()
}

/// For each VM that handled the request: its newest line about each state that is not
/// later than its first line on the request.
fn known_state(log: &MergedLog, lines: &[&LogLine]) -> Vec<String> {
    let names = mentioned_names(lines);
    let mut first_ms: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        first_ms.entry(&line.vm).or_insert(line.unix_ms);
    }
    let mut texts = Vec::new();
    for (vm, at_ms) in first_ms {
        let mut newest: BTreeMap<(&str, &str), &LogLine> = BTreeMap::new();
        let earlier = log
            .lines
            .iter()
            .filter(|line| line.vm == vm && line.unix_ms <= at_ms);
        for line in earlier {
            let message = line.message.as_str();
            let state = STATE_MESSAGES.iter().find(|(state, _)| *state == message);
            if let Some((state, field)) = state {
                newest.insert((state, line.text(field)), line);
            }
            let server = line.text("server");
            if SERVER_STATE_MESSAGES.contains(&message) && names.contains(server) {
                newest.insert(("server", server), line);
            }
        }
        let mut newest: Vec<&LogLine> = newest.into_values().collect();
        newest.sort_by_key(|line| line.unix_ms);
        for line in newest {
            let age_ms = at_ms - line.unix_ms;
            let (message, details) = (&line.message, line.details());
            texts.push(format!("{vm}: {message}, {age_ms} ms before: {details}"));
        }
    }
    texts
}

/// Reasons why the files may lack lines on the request.
fn possible_gaps(log: &MergedLog, lines: &[&LogLine]) -> Vec<String> {
    let mut gaps = Vec::new();
    let vms: BTreeSet<&str> = log.lines.iter().map(|line| line.vm.as_str()).collect();
    let seen: BTreeSet<&str> = lines.iter().map(|line| line.vm.as_str()).collect();
    for line in lines {
        let region = match line.message.as_str() {
            "call forwarded" => line.text("region"),
            _ => continue,
        };
        if seen.len() == 1 {
            gaps.push(format!(
                "{} forwarded the call to {region}, and no VM there has a line on it: \
                 lines on calls that go well are limited, or its log is not among the files",
                line.vm
            ));
        }
    }
    for line in lines
        .iter()
        .filter(|line| line.number("suppressed_lines") > 0)
    {
        gaps.push(format!(
            "{} left out {} lines before \"{}\"",
            line.vm,
            line.number("suppressed_lines"),
            line.message
        ));
    }
    let dropped = log
        .lines
        .iter()
        .filter(|line| line.message == "log lines dropped" && seen.contains(line.vm.as_str()));
    for line in dropped {
        let lines = line.number("lines");
        gaps.push(format!("{} dropped {lines} lines", line.vm));
    }
    if vms.len() == 1 {
        gaps.push("the files hold the log of one VM only".to_owned());
    }
    if log.skipped > 0 {
        gaps.push(format!("{} lines are not of a VM or cut off", log.skipped));
    }
    gaps
}

/// Outcome of a request, from its last final line, and the last failure of an attempt or
/// stream.
fn describe_outcome(lines: &[&LogLine]) -> String {
    let last_line = |messages: &[&str]| {
        let mut newest = lines.iter().rev();
        newest.find(|line| messages.contains(&line.message.as_str()))
    };
    let failure = last_line(&["stream broke", "attempt failed"]).map(|line| {
        let target = line.text("target");
        format!("{}: {}", target, line.text("reason"))
    });
    let after = failure.map_or(String::new(), |failure| format!("; before it, {failure}"));
    // A forwarded request has final lines at several VMs. The last one is usually that
    // of the VM that answered the caller.
    match last_line(&["call refused", "stream ended", "call answered"]) {
        None => format!("no final answer is logged{after}"),
        Some(line) if line.message == "call refused" => {
            let reason = line.text("reason");
            format!("refused: {reason} ({}){after}", describe_refusal(reason))
        }
        Some(line) if line.message == "stream ended" => match line.text("outcome") {
            "complete" => "the stream was complete".to_owned(),
            "caller_gone" => "the caller left before the end".to_owned(),
            "timed_out" => format!("the time of the call ended before the stream{after}"),
            _ => format!(
                "the stream broke after {} parts: {}{after}",
                line.number("parts"),
                line.text("reason")
            ),
        },
        Some(line) => format!("answered {}{after}", line.number("status")),
    }
}

/// Explains a refusal reason in plain words.
fn describe_refusal(reason: &str) -> &'static str {
    match reason {
        // Earlier builds do not tell these three apart.
        "overloaded" => "no server can answer in time",
        "start_too_late" => "no server can begin the answer before the deadline",
        "end_too_late" => "no server can end the answer before the deadline",
        "servers_full" => "the servers have no room for the call",
        "unknown_key" => "no tenant holds the caller's key",
        "no_common_region" => "the route and the tenant have no home region in common",
        "shortage" => {
            "callers ask for more than the engines can do, and more urgent calls go first"
        }
        "saturated" => "the engines read prompts nearly all of the time",
        "no_server" => "no server that may run the call takes calls",
        "servers_brittle" => {
            "the servers fail when they refuse many calls, and all their places are taken"
        }
        "servers_unreached" => "this VM reaches no server of the service",
        "servers_limited" => "the servers that may run the call take no more of them for now",
        "servers_cold" => "the servers that may run the call have just started",
        "repeat_budget" => "the budget of repeats is used up",
        "no_memory" => "requests of clients take up the memory for them",
        "quarantined" => "servers ended under the request or a part of its prompt",
        "starting" => "the VM has no configuration yet",
        "stopping" => "the VM stops before the call could end",
        "no_route" => "no route in force matches host and path",
        "no_route_yet" => "the VM asked by another one has older routes",
        "no_service" => "the route names no known service",
        "broken" => "a server may have run the call and gave no whole answer",
        "timed_out" => "no answer came in the time of the call",
        "not_sent_in_time" => "the time of the call ended before it was sent",
        "targets_failed" => "every target that was tried failed",
        _ => "see docs/OPERATIONS.md",
    }
}
