//! Refusals and failures as callers see them.

use hyper::StatusCode;
use serde_json::json;
use verbenaring_policy::outcome::RunOutcome;

/// A request that ends without an answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Machine-readable reason.
    pub code: &'static str,
    /// Readable reason.
    pub message: String,
    /// Whether the request was run.
    pub outcome: RunOutcome,
    /// Seconds after which a retry is useful.
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Refusal of a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            outcome: RunOutcome::NotRun,
            retry_after_s: None,
        }
    }

    /// Failure of a request that a backend server may have run.
    pub fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(StatusCode::BAD_GATEWAY, code, message)
        }
    }

    /// Same refusal with a time after which a retry is useful.
    pub fn with_retry_after(self, seconds: u32) -> Self {
        Self {
            retry_after_s: Some(seconds),
            ..self
        }
    }

    /// Same refusal with another outcome.
    pub fn with_outcome(self, outcome: RunOutcome) -> Self {
        Self { outcome, ..self }
    }

    /// Error object of the OpenAI-compatible interface.
    pub fn to_json(&self) -> String {
        let kind = match self.status {
            StatusCode::UNAUTHORIZED => "authentication_error",
            StatusCode::FORBIDDEN => "permission_error",
            StatusCode::TOO_MANY_REQUESTS => "rate_limit_error",
            status if status.is_client_error() => "invalid_request_error",
            _ => "server_error",
        };
        json!({ "error": {
            "message": self.message,
            "type": kind,
            "code": self.code,
            "param": null,
            "outcome": self.outcome.as_str(),
        }})
        .to_string()
    }
}
