//! Tests of the engine stand-in.

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

use crate::{connection_breaks, read_body, send, send_json, try_send, wait_until};

const CHAT_PATH: &str = "/v1/chat/completions";

async fn start_engine(settings: EngineSettings) -> EngineServer {
    EngineServer::start(settings).await.unwrap()
}

fn chat_body(prompt: &str, tokens: u32) -> Value {
    let messages = json!([{"role": "user", "content": prompt}]);
    json!({"model": "standin", "messages": messages, "max_tokens": tokens})
}

/// Body of a streamed chat completion request that asks for the token counts.
fn streamed_body(prompt: &str, tokens: u32) -> Value {
    let mut body = chat_body(prompt, tokens);
    body["stream"] = json!(true);
    body["stream_options"] = json!({"include_usage": true});
    body
}

/// JSON payloads of the events in a stream, without the end marker.
fn event_payloads(text: &str) -> impl Iterator<Item = &str> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("data: "));
    lines.filter(|line| line.starts_with('{'))
}

fn stream_text(text: &str) -> String {
    let events = event_payloads(text).map(|event| serde_json::from_str::<Value>(event).unwrap());
    let deltas = events.map(|event| event["choices"][0]["delta"]["content"].clone());
    deltas
        .map(|delta| delta.as_str().unwrap_or_default().to_owned())
        .collect()
}

/// Value of a metric as text.
async fn read_metric(address: SocketAddr, name: &str) -> String {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let address = format!("http://{address}/metrics").parse().unwrap();
    let (text, _) = read_body(client.get(address).await.unwrap().into_body()).await;
    let line = text.lines().find(|line| line.starts_with(name)).unwrap();
    line.rsplit(' ').next().unwrap().to_owned()
}

