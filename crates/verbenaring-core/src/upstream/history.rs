//! Calls that a connection has carried.
//!
//! A server may send an answer once more, where the answer to a later call is due. The ID
//! in it tells which call it belongs to, except when that call is under way again on the
//! same connection. No call is therefore sent twice on one connection.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use verbenaring_policy::dispatch::prompt::name_hash;

/// Calls after which a connection is closed, so that its history stays small.
const MAX_CALLS: usize = 1_024;

/// Hash of the ID of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallHash(u64);

impl CallHash {
    /// Hashes the ID that a header states.
    pub fn of(id: &str) -> Self {
        Self(name_hash(id))
    }
}

/// History of one connection, shared by its lease and its [`AnswerFilter`].
///
/// [`AnswerFilter`]: super::filter::AnswerFilter
#[derive(Debug, Clone, Default)]
pub struct CallHistory {
    state: Arc<Mutex<HistoryState>>,
}

#[derive(Debug, Default)]
struct HistoryState {
    calls: Vec<CallHash>,
    /// Call whose answer is due.
    awaited: Option<CallHash>,
    /// Whether the connection has carried a request that names no call.
    has_unnamed: bool,
    skipped_answers: u32,
}

impl CallHistory {
    /// Whether the connection has carried a call.
    pub fn contains(&self, call: CallHash) -> bool {
        self.lock().calls.contains(&call)
    }

    /// Whether the connection has carried as many calls as it may.
    pub fn is_full(&self) -> bool {
        self.lock().calls.len() >= MAX_CALLS
    }

    /// Records a call that is about to be sent. Its answer is awaited if copies of earlier
    /// ones may precede it.
    pub(super) fn begin(&self, call: CallHash) {
        let mut state = self.lock();
        let has_carried = state.has_unnamed || !state.calls.is_empty();
        state.awaited = has_carried.then_some(call);
        state.calls.push(call);
    }

    /// Records a request that names no call.
    pub(super) fn record_unnamed(&self) {
        self.lock().has_unnamed = true;
    }

    /// Whether copies of earlier answers may precede the next one.
    pub(super) fn awaits_answer(&self) -> bool {
        self.lock().awaited.is_some()
    }

    /// Whether an answer belongs to an earlier request than the awaited call. Servers name
    /// calls in their answers.
    pub(super) fn is_copy(&self, answered: Option<CallHash>, is_success: bool) -> bool {
        let state = self.lock();
        match answered {
            Some(call) => state.awaited != answered && state.calls.contains(&call),
            None => state.has_unnamed && is_success,
        }
    }

    /// Records that the awaited answer has begun, or will never.
    pub(super) fn end_wait(&self) {
        self.lock().awaited = None;
    }

    pub(super) fn record_skipped(&self) {
        self.lock().skipped_answers += 1;
    }

    /// Copies skipped since the last call of this function.
    pub(super) fn take_skipped(&self) -> u32 {
        std::mem::take(&mut self.lock().skipped_answers)
    }

    fn lock(&self) -> MutexGuard<'_, HistoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
