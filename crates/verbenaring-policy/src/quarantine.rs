//! Quarantine of requests that crash backend servers.
//!
//! A request is known by its fingerprint, a keyed digest. All fingerprints in
//! flight on a server that crashes become suspects. A suspect is retried only in
//! isolation: alone on its server, and one copy at a time. A fingerprint is
//! quarantined after one crash in isolation, or after three crashes together with
//! other requests. A crash in isolation proves that the fingerprint caused its
//! earlier crashes too, so these no longer count against the other suspects.
//!
//! A caller may send many copies of a request before the first crash. While a
//! fingerprint without crashes is in flight on two servers, further copies are
//! therefore sent only to these.
//!
//! Nodes exchange ages instead of moments, because their clocks differ.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::id::{Digest, ServerId};
use crate::time::Moment;

/// Time for which a crash counts against a fingerprint, and for which a
/// fingerprint stays quarantined after its last crash.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);
/// Crashes together with other requests after which a fingerprint is quarantined,
/// and so the most servers that it may crash.
pub const MAX_LOST_SERVERS: usize = 3;
/// Servers on which a fingerprint that is not a suspect may be in flight at the
/// same time.
pub const MAX_EXPOSED_SERVERS: usize = 2;
/// Suspects that one node retries at the same time, each on its own server.
pub const MAX_ISOLATED_SUSPECTS: usize = 2;
/// Shortest delay before a suspect is retried, so that the reports of other nodes
/// arrive first.
const MIN_SUSPECT_DELAY: Duration = Duration::from_millis(500);
/// Upper bound of the delay before a suspect is retried.
const MAX_SUSPECT_DELAY: Duration = Duration::from_millis(2_000);
/// Fingerprints kept by one node; an entry takes less than 500 bytes.
pub const MAX_ENTRIES: usize = 4_096;
/// Attributed crashes kept by one node, so that late reports do not count them
/// against other suspects again.
const MAX_ATTRIBUTED_CRASHES: usize = 256;
/// Crashes of one server that are reported within this time are the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(10);

/// Crash of a server that had a fingerprint in flight, as sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Server that crashed.
    pub server: ServerId,
    /// Time since the crash.
    pub age: Duration,
    /// Whether the fingerprint was the only one in flight on the server.
    pub alone: bool,
}

/// What a node knows about one fingerprint, as sent to other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Fingerprint: the keyed digest of the request.
    pub print: Digest,
    /// Crashes with the fingerprint in flight, at most [`MAX_LOST_SERVERS`].
    pub crashes: Vec<CrashReport>,
    /// Time since the last complete run in isolation, if any.
    pub cleared: Option<Duration>,
}

/// Restriction on how a request may be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SuspectDecision {
    /// To any server.
    Unrestricted,
    /// Only to one of these servers, which already run the same fingerprint.
    Confined(Vec<ServerId>),
    /// In isolation, to a server that is not in `avoid`.
    Alone {
        /// Servers that the fingerprint crashed or that run another suspect.
        avoid: Vec<ServerId>,
    },
    /// Not yet: a copy is in flight, or too many suspects are being retried.
    Wait,
    /// Not at all: the fingerprint is quarantined.
    Refused,
}

#[derive(Debug, Clone)]
struct Crash {
    server: ServerId,
    at: Moment,
    alone: bool,
}

/// Crash history of one fingerprint.
#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: Vec<Crash>,
    /// Last complete run in isolation; crashes before it raise no suspicion.
    cleared: Option<Moment>,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= MAX_LOST_SERVERS || self.is_proven()
    }

    /// Whether the fingerprint is proven to crash servers, by a crash in isolation.
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
        // While quarantined, all crashes are kept until the period after the last
        // one has passed.
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
        self.server == *server && gap < SAME_CRASH_WINDOW
    }

    fn is_among<'a>(&self, crashes: impl IntoIterator<Item = &'a Crash>) -> bool {
        let mut crashes = crashes.into_iter();
        crashes.any(|crash| crash.is_same(&self.server, self.at))
    }
}

/// Request in flight at a server.
#[derive(Debug)]
struct InFlightRequest {
    fingerprint: Digest,
    server: ServerId,
    alone: bool,
}

