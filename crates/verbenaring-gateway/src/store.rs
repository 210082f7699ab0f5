//! The platform's key-value service behind one small trait.

use std::future::Future;
use std::sync::Arc;

use crate::error::StoreError;

/// Result of a call to the platform store.
pub type StoreResult<T> = std::result::Result<T, StoreError>;

/// Value with the revision that wrote it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredValue {
    /// Key of the value.
    pub key: String,
    /// Revision of the last write.
    pub revision: u64,
    /// Value as stored.
    pub value: Vec<u8>,
}

/// Answer to a read of a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RangeAnswer {
    /// Revision of the store at the read.
    pub revision: u64,
    /// Values below the prefix, by key.
    pub values: Vec<StoredValue>,
}

/// Change of one key, seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreChange {
    /// Changed key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// New value; none if the key was deleted.
    pub value: Option<Vec<u8>>,
}

/// Condition under which a key is written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapCondition {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this revision.
    Revision(u64),
    /// The key holds this value.
    Value(Vec<u8>),
}

/// Conditional write of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwapRequest {
    /// Key to write.
    pub key: String,
    /// Condition of the write.
    pub condition: SwapCondition,
    /// New value; none deletes the key.
    pub value: Option<Vec<u8>>,
    /// Lease that the key is bound to; 0 for none.
    pub lease: i64,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapOutcome {
    /// Written at this revision.
    Written(u64),
    /// Not written; the key holds this value.
    Conflict(Option<StoredValue>),
}

/// Stream of changes below a prefix.
pub trait ChangeStream: Send {
    /// Next batch of changes; an error ends the stream.
    fn next(&mut self) -> impl Future<Output = StoreResult<Vec<StoreChange>>> + Send;
}

/// Platform store with compare-and-swap, leases and watches.
pub trait PlatformStore: Send + Sync + 'static {
    /// Stream returned by [`PlatformStore::watch`].
    type Watch: ChangeStream;

    /// Reads all keys below `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = StoreResult<RangeAnswer>> + Send;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = StoreResult<Option<StoredValue>>> + Send;

    /// Applies independent conditional writes in one call.
    fn swap(
        &self,
        requests: &[SwapRequest],
    ) -> impl Future<Output = StoreResult<Vec<SwapOutcome>>> + Send;

    /// Watches keys below `prefix` from `revision` on.
    fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> impl Future<Output = StoreResult<Self::Watch>> + Send;

    /// Grants a lease and returns its identifier.
    fn grant(&self, ttl_s: u32) -> impl Future<Output = StoreResult<i64>> + Send;

    /// Renews a lease; false if it has lapsed.
    fn keep_alive(&self, lease: i64) -> impl Future<Output = StoreResult<bool>> + Send;

    /// Ends a lease.
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
