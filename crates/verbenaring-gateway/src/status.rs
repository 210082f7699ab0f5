//! Status and timeline events of this node, and of all known nodes together.

use futures::future::join_all;
use verbenaring_protocol::operator::{
    EventList, EventView, FaultyDocument, NodeStatus, ServerStatus, StatusList,
};

use crate::config::PeerSettings;
use crate::controller::NodeCore;
use crate::store::PlatformStore;
use crate::timeline::TimelineEvent;

/// Collects the status of all known nodes; `missing` names those that do not answer.
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

/// Collects the events of all known nodes in the order of their time.
///
/// Each node numbers its own events; those with a number below `since` are left out.
/// If `request` is given, only its events are returned. `missing` names the nodes
/// that do not answer.
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
        retain_request(&mut events, request);
    }
    events.sort_by_key(|event| event.time);
    EventList {
        events: events.into_iter().map(event_view).collect(),
        missing,
    }
}

/// Removes the events of other requests.
///
/// A node to which the request was forwarded records it under the identifier of
/// the attempt, so these events are kept too.
fn retain_request(events: &mut Vec<TimelineEvent>, request: &str) {
    let attempts: Vec<String> = events
        .iter()
        .filter(|event| event.request == request)
        .filter_map(|event| event.attempt.map(|attempt| attempt.to_string()))
        .collect();
    events.retain(|event| event.request == request || attempts.contains(&event.request));
}

fn other_nodes<S>(core: &NodeCore<S>) -> Vec<PeerSettings> {
    let nodes = core.cluster.nodes.load();
    nodes.local.iter().chain(&nodes.remote).cloned().collect()
}

/// Status of this node.
pub fn own_status<S>(core: &NodeCore<S>) -> NodeStatus {
    let catalog = core.catalog.load_full();
    let data_centre = &core.settings.data_centre;
    let loads = core.backends.loads();
    let servers = catalog
        .servers()
        .iter()
        .filter(|terms| terms.data_centre == *data_centre)
        .map(|terms| {
            let load = loads.iter().find(|load| load.server == terms.server);
            ServerStatus {
                server: terms.server.to_string(),
                region: data_centre.region.to_string(),
                data_centre: data_centre.name.to_string(),
                address: terms.address.to_string(),
                leaving: load.map_or(terms.leaving, |load| load.leaving),
                requests: load.map_or(0, |load| load.requests),
                tokens: load.map_or(0, |load| load.tokens),
            }
        });
    let faults = catalog
        .invalid_documents()
        .iter()
        .map(|document| FaultyDocument {
            key: document.key.clone(),
            revision: document.revision,
            reason: document.reason.clone(),
        });
    NodeStatus {
        vm: core.settings.vm.to_string(),
        region: data_centre.region.to_string(),
        data_centre: data_centre.name.to_string(),
        revision: catalog.revision(),
        stopping: core.cluster.is_leaving(),
        servers: servers.collect(),
        faults: faults.collect(),
    }
}

/// Converts an event to its form in the operators' interface.
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
