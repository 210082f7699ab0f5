//! Waiting requests of one node: the product's queue or the baseline's.

use std::collections::VecDeque;

use verbenaring_policy::contract::PriorityLevel;
use verbenaring_policy::id::{CustomerId, MemberId};
use verbenaring_policy::scheduler::{FairQueue, QueueRequest, QueueSettings, RunKey};
use verbenaring_policy::time::Moment;

use super::variant::QueueKind;
use super::workload::MEMBER_SHARES;

/// Requests that wait at one node, by index of the call.
#[derive(Debug)]
pub enum WaitingCalls {
    /// The product's queue.
    Fair(Box<FairQueue<usize>>),
    /// First come, first served.
    Fifo(FifoQueue),
}

/// Queue without classes or fairness.
#[derive(Debug)]
pub struct FifoQueue {
    slots: usize,
    running: usize,
    max_queued: usize,
    waiting: VecDeque<(usize, Moment)>,
}

/// Slot that a sent request holds.
#[derive(Debug, Clone, Copy)]
pub enum HeldSlot {
    /// Slot of the fair queue.
    Fair(RunKey),
    /// Slot of the other queue.
    Fifo,
}

impl WaitingCalls {
    /// Empty queue for `slots` slots of engines.
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

    /// Adds a contract.
    pub fn add_contract(&mut self, customer: &CustomerId, member: usize, level: PriorityLevel) {
        if let Self::Fair(queue) = self {
            queue.set_contract(customer, &member_name(member), 1, level);
        }
    }

    /// Queues a call; false if there is no room.
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

    /// Next call to send, if a slot is free.
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

    /// Counts the tokens of a sent call so far.
    pub fn progress(&mut self, slot: HeldSlot, tokens: u32) {
        if let (Self::Fair(queue), HeldSlot::Fair(key)) = (self, slot) {
            queue.progress(key, tokens);
        }
    }

    /// Frees the slot of a call.
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

/// Name of a member.
pub fn member_name(index: usize) -> MemberId {
    MemberId::new(&format!("member-{index}")).expect("a valid name")
}
