//! Shows what the gateway does, with two regions in one process over real sockets.
//!
//! `cargo run --release --example quickstart` makes six calls and exits. With
//! `--stay` it prints URLs and keys and keeps running.

use std::process::ExitCode;

use uuid::Uuid;
use verbenaring_testbed::client::{TestAnswer, TestClient};
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, OPERATOR_KEY, TestDeployment, contract_document,
};
use verbenaring_testbed::{EngineSettings, expected_answer};

mod flags {
    xflags::xflags! {
        /// Runs a deployment of two regions in one process and makes sample calls.
        cmd quickstart {
            /// Keep running after the calls until Ctrl-C.
            optional --stay
        }
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = flags::Quickstart::from_env_or_exit();
    let deployment = match TestDeployment::start(&two_regions()).await {
        Ok(deployment) => deployment,
        Err(error) => {
            eprintln!("quickstart: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("Started 2 regions with 2 entry VMs and 2 engines each, 1 plain service, 1 store.\n");
    let passed = run_calls(&deployment).await;
    if flags.stay {
        print_addresses(&deployment);
        if tokio::signal::ctrl_c().await.is_err() {
            eprintln!("quickstart: signals cannot be received");
        }
    }
    deployment.stop().await;
    if passed {
        println!("\nEvery call did what its contract says.");
        ExitCode::SUCCESS
    } else {
        println!("\nA call did not do what its contract says.");
        ExitCode::FAILURE
    }
}

fn two_regions() -> DeploymentSpec {
    let large = EngineSettings {
        model_names: vec!["standin-large".into()],
        ..EngineSettings::default()
    };
    let dublin = CentreSpec {
        nodes: 2,
        engines: vec![EngineSettings::default(); 2],
        services: vec!["jobs"],
        ..CentreSpec::default()
    };
    let cork = CentreSpec {
        region: "cork",
        name: "cork-a",
        nodes: 2,
        engines: vec![EngineSettings::default(), large],
        services: Vec::new(),
    };
    DeploymentSpec {
        centres: vec![dublin, cork],
        ..DeploymentSpec::default()
    }
}

async fn run_calls(deployment: &TestDeployment) -> bool {
    let mut contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin", "cork"]);
    contract["models"] = serde_json::json!(["standin", "standin-large"]);
    let revision = deployment.write("config/contract/council", &contract).await;
    println!("1. Contract of customer council in force on 4 entry VMs, revision {revision}.");
    let mut bound = contract_document("bakery", "vb-bakery-key", "dublin", &["dublin"]);
    bound["models"] = serde_json::json!(["standin", "standin-large"]);
    deployment.write("config/contract/bakery", &bound).await;

    let address = deployment.node(0).caller_address();
    let council = TestClient::new(address, CUSTOMER_KEY);
    let bakery = TestClient::new(address, "vb-bakery-key");
    let mut passed = true;

    let answer = council.chat("The awning crank jams.", 8, true).await;
    let complete = answer.chat_text() == expected_answer("The awning crank jams.", 8);
    passed &= report("2. Streamed chat", &answer, complete);

    let answer = council.chat("Which gearbox is this?", 8, false).await;
    let complete = answer.chat_text() == expected_answer("Which gearbox is this?", 8);
    passed &= report("3. Chat, not streamed", &answer, complete);

    let answer = send_large_chat(&council).await;
    let served_remotely = answer
        .header("x-verbenaring-served-by")
        .starts_with("cork-a");
    passed &= report(
        "4. Model that only Cork has, contract allows Cork",
        &answer,
        served_remotely,
    );

    let answer = send_large_chat(&bakery).await;
    let refused = answer.header("x-verbenaring-outcome") == "not_run";
    passed &= report(
        "5. Same model, contract allows Dublin only",
        &answer,
        refused,
    );

    let key = Uuid::now_v7().to_string();
    let first = council.book(&key, "fitter-0412").await;
    let second = council.book(&key, "fitter-0412").await;
    let runs = deployment.centres[0].services[0].executions("fitter-0412");
    passed &= report("6. Booking, first call", &first, first.status == 200);
    passed &= report("7. Same booking again", &second, second.status == 409);
    println!("   The job service ran the booking {runs} time(s).");
    passed && runs == 1
}

async fn send_large_chat(client: &TestClient) -> TestAnswer {
    let body = serde_json::json!({
        "model": "standin-large",
        "messages": [{ "role": "user", "content": "Read the whole history." }],
        "max_tokens": 8,
    });
    let body = body.to_string().into_bytes();
    let path = "/v1/chat/completions";
    client.send(hyper::Method::POST, path, &[], body).await
}

/// Prints the result of a call and returns `passed`.
fn report(title: &str, answer: &TestAnswer, passed: bool) -> bool {
    let served_by = answer.header("x-verbenaring-served-by");
    let outcome = answer.header("x-verbenaring-outcome");
    let detail = match (served_by, outcome) {
        ("", outcome) => {
            let message = answer.json()["error"]["message"].to_string();
            format!("outcome {outcome}: {message}")
        }
        (served_by, _) => format!("served by {served_by}"),
    };
    let mark = if passed { "ok" } else { "WRONG" };
    println!(
        "{title}: status {}, {detail} [{mark}]",
        answer.status.as_u16()
    );
    passed
}

fn print_addresses(deployment: &TestDeployment) {
    println!("\nRunning. Stop with Ctrl-C. Key: {CUSTOMER_KEY}, operators' key: {OPERATOR_KEY}");
    for node in deployment.centres.iter().flat_map(|centre| &centre.nodes) {
        let settings = &node.core().settings;
        println!("  {} http://{}/v1", settings.vm, node.caller_address());
        println!("    for operators: --node {}", node.operator_address());
    }
    println!("  platform store http://{}", deployment.store.address());
}
