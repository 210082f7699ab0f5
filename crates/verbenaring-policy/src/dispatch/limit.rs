//! Limits that servers name for the requests of all VMs together.
//!
//! Load pattern: a server in need names in its answers how many requests a second it
//! takes, and goes on answering, so that its speed does not tell the VMs to hold back. All
//! VMs of the region send to it. A few of them, by rendezvous hashing, share the limit
//! ([`super::ownership`]); each spaces its calls evenly. Only these go on getting answers,
//! so VMs tell each other what the server last stated, also that it names no limit any
//! more.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ownership::RegionView;
use super::server::{ServerKey, ServerRecord};
use super::table::ServerTable;
use crate::time::Moment;

/// Time for which answers must lack a limit until it has ended. Single answers may lack it.
const END_TIME: Duration = Duration::from_secs(1);
/// Age from which a statement is asked after by VMs that otherwise send no calls.
const STALE_AGE: Duration = Duration::from_secs(30);
/// Time for which VMs tell each other that a limit has ended.
const TELL_END_TIME: Duration = Duration::from_secs(10);
/// Difference up to which a statement that another VM tells may be the known one. Ages
/// leave out the time for which an update is on its way.
const ECHO_TOLERANCE: Duration = Duration::from_millis(200);
/// Smallest limit, in requests per second, so that a server that wants none is asked from
/// time to time.
const MIN_RATE: f64 = 0.1;
/// Requests per second in one unit of an update.
const UPDATE_UNIT: f64 = 0.001;

/// What the newest statement about the limit of a server was, as told to other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// Short hash of the server and its start.
    pub server: u32,
    /// Limit in requests per 1,000 s; 0 if the server names none.
    pub rate: u32,
    /// Time since the server stated it, in ms.
    pub age_ms: u32,
}

/// From whom a VM has the newest statement about a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StatementSource {
    /// From the server itself.
    Server,
    /// From a VM that had it from the server.
    Vm,
    /// From a relay.
    Relay,
}

/// Change of the limit that is known for a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The server names a limit, or another one, in requests per second.
    Named(f64),
    /// The server names no limit any more.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Limit in units of an update; 0 if the server names none.
    rate: u32,
    at: Moment,
    source: StatementSource,
}

/// Limit of one server, as far as this VM knows, and its own part of it.
#[derive(Debug, Clone, Default)]
pub(super) struct ServerLimit {
    newest: Option<Statement>,
    /// Time of the first of the latest answers that lacked the limit.
    lacking_since: Option<Moment>,
    /// Calls per second that fall to this VM.
    part: f64,
    next_at: Moment,
}

impl ServerLimit {
    /// Limit in requests per second; `None` if the server names none.
    pub(super) fn rate(&self) -> Option<f64> {
        let rate = self.newest?.rate;
        (rate > 0).then(|| f64::from(rate) * UPDATE_UNIT)
    }

    /// Records what an answer of the server states.
    fn record_answer(&mut self, stated: Option<f64>, now: Moment) -> Option<LimitChange> {
        let known = self.newest.map_or(0, |newest| newest.rate);
        if stated.is_none() {
            if known == 0 {
                return None;
            }
            let lacking_since = *self.lacking_since.get_or_insert(now);
            if now.since(lacking_since) < END_TIME {
                return None;
            }
        }
        self.lacking_since = None;
        let rate = stated.map_or(0, |rate| (rate.max(MIN_RATE) / UPDATE_UNIT).round() as u32);
        self.newest = Some(Statement {
            rate,
            at: now,
            source: StatementSource::Server,
        });
        change(known, rate)
    }

    /// Takes over what another VM knows, if it is newer.
    fn merge(
        &mut self,
        update: &LimitUpdate,
        source: StatementSource,
        now: Moment,
    ) -> Option<LimitChange> {
        let at = now - Duration::from_millis(u64::from(update.age_ms));
        let is_older = |newest: Statement| match newest.rate == update.rate {
            true => at <= newest.at + ECHO_TOLERANCE,
            false => at <= newest.at,
        };
        if self.newest.is_some_and(is_older) {
            return None;
        }
        let known = self.newest.map_or(0, |newest| newest.rate);
        let rate = update.rate;
        self.newest = Some(Statement { rate, at, source });
        self.lacking_since = self.lacking_since.filter(|since| *since > at);
        change(known, rate)
    }

