//! Counts of refusals and failures by reason, VM and time, and a plot of them.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend, WHITE,
};
use serde::Serialize;

use super::line::{LogLine, MergedLog};
use crate::error::{Error, Result};

/// Counts of the refusals and failures in log files.
///
/// A reason is a kind and its details, such as `refused: overloaded`.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FailureSummary {
    /// Count of each reason.
    pub reasons: BTreeMap<String, u64>,
    /// Count of each reason at each VM.
    pub vms: BTreeMap<String, BTreeMap<String, u64>>,
    /// Data centre of each VM whose start is in the logs.
    pub data_centres: BTreeMap<String, String>,
    /// Count of each reason in each second since the first line; seconds without
    /// any are absent.
    pub seconds: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Number of lines that the VMs suppressed or dropped.
    pub missing_lines: u64,
    /// Number of lines that are not from a VM or are truncated.
    pub skipped_lines: usize,
}

/// Counts the refusals and failures in a log.
pub fn summarize(log: &MergedLog) -> FailureSummary {
    let start_ms = log.lines.first().map_or(0, |line| line.unix_ms);
    let mut summary = FailureSummary {
        skipped_lines: log.skipped,
        ..FailureSummary::default()
    };
    for line in &log.lines {
        summary.missing_lines += line.number("suppressed_lines");
        match line.message.as_str() {
            "log lines dropped" => summary.missing_lines += line.number("lines"),
            "started" if !line.text("data_centre").is_empty() => {
                let centre = line.text("data_centre").to_owned();
                summary.data_centres.insert(line.vm.clone(), centre);
            }
            _ => {}
        }
        let Some(reason) = failure_reason(line) else {
            continue;
        };
        let second = (line.unix_ms - start_ms) / 1_000;
        let vm = summary.vms.entry(line.vm.clone()).or_default();
        *vm.entry(reason.clone()).or_default() += 1;
        let seconds = summary.seconds.entry(reason.clone()).or_default();
        *seconds.entry(second).or_default() += 1;
        *summary.reasons.entry(reason).or_default() += 1;
    }
    summary
}

/// Reason of the refusal or failure that a line shows; `None` if it shows none.
fn failure_reason(line: &LogLine) -> Option<String> {
    let text = match line.message.as_str() {
        "call refused" => format!("refused: {}", line.text("reason")),
        "attempt failed" => format!("attempt: {}", without_timeout(line.text("reason"))),
        "stream ended" if !matches!(line.text("outcome"), "complete" | "caller_gone") => {
            format!("stream: {}", line.text("outcome"))
        }
        "call answered" if line.number("status") >= 500 => {
            format!("answered: {}", line.number("status"))
        }
        _ => return None,
    };
    Some(text)
}

/// Reason without the timeout, which differs from call to call: `no answer within
/// Some(1.5s)` becomes `no answer within`.
fn without_timeout(reason: &str) -> String {
    match reason.split_once("Some(") {
        Some((before, _)) => before.trim_end().to_owned(),
        None => reason.to_owned(),
    }
}

/// Width and height of the plot.
const PLOT_SIZE_PX: (u32, u32) = (1_000, 500);
/// Maximum number of reasons in the plot; rarer ones are not shown.
const MAX_PLOT_REASONS: usize = 8;

/// Writes an SVG plot of the most frequent reasons over time.
pub fn write_plot(summary: &FailureSummary, file: &Path) -> Result<()> {
    draw_plot(summary, file)
        .map_err(|reason| Error::Failed(format!("{}: {reason}", file.display())))
}

fn draw_plot(summary: &FailureSummary, file: &Path) -> std::result::Result<(), String> {
    let mut reasons: Vec<(&String, &u64)> = summary.reasons.iter().collect();
    reasons.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    reasons.truncate(MAX_PLOT_REASONS);
    let all_counts = || summary.seconds.values().flatten();
    let end_second = all_counts().map(|(second, _)| *second).max().unwrap_or(0) + 1;
    let max_count = all_counts().map(|(_, count)| *count).max().unwrap_or(1);
    let error_text = |error: &dyn std::fmt::Display| error.to_string();
    let area = SVGBackend::new(file, PLOT_SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|error| error_text(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Refusals and failures a second", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0..end_second, 0..max_count + 1)
        .map_err(|error| error_text(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first line")
        .draw()
        .map_err(|error| error_text(&error))?;
    for (index, (reason, _)) in reasons.iter().enumerate() {
        let counts = &summary.seconds[*reason];
        let points =
            (0..end_second).map(|second| (second, counts.get(&second).copied().unwrap_or(0)));
        let colour = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(|error| error_text(&error))?
            .label(reason.as_str())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 15, y)], Palette99::pick(index))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(|error| error_text(&error))?;
    area.present().map_err(|error| error_text(&error))
}
