//! Choice of a backend server inside a data centre.
//!
//! Every gateway node chooses on its own, from load reports that are already
//! out of date and that the other nodes read too. Nodes that always take the
//! least loaded server of such a report all pick the same one and overload it.
//! [`LeastReported`] trusts a report fully, [`TwoChoices`] less with its age, and
//! [`OwnerNode`] lets the one node choose that knows all requests of a server.
//!
//! A [`RoutePlanner`] filters the candidates into a buffer that it reuses, so a
//! decision does not allocate once the buffer has grown to the server count.

use std::time::Duration;

use rand::Rng;

use crate::id::{Digest, ModelName, ServerId, ServiceName};
use crate::load;
use crate::request::SizeEstimate;

/// Load limit of [`PrefixAffinity`] as a multiple of the mean load.
pub const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// Phase of the inference that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServerRole {
    /// Only prefill: processing of the prompt.
    Prefill,
    /// Only decode: generation of the answer.
    Decode,
    /// Both phases of a request.
    Whole,
}

/// Model that a server has loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedModel {
    /// Name of the base model.
    pub model: ModelName,
    /// Version of the model, compared by equality.
    pub version: String,
    /// Names of the loaded adapters; empty if only the base model is served.
    pub adapters: Vec<String>,
    /// Phase of the inference that the server runs for this model.
    pub role: ServerRole,
}

/// What a server must offer to run a request.
#[derive(Debug, Clone, Copy)]
pub enum ServerRequirement<'a> {
    /// An engine that has loaded a model.
    Model {
        /// Name of the base model.
        model: &'a ModelName,
        /// Required version; `None` accepts any.
        version: Option<&'a str>,
        /// Required adapter; `None` needs none.
        adapter: Option<&'a str>,
        /// Phase that the server must run for the model.
        role: ServerRole,
    },
    /// A plain service, which is not an engine.
    Service(&'a ServiceName),
}

/// Properties of a request on which the choice of a server depends.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// What the server must offer.
    pub requirement: ServerRequirement<'a>,
    /// Estimated tokens of the prompt and of the answer.
    pub size: SizeEstimate,
    /// Digest of the leading part of the prompt, for cache affinity.
    pub prefix: Digest,
    /// Whether the request may be sent to an ejected server as a probe.
    pub low_priority: bool,
    /// Whether another node relayed the request; it is then not relayed again.
    pub relayed: bool,
    /// Servers that must not be used: already tried, or isolated by the quarantine.
    pub excluded: &'a [ServerId],
}

/// Availability of a server for new work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerState {
    /// Takes work.
    Active,
    /// Takes work; its time per token counts `factor` times.
    Slow {
        /// How many times slower than its peers the server is; at least 1.
        factor: f64,
    },
    /// Takes only probes, and requests that no other server can run.
    Ejected {
        /// Whether the next low-priority request should probe the server.
        probe_due: bool,
    },
    /// Takes no new requests.
    Leaving,
}

/// Load that an engine has reported.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
    /// Share of the KV cache in use, from 0 to 1.
    pub cache_usage: f64,
    /// Time since the engine produced the report.
    pub age: Duration,
}

/// Prompt prefixes that a server has served recently.
pub trait PrefixView {
    /// Whether the server's KV cache probably holds the prefix.
    fn contains(&self, prefix: &Digest) -> bool;
}

/// State of a backend server as one node knows it.
#[derive(Debug, Clone, Copy)]
pub struct ServerView<'a, C> {
    /// Name of the server.
    pub id: &'a ServerId,
    /// Availability for new requests.
    pub state: ServerState,
    /// Tokens that this node has outstanding at the server.
    pub own_tokens: u64,
    /// Requests that this node has outstanding at the server.
    pub own_requests: u32,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Tokens per second over all slots together.
    pub tokens_per_s: f64,
    /// Last load report; `None` before the first one.
    pub report: Option<ServerLoad>,
    /// Models that the server has loaded.
    pub models: &'a [ServedModel],
    /// Plain services that the server offers.
    pub services: &'a [ServiceName],
    /// Prompt prefixes that the server has served recently.
    pub prefixes: &'a C,
}

impl<C> ServerView<'_, C> {
    /// Whether the server offers what the request requires.
    pub fn offers(&self, requirement: &ServerRequirement<'_>) -> bool {
        match *requirement {
            ServerRequirement::Service(service) => self.services.contains(service),
            ServerRequirement::Model {
                model,
                version,
                adapter,
                role,
            } => self.models.iter().any(|served| {
                served.role == role
                    && served.model == *model
                    && version.is_none_or(|version| served.version == version)
                    && adapter
                        .is_none_or(|name| served.adapters.iter().any(|loaded| loaded == name))
            }),
        }
    }
}

/// Server that can run the request, with its estimated load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Index into the server views that were passed in.
    pub index: usize,
    /// Estimated time in seconds to finish the outstanding work.
    pub load_s: f64,
    /// Expected time in seconds until a slot is free.
    pub wait_s: f64,
}

