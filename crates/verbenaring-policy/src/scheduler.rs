//! Order in which admitted requests are sent to backend servers.
//!
//! Requests wait in one queue per contract and size class. A free slot goes to
//! the member with the least virtual time, and of its contracts to the one with
//! the least (see [`crate::fairness`]). The priority of a contract multiplies its
//! weight within its member. It therefore cannot starve other contracts, and a
//! member gains nothing from it at the cost of another member.
//!
//! Some slots are reserved for short requests. While no short request waits,
//! half of them may run medium requests, but never long ones. Short requests thus
//! always find the other half free of longer ones, and get the lent half back
//! within the service time of one medium request. The share of an idle member
//! or contract goes to the others, and returns to it at the next dispatch.

use std::collections::{BTreeSet, HashMap, VecDeque};

use slotmap::{SecondaryMap, SlotMap, new_key_type};

use crate::contract::PriorityLevel;
use crate::fairness::{CLASS_COUNT, ClassFilter, ContractKey, FairTree, MemberKey};
use crate::id::{CustomerId, MemberId};
use crate::outcome::RunOutcome;
use crate::request::{RequestClass, SizeEstimate};
use crate::time::Moment;

// Cancelled entries leave gaps in a queue. It is compacted when the gaps
// outnumber the remaining entries by more than this.
const GAPS_BEFORE_COMPACTION: usize = 32;

new_key_type! {
    /// Request that waits in a queue.
    pub struct EntryKey;
    /// Request that was dispatched and has not finished.
    pub struct RunKey;
}

/// Slots and limits of a fair queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueSettings {
    /// Requests that may run at the same time on the servers of the queue.
    pub slots: usize,
    /// How many of `slots` are reserved for short requests.
    pub reserved: usize,
    /// Requests that may wait in total, divided among the members by share.
    pub max_queued: usize,
    /// Requests of one contract that may wait, all classes together.
    pub max_per_contract: usize,
}

impl QueueSettings {
    /// Returns the settings for servers that have `slots` slots together.
    ///
    /// Medium and long requests may take seven eighths of the slots, short ones
    /// half. The parts overlap, and engines run short requests first by their
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
    /// Estimated tokens, charged at dispatch and corrected by the actual number.
    pub estimate: SizeEstimate,
    /// Latest moment at which sending the request is useful.
    pub latest_start: Moment,
}

/// Reason why a request was not queued, or left the queue without being sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, thiserror::Error)]
pub enum DropReason {
    /// The queue has no contract of this customer.
    #[error("unknown contract")]
    UnknownContract,
    /// [`QueueSettings::max_per_contract`] requests already wait.
    #[error("queue of the contract is full")]
    ContractFull,
    /// The member's part of [`QueueSettings::max_queued`] is used up.
    #[error("queue of the member is full")]
    MemberFull,
    /// [`QueueRequest::latest_start`] has passed.
    #[error("too late to be sent")]
    Late,
    /// The contract was removed while the request waited.
    #[error("contract has ended")]
    ContractEnded,
}

/// Request that was refused or dropped without being sent.
#[derive(Debug, PartialEq, Eq)]
pub struct DroppedRequest<T> {
    /// Value that was passed to [`FairQueue::push`].
    pub item: T,
    /// Why the request was not sent.
    pub reason: DropReason,
}

impl<T> DroppedRequest<T> {
    /// Outcome to tell the caller: nothing was sent.
    pub fn outcome(&self) -> RunOutcome {
        RunOutcome::NotRun
    }
}

/// Request that must now be sent to a server.
#[derive(Debug)]
pub struct DispatchedRequest<T> {
    /// Identifies the request until [`FairQueue::finish`] is called.
    pub key: RunKey,
    /// Value that was passed to [`FairQueue::push`].
    pub item: T,
    /// Size class, from which [`engine_priority`] is computed.
    pub class: RequestClass,
}

/// Priority that is passed to the engine, which runs lower values first.
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
struct QueueEntry<T> {
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
    charged_tokens: u32,
    on_reserved_slot: bool,
    outgrown: bool,
}

