//! Failures of nodes, store and engines that several nodes must survive together.

use std::future::Future;
use std::time::Duration;

use futures::future::join_all;
use serde_json::{Value, json};
use tokio::time::Instant;
use uuid::Uuid;
use verbenaring_gateway::config::NodeSettings;
use verbenaring_gateway::node::{BoundNode, RunningNode};
use verbenaring_gateway::store::{PlatformStore, SwapCondition, SwapRequest};
use verbenaring_protocol::stored::decode_entry;
use verbenaring_testbed::client::{TestAnswer, TestClient};
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, TestDeployment, contract_document,
};
use verbenaring_testbed::{EngineFaults, EngineSettings, StoreFaults, expected_answer};

#[path = "cluster/pause.rs"]
mod pause;

const CONTRACT: &str = "config/contract/council";
/// Bound of waits for a condition; far above what the condition takes.
const LIMIT: Duration = Duration::from_secs(60);

async fn start(centres: Vec<CentreSpec>) -> TestDeployment {
    let spec = DeploymentSpec {
        centres,
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    deployment.write(CONTRACT, &contract()).await;
    deployment
}

fn centre(nodes: usize) -> CentreSpec {
    CentreSpec {
        nodes,
        services: vec!["jobs"],
        ..CentreSpec::default()
    }
}

fn contract() -> Value {
    contract_document("council", CUSTOMER_KEY, "dublin", &["dublin", "cork"])
}

fn client(node: &RunningNode) -> TestClient {
    TestClient::new(node.caller_address(), CUSTOMER_KEY)
}

/// Polls until `condition` holds.
async fn wait_for<F: Future<Output = bool>>(what: &str, condition: impl Fn() -> F) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(LIMIT, poll).await;
    result.unwrap_or_else(|_| panic!("{what} within {LIMIT:?}"));
}

async fn answers_chat(node: &RunningNode) -> bool {
    let answer = client(node).chat("a bung", 5, true).await;
    answer.chat_text() == expected_answer("a bung", 5) && !answer.broken
}

async fn book(node: &RunningNode) -> TestAnswer {
    let key = Uuid::now_v7().to_string();
    client(node).book(&key, "fit an awning").await
}

/// Models of the contract in force, which tests use as its version.
fn models(node: &RunningNode) -> Vec<String> {
    let catalog = node.core().catalog.load();
    let entry = catalog.contract_of("council").unwrap();
    entry.terms.models.iter().map(ToString::to_string).collect()
}

fn stop_faults() -> StoreFaults {
    StoreFaults {
        down: true,
        ..StoreFaults::default()
    }
}

/// Stops a node and starts a new one of the same name and addresses.
async fn restart(node: RunningNode) -> RunningNode {
    let settings = node.core().settings.clone();
    node.stop().await;
    bind_again(&settings).await.start()
}

/// Binds the addresses of a node that has just stopped.
async fn bind_again(settings: &NodeSettings) -> BoundNode {
    let bind = async {
        loop {
            match BoundNode::bind(settings.clone()).await {
                Ok(bound) => return bound,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    };
    let bound = tokio::time::timeout(LIMIT, bind).await;
    bound.expect("the addresses become free")
}

/// Guards against a node without a watch on the store that misses changes.
#[tokio::test]
async fn node_without_watch_learns_from_peers() {
    let deployment = start(vec![centre(4)]).await;
    wait_for("two watches are left", || async {
        deployment.store.counters().open_watches == 2
    })
    .await;
    let opened = deployment.store.counters().watches_opened;
    let mut changed = contract();
    changed["models"] = json!(["standin", "updated"]);
    deployment.write(CONTRACT, &changed).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models(node), ["standin", "updated"]);
    }
    assert_eq!(deployment.store.counters().watches_opened, opened);
    deployment.stop().await;
}

/// Guards against a store outage that stops chats, runs bookings without a
/// claim, keeps a new node from starting, or swallows a change.
#[tokio::test]
async fn store_outage_stops_only_claims_and_changes() {
    let mut deployment = start(vec![centre(2)]).await;
    assert_eq!(book(deployment.node(0)).await.status, 200);
    deployment.store.set_faults(stop_faults());
    let node = deployment.centres[0].nodes.remove(1);
    let node = restart(node).await;
    deployment.centres[0].nodes.push(node);
    for node in &deployment.centres[0].nodes {
        wait_for("node is ready", || async {
            client(node).get("/readyz").await.status == 200
        })
        .await;
        assert!(answers_chat(node).await);
        let refused = book(node).await;
        assert_eq!(refused.status, 503);
        assert_eq!(refused.header("x-verbenaring-outcome"), "not_run");
    }
    assert_eq!(deployment.centres[0].services[0].calls().len(), 1);

    let mut changed = contract();
    changed["models"] = json!(["standin", "updated"]);
    let written = deployment.etcd.get(CONTRACT).await;
    assert!(written.is_err(), "operators cannot amend while it is down");
    deployment.store.set_faults(StoreFaults::default());
    deployment.write(CONTRACT, &changed).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models(node), ["standin", "updated"]);
        assert_eq!(book(node).await.status, 200);
    }
    deployment.stop().await;
}

