//! Event queue in the order of virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use verbenaring_policy::time::Moment;

#[derive(Debug)]
struct ScheduledEvent<E> {
    at: Moment,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for ScheduledEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for ScheduledEvent<E> {}

impl<E> PartialOrd for ScheduledEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for ScheduledEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Priority queue of events; events of the same moment keep their insertion
/// order.
#[derive(Debug)]
pub struct EventQueue<E> {
    now: Moment,
    sequence: u64,
    heap: BinaryHeap<Reverse<ScheduledEvent<E>>>,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            now: Moment::default(),
            sequence: 0,
            heap: BinaryHeap::new(),
        }
    }
}

impl<E> EventQueue<E> {
    /// Virtual time: the moment of the last event taken.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Schedules an event; a moment in the past counts as now.
    pub fn schedule_at(&mut self, at: Moment, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(ScheduledEvent {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        }));
    }

    /// Schedules an event after a delay from now.
    pub fn schedule_after(&mut self, delay: Duration, event: E) {
        self.schedule_at(self.now + delay, event);
    }

    /// Removes the next event and advances the time to it.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse(next) = self.heap.pop()?;
        self.now = next.at;
        Some(next.event)
    }
}
