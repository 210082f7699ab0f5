//! Calls that servers of the own region answer now, and those that a server leaves
//! behind when it ends.
//!
//! Load pattern: a request crashes the server that begins to answer it, and the
//! answers to all other calls of that server break off in the same moment. A part of a
//! prompt can only have caused it if the answer had begun, a request as a whole also
//! before that.

use std::collections::HashMap;
use std::hash::Hash;

use slotmap::{SlotMap, new_key_type};

use super::evidence::CallParts;
use super::server::ServerKey;
use crate::time::Moment;

new_key_type! {
    /// Key of a call that a server answers; valid in this process only.
    pub struct RunKey;
}

/// Calls that are remembered of a server that may have ended: those that were sent, or
/// whose answers began, last.
const MAX_BROKEN_RUNS: usize = 16;

/// Call that was sent to a server and has not ended.
#[derive(Debug, Clone)]
struct ServerRun<S> {
    server: S,
    parts: CallParts,
    sent_at: Moment,
    /// When its answer began; `None` before.
    begun_at: Option<Moment>,
}

impl<S> ServerRun<S> {
    fn last_step_at(&self) -> Moment {
        self.begun_at.unwrap_or(self.sent_at)
    }

    /// Parts that may have ended the server.
    fn implicated_parts(&self) -> CallParts {
        match self.begun_at {
            Some(_) => self.parts.clone(),
            None => CallParts {
                shared: Vec::new(),
                ..self.parts
            },
        }
    }
}

/// Calls that a server had when one of them broke off.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerBreak {
    /// What may have ended the server, by call, the latest first.
    pub calls: Vec<CallParts>,
}

/// Calls that this VM has sent to servers of its region, which `S` identifies.
#[derive(Debug, Default)]
pub struct RunTable<S = ServerKey> {
    runs: SlotMap<RunKey, ServerRun<S>>,
    breaks: HashMap<S, ServerBreak>,
    unchecked: Vec<S>,
}

impl<S: Copy + Eq + Hash> RunTable<S> {
    /// Records that a call is sent to a server.
    pub fn record_sent(&mut self, server: S, parts: CallParts, now: Moment) -> RunKey {
        self.runs.insert(ServerRun {
            server,
            parts,
            sent_at: now,
            begun_at: None,
        })
    }

    /// Records that the answer to a call has begun.
    pub fn record_begun(&mut self, run: RunKey, now: Moment) {
        if let Some(run) = self.runs.get_mut(run) {
            run.begun_at.get_or_insert(now);
        }
    }

    /// Records that a call has ended; returns its parts.
    pub fn record_end(&mut self, run: RunKey) -> Option<CallParts> {
        self.runs.remove(run).map(|run| run.parts)
    }

    /// Records that the connection of a call broke. Its server may have ended and is
    /// returned by [`take_unchecked`](Self::take_unchecked).
    pub fn record_break(&mut self, run: RunKey) {
        let Some(broken) = self.runs.remove(run) else {
            return;
        };
        let server = broken.server;
        if !self.breaks.contains_key(&server) {
            self.unchecked.push(server);
            let others = self.runs.values().filter(|run| run.server == server);
            let mut left: Vec<&ServerRun<S>> = others.chain([&broken]).collect();
            left.sort_by_key(|run| std::cmp::Reverse(run.last_step_at()));
            left.truncate(MAX_BROKEN_RUNS);
            let calls = left.into_iter().map(ServerRun::implicated_parts).collect();
            self.breaks.insert(server, ServerBreak { calls });
        }
    }

    /// Takes the servers that may have ended and are to be checked.
    pub fn take_unchecked(&mut self) -> Vec<S> {
        std::mem::take(&mut self.unchecked)
    }

    /// Takes what broke at a server that has been checked.
    pub fn take_break(&mut self, server: S) -> ServerBreak {
        self.breaks.remove(&server).unwrap_or_default()
    }
}
