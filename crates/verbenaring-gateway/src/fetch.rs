//! Calls that fetch node descriptions and configuration from other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future::join_all;
use verbenaring_protocol::control::NodeDescription;

use crate::links::ControlLinks;
use crate::replica::ConfigReplica;
use crate::view::ClusterView;

/// Time limit for the configuration of a peer after a pause.
const RESYNC_TIMEOUT: Duration = Duration::from_millis(500);

/// Updates the description of the node at `address` in `descriptions`; removes it if
/// the call fails.
pub(crate) async fn fetch_description(
    links: &ControlLinks,
    address: SocketAddr,
    descriptions: &Mutex<HashMap<SocketAddr, NodeDescription>>,
) {
    let description = links
        .call(address, |client, context| async move {
            client.status(context).await
        })
        .await;
    let mut descriptions = descriptions
        .lock()
        .unwrap_or_else(|error| error.into_inner());
    match description {
        Some(description) => descriptions.insert(address, description),
        None => descriptions.remove(&address),
    };
}

/// Merges the configuration of all local nodes, or of all remote ones if no local
/// node answers.
///
/// One node is not enough, because some may have been paused as well.
pub(crate) async fn resync_config(links: &ControlLinks, view: &ClusterView) {
    let nodes = view.nodes.load_full();
    for group in [&nodes.local, &nodes.remote] {
        let reads = group.iter().map(|node| {
            let fetch = fetch_delta(links, node.control_address, &view.replica);
            tokio::time::timeout(RESYNC_TIMEOUT, fetch)
        });
        let results = join_all(reads).await;
        if results.into_iter().any(|result| result == Ok(true)) {
            break;
        }
    }
    view.resyncing.store(false, Ordering::Release);
}

/// Merges the entries that the node at `address` has and this node lacks; false if
/// a call fails.
pub(crate) async fn fetch_delta(
    links: &ControlLinks,
    address: SocketAddr,
    replica: &ConfigReplica,
) -> bool {
    loop {
        let digest = links
            .call(address, |client, context| async move {
                client.config_digest(context).await
            })
            .await;
        let Some(digest) = digest else { return false };
        let Some(request) = replica.delta_request(&digest) else {
            return true;
        };
        let delta = links
            .call(address, |client, context| async move {
                client.config_delta(context, request).await
            })
            .await;
        let Some(delta) = delta else { return false };
        let changed = replica.merge(delta.entries);
        if delta.complete || !changed {
            return true;
        }
    }
}

/// Merges the whole configuration of the node at `address`; false if a call fails
/// or the node has none yet.
pub(crate) async fn fetch_snapshot(
    links: &ControlLinks,
    address: SocketAddr,
    replica: &ConfigReplica,
) -> bool {
    let mut after = None;
    loop {
        let page = links
            .call(address, |client, context| async move {
                client.config_snapshot(context, after).await
            })
            .await;
        let Some(page) = page else { return false };
        let empty = page.entries.is_empty();
        replica.merge(page.entries);
        if page.next.is_none() {
            // A peer that has not loaded the configuration itself sends an empty snapshot.
            if !empty {
                replica.set_loaded();
            }
            return !empty;
        }
        after = page.next;
    }
}
