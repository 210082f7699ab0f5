//! Errors of the decision layer.

use crate::contract::Revision;

/// Failure of a decision or of a check.
#[derive(Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// A name is empty, too long or has a character that is not allowed.
    #[error("{kind} {value:?} is not valid: use 1 to 64 of a-z, A-Z, 0-9, '.', '_' and '-'")]
    InvalidName {
        /// What the name names.
        kind: &'static str,
        /// The refused text.
        value: String,
    },
    /// A contract breaks one of its own rules.
    #[error("contract of customer {customer}: field {field}: {reason}")]
    InvalidContract {
        /// Customer of the contract.
        customer: String,
        /// Field at fault.
        field: &'static str,
        /// What is allowed.
        reason: String,
    },
    /// A digest is not 64 hexadecimal digits.
    #[error("{0:?} is not a digest of 64 hexadecimal digits")]
    InvalidDigest(String),
    /// An amendment was based on a revision that is no longer current.
    #[error("expected revision {expected}, found {found}")]
    RevisionConflict {
        /// Revision that the amendment was based on.
        expected: Revision,
        /// Revision in force.
        found: Revision,
    },
    /// A gossip payload does not fit into a message.
    #[error("payload of {bytes} bytes exceeds the limit of {limit} bytes")]
    PayloadTooLarge {
        /// Size of the payload.
        bytes: usize,
        /// Largest size allowed.
        limit: usize,
    },
}

/// Result of the decision layer.
pub type Result<T> = std::result::Result<T, Error>;
