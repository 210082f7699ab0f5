//! Errors of the daemon.

use std::path::PathBuf;

/// Failure of the daemon outside a request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings file is wrong.
    #[error("{}: {source}", file.display())]
    Settings {
        /// Settings file.
        file: PathBuf,
        /// What is wrong with it.
        source: verbenaring_protocol::Error,
    },
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    File {
        /// File that was to be read.
        file: PathBuf,
        /// Reason given by the system.
        source: std::io::Error,
    },
    /// An address cannot be listened on.
    #[error("field {field}: cannot listen on {address}: {source}")]
    Listen {
        /// Field of the settings.
        field: &'static str,
        /// Address in the settings.
        address: std::net::SocketAddr,
        /// Reason given by the system.
        source: std::io::Error,
    },
    /// The platform store failed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The command line is wrong.
    #[error("{0}")]
    Usage(String),
}

/// Failure of a call to the platform store.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The call was not sent; a write did not take effect.
    #[error("platform store is unreachable: {0}")]
    Unreachable(String),
    /// The call was sent and no answer came; a write may have taken effect.
    #[error("platform store did not answer: {0}")]
    NoAnswer(String),
    /// The store refused the call; a write did not take effect.
    #[error("platform store refused the call: {0}")]
    Refused(String),
}

/// Result of the daemon.
pub type Result<T> = std::result::Result<T, Error>;
