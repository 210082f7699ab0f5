//! Checks of the stand-ins over real sockets, on the paused clock.

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
