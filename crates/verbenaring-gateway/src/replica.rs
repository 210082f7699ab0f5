//! Configuration of this node, merged from the platform store and from peers.
//!
//! The book keeps the newest readable entry of every key whatever order the
//! entries arrive in; every change publishes the next catalog.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwap;
use verbenaring_policy::config::{
    ConfigBook, ConfigDelta, ConfigDigest, ConfigEntry, ConfigValue, DeltaRequest, DigestSummary,
    MergeEffect, SnapshotPiece,
};
use verbenaring_protocol::control::MAX_DELTA_BYTES;

use crate::catalog::{CONFIG_PREFIX, DocumentFault, ServingCatalog, check_document};
use crate::metrics::NodeMetrics;
use crate::timeline::{EventKind, TimelineRing};

/// Replica of the configuration.
pub struct ConfigReplica {
    book: Mutex<ConfigBook>,
    catalog: Arc<ArcSwap<ServingCatalog>>,
    loaded: AtomicBool,
    metrics: Arc<NodeMetrics>,
    timeline: Arc<TimelineRing>,
}

impl ConfigReplica {
    /// Empty replica that publishes to `catalog`.
    pub fn new(
        catalog: &Arc<ArcSwap<ServingCatalog>>,
        metrics: &Arc<NodeMetrics>,
        timeline: &Arc<TimelineRing>,
    ) -> Self {
        Self {
            book: Mutex::default(),
            catalog: catalog.clone(),
            loaded: AtomicBool::new(false),
            metrics: metrics.clone(),
            timeline: timeline.clone(),
        }
    }

    /// Merges entries; true if anything came into force.
    pub fn merge(&self, entries: impl IntoIterator<Item = ConfigEntry>) -> bool {
        let mut book = self.lock();
        let mut changed = false;
        for entry in entries {
            changed |= match book.merge(entry, &check_document) {
                MergeEffect::Unchanged => false,
                MergeEffect::InForce => true,
                MergeEffect::Unreadable(reason) => {
                    log::warn!("configuration entry is unreadable: {reason}");
                    true
                }
            };
        }
        if changed {
            self.publish(&book);
        }
        changed
    }

    /// The whole configuration was read once, from the store or from a peer.
    pub fn set_loaded(&self) {
        self.loaded.store(true, Ordering::Relaxed);
    }

    /// Whether the whole configuration was read once.
    pub fn is_loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }

    /// Short form of the digest.
    pub fn summary(&self) -> DigestSummary {
        self.lock().digest().summary()
    }

    /// Digest of all entries.
    pub fn digest(&self) -> ConfigDigest {
        self.lock().digest().clone()
    }

    /// Request to a peer that has `digest`; none if it has nothing new.
    pub fn request(&self, digest: &ConfigDigest) -> Option<DeltaRequest> {
        self.lock().request(digest)
    }

    /// Entries that a peer lacks.
    pub fn delta(&self, request: &DeltaRequest) -> ConfigDelta {
        self.lock().delta(request, MAX_DELTA_BYTES)
    }

    /// Piece of the whole configuration; empty until it was read once.
    ///
    /// The receiver takes a snapshot for whole, so a part of it must not be served.
    pub fn snapshot(&self, after: Option<&str>) -> SnapshotPiece {
        if !self.is_loaded() {
            return ConfigBook::default().snapshot(after);
        }
        self.lock().snapshot(after)
    }

    /// Catalog in force.
    pub fn catalog(&self) -> Arc<ServingCatalog> {
        self.catalog.load_full()
    }

    /// Keys that have a document in force.
    pub fn present_keys(&self) -> Vec<(String, u64)> {
        let book = self.lock();
        let present = book
            .with_prefix(CONFIG_PREFIX)
            .filter(|entry| entry.value != ConfigValue::Deleted);
        present
            .map(|entry| (entry.key.clone(), entry.revision))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, ConfigBook> {
        self.book.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn publish(&self, book: &ConfigBook) {
        let entries = book
            .with_prefix(CONFIG_PREFIX)
            .filter(|entry| matches!(entry.value, ConfigValue::Text(_)));
        let faults: Vec<DocumentFault> = book
            .faults()
            .map(|(entry, reason)| DocumentFault {
                key: entry.key.clone(),
                revision: entry.revision,
                reason: reason.to_owned(),
            })
            .collect();
        let revision = book.digest().highest;
        self.metrics.config_revision.set(revision as i64);
        self.metrics.config_faults.set(faults.len() as i64);
        let catalog = ServingCatalog::build(&self.catalog.load(), revision, entries, faults);
        self.catalog.store(Arc::new(catalog));
        self.timeline.record(EventKind::ConfigInForce, "", None);
    }
}
