//! Refusals and failures that are reported to callers.

use hyper::StatusCode;
use serde_json::json;
use verbenaring_policy::outcome::RunOutcome;

/// Reason why a request ends without an answer of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Reason as a code, such as `queue_full`.
    pub code: &'static str,
    /// Reason in words.
    pub message: String,
    /// Whether the request ran, as far as it is known.
    pub outcome: RunOutcome,
    /// Seconds after which a retry may succeed, sent as `Retry-After`.
    pub retry_after_s: Option<u32>,
}

impl Refusal {
    /// Creates the refusal of a request that was not run.
    pub fn not_run(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            outcome: RunOutcome::NotRun,
            retry_after_s: None,
        }
    }

    /// Creates the failure of a request that a backend server may have run; status
    /// 502.
    pub fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(StatusCode::BAD_GATEWAY, code, message)
        }
    }

    /// Sets the time after which a retry may succeed.
    pub fn with_retry_after(self, seconds: u32) -> Self {
        Self {
            retry_after_s: Some(seconds),
            ..self
        }
    }

    /// Sets the outcome.
    pub fn with_outcome(self, outcome: RunOutcome) -> Self {
        Self { outcome, ..self }
    }

    /// Returns the error object of the OpenAI-compatible interface as JSON, with the
    /// outcome added.
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
