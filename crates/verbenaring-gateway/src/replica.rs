//! Replica of the configuration, merged from the platform store and from peers.
//!
//! For every key the newest readable entry is in force, in whatever order the
//! entries arrive. Every change publishes a new catalog.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use verbenaring_policy::config::{
    ConfigDelta, ConfigDigest, ConfigEntry, ConfigTable, ConfigValue, DeltaRequest, DigestSummary,
    MergeEffect, SnapshotPage,
};
use verbenaring_protocol::control::MAX_DELTA_BYTES;

use crate::catalog::{CONFIG_PREFIX, InvalidDocument, ServingCatalog, check_document};
use crate::metrics::NodeMetrics;
use crate::timeline::{EventKind, TimelineRing};

/// Configuration entries of this node and the catalog built from them.
pub struct ConfigReplica {
    table: Mutex<ConfigTable>,
    catalog: Arc<ArcSwap<ServingCatalog>>,
    loaded: AtomicBool,
    metrics: Arc<NodeMetrics>,
    timeline: Arc<TimelineRing>,
}

impl ConfigReplica {
    /// Creates an empty replica that publishes to `catalog`.
    pub fn new(
        catalog: &Arc<ArcSwap<ServingCatalog>>,
        metrics: &Arc<NodeMetrics>,
        timeline: &Arc<TimelineRing>,
    ) -> Self {
        Self {
            table: Mutex::default(),
            catalog: catalog.clone(),
            loaded: AtomicBool::new(false),
            metrics: metrics.clone(),
            timeline: timeline.clone(),
        }
    }

    /// Merges entries and publishes a new catalog if any of them changed the replica.
    ///
    /// Returns whether any did; an unreadable entry counts, because it is kept as invalid.
    pub fn merge(&self, entries: impl IntoIterator<Item = ConfigEntry>) -> bool {
        let mut table = self.lock();
        let mut changed = false;
        for entry in entries {
            changed |= match table.merge(entry, &check_document) {
                MergeEffect::Unchanged => false,
                MergeEffect::InForce => true,
                MergeEffect::Invalid(reason) => {
                    log::warn!("configuration entry is unreadable: {reason}");
                    true
                }
            };
        }
        if changed {
            self.publish(&table);
        }
        changed
    }

    /// Records that the whole configuration was read, from the store or from a peer.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Whether the whole configuration was read since the start.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Highest revision and total of the digest, for gossip.
    pub fn summary(&self) -> DigestSummary {
        self.lock().digest().summary()
    }

    /// Digest of all entries, to find out which ones a peer lacks.
    pub fn digest(&self) -> ConfigDigest {
        self.lock().digest().clone()
    }

    /// Request for the entries that this node lacks from a peer with `digest`;
    /// `None` if the peer has nothing new.
    pub fn delta_request(&self, digest: &ConfigDigest) -> Option<DeltaRequest> {
        self.lock().delta_request(digest)
    }

    /// Entries that `request` asks for, up to the size limit of one delta.
    pub fn delta(&self, request: &DeltaRequest) -> ConfigDelta {
        self.lock().delta(request, MAX_DELTA_BYTES)
    }

    /// Page of the whole configuration that follows the key `after`.
    ///
    /// Empty until the configuration is loaded: the receiver treats a snapshot as
    /// the whole configuration, so an incomplete one must not be served.
    pub fn snapshot(&self, after: Option<&str>) -> SnapshotPage {
        if !self.is_loaded() {
            return ConfigTable::default().snapshot(after);
        }
        self.lock().snapshot(after)
    }

    /// Catalog of the current configuration.
    pub fn catalog(&self) -> Arc<ServingCatalog> {
        self.catalog.load_full()
    }

    /// Keys with a document in force, and the revision of that entry.
    pub fn present_keys(&self) -> Vec<(String, u64)> {
        let table = self.lock();
        let entries = table
            .with_prefix(CONFIG_PREFIX)
            .filter(|entry| entry.value != ConfigValue::Deleted);
        entries
            .map(|entry| (entry.key.clone(), entry.revision))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, ConfigTable> {
        self.table.lock().unwrap_or_else(|error| error.into_inner())
    }

    /// Builds the catalog from the entries in force and publishes it.
    fn publish(&self, table: &ConfigTable) {
        let entries = table
            .with_prefix(CONFIG_PREFIX)
            .filter(|entry| matches!(entry.value, ConfigValue::Text(_)));
        let invalid_entries: Vec<InvalidDocument> = table
            .invalid_entries()
            .map(|(entry, reason)| InvalidDocument {
                key: entry.key.clone(),
                revision: entry.revision,
                reason: reason.to_owned(),
            })
            .collect();
        let revision = table.digest().highest;
        self.metrics.config_revision.set(revision as i64);
        self.metrics.config_faults.set(invalid_entries.len() as i64);
        let catalog =
            ServingCatalog::build(&self.catalog.load(), revision, entries, invalid_entries);
        self.catalog.store(Arc::new(catalog));
        self.timeline.record(EventKind::ConfigInForce, "", None);
    }
}
