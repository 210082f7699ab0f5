//! Usage counters and usage statements of running nodes on a paused clock.

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

/// One epoch, and the time after its end within which both nodes have written their
/// statements of it.
const STATEMENT_TIME: Duration = Duration::from_secs(60 + 25);
/// Answer tokens of every request.
const ANSWER_TOKENS: u32 = 7;

/// Starts two nodes and the contracts of two customers, one of each member, at the
/// beginning of an epoch.
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
    // Epochs are aligned to wall-clock time.
    let unix_ms = deployment.node(0).core().clock.unix_ms();
    sleep(Duration::from_millis(60_000 - unix_ms % 60_000)).await;
    deployment
}

async fn chat(deployment: &TestDeployment, node: usize, key: &str, stream: bool) {
    let address = deployment.centres[0].nodes[node].caller_address();
    let client = TestClient::new(address, key);
    let body = chat_body("hinge", ANSWER_TOKENS, stream);
    let path = "/v1/chat/completions";
    let answer = client.send(Method::POST, path, &[], body).await;
    assert_eq!(answer.status, 200);
}

async fn usage_report(deployment: &TestDeployment) -> UsageReport {
    let client = TestClient::new(deployment.node(0).operator_address(), OPERATOR_KEY);
    let answer = client.get("/operator/v1/usage").await;
    serde_json::from_slice(&answer.body).unwrap()
}

/// Tokens that all engines have generated.
fn generated_tokens(deployment: &TestDeployment) -> u64 {
    let engines = deployment.centres[0].engines.iter();
    engines
        .map(|engine| engine.counters().generated_tokens)
        .sum()
}

/// Requests and answer tokens per member according to the statements, whose chain is
/// checked first.
fn stated_totals(report: &UsageReport) -> Vec<(String, u64, u64)> {
    check_statements(report, None).unwrap();
    let row = |(member, total): (_, UsageCounters)| {
        let member: verbenaring_policy::id::MemberId = member;
        (member.to_string(), total.requests, total.answer_tokens)
    };
    member_totals(report).into_iter().map(row).collect()
}

/// Totals per member for these numbers of requests.
fn expected_totals(awning: u64, cask: u64) -> Vec<(String, u64, u64)> {
    let row =
        |member: &str, count: u64| (member.to_owned(), count, count * u64::from(ANSWER_TOKENS));
    vec![row("awning", awning), row("cask", cask)]
}

/// Every request of both nodes must be counted once, by customer on every node and
/// by member in the statements; the store must not contain names of customers.
#[tokio::test(start_paused = true)]
async fn totals_equal_what_the_engines_generated() {
    let deployment = start().await;
    for round in 0..3 {
        for node in 0..2 {
            chat(&deployment, node, CUSTOMER_KEY, round % 2 == 0).await;
        }
        chat(&deployment, 1, "k2", false).await;
        sleep(Duration::from_secs(30)).await;
    }
    sleep(STATEMENT_TIME).await;
    let report = usage_report(&deployment).await;
    assert_eq!(stated_totals(&report), expected_totals(6, 3));
    assert_eq!(generated_tokens(&deployment), 9 * u64::from(ANSWER_TOKENS));
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

/// A node that dies without writing its counters must lose at most its last epoch,
/// even if it was the one that wrote the statements.
#[tokio::test(start_paused = true)]
async fn dropped_node_loses_at_most_its_last_epoch() {
    for dropped in 0..2 {
        let mut deployment = start().await;
        for node in 0..2 {
            chat(&deployment, node, CUSTOMER_KEY, false).await;
        }
        sleep(STATEMENT_TIME).await;
        assert_eq!(
            stated_totals(&usage_report(&deployment).await),
            expected_totals(2, 0)
        );
        chat(&deployment, dropped, "k2", false).await;
        let node = deployment.centres[0].nodes.remove(dropped);
        let settings = node.core().settings.clone();
        drop(node);
        sleep(STATEMENT_TIME * 3).await;
        let after = stated_totals(&usage_report(&deployment).await);
        assert!(
            after == expected_totals(2, 0) || after == expected_totals(2, 1),
            "{after:?}"
        );
        chat(&deployment, 0, CUSTOMER_KEY, false).await;
        sleep(STATEMENT_TIME).await;
        assert_eq!(
            stated_totals(&usage_report(&deployment).await)[0],
            expected_totals(3, 0)[0]
        );
        // The replacement receives the lines of customers from its peers.
        let replacement = BoundNode::bind(settings).await.unwrap().start();
        deployment.centres[0].nodes.insert(0, replacement);
        sleep(STATEMENT_TIME).await;
        let report = usage_report(&deployment).await;
        assert_eq!(report.customers[0].usage.requests, 3);
        assert_eq!(stated_totals(&report)[0], expected_totals(3, 0)[0]);
        deployment.stop().await;
    }
}

/// Store writes that fail, lose their answer or take effect late must neither
/// double nor lose usage while the nodes run.
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
    let mut sent = 0;
    for fault in faults {
        deployment.store.set_faults(fault);
        for _ in 0..4 {
            chat(&deployment, 0, CUSTOMER_KEY, false).await;
            chat(&deployment, 1, CUSTOMER_KEY, false).await;
            sent += 2;
            sleep(Duration::from_secs(50)).await;
        }
        deployment.store.set_faults(StoreFaults::default());
        sleep(STATEMENT_TIME).await;
        assert_eq!(
            stated_totals(&usage_report(&deployment).await),
            expected_totals(sent, 0)
        );
    }
    assert_eq!(
        generated_tokens(&deployment),
        sent * u64::from(ANSWER_TOKENS)
    );
    deployment.stop().await;
}

/// The check must detect lines that do not match a statement, a changed total, and
/// a chain without the statement whose digest a member has kept.
#[tokio::test(start_paused = true)]
async fn changed_statement_is_detected() {
    let deployment = start().await;
    chat(&deployment, 0, CUSTOMER_KEY, false).await;
    sleep(STATEMENT_TIME * 2).await;
    let report = usage_report(&deployment).await;
    let mut all_lines = report.clone();
    for node in &deployment.centres[0].nodes {
        let client = TestClient::new(node.operator_address(), OPERATOR_KEY);
        let answer = client.get("/operator/v1/usage").await;
        let other: UsageReport = serde_json::from_slice(&answer.body).unwrap();
        all_lines.lines.extend(other.lines);
    }
    check_statements(&all_lines, None).unwrap();
    let lines = all_lines.lines.values_mut().flatten();
    let line = lines.flat_map(|(_, lines)| lines.customers.values_mut());
    line.for_each(|counters| counters.prompt_tokens += 1);
    let error = check_statements(&all_lines, None).unwrap_err();
    assert!(error.to_string().contains("lines of awning"), "{error}");

    let kept_digest = report.statements[0].digest.to_string();
    check_statements(&report, Some(&kept_digest)).unwrap();
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
    let error = check_statements(&usage_report(&deployment).await, None).unwrap_err();
    assert!(error.to_string().contains("was changed"), "{error}");
    deployment.stop().await;
}
