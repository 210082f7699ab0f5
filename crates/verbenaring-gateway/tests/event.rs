//! Reader of server-sent events with arbitrarily split and with invalid input.

use bytes::Bytes;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::sample::select;
use proptest::strategy::Strategy;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use verbenaring_gateway::event::{EventReader, has_foreign_attempt_id};

const CASES: u32 = 128;
const SEED: [u8; 32] = [42; 32];
const DONE: &str = "data: [DONE]\n\n";

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(config, rng)
}

fn reader() -> EventReader {
    EventReader::new("a1".into())
}

fn token(text: &str) -> String {
    let choice = serde_json::json!({ "delta": { "content": text }, "finish_reason": null });
    let event = serde_json::json!({ "id": "chatcmpl-a1", "choices": [choice] });
    format!("data: {event}\n\n")
}

/// Passes `parts` through a reader; returns the bytes it passed on, or the error.
fn read(reader: &mut EventReader, parts: &[&[u8]]) -> Result<Vec<u8>, &'static str> {
    let mut passed = Vec::new();
    for part in parts {
        if let Some(events) = reader.push(Bytes::copy_from_slice(part))? {
            passed.extend_from_slice(&events);
        }
    }
    Ok(passed)
}

/// Splits `text` at the given offsets, each modulo the length plus one.
fn split(text: &[u8], offsets: &[usize]) -> Vec<Vec<u8>> {
    let mut offsets: Vec<usize> = offsets
        .iter()
        .map(|offset| offset % (text.len() + 1))
        .collect();
    offsets.extend([0, text.len()]);
    offsets.sort_unstable();
    let ranges = offsets
        .windows(2)
        .map(|pair| text[pair[0]..pair[1]].to_vec());
    ranges.collect()
}

/// The caller must get the same bytes however the stream is split into reads.
#[test]
fn splits_do_not_change_the_stream() {
    let fragment = select(vec![
        token("ba"),
        token("a \n\n b \"id\": c"),
        token("de").replace("\n\n", "\r\n\r\n"),
        ": comment\n\n".to_owned(),
        "event: x\ndata: {\"id\":\"a1\",\ndata: \"choices\":[]}\n\n".to_owned(),
    ]);
    let strategy = (vec(fragment, 0..8), vec(any::<usize>(), 0..24));
    runner()
        .run(&strategy, |(fragments, offsets)| {
            let text = fragments.concat() + DONE;
            let parts = split(text.as_bytes(), &offsets);
            let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
            let mut reader = reader();
            let passed = read(&mut reader, &parts);
            assert_eq!(passed.as_deref(), Ok(text.as_bytes()));
            assert!(reader.is_complete());
            Ok(())
        })
        .unwrap();
}

/// Arbitrary bytes must not cause a panic, and without the end marker `[DONE]` they
/// must not count as a complete answer.
#[test]
fn arbitrary_bytes_are_never_complete() {
    let fragment = select(vec![
        "\n\n",
        "\r\n",
        "\r",
        "data:",
        "data: ",
        "{\"id\":",
        "\"a1\"}",
        "[DONE",
        "null",
        "\u{0}",
        "id: [DONE]\n\n",
        "data: [DONE] x\n\n",
        "data:\n\n",
        "data: {}\n\n",
    ]);
    let text = vec(fragment.prop_map(str::as_bytes), 0..24).prop_map(|parts| parts.concat());
    let strategy = (text, vec(any::<u8>(), 0..64), vec(any::<usize>(), 0..8));
    runner()
        .run(&strategy, |(mut text, random_bytes, offsets)| {
            text.extend_from_slice(&random_bytes);
            // Removes any end marker that the fragments have formed.
            if text.windows(6).any(|window| window == b"[DONE]") {
                text.retain(|byte| *byte != b']');
            }
            let parts = split(&text, &offsets);
            let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
            let mut reader = reader();
            let _ = read(&mut reader, &parts);
            assert!(!reader.is_complete());
            Ok(())
        })
        .unwrap();
}

/// Each input must be refused or not count as a complete answer.
#[test]
fn invalid_streams_are_refused() {
    let foreign = token("x").replace("a1", "b2");
    let inputs = [
        (
            format!("{DONE}{}", token("x")),
            "event after the end marker",
        ),
        (
            format!("{}{foreign}", token("x")),
            "event of another answer",
        ),
        (
            "data: {\"choices\":[]}\n\n".into(),
            "event without an identifier",
        ),
        ("data: x\n\n".into(), "event is not a JSON object"),
        ("data: [1]\n\n".into(), "event is not a JSON object"),
        (
            "data: x\rdata: [DONE]\r\r\n\n".into(),
            "event holds a bare carriage return",
        ),
        ("x".repeat(2 * 1024 * 1024), "event is too large"),
    ];
    for (text, error) in inputs {
        let mut reader = reader();
        assert_eq!(read(&mut reader, &[text.as_bytes()]), Err(error));
    }
    for text in [
        "",
        "data: [DONE]",
        "data: [DONE]\n",
        "data: [DONE]\n\nx",
        "data: [DONE]x\n\n",
    ] {
        let mut reader = reader();
        let _ = read(&mut reader, &[text.as_bytes()]);
        assert!(!reader.is_complete(), "{text}");
    }
    let mut reader = reader();
    read(&mut reader, &[DONE.as_bytes()]).unwrap();
    assert!(read(&mut reader, &[b"x"]).is_err());
}

/// The identifier of a nested object, such as a tool call, must not be taken for the
/// identifier of the answer.
#[test]
fn nested_identifiers_are_not_compared() {
    let answer = br#"{"choices":[{"delta":{"tool_calls":[{"id":"call_7"}]}}],"id":"chatcmpl-a1"}"#;
    assert!(!has_foreign_attempt_id(answer, "a1"));
    assert!(has_foreign_attempt_id(answer, "b2"));
    let event = [b"data: ", &answer[..], b"\n\n"].concat();
    assert_eq!(read(&mut reader(), &[&event]), Ok(event.clone()));
}

/// If a stream breaks after its finish reason and is resumed, the caller must get the
/// finish reason once, and an event that was incomplete at the break only from the
/// resumed stream.
#[test]
fn resumed_stream_repeats_nothing() {
    let finish = "data: {\"id\":\"a1\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\n";
    let usage = "data: {\"id\":\"a1\",\"choices\":[],\
                 \"usage\":{\"completion_tokens\":0,\"total_tokens\":3}}\n\n";
    let mut reader = reader();
    let first = format!("{}{}{finish}{}", token("a"), token("b"), &usage[..9]);
    let first = read(&mut reader, &[first.as_bytes()]).unwrap();
    assert_eq!(reader.tokens(), 2);
    reader.resume();
    let second = format!("{finish}{usage}{DONE}");
    let second = read(&mut reader, &[second.as_bytes()]).unwrap();
    let text = String::from_utf8([first, second].concat()).unwrap();
    assert_eq!(text.matches("\"stop\"").count(), 1);
    assert!(text.contains("\"completion_tokens\":2"), "{text}");
    assert!(text.contains("\"total_tokens\":5"), "{text}");
    assert!(reader.is_complete());
}
