//! Engine answers that belong to another request, come late, or end early because
//! of a truncation or crash.

use std::time::Duration;

use serde_json::json;
use verbenaring_testbed::client::{TestAnswer, TestClient};
use verbenaring_testbed::{
    CrashPoint, EngineFaults, EngineSettings, UnframedAnswer, expected_answer,
};

use crate::{ENGINE_DOCUMENT_KEY, engine_settings, set_document_field, start_dublin};

const PROMPT: &str = "the arm of the awning is bent";

/// Maximum number of chats until the engine that is set to crash is chosen.
const MAX_CHATS: usize = 2_000;

fn engine_without_resume() -> EngineSettings {
    EngineSettings {
        resume: false,
        ..engine_settings()
    }
}

/// Asserts that the caller received `tokens` tokens, then an error event, and
/// neither `[DONE]` nor a clean end of the body.
fn assert_broken(answer: &TestAnswer, tokens: u32) {
    let events = answer.events();
    let error: serde_json::Value = serde_json::from_str(events.last().unwrap()).unwrap();
    assert_eq!(error["error"]["code"], "stream_broken");
    assert_eq!(error["error"]["outcome"], "unknown");
    assert!(answer.broken);
    assert!(!events.iter().any(|event| event == "[DONE]"));
    assert_eq!(answer.chat_text(), expected_answer(PROMPT, tokens));
}

fn assert_complete(answer: &TestAnswer, prompt: &str, tokens: u32) {
    assert_eq!(answer.status, 200);
    assert!(!answer.broken);
    assert_eq!(answer.chat_text(), expected_answer(prompt, tokens));
}

/// An answer that carries the identifier of another request must never reach the
/// caller.
#[tokio::test]
async fn crossed_answer_is_withheld() {
    let (deployment, client) = start_dublin(vec![engine_settings()]).await;
    let engines = &deployment.centres[0].engines;
    engines[0].set_faults(EngineFaults {
        mismatched_answers: true,
        ..EngineFaults::default()
    });
    for stream in [false, true] {
        let answer = client.chat(PROMPT, 6, stream).await;
        assert_eq!(answer.status, 502);
        assert_eq!(answer.json()["error"]["code"], "foreign_answer");
        assert_eq!(answer.header("x-verbenaring-outcome"), "unknown");
    }
    deployment.stop().await;
}

/// While one engine sends answers of other requests, concurrent callers must each
/// get their own answer from the healthy engine.
#[tokio::test]
async fn crossed_answers_are_retried() {
    let (deployment, client) = start_dublin(vec![engine_settings(), engine_settings()]).await;
    deployment.centres[0].engines[0].set_faults(EngineFaults {
        mismatched_answers: true,
        ..EngineFaults::default()
    });
    let prompts: Vec<String> = (0..6).map(|index| format!("caller {index}")).collect();
    let answers = prompts.iter().map(|prompt| client.chat(prompt, 6, true));
    for (prompt, answer) in prompts.iter().zip(futures::future::join_all(answers).await) {
        assert_complete(&answer, prompt, 6);
    }
    deployment.stop().await;
}

/// Guards against an answer that comes after its deadline and is given to the next
/// caller.
#[tokio::test]
async fn late_answer_is_dropped() {
    let (deployment, client) = start_dublin(vec![engine_settings()]).await;
    let contract_key = "config/contract/council";
    let limits = |deadline_ms: u32| {
        json!({ "requests_per_s": 1000.0, "tokens_per_s": 1_000_000.0, "concurrent": 1000,
            "deadline_ms": deadline_ms })
    };
    set_document_field(&deployment, contract_key, "limits", limits(200)).await;
    deployment.centres[0].engines[0].set_faults(EngineFaults {
        first_token_delay: Duration::from_millis(300),
        ..EngineFaults::default()
    });
    let late = client.chat("late", 4, false).await;
    assert_eq!(late.status, 504);
    assert_eq!(late.header("x-verbenaring-outcome"), "unknown");
    set_document_field(&deployment, contract_key, "limits", limits(30_000)).await;
    for index in 0..3 {
        let prompt = format!("next {index}");
        assert_complete(&client.chat(&prompt, 4, false).await, &prompt, 4);
    }
    deployment.stop().await;
}

