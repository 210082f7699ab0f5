//! Tests of the stand-ins over real sockets, with Tokio's clock paused.

mod engine;
mod service;
mod store;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::time::sleep;

type Headers<'a> = &'a [(&'a str, &'a str)];

/// Sends a `POST` request with a JSON body; fails if no response arrives.
async fn try_send(
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

/// Like `try_send`, but panics if no response arrives.
async fn send(
    address: SocketAddr,
    path: &str,
    headers: Headers<'_>,
    body: &Value,
) -> Response<Incoming> {
    try_send(address, path, headers, body).await.unwrap()
}

/// Whether the connection breaks before a response arrives.
async fn connection_breaks(address: SocketAddr, path: &str, body: &Value) -> bool {
    try_send(address, path, &[], body).await.is_err()
}

/// Reads a body and returns its text and whether it is complete as an HTTP
/// message.
async fn read_body(mut body: Incoming) -> (String, bool) {
    let mut text = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return (String::from_utf8(text).unwrap(), false);
        };
        text.extend_from_slice(frame.data_ref().unwrap());
    }
    (String::from_utf8(text).unwrap(), true)
}

/// Sends a `POST` request and returns the JSON body of its response.
async fn send_json(address: SocketAddr, path: &str, body: Value) -> Value {
    let response = send(address, path, &[], &body).await;
    serde_json::from_str(&read_body(response.into_body()).await.0).unwrap()
}

/// Waits for at most 10 s until `condition` holds.
async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..10_000 {
        if condition() {
            return;
        }
        sleep(Duration::from_millis(1)).await;
    }
    panic!("condition was not met within 10 s");
}
