//! Table of the backend servers of all regions.
//!
//! Entries are applied by revision, so an older one never replaces a newer one,
//! whichever way it arrives. For servers of its own region, the table tracks the
//! outstanding work of this VM and of its peers, and learns how long work takes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;

use super::brittle::ServiceBrittleness;
use super::build::{BuildHistory, BuildId, BuildRule};
use super::call::ServiceSettings;
use super::contact::ServiceContact;
use super::forecast::{FirstEventModel, ServiceTimeModel};
use super::former::FormerServers;
use super::pace::PaceLimits;
use super::place::PlacementRequest;
use super::prompt::PromptRecord;
use super::server::{ServerEntry, ServerKey, ServerRecord};
use super::settings::DispatchSettings;
use super::statement::FormerStatements;
use crate::id::{CentreName, RegionName, ServerId, ServiceName};
use crate::time::Moment;

/// How long a removal is remembered; longer than other VMs pass on old entries.
const REMOVAL_RETENTION: Duration = Duration::from_secs(30);
/// Age up to which entries show all software versions that serve.
const MAX_ENTRY_AGE: Duration = Duration::from_secs(2);
/// How long a prompt that a server of another region was given counts as cached.
pub(super) const REMOTE_PROMPT_TTL: Duration = Duration::from_secs(8);
/// Shared tokens from which a prompt is reported to other regions: copying fewer
/// saves less than the bytes of the report cost.
pub const MIN_REMOTE_TOKENS: u32 = 1_000;

/// Effect of a published entry on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryChange {
    /// The server was not known.
    Added,
    /// The server restarted under the same ID.
    Restarted,
    /// The server began to drain.
    Draining,
    /// Other fields changed.
    Updated,
    /// The server only renewed its entry; nothing that matters to calls changed.
    Renewed,
    /// The entry is not newer than the known state and was ignored.
    Outdated,
}

/// Servers of all regions, with the load of those in the VM's own region.
#[derive(Debug)]
pub struct ServerTable {
    pub(super) region: RegionName,
    centre: Option<CentreName>,
    pub(super) pace: PaceLimits,
    pub(super) settings: DispatchSettings,
    pub(super) servers: SlotMap<ServerKey, ServerRecord>,
    pub(super) by_id: HashMap<ServerId, ServerKey>,
    pub(super) removed: HashMap<ServerId, (u64, Moment)>,
    pub(super) evacuated: HashSet<CentreName>,
    pub(super) former_statements: FormerStatements,
    former_servers: FormerServers,
    /// Software versions of the servers, by service.
    pub builds: BuildHistory,
    pub(super) engine_models: HashMap<ServiceName, FirstEventModel>,
    pub(super) service_time_models: HashMap<ServiceName, ServiceTimeModel>,
    /// Time since which entries have followed the source; `None` while they do not.
    pub(super) current_since: Option<Moment>,
    /// When all entries of the source were last known.
    fresh_at: Option<Moment>,
    pub(super) brittle: HashMap<ServiceName, ServiceBrittleness>,
    pub(super) contacts: HashMap<ServiceName, ServiceContact>,
    pub(super) revision: u64,
    /// Revision up to which `removed` may lack removals.
    pub(super) pruned_revision: u64,
    pub(super) remote_prompts: HashMap<u32, (ServerKey, Moment)>,
    pub(super) local_queue: Vec<PromptRecord>,
    pub(super) remote_queue: Vec<PromptRecord>,
}

impl ServerTable {
    /// Creates an empty table for a VM in `region`.
    pub fn new(region: RegionName, pace: PaceLimits, settings: DispatchSettings) -> Self {
        Self {
            region,
            centre: None,
            pace,
            settings,
            servers: SlotMap::with_key(),
            by_id: HashMap::new(),
            removed: HashMap::new(),
            evacuated: HashSet::new(),
            former_statements: FormerStatements::default(),
            former_servers: FormerServers::default(),
            builds: BuildHistory::default(),
            engine_models: HashMap::new(),
            service_time_models: HashMap::new(),
            current_since: None,
            fresh_at: None,
            brittle: HashMap::new(),
            contacts: HashMap::new(),
            revision: 0,
            pruned_revision: 0,
            remote_prompts: HashMap::new(),
            local_queue: Vec::new(),
            remote_queue: Vec::new(),
        }
    }

