//! Shared parts of prompts and an estimate of which servers have them cached.
//!
//! Load pattern: many requests begin with the same parts, in the same order.
//! A server that has read a part does not read it again, so a request sent
//! there leaves more of the server's time to others.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::table::{MIN_REMOTE_TOKENS, ServerTable};
use crate::id::ServiceName;
use crate::time::Moment;

/// Prompts remembered per server. At 300 tokens per prompt, this covers the
/// memory of the largest engines seen.
const MAX_CACHED_PROMPTS: usize = 2_048;
/// Prompts kept for the next report; only an overloaded VM sends more.
const MAX_QUEUED_PROMPTS: usize = 24;

/// Part of a prompt; all but the last may be shared with other requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// ID of the part; equal parts have equal IDs.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Shortens the ID of a part to 32 bits, as used in reports between VMs.
pub fn short_part_id(id: u64) -> u32 {
    (id ^ (id >> 32)) as u32
}

/// Record of a prompt that was sent to a server, as VMs report it to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PromptRecord {
    /// [`short_part_id`] of the part by which calls are kept together.
    pub session: u32,
    /// Lower 32 bits of the hash of the server name.
    pub server: u32,
    /// Length of all shared parts, in tokens.
    pub shared: u32,
    /// Length of the unshared part, in tokens.
    pub own: u32,
}

/// Estimate of the prompts that a server keeps in its cache, evicted by last use.
#[derive(Debug, Clone, Default)]
pub struct PromptCache {
    sessions: HashMap<u32, (Moment, u32)>,
    // Unshared parts in order of use; they occupy the server's memory too.
    unshared: VecDeque<(Moment, u32)>,
    tokens: u64,
}

impl PromptCache {
    /// Adds a prompt and evicts the least recently used ones if the total exceeds
    /// `capacity` tokens.
    pub fn record(&mut self, prompt: &PromptRecord, capacity: u64, now: Moment) {
        if prompt.shared > 0 {
            let old = self.sessions.insert(prompt.session, (now, prompt.shared));
            self.tokens += u64::from(prompt.shared);
            self.tokens -= u64::from(old.map_or(0, |(_, tokens)| tokens));
        }
        self.unshared.push_back((now, prompt.own));
        self.tokens += u64::from(prompt.own);
        if self.tokens > capacity || self.sessions.len() + self.unshared.len() > MAX_CACHED_PROMPTS
        {
            self.evict(capacity);
        }
    }

    /// Time of the last use of a session; `None` if it is not cached.
    pub fn last_use(&self, session: u32) -> Option<Moment> {
        self.sessions.get(&session).map(|(used, _)| *used)
    }

    /// Removes all prompts, as a restart of the server does.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Evicts down to 15/16 of the limits, so that evictions are rare.
    fn evict(&mut self, capacity: u64) {
        let max_tokens = capacity / 16 * 15;
        let max_prompts = MAX_CACHED_PROMPTS / 16 * 15;
        let mut order: Vec<(Moment, u32)> = self
            .sessions
            .iter()
            .map(|(session, (used, _))| (*used, *session))
            .collect();
        order.sort_unstable();
        let mut order = order.into_iter().peekable();
        while self.tokens > max_tokens || self.sessions.len() + self.unshared.len() > max_prompts {
            let unshared = self.unshared.front().map(|(used, _)| *used);
            match (order.peek().copied(), unshared) {
                (Some((used, session)), unshared)
                    if unshared.is_none_or(|unshared| used < unshared) =>
                {
                    order.next();
                    let tokens = self
                        .sessions
                        .remove(&session)
                        .map_or(0, |(_, tokens)| tokens);
                    self.tokens -= u64::from(tokens);
                }
                (_, Some(_)) => {
                    let tokens = self.unshared.pop_front().map_or(0, |(_, tokens)| tokens);
                    self.tokens -= u64::from(tokens);
                }
                _ => break,
            }
        }
    }
}

/// Rendezvous hash of a part and a server: all VMs compute the same order of
/// servers for a part.
pub fn rendezvous_score(part: u64, server: u64) -> u64 {
    // Finalizer of SplitMix64: spreads the differences of close inputs over all bits.
    let mut hash = part ^ server.rotate_left(32) ^ 0x9e37_79b9_7f4a_7c15;
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// FNV-1a hash of a name, for [`rendezvous_score`] and for reports between VMs.
pub fn name_hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

impl ServerTable {
    /// Records prompts that another VM sent to servers.
    pub fn record_peer_prompts(
        &mut self,
        prompts: &[PromptRecord],
        capacity: impl Fn(&ServiceName) -> u64,
        now: Moment,
    ) {
        for prompt in prompts {
            let found = self
                .servers
                .iter_mut()
                .find(|(_, record)| record.name_hash as u32 == prompt.server);
            let Some((key, record)) = found else {
                continue;
            };
            if record.entry.centre.region == self.region {
                let capacity = capacity(&record.entry.service);
                record.cache.record(prompt, capacity, now);
            } else {
                self.remote_prompts.insert(prompt.session, (key, now));
            }
        }
    }

    /// Takes the prompts to report to VMs of the own region (`near`) or of others.
    pub fn take_prompt_records(&mut self, near: bool) -> Vec<PromptRecord> {
        match near {
            true => std::mem::take(&mut self.local_queue),
            false => std::mem::take(&mut self.remote_queue),
        }
    }

    pub(super) fn queue_prompt_record(&mut self, prompt: PromptRecord) {
        if self.local_queue.len() < MAX_QUEUED_PROMPTS {
            self.local_queue.push(prompt);
        }
        if prompt.shared >= MIN_REMOTE_TOKENS && self.remote_queue.len() < MAX_QUEUED_PROMPTS {
            self.remote_queue.push(prompt);
        }
    }
}