/// Server that the planner chose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteChoice {
    /// Index into the server views that were passed in.
    pub server: usize,
    /// Node to relay to, as an index into the keys of [`OwnerNode::new`].
    pub owner: Option<usize>,
    /// Expected time until a slot is free.
    pub wait: Duration,
}

/// Rule that selects one of the candidates.
pub trait RoutePolicy {
    /// Chooses a candidate, and the node to relay to if another node owns it.
    ///
    /// `candidates` must not be empty.
    fn choose<C: PrefixView, R: Rng>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        candidates: &[Candidate],
        rng: &mut R,
    ) -> (Candidate, Option<usize>);

    /// Node to relay to for a server that was chosen without [`Self::choose`].
    fn relay_to(&self, _server: &ServerId) -> Option<usize> {
        None
    }
}

/// Applies a policy to the servers that can run a request.
#[derive(Debug, Default)]
pub struct RoutePlanner<P> {
    policy: P,
    candidates: Vec<Candidate>,
}

impl<P: RoutePolicy> RoutePlanner<P> {
    /// Creates a planner that applies `policy`.
    pub fn new(policy: P) -> Self {
        Self {
            policy,
            candidates: Vec::new(),
        }
    }

    /// Policy, for changes such as a new list of live nodes.
    pub fn policy_mut(&mut self) -> &mut P {
        &mut self.policy
    }

    /// Chooses a server; `None` if no server can run the request.
    ///
    /// A low-priority request goes first to an ejected server whose probe is due.
    /// Other requests reach ejected servers only where no other can run them.
    pub fn plan<C: PrefixView, R: Rng>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        rng: &mut R,
    ) -> Option<RouteChoice> {
        if request.low_priority
            && let Some(probe) = self.due_probe(request, servers)
        {
            return Some(route_choice(probe, None));
        }
        self.collect_candidates(request, servers, false);
        if self.candidates.is_empty() {
            // A slow answer from an ejected server is better than a refusal.
            self.collect_candidates(request, servers, true);
        }
        if self.candidates.is_empty() {
            return None;
        }
        let (candidate, owner) = self.policy.choose(request, servers, &self.candidates, rng);
        Some(route_choice(candidate, owner))
    }

    fn due_probe<C>(
        &self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
    ) -> Option<Candidate> {
        let due = ServerState::Ejected { probe_due: true };
        let index = servers
            .iter()
            .position(|server| server.state == due && can_run(request, server))?;
        Some(load::estimate(index, &servers[index], 0.0))
    }

    fn collect_candidates<C>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        include_ejected: bool,
    ) {
        self.candidates.clear();
        let mut other_requests = 0.0;
        let mut report_count = 0.0;
        for (index, server) in servers.iter().enumerate() {
            let available = match server.state {
                ServerState::Active | ServerState::Slow { .. } => true,
                ServerState::Ejected { .. } => include_ejected,
                ServerState::Leaving => false,
            };
            if !available || !can_run(request, server) {
                continue;
            }
            if let Some(count) = load::other_node_requests(server) {
                other_requests += count;
                report_count += 1.0;
            }
            self.candidates.push(Candidate {
                index,
                load_s: 0.0,
                wait_s: 0.0,
            });
        }
        let mean_others = if report_count > 0.0 {
            other_requests / report_count
        } else {
            0.0
        };
        for candidate in &mut self.candidates {
            *candidate = load::estimate(candidate.index, &servers[candidate.index], mean_others);
        }
    }
}

fn can_run<C>(request: &RouteRequest<'_>, server: &ServerView<'_, C>) -> bool {
    !request.excluded.contains(server.id) && server.offers(&request.requirement)
}

fn route_choice(candidate: Candidate, owner: Option<usize>) -> RouteChoice {
    RouteChoice {
        server: candidate.index,
        owner,
        wait: Duration::try_from_secs_f64(candidate.wait_s).unwrap_or(Duration::MAX),
    }
}

/// Baseline for comparison: takes the candidates in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl RoutePolicy for RoundRobin {
    fn choose<C: PrefixView, R: Rng>(
        &mut self,
        _request: &RouteRequest<'_>,
        _servers: &[ServerView<'_, C>],
        candidates: &[Candidate],
        _rng: &mut R,
    ) -> (Candidate, Option<usize>) {
        let position = self.next % candidates.len();
        self.next = position + 1;
        (candidates[position], None)
    }
}

/// Baseline for comparison: fewest requests in the last report, whatever its age.
#[derive(Debug, Default)]
pub struct LeastReported;

