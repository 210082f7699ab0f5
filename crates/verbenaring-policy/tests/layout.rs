//! Tests of the static split of contract limits and of reclaiming slots.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::runner;
use proptest::prelude::*;
use verbenaring_policy::contract::{LimitTerms, ResidencyRule};
use verbenaring_policy::id::{CentreName, CustomerId, RegionName};
use verbenaring_policy::layout::{
    Allotment, CentreLayout, RegionLayout, SplitLayout, VmListing, is_reclaimable,
};
use verbenaring_policy::time::Moment;

fn layout(nodes: &[&[u32]], weights: &[u32]) -> SplitLayout {
    let centre = |region: usize, index: usize, nodes: u32| CentreLayout {
        name: CentreName::new(&format!("c{region}-{index}")).unwrap(),
        nodes,
    };
    let region = |(index, centres): (usize, &&[u32])| RegionLayout {
        name: region_name(index),
        weight: weights[index],
        centres: (0..centres.len())
            .map(|each| centre(index, each, centres[each]))
            .collect(),
    };
    SplitLayout {
        regions: nodes.iter().enumerate().map(region).collect(),
    }
}

fn region_name(index: usize) -> RegionName {
    RegionName::new(&format!("r{index}")).unwrap()
}

fn limits(requests_per_s: f64, concurrent: u32) -> LimitTerms {
    LimitTerms {
        requests_per_s,
        tokens_per_s: requests_per_s * 333.3,
        concurrent,
        deadline: Duration::from_secs(20),
    }
}

fn residency(regions: usize) -> ResidencyRule {
    ResidencyRule {
        home: region_name(0),
        allowed: (0..regions).map(region_name).collect(),
    }
}

fn customer(index: u32) -> CustomerId {
    common::customer(&format!("customer-{index}"))
}

fn all_shares(
    layout: &SplitLayout,
    customer: &CustomerId,
    limits: &LimitTerms,
    residency: &ResidencyRule,
) -> Vec<Allotment> {
    let centres = layout.regions.iter().flat_map(|region| &region.centres);
    centres
        .flat_map(|centre| (0..centre.nodes).map(|slot| (centre.name.clone(), slot)))
        .map(|(centre, slot)| layout.share(customer, limits, residency, &centre, slot))
        .collect()
}

fn sum(shares: impl IntoIterator<Item = Allotment>) -> Allotment {
    let add = |total: Allotment, share: Allotment| total.plus(&share);
    shares.into_iter().fold(Allotment::default(), add)
}

/// Guards against rounding by which the shares add up to more or less than the
/// contract.
#[test]
fn shares_add_up_to_the_contract() {
    let split = layout(&[&[7, 3], &[14], &[1, 1, 5]], &[10, 3, 1]);
    let inputs = (0.1..500.0f64, 1u32..400, 1usize..=3, 0u32..1000);
    runner(41)
        .run(&inputs, |(rate, concurrent, regions, number)| {
            let limits = limits(rate, concurrent);
            let shares = all_shares(&split, &customer(number), &limits, &residency(regions));
            prop_assert_eq!(sum(shares), Allotment::from_limits(&limits));
            Ok(())
        })
        .unwrap();
}

/// Guards against shares too small to admit one request, and against shares
/// in regions that may not process the customer's data.
#[test]
fn a_small_contract_is_split_into_whole_requests() {
    let split = layout(&[&[14], &[14]], &[1, 1]);
    let (small, tiny) = (limits(3.0, 3), limits(1.0, 1));
    let shares = all_shares(&split, &customer(1), &small, &residency(1));
    let holders: Vec<&Allotment> = shares.iter().filter(|share| !share.is_zero()).collect();
    assert_eq!(holders.len(), 3);
    let holder_slots = split.holders(&customer(1), &small, &residency(1), &region_name(0));
    let is_holder = |(_, slot): &(_, u32)| !shares[*slot as usize].is_zero();
    assert!(holder_slots.len() == 3 && holder_slots.iter().all(is_holder));
    let is_whole = |share: &&Allotment| share.concurrent == 1 && share.millirequests_per_s == 1_000;
    assert!(holders.iter().all(is_whole));
    assert!(shares[14..].iter().all(Allotment::is_zero));
    let at_home = split.region_share(&tiny, &residency(2), &region_name(0));
    assert_eq!(at_home, Allotment::from_limits(&tiny));
    let used_slots: BTreeSet<usize> = (0..50)
        .flat_map(|number| {
            let shares = all_shares(&split, &customer(number), &tiny, &residency(1));
            shares.iter().position(|share| !share.is_zero())
        })
        .collect();
    assert!(
        used_slots.len() > 7,
        "small contracts use only slots {used_slots:?}"
    );
}

/// Guards against reclaiming the slot of a VM that may still be running.
#[test]
fn a_slot_is_reclaimed_only_if_both_sources_agree() {
    let now = Moment(100_000_000);
    let long_ago = Moment(80_000_000);
    let recent = Moment(95_000_000);
    let removed = VmListing::Removed(long_ago);
    assert!(is_reclaimable(Some(long_ago), removed, now));
    assert!(!is_reclaimable(Some(recent), removed, now));
    assert!(!is_reclaimable(None, removed, now));
    for listing in [VmListing::NeverListed, VmListing::Live, VmListing::Leaving] {
        assert!(!is_reclaimable(Some(long_ago), listing, now));
    }
}
