//! A call that is being processed, and the headers that VMs exchange about it.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use hyper::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::{HeaderMap, Method, Uri};
use tokio::time::Instant;
use verbenaring_policy::dispatch::build::{BuildId, BuildRule};
use verbenaring_policy::dispatch::call::{CallKind, CallRoute, ServiceSettings};
use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::origin::StreamId;
use verbenaring_policy::dispatch::place::PlacementRequest;
use verbenaring_policy::dispatch::prompt::{name_hash, rendezvous_score};
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::dispatch::shortage::CallRank;
use verbenaring_policy::dispatch::tenant::Tenant;
use verbenaring_policy::id::{RegionName, ServiceName, VmId};
use verbenaring_protocol::header;

use super::quota::ChargeGuard;
use crate::upstream::request_body::RequestBody;
use crate::wire::CallMetadata;

/// Header of a forwarded call: time since the caller sent it, in ms.
pub const ELAPSED_HEADER: &str = "x-verbenaring-elapsed-ms";
/// Header of a forwarded call: number of servers on which it may still run.
pub const ATTEMPTS_HEADER: &str = "x-verbenaring-attempts";
/// Header of a forwarded call: present if the VM that forwards it may send it to another
/// server if this one does not answer.
pub const REPEATABLE_HEADER: &str = "x-verbenaring-repeatable";
/// Header of a forwarded call and of its answer: software version at which the stream
/// began.
pub const BUILD_HEADER: &str = "x-verbenaring-build";
/// Header of an answer between VMs: ID of the server that gave it.
pub const SERVER_HEADER: &str = "x-verbenaring-server";
/// Header of a refusal between VMs: present if the call was not run but has
/// reached a server.
pub const REACHED_SERVER_HEADER: &str = "x-verbenaring-arrived";
/// Header of a refusal between VMs: present if the VM has no contact with the servers of
/// the service.
pub const NO_CONTACT_HEADER: &str = "x-verbenaring-no-contact";

/// Who sent a call to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOrigin {
    /// The caller itself.
    Caller,
    /// Another VM, which received the call from a caller. It is not forwarded
    /// again.
    Vm,
}

/// Which of the attempts of a call that are made at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptRole {
    /// The first one, or the only one.
    First,
    /// The one that is made because the first takes long.
    Hedge,
}

/// Attempts of a call that may be running, or whose end is not known.
#[derive(Debug, Default)]
pub struct RunningAttempts {
    first: AtomicBool,
    hedge: AtomicBool,
}

impl RunningAttempts {
    /// Records whether an attempt may be running.
    pub fn set(&self, role: AttemptRole, running: bool) {
        self.of(role).store(running, Ordering::Relaxed);
    }

    /// Whether an attempt may be running.
    pub fn includes(&self, role: AttemptRole) -> bool {
        self.of(role).load(Ordering::Relaxed)
    }

    /// Number of attempts that may be running.
    pub fn count(&self) -> u32 {
        let roles = [AttemptRole::First, AttemptRole::Hedge];
        roles
            .map(|role| u32::from(self.includes(role)))
            .iter()
            .sum()
    }

    /// Records that none is running.
    pub fn clear(&self) {
        self.set(AttemptRole::First, false);
        self.set(AttemptRole::Hedge, false);
    }

    fn of(&self, role: AttemptRole) -> &AtomicBool {
        match role {
            AttemptRole::First => &self.first,
            AttemptRole::Hedge => &self.hedge,
        }
    }
}

/// Call that has been accepted and not yet answered.
#[derive(Debug)]
pub struct PendingCall {
    /// What the caller stated in its headers.
    pub metadata: CallMetadata,
    /// Route that matched, with its rules for deadline, residency and retries.
    pub route: Arc<CallRoute>,
    /// Tenant whose key the caller holds; `None` if the call belongs to none.
    pub tenant: Option<Arc<Tenant>>,
    /// Regions in which the call may run by its route and its tenant; all if empty.
    pub residency: Vec<RegionName>,
    /// Service whose servers run the call.
    pub service: ServiceName,
    /// Settings of that service.
    pub service_settings: ServiceSettings,
    /// HTTP method, passed on as received.
    pub method: Method,
    /// Request target as received, with path and query.
    pub uri: Uri,
    /// Headers to pass on, without those of one connection or of the gateway.
    pub headers: HeaderMap,
    /// Whole request body, kept as long as it may be sent again.
    pub body: Mutex<RequestBody>,
    /// What of the call may crash servers.
    pub parts: CallParts,
    /// Who sent the call to this VM.
    pub origin: CallOrigin,
    /// When this VM received the call; for a forwarded call, when the caller
    /// sent it.
    pub received_at: Instant,
    /// Latest time of the final answer.
    pub deadline: Instant,
    /// Number of servers on which the call may run.
    pub max_attempts: u32,
    /// Whether the VM that forwarded the call may send it to another server.
    pub forwarded_repeatable: bool,
    /// Software version that began the stream; unset until its first event.
    pub build: OnceLock<BuildId>,
    /// Whether the call is admitted although callers ask for more than the engines can do;
    /// unset until it is placed for the first time.
    pub admitted: OnceLock<bool>,
    /// Number of servers on which the call may have run.
    pub runs: AtomicU32,
    /// Attempts that may be running. Decides whether a timeout is reported as unknown
    /// or as not run.
    pub running: RunningAttempts,
    /// Whether the call has reached a server. Each further attempt is then a
    /// retry and counts against the retry budget.
    pub reached_server: AtomicBool,
    /// What the call was charged; `None` if its tenant has no quota, or if another VM
    /// charged it.
    pub charge: Option<ChargeGuard>,
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        let may_have_run = self.may_have_run();
        if let Some(charge) = self.charge.as_mut().filter(|_| may_have_run) {
            charge.keep();
        }
    }
}

