//! Backend servers of all regions.
//!
//! Entries are applied by revision, so that an older one never replaces a newer
//! one, whichever way it came. For the servers of the own region the table
//! counts the work that this VM has outstanding and that other VMs report, and
//! learns how long work takes.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use slotmap::SlotMap;

use super::call::ServiceTerms;
use super::evidence::AnswerQuality;
use super::forecast::{FirstEventModel, FirstEventSample, ServiceTimeModel};
use super::pace::PaceTerms;
use super::place::{PlaceDemand, Placement};
use super::presence::ServiceWait;
use super::prompt::ReadNote;
use super::server::{CallEnd, LoadShare, SentWork, ServerFacts, ServerKey, ServerRecord};
use super::terms::DispatchTerms;
use crate::id::{CentreName, RegionName, ServerId, ServiceName};
use crate::time::Moment;

/// Time for which the removal of a server is remembered. It exceeds the age of
/// any entry that another VM may still pass on.
const REMOVAL_MEMORY: Duration = Duration::from_secs(30);
/// Time for which a report that a server of another region read a part counts.
pub(super) const FAR_READ_AGE: Duration = Duration::from_secs(8);
/// Shared tokens from which a read is reported to other regions: copying fewer
/// saves less than the bytes of the report cost.
const FAR_READ_TOKENS: u32 = 1_000;
/// Notes kept for the next report; more are sent only in overload.
const MAX_NOTES: usize = 24;
/// What became of a published entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// First entry of the server.
    Added,
    /// The server started again under its identity.
    Restarted,
    /// The server leaves.
    Draining,
    /// Another field changed.
    Updated,
    /// Older than what is known.
    Outdated,
}

/// Servers of all regions and the work at those of the own one.
#[derive(Debug)]
pub struct ServerTable {
    pub(super) region: RegionName,
    pub(super) pace: PaceTerms,
    pub(super) terms: DispatchTerms,
    pub(super) servers: SlotMap<ServerKey, ServerRecord>,
    pub(super) by_id: HashMap<ServerId, ServerKey>,
    pub(super) removed: HashMap<ServerId, (u64, Moment)>,
    pub(super) evacuated: HashSet<CentreName>,
    pub(super) generations: HashMap<ServiceName, FirstEventModel>,
    pub(super) calls: HashMap<ServiceName, ServiceTimeModel>,
    pub(super) revision: u64,
    /// Revision up to which removals may be missing in `removed`.
    pub(super) forgotten: u64,
    pub(super) far_reads: HashMap<u32, (ServerKey, Moment)>,
    pub(super) near_notes: Vec<ReadNote>,
    pub(super) far_notes: Vec<ReadNote>,
}

impl ServerTable {
    /// Empty table of a VM in `region`.
    pub fn new(region: RegionName, pace: PaceTerms, terms: DispatchTerms) -> Self {
        Self {
            region,
            pace,
            terms,
            servers: SlotMap::with_key(),
            by_id: HashMap::new(),
            removed: HashMap::new(),
            evacuated: HashSet::new(),
            generations: HashMap::new(),
            calls: HashMap::new(),
            revision: 0,
            forgotten: 0,
            far_reads: HashMap::new(),
            near_notes: Vec::new(),
            far_notes: Vec::new(),
        }
    }

    /// Highest revision that was applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Counts a revision of the store at which the entries were complete.
    pub fn reach_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes over a published entry.
    pub fn apply(&mut self, facts: ServerFacts, cold: Duration, now: Moment) -> EntryChange {
        self.reach_revision(facts.revision);
        let removed = self.removed.get(&facts.id);
        if removed.is_some_and(|(revision, _)| *revision >= facts.revision) {
            return EntryChange::Outdated;
        }
        self.removed.remove(&facts.id);
        let Some(key) = self.by_id.get(&facts.id).copied() else {
            self.insert(facts, now);
            return EntryChange::Added;
        };
        let record = &mut self.servers[key];
        if record.facts.revision >= facts.revision {
            return EntryChange::Outdated;
        }
        let restarted = record.facts.born != facts.born || record.facts.address != facts.address;
        let cold_left = match restarted {
            true => facts.cold_left.max(cold),
            false => facts.cold_left,
        };
        if restarted {
            record.cache.clear();
            record.evidence.clear();
        }
        if !cold_left.is_zero() {
            record.cold_until = record.cold_until.max(now + cold_left);
        }
        let leaves = facts.draining && !record.facts.draining;
        record.facts = facts;
        record.gone_at = None;
        match (restarted, leaves) {
            (true, _) => EntryChange::Restarted,
            (_, true) => EntryChange::Draining,
            _ => EntryChange::Updated,
        }
    }