/// Plain and streamed answers must have the ID of the request and the text for
/// its prompt, in a form that an unmodified client library can parse.
#[tokio::test(start_paused = true)]
async fn answers_the_request_it_was_sent() {
    let engine = start_engine(EngineSettings::default()).await;
    let headers = [("x-request-id", "attempt-1")];
    let response = send(
        engine.address(),
        CHAT_PATH,
        &headers,
        &chat_body("fix it", 20),
    )
    .await;
    assert_eq!(response.headers()["x-request-id"], "attempt-1");
    let (text, _) = read_body(response.into_body()).await;
    let answer: CreateChatCompletionResponse = serde_json::from_str(&text).unwrap();
    assert_eq!(answer.id, "attempt-1");
    let content = answer.choices[0].message.content.as_deref();
    assert_eq!(content, Some(expected_answer("fix it", 20).as_str()));
    assert_eq!(answer.usage.unwrap().completion_tokens, 20);

    let response = send(
        engine.address(),
        CHAT_PATH,
        &headers,
        &streamed_body("fix it", 20),
    )
    .await;
    let (text, complete) = read_body(response.into_body()).await;
    assert!(complete && text.ends_with("data: [DONE]\n\n"));
    assert_eq!(stream_text(&text), expected_answer("fix it", 20));
    for event in event_payloads(&text) {
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
    let engine = start_engine(EngineSettings {
        slots,
        ..Default::default()
    })
    .await;
    let address = engine.address();
    let running =
        tokio::spawn(async move { send_json(address, CHAT_PATH, chat_body("hold", 100)).await });
    wait_until(|| engine.counters().started == 1).await;
    let (sender, mut finished) = tokio::sync::mpsc::unbounded_channel();
    for priority in [5, 1] {
        let sender = sender.clone();
        tokio::spawn(async move {
            let mut body = chat_body("wait", 1);
            body["priority"] = json!(priority);
            send_json(address, CHAT_PATH, body).await;
            sender.send(priority).unwrap();
        });
    }
    while read_metric(address, "num_requests_waiting").await != "2" {
        assert!(!running.is_finished());
    }
    assert_eq!(finished.recv().await, Some(1));
    assert_eq!(finished.recv().await, Some(5));
}

/// A repeated prompt must be found in the cache until other prompts evict it.
#[tokio::test(start_paused = true)]
async fn caches_prefixes_in_limited_memory() {
    let engine = start_engine(EngineSettings {
        cache_tokens: 64,
        ..Default::default()
    })
    .await;
    let cached_tokens = async |prompt: &str| {
        let answer = send_json(engine.address(), CHAT_PATH, chat_body(prompt, 1)).await;
        answer["usage"]["prompt_tokens_details"]["cached_tokens"].clone()
    };
    let [first, second] = ["a ", "b "].map(|word| word.repeat(64));
    assert_eq!(cached_tokens(&first).await, 0);
    assert_eq!(cached_tokens(&first).await, 64);
    assert_eq!(cached_tokens(&second).await, 0);
    assert_eq!(cached_tokens(&first).await, 0);
}

/// An attempt must free its slot when it is cancelled and when its client
/// disconnects, both while it runs and while it waits.
#[tokio::test(start_paused = true)]
async fn stops_cancelled_and_abandoned_attempts() {
    let slots = 1;
    let engine = start_engine(EngineSettings {
        slots,
        ..Default::default()
    })
    .await;
    let address = engine.address();
    let headers = [("x-request-id", "long")];
    let running = tokio::spawn(async move {
        try_send(address, CHAT_PATH, &headers, &chat_body("long", 100_000))
            .await
            .is_err()
    });
    wait_until(|| engine.counters().started == 1).await;
    let answer = send_json(address, "/v1/cancel/long", json!({})).await;
    assert_eq!(answer["cancelled"], true);
    assert!(running.await.unwrap());
    let response = send(
        address,
        CHAT_PATH,
        &headers,
        &streamed_body("long", 100_000),
    )
    .await;
    let waiting =
        tokio::spawn(
            async move { connection_breaks(address, CHAT_PATH, &chat_body("wait", 1)).await },
        );
    while read_metric(address, "num_requests_waiting").await != "1" {}
    waiting.abort();
    wait_until(|| engine.counters().cancelled == 2).await;
    drop(response);
    wait_until(|| engine.counters().cancelled == 3).await;
    send_json(address, CHAT_PATH, chat_body("next", 1)).await;
    assert_eq!(
        (engine.counters().started, engine.counters().completed),
        (3, 1)
    );
}

/// A crash must reset all connections, and the engine must answer again after
/// its restart time.
#[tokio::test(start_paused = true)]
async fn crashes_on_a_marked_prompt_and_restarts() {
    let engine = start_engine(EngineSettings::default()).await;
    let address = engine.address();
    let crash_marker = Some("poison".to_owned());
    engine.set_faults(EngineFaults {
        crash_marker,
        ..Default::default()
    });
    let other_request = tokio::spawn(async move {
        connection_breaks(address, CHAT_PATH, &chat_body("calm", 100_000)).await
    });
    wait_until(|| engine.counters().started == 1).await;
    assert!(connection_breaks(address, CHAT_PATH, &chat_body("a poison pill", 5)).await);
    assert!(other_request.await.unwrap());
    assert!(connection_breaks(address, CHAT_PATH, &chat_body("calm", 5)).await);
    assert_eq!(engine.counters().crashes, 1);
    sleep(Duration::from_millis(500)).await;
    let answer = send_json(address, CHAT_PATH, chat_body("calm", 5)).await;
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(*content, expected_answer("calm", 5));
}

/// A stream that a crash broke must resume at the first token that was not
/// received.
#[tokio::test(start_paused = true)]
async fn resumes_a_stream_broken_by_a_crash() {
    let engine = start_engine(EngineSettings::default()).await;
    let crash = Some(CrashPoint::AfterTokens(4));
    engine.set_faults(EngineFaults {
        crash,
        ..Default::default()
    });
    let response = send(engine.address(), CHAT_PATH, &[], &streamed_body("long", 10)).await;
    let (text, complete) = read_body(response.into_body()).await;
    assert!(!complete);
    let received = stream_text(&text);
    let from = received.split_whitespace().count().to_string();
    sleep(Duration::from_millis(500)).await;
    let headers = [("x-resume-attempt", "a"), ("x-resume-from", &from)];
    let response = send(
        engine.address(),
        CHAT_PATH,
        &headers,
        &streamed_body("long", 10),
    )
    .await;
    let (text, complete) = read_body(response.into_body()).await;
    assert!(complete);
    assert_eq!(received + &stream_text(&text), expected_answer("long", 10));
}

/// With the faults set, answers must be mismatched, truncated or refused as a
/// faulty engine would send them.
#[tokio::test(start_paused = true)]
async fn sends_mismatched_truncated_and_refused_answers() {
    let engine = start_engine(EngineSettings::default()).await;
    let address = engine.address();
    let headers = [("x-request-id", "mine")];
    engine.set_faults(EngineFaults {
        mismatched_answers: true,
        ..Default::default()
    });
    let response = send(address, CHAT_PATH, &headers, &chat_body("mine", 5)).await;
    assert_ne!(response.headers()["x-request-id"], "mine");
    let text = read_body(response.into_body()).await.0;
    assert!(!text.contains(&expected_answer("mine", 5)));
    for truncate_cleanly in [true, false] {
        let truncate_after = Some(3);
        engine.set_faults(EngineFaults {
            truncate_after,
            truncate_cleanly,
            ..Default::default()
        });
        let response = send(address, CHAT_PATH, &headers, &streamed_body("mine", 5)).await;
        let (text, complete) = read_body(response.into_body()).await;
        assert_eq!(complete, truncate_cleanly);
        assert_eq!(stream_text(&text), expected_answer("mine", 3));
        assert!(!text.contains("[DONE]"));
    }
    engine.set_faults(EngineFaults {
        refuse: true,
        ..Default::default()
    });
    let response = send(
        address,
        CHAT_PATH,
        &[("x-request-id", "new")],
        &chat_body("new", 5),
    )
    .await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()["retry-after"], "1");
    assert_eq!(response.headers()["x-request-id"], "new");
    assert!(!response.headers().contains_key("x-verbenaring-outcome"));
    assert!(!engine.executions().contains_key("new"));
}

