//! Errors in documents and messages.

/// Reason why a document or a message was not accepted.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not valid JSON or does not match the schema.
    #[error("line {line}, column {column}: {}{reason}", field_prefix(field))]
    Document {
        /// Line of the error, counted from 1.
        line: usize,
        /// Column of the error, counted from 1.
        column: usize,
        /// Path of the invalid field; `.` or `?` if the error is not in one field.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A field has an invalid value that the schema cannot exclude.
    #[error("field {field}: {reason}")]
    Field {
        /// Path of the invalid field.
        field: String,
        /// Which values are allowed, or why this one is not.
        reason: String,
    },
    /// A name, digest or contract violates a rule of the policy crate.
    #[error(transparent)]
    Policy(#[from] verbenaring_policy::Error),
}

/// Result of parsing or checking a document or a message.
pub type Result<T> = std::result::Result<T, Error>;

/// `field NAME: `, or nothing if the error is in the syntax or concerns the whole
/// document.
fn field_prefix(field: &str) -> String {
    match field {
        "?" | "." => String::new(),
        field => format!("field {field}: "),
    }
}
