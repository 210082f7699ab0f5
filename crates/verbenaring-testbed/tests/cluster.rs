//! Failures of nodes, the store and engines in deployments of several nodes.

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

#[path = "cluster/departure.rs"]
mod departure;
#[path = "cluster/pause.rs"]
mod pause;
#[path = "cluster/silence.rs"]
mod silence;

const CONTRACT_KEY: &str = "config/contract/council";
/// Timeout of waits for a condition, far above what any condition takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

async fn start(centres: Vec<CentreSpec>) -> TestDeployment {
    let spec = DeploymentSpec {
        centres,
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    deployment.write(CONTRACT_KEY, &contract()).await;
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

/// Polls until `condition` holds; panics with `description` after `WAIT_TIMEOUT`.
async fn wait_for<F: Future<Output = bool>>(description: &str, condition: impl Fn() -> F) {
    let poll = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let result = tokio::time::timeout(WAIT_TIMEOUT, poll).await;
    result.unwrap_or_else(|_| panic!("not met within {WAIT_TIMEOUT:?}: {description}"));
}

async fn answers_chat(node: &RunningNode) -> bool {
    let answer = client(node).chat("a bung", 5, true).await;
    answer.chat_text() == expected_answer("a bung", 5) && !answer.broken
}

async fn book(node: &RunningNode) -> TestAnswer {
    let key = Uuid::now_v7().to_string();
    client(node).book(&key, "fit an awning").await
}

/// Models of the contract in force, by which tests tell its versions apart.
fn models_in_force(node: &RunningNode) -> Vec<String> {
    let catalog = node.core().catalog.load();
    let entry = catalog.contract_of("council").unwrap();
    entry.terms.models.iter().map(ToString::to_string).collect()
}

fn store_down() -> StoreFaults {
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

/// Binds the addresses of a stopped node; retries while they are still in use.
async fn bind_again(settings: &NodeSettings) -> BoundNode {
    let bind = async {
        loop {
            match BoundNode::bind(settings.clone()).await {
                Ok(bound) => return bound,
                Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    };
    let bound = tokio::time::timeout(WAIT_TIMEOUT, bind).await;
    bound.expect("addresses must become free within the timeout")
}

/// Guards against a node that misses changes because it has no watch on the store.
#[tokio::test]
async fn node_without_watch_learns_from_peers() {
    let deployment = start(vec![centre(4)]).await;
    wait_for("only two nodes watch the store", || async {
        deployment.store.counters().open_watches == 2
    })
    .await;
    let opened_before = deployment.store.counters().watches_opened;
    let mut changed = contract();
    changed["models"] = json!(["standin", "updated"]);
    deployment.write(CONTRACT_KEY, &changed).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models_in_force(node), ["standin", "updated"]);
    }
    assert_eq!(deployment.store.counters().watches_opened, opened_before);
    deployment.stop().await;
}

/// Guards against a store outage that stops chats, runs bookings without a claim,
/// keeps a new node from becoming ready, or loses a change made after it.
#[tokio::test]
async fn store_outage_stops_only_claims_and_changes() {
    let mut deployment = start(vec![centre(2)]).await;
    assert_eq!(book(deployment.node(0)).await.status, 200);
    deployment.store.set_faults(store_down());
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
    let written = deployment.etcd.get(CONTRACT_KEY).await;
    assert!(written.is_err(), "operators cannot write while it is down");
    deployment.store.set_faults(StoreFaults::default());
    deployment.write(CONTRACT_KEY, &changed).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models_in_force(node), ["standin", "updated"]);
        assert_eq!(book(node).await.status, 200);
    }
    deployment.stop().await;
}

/// Guards against a node that never becomes ready because the store and the peers
/// that it asks first are down.
#[tokio::test]
async fn snapshot_is_taken_from_any_peer() {
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        ..CentreSpec::default()
    };
    let mut deployment = start(vec![centre(1), cork]).await;
    deployment.store.set_faults(store_down());
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

/// Guards against a node that, before it has loaded its configuration, refuses
/// valid keys as unknown or passes an incomplete configuration on as complete.
#[tokio::test]
async fn node_without_configuration_is_not_ready() {
    let mut deployment = start(vec![centre(1)]).await;
    deployment.store.set_faults(store_down());
    let node = deployment.centres[0].nodes.remove(0);
    let node = restart(node).await;
    let key = CONTRACT_KEY.to_owned();
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

/// Guards against an unreadable document that affects others or is put in force.
#[tokio::test]
async fn unreadable_document_affects_no_other() {
    let deployment = start(vec![centre(2)]).await;
    let stored = deployment.etcd.get(CONTRACT_KEY).await.unwrap().unwrap();
    let request = SwapRequest {
        key: CONTRACT_KEY.to_owned(),
        condition: SwapCondition::Revision(stored.revision),
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
        assert_eq!(catalog.invalid_documents()[0].key, CONTRACT_KEY);
    }
    let mut repaired = contract();
    repaired["models"] = json!(["standin", "updated"]);
    deployment.write(CONTRACT_KEY, &repaired).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models_in_force(node), ["standin", "updated"]);
        assert!(node.core().catalog.load().invalid_documents().is_empty());
    }
    deployment.stop().await;
}

