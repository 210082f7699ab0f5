//! Client of the platform store over the JSON gateway of the etcd v3 API.
//!
//! A batch of conditional writes is sent as one transaction of independent nested
//! transactions, because the store meters calls rather than keys.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::{Value, json};

use crate::error::StoreError;
use crate::store::{
    ChangeStream, PlatformStore, RangeAnswer, StoreChange, StoreResult, StoredValue, SwapCondition,
    SwapOutcome, SwapRequest,
};

/// Maximum size of an answer of the store; fits 6,800 contracts of a few KB each.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// Time without data after which a watch may be silent. Together with the time limit of
/// calls it is below the 10 s within which changes must be in force.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Client of the platform store that moves to the next address after a failed call.
pub struct EtcdStore {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<SocketAddr>,
    current: AtomicUsize,
    timeout: Duration,
    calls: AtomicU64,
}

impl EtcdStore {
    /// Creates a client of the store at `addresses`; `timeout` limits each call.
    pub fn new(addresses: &[SocketAddr], timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(20))
            .build(connector);
        Self {
            client,
            addresses: addresses.to_vec(),
            current: AtomicUsize::new(0),
            timeout,
            calls: AtomicU64::new(0),
        }
    }

    /// Number of calls since the start; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Sends a request and returns the response without its body.
    async fn open(&self, path: &str, body: &Value) -> StoreResult<hyper::Response<Incoming>> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let index = self.current.load(Ordering::Relaxed) % self.addresses.len();
        let request = Request::post(format!("http://{}{path}", self.addresses[index]))
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body.to_string())))
            .map_err(|error| StoreError::Refused(error.to_string()))?;
        let result = tokio::time::timeout(self.timeout, self.client.request(request)).await;
        if !matches!(&result, Ok(Ok(_))) {
            self.current.store(index + 1, Ordering::Relaxed);
        }
        match result {
            Err(_) => Err(StoreError::NoAnswer(format!(
                "no answer within {:?}",
                self.timeout
            ))),
            Ok(Err(error)) if error.is_connect() => Err(StoreError::Unreachable(error.to_string())),
            Ok(Err(error)) => Err(StoreError::NoAnswer(error.to_string())),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends a request and parses the whole response.
    async fn call(&self, path: &str, body: &Value) -> StoreResult<Value> {
        let response = self.open(path, body).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let text = tokio::time::timeout(self.timeout, body.collect())
            .await
            .map_err(|_| StoreError::NoAnswer("answer was not complete in time".into()))?
            .map_err(|error| StoreError::NoAnswer(error.to_string()))?
            .to_bytes();
        if status.is_client_error() {
            return Err(StoreError::Refused(
                String::from_utf8_lossy(&text).into_owned(),
            ));
        }
        if !status.is_success() {
            return Err(StoreError::NoAnswer(format!("status {status}")));
        }
        serde_json::from_slice(&text).map_err(|error| StoreError::NoAnswer(error.to_string()))
    }
}

impl PlatformStore for EtcdStore {
    type Watch = EtcdWatch;

    async fn range(&self, prefix: &str) -> StoreResult<RangeAnswer> {
        let body = json!({
            "key": BASE64.encode(prefix),
            "range_end": BASE64.encode(prefix_end(prefix)),
        });
        let answer = self.call("/v3/kv/range", &body).await?;
        Ok(RangeAnswer {
            revision: header_revision(&answer),
            values: read_values(&answer)?,
        })
    }

    async fn get(&self, key: &str) -> StoreResult<Option<StoredValue>> {
        let answer = self
            .call("/v3/kv/range", &json!({ "key": BASE64.encode(key) }))
            .await?;
        Ok(read_values(&answer)?.pop())
    }

    async fn swap(&self, requests: &[SwapRequest]) -> StoreResult<Vec<SwapOutcome>> {
        let operations: Vec<Value> = requests
            .iter()
            .map(|request| json!({ "request_txn": swap_transaction(request) }))
            .collect();
        let answer = self
            .call("/v3/kv/txn", &json!({ "success": operations }))
            .await?;
        let revision = header_revision(&answer);
        let responses = answer["responses"]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default();
        if responses.len() != requests.len() {
            return Err(StoreError::NoAnswer("answer lacks operations".into()));
        }
        responses
            .iter()
            .map(|response| read_outcome(&response["response_txn"], revision))
            .collect()
    }

    async fn watch(&self, prefix: &str, revision: u64) -> StoreResult<EtcdWatch> {
        let body = json!({ "create_request": {
            "key": BASE64.encode(prefix),
            "range_end": BASE64.encode(prefix_end(prefix)),
            "start_revision": revision.to_string(),
        }});
        let response = self.open("/v3/watch", &body).await?;
        if !response.status().is_success() {
            return Err(StoreError::NoAnswer(format!(
                "status {}",
                response.status()
            )));
        }
        Ok(EtcdWatch {
            body: response.into_body(),
            buffer: BytesMut::new(),
        })
    }

