//! Sixth filter: which backend server or node runs a request.

use std::sync::Arc;

use hyper::StatusCode;
use verbenaring_policy::id::{ServerId, VmId};
use verbenaring_protocol::document::ServerTerms;

use crate::backend::{BackendTable, WorkGuard};
use crate::catalog::ServingCatalog;
use crate::cluster::NodeList;
use crate::config::{NodeSettings, PeerSettings};
use crate::refusal::Refusal;
use crate::work::PendingWork;

/// Where a request is sent.
pub enum RouteTarget {
    /// Backend server of this data centre.
    Server(Arc<ServerTerms>, WorkGuard),
    /// Node of another data centre.
    Peer(PeerSettings),
}

/// Servers and nodes that already failed a request.
#[derive(Debug, Default)]
pub struct TriedTargets {
    /// Servers that failed.
    pub servers: Vec<ServerId>,
    /// Nodes that failed.
    pub peers: Vec<VmId>,
}

/// What a routing decision looks at.
pub struct RouteContext<'a> {
    /// Settings of the node.
    pub settings: &'a NodeSettings,
    /// Configuration in force.
    pub catalog: &'a ServingCatalog,
    /// Other nodes that may be used now.
    pub nodes: Arc<NodeList>,
    /// Backend servers as this node uses them.
    pub backends: &'a BackendTable,
}

/// Chooses a target for `work`.
pub fn route_work(
    context: &RouteContext<'_>,
    work: &PendingWork,
    tried: &TriedTargets,
) -> Result<RouteTarget, Refusal> {
    let region = &context.settings.data_centre.region;
    let local = work
        .check_residency(region)
        .map(|()| choose_server(context, work, tried));
    match local {
        Ok(Some(target)) => return Ok(target),
        Err(refusal) if work.forwarded.is_some() => return Err(refusal),
        _ => {}
    }
    if work.forwarded.is_none()
        && let Some(peer) = choose_peer(context, work, tried)
    {
        return Ok(RouteTarget::Peer(peer));
    }
    let refusal = Refusal::not_run(
        StatusCode::SERVICE_UNAVAILABLE,
        "no_backend",
        "no backend server that the contract allows can run the request now",
    );
    Err(refusal.with_retry_after(1))
}

fn choose_server(
    context: &RouteContext<'_>,
    work: &PendingWork,
    tried: &TriedTargets,
) -> Option<RouteTarget> {
    let candidates = context.catalog.servers().iter().filter(|terms| {
        terms.data_centre == context.settings.data_centre
            && !terms.leaving
            && work.target.is_offered_by(terms)
            && !tried.servers.contains(&terms.server)
    });
    let (terms, state) = candidates
        .map(|terms| (terms, context.backends.state(&terms.server)))
        .min_by_key(|(_, state)| state.tokens())?;
    let guard = WorkGuard::new(&state, work.size.total());
    Some(RouteTarget::Server(terms.clone(), guard))
}

fn choose_peer(
    context: &RouteContext<'_>,
    work: &PendingWork,
    tried: &TriedTargets,
) -> Option<PeerSettings> {
    let offers = |peer: &&PeerSettings| {
        context.catalog.servers().iter().any(|terms| {
            terms.data_centre == peer.data_centre
                && !terms.leaving
                && work.target.is_offered_by(terms)
        })
    };
    context
        .nodes
        .far
        .iter()
        .filter(|peer| peer.data_centre != context.settings.data_centre)
        .filter(|peer| work.entry.terms.residency.allows(&peer.data_centre.region))
        .filter(|peer| !tried.peers.contains(&peer.vm))
        .filter(offers)
        .min_by_key(|peer| peer.data_centre.region != context.settings.data_centre.region)
        .cloned()
}
