//! Choice of a backend server in the own region.
//!
//! Load patterns: prompts queue at engines while other engines idle, shared
//! parts of prompts are read again and again, several VMs choose at once, and
//! bursts exceed what can be answered in time. A call goes to the server with
//! the earliest predicted answer. The prediction counts the unread tokens that
//! this VM and the others of the region have outstanding there. Calls that can
//! still meet their goal are urgent; the others take what the urgent ones
//! leave, so that a burst does not make every later call late.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::call::ServiceTerms;
use super::evidence::{AnswerQuality, ServerEvidence};
use super::forecast::{FirstEventModel, ServiceTimeModel};
use super::pace::{PaceTerms, PaceWindow};
use super::presence::ServiceWait;
use super::prompt::{PartCache, PromptPart, ReadNote, affinity, name_hash, part_key};
use super::terms::DispatchTerms;
use super::usage::WorkRate;
use crate::id::{CentreName, DataCentre, ModelName, RegionName, ServerId, ServiceName};
use crate::time::Moment;

new_key_type! {
    /// Backend server.
    pub struct ServerKey;
}

/// Calls that a plain server holds, as a multiple of its slots. Servers queue a
/// few times their slots and refuse the rest.
const PLAIN_BACKLOG: u32 = 4;
/// Age at which the load that another VM reported no longer counts.
const PEER_LOAD_AGE: Duration = Duration::from_millis(1_500);
/// Time for which the removal of a server is remembered. It exceeds the age of
/// any entry that another VM may still pass on.
const REMOVAL_MEMORY: Duration = Duration::from_secs(30);
/// Time for which a report that a server of another region read a part counts.
const FAR_READ_AGE: Duration = Duration::from_secs(8);
/// Shared tokens from which a read is reported to other regions: copying fewer
/// saves less than the bytes of the report cost.
const FAR_READ_TOKENS: u32 = 1_000;
/// Notes kept for the next report; more are sent only in overload.
const MAX_NOTES: usize = 24;
/// Time that an idle engine takes for one token of an answer, in ms.
const TOKEN_MS: f64 = 4.0;
/// Part of its time for reading beyond which an engine counts as saturated.
const MAX_BUSY: f64 = 0.9;

/// Published state of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerFacts {
    /// Identity; a server that starts again mostly has a new one.
    pub id: ServerId,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Place.
    pub centre: DataCentre,
    /// Calls that run at the same time.
    pub slots: u32,
    /// Whether it leaves and takes no new calls.
    pub draining: bool,
    /// Time for which it is still cold.
    pub cold_left: Duration,
    /// Unix ms of its start.
    pub born: Option<u64>,
    /// Models that it runs whole; empty for plain services.
    pub models: Vec<ModelName>,
    /// Revision of the entry.
    pub revision: u64,
}

/// Work that one VM has outstanding at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Unread prompt tokens of urgent calls.
    pub urgent_tokens: u32,
    /// Unread prompt tokens of other calls.
    pub late_tokens: u32,
    /// Tokens of prompts and expected answers.
    pub memory_tokens: u32,
    /// Calls.
    pub calls: u16,
    /// Prompt tokens sent per second.
    pub token_rate: u32,
}

impl LoadShare {
    fn add(self, other: Self) -> Self {
        Self {
            urgent_tokens: self.urgent_tokens.saturating_add(other.urgent_tokens),
            late_tokens: self.late_tokens.saturating_add(other.late_tokens),
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
            calls: self.calls.saturating_add(other.calls),
            token_rate: self.token_rate.saturating_add(other.token_rate),
        }
    }
}

/// Call to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlaceDemand<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Terms of the service.
    pub terms: &'a ServiceTerms,
    /// Model; any if absent.
    pub model: Option<&'a ModelName>,
    /// Parts of the prompt, in order; empty for plain calls.
    pub prompt: &'a [PromptPart],
    /// Expected tokens of the answer.
    pub answer_tokens: u32,
    /// Rank of the route, 0 first.
    pub rank: u8,
    /// Regions in which the call may run; all if empty.
    pub residency: &'a [RegionName],
    /// Servers that already failed the call.
    pub excluded: &'a [ServerKey],
    /// Time since the call arrived.
    pub elapsed: Duration,
    /// Time within which the answer is worth the most.
    pub goal: Duration,
    /// Time left for the call.
    pub left: Duration,
}

