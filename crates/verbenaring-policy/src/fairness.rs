//! Weighted fair queueing by virtual time, over members and their contracts.
//!
//! The member with the least virtual time is served next, and of its contracts
//! the one with the least. Served tokens advance the virtual time of a member by
//! tokens / share and that of a contract by tokens / weight. A member or contract
//! that becomes active continues at the least virtual time of the last dispatch
//! or at its own if that is later, so idle time earns no credit. Every operation
//! is logarithmic in the number of members and contracts.

use std::collections::BTreeSet;

use slotmap::{SlotMap, new_key_type};

use crate::request::RequestClass;

/// Largest lead of a member or contract over the least virtual time, in tokens.
///
/// The lead must allow for one request that fills a whole context window. A
/// larger lead comes from slots that nobody else could use, and must not delay
/// later work.
pub const MAX_LEAD_TOKENS: u64 = 131_072;
// Virtual time of one token at weight 1. At 1,000,000 tokens per second, 64
// bits last for years.
const VIRTUAL_TIME_PER_TOKEN: u64 = 1 << 16;
// Shares of the served tokens for short, medium and long requests of a contract:
// short requests nearly always go first, but do not starve long ones.
const CLASS_WEIGHTS: [u64; CLASS_COUNT] = [16, 4, 1];

/// Number of variants of [`RequestClass`].
pub(crate) const CLASS_COUNT: usize = 3;
const FILTER_COUNT: usize = 3;

new_key_type! {
    /// Member organisation in a fair queue.
    pub struct MemberKey;
    /// Contract of a member in a fair queue.
    pub struct ContractKey;
}

/// Size classes that a free slot may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ClassFilter {
    Short,
    Medium,
    Any,
}

#[derive(Debug)]
struct MemberNode {
    share: u64,
    virtual_time: u64,
    // Least virtual time at which an idle contract of the member continues.
    min_virtual_time: u64,
    active: [BTreeSet<(u64, ContractKey)>; FILTER_COUNT],
}

#[derive(Debug)]
struct ContractNode {
    member: MemberKey,
    weight: u64,
    virtual_time: u64,
    class_virtual_time: [u64; CLASS_COUNT],
    // Least virtual time at which a class without waiting requests continues.
    min_class_virtual_time: u64,
    // Waiting requests per class.
    backlog: [usize; CLASS_COUNT],
}

impl ContractNode {
    fn is_active(&self, filter: ClassFilter) -> bool {
        match filter {
            ClassFilter::Any => self.backlog.iter().any(|count| *count > 0),
            ClassFilter::Short | ClassFilter::Medium => self.backlog[filter as usize] > 0,
        }
    }

    // Class with the least virtual time among those with waiting requests.
    fn next_class(&self) -> Option<usize> {
        (0..CLASS_COUNT)
            .filter(|class| self.backlog[*class] > 0)
            .min_by_key(|class| self.class_virtual_time[*class])
    }
}

const ALL_FILTERS: [ClassFilter; FILTER_COUNT] =
    [ClassFilter::Short, ClassFilter::Medium, ClassFilter::Any];

fn class_at(index: usize) -> RequestClass {
    [
        RequestClass::Short,
        RequestClass::Medium,
        RequestClass::Long,
    ][index]
}

fn virtual_cost(tokens: u64, weight: u64) -> u64 {
    (tokens.saturating_mul(VIRTUAL_TIME_PER_TOKEN) / weight).max(1)
}

// Virtual time after `tokens` were served, limited to a lead of `MAX_LEAD_TOKENS`
// over `min_virtual_time`.
fn advance(virtual_time: u64, tokens: i64, weight: u64, min_virtual_time: u64) -> u64 {
    let step = virtual_cost(tokens.unsigned_abs(), weight);
    if tokens < 0 {
        return virtual_time.saturating_sub(step);
    }
    let limit = min_virtual_time.saturating_add(virtual_cost(MAX_LEAD_TOKENS, weight));
    virtual_time
        .saturating_add(step)
        .min(limit.max(virtual_time))
}

/// Members, and the contracts of each member, ordered by virtual time.
///
/// Only those with waiting requests are in the ordered sets, one set per
/// [`ClassFilter`].
#[derive(Debug, Default)]
pub(crate) struct FairTree {
    members: SlotMap<MemberKey, MemberNode>,
    contracts: SlotMap<ContractKey, ContractNode>,
    active: [BTreeSet<(u64, MemberKey)>; FILTER_COUNT],
    // Least virtual time at which an idle member continues.
    min_virtual_time: u64,
}

impl FairTree {
    pub(crate) fn add_member(&mut self, share: u32) -> MemberKey {
        self.members.insert(MemberNode {
            share: u64::from(share.max(1)),
            virtual_time: self.min_virtual_time,
            min_virtual_time: 0,
            active: Default::default(),
        })
    }

    pub(crate) fn set_share(&mut self, member: MemberKey, share: u32) {
        if let Some(node) = self.members.get_mut(member) {
            node.share = u64::from(share.max(1));
        }
    }

    pub(crate) fn add_contract(&mut self, member: MemberKey, weight: u64) -> Option<ContractKey> {
        let virtual_time = self.members.get(member)?.min_virtual_time;
        let node = ContractNode {
            member,
            weight: weight.max(1),
            virtual_time,
            class_virtual_time: [0; CLASS_COUNT],
            min_class_virtual_time: 0,
            backlog: [0; CLASS_COUNT],
        };
        Some(self.contracts.insert(node))
    }

