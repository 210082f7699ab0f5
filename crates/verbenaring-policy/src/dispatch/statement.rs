//! What servers state in their answers about when they take calls.
//!
//! Load pattern: a server that leaves, or that turns calls away for some time, says so in
//! its answers before its entry shows it, if it ever does. What it states binds until it
//! starts again. Limits on the rate of calls, which VMs keep together, are in
//! [`super::limit`].

use std::time::Duration;

use super::server::{ServerKey, ServerRecord};
use super::table::ServerTable;
use crate::time::Moment;

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
        record.stated_leaving = true;
        !known
    }

    /// Records that a server wants no calls from this VM for `pause`.
    pub fn record_pause(&mut self, server: ServerKey, pause: Duration, now: Moment) {
        if let Some(record) = self.servers.get_mut(server) {
            record.paused_until = record.paused_until.max(now + pause);
        }
    }
}
