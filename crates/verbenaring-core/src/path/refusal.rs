//! Answers that the gateway generates itself when it refuses a call.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_protocol::header;

use super::call::{NO_CONTACT_HEADER, REACHED_SERVER_HEADER};
use crate::caller::body::AnswerBody;

/// Refusal of a call for which no server's answer is passed on.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRefusal {
    /// HTTP status of the answer.
    pub status: StatusCode,
    /// Machine-readable reason for logs, metrics and the body of the answer.
    pub reason: &'static str,
    /// Whether the call was run, as far as this VM knows.
    pub outcome: RunOutcome,
    /// Suggested time until the caller tries again; `None` to suggest no retry.
    pub retry_after: Option<Duration>,
    /// Whether the call has reached a server. If so, the VM that forwarded it
    /// counts a further attempt as a retry.
    pub reached_server: bool,
    /// Whether this VM has no contact with the servers. If so, the VM that forwarded the
    /// call asks others.
    pub no_contact: bool,
}

impl CallRefusal {
    /// Refuses a call that was not run and never will be.
    pub fn not_run(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            outcome: RunOutcome::NotRun,
            retry_after: None,
            reached_server: false,
            no_contact: false,
        }
    }

    /// Refuses a call that was not run and may be sent again after `retry_after`.
    pub fn busy(reason: &'static str, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
    }

    /// Refuses a call that may have run.
    pub fn unknown(status: StatusCode, reason: &'static str) -> Self {
        Self {
            outcome: RunOutcome::Unknown,
            ..Self::not_run(status, reason)
        }
    }

    /// Builds the HTTP answer, with a JSON body and the outcome and `Retry-After`
    /// headers.
    pub fn answer(&self) -> Response<AnswerBody> {
        let body = serde_json::json!({ "error": { "code": self.reason, "outcome": self.outcome.as_str() } });
        let mut answer = Response::new(AnswerBody::whole(body.to_string()));
        *answer.status_mut() = self.status;
        let headers = answer.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let outcome = HeaderValue::from_static(self.outcome.as_str());
        headers.insert(header::OUTCOME, outcome);
        if self.reached_server {
            headers.insert(REACHED_SERVER_HEADER, HeaderValue::from_static("1"));
        }
        if self.no_contact {
            headers.insert(NO_CONTACT_HEADER, HeaderValue::from_static("1"));
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