    pub(crate) fn set_weight(&mut self, contract: ContractKey, weight: u64) {
        if let Some(node) = self.contracts.get_mut(contract) {
            node.weight = weight.max(1);
        }
    }

    /// Removes a contract, which must have no waiting requests.
    pub(crate) fn remove_contract(&mut self, contract: ContractKey) {
        if let Some(member) = self.detach(contract) {
            self.contracts.remove(contract);
            self.attach_member(member);
        }
    }

    /// Counts a request that starts to wait.
    pub(crate) fn add_work(&mut self, contract: ContractKey, class: RequestClass) {
        let Some(member) = self.detach(contract) else {
            return;
        };
        let is_member_idle = self.members[member].active[ClassFilter::Any as usize].is_empty();
        let node = &mut self.contracts[contract];
        let class = class as usize;
        if !node.is_active(ClassFilter::Any) {
            node.virtual_time = node.virtual_time.max(self.members[member].min_virtual_time);
            if is_member_idle {
                let member = &mut self.members[member];
                member.virtual_time = member.virtual_time.max(self.min_virtual_time);
            }
        }
        if node.backlog[class] == 0 {
            node.class_virtual_time[class] =
                node.class_virtual_time[class].max(node.min_class_virtual_time);
        }
        node.backlog[class] += 1;
        self.attach(contract);
    }

    /// Counts a request that no longer waits.
    pub(crate) fn remove_work(&mut self, contract: ContractKey, class: RequestClass) {
        if self.detach(contract).is_some() {
            let count = &mut self.contracts[contract].backlog[class as usize];
            *count = count.saturating_sub(1);
            self.attach(contract);
        }
    }

    /// Advances the virtual times by served tokens. A negative number takes back
    /// tokens that were charged before but not used.
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
        member.virtual_time = advance(
            member.virtual_time,
            tokens,
            member.share,
            self.min_virtual_time,
        );
        node.virtual_time = advance(
            node.virtual_time,
            tokens,
            node.weight,
            member.min_virtual_time,
        );
        let step = virtual_cost(tokens.unsigned_abs(), CLASS_WEIGHTS[class]);
        node.class_virtual_time[class] = if tokens < 0 {
            node.class_virtual_time[class].saturating_sub(step)
        } else {
            node.class_virtual_time[class].saturating_add(step)
        };
        self.attach(contract);
    }

    /// Contract and class to serve next among the classes that `filter` allows.
    pub(crate) fn pick(&self, filter: ClassFilter) -> Option<(ContractKey, RequestClass)> {
        let (_, member) = self.active[filter as usize].first()?;
        let (_, contract) = self.members[*member].active[filter as usize].first()?;
        let class = match filter {
            ClassFilter::Any => self.contracts[*contract].next_class()?,
            ClassFilter::Short | ClassFilter::Medium => filter as usize,
        };
        Some((*contract, class_at(class)))
    }

    /// Raises the virtual times at which idle members, contracts and classes
    /// continue to the least of the active ones.
    ///
    /// It must be called before a dispatched request is removed. Otherwise a
    /// contract with one request at a time would count as idle at each dispatch
    /// and lose the advantage of its weight.
    pub(crate) fn update_min_virtual_times(&mut self, contract: ContractKey) {
        let any = ClassFilter::Any as usize;
        if let Some((virtual_time, _)) = self.active[any].first() {
            self.min_virtual_time = self.min_virtual_time.max(*virtual_time);
        }
        let Some(node) = self.contracts.get_mut(contract) else {
            return;
        };
        if let Some(class) = node.next_class() {
            node.min_class_virtual_time = node
                .min_class_virtual_time
                .max(node.class_virtual_time[class]);
        }
        let member = &mut self.members[node.member];
        if let Some((virtual_time, _)) = member.active[any].first() {
            member.min_virtual_time = member.min_virtual_time.max(*virtual_time);
        }
    }

    /// Member that holds a contract.
    pub(crate) fn member_of(&self, contract: ContractKey) -> Option<MemberKey> {
        self.contracts.get(contract).map(|node| node.member)
    }

    /// Part of `total` that a member gets by its share, rounded down.
    pub(crate) fn share_of(&self, member: MemberKey, total: usize) -> usize {
        let sum: u64 = self.members.values().map(|node| node.share).sum();
        let share = self.members.get(member).map_or(0, |node| node.share);
        (total as u128 * u128::from(share) / u128::from(sum.max(1))) as usize
    }

    // Takes a contract and its member out of the ordered sets. Their virtual times
    // may change until `attach` puts them back.
    fn detach(&mut self, contract: ContractKey) -> Option<MemberKey> {
        let node = self.contracts.get(contract)?;
        let member = self.members.get_mut(node.member)?;
        for filter in ALL_FILTERS {
            self.active[filter as usize].remove(&(member.virtual_time, node.member));
            member.active[filter as usize].remove(&(node.virtual_time, contract));
        }
        Some(node.member)
    }

    fn attach(&mut self, contract: ContractKey) {
        let node = &self.contracts[contract];
        let member = &mut self.members[node.member];
        for filter in ALL_FILTERS {
            if node.is_active(filter) {
                member.active[filter as usize].insert((node.virtual_time, contract));
            }
        }
        let member = node.member;
        self.attach_member(member);
    }

    fn attach_member(&mut self, key: MemberKey) {
        let member = &mut self.members[key];
        for filter in ALL_FILTERS {
            if !member.active[filter as usize].is_empty() {
                self.active[filter as usize].insert((member.virtual_time, key));
            }
        }
    }
}
