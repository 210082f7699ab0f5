//! Aligned tables for terminals.

use tabled::builder::Builder;
use tabled::settings::{Padding, Style};

/// Table with a title row.
pub fn text_table<const N: usize>(
    titles: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut builder = Builder::default();
    builder.push_record(titles);
    for row in rows {
        builder.push_record(row);
    }
    let mut table = builder.build();
    table.with(Style::empty()).with(Padding::new(0, 2, 0, 0));
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}

/// Value or a dash.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}
