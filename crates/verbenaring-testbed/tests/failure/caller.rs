//! Callers that disconnect, are slow or send invalid requests, and the graceful
//! shutdown of a node.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Method;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use verbenaring_gateway::config::LimitSettings;
use verbenaring_testbed::client::{TestClient, chat_body, read_answer};
use verbenaring_testbed::deployment::{CUSTOMER_KEY, DeploymentSpec, contract_document};
use verbenaring_testbed::{EngineFaults, EngineSettings, expected_answer};

use crate::{
    ENGINE_DOCUMENT_KEY, dublin_centre, engine_settings, set_document_field, start, start_dublin,
    wait_until,
};

const CHAT: &str = "/v1/chat/completions";

/// The request of a caller that disconnects must be cancelled at the engine, both
/// before and after the first byte of the answer.
#[tokio::test]
async fn disconnect_of_caller_cancels_its_request() {
    let (deployment, client) = start_dublin(vec![engine_settings()]).await;
    let engine = &deployment.centres[0].engines[0];
    let mut answer = client
        .open(Method::POST, CHAT, &[], chat_body("long", 100_000, true))
        .await
        .unwrap();
    answer.body_mut().frame().await.unwrap().unwrap();
    drop(answer);
    wait_until(async || engine.counters().cancelled == 1).await;

    engine.set_faults(EngineFaults {
        first_token_delay: Duration::from_secs(600),
        ..EngineFaults::default()
    });
    let caller = {
        let client = client.clone();
        tokio::spawn(async move { client.chat("late", 4, false).await })
    };
    wait_until(async || engine.counters().started == 2).await;
    caller.abort();
    wait_until(async || engine.counters().cancelled == 2).await;
    deployment.stop().await;
}

/// Engine that answers one request with an endless event stream. Returns the
/// bytes sent until the node closed the connection.
async fn endless_engine(listener: TcpListener) -> usize {
    let (mut socket, _) = listener.accept().await.unwrap();
    let mut request = Vec::new();
    while !request.ends_with(b"}]}") && !request.ends_with(b"}") {
        socket.read_buf(&mut request).await.unwrap();
    }
    let request = String::from_utf8_lossy(&request).to_lowercase();
    let id = request.split("x-request-id: ").nth(1).unwrap();
    let id = id.split("\r\n").next().unwrap();
    let answer_head =
        format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-request-id: {id}\r\n\r\n");
    socket.write_all(answer_head.as_bytes()).await.unwrap();
    let text = "x".repeat(4_000);
    let event = json!({ "id": id, "choices": [{ "delta": { "content": text } }] });
    let event = format!("data: {event}\n\n");
    let mut sent = 0;
    while socket.write_all(event.as_bytes()).await.is_ok() {
        sent += event.len();
    }
    sent
}

/// A caller that does not read must not make the node buffer the answer, and its
/// connection must be closed after `stall_timeout`.
#[tokio::test]
async fn slow_reader_is_bounded() {
    let limits = LimitSettings {
        stall_timeout: Duration::from_millis(300),
        ..LimitSettings::default()
    };
    let (deployment, client) = start(DeploymentSpec {
        centres: vec![dublin_centre(vec![engine_settings()])],
        limits,
        ..DeploymentSpec::default()
    })
    .await;
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    set_document_field(&deployment, ENGINE_DOCUMENT_KEY, "address", json!(address)).await;
    set_document_field(&deployment, ENGINE_DOCUMENT_KEY, "resumes", json!(false)).await;
    let endless = tokio::spawn(endless_engine(listener));
    let answer = client
        .open(Method::POST, CHAT, &[], chat_body("endless", 100_000, true))
        .await
        .unwrap();
    // The limit leaves room for the socket buffers of both connections, which hold
    // up to about 10 MB each.
    let sent = tokio::time::timeout(Duration::from_secs(30), endless).await;
    let sent = sent.expect("the stream ends").unwrap();
    assert!(sent < 64 * 1024 * 1024, "{sent} bytes");
    drop(answer);
    deployment.stop().await;
}

