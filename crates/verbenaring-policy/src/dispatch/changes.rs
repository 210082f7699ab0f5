//! What one VM tells another about servers.
//!
//! Load pattern: most VMs do not watch the configuration source and ask others
//! several times a second. The answer holds what changed after the revision
//! that the asking VM has reached. Where removals since then may be missing
//! here, it names all servers, so that the others are dropped.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::server::ServerEntry;
use super::table::ServerTable;
use crate::id::ServerId;
use crate::time::Moment;

/// Removal of a server's entry, for other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedServer {
    /// Server.
    pub id: ServerId,
    /// Revision of the removal.
    pub revision: u64,
    /// Time for which it is still used.
    pub grace: Duration,
}

/// What one VM knows about servers, for another one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Whether servers that are not named are gone.
    pub complete: bool,
    /// Entries in force.
    pub entries: Vec<ServerEntry>,
    /// Removals.
    pub removed: Vec<RemovedServer>,
    /// Revision of the newest change.
    pub revision: u64,
}

impl ServerTable {
    /// Counts a listing at `revision` as taken over. Servers that were added and
    /// removed before it may be unknown here, but not to other VMs.
    pub fn record_listing(&mut self, revision: u64) {
        self.forgotten = self.forgotten.max(revision);
    }

    /// Changes after a revision, for other VMs; everything if the removals
    /// since then are no longer all remembered.
    pub fn changes_since(&self, after: u64, now: Moment) -> ServerChanges {
        let complete = after <= self.forgotten;
        let entries = self.entries();
        let entries = entries.filter(|entry| complete || entry.revision > after);
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, (revision, _))| complete || *revision > after);
        let removed = removed.map(|(id, (revision, _))| RemovedServer {
            id: id.clone(),
            revision: *revision,
            grace: self.grace_left(id, now),
        });
        ServerChanges {
            complete,
            entries: entries.cloned().collect(),
            removed: removed.collect(),
            revision: self.revision,
        }
    }

    /// Time for which a removed server is still used.
    fn grace_left(&self, id: &ServerId, now: Moment) -> Duration {
        let record = self.by_id.get(id).and_then(|key| self.servers.get(*key));
        let until = record.and_then(|record| record.gone_at);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }
}
