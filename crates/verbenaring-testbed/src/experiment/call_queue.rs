//! Queue of one node, in the variants that the policies compare.

use std::collections::VecDeque;

use verbenaring_policy::contract::PriorityLevel;
use verbenaring_policy::id::{CustomerId, MemberId};
use verbenaring_policy::scheduler::{FairQueue, QueueRequest, QueueSettings, RunKey};
use verbenaring_policy::time::Moment;

use super::variant::QueueKind;
use super::workload::MEMBER_SHARES;

/// Calls that wait for a slot at one node, stored as call indices.
#[derive(Debug)]
pub enum CallQueue {
    /// The product's fair queue.
    Fair(Box<FairQueue<usize>>),
    /// First come, first served.
    Fifo(FifoQueue),
}

/// First-come, first-served queue for a fixed number of slots.
#[derive(Debug)]
pub struct FifoQueue {
    slots: usize,
    running: usize,
    max_queued: usize,
    /// Indices and latest start times of the waiting calls.
    waiting: VecDeque<(usize, Moment)>,
}

/// Engine slot that a dispatched call holds.
#[derive(Debug, Clone, Copy)]
pub enum HeldSlot {
    /// Slot of the fair queue, with the key of the running call.
    Fair(RunKey),
    /// Slot of the FIFO queue.
    Fifo,
}

impl CallQueue {
    /// Creates an empty queue that dispatches up to `slots` calls at a time.
    pub fn new(kind: QueueKind, slots: usize) -> Self {
        let settings = QueueSettings::for_slots(slots);
        match kind {
            QueueKind::Fifo => Self::Fifo(FifoQueue {
                slots,
                running: 0,
                max_queued: settings.max_queued,
                waiting: VecDeque::new(),
            }),
            QueueKind::Fair => {
                let mut queue = FairQueue::new(settings);
                for (index, share) in MEMBER_SHARES.into_iter().enumerate() {
                    queue.set_member(&member_name(index), share);
                }
                Self::Fair(Box::new(queue))
            }
        }
    }

    /// Registers a customer's contract with the fair queue.
    pub fn add_contract(&mut self, customer: &CustomerId, member: usize, level: PriorityLevel) {
        if let Self::Fair(queue) = self {
            queue.set_contract(customer, &member_name(member), 1, level);
        }
    }

    /// Queues a call; returns false if the queue is full.
    pub fn push(
        &mut self,
        customer: &CustomerId,
        request: &QueueRequest,
        call: usize,
        now: Moment,
    ) -> bool {
        match self {
            Self::Fair(queue) => queue.push(customer, request, call, now).is_ok(),
            Self::Fifo(queue) if queue.waiting.len() >= queue.max_queued => false,
            Self::Fifo(queue) => {
                queue.waiting.push_back((call, request.latest_start));
                true
            }
        }
    }

    /// Takes the next call to dispatch if a slot is free. Calls that can no
    /// longer meet their deadline are removed and added to `late`.
    pub fn next(&mut self, now: Moment, late: &mut Vec<usize>) -> Option<(usize, HeldSlot)> {
        match self {
            Self::Fair(queue) => {
                let dispatch = queue.next(now);
                late.extend(queue.take_dropped().into_iter().map(|dropped| dropped.item));
                dispatch.map(|dispatch| (dispatch.item, HeldSlot::Fair(dispatch.key)))
            }
            Self::Fifo(queue) => queue.next(now, late),
        }
    }

    /// Updates the tokens that a dispatched call has used so far.
    pub fn progress(&mut self, slot: HeldSlot, tokens: u32) {
        if let (Self::Fair(queue), HeldSlot::Fair(key)) = (self, slot) {
            queue.progress(key, tokens);
        }
    }

    /// Frees the slot of a call that used `tokens` in total.
    pub fn finish(&mut self, slot: HeldSlot, tokens: u32) {
        match (self, slot) {
            (Self::Fair(queue), HeldSlot::Fair(key)) => queue.finish(key, tokens),
            (Self::Fifo(queue), _) => queue.running -= 1,
            _ => {}
        }
    }
}

impl FifoQueue {
    fn next(&mut self, now: Moment, late: &mut Vec<usize>) -> Option<(usize, HeldSlot)> {
        while self.running < self.slots {
            let (call, latest_start) = self.waiting.pop_front()?;
            if latest_start >= now {
                self.running += 1;
                return Some((call, HeldSlot::Fifo));
            }
            late.push(call);
        }
        None
    }
}

/// Identifier of the member at an index of [`MEMBER_SHARES`].
pub fn member_name(index: usize) -> MemberId {
    MemberId::new(&format!("member-{index}")).expect("a valid name")
}
