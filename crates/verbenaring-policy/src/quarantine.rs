//! Requests that crash backend servers.
//!
//! All fingerprints in flight on a crashed server are suspects. A suspect runs
//! again only alone on its server, one copy at a time. A fingerprint that
//! crashes a server alone once, or in a set three times, is quarantined. After
//! a crash alone, its earlier crashes no longer count against its neighbours.
//!
//! Unknown fingerprints that are in flight on two servers are confined to
//! these, because a caller may send many copies before the first crash.
//!
//! Nodes exchange ages instead of moments, because their clocks differ.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::id::{Digest, ServerId};
use crate::time::Moment;

/// Time for which a crash counts and a fingerprint stays quarantined.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);
/// Crashes in a set that implicate a fingerprint, and servers lost at most.
pub const MAX_LOST_SERVERS: usize = 3;
/// Servers on which an unknown fingerprint may be in flight at the same time.
pub const MAX_EXPOSED_SERVERS: usize = 2;
/// Suspects that one node retries at the same time, each on its own server.
pub const MAX_ISOLATED: usize = 2;
/// Shortest delay before a suspect runs again; reports of other nodes arrive in it.
const MIN_SUSPECT_DELAY: Duration = Duration::from_millis(500);
/// Longest delay before a suspect runs again.
const MAX_SUSPECT_DELAY: Duration = Duration::from_millis(2_000);
/// Fingerprints that are remembered; an entry takes under 500 bytes.
pub const MAX_ENTRIES: usize = 4_096;
/// Explained crashes that are remembered, so that late reports do not revive them.
const MAX_EXPLAINED: usize = 256;
/// Reports of one server within this time describe the same crash.
const SAME_CRASH: Duration = Duration::from_secs(10);

/// Crash of a server with a fingerprint in flight, as sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Crashed server.
    pub server: ServerId,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the fingerprint ran alone on the server.
    pub alone: bool,
}

/// What a node knows about one fingerprint, as sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Keyed digest of the request.
    pub print: Digest,
    /// Crashes, at most [`MAX_LOST_SERVERS`].
    pub crashes: Vec<CrashReport>,
    /// Time since a clean run alone, if any.
    pub cleared: Option<Duration>,
}

/// How a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectDecision {
    /// No restriction.
    Unrestricted,
    /// Only to one of these servers, which run the same fingerprint already.
    Confined(Vec<ServerId>),
    /// Alone on a server that is not among these.
    Alone {
        /// Servers lost to the fingerprint or isolated for another suspect.
        avoid: Vec<ServerId>,
    },
    /// Later; another suspect or another copy is being retried.
    Wait,
    /// Refused; the fingerprint is quarantined.
    Refused,
}

#[derive(Debug, Clone)]
struct Crash {
    server: ServerId,
    at: Moment,
    alone: bool,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    cleared: Option<Moment>,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= MAX_LOST_SERVERS || self.is_proven()
    }

    /// Whether the crashes are proven to be the fingerprint's own.
    fn is_proven(&self) -> bool {
        self.crashes.iter().any(|crash| crash.alone)
    }

    fn is_suspect(&self) -> bool {
        let cleared = self.cleared.unwrap_or_default();
        self.crashes.iter().any(|crash| crash.at >= cleared)
    }

    fn last_crash(&self) -> Moment {
        let moments = self.crashes.iter().map(|crash| crash.at);
        moments.max().unwrap_or_default()
    }

    fn expire(&mut self, now: Moment) {
        // A quarantine lasts for the period after the last crash.
        let keep = self.is_quarantined() && now.since(self.last_crash()) < QUARANTINE_PERIOD;
        if !keep {
            self.crashes
                .retain(|crash| now.since(crash.at) < QUARANTINE_PERIOD);
        }
    }

    fn add(&mut self, crash: Crash) {
        let mut known = self.crashes.iter_mut();
        if let Some(known) = known.find(|known| known.is_same(&crash.server, crash.at)) {
            known.alone |= crash.alone;
        } else if self.crashes.len() < MAX_LOST_SERVERS {
            self.crashes.push(crash);
        }
    }
}

