//! Choice of a backend server in the VM's own region.
//!
//! Load patterns: prompts queue at some engines while others are idle, shared
//! parts of prompts are read repeatedly, several VMs choose at the same time,
//! and bursts exceed what can be answered in time. Traffic between data centres is
//! billed, so calls that share little with others stay in theirs. A call goes to
//! the server with the lowest predicted cost among those that can answer it in time. The
//! prediction includes the unread tokens that all VMs of the region have
//! outstanding there. Calls that can still meet their goal are urgent. The
//! others use the capacity that urgent calls leave, so that a burst does not
//! make every later call late.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use super::build::BuildRule;
use super::call::ServiceSettings;
use super::candidate::OverloadCause;
use super::ownership::RegionView;
use super::prompt::{PromptPart, PromptRecord, rendezvous_score, short_part_id};
use super::rate::WorkRate;
use super::server::{ServerKey, ServerRecord};
use super::table::{REMOTE_PROMPT_TTL, ServerTable};
use crate::id::{ModelName, RegionName, ServiceName};
use crate::time::Moment;

/// Number of live VMs in a region up to which all servers are compared. So few
/// VMs report often enough to see each other's calls.
const FULL_COMPARISON_VMS: usize = 6;
/// Servers compared in larger regions. Reports are older there, and with a full
/// comparison all VMs would send to the servers that were last reported idle.
const SAMPLED_SERVERS: usize = 2;

/// Shared tokens up to which a call stays in the data centre of this VM if a server
/// there answers in time. Reading them again takes a few milliseconds, while every
/// call to another data centre adds to the billed traffic.
const MAX_LOCAL_SHARED_TOKENS: u32 = 500;

/// Call for which a server is to be chosen.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Service that runs the call.
    pub service: &'a ServiceName,
    /// Settings of the service.
    pub settings: &'a ServiceSettings,
    /// Model that the server must run; any if `None`.
    pub model: Option<&'a ModelName>,
    /// Parts of the prompt, in order; empty for plain calls.
    pub prompt: &'a [PromptPart],
    /// Expected length of the answer, in tokens.
    pub answer_tokens: u32,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u8,
    /// Regions in which the call may run; all if empty.
    pub residency: &'a [RegionName],
    /// Software versions at which the call may run.
    pub builds: BuildRule,
    /// Servers on which the call already failed.
    pub excluded: &'a [ServerKey],
    /// Whether another VM of the region sends the call, so that it does not matter which
    /// servers this VM reaches.
    pub through_peer: bool,
    /// Time since the call arrived.
    pub elapsed: Duration,
    /// Target time, within which an answer is worth the most.
    pub goal: Duration,
    /// Time remaining until the deadline of the call.
    pub remaining: Duration,
}

impl PlacementRequest<'_> {
    /// Length of the prompt, in tokens.
    pub fn prompt_tokens(&self) -> u32 {
        self.prompt.iter().map(|part| part.tokens).sum()
    }

    /// Parts that other calls may share: all but the last.
    fn shared(&self) -> &[PromptPart] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Record of the prompt for reports; `server` is the hash of the server name.
    pub(super) fn prompt_record(&self, server: u64) -> PromptRecord {
        let shared = self.shared().iter().map(|part| part.tokens).sum();
        PromptRecord {
            session: self.session().map_or(0, short_part_id),
            server: server as u32,
            shared,
            own: self.prompt_tokens().saturating_sub(shared),
        }
    }

    /// ID of the part by which calls are sent to the same server: the last shared
    /// part, or else the whole prompt. `None` for plain calls.
    pub fn session(&self) -> Option<u64> {
        let part = self.shared().last().or(self.prompt.first());
        part.map(|part| part.id)
    }
}

/// Chosen server with the prediction behind the choice.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Key of the server.
    pub key: ServerKey,
    /// Whether the call is predicted to meet its goal.
    pub urgent: bool,
    /// Prompt tokens that the server has to read for the call.
    pub unread_tokens: u32,
    /// Work ahead of the call: unread tokens at engines, calls at plain servers.
    pub queued_ahead: u32,
    /// Predicted time to the first event or the answer.
    pub forecast: Duration,
    /// Fraction of its time that the server spends reading prompts.
    pub busy: f64,
    /// Whether the server is cold, or may have restarted, so that only this VM sends calls
    /// to it.
    pub paced: bool,
    /// Server from which the shared parts can be copied, if the chosen server
    /// does not have them cached.
    pub cache_source: Option<SocketAddr>,
}

