//! Parts of prompts and the record of which server has read them.
//!
//! Load pattern: many requests begin with the same parts, in the same order.
//! A server that has read a part continues after it, so a request that goes
//! there leaves more of the server's time to others.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::time::Moment;

/// Prompts remembered for one server. At 300 tokens a prompt this covers the
/// memory of the largest engines seen.
const MAX_PROMPTS: usize = 2_048;

/// Part of a prompt that requests share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identity; equal parts have equal identities.
    pub id: u64,
    /// Size in tokens.
    pub tokens: u32,
}

/// Short identity of a part, as VMs report it.
pub fn part_key(id: u64) -> u32 {
    (id ^ (id >> 32)) as u32
}

/// Prompt that a server was given, as VMs tell each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptRecord {
    /// Last shared part, by [`part_key`].
    pub session: u32,
    /// Server, by the low half of its name hash.
    pub server: u32,
    /// Tokens of all shared parts.
    pub shared: u32,
    /// Other tokens.
    pub own: u32,
}

/// Prompts that a server probably keeps, by their last use.
#[derive(Debug, Clone, Default)]
pub struct PartCache {
    sessions: HashMap<u32, (Moment, u32)>,
    // Tokens used once, in the order of their use; they fill the memory too.
    single: VecDeque<(Moment, u32)>,
    tokens: u64,
}

impl PartCache {
    /// Counts a prompt; evicts the least recently used ones that exceed
    /// `capacity` tokens.
    pub fn record(&mut self, note: &PromptRecord, capacity: u64, now: Moment) {
        if note.shared > 0 {
            let old = self.sessions.insert(note.session, (now, note.shared));
            self.tokens += u64::from(note.shared);
            self.tokens -= u64::from(old.map_or(0, |(_, tokens)| tokens));
        }
        self.single.push_back((now, note.own));
        self.tokens += u64::from(note.own);
        if self.tokens > capacity || self.sessions.len() + self.single.len() > MAX_PROMPTS {
            self.evict(capacity);
        }
    }

    /// Last use of a session.
    pub fn last_use(&self, session: u32) -> Option<Moment> {
        self.sessions.get(&session).map(|(used, _)| *used)
    }

    /// Forgets everything, as the server does when it starts again.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Evicts a little more than needed, so that evictions are rare.
    fn evict(&mut self, capacity: u64) {
        let target = capacity / 16 * 15;
        let most = MAX_PROMPTS / 16 * 15;
        let mut order: Vec<(Moment, u32)> = self
            .sessions
            .iter()
            .map(|(session, (used, _))| (*used, *session))
            .collect();
        order.sort_unstable();
        let mut order = order.into_iter().peekable();
        while self.tokens > target || self.sessions.len() + self.single.len() > most {
            let single = self.single.front().map(|(used, _)| *used);
            match (order.peek().copied(), single) {
                (Some((used, session)), single) if single.is_none_or(|single| used < single) => {
                    order.next();
                    let tokens = self
                        .sessions
                        .remove(&session)
                        .map_or(0, |(_, tokens)| tokens);
                    self.tokens -= u64::from(tokens);
                }
                (_, Some(_)) => {
                    let tokens = self.single.pop_front().map_or(0, |(_, tokens)| tokens);
                    self.tokens -= u64::from(tokens);
                }
                _ => break,
            }
        }
    }
}

/// Rank of a server for a part: all VMs compute the same order of servers.
pub fn rendezvous_score(part: u64, server: u64) -> u64 {
    // Finalizer of SplitMix64; it spreads neighbouring inputs over all bits.
    let mut mixed = part ^ server.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Hash of a name for [`rendezvous_score`] and for reports between VMs (FNV-1a).
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}
