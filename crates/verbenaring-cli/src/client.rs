//! HTTP client of the operators' interface of one node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use verbenaring_protocol::operator::{
    AmendAnswer, AmendConflict, AmendRequest, DocumentList, DocumentView, OPERATOR_PREFIX,
    OperatorError, StatusList,
};
use verbenaring_protocol::rules::DocumentKind;

use crate::error::{Error, Result};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a request; above the 8 s within which a node settles an amendment.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of requests for one amendment, including the first.
const MAX_AMEND_REQUESTS: usize = 3;

/// Sends requests to one node, authenticated by the operators' key.
pub struct NodeClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    key: String,
}

/// Outcome of an amendment that the node could settle.
#[derive(Debug)]
pub enum AmendResult {
    /// The change was written to the platform store.
    Written(AmendAnswer),
    /// Nothing was written, because another change was written first.
    Conflict(Box<AmendConflict>),
}

struct HttpAnswer {
    status: StatusCode,
    body: Bytes,
}

enum RequestFailure {
    // No request was sent.
    NotConnected(String),
    // The node may have processed the request.
    NoAnswer(String),
}

impl NodeClient {
    /// Creates a client of the node whose `operator_address` is `address`.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            address,
            key: key.to_owned(),
        }
    }

    /// Sends `GET` for a path below [`OPERATOR_PREFIX`] and parses the JSON answer.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.send(Method::GET, path, Bytes::new()).await;
        let answer = answer.map_err(|failure| self.to_error(failure))?;
        if answer.status != StatusCode::OK {
            return Err(error_from_answer(&answer));
        }
        parse_answer(&answer)
    }

    /// Status of all nodes that this node could ask, and the names of the others.
    pub async fn statuses(&self) -> Result<StatusList> {
        self.get("status").await
    }

    /// All documents of a kind.
    pub async fn documents(&self, kind: DocumentKind) -> Result<DocumentList> {
        self.get(kind.segment()).await
    }

    /// One document; `None` if neither the node nor the platform store has it.
    pub async fn document(&self, kind: DocumentKind, name: &str) -> Result<Option<DocumentView>> {
        let path = format!("{}/{name}", kind.segment());
        let answer = self.send(Method::GET, &path, Bytes::new()).await;
        let answer = answer.map_err(|failure| self.to_error(failure))?;
        match answer.status {
            StatusCode::OK => {
                let mut list: DocumentList = parse_answer(&answer)?;
                if let (Some(fault), None) = (list.store_fault, list.documents.first()) {
                    return Err(Error::Failed(format!("{name} cannot be read: {fault}")));
                }
                Ok(list.documents.pop())
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(error_from_answer(&answer)),
        }
    }

    /// Sends an amendment. If the answer is lost, the request is sent again with
    /// `repeated` set, so that the node first looks for the earlier write.
    pub async fn amend(
        &self,
        kind: DocumentKind,
        name: &str,
        request: AmendRequest,
    ) -> Result<AmendResult> {
        let path = format!("{}/{name}", kind.segment());
        let mut request = request;
        let mut reason = String::new();
        for _ in 0..MAX_AMEND_REQUESTS {
            match self.send(Method::PUT, &path, encode_json(&request)?).await {
                Ok(answer) => return parse_amendment(&answer, &request),
                Err(RequestFailure::NotConnected(text)) if !request.repeated => {
                    return Err(self.to_error(RequestFailure::NotConnected(text)));
                }
                Err(RequestFailure::NotConnected(text) | RequestFailure::NoAnswer(text)) => {
                    request.repeated = true;
                    reason = text;
                }
            }
        }
        Err(Error::OutcomeUnknown {
            change: request.change.to_string(),
            reason,
        })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> std::result::Result<HttpAnswer, RequestFailure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{OPERATOR_PREFIX}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| RequestFailure::NotConnected(error.to_string()))?;
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    RequestFailure::NotConnected(root_cause(&error))
                } else {
                    RequestFailure::NoAnswer(root_cause(&error))
                }
            })?;
            let status = answer.status();
            let body = answer.into_body().collect().await;
            let body = body.map_err(|error| RequestFailure::NoAnswer(root_cause(&error)))?;
            Ok(HttpAnswer {
                status,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| {
                let text = format!("no answer within {} s", ANSWER_TIMEOUT.as_secs());
                Err(RequestFailure::NoAnswer(text))
            })
    }

    fn to_error(&self, failure: RequestFailure) -> Error {
        let (RequestFailure::NotConnected(reason) | RequestFailure::NoAnswer(reason)) = failure;
        Error::Unreachable {
            address: self.address,
            reason,
        }
    }
}

fn parse_amendment(answer: &HttpAnswer, request: &AmendRequest) -> Result<AmendResult> {
    match answer.status {
        StatusCode::OK => Ok(AmendResult::Written(parse_answer(answer)?)),
        StatusCode::CONFLICT => Ok(AmendResult::Conflict(parse_answer(answer)?)),
        StatusCode::GATEWAY_TIMEOUT => Err(Error::OutcomeUnknown {
            change: request.change.to_string(),
            reason: error_message(answer),
        }),
        _ => Err(error_from_answer(answer)),
    }
}

fn parse_answer<T: DeserializeOwned>(answer: &HttpAnswer) -> Result<T> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| Error::Failed(format!("the node's answer cannot be read: {error}")))
}

fn error_from_answer(answer: &HttpAnswer) -> Error {
    let message = error_message(answer);
    match answer.status {
        StatusCode::UNAUTHORIZED => Error::Key(message),
        StatusCode::UNPROCESSABLE_ENTITY => Error::RefusedDocument(message),
        _ => Error::Failed(message),
    }
}

fn error_message(answer: &HttpAnswer) -> String {
    serde_json::from_slice::<OperatorError>(&answer.body).map_or_else(
        |_| format!("the node answered with status {}", answer.status),
        |error| error.message,
    )
}

fn encode_json(value: &impl Serialize) -> Result<Bytes> {
    let text = serde_json::to_vec(value).map_err(|error| Error::Failed(error.to_string()))?;
    Ok(text.into())
}

/// Text of the innermost error; the outer ones only say that a connection failed.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
