//! Watches the configuration in the platform store.
//!
//! Two nodes of each data centre watch the store; the others receive the changes
//! from them. A watcher reads all keys once and then watches them from that
//! revision. A watch without changes for some seconds is opened again, because its
//! connection may have fallen silent. If the store fails, the configuration stays in force and the watcher
//! starts over.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use verbenaring_protocol::stored::decode_entry;

use crate::catalog::CONFIG_PREFIX;
use crate::replica::ConfigReplica;
use crate::store::{ChangeStream, PlatformStore, StoreResult};

const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Merges changes in the platform store into the replica.
pub struct ConfigWatcher<S> {
    store: Arc<S>,
    replica: Arc<ConfigReplica>,
}

impl<S: PlatformStore> ConfigWatcher<S> {
    /// Creates a watcher that merges into `replica`.
    pub fn new(store: &Arc<S>, replica: &Arc<ConfigReplica>) -> Self {
        Self {
            store: store.clone(),
            replica: replica.clone(),
        }
    }

    /// Watches the store while `enabled` is true; returns when its sender is dropped.
    pub async fn run(self, mut enabled: watch::Receiver<bool>) {
        let mut delay = MIN_RETRY_DELAY;
        loop {
            if enabled.wait_for(|enabled| *enabled).await.is_err() {
                return;
            }
            let revision = self.replica.summary().highest;
            let result = tokio::select! {
                result = self.watch_store() => result,
                _ = enabled.wait_for(|enabled| !*enabled) => Ok(()),
            };
            if let Err(error) = result {
                log::warn!("cannot watch the configuration in the platform store: {error}");
            }
            let advanced = self.replica.summary().highest > revision;
            delay = if advanced {
                MIN_RETRY_DELAY
            } else {
                (2 * delay).min(MAX_RETRY_DELAY)
            };
            tokio::time::sleep(delay).await;
        }
    }

    /// Reads the whole configuration, then merges changes until the store fails.
    async fn watch_store(&self) -> StoreResult<()> {
        let answer = self.store.range(CONFIG_PREFIX).await?;
        let missing = self.missing_keys(&answer.values, answer.revision);
        let present = answer
            .values
            .iter()
            .map(|value| decode_entry(&value.key, value.revision, Some(&value.value)));
        let deleted = missing
            .iter()
            .map(|key| decode_entry(key, answer.revision, None));
        self.replica.merge(present.chain(deleted));
        self.replica.set_loaded();
        let mut next_revision = answer.revision + 1;
        let mut stream = self.store.watch(CONFIG_PREFIX, next_revision).await?;
        loop {
            let changes = stream.next().await?;
            if changes.is_empty() {
                drop(stream);
                stream = self.store.watch(CONFIG_PREFIX, next_revision).await?;
                continue;
            }
            let newest = changes.iter().map(|change| change.revision).max();
            next_revision = next_revision.max(newest.unwrap_or_default() + 1);
            self.replica.merge(
                changes.iter().map(|change| {
                    decode_entry(&change.key, change.revision, change.value.as_deref())
                }),
            );
        }
    }

    /// Keys of the replica that the store does not hold at `revision`.
    ///
    /// Keys that are newer than `revision` at the replica do not count.
    fn missing_keys(&self, values: &[crate::store::StoredValue], revision: u64) -> Vec<String> {
        let present = self.replica.present_keys().into_iter();
        present
            .filter(|(key, changed)| {
                *changed <= revision && !values.iter().any(|value| value.key == *key)
            })
            .map(|(key, _)| key)
            .collect()
    }
}
