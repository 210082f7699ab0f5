//! Load estimates of backend servers.
//!
//! A node knows its own outstanding work exactly. Work of other nodes is the
//! reported total less the node's own; with growing age of the report this
//! converges to the mean of the group, because a zero would attract every
//! node to the server with the oldest report.

use std::time::Duration;

use crate::id::Digest;
use crate::router::{Candidate, PrefixView, ServerState, ServerView};

/// Age at which a report counts half.
pub const REPORT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Assumed tokens of another node's request: 800,000 tokens/s over
/// 2,800 requests/s at the design load.
pub const OTHER_NODE_REQUEST_TOKENS: f64 = 286.0;

/// Least load of a slow server as a multiple of the mean: a server counts as
/// slow from twice the usual time per token.
const SLOW_LOAD: f64 = 2.0;

// 1,024 prefixes of 8 bytes: 8 KiB per server, 16 MB at 2,000 servers.
const PREFIX_SETS: usize = 256;
const PREFIX_WAYS: usize = 4;

/// Weight of a report of a given age.
pub fn report_weight(age: Duration) -> f64 {
    (-age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64()).exp2()
}

/// Reported requests that are not this node's own.
pub(crate) fn foreign_requests<C>(server: &ServerView<'_, C>) -> Option<f64> {
    let report = server.report?;
    let reported = report.running.saturating_add(report.waiting);
    Some(f64::from(reported.saturating_sub(server.own_requests)))
}

/// Time that the server needs for `tokens` at its present speed.
pub(crate) fn service_s<C>(server: &ServerView<'_, C>, tokens: f64) -> f64 {
    let factor = match server.state {
        ServerState::Slow { factor } => factor.max(1.0),
        _ => 1.0,
    };
    tokens * factor / server.tokens_per_s.max(1.0)
}

/// Load of a server for comparison with others.
///
/// A slow server empties because it is avoided. Without a lower bound it would
/// then look better than busy servers that answer several times sooner.
pub(crate) fn compared_s<C>(server: &ServerView<'_, C>, load_s: f64, mean_load_s: f64) -> f64 {
    match server.state {
        ServerState::Slow { .. } => load_s.max(mean_load_s * SLOW_LOAD),
        _ => load_s,
    }
}

/// Load estimate of one server.
pub(crate) fn candidate<C>(
    index: usize,
    server: &ServerView<'_, C>,
    mean_foreign: f64,
) -> Candidate {
    let weight = server
        .report
        .map_or(0.0, |report| report_weight(report.age));
    let reported = foreign_requests(server).unwrap_or(0.0);
    let foreign = weight * reported + (1.0 - weight) * mean_foreign;
    let tokens = server.own_tokens as f64 + foreign * OTHER_NODE_REQUEST_TOKENS;
    let load_s = service_s(server, tokens);
    let requests = f64::from(server.own_requests) + foreign;
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

/// Hash of a name for rendezvous hashing (FNV-1a, then mixed).
pub fn rendezvous_key(name: &str) -> u64 {
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    mix(hash)
}

/// Finalizer of SplitMix64.
pub(crate) fn mix(mut value: u64) -> u64 {
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Recently served prefixes, in a fixed table with the oldest replaced.
///
/// Digests are uniform, so their first bytes select the set. A false match
/// costs one cold cache.
#[derive(Debug, Clone)]
pub struct PrefixTable {
    sets: Vec<[u64; PREFIX_WAYS]>,
}

impl Default for PrefixTable {
    fn default() -> Self {
        Self {
            sets: vec![[0; PREFIX_WAYS]; PREFIX_SETS],
        }
    }
}

impl PrefixTable {
    /// Records that the server has served the prefix.
    pub fn insert(&mut self, prefix: &Digest) {
        let tag = tag_of(prefix);
        let set = &mut self.sets[tag as usize % PREFIX_SETS];
        let position = set.iter().position(|own| *own == tag);
        let end = position.unwrap_or(PREFIX_WAYS - 1);
        set[..=end].rotate_right(1);
        set[0] = tag;
    }

    /// Forgets all prefixes, after a restart of the server.
    pub fn clear(&mut self) {
        self.sets.fill([0; PREFIX_WAYS]);
    }
}

impl PrefixView for PrefixTable {
    fn contains(&self, prefix: &Digest) -> bool {
        let tag = tag_of(prefix);
        self.sets[tag as usize % PREFIX_SETS].contains(&tag)
    }
}

fn tag_of(prefix: &Digest) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&prefix.0[..8]);
    u64::from_le_bytes(bytes).max(1)
}
