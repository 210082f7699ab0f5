//! Backend servers as this node uses them: outstanding work and health.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use verbenaring_policy::id::{AttemptId, ServerId};

use crate::attempt::AttemptClient;
use crate::catalog::ServingCatalog;

/// Work of this node at one backend server.
#[derive(Debug, Default)]
pub struct BackendState {
    requests: AtomicU32,
    tokens: AtomicU64,
}

impl BackendState {
    /// Requests of this node in flight at the server.
    pub fn requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Estimated tokens of this node in flight at the server.
    pub fn tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }
}

/// Backend servers known to this node.
#[derive(Debug, Default)]
pub struct BackendTable {
    states: Mutex<HashMap<ServerId, Arc<BackendState>>>,
}

impl BackendTable {
    /// State of a server, created at first use.
    pub fn state(&self, server: &ServerId) -> Arc<BackendState> {
        let mut states = self
            .states
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        states.entry(server.clone()).or_default().clone()
    }

    /// Forgets servers that the catalog no longer names.
    pub fn retain(&self, catalog: &ServingCatalog) {
        let mut states = self
            .states
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        states.retain(|server, state| {
            state.requests() > 0
                || catalog
                    .servers()
                    .iter()
                    .any(|terms| terms.server == *server)
        });
    }
}

/// Try to cancel when its caller goes away.
struct CancelTarget {
    client: AttemptClient,
    address: SocketAddr,
    attempt: AttemptId,
}

/// Counts work at a backend server until dropped.
pub struct WorkGuard {
    state: Arc<BackendState>,
    tokens: u64,
    target: Option<Box<CancelTarget>>,
}

impl WorkGuard {
    /// Counts `tokens` of estimated work at `state`.
    pub fn new(state: &Arc<BackendState>, tokens: u32) -> Self {
        let tokens = u64::from(tokens);
        state.requests.fetch_add(1, Ordering::Relaxed);
        state.tokens.fetch_add(tokens, Ordering::Relaxed);
        Self {
            state: state.clone(),
            tokens,
            target: None,
        }
    }

    /// Names the try to cancel if the caller goes away.
    pub fn set_cancel(&mut self, client: &AttemptClient, address: SocketAddr, attempt: AttemptId) {
        self.target = Some(Box::new(CancelTarget {
            client: client.clone(),
            address,
            attempt,
        }));
    }

    /// Tells the engine to stop.
    pub fn cancel(&mut self) {
        if let Some(target) = self.target.take() {
            target.client.cancel(target.address, target.attempt);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.state.requests.fetch_sub(1, Ordering::Relaxed);
        self.state.tokens.fetch_sub(self.tokens, Ordering::Relaxed);
    }
}
