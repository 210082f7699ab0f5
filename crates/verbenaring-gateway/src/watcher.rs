//! Follows the configuration in the platform store.
//!
//! Two nodes of each data centre follow the store; the others learn from
//! them. The prefix is read once and then watched from that revision. When
//! the store fails, the configuration stays in force and the read is repeated.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use verbenaring_protocol::stored::decode_entry;

use crate::catalog::CONFIG_PREFIX;
use crate::replica::ConfigReplica;
use crate::store::{ChangeStream, PlatformStore, StoreResult};

const FIRST_RETRY: Duration = Duration::from_millis(100);
const LAST_RETRY: Duration = Duration::from_secs(5);

/// Applies changes in the platform store to the replica.
pub struct ConfigWatcher<S> {
    store: Arc<S>,
    replica: Arc<ConfigReplica>,
}

impl<S: PlatformStore> ConfigWatcher<S> {
    /// Watcher that merges into `replica`.
    pub fn new(store: &Arc<S>, replica: &Arc<ConfigReplica>) -> Self {
        Self {
            store: store.clone(),
            replica: replica.clone(),
        }
    }

    /// Follows the store while `enabled` holds; ends when its sender is gone.
    pub async fn run(self, mut enabled: watch::Receiver<bool>) {
        let mut delay = FIRST_RETRY;
        loop {
            if enabled.wait_for(|enabled| *enabled).await.is_err() {
                return;
            }
            let revision = self.replica.summary().highest;
            let result = tokio::select! {
                result = self.follow() => result,
                _ = enabled.wait_for(|enabled| !*enabled) => Ok(()),
            };
            if let Err(error) = result {
                log::warn!("configuration cannot be followed: {error}");
            }
            let advanced = self.replica.summary().highest > revision;
            delay = if advanced {
                FIRST_RETRY
            } else {
                (2 * delay).min(LAST_RETRY)
            };
            tokio::time::sleep(delay).await;
        }
    }

    async fn follow(&self) -> StoreResult<()> {
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
        let mut stream = self.store.watch(CONFIG_PREFIX, answer.revision + 1).await?;
        loop {
            let changes = stream.next().await?;
            self.replica.merge(
                changes.iter().map(|change| {
                    decode_entry(&change.key, change.revision, change.value.as_deref())
                }),
            );
        }
    }

    /// Keys in force that the store no longer has.
    fn missing_keys(&self, values: &[crate::store::StoredValue], revision: u64) -> Vec<String> {
        let known = self.replica.present_keys().into_iter();
        known
            .filter(|(key, known)| {
                *known <= revision && !values.iter().any(|value| value.key == *key)
            })
            .map(|(key, _)| key)
            .collect()
    }
}
