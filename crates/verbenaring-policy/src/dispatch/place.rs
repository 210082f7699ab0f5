//! Choice of a backend server in the own region.
//!
//! Load patterns: prompts queue at engines while other engines idle, shared
//! parts of prompts are read again and again, several VMs choose at once, and
//! bursts exceed what can be answered in time. A call goes to the server with
//! the least predicted cost among those that can answer it in time. The
//! prediction counts the unread tokens that this VM and the others of the
//! region have outstanding there. Calls that can still meet their goal are
//! urgent; the others take what the urgent ones leave, so that a burst does not
//! make every later call late.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::call::ServiceSettings;
use super::prompt::{PromptPart, PromptRecord, part_key, rendezvous_score};
use super::server::{ServerKey, ServerRecord};
use super::table::{FAR_READ_AGE, ServerTable};
use super::usage::WorkRate;
use crate::id::{ModelName, RegionName, ServiceName};
use crate::time::Moment;

/// Calls that a plain server holds, as a multiple of its slots. Servers queue a
/// few times their slots and refuse the rest.
const PLAIN_BACKLOG: u32 = 4;
/// Time that an idle engine takes for one token of an answer, in ms.
const TOKEN_MS: f64 = 4.0;
/// Factor on the time left up to which the predicted end of an answer is
/// accepted. Callers' estimates of the length are often far off.
const LENGTH_DOUBT: f64 = 1.5;
/// Part of its time for reading beyond which an engine counts as saturated.
const MAX_BUSY: f64 = 0.9;

/// VMs of a region up to which all servers are compared. They report often
/// enough to see each other's calls.
const FEW_VMS: usize = 6;
/// Servers that are compared where more VMs decide. Their reports are old; all
/// of them would send to the servers that were idle at the last one.
const MANY_VMS_CHOICES: usize = 2;

/// Longest part of a server's penalty that counts as a wait for a refused call.
/// The penalty keeps calls away; the server itself may be back sooner.
const RECOVERY_TIME: Duration = Duration::from_millis(1_000);

/// Call to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Terms of the service.
    pub settings: &'a ServiceSettings,
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

impl PlacementRequest<'_> {
    /// Tokens of the prompt.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Parts that other calls share: all but the last.
    fn shared(&self) -> &[PromptPart] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// The prompt as it is reported when `server` is given it.
    pub(super) fn note(&self, server: u64) -> PromptRecord {
        let shared = self.shared().iter().map(|part| part.tokens).sum();
        PromptRecord {
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
pub struct RegionVms<'a> {
    /// This VM.
    pub own: u64,
    /// All live VMs.
    pub live: &'a [u64],
    /// Whether this VM runs long enough to have heard the others. Before, each
    /// VM of a region that starts again would take itself for the only one.
    pub peers_known: bool,
}

impl RegionVms<'_> {
    fn owns(&self, server: u64) -> bool {
        let rank = |vm: &u64| rendezvous_score(server, *vm);
        self.peers_known && self.live.iter().all(|vm| rank(vm) <= rank(&self.own))
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
    pub unread_tokens: u32,
    /// Unread tokens, or calls, that are ahead of it.
    pub queued_ahead: u32,
    /// Predicted time to the first event or the answer.
    pub forecast: Duration,
    /// Part of its time that the server spends reading prompts.
    pub busy: f64,
    /// Server that has probably read the shared parts, if this one has not.
    pub copy_source: Option<SocketAddr>,
}

/// Why no server was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementError {
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

/// Server that could be chosen.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: ServerKey,
    urgent: bool,
    unread_tokens: u32,
    queued_ahead: u32,
    forecast: Duration,
    /// Predicted time to the answer if the server behaves again soon.
    turn: Duration,
    busy: f64,
    cost: Duration,
    in_time: bool,
}

