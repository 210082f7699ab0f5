//! Errors at the start of a VM or in its settings.

use std::net::SocketAddr;
use std::path::PathBuf;

/// Failure that does not belong to a call.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("{}: {source}", file.display())]
    File {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A field of the settings is invalid.
    #[error("{}: field {field}: {reason}", file.display())]
    Settings {
        /// Path of the settings file.
        file: PathBuf,
        /// Path of the field.
        field: String,
        /// Why the value is invalid.
        reason: String,
    },
    /// A socket cannot be bound or listened on.
    #[error("field {field}: cannot listen on {address}: {source}")]
    Listen {
        /// Settings field that holds the address.
        field: &'static str,
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result with the [`Error`] of this crate.
pub type Result<T> = std::result::Result<T, Error>;
