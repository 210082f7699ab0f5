//! Tests of the store stand-in.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::time::sleep;
use verbenaring_testbed::{StoreFaults, StoreServer, StoreSettings};

use crate::{connection_breaks, send, send_json, wait_until};

async fn start_store() -> StoreServer {
    StoreServer::start(StoreSettings::default()).await.unwrap()
}

fn to_base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// Transaction that creates `key` if it is absent and otherwise reads it.
fn create_if_absent(key: &str, value: &str) -> Value {
    let compare = json!([{"key": to_base64(key), "target": "CREATE", "create_revision": "0"}]);
    let put = json!([{"request_put": {"key": to_base64(key), "value": to_base64(value)}}]);
    let read = json!([{"request_range": {"key": to_base64(key)}}]);
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

/// A write whose answer is lost must take effect, and a read must return it.
#[tokio::test(start_paused = true)]
async fn keeps_a_write_whose_answer_is_lost() {
    let store = start_store().await;
    let put = json!({"key": to_base64("a"), "value": to_base64("1")});
    store.set_faults(StoreFaults {
        lose_answers: true,
        ..Default::default()
    });
    assert!(connection_breaks(store.address(), "/v3/kv/put", &put).await);
    store.set_faults(StoreFaults::default());
    let found = send_json(
        store.address(),
        "/v3/kv/range",
        json!({"key": to_base64("a")}),
    )
    .await;
    assert_eq!(found["kvs"][0]["value"], to_base64("1"));
    assert_eq!(found["kvs"][0]["mod_revision"], "2");
    assert_eq!((store.counters().reads, store.counters().writes), (1, 1));
}

/// A delayed write must take effect only after its delay, although its caller has
/// lost the connection by then.
#[tokio::test(start_paused = true)]
async fn applies_a_late_write_after_its_caller_is_gone() {
    let store = start_store().await;
    let write_delay = Some(Duration::from_secs(60));
    store.set_faults(StoreFaults {
        write_delay,
        ..Default::default()
    });
    let put = json!({"key": to_base64("a"), "value": to_base64("1")});
    assert!(connection_breaks(store.address(), "/v3/kv/put", &put).await);
    assert_eq!(store.revision(), 1);
    sleep(Duration::from_secs(61)).await;
    assert_eq!(store.revision(), 2);
    store.set_faults(StoreFaults {
        down: true,
        ..Default::default()
    });
    assert!(connection_breaks(store.address(), "/v3/kv/range", &put).await);
}

/// Nested transactions must each evaluate their own conditions, and all their
/// writes must have the same revision.
#[tokio::test(start_paused = true)]
async fn decides_nested_transactions_independently() {
    let store = start_store().await;
    send_json(
        store.address(),
        "/v3/kv/txn",
        create_if_absent("a", "first"),
    )
    .await;
    let nested: Vec<Value> = [
        create_if_absent("a", "second"),
        create_if_absent("b", "second"),
    ]
    .into_iter()
    .map(|txn| json!({"request_txn": txn}))
    .collect();
    let answer = send_json(store.address(), "/v3/kv/txn", json!({"success": nested})).await;
    let [failed, succeeded] = [0, 1].map(|index| &answer["responses"][index]["response_txn"]);
    assert!(failed["succeeded"].is_null());
    let found = &failed["responses"][0]["response_range"]["kvs"][0];
    assert_eq!(found["value"], to_base64("first"));
    assert_eq!(succeeded["succeeded"], true);
    assert_eq!(store.revision(), 3);
}

/// Transactions that exceed the documented limits of etcd or put a key twice must
/// be refused without any effect.
#[tokio::test(start_paused = true)]
async fn refuses_what_the_protocol_refuses() {
    let store = start_store().await;
    let put = |key: &str| json!({"request_put": {"key": to_base64(key), "value": ""}});
    let many: Vec<Value> = (0..129).map(|index| put(&index.to_string())).collect();
    let large =
        json!({"request_put": {"key": to_base64("a"), "value": to_base64(&"x".repeat(1_000_001))}});
    let twice = json!([put("a"), put("a")]);
    for operations in [json!(many), twice, json!([put("b"), large])] {
        let body = json!({"success": operations});
        let response = send(store.address(), "/v3/kv/txn", &[], &body).await;
        assert_eq!(response.status(), StatusCode::BAD_REQUEST);
    }
    assert_eq!(store.revision(), 1);
}

/// A watch must report the changes in its range from its start revision, and the
/// deletion of keys whose lease expires.
#[tokio::test(start_paused = true)]
async fn watch_replays_and_reports_expired_leases() {
    let store = start_store().await;
    let lease = send_json(store.address(), "/v3/lease/grant", json!({"TTL": "10"})).await;
    let put = json!({"key": to_base64("vm/1"), "value": to_base64("live"), "lease": lease["ID"]});
    send_json(store.address(), "/v3/kv/put", put).await;
    let other = json!({"key": to_base64("other"), "value": ""});
    send_json(store.address(), "/v3/kv/put", other).await;
    let create =
        json!({"key": to_base64("vm/"), "range_end": to_base64("vm0"), "start_revision": "2"});
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
    assert_eq!(
        lines[1]["result"]["events"][0]["kv"]["key"],
        to_base64("vm/1")
    );
    assert_eq!(lines[1]["result"]["events"].as_array().unwrap().len(), 1);
    assert_eq!(lines[2]["result"]["events"][0]["type"], "DELETE");
    drop(body);
    wait_until(|| store.counters().open_watches == 0).await;
}

/// A watch that excludes puts must still report the deletion of keys whose lease
/// expires.
#[tokio::test(start_paused = true)]
async fn watch_excludes_puts_and_reports_expired_leases() {
    let store = start_store().await;
    let create =
        json!({"key": to_base64("vm/"), "range_end": to_base64("vm0"), "filters": ["NOPUT"]});
    let watch = json!({"create_request": create});
    let response = send(store.address(), "/v3/watch", &[], &watch).await;
    let lease = send_json(store.address(), "/v3/lease/grant", json!({"TTL": "10"})).await;
    let put = json!({"key": to_base64("vm/1"), "value": "", "lease": lease["ID"]});
    send_json(store.address(), "/v3/kv/put", put).await;
    store.expire_leases();
    let text = read_lines(&mut response.into_body(), 2).await;
    let event: Value = serde_json::from_str(text.lines().nth(1).unwrap()).unwrap();
    assert_eq!(event["result"]["events"].as_array().unwrap().len(), 1);
    assert_eq!(event["result"]["events"][0]["type"], "DELETE");
}

/// A lease must stay valid while it is renewed, and expire if its renewals are
/// confirmed but not applied.
#[tokio::test(start_paused = true)]
async fn expires_a_lease_whose_renewals_are_ignored() {
    let store = start_store().await;
    let lease = send_json(store.address(), "/v3/lease/grant", json!({"TTL": "10"})).await;
    let put = json!({"key": to_base64("order/a"), "value": "", "lease": lease["ID"]});
    send_json(store.address(), "/v3/kv/put", put).await;
    let range = json!({"key": to_base64("order/a")});
    sleep(Duration::from_secs(6)).await;
    for ignore_keepalives in [false, true] {
        store.set_faults(StoreFaults {
            ignore_keepalives,
            ..Default::default()
        });
        let renewal = json!({"ID": lease["ID"]});
        let renewed = send_json(store.address(), "/v3/lease/keepalive", renewal).await;
        assert_eq!(renewed["result"]["TTL"], "10");
        sleep(Duration::from_secs(6)).await;
        let found = send_json(store.address(), "/v3/kv/range", range.clone()).await;
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
