//! End-to-end requests over real sockets: callers, nodes, engines, services and the
//! store.

use verbenaring_testbed::client::TestClient;
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, TestDeployment, contract_document,
};
use verbenaring_testbed::expected_answer;

async fn start_two_regions() -> TestDeployment {
    let dublin = CentreSpec {
        services: vec!["jobs"],
        ..CentreSpec::default()
    };
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        ..CentreSpec::default()
    };
    let spec = DeploymentSpec {
        centres: vec![dublin, cork],
        ..DeploymentSpec::default()
    };
    TestDeployment::start(&spec).await.unwrap()
}

/// A chat must return the whole answer to its own prompt, streamed or not.
#[tokio::test]
async fn chat_returns_own_answer() {
    let deployment = start_two_regions().await;
    let contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin", "cork"]);
    deployment.write("config/contract/council", &contract).await;
    let client = TestClient::new(deployment.node(0).caller_address(), CUSTOMER_KEY);
    for stream in [false, true] {
        let answer = client.chat("the crank jams", 12, stream).await;
        assert_eq!(
            answer.status,
            200,
            "{}",
            String::from_utf8_lossy(&answer.body)
        );
        assert_eq!(answer.chat_text(), expected_answer("the crank jams", 12));
        assert!(!answer.broken);
        assert!(
            answer
                .header("x-verbenaring-served-by")
                .starts_with("dublin-a")
        );
    }
    let unauthorized = TestClient::new(deployment.node(0).caller_address(), "wrong");
    let answer = unauthorized.chat("the crank jams", 12, false).await;
    assert_eq!(answer.status, 401);
    assert_eq!(answer.header("x-verbenaring-outcome"), "not_run");
    deployment.stop().await;
}

/// Guards against requests that are forwarded to a region that the contract does
/// not allow.
#[tokio::test]
async fn residency_limits_forwarding() {
    let mut dublin = CentreSpec {
        engines: Vec::new(),
        ..CentreSpec::default()
    };
    dublin.services = vec!["jobs"];
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        ..CentreSpec::default()
    };
    let spec = DeploymentSpec {
        centres: vec![dublin, cork],
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let unrestricted = contract_document("free", "free-key", "dublin", &["dublin", "cork"]);
    let restricted = contract_document("bound", "bound-key", "dublin", &["dublin"]);
    deployment
        .write("config/contract/free", &unrestricted)
        .await;
    deployment.write("config/contract/bound", &restricted).await;
    let address = deployment.node(0).caller_address();

    let answer = TestClient::new(address, "free-key")
        .chat("a bung", 5, true)
        .await;
    assert_eq!(answer.chat_text(), expected_answer("a bung", 5));
    assert!(
        answer
            .header("x-verbenaring-served-by")
            .starts_with("cork-a-vm-0/")
    );

    let answer = TestClient::new(address, "bound-key")
        .chat("a bung", 5, true)
        .await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("x-verbenaring-outcome"), "not_run");
    deployment.stop().await;
}

/// Guards against forwarded requests that all go to the same node of a data centre,
/// so that every attempt fails while that node is dead.
#[tokio::test]
async fn forwarded_work_is_spread_over_nodes() {
    let dublin = CentreSpec {
        engines: Vec::new(),
        ..CentreSpec::default()
    };
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        nodes: 2,
        ..CentreSpec::default()
    };
    let spec = DeploymentSpec {
        centres: vec![dublin, cork],
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin", "cork"]);
    deployment.write("config/contract/council", &contract).await;
    let client = TestClient::new(deployment.node(0).caller_address(), CUSTOMER_KEY);
    let mut nodes = std::collections::BTreeSet::new();
    for _ in 0..40 {
        let answer = client.chat("a bung", 2, false).await;
        assert_eq!(answer.chat_text(), expected_answer("a bung", 2));
        let served_by = answer.header("x-verbenaring-served-by").to_owned();
        nodes.insert(served_by.split('/').next().unwrap_or_default().to_owned());
    }
    assert_eq!(nodes.len(), 2, "{nodes:?}");
    deployment.stop().await;
}

/// Guards against bookings that are claimed in a region that the contract does not
/// allow, or that are not counted against its limits.
#[tokio::test]
async fn bookings_obey_residency_and_limits() {
    let deployment = start_two_regions().await;
    let cork_only = contract_document("away", "away-key", "cork", &["cork"]);
    deployment.write("config/contract/away", &cork_only).await;
    let mut rate_limited = contract_document("rare", "rare-key", "dublin", &["dublin"]);
    rate_limited["limits"]["requests_per_s"] = serde_json::json!(0.001);
    deployment
        .write("config/contract/rare", &rate_limited)
        .await;
    let address = deployment.node(0).caller_address();
    let book = |key: &'static str| async move {
        let booking = uuid::Uuid::now_v7().to_string();
        let client = TestClient::new(address, key);
        client.book(&booking, "fit an awning").await
    };
    let revision = deployment.store.revision();
    let excluded = book("away-key").await;
    assert_eq!(excluded.status, 403);
    assert_eq!(excluded.header("x-verbenaring-outcome"), "not_run");
    assert_eq!(deployment.store.revision(), revision, "nothing was claimed");
    assert_eq!(book("rare-key").await.status, 200);
    let limited = book("rare-key").await;
    assert_eq!(limited.status, 429);
    assert_eq!(limited.header("x-verbenaring-outcome"), "not_run");
    assert_eq!(deployment.centres[0].services[0].calls().len(), 1);
    deployment.stop().await;
}
