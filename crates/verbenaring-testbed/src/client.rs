//! HTTP client for tests and examples.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};

/// HTTP client that sends every request to one address with one bearer key.
#[derive(Clone)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    key: String,
}

/// Answer that was read to its end, or until the connection broke.
#[derive(Debug)]
pub struct TestAnswer {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body; incomplete if `broken`.
    pub body: Vec<u8>,
    /// Whether the connection broke before the end of the body.
    pub broken: bool,
}

impl TestAnswer {
    /// Body as JSON; `null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Value of a header; empty if it is absent or not plain text.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Payloads of the server-sent events in the body, in order.
    pub fn events(&self) -> Vec<String> {
        String::from_utf8_lossy(&self.body)
            .split("\n\n")
            .filter_map(|event| event.strip_prefix("data:"))
            .map(|event| event.trim().to_owned())
            .collect()
    }

    /// Text of a chat answer, streamed or not. Events that are not JSON are
    /// skipped.
    pub fn chat_text(&self) -> String {
        if !self.header("content-type").starts_with("text/event-stream") {
            let text = &self.json()["choices"][0]["message"]["content"];
            return text.as_str().unwrap_or_default().to_owned();
        }
        self.events()
            .iter()
            .filter_map(|event| serde_json::from_str::<Value>(event).ok())
            .filter_map(|event| {
                event["choices"][0]["delta"]["content"]
                    .as_str()
                    .map(str::to_owned)
            })
            .collect()
    }
}

impl TestClient {
    /// Creates a client that sends the bearer key `key` to `address`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            client,
            address,
            key: key.to_owned(),
        }
    }

    /// Sends a request and returns its answer as soon as the head has arrived.
    pub async fn open(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Response<Incoming>, hyper_util::client::legacy::Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).expect("valid request");
        self.client.request(request).await
    }

    /// Sends a request and reads its answer to the end. Panics if no head
    /// arrives.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> TestAnswer {
        let answer = self
            .open(method, path, headers, body)
            .await
            .expect("the gateway sends a response head");
        read_answer(answer).await
    }

    /// Sends a `GET` request.
    pub async fn get(&self, path: &str) -> TestAnswer {
        self.send(Method::GET, path, &[], Vec::new()).await
    }

    /// Sends a chat completion request for an answer of `tokens` tokens.
    pub async fn chat(&self, prompt: &str, tokens: u32, stream: bool) -> TestAnswer {
        let body = chat_body(prompt, tokens, stream);
        self.send(Method::POST, "/v1/chat/completions", &[], body)
            .await
    }

    /// Books `operation` at the service `jobs` with the idempotency key `key`.
    pub async fn book(&self, key: &str, operation: &str) -> TestAnswer {
        let body = json!({ "operation": operation }).to_string().into_bytes();
        let headers = [("idempotency-key", key)];
        self.send(Method::POST, "/v1/services/jobs/bookings", &headers, body)
            .await
    }
}

/// JSON body of a chat completion request to the model `standin`.
pub fn chat_body(prompt: &str, tokens: u32, stream: bool) -> Vec<u8> {
    json!({
        "model": "standin",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": tokens,
        "stream": stream,
    })
    .to_string()
    .into_bytes()
}

/// Reads an answer to its end; an error marks the answer as broken.
pub async fn read_answer(answer: Response<Incoming>) -> TestAnswer {
    let (head, mut stream) = answer.into_parts();
    let mut body = Vec::new();
    let mut broken = false;
    while let Some(frame) = stream.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(frame.data_ref().map_or(&[][..], |data| data)),
            Err(_) => {
                broken = true;
                break;
            }
        }
    }
    TestAnswer {
        status: head.status,
        headers: head.headers,
        body,
        broken,
    }
}
