//! Status and events of this node and, merged, of all known nodes.

use futures::future::join_all;
use verbenaring_protocol::operator::{
    EventList, EventView, FaultyDocument, NodeStatus, ServerStatus, StatusList,
};

use crate::config::PeerSettings;
use crate::controller::NodeCore;
use crate::store::PlatformStore;
use crate::timeline::TimelineEvent;

/// Status of all known nodes; those that do not answer are named.
pub async fn collect_statuses<S: PlatformStore>(core: &NodeCore<S>) -> StatusList {
    let mut list = StatusList {
        nodes: vec![own_status(core)],
        missing: Vec::new(),
    };
    let peers = other_nodes(core);
    let calls = peers.iter().map(|peer| {
        core.links
            .call(peer.control_address, |client, context| async move {
                client.node_status(context).await
            })
    });
    for (peer, answer) in peers.iter().zip(join_all(calls).await) {
        match answer {
            Some(status) => list.nodes.push(status),
            None => list.missing.push(peer.vm.to_string()),
        }
    }
    list
}

/// Events of all known nodes by time, from `since` on, of one request if given.
pub async fn collect_events<S: PlatformStore>(
    core: &NodeCore<S>,
    since: u64,
    request: Option<&str>,
) -> EventList {
    let mut events = core.timeline.since(since);
    let mut missing = Vec::new();
    let peers = other_nodes(core);
    let calls = peers.iter().map(|peer| {
        core.links
            .call(peer.control_address, |client, context| async move {
                client.timeline_since(context, since).await
            })
    });
    for (peer, answer) in peers.iter().zip(join_all(calls).await) {
        match answer {
            Some(page) => events.extend(page.events),
            None => missing.push(peer.vm.to_string()),
        }
    }
    if let Some(request) = request {
        keep_request(&mut events, request);
    }
    events.sort_by_key(|event| event.time);
    EventList {
        events: events.into_iter().map(event_view).collect(),
        missing,
    }
}

/// Keeps the events of a request, also those of nodes it was forwarded to,
/// which know it by its attempt identifier.
fn keep_request(events: &mut Vec<TimelineEvent>, request: &str) {
    let attempts: Vec<String> = events
        .iter()
        .filter(|event| event.request == request)
        .filter_map(|event| event.attempt.map(|attempt| attempt.to_string()))
        .collect();
    events.retain(|event| event.request == request || attempts.contains(&event.request));
}

fn other_nodes<S>(core: &NodeCore<S>) -> Vec<PeerSettings> {
    let nodes = core.cluster.nodes.load();
    nodes.near.iter().chain(&nodes.far).cloned().collect()
}

/// Status of this node.
pub fn own_status<S>(core: &NodeCore<S>) -> NodeStatus {
    let catalog = core.catalog.load_full();
    let place = &core.settings.data_centre;
    let loads = core.backends.loads();
    let servers = catalog
        .servers()
        .iter()
        .filter(|terms| terms.data_centre == *place)
        .map(|terms| {
            let load = loads.iter().find(|load| load.server == terms.server);
            ServerStatus {
                server: terms.server.to_string(),
                region: place.region.to_string(),
                data_centre: place.name.to_string(),
                address: terms.address.to_string(),
                leaving: load.map_or(terms.leaving, |load| load.leaving),
                requests: load.map_or(0, |load| load.requests),
                tokens: load.map_or(0, |load| load.tokens),
            }
        });
    let faults = catalog.faults().iter().map(|fault| FaultyDocument {
        key: fault.key.clone(),
        revision: fault.revision,
        reason: fault.reason.clone(),
    });
    NodeStatus {
        vm: core.settings.vm.to_string(),
        region: place.region.to_string(),
        data_centre: place.name.to_string(),
        revision: catalog.revision(),
        stopping: core.cluster.is_leaving(),
        servers: servers.collect(),
        faults: faults.collect(),
    }
}

/// Event as operators see it.
pub fn event_view(event: TimelineEvent) -> EventView {
    let kind = serde_json::to_value(event.kind).unwrap_or_default();
    EventView {
        sequence: event.sequence,
        time: event.time,
        vm: event.vm,
        kind: kind.as_str().unwrap_or_default().to_owned(),
        request: event.request,
        attempt: event.attempt,
    }
}
