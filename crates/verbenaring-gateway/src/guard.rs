//! Work counted at a backend server until it ends in any way.

use std::net::SocketAddr;
use std::sync::Arc;

use verbenaring_policy::id::{AttemptId, Digest, ServerId};
use verbenaring_policy::straggler::InFlightKey;

use crate::attempt::AttemptClient;
use crate::backend::BackendTable;

/// Try to cancel when its answer is not wanted any more.
pub(crate) struct CancelTarget {
    client: AttemptClient,
    address: SocketAddr,
    attempt: AttemptId,
}

/// Counts work at a backend server until dropped.
pub struct WorkGuard {
    pub(crate) table: Arc<BackendTable>,
    pub(crate) server: ServerId,
    pub(crate) tokens: u32,
    pub(crate) request_digest: Option<Digest>,
    pub(crate) in_flight: Option<InFlightKey>,
    pub(crate) cancel_target: Option<Box<CancelTarget>>,
    pub(crate) complete: bool,
}

impl WorkGuard {
    /// Names the try to cancel unless its answer is whole.
    pub fn set_cancel(&mut self, client: &AttemptClient, address: SocketAddr, attempt: AttemptId) {
        let client = client.clone();
        self.cancel_target = Some(Box::new(CancelTarget {
            client,
            address,
            attempt,
        }));
    }

    /// Counts received tokens.
    pub fn record_progress(&mut self, tokens: u32) {
        if let Some(in_flight) = self.in_flight {
            let now = self.table.clock.now();
            self.table.lock().detector.progress(in_flight, tokens, now);
        }
    }

    /// The answer is whole.
    pub fn mark_complete(&mut self) {
        self.complete = true;
    }

    /// The server crashed with the request in flight.
    pub fn record_crash(&mut self) {
        let now = self.table.clock.now();
        if self.request_digest.take().is_some() {
            // Other nodes may have had requests there as well.
            let mut state = self.table.lock();
            state.avoid(&self.server, now);
            let prints = state.quarantine.record_crash(&self.server, true, now);
            drop(state);
            for print in prints {
                log::warn!("requests with digest {print} are quarantined: they crash servers");
            }
        }
    }

    /// The engine refused the request, so there is nothing to cancel.
    pub fn record_refusal(&mut self) {
        self.cancel_target = None;
    }

    /// The server accepted no connection.
    pub fn record_unreachable(&mut self) {
        let now = self.table.clock.now();
        self.table.lock().avoid(&self.server, now);
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
        if let Some(record) = state
            .servers
            .iter_mut()
            .find(|record| record.terms.server == *server)
        {
            record.requests = record.requests.saturating_sub(1);
            record.tokens = record.tokens.saturating_sub(u64::from(self.tokens));
        }
        if let Some(in_flight) = self.in_flight {
            state.detector.finish(in_flight, now);
        }
        if let Some(print) = &self.request_digest {
            state
                .quarantine
                .record_finish(print, server, self.complete, now);
        }
    }
}
