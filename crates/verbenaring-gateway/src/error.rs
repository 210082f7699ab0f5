//! Errors of the daemon.

use std::path::PathBuf;

/// Error of the daemon outside the handling of a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file is invalid.
    #[error("{}: {source}", file.display())]
    Settings {
        /// Path of the settings file.
        file: PathBuf,
        /// Invalid field or position in the file, and the reason.
        source: verbenaring_protocol::Error,
    },
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Reason given by the system.
        source: std::io::Error,
    },
    /// A listening socket cannot be bound.
    #[error("field {field}: cannot listen on {address}: {source}")]
    Listen {
        /// Name of the settings field that holds the address.
        field: &'static str,
        /// Address from the settings.
        address: std::net::SocketAddr,
        /// Reason given by the system.
        source: std::io::Error,
    },
    /// A call to the platform store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The command line is invalid; holds the message for the user.
    #[error("{0}")]
    Usage(String),
}

/// Error of a call to the platform store.
///
/// The variants tell whether a write may have taken effect.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call was not sent; a write did not take effect.
    #[error("platform store is unreachable: {0}")]
    Unreachable(String),
    /// The call was sent but not answered properly; a write may have taken effect.
    #[error("platform store did not answer: {0}")]
    NoAnswer(String),
    /// The store rejected the call; a write did not take effect.
    #[error("platform store refused the call: {0}")]
    Refused(String),
}

/// Result with the error type of the daemon.
pub type Result<T> = std::result::Result<T, Error>;
