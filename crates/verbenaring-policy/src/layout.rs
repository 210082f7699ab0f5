//! Static split of contract limits over the node slots of the deployment.
//!
//! Every region that the contract allows receives a part by its weight, and
//! the part is divided among the region's node slots. A contract too small to
//! give each allowed region one concurrent request and one request per second
//! is kept in its home region. Inside a region only as many slots hold a share
//! as can admit whole requests; the other slots borrow (see [`crate::allotment`]).
//!
//! A request that arrives at a slot without a share waits for one round trip
//! to a holder of the same region (1 ms between its data centres) if that
//! holder is idle, and otherwise until a request of the contract ends, at most
//! its deadline. A region without a share borrows from the home region (110 ms)
//! and cannot serve the contract while it is cut off from it. Three concurrent
//! requests over 14 nodes of one region are held by three nodes, one each.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contract::{LimitTerms, ResidencyRule};
use crate::id::{CentreName, CustomerId, Digest, RegionName};
use crate::time::Moment;

/// Time that failure detection and the list of VMs must agree before a slot
/// is reclaimed.
pub const RECLAIM_HOLD: Duration = Duration::from_secs(10);
const MILLI: f64 = 1_000.0;

/// Part of a contract's limits, in whole units so that sums are exact.
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
    /// Whole contract, rounded down.
    pub fn from_limits(limits: &LimitTerms) -> Self {
        Self {
            millirequests_per_s: (limits.requests_per_s * MILLI) as u64,
            millitokens_per_s: (limits.tokens_per_s * MILLI) as u64,
            concurrent: limits.concurrent,
        }
    }

    /// Whether nothing is left.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Whether every limit is at most that of `other`.
    pub fn fits(&self, other: &Allotment) -> bool {
        self.min(other) == *self
    }

    /// Number of parts of which each has one concurrent request and one
    /// request per second.
    fn whole_requests(&self) -> u64 {
        u64::from(self.concurrent).min(self.millirequests_per_s / 1_000)
    }

    /// Sum per limit.
    pub fn plus(&self, other: &Allotment) -> Self {
        self.combine(other, u64::saturating_add)
    }

    /// Difference per limit, zero at least.
    pub fn minus(&self, other: &Allotment) -> Self {
        self.combine(other, u64::saturating_sub)
    }

    /// Minimum per limit.
    pub fn min(&self, other: &Allotment) -> Self {
        self.combine(other, u64::min)
    }

    /// Part `index` of `count` equal parts; the parts add up to the whole.
    fn part(&self, index: u64, count: u64) -> Self {
        self.slice(index, index + 1, count)
    }

    fn slice(&self, start: u64, end: u64, total: u64) -> Self {
        Self {
            millirequests_per_s: slice(self.millirequests_per_s, start, end, total),
            millitokens_per_s: slice(self.millitokens_per_s, start, end, total),
            concurrent: slice(self.concurrent.into(), start, end, total) as u32,
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

// Differences of rounded running sums add up to the amount exactly.
fn slice(amount: u64, start: u64, end: u64, total: u64) -> u64 {
    let below = |position: u64| u128::from(amount) * u128::from(position) / u128::from(total);
    (below(end) - below(start)) as u64
}

/// Data centre in a layout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreLayout {
    /// Name of the data centre.
    pub name: CentreName,
    /// Configured number of entry VMs.
    pub nodes: u32,
}

/// Region in a layout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionLayout {
    /// Name of the region.
    pub name: RegionName,
    /// Weight of the region among the regions that a contract allows.
    pub weight: u32,
    /// Data centres of the region.
    pub centres: Vec<CentreLayout>,
}

impl RegionLayout {
    fn nodes(&self) -> u64 {
        self.centres
            .iter()
            .map(|centre| u64::from(centre.nodes))
            .sum()
    }

