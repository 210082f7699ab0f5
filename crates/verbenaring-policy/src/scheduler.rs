//! Order in which admitted requests are sent to backend servers.
//!
//! Requests wait in one queue per contract and size class. A free slot goes to
//! the member with the least virtual time and within it to the contract with
//! the least (see [`crate::fairness`]). Priority multiplies the weight of a
//! contract within its member, so it cannot starve others and gives a member
//! nothing at the cost of another.
//!
//! Some slots are reserved for short work. While no short work waits, half of
//! them may run medium work, never long work: a short request finds at least
//! the other half without medium or long work, and the lent half returns
//! within the service time of one medium request. The share of an idle member
//! or contract is used by the others and returns at the next dispatch.

use std::collections::{BTreeSet, HashMap, VecDeque};

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::contract::PriorityLevel;
use crate::fairness::{CLASSES, ContractKey, FairTree, Lane, MemberKey};
use crate::id::{CustomerId, MemberId};
use crate::outcome::RunOutcome;
use crate::request::{RequestClass, SizeEstimate};
use crate::time::Moment;

// Cancelled entries leave gaps in a queue. It is compacted when more than half
// of it and more than this number are gaps.
const COMPACT_GAPS: usize = 32;

new_key_type! {
    /// Request that waits.
    pub struct EntryKey;
    /// Request that was dispatched.
    pub struct RunKey;
}

/// Sizes of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Slots of the servers that this queue feeds.
    pub slots: usize,
    /// Slots of them reserved for short work.
    pub reserved: usize,
    /// Requests that may wait in total; each member has its share of them.
    pub max_queued: usize,
    /// Requests of one contract that may wait.
    pub max_per_contract: usize,
}

impl QueueSettings {
    /// Settings for servers with `slots` slots.
    ///
    /// Longer work may take seven eighths of the slots and short work one half.
    /// The parts overlap: where they meet, engines run short work first by its
    /// priority. With disjoint parts, slots stayed idle while short work waited.
    pub fn for_slots(slots: usize) -> Self {
        let reserved = slots / 2;
        Self {
            slots: slots - slots / 8 + reserved,
            reserved,
            ..Self::default()
        }
    }
}

impl Default for QueueSettings {
    fn default() -> Self {
        Self {
            slots: 64,
            reserved: 8,
            max_queued: 4_096,
            max_per_contract: 256,
        }
    }
}

/// Request to be queued.
#[derive(Debug, Clone, Copy)]
pub struct QueueRequest {
    /// Estimated size.
    pub estimate: SizeEstimate,
    /// Latest moment at which sending is useful.
    pub latest_start: Moment,
}

/// Reason why a request is not queued or leaves the queue unsent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// The contract is not known to the queue.
    #[error("unknown contract")]
    UnknownContract,
    /// The queue of the contract is full.
    #[error("queue of the contract is full")]
    ContractFull,
    /// The member's share of the queue is full.
    #[error("queue of the member is full")]
    MemberFull,
    /// The deadline cannot be met any more.
    #[error("too late to be sent")]
    Late,
    /// The contract has ended.
    #[error("contract has ended")]
    ContractEnded,
}

/// Request that is not sent.
#[derive(Debug, PartialEq, Eq)]
pub struct DroppedRequest<T> {
    /// What was queued.
    pub item: T,
    /// Why it is not sent.
    pub reason: DropReason,
}

impl<T> DroppedRequest<T> {
    /// Outcome to tell the caller: nothing was sent.
    pub fn outcome(&self) -> RunOutcome {
        RunOutcome::NotRun
    }
}

/// Request to be sent now.
#[derive(Debug)]
pub struct Dispatch<T> {
    /// Names the request until it is finished.
    pub key: RunKey,
    /// What was queued.
    pub item: T,
    /// Size class, for the engine priority.
    pub class: RequestClass,
}

/// Numeric priority for engines; lower runs first.
pub fn engine_priority(class: RequestClass, level: PriorityLevel) -> i32 {
    class as i32 * 3 + level as i32
}

fn priority_factor(level: PriorityLevel) -> u64 {
    match level {
        PriorityLevel::Interactive => 4,
        PriorityLevel::Standard => 2,
        PriorityLevel::Batch => 1,
    }
}

#[derive(Debug)]
struct QueuedRequest<T> {
    item: T,
    contract: ContractKey,
    class: RequestClass,
    tokens: u32,
    latest_start: Moment,
}

#[derive(Debug)]
struct RunningRequest {
    contract: ContractKey,
    class: RequestClass,
    charged: u32,
    on_reserved: bool,
    outgrown: bool,
}

#[derive(Debug, Default)]
struct ContractQueue {
    entries: [VecDeque<EntryKey>; CLASSES],
    live: [usize; CLASSES],
}

#[derive(Debug, Default)]
struct SlotUse {
    reserved: usize,
    general: usize,
    outgrown: usize,
}

