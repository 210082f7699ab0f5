//! Tests that cold servers get few calls however differently the VMs see each other.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::dispatch::ownership::RegionView;

use super::fixture::*;
use super::test_vm::TestVm;

/// VMs of the region.
const VM_COUNT: usize = 27;
/// Time within which relays pass on news of every VM, in ms.
const NEWS_MS: u64 = 1_000;
/// Interval of direct reports, in ms.
const DIRECT_MS: u64 = 50;
/// Calls that a cold server gets in one second at most: the tolerated rate of
/// [`engine_settings`], multiplied and extended as in [`table`].
const MAX_CALLS_PER_S: f64 = 4.6 * 1.5 + 3.0;

/// Region whose VMs have heard each other through relays until 0 at the latest, where
/// server `a` returns cold at `cold_at`.
fn region_of_vms(cold_at: u64, rng: &mut ChaCha8Rng) -> Vec<TestVm> {
    let names: Vec<String> = (0..VM_COUNT).map(|index| format!("vm-{index}")).collect();
    let mut vms: Vec<TestVm> = Vec::new();
    for name in &names {
        let mut servers = table(&["a"]);
        let mut cold = entry("a", 10);
        cold.born = Some(2);
        servers.apply(cold, ms(3_000), at(cold_at));
        let mut vm = TestVm::new(name, servers);
        for other in names.iter().filter(|other| *other != name) {
            vm.hear(other, NEWS_MS, rng.random_range(0..NEWS_MS));
        }
        vms.push(vm);
    }
    vms
}

/// Most calls in any second; `sent` is sorted.
fn most_per_second(sent: &[u64]) -> usize {
    let ends = sent.iter().enumerate().map(|(index, last)| {
        let first = sent.partition_point(|at| at + 1_000 <= *last);
        index + 1 - first
    });
    ends.max().unwrap_or(0)
}

/// Guards against many owners of a cold server while VMs lose sight of each other at
/// different times, because the relays among them stand still.
#[test]
fn a_cold_server_is_not_flooded_while_vms_lose_sight_of_each_other() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut vms = region_of_vms(4_500, &mut rng);
        let standing = VM_COUNT * 6 / 10;
        let mut sent = Vec::new();
        for now in 4_500..7_500 {
            // VMs that hear too few others report to all of them directly.
            let lonely: Vec<String> = vms[standing..]
                .iter()
                .filter(|vm| vm.view(now).live.len() < VM_COUNT / 2)
                .map(|vm| vm.name.clone())
                .collect();
            for vm in &mut vms[standing..] {
                if now % DIRECT_MS == 0 {
                    vm.hear_all(&lonely, DIRECT_MS, now);
                }
                if now % 10 == 0 && vm.send(now).is_some() {
                    sent.push(now);
                }
            }
        }
        let most = most_per_second(&sent);
        assert!(most as f64 <= MAX_CALLS_PER_S, "{most}, seed {seed}");
    }
}

/// Guards against an owner of a cold server in each part of a region that is cut into
/// many.
#[test]
fn a_cold_server_is_not_flooded_by_vms_that_are_cut_off_from_each_other() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut vms = region_of_vms(8_000, &mut rng);
    let cut_off = 8;
    let mut sent = Vec::new();
    for now in 1_000..11_000 {
        let together: Vec<String> = vms[cut_off..].iter().map(|vm| vm.name.clone()).collect();
        for vm in &mut vms[cut_off..] {
            if now % DIRECT_MS == 0 {
                vm.hear_all(&together, DIRECT_MS, now);
            }
        }
        if now >= 8_000 && now % 10 == 0 {
            for vm in &mut vms {
                if vm.send(now).is_some() {
                    sent.push(now);
                }
            }
        }
    }
    let most = most_per_second(&sent);
    assert!(most as f64 <= MAX_CALLS_PER_S, "{most}");
}

/// Guards against a VM that has heard nobody since its start, and takes itself for all of
/// its region.
#[test]
fn an_owner_that_hears_few_of_the_expected_vms_sends_its_part() {
    let sent_in_a_second = |expected: usize| {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut vm = region_of_vms(0, &mut rng).remove(0);
        let view = RegionView {
            expected,
            ..RegionView::of_live(1, &[1])
        };
        let sent = (0..1_000).filter(|now| vm.send_in(&view, *now).is_some());
        sent.count()
    };
    // Of 4.6 x 1.5 + 3 calls a second, one owner sends half at most.
    assert_eq!(sent_in_a_second(1), 4);
    assert_eq!(sent_in_a_second(2), 4);
    assert_eq!(sent_in_a_second(4), 2);
    assert_eq!(sent_in_a_second(10), 0);
}
