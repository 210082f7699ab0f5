//! Load estimates of backend servers.
//!
//! A node knows its own outstanding work exactly. The work of other nodes is the
//! reported total minus the node's own. As a report ages, this estimate moves
//! towards the mean of the candidates. It must not move towards zero, because
//! then every node would choose the server with the oldest report.

use std::time::Duration;

use crate::id::Digest;
use crate::router::{Candidate, PrefixView, ServerState, ServerView};

/// Age at which a load report has half the weight of a new one.
pub const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Assumed tokens of a request that another node has sent: 800,000 tokens/s
/// divided by 2,800 requests/s at the design load.
pub const OTHER_NODE_REQUEST_TOKENS: f64 = 286.0;

/// Lowest load that a slow server is compared with, as a multiple of the mean
/// load. A server counts as slow from twice the usual time per token.
const SLOW_MIN_LOAD_RATIO: f64 = 2.0;

// 256 sets of 4 tags of 8 bytes: 8 KiB per server, 16 MB at 2,000 servers.
const PREFIX_SET_COUNT: usize = 256;
const PREFIX_WAYS: usize = 4;

/// Weight of a report of a given age: 1 when new, half after each
/// [`REPORT_HALF_LIFE`].
pub fn report_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2()
}

/// Reported requests that other nodes have sent; `None` without a report.
pub(crate) fn other_node_requests<C>(server: &ServerView<'_, C>) -> Option<f64> {
    let report = server.report?;
    let reported = report.running.saturating_add(report.waiting);
    Some(f64::from(reported.saturating_sub(server.own_requests)))
}

/// Time in seconds that the server needs for `tokens` at its present speed.
pub(crate) fn service_time_s<C>(server: &ServerView<'_, C>, tokens: f64) -> f64 {
    let factor = match server.state {
        ServerState::Slow { factor } => factor.max(1.0),
        _ => 1.0,
    };
    tokens * factor / server.tokens_per_s.max(1.0)
}

/// Load of a server in seconds, for comparison with other servers.
///
/// A slow server is avoided and therefore runs out of work. Without a lower
/// bound it would then seem better than busy servers that answer several times
/// sooner.
pub(crate) fn compared_load_s<C>(server: &ServerView<'_, C>, load_s: f64, mean_load_s: f64) -> f64 {
    match server.state {
        ServerState::Slow { .. } => load_s.max(mean_load_s * SLOW_MIN_LOAD_RATIO),
        _ => load_s,
    }
}

/// Estimates the load of one server and the wait for a slot.
///
/// `mean_others` is the mean of [`other_node_requests`] over the candidates with a
/// report. It stands in for a missing report and partly for an old one.
pub(crate) fn estimate<C>(index: usize, server: &ServerView<'_, C>, mean_others: f64) -> Candidate {
    let weight = server
        .report
        .map_or(0.0, |report| report_weight(report.age));
    let reported = other_node_requests(server).unwrap_or(0.0);
    let other_requests = weight * reported + (1.0 - weight) * mean_others;
    let tokens = server.own_tokens as f64 + other_requests * OTHER_NODE_REQUEST_TOKENS;
    let load_s = service_time_s(server, tokens);
    let requests = f64::from(server.own_requests) + other_requests;
    let excess = requests + 1.0 - f64::from(server.slots.max(1));
    let wait_s = if excess > 0.0 && requests > 0.0 {
        load_s * (excess / requests).min(1.0)
    } else {
        0.0
    };
    Candidate {
        index,
        load_s,
        wait_s,
    }
}

/// Hash of a node or server name for rendezvous hashing: FNV-1a, then the
/// SplitMix64 finalizer.
pub fn rendezvous_key(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    splitmix64_finalizer(hash)
}

/// Mixes the bits of a hash so that each input bit affects all output bits.
pub(crate) fn splitmix64_finalizer(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Recently served prefixes of one server, as a set-associative table of fixed
/// size that replaces the least recently served prefix of a set.
///
/// Digests are uniformly distributed, so their first bytes select the set. Two
/// prefixes with the same tag are confused; the cost is one request that misses
/// the cache.
#[derive(Debug, Clone)]
pub struct PrefixTable {
    sets: Vec<[u64; PREFIX_WAYS]>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        Self {
            sets: vec![[0; PREFIX_WAYS]; PREFIX_SET_COUNT],
        }
    }
}

impl PrefixTable {
    /// Records that the server has served the prefix.
    pub fn insert(&mut self, prefix: &Digest) {
        let tag = tag_of(prefix);
        let set = &mut self.sets[tag as usize % PREFIX_SET_COUNT];
        let position = set.iter().position(|own| *own == tag);
        let end = position.unwrap_or(PREFIX_WAYS - 1);
        set[..=end].rotate_right(1);
        set[0] = tag;
    }

    /// Removes all prefixes; called after a restart of the server.
    pub fn clear(&mut self) {
        self.sets.fill([0; PREFIX_WAYS]);
    }
}

impl PrefixView for PrefixTable {
    fn contains(&self, prefix: &Digest) -> bool {
        let tag = tag_of(prefix);
        self.sets[tag as usize % PREFIX_SET_COUNT].contains(&tag)
    }
}

fn tag_of(prefix: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&prefix.0[..8]);
    u64::from_le_bytes(bytes).max(1)
}
