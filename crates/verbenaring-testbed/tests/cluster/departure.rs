//! Nodes that stop or die, and the directory that names nodes to callers.

use std::time::Duration;

use serde_json::json;
use verbenaring_gateway::config::NodeSettings;
use verbenaring_gateway::node::RunningNode;

use crate::{WAIT_TIMEOUT, answers_chat, centre, client, start, wait_for};

/// VMs that the directory of the node names to callers.
async fn listed_vms(node: &RunningNode) -> Vec<String> {
    let list = client(node).get("/v1/entry").await.json();
    let vms = list["entries"].as_array().cloned().unwrap_or_default();
    let names = vms.iter().filter_map(|entry| entry["vm"].as_str());
    names.map(str::to_owned).collect()
}

/// Guards against callers that are sent to a stopped node: its peers must remove
/// it from their directory while it still serves.
#[tokio::test]
async fn stopping_node_leaves_the_directory_first() {
    let mut deployment = start(vec![centre(3)]).await;
    for node in &deployment.centres[0].nodes {
        wait_for("all nodes are in the directory", || async {
            listed_vms(node).await.len() == 3
        })
        .await;
    }
    let stopped = deployment.centres[0].nodes.remove(1);
    let name = stopped.core().settings.vm.to_string();
    let stopped_client = client(&stopped);
    let stop = tokio::spawn(stopped.stop_after(10 * WAIT_TIMEOUT));
    wait_for("node is not ready", || async {
        stopped_client.get("/readyz").await.status == 503
    })
    .await;
    for node in &deployment.centres[0].nodes {
        wait_for("stopping node is not in the directory", || async {
            !listed_vms(node).await.contains(&name)
        })
        .await;
    }
    assert_eq!(stopped_client.chat("a bung", 5, false).await.status, 200);
    stop.abort();
    deployment.stop().await;
}

/// Guards against callers that are sent to a node that has died.
#[tokio::test]
async fn dead_node_leaves_the_directory() {
    let mut deployment = start(vec![centre(3)]).await;
    for node in &deployment.centres[0].nodes {
        wait_for("all nodes are in the directory", || async {
            listed_vms(node).await.len() == 3
        })
        .await;
    }
    let dead = deployment.centres[0].nodes.remove(1);
    let name = dead.core().settings.vm.to_string();
    dead.stop_after(Duration::ZERO).await;
    for node in &deployment.centres[0].nodes {
        wait_for("dead node is not in the directory", || async {
            !listed_vms(node).await.contains(&name)
        })
        .await;
    }
    deployment.stop().await;
}

/// Guards against callers that are sent to an entry VM whose planned stop has begun,
/// and against a VM that stays out of the directory after the stop was cancelled.
#[tokio::test]
async fn planned_stop_removes_node_from_directory() {
    let deployment = start(vec![centre(2)]).await;
    let nodes = &deployment.centres[0].nodes;
    let name = "dublin-a-vm-1".to_owned();
    let ready = |node| async move { client(node).get("/readyz").await.status == 200 };
    let mut stop = json!({
        "stop": "rack-work", "scope": "vm", "target": name, "from_unix_ms": 0,
    });
    deployment.write("config/stop/rack-work", &stop).await;
    wait_for("stop begins", || async {
        !ready(&nodes[1]).await && !listed_vms(&nodes[0]).await.contains(&name)
    })
    .await;
    assert!(ready(&nodes[0]).await);
    assert!(answers_chat(&nodes[1]).await);
    stop["until_unix_ms"] = json!(1);
    deployment.write("config/stop/rack-work", &stop).await;
    wait_for("stop is cancelled", || async {
        ready(&nodes[1]).await && listed_vms(&nodes[0]).await.contains(&name)
    })
    .await;
    deployment.stop().await;
}

/// Guards against a node that stops without draining: the default drain time must
/// not depend on the list of peers, which is empty shortly after a start.
#[test]
fn stop_drains_by_default() {
    let document = json!({
        "vm": "a", "region": "dublin", "data_centre": "dublin-a",
        "caller_address": "127.0.0.1:1", "peer_address": "127.0.0.1:2",
        "control_address": "127.0.0.1:3", "store_addresses": ["127.0.0.1:4"],
        "cluster_keys": [{ "id": "k1", "secret": "07".repeat(32) }],
    });
    let directory = std::path::Path::new(".");
    let settings = NodeSettings::read(document.to_string().as_bytes(), directory).unwrap();
    assert!(!settings.drain.is_zero());
}