#[derive(Debug, Default)]
struct ContractQueue {
    entries: [VecDeque<EntryKey>; CLASS_COUNT],
    live_count: [usize; CLASS_COUNT],
}

// Occupied slots. `outgrown` counts the general ones that were reserved before.
#[derive(Debug, Default)]
struct SlotUse {
    reserved: usize,
    general: usize,
    outgrown: usize,
}

/// Weighted fair queue over members and their contracts, with size classes.
#[derive(Debug)]
pub struct FairQueue<T> {
    settings: QueueSettings,
    tree: FairTree,
    members: HashMap<MemberId, MemberKey>,
    contracts: HashMap<CustomerId, ContractKey>,
    queues: SecondaryMap<ContractKey, ContractQueue>,
    queued_by_member: SecondaryMap<MemberKey, usize>,
    entries: SlotMap<EntryKey, QueueEntry<T>>,
    by_latest_start: BTreeSet<(Moment, EntryKey)>,
    running: SlotMap<RunKey, RunningRequest>,
    used_slots: SlotUse,
    dropped: Vec<DroppedRequest<T>>,
}

impl<T> FairQueue<T> {
    /// Creates a queue without members, contracts and requests.
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
            by_latest_start: BTreeSet::new(),
            running: SlotMap::with_key(),
            used_slots: SlotUse::default(),
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

    /// Removes a contract and drops its waiting requests.
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

    /// Queues a request, or returns it with the reason why it is not queued.
    pub fn push(
        &mut self,
        customer: &CustomerId,
        request: &QueueRequest,
        item: T,
        now: Moment,
    ) -> Result<EntryKey, DroppedRequest<T>> {
        let contract = match self.check_push(customer, request, now) {
            Ok(contract) => contract,
            Err(reason) => return Err(DroppedRequest { item, reason }),
        };
        let class = request.estimate.class();
        let key = self.entries.insert(QueueEntry {
            item,
            contract,
            class,
            tokens: request.estimate.total(),
            latest_start: request.latest_start,
        });
        self.by_latest_start.insert((request.latest_start, key));
        self.queues[contract].entries[class as usize].push_back(key);
        self.queues[contract].live_count[class as usize] += 1;
        self.adjust_member_count(contract, true);
        self.tree.add_work(contract, class);
        Ok(key)
    }

    /// Removes a request whose caller has gone; `None` if it no longer waits.
    pub fn cancel(&mut self, key: EntryKey) -> Option<T> {
        self.remove_entry(key).map(|entry| entry.item)
    }

    /// Next request to send; `None` if no slot is free or no request may use one.
    pub fn next(&mut self, now: Moment) -> Option<DispatchedRequest<T>> {
        self.drop_expired(now);
        let (contract, class, on_reserved_slot) = self.choose_next()?;
        let key = self.pop_entry(contract, class)?;
        self.tree.update_min_virtual_times(contract);
        let entry = self.remove_entry(key)?;
        self.tree.charge(contract, class, i64::from(entry.tokens));
        if on_reserved_slot {
            self.used_slots.reserved += 1;
        } else {
            self.used_slots.general += 1;
        }
        let key = self.running.insert(RunningRequest {
            contract,
            class,
            charged_tokens: entry.tokens,
            on_reserved_slot,
            outgrown: false,
        });
        Some(DispatchedRequest {
            key,
            item: entry.item,
            class,
        })
    }

    /// Corrects the tokens charged for a running request if it has used more.
    /// Returns its new size class if it has outgrown the old one.
    pub fn progress(&mut self, key: RunKey, tokens: u32) -> Option<RequestClass> {
        let run = self.running.get_mut(key)?;
        if tokens <= run.charged_tokens {
            return None;
        }
        let extra = i64::from(tokens) - i64::from(run.charged_tokens);
        run.charged_tokens = tokens;
        let class = RequestClass::of(tokens).max(run.class);
        let has_grown = class > run.class;
        run.class = class;
        if has_grown && run.on_reserved_slot {
            run.on_reserved_slot = false;
            run.outgrown = true;
            self.used_slots.reserved -= 1;
            self.used_slots.general += 1;
            self.used_slots.outgrown += 1;
        }
        self.tree.charge(run.contract, class, extra);
        has_grown.then_some(class)
    }

