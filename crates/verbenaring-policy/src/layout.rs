//! Static split of contract limits over the node slots of the deployment.
//!
//! A node slot is the place of one entry VM in the configured layout. Every
//! region that the contract allows receives a part of the limits by its weight,
//! and the part is divided among the region's node slots. A contract too small
//! to give each allowed region one concurrent request and one request per second
//! stays entirely in its home region. Inside a region only as many slots hold a
//! share as can each admit whole requests: three concurrent requests over 14
//! nodes are held by three nodes, one each. The other slots borrow (see
//! [`crate::allotment`]).
//!
//! A request that arrives at a slot without a share waits for one round trip to
//! a slot of the same region that holds one (1 ms between its data centres). If
//! that holder has no unused share, it waits until a request of the contract
//! ends, at most until its deadline. A region without a share borrows from the
//! home region (110 ms) and cannot serve the contract while the network between
//! the two is partitioned.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contract::{LimitTerms, ResidencyRule};
use crate::id::{CentreName, CustomerId, Digest, RegionName};
use crate::time::Moment;

/// Time for which failure detection and the platform's list of VMs must agree
/// that a VM is gone before its slot is reclaimed.
pub const RECLAIM_DELAY: Duration = Duration::from_secs(10);
const MILLIS_PER_UNIT: f64 = 1_000.0;

/// Share of a contract's limits, in integers so that sums are exact.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allotment {
    /// Requests per 1,000 s.
    pub millirequests_per_s: u64,
    /// Tokens per 1,000 s.
    pub millitokens_per_s: u64,
    /// Requests in flight.
    pub concurrent: u32,
}

impl Allotment {
    /// The whole limits of a contract, rounded down to thousandths.
    pub fn from_limits(limits: &LimitTerms) -> Self {
        Self {
            millirequests_per_s: (limits.requests_per_s * MILLIS_PER_UNIT) as u64,
            millitokens_per_s: (limits.tokens_per_s * MILLIS_PER_UNIT) as u64,
            concurrent: limits.concurrent,
        }
    }

    /// Whether every limit is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Whether every limit is at most that of `other`.
    pub fn fits_within(&self, other: &Allotment) -> bool {
        self.min(other) == *self
    }

    /// Number of parts into which this share can be divided so that each allows
    /// at least one concurrent request and one request per second.
    fn max_holders(&self) -> u64 {
        u64::from(self.concurrent).min(self.millirequests_per_s / 1_000)
    }

    /// Adds each limit, saturating.
    pub fn plus(&self, other: &Allotment) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Subtracts each limit, down to zero.
    pub fn minus(&self, other: &Allotment) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    /// Takes the minimum of each limit.
    pub fn min(&self, other: &Allotment) -> Self {
        self.combine(other, u64::min)
    }

    /// Part `index` of `count` equal parts, whose sum is exactly this share.
    fn part(&self, index: u64, count: u64) -> Self {
        self.slice(index, index + 1, count)
    }

    fn slice(&self, start: u64, end: u64, total: u64) -> Self {
        Self {
            millirequests_per_s: slice_of(self.millirequests_per_s, start, end, total),
            millitokens_per_s: slice_of(self.millitokens_per_s, start, end, total),
            concurrent: slice_of(self.concurrent.into(), start, end, total) as u32,
        }
    }

    fn combine(&self, other: &Allotment, operation: fn(u64, u64) -> u64) -> Self {
        let concurrent = operation(self.concurrent.into(), other.concurrent.into());
        Self {
            millirequests_per_s: operation(self.millirequests_per_s, other.millirequests_per_s),
            millitokens_per_s: operation(self.millitokens_per_s, other.millitokens_per_s),
            concurrent: u32::try_from(concurrent).unwrap_or(u32::MAX),
        }
    }
}

/// Part of `amount` from `start` to `end` on a scale of `total`.
///
/// Subtracts rounded running sums, so that adjoining slices add up to the amount
/// exactly.
fn slice_of(amount: u64, start: u64, end: u64, total: u64) -> u64 {
    let running_sum = |position: u64| u128::from(amount) * u128::from(position) / u128::from(total);
    (running_sum(end) - running_sum(start)) as u64
}

/// Data centre and its number of node slots.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreLayout {
    /// Name of the data centre.
    pub name: CentreName,
    /// Configured number of entry VMs; each has one slot, numbered from zero.
    pub nodes: u32,
}

/// Region with its weight and its data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLayout {
    /// Name of the region, as contracts use it.
    pub name: RegionName,
    /// Weight of the region among the regions that a contract allows; a region of
    /// weight zero receives no share.
    pub weight: u32,
    /// Data centres of the region.
    pub centres: Vec<CentreLayout>,
}

impl RegionLayout {
    fn node_count(&self) -> u64 {
        self.centres
            .iter()
            .map(|centre| u64::from(centre.nodes))
            .sum()
    }

