//! Tests of the election of the VMs that watch the configuration source.

use std::collections::HashSet;

use verbenaring_policy::dispatch::watcher::{WATCHERS_PER_REGION, WatchPeer, WatcherElection};

use super::fixture::*;

/// VMs of one region that decide every 100 ms from the others' previous state.
struct WatchRegion {
    elections: Vec<WatcherElection>,
    watching: Vec<bool>,
    blocked: HashSet<usize>,
    candidates: usize,
    now_ms: u64,
}

impl WatchRegion {
    fn new(vms: usize) -> Self {
        Self {
            elections: vec![WatcherElection::default(); vms],
            watching: vec![false; vms],
            blocked: HashSet::new(),
            candidates: 0,
            now_ms: 0,
        }
    }

    /// Runs for `millis` ms; a VM that should watch does so unless it is blocked.
    fn run(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        while self.now_ms < end {
            self.now_ms += 100;
            let previous: Vec<WatchPeer> = self.watching.iter().enumerate().map(peer).collect();
            self.candidates = 0;
            for vm in 0..previous.len() {
                let others: Vec<_> = previous
                    .iter()
                    .filter(|other| other.vm != vm as u64)
                    .copied()
                    .collect();
                let should_watch =
                    self.elections[vm].should_watch(previous[vm], &others, at(self.now_ms));
                self.candidates += usize::from(should_watch);
                self.watching[vm] = should_watch && !self.blocked.contains(&vm);
            }
        }
    }

    fn watchers(&self) -> HashSet<usize> {
        let all = self.watching.iter().enumerate();
        all.filter(|(_, watching)| **watching)
            .map(|(vm, _)| vm)
            .collect()
    }
}

fn peer((vm, watching): (usize, &bool)) -> WatchPeer {
    WatchPeer {
        vm: vm as u64,
        capacity: 100,
        watching: *watching,
        heard_ago: ms(0),
    }
}

/// Load: 90 VMs, which would each receive every change of an entry if all watched.
#[test]
fn few_vms_of_a_region_watch() {
    for vms in [1, 2, 3, 7, 30, 100] {
        let mut region = WatchRegion::new(vms);
        region.run(2_000);
        assert_eq!(
            region.watchers().len(),
            vms.min(WATCHERS_PER_REGION),
            "{vms} VMs"
        );
    }
}

/// Guards against a region without updates because the source refuses its watchers.
#[test]
fn others_watch_when_the_source_refuses_some() {
    for blocked in [1, 3, 10, 27] {
        let mut region = WatchRegion::new(30);
        region.run(2_000);
        region.blocked = region.watchers().into_iter().chain(0..blocked).collect();
        region.run(6_000);
        let watchers = region.watchers();
        let unblocked = 30 - region.blocked.len();
        assert_eq!(
            watchers.len(),
            unblocked.min(WATCHERS_PER_REGION),
            "{blocked} blocked"
        );
        region.run(10_000);
        assert_eq!(
            region.watchers(),
            watchers,
            "watchers changed without a cause"
        );
    }
}

/// Guards against 90 VMs that all call an unreachable source at the same time.
#[test]
fn few_vms_try_at_first_while_the_source_is_down() {
    let mut region = WatchRegion::new(30);
    region.run(2_000);
    region.blocked = (0..30).collect();
    region.run(900);
    assert!(
        region.candidates <= 2 * WATCHERS_PER_REGION,
        "{} VMs",
        region.candidates
    );
    region.blocked.clear();
    region.run(6_000);
    assert_eq!(region.watchers().len(), WATCHERS_PER_REGION);
}

/// Guards against a VM without updates because it has not heard from others yet.
#[test]
fn a_vm_alone_watches() {
    let own = WatchPeer {
        vm: 1,
        capacity: 100,
        watching: false,
        heard_ago: ms(0),
    };
    assert!(WatcherElection::default().should_watch(own, &[], at(0)));
}

/// Guards against a VM that counts on watchers that it does not hear any more, while it
/// still holds them for live.
#[test]
fn a_vm_that_hears_no_watcher_watches() {
    let mut region = WatchRegion::new(30);
    region.run(2_000);
    let alone = (0..30).find(|vm| !region.watching[*vm]).expect("30 VMs");
    let heard = region.watching.iter().enumerate().map(peer);
    let others: Vec<WatchPeer> = heard.filter(|other| other.vm != alone as u64).collect();
    let silent: Vec<WatchPeer> = others
        .iter()
        .map(|other| WatchPeer {
            heard_ago: ms(1_500),
            ..*other
        })
        .collect();
    let own = peer((alone, &false));
    let mut election = WatcherElection::default();
    assert!(!election.should_watch(own, &others, at(2_000)));
    assert!(election.should_watch(own, &silent, at(3_500)));
}

/// Guards against a network path that works in one direction: reports of watching
/// VMs arrive, but they cannot be asked, and the VM would never learn of changes.
#[test]
fn a_vm_that_cannot_ask_watches_itself() {
    let mut region = WatchRegion::new(30);
    region.run(2_000);
    let isolated = (0..30).find(|vm| !region.watching[*vm]).expect("30 VMs");
    region.elections[isolated].record_query_failure(at(region.now_ms));
    region.run(5_000);
    assert!(region.watching[isolated]);
    assert!(region.watchers().len() <= WATCHERS_PER_REGION + 1);
    // The others can be asked again.
    region.run(20_000);
    assert_eq!(region.watchers().len(), WATCHERS_PER_REGION);
}
