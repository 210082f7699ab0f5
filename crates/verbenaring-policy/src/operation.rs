//! Idempotency keys, the operation records stored for them, and the store calls
//! that read and write the records.
//!
//! An operation is a call that must run at most once, such as a booking.
//! [`crate::ledger`] decides which store calls are made.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::{Uuid, Version};

use crate::contract::Revision;
use crate::id::{AttemptId, Digest};

/// Largest number of claims in one store transaction.
pub const MAX_BATCH_CLAIMS: usize = 64;
/// Age from which an idempotency key is refused.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);
/// Largest time by which the creation time of a key may lie in the future.
pub const MAX_KEY_AHEAD: Duration = Duration::from_secs(5 * 60);
/// Largest difference assumed between the wall clocks of two nodes.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5 * 60);

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Why an idempotency key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum KeyError {
    /// Not a UUID of version 7.
    #[error("the idempotency key must be a UUID of version 7")]
    NotVersion7,
    /// At least [`KEY_RETENTION`] old, so its record may have been deleted.
    #[error("the idempotency key is older than 24 h")]
    Expired,
    /// Created more than [`MAX_KEY_AHEAD`] in the future.
    #[error("the idempotency key is more than 5 min in the future")]
    InFuture,
}

/// Idempotency key of a call that must not run twice: a UUID of version 7.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IdempotencyKey(Uuid);

impl IdempotencyKey {
    /// Parses a key and checks that it is a UUID of version 7.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        Uuid::try_parse(text)
            .ok()
            .filter(|uuid| uuid.get_version() == Some(Version::SortRand))
            .map(Self)
            .ok_or(KeyError::NotVersion7)
    }

    /// Creation time contained in the key, in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        // The first 48 bits of a UUID of version 7 are its creation time.
        (self.0.as_u128() >> 80) as u64
    }

    /// Checks the creation time of the key against the wall clock, given in
    /// milliseconds since the Unix epoch.
    pub fn check(self, wall_ms: u64) -> Result<(), KeyError> {
        if wall_ms >= self.time_ms() + millis(KEY_RETENTION) {
            Err(KeyError::Expired)
        } else if self.time_ms() > wall_ms.saturating_add(millis(MAX_KEY_AHEAD)) {
            Err(KeyError::InFuture)
        } else {
            Ok(())
        }
    }
}

/// State of an operation record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// An attempt has claimed the operation and may have been sent.
    Claimed,
    /// A backend server ran the operation and answered with this status.
    Done(u16),
    /// The attempt was not sent and will not be.
    Abandoned,
}

/// Value stored in the platform store for an operation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationRecord {
    /// Attempt that wrote the record.
    pub attempt: AttemptId,
    /// Keyed digest of the request, to refuse a reused key with another request.
    pub digest: Digest,
    /// Creation time of the idempotency key, in milliseconds since the Unix epoch.
    pub key_time_ms: u64,
    /// What is known of the attempt.
    pub state: RecordState,
}

impl OperationRecord {
    /// Whether the record may be deleted.
    ///
    /// True only [`MAX_CLOCK_SKEW`] after the retention has ended, so that every
    /// node refuses the key by its own clock before the record is gone.
    pub fn may_delete(&self, wall_ms: u64) -> bool {
        wall_ms >= self.key_time_ms + millis(KEY_RETENTION) + millis(MAX_CLOCK_SKEW)
    }
}

/// Operation record as read from the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// Record that the store holds.
    pub record: OperationRecord,
    /// Store revision at which the record was last changed.
    pub revision: Revision,
}

/// Condition under which the store applies a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteCondition {
    /// No record exists.
    Absent,
    /// The record was last changed at this revision.
    Revision(Revision),
    /// The stored record equals this one, which only this attempt writes.
    Value(OperationRecord),
}

impl WriteCondition {
    /// Whether the condition holds for the currently stored record.
    pub fn holds(&self, current: Option<&StoredRecord>) -> bool {
        match (self, current) {
            (WriteCondition::Absent, found) => found.is_none(),
            (WriteCondition::Revision(revision), Some(found)) => found.revision == *revision,
            (WriteCondition::Value(record), Some(found)) => found.record == *record,
            (_, None) => false,
        }
    }
}

/// Conditional write of a record. If the condition does not hold, the store
/// answers with the current record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RecordWrite {
    /// Number of the store call within the attempt, to match the answer to it.
    pub serial: u32,
    /// Condition under which the record is written.
    pub condition: WriteCondition,
    /// Record to write.
    pub record: OperationRecord,
}

/// Answer of the store to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum WriteAnswer {
    /// The record was written.
    Applied,
    /// The condition did not hold; contains the current record, if any.
    Refused(Option<StoredRecord>),
    /// No answer came; the write may still take effect at any time.
    Lost,
}

/// Answer of the store to a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReadAnswer {
    /// The current record, if any.
    Found(Option<StoredRecord>),
    /// No answer came.
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
    /// Adds a claim for the record at `key`.
    ///
    /// Returns false if the batch is full or already contains the key, because the
    /// store refuses two writes of one key in one transaction.
    pub fn add(&mut self, key: &str, claim: RecordWrite) -> bool {
        let is_duplicate = self.claims.iter().any(|(other, _)| other == key);
        if is_duplicate || self.claims.len() >= MAX_BATCH_CLAIMS {
            return false;
        }
        self.claims.push((key.to_owned(), claim));
        true
    }

    /// Keys and claims, in the order of the nested transactions.
    pub fn claims(&self) -> &[(String, RecordWrite)] {
        &self.claims
    }

    /// Returns the key, the serial and the store's answer for each claim.
    ///
    /// Without an answer to the whole transaction, or with a wrong number of
    /// answers, every claim gets [`WriteAnswer::Lost`].
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