    fn insert(&mut self, facts: ServerFacts, now: Moment) {
        let id = facts.id.clone();
        let record = ServerRecord::new(facts, now);
        let key = self.servers.insert(record);
        self.by_id.insert(id, key);
    }

    /// Takes over the removal of an entry; the server is used until `until`.
    ///
    /// Returns whether a server was removed by it.
    pub fn remove(&mut self, id: &ServerId, revision: u64, until: Moment, now: Moment) -> bool {
        self.reach_revision(revision);
        self.remove_unlisted(id, revision, until, now)
    }

    /// Removes a server that a listing at `revision` does not name.
    ///
    /// The revision of a listing is a sign that other VMs lack something only
    /// if a server was removed by it.
    pub fn remove_unlisted(
        &mut self,
        id: &ServerId,
        revision: u64,
        until: Moment,
        now: Moment,
    ) -> bool {
        let Some(key) = self.by_id.get(id).copied() else {
            return false;
        };
        let record = &mut self.servers[key];
        if record.facts.revision >= revision {
            return false;
        }
        let first = record.gone_at.is_none();
        record.gone_at.get_or_insert(until);
        self.removed.insert(id.clone(), (revision, now));
        if first {
            self.reach_revision(revision);
        }
        first
    }

    /// Identities of the servers whose entries are in force.
    pub fn listed(&self) -> Vec<ServerId> {
        let listed = self
            .servers
            .values()
            .filter(|record| record.gone_at.is_none());
        listed.map(|record| record.facts.id.clone()).collect()
    }

    /// Entries in force, for other VMs.
    pub fn entries(&self) -> impl Iterator<Item = &ServerFacts> {
        let listed = self
            .servers
            .values()
            .filter(|record| record.gone_at.is_none());
        listed.map(|record| &record.facts)
    }

    /// Published state of a server.
    pub fn facts(&self, key: ServerKey) -> Option<&ServerFacts> {
        self.servers.get(key).map(|record| &record.facts)
    }

    /// Drops servers whose time is over and old memories.
    pub fn expire(&mut self, now: Moment) {
        let by_id = &mut self.by_id;
        self.servers.retain(|_, record| {
            let idle = record.own.calls == 0;
            let drop = idle && record.gone_at.is_some_and(|at| now >= at);
            if drop {
                by_id.remove(&record.facts.id);
            }
            !drop
        });
        let forgotten = &mut self.forgotten;
        self.removed.retain(|_, (revision, at)| {
            let keep = now.since(*at) < REMOVAL_MEMORY;
            if !keep {
                *forgotten = (*forgotten).max(*revision);
            }
            keep
        });
        self.far_reads
            .retain(|_, (_, at)| now.since(*at) < FAR_READ_AGE);
    }

    /// Replaces the data centres whose servers take nothing.
    ///
    /// Servers of a data centre that is taken back are paced for `cold`: they
    /// may have become cold meanwhile.
    pub fn set_evacuated(&mut self, centres: HashSet<CentreName>, cold: Duration, now: Moment) {
        for record in self.servers.values_mut() {
            let name = &record.facts.centre.name;
            if self.evacuated.contains(name) && !centres.contains(name) {
                record.cold_until = record.cold_until.max(now + cold);
            }
        }
        self.evacuated = centres;
    }

    /// Data centres whose servers take nothing.
    pub fn evacuated(&self) -> &HashSet<CentreName> {
        &self.evacuated
    }

    /// Whether a region has a server that takes calls of a service.
    pub fn is_offered(&self, region: &RegionName, service: &ServiceName) -> bool {
        let mut servers = self.servers.values();
        servers.any(|record| {
            let facts = &record.facts;
            facts.service == *service
                && facts.centre.region == *region
                && !facts.draining
                && record.gone_at.is_none()
                && !self.evacuated.contains(&facts.centre.name)
        })
    }

