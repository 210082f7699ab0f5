//! Operator interface of running nodes, used through the operators' command-line
//! client.

use std::time::Duration;

use hyper::Method;
use serde_json::value::RawValue;
use serde_json::{Value, json};
use uuid::Uuid;
use verbenaring_cli::Error;
use verbenaring_cli::app::{AppRequest, ConnectionOptions};
use verbenaring_cli::change::{ProposedChange, wait_until_in_force};
use verbenaring_cli::client::{AmendResult, NodeClient};
use verbenaring_cli::command::{apply, execute};
use verbenaring_cli::console::OutputConsole;
use verbenaring_cli::document::CheckedDocument;
use verbenaring_cli::read::read_timeline;
use verbenaring_policy::id::ChangeId;
use verbenaring_protocol::operator::{AmendRequest, ContractReport};
use verbenaring_protocol::rules::DocumentKind;
use verbenaring_testbed::StoreFaults;
use verbenaring_testbed::client::{TestClient, chat_body};
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, OPERATOR_KEY, TestDeployment, contract_document,
};

const KIND: DocumentKind = DocumentKind::Contract;

async fn one_node() -> (TestDeployment, NodeClient) {
    let spec = DeploymentSpec {
        centres: vec![CentreSpec::default()],
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let client = NodeClient::new(deployment.node(0).operator_address(), OPERATOR_KEY);
    (deployment, client)
}

/// Contract document of the customer `council`. Tests tell its versions apart by the
/// limit of concurrent requests.
fn council_contract(concurrent: u32) -> CheckedDocument {
    let mut document = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin"]);
    document["limits"]["concurrent"] = json!(concurrent);
    CheckedDocument::parse(KIND, &document.to_string()).unwrap()
}

/// Limit of concurrent requests in the stored contract of `council`.
async fn stored_limit(client: &NodeClient) -> Value {
    let view = client.document(KIND, "council").await.unwrap().unwrap();
    let document = view.stored.unwrap().document.unwrap();
    serde_json::from_str::<Value>(document.get()).unwrap()["limits"]["concurrent"].clone()
}

/// Runs a command line against the node and returns its JSON output.
async fn run_command(deployment: &TestDeployment, line: &str) -> Value {
    let arguments = line.split(' ').map(Into::into).collect();
    let AppRequest::Command { command, .. } = AppRequest::from_arguments(arguments).unwrap() else {
        panic!("{line} is not a command");
    };
    let file = std::env::temp_dir().join(format!("verbenaring-key-{}", Uuid::new_v4()));
    std::fs::write(&file, OPERATOR_KEY).unwrap();
    let node = ConnectionOptions {
        address: Some(deployment.node(0).operator_address().to_string()),
        key_file: Some(file.clone()),
    };
    let mut output = Vec::new();
    let mut console = OutputConsole::new(&mut output, true);
    let result = execute(AppRequest::Command { command, node }, &mut console).await;
    std::fs::remove_file(file).unwrap();
    result.unwrap();
    serde_json::from_slice(&output).unwrap()
}

/// Without the operator key nothing may be read or written.
#[tokio::test]
async fn interface_needs_the_operator_key() {
    let (deployment, _) = one_node().await;
    let before = deployment.store.revision();
    for key in [CUSTOMER_KEY, "vb-operator-key-2"] {
        let client = NodeClient::new(deployment.node(0).operator_address(), key);
        assert!(matches!(client.statuses().await, Err(Error::Key(_))));
        let request = AmendRequest {
            expected: 0,
            change: ChangeId(Uuid::new_v4()),
            repeated: false,
            document: Some(RawValue::from_string(council_contract(1).text).unwrap()),
        };
        let result = client.amend(KIND, "council", request).await;
        assert!(matches!(result, Err(Error::Key(_))));
    }
    assert_eq!(deployment.store.revision(), before);
    deployment.stop().await;
}

/// A node without an operator key in its settings must refuse every request to the
/// operator interface.
#[tokio::test]
async fn interface_is_closed_without_a_key_in_the_settings() {
    let (deployment, _) = one_node().await;
    let mut settings = deployment.node(0).core().settings.clone();
    let any_port = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    settings.caller_address = any_port;
    settings.peer_address = any_port;
    settings.control_address = any_port;
    settings.operator_address = any_port;
    settings.operator_key = None;
    let closed_node = verbenaring_gateway::node::BoundNode::bind(settings)
        .await
        .unwrap()
        .start();
    for key in [OPERATOR_KEY, ""] {
        let client = TestClient::new(closed_node.operator_address(), key);
        assert_eq!(client.get("/operator/v1/status").await.status, 403);
    }
    closed_node.stop().await;
    deployment.stop().await;
}

/// A document that nodes could not put in force must not reach the store.
#[tokio::test]
async fn invalid_documents_are_not_written() {
    let (deployment, _) = one_node().await;
    let client = TestClient::new(deployment.node(0).operator_address(), OPERATOR_KEY);
    let before = deployment.store.revision();
    let valid: Value = serde_json::from_str(&council_contract(1).text).unwrap();
    let mut foreign_home = valid.clone();
    foreign_home["residency"]["home"] = json!("cork");
    let mut unknown_field = valid.clone();
    unknown_field["colour"] = json!("green");
    let cases = [
        ("council", foreign_home),
        ("council", unknown_field),
        ("council", json!(7)),
        ("council", Value::Null),
        ("bakery", valid),
    ];
    for (name, document) in cases {
        let body = json!({ "expected": 0, "change": Uuid::new_v4(), "document": document });
        let path = format!("/operator/v1/contracts/{name}");
        let body = body.to_string().into_bytes();
        let answer = client.send(Method::PUT, &path, &[], body).await;
        assert_eq!(answer.status, 422, "{}", answer.json());
    }
    assert_eq!(deployment.store.revision(), before);
    deployment.stop().await;
}

/// Guards against a bearer key in two contracts, which would leave open under which
/// contract its requests run.
#[tokio::test]
async fn key_of_another_customer_is_refused() {
    let (deployment, client) = one_node().await;
    let first = ProposedChange::for_document(&client, council_contract(10), None)
        .await
        .unwrap();
    let written = first.submit(&client).await.unwrap();
    wait_until_in_force(&client, &written, Duration::from_secs(10))
        .await
        .unwrap();
    let duplicate = contract_document("bakery", CUSTOMER_KEY, "dublin", &["dublin"]);
    let duplicate = CheckedDocument::parse(KIND, &duplicate.to_string()).unwrap();
    let duplicate = ProposedChange::for_document(&client, duplicate, None)
        .await
        .unwrap();
    let error = duplicate.submit(&client).await.unwrap_err();
    assert_eq!(error.exit_code(), 2);
    assert!(error.to_string().contains("customer council"), "{error}");
    deployment.stop().await;
}

/// A contract that is applied must be in force for requests and appear in the
/// report, and its requests in the timeline.
#[tokio::test]
async fn applied_contract_serves_and_is_reported() {
    let (deployment, client) = one_node().await;
    let mut output = Vec::new();
    let mut console = OutputConsole::new(&mut output, false);
    apply(
        &client,
        council_contract(10),
        Some(0),
        Some(10),
        &mut console,
    )
    .await
    .unwrap();
    let text = String::from_utf8(output).unwrap();
    assert!(text.contains("+ limits.concurrent: 10"), "{text}");
    assert!(text.contains("In force on every node asked (1)."), "{text}");

    let caller = TestClient::new(deployment.node(0).caller_address(), CUSTOMER_KEY);
    let headers = [("x-request-id", "call 1&2")];
    let body = chat_body("the crank jams", 6, false);
    let path = "/v1/chat/completions";
    let answer = caller.send(Method::POST, path, &headers, body).await;
    assert_eq!(answer.status, 200);
    let refused = caller.get("/v1/services/unknown/x").await;
    assert_eq!(refused.header("x-verbenaring-outcome"), "not_run");

    let report: ContractReport = client.get("report").await.unwrap();
    let counters = &report.contracts[0];
    assert_eq!(counters.customer, "council");
    assert_eq!((counters.requests, counters.whole), (2, 1));
    assert_eq!((counters.not_run, counters.unknown), (1, 0));
    assert_eq!(counters.tokens, 6);

    let events = read_timeline(&client, Some("call 1&2"), 0).await.unwrap();
    let kinds: Vec<&str> = events.events.iter().map(|event| &*event.kind).collect();
    assert_eq!(kinds, ["request_accepted", "attempt_sent", "answer_whole"]);
    deployment.stop().await;
}

/// If two operators change the same document, one change must be refused and its
/// operator shown both.
#[tokio::test]
async fn refused_change_is_shown_with_the_other() {
    let (deployment, client) = one_node().await;
    let first = ProposedChange::for_document(&client, council_contract(10), None)
        .await
        .unwrap();
    let written = first.submit(&client).await.unwrap();
    wait_until_in_force(&client, &written, Duration::from_secs(10))
        .await
        .unwrap();

    let own_change = ProposedChange::for_document(&client, council_contract(20), None)
        .await
        .unwrap();
    let other_change = ProposedChange::for_document(&client, council_contract(30), None)
        .await
        .unwrap();
    assert_eq!(own_change.expected, written.revision);
    other_change.submit(&client).await.unwrap();
    let error = own_change.submit(&client).await.unwrap_err();
    assert_eq!(error.exit_code(), 4);
    let text = error.to_string();
    let (other, own) = text.split_once("Your change, not written").unwrap();
    assert!(other.contains("+ limits.concurrent: 30"), "{text}");
    assert!(own.contains("+ limits.concurrent: 20"), "{text}");
    assert_eq!(stored_limit(&client).await, 30);

    // A file that was made from an outdated revision is refused as well.
    let mut console = OutputConsole::new(Vec::new(), false);
    let outdated = apply(
        &client,
        council_contract(40),
        Some(written.revision),
        None,
        &mut console,
    )
    .await;
    assert_eq!(outdated.unwrap_err().exit_code(), 4);
    assert_eq!(stored_limit(&client).await, 30);
    deployment.stop().await;
}

/// If the store's answer to a write is lost, a change that was written must be
/// reported as written and one that lost to another must be reported as refused.
#[tokio::test]
async fn lost_answers_are_settled() {
    let (deployment, client) = one_node().await;
    let set_lose_answers = |lose_answers| {
        deployment.store.set_faults(StoreFaults {
            lose_answers,
            ..StoreFaults::default()
        });
    };
    let first = ProposedChange::for_document(&client, council_contract(10), None)
        .await
        .unwrap();
    set_lose_answers(true);
    let written = first.submit(&client).await.unwrap();
    set_lose_answers(false);
    let view = client.document(KIND, "council").await.unwrap().unwrap();
    let stored = view.stored.unwrap();
    assert_eq!(
        (stored.revision, stored.change),
        (written.revision, written.change)
    );

    let losing_change = ProposedChange::for_document(&client, council_contract(20), None)
        .await
        .unwrap();
    let winning_change = ProposedChange::for_document(&client, council_contract(30), None)
        .await
        .unwrap();
    winning_change.submit(&client).await.unwrap();
    set_lose_answers(true);
    assert_eq!(
        losing_change.submit(&client).await.unwrap_err().exit_code(),
        4
    );
    set_lose_answers(false);
    assert_eq!(stored_limit(&client).await, 30);
    deployment.stop().await;
}

/// A change that is written but not yet in force must not be reported as accepted.
#[tokio::test]
async fn change_that_is_not_accepted_in_time_is_reported() {
    let (deployment, client) = one_node().await;
    let first = ProposedChange::for_document(&client, council_contract(10), None)
        .await
        .unwrap();
    let mut written = first.submit(&client).await.unwrap();
    // Later than any revision that the node can have in force.
    written.revision += 1_000;
    let error = wait_until_in_force(&client, &written, Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(error.exit_code(), 5);
    assert!(error.to_string().contains("dublin-a-vm-0 is at revision"));
    deployment.stop().await;
    let error = wait_until_in_force(&client, &written, Duration::ZERO)
        .await
        .unwrap_err();
    assert_eq!(error.exit_code(), 5, "{error}");
}

/// A client that lost the node's answer repeats its request; the change must
/// be written once and be reported as written every time.
#[tokio::test]
async fn repeated_amendment_is_written_once() {
    let (deployment, client) = one_node().await;
    let mut request = AmendRequest {
        expected: 0,
        change: ChangeId(Uuid::new_v4()),
        repeated: false,
        document: Some(RawValue::from_string(council_contract(10).text).unwrap()),
    };
    let mut revisions = Vec::new();
    for repeated in [false, true, false] {
        request.repeated = repeated;
        match client
            .amend(KIND, "council", request.clone())
            .await
            .unwrap()
        {
            AmendResult::Written(answer) => revisions.push(answer.revision),
            AmendResult::Conflict(conflict) => panic!("{conflict:?}"),
        }
    }
    assert_eq!(revisions, [revisions[0]; 3]);
    deployment.stop().await;
}

/// Planned stops must be written and removed like any document, and the name of a
/// cancelled stop must be usable again.
#[tokio::test]
async fn stops_are_planned_and_cancelled() {
    let (deployment, _) = one_node().await;
    let plan = "stop plan swap --scope server --target dublin-a-engine-0 --begins-in 60 --wait 10";
    for _ in 0..2 {
        let planned = run_command(&deployment, plan).await;
        let list = run_command(&deployment, "stop list").await;
        let stop = &list["documents"][0];
        assert_eq!(stop["in_force"]["revision"], planned["revision"]);
        assert_eq!(stop["in_force"]["document"]["target"], "dublin-a-engine-0");
        run_command(&deployment, "stop cancel swap --wait 10").await;
        let list = run_command(&deployment, "stop list").await;
        assert_eq!(list["documents"][0]["in_force"], Value::Null);
        assert_eq!(list["documents"][0]["stored"]["document"], Value::Null);
    }
    deployment.stop().await;
}

/// Servers must be listed with their revision in force, and the status must name
/// servers and documents with faults.
#[tokio::test]
async fn status_names_servers_and_faults() {
    let (deployment, _) = one_node().await;
    let servers = run_command(&deployment, "capacity show").await;
    let server = &servers["documents"][0];
    assert_eq!(server["key"], "config/server/dublin-a/dublin-a-engine-0");
    assert_eq!(server["in_force"]["revision"], server["stored"]["revision"]);
    deployment
        .write("config/contract/council", &json!({ "customer": 7 }))
        .await;
    let status = run_command(&deployment, "status").await;
    let node = &status["nodes"][0];
    assert_eq!(node["servers"][0]["server"], "dublin-a-engine-0");
    assert_eq!(node["faults"][0]["key"], "config/contract/council");
    assert_eq!(node["stopping"], false);
    deployment.stop().await;
}
