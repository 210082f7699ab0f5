//! What the request path needs from the protocol of callers and servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::{HeaderMap, StatusCode};
use verbenaring_policy::dispatch::prompt::PromptPart;
use verbenaring_policy::id::{ModelName, ServerId};

/// What a caller says about its call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// Identity of this try of the caller.
    pub attempt_id: String,
    /// Time that the caller waits.
    pub timeout: Option<Duration>,
    /// Model that is asked.
    pub model: Option<ModelName>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Most tokens of the answer.
    pub max_answer_tokens: u32,
    /// Event after which a stream is to continue.
    pub last_event_id: Option<String>,
}

/// What a server is told about an attempt.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// Time that is left.
    pub remaining: Duration,
    /// Server that is meant; another one must refuse.
    pub server: Option<&'a ServerId>,
    /// Rank at an engine, 0 first.
    pub priority: Option<u8>,
    /// Server from which the engine copies what it has not read.
    pub cache_source: Option<SocketAddr>,
    /// Event after which the stream is to continue.
    pub last_event_id: Option<&'a str>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The server ran the call and this is its answer.
    Ran,
    /// The server did not run the call and never will.
    NotRun,
    /// Another server than the one that was meant; it did not run the call.
    WrongServer,
    /// Belongs to another call, or does not come from a server.
    Foreign,
}

/// Words of callers and servers.
pub trait WireProtocol: Send + Sync + 'static {
    /// Reads the head of a call; the error is the reason for a 400.
    fn read_call(headers: &HeaderMap) -> Result<CallMetadata, String>;
    /// Removes headers that only the system may set.
    fn strip_internal_headers(headers: &mut HeaderMap);
    /// Writes the headers of an attempt.
    fn write_attempt(headers: &mut HeaderMap, attempt: &AttemptMetadata<'_>);
    /// Reads the head of an answer to the call `attempt`.
    fn classify_answer(status: StatusCode, headers: &HeaderMap, attempt_id: &str) -> AnswerKind;
    /// Writes the headers of an answer that the system gives itself.
    fn write_gateway_answer(headers: &mut HeaderMap, attempt_id: &str);
}