/// Suspected and quarantined fingerprints known to one node, and its requests in
/// flight.
#[derive(Debug, Default)]
pub struct QuarantineList {
    suspects: HashMap<Digest, Suspect>,
    in_flight: Vec<InFlightRequest>,
    /// Crashes caused by a proven fingerprint; they do not count against others.
    attributed_crashes: VecDeque<Crash>,
}

impl QuarantineList {
    /// Decides how a request with this fingerprint may be sent.
    pub fn decide(&mut self, fingerprint: &Digest, now: Moment) -> SuspectDecision {
        self.expire_entry(fingerprint, now);
        let running: Vec<&InFlightRequest> = self.in_flight_of(fingerprint).collect();
        let Some(suspect) = self.suspects.get(fingerprint) else {
            return limit_servers(&running, MAX_EXPOSED_SERVERS);
        };
        if suspect.is_quarantined() {
            return SuspectDecision::Refused;
        }
        if !suspect.is_suspect() {
            let remaining = MAX_LOST_SERVERS - suspect.crashes.len();
            return limit_servers(&running, remaining.min(MAX_EXPOSED_SERVERS));
        }
        let isolated = self.isolating_servers();
        if !running.is_empty() || isolated.len() >= MAX_ISOLATED_SUSPECTS {
            return SuspectDecision::Wait;
        }
        let lost = suspect.crashes.iter().map(|crash| crash.server.clone());
        SuspectDecision::Alone {
            avoid: lost.chain(isolated).collect(),
        }
    }

    /// Servers that run a suspect in isolation and must get no other request.
    pub fn isolating_servers(&self) -> Vec<ServerId> {
        let isolated = self.in_flight.iter().filter(|request| request.alone);
        isolated.map(|request| request.server.clone()).collect()
    }

    /// Records that a request was sent to a server; `alone` is true for a suspect
    /// in isolation.
    pub fn record_start(&mut self, fingerprint: &Digest, server: &ServerId, alone: bool) {
        self.in_flight.push(InFlightRequest {
            fingerprint: *fingerprint,
            server: server.clone(),
            alone,
        });
    }

    /// Records that a request ended while its server kept running.
    ///
    /// After a `complete` run in isolation the fingerprint is not a suspect until it
    /// is in another crash. A cancelled request is not `complete`: it proves nothing.
    pub fn record_finish(
        &mut self,
        fingerprint: &Digest,
        server: &ServerId,
        complete: bool,
        now: Moment,
    ) {
        let found = self
            .in_flight
            .iter()
            .position(|request| request.fingerprint == *fingerprint && request.server == *server);
        let Some(position) = found else {
            return;
        };
        let request = self.in_flight.swap_remove(position);
        if request.alone
            && complete
            && let Some(suspect) = self.suspects.get_mut(fingerprint)
        {
            suspect.cleared = Some(now);
        }
    }

    /// Records the crash of a server and returns the fingerprints that are
    /// quarantined as a result.
    ///
    /// `shared` is true if other nodes may have had requests at the server. The
    /// crash then does not count as one in isolation, even if this node had only
    /// one fingerprint in flight there.
    pub fn record_crash(&mut self, server: &ServerId, shared: bool, now: Moment) -> Vec<Digest> {
        let mut fingerprints: Vec<Digest> = Vec::new();
        self.in_flight.retain(|request| {
            let is_lost = request.server == *server;
            if is_lost && !fingerprints.contains(&request.fingerprint) {
                fingerprints.push(request.fingerprint);
            }
            !is_lost
        });
        let alone = fingerprints.len() == 1 && !shared;
        let mut quarantined = Vec::new();
        for fingerprint in &fingerprints {
            self.evict_if_full(fingerprint, now);
            let crash = Crash {
                server: server.clone(),
                at: now,
                alone,
            };
            let suspect = self.suspects.entry(*fingerprint).or_default();
            suspect.add(crash);
            if suspect.is_quarantined() {
                quarantined.push(*fingerprint);
            }
        }
        for fingerprint in &quarantined {
            self.clear_other_suspects(fingerprint);
        }
        quarantined
    }

