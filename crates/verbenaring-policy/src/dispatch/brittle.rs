//! Servers that fail when they have to refuse many calls.
//!
//! Load pattern: the servers of a service state in their answers that they are brittle.
//! They soon let few calls wait or none, and one that has to refuse more than a few calls
//! a second fails. All VMs of the region send to it, each knows of the others' calls only
//! from reports, and a burst is over before these arrive. The places of a brittle server
//! are therefore divided among the VMs ([`super::ownership`]): a VM never has more calls
//! at it than its own places, which together are fewer than run there at a time. A call
//! that finds no place goes through a VM that may have one, or is refused.

use std::time::Duration;

use super::ownership::RegionView;
use super::server::{ServerKey, ServerRecord};
use super::table::ServerTable;
use crate::id::ServiceName;
use crate::time::Moment;

/// Time for which answers must lack the statement until it has ended. Single answers may
/// lack it.
const END_TIME: Duration = Duration::from_secs(1);
/// Time without any answer after which the statement has ended.
const STALE_TIME: Duration = Duration::from_secs(30);
/// Part of the slots that stays free, as a divisor: calls that were given up may still
/// run.
pub(super) const RESERVE_DIVISOR: u32 = 8;
/// Time for which a VM leaves a brittle server alone after it refused a call. It doubles
/// with each further refusal.
const REFUSAL_PAUSE: Duration = Duration::from_millis(500);
/// Limit of the doublings.
const MAX_DOUBLINGS: u32 = 3;

/// What the answers of a service's servers state about brittleness.
#[derive(Debug, Clone, Copy)]
pub(super) struct ServiceBrittleness {
    stated_at: Moment,
    /// Time of the first of the latest answers that lacked the statement.
    lacking_since: Option<Moment>,
}

/// Change of what the servers of a service state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrittlenessChange {
    /// They have become brittle.
    Began,
    /// They are not brittle any more.
    Ended,
}

impl ServerTable {
    /// Records whether an answer of a service's server states that it is brittle.
    pub fn record_brittleness(
        &mut self,
        service: &ServiceName,
        stated: bool,
        now: Moment,
    ) -> Option<BrittlenessChange> {
        let known = self.brittle.get_mut(service);
        match (known, stated) {
            (None, false) => None,
            (Some(known), true) => {
                known.stated_at = now;
                known.lacking_since = None;
                None
            }
            (None, true) => {
                let began = ServiceBrittleness {
                    stated_at: now,
                    lacking_since: None,
                };
                self.brittle.insert(service.clone(), began);
                Some(BrittlenessChange::Began)
            }
            (Some(known), false) => {
                let lacking_since = *known.lacking_since.get_or_insert(now);
                if now.since(lacking_since) < END_TIME {
                    return None;
                }
                self.brittle.remove(service);
                Some(BrittlenessChange::Ended)
            }
        }
    }

    /// Records that a server refused a call. A brittle one is left alone for some time.
    pub fn record_call_refused(&mut self, server: ServerKey, now: Moment) {
        let Some(record) = self.servers.get_mut(server) else {
            return;
        };
        // Calls that were sent before the pause say nothing new.
        let pauses = now < record.statements.paused_until;
        if self.brittle.contains_key(&record.entry.service) && !pauses {
            let pause = REFUSAL_PAUSE * (1 << record.refusals.min(MAX_DOUBLINGS));
            record.statements.paused_until = now + pause;
            record.refusals += 1;
        }
    }

    /// Whether the servers of a service are brittle.
    pub fn is_brittle(&self, service: &ServiceName, now: Moment) -> bool {
        let known = self.brittle.get(service);
        known.is_some_and(|known| now.since(known.stated_at) < STALE_TIME)
    }

    /// Whether VM `vm` of the region has places at a server of a brittle service.
    pub fn has_place(
        &self,
        service: &ServiceName,
        vm: u64,
        view: &RegionView,
        now: Moment,
    ) -> bool {
        let mut servers = self.usable_servers(service, now);
        servers.any(|record| view.is_place_holder(vm, record.name_hash, record.brittle_places()))
    }

    /// Number of services whose servers are brittle.
    pub fn brittle_services(&self, now: Moment) -> usize {
        let services = self.brittle.keys();
        services
            .filter(|service| self.is_brittle(service, now))
            .count()
    }
}

impl ServerRecord {
    /// Calls that all VMs together may have at the server while it is brittle.
    pub(super) fn brittle_places(&self) -> u32 {
        let slots = self.entry.slots;
        let reserve = (slots / RESERVE_DIVISOR).max(1);
        slots.saturating_sub(reserve).max(1)
    }
}
