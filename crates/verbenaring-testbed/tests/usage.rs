//! Usage accounts and statements of real nodes on a paused clock.

use std::time::Duration;

use hyper::Method;
use serde_json::{Value, json};
use tokio::time::sleep;
use verbenaring_cli::console::OutputConsole;
use verbenaring_cli::usage::{check_statements, member_totals, show_usage};
use verbenaring_gateway::node::BoundNode;
use verbenaring_gateway::store::{PlatformStore, SwapCondition, SwapRequest};
use verbenaring_policy::usage::UsageCounters;
use verbenaring_protocol::operator::UsageReport;
use verbenaring_testbed::StoreFaults;
use verbenaring_testbed::client::{TestClient, chat_body};
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, OPERATOR_KEY, TestDeployment, contract_document,
};

/// One epoch and the time within which both writers have stated it.
const STATED: Duration = Duration::from_secs(60 + 25);
const TOKENS: u32 = 7;

async fn start() -> TestDeployment {
    let spec = DeploymentSpec {
        centres: vec![CentreSpec {
            nodes: 2,
            ..CentreSpec::default()
        }],
        ..DeploymentSpec::default()
    };
    let deployment = TestDeployment::start(&spec).await.unwrap();
    let layout = json!({
        "regions": [{ "region": "dublin", "weight": 1, "data_centres": [
            { "data_centre": "dublin-a", "vms": ["dublin-a-vm-0", "dublin-a-vm-1"] },
        ]}],
        "members": [{ "member": "awning", "share": 3 }, { "member": "cask", "share": 1 }],
    });
    deployment.write("config/region", &layout).await;
    for (customer, member, key) in [("council", "awning", CUSTOMER_KEY), ("mill", "cask", "k2")] {
        let mut contract = contract_document(customer, key, "dublin", &["dublin"]);
        contract["member"] = json!(member);
        let path = format!("config/contract/{customer}");
        deployment.write(&path, &contract).await;
    }
    // Epochs follow the real time; every run starts with one.
    let unix_ms = deployment.node(0).core().clock.unix_ms();
    sleep(Duration::from_millis(60_000 - unix_ms % 60_000)).await;
    deployment
}

async fn ask(deployment: &TestDeployment, node: usize, key: &str, stream: bool) {
    let address = deployment.centres[0].nodes[node].caller_address();
    let client = TestClient::new(address, key);
    let body = chat_body("hinge", TOKENS, stream);
    let path = "/v1/chat/completions";
    let answer = client.send(Method::POST, path, &[], body).await;
    assert_eq!(answer.status, 200);
}

async fn usage(deployment: &TestDeployment) -> UsageReport {
    let client = TestClient::new(deployment.node(0).operator_address(), OPERATOR_KEY);
    let answer = client.get("/operator/v1/usage").await;
    serde_json::from_slice(&answer.body).unwrap()
}

fn generated(deployment: &TestDeployment) -> u64 {
    let engines = deployment.centres[0].engines.iter();
    engines
        .map(|engine| engine.counters().generated_tokens)
        .sum()
}

/// Requests and answer tokens per member by the statements, the chain checked.
fn stated(report: &UsageReport) -> Vec<(String, u64, u64)> {
    check_statements(report, None).unwrap();
    let row = |(member, total): (_, UsageCounters)| {
        let member: verbenaring_policy::id::MemberId = member;
        (member.to_string(), total.requests, total.answer_tokens)
    };
    member_totals(report).into_iter().map(row).collect()
}

fn rows(awning: u64, cask: u64) -> Vec<(String, u64, u64)> {
    let row = |member: &str, count: u64| (member.to_owned(), count, count * u64::from(TOKENS));
    vec![row("awning", awning), row("cask", cask)]
}

/// Work of both nodes must be counted once each, by customer on every node and
/// by member in the statements; the store must not learn names of customers.
#[tokio::test(start_paused = true)]
async fn totals_equal_what_the_engines_generated() {
    let deployment = start().await;
    for round in 0..3 {
        for node in 0..2 {
            ask(&deployment, node, CUSTOMER_KEY, round % 2 == 0).await;
        }
        ask(&deployment, 1, "k2", false).await;
        sleep(Duration::from_secs(30)).await;
    }
    sleep(STATED).await;
    let report = usage(&deployment).await;
    assert_eq!(stated(&report), rows(6, 3));
    assert_eq!(generated(&deployment), 9 * u64::from(TOKENS));
    let lines = report.customers.iter();
    let lines: Vec<_> = lines
        .map(|line| (line.customer.as_str(), line.usage.requests))
        .collect();
    assert_eq!(lines, [("council", 6), ("mill", 3)]);
    let mut text = Vec::new();
    show_usage(&report, &mut OutputConsole::new(&mut text, false)).unwrap();
    let text = String::from_utf8(text).unwrap();
    let words: Vec<&str> = text.split_whitespace().collect();
    for row in [["awning", "75.0%", "66.7%"], ["cask", "25.0%", "33.3%"]] {
        assert!(words.windows(3).any(|found| found == row), "{text}");
    }
    for value in deployment.etcd.range("usage/").await.unwrap().values {
        let text = String::from_utf8(value.value).unwrap();
        assert!(
            !text.contains("council") && !text.contains("mill"),
            "{text}"
        );
    }
    deployment.stop().await;
}