impl PlaceDemand<'_> {
    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Parts that other calls share: all but the last.
    fn shared(&self) -> &[PromptPart] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The prompt as it is reported when `server` is given it.
    fn note(&self, server: u64) -> ReadNote {
        let shared = self.shared().iter().map(|part| part.tokens).sum();
        ReadNote {
            session: self.session().map_or(0, part_key),
            server: server as u32,
            shared,
            own: self.prompt_tokens().saturating_sub(shared),
        }
    }

    /// Part by which calls are kept together.
    pub fn session(&self) -> Option<u64> {
        let part = self.shared().last().or(self.prompt.first());
        part.map(|part| part.id)
    }
}

/// Live VMs of the own region, as name hashes, this one included.
#[derive(Debug, Clone, Copy)]
pub struct VmCohort<'a> {
    /// This VM.
    pub own: u64,
    /// All live VMs.
    pub live: &'a [u64],
}

impl VmCohort<'_> {
    fn owns(&self, server: u64) -> bool {
        let rank = |vm: &u64| affinity(server, *vm);
        self.live.iter().all(|vm| rank(vm) <= rank(&self.own))
    }
}

/// Chosen server.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Server.
    pub key: ServerKey,
    /// Whether the call can meet its goal.
    pub urgent: bool,
    /// Prompt tokens that the server has to read for the call.
    pub unread: u32,
    /// Unread tokens, or calls, that are ahead of it.
    pub ahead: u32,
    /// Predicted time to the first event or the answer.
    pub forecast: Duration,
    /// Part of its time that the server spends reading prompts.
    pub busy: f64,
    /// Server that has probably read the shared parts, if this one has not.
    pub donor: Option<SocketAddr>,
}

/// Why no server was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NoPlacement {
    /// No server of the region may take the call.
    NoServer,
    /// The servers that may take it are cold and get as much as they bear.
    Paced,
    /// Every server spends too much of its time reading prompts.
    Saturated {
        /// Time until one reads less, without new calls.
        until: Duration,
    },
    /// The answer would come too late or no server has room.
    Overloaded {
        /// Predicted time to the answer.
        forecast: Duration,
    },
}

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

/// Work of one call at a server, from sending to its end.
#[derive(Debug, Clone, Copy)]
pub struct SentWork {
    /// Server.
    pub key: ServerKey,
    /// Whether it was sent as urgent.
    pub urgent: bool,
    /// Prompt tokens to read.
    pub unread: u32,
    /// Unread tokens, or calls, that were ahead.
    pub ahead: u32,
    /// Tokens of the prompt and of the expected answer.
    pub memory: u32,
    /// Time of sending.
    pub sent: Moment,
}

#[derive(Debug)]
struct ServerRecord {
    facts: ServerFacts,
    hash: u64,
    own: LoadShare,
    rate: WorkRate,
    peers: Vec<(u64, LoadShare, Moment)>,
    evidence: ServerEvidence,
    cache: PartCache,
    cold_until: Moment,
    pace: PaceWindow,
    gone_at: Option<Moment>,
}

impl ServerRecord {
    fn load(&self, now: Moment) -> LoadShare {
        let fresh = self
            .peers
            .iter()
            .filter(|(_, _, at)| now.since(*at) < PEER_LOAD_AGE);
        fresh.fold(self.own_load(now), |sum, (_, share, _)| sum.add(*share))
    }

    fn own_load(&self, now: Moment) -> LoadShare {
        LoadShare {
            token_rate: self.rate.per_second(now) as u32,
            ..self.own
        }
    }

    /// Whether calls must be paced: the server is cold, or it refused a
    /// connection and may have started again without its entry showing it.
    fn is_paced(&self, terms: &ServiceTerms, now: Moment) -> bool {
        terms.cold_rate > 0.0 && (now < self.cold_until || self.evidence.is_refusing())
    }
}

/// Servers of all regions and the work at those of the own one.
#[derive(Debug)]
pub struct ServerTable {
    region: RegionName,
    pace: PaceTerms,
    terms: DispatchTerms,
    servers: SlotMap<ServerKey, ServerRecord>,
    by_id: HashMap<ServerId, ServerKey>,
    removed: HashMap<ServerId, (u64, Moment)>,
    evacuated: HashSet<CentreName>,
    generations: HashMap<ServiceName, FirstEventModel>,
    calls: HashMap<ServiceName, ServiceTimeModel>,
    revision: u64,
    far_reads: HashMap<u32, (ServerKey, Moment)>,
    near_notes: Vec<ReadNote>,
    far_notes: Vec<ReadNote>,
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
        let record = ServerRecord {
            hash: name_hash(id.as_str()),
            own: LoadShare::default(),
            rate: WorkRate::default(),
            peers: Vec::new(),
            evidence: ServerEvidence::default(),
            cache: PartCache::default(),
            cold_until: now + facts.cold_left,
            pace: PaceWindow::default(),
            gone_at: None,
            facts,
        };
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
    /// Unlike the revision of an entry, that of a listing is no sign that other
    /// VMs lack something.
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
        self.removed
            .retain(|_, (_, at)| now.since(*at) < REMOVAL_MEMORY);
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