/// Two-level weighted fair queue with size classes.
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    tree: FairTree,
    members: HashMap<MemberId, MemberKey>,
    contracts: HashMap<CustomerId, ContractKey>,
    queues: SecondaryMap<ContractKey, ContractQueue>,
    queued_by_member: SecondaryMap<MemberKey, usize>,
    entries: SlotMap<EntryKey, QueuedRequest<T>>,
    by_start: BTreeSet<(Moment, EntryKey)>,
    running: SlotMap<RunKey, RunningRequest>,
    slots: SlotUse,
    dropped: Vec<DroppedRequest<T>>,
}

impl<T> FairQueue<T> {
    /// Empty queue.
    pub fn new(settings: QueueSettings) -> Self {
        Self {
            settings: QueueSettings {
                reserved: settings.reserved.min(settings.slots),
                ..settings
            },
            tree: FairTree::default(),
            members: HashMap::new(),
            contracts: HashMap::new(),
            queues: SecondaryMap::new(),
            queued_by_member: SecondaryMap::new(),
            entries: SlotMap::with_key(),
            by_start: BTreeSet::new(),
            running: SlotMap::with_key(),
            slots: SlotUse::default(),
            dropped: Vec::new(),
        }
    }

    /// Changes the number of slots, after servers joined or left.
    pub fn set_slots(&mut self, slots: usize, reserved: usize) {
        self.settings.slots = slots;
        self.settings.reserved = reserved.min(slots);
    }

    /// Adds a member or changes its share.
    pub fn set_member(&mut self, member: &MemberId, share: u32) {
        match self.members.get(member) {
            Some(key) => self.tree.set_share(*key, share),
            None => {
                let key = self.tree.add_member(share);
                self.members.insert(member.clone(), key);
                self.queued_by_member.insert(key, 0);
            }
        }
    }

    /// Adds a contract or changes its weight. Returns false if the member is
    /// unknown or differs from that of the existing contract.
    pub fn set_contract(
        &mut self,
        customer: &CustomerId,
        member: &MemberId,
        weight: u32,
        level: PriorityLevel,
    ) -> bool {
        let Some(member) = self.members.get(member).copied() else {
            return false;
        };
        let weight = u64::from(weight) * priority_factor(level);
        if let Some(key) = self.contracts.get(customer) {
            self.tree.set_weight(*key, weight);
            return self.tree.member_of(*key) == Some(member);
        }
        let Some(key) = self.tree.add_contract(member, weight) else {
            return false;
        };
        self.contracts.insert(customer.clone(), key);
        self.queues.insert(key, ContractQueue::default());
        true
    }

    /// Removes a contract; what still waits is dropped.
    pub fn remove_contract(&mut self, customer: &CustomerId) {
        let Some(key) = self.contracts.remove(customer) else {
            return;
        };
        let waiting = self.queues.remove(key).unwrap_or_default();
        for entry in waiting.entries.into_iter().flatten() {
            self.drop_entry(entry, DropReason::ContractEnded);
        }
        self.tree.remove_contract(key);
    }

    /// Queues a request.
    pub fn push(
        &mut self,
        customer: &CustomerId,
        request: &QueueRequest,
        item: T,
        now: Moment,
    ) -> Result<EntryKey, DroppedRequest<T>> {
        let contract = match self.room_for(customer, request, now) {
            Ok(contract) => contract,
            Err(reason) => return Err(DroppedRequest { item, reason }),
        };
        let class = request.estimate.class();
        let key = self.entries.insert(QueuedRequest {
            item,
            contract,
            class,
            tokens: request.estimate.total(),
            latest_start: request.latest_start,
        });
        self.by_start.insert((request.latest_start, key));
        self.queues[contract].entries[class as usize].push_back(key);
        self.queues[contract].live[class as usize] += 1;
        self.count_member(contract, true);
        self.tree.add_work(contract, class);
        Ok(key)
    }

    /// Removes a request that still waits, after its caller has gone.
    pub fn cancel(&mut self, key: EntryKey) -> Option<T> {
        self.take(key).map(|entry| entry.item)
    }

    /// Next request to send, if a slot is free.
    pub fn next(&mut self, now: Moment) -> Option<Dispatch<T>> {
        self.drop_late(now);
        let (contract, class, on_reserved) = self.choose()?;
        let key = self.first_entry(contract, class)?;
        self.tree.begin_dispatch(contract);
        let entry = self.take(key)?;
        self.tree.charge(contract, class, i64::from(entry.tokens));
        if on_reserved {
            self.slots.reserved += 1;
        } else {
            self.slots.general += 1;
        }
        let key = self.running.insert(RunningRequest {
            contract,
            class,
            charged: entry.tokens,
            on_reserved,
            outgrown: false,
        });
        Some(Dispatch {
            key,
            item: entry.item,
            class,
        })
    }

