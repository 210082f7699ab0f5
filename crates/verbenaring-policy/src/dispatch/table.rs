//! Backend servers of all regions.
//!
//! Entries are applied by revision, so that an older one never replaces a newer
//! one, whichever way it came. For the servers of the own region the table
//! counts the work that this VM has outstanding and that other VMs report, and
//! learns how long work takes.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use slotmap::SlotMap;

use super::call::ServiceSettings;
use super::evidence::AnswerQuality;
use super::forecast::{FirstEventModel, FirstEventSample, ServiceTimeModel};
use super::pace::PaceLimits;
use super::place::{Placement, PlacementRequest};
use super::presence::ServiceWait;
use super::prompt::PromptRecord;
use super::server::{CallOutcome, InFlightCall, LoadShare, ServerEntry, ServerKey, ServerRecord};
use super::settings::DispatchSettings;
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
    pub(super) pace: PaceLimits,
    pub(super) settings: DispatchSettings,
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
    pub(super) near_notes: Vec<PromptRecord>,
    pub(super) far_notes: Vec<PromptRecord>,
}

impl ServerTable {
    /// Empty table of a VM in `region`.
    pub fn new(region: RegionName, pace: PaceLimits, settings: DispatchSettings) -> Self {
        Self {
            region,
            pace,
            settings,
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
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes over a published entry.
    pub fn apply(&mut self, entry: ServerEntry, cold: Duration, now: Moment) -> EntryChange {
        self.advance_revision(entry.revision);
        let removed = self.removed.get(&entry.id);
        if removed.is_some_and(|(revision, _)| *revision >= entry.revision) {
            return EntryChange::Outdated;
        }
        self.removed.remove(&entry.id);
        let Some(key) = self.by_id.get(&entry.id).copied() else {
            self.insert(entry, now);
            return EntryChange::Added;
        };
        let record = &mut self.servers[key];
        if record.entry.revision >= entry.revision {
            return EntryChange::Outdated;
        }
        let restarted = record.entry.born != entry.born || record.entry.address != entry.address;
        let cold_left = match restarted {
            true => entry.cold_left.max(cold),
            false => entry.cold_left,
        };
        if restarted {
            record.cache.clear();
            record.evidence.clear();
        }
        if !cold_left.is_zero() {
            record.cold_until = record.cold_until.max(now + cold_left);
        }
        let leaves = entry.draining && !record.entry.draining;
        record.entry = entry;
        record.gone_at = None;
        match (restarted, leaves) {
            (true, _) => EntryChange::Restarted,
            (_, true) => EntryChange::Draining,
            _ => EntryChange::Updated,
        }
    }

    fn insert(&mut self, entry: ServerEntry, now: Moment) {
        let id = entry.id.clone();
        let record = ServerRecord::new(entry, now);
        let key = self.servers.insert(record);
        self.by_id.insert(id, key);
    }

    /// Takes over the removal of an entry; the server is used until `until`.
    ///
    /// Returns whether a server was removed by it.
    pub fn remove(&mut self, id: &ServerId, revision: u64, until: Moment, now: Moment) -> bool {
        self.advance_revision(revision);
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
        if record.entry.revision >= revision {
            return false;
        }
        let first = record.gone_at.is_none();
        record.gone_at.get_or_insert(until);
        self.removed.insert(id.clone(), (revision, now));
        if first {
            self.advance_revision(revision);
        }
        first
    }

    /// Identities of the servers whose entries are in force.
    pub fn listed_ids(&self) -> Vec<ServerId> {
        let listed = self
            .servers
            .values()
            .filter(|record| record.gone_at.is_none());
        listed.map(|record| record.entry.id.clone()).collect()
    }

    /// Entries in force, for other VMs.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let listed = self
            .servers
            .values()
            .filter(|record| record.gone_at.is_none());
        listed.map(|record| &record.entry)
    }

    /// Published state of a server.
    pub fn entry(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key).map(|record| &record.entry)
    }