    /// Ends a running request: frees its slot and charges its actual tokens.
    pub fn finish(&mut self, key: RunKey, actual_tokens: u32) {
        let Some(run) = self.running.remove(key) else {
            return;
        };
        if run.on_reserved_slot {
            self.used_slots.reserved -= 1;
        } else {
            self.used_slots.general -= 1;
        }
        self.used_slots.outgrown -= usize::from(run.outgrown);
        let difference = i64::from(actual_tokens) - i64::from(run.charged_tokens);
        self.tree.charge(run.contract, run.class, difference);
    }

    /// Drops the requests whose [`QueueRequest::latest_start`] has passed.
    pub fn drop_expired(&mut self, now: Moment) {
        while let Some((latest, key)) = self.by_latest_start.first().copied() {
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

    /// Earliest [`QueueRequest::latest_start`] of the waiting requests.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.by_latest_start.first().map(|(latest, _)| *latest)
    }

    /// Number of waiting requests.
    pub fn queued(&self) -> usize {
        self.entries.len()
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn check_push(
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
        let waiting: usize = self.queues[contract].live_count.iter().sum();
        if waiting >= self.settings.max_per_contract {
            return Err(DropReason::ContractFull);
        }
        let member_limit = self.tree.share_of(member, self.settings.max_queued).max(1);
        if self.queued_by_member[member] >= member_limit {
            return Err(DropReason::MemberFull);
        }
        Ok(contract)
    }

    // General requests beyond the number of general slots occupy reserved slots
    // and count as lent. Requests that have outgrown a reserved slot are exempt,
    // but at most as many as there are reserved slots, to bound the server load.
    fn choose_next(&self) -> Option<(ContractKey, RequestClass, bool)> {
        let reserved = self.settings.reserved;
        let general = self.settings.slots - reserved;
        let exempt = self.used_slots.outgrown.min(reserved);
        let lent = self.used_slots.general.saturating_sub(general + exempt);
        let pick = |filter, on_reserved_slot| {
            let (contract, class) = self.tree.pick(filter)?;
            Some((contract, class, on_reserved_slot))
        };
        let short = self.tree.pick(ClassFilter::Short);
        if short.is_some() && self.used_slots.reserved + lent < reserved {
            return pick(ClassFilter::Short, true);
        }
        if self.used_slots.general < general {
            return pick(ClassFilter::Any, false);
        }
        let may_lend = lent < reserved / 2 && self.used_slots.reserved + lent < reserved;
        if short.is_none() && may_lend {
            return pick(ClassFilter::Medium, false);
        }
        None
    }

    fn pop_entry(&mut self, contract: ContractKey, class: RequestClass) -> Option<EntryKey> {
        let queue = &mut self.queues[contract].entries[class as usize];
        loop {
            let key = queue.pop_front()?;
            if self.entries.contains_key(key) {
                return Some(key);
            }
        }
    }

    fn drop_entry(&mut self, key: EntryKey, reason: DropReason) {
        if let Some(entry) = self.remove_entry(key) {
            let item = entry.item;
            self.dropped.push(DroppedRequest { item, reason });
        }
    }

    fn remove_entry(&mut self, key: EntryKey) -> Option<QueueEntry<T>> {
        let entry = self.entries.remove(key)?;
        self.by_latest_start.remove(&(entry.latest_start, key));
        self.adjust_member_count(entry.contract, false);
        self.tree.remove_work(entry.contract, entry.class);
        if let Some(queue) = self.queues.get_mut(entry.contract) {
            let class = entry.class as usize;
            queue.live_count[class] -= 1;
            let waiting = &mut queue.entries[class];
            if waiting.len() > 2 * queue.live_count[class] + GAPS_BEFORE_COMPACTION {
                waiting.retain(|key| self.entries.contains_key(*key));
            }
        }
        Some(entry)
    }

    fn adjust_member_count(&mut self, contract: ContractKey, is_added: bool) {
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
