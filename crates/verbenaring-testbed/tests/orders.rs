//! Orders that the lease holder of a data centre sends to engines: which models to
//! load. Nodes run on a paused clock.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use verbenaring_gateway::order::MAX_MODEL_LOADS;
use verbenaring_gateway::store::PlatformStore;
use verbenaring_testbed::client::{TestClient, chat_body};
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, TestDeployment, contract_document,
};
use verbenaring_testbed::{EngineServer, EngineSettings, StoreFaults};

/// Store key of the lease whose holder gives the orders in `dublin-a`.
const LEASE_KEY: &str = "order/dublin-a";
/// Wait of a new lease holder before its first order to an engine that ignores
/// fencing tokens: TTL of the lease plus transit time.
const SETTLING_TIME: Duration = Duration::from_secs(25);
/// Longer than a takeover of the lease and the settling time after it.
const TAKEOVER_TIME: Duration = Duration::from_secs(60);

/// Starts two nodes; engine 0 checks fencing tokens and engine 1 ignores them.
async fn start() -> TestDeployment {
    let engine = |check_fencing| EngineSettings {
        check_fencing,
        ..EngineSettings::default()
    };
    let centre = CentreSpec {
        nodes: 2,
        engines: vec![engine(true), engine(false)],
        ..CentreSpec::default()
    };
    let spec = DeploymentSpec {
        centres: vec![centre],
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let mut contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin"]);
    contract["models"] = json!(["standin", "large"]);
    deployment.write("config/contract/council", &contract).await;
    deployment
}

fn engine(deployment: &TestDeployment, index: usize) -> &EngineServer {
    &deployment.centres[0].engines[index]
}

/// Fencing tokens of the orders that the engine accepted, in order.
fn fencing_tokens(engine: &EngineServer) -> Vec<i64> {
    let orders = engine.orders();
    orders.iter().map(|order| order.fencing_token).collect()
}

/// Index of the node that holds the lease, and its fencing token.
async fn lease_holder(deployment: &TestDeployment) -> (usize, i64) {
    let lease = deployment.etcd.get(LEASE_KEY).await.unwrap().unwrap();
    let vm = String::from_utf8(lease.value).unwrap();
    let mut nodes = deployment.centres[0].nodes.iter();
    let index = nodes.position(|node| node.core().settings.vm.as_str() == vm);
    (index.unwrap(), lease.revision as i64)
}

/// Writes the document of an engine with the models that it should load.
async fn write_engine_document(deployment: &TestDeployment, index: usize, models: &[&str]) {
    let server = format!("dublin-a-engine-{index}");
    let document = json!({
        "server": server, "region": "dublin", "data_centre": "dublin-a",
        "address": engine(deployment, index).address().to_string(), "kind": "engine",
        "models": models, "checks_fencing": index == 0,
    });
    let key = format!("config/server/dublin-a/{server}");
    deployment.write(&key, &document).await;
}

/// HTTP status of a chat with `model`.
async fn chat_status(deployment: &TestDeployment, node: usize, model: &str) -> u16 {
    let address = deployment.centres[0].nodes[node].caller_address();
    let mut body: Value = serde_json::from_slice(&chat_body("hinge", 4, false)).unwrap();
    body["model"] = json!(model);
    let body = body.to_string().into_bytes();
    let client = TestClient::new(address, CUSTOMER_KEY);
    let path = "/v1/chat/completions";
    let answer = client.send(Method::POST, path, &[], body).await;
    answer.status.as_u16()
}

/// A node without the lease must not give orders, and a stopped holder must be
/// replaced. An engine that has already loaded its models must still learn the new
/// holder's fencing token, or it would accept further orders of the old holder.
#[tokio::test(start_paused = true)]
async fn successor_orders_and_old_holder_is_refused() {
    let mut deployment = start().await;
    sleep(SETTLING_TIME / 2).await;
    assert!(
        fencing_tokens(engine(&deployment, 1)).is_empty(),
        "no order before the settling time"
    );
    sleep(TAKEOVER_TIME).await;
    let (old_holder, old_token) = lease_holder(&deployment).await;
    for index in 0..2 {
        assert_eq!(fencing_tokens(engine(&deployment, index)), [old_token]);
    }

    deployment.centres[0].nodes.remove(old_holder).stop().await;
    sleep(TAKEOVER_TIME).await;
    let (_, new_token) = lease_holder(&deployment).await;
    assert!(new_token > old_token);
    for index in 0..2 {
        assert_eq!(
            fencing_tokens(engine(&deployment, index)),
            [old_token, new_token]
        );
    }
    let client = TestClient::new(engine(&deployment, 0).address(), "");
    let body = json!({ "models": [], "fencing_token": old_token }).to_string();
    let answer = client
        .send(Method::POST, "/v1/orders", &[], body.into_bytes())
        .await;
    assert_eq!(answer.status, 409);
    deployment.stop().await;
}

/// Lost store answers, expired leases and store outages must not let the orders of
/// two holders take effect alternately at any engine.
#[tokio::test(start_paused = true)]
async fn store_faults_give_no_second_holder() {
    for seed in [11, 12, 13] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let deployment = start().await;
        sleep(TAKEOVER_TIME).await;
        for step in 0..12 {
            let faults = StoreFaults {
                lose_answers: rng.random_bool(0.3),
                ignore_keepalives: rng.random_bool(0.5),
                down: rng.random_bool(0.2),
                write_delay: rng.random_bool(0.2).then_some(Duration::from_secs(9)),
                ..StoreFaults::default()
            };
            deployment.store.set_faults(faults);
            sleep(Duration::from_millis(rng.random_range(0..30_000))).await;
            deployment.store.set_faults(StoreFaults::default());
            let models = [["standin", "large"], ["standin", "small"]];
            write_engine_document(&deployment, 0, &models[step % 2]).await;
            // The old holder learns up to one renewal_interval period late that its lease
            // has expired; both holders would order changes made in this time.
            deployment.store.expire_leases();
            for change in 0..6 {
                sleep(Duration::from_millis(rng.random_range(200..700))).await;
                write_engine_document(&deployment, 1, &models[change % 2]).await;
            }
            sleep(Duration::from_millis(rng.random_range(0..50_000))).await;
        }
        for index in 0..2 {
            let tokens = fencing_tokens(engine(&deployment, index));
            assert!(
                tokens.is_sorted(),
                "seed {seed}, engine {index}: {tokens:?}"
            );
            let mut distinct_tokens = tokens.clone();
            distinct_tokens.dedup();
            assert!(distinct_tokens.len() >= 3, "seed {seed}: {tokens:?}");
        }
        deployment.stop().await;
    }
}

