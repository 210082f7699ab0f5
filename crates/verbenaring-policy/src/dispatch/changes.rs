//! Changes to the server table, as one VM sends them to another.
//!
//! Load pattern: most VMs do not watch the configuration source and ask others
//! several times a second. The answer holds the changes after the revision that
//! the asking VM has reached. If removals since then may be missing here, it
//! lists all servers, so that the asking VM drops the rest. Renewals of entries
//! are not passed on: each server writes one about once a second.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::server::ServerEntry;
use super::table::ServerTable;
use crate::id::ServerId;
use crate::time::Moment;

/// Removal of a server's entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RemovedServer {
    /// ID of the removed server.
    pub id: ServerId,
    /// Store revision of the removal.
    pub revision: u64,
    /// Time for which the server still takes calls.
    pub grace: Duration,
}

/// Answer to a VM that asks for changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerChanges {
    /// Whether all servers are listed, so that any other server has been removed.
    pub complete: bool,
    /// Entries that are new or changed; all entries if `complete`.
    pub entries: Vec<ServerEntry>,
    /// Removals after the revision asked about; all remembered ones if `complete`.
    pub removed: Vec<RemovedServer>,
    /// Revision that the answering VM's table has reached.
    pub revision: u64,
}

impl ServerTable {
    /// Records that a listing at `revision` has been applied. Removals before it
    /// may be missing here, while other VMs may still know those servers.
    pub fn record_listing(&mut self, revision: u64) {
        self.pruned_revision = self.pruned_revision.max(revision);
    }

    /// Changes after revision `after`; all servers if removals since then may be
    /// missing here.
    pub fn changes_since(&self, after: u64, now: Moment) -> ServerChanges {
        let complete = after <= self.pruned_revision;
        let listed = self
            .servers
            .values()
            .filter(|record| record.use_until.is_none());
        let changed = listed.filter(|record| complete || record.changed_revision > after);
        // What an entry states of the cold time is as old as the entry.
        let entries = changed.map(|record| ServerEntry {
            cold_left: record.cold_until.since(now),
            ..record.entry.clone()
        });
        let removed = self.removed.iter();
        let removed = removed.filter(|(_, (revision, _))| complete || *revision > after);
        let removed = removed.map(|(id, (revision, _))| RemovedServer {
            id: id.clone(),
            revision: *revision,
            grace: self.grace_left(id, now),
        });
        ServerChanges {
            complete,
            entries: entries.collect(),
            removed: removed.collect(),
            revision: self.revision,
        }
    }

    /// Time for which a removed server still takes calls.
    fn grace_left(&self, id: &ServerId, now: Moment) -> Duration {
        let record = self.by_id.get(id).and_then(|key| self.servers.get(*key));
        let until = record.and_then(|record| record.use_until);
        until.map_or(Duration::ZERO, |until| until.since(now))
    }
}
