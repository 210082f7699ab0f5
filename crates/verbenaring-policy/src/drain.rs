//! Leaving servers and planned stops.
//!
//! A server takes no new work from the moment of the first notice, whatever
//! its source; other sources lag and do not bring it back. A planned stop is
//! known ahead: new work ends when it could outlast the start of the stop.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, ServerId, VmId};
use crate::time::Moment;

/// Time after the first notice within which every node must know it (I7).
pub const NOTICE_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a peer's notice holds unless it is repeated.
///
/// Peers report only notices of their own sources, so a withdrawn notice does
/// not circulate.
pub const PEER_NOTICE_TIME: Duration = Duration::from_secs(60);

/// Origin of a notice that a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeSource {
    /// The server itself: refusal or load report.
    Server,
    /// The platform's list of live and leaving machines.
    Platform,
    /// Configuration written by operators.
    Operator,
    /// Another entry VM.
    Peer,
}

/// What a planned stop affects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopScope {
    /// One entry VM.
    Vm(VmId),
    /// One backend server.
    Server(ServerId),
    /// Everything in one rack of a data centre.
    Rack {
        /// Data centre of the rack.
        centre: DataCentre,
        /// Name of the rack.
        rack: String,
    },
    /// A whole data centre.
    Centre(DataCentre),
}

/// Stop announced by operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// What stops.
    pub scope: StopScope,
    /// Start of the stop; no request may be in flight then.
    pub starts: Moment,
    /// End of the stop, if known.
    pub ends: Option<Moment>,
}

/// Where an entry VM or a server is placed.
#[derive(Debug, Clone, Copy)]
pub struct Placement<'a> {
    /// Data centre.
    pub centre: &'a DataCentre,
    /// Rack, if known.
    pub rack: Option<&'a str>,
}

/// Leaving server, as sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Leaving server.
    pub server: ServerId,
    /// Time since the first notice.
    pub age: Duration,
}

/// State of the own VM during a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// Takes new requests.
    Open,
    /// Takes no new requests; requests are in flight.
    Draining,
    /// Takes no new requests; none is in flight.
    Drained,
}

#[derive(Debug)]
struct Notice {
    first: Moment,
    sources: Vec<(NoticeSource, Moment)>,
}

/// Leaving servers and planned stops known to one node.
#[derive(Debug, Default)]
pub struct DrainSchedule {
    notices: HashMap<ServerId, Notice>,
    stops: BTreeMap<String, PlannedStop>,
}

impl DrainSchedule {
    /// Counts a notice; true if it is the first and must be sent to all peers.
    ///
    /// `age` is the time since the source gave the notice.
    pub fn record_notice(
        &mut self,
        server: &ServerId,
        source: NoticeSource,
        age: Duration,
        now: Moment,
    ) -> bool {
        let first = now - age;
        if !self.notices.contains_key(server) {
            let sources = vec![(source, now)];
            self.notices
                .insert(server.clone(), Notice { first, sources });
            return source != NoticeSource::Peer;
        }
        if let Some(notice) = self.notices.get_mut(server) {
            notice.first = notice.first.min(first);
            notice.sources.retain(|(known, _)| *known != source);
            notice.sources.push((source, now));
        }
        false
    }

    /// Withdraws the notice of one source; the server returns with the last.
    pub fn withdraw_notice(&mut self, server: &ServerId, source: NoticeSource) {
        if let Some(notice) = self.notices.get_mut(server) {
            notice.sources.retain(|(known, _)| *known != source);
            if notice.sources.is_empty() {
                self.notices.remove(server);
            }
        }
    }

    /// Drops notices of peers that were not repeated, and stops that ended.
    pub fn expire(&mut self, now: Moment) {
        self.notices.retain(|_, notice| {
            notice.sources.retain(|(source, last)| {
                *source != NoticeSource::Peer || now.since(*last) < PEER_NOTICE_TIME
            });
            !notice.sources.is_empty()
        });
        self.stops
            .retain(|_, stop| stop.ends.is_none_or(|ends| now < ends));
    }

    /// Leaving servers known from this node's own sources.
    pub fn reports(&self, now: Moment) -> Vec<LeavingReport> {
        let own = |notice: &Notice| {
            let mut sources = notice.sources.iter();
            sources.any(|(source, _)| *source != NoticeSource::Peer)
        };
        self.notices
            .iter()
            .filter(|(_, notice)| own(notice))
            .map(|(server, notice)| LeavingReport {
                server: server.clone(),
                age: now.since(notice.first),
            })
            .collect()
    }

    /// Takes over a peer's report.
    pub fn merge(&mut self, report: &LeavingReport, now: Moment) {
        self.record_notice(&report.server, NoticeSource::Peer, report.age, now);
    }

    /// Adds or replaces a planned stop.
    pub fn plan_stop(&mut self, id: &str, stop: PlannedStop) {
        self.stops.insert(id.to_owned(), stop);
    }

    /// Removes a planned stop that was called off.
    pub fn cancel_stop(&mut self, id: &str) {
        self.stops.remove(id);
    }

    /// Removes planned stops that `keep` refuses.
    pub fn retain_stops(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.stops.retain(|id, _| keep(id));
    }

    /// Time since the first notice that the server leaves.
    pub fn leaving_for(&self, server: &ServerId, now: Moment) -> Option<Duration> {
        let notice = self.notices.get(server)?;
        Some(now.since(notice.first))
    }

    /// Whether a server may get work that lasts up to `longest`.
    pub fn accepts(
        &self,
        server: &ServerId,
        placement: Placement<'_>,
        longest: Duration,
        now: Moment,
    ) -> bool {
        let covered = |scope: &StopScope| match scope {
            StopScope::Server(stopped) => stopped == server,
            scope => scope.covers_place(placement),
        };
        !self.notices.contains_key(server) && !self.stops_before(covered, longest, now)
    }

    /// State of an entry VM whose requests last up to `longest`.
    pub fn vm_phase(
        &self,
        vm: &VmId,
        placement: Placement<'_>,
        longest: Duration,
        in_flight: usize,
        now: Moment,
    ) -> StopPhase {
        let covered = |scope: &StopScope| match scope {
            StopScope::Vm(stopped) => stopped == vm,
            scope => scope.covers_place(placement),
        };
        match (self.stops_before(covered, longest, now), in_flight) {
            (false, _) => StopPhase::Open,
            (true, 0) => StopPhase::Drained,
            (true, _) => StopPhase::Draining,
        }
    }

    fn stops_before(
        &self,
        covered: impl Fn(&StopScope) -> bool,
        longest: Duration,
        now: Moment,
    ) -> bool {
        self.stops.values().any(|stop| {
            let ended = stop.ends.is_some_and(|ends| now >= ends);
            !ended && now + longest >= stop.starts && covered(&stop.scope)
        })
    }
}

impl StopScope {
    fn covers_place(&self, placement: Placement<'_>) -> bool {
        match self {
            StopScope::Rack { centre, rack } => {
                centre == placement.centre && placement.rack == Some(rack.as_str())
            }
            StopScope::Centre(centre) => centre == placement.centre,
            StopScope::Vm(_) | StopScope::Server(_) => false,
        }
    }
}
