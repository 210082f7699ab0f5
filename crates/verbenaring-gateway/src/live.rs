//! Settings that a reload can replace while the node serves requests.

use std::sync::Arc;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use crate::config::{ClusterKey, LimitSettings, NodeSettings};
use crate::tls::{CallerTls, NodeTls};

/// Keys and certificates that authenticate this node and its peers.
#[derive(Debug, Clone)]
pub struct NodeCredentials {
    /// Cluster keys accepted in signatures of other nodes; the last one also signs
    /// this node's messages.
    pub cluster_keys: Vec<ClusterKey>,
    /// Mutual TLS between nodes; plain connections without it.
    pub node_tls: Option<NodeTls>,
    /// TLS towards callers; plain connections without it.
    pub caller_tls: Option<CallerTls>,
}

impl NodeCredentials {
    /// Key that signs this node's messages.
    pub fn signing_key(&self) -> &ClusterKey {
        self.cluster_keys.last().expect("settings hold a key")
    }
}

/// Reloadable settings that are in force now.
pub struct LiveSettings {
    credentials: ArcSwap<NodeCredentials>,
    limits: ArcSwap<LimitSettings>,
    generation: watch::Sender<u64>,
}

impl LiveSettings {
    /// Takes the reloadable part of `settings`.
    pub fn new(settings: &NodeSettings) -> Self {
        Self {
            credentials: ArcSwap::from_pointee(NodeCredentials {
                cluster_keys: settings.cluster_keys.clone(),
                node_tls: settings.node_tls.clone(),
                caller_tls: settings.caller_tls.clone(),
            }),
            limits: ArcSwap::from_pointee(settings.limits),
            generation: watch::Sender::new(0),
        }
    }

    /// Credentials in force.
    pub fn credentials(&self) -> Arc<NodeCredentials> {
        self.credentials.load_full()
    }

    /// Size, time and connection limits in force.
    pub fn limits(&self) -> LimitSettings {
        **self.limits.load()
    }

    /// Watches the generation of the credentials, which each replacement increments.
    pub fn generation(&self) -> watch::Receiver<u64> {
        self.generation.subscribe()
    }

    /// Replaces the credentials and notifies the watchers of their generation.
    pub fn set_credentials(&self, credentials: NodeCredentials) {
        self.credentials.store(Arc::new(credentials));
        self.generation.send_modify(|number| *number += 1);
    }

    /// Replaces the limits.
    pub fn set_limits(&self, limits: LimitSettings) {
        self.limits.store(Arc::new(limits));
    }
}