    /// Sets the data centre of the VM, whose servers are preferred.
    pub fn with_centre(self, centre: CentreName) -> Self {
        Self {
            centre: Some(centre),
            ..self
        }
    }

    /// Whether a server is in the data centre of this VM.
    pub(super) fn is_in_own_centre(&self, record: &ServerRecord) -> bool {
        let own = self.centre.as_ref();
        own.is_none_or(|own| record.entry.centre.name == *own)
    }

    /// Revision of the newest change that this table has reached. Renewals do not
    /// count: VMs ask each other for changes whenever this revision differs, and
    /// each server renews its entry about once a second.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Highest revision of an entry or a removal that was applied, renewals included.
    pub fn applied_revision(&self) -> u64 {
        let entries = self.entries().map(|entry| entry.revision).max();
        entries.unwrap_or_default().max(self.revision)
    }

    /// Raises the revision to `revision` unless it is already higher.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Records whether this VM follows the source of the entries, itself or through
    /// another VM.
    pub fn set_current(&mut self, current: bool, now: Moment) {
        if current {
            self.record_fresh(now);
        }
        self.current_since = match current {
            true => self.current_since.or(Some(now)),
            false => None,
        };
    }

    /// Records that all entries of the source are known.
    pub fn record_fresh(&mut self, now: Moment) {
        self.fresh_at = Some(now);
    }

    /// Applies a published entry; a restarted server is cold for at least `cold`.
    pub fn apply(&mut self, entry: ServerEntry, cold: Duration, now: Moment) -> EntryChange {
        let removed = self.removed.get(&entry.id);
        if removed.is_some_and(|(revision, _)| *revision >= entry.revision) {
            return EntryChange::Outdated;
        }
        let Some(key) = self.by_id.get(&entry.id).copied() else {
            self.advance_revision(entry.revision);
            if self.former_servers.has_replaced(&entry, now) {
                return EntryChange::Outdated;
            }
            self.removed.remove(&entry.id);
            self.insert(entry, cold, now);
            return EntryChange::Added;
        };
        let record = &mut self.servers[key];
        if record.entry.revision >= entry.revision {
            return EntryChange::Outdated;
        }
        if record.process.has_replaced(&entry, now) {
            // VMs that do not know the later process take the entry for a change.
            self.advance_revision(entry.revision);
            return EntryChange::Outdated;
        }
        self.removed.remove(&entry.id);
        self.builds.observe(&entry.service, entry.build(), now);
        record.entry_at = now;
        record.process.record_entry(&entry, now);
        if record.is_renewed_by(&entry, now) {
            record.entry = entry;
            return EntryChange::Renewed;
        }
        record.changed_revision = entry.revision;
        self.revision = self.revision.max(entry.revision);
        let restarted = !record.process.is_behind(&entry, record.entry.address);
        let is_stated = entry.born.is_some();
        let catches_up = !restarted && is_stated && record.entry.born != entry.born;
        let cold_until = match restarted {
            true => now + entry.cold_left.max(cold),
            false => now + entry.cold_left,
        };
        // The first entry of a process that was asked for its start tells for how long it
        // is still cold.
        record.cold_until = match catches_up && !entry.cold_left.is_zero() {
            true => cold_until,
            false => record.cold_until.max(cold_until),
        };
        let leaves = entry.draining && !record.entry.draining;
        let born = entry.born;
        if restarted {
            self.forget_process(key, now);
        }
        let record = &mut self.servers[key];
        record.build = entry.build();
        record.entry = entry;
        record.use_until = None;
        if restarted {
            self.begin_process(key, born, now);
        }
        match (restarted, leaves) {
            (true, _) => EntryChange::Restarted,
            (_, true) => EntryChange::Draining,
            _ => EntryChange::Updated,
        }
    }

