//! Errors of the request path.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Failure outside a call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    File {
        /// File that was to be read.
        file: PathBuf,
        /// Reason given by the system.
        source: std::io::Error,
    },
    /// A field of the settings is wrong.
    #[error("{}: field {field}: {reason}", file.display())]
    Settings {
        /// Settings file.
        file: PathBuf,
        /// Path of the field.
        field: String,
        /// What is wrong and what is allowed.
        reason: String,
    },
    /// An address cannot be listened on.
    #[error("field {field}: cannot listen on {address}: {source}")]
    Listen {
        /// Field of the settings.
        field: &'static str,
        /// Address in the settings.
        address: SocketAddr,
        /// Reason given by the system.
        source: std::io::Error,
    },
}

/// Result outside a call.
pub type Result<T> = std::result::Result<T, Error>;