    /// Reports about all known fingerprints, to be sent to other nodes.
    pub fn reports(&mut self, now: Moment) -> Vec<SuspectReport> {
        self.expire(now);
        let report = |(fingerprint, suspect): (&Digest, &Suspect)| SuspectReport {
            print: *fingerprint,
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

    /// Merges the report of another node; merging it again changes nothing.
    pub fn merge(&mut self, report: &SuspectReport, now: Moment) {
        let recent = report
            .crashes
            .iter()
            .filter(|crash| crash.age < QUARANTINE_PERIOD)
            .map(|crash| Crash {
                server: crash.server.clone(),
                at: now - crash.age,
                alone: crash.alone,
            });
        let crashes: Vec<Crash> = recent
            .filter(|crash| crash.alone || !crash.is_among(&self.attributed_crashes))
            .collect();
        let is_known = self.suspects.contains_key(&report.print);
        if crashes.is_empty() && !is_known {
            return;
        }
        self.evict_if_full(&report.print, now);
        let suspect = self.suspects.entry(report.print).or_default();
        crashes.into_iter().for_each(|crash| suspect.add(crash));
        let cleared = report.cleared.map(|age| now - age);
        suspect.cleared = suspect.cleared.max(cleared);
        self.clear_other_suspects(&report.print);
    }

    /// Drops crashes that no longer count, and fingerprints without crashes.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| {
            suspect.expire(now);
            !suspect.crashes.is_empty()
        });
        self.attributed_crashes
            .retain(|crash| now.since(crash.at) < QUARANTINE_PERIOD);
    }

    /// Number of fingerprints with crashes.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether there is no fingerprint with crashes.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn in_flight_of(&self, fingerprint: &Digest) -> impl Iterator<Item = &InFlightRequest> {
        self.in_flight
            .iter()
            .filter(move |request| request.fingerprint == *fingerprint)
    }

    fn expire_entry(&mut self, fingerprint: &Digest, now: Moment) {
        if let Some(suspect) = self.suspects.get_mut(fingerprint) {
            suspect.expire(now);
            if suspect.crashes.is_empty() {
                self.suspects.remove(fingerprint);
            }
        }
    }

    /// Removes the crashes of a proven fingerprint from the suspects that were in
    /// flight on the same servers.
    fn clear_other_suspects(&mut self, proven: &Digest) {
        let Some(suspect) = self.suspects.get(proven).filter(|own| own.is_proven()) else {
            return;
        };
        let crashes = suspect.crashes.clone();
        for (fingerprint, other) in &mut self.suspects {
            if fingerprint != proven && !other.is_quarantined() {
                other.crashes.retain(|crash| !crash.is_among(&crashes));
            }
        }
        self.suspects.retain(|_, own| !own.crashes.is_empty());
        for crash in crashes {
            if !crash.is_among(&self.attributed_crashes) {
                self.attributed_crashes.push_back(crash);
            }
        }
        while self.attributed_crashes.len() > MAX_ATTRIBUTED_CRASHES {
            self.attributed_crashes.pop_front();
        }
    }

    /// Makes room for a new fingerprint if the list is full.
    ///
    /// Evicts the entry whose last crash is oldest, and quarantined entries only
    /// if there are no others.
    fn evict_if_full(&mut self, fingerprint: &Digest, now: Moment) {
        if self.suspects.len() < MAX_ENTRIES || self.suspects.contains_key(fingerprint) {
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
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }
}

/// Returns a random delay before a suspect is retried after a crash.
///
/// Several nodes may hold copies of one request. Without a random delay they
/// retried the suspect at the same moment and lost a fourth server.
pub fn suspect_delay(rng: &mut impl Rng) -> Duration {
    rng.random_range(MIN_SUSPECT_DELAY..MAX_SUSPECT_DELAY)
}

/// Confines a fingerprint to the servers that run it once `limit` servers do.
fn limit_servers(running: &[&InFlightRequest], limit: usize) -> SuspectDecision {
    let mut servers: Vec<ServerId> = Vec::new();
    for request in running {
        if !servers.contains(&request.server) {
            servers.push(request.server.clone());
        }
    }
    if servers.len() < limit {
        SuspectDecision::Unrestricted
    } else {
        SuspectDecision::Confined(servers)
    }
}
