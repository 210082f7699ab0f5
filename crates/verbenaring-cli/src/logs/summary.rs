//! Refusals and failures by reason, VM and time, with a plot.

use std::collections::BTreeMap;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend, WHITE,
};
use serde::Serialize;

use super::line::{LogBook, LogLine};
use crate::error::{Error, Result};

/// Refusals and failures in logs.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct FailureSummary {
    /// Number by kind and reason.
    pub reasons: BTreeMap<String, u64>,
    /// Number by VM, then by kind and reason.
    pub vms: BTreeMap<String, BTreeMap<String, u64>>,
    /// Data centre of each VM, as far as its start is in the logs.
    pub data_centres: BTreeMap<String, String>,
    /// Number in each second since the first line, by kind and reason.
    pub seconds: BTreeMap<String, BTreeMap<u64, u64>>,
    /// Lines that VMs left out or dropped.
    pub missing_lines: u64,
    /// Lines that are not of a VM, or cut off.
    pub skipped_lines: usize,
}

/// Counts refusals and failures.
pub fn summarize(book: &LogBook) -> FailureSummary {
    let start = book.lines.first().map_or(0, |line| line.unix_ms);
    let mut summary = FailureSummary {
        skipped_lines: book.skipped,
        ..FailureSummary::default()
    };
    for line in &book.lines {
        summary.missing_lines += line.number("suppressed_lines");
        match line.message.as_str() {
            "log lines dropped" => summary.missing_lines += line.number("lines"),
            "started" if !line.text("data_centre").is_empty() => {
                let centre = line.text("data_centre").to_owned();
                summary.data_centres.insert(line.vm.clone(), centre);
            }
            _ => {}
        }
        let Some(reason) = failure(line) else {
            continue;
        };
        let second = (line.unix_ms - start) / 1_000;
        let vm = summary.vms.entry(line.vm.clone()).or_default();
        *vm.entry(reason.clone()).or_default() += 1;
        let seconds = summary.seconds.entry(reason.clone()).or_default();
        *seconds.entry(second).or_default() += 1;
        *summary.reasons.entry(reason).or_default() += 1;
    }
    summary
}

/// Kind and reason of a refusal or failure.
fn failure(line: &LogLine) -> Option<String> {
    let text = match line.message.as_str() {
        "call refused" => format!("refused: {}", line.text("reason")),
        "attempt failed" => format!("attempt: {}", without_figures(line.text("reason"))),
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

/// Reason without the figures that differ from call to call.
fn without_figures(reason: &str) -> String {
    match reason.split_once("Some(") {
        Some((before, _)) => before.trim_end().to_owned(),
        None => reason.to_owned(),
    }
}

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (1_000, 500);
/// Reasons that the plot shows; the rarest are left out.
const PLOT_REASONS: usize = 8;

/// Writes a plot of the most frequent reasons over time.
pub fn write_plot(summary: &FailureSummary, file: &Path) -> Result<()> {
    draw(summary, file).map_err(|reason| Error::Failed(format!("{}: {reason}", file.display())))
}

fn draw(summary: &FailureSummary, file: &Path) -> std::result::Result<(), String> {
    let mut reasons: Vec<(&String, &u64)> = summary.reasons.iter().collect();
    reasons.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
    reasons.truncate(PLOT_REASONS);
    let all = || summary.seconds.values().flatten();
    let end = all().map(|(second, _)| *second).max().unwrap_or(0) + 1;
    let most = all().map(|(_, count)| *count).max().unwrap_or(1);
    let fault = |error: &dyn std::fmt::Display| error.to_string();
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| fault(&error))?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Refusals and failures a second", ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(45)
        .build_cartesian_2d(0..end, 0..most + 1)
        .map_err(|error| fault(&error))?;
    chart
        .configure_mesh()
        .x_desc("seconds since the first line")
        .draw()
        .map_err(|error| fault(&error))?;
    for (index, (reason, _)) in reasons.iter().enumerate() {
        let counts = &summary.seconds[*reason];
        let points = (0..end).map(|second| (second, counts.get(&second).copied().unwrap_or(0)));
        let colour = Palette99::pick(index);
        chart
            .draw_series(LineSeries::new(points, &colour))
            .map_err(|error| fault(&error))?
            .label(reason.as_str())
            .legend(move |(x, y)| {
                PathElement::new(vec![(x, y), (x + 15, y)], Palette99::pick(index))
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .draw()
        .map_err(|error| fault(&error))?;
    area.present().map_err(|error| fault(&error))
}
