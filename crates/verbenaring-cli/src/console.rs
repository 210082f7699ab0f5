//! Output of a command: either text for people or one JSON value.

use std::io::Write;

use serde::Serialize;

use crate::error::{Error, Result};

/// Writes the output of one command in the format that the operator chose.
///
/// Commands call both [`print`](Self::print), as often as they like, and
/// [`print_json`](Self::print_json), once; the calls for the other format do nothing.
pub struct OutputConsole<W> {
    output: W,
    json: bool,
}

impl<W: Write> OutputConsole<W> {
    /// Creates a console that writes JSON if `json` is set, and text otherwise.
    pub fn new(output: W, json: bool) -> Self {
        Self { output, json }
    }

    /// Writes text for people, unless JSON was chosen.
    pub fn print(&mut self, text: impl AsRef<str>) -> Result<()> {
        if self.json {
            return Ok(());
        }
        self.write(text.as_ref())
    }

    /// Writes the result as one JSON value, if JSON was chosen.
    pub fn print_json(&mut self, value: &impl Serialize) -> Result<()> {
        if !self.json {
            return Ok(());
        }
        let text = serde_json::to_string_pretty(value)
            .map_err(|error| Error::Failed(error.to_string()))?;
        self.write(&text)
    }

    fn write(&mut self, text: &str) -> Result<()> {
        writeln!(self.output, "{}", text.trim_end())
            .map_err(|error| Error::Failed(format!("the output cannot be written: {error}")))
    }
}
