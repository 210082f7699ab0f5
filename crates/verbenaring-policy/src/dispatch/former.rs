//! Servers whose entries were removed, until they are listed again.
//!
//! Load pattern: the entry of a server that has ended, or that cannot write it for some
//! time, is removed. What is listed under its ID later may be that of the same process, of
//! the next one, or a late write of one before it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::pace::PaceWindow;
use super::process::ServerProcess;
use super::server::{ServerEntry, ServerRecord};
use crate::id::ServerId;
use crate::time::Moment;

/// Time for which a removed server is remembered.
const RETENTION: Duration = Duration::from_secs(120);
/// Removed servers that are remembered; those removed first are forgotten first.
const MAX_SERVERS: usize = 1_024;

/// What is kept of a server whose record is dropped.
#[derive(Debug)]
pub(super) struct FormerServer {
    process: ServerProcess,
    address: SocketAddr,
    cold_until: Moment,
    pace: PaceWindow,
    dropped_at: Moment,
}

/// Servers whose records were dropped, by ID.
#[derive(Debug, Default)]
pub(super) struct FormerServers {
    servers: HashMap<ServerId, FormerServer>,
}

impl FormerServers {
    /// Keeps what the next entry of a server is compared with.
    pub(super) fn keep(&mut self, record: &mut ServerRecord, now: Moment) {
        if self.servers.len() >= MAX_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, kept)| kept.dropped_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.servers.remove(&oldest);
            }
        }
        let former = FormerServer {
            process: record.process,
            address: record.entry.address,
            cold_until: record.cold_until,
            pace: std::mem::take(&mut record.pace),
            dropped_at: now,
        };
        self.servers.insert(record.entry.id.clone(), former);
    }

    /// Whether an entry was written by a process before the last known one.
    pub(super) fn has_replaced(&self, entry: &ServerEntry, now: Moment) -> bool {
        let known = self.servers.get(&entry.id);
        known.is_some_and(|known| known.process.has_replaced(entry, now))
    }

    /// Takes what is known of a server that is listed again.
    pub(super) fn take(&mut self, id: &ServerId) -> Option<FormerServer> {
        self.servers.remove(id)
    }

    pub(super) fn expire(&mut self, now: Moment) {
        self.servers
            .retain(|_, kept| now.since(kept.dropped_at) < RETENTION);
    }
}

impl ServerRecord {
    /// Takes over what is known of the server from before its entry was removed. One that
    /// has started again is cold for at least `cold`.
    pub(super) fn resume(&mut self, former: FormerServer, cold: Duration, now: Moment) {
        self.pace = former.pace;
        let is_same = former.process.is_behind(&self.entry, former.address);
        let cold_until = match is_same {
            true => former.cold_until,
            false => now + cold,
        };
        self.cold_until = self.cold_until.max(cold_until);
        self.process = match is_same {
            true => former.process,
            false => ServerProcess::restarted(self.entry.born, now),
        };
        self.process.record_entry(&self.entry, now);
    }
}
