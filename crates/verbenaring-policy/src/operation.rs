//! Idempotency keys, operation records and the store calls on them.
//!
//! [`crate::ledger`] decides which calls are made.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::{Uuid, Version};

use crate::contract::Revision;
use crate::id::{AttemptId, Digest};

/// Claims in one store transaction.
pub const MAX_BATCH_CLAIMS: usize = 64;
/// Age at which a key is refused.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Largest time by which a key may lie in the future.
pub const KEY_AHEAD: Duration = Duration::from_secs(5 * 60);
/// Largest assumed difference between the wall clocks of two nodes.
pub const CLOCK_SKEW: Duration = Duration::from_secs(5 * 60);

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Why an idempotency key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum KeyFault {
    /// Not a UUID of version 7.
    #[error("the idempotency key must be a UUID of version 7")]
    NotVersion7,
    /// Older than [`KEY_RETENTION`]; its record may have been dropped.
    #[error("the idempotency key is older than 24 h")]
    Expired,
    /// Further in the future than [`KEY_AHEAD`].
    #[error("the idempotency key is more than 5 min in the future")]
    InFuture,
}

/// Idempotency key of a call that may not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Parses a key and checks its version.
    pub fn parse(text: &str) -> Result<Self, KeyFault> {
        Uuid::try_parse(text)
            .ok()
            .filter(|uuid| uuid.get_version() == Some(Version::SortRand))
            .map(Self)
            .ok_or(KeyFault::NotVersion7)
    }

    /// Creation time in the key, in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        // The first 48 bits of a UUID of version 7 are its time.
        (self.0.as_u128() >> 80) as u64
    }

    /// Checks the age of the key against the wall clock.
    pub fn check(self, wall_ms: u64) -> Result<(), KeyFault> {
        if wall_ms >= self.time_ms() + millis(KEY_RETENTION) {
            Err(KeyFault::Expired)
        } else if self.time_ms() > wall_ms.saturating_add(millis(KEY_AHEAD)) {
            Err(KeyFault::InFuture)
        } else {
            Ok(())
        }
    }
}

/// State of an operation record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// An attempt holds the operation and may have been sent.
    Claimed,
    /// A backend server ran the operation and answered with this status.
    Done(u16),
    /// The attempt was not sent and never will be.
    Abandoned,
}

/// Value of an operation in the platform store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationRecord {
    /// Attempt that wrote the record.
    pub attempt: AttemptId,
    /// Keyed digest of the request.
    pub digest: Digest,
    /// Creation time of the idempotency key.
    pub key_time_ms: u64,
    /// State of the attempt.
    pub state: RecordState,
}

impl OperationRecord {
    /// Whether the record may be deleted.
    ///
    /// Waits [`CLOCK_SKEW`] longer than the retention, so that every node
    /// refuses the key by its own clock before the record is gone.
    pub fn may_delete(&self, wall_ms: u64) -> bool {
        wall_ms >= self.key_time_ms + millis(KEY_RETENTION) + millis(CLOCK_SKEW)
    }
}

/// Record as read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// Value of the key.
    pub record: OperationRecord,
    /// Revision of the last change of the key.
    pub revision: Revision,
}

/// Condition under which the store applies a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteCondition {
    /// The key does not exist.
    Absent,
    /// The key was last changed at this revision.
    Revision(Revision),
    /// The value is this record, which only the own attempt writes.
    Value(OperationRecord),
}

impl WriteCondition {
    /// Whether the condition holds for the current record.
    pub fn holds(&self, current: Option<&StoredRecord>) -> bool {
        match (self, current) {
            (WriteCondition::Absent, found) => found.is_none(),
            (WriteCondition::Revision(revision), Some(found)) => found.revision == *revision,
            (WriteCondition::Value(record), Some(found)) => found.record == *record,
            (_, None) => false,
        }
    }
}

/// Conditional write of a record; a refusal returns the current record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordWrite {
    /// Number of the store call within the attempt.
    pub serial: u32,
    /// Condition of the write.
    pub condition: WriteCondition,
    /// Record to write.
    pub record: OperationRecord,
}

/// Answer of the store to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteAnswer {
    /// The record was written.
    Applied,
    /// The condition did not hold; carries the current record.
    Refused(Option<StoredRecord>),
    /// No answer; the write may still take effect at any time.
    Lost,
}

/// Answer of the store to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadAnswer {
    /// Current record.
    Found(Option<StoredRecord>),
    /// No answer.
    Lost,
}

/// Independent claims that share one store transaction.
///
/// Each claim is a nested transaction with its own condition, so a refused
/// claim does not affect the others.
#[derive(Debug, Clone, Default)]
pub struct ClaimBatch {
    claims: Vec<(String, RecordWrite)>,
}

impl ClaimBatch {
    /// Adds a claim; returns false if the batch is full or has the key
    /// already, because the store refuses two writes of one key in one
    /// transaction.
    pub fn add(&mut self, key: &str, claim: RecordWrite) -> bool {
        let taken = self.claims.iter().any(|(other, _)| other == key);
        if taken || self.claims.len() >= MAX_BATCH_CLAIMS {
            return false;
        }
        self.claims.push((key.to_owned(), claim));
        true
    }

    /// Claims in the order of the nested transactions.
    pub fn claims(&self) -> &[(String, RecordWrite)] {
        &self.claims
    }

    /// Assigns the answers to the claims. Without an answer to the whole
    /// transaction, or with one of another length, every claim is unsettled.
    pub fn into_answers(
        self,
        answers: Option<Vec<WriteAnswer>>,
    ) -> impl Iterator<Item = (String, u32, WriteAnswer)> {
        let count = self.claims.len();
        let answers = answers
            .filter(|answers| answers.len() == count)
            .unwrap_or_else(|| vec![WriteAnswer::Lost; count]);
        self.claims
            .into_iter()
            .zip(answers)
            .map(|((key, claim), answer)| (key, claim.serial, answer))
    }
}
