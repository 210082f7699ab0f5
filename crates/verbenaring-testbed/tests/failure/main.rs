//! Failures on the request path over real sockets: streams, callers, forwarded
//! requests and operations.

mod caller;
mod forward;
mod library;
mod operation;
mod stream;

use std::time::Duration;

use serde_json::Value;
use verbenaring_gateway::store::PlatformStore;
use verbenaring_protocol::stored::StoredEntry;
use verbenaring_testbed::EngineSettings;
use verbenaring_testbed::client::TestClient;
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, TestDeployment, contract_document,
};

const ENGINE_KEY: &str = "config/server/dublin-a/dublin-a-engine-0";

/// Engine that is ready again at once after a crash.
fn engine() -> EngineSettings {
    EngineSettings {
        restart_time: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn dublin(engines: Vec<EngineSettings>) -> CentreSpec {
    CentreSpec {
        engines,
        services: vec!["jobs"],
        ..CentreSpec::default()
    }
}

/// Deployment with the contract of one customer, and a client of its first node.
async fn start(spec: DeploymentSpec) -> (TestDeployment, TestClient) {
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let contract = contract_document(
        "council",
        CUSTOMER_KEY,
        "dublin",
        &["dublin", "cork", "galway"],
    );
    deployment.write("config/contract/council", &contract).await;
    let client = client_of(&deployment, 0);
    (deployment, client)
}

async fn start_dublin(engines: Vec<EngineSettings>) -> (TestDeployment, TestClient) {
    start(DeploymentSpec {
        centres: vec![dublin(engines)],
        ..DeploymentSpec::default()
    })
    .await
}

fn client_of(deployment: &TestDeployment, node: usize) -> TestClient {
    let address = deployment.centres[0].nodes[node].caller_address();
    TestClient::new(address, CUSTOMER_KEY)
}

/// Changes a field of a configuration document.
async fn amend(deployment: &TestDeployment, key: &str, field: &str, value: Value) {
    let stored = deployment.etcd.get(key).await.unwrap().unwrap();
    let entry: StoredEntry = serde_json::from_slice(&stored.value).unwrap();
    let mut document: Value = serde_json::from_str(entry.document.unwrap().get()).unwrap();
    document[field] = value;
    deployment.write(key, &document).await;
}

async fn until(condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), wait)
        .await
        .expect("condition is met");
}
