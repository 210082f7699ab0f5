//! Errors of the testbed.

/// Failure of a stand-in or of an experiment.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in could not listen on loopback.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[from] std::io::Error),
    /// Results could not be written.
    #[error("cannot write results: {0}")]
    Write(#[source] std::io::Error),
    /// The plot could not be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
}

/// Result of the testbed.
pub type Result<T> = std::result::Result<T, Error>;