    /// Sets the part that falls to this VM in its present view of the region.
    pub(super) fn update_part(&mut self, server: u64, view: &RegionView, now: Moment) {
        let (Some(newest), Some(rate)) = (self.newest, self.rate()) else {
            return;
        };
        let part = view.limit_part(server, rate);
        let part = match now.since(newest.at) < STALE_AGE {
            true => part,
            false => part.max(rate / view.expected.max(1) as f64),
        };
        if self.part == 0.0 && part > 0.0 {
            // The VM that had this part may have just sent a call.
            self.next_at = self.next_at.max(now + spacing(part));
        }
        self.part = part;
    }

    /// Time until this VM may send the next call; `None` if it may do so now.
    pub(super) fn wait(&self, now: Moment) -> Option<Duration> {
        let rate = self.rate()?;
        match (self.part > 0.0, self.next_at.since(now)) {
            (true, wait) if wait.is_zero() => None,
            (true, wait) => Some(wait),
            // Another VM sends the calls; there is room when it has sent the next one.
            (false, _) => Some(spacing(rate)),
        }
    }

    /// Records a call sent now.
    pub(super) fn record_sent(&mut self, now: Moment) {
        if self.rate().is_some() && self.part > 0.0 {
            self.next_at = self.next_at.max(now) + spacing(self.part);
        }
    }

    fn update(&self, server: u32, now: Moment) -> Option<LimitUpdate> {
        let newest = self.newest?;
        let age = now.since(newest.at);
        let told = newest.rate > 0 || age < TELL_END_TIME;
        told.then(|| LimitUpdate {
            server,
            rate: newest.rate,
            age_ms: age.as_millis().min(u128::from(u32::MAX)) as u32,
        })
    }
}

/// Time between two calls at this rate per second.
fn spacing(rate: f64) -> Duration {
    Duration::from_secs_f64(1.0 / rate)
}

fn change(known: u32, rate: u32) -> Option<LimitChange> {
    match rate {
        rate if rate == known => None,
        0 => Some(LimitChange::Ended),
        rate => Some(LimitChange::Named(f64::from(rate) * UPDATE_UNIT)),
    }
}

impl ServerTable {
    /// Records the limit that an answer of a server states, in requests per second.
    pub fn record_limit(
        &mut self,
        server: ServerKey,
        stated: Option<f64>,
        now: Moment,
    ) -> Option<LimitChange> {
        let record = self.servers.get_mut(server)?;
        record.statements.limit.record_answer(stated, now)
    }

    /// Takes over what another VM told about limits; returns the servers whose limits
    /// change.
    pub fn merge_limits(
        &mut self,
        updates: &[LimitUpdate],
        source: StatementSource,
        now: Moment,
    ) -> Vec<(ServerKey, LimitChange)> {
        let mut changes = Vec::new();
        for update in updates {
            let known = self.servers.iter_mut();
            let mut known = known.filter(|(_, record)| record.boot_hash() == update.server);
            if let Some((key, record)) = known.next() {
                let change = record.statements.limit.merge(update, source, now);
                changes.extend(change.map(|change| (key, change)));
            }
        }
        changes
    }

    /// What this VM tells others about limits: what it has from the servers, or from
    /// sources up to `source`.
    pub fn limit_updates(&self, source: StatementSource, now: Moment) -> Vec<LimitUpdate> {
        let told = |record: &&ServerRecord| {
            let newest = record.statements.limit.newest;
            newest.is_some_and(|newest| newest.source <= source)
        };
        let told = self.servers.values().filter(told);
        told.filter_map(|record| record.statements.limit.update(record.boot_hash(), now))
            .collect()
    }

    /// Number of servers that name a limit.
    pub fn limited_servers(&self) -> usize {
        let mut limited = 0;
        for record in self.servers.values() {
            limited += usize::from(record.statements.limit.rate().is_some());
        }
        limited
    }
}