    /// Index of a slot among all slots of the region.
    fn slot_index(&self, centre: &CentreName, slot: u32) -> Option<u64> {
        let index = self.centres.iter().position(|each| each.name == *centre)?;
        let first: u64 = self.centres[..index]
            .iter()
            .map(|each| u64::from(each.nodes))
            .sum();
        (slot < self.centres[index].nodes).then(|| first + u64::from(slot))
    }
}

/// Configured regions, data centres and node counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitLayout {
    /// All regions. Shares depend on their order, so every node must have the same.
    pub regions: Vec<RegionLayout>,
}

impl SplitLayout {
    /// Share of one node slot; zero if the slot is not in the layout.
    pub fn share(
        &self,
        customer: &CustomerId,
        limits: &LimitTerms,
        residency: &ResidencyRule,
        centre: &CentreName,
        slot: u32,
    ) -> Allotment {
        let index_in = |region: &RegionLayout| region.slot_index(centre, slot);
        let Some((region, slot_index)) = self
            .regions
            .iter()
            .find_map(|region| index_in(region).map(|index| (region, index)))
        else {
            return Allotment::default();
        };
        let share = self.region_share(limits, residency, &region.name);
        let nodes = region.node_count();
        let holders = holder_count(&share, nodes);
        holder_index(customer, slot_index, nodes, holders)
            .map_or_else(Allotment::default, |index| share.part(index, holders))
    }

    /// Slots of a region that hold a share and may be asked for a loan.
    pub fn holders(
        &self,
        customer: &CustomerId,
        limits: &LimitTerms,
        residency: &ResidencyRule,
        region: &RegionName,
    ) -> Vec<(&CentreName, u32)> {
        let is_holder = |(centre, slot): &(&CentreName, u32)| {
            let share = self.share(customer, limits, residency, centre, *slot);
            !share.is_zero()
        };
        self.regions
            .iter()
            .filter(|each| each.name == *region)
            .flat_map(|each| &each.centres)
            .flat_map(|centre| (0..centre.nodes).map(move |slot| (&centre.name, slot)))
            .filter(is_holder)
            .collect()
    }

    /// Share of all slots of a region together.
    ///
    /// Zero if the contract does not allow the region, or if the contract is too
    /// small to be split and the region is not its home.
    pub fn region_share(
        &self,
        limits: &LimitTerms,
        residency: &ResidencyRule,
        region: &RegionName,
    ) -> Allotment {
        let whole = Allotment::from_limits(limits);
        let eligible: Vec<&RegionLayout> = self
            .regions
            .iter()
            .filter(|candidate| {
                residency.allows(&candidate.name)
                    && candidate.weight > 0
                    && candidate.node_count() > 0
            })
            .collect();
        let total: u64 = eligible
            .iter()
            .map(|candidate| u64::from(candidate.weight))
            .sum();
        let min_weight = eligible
            .iter()
            .map(|candidate| u64::from(candidate.weight))
            .min();
        let is_small = whole.max_holders() * min_weight.unwrap_or(0) < total;
        if is_small
            && eligible
                .iter()
                .any(|candidate| candidate.name == residency.home)
        {
            let at_home = *region == residency.home;
            return if at_home { whole } else { Allotment::default() };
        }
        let mut start = 0;
        for candidate in eligible {
            let end = start + u64::from(candidate.weight);
            if candidate.name == *region {
                return whole.slice(start, end, total);
            }
            start = end;
        }
        Allotment::default()
    }
}

/// Number of slots among which the share of a region is divided, so that each
/// can admit at least one whole request.
fn holder_count(share: &Allotment, nodes: u64) -> u64 {
    nodes.min(share.max_holders()).max(1)
}

/// Number of a slot among the slots that hold a share, or `None` if it holds
/// none.
///
/// Holders are evenly spaced, and the first one depends on the customer, so that
/// small contracts do not all load the same nodes.
fn holder_index(customer: &CustomerId, slot_index: u64, nodes: u64, holders: u64) -> Option<u64> {
    let digest = Digest::of(customer.as_str().as_bytes());
    let start = u64::from(u32::from_le_bytes([
        digest.0[0],
        digest.0[1],
        digest.0[2],
        digest.0[3],
    ]));
    let rotated = (slot_index + nodes - start % nodes) % nodes;
    let index = (rotated * holders).div_ceil(nodes);
    (index < holders && index * nodes / holders == rotated).then_some(index)
}

/// State of a VM in the platform's list of VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmListing {
    /// Not listed yet; the list lags behind new VMs.
    NeverListed,
    /// Listed as running.
    Live,
    /// Listed as about to stop; it may still serve requests.
    Leaving,
    /// Listed before, and removed from the list at this moment.
    Removed(Moment),
}

/// Whether the slot of a VM may be claimed by another one.
///
/// `dead_since` is the moment since which failure detection holds the VM for
/// dead, if it does. The claim itself must be a compare-and-swap in the platform
/// store, so that only one VM gets the slot.
pub fn is_reclaimable(dead_since: Option<Moment>, listing: VmListing, now: Moment) -> bool {
    match (dead_since, listing) {
        (Some(dead), VmListing::Removed(removed)) => now.since(dead.max(removed)) >= RECLAIM_DELAY,
        _ => false,
    }
}