    fn position(&self, centre: &CentreName, slot: u32) -> Option<u64> {
        let index = self.centres.iter().position(|each| each.name == *centre)?;
        let before: u64 = self.centres[..index]
            .iter()
            .map(|each| u64::from(each.nodes))
            .sum();
        (slot < self.centres[index].nodes).then(|| before + u64::from(slot))
    }
}

/// Configured regions, data centres and node counts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SplitLayout {
    /// Regions in a fixed order.
    pub regions: Vec<RegionLayout>,
}

impl SplitLayout {
    /// Share of one node slot; zero for slots that are not in the layout.
    pub fn share(
        &self,
        customer: &CustomerId,
        limits: &LimitTerms,
        residency: &ResidencyRule,
        centre: &CentreName,
        slot: u32,
    ) -> Allotment {
        let position = |region: &RegionLayout| region.position(centre, slot);
        let Some((region, position)) = self
            .regions
            .iter()
            .find_map(|region| position(region).map(|position| (region, position)))
        else {
            return Allotment::default();
        };
        let part = self.region_share(limits, residency, &region.name);
        let nodes = region.nodes();
        let holders = holder_count(&part, nodes);
        holder_index(customer, position, nodes, holders)
            .map_or_else(Allotment::default, |index| part.part(index, holders))
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

    /// Share of a region.
    pub fn region_share(
        &self,
        limits: &LimitTerms,
        residency: &ResidencyRule,
        region: &RegionName,
    ) -> Allotment {
        let whole = Allotment::from_limits(limits);
        let weighted: Vec<&RegionLayout> = self
            .regions
            .iter()
            .filter(|each| residency.allows(&each.name) && each.weight > 0 && each.nodes() > 0)
            .collect();
        let total: u64 = weighted.iter().map(|each| u64::from(each.weight)).sum();
        let least = weighted.iter().map(|each| u64::from(each.weight)).min();
        let is_small = whole.whole_requests() * least.unwrap_or(0) < total;
        if is_small && weighted.iter().any(|each| each.name == residency.home) {
            let at_home = *region == residency.home;
            return if at_home { whole } else { Allotment::default() };
        }
        let mut start = 0;
        for each in weighted {
            let end = start + u64::from(each.weight);
            if each.name == *region {
                return whole.slice(start, end, total);
            }
            start = end;
        }
        Allotment::default()
    }
}

/// Slots that hold a share: each can admit at least one whole request.
fn holder_count(part: &Allotment, nodes: u64) -> u64 {
    nodes.min(part.whole_requests()).max(1)
}

// Holders are evenly spaced and start at a slot that depends on the customer,
// so that small contracts do not all load the same nodes.
fn holder_index(customer: &CustomerId, position: u64, nodes: u64, holders: u64) -> Option<u64> {
    let digest = Digest::of(customer.as_str().as_bytes());
    let start = u64::from(u32::from_le_bytes([
        digest.0[0],
        digest.0[1],
        digest.0[2],
        digest.0[3],
    ]));
    let rotated = (position + nodes - start % nodes) % nodes;
    let index = (rotated * holders).div_ceil(nodes);
    (index < holders && index * nodes / holders == rotated).then_some(index)
}

/// What the platform's list says of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmListing {
    /// Not listed yet; the list lags behind new VMs.
    NeverListed,
    /// Live.
    Live,
    /// Leaving, but may still serve.
    Leaving,
    /// Listed before and removed since the given moment.
    Removed(Moment),
}

/// Whether the slot of a VM may be claimed by another one.
///
/// `dead_since` is the verdict of failure detection. The claim itself must be
/// a compare-and-swap in the platform store, so that only one VM gets the slot.
pub fn is_reclaimable(dead_since: Option<Moment>, listing: VmListing, now: Moment) -> bool {
    match (dead_since, listing) {
        (Some(dead), VmListing::Removed(removed)) => now.since(dead.max(removed)) >= RECLAIM_HOLD,
        _ => false,
    }
}