    fn insert(&mut self, entry: ServerEntry, cold: Duration, now: Moment) {
        let id = entry.id.clone();
        self.builds.observe(&entry.service, entry.build(), now);
        let mut record = ServerRecord::new(entry, now);
        if let Some(former) = self.former_servers.take(&id) {
            record.resume(former, cold, now);
        }
        record.statements = self.former_statements.take(record.boot_hash());
        let key = self.servers.insert(record);
        self.by_id.insert(id, key);
    }

    /// Removes a server whose entry was deleted; it still takes calls until `until`.
    /// Returns whether this removed a server that was still listed.
    pub fn remove(&mut self, id: &ServerId, revision: u64, until: Moment, now: Moment) -> bool {
        self.advance_revision(revision);
        self.remove_unlisted(id, revision, until, now)
    }

    /// Removes a server that is missing from a listing at `revision`. The table's
    /// revision rises only if this removes a server; otherwise other VMs would
    /// take it for a change that they lack.
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
        let first = record.use_until.is_none();
        record.use_until.get_or_insert(until);
        self.removed.insert(id.clone(), (revision, now));
        if first {
            self.builds
                .observe(&record.entry.service, record.build, now);
            self.advance_revision(revision);
        }
        first
    }

    /// IDs of the servers whose entries have not been removed.
    pub fn listed_ids(&self) -> Vec<ServerId> {
        let listed = self
            .servers
            .values()
            .filter(|record| record.use_until.is_none());
        listed.map(|record| record.entry.id.clone()).collect()
    }

    /// Entries that have not been removed.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let listed = self
            .servers
            .values()
            .filter(|record| record.use_until.is_none());
        listed.map(|record| &record.entry)
    }

    /// Key of a server by ID.
    pub fn key_of(&self, id: &ServerId) -> Option<ServerKey> {
        self.by_id.get(id).copied()
    }

    /// Published entry of a server; `None` once the server is dropped.
    pub fn entry(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key).map(|record| &record.entry)
    }

    /// Whether a server is listed at an address.
    pub fn is_at(&self, server: ServerKey, address: SocketAddr) -> bool {
        let entry = self.entry(server);
        entry.is_some_and(|entry| entry.address == address)
    }

    /// Short hash of a server and its start; `None` once the server is dropped.
    pub fn boot_hash(&self, key: ServerKey) -> Option<u32> {
        self.servers.get(key).map(ServerRecord::boot_hash)
    }

    /// Drops idle servers past their grace period and records that have expired.
    pub fn expire(&mut self, now: Moment) {
        let by_id = &mut self.by_id;
        let former_statements = &mut self.former_statements;
        let former_servers = &mut self.former_servers;
        self.servers.retain(|_, record| {
            let idle = record.own_share.calls == 0;
            let drop = idle && record.use_until.is_some_and(|at| now >= at);
            if drop {
                by_id.remove(&record.entry.id);
                let statements = std::mem::take(&mut record.statements);
                former_statements.keep(record.boot_hash(), statements, now);
                former_servers.keep(record, now);
            }
            !drop
        });
        former_statements.expire(now);
        former_servers.expire(now);
        for record in self.servers.values() {
            if record.use_until.is_none() {
                self.builds
                    .observe(&record.entry.service, record.build, now);
            }
        }
        let pruned_revision = &mut self.pruned_revision;
        self.removed.retain(|_, (revision, at)| {
            let keep = now.since(*at) < REMOVAL_RETENTION;
            if !keep {
                *pruned_revision = (*pruned_revision).max(*revision);
            }
            keep
        });
        self.remote_prompts
            .retain(|_, (_, at)| now.since(*at) < REMOTE_PROMPT_TTL);
    }

    /// Replaces the set of evacuated data centres. Servers of a data centre that
    /// returns are paced for `cold`, as they may have become cold.
    pub fn set_evacuated(&mut self, centres: HashSet<CentreName>, cold: Duration, now: Moment) {
        for record in self.servers.values_mut() {
            let name = &record.entry.centre.name;
            if self.evacuated.contains(name) && !centres.contains(name) {
                record.cold_until = record.cold_until.max(now + cold);
            }
        }
        self.evacuated = centres;
    }

    /// Data centres whose servers take no calls.
    pub fn evacuated(&self) -> &HashSet<CentreName> {
        &self.evacuated
    }

    /// Software version of a server; `None` if its process has not shown it, or once the
    /// server is dropped.
    pub fn build_of(&self, key: ServerKey) -> Option<BuildId> {
        self.servers.get(key).and_then(ServerRecord::shown_build)
    }

    /// Whether a call that `rule` allows may run at a server.
    pub(super) fn allows_build(&self, record: &ServerRecord, rule: BuildRule, now: Moment) -> bool {
        match rule {
            BuildRule::Any => true,
            BuildRule::MayBegin => {
                let service = &record.entry.service;
                match record.shown_build() {
                    Some(build) => self.builds.may_begin(service, build, now),
                    None => !self.builds.is_mixed(service, now),
                }
            }
            BuildRule::Only(build) => record.shown_build() == Some(build),
        }
    }

    /// Build of a stream whose origin is not known, if only one can have begun it.
    pub fn sole_build(&self, service: &ServiceName, now: Moment) -> Option<BuildId> {
        // Entries that do not follow the source may lack a version.
        let is_fresh = |at: Moment| now.since(at) < MAX_ENTRY_AGE;
        self.fresh_at.filter(|at| is_fresh(*at))?;
        self.builds.sole(service, now)
    }

    /// Whether a server in `region` takes calls of `service` that `rule` allows.
    pub fn has_server(
        &self,
        region: &RegionName,
        service: &ServiceName,
        rule: BuildRule,
        now: Moment,
    ) -> bool {
        let mut servers = self.servers.values();
        servers.any(|record| {
            let entry = &record.entry;
            entry.service == *service
                && entry.centre.region == *region
                && !record.is_leaving()
                && record.use_until.is_none()
                && self.allows_build(record, rule, now)
                && !self.evacuated.contains(&entry.centre.name)
        })
    }

    /// Time to read the prompt without cached parts; zero for plain services.
    pub fn uncached_read_time(&self, request: &PlacementRequest<'_>) -> Duration {
        let tokens = u64::from(request.prompt_tokens());
        match request.settings.cache_tokens {
            None => Duration::ZERO,
            Some(_) => self.model_of(request.service).read_time(tokens),
        }
    }

    /// Servers of a service that this VM may use.
    pub(super) fn usable_servers(
        &self,
        service: &ServiceName,
        now: Moment,
    ) -> impl Iterator<Item = &ServerRecord> {
        let servers = self.servers.values();
        servers
            .filter(move |record| record.entry.service == *service && self.is_usable(record, now))
    }

    pub(super) fn is_usable(&self, record: &ServerRecord, now: Moment) -> bool {
        let entry = &record.entry;
        entry.centre.region == self.region
            && !record.is_leaving()
            && record.use_until.is_none_or(|at| now < at)
            && !self.evacuated.contains(&entry.centre.name)
    }

    /// Fraction of its time that a server spends reading prompts.
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
        model.queue_time(rate).as_secs_f64()
    }

    pub(super) fn model_of(&self, service: &ServiceName) -> FirstEventModel {
        self.engine_models.get(service).copied().unwrap_or_default()
    }

    /// Work queued ahead of a call and the predicted time to its first event.
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
            let forecast = match self.service_time_models.get(service) {
                Some(model) => model.predict(queued_ahead, slots),
                None => ServiceTimeModel::default().predict(queued_ahead, slots),
            };
            return (queued_ahead, forecast);
        }
        let queued_ahead = match urgent {
            true => load.urgent_tokens,
            false => load.urgent_tokens.saturating_add(load.late_tokens),
        };
        let (own, ahead) = (u64::from(unread_tokens), u64::from(queued_ahead));
        let forecast = self.model_of(service).predict(own, ahead);
        (queued_ahead, forecast)
    }
}
