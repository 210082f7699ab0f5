//! Checks of the model engine.

use std::net::SocketAddr;
use std::time::Duration;

use async_openai::types::{CreateChatCompletionResponse, CreateChatCompletionStreamResponse};
use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};
use verbenaring_testbed::{
    CrashPoint, EngineFaults, EngineServer, EngineSettings, expected_answer,
};

use crate::{attempt, breaks, call, read, send, until};

const CHAT: &str = "/v1/chat/completions";

async fn engine(settings: EngineSettings) -> EngineServer {
    EngineServer::start(settings).await.unwrap()
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

async fn metric(address: SocketAddr, name: &str) -> String {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let address = format!("http://{address}/metrics").parse().unwrap();
    let (text, _) = read(client.get(address).await.unwrap().into_body()).await;
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().to_owned()
}

/// Whole and streamed answers must carry identifier and text of their request
/// in the form that an unmodified client library reads.
#[tokio::test(start_paused = true)]
async fn answers_the_request_it_was_sent() {
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
async fn runs_low_priority_numbers_first() {
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
async fn caches_prefixes_in_limited_memory() {
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
async fn stops_cancelled_and_abandoned_attempts() {
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
async fn crashes_on_a_marked_prompt_and_restarts() {
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
async fn resumes_a_stream_broken_by_a_crash() {
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
async fn crosses_truncates_and_refuses_on_demand() {
    let engine = engine(EngineSettings::default()).await;
    let address = engine.address();
    let headers = [("x-request-id", "mine")];
    engine.set_faults(EngineFaults {
        mismatched_answers: true,
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
    assert_eq!(response.headers()["x-request-id"], "new");
    assert!(!response.headers().contains_key("x-verbenaring-outcome"));
    assert!(!engine.executions().contains_key("new"));
}

/// An outdated fencing token must be refused only by engines that check it.
#[tokio::test(start_paused = true)]
async fn checks_or_ignores_fencing_tokens() {
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
async fn reports_load_with_a_lag() {
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

/// A straggler must take longer by its factor, a late answer by its delay.
#[tokio::test(start_paused = true)]
async fn slows_down_and_holds_answers_back() {
    let engine = engine(EngineSettings::default()).await;
    let mut times = Vec::new();
    for (slow_factor, late_s) in [(1.0, 0), (4.0, 0), (1.0, 30)] {
        engine.set_faults(EngineFaults {
            slow_factor,
            first_token_delay: Duration::from_secs(late_s),
            ..Default::default()
        });
        let start = Instant::now();
        call(engine.address(), CHAT, chat("time", 100)).await;
        times.push(start.elapsed().as_secs_f64());
    }
    assert!((0.2..0.3).contains(&times[0]), "{times:?}");
    assert!((0.8..0.9).contains(&times[1]), "{times:?}");
    assert!((30.2..30.3).contains(&times[2]), "{times:?}");
}
