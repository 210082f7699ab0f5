//! Answers that the system gives itself.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::header;

use super::call::ARRIVED;
use crate::caller::body::AnswerBody;

/// Why a call got no answer of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRefusal {
    /// Status.
    pub status: StatusCode,
    /// Reason, for logs, metrics and the caller.
    pub reason: &'static str,
    /// Whether the call was run.
    pub outcome: RunOutcome,
    /// Time after which the call would be served.
    pub retry_after: Option<Duration>,
    /// Whether a server has seen the call. A VM that forwarded it counts a
    /// further attempt as a repeat.
    pub seen: bool,
}

impl CallRefusal {
    /// The call was not run and never will be.
    pub fn not_run(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            outcome: RunOutcome::NotRun,
            retry_after: None,
            seen: false,
        }
    }

    /// No server can run the call now; it may come again after `retry_after`.
    pub fn busy(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// The call may have run.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(status, reason)
        }
    }

    /// Answer for the caller.
    pub fn answer(&self) -> Response<AnswerBody> {
        let body = serde_json::json!({ "error": { "code": self.reason, "outcome": self.outcome.as_str() } });
        let mut answer = Response::new(AnswerBody::whole(body.to_string()));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        headers.insert(header::OUTCOME, outcome);
        if self.seen {
            headers.insert(ARRIVED, HeaderValue::from_static("1"));
        }
        if let Some(wait) = self.retry_after {
            let seconds = format!("{:.3}", wait.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        answer
    }
}