    async fn grant(&self, ttl_s: u32) -> StoreResult<i64> {
        let body = json!({ "TTL": ttl_s.to_string() });
        let answer = self.call("/v3/lease/grant", &body).await?;
        read_integer(&answer["ID"])
            .ok_or_else(|| StoreError::NoAnswer("answer lacks a lease identifier".into()))
    }

    async fn keep_alive(&self, lease: i64) -> StoreResult<bool> {
        let body = json!({ "ID": lease.to_string() });
        let answer = self.call("/v3/lease/keepalive", &body).await?;
        Ok(read_integer(&answer["result"]["TTL"]).unwrap_or(0) > 0)
    }

    async fn revoke(&self, lease: i64) -> StoreResult<()> {
        self.call("/v3/lease/revoke", &json!({ "ID": lease.to_string() }))
            .await
            .map(|_| ())
    }
}

/// Open watch of a prefix: a stream of JSON messages, one per line.
pub struct EtcdWatch {
    body: Incoming,
    buffer: BytesMut,
}

impl ChangeStream for EtcdWatch {
    async fn next(&mut self) -> StoreResult<Vec<StoreChange>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                let changes = read_changes(&line)?;
                if !changes.is_empty() {
                    return Ok(changes);
                }
                continue;
            }
            let waiting = tokio::time::timeout(WATCH_IDLE_TIMEOUT, self.body.frame());
            let Ok(frame) = waiting.await else {
                return Ok(Vec::new());
            };
            let frame = frame
                .ok_or_else(|| StoreError::NoAnswer("watch was closed".into()))?
                .map_err(|error| StoreError::NoAnswer(error.to_string()))?;
            if let Some(data) = frame.data_ref() {
                self.buffer.extend_from_slice(data);
            }
        }
    }
}

/// Transaction that writes the key, or reads it if the condition does not hold.
fn swap_transaction(request: &SwapRequest) -> Value {
    let key = BASE64.encode(&request.key);
    let write = match &request.value {
        Some(value) => json!({ "request_put": {
            "key": key,
            "value": BASE64.encode(value),
            "lease": request.lease.to_string(),
        }}),
        None => json!({ "request_delete_range": { "key": key } }),
    };
    let compare = match &request.condition {
        SwapCondition::Absent => json!({ "target": "MOD", "mod_revision": "0" }),
        SwapCondition::Revision(revision) => {
            json!({ "target": "MOD", "mod_revision": revision.to_string() })
        }
        SwapCondition::Value(value) => json!({ "target": "VALUE", "value": BASE64.encode(value) }),
    };
    json!({
        "compare": [compare_equal(compare, &key)],
        "success": [write],
        "failure": [{ "request_range": { "key": key } }],
    })
}

fn compare_equal(mut compare: Value, key: &str) -> Value {
    compare["key"] = json!(key);
    compare["result"] = json!("EQUAL");
    compare
}

fn read_outcome(answer: &Value, revision: u64) -> StoreResult<SwapOutcome> {
    if answer["succeeded"].as_bool().unwrap_or(false) {
        return Ok(SwapOutcome::Written(revision));
    }
    let found = &answer["responses"][0]["response_range"];
    Ok(SwapOutcome::Conflict(read_values(found)?.pop()))
}

fn read_values(answer: &Value) -> StoreResult<Vec<StoredValue>> {
    let values = answer["kvs"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    values.iter().map(read_value).collect()
}

fn read_value(value: &Value) -> StoreResult<StoredValue> {
    Ok(StoredValue {
        key: String::from_utf8_lossy(&read_bytes(&value["key"])?).into_owned(),
        revision: read_integer(&value["mod_revision"]).unwrap_or(0) as u64,
        value: read_bytes(&value["value"])?,
    })
}

fn read_changes(line: &[u8]) -> StoreResult<Vec<StoreChange>> {
    let message: Value =
        serde_json::from_slice(line).map_err(|error| StoreError::NoAnswer(error.to_string()))?;
    if message["error"].is_object() || message["result"]["canceled"].as_bool() == Some(true) {
        return Err(StoreError::NoAnswer("watch was cancelled".into()));
    }
    let events = message["result"]["events"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    events
        .iter()
        .map(|event| {
            let value = read_value(&event["kv"])?;
            let deleted = event["type"].as_str() == Some("DELETE");
            Ok(StoreChange {
                key: value.key,
                revision: value.revision,
                value: (!deleted).then_some(value.value),
            })
        })
        .collect()
}

fn read_bytes(value: &Value) -> StoreResult<Vec<u8>> {
    // The protobuf JSON mapping omits empty fields.
    BASE64
        .decode(value.as_str().unwrap_or_default())
        .map_err(|error| StoreError::NoAnswer(error.to_string()))
}

fn read_integer(value: &Value) -> Option<i64> {
    value.as_i64().or_else(|| value.as_str()?.parse().ok())
}

fn header_revision(answer: &Value) -> u64 {
    read_integer(&answer["header"]["revision"]).unwrap_or(0) as u64
}

/// First key after all keys with the prefix, as etcd expects it in `range_end`.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            break;
        }
    }
    end
}