impl ServerTable {
    /// Chooses a server of the own region.
    pub fn place(
        &mut self,
        demand: &PlacementRequest<'_>,
        cohort: &RegionVms<'_>,
        now: Moment,
    ) -> Result<Placement, PlacementError> {
        let mut usable = self.usable(demand, cohort, now)?;
        // Calls without parts take any order, so that they spread.
        let time_order = || now.since(Moment::default()).as_micros() as u64;
        let session = demand.session().unwrap_or_else(time_order);
        let order = |key: &ServerKey| Reverse(rendezvous_score(session, self.servers[*key].hash));
        let copy_source = self.copy_source(demand, now);
        let choices = match cohort.live.len() {
            0..=FEW_VMS => usable.len(),
            _ => MANY_VMS_CHOICES.min(usable.len()),
        };
        usable.sort_unstable_by_key(order);
        let best_of = |keys: &[ServerKey]| {
            let candidates = keys
                .iter()
                .map(|key| self.candidate(*key, demand, copy_source, now));
            // Of equal ones, the first in the order of the session is taken.
            candidates.min_by_key(|candidate| (!candidate.in_time, candidate.cost))
        };
        let sampled = best_of(&usable[..choices]);
        let best = match sampled {
            Some(best) if best.urgent && best.in_time => best,
            _ => best_of(&usable).ok_or(PlacementError::NoServer)?,
        };
        if !best.in_time {
            let forecast = best.turn;
            return Err(PlacementError::Overloaded { forecast });
        }
        let copy_source = copy_source.filter(|copy_source| {
            *copy_source != best.key && !self.keeps_session(best.key, demand)
        });
        Ok(Placement {
            key: best.key,
            urgent: best.urgent,
            unread_tokens: best.unread_tokens,
            queued_ahead: best.queued_ahead,
            forecast: best.forecast,
            busy: best.busy,
            copy_source: copy_source.map(|copy_source| self.servers[copy_source].entry.address),
        })
    }

    /// Servers that may be given the call now.
    fn usable(
        &mut self,
        demand: &PlacementRequest<'_>,
        cohort: &RegionVms<'_>,
        now: Moment,
    ) -> Result<Vec<ServerKey>, PlacementError> {
        let pace = self.pace.owner_calls(demand.settings.cold_rate);
        let busy_limit = self.settings.busy_limit(demand.rank);
        let mut usable = Vec::new();
        let mut paced = false;
        let mut least_busy: Option<f64> = None;
        for key in self.candidates(demand, now) {
            let busy = self.busy(&self.servers[key], demand.settings, now);
            if busy > busy_limit {
                least_busy = Some(least_busy.map_or(busy, |least| least.min(busy)));
                continue;
            }
            let record = &mut self.servers[key];
            let owned = cohort.owns(record.hash) && record.pace.allows(pace, now);
            if record.is_paced(demand.settings, now) && !owned {
                paced = true;
            } else {
                usable.push(key);
            }
        }
        match (usable.is_empty(), least_busy, paced) {
            (false, ..) => Ok(usable),
            (true, Some(busy), _) => Err(PlacementError::Saturated {
                until: WorkRate::time_to_fall(busy, busy_limit),
            }),
            (true, None, true) => Err(PlacementError::Paced),
            (true, None, false) => Err(PlacementError::NoServer),
        }
    }

    fn candidate(
        &self,
        key: ServerKey,
        demand: &PlacementRequest<'_>,
        copy_source: Option<ServerKey>,
        now: Moment,
    ) -> Candidate {
        let record = &self.servers[key];
        let busy = self.busy(record, demand.settings, now);
        let unread_tokens = self.unread_tokens(key, demand, copy_source);
        let penalty = record.evidence.penalty(now);
        let (queued_ahead, first) =
            self.forecast(record, demand.settings, unread_tokens, true, now);
        let first = first + penalty;
        let cost = first + self.side_cost(record, demand, unread_tokens, queued_ahead, now);
        let urgent = demand.elapsed + first <= demand.goal.mul_f64(self.settings.goal_margin);
        let (queued_ahead, forecast) = match urgent {
            true => (queued_ahead, first),
            false => {
                let (queued_ahead, late) =
                    self.forecast(record, demand.settings, unread_tokens, false, now);
                (queued_ahead, late + penalty)
            }
        };
        let end = forecast + answer_time(demand, busy);
        Candidate {
            key,
            urgent,
            unread_tokens,
            queued_ahead,
            forecast,
            turn: forecast - penalty + penalty.min(RECOVERY_TIME),
            busy,
            cost,
            in_time: forecast <= demand.left
                && end <= demand.left.mul_f64(LENGTH_DOUBT)
                && self.has_room(key, demand, now),
        }
    }

