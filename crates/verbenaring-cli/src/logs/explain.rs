//! Story of one request: its lines of all VMs, what the VMs believed, the cause.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::line::{LogBook, LogLine};

/// Step of a request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestStep {
    /// Time since the first step, in ms, by the clocks of the VMs.
    pub after_ms: u64,
    /// VM.
    pub vm: String,
    /// What happened.
    pub what: String,
    /// Inputs and outcome.
    pub details: String,
}

/// What is known of one request.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestStory {
    /// Steps, in order of time.
    pub steps: Vec<RequestStep>,
    /// What each VM of the story believed at its first step.
    pub beliefs: Vec<String>,
    /// What the logs do not show.
    pub gaps: Vec<String>,
    /// Cause of the outcome.
    pub cause: String,
}

/// Messages that say what a VM believes, and the field that tells one belief
/// from another of the same kind.
const BELIEFS: [(&str, &str); 9] = [
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
/// Messages on the entry of one server.
const SERVER_BELIEFS: [&str; 3] = [
    "server entry changed",
    "server entry removed",
    "server entry missing",
];

/// Collects what the logs say about a request; none if they do not name it.
pub fn explain(book: &LogBook, request: &str) -> Option<RequestStory> {
    let of_request = |line: &&LogLine| line.request.as_deref() == Some(request);
    let lines: Vec<&LogLine> = book.lines.iter().filter(of_request).collect();
    let start = lines.first()?.unix_ms;
    let steps = lines.iter().map(|line| RequestStep {
        after_ms: line.unix_ms - start,
        vm: line.vm.clone(),
        what: line.message.clone(),
        details: line.details(),
    });
    Some(RequestStory {
        steps: steps.collect(),
        beliefs: beliefs(book, &lines),
        gaps: gaps(book, &lines),
        cause: cause(&lines),
    })
}

/// Servers and VMs to which a request was sent.
fn targets<'a>(lines: &[&'a LogLine]) -> BTreeSet<&'a str> {
    let named = lines
        .iter()
        .flat_map(|line| ["server", "target", "vm"].map(|name| line.text(name)));
    named.filter(|name| !name.is_empty()).collect()
}

fn beliefs(book: &LogBook, lines: &[&LogLine]) -> Vec<String> {
    let servers = targets(lines);
    let mut first: BTreeMap<&str, u64> = BTreeMap::new();
    for line in lines {
        first.entry(&line.vm).or_insert(line.unix_ms);
    }
    let mut texts = Vec::new();
    for (vm, at) in first {
        let mut newest: BTreeMap<(&str, &str), &LogLine> = BTreeMap::new();
        let earlier = book
            .lines
            .iter()
            .filter(|line| line.vm == vm && line.unix_ms <= at);
        for line in earlier {
            let message = line.message.as_str();
            let known = BELIEFS.iter().find(|(belief, _)| *belief == message);
            if let Some((belief, field)) = known {
                newest.insert((belief, line.text(field)), line);
            }
            let server = line.text("server");
            if SERVER_BELIEFS.contains(&message) && servers.contains(server) {
                newest.insert(("server", server), line);
            }
        }
        let mut newest: Vec<&LogLine> = newest.into_values().collect();
        newest.sort_by_key(|line| line.unix_ms);
        for line in newest {
            let age = at - line.unix_ms;
            let (message, details) = (&line.message, line.details());
            texts.push(format!("{vm}: {message}, {age} ms before: {details}"));
        }
    }
    texts
}

fn gaps(book: &LogBook, lines: &[&LogLine]) -> Vec<String> {
    let mut gaps = Vec::new();
    let vms: BTreeSet<&str> = book.lines.iter().map(|line| line.vm.as_str()).collect();
    let seen: BTreeSet<&str> = lines.iter().map(|line| line.vm.as_str()).collect();
    for line in lines {
        let target = match line.message.as_str() {
            "call forwarded" => line.text("region"),
            _ => continue,
        };
        if seen.len() == 1 {
            gaps.push(format!(
                "{} forwarded the call to {target}, and no VM there has a line on it: \
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
    let dropped = book
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
    if book.skipped > 0 {
        gaps.push(format!("{} lines are not of a VM or cut off", book.skipped));
    }
    gaps
}

/// Cause of the outcome: the final line, and the failure before it.
fn cause(lines: &[&LogLine]) -> String {
    let last = |messages: &[&str]| {
        let mut newest = lines.iter().rev();
        newest.find(|line| messages.contains(&line.message.as_str()))
    };
    let failure = last(&["stream broke", "attempt failed"]).map(|line| {
        let target = line.text("target");
        format!("{}: {}", target, line.text("reason"))
    });
    let after = failure.map_or(String::new(), |failure| format!("; before it, {failure}"));
    // The VM that the caller asked has the last word.
    match last(&["call refused", "stream ended", "call answered"]) {
        None => format!("no final answer is logged{after}"),
        Some(line) if line.message == "call refused" => {
            let reason = line.text("reason");
            format!("refused: {reason} ({}){after}", meaning(reason))
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

/// What a reason of a refusal says.
fn meaning(reason: &str) -> &'static str {
    match reason {
        "overloaded" => "no server can answer in time",
        "saturated" => "the engines read prompts nearly all of the time",
        "no_server" => "no server that may run the call takes calls",
        "servers_cold" => "the servers that may run the call have just started",
        "repeat_budget" => "the budget of repeats is used up",
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
