//! Checks of the store.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::sleep;
use verbenaring_testbed::{StoreFaults, StoreServer, StoreSettings};

use crate::{breaks, call, send, until};

async fn store() -> StoreServer {
    StoreServer::start(StoreSettings::default()).await.unwrap()
}

fn blob(text: &str) -> String {
    STANDARD.encode(text)
}

fn claim(key: &str, value: &str) -> Value {
    let compare = json!([{"key": blob(key), "target": "CREATE", "create_revision": "0"}]);
    let put = json!([{"request_put": {"key": blob(key), "value": blob(value)}}]);
    let read = json!([{"request_range": {"key": blob(key)}}]);
    json!({"compare": compare, "success": put, "failure": read})
}

async fn read_lines(body: &mut Incoming, count: usize) -> String {
    let mut text = String::new();
    while text.lines().count() < count {
        let frame = body.frame().await.unwrap().unwrap();
        text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap());
    }
    text
}

/// A lost answer must leave the write in force, and a read must find it.
#[tokio::test(start_paused = true)]
async fn keeps_a_write_whose_answer_is_lost() {
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
async fn applies_a_late_write_after_its_caller_is_gone() {
    let store = store().await;
    let write_delay = Some(Duration::from_secs(60));
    store.set_faults(StoreFaults {
        write_delay,
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
async fn decides_nested_transactions_independently() {
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
async fn refuses_what_the_protocol_refuses() {
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
async fn watch_replays_and_sees_leases_expire() {
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
    assert_eq!(store.counters().open_watches, 1);
    sleep(Duration::from_secs(11)).await;
    text += &read_lines(&mut body, 1).await;
    let lines = text.lines().map(|line| serde_json::from_str(line).unwrap());
    let lines: Vec<Value> = lines.collect();
    assert_eq!(lines[0]["result"]["created"], true);
    assert_eq!(lines[1]["result"]["events"][0]["kv"]["key"], blob("vm/1"));
    assert_eq!(lines[1]["result"]["events"].as_array().unwrap().len(), 1);
    assert_eq!(lines[2]["result"]["events"][0]["type"], "DELETE");
    drop(body);
    until(|| store.counters().open_watches == 0).await;
}

/// A watch that filters puts must still report a lease that lapses early.
#[tokio::test(start_paused = true)]
async fn watch_filters_puts_and_sees_lapsed_leases() {
    let store = store().await;
    let create = json!({"key": blob("vm/"), "range_end": blob("vm0"), "filters": ["NOPUT"]});
    let watch = json!({"create_request": create});
    let response = send(store.address(), "/v3/watch", &[], &watch).await;
    let lease = call(store.address(), "/v3/lease/grant", json!({"TTL": "10"})).await;
    let put = json!({"key": blob("vm/1"), "value": "", "lease": lease["ID"]});
    call(store.address(), "/v3/kv/put", put).await;
    store.expire_leases();
    let text = read_lines(&mut response.into_body(), 2).await;
    let event: Value = serde_json::from_str(text.lines().nth(1).unwrap()).unwrap();
    assert_eq!(event["result"]["events"].as_array().unwrap().len(), 1);
    assert_eq!(event["result"]["events"][0]["type"], "DELETE");
}

/// A lease must live as long as it is renewed, and lapse at a holder whose
/// renewals are confirmed but not applied.
#[tokio::test(start_paused = true)]
async fn lapses_a_lease_whose_renewals_are_ignored() {
    let store = store().await;
    let lease = call(store.address(), "/v3/lease/grant", json!({"TTL": "10"})).await;
    let put = json!({"key": blob("order/a"), "value": "", "lease": lease["ID"]});
    call(store.address(), "/v3/kv/put", put).await;
    let range = json!({"key": blob("order/a")});
    sleep(Duration::from_secs(6)).await;
    for ignore_keepalives in [false, true] {
        store.set_faults(StoreFaults {
            ignore_keepalives,
            ..Default::default()
        });
        let renewal = json!({"ID": lease["ID"]});
        let renewed = call(store.address(), "/v3/lease/keepalive", renewal).await;
        assert_eq!(renewed["result"]["TTL"], "10");
        sleep(Duration::from_secs(6)).await;
        let found = call(store.address(), "/v3/kv/range", range.clone()).await;
        assert_eq!(found["kvs"].is_null(), ignore_keepalives);
    }
    let revoked = send(
        store.address(),
        "/v3/lease/revoke",
        &[],
        &json!({"ID": "1"}),
    )
    .await;
    assert_eq!(revoked.status(), StatusCode::NOT_FOUND);
}
