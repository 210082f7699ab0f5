//! Which VMs of a region read the configuration source themselves.
//!
//! Load pattern: every backend server writes its entry about once a second, and
//! each change answers every open watch. With a watch on each VM the calls grow
//! with servers times VMs, while the source has one limit for all. A few VMs of
//! a region therefore watch, the others ask them when reports show newer state.

use std::time::Duration;

use super::prompt::rendezvous_score;
use crate::time::Moment;

/// VMs of a region that watch. Two may be lost or cut off at the same moment.
pub const WATCHERS_PER_REGION: usize = 3;
/// Time without enough watchers after which twice as many VMs try to watch.
/// The source may refuse some VMs and serve the others.
const DOUBLING_TIME: Duration = Duration::from_secs(1);
/// Time for which a VM watches itself after it could not ask the others. A
/// path that works in one direction only brings reports but no answers.
const FAILURE_MEMORY: Duration = Duration::from_secs(10);
/// Most doublings; three thousand VMs try then.
const MAX_DOUBLINGS: u32 = 10;

/// Key of the order in which VMs watch. Any number does, if it is the same on
/// every VM.
const ORDER_KEY: u64 = 0x7761_7463;

/// Another VM of the own region that could watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchPeer {
    /// Name hash.
    pub vm: u64,
    /// Whether its watches are open and answered.
    pub watching: bool,
}

/// Decides whether this VM watches.
#[derive(Debug, Clone, Default)]
pub struct WatcherElection {
    lacking_since: Option<Moment>,
    failed_at: Option<Moment>,
}

impl WatcherElection {
    /// Counts that other VMs have news and cannot be asked.
    pub fn record_query_failure(&mut self, now: Moment) {
        self.failed_at = Some(now);
    }

    /// Whether this VM watches or tries to.
    ///
    /// `peers` are the live ones. A VM that watches stops only when enough
    /// others of higher rank do.
    pub fn should_watch(&mut self, own: WatchPeer, peers: &[WatchPeer], now: Moment) -> bool {
        let failed = self.failed_at.map(|at| now.since(at));
        if failed.is_some_and(|age| age < FAILURE_MEMORY) {
            return true;
        }
        let watching = peers.iter().filter(|peer| peer.watching).count();
        let lacking_for = match watching + usize::from(own.watching) < WATCHERS_PER_REGION {
            true => now.since(*self.lacking_since.get_or_insert(now)),
            false => {
                self.lacking_since = None;
                Duration::ZERO
            }
        };
        let rank = |vm: u64| rendezvous_score(ORDER_KEY, vm);
        let ahead = |peer: &&WatchPeer| rank(peer.vm) > rank(own.vm);
        let watching_ahead = peers.iter().filter(ahead).filter(|peer| peer.watching);
        if watching_ahead.count() >= WATCHERS_PER_REGION {
            return false;
        }
        let doublings = lacking_for.as_millis() / DOUBLING_TIME.as_millis();
        let tries = WATCHERS_PER_REGION << (doublings as u32).min(MAX_DOUBLINGS);
        own.watching || peers.iter().filter(ahead).count() < tries
    }
}
