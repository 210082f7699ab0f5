//! Tables with aligned columns for terminals.

use tabled::builder::Builder;
use tabled::settings::{Padding, Style};

/// Formats rows under a row of titles, without borders or trailing spaces.
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

/// Formats a value, or `-` if there is none.
pub fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or("-".into(), |value| value.to_string())
}
