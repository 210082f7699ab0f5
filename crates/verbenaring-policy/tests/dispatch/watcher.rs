//! VMs that read the configuration source.

use std::collections::HashSet;

use verbenaring_policy::dispatch::watcher::{WATCHERS_PER_REGION, WatchPeer, WatcherElection};

use super::fixture::*;

/// VMs of one region that decide every 100 ms on what the others said before.
struct WatchRegion {
    duties: Vec<WatcherElection>,
    watching: Vec<bool>,
    blocked: HashSet<usize>,
    tries: usize,
    now: u64,
}

impl WatchRegion {
    fn new(vms: usize) -> Self {
        Self {
            duties: vec![WatcherElection::default(); vms],
            watching: vec![false; vms],
            blocked: HashSet::new(),
            tries: 0,
            now: 0,
        }
    }

    /// Runs for some time; a VM that may watch does so unless it is blocked.
    fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 100;
            let said: Vec<WatchPeer> = self.watching.iter().enumerate().map(peer).collect();
            self.tries = 0;
            for vm in 0..said.len() {
                let others: Vec<_> = said
                    .iter()
                    .filter(|other| other.vm != vm as u64)
                    .copied()
                    .collect();
                let duty = self.duties[vm].should_watch(said[vm], &others, at(self.now));
                self.tries += usize::from(duty);
                self.watching[vm] = duty && !self.blocked.contains(&vm);
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
        watching: *watching,
    }
}

/// Load: 90 VMs, each of which would be answered with each change of an entry.
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

/// Guards against a region without news: the source refuses the VMs that watch.
#[test]
fn others_watch_when_the_source_refuses_some() {
    for blocked in [1, 3, 10, 27] {
        let mut region = WatchRegion::new(30);
        region.run(2_000);
        region.blocked = region.watchers().into_iter().chain(0..blocked).collect();
        region.run(6_000);
        let watchers = region.watchers();
        let free = 30 - region.blocked.len();
        assert_eq!(
            watchers.len(),
            free.min(WATCHERS_PER_REGION),
            "{blocked} blocked"
        );
        region.run(10_000);
        assert_eq!(region.watchers(), watchers, "changes without a cause");
    }
}

/// Guards against 90 VMs that call a source that is down at the same moment.
#[test]
fn few_vms_try_at_first_while_the_source_is_down() {
    let mut region = WatchRegion::new(30);
    region.run(2_000);
    region.blocked = (0..30).collect();
    region.run(900);
    assert!(
        region.tries <= 2 * WATCHERS_PER_REGION,
        "{} VMs",
        region.tries
    );
    region.blocked.clear();
    region.run(6_000);
    assert_eq!(region.watchers().len(), WATCHERS_PER_REGION);
}

/// Guards against VMs that have not heard of each other yet.
#[test]
fn a_vm_alone_watches() {
    let own = WatchPeer {
        vm: 1,
        watching: false,
    };
    assert!(WatcherElection::default().should_watch(own, &[], at(0)));
}

/// Guards against a path that works in one direction: reports of watching VMs
/// arrive, but they cannot be asked, and the VM would never learn of changes.
#[test]
fn a_vm_that_cannot_ask_watches_itself() {
    let mut region = WatchRegion::new(30);
    region.run(2_000);
    let cut = (0..30).find(|vm| !region.watching[*vm]).expect("30 VMs");
    region.duties[cut].record_query_failure(at(region.now));
    region.run(5_000);
    assert!(region.watching[cut]);
    assert!(region.watchers().len() <= WATCHERS_PER_REGION + 1);
    // The others can be asked again.
    region.run(20_000);
    assert_eq!(region.watchers().len(), WATCHERS_PER_REGION);
}
