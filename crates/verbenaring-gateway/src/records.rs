//! Operation records in the platform store.
//!
//! The store meters calls, so conditional writes that arrive while a call is in
//! progress are batched into the next one. A single write is sent without delay.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};
use verbenaring_policy::id::{CustomerId, Digest};
use verbenaring_policy::operation::{
    ClaimBatch, OperationRecord, ReadAnswer, RecordWrite, StoredRecord, WriteAnswer, WriteCondition,
};

use crate::store::{PlatformStore, StoredValue, SwapCondition, SwapOutcome, SwapRequest};

/// Maximum number of writes that wait for the next call to the store.
const MAX_QUEUED_WRITES: usize = 1_024;

struct QueuedWrite {
    key: String,
    write: RecordWrite,
    reply: oneshot::Sender<WriteAnswer>,
}

/// Reads operation records, and writes them in batches.
pub struct RecordStore<S> {
    store: Arc<S>,
    queue: mpsc::Sender<QueuedWrite>,
}

impl<S: PlatformStore> RecordStore<S> {
    /// Starts the task that batches the writes; it ends when the returned value
    /// is dropped.
    pub fn start(store: Arc<S>) -> Self {
        let (queue, waiting) = mpsc::channel(MAX_QUEUED_WRITES);
        tokio::spawn(commit_batches(store.clone(), waiting));
        Self { store, queue }
    }

    /// Writes a record if its condition holds; [`WriteAnswer::Lost`] if the store
    /// did not answer, so that the write may still have taken effect.
    pub async fn write(&self, key: &str, write: RecordWrite) -> WriteAnswer {
        let (reply, answer) = oneshot::channel();
        let queued = QueuedWrite {
            key: key.to_owned(),
            write,
            reply,
        };
        if self.queue.send(queued).await.is_err() {
            return WriteAnswer::Lost;
        }
        answer.await.unwrap_or(WriteAnswer::Lost)
    }

    /// Reads a record. A value that is not a valid record counts as absent.
    pub async fn read(&self, key: &str) -> ReadAnswer {
        match self.store.get(key).await {
            Ok(value) => ReadAnswer::Found(value.as_ref().and_then(read_record)),
            Err(_) => ReadAnswer::Lost,
        }
    }
}

/// Store key of an operation.
///
/// The caller's idempotency key `key` is stored as a digest only.
pub fn operation_key(customer: &CustomerId, key: &str) -> String {
    let digest = Digest::of(format!("{customer}\n{key}").as_bytes());
    format!("operation/{customer}/{digest}")
}

/// Writes the queued records in batches until the queue is closed.
async fn commit_batches<S: PlatformStore>(store: Arc<S>, mut waiting: mpsc::Receiver<QueuedWrite>) {
    let mut next = waiting.recv().await;
    while let Some(first) = next.take() {
        let mut batch = ClaimBatch::default();
        let mut replies = Vec::new();
        let mut candidate = Some(first);
        while let Some(queued) = candidate.take() {
            if !batch.add(&queued.key, queued.write) {
                next = Some(queued);
                break;
            }
            replies.push(queued.reply);
            candidate = waiting.try_recv().ok();
        }
        let answers = commit_batch(&*store, &batch).await;
        for ((_, _, answer), reply) in batch.into_answers(answers).zip(replies) {
            // The caller may have stopped waiting.
            let _ = reply.send(answer);
        }
        if next.is_none() {
            next = waiting.recv().await;
        }
    }
}

/// Sends one batch to the store; `None` if the call failed.
async fn commit_batch<S: PlatformStore>(store: &S, batch: &ClaimBatch) -> Option<Vec<WriteAnswer>> {
    let requests: Vec<SwapRequest> = batch
        .claims()
        .iter()
        .map(|(key, write)| SwapRequest {
            key: key.clone(),
            condition: match write.condition {
                WriteCondition::Absent => SwapCondition::Absent,
                WriteCondition::Revision(revision) => SwapCondition::Revision(revision),
                WriteCondition::Value(record) => SwapCondition::Value(record_value(&record)),
            },
            value: Some(record_value(&write.record)),
            lease: 0,
        })
        .collect();
    let outcomes = store.swap(&requests).await.ok()?;
    let answers = outcomes.into_iter().map(|outcome| match outcome {
        SwapOutcome::Written(_) => WriteAnswer::Applied,
        SwapOutcome::Conflict(found) => WriteAnswer::Refused(found.as_ref().and_then(read_record)),
    });
    Some(answers.collect())
}

fn record_value(record: &OperationRecord) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record serialises to JSON")
}

fn read_record(value: &StoredValue) -> Option<StoredRecord> {
    let record = serde_json::from_slice(&value.value).ok()?;
    Some(StoredRecord {
        record,
        revision: value.revision,
    })
}
