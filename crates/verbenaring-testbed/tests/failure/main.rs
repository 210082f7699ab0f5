//! Faults on the request path, tested over real sockets: broken streams, faulty
//! callers, forged forwards and operations that must run at most once.

mod caller;
mod client_library;
mod copies;
mod crash;
mod forward;
mod operation;
mod outage;
mod restart;
mod returns;
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

/// Store key of the configuration document of the first engine in Dublin.
const ENGINE_DOCUMENT_KEY: &str = "config/server/dublin-a/dublin-a-engine-0";

/// Settings of an engine that accepts requests again at once after a crash.
fn engine_settings() -> EngineSettings {
    EngineSettings {
        restart_time: Duration::ZERO,
        ..EngineSettings::default()
    }
}

fn dublin_centre(engines: Vec<EngineSettings>) -> CentreSpec {
    CentreSpec {
        engines,
        services: vec!["jobs"],
        ..CentreSpec::default()
    }
}

/// Starts a deployment with the contract of one customer. Returns it with a
/// client of its first node.
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
        centres: vec![dublin_centre(engines)],
        ..DeploymentSpec::default()
    })
    .await
}

/// Client of the customer at a node of the first data centre.
fn client_of(deployment: &TestDeployment, node: usize) -> TestClient {
    let address = deployment.centres[0].nodes[node].caller_address();
    TestClient::new(address, CUSTOMER_KEY)
}

/// Sets one field of a stored configuration document and waits until the change
/// is in force.
async fn set_document_field(deployment: &TestDeployment, key: &str, field: &str, value: Value) {
    let stored = deployment.etcd.get(key).await.unwrap().unwrap();
    let entry: StoredEntry = serde_json::from_slice(&stored.value).unwrap();
    let mut document: Value = serde_json::from_str(entry.document.unwrap().get()).unwrap();
    document[field] = value;
    deployment.write(key, &document).await;
}

/// Polls until `condition` holds; panics after 30 s.
async fn wait_until(condition: impl AsyncFn() -> bool) {
    let wait = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(30), wait)
        .await
        .expect("condition must hold within 30 s");
}
