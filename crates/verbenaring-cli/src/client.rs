//! Client of the operators' interface of one node.

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
/// Longest wait for an answer; a node settles an amendment within 8 s.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Requests for one amendment, the first included.
const MAX_AMEND_REQUESTS: usize = 3;

/// Client of one node.
pub struct NodeClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    key: String,
}

/// Answer of a node to an amendment.
#[derive(Debug)]
pub enum AmendResult {
    /// The change is in the store.
    Written(AmendAnswer),
    /// Another change was first.
    Conflict(Box<AmendConflict>),
}

struct RawAnswer {
    status: StatusCode,
    body: Bytes,
}

enum CallFailure {
    Unreachable(String),
    NoAnswer(String),
}

impl NodeClient {
    /// Client of the node whose `operator_address` is `address`.
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

    /// Reads `path` below the prefix of the interface.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let answer = self.call(Method::GET, path, Bytes::new()).await;
        let answer = answer.map_err(|failure| self.failure(failure))?;
        if answer.status != StatusCode::OK {
            return Err(read_fault(&answer));
        }
        read_answer(&answer)
    }

    /// Status of the nodes that this node can ask.
    pub async fn statuses(&self) -> Result<StatusList> {
        self.get("status").await
    }

    /// All documents of a kind.
    pub async fn documents(&self, kind: DocumentKind) -> Result<DocumentList> {
        self.get(kind.segment()).await
    }

    /// One document; none if neither the node nor the store has it.
    pub async fn document(&self, kind: DocumentKind, name: &str) -> Result<Option<DocumentView>> {
        let path = format!("{}/{name}", kind.segment());
        let answer = self.call(Method::GET, &path, Bytes::new()).await;
        let answer = answer.map_err(|failure| self.failure(failure))?;
        match answer.status {
            StatusCode::OK => {
                let mut list: DocumentList = read_answer(&answer)?;
                if let (Some(fault), None) = (list.store_fault, list.documents.first()) {
                    return Err(Error::Failed(format!("{name} cannot be read: {fault}")));
                }
                Ok(list.documents.pop())
            }
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(read_fault(&answer)),
        }
    }

    /// Sends an amendment; after a lost answer it is sent again as a repetition.
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
            match self.call(Method::PUT, &path, json_bytes(&request)?).await {
                Ok(answer) => return read_amendment(&answer, &request),
                Err(CallFailure::Unreachable(text)) if !request.repeated => {
                    return Err(self.failure(CallFailure::Unreachable(text)));
                }
                Err(CallFailure::Unreachable(text) | CallFailure::NoAnswer(text)) => {
                    request.repeated = true;
                    reason = text;
                }
            }
        }
        Err(Error::Undecided {
            change: request.change.to_string(),
            reason,
        })
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> std::result::Result<RawAnswer, CallFailure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{OPERATOR_PREFIX}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json")
            .body(Full::new(body))
            .map_err(|error| CallFailure::Unreachable(error.to_string()))?;
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    CallFailure::Unreachable(root_cause(&error))
                } else {
                    CallFailure::NoAnswer(root_cause(&error))
                }
            })?;
            let status = answer.status();
            let body = answer.into_body().collect().await;
            let body = body.map_err(|error| CallFailure::NoAnswer(root_cause(&error)))?;
            Ok(RawAnswer {
                status,
                body: body.to_bytes(),
            })
        };
        tokio::time::timeout(ANSWER_TIMEOUT, exchange)
            .await
            .unwrap_or_else(|_| {
                let text = format!("no answer within {} s", ANSWER_TIMEOUT.as_secs());
                Err(CallFailure::NoAnswer(text))
            })
    }

    fn failure(&self, failure: CallFailure) -> Error {
        let (CallFailure::Unreachable(reason) | CallFailure::NoAnswer(reason)) = failure;
        Error::Unreachable {
            address: self.address,
            reason,
        }
    }
}

fn read_amendment(answer: &RawAnswer, request: &AmendRequest) -> Result<AmendResult> {
    match answer.status {
        StatusCode::OK => Ok(AmendResult::Written(read_answer(answer)?)),
        StatusCode::CONFLICT => Ok(AmendResult::Conflict(read_answer(answer)?)),
        StatusCode::GATEWAY_TIMEOUT => Err(Error::Undecided {
            change: request.change.to_string(),
            reason: read_message(answer),
        }),
        _ => Err(read_fault(answer)),
    }
}

fn read_answer<T: DeserializeOwned>(answer: &RawAnswer) -> Result<T> {
    serde_json::from_slice(&answer.body)
        .map_err(|error| Error::Failed(format!("the node's answer cannot be read: {error}")))
}

fn read_fault(answer: &RawAnswer) -> Error {
    let message = read_message(answer);
    match answer.status {
        StatusCode::UNAUTHORIZED => Error::Key(message),
        StatusCode::UNPROCESSABLE_ENTITY => Error::RefusedDocument(message),
        _ => Error::Failed(message),
    }
}

fn read_message(answer: &RawAnswer) -> String {
    serde_json::from_slice::<OperatorError>(&answer.body).map_or_else(
        |_| format!("the node answered with status {}", answer.status),
        |fault| fault.message,
    )
}

fn json_bytes(value: &impl Serialize) -> Result<Bytes> {
    let text = serde_json::to_vec(value).map_err(|error| Error::Failed(error.to_string()))?;
    Ok(text.into())
}

/// Innermost reason: outer layers repeat that a connection failed.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
