//! A node whose process is paused while its contract is replaced.

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

use crate::{CONTRACT, bind_again, centre, contract, start, wait_for};

/// Node in a thread of its own, which can be held up like a paused process.
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

fn name_of(node: &RunningNode) -> VmId {
    node.core().settings.vm.clone()
}

/// Status of a chat; none if the connection is not accepted.
async fn chat_status(address: SocketAddr) -> Option<u16> {
    let client = TestClient::new(address, CUSTOMER_KEY);
    let body = chat_body("a bung", 5, false);
    let path = "/v1/chat/completions";
    let answer = client.open(Method::POST, path, &[], body).await;
    answer.map(|answer| answer.status().as_u16()).ok()
}

/// Guards against a node that wakes from a pause and serves under a contract
/// that was replaced meanwhile.
#[tokio::test]
async fn paused_node_reads_configuration_before_it_serves() {
    let mut deployment = start(vec![centre(4)]).await;
    // A node that follows the store may hear of the change at once.
    let nodes = &deployment.centres[0].nodes;
    let names: Vec<VmId> = nodes.iter().map(name_of).collect();
    let watchers = rendezvous("configuration watcher", &names, 2);
    let is_follower = |node| !watchers.contains(&&name_of(node));
    let position = nodes.iter().position(is_follower).unwrap();
    let node = deployment.centres[0].nodes.remove(position);
    let settings = node.core().settings.clone();
    node.stop().await;
    let address = settings.caller_address;
    let node = PausableNode::start(settings);
    wait_for("node serves", || async {
        chat_status(address).await == Some(200)
    })
    .await;
    wait_for("two watches are left", || async {
        deployment.store.counters().open_watches == 2
    })
    .await;
    node.pause.send(()).await.unwrap();
    let mut changed = contract();
    changed["models"] = json!(["another"]);
    deployment.write(CONTRACT, &changed).await;
    // The pause must be longer than the 2 s from which it is noticed.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let waiting = tokio::spawn(chat_status(address));
    // The request waits at the paused node before that goes on.
    tokio::time::sleep(Duration::from_millis(50)).await;
    node.resume.send(()).unwrap();
    assert_ne!(waiting.await.unwrap(), Some(200));
    deployment.stop().await;
}