    fn candidates(&self, demand: &PlacementRequest<'_>, now: Moment) -> Vec<ServerKey> {
        let fits = |record: &ServerRecord| {
            let entry = &record.entry;
            let model = demand
                .model
                .is_none_or(|model| entry.models.is_empty() || entry.models.contains(model));
            entry.service == *demand.service && model && self.is_usable(record, now)
        };
        self.servers
            .iter()
            .filter(|(key, record)| fits(record) && !demand.excluded.contains(key))
            .map(|(key, _)| key)
            .collect()
    }

    /// Cost of a choice beside the wait of the call itself, as time.
    fn side_cost(
        &self,
        record: &ServerRecord,
        demand: &PlacementRequest<'_>,
        unread_tokens: u32,
        queued_ahead: u32,
        now: Moment,
    ) -> Duration {
        if demand.settings.cache_tokens.is_none() {
            return Duration::ZERO;
        }
        let own = demand.prompt.last().map_or(0, |part| part.tokens);
        let reread = u64::from(unread_tokens.saturating_sub(own));
        let busy = self.busy(record, demand.settings, now);
        let idle = answer_time(demand, 0.0);
        let slower = answer_time(demand, busy).saturating_sub(idle);
        let settings = &self.settings;
        let stall =
            (f64::from(queued_ahead) + f64::from(unread_tokens)) / settings.stall_tokens - 1.0;
        let calls = f64::from(record.load(now).calls);
        let stall_ms = stall.max(0.0) * calls * settings.stall_ms;
        self.model_of(demand.service)
            .read_time(reread)
            .mul_f64(self.settings.reread_weight)
            + slower.mul_f64(settings.answer_weight)
            + Duration::from_secs_f64(stall_ms / 1_000.0)
    }

    /// Server that was given the shared parts of a call last.
    fn copy_source(&self, demand: &PlacementRequest<'_>, now: Moment) -> Option<ServerKey> {
        if demand.shared().is_empty() {
            return None;
        }
        let session = part_key(demand.session()?);
        let holders = self.servers.iter().filter(|(_, record)| {
            record.entry.service == *demand.service && record.gone_at.is_none()
        });
        let near = holders
            .filter_map(|(key, record)| Some((record.cache.last_use(session)?, key)))
            .max_by_key(|(at, _)| *at);
        if let Some((_, key)) = near {
            return Some(key);
        }
        let (key, at) = *self.far_reads.get(&session)?;
        let entry = &self.servers.get(key)?.entry;
        let allowed =
            demand.residency.is_empty() || demand.residency.contains(&entry.centre.region);
        (allowed && now.since(at) < FAR_READ_AGE).then_some(key)
    }

    fn keeps_session(&self, key: ServerKey, demand: &PlacementRequest<'_>) -> bool {
        let session = demand.session().map(part_key);
        let cache = &self.servers[key].cache;
        session.is_some_and(|session| cache.last_use(session).is_some())
    }

    /// Tokens that a server is expected to read for a call.
    fn unread_tokens(
        &self,
        key: ServerKey,
        demand: &PlacementRequest<'_>,
        copy_source: Option<ServerKey>,
    ) -> u32 {
        let note = demand.note(0);
        let read = match copy_source {
            _ if self.keeps_session(key, demand) => 0.0,
            Some(_) => self.settings.copy_share,
            None => 1.0,
        };
        note.own + (f64::from(note.shared) * read) as u32
    }

    fn has_room(&self, key: ServerKey, demand: &PlacementRequest<'_>, now: Moment) -> bool {
        let record = &self.servers[key];
        let load = record.load(now);
        match demand.settings.cache_tokens {
            None => u32::from(load.calls) < record.entry.slots * PLAIN_BACKLOG,
            Some(capacity) => {
                let memory = u64::from(load.memory_tokens)
                    + u64::from(demand.prompt_tokens())
                    + u64::from(demand.answer_tokens);
                load.calls == 0 || memory <= capacity
            }
        }
    }
}

/// Time for the tokens of an answer. Between two of them the engine reads a
/// chunk of every prompt that waits.
fn answer_time(demand: &PlacementRequest<'_>, busy: f64) -> Duration {
    if demand.settings.cache_tokens.is_none() {
        return Duration::ZERO;
    }
    let free = 1.0 - busy.min(MAX_BUSY);
    Duration::from_secs_f64(f64::from(demand.answer_tokens) * TOKEN_MS / free / 1_000.0)
}