impl PendingCall {
    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn lock_body(&self) -> MutexGuard<'_, RequestBody> {
        self.body.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Body for one attempt; shares its bytes with those of other attempts.
    pub fn body(&self) -> RequestBody {
        self.lock_body().clone()
    }

    /// Releases the body of a call that is sent no more.
    pub fn release_body(&self) {
        std::mem::take(&mut *self.lock_body());
    }

    /// Whether the call may be sent to a server once more although it may have
    /// run already.
    pub fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.runs.load(Ordering::Relaxed) < self.max_attempts
    }

    /// Whether an attempt may be running or may have run.
    pub fn may_have_run(&self) -> bool {
        self.running.count() > 0 || self.runs.load(Ordering::Relaxed) > 0
    }

    /// Whether the call may run at a second server while it runs at a first one.
    pub fn may_be_hedged(&self) -> bool {
        self.origin == CallOrigin::Caller
            && self.route.kind.may_overlap()
            && self.runs.load(Ordering::Relaxed) + 1 < self.max_attempts
    }

    /// Rank of the call under load; 0 is the most urgent.
    pub fn rank(&self) -> u8 {
        let tenant = self.tenant.as_ref().and_then(|tenant| tenant.rank);
        tenant.unwrap_or(self.route.rank)
    }

    /// Urgency of the call while there is too little room for all.
    pub fn call_rank(&self) -> CallRank {
        let tenant = self.tenant.as_ref().and_then(|tenant| tenant.rank);
        CallRank {
            tenant: tenant.unwrap_or_default(),
            route: self.route.rank,
        }
    }

    /// Whether the call may run in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.residency.is_empty() || self.residency.contains(region)
    }

    /// Whether the call takes up a stream of which the caller has a part.
    pub fn continues_stream(&self) -> bool {
        let metadata = &self.metadata;
        self.route.kind.is_stream()
            && (metadata.resumes.is_some() || metadata.last_event_id.is_some())
    }

    /// Stream that the call begins or continues.
    pub fn stream_id(&self) -> StreamId {
        let metadata = &self.metadata;
        StreamId::of(metadata.resumes.as_deref().unwrap_or(&metadata.attempt_id))
    }

    /// Binds the call to the software version that began its stream.
    pub fn set_build(&self, build: BuildId) {
        self.build.get_or_init(|| build);
    }

    /// Software versions at which the call may run.
    pub fn build_rule(&self) -> BuildRule {
        match (self.build.get(), self.route.kind) {
            (Some(build), _) => BuildRule::Only(*build),
            (None, CallKind::Stream { resumable: true }) => BuildRule::MayBegin,
            (None, _) => BuildRule::Any,
        }
    }

    /// Hash that distributes sessions evenly, in a different order in each
    /// region. A call without a session is hashed by its attempt id.
    pub fn session_hash(&self, region: &RegionName) -> u64 {
        let session = self.placement_request(&[]).session();
        let session = session.unwrap_or_else(|| name_hash(&self.metadata.attempt_id));
        rendezvous_score(session, name_hash(region.as_str()))
    }

    /// What the placement needs to know about the call. `excluded` are servers
    /// that must not be chosen again.
    pub fn placement_request<'a>(&'a self, excluded: &'a [ServerKey]) -> PlacementRequest<'a> {
        PlacementRequest {
            service: &self.service,
            settings: &self.service_settings,
            model: self.metadata.model.as_ref(),
            prompt: &self.metadata.prompt,
            answer_tokens: self.metadata.max_answer_tokens,
            rank: self.rank(),
            residency: &self.residency,
            builds: self.build_rule(),
            excluded,
            through_peer: false,
            elapsed: self.received_at.elapsed(),
            goal: self.route.goal,
            remaining: self.remaining(),
        }
    }
}

/// Targets that failed a call and are not tried again for it.
#[derive(Debug, Clone, Default)]
pub struct TriedTargets {
    /// Servers in the region of this VM.
    pub servers: Vec<ServerKey>,
    /// Other VMs.
    pub vms: Vec<VmId>,
    /// How many of the servers could not be reached.
    pub unreached_servers: usize,
}

/// Removes hop-by-hop headers and the headers that only VMs exchange.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
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
    for name in header::INTERNAL.into_iter().chain([
        ELAPSED_HEADER,
        ATTEMPTS_HEADER,
        REPEATABLE_HEADER,
        SERVER_HEADER,
        BUILD_HEADER,
        REACHED_SERVER_HEADER,
        NO_CONTACT_HEADER,
    ]) {
        headers.remove(name);
    }
}