    /// Chooses a server of the own region.
    pub fn place(
        &mut self,
        demand: &PlaceDemand<'_>,
        cohort: &VmCohort<'_>,
        now: Moment,
    ) -> Result<Placement, NoPlacement> {
        let pace = self.pace.owner_calls(demand.terms.cold_rate);
        let busy_limit = self.terms.busy_limit(demand.rank);
        let mut usable = Vec::new();
        let mut paced = false;
        let mut least_busy: Option<f64> = None;
        for key in self.candidates(demand, now) {
            let busy = self.busy(&self.servers[key], demand.terms, now);
            if busy > busy_limit {
                least_busy = Some(least_busy.map_or(busy, |least| least.min(busy)));
                continue;
            }
            let record = &mut self.servers[key];
            if record.is_paced(demand.terms, now)
                && !(cohort.owns(record.hash) && record.pace.allows(pace, now))
            {
                paced = true;
                continue;
            }
            usable.push(key);
        }
        let session = demand.session().unwrap_or_default();
        let donor = self.donor(demand, now);
        let best = usable
            .iter()
            .map(|key| {
                let record = &self.servers[*key];
                let unread = self.unread_tokens(*key, demand, donor);
                let (ahead, forecast) = self.forecast(record, demand.terms, unread, true, now);
                let forecast = forecast + record.evidence.penalty(now);
                let cost = forecast + self.side_cost(record, demand, unread, ahead, now);
                (cost, forecast, ahead, unread, *key)
            })
            .min_by_key(|(cost, .., key)| {
                (*cost, Reverse(affinity(session, self.servers[*key].hash)))
            });
        let Some((_, forecast, ahead, unread, key)) = best else {
            return Err(match (least_busy, paced) {
                (Some(busy), _) => NoPlacement::Saturated {
                    until: WorkRate::time_to_fall(busy, busy_limit),
                },
                (None, true) => NoPlacement::Paced,
                (None, false) => NoPlacement::NoServer,
            });
        };
        let urgent = demand.elapsed + forecast <= demand.goal.mul_f64(self.terms.goal_margin);
        let (ahead, forecast) = if urgent {
            (ahead, forecast)
        } else {
            let record = &self.servers[key];
            let (ahead, late) = self.forecast(record, demand.terms, unread, false, now);
            (ahead, late + record.evidence.penalty(now).min(forecast))
        };
        let busy = self.busy(&self.servers[key], demand.terms, now);
        let end = forecast + answer_time(demand, busy);
        if end > demand.left || !self.has_room(key, demand, now) {
            return Err(NoPlacement::Overloaded { forecast });
        }
        Ok(Placement {
            key,
            urgent,
            unread,
            ahead,
            forecast,
            busy,
            donor: donor
                .filter(|donor| *donor != key && !self.keeps_session(key, demand))
                .map(|donor| self.servers[donor].facts.address),
        })
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
            model.learn(u64::from(work.ahead) + u64::from(work.unread), observed);
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

    fn candidates(&self, demand: &PlaceDemand<'_>, now: Moment) -> Vec<ServerKey> {
        let fits = |record: &ServerRecord| {
            let facts = &record.facts;
            let model = demand
                .model
                .is_none_or(|model| facts.models.is_empty() || facts.models.contains(model));
            facts.service == *demand.service && model && self.is_usable(record, now)
        };
        self.servers
            .iter()
            .filter(|(key, record)| fits(record) && !demand.excluded.contains(key))
            .map(|(key, _)| key)
            .collect()
    }

    fn is_usable(&self, record: &ServerRecord, now: Moment) -> bool {
        let facts = &record.facts;
        facts.centre.region == self.region
            && !facts.draining
            && record.gone_at.is_none_or(|at| now < at)
            && !self.evacuated.contains(&facts.centre.name)
    }

    /// Cost of a choice beside the wait of the call itself, as time.
    fn side_cost(
        &self,
        record: &ServerRecord,
        demand: &PlaceDemand<'_>,
        unread: u32,
        ahead: u32,
        now: Moment,
    ) -> Duration {
        if demand.terms.cache_tokens.is_none() {
            return Duration::ZERO;
        }
        let own = demand.prompt.last().map_or(0, |part| part.tokens);
        let reread = u64::from(unread.saturating_sub(own));
        let busy = self.busy(record, demand.terms, now);
        let idle = answer_time(demand, 0.0);
        let slower = answer_time(demand, busy).saturating_sub(idle);
        let terms = &self.terms;
        let stall = (f64::from(ahead) + f64::from(unread)) / terms.stall_tokens - 1.0;
        let calls = f64::from(record.load(now).calls);
        let stall_ms = stall.max(0.0) * calls * terms.stall_ms;
        self.model_of(demand.service)
            .read_time(reread)
            .mul_f64(self.terms.reread_weight)
            + slower.mul_f64(terms.answer_weight)
            + Duration::from_secs_f64(stall_ms / 1_000.0)
    }

    /// Part of its time that a server spends reading prompts.
    fn busy(&self, record: &ServerRecord, terms: &ServiceTerms, now: Moment) -> f64 {
        if terms.cache_tokens.is_none() {
            return 0.0;
        }
        let rate = u64::from(record.load(now).token_rate);
        let model = self.model_of(&record.facts.service);
        model.read_time(rate).as_secs_f64()
    }

    fn model_of(&self, service: &ServiceName) -> FirstEventModel {
        self.generations.get(service).cloned().unwrap_or_default()
    }

    /// Server that was given the shared parts of a call last.
    fn donor(&self, demand: &PlaceDemand<'_>, now: Moment) -> Option<ServerKey> {
        if demand.shared().is_empty() {
            return None;
        }
        let session = part_key(demand.session()?);
        let holders = self.servers.iter().filter(|(_, record)| {
            record.facts.service == *demand.service && record.gone_at.is_none()
        });
        let near = holders
            .filter_map(|(key, record)| Some((record.cache.last_use(session)?, key)))
            .max_by_key(|(at, _)| *at);
        if let Some((_, key)) = near {
            return Some(key);
        }
        let (key, at) = *self.far_reads.get(&session)?;
        let facts = &self.servers.get(key)?.facts;
        let allowed =
            demand.residency.is_empty() || demand.residency.contains(&facts.centre.region);
        (allowed && now.since(at) < FAR_READ_AGE).then_some(key)
    }

    fn keeps_session(&self, key: ServerKey, demand: &PlaceDemand<'_>) -> bool {
        let session = demand.session().map(part_key);
        let cache = &self.servers[key].cache;
        session.is_some_and(|session| cache.last_use(session).is_some())
    }

    /// Tokens that a server is expected to read for a call.
    fn unread_tokens(
        &self,
        key: ServerKey,
        demand: &PlaceDemand<'_>,
        donor: Option<ServerKey>,
    ) -> u32 {
        let note = demand.note(0);
        let read = match donor {
            _ if self.keeps_session(key, demand) => 0.0,
            Some(_) => self.terms.copy_share,
            None => 1.0,
        };
        note.own + (f64::from(note.shared) * read) as u32
    }

    /// Work ahead of a call and the predicted time to its first event.
    fn forecast(
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

    fn has_room(&self, key: ServerKey, demand: &PlaceDemand<'_>, now: Moment) -> bool {
        let record = &self.servers[key];
        let load = record.load(now);
        match demand.terms.cache_tokens {
            None => u32::from(load.calls) < record.facts.slots * PLAIN_BACKLOG,
            Some(capacity) => {
                let memory = u64::from(load.memory_tokens)
                    + u64::from(demand.prompt_tokens())
                    + u64::from(demand.answer_tokens);
                load.calls == 0 || memory <= capacity
            }
        }
    }
}

/// How a call at a server ended, as evidence about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// Whole answer.
    Good,
    /// Whole answer that is a failure or a refusal.
    Failed,
    /// Lost, cut or wrong answer.
    Broken,
    /// No connection.
    Refused,
    /// Says nothing about the server.
    Abandoned,
}

impl ServerRecord {
    fn settle_first(&mut self, work: &SentWork) {
        let own = &mut self.own;
        match work.urgent {
            true => own.urgent_tokens = own.urgent_tokens.saturating_sub(work.unread),
            false => own.late_tokens = own.late_tokens.saturating_sub(work.unread),
        }
        self.evidence.record_settled();
    }
}

/// Time for the tokens of an answer. Between two of them the engine reads a
/// chunk of every prompt that waits.
fn answer_time(demand: &PlaceDemand<'_>, busy: f64) -> Duration {
    if demand.terms.cache_tokens.is_none() {
        return Duration::ZERO;
    }
    let free = 1.0 - busy.min(MAX_BUSY);
    Duration::from_secs_f64(f64::from(demand.answer_tokens) * TOKEN_MS / free / 1_000.0)
}