impl RoutePolicy for LeastReported {
    fn choose<C: PrefixView, R: Rng>(
        &mut self,
        _request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        candidates: &[Candidate],
        rng: &mut R,
    ) -> (Candidate, Option<usize>) {
        // A random start, so that ties are not always won by the lowest index.
        let start = rng.random_range(0..candidates.len());
        let order = (0..candidates.len()).map(|step| (start + step) % candidates.len());
        let reported = |position: &usize| {
            let server = &servers[candidates[*position].index];
            server.report.map_or(server.own_requests, |report| {
                report.running + report.waiting
            })
        };
        let position = order.min_by_key(reported).unwrap_or(start);
        (candidates[position], None)
    }
}

fn mean_load_s(candidates: &[Candidate]) -> f64 {
    let total: f64 = candidates.iter().map(|candidate| candidate.load_s).sum();
    total / candidates.len() as f64
}

/// Takes the better of two random candidates, by load plus the time that the
/// request itself would need there.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl RoutePolicy for TwoChoices {
    fn choose<C: PrefixView, R: Rng>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        candidates: &[Candidate],
        rng: &mut R,
    ) -> (Candidate, Option<usize>) {
        let count = candidates.len();
        let first = rng.random_range(0..count);
        if count == 1 {
            return (candidates[first], None);
        }
        let second = (first + rng.random_range(1..count)) % count;
        let tokens = f64::from(request.size.total());
        let mean = mean_load_s(candidates);
        let cost = |position: usize| {
            let candidate = &candidates[position];
            let server = &servers[candidate.index];
            load::compared_load_s(server, candidate.load_s, mean)
                + load::service_time_s(server, tokens)
        };
        let position = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        (candidates[position], None)
    }
}

/// Prefers the least loaded server whose cache holds the prompt prefix.
///
/// Its load may be at most [`AFFINITY_LOAD_BOUND`] times the mean load plus the
/// time of the request itself; where no such server exists, `P` chooses.
#[derive(Debug, Default)]
pub struct PrefixAffinity<P>(pub P);

impl<P: RoutePolicy> RoutePolicy for PrefixAffinity<P> {
    fn choose<C: PrefixView, R: Rng>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        candidates: &[Candidate],
        rng: &mut R,
    ) -> (Candidate, Option<usize>) {
        let mean = mean_load_s(candidates);
        let load_bound_s = AFFINITY_LOAD_BOUND * mean;
        let tokens = f64::from(request.size.total());
        let warm = candidates
            .iter()
            .filter(|candidate| {
                let server = &servers[candidate.index];
                load::compared_load_s(server, candidate.load_s, mean)
                    <= load_bound_s + load::service_time_s(server, tokens)
                    && server.prefixes.contains(&request.prefix)
            })
            .min_by(|left, right| left.load_s.total_cmp(&right.load_s));
        match warm {
            Some(candidate) if request.relayed => (*candidate, None),
            Some(candidate) => (*candidate, self.0.relay_to(servers[candidate.index].id)),
            None => self.0.choose(request, servers, candidates, rng),
        }
    }
}

/// Assigns each server to one owner, by rendezvous hashing over the live nodes.
///
/// The node that a request enters at selects a server by [`TwoChoices`] and
/// relays the request to the owner of that server. The owner knows all requests
/// outstanding at its servers and takes the least loaded of them.
#[derive(Debug, Default)]
pub struct OwnerNode {
    own_index: usize,
    node_keys: Vec<u64>,
}

impl OwnerNode {
    /// Creates the policy of the node at index `own_index` of `node_keys`, which
    /// holds the [`load::rendezvous_key`] of each live node.
    pub fn new(own_index: usize, node_keys: Vec<u64>) -> Self {
        Self {
            own_index,
            node_keys,
        }
    }

    /// Index of the node that owns a server; all nodes with the same keys agree.
    pub fn owner(&self, server: &ServerId) -> usize {
        let key = load::rendezvous_key(server.as_str());
        let weight = |node: &u64| load::splitmix64_finalizer(node ^ key);
        let owner = (0..self.node_keys.len()).max_by_key(|index| weight(&self.node_keys[*index]));
        owner.unwrap_or(self.own_index)
    }
}

impl RoutePolicy for OwnerNode {
    fn choose<C: PrefixView, R: Rng>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        candidates: &[Candidate],
        rng: &mut R,
    ) -> (Candidate, Option<usize>) {
        let (sampled, _) = TwoChoices.choose(request, servers, candidates, rng);
        let owner = self.owner(servers[sampled.index].id);
        if owner != self.own_index && !request.relayed {
            return (sampled, Some(owner));
        }
        let owned = candidates
            .iter()
            .filter(|candidate| self.owner(servers[candidate.index].id) == self.own_index)
            .min_by(|left, right| left.load_s.total_cmp(&right.load_s));
        // Never relayed twice, even if the nodes disagree on the owner (invariant I2).
        (owned.copied().unwrap_or(sampled), None)
    }

    fn relay_to(&self, server: &ServerId) -> Option<usize> {
        let owner = self.owner(server);
        (owner != self.own_index).then_some(owner)
    }
}
