//! Interface to the platform's key-value store.

use std::future::Future;
use std::sync::Arc;

use crate::error::StoreError;

/// Result of a call to the platform store.
pub type StoreResult<T> = std::result::Result<T, StoreError>;

/// Stored value and the revision of its last write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Key that holds the value.
    pub key: String,
    /// Store revision of the last write to the key.
    pub revision: u64,
    /// Content, not decoded.
    pub value: Vec<u8>,
}

/// Result of a read of all keys with a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeAnswer {
    /// Store revision at the time of the read.
    pub revision: u64,
    /// Values in the order of their keys.
    pub values: Vec<StoredValue>,
}

/// Change of one key, reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChange {
    /// Key that was written or deleted.
    pub key: String,
    /// Store revision of the change.
    pub revision: u64,
    /// New value; `None` if the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// Condition under which a key is written or deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapCondition {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this revision.
    Revision(u64),
    /// The key holds this value.
    Value(Vec<u8>),
}

/// Compare-and-swap of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapRequest {
    /// Key to write or delete.
    pub key: String,
    /// Condition that must hold at the time of the write.
    pub condition: SwapCondition,
    /// New value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Lease that the key is attached to; 0 for none.
    pub lease: i64,
}

/// Result of a [`SwapRequest`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// Written at this revision.
    Written(u64),
    /// Not written; the key holds this value, or does not exist.
    Conflict(Option<StoredValue>),
}

/// Stream of changes to the keys of a watched prefix.
pub trait ChangeStream: Send {
    /// Waits for the next batch of changes; an error ends the stream. An empty batch
    /// tells that nothing has arrived for some time: either there were no changes, or the
    /// stream has fallen silent and must be opened again.
    fn next(&mut self) -> impl Future<Output = StoreResult<Vec<StoreChange>>> + Send;
}

/// Key-value store with compare-and-swap, leases and watches.
pub trait PlatformStore: Send + Sync + 'static {
    /// Stream returned by [`PlatformStore::watch`].
    type Watch: ChangeStream;

    /// Reads all keys that start with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = StoreResult<RangeAnswer>> + Send;

    /// Reads one key; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = StoreResult<Option<StoredValue>>> + Send;

    /// Applies independent conditional writes in one call.
    ///
    /// The outcomes are in the order of the requests; one may conflict while others
    /// are written.
    fn swap(
        &self,
        requests: &[SwapRequest],
    ) -> impl Future<Output = StoreResult<Vec<SwapOutcome>>> + Send;

    /// Watches all keys that start with `prefix`, from `revision` on.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> impl Future<Output = StoreResult<Self::Watch>> + Send;

    /// Grants a lease of `ttl_s` seconds and returns its identifier.
    fn grant(&self, ttl_s: u32) -> impl Future<Output = StoreResult<i64>> + Send;

    /// Renews a lease; false if it has expired.
    fn keep_alive(&self, lease: i64) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Revokes a lease, which deletes the keys attached to it.
    fn revoke(&self, lease: i64) -> impl Future<Output = StoreResult<()>> + Send;
}

impl<S: PlatformStore> PlatformStore for Arc<S> {
    type Watch = S::Watch;

    async fn range(&self, prefix: &str) -> StoreResult<RangeAnswer> {
        S::range(self, prefix).await
    }

    async fn get(&self, key: &str) -> StoreResult<Option<StoredValue>> {
        S::get(self, key).await
    }

    async fn swap(&self, requests: &[SwapRequest]) -> StoreResult<Vec<SwapOutcome>> {
        S::swap(self, requests).await
    }

    async fn watch(&self, prefix: &str, revision: u64) -> StoreResult<Self::Watch> {
        S::watch(self, prefix, revision).await
    }

    async fn grant(&self, ttl_s: u32) -> StoreResult<i64> {
        S::grant(self, ttl_s).await
    }

    async fn keep_alive(&self, lease: i64) -> StoreResult<bool> {
        S::keep_alive(self, lease).await
    }

    async fn revoke(&self, lease: i64) -> StoreResult<()> {
        S::revoke(self, lease).await
    }
}
