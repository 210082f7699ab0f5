//! Checks of the stand-ins over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use async_openai::types::{CreateChatCompletionResponse, CreateChatCompletionStreamResponse};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::sleep;
use verbenaring_testbed::{
    CrashPoint, EngineFaults, EngineServer, EngineSettings, ServiceFaults, ServiceServer,
    ServiceSettings, StoreFaults, StoreServer, StoreSettings, expected_answer,
};

const CHAT: &str = "/v1/chat/completions";

type Headers<'a> = &'a [(&'a str, &'a str)];

async fn attempt(
    address: SocketAddr,
    path: &str,
    headers: Headers<'_>,
    body: &Value,
) -> Result<Response<Incoming>, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = Request::post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::from(body.to_string())).unwrap();
    client.request(request).await
}

async fn send(
    address: SocketAddr,
    path: &str,
    headers: Headers<'_>,
    body: &Value,
) -> Response<Incoming> {
    attempt(address, path, headers, body).await.unwrap()
}

/// Whether the connection broke before a response.
async fn breaks(address: SocketAddr, path: &str, body: &Value) -> bool {
    attempt(address, path, &[], body).await.is_err()
}

/// Text of a body and whether the body ended as a complete HTTP message.
async fn read(mut body: Incoming) -> (String, bool) {
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (String::from_utf8(text).unwrap(), false);
        };
        text.extend_from_slice(frame.data_ref().unwrap());
    }
    (String::from_utf8(text).unwrap(), true)
}

async fn read_lines(body: &mut Incoming, count: usize) -> String {
    let mut text = String::new();
    while text.lines().count() < count {
        let frame = body.frame().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
    }
    text
}

async fn call(address: SocketAddr, path: &str, body: Value) -> Value {
    let response = send(address, path, &[], &body).await;
    serde_json::from_str(&read(response.into_body()).await.0).unwrap()
}

async fn until(condition: impl Fn() -> bool) {
    for _ in 0..10_000 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("condition was not met");
}

async fn metric(address: SocketAddr, name: &str) -> String {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let address = format!("http://{address}/metrics").parse().unwrap();
    let (text, _) = read(client.get(address).await.unwrap().into_body()).await;
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().to_owned()
}

fn blob(text: &str) -> String {
    STANDARD.encode(text)
}

fn chat(prompt: &str, tokens: u32) -> Value {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"model": "standin", "messages": messages, "max_tokens": tokens})
}

fn streamed(prompt: &str, tokens: u32) -> Value {
    let mut body = chat(prompt, tokens);
    body["stream"] = json!(true);
    body["stream_options"] = json!({"include_usage": true});
    body
}

fn events(text: &str) -> impl Iterator<Item = &str> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.filter(|line| line.starts_with('{'))
}

fn stream_text(text: &str) -> String {
    let events = events(text).map(|event| serde_json::from_str::<Value>(event).unwrap());
    let deltas = events.map(|event| event["choices"][0]["delta"]["content"].clone());
    deltas
        .map(|delta| delta.as_str().unwrap_or_default().to_owned())
        .collect()
}

async fn engine(settings: EngineSettings) -> EngineServer {
    EngineServer::start(settings).await.unwrap()
}

async fn store() -> StoreServer {
    StoreServer::start(StoreSettings::default()).await.unwrap()
}

fn claim(key: &str, value: &str) -> Value {
    let compare = json!([{"key": blob(key), "target": "CREATE", "create_revision": "0"}]);
    let put = json!([{"request_put": {"key": blob(key), "value": blob(value)}}]);
    let read = json!([{"request_range": {"key": blob(key)}}]);
    json!({"compare": compare, "success": put, "failure": read})
}

/// A lost answer must leave the write in force, and a read must find it.
#[tokio::test(start_paused = true)]
async fn store_keeps_a_write_whose_answer_is_lost() {
    let store = store().await;
    let put = json!({"key": blob("a"), "value": blob("1")});
    store.set_faults(StoreFaults {
        lose_answers: true,
        ..Default::default()
    });
    assert!(breaks(store.address(), "/v3/kv/put", &put).await);
    store.set_faults(StoreFaults::default());
    let found = call(store.address(), "/v3/kv/range", json!({"key": blob("a")})).await;
    assert_eq!(found["kvs"][0]["value"], blob("1"));
    assert_eq!(found["kvs"][0]["mod_revision"], "2");
    assert_eq!((store.counters().reads, store.counters().writes), (1, 1));
}

