//! Builds the HTTP answers that callers receive.

use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use verbenaring_protocol::header;

use crate::attempt::json_headers;
use crate::body::AnswerBody;
use crate::catalog::ContractEntry;
use crate::refusal::Refusal;

/// Value of a header; `None` if it is missing or not visible ASCII.
pub fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
}

/// Builds the answer for the caller from that of a backend server or node.
///
/// Only the content type, `Retry-After` and, for a relayed body, the content
/// length are passed on. `served_by` names the node and server.
pub fn caller_answer(
    status: StatusCode,
    headers: &HeaderMap,
    body: AnswerBody,
    served_by: Option<String>,
) -> Response<AnswerBody> {
    let mut answer = Response::new(body);
    *answer.status_mut() = status;
    for name in [CONTENT_TYPE, RETRY_AFTER] {
        if let Some(value) = headers.get(&name) {
            answer.headers_mut().insert(name, value.clone());
        }
    }
    if let (AnswerBody::Relayed(_), Some(length)) = (answer.body(), headers.get(CONTENT_LENGTH)) {
        let length = length.clone();
        answer.headers_mut().insert(CONTENT_LENGTH, length);
    }
    if let Some(value) = served_by.and_then(|served_by| HeaderValue::from_str(&served_by).ok()) {
        answer.headers_mut().insert(header::SERVED_BY, value);
    }
    answer
}

pub(crate) fn refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let mut answer = json_answer(refusal.to_json());
    *answer.status_mut() = refusal.status;
    let outcome = HeaderValue::from_static(refusal.outcome.as_str());
    answer.headers_mut().insert(header::OUTCOME, outcome);
    if let Some(seconds) = refusal.retry_after_s {
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

pub(crate) fn json_answer(text: String) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::from(text));
    *answer.headers_mut() = json_headers();
    answer
}

pub(crate) fn text_answer(text: &str) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::from(text.to_owned()));
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

pub(crate) fn model_list(entry: &ContractEntry) -> String {
    let models = entry.terms.models.iter().map(|model| {
        serde_json::json!({ "id": model, "object": "model", "created": 0, "owned_by": "verbenaring" })
    });
    serde_json::json!({ "object": "list", "data": models.collect::<Vec<_>>() }).to_string()
}
