//! Virtual time of members and of their contracts.
//!
//! The member with the least virtual time is served next, and within it the
//! contract with the least. Served tokens advance both by tokens / weight. A
//! member or contract that becomes active starts at the least virtual time at
//! the last dispatch or later, so idle time gives no credit. Every operation is
//! logarithmic in the number of members and contracts.

use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

use crate::request::RequestClass;

/// Largest lead of a member or contract over the least virtual time, in
/// tokens. One request may cost a whole context window. A larger lead comes
/// from slots that nobody else could use and must not delay later work.
pub const MAX_LEAD_TOKENS: u64 = 131_072;
// Virtual time per token and weight. 64 bits last for years at 1,000,000
// tokens per second.
const SCALE: u64 = 1 << 16;
// Weights of the size classes within a contract, in tokens: short work goes
// first nearly always, and long work is not starved by it.
const CLASS_WEIGHTS: [u64; CLASSES] = [16, 4, 1];

/// Number of size classes.
pub(crate) const CLASSES: usize = 3;
const LANES: usize = 3;

new_key_type! {
    /// Member in a fair queue.
    pub struct MemberKey;
    /// Contract in a fair queue.
    pub struct ContractKey;
}

/// Work that a free slot may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Lane {
    Short,
    Medium,
    Any,
}

#[derive(Debug)]
struct MemberNode {
    share: u64,
    time: u64,
    floor: u64,
    active: [BTreeSet<(u64, ContractKey)>; LANES],
}

#[derive(Debug)]
struct ContractNode {
    member: MemberKey,
    weight: u64,
    time: u64,
    class_time: [u64; CLASSES],
    class_floor: u64,
    backlog: [usize; CLASSES],
}

impl ContractNode {
    fn is_active(&self, lane: Lane) -> bool {
        match lane {
            Lane::Any => self.backlog.iter().any(|count| *count > 0),
            Lane::Short | Lane::Medium => self.backlog[lane as usize] > 0,
        }
    }

    // Least class time of the classes with work.
    fn next_class(&self) -> Option<usize> {
        (0..CLASSES)
            .filter(|class| self.backlog[*class] > 0)
            .min_by_key(|class| self.class_time[*class])
    }
}

const ALL_LANES: [Lane; LANES] = [Lane::Short, Lane::Medium, Lane::Any];

fn class_of(index: usize) -> RequestClass {
    [
        RequestClass::Short,
        RequestClass::Medium,
        RequestClass::Long,
    ][index]
}

fn cost(tokens: u64, weight: u64) -> u64 {
    (tokens.saturating_mul(SCALE) / weight).max(1)
}

fn advance(time: u64, tokens: i64, weight: u64, floor: u64) -> u64 {
    let step = cost(tokens.unsigned_abs(), weight);
    if tokens < 0 {
        return time.saturating_sub(step);
    }
    let limit = floor.saturating_add(cost(MAX_LEAD_TOKENS, weight));
    time.saturating_add(step).min(limit.max(time))
}

/// Members and contracts ordered by virtual time.
#[derive(Debug, Default)]
pub(crate) struct FairTree {
    members: SlotMap<MemberKey, MemberNode>,
    contracts: SlotMap<ContractKey, ContractNode>,
    active: [BTreeSet<(u64, MemberKey)>; LANES],
    floor: u64,
}

impl FairTree {
    pub(crate) fn add_member(&mut self, share: u32) -> MemberKey {
        self.members.insert(MemberNode {
            share: u64::from(share.max(1)),
            time: self.floor,
            floor: 0,
            active: Default::default(),
        })
    }

    pub(crate) fn set_share(&mut self, member: MemberKey, share: u32) {
        if let Some(node) = self.members.get_mut(member) {
            node.share = u64::from(share.max(1));
        }
    }

    pub(crate) fn add_contract(&mut self, member: MemberKey, weight: u64) -> Option<ContractKey> {
        let time = self.members.get(member)?.floor;
        let node = ContractNode {
            member,
            weight: weight.max(1),
            time,
            class_time: [0; CLASSES],
            class_floor: 0,
            backlog: [0; CLASSES],
        };
        Some(self.contracts.insert(node))
    }

    pub(crate) fn set_weight(&mut self, contract: ContractKey, weight: u64) {
        if let Some(node) = self.contracts.get_mut(contract) {
            node.weight = weight.max(1);
        }
    }

    /// Removes a contract without work.
    pub(crate) fn remove_contract(&mut self, contract: ContractKey) {
        if let Some(member) = self.detach(contract) {
            self.contracts.remove(contract);
            self.attach_member(member);
        }
    }