/// Both the node that gave the order and the other one must send an engine
/// requests for an added model only after it has loaded the model. Requests for the
/// models loaded before must be served meanwhile.
#[tokio::test(start_paused = true)]
async fn added_model_is_used_once_it_is_loaded() {
    let deployment = start().await;
    write_engine_document(&deployment, 1, &["standin", "large"]).await;
    let before = engine(&deployment, 1).counters();
    for node in 0..2 {
        assert_eq!(chat_status(&deployment, node, "large").await, 503);
        assert_eq!(chat_status(&deployment, node, "standin").await, 200);
    }
    assert_eq!(engine(&deployment, 1).counters().refused, before.refused);
    sleep(TAKEOVER_TIME).await;
    let orders = engine(&deployment, 1).orders();
    assert_eq!(orders.last().unwrap().models, ["standin", "large"]);
    for node in 0..2 {
        assert_eq!(chat_status(&deployment, node, "large").await, 200);
    }

    write_engine_document(&deployment, 1, &["standin"]).await;
    assert_eq!(chat_status(&deployment, 0, "large").await, 503);
    sleep(TAKEOVER_TIME).await;
    let orders = engine(&deployment, 1).orders();
    assert_eq!(orders.last().unwrap().models, ["standin"]);
    deployment.stop().await;
}

/// Orders to engines that take long to load must not exceed the number of
/// concurrent loads that the store of the model weights allows, and an order
/// without an answer must be repeated.
#[tokio::test(start_paused = true)]
async fn loads_stay_within_the_budget() {
    let deployment = start().await;
    let (address, orders, max_open) = silent_engine().await;
    for index in 0..4 {
        let server = format!("silent-{index}");
        let document = json!({
            "server": server, "region": "dublin", "data_centre": "dublin-a",
            "address": address.to_string(), "kind": "engine",
            "models": ["large"], "checks_fencing": true,
        });
        let key = format!("config/server/dublin-a/{server}");
        deployment.write(&key, &document).await;
    }
    sleep(TAKEOVER_TIME * 3).await;
    assert!(orders.load(Ordering::SeqCst) > 4);
    assert_eq!(max_open.load(Ordering::SeqCst), MAX_MODEL_LOADS);
    deployment.stop().await;
}

/// Starts an engine that accepts connections and never answers. Returns its
/// address, the count of orders and the maximum number of orders open at once.
async fn silent_engine() -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let orders = Arc::new(AtomicUsize::new(0));
    let max_open = Arc::new(AtomicUsize::new(0));
    let counters = (
        orders.clone(),
        max_open.clone(),
        Arc::new(AtomicUsize::new(0)),
    );
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let (orders, max_open, open) = counters.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let count = socket.read(&mut buffer).await.unwrap_or(0);
                if buffer[..count].starts_with(b"POST /v1/orders") {
                    orders.fetch_add(1, Ordering::SeqCst);
                    max_open.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    while socket.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
                    open.fetch_sub(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, orders, max_open)
}