/// Reason why no server was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementError {
    /// No server of the region is eligible for the call.
    NoServer,
    /// The eligible servers are cold, and this VM may send them no more calls now.
    Paced,
    /// The eligible servers name limits that are used up for now, or want no calls.
    Limited {
        /// Time until the first of them takes a call.
        until: Duration,
    },
    /// The eligible servers are brittle, and this VM has no place free at any of them.
    Brittle,
    /// Servers are too busy reading prompts, and no other one is usable.
    Saturated {
        /// Time until the least busy one falls below the limit without new calls.
        until: Duration,
    },
    /// The answer would arrive too late, or no server has room.
    Overloaded {
        /// What rules out the server that would answer first.
        cause: OverloadCause,
        /// Predicted time to the first event, suggested to the caller as a wait.
        forecast: Duration,
    },
}

impl ServerTable {
    /// Chooses a server of the own region for a call.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        vms: &RegionView,
        now: Moment,
    ) -> Result<Placement, PlacementError> {
        let mut usable = self.usable(request, vms, now)?;
        // Calls without a prompt use the time as their session, so that they spread.
        let arrival_time = || now.since(Moment::default()).as_micros() as u64;
        let session = request.session().unwrap_or_else(arrival_time);
        let prompt_record = request.prompt_record(0);
        let stays_local = prompt_record.shared <= MAX_LOCAL_SHARED_TOKENS;
        let order = |key: &ServerKey| {
            let record = &self.servers[*key];
            let crosses = stays_local && !self.is_in_own_centre(record);
            (
                crosses,
                Reverse(rendezvous_score(session, record.name_hash)),
            )
        };
        let cache_source = self.cache_source(request, now);
        let compared = match vms.live.len() {
            0..=FULL_COMPARISON_VMS => usable.len(),
            _ => SAMPLED_SERVERS.min(usable.len()),
        };
        usable.sort_unstable_by_key(order);
        let best_of = |keys: &[ServerKey]| {
            let candidates = keys
                .iter()
                .map(|key| self.candidate(*key, request, cache_source, now));
            // `min_by_key` returns the first of equal servers in rendezvous order.
            candidates.min_by_key(|candidate| (!candidate.is_in_time(), candidate.cost))
        };
        let sampled = best_of(&usable[..compared]);
        let best = match sampled {
            Some(best) if best.urgent && best.is_in_time() => best,
            _ => best_of(&usable).ok_or(PlacementError::NoServer)?,
        };
        if let Some(cause) = best.obstacle {
            let forecast = best.suggested_wait;
            return Err(PlacementError::Overloaded { cause, forecast });
        }
        let cache_source = cache_source
            .filter(|source| *source != best.key && !self.has_session(best.key, request));
        Ok(Placement {
            key: best.key,
            urgent: best.urgent,
            unread_tokens: best.unread_tokens,
            queued_ahead: best.queued_ahead,
            forecast: best.forecast,
            busy: best.busy,
            paced: self.servers[best.key].is_paced(request.settings, self.current_since, now),
            cache_source: cache_source.map(|source| self.servers[source].entry.address),
        })
    }

    /// Servers that may receive the call now; pacing and busy limits are applied.
    fn usable(
        &mut self,
        request: &PlacementRequest<'_>,
        vms: &RegionView,
        now: Moment,
    ) -> Result<Vec<ServerKey>, PlacementError> {
        let pace_limit = self
            .pace
            .calls_per_owner(request.settings.cold_rate, vms.live_share());
        let busy_limit = self.settings.busy_limit(request.rank);
        let mut usable = Vec::new();
        let mut busy_servers = Vec::new();
        let mut paced = false;
        let mut least_busy: Option<f64> = None;
        let mut limited: Option<Duration> = None;
        let brittle = self.is_brittle(request.service, now) && !request.through_peer;
        let mut full = false;
        for key in self.eligible_servers(request, now) {
            let record = &mut self.servers[key];
            record
                .statements
                .limit
                .update_part(record.name_hash, vms, now);
            if let Some(wait) = record
                .statements
                .wait(now)
                .filter(|_| !request.through_peer)
            {
                limited = Some(limited.map_or(wait, |least| least.min(wait)));
                continue;
            }
            let own_calls = u32::from(record.own_share.calls);
            if brittle && own_calls >= vms.places_part(record.name_hash, record.brittle_places()) {
                full = true;
                continue;
            }
            let busy = self.busy(&self.servers[key], request.settings, now);
            if busy > busy_limit {
                least_busy = Some(least_busy.map_or(busy, |least| least.min(busy)));
                busy_servers.push(key);
                continue;
            }
            let record = &mut self.servers[key];
            let may_send = vms.is_owner(record.name_hash) && record.pace.allows(pace_limit, now);
            let is_paced = record.is_paced(request.settings, self.current_since, now);
            if is_paced && !may_send && !request.through_peer {
                paced = true;
            } else {
                usable.push(key);
            }
        }
        if usable.is_empty() {
            // The rate of work is an average; a burst after a pause raises it before
            // queues are long.
            busy_servers.retain(|key| self.is_in_time_although_busy(*key, request, now));
            usable = busy_servers;
        }
        if !usable.is_empty() {
            return Ok(usable);
        }
        if full {
            return Err(PlacementError::Brittle);
        }
        Err(match (least_busy, limited, paced) {
            (Some(busy), ..) => PlacementError::Saturated {
                until: WorkRate::time_to_fall(busy, busy_limit),
            },
            (None, Some(until), _) => PlacementError::Limited { until },
            (None, None, true) => PlacementError::Paced,
            (None, None, false) => PlacementError::NoServer,
        })
    }

    fn is_in_time_although_busy(
        &self,
        key: ServerKey,
        request: &PlacementRequest<'_>,
        now: Moment,
    ) -> bool {
        let record = &self.servers[key];
        let prompt = request.prompt_tokens();
        let (_, first) = self.forecast(record, request.settings, prompt, true, now);
        !record.is_paced(request.settings, self.current_since, now)
            && self.busy(record, request.settings, now)
                <= self.settings.burst_busy_limit(request.rank)
            && request.elapsed + first <= request.goal
    }

    fn eligible_servers(&self, request: &PlacementRequest<'_>, now: Moment) -> Vec<ServerKey> {
        let is_eligible = |record: &ServerRecord| {
            let entry = &record.entry;
            let has_model = request
                .model
                .is_none_or(|model| entry.models.is_empty() || entry.models.contains(model));
            entry.service == *request.service
                && has_model
                && self.is_usable(record, now)
                && self.allows_build(record, request.builds, now)
        };
        self.servers
            .iter()
            .filter(|(key, record)| is_eligible(record) && !request.excluded.contains(key))
            .map(|(key, _)| key)
            .collect()
    }

    /// Server that was last sent the shared parts of a call. Servers of the own
    /// region are preferred to those of other regions.
    fn cache_source(&self, request: &PlacementRequest<'_>, now: Moment) -> Option<ServerKey> {
        if request.shared().is_empty() {
            return None;
        }
        let session = short_part_id(request.session()?);
        let candidates = self.servers.iter().filter(|(_, record)| {
            record.entry.service == *request.service && record.use_until.is_none()
        });
        let local = candidates
            .filter_map(|(key, record)| Some((record.cache.last_use(session)?, key)))
            .max_by_key(|(at, _)| *at);
        if let Some((_, key)) = local {
            return Some(key);
        }
        let (key, at) = *self.remote_prompts.get(&session)?;
        let entry = &self.servers.get(key)?.entry;
        let allowed =
            request.residency.is_empty() || request.residency.contains(&entry.centre.region);
        (allowed && now.since(at) < REMOTE_PROMPT_TTL).then_some(key)
    }

    fn has_session(&self, key: ServerKey, request: &PlacementRequest<'_>) -> bool {
        let session = request.session().map(short_part_id);
        let cache = &self.servers[key].cache;
        session.is_some_and(|session| cache.last_use(session).is_some())
    }

    /// Prompt tokens that a server is expected to read for a call.
    pub(super) fn unread_tokens(
        &self,
        key: ServerKey,
        request: &PlacementRequest<'_>,
        cache_source: Option<ServerKey>,
    ) -> u32 {
        let prompt_record = request.prompt_record(0);
        let unread_share = match cache_source {
            _ if self.has_session(key, request) => 0.0,
            Some(_) => self.settings.copy_share,
            None => 1.0,
        };
        prompt_record.own + (f64::from(prompt_record.shared) * unread_share) as u32
    }
}
