//! Error type of this crate.

use crate::contract::Revision;

/// Error of a decision or of the validation of its input.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// A name is empty, too long or has a character that is not allowed.
    #[error("{kind} {value:?} is not valid: use 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'")]
    InvalidName {
        /// Kind of thing that the name stands for, such as `customer`.
        kind: &'static str,
        /// Start of the rejected text, at most 80 characters.
        value: String,
    },
    /// A field of a contract has a value that is not allowed.
    #[error("contract of customer {customer}: field {field}: {reason}")]
    InvalidContract {
        /// Customer who holds the contract.
        customer: String,
        /// Name of the field, as in the contract document.
        field: &'static str,
        /// What is wrong with the value, or what is allowed.
        reason: String,
    },
    /// The text of a digest is not 64 hexadecimal digits.
    #[error("{0:?} is not a digest of 64 hexadecimal digits")]
    InvalidDigest(String),
    /// An amendment was based on a revision that is no longer current.
    #[error("expected revision {expected}, found {found}")]
    RevisionConflict {
        /// Revision that the amendment was based on.
        expected: Revision,
        /// Current revision.
        found: Revision,
    },
    /// A gossip payload is too large for a message.
    #[error("payload of {bytes} bytes exceeds the limit of {limit} bytes")]
    PayloadTooLarge {
        /// Size of the payload in bytes.
        bytes: usize,
        /// Largest allowed size in bytes.
        limit: usize,
    },
}

/// Result with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;
