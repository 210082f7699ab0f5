//! A call in work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Uri};
use tokio::time::Instant;
use verbenaring_policy::dispatch::call::{CallRoute, ServiceSettings};
use verbenaring_policy::dispatch::place::PlacementRequest;
use verbenaring_policy::dispatch::prompt::{name_hash, rendezvous_score};
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::id::{RegionName, ServiceName, VmId};
use verbenaring_protocol::header;

use crate::wire::CallMetadata;

/// Time since the caller sent a forwarded call, in ms.
pub const ELAPSED_MS: &str = "x-verbenaring-elapsed-ms";
/// Servers on which a forwarded call may still run.
pub const ATTEMPTS: &str = "x-verbenaring-attempts";
/// Whether a server saw a forwarded call that was not run.
pub const ARRIVED: &str = "x-verbenaring-arrived";

/// Who sent a call to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// A caller.
    Caller,
    /// Another VM, which received it from a caller; it is not forwarded again.
    Vm,
}

/// A call in work.
#[derive(Debug)]
pub struct PendingCall {
    /// What the caller said.
    pub facts: CallMetadata,
    /// Rules.
    pub route: Arc<CallRoute>,
    /// Service that runs it.
    pub service: ServiceName,
    /// Terms of the service.
    pub terms: ServiceSettings,
    /// Method.
    pub method: Method,
    /// Path and query as sent.
    pub path: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Who sent it.
    pub origin: CallOrigin,
    /// Arrival, or earlier by the time since the caller sent a forwarded call.
    pub arrived: Instant,
    /// Moment of the final answer.
    pub limit: Instant,
    /// Servers on which it may run.
    pub attempts: u32,
    /// Servers on which it may have run.
    pub runs: AtomicU32,
    /// Whether a server works on it now, as far as is known.
    pub in_doubt: AtomicBool,
    /// Whether a server has seen it; sending it again is a repeat.
    pub seen: AtomicBool,
}

impl PendingCall {
    /// Time until the final answer.
    pub fn left(&self) -> Duration {
        self.limit.saturating_duration_since(Instant::now())
    }

    /// Whether the call may run once more after it may have run.
    pub fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.runs.load(Ordering::Relaxed) < self.attempts
    }

    /// Number that spreads calls of different sessions evenly, differently in
    /// each region.
    pub fn spread(&self, region: &RegionName) -> u64 {
        let session = self.demand(&[]).session();
        let session = session.unwrap_or_else(|| name_hash(&self.facts.attempt_id));
        rendezvous_score(session, name_hash(region.as_str()))
    }

    /// The call for the choice of a server.
    pub fn demand<'a>(&'a self, excluded: &'a [ServerKey]) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            settings: &self.terms,
            model: self.facts.model.as_ref(),
            prompt: &self.facts.prompt,
            answer_tokens: self.facts.max_answer_tokens,
            rank: self.route.rank,
            residency: &self.route.residency,
            excluded,
            elapsed: self.arrived.elapsed(),
            goal: self.route.goal,
            left: self.left(),
        }
    }
}

/// Targets that already failed a call.
#[derive(Debug, Clone, Default)]
pub struct TriedTargets {
    /// Servers of the own region.
    pub servers: Vec<ServerKey>,
    /// VMs of other regions.
    pub vms: Vec<VmId>,
}

/// Removes headers that concern only one connection, and those between VMs.
pub fn strip_connection(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let fixed = [
        CONNECTION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    for name in fixed {
        headers.remove(name);
    }
    for name in header::INTERNAL
        .into_iter()
        .chain([ELAPSED_MS, ATTEMPTS, ARRIVED])
    {
        headers.remove(name);
    }
}
