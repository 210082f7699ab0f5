//! Settings that a reload replaces while the node serves.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::config::{ClusterKey, LimitSettings, NodeSettings};
use crate::tls::{CallerTls, NodeTls};

/// What proves this node to others and others to this node.
#[derive(Debug, Clone)]
pub struct NodeCredentials {
    /// Accepted cluster keys; the last one signs.
    pub cluster_keys: Vec<ClusterKey>,
    /// Mutual TLS between nodes, if it is used.
    pub node_tls: Option<NodeTls>,
    /// TLS towards callers, if it is used.
    pub caller_tls: Option<CallerTls>,
}

impl NodeCredentials {
    /// Key that signs.
    pub fn signing_key(&self) -> &ClusterKey {
        self.cluster_keys.last().expect("settings hold a key")
    }
}

/// Settings in force that a reload may replace.
pub struct LiveSettings {
    credentials: ArcSwap<NodeCredentials>,
    guards: ArcSwap<LimitSettings>,
    generation: watch::Sender<u64>,
}

impl LiveSettings {
    /// Settings in force at start.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            credentials: ArcSwap::from_pointee(NodeCredentials {
                cluster_keys: settings.cluster_keys.clone(),
                node_tls: settings.node_tls.clone(),
                caller_tls: settings.caller_tls.clone(),
            }),
            guards: ArcSwap::from_pointee(settings.limits),
            generation: watch::Sender::new(0),
        }
    }

    /// Credentials in force.
    pub fn credentials(&self) -> Arc<NodeCredentials> {
        self.credentials.load_full()
    }

    /// Memory limits in force.
    pub fn guards(&self) -> LimitSettings {
        **self.guards.load()
    }

    /// Number of the credentials in force, counted up by each replacement.
    pub fn generation(&self) -> watch::Receiver<u64> {
        self.generation.subscribe()
    }

    /// Replaces the credentials.
    pub fn set_credentials(&self, credentials: NodeCredentials) {
        self.credentials.store(Arc::new(credentials));
        self.generation.send_modify(|number| *number += 1);
    }

    /// Replaces the memory limits.
    pub fn set_guards(&self, guards: LimitSettings) {
        self.guards.store(Arc::new(guards));
    }
}