/// Sends raw bytes and reads until the node closes the connection.
async fn send_raw(address: SocketAddr, text: &[u8]) -> String {
    let mut socket = TcpStream::connect(address).await.unwrap();
    socket.write_all(text).await.unwrap();
    let mut answer = Vec::new();
    let read = socket.read_to_end(&mut answer);
    // The node may also close by a reset; the bytes read before it are kept.
    let _ = tokio::time::timeout(Duration::from_secs(30), read)
        .await
        .expect("the node closes the connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// A caller that stops sending in the middle of the head or body must not keep
/// its connection open.
#[tokio::test]
async fn stalled_sender_is_disconnected() {
    let limits = LimitSettings {
        header_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(200),
        ..LimitSettings::default()
    };
    let (deployment, _) = start(DeploymentSpec {
        centres: vec![dublin_centre(vec![engine_settings()])],
        limits,
        ..DeploymentSpec::default()
    })
    .await;
    let address = deployment.node(0).caller_address();
    let answer = send_raw(
        address,
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\n",
    )
    .await;
    assert!(!answer.contains("200 OK"), "{answer}");
    let text = format!(
        "POST {CHAT} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CUSTOMER_KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    let answer = send_raw(address, text.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("body_timeout"), "{answer}");
    deployment.stop().await;
}

/// Invalid requests must get an error with a code and must not affect a stream on
/// another connection.
#[tokio::test]
async fn invalid_requests_get_typed_errors() {
    let limits = LimitSettings {
        max_body_bytes: 4_096,
        max_head_bytes: 8_192,
        ..LimitSettings::default()
    };
    let (deployment, client) = start(DeploymentSpec {
        centres: vec![dublin_centre(vec![engine_settings()])],
        limits,
        ..DeploymentSpec::default()
    })
    .await;
    let address = deployment.node(0).caller_address();
    let open_stream = client
        .open(Method::POST, CHAT, &[], chat_body("other", 300, true))
        .await
        .unwrap();

    let large_body = chat_body(&"x".repeat(5_000), 4, false);
    let unknown_model = br#"{"model":"other","messages":[{"role":"user","content":"x"}]}"#;
    let requests: [(&str, Vec<u8>, u16, &str); 7] = [
        (CHAT, large_body, 413, "body_too_large"),
        (CHAT, b"{\"model\":".to_vec(), 400, "invalid_request"),
        (CHAT, b"[]".to_vec(), 400, "invalid_request"),
        (CHAT, b"\xff\xfe".to_vec(), 400, "invalid_request"),
        (CHAT, unknown_model.to_vec(), 404, "model_not_found"),
        ("/v1/elsewhere", Vec::new(), 404, "not_found"),
        ("/v1/services/jobs/x", Vec::new(), 403, "call_not_allowed"),
    ];
    for (path, body, status, code) in requests {
        let answer = client.send(Method::POST, path, &[], body).await;
        assert_eq!(answer.status, status, "{code}");
        assert_eq!(answer.json()["error"]["code"], code);
        assert_eq!(answer.json()["error"]["outcome"], "not_run");
        assert_eq!(answer.header("x-verbenaring-outcome"), "not_run");
    }
    let answer = TestClient::new(address, "nobody").chat("x", 4, false).await;
    assert_eq!(answer.json()["error"]["code"], "invalid_api_key");

    let large_head = format!("GET / HTTP/1.1\r\nx-large: {}\r\n\r\n", "x".repeat(20_000));
    let duplicate_lengths =
        "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd";
    let raw: [(&str, &str, &str); 4] = [
        (&large_head, "431", "head_too_large"),
        (
            "GET / HTTP/1.1\r\nbad header: x\r\n\r\n",
            "400",
            "invalid_head",
        ),
        (duplicate_lengths, "400", "invalid_head"),
        ("\x16\x03\x01\x02\r\n\r\n", "400", "invalid_head"),
    ];
    for (text, status, code) in raw {
        let answer = send_raw(address, text.as_bytes()).await;
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        assert!(
            answer.contains("x-verbenaring-outcome: not_run"),
            "{answer}"
        );
        assert!(answer.contains(code), "{answer}");
    }
    assert_eq!(deployment.centres[0].engines[0].counters().started, 1);
    let streamed = read_answer(open_stream).await;
    assert!(!streamed.broken);
    assert_eq!(streamed.chat_text(), expected_answer("other", 300));
    deployment.stop().await;
}

/// A graceful shutdown must break no stream, and the node must report not ready
/// while it still serves requests.
#[tokio::test]
async fn graceful_shutdown_breaks_no_stream() {
    let settings = EngineSettings {
        tokens_per_s: 100.0,
        ..engine_settings()
    };
    let (mut deployment, client) = start(DeploymentSpec {
        centres: vec![dublin_centre(vec![settings])],
        drain: Duration::from_millis(1_500),
        ..DeploymentSpec::default()
    })
    .await;
    let open_stream = client
        .open(Method::POST, CHAT, &[], chat_body("long", 300, true))
        .await
        .unwrap();
    let reading = tokio::spawn(read_answer(open_stream));
    assert_eq!(client.get("/readyz").await.status, 200);
    let node = deployment.centres[0].nodes.remove(0);
    let address = node.caller_address();
    let stopping = tokio::spawn(node.stop());
    wait_until(async || client.get("/readyz").await.status == 503).await;
    assert_eq!(client.get("/healthz").await.status, 200);
    assert_eq!(client.get("/v1/entry").await.json()["entries"], json!([]));
    let served = client.chat("short", 4, false).await;
    assert_eq!(served.chat_text(), expected_answer("short", 4));

    let answer = reading.await.unwrap();
    assert!(!answer.broken);
    assert_eq!(answer.chat_text(), expected_answer("long", 300));
    stopping.await.unwrap();
    assert!(TcpStream::connect(address).await.is_err());
}

/// Guards against a node that still serves while it stops, but under a contract that was
/// replaced meanwhile.
#[tokio::test]
async fn a_stopping_node_follows_the_configuration() {
    /// Time in which a node that has left chooses the watchers of its data centre again.
    const REFRESH_TIME: Duration = Duration::from_millis(1_500);
    let (mut deployment, client) = start(DeploymentSpec {
        centres: vec![dublin_centre(vec![engine_settings()])],
        drain: Duration::from_secs(10),
        ..DeploymentSpec::default()
    })
    .await;
    let node = deployment.centres[0].nodes.remove(0);
    let stopping = tokio::spawn(node.stop());
    wait_until(async || client.get("/readyz").await.status == 503).await;
    tokio::time::sleep(REFRESH_TIME).await;
    assert_eq!(client.chat("before", 4, false).await.status, 200);
    let elsewhere = contract_document("council", CUSTOMER_KEY, "cork", &["cork"]);
    deployment
        .write("config/contract/council", &elsewhere)
        .await;
    wait_until(async || client.chat("after", 4, false).await.status == 403).await;
    stopping.abort();
    deployment.stop().await;
}
