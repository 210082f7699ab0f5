//! What servers state in their answers about when they take calls.
//!
//! Load pattern: a server that leaves, or that turns calls away for some time, says so in
//! its answers before its entry shows it, if it ever does. What it states binds until it
//! starts again, also when its entry is removed and comes back from an older state of the
//! source. Limits on the rate of calls, which VMs keep together, are in [`super::limit`].

use std::collections::HashMap;
use std::time::Duration;

use super::limit::ServerLimit;
use super::server::{ServerKey, ServerRecord};
use super::table::ServerTable;
use crate::time::Moment;

/// Time for which the statements of a removed server are kept.
const RETENTION: Duration = Duration::from_secs(120);
/// Removed servers whose statements are kept; those removed first are forgotten first.
const MAX_REMOVED_SERVERS: usize = 1_024;

/// What a server has stated since its start.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerStatements {
    /// Rate of calls that it takes.
    pub(super) limit: ServerLimit,
    /// Whether it leaves; its entry may not show it.
    pub(super) leaving: bool,
    /// Time until which it wants no calls from this VM.
    pub(super) paused_until: Moment,
}

impl ServerStatements {
    /// Time until this VM may send a call; `None` if it may do so now.
    pub(super) fn wait(&self, now: Moment) -> Option<Duration> {
        let pause = self.paused_until.since(now);
        match (pause.is_zero(), self.limit.wait(now)) {
            (true, wait) => wait,
            (false, wait) => Some(pause.max(wait.unwrap_or_default())),
        }
    }
}

/// Statements of servers whose records were dropped, by short hash of the server and its
/// start.
#[derive(Debug, Default)]
pub(super) struct FormerStatements {
    servers: HashMap<u32, (ServerStatements, Moment)>,
}

impl FormerStatements {
    /// Keeps the statements of a server whose record is dropped.
    pub(super) fn keep(&mut self, server: u32, statements: ServerStatements, now: Moment) {
        if self.servers.len() >= MAX_REMOVED_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(oldest) = oldest.map(|(server, _)| *server) {
                self.servers.remove(&oldest);
            }
        }
        self.servers.insert(server, (statements, now));
    }

    /// Statements of a server that is listed again.
    pub(super) fn take(&mut self, server: u32) -> ServerStatements {
        let kept = self.servers.remove(&server);
        kept.map(|(statements, _)| statements).unwrap_or_default()
    }

    pub(super) fn expire(&mut self, now: Moment) {
        self.servers.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}

impl ServerTable {
    /// Whether a server is known to shut down.
    pub fn is_leaving(&self, key: ServerKey) -> bool {
        self.servers.get(key).is_some_and(ServerRecord::is_leaving)
    }

    /// Records that an answer of a server states that it leaves; returns whether this was
    /// not known. It holds until the server starts again.
    pub fn record_leaving(&mut self, server: ServerKey) -> bool {
        let Some(record) = self.servers.get_mut(server) else {
            return false;
        };
        let known = record.is_leaving();
        record.statements.leaving = true;
        !known
    }

    /// Records that a server wants no calls from this VM for `pause`.
    pub fn record_pause(&mut self, server: ServerKey, pause: Duration, now: Moment) {
        if let Some(record) = self.servers.get_mut(server) {
            let statements = &mut record.statements;
            statements.paused_until = statements.paused_until.max(now + pause);
        }
    }
}
