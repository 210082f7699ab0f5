//! Interface between the request path and the protocol of callers and servers.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderName;
use hyper::{HeaderMap, Request, StatusCode};
use verbenaring_policy::dispatch::prompt::PromptPart;
use verbenaring_policy::dispatch::tenant::KeyHash;
use verbenaring_policy::id::{ModelName, ServerId, TenantName};

use crate::upstream::request_body::RequestBody;

/// What the headers of a call state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallMetadata {
    /// Identity that the caller gave to this try; servers echo it.
    pub attempt_id: String,
    /// Time that the caller waits; `None` leaves it to the route.
    pub timeout: Option<Duration>,
    /// Requested model; `None` if the caller names none.
    pub model: Option<ModelName>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens of the prompt and most tokens of the answer, added up; `None` if the caller
    /// does not state them.
    pub stated_tokens: Option<u64>,
    /// Largest expected number of tokens in the answer; 0 if not stated.
    pub max_answer_tokens: u32,
    /// Id of the event after which a stream continues; `None` starts it from the
    /// beginning.
    pub last_event_id: Option<String>,
    /// Attempt that brought the first event of a stream that is taken up; `None` if the
    /// call begins one.
    pub resumes: Option<String>,
}

/// What the headers of an attempt tell a server or a VM.
#[derive(Debug, Clone, Copy)]
pub struct AttemptMetadata<'a> {
    /// Time until the deadline of the call.
    pub remaining: Duration,
    /// Intended server; any other must refuse. `None` if the attempt goes to a
    /// VM.
    pub server: Option<&'a ServerId>,
    /// Priority at an engine, 0 first; `None` if the target is not an engine.
    pub priority: Option<u8>,
    /// Server from whose cache the engine copies parts of the prompt; `None` if
    /// it reads them itself.
    pub cache_source: Option<SocketAddr>,
    /// Id of the event after which the stream continues; `None` starts it from
    /// the beginning.
    pub last_event_id: Option<&'a str>,
}

/// What a server states about itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServerStatement {
    /// Requests per second that it takes from all VMs together; `None` if it names no
    /// limit.
    pub limit: Option<f64>,
    /// Whether it fails when it has to refuse many calls, and lets few wait.
    pub brittle: bool,
    /// Whether it shuts down and takes no new calls.
    pub leaving: bool,
    /// Time for which it wants no calls from this VM; `None` if it states none.
    pub pause: Option<Duration>,
}

/// Classification of an answer by its status and headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// The server ran the call, and this is its result.
    Ran,
    /// The server did not run the call and never will.
    NotRun,
    /// A server other than the intended one answered; it did not run the call.
    WrongServer,
    /// The answer belongs to another call or does not come from a server.
    Foreign,
}

/// What the headers of a call state of its tenant.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerIdentity {
    /// Whether there is a header for the caller's key, valid or not.
    pub states_key: bool,
    /// Hash of the caller's key; `None` if there is none, several or a malformed one.
    pub key: Option<KeyHash>,
    /// Tenant that another VM has found for the key.
    pub tenant: Option<TenantName>,
}

/// Reads and writes the headers of callers and servers.
pub trait WireProtocol: Send + Sync + 'static {
    /// Header by which callers name a try of a call; servers repeat it in their answers.
    fn call_id_header() -> HeaderName;
    /// Reads the headers of a call; the error is the reason of a 400 answer.
    fn read_call(headers: &HeaderMap) -> Result<CallMetadata, String>;
    /// Reads whose call it is.
    fn read_identity(headers: &HeaderMap) -> CallerIdentity;
    /// Removes the caller's key, and tells the server the tenant; `None` if the call
    /// belongs to none.
    fn write_tenant(headers: &mut HeaderMap, tenant: Option<&TenantName>);
    /// Removes headers that only the gateway may set.
    fn strip_internal_headers(headers: &mut HeaderMap);
    /// Sets the headers of an attempt on top of those of the call.
    fn write_attempt(headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>);
    /// Classifies an answer to the call `attempt_id`. On a connection that is `reused`, an
    /// answer that names no call may be a repeated one to an earlier call.
    fn classify_answer(
        status: StatusCode,
        headers: &HeaderMap,
        attempt_id: &str,
        reused: bool,
    ) -> AnswerKind;
    /// Reads what a server states about itself in an answer to the call `attempt_id`; a
    /// malformed statement counts as absent. `None` if the answer belongs to another call
    /// or comes from another server.
    fn read_statement(
        status: StatusCode,
        headers: &HeaderMap,
        attempt_id: &str,
    ) -> Option<ServerStatement>;
    /// Request by which a server shows that it answers; it takes no place of a call.
    fn status_request(server: &ServerId) -> Request<RequestBody>;
    /// Start of the process that gave this answer to a status request, in Unix ms; `None`
    /// if the answer does not state it.
    fn read_start(status: StatusCode, body: &[u8]) -> Option<u64>;
    /// Adds headers to an answer that the gateway generates itself.
    fn write_gateway_answer(headers: &mut HeaderMap, attempt_id: &str);
}
