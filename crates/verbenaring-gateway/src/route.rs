//! Sixth filter: chooses the backend server or node that runs a request.
//!
//! The data centre is chosen first, then the server. A request that another
//! node forwarded is served in this data centre or refused. No other module
//! decides whether a request is forwarded.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::StatusCode;
use rand::seq::SliceRandom;
use verbenaring_policy::id::{DataCentre, ModelName, ServerId, VmId};
use verbenaring_policy::region::{
    LinkBudget, ROUND_TRIP, RegionChoice, RegionRequest, RegionSelector, RegionView,
};

use crate::backend::{BackendTable, ChosenServer, ServerChoice};
use crate::catalog::ServingCatalog;
use crate::clock::NodeClock;
use crate::config::PeerSettings;
use crate::refusal::Refusal;
use crate::view::{CentreLoad, NodeList};
use crate::work::{PendingWork, WorkTarget};

/// Assumed round trip between two data centres of one region.
const IN_REGION_ROUND_TRIP: Duration = Duration::from_millis(1);
/// Prompt tokens that an engine is assumed to process per second, for the
/// cold-cache penalty.
const PREFILL_TOKENS_PER_S: f64 = 8_000.0;
/// Assumed bytes on a link per answer token, framing included.
const LINK_BYTES_PER_TOKEN: u64 = 200;
/// Link rate assumed without a layout document.
const DEFAULT_LINK_MBIT_PER_S: f64 = 1_000.0;
/// Burst that a link budget allows, in seconds of its rate.
const LINK_BURST_S: f64 = 2.0;

/// Where a request is sent.
pub enum RouteTarget {
    /// Backend server of this data centre.
    Server(Box<ChosenServer>),
    /// Node of another data centre.
    Peer(Box<PeerSettings>),
}

/// Why a request has no target.
#[derive(Debug)]
pub enum RouteError {
    /// The suitable servers are excluded until other requests end; routing is
    /// repeated then.
    Busy,
    /// No target can run the request.
    Refused(Refusal),
}

/// Servers and nodes to which a request was already sent; a retry or hedge avoids
/// them.
#[derive(Debug, Default)]
pub struct TriedTargets {
    /// Servers of this data centre, in the order of the attempts.
    pub servers: Vec<ServerId>,
    /// Nodes of other data centres, in the order of the attempts.
    pub peers: Vec<VmId>,
}

impl TriedTargets {
    /// Adds a target to which the request is about to be sent.
    pub fn add(&mut self, target: &RouteTarget) {
        match target {
            RouteTarget::Server(chosen) => self.servers.push(chosen.terms.server.clone()),
            RouteTarget::Peer(peer) => self.peers.push(peer.vm.clone()),
        }
    }
}

/// State of the node on which a routing decision is based.
pub struct RouteContext<'a> {
    /// Data centre of the node.
    pub centre: &'a DataCentre,
    /// Configuration in force.
    pub catalog: &'a ServingCatalog,
    /// Other nodes that may be used now.
    pub nodes: Arc<NodeList>,
    /// Backend servers of this data centre.
    pub backends: &'a Arc<BackendTable>,
    /// Expected wait before a request starts in this data centre.
    pub wait: Duration,
}

/// Chooses between data centres and keeps the budgets of the links to them.
pub struct RegionRouter {
    clock: NodeClock,
    /// With the catalog revision and number of near nodes that the link budgets
    /// were derived from.
    selector: Mutex<(RegionSelector, Option<(u64, usize)>)>,
}

impl RegionRouter {
    /// Creates a router without link budgets; the first choice sets them.
    pub fn new(clock: NodeClock) -> Self {
        Self {
            clock,
            selector: Mutex::default(),
        }
    }

    /// Chooses a target for `work` that is not among `tried`.
    ///
    /// With `alone`, the server must run no other request.
    pub fn route(
        &self,
        context: &RouteContext<'_>,
        work: &PendingWork,
        tried: &TriedTargets,
        alone: bool,
    ) -> Result<RouteTarget, RouteError> {
        work.check_residency(&context.centre.region)
            .map_err(RouteError::Refused)?;
        let peers = self.usable_peers(context, work, tried);
        // Servers that have ended are tried if no other data centre can run the work.
        let can_run = context.backends.can_run(context.catalog, work)
            && !context.backends.has_lost_all(&work.target);
        let choice = self.choose_region(context, work, &peers, can_run);
        if let RegionChoice::Remote(index) = choice {
            return Ok(RouteTarget::Peer(Box::new(peers[index].0.clone())));
        }
        let choice = context
            .backends
            .choose(context.catalog, work, &tried.servers, alone);
        match (choice, peers.first()) {
            (ServerChoice::Chosen(chosen), _) => Ok(RouteTarget::Server(Box::new(chosen))),
            (ServerChoice::Busy, _) => Err(RouteError::Busy),
            // No server here is left, so another data centre is used.
            (ServerChoice::None, Some((peer, _))) => Ok(RouteTarget::Peer(Box::new(peer.clone()))),
            (ServerChoice::None, None) => Err(RouteError::Refused(no_backend())),
        }
    }

