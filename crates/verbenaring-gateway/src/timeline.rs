//! Time line of events of this node.
//!
//! A ring of bounded size. Events carry hybrid logical time, so events of
//! several nodes can be merged, and identifiers only, never content.

use std::collections::VecDeque;
use std::sync::Mutex;

use uhlc::HLC;
use verbenaring_policy::id::{AttemptId, VmId};
use verbenaring_protocol::control::TimelinePage;
pub use verbenaring_protocol::timeline::{EventKind, TimelineEvent};

/// Events that a node keeps.
pub const RING_EVENTS: usize = 4_096;

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

    /// Events from `sequence` on, with the oldest that is kept.
    pub fn page(&self, sequence: u64) -> TimelinePage {
        let events = self.since(sequence);
        let all = self
            .events
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        let oldest = all.front().map_or(0, |event| event.sequence);
        TimelinePage { oldest, events }
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
