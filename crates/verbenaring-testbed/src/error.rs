//! Errors of the testbed.

/// Error of a stand-in or of an experiment.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in could not bind a loopback port.
    #[error("cannot listen on loopback: {0}")]
    Listen(#[from] std::io::Error),
    /// The results of an experiment could not be written.
    #[error("cannot write results: {0}")]
    Write(#[source] std::io::Error),
    /// The plot could not be drawn; contains the message of the plotting library.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
}

/// Result with the error type of the testbed.
pub type Result<T> = std::result::Result<T, Error>;
