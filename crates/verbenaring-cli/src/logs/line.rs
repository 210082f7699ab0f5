//! Parsing of log files.
//!
//! The files may also contain output of other programs, a prefix such as a time
//! before each line, and truncated lines. Lines that cannot be parsed as a log line
//! of a VM are skipped and counted.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Parsed log line of a VM.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Unix time in milliseconds, by the clock of the VM.
    pub unix_ms: u64,
    /// Name of the VM.
    pub vm: String,
    /// Message, which names the kind of event.
    pub message: String,
    /// Identifier of the request; `None` if the line is not about one.
    pub request: Option<String>,
    /// All other fields except level and module.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; `None` if it is not a complete log line of a VM.
    pub fn parse(text: &str) -> Option<Self> {
        let object = text.get(text.find('{')?..)?;
        let Ok(Value::Object(mut fields)) = serde_json::from_str(object.trim_end()) else {
            return None;
        };
        let mut text = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        let (vm, message, request) = (text("vm")?, text("message")?, text("request"));
        let unix_ms = fields.remove("unix_ms")?.as_u64()?;
        for name in ["level", "module"] {
            fields.remove(name);
        }
        Some(Self {
            unix_ms,
            vm,
            message,
            request,
            fields,
        })
    }

    /// Value of a text field; empty if the field is missing or not a text.
    pub fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Value of an integer field; 0 if the field is missing or not a non-negative
    /// integer.
    pub fn number(&self, name: &str) -> u64 {
        let value = self.fields.get(name).and_then(Value::as_u64);
        value.unwrap_or_default()
    }

    /// Fields as `name=value`, without empty texts and a `suppressed_lines` of 0.
    pub fn details(&self) -> String {
        let shown = self.fields.iter().filter(|(name, value)| match value {
            Value::String(text) => !text.is_empty(),
            value => name.as_str() != "suppressed_lines" || value.as_u64() != Some(0),
        });
        let texts = shown.map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text:?}"),
            value => format!("{name}={value}"),
        });
        texts.collect::<Vec<_>>().join(" ")
    }
}

/// Log lines of several files, merged.
#[derive(Debug, Default)]
pub struct MergedLog {
    /// Lines in the order of their times.
    pub lines: Vec<LogLine>,
    /// Number of lines that were skipped, because they are not from a VM or are
    /// truncated.
    pub skipped: usize,
}

impl MergedLog {
    /// Reads and merges files.
    pub fn load(files: &[PathBuf]) -> Result<Self> {
        let mut log = Self::default();
        for file in files {
            log.add(&read_text(file)?);
        }
        log.lines.sort_by_key(|line| line.unix_ms);
        Ok(log)
    }

    fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::parse(line) {
                Some(line) => self.lines.push(line),
                None => self.skipped += 1,
            }
        }
    }
}

/// Reads a file, with invalid UTF-8 replaced.
fn read_text(file: &Path) -> Result<String> {
    let bytes = std::fs::read(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
