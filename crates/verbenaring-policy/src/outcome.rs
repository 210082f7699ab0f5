//! What a caller is told about a request that did not succeed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a refused or failed request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// No byte reached a backend server, or it refused before execution.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
    /// A backend server ran the request.
    Ran,
}

impl RunOutcome {
    /// Value of the header and of the error field.
    pub fn as_str(self) -> &'static str {
        match self {
            RunOutcome::NotRun => "not_run",
            RunOutcome::Unknown => "unknown",
            RunOutcome::Ran => "ran",
        }
    }

    /// Combined outcome of two attempts of one request.
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