    /// Replaces the work that another VM has outstanding.
    pub fn record_peer_loads(&mut self, vm: u64, loads: &[(u32, LoadShare)], now: Moment) {
        for record in self.servers.values_mut() {
            record.peers.retain(|(other, _, _)| *other != vm);
            let hash = record.hash as u32;
            if let Some((_, share)) = loads.iter().find(|(server, _)| *server == hash) {
                record.peers.push((vm, *share, now));
            }
        }
    }

    /// Takes over prompts that another VM gave to servers.
    pub fn record_reads(
        &mut self,
        notes: &[ReadNote],
        capacity: impl Fn(&ServiceName) -> u64,
        now: Moment,
    ) {
        for note in notes {
            let found = self
                .servers
                .iter_mut()
                .find(|(_, record)| record.hash as u32 == note.server);
            let Some((key, record)) = found else {
                continue;
            };
            if record.facts.centre.region == self.region {
                let capacity = capacity(&record.facts.service);
                record.cache.record(note, capacity, now);
            } else {
                self.far_reads.insert(note.session, (key, now));
            }
        }
    }

    /// Prompts given to servers since the last report to VMs of the own region,
    /// or of the others.
    pub fn take_notes(&mut self, near: bool) -> Vec<ReadNote> {
        match near {
            true => std::mem::take(&mut self.near_notes),
            false => std::mem::take(&mut self.far_notes),
        }
    }

    fn keep_note(&mut self, note: ReadNote) {
        if self.near_notes.len() < MAX_NOTES {
            self.near_notes.push(note);
        }
        if note.shared >= FAR_READ_TOKENS && self.far_notes.len() < MAX_NOTES {
            self.far_notes.push(note);
        }
    }

    /// Work that this VM has outstanding, for the others.
    pub fn own_loads(&self, now: Moment) -> Vec<(u32, LoadShare)> {
        let loads = self.servers.values();
        let loads = loads.map(|record| (record.hash as u32, record.own_load(now)));
        loads
            .filter(|(_, share)| share.calls > 0 || share.token_rate > 0)
            .collect()
    }

