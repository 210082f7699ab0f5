//! Time line of events of this node.
//!
//! A ring of bounded size. Events carry hybrid logical time, so events of
//! several nodes can be merged, and identifiers only, never content.

use std::collections::VecDeque;
use std::sync::Mutex;

use serde::{Deserialize, Serialize};
use uhlc::HLC;
use verbenaring_policy::id::{AttemptId, VmId};

/// Events that a node keeps.
pub const RING_EVENTS: usize = 4_096;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A caller's request was accepted.
    RequestAccepted,
    /// A request was refused.
    RequestRefused,
    /// A request was received from another node.
    ForwardReceived,
    /// A try was sent to a backend server.
    AttemptSent,
    /// A try was sent to another node.
    AttemptForwarded,
    /// A try failed.
    AttemptFailed,
    /// A broken stream was resumed.
    StreamResumed,
    /// An answer was relayed whole.
    AnswerWhole,
    /// An answer broke.
    AnswerBroken,
    /// The caller went away.
    CallerGone,
    /// An operation was claimed.
    OperationClaimed,
    /// The outcome of an operation was recorded.
    OperationDone,
    /// A configuration came into force.
    ConfigInForce,
    /// The node began a graceful shutdown.
    ShutdownStarted,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Position in the events of the node.
    pub sequence: u64,
    /// Hybrid logical time: NTP64 fixed-point seconds since 1970-01-01 UTC.
    pub time: u64,
    /// Node of the event.
    pub vm: String,
    /// What happened.
    pub kind: EventKind,
    /// Request identifier, empty if none.
    pub request: String,
    /// Attempt identifier.
    pub attempt: Option<AttemptId>,
}

/// Ring of the latest events of a node.
pub struct TimelineRing {
    vm: VmId,
    clock: HLC,
    events: Mutex<VecDeque<TimelineEvent>>,
}

impl TimelineRing {
    /// Empty ring of the entry VM `vm`.
    pub fn new(vm: &VmId) -> Self {
        Self {
            vm: vm.clone(),
            clock: HLC::default(),
            events: Mutex::new(VecDeque::with_capacity(RING_EVENTS)),
        }
    }

    /// Records an event.
    pub fn record(&self, kind: EventKind, request: &str, attempt: Option<AttemptId>) {
        let time = self.clock.new_timestamp().get_time().as_u64();
        let mut events = self
            .events
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        let sequence = events.back().map_or(0, |last| last.sequence + 1);
        if events.len() == RING_EVENTS {
            events.pop_front();
        }
        let request = request.to_owned();
        events.push_back(TimelineEvent {
            sequence,
            time,
            vm: self.vm.to_string(),
            kind,
            request,
            attempt,
        });
    }

    /// Events from `sequence` on, oldest first.
    pub fn since(&self, sequence: u64) -> Vec<TimelineEvent> {
        let events = self
            .events
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        events
            .iter()
            .filter(|event| event.sequence >= sequence)
            .cloned()
            .collect()
    }
}