    /// Counts one more request that waits.
    pub(crate) fn add_work(&mut self, contract: ContractKey, class: RequestClass) {
        let Some(member) = self.detach(contract) else {
            return;
        };
        let is_member_idle = self.members[member].active[Lane::Any as usize].is_empty();
        let node = &mut self.contracts[contract];
        let class = class as usize;
        if !node.is_active(Lane::Any) {
            node.time = node.time.max(self.members[member].floor);
            if is_member_idle {
                let member = &mut self.members[member];
                member.time = member.time.max(self.floor);
            }
        }
        if node.backlog[class] == 0 {
            node.class_time[class] = node.class_time[class].max(node.class_floor);
        }
        node.backlog[class] += 1;
        self.attach(contract);
    }

    /// Counts one request less that waits.
    pub(crate) fn remove_work(&mut self, contract: ContractKey, class: RequestClass) {
        if self.detach(contract).is_some() {
            let count = &mut self.contracts[contract].backlog[class as usize];
            *count = count.saturating_sub(1);
            self.attach(contract);
        }
    }

    /// Advances virtual time by served tokens; negative for a correction.
    pub(crate) fn charge(&mut self, contract: ContractKey, class: RequestClass, tokens: i64) {
        if tokens == 0 {
            return;
        }
        let Some(member) = self.detach(contract) else {
            return;
        };
        let member = &mut self.members[member];
        let node = &mut self.contracts[contract];
        let class = class as usize;
        member.time = advance(member.time, tokens, member.share, self.floor);
        node.time = advance(node.time, tokens, node.weight, member.floor);
        let step = cost(tokens.unsigned_abs(), CLASS_WEIGHTS[class]);
        node.class_time[class] = if tokens < 0 {
            node.class_time[class].saturating_sub(step)
        } else {
            node.class_time[class].saturating_add(step)
        };
        self.attach(contract);
    }

    /// Contract and class that are served next.
    pub(crate) fn pick(&self, lane: Lane) -> Option<(ContractKey, RequestClass)> {
        let (_, member) = self.active[lane as usize].first()?;
        let (_, contract) = self.members[*member].active[lane as usize].first()?;
        let class = match lane {
            Lane::Any => self.contracts[*contract].next_class()?,
            Lane::Short | Lane::Medium => lane as usize,
        };
        Some((*contract, class_of(class)))
    }

    /// Sets the starting points of idle members, contracts and classes; called
    /// before each dispatch.
    ///
    /// They are the least virtual times before the dispatched work is removed.
    /// Otherwise a contract with one request at a time would be idle at each
    /// dispatch and lose the advantage of its weight.
    pub(crate) fn begin_dispatch(&mut self, contract: ContractKey) {
        let any = Lane::Any as usize;
        if let Some((time, _)) = self.active[any].first() {
            self.floor = self.floor.max(*time);
        }
        let Some(node) = self.contracts.get_mut(contract) else {
            return;
        };
        if let Some(class) = node.next_class() {
            node.class_floor = node.class_floor.max(node.class_time[class]);
        }
        let member = &mut self.members[node.member];
        if let Some((time, _)) = member.active[any].first() {
            member.floor = member.floor.max(*time);
        }
    }

    /// Member of a contract.
    pub(crate) fn member_of(&self, contract: ContractKey) -> Option<MemberKey> {
        self.contracts.get(contract).map(|node| node.member)
    }

    /// Part of `total` that belongs to a member by its share.
    pub(crate) fn part(&self, member: MemberKey, total: usize) -> usize {
        let sum: u64 = self.members.values().map(|node| node.share).sum();
        let share = self.members.get(member).map_or(0, |node| node.share);
        (total as u128 * u128::from(share) / u128::from(sum.max(1))) as usize
    }

    // Takes a contract and its member out of the ordered sets, so that their
    // virtual times can change.
    fn detach(&mut self, contract: ContractKey) -> Option<MemberKey> {
        let node = self.contracts.get(contract)?;
        let member = self.members.get_mut(node.member)?;
        for lane in ALL_LANES {
            self.active[lane as usize].remove(&(member.time, node.member));
            member.active[lane as usize].remove(&(node.time, contract));
        }
        Some(node.member)
    }

    fn attach(&mut self, contract: ContractKey) {
        let node = &self.contracts[contract];
        let member = &mut self.members[node.member];
        for lane in ALL_LANES {
            if node.is_active(lane) {
                member.active[lane as usize].insert((node.time, contract));
            }
        }
        let member = node.member;
        self.attach_member(member);
    }

    fn attach_member(&mut self, key: MemberKey) {
        let member = &mut self.members[key];
        for lane in ALL_LANES {
            if !member.active[lane as usize].is_empty() {
                self.active[lane as usize].insert((member.time, key));
            }
        }
    }
}