/// A node that is dropped without a flush must lose at most its last epoch,
/// also if it wrote the statements.
#[tokio::test(start_paused = true)]
async fn dropped_node_loses_at_most_its_last_epoch() {
    for dropped in 0..2 {
        let mut deployment = start().await;
        for node in 0..2 {
            ask(&deployment, node, CUSTOMER_KEY, false).await;
        }
        sleep(STATED).await;
        assert_eq!(stated(&usage(&deployment).await), rows(2, 0));
        ask(&deployment, dropped, "k2", false).await;
        let node = deployment.centres[0].nodes.remove(dropped);
        let settings = node.core().settings.clone();
        drop(node);
        sleep(STATED * 3).await;
        let after = stated(&usage(&deployment).await);
        assert!(after == rows(2, 0) || after == rows(2, 1), "{after:?}");
        ask(&deployment, 0, CUSTOMER_KEY, false).await;
        sleep(STATED).await;
        assert_eq!(stated(&usage(&deployment).await)[0], rows(3, 0)[0]);
        // Its replacement learns the lines of customers from its peers.
        let replacement = BoundNode::bind(settings).await.unwrap().start();
        deployment.centres[0].nodes.insert(0, replacement);
        sleep(STATED).await;
        let report = usage(&deployment).await;
        assert_eq!(report.customers[0].usage.requests, 3);
        assert_eq!(stated(&report)[0], rows(3, 0)[0]);
        deployment.stop().await;
    }
}

/// Writes that fail, are lost or arrive late must count nothing twice and lose
/// nothing while the nodes live.
#[tokio::test(start_paused = true)]
async fn store_faults_count_nothing_twice() {
    let faults = [
        StoreFaults {
            down: true,
            ..StoreFaults::default()
        },
        StoreFaults {
            lose_answers: true,
            ..StoreFaults::default()
        },
        StoreFaults {
            write_delay: Some(Duration::from_secs(7)),
            ..StoreFaults::default()
        },
    ];
    let deployment = start().await;
    let mut asked = 0;
    for fault in faults {
        deployment.store.set_faults(fault);
        for _ in 0..4 {
            ask(&deployment, 0, CUSTOMER_KEY, false).await;
            ask(&deployment, 1, CUSTOMER_KEY, false).await;
            asked += 2;
            sleep(Duration::from_secs(50)).await;
        }
        deployment.store.set_faults(StoreFaults::default());
        sleep(STATED).await;
        assert_eq!(stated(&usage(&deployment).await), rows(asked, 0));
    }
    assert_eq!(generated(&deployment), asked * u64::from(TOKENS));
    deployment.stop().await;
}

/// Lines that a statement was not made from, a total that is changed, and a chain without the statement
/// that a member has kept, must be detected.
#[tokio::test(start_paused = true)]
async fn changed_statement_is_detected() {
    let deployment = start().await;
    ask(&deployment, 0, CUSTOMER_KEY, false).await;
    sleep(STATED * 2).await;
    let report = usage(&deployment).await;
    let mut writers = report.clone();
    for node in &deployment.centres[0].nodes {
        let client = TestClient::new(node.operator_address(), OPERATOR_KEY);
        let answer = client.get("/operator/v1/usage").await;
        let other: UsageReport = serde_json::from_slice(&answer.body).unwrap();
        writers.lines.extend(other.lines);
    }
    check_statements(&writers, None).unwrap();
    let lines = writers.lines.values_mut().flatten();
    let line = lines.flat_map(|(_, lines)| lines.customers.values_mut());
    line.for_each(|counters| counters.prompt_tokens += 1);
    let fault = check_statements(&writers, None).unwrap_err();
    assert!(fault.to_string().contains("lines of awning"), "{fault}");

    let kept = report.statements[0].digest.to_string();
    check_statements(&report, Some(&kept)).unwrap();
    let other = "00".repeat(32);
    assert!(check_statements(&report, Some(&other)).is_err());

    let values = deployment.etcd.range("usage/").await.unwrap().values;
    let stored = &values[0];
    let mut statement: Value = serde_json::from_slice(&stored.value).unwrap();
    assert!(statement["members"]["awning"].is_object());
    statement["members"]["awning"]["total"]["answer_tokens"] = json!(1);
    let request = SwapRequest {
        key: stored.key.clone(),
        condition: SwapCondition::Revision(stored.revision),
        value: Some(statement.to_string().into_bytes()),
        lease: 0,
    };
    deployment.etcd.swap(&[request]).await.unwrap();
    let fault = check_statements(&usage(&deployment).await, None).unwrap_err();
    assert!(fault.to_string().contains("was changed"), "{fault}");
    deployment.stop().await;
}
