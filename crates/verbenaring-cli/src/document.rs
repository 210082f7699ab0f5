//! Configuration documents in files.

use std::path::Path;

use serde_json::Value;
use verbenaring_protocol::rules::{DocumentKind, check_document, normal_form};

use crate::error::{Error, Result};

/// Document that follows the schema and the rules of its kind.
#[derive(Debug, Clone)]
pub struct CheckedDocument {
    /// Kind of the document.
    pub kind: DocumentKind,
    /// Name below the prefix of the kind.
    pub name: String,
    /// Text as written.
    pub text: String,
    /// Content with defaults filled in.
    pub content: Value,
}

impl CheckedDocument {
    /// Checks the text of a document.
    pub fn parse(kind: DocumentKind, text: &str) -> verbenaring_protocol::Result<Self> {
        Ok(Self {
            kind,
            name: check_document(kind, text)?,
            text: text.to_owned(),
            content: normal_form(kind, text)?,
        })
    }

    /// Reads and checks a file.
    pub fn load(kind: DocumentKind, file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::File {
            file: file.to_owned(),
            source,
        })?;
        Self::parse(kind, &text).map_err(|source| Error::Document {
            place: place_of(&text, &source),
            file: file.to_owned(),
            source,
        })
    }
}

/// Line and column of a fault that the schema cannot express, as `line L,
/// column C: `; faults of the schema carry their own.
fn place_of(text: &str, error: &verbenaring_protocol::Error) -> String {
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

/// Offset of a field given as a path of names.
fn field_offset(text: &str, path: &str) -> Option<usize> {
    path.split('.').try_fold(0, |offset, name| {
        let found = text.get(offset..)?.find(&format!("\"{name}\""))?;
        Some(offset + found)
    })
}
