//! Chats that crash engines by a message that they share.

use std::time::Duration;

use hyper::Method;
use serde_json::json;
use verbenaring_testbed::client::{TestAnswer, TestClient};
use verbenaring_testbed::deployment::{CentreSpec, DeploymentSpec};
use verbenaring_testbed::{EngineFaults, EngineSettings};

use crate::{client_of, dublin_centre, start};

/// Message that crashes engines, in all chats of a test that do.
const BAD_MESSAGE: &str = "mind the spanner";
/// Ends of engines by which a message is known to crash them, as the rules count them.
const COUNTED_CRASHES: u64 = 5;
/// Engines that such chats may still reach after that.
const MAX_LATER_CHATS: u64 = 3;
/// Time between two chats: nodes exchange their evidence twice within it.
const CHAT_INTERVAL: Duration = Duration::from_secs(1);

/// Sends a chat of three messages; only the last one differs from chat to chat.
async fn chat(client: &TestClient, second: &str, last: &str) -> TestAnswer {
    let message = |text: &str| json!({ "role": "user", "content": text });
    let body = json!({ "model": "standin", "max_tokens": 4,
        "messages": [message("answer briefly"), message(second), message(last)] });
    let body = body.to_string().into_bytes();
    client
        .send(Method::POST, "/v1/chat/completions", &[], body)
        .await
}

/// Sends sound and bad chats in turn to two nodes with this number of engines, and checks
/// how many engines crash.
async fn send_chats(engine_count: usize) {
    let centre = CentreSpec {
        nodes: 2,
        ..dublin_centre(vec![EngineSettings::default(); engine_count])
    };
    let spec = DeploymentSpec {
        centres: vec![centre],
        ..DeploymentSpec::default()
    };
    let (deployment, first) = start(spec).await;
    let clients = [first, client_of(&deployment, 1)];
    let engines = &deployment.centres[0].engines;
    for engine in engines {
        engine.set_faults(EngineFaults {
            crash_marker: Some(BAD_MESSAGE.into()),
            ..EngineFaults::default()
        });
    }
    for index in 0..10 {
        let client = &clients[index % 2];
        let sound = chat(client, "be kind", &format!("sound {index}")).await;
        assert_eq!(sound.status, 200, "{index}");
        let bad = chat(client, BAD_MESSAGE, &format!("bad {index}")).await;
        assert_ne!(bad.status, 200, "{index}");
        tokio::time::sleep(CHAT_INTERVAL).await;
    }
    let crashes: u64 = engines.iter().map(|engine| engine.counters().crashes).sum();
    assert!(
        crashes <= COUNTED_CRASHES + MAX_LATER_CHATS,
        "{crashes} engines crashed"
    );
    for client in &clients {
        let answer = chat(client, BAD_MESSAGE, "once more").await;
        assert_eq!(answer.json()["error"]["code"], "prompt_quarantined");
        assert_eq!(answer.header("x-verbenaring-outcome"), "not_run");
    }
    deployment.stop().await;
}

/// Guards against chats that are all different but share a message, and crash engine
/// after engine.
#[tokio::test]
async fn chats_with_a_message_that_crashes_engines_are_refused() {
    send_chats(6).await;
}

/// Guards against ends of one engine that are taken for a single one.
#[tokio::test]
async fn chats_that_crash_the_only_engine_again_and_again_are_refused() {
    send_chats(1).await;
}
