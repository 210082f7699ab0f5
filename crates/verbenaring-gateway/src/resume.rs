//! Resumes broken streams at engines that support it.
//!
//! A resumed stream keeps the identifier of the attempt that it continues, so
//! the caller sees one answer. The engine confirms a resume by returning the
//! number of tokens that it skips; without this confirmation, the stream could
//! repeat tokens.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::{Method, Response, StatusCode};
use verbenaring_policy::id::AttemptId;
use verbenaring_protocol::header;

use crate::attempt::{AnswerFuture, AttemptClient, AttemptRequest, EchoRule, ReceiverKind};

/// Delays before the resumes of one answer, which also limit their number.
///
/// The first suits a broken connection, the second an engine that restarts.
const RESUME_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(1)];

/// Result of a resume.
pub enum ResumeAnswer {
    /// Stream that starts after the tokens that were already passed on.
    Continued(Incoming),
    /// The engine is not ready; a later resume may succeed.
    NotReady,
    /// The engine did not confirm the resume and may start the answer again.
    Refused,
}

/// Copy of a request, to be sent again as a resume.
pub struct ResumeRequest {
    client: AttemptClient,
    address: SocketAddr,
    attempt: AttemptId,
    method: Method,
    path: String,
    headers: HeaderMap,
    body: Bytes,
    /// Delays taken from [`RESUME_DELAYS`] so far.
    resumes: usize,
}

impl ResumeRequest {
    /// Copies `request`, whose answer may have to be resumed.
    pub fn new(client: &AttemptClient, request: &AttemptRequest<'_>) -> Self {
        Self {
            client: client.clone(),
            address: request.address,
            attempt: request.attempt,
            method: request.method.clone(),
            path: request.path.to_owned(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            resumes: 0,
        }
    }

    /// Delay before the next resume; `None` if no further one is allowed.
    pub fn next_delay(&mut self) -> Option<Duration> {
        let delay = RESUME_DELAYS.get(self.resumes).copied();
        self.resumes += 1;
        delay
    }

    /// Asks the engine to continue after `tokens` tokens; `None` if the request cannot
    /// be sent.
    pub fn start(&self, tokens: u32) -> Option<AnswerFuture> {
        let mut headers = self.headers.clone();
        let attempt = HeaderValue::from_str(&self.attempt.to_string()).ok()?;
        headers.insert(header::RESUME_ATTEMPT, attempt);
        headers.insert(header::RESUME_FROM, HeaderValue::from(tokens));
        let request = AttemptRequest {
            address: self.address,
            attempt: self.attempt,
            method: &self.method,
            path: &self.path,
            headers: &headers,
            body: self.body.clone(),
            echo: EchoRule::Required,
            receiver: ReceiverKind::Server,
        };
        self.client.start(&request).ok()
    }

    /// Checks whether the engine confirms that it continues after `tokens` tokens.
    pub fn check(&self, answer: Response<Incoming>, tokens: u32) -> ResumeAnswer {
        if answer.status() != StatusCode::OK {
            return ResumeAnswer::NotReady;
        }
        let text = |name| {
            let value = answer.headers().get(name);
            value.and_then(|value: &HeaderValue| value.to_str().ok())
        };
        let same_attempt = text(header::REQUEST_ID) == Some(self.attempt.to_string().as_str());
        let confirmed = match text(header::RESUME_FROM) {
            Some(from) => from == tokens.to_string(),
            // If the caller has no token yet, a restarted answer repeats nothing.
            None => tokens == 0,
        };
        if same_attempt && confirmed {
            ResumeAnswer::Continued(answer.into_body())
        } else {
            ResumeAnswer::Refused
        }
    }
}