    /// Corrects a running request by the tokens seen so far. Returns its new
    /// class if it has outgrown the old one.
    pub fn progress(&mut self, key: RunKey, tokens: u32) -> Option<RequestClass> {
        let run = self.running.get_mut(key)?;
        if tokens <= run.charged {
            return None;
        }
        let extra = i64::from(tokens) - i64::from(run.charged);
        run.charged = tokens;
        let class = RequestClass::of(tokens).max(run.class);
        let has_grown = class > run.class;
        run.class = class;
        if has_grown && run.on_reserved {
            run.on_reserved = false;
            run.outgrown = true;
            self.slots.reserved -= 1;
            self.slots.general += 1;
            self.slots.outgrown += 1;
        }
        self.tree.charge(run.contract, class, extra);
        has_grown.then_some(class)
    }

    /// Ends a running request, whose slot becomes free, and corrects its cost.
    pub fn finish(&mut self, key: RunKey, actual_tokens: u32) {
        let Some(run) = self.running.remove(key) else {
            return;
        };
        if run.on_reserved {
            self.slots.reserved -= 1;
        } else {
            self.slots.general -= 1;
        }
        self.slots.outgrown -= usize::from(run.outgrown);
        let difference = i64::from(actual_tokens) - i64::from(run.charged);
        self.tree.charge(run.contract, run.class, difference);
    }

    /// Drops requests that are too late to be sent.
    pub fn drop_late(&mut self, now: Moment) {
        while let Some((latest, key)) = self.by_start.first().copied() {
            if latest >= now {
                break;
            }
            self.drop_entry(key, DropReason::Late);
        }
    }

    /// Requests dropped since the last call; their callers must be told.
    pub fn take_dropped(&mut self) -> Vec<DroppedRequest<T>> {
        std::mem::take(&mut self.dropped)
    }

    /// Moment at which the next waiting request becomes late.
    pub fn next_late(&self) -> Option<Moment> {
        self.by_start.first().map(|(latest, _)| *latest)
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.entries.len()
    }

    /// Requests that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn room_for(
        &self,
        customer: &CustomerId,
        request: &QueueRequest,
        now: Moment,
    ) -> Result<ContractKey, DropReason> {
        let contract = *self
            .contracts
            .get(customer)
            .ok_or(DropReason::UnknownContract)?;
        let member = self
            .tree
            .member_of(contract)
            .ok_or(DropReason::UnknownContract)?;
        if request.latest_start < now {
            return Err(DropReason::Late);
        }
        let waiting: usize = self.queues[contract].live.iter().sum();
        if waiting >= self.settings.max_per_contract {
            return Err(DropReason::ContractFull);
        }
        let part = self.tree.part(member, self.settings.max_queued).max(1);
        if self.queued_by_member[member] >= part {
            return Err(DropReason::MemberFull);
        }
        Ok(contract)
    }

    // Requests on general slots beyond their number occupy reserved ones,
    // except those that have outgrown a reserved slot. At most as many as
    // there are reserved slots are excepted, which bounds the load of servers.
    fn choose(&self) -> Option<(ContractKey, RequestClass, bool)> {
        let reserved = self.settings.reserved;
        let general = self.settings.slots - reserved;
        let excepted = self.slots.outgrown.min(reserved);
        let lent = self.slots.general.saturating_sub(general + excepted);
        let pick = |lane, on_reserved| {
            let (contract, class) = self.tree.pick(lane)?;
            Some((contract, class, on_reserved))
        };
        let short = self.tree.pick(Lane::Short);
        if short.is_some() && self.slots.reserved + lent < reserved {
            return pick(Lane::Short, true);
        }
        if self.slots.general < general {
            return pick(Lane::Any, false);
        }
        let may_lend = lent < reserved / 2 && self.slots.reserved + lent < reserved;
        if short.is_none() && may_lend {
            return pick(Lane::Medium, false);
        }
        None
    }

    fn first_entry(&mut self, contract: ContractKey, class: RequestClass) -> Option<EntryKey> {
        let queue = &mut self.queues[contract].entries[class as usize];
        loop {
            let key = queue.pop_front()?;
            if self.entries.contains_key(key) {
                return Some(key);
            }
        }
    }

    fn drop_entry(&mut self, key: EntryKey, reason: DropReason) {
        if let Some(entry) = self.take(key) {
            let item = entry.item;
            self.dropped.push(DroppedRequest { item, reason });
        }
    }

    fn take(&mut self, key: EntryKey) -> Option<QueuedRequest<T>> {
        let entry = self.entries.remove(key)?;
        self.by_start.remove(&(entry.latest_start, key));
        self.count_member(entry.contract, false);
        self.tree.remove_work(entry.contract, entry.class);
        if let Some(queue) = self.queues.get_mut(entry.contract) {
            let class = entry.class as usize;
            queue.live[class] -= 1;
            let waiting = &mut queue.entries[class];
            if waiting.len() > 2 * queue.live[class] + COMPACT_GAPS {
                waiting.retain(|key| self.entries.contains_key(*key));
            }
        }
        Some(entry)
    }

    fn count_member(&mut self, contract: ContractKey, is_added: bool) {
        let Some(member) = self.tree.member_of(contract) else {
            return;
        };
        let count = &mut self.queued_by_member[member];
        *count = if is_added {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
    }
}
