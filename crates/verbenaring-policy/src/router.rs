//! Choice of a backend server inside the data centre.
//!
//! Load reports are late, and several nodes read the same report. A node that
//! follows them greedily picks the same server as its peers. The policies
//! therefore differ in how far they trust a report: [`LeastReported`] fully,
//! [`TwoChoices`] by age, [`OwnerNode`] not at all for the servers it owns.
//!
//! A [`RoutePlanner`] filters the candidates into a reused buffer, so a
//! decision does not allocate once the buffer has grown to the server count.

use std::time::Duration;

use rand::Rng;

use crate::id::{Digest, ModelName, ServerId, ServiceName};
use crate::load;
use crate::request::SizeEstimate;

/// Affinity limit as a multiple of the mean load of the candidates.
pub const AFFINITY_LOAD_BOUND: f64 = 1.25;

/// Part of the inference that an engine runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ServerRole {
    /// Prompt processing only.
    Prefill,
    /// Token generation only.
    Decode,
    /// Whole requests.
    Whole,
}

/// Model loaded on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServedModel {
    /// Name of the base model.
    pub model: ModelName,
    /// Loaded version.
    pub version: String,
    /// Loaded adapters.
    pub adapters: Vec<String>,
    /// Part of the inference that the server runs for this model.
    pub role: ServerRole,
}

/// What a server must offer to run a request.
#[derive(Debug, Clone, Copy)]
pub enum RouteTarget<'a> {
    /// A model engine.
    Model {
        /// Base model.
        model: &'a ModelName,
        /// Required version; any if absent.
        version: Option<&'a str>,
        /// Required adapter.
        adapter: Option<&'a str>,
        /// Required role.
        role: ServerRole,
    },
    /// A plain service.
    Service(&'a ServiceName),
}

/// Request as seen by the choice of a server.
#[derive(Debug, Clone, Copy)]
pub struct RouteRequest<'a> {
    /// Requirements on the server.
    pub target: RouteTarget<'a>,
    /// Estimated size.
    pub size: SizeEstimate,
    /// Leading part of the prompt.
    pub prefix: Digest,
    /// Whether the request may probe an ejected server.
    pub low_priority: bool,
    /// Whether a peer relayed the request; it is then not relayed again.
    pub relayed: bool,
    /// Servers that must not be used: already tried, or holding a suspect.
    pub excluded: &'a [ServerId],
}

/// Availability of a server for new work.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ServerState {
    /// Takes work.
    Active,
    /// Takes work; its load counts `factor` times.
    Slow {
        /// At least 1.
        factor: f64,
    },
    /// Takes only probes, or work that no other server can run.
    Ejected {
        /// Whether a probe is due.
        probe_due: bool,
    },
    /// Takes nothing.
    Leaving,
}

/// Load report of an engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLoad {
    /// Requests in the running batch.
    pub running: u32,
    /// Requests in the engine's queue.
    pub waiting: u32,
    /// Share of the KV cache in use.
    pub cache_usage: f64,
    /// Time since the engine produced the report.
    pub age: Duration,
}

/// Recently served prefixes of a server.
pub trait PrefixView {
    /// Whether the server's cache probably holds the prefix.
    fn contains(&self, prefix: &Digest) -> bool;
}

/// Backend server as seen by one node.
#[derive(Debug, Clone, Copy)]
pub struct ServerView<'a, C> {
    /// Identifier.
    pub id: &'a ServerId,
    /// Availability.
    pub state: ServerState,
    /// Tokens that this node has outstanding at the server.
    pub own_tokens: u64,
    /// Requests that this node has outstanding at the server.
    pub own_requests: u32,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens per second over all slots.
    pub tokens_per_s: f64,
    /// Last load report.
    pub report: Option<ServerLoad>,
    /// Loaded models.
    pub models: &'a [ServedModel],
    /// Offered plain services.
    pub services: &'a [ServiceName],
    /// Recently served prefixes.
    pub prefixes: &'a C,
}

impl<C> ServerView<'_, C> {
    /// Whether the server offers what the request requires.
    pub fn offers(&self, target: &RouteTarget<'_>) -> bool {
        match *target {
            RouteTarget::Service(service) => self.services.contains(service),
            RouteTarget::Model {
                model,
                version,
                adapter,
                role,
            } => self.models.iter().any(|served| {
                served.role == role
                    && served.model == *model
                    && version.is_none_or(|version| served.version == version)
                    && adapter.is_none_or(|name| served.adapters.iter().any(|own| own == name))
            }),
        }
    }
}

/// Server that may run the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Index into the server views.
    pub index: usize,
    /// Estimated time to finish the outstanding work.
    pub load_s: f64,
    /// Expected time until a slot is free.
    pub wait_s: f64,
}

/// Result of a decision; indices refer to the slices that were passed in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteChoice {
    /// Chosen server.
    pub server: usize,
    /// Node to relay to, if another node owns the server.
    pub owner: Option<usize>,
    /// Expected time until a slot is free.
    pub wait: Duration,
}

/// Selection among candidates.
pub trait RoutePolicy {
    /// Chooses a candidate and, where needed, the node to relay to.
    ///
    /// `candidates` is not empty.
    fn choose<C: PrefixView, R: Rng>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        candidates: &[Candidate],
        rng: &mut R,
    ) -> (Candidate, Option<usize>);

    /// Node to relay to for a server that was chosen without the policy.
    fn relay_to(&self, _server: &ServerId) -> Option<usize> {
        None
    }
}

