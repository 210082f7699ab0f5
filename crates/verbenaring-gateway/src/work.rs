//! A parsed request, ready to be admitted, routed and sent.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};
use tokio::time::Instant;
use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::id::{ModelName, RegionName, ServiceName};
use verbenaring_policy::request::{RequestDigests, SizeEstimate};
use verbenaring_protocol::document::{KindDocument, ServerTerms};

use crate::catalog::ContractEntry;
use crate::peer::ForwardHead;
use crate::refusal::Refusal;

/// What a backend server must offer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkTarget {
    /// A model engine with this model.
    Model(ModelName),
    /// A plain service.
    Service(ServiceName),
}

impl WorkTarget {
    /// Whether the server's document lists the model or service.
    pub fn is_offered_by(&self, terms: &ServerTerms) -> bool {
        match self {
            WorkTarget::Model(model) => {
                terms.kind == KindDocument::Engine && terms.models.contains(model)
            }
            WorkTarget::Service(service) => {
                terms.kind == KindDocument::Service && terms.services.contains(service)
            }
        }
    }
}

/// Parsed request on its way through the filters.
#[derive(Debug, Clone)]
pub struct PendingWork {
    /// Request identifier that the caller sent or was assigned; for a forwarded
    /// request, the attempt identifier.
    pub request_id: Arc<str>,
    /// Contract of the customer.
    pub entry: Arc<ContractEntry>,
    /// What a backend server must offer.
    pub target: WorkTarget,
    /// HTTP method towards the backend server.
    pub method: Method,
    /// Path and query towards the backend server.
    pub path: String,
    /// Headers towards the backend server.
    pub headers: HeaderMap,
    /// Body towards the backend server.
    pub body: Bytes,
    /// Path and query towards another node.
    pub forward_path: String,
    /// Whether the call may be repeated after a failure.
    pub repeatable: bool,
    /// Whether the caller asked for a streamed answer; never for plain services.
    pub stream: bool,
    /// Estimated prompt and answer tokens; zero for plain services.
    pub size: SizeEstimate,
    /// Digests of the prompt; `None` for plain services.
    pub digests: Option<RequestDigests>,
    /// What may crash an engine: the request as a whole and the messages that other
    /// chats may share; empty for plain services.
    pub parts: CallParts,
    /// Time at which the request was parsed.
    pub accepted: Instant,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
    /// Forwarding headers; `None` if the request came from a caller.
    pub forwarded: Option<ForwardHead>,
}

impl PendingWork {
    /// Refuses the request in a region that the contract does not allow.
    pub fn check_residency(&self, region: &RegionName) -> Result<(), Refusal> {
        if self.entry.terms.residency.allows(region) {
            return Ok(());
        }
        Err(Refusal::not_run(
            StatusCode::FORBIDDEN,
            "residency",
            format!("contract does not allow region {region}"),
        ))
    }

    /// Refuses the request if its deadline has passed.
    pub fn check_deadline(&self) -> Result<(), Refusal> {
        if Instant::now() < self.deadline {
            return Ok(());
        }
        Err(Refusal::not_run(
            StatusCode::GATEWAY_TIMEOUT,
            "deadline_exceeded",
            "deadline passed before the request was sent",
        ))
    }
}
