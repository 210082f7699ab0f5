//! Keeps the catalog up to date with the platform store.
//!
//! The prefix is read once and then watched from that revision. When the
//! store fails, the catalog stays in force and the read is repeated.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio_util::sync::CancellationToken;

use crate::catalog::{CONFIG_PREFIX, ServingCatalog};
use crate::metrics::NodeMetrics;
use crate::store::{ChangeStream, PlatformStore, StoreChange, StoreResult};
use crate::timeline::{EventKind, TimelineRing};

const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(5);

/// Entry of the configuration: revision and value, none if deleted.
type ConfigValue = (u64, Option<Vec<u8>>);

/// Applies changes of the configuration to the catalog.
pub struct ConfigWatcher<S> {
    store: S,
    catalog: Arc<ArcSwap<ServingCatalog>>,
    metrics: Arc<NodeMetrics>,
    timeline: Arc<TimelineRing>,
    entries: BTreeMap<String, ConfigValue>,
    revision: u64,
}

impl<S: PlatformStore> ConfigWatcher<S> {
    /// Watcher that publishes to `catalog`.
    pub fn new(
        store: S,
        catalog: &Arc<ArcSwap<ServingCatalog>>,
        metrics: &Arc<NodeMetrics>,
        timeline: &Arc<TimelineRing>,
    ) -> Self {
        Self {
            store,
            catalog: catalog.clone(),
            metrics: metrics.clone(),
            timeline: timeline.clone(),
            entries: BTreeMap::new(),
            revision: 0,
        }
    }

    /// Runs until `shutdown`.
    pub async fn run(mut self, shutdown: CancellationToken) {
        let mut delay = FIRST_RETRY;
        loop {
            let revision = self.revision;
            let error = tokio::select! {
                () = shutdown.cancelled() => return,
                result = self.follow() => result,
            };
            if let Err(error) = error {
                log::warn!("configuration cannot be followed: {error}");
            }
            delay = if self.revision > revision {
                FIRST_RETRY
            } else {
                (2 * delay).min(LAST_RETRY)
            };
            tokio::select! {
                () = shutdown.cancelled() => return,
                () = tokio::time::sleep(delay) => {}
            }
        }
    }

    async fn follow(&mut self) -> StoreResult<()> {
        let answer = self.store.range(CONFIG_PREFIX).await?;
        let present = answer
            .values
            .iter()
            .map(|value| value.key.clone())
            .collect::<Vec<_>>();
        let mut changes: Vec<StoreChange> = answer
            .values
            .into_iter()
            .map(|value| StoreChange {
                key: value.key,
                revision: value.revision,
                value: Some(value.value),
            })
            .collect();
        changes.extend(self.deleted_since(&present, answer.revision));
        self.apply(changes, answer.revision);
        let mut stream = self.store.watch(CONFIG_PREFIX, answer.revision + 1).await?;
        loop {
            let changes = stream.next().await?;
            let revision = changes
                .iter()
                .map(|change| change.revision)
                .max()
                .unwrap_or(0);
            self.apply(changes, revision);
        }
    }

    fn deleted_since(&self, present: &[String], revision: u64) -> Vec<StoreChange> {
        self.entries
            .iter()
            .filter(|(key, (known, value))| {
                value.is_some() && *known <= revision && present.binary_search(key).is_err()
            })
            .map(|(key, _)| StoreChange {
                key: key.clone(),
                revision,
                value: None,
            })
            .collect()
    }

    /// Applies newer changes; a change of an older revision never takes effect.
    fn apply(&mut self, changes: Vec<StoreChange>, revision: u64) {
        let first = self.revision == 0;
        let mut changed = false;
        for change in changes {
            let known = self.entries.get(&change.key).map_or(0, |(known, _)| *known);
            if change.revision > known {
                self.entries
                    .insert(change.key, (change.revision, change.value));
                changed = true;
            }
        }
        self.revision = self.revision.max(revision);
        if changed || first {
            self.publish();
        }
    }

    fn publish(&self) {
        let entries = self.entries.iter().filter_map(|(key, (revision, value))| {
            value
                .as_deref()
                .map(|value| (key.as_str(), *revision, value))
        });
        let catalog = ServingCatalog::build(&self.catalog.load(), self.revision, entries);
        for fault in catalog.faults() {
            log::warn!(
                "{} at revision {}: {}",
                fault.key,
                fault.revision,
                fault.reason
            );
        }
        self.metrics.config_revision.set(self.revision as i64);
        self.metrics
            .config_faults
            .set(catalog.faults().len() as i64);
        self.catalog.store(Arc::new(catalog));
        self.timeline.record(EventKind::ConfigInForce, "", None);
    }
}
