//! The operators' interface of real nodes.

use hyper::Method;
use serde_json::{Value, json};
use uuid::Uuid;
use verbenaring_testbed::client::{TestAnswer, TestClient};
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, OPERATOR_KEY, TestDeployment, contract_document,
};

async fn one_node() -> TestDeployment {
    let spec = DeploymentSpec {
        centres: vec![CentreSpec::default()],
        ..DeploymentSpec::default()
    };
    TestDeployment::start(&spec).await.unwrap()
}

fn council() -> Value {
    contract_document("council", CUSTOMER_KEY, "dublin", &["dublin"])
}

async fn put(client: &TestClient, path: &str, expected: u64, document: Value) -> TestAnswer {
    let body = json!({ "expected": expected, "change": Uuid::new_v4(), "document": document });
    let path = format!("/operator/v1/{path}");
    client
        .send(Method::PUT, &path, &[], body.to_string().into_bytes())
        .await
}

/// Without the operators' key nothing may be read or written.
#[tokio::test]
async fn interface_needs_the_operator_key() {
    let deployment = one_node().await;
    let address = deployment.node(0).operator_address();
    for key in [CUSTOMER_KEY, "", "vb-operator-key-2"] {
        let client = TestClient::new(address, key);
        assert_eq!(client.get("/operator/v1/status").await.status, 401);
        let answer = put(&client, "contracts/council", 0, council()).await;
        assert_eq!(answer.status, 401);
    }
    let client = TestClient::new(address, OPERATOR_KEY);
    assert_eq!(client.get("/operator/v1/status").await.status, 200);
    let entries = client.get("/operator/v1/contracts").await.json();
    assert_eq!(entries["documents"], json!([]));
    deployment.stop().await;
}

/// A document that nodes could not put in force must not reach the store.
#[tokio::test]
async fn bad_documents_are_not_written() {
    let deployment = one_node().await;
    let client = TestClient::new(deployment.node(0).operator_address(), OPERATOR_KEY);
    let before = deployment.store.revision();
    let mut foreign_home = council();
    foreign_home["residency"]["home"] = json!("cork");
    let mut unknown_field = council();
    unknown_field["colour"] = json!("green");
    for document in [foreign_home, unknown_field, json!(7)] {
        let answer = put(&client, "contracts/council", 0, document).await;
        assert_eq!(answer.status, 422, "{}", answer.json());
    }
    let answer = put(&client, "contracts/bakery", 0, council()).await;
    assert_eq!(answer.status, 422);
    let answer = put(&client, "contracts/council", 0, Value::Null).await;
    assert_eq!(answer.status, 422);
    assert_eq!(deployment.store.revision(), before);
    deployment.stop().await;
}
