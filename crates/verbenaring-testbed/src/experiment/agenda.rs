//! Events in the order of virtual time.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use verbenaring_policy::time::Moment;

#[derive(Debug)]
struct Entry<E> {
    at: Moment,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Queue of events; events of one moment keep their order of insertion.
#[derive(Debug)]
pub struct EventAgenda<E> {
    now: Moment,
    sequence: u64,
    heap: BinaryHeap<Reverse<Entry<E>>>,
}

impl<E> Default for EventAgenda<E> {
    fn default() -> Self {
        Self {
            now: Moment::default(),
            sequence: 0,
            heap: BinaryHeap::new(),
        }
    }
}

impl<E> EventAgenda<E> {
    /// Moment of the last event taken.
    pub fn now(&self) -> Moment {
        self.now
    }

    /// Adds an event at a moment, at the earliest now.
    pub fn add(&mut self, at: Moment, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse(Entry {
            at: at.max(self.now),
            sequence: self.sequence,
            event,
        }));
    }

    /// Adds an event after a delay.
    pub fn after(&mut self, delay: Duration, event: E) {
        self.add(self.now + delay, event);
    }

    /// Takes the next event and advances the time to it.
    pub fn take(&mut self) -> Option<E> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