    /// Expected waits of urgent calls in the own region, by service.
    pub fn waits<'a>(
        &self,
        services: impl Iterator<Item = (&'a ServiceName, &'a ServiceTerms)>,
        now: Moment,
    ) -> Vec<ServiceWait> {
        let wait = |(service, terms): (&ServiceName, &ServiceTerms)| {
            let usable: Vec<(Duration, f64)> = self
                .servers
                .values()
                .filter(|record| {
                    record.facts.service == *service
                        && self.is_usable(record, now)
                        && !record.is_paced(terms, now)
                })
                .map(|record| {
                    let (_, forecast) = self.forecast(record, terms, 0, true, now);
                    let forecast = forecast + record.evidence.penalty(now);
                    (forecast, self.busy(record, terms, now))
                })
                .collect();
            let (best, _) = usable.iter().min_by_key(|(forecast, _)| *forecast)?;
            let busy: f64 = usable.iter().map(|(_, busy)| busy).sum();
            Some(ServiceWait {
                service: service.clone(),
                wait_ms: best.as_millis().min(u128::from(u32::MAX)) as u32,
                servers: usable.len().min(usize::from(u16::MAX)) as u16,
                busy_percent: (busy / usable.len() as f64 * 100.0) as u16,
            })
        };
        services.filter_map(wait).collect()
    }

    /// Time that a call takes of a server that has read none of its parts.
    pub fn work_of(&self, demand: &PlaceDemand<'_>) -> Duration {
        let tokens = u64::from(demand.prompt_tokens());
        match self.generations.get(demand.service) {
            _ if demand.terms.cache_tokens.is_none() => Duration::ZERO,
            Some(model) => model.read_time(tokens),
            None => FirstEventModel::default().read_time(tokens),
        }
    }

    /// Counts a call that is being sent.
    pub fn start(
        &mut self,
        placement: &Placement,
        demand: &PlaceDemand<'_>,
        now: Moment,
    ) -> SentWork {
        let memory = demand.prompt_tokens().saturating_add(demand.answer_tokens);
        let record = &mut self.servers[placement.key];
        let own = &mut record.own;
        match placement.urgent {
            true => own.urgent_tokens += placement.unread,
            false => own.late_tokens += placement.unread,
        }
        own.memory_tokens += memory;
        own.calls += 1;
        record.rate.add(placement.unread, now);
        record.evidence.record_sent(now);
        record.pace.record(now);
        if let Some(capacity) = demand.terms.cache_tokens {
            let note = demand.note(record.hash);
            record.cache.record(&note, capacity, now);
            self.keep_note(note);
        }
        SentWork {
            key: placement.key,
            urgent: placement.urgent,
            unread: placement.unread,
            ahead: placement.ahead,
            memory,
            sent: now,
        }
    }

    /// Learned time models of engines, by service.
    pub fn models(&self) -> impl Iterator<Item = (&ServiceName, &FirstEventModel)> {
        self.generations.iter()
    }

    /// Counts the first event or the answer of a call.
    pub fn record_first(&mut self, work: &SentWork, now: Moment) {
        let Some(record) = self.servers.get_mut(work.key) else {
            return;
        };
        record.settle_first(work);
        record.evidence.record_progress(now);
        let service = record.facts.service.clone();
        let observed = now.since(work.sent);
        if record.facts.models.is_empty() {
            let slots = record.facts.slots;
            let model = self.calls.entry(service).or_default();
            model.learn(work.ahead, slots, observed);
        } else {
            let model = self.generations.entry(service).or_default();
            let sample = FirstEventSample {
                tokens: u64::from(work.ahead) + u64::from(work.unread),
                observed,
                urgent: work.urgent,
            };
            model.learn(sample, now);
        }
    }

    /// Counts the end of a call; `answered` if its first event came.
    pub fn finish(&mut self, work: &SentWork, answered: bool, end: CallEnd, now: Moment) {
        let Some(record) = self.servers.get_mut(work.key) else {
            return;
        };
        if !answered {
            record.settle_first(work);
        }
        let own = &mut record.own;
        own.memory_tokens = own.memory_tokens.saturating_sub(work.memory);
        own.calls = own.calls.saturating_sub(1);
        match end {
            CallEnd::Good => record.evidence.record_answer(AnswerQuality::Good, now),
            CallEnd::Failed => record.evidence.record_answer(AnswerQuality::Failed, now),
            CallEnd::Broken => record.evidence.record_answer(AnswerQuality::Broken, now),
            CallEnd::Refused => record.evidence.record_refused(now),
            CallEnd::Abandoned => {}
        }
    }

    pub(super) fn is_usable(&self, record: &ServerRecord, now: Moment) -> bool {
        let facts = &record.facts;
        facts.centre.region == self.region
            && !facts.draining
            && record.gone_at.is_none_or(|at| now < at)
            && !self.evacuated.contains(&facts.centre.name)
    }

    /// Part of its time that a server spends reading prompts.
    pub(super) fn busy(&self, record: &ServerRecord, terms: &ServiceTerms, now: Moment) -> f64 {
        if terms.cache_tokens.is_none() {
            return 0.0;
        }
        let rate = u64::from(record.load(now).token_rate);
        let model = self.model_of(&record.facts.service);
        model.read_time(rate).as_secs_f64()
    }

    pub(super) fn model_of(&self, service: &ServiceName) -> FirstEventModel {
        self.generations.get(service).copied().unwrap_or_default()
    }

    /// Work ahead of a call and the predicted time to its first event.
    pub(super) fn forecast(
        &self,
        record: &ServerRecord,
        terms: &ServiceTerms,
        unread: u32,
        urgent: bool,
        now: Moment,
    ) -> (u32, Duration) {
        let load = record.load(now);
        let service = &record.facts.service;
        if terms.cache_tokens.is_none() {
            let ahead = u32::from(load.calls);
            let slots = record.facts.slots;
            let forecast = match self.calls.get(service) {
                Some(model) => model.predict(ahead, slots),
                None => ServiceTimeModel::default().predict(ahead, slots),
            };
            return (ahead, forecast);
        }
        let ahead = match urgent {
            true => load.urgent_tokens,
            false => load.urgent_tokens.saturating_add(load.late_tokens),
        };
        let tokens = u64::from(ahead) + u64::from(unread);
        let forecast = match self.generations.get(service) {
            Some(model) => model.predict(tokens),
            None => FirstEventModel::default().predict(tokens),
        };
        (ahead, forecast)
    }
}
