//! Output of a command: text for people or one JSON value.

use std::io::Write;

use serde::Serialize;

use crate::error::{Error, Result};

/// Writes text at once and JSON at the end.
pub struct OutputConsole<W> {
    output: W,
    json: bool,
}

impl<W: Write> OutputConsole<W> {
    /// Console that writes JSON if `json` is set, else text.
    pub fn new(output: W, json: bool) -> Self {
        Self { output, json }
    }

    /// Writes text for people.
    pub fn say(&mut self, text: impl AsRef<str>) -> Result<()> {
        if self.json {
            return Ok(());
        }
        self.write(text.as_ref())
    }

    /// Writes the result as JSON.
    pub fn finish(&mut self, value: &impl Serialize) -> Result<()> {
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
