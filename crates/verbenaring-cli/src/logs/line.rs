//! One log line, and reading of log files.
//!
//! Files may hold anything beside the lines of VMs: output of other programs,
//! a prefix such as a time before each line, lines that were cut off. What is
//! not a line of a VM is left out and counted.

use std::path::{Path, PathBuf};

use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Log line of a VM.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Time of day of the VM, in Unix ms.
    pub unix_ms: u64,
    /// VM.
    pub vm: String,
    /// What happened.
    pub message: String,
    /// Identifier of the request, if the line is about one.
    pub request: Option<String>,
    /// Other fields.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; none if it is not one of a VM.
    pub fn read(text: &str) -> Option<Self> {
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

    /// Text field; empty if it is missing.
    pub fn text(&self, name: &str) -> &str {
        let value = self.fields.get(name).and_then(Value::as_str);
        value.unwrap_or_default()
    }

    /// Number field; 0 if it is missing.
    pub fn number(&self, name: &str) -> u64 {
        let value = self.fields.get(name).and_then(Value::as_u64);
        value.unwrap_or_default()
    }

    /// Fields as `name=value`, without empty ones.
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

/// Lines of several files, by time.
#[derive(Debug, Default)]
pub struct LogBook {
    /// Lines, in order of time.
    pub lines: Vec<LogLine>,
    /// Lines that are not of a VM, or cut off.
    pub skipped: usize,
}

impl LogBook {
    /// Reads files.
    pub fn load(files: &[PathBuf]) -> Result<Self> {
        let mut book = Self::default();
        for file in files {
            book.add(&read(file)?);
        }
        book.lines.sort_by_key(|line| line.unix_ms);
        Ok(book)
    }

    fn add(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            match LogLine::read(line) {
                Some(line) => self.lines.push(line),
                None => self.skipped += 1,
            }
        }
    }
}

fn read(file: &Path) -> Result<String> {
    let bytes = std::fs::read(file).map_err(|source| Error::File {
        file: file.to_owned(),
        source,
    })?;
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
