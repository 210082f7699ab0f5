//! Whether this VM reaches the servers of a service.
//!
//! Load pattern: a VM loses its path to the servers, while callers, other VMs and the
//! source of the configuration still reach it. Each server that it tries costs a time
//! limit, and nothing but its own connections shows the cut. What is on the way may accept
//! connections in place of the servers, so that only an answer shows contact. Once several
//! servers of a service could not be reached, or did not answer a check, and none has
//! answered meanwhile, the VM counts as without contact to the service, and its calls go
//! through another VM of the region, which may have contact, or to another region. If the
//! servers themselves are gone, the others lose contact too.

use std::collections::HashSet;
use std::time::Duration;

use super::server::ServerKey;
use super::table::ServerTable;
use crate::id::ServiceName;
use crate::time::Moment;

/// Servers of a service that must be out of reach before contact counts as lost; all of
/// them, if there are fewer.
const LOST_SERVERS: usize = 3;

/// Contact with the servers of one service in the region of this VM.
#[derive(Debug, Clone, Default)]
pub(super) struct ServiceContact {
    /// Servers to which connections have failed, or that did not answer a check, since any
    /// server last answered.
    unreached: HashSet<ServerKey>,
    lost_since: Option<Moment>,
    /// Whether one of them accepted a connection and did not answer a check.
    is_silent: bool,
    /// Whether another VM has reached servers of the service meanwhile.
    peer_reached: bool,
}

/// Change of the contact with a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ContactChange {
    /// Several servers of the service cannot be reached, and none answered in between.
    Lost(ServiceName),
    /// A server of the service was reached again.
    Regained {
        /// Service whose server was reached.
        service: ServiceName,
        /// Time without contact.
        away: Duration,
    },
}

impl ServerTable {
    /// Records that a server was reached: it has answered.
    pub fn record_reached(&mut self, server: ServerKey, now: Moment) -> Option<ContactChange> {
        let record = self.servers.get_mut(server)?;
        record.signs.unreached_since = None;
        let service = record.entry.service.clone();
        let contact = std::mem::take(self.contacts.get_mut(&service)?);
        let lost_since = contact.lost_since?;
        if contact.peer_reached {
            // Connections failed because of this VM and not because servers restarted.
            for unreached in contact.unreached {
                if let Some(record) = self.servers.get_mut(unreached) {
                    record.health.clear_refusal();
                    record.process.settle_doubt();
                }
            }
        }
        let away = now.since(lost_since);
        Some(ContactChange::Regained { service, away })
    }

    /// Records that no connection to a server could be opened.
    pub fn record_unreached(&mut self, server: ServerKey, now: Moment) -> Option<ContactChange> {
        let record = self.servers.get_mut(server)?;
        record.signs.unreached_since.get_or_insert(now);
        self.count_unreached(server, now)
    }

    /// Records that a server that was checked has not answered. Its connections may work,
    /// so that its own calls go on waiting.
    pub fn record_unanswered(&mut self, server: ServerKey, now: Moment) -> Option<ContactChange> {
        let change = self.count_unreached(server, now);
        let service = &self.servers.get(server)?.entry.service;
        if let Some(contact) = self.contacts.get_mut(service) {
            contact.is_silent = true;
        }
        change
    }

    fn count_unreached(&mut self, server: ServerKey, now: Moment) -> Option<ContactChange> {
        let record = self.servers.get(server)?;
        let service = record.entry.service.clone();
        let servers = self.usable_servers(&service, now);
        let needed = servers.count().clamp(1, LOST_SERVERS);
        let contact = self.contacts.entry(service.clone()).or_default();
        contact.unreached.insert(server);
        if contact.lost_since.is_some() || contact.unreached.len() < needed {
            return None;
        }
        contact.lost_since = Some(now);
        Some(ContactChange::Lost(service))
    }

    /// Records that another VM of the region has reached a server of the service.
    pub fn record_peer_contact(&mut self, service: &ServiceName) {
        if let Some(contact) = self.contacts.get_mut(service) {
            contact.peer_reached = true;
        }
    }

    /// Whether this VM has contact with the servers of a service.
    pub fn has_contact(&self, service: &ServiceName) -> bool {
        let contact = self.contacts.get(service);
        contact.is_none_or(|contact| contact.lost_since.is_none())
    }

    /// Whether contact is lost because servers accept connections and do not answer. Their
    /// forecasts do not show it, as those of servers that refuse connections do.
    pub fn is_unanswered(&self, service: &ServiceName) -> bool {
        let contact = self.contacts.get(service);
        contact.is_some_and(|contact| contact.lost_since.is_some() && contact.is_silent)
    }

    /// Number of services without contact.
    pub fn lost_services(&self) -> usize {
        let lost = self.contacts.values();
        lost.filter(|contact| contact.lost_since.is_some()).count()
    }

    /// Whether this VM has lost contact with all servers of its region.
    pub fn is_cut_off(&self, now: Moment) -> bool {
        let mut usable = self
            .servers
            .values()
            .filter(|record| self.is_usable(record, now));
        self.lost_services() > 0 && usable.all(|record| !self.has_contact(&record.entry.service))
    }

    /// Servers whose answer to a check shows whether there is contact: all servers of
    /// services without it, the others of services of which one did not answer a check, and
    /// those that have not answered calls for `silence`.
    pub fn doubtful_servers(&self, silence: Duration, now: Moment) -> Vec<ServerKey> {
        let doubtful = self.servers.iter().filter(|(key, record)| {
            let unanswered = record.signs.unanswered(now) >= silence;
            let contact = self.contacts.get(&record.entry.service);
            let in_doubt = contact.is_some_and(|contact| {
                let is_unchecked = contact.is_silent && !contact.unreached.contains(key);
                contact.lost_since.is_some() || is_unchecked
            });
            self.is_usable(record, now) && (unanswered || in_doubt)
        });
        doubtful.map(|(key, _)| key).collect()
    }
}