impl Crash {
    fn is_same(&self, server: &ServerId, at: Moment) -> bool {
        let gap = self.at.since(at).max(at.since(self.at));
        self.server == *server && gap < SAME_CRASH
    }

    fn is_among<'a>(&self, crashes: impl IntoIterator<Item = &'a Crash>) -> bool {
        let mut crashes = crashes.into_iter();
        crashes.any(|crash| crash.is_same(&self.server, self.at))
    }
}

#[derive(Debug)]
struct Flight {
    print: Digest,
    server: ServerId,
    alone: bool,
}

/// Suspected and quarantined fingerprints of one node.
#[derive(Debug, Default)]
pub struct QuarantineList {
    suspects: HashMap<Digest, Suspect>,
    flights: Vec<Flight>,
    explained: VecDeque<Crash>,
}

impl QuarantineList {
    /// Decides how a request may be sent.
    pub fn decide(&mut self, print: &Digest, now: Moment) -> SuspectDecision {
        self.expire_entry(print, now);
        let running: Vec<&Flight> = self.flights_of(print).collect();
        let Some(suspect) = self.suspects.get(print) else {
            return confine(&running, MAX_EXPOSED_SERVERS);
        };
        if suspect.is_quarantined() {
            return SuspectDecision::Refused;
        }
        if !suspect.is_suspect() {
            let left = MAX_LOST_SERVERS - suspect.crashes.len();
            return confine(&running, left.min(MAX_EXPOSED_SERVERS));
        }
        let isolated = self.isolating_servers();
        if !running.is_empty() || isolated.len() >= MAX_ISOLATED {
            return SuspectDecision::Wait;
        }
        let lost = suspect.crashes.iter().map(|crash| crash.server.clone());
        SuspectDecision::Alone {
            avoid: lost.chain(isolated).collect(),
        }
    }

    /// Servers that run an isolated suspect and take no other request.
    pub fn isolating_servers(&self) -> Vec<ServerId> {
        let flights = self.flights.iter().filter(|flight| flight.alone);
        flights.map(|flight| flight.server.clone()).collect()
    }

    /// Counts a request sent to a server; `alone` for an isolated suspect.
    pub fn record_start(&mut self, print: &Digest, server: &ServerId, alone: bool) {
        self.flights.push(Flight {
            print: *print,
            server: server.clone(),
            alone,
        });
    }

    /// Removes a request that ended while its server kept running.
    ///
    /// `complete` is false for a cancelled request, which proves nothing.
    pub fn record_finish(
        &mut self,
        print: &Digest,
        server: &ServerId,
        complete: bool,
        now: Moment,
    ) {
        let found = self
            .flights
            .iter()
            .position(|flight| flight.print == *print && flight.server == *server);
        let Some(position) = found else {
            return;
        };
        let flight = self.flights.swap_remove(position);
        if flight.alone
            && complete
            && let Some(suspect) = self.suspects.get_mut(print)
        {
            suspect.cleared = Some(now);
        }
    }

    /// Counts the crash of a server and returns the fingerprints it quarantined.
    ///
    /// `shared` is true unless it is known that no other node had requests at
    /// the server; a single request of this node is then not proof.
    pub fn record_crash(&mut self, server: &ServerId, shared: bool, now: Moment) -> Vec<Digest> {
        let mut prints: Vec<Digest> = Vec::new();
        self.flights.retain(|flight| {
            let lost = flight.server == *server;
            if lost && !prints.contains(&flight.print) {
                prints.push(flight.print);
            }
            !lost
        });
        let alone = prints.len() == 1 && !shared;
        let mut quarantined = Vec::new();
        for print in &prints {
            self.make_room(print, now);
            let crash = Crash {
                server: server.clone(),
                at: now,
                alone,
            };
            let suspect = self.suspects.entry(*print).or_default();
            suspect.add(crash);
            if suspect.is_quarantined() {
                quarantined.push(*print);
            }
        }
        for print in &quarantined {
            self.clear_neighbours(print);
        }
        quarantined
    }

