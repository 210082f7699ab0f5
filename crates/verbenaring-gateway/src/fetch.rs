//! What a node fetches from other nodes: cards and configuration.

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

/// Longest wait for a peer's configuration after a pause.
const REREAD_TIMEOUT: Duration = Duration::from_millis(500);

pub(crate) async fn fetch_card(
    links: &ControlLinks,
    address: SocketAddr,
    cards: &Mutex<HashMap<SocketAddr, NodeDescription>>,
) {
    let card = links
        .call(address, |client, context| async move {
            client.status(context).await
        })
        .await;
    let mut cards = cards.lock().unwrap_or_else(|error| error.into_inner());
    match card {
        Some(card) => cards.insert(address, card),
        None => cards.remove(&address),
    };
}

/// Merges what the near nodes have, or the far ones if none of these answers.
///
/// All of them are asked, because some may have been paused as well.
pub(crate) async fn reread(links: &ControlLinks, view: &ClusterView) {
    let nodes = view.nodes.load_full();
    for group in [&nodes.near, &nodes.far] {
        let reads = group.iter().map(|node| {
            let fetch = fetch_delta(links, node.control_address, &view.replica);
            tokio::time::timeout(REREAD_TIMEOUT, fetch)
        });
        let answers = join_all(reads).await;
        if answers.into_iter().any(|answer| answer == Ok(true)) {
            break;
        }
    }
    view.rereading.store(false, Ordering::Release);
}

/// Merges entries of the node at `address` until nothing is missing; false if
/// it does not answer.
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
        let Some(request) = replica.request(&digest) else {
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

/// Merges the whole configuration of the node at `address`.
pub(crate) async fn fetch_snapshot(
    links: &ControlLinks,
    address: SocketAddr,
    replica: &ConfigReplica,
) -> bool {
    let mut after = None;
    loop {
        let piece = links
            .call(address, |client, context| async move {
                client.config_snapshot(context, after).await
            })
            .await;
        let Some(piece) = piece else { return false };
        let empty = piece.entries.is_empty();
        replica.merge(piece.entries);
        if piece.next.is_none() {
            // A peer that has just started itself proves nothing.
            if !empty {
                replica.set_loaded();
            }
            return !empty;
        }
        after = piece.next;
    }
}
