//! Whether a request that did not succeed may have been run, as told to the caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused or failed request was run by a backend server. A caller can
/// safely repeat it only after [`RunOutcome::NotRun`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// No byte reached a backend server, or the server refused the request before
    /// running it.
    NotRun,
    /// A backend server may have run the request, entirely or in part.
    Unknown,
    /// A backend server ran the request.
    Ran,
}

impl RunOutcome {
    /// Value of the response header and of the field in the error body.
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::NotRun => "not_run",
            RunOutcome::Unknown => "unknown",
            RunOutcome::Ran => "ran",
        }
    }

    /// Outcome of a request with two attempts: the one that shows the most execution.
    pub fn combine(self, other: RunOutcome) -> RunOutcome {
        match (self, other) {
            (RunOutcome::Ran, _) | (_, RunOutcome::Ran) => RunOutcome::Ran,
            (RunOutcome::Unknown, _) | (_, RunOutcome::Unknown) => RunOutcome::Unknown,
            _ => RunOutcome::NotRun,
        }
    }
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
