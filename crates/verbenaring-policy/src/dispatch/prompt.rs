//! Parts of prompts and the record of which server has read them.
//!
//! Load pattern: many requests begin with the same parts, in the same order.
//! A server that has read a part continues after it, so a request that goes
//! there leaves more of the server's time to others.

use std::collections::HashMap;

use crate::time::Moment;

/// Parts remembered for one server. At 300 tokens a part this covers the
/// memory of the largest engines seen.
const MAX_PARTS: usize = 2_048;

/// Part of a prompt that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity; equal parts have equal identities.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u32,
}

/// Parts that a server has probably read, by their last use.
#[derive(Debug, Clone, Default)]
pub struct PartCache {
    parts: HashMap<u64, (Moment, u32)>,
    tokens: u64,
}

impl PartCache {
    /// Counts a request with `parts`; evicts the least recently used parts
    /// that exceed `capacity` tokens.
    pub fn record(&mut self, parts: &[PromptPart], capacity: u64, now: Moment) {
        for part in parts {
            let old = self.parts.insert(part.id, (now, part.tokens));
            self.tokens += u64::from(part.tokens);
            self.tokens -= u64::from(old.map_or(0, |(_, tokens)| tokens));
        }
        if self.tokens > capacity || self.parts.len() > MAX_PARTS {
            self.evict(capacity);
        }
    }

    /// Tokens of `parts` that the server need not read.
    pub fn cached_tokens(&self, parts: &[PromptPart]) -> u32 {
        let known = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        known.map(|part| part.tokens).sum()
    }

    /// Last use of a part.
    pub fn last_use(&self, part: u64) -> Option<Moment> {
        self.parts.get(&part).map(|(used, _)| *used)
    }

    /// Forgets everything, as the server does when it starts again.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }

    /// Evicts down to three quarters, so that evictions are rare.
    fn evict(&mut self, capacity: u64) {
        let mut order: Vec<(Moment, u64)> = self
            .parts
            .iter()
            .map(|(id, (used, _))| (*used, *id))
            .collect();
        order.sort_unstable();
        for (_, id) in order {
            if self.tokens <= capacity / 4 * 3 && self.parts.len() <= MAX_PARTS / 4 * 3 {
                break;
            }
            if let Some((_, tokens)) = self.parts.remove(&id) {
                self.tokens -= u64::from(tokens);
            }
        }
    }
}

/// Rank of a server for a part: all VMs compute the same order of servers.
pub fn affinity(part: u64, server: u64) -> u64 {
    // Finalizer of SplitMix64; it spreads neighbouring inputs over all bits.
    let mut mixed = part ^ server.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Hash of a name for [`affinity`] and for reports between VMs (FNV-1a).
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