/// Filters the servers and applies a policy.
#[derive(Debug, Default)]
pub struct RoutePlanner<P> {
    policy: P,
    candidates: Vec<Candidate>,
}

impl<P: RoutePolicy> RoutePlanner<P> {
    /// Planner that applies `policy`.
    pub fn new(policy: P) -> Self {
        Self {
            policy,
            candidates: Vec::new(),
        }
    }

    /// Policy, for updates of its view of the nodes.
    pub fn policy_mut(&mut self) -> &mut P {
        &mut self.policy
    }

    /// Chooses a server, or none if no server may run the request.
    pub fn plan<C: PrefixView, R: Rng>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        rng: &mut R,
    ) -> Option<RouteChoice> {
        if request.low_priority
            && let Some(probe) = self.probe(request, servers)
        {
            return Some(choice_of(probe, None));
        }
        self.collect(request, servers, false);
        if self.candidates.is_empty() {
            // A slow answer is better than a refusal.
            self.collect(request, servers, true);
        }
        if self.candidates.is_empty() {
            return None;
        }
        let (candidate, owner) = self.policy.choose(request, servers, &self.candidates, rng);
        Some(choice_of(candidate, owner))
    }

    fn probe<C>(
        &self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
    ) -> Option<Candidate> {
        let due = ServerState::Ejected { probe_due: true };
        let index = servers
            .iter()
            .position(|server| server.state == due && is_usable(request, server))?;
        Some(load::candidate(index, &servers[index], 0.0))
    }

    fn collect<C>(
        &mut self,
        request: &RouteRequest<'_>,
        servers: &[ServerView<'_, C>],
        include_ejected: bool,
    ) {
        self.candidates.clear();
        let mut foreign = 0.0;
        let mut reports = 0.0;
        for (index, server) in servers.iter().enumerate() {
            let available = match server.state {
                ServerState::Active | ServerState::Slow { .. } => true,
                ServerState::Ejected { .. } => include_ejected,
                ServerState::Leaving => false,
            };
            if !available || !is_usable(request, server) {
                continue;
            }
            if let Some(count) = load::foreign_requests(server) {
                foreign += count;
                reports += 1.0;
            }
            self.candidates.push(Candidate {
                index,
                load_s: 0.0,
                wait_s: 0.0,
            });
        }
        let mean_foreign = if reports > 0.0 {
            foreign / reports
        } else {
            0.0
        };
        for candidate in &mut self.candidates {
            *candidate = load::candidate(candidate.index, &servers[candidate.index], mean_foreign);
        }
    }
}

fn is_usable<C>(request: &RouteRequest<'_>, server: &ServerView<'_, C>) -> bool {
    !request.excluded.contains(server.id) && server.offers(&request.target)
}

fn choice_of(candidate: Candidate, owner: Option<usize>) -> RouteChoice {
    RouteChoice {
        server: candidate.index,
        owner,
        wait: Duration::try_from_secs_f64(candidate.wait_s).unwrap_or(Duration::MAX),
    }
}

/// Baseline: servers in turn.
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

/// Baseline: lowest number of requests in the last report, whatever its age.
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
        // The random start breaks ties without preference for low indices.
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

/// Lower load of two random candidates.
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
            load::compared_s(server, candidate.load_s, mean) + load::service_s(server, tokens)
        };
        let position = if cost(second) < cost(first) {
            second
        } else {
            first
        };
        (candidates[position], None)
    }
}

/// Prefers a server with a warm cache while its load is bounded.
///
/// Falls back to `P` where no warm server is under
/// [`AFFINITY_LOAD_BOUND`] times the mean load plus the request itself.
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
        let bound = AFFINITY_LOAD_BOUND * mean;
        let tokens = f64::from(request.size.total());
        let warm = candidates
            .iter()
            .filter(|candidate| {
                let server = &servers[candidate.index];
                load::compared_s(server, candidate.load_s, mean)
                    <= bound + load::service_s(server, tokens)
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

/// One owner node per server, by rendezvous hashing over the live nodes.
///
/// The entry node selects a server by [`TwoChoices`] and relays to its owner.
/// The owner sees the whole queue of its servers and takes the least loaded.
#[derive(Debug, Default)]
pub struct OwnerNode {
    own: usize,
    nodes: Vec<u64>,
}

impl OwnerNode {
    /// Policy of the node at index `own` of the live nodes' keys.
    pub fn new(own: usize, nodes: Vec<u64>) -> Self {
        Self { own, nodes }
    }

    /// Index of the node that owns a server.
    pub fn owner(&self, server: &ServerId) -> usize {
        let key = load::rendezvous_key(server.as_str());
        let weight = |node: &u64| load::mix(node ^ key);
        let owner = (0..self.nodes.len()).max_by_key(|index| weight(&self.nodes[*index]));
        owner.unwrap_or(self.own)
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
        if owner != self.own && !request.relayed {
            return (sampled, Some(owner));
        }
        let owned = candidates
            .iter()
            .filter(|candidate| self.owner(servers[candidate.index].id) == self.own)
            .min_by(|left, right| left.load_s.total_cmp(&right.load_s));
        // A relayed request is served here even if the sender's table differs (I2).
        (owned.copied().unwrap_or(sampled), None)
    }

    fn relay_to(&self, server: &ServerId) -> Option<usize> {
        let owner = self.owner(server);
        (owner != self.own).then_some(owner)
    }
}