    /// Drops servers whose time is over and old memories.
    pub fn expire(&mut self, now: Moment) {
        let by_id = &mut self.by_id;
        self.servers.retain(|_, record| {
            let idle = record.own.calls == 0;
            let drop = idle && record.gone_at.is_some_and(|at| now >= at);
            if drop {
                by_id.remove(&record.entry.id);
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
            let name = &record.entry.centre.name;
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
    pub fn has_server(&self, region: &RegionName, service: &ServiceName) -> bool {
        let mut servers = self.servers.values();
        servers.any(|record| {
            let entry = &record.entry;
            entry.service == *service
                && entry.centre.region == *region
                && !entry.draining
                && record.gone_at.is_none()
                && !self.evacuated.contains(&entry.centre.name)
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
    pub fn record_peer_prompts(
        &mut self,
        notes: &[PromptRecord],
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
            if record.entry.centre.region == self.region {
                let capacity = capacity(&record.entry.service);
                record.cache.record(note, capacity, now);
            } else {
                self.far_reads.insert(note.session, (key, now));
            }
        }
    }

    /// Prompts given to servers since the last report to VMs of the own region,
    /// or of the others.
    pub fn take_prompt_records(&mut self, near: bool) -> Vec<PromptRecord> {
        match near {
            true => std::mem::take(&mut self.near_notes),
            false => std::mem::take(&mut self.far_notes),
        }
    }

    fn keep_note(&mut self, note: PromptRecord) {
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
        services: impl Iterator<Item = (&'a ServiceName, &'a ServiceSettings)>,
        now: Moment,
    ) -> Vec<ServiceWait> {
        let wait = |(service, settings): (&ServiceName, &ServiceSettings)| {
            let usable: Vec<(Duration, f64)> = self
                .servers
                .values()
                .filter(|record| {
                    record.entry.service == *service
                        && self.is_usable(record, now)
                        && !record.is_paced(settings, now)
                })
                .map(|record| {
                    let (_, forecast) = self.forecast(record, settings, 0, true, now);
                    let forecast = forecast + record.evidence.penalty(now);
                    (forecast, self.busy(record, settings, now))
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
    pub fn uncached_read_time(&self, demand: &PlacementRequest<'_>) -> Duration {
        let tokens = u64::from(demand.prompt_tokens());
        match self.generations.get(demand.service) {
            _ if demand.settings.cache_tokens.is_none() => Duration::ZERO,
            Some(model) => model.read_time(tokens),
            None => FirstEventModel::default().read_time(tokens),
        }
    }

    /// Counts a call that is being sent.
    pub fn record_sent(
        &mut self,
        placement: &Placement,
        demand: &PlacementRequest<'_>,
        now: Moment,
    ) -> InFlightCall {
        let memory = demand.prompt_tokens().saturating_add(demand.answer_tokens);
        let record = &mut self.servers[placement.key];
        let own = &mut record.own;
        match placement.urgent {
            true => own.urgent_tokens += placement.unread_tokens,
            false => own.late_tokens += placement.unread_tokens,
        }
        own.memory_tokens += memory;
        own.calls += 1;
        record.rate.add(placement.unread_tokens, now);
        record.evidence.record_sent(now);
        record.pace.record(now);
        if let Some(capacity) = demand.settings.cache_tokens {
            let note = demand.note(record.hash);
            record.cache.record(&note, capacity, now);
            self.keep_note(note);
        }
        InFlightCall {
            key: placement.key,
            urgent: placement.urgent,
            unread_tokens: placement.unread_tokens,
            queued_ahead: placement.queued_ahead,
            memory,
            sent: now,
        }
    }

    /// Learned time models of engines, by service.
    pub fn first_event_models(&self) -> impl Iterator<Item = (&ServiceName, &FirstEventModel)> {
        self.generations.iter()
    }

    /// Counts the first event or the answer of a call.
    pub fn record_first_event(&mut self, work: &InFlightCall, now: Moment) {
        let Some(record) = self.servers.get_mut(work.key) else {
            return;
        };
        record.settle_first(work);
        record.evidence.record_progress(now);
        let service = record.entry.service.clone();
        let observed = now.since(work.sent);
        if record.entry.models.is_empty() {
            let slots = record.entry.slots;
            let model = self.calls.entry(service).or_default();
            model.learn(work.queued_ahead, slots, observed);
        } else {
            let model = self.generations.entry(service).or_default();
            let sample = FirstEventSample {
                tokens: u64::from(work.queued_ahead) + u64::from(work.unread_tokens),
                observed,
                urgent: work.urgent,
            };
            model.learn(sample, now);
        }
    }

    /// Counts the end of a call; `answered` if its first event came.
    pub fn record_end(
        &mut self,
        work: &InFlightCall,
        answered: bool,
        end: CallOutcome,
        now: Moment,
    ) {
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
            CallOutcome::Good => record.evidence.record_answer(AnswerQuality::Good, now),
            CallOutcome::Failed => record.evidence.record_answer(AnswerQuality::Failed, now),
            CallOutcome::Broken => record.evidence.record_answer(AnswerQuality::Broken, now),
            CallOutcome::Refused => record.evidence.record_refused(now),
            CallOutcome::Abandoned => {}
        }
    }

    pub(super) fn is_usable(&self, record: &ServerRecord, now: Moment) -> bool {
        let entry = &record.entry;
        entry.centre.region == self.region
            && !entry.draining
            && record.gone_at.is_none_or(|at| now < at)
            && !self.evacuated.contains(&entry.centre.name)
    }

    /// Part of its time that a server spends reading prompts.
    pub(super) fn busy(
        &self,
        record: &ServerRecord,
        settings: &ServiceSettings,
        now: Moment,
    ) -> f64 {
        if settings.cache_tokens.is_none() {
            return 0.0;
        }
        let rate = u64::from(record.load(now).token_rate);
        let model = self.model_of(&record.entry.service);
        model.read_time(rate).as_secs_f64()
    }

    pub(super) fn model_of(&self, service: &ServiceName) -> FirstEventModel {
        self.generations.get(service).copied().unwrap_or_default()
    }

    /// Work ahead of a call and the predicted time to its first event.
    pub(super) fn forecast(
        &self,
        record: &ServerRecord,
        settings: &ServiceSettings,
        unread_tokens: u32,
        urgent: bool,
        now: Moment,
    ) -> (u32, Duration) {
        let load = record.load(now);
        let service = &record.entry.service;
        if settings.cache_tokens.is_none() {
            let queued_ahead = u32::from(load.calls);
            let slots = record.entry.slots;
            let forecast = match self.calls.get(service) {
                Some(model) => model.predict(queued_ahead, slots),
                None => ServiceTimeModel::default().predict(queued_ahead, slots),
            };
            return (queued_ahead, forecast);
        }
        let queued_ahead = match urgent {
            true => load.urgent_tokens,
            false => load.urgent_tokens.saturating_add(load.late_tokens),
        };
        let tokens = u64::from(queued_ahead) + u64::from(unread_tokens);
        let forecast = match self.generations.get(service) {
            Some(model) => model.predict(tokens),
            None => FirstEventModel::default().predict(tokens),
        };
        (queued_ahead, forecast)
    }
}