/// Only engines that check fencing tokens must refuse an outdated one.
#[tokio::test(start_paused = true)]
async fn checks_or_ignores_fencing_tokens() {
    for check_fencing in [true, false] {
        let engine = start_engine(EngineSettings {
            check_fencing,
            ..EngineSettings::default()
        })
        .await;
        let order =
            |token: i64| json!({"models": ["new"], "role": "decode", "fencing_token": token});
        for (token, accepted) in [(7, true), (7, true), (6, !check_fencing)] {
            let response = send(engine.address(), "/v1/orders", &[], &order(token)).await;
            assert_eq!(response.status().is_success(), accepted);
        }
        let refused = send(engine.address(), CHAT_PATH, &[], &chat_body("old model", 1)).await;
        assert_eq!(refused.status(), StatusCode::NOT_FOUND);
    }
}

/// The metrics must show the load as it was `report_lag` ago.
#[tokio::test(start_paused = true)]
async fn reports_load_with_a_lag() {
    let report_lag = Duration::from_secs(10);
    let engine = start_engine(EngineSettings {
        report_lag,
        ..EngineSettings::default()
    })
    .await;
    let address = engine.address();
    tokio::spawn(async move {
        connection_breaks(address, CHAT_PATH, &chat_body("long", 100_000)).await
    });
    wait_until(|| engine.counters().started == 1).await;
    assert_eq!(read_metric(address, "num_requests_running").await, "0");
    sleep(report_lag).await;
    assert_eq!(read_metric(address, "num_requests_running").await, "1");
    engine.stop().await;
    assert!(connection_breaks(address, CHAT_PATH, &chat_body("stopped", 1)).await);
}

/// The fault `slow_factor` must multiply the time of an answer, and
/// `first_token_delay` must add to it.
#[tokio::test(start_paused = true)]
async fn slows_down_and_holds_answers_back() {
    let engine = start_engine(EngineSettings::default()).await;
    let mut times = Vec::new();
    for (slow_factor, delay_s) in [(1.0, 0), (4.0, 0), (1.0, 30)] {
        engine.set_faults(EngineFaults {
            slow_factor,
            first_token_delay: Duration::from_secs(delay_s),
            ..Default::default()
        });
        let start = Instant::now();
        send_json(engine.address(), CHAT_PATH, chat_body("time", 100)).await;
        times.push(start.elapsed().as_secs_f64());
    }
    assert!((0.2..0.3).contains(&times[0]), "{times:?}");
    assert!((0.8..0.9).contains(&times[1]), "{times:?}");
    assert!((30.2..30.3).contains(&times[2]), "{times:?}");
}