/// A stream without its end marker must not look complete, even if the HTTP
/// message is.
#[tokio::test]
async fn truncated_stream_ends_with_an_error() {
    let (deployment, client) = start_dublin(vec![engine_without_resume()]).await;
    for truncate_cleanly in [false, true] {
        deployment.centres[0].engines[0].set_faults(EngineFaults {
            truncate_after: Some(5),
            truncate_cleanly,
            ..EngineFaults::default()
        });
        assert_broken(&client.chat(PROMPT, 12, true).await, 5);
    }
    deployment.stop().await;
}

/// Guards against a part of an answer that looks like the whole one because the end of
/// its connection was taken for the end of the answer.
#[tokio::test]
async fn a_cut_answer_without_length_is_not_complete() {
    let (deployment, client) = start_dublin(vec![engine_settings()]).await;
    for (unframed_bytes, status) in [(usize::MAX, 200), (60, 502), (0, 502)] {
        deployment.centres[0].engines[0].set_faults(EngineFaults {
            unframed_bytes: Some(unframed_bytes),
            ..EngineFaults::default()
        });
        let prompt = format!("{PROMPT} {unframed_bytes}");
        let answer = client.chat(&prompt, 12, false).await;
        assert_eq!(answer.status, status, "{unframed_bytes} bytes");
        if status == 200 {
            assert_complete(&answer, &prompt, 12);
        }
    }
    deployment.stop().await;
}

/// A crash before the first byte must not reach the caller of an idempotent
/// request while another server can run it.
#[tokio::test]
async fn crash_before_the_first_byte_is_retried() {
    let (deployment, client) = start_dublin(vec![engine_settings(), engine_settings()]).await;
    let engines = &deployment.centres[0].engines;
    for stream in [false, true] {
        engines[0].set_faults(EngineFaults {
            crash: Some(CrashPoint::BeforeFirstByte),
            ..EngineFaults::default()
        });
        let crashes = engines[0].counters().crashes;
        // The node chooses either engine and avoids a crashed one for a while,
        // so some chats run on the other engine.
        let mut index = 0;
        while engines[0].counters().crashes == crashes {
            index += 1;
            assert!(index < MAX_CHATS, "engine 0 is not chosen");
            let prompt = format!("{PROMPT} {index}");
            assert_complete(&client.chat(&prompt, 6, stream).await, &prompt, 6);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(engines[0].counters().crashes, crashes + 1);
    }
    deployment.stop().await;
}

/// If no other server can retry the request, the caller must be told that its
/// outcome is unknown.
#[tokio::test]
async fn crash_of_the_only_engine_is_unknown() {
    let (deployment, client) = start_dublin(vec![engine_settings()]).await;
    deployment.centres[0].engines[0].set_faults(EngineFaults {
        crash: Some(CrashPoint::BeforeFirstByte),
        ..EngineFaults::default()
    });
    let answer = client.chat(PROMPT, 6, false).await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.json()["error"]["code"], "backend_failed");
    assert_eq!(answer.header("x-verbenaring-outcome"), "unknown");
    deployment.stop().await;
}

/// A crash in mid-stream must end the stream with an error if the engine cannot
/// resume it.
#[tokio::test]
async fn crash_in_mid_stream_ends_with_an_error() {
    let (deployment, client) = start_dublin(vec![engine_without_resume()]).await;
    deployment.centres[0].engines[0].set_faults(EngineFaults {
        crash: Some(CrashPoint::AfterTokens(4)),
        ..EngineFaults::default()
    });
    assert_broken(&client.chat(PROMPT, 12, true).await, 4);
    deployment.stop().await;
}

async fn chat_with_usage(client: &TestClient) -> TestAnswer {
    let body = json!({ "model": "standin", "max_tokens": 12, "stream": true,
        "messages": [{ "role": "user", "content": PROMPT }],
        "stream_options": { "include_usage": true } });
    let path = "/v1/chat/completions";
    let body = body.to_string().into_bytes();
    client.send(hyper::Method::POST, path, &[], body).await
}

/// A resumed stream must neither repeat nor lose a token and must report the
/// right token counts, even if the engine refuses the connection of the first
/// resume.
#[tokio::test]
async fn broken_stream_is_resumed() {
    for restart_time in [Duration::ZERO, Duration::from_millis(500)] {
        let settings = EngineSettings {
            restart_time,
            ..engine_settings()
        };
        let (deployment, client) = start_dublin(vec![settings]).await;
        deployment.centres[0].engines[0].set_faults(EngineFaults {
            crash: Some(CrashPoint::AfterTokens(5)),
            ..EngineFaults::default()
        });
        let answer = chat_with_usage(&client).await;
        assert_complete(&answer, PROMPT, 12);
        let events = answer.events();
        assert_eq!(events.len(), 12 + 3);
        assert_eq!(events.last().unwrap(), "[DONE]");
        let usage: serde_json::Value = serde_json::from_str(&events[13]).unwrap();
        assert_eq!(usage["usage"]["completion_tokens"], 12);
        assert_eq!(deployment.centres[0].engines[0].counters().started, 2);
        deployment.stop().await;
    }
}