/// A late write must be invisible at first and take effect without its caller.
#[tokio::test(start_paused = true)]
async fn store_applies_a_late_write_after_its_caller_is_gone() {
    let store = store().await;
    let late_writes = Some(Duration::from_secs(60));
    store.set_faults(StoreFaults {
        late_writes,
        ..Default::default()
    });
    let put = json!({"key": blob("a"), "value": blob("1")});
    assert!(breaks(store.address(), "/v3/kv/put", &put).await);
    assert_eq!(store.revision(), 1);
    sleep(Duration::from_secs(61)).await;
    assert_eq!(store.revision(), 2);
    store.set_faults(StoreFaults {
        down: true,
        ..Default::default()
    });
    assert!(breaks(store.address(), "/v3/kv/range", &put).await);
}

/// A group of claims must decide each claim on its own, in one revision.
#[tokio::test(start_paused = true)]
async fn store_decides_nested_transactions_independently() {
    let store = store().await;
    call(store.address(), "/v3/kv/txn", claim("a", "first")).await;
    let nested: Vec<Value> = [claim("a", "second"), claim("b", "second")]
        .into_iter()
        .map(|claim| json!({"request_txn": claim}))
        .collect();
    let answer = call(store.address(), "/v3/kv/txn", json!({"success": nested})).await;
    let [lost, won] = [0, 1].map(|index| &answer["responses"][index]["response_txn"]);
    assert!(lost["succeeded"].is_null());
    let found = &lost["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], blob("first"));
    assert_eq!(won["succeeded"], true);
    assert_eq!(store.revision(), 3);
}

/// Requests beyond the published limits must be refused without any effect.
#[tokio::test(start_paused = true)]
async fn store_refuses_what_the_protocol_refuses() {
    let store = store().await;
    let put = |key: &str| json!({"request_put": {"key": blob(key), "value": ""}});
    let many: Vec<Value> = (0..129).map(|index| put(&index.to_string())).collect();
    let large = json!({"request_put": {"key": blob("a"), "value": blob(&"x".repeat(1_000_001))}});
    let twice = json!([put("a"), put("a")]);
    for operations in [json!(many), twice, json!([put("b"), large])] {
        let body = json!({"success": operations});
        let response = send(store.address(), "/v3/kv/txn", &[], &body).await;
        assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    }
    assert_eq!(store.revision(), 1);
}

/// A watch must replay from its start revision and see keys end with their lease.
#[tokio::test(start_paused = true)]
async fn store_watch_replays_and_sees_leases_expire() {
    let store = store().await;
    let lease = call(store.address(), "/v3/lease/grant", json!({"TTL": "10"})).await;
    let put = json!({"key": blob("vm/1"), "value": blob("live"), "lease": lease["ID"]});
    call(store.address(), "/v3/kv/put", put).await;
    let other = json!({"key": blob("other"), "value": ""});
    call(store.address(), "/v3/kv/put", other).await;
    let create = json!({"key": blob("vm/"), "range_end": blob("vm0"), "start_revision": "2"});
    let watch = json!({"create_request": create});
    let mut body = send(store.address(), "/v3/watch", &[], &watch)
        .await
        .into_body();
    let mut text = read_lines(&mut body, 2).await;
    assert_eq!(store.counters().watches, 1);
    sleep(Duration::from_secs(11)).await;
    text += &read_lines(&mut body, 1).await;
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let lines: Vec<Value> = lines.collect();
    assert_eq!(lines[0]["result"]["created"], true);
    assert_eq!(lines[1]["result"]["events"][0]["kv"]["key"], blob("vm/1"));
    assert_eq!(lines[1]["result"]["events"].as_array().unwrap().len(), 1);
    assert_eq!(lines[2]["result"]["events"][0]["type"], "DELETE");
    drop(body);
    until(|| store.counters().watches == 0).await;
}

/// Whole and streamed answers must carry identifier and text of their request
/// in the form that an unmodified client library reads.
#[tokio::test(start_paused = true)]
async fn engine_answers_the_request_it_was_sent() {
    let engine = engine(EngineSettings::default()).await;
    let headers = [("x-request-id", "attempt-1")];
    let response = send(engine.address(), CHAT, &headers, &chat("fix it", 20)).await;
    assert_eq!(response.headers()["x-request-id"], "attempt-1");
    let (text, _) = read(response.into_body()).await;
    let answer: CreateChatCompletionResponse = serde_json::from_str(&text).unwrap();
    assert_eq!(answer.id, "attempt-1");
    let content = answer.choices[0].message.content.as_deref();
    assert_eq!(content, Some(expected_answer("fix it", 20).as_str()));
    assert_eq!(answer.usage.unwrap().completion_tokens, 20);

    let response = send(engine.address(), CHAT, &headers, &streamed("fix it", 20)).await;
    let (text, complete) = read(response.into_body()).await;
    assert!(complete && text.ends_with("data: [DONE]\n\n"));
    assert_eq!(stream_text(&text), expected_answer("fix it", 20));
    for event in events(&text) {
        let event: CreateChatCompletionStreamResponse = serde_json::from_str(event).unwrap();
        assert_eq!(event.id, "attempt-1");
    }
    assert!(text.contains(r#""completion_tokens":20"#));
    assert_eq!(engine.executions()["attempt-1"], 2);
}

/// The waiting request with the lowest priority number must run first.
#[tokio::test(start_paused = true)]
async fn engine_runs_low_priority_numbers_first() {
    let slots = 1;
    let engine = engine(EngineSettings {
        slots,
        ..Default::default()
    })
    .await;
    let address = engine.address();
    let holder = tokio::spawn(async move { call(address, CHAT, chat("hold", 100)).await });
    until(|| engine.counters().started == 1).await;
    let (sender, mut finished) = tokio::sync::mpsc::unbounded_channel();
    for priority in [5, 1] {
        let sender = sender.clone();
        tokio::spawn(async move {
            let mut body = chat("wait", 1);
            body["priority"] = json!(priority);
            call(address, CHAT, body).await;
            sender.send(priority).unwrap();
        });
    }
    while metric(address, "num_requests_waiting").await != "2" {
        assert!(!holder.is_finished());
    }
    assert_eq!(finished.recv().await, Some(1));
    assert_eq!(finished.recv().await, Some(5));
}

/// A repeated prompt must be found in the cache until memory is needed for others.
#[tokio::test(start_paused = true)]
async fn engine_caches_prefixes_in_limited_memory() {
    let engine = engine(EngineSettings {
        cache_tokens: 64,
        ..Default::default()
    })
    .await;
    let cached = async |prompt: &str| {
        let answer = call(engine.address(), CHAT, chat(prompt, 1)).await;
        answer["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
    };
    let [first, second] = ["a ", "b "].map(|word| word.repeat(64));
    assert_eq!(cached(&first).await, 0);
    assert_eq!(cached(&first).await, 64);
    assert_eq!(cached(&second).await, 0);
    assert_eq!(cached(&first).await, 0);
}

/// A cancelled or abandoned attempt must free its slot.
#[tokio::test(start_paused = true)]
async fn engine_stops_cancelled_and_abandoned_attempts() {
    let slots = 1;
    let engine = engine(EngineSettings {
        slots,
        ..Default::default()
    })
    .await;
    let address = engine.address();
    let headers = [("x-request-id", "long")];
    let running = tokio::spawn(async move {
        attempt(address, CHAT, &headers, &chat("long", 100_000))
            .await
            .is_err()
    });
    until(|| engine.counters().started == 1).await;
    let answer = call(address, "/v1/cancel/long", json!({})).await;
    assert_eq!(answer["cancelled"], true);
    assert!(running.await.unwrap());
    let response = send(address, CHAT, &headers, &streamed("long", 100_000)).await;
    let waiting = tokio::spawn(async move { breaks(address, CHAT, &chat("wait", 1)).await });
    while metric(address, "num_requests_waiting").await != "1" {}
    waiting.abort();
    until(|| engine.counters().cancelled == 2).await;
    drop(response);
    until(|| engine.counters().cancelled == 3).await;
    call(address, CHAT, chat("next", 1)).await;
    assert_eq!(
        (engine.counters().started, engine.counters().completed),
        (3, 1)
    );
}

/// A crash must reset all connections, and the engine must return after its restart.
#[tokio::test(start_paused = true)]
async fn engine_crashes_on_a_marked_prompt_and_restarts() {
    let engine = engine(EngineSettings::default()).await;
    let address = engine.address();
    let crash_marker = Some("poison".to_owned());
    engine.set_faults(EngineFaults {
        crash_marker,
        ..Default::default()
    });
    let bystander =
        tokio::spawn(async move { breaks(address, CHAT, &chat("calm", 100_000)).await });
    until(|| engine.counters().started == 1).await;
    assert!(breaks(address, CHAT, &chat("a poison pill", 5)).await);
    assert!(bystander.await.unwrap());
    assert!(breaks(address, CHAT, &chat("calm", 5)).await);
    assert_eq!(engine.counters().crashes, 1);
    sleep(Duration::from_millis(500)).await;
    let answer = call(address, CHAT, chat("calm", 5)).await;
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(*content, expected_answer("calm", 5));
}

/// A stream that a crash broke must continue at the token where it broke.
#[tokio::test(start_paused = true)]
async fn engine_resumes_a_stream_broken_by_a_crash() {
    let engine = engine(EngineSettings::default()).await;
    let crash = Some(CrashPoint::AfterTokens(4));
    engine.set_faults(EngineFaults {
        crash,
        ..Default::default()
    });
    let response = send(engine.address(), CHAT, &[], &streamed("long", 10)).await;
    let (text, complete) = read(response.into_body()).await;
    assert!(!complete);
    let received = stream_text(&text);
    let from = received.split_whitespace().count().to_string();
    sleep(Duration::from_millis(500)).await;
    let headers = [("x-resume-attempt", "a"), ("x-resume-from", &from)];
    let response = send(engine.address(), CHAT, &headers, &streamed("long", 10)).await;
    let (text, complete) = read(response.into_body()).await;
    assert!(complete);
    assert_eq!(received + &stream_text(&text), expected_answer("long", 10));
}

/// Crossed, truncated and refused answers must look as a faulty engine sends them.
#[tokio::test(start_paused = true)]
async fn engine_crosses_truncates_and_refuses_on_demand() {
    let engine = engine(EngineSettings::default()).await;
    let address = engine.address();
    let headers = [("x-request-id", "mine")];
    engine.set_faults(EngineFaults {
        crossed: true,
        ..Default::default()
    });
    let response = send(address, CHAT, &headers, &chat("mine", 5)).await;
    assert_ne!(response.headers()["x-request-id"], "mine");
    let text = read(response.into_body()).await.0;
    assert!(!text.contains(&expected_answer("mine", 5)));
    for truncate_cleanly in [true, false] {
        let truncate_after = Some(3);
        engine.set_faults(EngineFaults {
            truncate_after,
            truncate_cleanly,
            ..Default::default()
        });
        let response = send(address, CHAT, &headers, &streamed("mine", 5)).await;
        let (text, complete) = read(response.into_body()).await;
        assert_eq!(complete, truncate_cleanly);
        assert_eq!(stream_text(&text), expected_answer("mine", 3));
        assert!(!text.contains("[DONE]"));
    }
    engine.set_faults(EngineFaults {
        refuse: true,
        ..Default::default()
    });
    let response = send(address, CHAT, &[("x-request-id", "new")], &chat("new", 5)).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["retry-after"], "1");
    assert!(!response.headers().contains_key("x-verbenaring-outcome"));
    assert!(!engine.executions().contains_key("new"));
}

/// An outdated fencing token must be refused only by engines that check it.
#[tokio::test(start_paused = true)]
async fn engine_checks_or_ignores_fencing_tokens() {
    for check_fencing in [true, false] {
        let engine = engine(EngineSettings {
            check_fencing,
            ..EngineSettings::default()
        })
        .await;
        let order =
            |token: i64| json!({"models": ["new"], "role": "decode", "fencing_token": token});
        for (token, accepted) in [(7, true), (7, true), (6, !check_fencing)] {
            let sent = send(engine.address(), "/v1/orders", &[], &order(token)).await;
            assert_eq!(sent.status().is_success(), accepted);
        }
        let refused = send(engine.address(), CHAT, &[], &chat("old model", 1)).await;
        assert_eq!(refused.status(), StatusCode::NOT_FOUND);
    }
}

/// The load report must show the load as it was one lag ago.
#[tokio::test(start_paused = true)]
async fn engine_reports_load_with_a_lag() {
    let report_lag = Duration::from_secs(10);
    let engine = engine(EngineSettings {
        report_lag,
        ..EngineSettings::default()
    })
    .await;
    let address = engine.address();
    tokio::spawn(async move { breaks(address, CHAT, &chat("long", 100_000)).await });
    until(|| engine.counters().started == 1).await;
    assert_eq!(metric(address, "num_requests_running").await, "0");
    sleep(report_lag).await;
    assert_eq!(metric(address, "num_requests_running").await, "1");
    engine.stop().await;
    assert!(breaks(address, CHAT, &chat("stopped", 1)).await);
}

/// A call whose answer is lost must be recorded, one that met a crash before must not.
#[tokio::test(start_paused = true)]
async fn service_records_exactly_the_executed_calls() {
    let settings = ServiceSettings::default();
    let service = ServiceServer::start(settings).await.unwrap();
    let body = json!({"operation": "book-7"});
    service.set_faults(ServiceFaults {
        lose_answer: true,
        ..Default::default()
    });
    assert!(breaks(service.address(), "/bookings", &body).await);
    service.set_faults(ServiceFaults {
        crash_before: true,
        ..Default::default()
    });
    assert!(breaks(service.address(), "/bookings", &body).await);
    assert_eq!(service.executions("book-7"), 1);
    service.set_faults(ServiceFaults::default());
    assert!(breaks(service.address(), "/bookings", &body).await);
    sleep(Duration::from_millis(500)).await;
    let headers = [("x-request-id", "second")];
    let response = send(service.address(), "/bookings", &headers, &body).await;
    assert_eq!(response.headers()["x-request-id"], "second");
    assert_eq!(service.executions("book-7"), 2);
    assert_eq!(service.calls()[1].request_id, "second");
}