/// Guards against a node that never becomes ready because the peers that it
/// asks first are down, and the store as well.
#[tokio::test]
async fn snapshot_is_taken_from_any_peer() {
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        ..CentreSpec::default()
    };
    let mut deployment = start(vec![centre(1), cork]).await;
    deployment.store.set_faults(stop_faults());
    let node = deployment.centres[0].nodes.remove(0);
    let node = restart(node).await;
    wait_for("node is ready", || async {
        client(&node).get("/readyz").await.status == 200
    })
    .await;
    assert!(answers_chat(&node).await);
    deployment.centres[0].nodes.push(node);
    deployment.stop().await;
}

/// Guards against a node that refuses valid keys as unknown, or passes on an
/// incomplete configuration as whole, before it has loaded its own.
#[tokio::test]
async fn node_without_configuration_claims_nothing() {
    let mut deployment = start(vec![centre(1)]).await;
    deployment.store.set_faults(stop_faults());
    let node = deployment.centres[0].nodes.remove(0);
    let node = restart(node).await;
    let key = CONTRACT.to_owned();
    node.core().replica.merge([decode_entry(&key, 1, None)]);
    assert!(node.core().replica.snapshot(None).entries.is_empty());
    assert_eq!(client(&node).get("/readyz").await.status, 503);
    let refused = client(&node).chat("a bung", 5, false).await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("x-verbenaring-outcome"), "not_run");
    deployment.store.set_faults(StoreFaults::default());
    wait_for("node is ready", || async { answers_chat(&node).await }).await;
    deployment.centres[0].nodes.push(node);
    deployment.stop().await;
}

/// Guards against one unreadable document that harms others or is put in force.
#[tokio::test]
async fn unreadable_document_harms_no_other() {
    let deployment = start(vec![centre(2)]).await;
    let current = deployment.etcd.get(CONTRACT).await.unwrap().unwrap();
    let request = SwapRequest {
        key: CONTRACT.to_owned(),
        condition: SwapCondition::Revision(current.revision),
        value: Some(b"{ \"change\": ".to_vec()),
        lease: 0,
    };
    deployment.etcd.swap(&[request]).await.unwrap();
    let other = contract_document("guild", "guild-key", "dublin", &["dublin"]);
    deployment.write("config/contract/guild", &other).await;
    for node in &deployment.centres[0].nodes {
        assert!(answers_chat(node).await);
        let guild = TestClient::new(node.caller_address(), "guild-key");
        assert_eq!(guild.chat("a bung", 5, false).await.status, 200);
        let catalog = node.core().catalog.load_full();
        assert_eq!(catalog.faults()[0].key, CONTRACT);
    }
    let mut repaired = contract();
    repaired["models"] = json!(["standin", "updated"]);
    deployment.write(CONTRACT, &repaired).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models(node), ["standin", "updated"]);
        assert!(node.core().catalog.load().faults().is_empty());
    }
    deployment.stop().await;
}

/// Guards against an old entry that arrives late and reverts a newer one.
#[tokio::test]
async fn late_revision_never_reverts() {
    let mut deployment = start(vec![centre(2)]).await;
    let old = deployment.etcd.get(CONTRACT).await.unwrap().unwrap();
    deployment.store.set_faults(StoreFaults {
        extra_latency: Duration::from_millis(200),
        ..StoreFaults::default()
    });
    // The new node reads the store slowly while its peer follows the changes.
    let node = deployment.centres[0].nodes.remove(1);
    let node = restart(node).await;
    deployment.centres[0].nodes.push(node);
    let mut newest = 0;
    for version in ["version-a", "version-b", "version-c"] {
        let mut changed = contract();
        changed["models"] = json!(["standin", version]);
        newest = deployment.write(CONTRACT, &changed).await;
        for node in &deployment.centres[0].nodes {
            assert_eq!(models(node), ["standin", version]);
            let late = decode_entry(CONTRACT, old.revision, Some(&old.value));
            assert!(!node.core().replica.merge([late]));
            assert_eq!(models(node), ["standin", version]);
        }
    }
    deployment.store.set_faults(StoreFaults::default());
    let node = deployment.centres[0].nodes.remove(0);
    let node = restart(node).await;
    deployment.centres[0].nodes.push(node);
    deployment.wait_in_force(newest).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models(node), ["standin", "version-c"]);
    }
    deployment.stop().await;
}