/// Guards against a resumed stream that is cut, with a regular end, at the length that
/// the broken one stated.
#[tokio::test]
async fn a_resumed_stream_is_not_cut_at_its_first_length() {
    let (deployment, client) = start_dublin(vec![engine_settings()]).await;
    deployment.centres[0].engines[0].set_faults(EngineFaults {
        crash: Some(CrashPoint::AfterTokens(2)),
        stated_bytes: Some(1_000),
        ..EngineFaults::default()
    });
    let answer = client.chat(PROMPT, 12, true).await;
    assert!(answer.body.len() > 1_000, "{} bytes", answer.body.len());
    assert_complete(&answer, PROMPT, 12);
    assert_eq!(deployment.centres[0].engines[0].counters().started, 2);
    deployment.stop().await;
}

/// A stream that breaks after every resume must end with an error after two of
/// them.
#[tokio::test]
async fn resumes_are_bounded() {
    let (deployment, client) = start_dublin(vec![engine_settings()]).await;
    let engines = &deployment.centres[0].engines;
    engines[0].set_faults(EngineFaults {
        truncate_after: Some(5),
        ..EngineFaults::default()
    });
    assert_broken(&client.chat(PROMPT, 12, true).await, 7);
    assert_eq!(engines[0].counters().started, 3);
    deployment.stop().await;
}

/// Guards against repeated tokens from an engine that restarts the answer instead
/// of resuming it.
#[tokio::test]
async fn unconfirmed_resume_is_an_error() {
    let (deployment, client) = start_dublin(vec![engine_without_resume()]).await;
    set_document_field(&deployment, ENGINE_DOCUMENT_KEY, "resumes", json!(true)).await;
    deployment.centres[0].engines[0].set_faults(EngineFaults {
        crash: Some(CrashPoint::AfterTokens(5)),
        ..EngineFaults::default()
    });
    assert_broken(&client.chat(PROMPT, 12, true).await, 5);
    deployment.stop().await;
}

/// Guards against events of a plain service that were cut off and look complete: the end
/// of a connection alone does not show that the service had sent everything.
#[tokio::test]
async fn events_of_a_service_that_end_inside_an_event_are_broken() {
    let (deployment, client) = start_dublin(Vec::new()).await;
    let service = &deployment.centres[0].services[0];
    let streams = [
        ("data: one\n\ndata: two\n\n", false),
        ("data: one\n\ndata: tw", true),
        ("data: one\n\ndata: two\n", true),
        ("", true),
    ];
    for (events, broken) in streams {
        service.answer_unframed(UnframedAnswer {
            content_type: "text/event-stream",
            body: events,
            held: false,
        });
        let answer = client.get("/v1/services/jobs/events").await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.broken, broken, "{events:?}");
        assert_eq!(answer.body, events.as_bytes());
    }
    deployment.stop().await;
}

/// Guards against an answer of a plain service that has neither a length nor chunks and
/// looks complete although the service has ended.
#[tokio::test]
async fn an_unframed_answer_of_a_service_that_ended_is_broken() {
    for (content_type, body) in [
        ("text/plain", "half the list"),
        ("text/event-stream", "data: one\n\n"),
    ] {
        let answer = UnframedAnswer {
            content_type,
            body,
            held: false,
        };
        let (mut deployment, client) = start_dublin(Vec::new()).await;
        let service = deployment.centres[0].services.remove(0);
        service.answer_unframed(answer);
        let whole = client.get("/v1/services/jobs/list").await;
        assert_eq!((whole.status.as_u16(), whole.broken), (200, false));
        service.answer_unframed(UnframedAnswer {
            held: true,
            ..answer
        });
        let stopped = service.stop_after_calls(2);
        let call = client.get("/v1/services/jobs/list");
        let (cut, ()) = futures::join!(call, stopped);
        assert_eq!(
            (cut.status.as_u16(), cut.broken),
            (200, true),
            "{content_type}"
        );
        deployment.stop().await;
    }
}