/// Guards against an old entry that arrives late and replaces a newer one.
#[tokio::test]
async fn late_revision_never_reverts() {
    let mut deployment = start(vec![centre(2)]).await;
    let old_value = deployment.etcd.get(CONTRACT_KEY).await.unwrap().unwrap();
    deployment.store.set_faults(StoreFaults {
        extra_latency: Duration::from_millis(200),
        ..StoreFaults::default()
    });
    // The restarted node reads the store slowly while its peer receives changes.
    let node = deployment.centres[0].nodes.remove(1);
    let node = restart(node).await;
    deployment.centres[0].nodes.push(node);
    let mut newest_revision = 0;
    for version in ["version-a", "version-b", "version-c"] {
        let mut changed = contract();
        changed["models"] = json!(["standin", version]);
        newest_revision = deployment.write(CONTRACT_KEY, &changed).await;
        for node in &deployment.centres[0].nodes {
            assert_eq!(models_in_force(node), ["standin", version]);
            let late_entry = decode_entry(CONTRACT_KEY, old_value.revision, Some(&old_value.value));
            assert!(!node.core().replica.merge([late_entry]));
            assert_eq!(models_in_force(node), ["standin", version]);
        }
    }
    deployment.store.set_faults(StoreFaults::default());
    let node = deployment.centres[0].nodes.remove(0);
    let node = restart(node).await;
    deployment.centres[0].nodes.push(node);
    deployment.wait_in_force(newest_revision).await;
    for node in &deployment.centres[0].nodes {
        assert_eq!(models_in_force(node), ["standin", "version-c"]);
    }
    deployment.stop().await;
}

/// Guards against a prompt that crashes one engine after another.
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
    let is_quarantined = |node| async move {
        let answer = client(node).chat("a spanner", 5, false).await;
        assert_ne!(answer.status, 200);
        answer.json()["error"]["code"] == "request_quarantined"
    };
    wait_for("prompt is quarantined", || is_quarantined(nodes[0])).await;
    for node in &nodes {
        wait_for("prompt is quarantined on all nodes", || async {
            let reports = node.core().backends.suspect_reports();
            reports.iter().any(|report| report.crashes.len() >= 3)
        })
        .await;
        assert!(is_quarantined(node).await);
    }
    let all_engines = centres.iter().flat_map(|centre| &centre.engines);
    let crashes: u64 = all_engines.map(|engine| engine.counters().crashes).sum();
    assert!(crashes <= 3, "{crashes} crashes");
    for node in &nodes {
        assert!(answers_chat(node).await);
    }
    deployment.stop().await;
}

/// Guards against nodes that each grant the whole limit of a contract.
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
    let started = Instant::now();
    let answers = send("rare-key", 200, 1).await;
    // Before the first request, the rate accumulates for up to 1 s.
    let limit = 10.0 * (1.0 + started.elapsed().as_secs_f64());
    let count = accepted(&answers);
    assert!(count >= 1 && count as f64 <= limit, "{count} of {limit}");
    deployment.stop().await;
}

/// Guards against new requests to an engine whose planned stop has begun.
#[tokio::test]
async fn planned_stop_keeps_requests_off_the_engine() {
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

/// Guards against an error event that is lost because the connection then closes.
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
