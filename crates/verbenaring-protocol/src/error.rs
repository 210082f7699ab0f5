//! Errors of the wire layer.

/// Failure to read a document or a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not the expected JSON.
    #[error("line {line}, column {column}: {}{reason}", field_prefix(field))]
    Document {
        /// Line of the fault, from 1.
        line: usize,
        /// Column of the fault, from 1.
        column: usize,
        /// Path of the field at fault.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A field has a value that the schema cannot exclude.
    #[error("field {field}: {reason}")]
    Field {
        /// Path of the field at fault.
        field: String,
        /// What is allowed.
        reason: String,
    },
    /// A rule of the decision layer is broken.
    #[error(transparent)]
    Policy(#[from] verbenaring_policy::Error),
}

/// Result of the wire layer.
pub type Result<T> = std::result::Result<T, Error>;

/// Names the field, unless the fault is in the syntax or in the whole document.
fn field_prefix(field: &str) -> String {
    match field {
        "?" | "." => String::new(),
        field => format!("field {field}: "),
    }
}
