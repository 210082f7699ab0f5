//! Amendments against a store with refused, lost and missing answers.

use std::collections::VecDeque;
use std::sync::Mutex;

use tokio::time::Instant;
use uuid::Uuid;
use verbenaring_gateway::amend::{AmendOutcome, SETTLE_TIMEOUT, amend_document};
use verbenaring_gateway::error::StoreError;
use verbenaring_gateway::store::{
    ChangeStream, PlatformStore, RangeAnswer, StoreChange, StoreResult, StoredValue, SwapOutcome,
    SwapRequest,
};
use verbenaring_policy::id::ChangeId;
use verbenaring_protocol::operator::AmendRequest;
use verbenaring_protocol::stored::StoredEntry;

const KEY: &str = "config/contract/council";

/// Store that returns the scripted answers in order, then only lost answers.
#[derive(Default)]
struct ScriptedStore {
    swaps: Mutex<VecDeque<StoreResult<SwapOutcome>>>,
    reads: Mutex<VecDeque<StoreResult<Option<StoredValue>>>>,
}

struct NoChanges;

impl ChangeStream for NoChanges {
    async fn next(&mut self) -> StoreResult<Vec<StoreChange>> {
        std::future::pending().await
    }
}

fn no_answer<T>() -> StoreResult<T> {
    Err(StoreError::NoAnswer("closed".into()))
}

impl PlatformStore for ScriptedStore {
    type Watch = NoChanges;

    async fn range(&self, _: &str) -> StoreResult<RangeAnswer> {
        no_answer()
    }

    async fn get(&self, _: &str) -> StoreResult<Option<StoredValue>> {
        let next = self.reads.lock().unwrap().pop_front();
        next.unwrap_or_else(no_answer)
    }

    async fn swap(&self, _: &[SwapRequest]) -> StoreResult<Vec<SwapOutcome>> {
        let next = self.swaps.lock().unwrap().pop_front();
        next.unwrap_or_else(no_answer).map(|outcome| vec![outcome])
    }

    async fn watch(&self, _: &str, _: u64) -> StoreResult<NoChanges> {
        no_answer()
    }

    async fn grant(&self, _: u32) -> StoreResult<i64> {
        no_answer()
    }

    async fn keep_alive(&self, _: i64) -> StoreResult<bool> {
        no_answer()
    }

    async fn revoke(&self, _: i64) -> StoreResult<()> {
        no_answer()
    }
}

fn change(number: u128) -> ChangeId {
    ChangeId(Uuid::from_u128(number))
}

fn entry(revision: u64, writer: u128, base: u64) -> StoredValue {
    let value = StoredEntry::new(change(writer), base, Some("{}")).unwrap();
    StoredValue {
        key: KEY.into(),
        revision,
        value: value.to_bytes(),
    }
}

/// Applies change 1, a deletion, to revision 4 of the key.
async fn amend(
    swaps: Vec<StoreResult<SwapOutcome>>,
    reads: Vec<StoreResult<Option<StoredValue>>>,
    repeated: bool,
) -> AmendOutcome {
    let store = ScriptedStore {
        swaps: Mutex::new(swaps.into()),
        reads: Mutex::new(reads.into()),
    };
    let request = AmendRequest {
        expected: 4,
        change: change(1),
        repeated,
        document: None,
    };
    amend_document(&store, KEY, &request).await
}

/// A write that was not sent or was refused must be reported as not written, and at
/// once; `Undecided` would say that it may still take effect.
#[tokio::test(start_paused = true)]
async fn unsent_or_refused_write_is_not_written() {
    for error in [
        StoreError::Unreachable("refused".into()),
        StoreError::Refused("too large".into()),
    ] {
        let start = Instant::now();
        let outcome = amend(vec![Err(error)], vec![], false).await;
        assert!(
            matches!(outcome, AmendOutcome::NotWritten(_)),
            "{outcome:?}"
        );
        assert!(start.elapsed().is_zero());
    }
}

/// If the store never answers, the operator must get `Undecided` after a bounded
/// time.
#[tokio::test(start_paused = true)]
async fn unresponsive_store_leaves_the_amendment_undecided() {
    let start = Instant::now();
    let outcome = amend(vec![], vec![], false).await;
    assert_eq!(outcome, AmendOutcome::Undecided);
    assert!(start.elapsed() >= SETTLE_TIMEOUT);
    assert!(start.elapsed() < 2 * SETTLE_TIMEOUT);
}

/// If the answer to a write is lost, the repeated write can conflict with the entry
/// that the first one wrote. This must be reported as written.
#[tokio::test(start_paused = true)]
async fn lost_write_that_took_effect_is_written() {
    let outcome = amend(vec![no_answer()], vec![Ok(Some(entry(9, 1, 4)))], false).await;
    assert_eq!(outcome, AmendOutcome::Written(9));
    let refused = Ok(SwapOutcome::Conflict(Some(entry(9, 1, 4))));
    let unchanged = Ok(Some(entry(4, 7, 0)));
    let outcome = amend(vec![no_answer(), refused], vec![unchanged], false).await;
    assert_eq!(outcome, AmendOutcome::Written(9));
    let outcome = amend(vec![], vec![Ok(Some(entry(9, 1, 4)))], true).await;
    assert_eq!(outcome, AmendOutcome::Written(9));
}

/// If a lost write did not take effect, it must be repeated until the store writes
/// it or reports a conflict.
#[tokio::test(start_paused = true)]
async fn lost_write_without_effect_is_repeated() {
    let unchanged = || Ok(Some(entry(4, 7, 0)));
    let swaps = vec![no_answer(), Ok(SwapOutcome::Written(9))];
    let outcome = amend(swaps, vec![no_answer(), unchanged()], false).await;
    assert_eq!(outcome, AmendOutcome::Written(9));
    let competing_entry = || Some(entry(9, 2, 4));
    let swaps = vec![no_answer(), Ok(SwapOutcome::Conflict(competing_entry()))];
    let outcome = amend(swaps, vec![unchanged()], false).await;
    assert!(matches!(outcome, AmendOutcome::Conflict(Some(found)) if found.change == change(2)));
}

/// If a later amendment has replaced the entry, it is not known which of the earlier
/// ones was written, so neither `Written` nor `Conflict` may be reported.
#[tokio::test(start_paused = true)]
async fn overwritten_change_is_undecided() {
    let outcome = amend(vec![no_answer()], vec![Ok(Some(entry(12, 3, 9)))], false).await;
    assert_eq!(outcome, AmendOutcome::Undecided);
}