    fn choose_region(
        &self,
        context: &RouteContext<'_>,
        work: &PendingWork,
        peers: &[(PeerSettings, CentreLoad)],
        can_run: bool,
    ) -> RegionChoice {
        if work.forwarded.is_some() {
            return RegionChoice::Local;
        }
        let now = self.clock.now();
        let unix_ms = self.clock.unix_ms();
        let mut selector = self
            .selector
            .lock()
            .unwrap_or_else(|error| error.into_inner());
        update_link_budgets(&mut selector, context, now);
        let local = region_view(
            &context.centre.region,
            can_run.then_some(context.wait),
            true,
        );
        let remotes: Vec<RegionView<'_>> = peers
            .iter()
            .map(|(peer, load)| RegionView {
                age: Duration::from_millis(unix_ms.saturating_sub(load.unix_ms)),
                ..region_view(
                    &peer.data_centre.region,
                    Some(load.wait),
                    peer.data_centre.region == context.centre.region,
                )
            })
            .collect();
        let request = RegionRequest {
            terms: &work.entry.terms,
            prompt_tokens: work.size.prompt_tokens,
            bytes: work.body.len() as u64
                + LINK_BYTES_PER_TOKEN * u64::from(work.size.answer_tokens),
            forwarded: false,
        };
        selector.0.select(&request, &local, &remotes, now)
    }

    /// One random node of each other data centre that may run the work.
    fn usable_peers(
        &self,
        context: &RouteContext<'_>,
        work: &PendingWork,
        tried: &TriedTargets,
    ) -> Vec<(PeerSettings, CentreLoad)> {
        let mut peers: Vec<(PeerSettings, CentreLoad)> = Vec::new();
        if work.forwarded.is_some() {
            return peers;
        }
        let mut candidates: Vec<&PeerSettings> = context
            .nodes
            .remote
            .iter()
            .filter(|peer| {
                let centre = &peer.data_centre;
                work.entry.terms.residency.allows(&centre.region)
                    && !tried.peers.contains(&peer.vm)
                    && centre_offers(context.catalog, centre, work)
            })
            .collect();
        // A crashed node stays in the list for some seconds, so the attempts of
        // one request must not all go to the same node.
        candidates.shuffle(&mut rand::rng());
        for peer in candidates {
            let centre = &peer.data_centre;
            if peers.iter().all(|(known, _)| known.data_centre != *centre) {
                let load = context
                    .nodes
                    .load_of(centre, target_model(work), self.clock.unix_ms());
                peers.push((peer.clone(), load));
            }
        }
        peers.sort_by_key(|(peer, load)| {
            (peer.data_centre.region != context.centre.region, load.wait)
        });
        peers
    }
}

fn target_model(work: &PendingWork) -> Option<&ModelName> {
    match &work.target {
        WorkTarget::Model(model) => Some(model),
        WorkTarget::Service(_) => None,
    }
}

/// Whether a server of the data centre can run the work, by the configuration.
pub(crate) fn centre_offers(
    catalog: &ServingCatalog,
    centre: &DataCentre,
    work: &PendingWork,
) -> bool {
    catalog.servers().iter().any(|terms| {
        terms.data_centre == *centre && !terms.leaving && work.target.is_offered_by(terms)
    })
}

fn region_view(
    region: &verbenaring_policy::id::RegionName,
    wait: Option<Duration>,
    in_region: bool,
) -> RegionView<'_> {
    RegionView {
        region,
        reachable: true,
        wait,
        age: Duration::ZERO,
        round_trip: if in_region {
            IN_REGION_ROUND_TRIP
        } else {
            ROUND_TRIP
        },
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        warm: false,
        cost: if in_region { 0.0 } else { 1.0 },
    }
}

/// Sets the budget of the link to each region to this node's equal part of it.
fn update_link_budgets(
    selector: &mut (RegionSelector, Option<(u64, usize)>),
    context: &RouteContext<'_>,
    now: verbenaring_policy::time::Moment,
) {
    let version = (context.catalog.revision(), context.nodes.local.len());
    if selector.1 == Some(version) {
        return;
    }
    selector.1 = Some(version);
    let layout = context.catalog.layout();
    let mbit_per_s = layout.map_or(DEFAULT_LINK_MBIT_PER_S, |layout| layout.link_mbit_per_s);
    let bytes_per_s = mbit_per_s * 1e6 / 8.0 / (version.1 + 1) as f64;
    for terms in context.catalog.servers() {
        let region = &terms.data_centre.region;
        let budget = LinkBudget::new(bytes_per_s, bytes_per_s * LINK_BURST_S, now);
        selector.0.set_link(region, budget);
    }
}

fn no_backend() -> Refusal {
    let refusal = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_backend",
        "no backend server that the contract allows can run the request now",
    );
    refusal.with_retry_after(1)
}
