//! Election of the VMs of a region that watch the configuration source.
//!
//! Load pattern: every backend server writes its entry about once a second, and
//! each change is sent to every open watch. With a watch on each VM, the load
//! would grow with servers times VMs, while the source has one limit for all.
//! Therefore only a few VMs of a region watch. The others ask them for changes
//! when their reports show newer state.

use std::time::Duration;

use super::prompt::rendezvous_score;
use crate::time::Moment;

/// Number of VMs of a region that watch. Two of them may be lost or cut off at the
/// same time.
pub const WATCHERS_PER_REGION: usize = 3;
/// Time without enough watchers after which the number of VMs that try to watch
/// doubles. The source may refuse some VMs and serve others.
const DOUBLING_TIME: Duration = Duration::from_secs(1);
/// How long a VM watches after it could not ask the others. A network path that
/// works in one direction only delivers their reports, but no answers.
const QUERY_FAILURE_TIME: Duration = Duration::from_secs(10);
/// Silence after which a VM does not count, although calls may still go there. A VM that
/// hears no watcher learns of no changes, and must do so within 3 s.
const MAX_PEER_SILENCE: Duration = Duration::from_millis(1_500);
/// Limit of the doublings, at which three thousand VMs try to watch.
const MAX_DOUBLINGS: u32 = 10;

/// Seed of the rank among VMs. Any number works if all VMs use the same one.
const RANK_SEED: u64 = 0x7761_7463;

/// VM of the own region that is a candidate for watching.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPeer {
    /// Hash of the VM name.
    pub vm: u64,
    /// Capacity of the VM; VMs with more of it watch first.
    pub capacity: u32,
    /// Whether the VM's watches are open and answered.
    pub watching: bool,
    /// Time since the VM was heard, directly or through a relay.
    pub heard_ago: Duration,
}

/// Decides whether this VM watches the configuration source.
#[derive(Debug, Clone, Default)]
pub struct WatcherElection {
    below_target_since: Option<Moment>,
    query_failed_at: Option<Moment>,
}

impl WatcherElection {
    /// Records that other VMs have newer state, but cannot be asked for it.
    pub fn record_query_failure(&mut self, now: Moment) {
        self.query_failed_at = Some(now);
    }

    /// Whether this VM should watch or try to.
    ///
    /// `peers` are the other live VMs. A VM that watches stops only when enough
    /// VMs of higher rank watch.
    pub fn should_watch(&mut self, own: WatchPeer, peers: &[WatchPeer], now: Moment) -> bool {
        let heard = |peer: &&WatchPeer| peer.heard_ago < MAX_PEER_SILENCE;
        let peers: Vec<&WatchPeer> = peers.iter().filter(heard).collect();
        let failure_age = self.query_failed_at.map(|at| now.since(at));
        if failure_age.is_some_and(|age| age < QUERY_FAILURE_TIME) {
            return true;
        }
        let watching = peers.iter().filter(|peer| peer.watching).count();
        let below_target_for = match watching + usize::from(own.watching) < WATCHERS_PER_REGION {
            true => now.since(*self.below_target_since.get_or_insert(now)),
            false => {
                self.below_target_since = None;
                Duration::ZERO
            }
        };
        let rank = |peer: &WatchPeer| (peer.capacity, rendezvous_score(RANK_SEED, peer.vm));
        let ranks_higher = |peer: &&&WatchPeer| rank(peer) > rank(&own);
        let watching_above = peers
            .iter()
            .filter(ranks_higher)
            .filter(|peer| peer.watching);
        if watching_above.count() >= WATCHERS_PER_REGION {
            return false;
        }
        let doublings = below_target_for.as_millis() / DOUBLING_TIME.as_millis();
        let allowed = WATCHERS_PER_REGION << (doublings as u32).min(MAX_DOUBLINGS);
        own.watching || peers.iter().filter(ranks_higher).count() < allowed
    }
}
