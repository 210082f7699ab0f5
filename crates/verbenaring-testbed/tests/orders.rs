//! Orders to engines by real nodes on a paused clock.

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

const LEASE_KEY: &str = "order/dublin-a";
/// TTL plus transit time: the wait before orders to engines that ignore tokens.
const SETTLING: Duration = Duration::from_secs(25);
/// Longer than a takeover and the settling time after it.
const TAKEOVER: Duration = Duration::from_secs(60);

/// Two nodes; engine 0 checks tokens and engine 1 ignores them.
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

fn tokens(engine: &EngineServer) -> Vec<i64> {
    let orders = engine.orders();
    orders.iter().map(|order| order.fencing_token).collect()
}

/// Index of the node that holds the lease, with its token.
async fn holder(deployment: &TestDeployment) -> (usize, i64) {
    let held = deployment.etcd.get(LEASE_KEY).await.unwrap().unwrap();
    let vm = String::from_utf8(held.value).unwrap();
    let mut nodes = deployment.centres[0].nodes.iter();
    let index = nodes.position(|node| node.core().settings.vm.as_str() == vm);
    (index.unwrap(), held.revision as i64)
}

async fn write_engine(deployment: &TestDeployment, index: usize, models: &[&str]) {
    let server = format!("dublin-a-engine-{index}");
    let document = json!({
        "server": server, "region": "dublin", "data_centre": "dublin-a",
        "address": engine(deployment, index).address().to_string(), "kind": "engine",
        "models": models, "checks_fencing": index == 0,
    });
    let key = format!("config/server/dublin-a/{server}");
    deployment.write(&key, &document).await;
}

async fn ask(deployment: &TestDeployment, node: usize, model: &str) -> u16 {
    let address = deployment.centres[0].nodes[node].caller_address();
    let mut body: Value = serde_json::from_slice(&chat_body("hinge", 4, false)).unwrap();
    body["model"] = json!(model);
    let body = body.to_string().into_bytes();
    let client = TestClient::new(address, CUSTOMER_KEY);
    let path = "/v1/chat/completions";
    let answer = client.send(Method::POST, path, &[], body).await;
    answer.status.as_u16()
}

/// A node without the lease must not order, a stopped holder must be replaced,
/// and an engine in its desired state must learn the successor's token, or it
/// would still accept the orders of the old holder.
#[tokio::test(start_paused = true)]
async fn successor_orders_and_old_holder_is_refused() {
    let mut deployment = start().await;
    sleep(SETTLING / 2).await;
    assert!(tokens(engine(&deployment, 1)).is_empty(), "must wait");
    sleep(TAKEOVER).await;
    let (first, old) = holder(&deployment).await;
    for index in 0..2 {
        assert_eq!(tokens(engine(&deployment, index)), [old]);
    }

    deployment.centres[0].nodes.remove(first).stop().await;
    sleep(TAKEOVER).await;
    let (_, new) = holder(&deployment).await;
    assert!(new > old);
    for index in 0..2 {
        assert_eq!(tokens(engine(&deployment, index)), [old, new]);
    }
    let client = TestClient::new(engine(&deployment, 0).address(), "");
    let body = json!({ "models": [], "fencing_token": old }).to_string();
    let answer = client
        .send(Method::POST, "/v1/orders", &[], body.into_bytes())
        .await;
    assert_eq!(answer.status, 409);
    deployment.stop().await;
}

/// Lost answers, lapsed leases and outages must not let the orders of two
/// holders take effect in turn at any engine.
#[tokio::test(start_paused = true)]
async fn faults_of_the_store_give_no_second_holder() {
    for seed in [11, 12, 13] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let deployment = start().await;
        sleep(TAKEOVER).await;
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
            write_engine(&deployment, 0, &models[step % 2]).await;
            // The old holder learns of the lapse up to one renewal period late;
            // changes in this time are what both holders would order.
            deployment.store.expire_leases();
            for change in 0..6 {
                sleep(Duration::from_millis(rng.random_range(200..700))).await;
                write_engine(&deployment, 1, &models[change % 2]).await;
            }
            sleep(Duration::from_millis(rng.random_range(0..50_000))).await;
        }
        for index in 0..2 {
            let tokens = tokens(engine(&deployment, index));
            assert!(
                tokens.is_sorted(),
                "seed {seed}, engine {index}: {tokens:?}"
            );
            let mut holders = tokens.clone();
            holders.dedup();
            assert!(holders.len() >= 3, "seed {seed}: {tokens:?}");
        }
        deployment.stop().await;
    }
}

/// A model must get requests only after the engine has loaded it, on the node
/// that gave the order and on the other one; the loaded model is served on.
#[tokio::test(start_paused = true)]
async fn added_model_is_used_once_it_is_loaded() {
    let deployment = start().await;
    write_engine(&deployment, 1, &["standin", "large"]).await;
    let before = engine(&deployment, 1).counters();
    for node in 0..2 {
        assert_eq!(ask(&deployment, node, "large").await, 503);
        assert_eq!(ask(&deployment, node, "standin").await, 200);
    }
    assert_eq!(engine(&deployment, 1).counters().refused, before.refused);
    sleep(TAKEOVER).await;
    let orders = engine(&deployment, 1).orders();
    assert_eq!(orders.last().unwrap().models, ["standin", "large"]);
    for node in 0..2 {
        assert_eq!(ask(&deployment, node, "large").await, 200);
    }

    write_engine(&deployment, 1, &["standin"]).await;
    assert_eq!(ask(&deployment, 0, "large").await, 503);
    sleep(TAKEOVER).await;
    let orders = engine(&deployment, 1).orders();
    assert_eq!(orders.last().unwrap().models, ["standin"]);
    deployment.stop().await;
}

/// Engines that take long to load must not exceed the budget of the weight
/// store, and an order without an answer must be repeated.
#[tokio::test(start_paused = true)]
async fn loads_stay_within_the_budget() {
    let deployment = start().await;
    let (address, orders, most) = silent_engine().await;
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
    sleep(TAKEOVER * 3).await;
    assert!(orders.load(Ordering::SeqCst) > 4);
    assert_eq!(most.load(Ordering::SeqCst), MAX_MODEL_LOADS);
    deployment.stop().await;
}

/// Accepts calls and never answers; counts orders and the most open at once.
async fn silent_engine() -> (SocketAddr, Arc<AtomicUsize>, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let orders = Arc::new(AtomicUsize::new(0));
    let most = Arc::new(AtomicUsize::new(0));
    let counters = (orders.clone(), most.clone(), Arc::new(AtomicUsize::new(0)));
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let (orders, most, open) = counters.clone();
            tokio::spawn(async move {
                let mut buffer = [0; 4_096];
                let count = socket.read(&mut buffer).await.unwrap_or(0);
                if buffer[..count].starts_with(b"POST /v1/orders") {
                    orders.fetch_add(1, Ordering::SeqCst);
                    most.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                    while socket.read(&mut buffer).await.is_ok_and(|count| count > 0) {}
                    open.fetch_sub(1, Ordering::SeqCst);
                }
            });
        }
    });
    (address, orders, most)
}