    /// Fingerprints known here, for other nodes.
    pub fn reports(&mut self, now: Moment) -> Vec<SuspectReport> {
        self.expire(now);
        let report = |(print, suspect): (&Digest, &Suspect)| SuspectReport {
            print: *print,
            crashes: suspect
                .crashes
                .iter()
                .map(|crash| CrashReport {
                    server: crash.server.clone(),
                    age: now.since(crash.at),
                    alone: crash.alone,
                })
                .collect(),
            cleared: suspect.cleared.map(|cleared| now.since(cleared)),
        };
        self.suspects.iter().map(report).collect()
    }

    /// Takes over what another node knows. Merging again changes nothing.
    pub fn merge(&mut self, report: &SuspectReport, now: Moment) {
        let fresh = report
            .crashes
            .iter()
            .filter(|crash| crash.age < QUARANTINE_PERIOD)
            .map(|crash| Crash {
                server: crash.server.clone(),
                at: now - crash.age,
                alone: crash.alone,
            });
        let crashes: Vec<Crash> = fresh
            .filter(|crash| crash.alone || !crash.is_among(&self.explained))
            .collect();
        let known = self.suspects.contains_key(&report.print);
        if crashes.is_empty() && !known {
            return;
        }
        self.make_room(&report.print, now);
        let suspect = self.suspects.entry(report.print).or_default();
        crashes.into_iter().for_each(|crash| suspect.add(crash));
        let cleared = report.cleared.map(|age| now - age);
        suspect.cleared = suspect.cleared.max(cleared);
        self.clear_neighbours(&report.print);
    }

    /// Drops everything that no longer counts.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| {
            suspect.expire(now);
            !suspect.crashes.is_empty()
        });
        self.explained
            .retain(|crash| now.since(crash.at) < QUARANTINE_PERIOD);
    }

    /// Number of remembered fingerprints.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn flights_of(&self, print: &Digest) -> impl Iterator<Item = &Flight> {
        self.flights
            .iter()
            .filter(move |flight| flight.print == *print)
    }

    fn expire_entry(&mut self, print: &Digest, now: Moment) {
        if let Some(suspect) = self.suspects.get_mut(print) {
            suspect.expire(now);
            if suspect.crashes.is_empty() {
                self.suspects.remove(print);
            }
        }
    }

    /// Removes the crashes of a proven fingerprint from its neighbours.
    fn clear_neighbours(&mut self, culprit: &Digest) {
        let Some(suspect) = self.suspects.get(culprit).filter(|own| own.is_proven()) else {
            return;
        };
        let crashes = suspect.crashes.clone();
        for (print, neighbour) in &mut self.suspects {
            if print != culprit && !neighbour.is_quarantined() {
                neighbour.crashes.retain(|crash| !crash.is_among(&crashes));
            }
        }
        self.suspects.retain(|_, own| !own.crashes.is_empty());
        for crash in crashes {
            if !crash.is_among(&self.explained) {
                self.explained.push_back(crash);
            }
        }
        while self.explained.len() > MAX_EXPLAINED {
            self.explained.pop_front();
        }
    }

    /// Evicts the entry with the oldest crash, suspects before quarantined ones.
    fn make_room(&mut self, print: &Digest, now: Moment) {
        if self.suspects.len() < MAX_ENTRIES || self.suspects.contains_key(print) {
            return;
        }
        self.expire(now);
        if self.suspects.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.is_quarantined(), suspect.last_crash()))
            .map(|(print, _)| *print);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}

/// Delay before a suspect runs again after a crash.
///
/// It is random, because several nodes may hold copies of one request: without
/// it they ran the suspect at the same moment and lost a fourth server.
pub fn suspect_delay(rng: &mut impl Rng) -> Duration {
    rng.random_range(MIN_SUSPECT_DELAY..MAX_SUSPECT_DELAY)
}

fn confine(running: &[&Flight], limit: usize) -> SuspectDecision {
    let mut servers: Vec<ServerId> = Vec::new();
    for flight in running {
        if !servers.contains(&flight.server) {
            servers.push(flight.server.clone());
        }
    }
    if servers.len() < limit {
        SuspectDecision::Unrestricted
    } else {
        SuspectDecision::Confined(servers)
    }
}
