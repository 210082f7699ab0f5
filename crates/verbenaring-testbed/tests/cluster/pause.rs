//! A node whose process is paused while a contract is replaced.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::json;
use verbenaring_gateway::config::NodeSettings;
use verbenaring_gateway::node::RunningNode;
use verbenaring_policy::id::VmId;
use verbenaring_policy::rendezvous::rendezvous;
use verbenaring_testbed::client::{TestClient, chat_body};
use verbenaring_testbed::deployment::CUSTOMER_KEY;

use crate::{CONTRACT_KEY, bind_again, centre, contract, start, wait_for};

/// Node on a thread of its own, which can be blocked like a paused process.
struct PausableNode {
    resume: std::sync::mpsc::Sender<()>,
    pause: tokio::sync::mpsc::Sender<()>,
}

impl PausableNode {
    fn start(settings: NodeSettings) -> Self {
        let (resume, resumed) = std::sync::mpsc::channel::<()>();
        let (pause, mut paused) = tokio::sync::mpsc::channel(1);
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .unwrap();
            runtime.block_on(async move {
                let _node = bind_again(&settings).await.start();
                while paused.recv().await.is_some() {
                    let _ = resumed.recv();
                }
            });
        });
        Self { resume, pause }
    }
}

fn vm_of(node: &RunningNode) -> VmId {
    node.core().settings.vm.clone()
}

/// HTTP status of a chat; `None` if the node accepts no connection.
async fn chat_status(address: SocketAddr) -> Option<u16> {
    let client = TestClient::new(address, CUSTOMER_KEY);
    let body = chat_body("a bung", 5, false);
    let path = "/v1/chat/completions";
    let answer = client.open(Method::POST, path, &[], body).await;
    answer.map(|answer| answer.status().as_u16()).ok()
}

/// Guards against a node that resumes after a pause and serves under a contract
/// that was replaced meanwhile.
#[tokio::test]
async fn paused_node_reads_configuration_before_it_serves() {
    let mut deployment = start(vec![centre(4)]).await;
    // Pauses a node without a watch on the store, since a watch could deliver the
    // change as soon as the node resumes.
    let nodes = &deployment.centres[0].nodes;
    let vms: Vec<VmId> = nodes.iter().map(vm_of).collect();
    let watching_vms = rendezvous("configuration watcher", &vms, 2);
    let has_no_watch = |node| !watching_vms.contains(&&vm_of(node));
    let position = nodes.iter().position(has_no_watch).unwrap();
    let node = deployment.centres[0].nodes.remove(position);
    let settings = node.core().settings.clone();
    node.stop().await;
    let address = settings.caller_address;
    let node = PausableNode::start(settings);
    wait_for("node serves", || async {
        chat_status(address).await == Some(200)
    })
    .await;
    wait_for("only two nodes watch the store", || async {
        deployment.store.counters().open_watches == 2
    })
    .await;
    node.pause.send(()).await.unwrap();
    let mut changed = contract();
    changed["models"] = json!(["another"]);
    deployment.write(CONTRACT_KEY, &changed).await;
    // A node detects a pause only from 2 s on.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let waiting = tokio::spawn(chat_status(address));
    // The request must reach the paused node before the node resumes.
    tokio::time::sleep(Duration::from_millis(50)).await;
    node.resume.send(()).unwrap();
    assert_ne!(waiting.await.unwrap(), Some(200));
    deployment.stop().await;
}