async fn entries(node: &RunningNode) -> Vec<String> {
    let list = client(node).get("/v1/entry").await.json();
    let entries = list["entries"].as_array().cloned().unwrap_or_default();
    let names = entries.iter().filter_map(|entry| entry["vm"].as_str());
    names.map(str::to_owned).collect()
}

/// Guards against callers that are sent to a node that has stopped: its
/// neighbours must cease to name it while it still serves.
#[tokio::test]
async fn stopping_node_leaves_the_directory_first() {
    let mut deployment = start(vec![centre(3)]).await;
    for node in &deployment.centres[0].nodes {
        wait_for("all nodes are named", || async {
            entries(node).await.len() == 3
        })
        .await;
    }
    let stopped = deployment.centres[0].nodes.remove(1);
    let name = stopped.core().settings.vm.to_string();
    let stopped_client = client(&stopped);
    let stop = tokio::spawn(stopped.stop_after(10 * LIMIT));
    wait_for("node is not ready", || async {
        stopped_client.get("/readyz").await.status == 503
    })
    .await;
    for node in &deployment.centres[0].nodes {
        wait_for("stopping node is not named", || async {
            !entries(node).await.contains(&name)
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
        wait_for("all nodes are named", || async {
            entries(node).await.len() == 3
        })
        .await;
    }
    let dead = deployment.centres[0].nodes.remove(1);
    let name = dead.core().settings.vm.to_string();
    dead.stop_after(Duration::ZERO).await;
    for node in &deployment.centres[0].nodes {
        wait_for("dead node is not named", || async {
            !entries(node).await.contains(&name)
        })
        .await;
    }
    deployment.stop().await;
}

/// Guards against callers that are still sent to an entry VM whose planned stop
/// has begun, and against one that stays out after the stop was called off.
#[tokio::test]
async fn planned_stop_of_a_node_leads_callers_away() {
    let deployment = start(vec![centre(2)]).await;
    let nodes = &deployment.centres[0].nodes;
    let name = "dublin-a-vm-1".to_owned();
    let ready = |node| async move { client(node).get("/readyz").await.status == 200 };
    let mut stop = json!({
        "stop": "rack-work", "scope": "vm", "target": name, "from_unix_ms": 0,
    });
    deployment.write("config/stop/rack-work", &stop).await;
    wait_for("stop begins", || async {
        !ready(&nodes[1]).await && !entries(&nodes[0]).await.contains(&name)
    })
    .await;
    assert!(ready(&nodes[0]).await);
    assert!(answers_chat(&nodes[1]).await);
    stop["until_unix_ms"] = json!(1);
    deployment.write("config/stop/rack-work", &stop).await;
    wait_for("stop is called off", || async {
        ready(&nodes[1]).await && entries(&nodes[0]).await.contains(&name)
    })
    .await;
    deployment.stop().await;
}

/// Guards against a stop without notice: the drain time must not depend on the
/// list of neighbours, which is empty shortly after a start.
#[test]
fn stop_gives_notice_by_default() {
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

/// Guards against a prompt that crashes one engine after the other.
#[tokio::test]
async fn crashing_prompt_is_quarantined_everywhere() {
    let engines = vec![EngineSettings::default(); 4];
    let dublin = CentreSpec {
        engines: engines.clone(),
        ..centre(2)
    };
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        engines,
        ..CentreSpec::default()
    };
    let deployment = start(vec![dublin, cork]).await;
    let centres = &deployment.centres;
    for engine in centres.iter().flat_map(|centre| &centre.engines) {
        engine.set_faults(EngineFaults {
            crash_marker: Some("spanner".into()),
            ..EngineFaults::default()
        });
    }
    let nodes: Vec<&RunningNode> = centres.iter().flat_map(|centre| &centre.nodes).collect();
    let is_refused = |node| async move {
        let answer = client(node).chat("a spanner", 5, false).await;
        assert_ne!(answer.status, 200);
        answer.json()["error"]["code"] == "request_quarantined"
    };
    wait_for("prompt is quarantined", || is_refused(nodes[0])).await;
    for node in &nodes {
        wait_for("prompt is quarantined on all nodes", || async {
            let reports = node.core().backends.suspect_reports();
            reports.iter().any(|report| report.crashes.len() >= 3)
        })
        .await;
        assert!(is_refused(node).await);
    }
    let all = centres.iter().flat_map(|centre| &centre.engines);
    let crashes: u64 = all.map(|engine| engine.counters().crashes).sum();
    assert!(crashes <= 3, "{crashes} crashes");
    for node in &nodes {
        assert!(answers_chat(node).await);
    }
    deployment.stop().await;
}

/// Guards against two nodes that each grant the whole contract.
#[tokio::test]
async fn limits_hold_over_two_nodes() {
    let slow = EngineSettings {
        slots: 64,
        tokens_per_s: 20.0,
        ..EngineSettings::default()
    };
    let spec = CentreSpec {
        engines: vec![slow],
        ..centre(2)
    };
    let deployment = start(vec![spec]).await;
    let nodes = &deployment.centres[0].nodes;
    let mut limited = contract_document("few", "few-key", "dublin", &["dublin"]);
    limited["limits"]["concurrent"] = json!(4);
    deployment.write("config/contract/few", &limited).await;
    let send = |key: &'static str, count: usize, tokens: u32| async move {
        let calls = (0..count).map(|index| async move {
            let client = TestClient::new(nodes[index % 2].caller_address(), key);
            client.chat(&format!("call {index}"), tokens, true).await
        });
        join_all(calls).await
    };
    let accepted = |answers: &[TestAnswer]| {
        let refused = answers.iter().filter(|answer| answer.status != 200);
        for answer in refused.clone() {
            assert_eq!(answer.status, 429);
            assert_eq!(answer.header("x-verbenaring-outcome"), "not_run");
        }
        answers.len() - refused.count()
    };
    // All calls are sent at once and each accepted one takes 2 s.
    assert_eq!(accepted(&send("few-key", 20, 40).await), 4);

    limited["limits"]["concurrent"] = json!(1000);
    limited["limits"]["requests_per_s"] = json!(10.0);
    limited["customer"] = json!("rare");
    limited["keys"] = contract_document("rare", "rare-key", "dublin", &["dublin"])["keys"].clone();
    deployment.write("config/contract/rare", &limited).await;
    let sent = Instant::now();
    let answers = send("rare-key", 200, 1).await;
    // The rate accumulates for 1 s before the first request.
    let most = 10.0 * (1.0 + sent.elapsed().as_secs_f64());
    let count = accepted(&answers);
    assert!(count >= 1 && count as f64 <= most, "{count} of {most}");
    deployment.stop().await;
}

/// Guards against new work on an engine whose stop is planned.
#[tokio::test]
async fn planned_stop_keeps_work_away() {
    let spec = CentreSpec {
        engines: vec![EngineSettings::default(); 2],
        ..centre(2)
    };
    let deployment = start(vec![spec]).await;
    let stop = json!({
        "stop": "repair", "scope": "server", "target": "dublin-a-engine-0", "from_unix_ms": 0,
    });
    deployment.write("config/stop/repair", &stop).await;
    let before = deployment.centres[0].engines[0].counters().started;
    for round in 0..10 {
        for node in &deployment.centres[0].nodes {
            let answer = client(node).chat(&format!("round {round}"), 5, true).await;
            assert_eq!(
                answer.chat_text(),
                expected_answer(&format!("round {round}"), 5)
            );
        }
    }
    assert_eq!(deployment.centres[0].engines[0].counters().started, before);
    assert!(deployment.centres[0].engines[1].counters().started >= 20);
    deployment.stop().await;
}

/// Guards against an error event that is lost when the connection closes
/// right after it.
#[tokio::test]
async fn broken_stream_ends_with_an_error_event() {
    let engine = EngineSettings {
        resume: false,
        ..EngineSettings::default()
    };
    let spec = CentreSpec {
        engines: vec![engine],
        ..centre(1)
    };
    let deployment = start(vec![spec]).await;
    for round in 0..5 {
        deployment.centres[0].engines[0].set_faults(EngineFaults {
            crash: Some(verbenaring_testbed::CrashPoint::AfterTokens(3)),
            ..EngineFaults::default()
        });
        let prompt = format!("round {round}");
        let answer = client(deployment.node(0)).chat(&prompt, 50, true).await;
        assert!(answer.broken);
        let last = answer.events().pop().unwrap_or_default();
        assert!(last.contains("stream_broken"), "{last}");
        wait_for("engine is back", || answers_chat(deployment.node(0))).await;
    }
    deployment.stop().await;
}
