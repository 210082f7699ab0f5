//! Errors of the testbed.

/// Failure of a stand-in or of an experiment.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in could not listen on loopback.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[from] std::io::Error),
}

/// Result of the testbed.
pub type Result<T> = std::result::Result<T, Error>;
