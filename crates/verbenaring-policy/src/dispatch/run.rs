//! Calls that servers of the own region answer now, and those that a server leaves
//! behind when it ends.
//!
//! Load pattern: a request crashes the server that begins to answer it, and the
//! answers to all other calls of that server break off in the same moment. Only calls
//! whose answer had begun can have caused it.

use std::collections::HashMap;

use slotmap::{SlotMap, new_key_type};

use super::server::ServerKey;
use crate::time::Moment;

new_key_type! {
    /// Key of a call that a server answers; valid in this process only.
    pub struct RunKey;
}

/// Calls that are remembered of a server that may have ended: those whose answers began
/// last.
const MAX_BROKEN_RUNS: usize = 16;

/// Call that was sent to a server and has not ended.
#[derive(Debug, Clone)]
struct ServerRun {
    server: ServerKey,
    /// Shared parts of its prompt, as [`short_part_id`](super::prompt::short_part_id).
    parts: Vec<u32>,
    /// When its answer began; `None` before.
    begun_at: Option<Moment>,
}

/// Calls whose answers a server had begun when one of them broke off.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerBreak {
    /// Shared parts of their prompts; the call whose answer began last comes first.
    pub prompts: Vec<Vec<u32>>,
}

/// Calls that this VM has sent to servers of its region.
#[derive(Debug, Default)]
pub struct RunTable {
    runs: SlotMap<RunKey, ServerRun>,
    breaks: HashMap<ServerKey, ServerBreak>,
    unchecked: Vec<ServerKey>,
}

impl RunTable {
    /// Records that a call is sent to a server.
    pub fn record_sent(&mut self, server: ServerKey, parts: Vec<u32>) -> RunKey {
        self.runs.insert(ServerRun {
            server,
            parts,
            begun_at: None,
        })
    }

    /// Records that the answer to a call has begun.
    pub fn record_begun(&mut self, run: RunKey, now: Moment) {
        if let Some(run) = self.runs.get_mut(run) {
            run.begun_at.get_or_insert(now);
        }
    }

    /// Records that a call has ended; returns the shared parts of its prompt.
    pub fn record_end(&mut self, run: RunKey) -> Vec<u32> {
        let run = self.runs.remove(run);
        run.map_or_else(Vec::new, |run| run.parts)
    }

    /// Records that the connection of a call broke. If its answer had begun, its server
    /// may have ended and is returned by [`take_unchecked`](Self::take_unchecked).
    pub fn record_break(&mut self, run: RunKey) {
        let Some(broken) = self.runs.remove(run) else {
            return;
        };
        if broken.begun_at.is_none() {
            return;
        }
        let server = broken.server;
        if !self.breaks.contains_key(&server) {
            self.unchecked.push(server);
            let others = self.runs.values().filter(|run| run.server == server);
            let begun = others.chain([&broken]).filter(|run| run.begun_at.is_some());
            let mut begun: Vec<&ServerRun> = begun.collect();
            begun.sort_by_key(|run| std::cmp::Reverse(run.begun_at));
            begun.truncate(MAX_BROKEN_RUNS);
            let prompts = begun.into_iter().map(|run| run.parts.clone()).collect();
            self.breaks.insert(server, ServerBreak { prompts });
        }
    }

    /// Takes the servers that may have ended and are to be checked.
    pub fn take_unchecked(&mut self) -> Vec<ServerKey> {
        std::mem::take(&mut self.unchecked)
    }

    /// Takes what broke at a server that has been checked.
    pub fn take_break(&mut self, server: ServerKey) -> ServerBreak {
        self.breaks.remove(&server).unwrap_or_default()
    }
}
