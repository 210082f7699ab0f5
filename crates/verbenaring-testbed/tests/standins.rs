//! Checks of the stand-ins over real sockets.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use verbenaring_testbed::{
    EngineServer, EngineSettings, ServiceFaults, ServiceServer, ServiceSettings, StoreFaults,
    StoreServer, StoreSettings, expected_answer,
};

async fn send(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Result<Response<Incoming>, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let mut request = Request::post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    client
        .request(request.body(Full::from(body.to_string())).unwrap())
        .await
}

async fn text(response: Response<Incoming>) -> String {
    let bytes = response.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}

async fn call(address: SocketAddr, path: &str, body: Value) -> Value {
    let response = send(address, path, &[], &body).await.unwrap();
    serde_json::from_str(&text(response).await).unwrap()
}

fn blob(text: &str) -> String {
    STANDARD.encode(text)
}

/// A lost answer must leave the write in force, and a read must find it.
#[tokio::test]
async fn store_keeps_a_write_whose_answer_is_lost() {
    let store = StoreServer::start(StoreSettings::default()).await.unwrap();
    let put = json!({"key": blob("a"), "value": blob("1")});
    store.set_faults(StoreFaults {
        lose_answers: true,
        ..StoreFaults::default()
    });
    assert!(
        send(store.address(), "/v3/kv/put", &[], &put)
            .await
            .is_err()
    );
    store.set_faults(StoreFaults::default());
    let found = call(store.address(), "/v3/kv/range", json!({"key": blob("a")})).await;
    assert_eq!(found["kvs"][0]["value"], blob("1"));
    assert_eq!(found["kvs"][0]["mod_revision"], "2");
    assert_eq!((store.counters().reads, store.counters().writes), (1, 1));
}

/// An answer must carry the identifier and the text of its own request.
#[tokio::test]
async fn engine_answers_the_request_it_was_sent() {
    let engine = EngineServer::start(EngineSettings::default())
        .await
        .unwrap();
    let body = json!({"model": "standin", "messages": [{"role": "user", "content": "fix it"}]});
    let headers = [("x-request-id", "attempt-1")];
    let response = send(engine.address(), "/v1/chat/completions", &headers, &body)
        .await
        .unwrap();
    assert_eq!(response.headers()["x-request-id"], "attempt-1");
    let answer: Value = serde_json::from_str(&text(response).await).unwrap();
    assert_eq!(answer["id"], "attempt-1");
    assert_eq!(
        answer["choices"][0]["message"]["content"],
        expected_answer("fix it", 16)
    );
}

/// A call whose answer is lost must still be recorded as executed.
#[tokio::test]
async fn service_records_a_call_whose_answer_is_lost() {
    let service = ServiceServer::start(ServiceSettings::default())
        .await
        .unwrap();
    let body = json!({"operation": "book-7"});
    service.set_faults(ServiceFaults {
        lose_answer: true,
        ..ServiceFaults::default()
    });
    assert!(
        send(service.address(), "/bookings", &[], &body)
            .await
            .is_err()
    );
    service.set_faults(ServiceFaults {
        crash_before: true,
        ..ServiceFaults::default()
    });
    assert!(
        send(service.address(), "/bookings", &[], &body)
            .await
            .is_err()
    );
    assert_eq!(service.executions("book-7"), 1);
    service.set_faults(ServiceFaults::default());
    tokio::time::sleep(Duration::from_millis(550)).await;
    assert!(
        send(service.address(), "/bookings", &[], &body)
            .await
            .is_ok()
    );
    assert_eq!(service.executions("book-7"), 2);
}
