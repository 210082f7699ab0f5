//! Configuration documents that operators keep in files.

use std::path::Path;

use serde_json::Value;
use verbenaring_protocol::rules::{DocumentKind, check_document, with_defaults};

use crate::error::{Error, Result};

/// Document that meets the schema and the rules of its kind.
#[derive(Debug, Clone)]
pub struct CheckedDocument {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Name of the document, which follows the prefix of the kind in its key.
    pub name: String,
    /// Text of the document as its author wrote it.
    pub text: String,
    /// Content with defaults filled in.
    pub content: Value,
}

impl CheckedDocument {
    /// Parses and checks the text of a document.
    pub fn parse(kind: DocumentKind, text: &str) -> verbenaring_protocol::Result<Self> {
        Ok(Self {
            kind,
            name: check_document(kind, text)?,
            text: text.to_owned(),
            content: with_defaults(kind, text)?,
        })
    }

    /// Reads and checks a file; errors name it, with line and column if known.
    pub fn load(kind: DocumentKind, file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::File {
            file: file.to_owned(),
            source,
        })?;
        Self::parse(kind, &text).map_err(|source| Error::Document {
            position: error_position(&text, &source),
            file: file.to_owned(),
            source,
        })
    }
}

/// Position of an error as `line L, column C: `, found by searching for the field or
/// value that the error names. Empty if it is not found, or if the error is one of the
/// JSON text or the schema, which holds its own position.
fn error_position(text: &str, error: &verbenaring_protocol::Error) -> String {
    use verbenaring_policy::Error as PolicyError;
    use verbenaring_protocol::Error as WireError;
    let offset = match error {
        WireError::Document { .. } => None,
        WireError::Field { field, .. } => field_offset(text, field),
        WireError::Policy(PolicyError::InvalidContract { field, .. }) => field_offset(text, field),
        WireError::Policy(PolicyError::InvalidName { value, .. })
        | WireError::Policy(PolicyError::InvalidDigest(value)) => {
            text.find(&Value::from(value.as_str()).to_string())
        }
        WireError::Policy(_) => None,
    };
    let Some(before) = offset.and_then(|offset| text.get(..offset)) else {
        return String::new();
    };
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    format!("line {line}, column {column}: ")
}

/// Byte offset of a field, given by its path of names separated by dots.
fn field_offset(text: &str, path: &str) -> Option<usize> {
    path.split('.').try_fold(0, |offset, name| {
        let found = text.get(offset..)?.find(&format!("\"{name}\""))?;
        Some(offset + found)
    })
}
