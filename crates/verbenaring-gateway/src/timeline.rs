//! Ring buffer of recent events at this node.
//!
//! Events carry hybrid logical time, so that the events of several nodes can be
//! merged. They hold identifiers only, never request content.

use std::collections::VecDeque;
use std::sync::Mutex;

use uhlc::HLC;
use verbenaring_policy::id::{AttemptId, VmId};
use verbenaring_protocol::control::TimelinePage;
pub use verbenaring_protocol::timeline::{EventKind, TimelineEvent};

/// Number of events that a node keeps.
pub const RING_EVENTS: usize = 4_096;

/// Ring buffer of the latest events of a node.
pub struct TimelineRing {
    vm: VmId,
    clock: HLC,
    events: Mutex<VecDeque<TimelineEvent>>,
}

impl TimelineRing {
    /// Creates an empty ring buffer for the entry VM `vm`.
    pub fn new(vm: &VmId) -> Self {
        Self {
            vm: vm.clone(),
            clock: HLC::default(),
            events: Mutex::new(VecDeque::with_capacity(RING_EVENTS)),
        }
    }

    /// Appends an event and drops the oldest one if the buffer is full.
    ///
    /// `request` is empty for an event that belongs to no request.
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

    /// Events from `sequence` on, with the sequence number of the oldest kept event.
    ///
    /// An oldest number above `sequence` means that events were dropped.
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
