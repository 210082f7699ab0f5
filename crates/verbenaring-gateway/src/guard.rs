//! Guard that accounts for work at a backend server until the work ends.
//!
//! Dropping the guard releases what it counted, whether the request completed,
//! failed or was abandoned, and cancels an attempt whose answer is incomplete.

use std::net::SocketAddr;
use std::sync::Arc;

use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::run::RunKey;
use verbenaring_policy::id::{AttemptId, Digest, ServerId};
use verbenaring_policy::quarantine::SuspectDecision;
use verbenaring_policy::straggler::InFlightKey;

use crate::attempt::AttemptClient;
use crate::backend::BackendTable;
use crate::work::WorkTarget;

/// Attempt to cancel if the guard is dropped before the answer is complete.
pub(crate) struct CancelTarget {
    client: AttemptClient,
    address: SocketAddr,
    attempt: AttemptId,
}

/// Counts one attempt as work at its backend server until dropped.
pub struct WorkGuard {
    pub(crate) table: Arc<BackendTable>,
    pub(crate) server: ServerId,
    /// Estimated tokens that were added to the server's count.
    pub(crate) tokens: u32,
    /// What the server got, for the quarantine; `None` for plain services.
    pub(crate) request: Option<(Digest, CallParts)>,
    /// Digest of the request for the quarantine; `None` without one or after a crash.
    pub(crate) request_digest: Option<Digest>,
    /// Key of the attempt in the straggler detector, if it is observed there.
    pub(crate) in_flight: Option<InFlightKey>,
    /// Key of the attempt among those that may crash their engine; `None` without parts
    /// or after a crash.
    pub(crate) run: Option<RunKey>,
    pub(crate) cancel_target: Option<Box<CancelTarget>>,
    /// Whether the whole answer has arrived.
    pub(crate) complete: bool,
}

impl WorkGuard {
    /// Sets the attempt to cancel if the guard is dropped before the answer is complete.
    pub fn set_cancel(&mut self, client: &AttemptClient, address: SocketAddr, attempt: AttemptId) {
        let client = client.clone();
        self.cancel_target = Some(Box::new(CancelTarget {
            client,
            address,
            attempt,
        }));
    }

    /// Reports received tokens to the straggler detector.
    pub fn record_progress(&mut self, tokens: u32) {
        if let Some(in_flight) = self.in_flight {
            let now = self.table.clock.now();
            self.table.lock().detector.progress(in_flight, tokens, now);
        }
    }

    /// Address of the server unless it is leaving.
    pub fn serving_address(&self) -> Option<SocketAddr> {
        self.table.serving_address(&self.server)
    }

    /// Records that the answer is complete, so that dropping cancels nothing.
    pub fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// Records that the server crashed with the request in flight.
    ///
    /// The server is avoided for a while, and requests that have crashed too many
    /// servers are quarantined.
    pub fn record_crash(&mut self) {
        let now = self.table.clock.now();
        if let Some(run) = self.run.take() {
            self.table.record_break(run);
        }
        if self.request_digest.take().is_some() {
            // `true`: other nodes may have had requests at the server as well.
            let mut state = self.table.lock();
            state.avoid(&self.server, now);
            let digests = state.quarantine.record_crash(&self.server, true, now);
            drop(state);
            for digest in digests {
                log::warn!("requests with digest {digest} are quarantined: they crash servers");
            }
        }
    }

    /// Whether the request may be sent again to the server whose connection broke.
    pub fn may_resume(&self) -> bool {
        let Some((digest, parts)) = &self.request else {
            return true;
        };
        let now = self.table.clock.now();
        let mut state = self.table.lock();
        state.quarantine.decide(digest, now) != SuspectDecision::Refused
            && !state.crashes.is_quarantined(parts, now)
    }

    /// Records that the request is sent again, to what may be another process.
    pub fn record_resume(&mut self) {
        if let (None, Some((digest, parts))) = (self.request_digest, &self.request) {
            let now = self.table.clock.now();
            let mut state = self.table.lock();
            state.quarantine.record_start(digest, &self.server, false);
            self.request_digest = Some(*digest);
            self.run = Some(state.crashes.record_start(&self.server, parts, now));
        }
    }

    /// Records that the server did not run the request that was sent again.
    pub fn record_no_resume(&mut self) {
        let now = self.table.clock.now();
        let mut state = self.table.lock();
        if let Some(digest) = self.request_digest.take() {
            state
                .quarantine
                .record_finish(&digest, &self.server, false, now);
        }
        if let Some(run) = self.run.take() {
            state.crashes.record_end(run, false, now);
        }
    }

    /// Records that the engine refused the request, so there is nothing to cancel.
    pub fn record_refusal(&mut self) {
        self.cancel_target = None;
    }

    /// Records that the engine has not loaded the model; it gets no requests for it until
    /// it lists it again.
    pub fn record_unloaded(&mut self, target: &WorkTarget) {
        let mut state = self.table.lock();
        if let (WorkTarget::Model(model), Some(record)) = (target, state.record_of(&self.server)) {
            record.models.retain(|served| served.model != *model);
            record.models_known = false;
        }
    }

    /// Records that the server refused the connection; it is avoided for a while, an
    /// engine until it lists its models.
    pub fn record_unreachable(&mut self) {
        let now = self.table.clock.now();
        self.table.lock().record_end(&self.server, now);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if let Some(target) = self.cancel_target.take().filter(|_| !self.complete) {
            target.client.cancel(target.address, target.attempt);
        }
        let now = self.table.clock.now();
        let mut state = self.table.lock();
        let server = &self.server;
        if let Some(record) = state.record_of(server) {
            record.requests = record.requests.saturating_sub(1);
            record.tokens = record.tokens.saturating_sub(u64::from(self.tokens));
        }
        if let Some(in_flight) = self.in_flight {
            state.detector.finish(in_flight, now);
        }
        if let Some(run) = self.run {
            state.crashes.record_end(run, self.complete, now);
        }
        if let Some(digest) = &self.request_digest {
            state
                .quarantine
                .record_finish(digest, server, self.complete, now);
        }
    }
}
