//! Draining of leaving backend servers, and planned stops.
//!
//! A server gets no new work from the first notice that it leaves, whatever the
//! source. Sources that lag behind and still show the server as live do not
//! cancel the notice. A planned stop is known in advance: work that could still
//! run at its start is no longer accepted.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentre, ServerId, VmId};
use crate::time::Moment;

/// Time after the first notice within which every node must know of it
/// (invariant I7 of the design document).
pub const NOTICE_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Time after which a notice from a peer expires unless it is repeated.
///
/// Nodes report only notices from their own sources and never relay those of
/// peers, so that a withdrawn notice does not keep circulating.
pub const PEER_NOTICE_TTL: Duration = Duration::from_secs(60);

/// Source of a notice that a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NoticeSource {
    /// The server itself, by refusing a request or in its load report.
    Server,
    /// The platform's list of live and leaving machines.
    Platform,
    /// The configuration that operators write.
    Operator,
    /// The report of another entry VM.
    Peer,
}

/// The VMs and servers that a planned stop affects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopScope {
    /// One entry VM.
    Vm(VmId),
    /// One backend server.
    Server(ServerId),
    /// All VMs and servers in one rack of a data centre.
    Rack {
        /// Data centre of the rack.
        centre: DataCentre,
        /// Name of the rack.
        rack: String,
    },
    /// All VMs and servers in a data centre.
    Centre(DataCentre),
}

/// Stop that operators have announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStop {
    /// The VMs and servers that stop.
    pub scope: StopScope,
    /// Start of the stop, at which no request may be in flight.
    pub starts: Moment,
    /// End of the stop; `None` if it is not known.
    pub ends: Option<Moment>,
}

/// Location of an entry VM or a server.
#[derive(Debug, Clone, Copy)]
pub struct Placement<'a> {
    /// Data centre that it is in.
    pub centre: &'a DataCentre,
    /// Rack that it is in; `None` if it is not known.
    pub rack: Option<&'a str>,
}

/// Report of a leaving server, as sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingReport {
    /// Server that leaves.
    pub server: ServerId,
    /// Time since the first notice.
    pub age: Duration,
}

/// Drain state of the own VM with regard to planned stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// Accepts new requests.
    Open,
    /// Accepts no new requests, but some are in flight.
    Draining,
    /// Accepts no new requests, and none is in flight.
    Drained,
}

#[derive(Debug)]
struct Notice {
    /// Moment at which the first source gave the notice.
    first: Moment,
    /// Sources of the notice, each with the moment it was last received.
    sources: Vec<(NoticeSource, Moment)>,
}

/// Notices of leaving servers, and planned stops, as known to one node.
#[derive(Debug, Default)]
pub struct DrainSchedule {
    notices: HashMap<ServerId, Notice>,
    stops: BTreeMap<String, PlannedStop>,
}

impl DrainSchedule {
    /// Records a notice that a server leaves.
    ///
    /// `age` is the time since the source gave the notice. Returns true if it is
    /// the first notice of the server and must be sent to all peers; this is
    /// never so for a notice from a peer.
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

    /// Withdraws the notice of one source. The server gets new work again when no
    /// source is left.
    pub fn withdraw_notice(&mut self, server: &ServerId, source: NoticeSource) {
        if let Some(notice) = self.notices.get_mut(server) {
            notice.sources.retain(|(known, _)| *known != source);
            if notice.sources.is_empty() {
                self.notices.remove(server);
            }
        }
    }

    /// Drops notices from peers that were not repeated, and stops that ended.
    pub fn expire(&mut self, now: Moment) {
        self.notices.retain(|_, notice| {
            notice.sources.retain(|(source, last)| {
                *source != NoticeSource::Peer || now.since(*last) < PEER_NOTICE_TTL
            });
            !notice.sources.is_empty()
        });
        self.stops
            .retain(|_, stop| stop.ends.is_none_or(|ends| now < ends));
    }

    /// Reports of the servers that leave according to this node's own sources.
    pub fn reports(&self, now: Moment) -> Vec<LeavingReport> {
        let has_own_source = |notice: &Notice| {
            let mut sources = notice.sources.iter();
            sources.any(|(source, _)| *source != NoticeSource::Peer)
        };
        self.notices
            .iter()
            .filter(|(_, notice)| has_own_source(notice))
            .map(|(server, notice)| LeavingReport {
                server: server.clone(),
                age: now.since(notice.first),
            })
            .collect()
    }

    /// Records the notice in a peer's report.
    pub fn merge(&mut self, report: &LeavingReport, now: Moment) {
        self.record_notice(&report.server, NoticeSource::Peer, report.age, now);
    }

    /// Adds the planned stop with this identifier, or replaces it.
    pub fn plan_stop(&mut self, id: &str, stop: PlannedStop) {
        self.stops.insert(id.to_owned(), stop);
    }

    /// Removes a planned stop that operators cancelled.
    pub fn cancel_stop(&mut self, id: &str) {
        self.stops.remove(id);
    }

    /// Keeps only the planned stops for whose identifier `keep` returns true.
    pub fn retain_stops(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.stops.retain(|id, _| keep(id));
    }

    /// Time since the first notice that the server leaves; `None` without notice.
    pub fn leaving_for(&self, server: &ServerId, now: Moment) -> Option<Duration> {
        let notice = self.notices.get(server)?;
        Some(now.since(notice.first))
    }

    /// Whether a server may get new work that takes up to `max_duration`.
    pub fn accepts(
        &self,
        server: &ServerId,
        placement: Placement<'_>,
        max_duration: Duration,
        now: Moment,
    ) -> bool {
        let covers_target = |scope: &StopScope| match scope {
            StopScope::Server(stopped) => stopped == server,
            scope => scope.covers_placement(placement),
        };
        !self.notices.contains_key(server) && !self.stops_within(covers_target, max_duration, now)
    }

    /// Drain state of an entry VM whose requests take up to `max_duration`.
    pub fn vm_phase(
        &self,
        vm: &VmId,
        placement: Placement<'_>,
        max_duration: Duration,
        in_flight: usize,
        now: Moment,
    ) -> StopPhase {
        let covers_target = |scope: &StopScope| match scope {
            StopScope::Vm(stopped) => stopped == vm,
            scope => scope.covers_placement(placement),
        };
        match (
            self.stops_within(covers_target, max_duration, now),
            in_flight,
        ) {
            (false, _) => StopPhase::Open,
            (true, 0) => StopPhase::Drained,
            (true, _) => StopPhase::Draining,
        }
    }

    /// Whether a stop that covers the target has started or starts within
    /// `max_duration`, and has not ended.
    fn stops_within(
        &self,
        covers_target: impl Fn(&StopScope) -> bool,
        max_duration: Duration,
        now: Moment,
    ) -> bool {
        self.stops.values().any(|stop| {
            let ended = stop.ends.is_some_and(|ends| now >= ends);
            !ended && now + max_duration >= stop.starts && covers_target(&stop.scope)
        })
    }
}

impl StopScope {
    fn covers_placement(&self, placement: Placement<'_>) -> bool {
        match self {
            StopScope::Rack { centre, rack } => {
                centre == placement.centre && placement.rack == Some(rack.as_str())
            }
            StopScope::Centre(centre) => centre == placement.centre,
            StopScope::Vm(_) | StopScope::Server(_) => false,
        }
    }
}
