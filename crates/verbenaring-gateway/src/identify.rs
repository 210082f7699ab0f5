//! Second filter: finds out what a request asks for, how large it is, and its
//! digests.
//!
//! Only the top level of the JSON body and the roles of chat messages are
//! parsed. Content is kept as raw text and passed on unchanged.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderMap};
use hyper::http::request::Parts;
use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::time::Instant;
use verbenaring_policy::contract::{ContractTerms, PriorityLevel};
use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::id::{Digest, ModelName, ServiceName};
use verbenaring_policy::request::{RequestClass, RequestDigests, SizeEstimate};

use crate::attempt::json_headers;
use crate::catalog::ContractEntry;
use crate::refusal::Refusal;
use crate::work::{PendingWork, WorkTarget};

/// Answer tokens assumed for a request without a limit of its own.
const DEFAULT_ANSWER_TOKENS: u32 = 256;
/// Bytes of prompt text per token, on average.
const BYTES_PER_TOKEN: usize = 4;
/// Leading bytes of the prompt by which requests are sent to an engine that has
/// the same prefix cached.
const PREFIX_BYTES: usize = 1024;
/// Leading messages of a chat by which those that crash engines are found.
const MAX_SHARED_MESSAGES: usize = 64;

#[derive(Deserialize)]
struct MessageHead<'a> {
    #[serde(borrow)]
    role: std::borrow::Cow<'a, str>,
}

/// Parses a call of the OpenAI-compatible interface.
///
/// The `priority` field of the body is set for the engine. Refuses bodies that are
/// not valid and models that are not in the contract.
pub fn identify_inference(
    entry: Arc<ContractEntry>,
    digest_key: &[u8; 32],
    path: &str,
    body: &[u8],
    request_id: &Arc<str>,
) -> Result<PendingWork, Refusal> {
    let mut fields: BTreeMap<String, Box<RawValue>> = serde_json::from_slice(body)
        .map_err(|error| invalid_request(format!("body is not a JSON object: {error}")))?;
    let model = read_model(&entry.terms, &fields)?;
    let is_chat = path == "/v1/chat/completions";
    let prompt_field = if is_chat { "messages" } else { "prompt" };
    let prompt = fields
        .get(prompt_field)
        .ok_or_else(|| invalid_request(format!("field {prompt_field} is missing")))?;
    let messages = read_messages(is_chat, prompt)?;
    let size = SizeEstimate {
        prompt_tokens: (prompt.get().len() / BYTES_PER_TOKEN) as u32 + 1,
        answer_tokens: read_answer_limit(&fields)?,
    };
    let digests = prompt_digests(digest_key, &model, prompt.get().as_bytes());
    let shared = &messages[..messages.len().saturating_sub(1)];
    let shared = shared.iter().take(MAX_SHARED_MESSAGES);
    let parts = CallParts {
        request: digests.whole.short_id(),
        shared: shared
            .map(|message| keyed_digest(digest_key, &model, message.get().as_bytes()).short_id())
            .collect(),
    };
    let stream = read_field::<bool>(&fields, "stream")?.unwrap_or(false);
    let priority = engine_priority(entry.terms.priority, size.class());
    fields.insert("priority".into(), raw_number(priority));
    let body = serde_json::to_vec(&fields).map_err(|error| invalid_request(error.to_string()))?;
    let accepted = Instant::now();
    Ok(PendingWork {
        request_id: request_id.clone(),
        target: WorkTarget::Model(model),
        method: Method::POST,
        path: path.to_owned(),
        forward_path: path.to_owned(),
        headers: json_headers(),
        body: body.into(),
        repeatable: true,
        stream,
        size,
        digests: Some(digests),
        parts,
        accepted,
        deadline: accepted + entry.terms.limits.deadline,
        forwarded: None,
        entry,
    })
}

/// Parses a call of a plain service, `/v1/services/{service}/{path}`.
///
/// Refuses calls that the contract does not list.
pub fn identify_service(
    entry: Arc<ContractEntry>,
    parts: &Parts,
    body: Bytes,
    request_id: &Arc<str>,
) -> Result<PendingWork, Refusal> {
    let forward_path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    let rest = forward_path
        .strip_prefix("/v1/services/")
        .unwrap_or_default();
    let name_end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (name, inner_path) = rest.split_at(name_end);
    let path = if inner_path.starts_with('/') {
        inner_path.to_owned()
    } else {
        format!("/{inner_path}")
    };
    let plain_path = path.split('?').next().unwrap_or_default();
    let call = entry
        .terms
        .service_call(name, parts.method.as_str(), plain_path);
    let repeatable = call
        .ok_or_else(|| {
            Refusal::not_run(
                StatusCode::FORBIDDEN,
                "call_not_allowed",
                format!(
                    "{} {plain_path} of service {name} is not in the contract",
                    parts.method
                ),
            )
        })?
        .repeatable;
    let service = ServiceName::new(name).map_err(|error| invalid_request(error.to_string()))?;
    let accepted = Instant::now();
    Ok(PendingWork {
        request_id: request_id.clone(),
        target: WorkTarget::Service(service),
        method: parts.method.clone(),
        path,
        forward_path: forward_path.to_owned(),
        headers: service_headers(&parts.headers),
        body,
        repeatable,
        stream: false,
        size: SizeEstimate::default(),
        digests: None,
        parts: CallParts::default(),
        accepted,
        deadline: accepted + entry.terms.limits.deadline,
        forwarded: None,
        entry,
    })
}

/// Headers that are passed on to a plain service; credentials are not.
fn service_headers(headers: &HeaderMap) -> HeaderMap {
    [CONTENT_TYPE, ACCEPT]
        .into_iter()
        .filter_map(|name| headers.get(&name).map(|value| (name, value.clone())))
        .collect()
}

/// Priority of a call at an engine; lower values run first.
///
/// The size class counts more than the contract's level.
pub fn engine_priority(level: PriorityLevel, class: RequestClass) -> u32 {
    let level = match level {
        PriorityLevel::Interactive => 0,
        PriorityLevel::Standard => 1,
        PriorityLevel::Batch => 2,
    };
    let class = match class {
        RequestClass::Short => 0,
        RequestClass::Medium => 1,
        RequestClass::Long => 2,
    };
    3 * class + level
}

fn invalid_request(message: impl Into<String>) -> Refusal {
    Refusal::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

fn raw_number(number: u32) -> Box<RawValue> {
    RawValue::from_string(number.to_string()).expect("a number is JSON")
}

fn read_field<'a, T: Deserialize<'a>>(
    fields: &'a BTreeMap<String, Box<RawValue>>,
    name: &str,
) -> Result<Option<T>, Refusal> {
    match fields.get(name) {
        None => Ok(None),
        Some(value) => serde_json::from_str(value.get())
            .map_err(|error| invalid_request(format!("field {name}: {error}"))),
    }
}

fn read_model(
    terms: &ContractTerms,
    fields: &BTreeMap<String, Box<RawValue>>,
) -> Result<ModelName, Refusal> {
    let name: String =
        read_field(fields, "model")?.ok_or_else(|| invalid_request("field model is missing"))?;
    let model = ModelName::new(&name).map_err(|error| invalid_request(error.to_string()))?;
    if !terms.models.contains(&model) {
        return Err(Refusal::not_run(
            StatusCode::NOT_FOUND,
            "model_not_found",
            format!("model {model} is not part of the contract"),
        ));
    }
    Ok(model)
}

fn read_answer_limit(fields: &BTreeMap<String, Box<RawValue>>) -> Result<u32, Refusal> {
    let limit = match read_field::<u32>(fields, "max_completion_tokens")? {
        Some(limit) => Some(limit),
        None => read_field::<u32>(fields, "max_tokens")?,
    };
    match limit {
        Some(0) => Err(invalid_request("field max_tokens must be at least 1")),
        Some(limit) => Ok(limit),
        None => Ok(DEFAULT_ANSWER_TOKENS),
    }
}

/// Checks the prompt and returns the messages of a chat, none for a completion.
fn read_messages(is_chat: bool, prompt: &RawValue) -> Result<Vec<&RawValue>, Refusal> {
    if is_chat {
        let invalid = |error| invalid_request(format!("field messages: {error}"));
        let heads: Vec<MessageHead<'_>> = serde_json::from_str(prompt.get()).map_err(invalid)?;
        if heads.is_empty() || heads.iter().any(|head| head.role.is_empty()) {
            return Err(invalid_request(
                "field messages must hold messages with a role",
            ));
        }
        return serde_json::from_str(prompt.get()).map_err(invalid);
    }
    match prompt.get().as_bytes().first() {
        Some(b'"' | b'[') => Ok(Vec::new()),
        _ => Err(invalid_request("field prompt must be a string or an array")),
    }
}

fn prompt_digests(digest_key: &[u8; 32], model: &ModelName, prompt: &[u8]) -> RequestDigests {
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    RequestDigests {
        whole: keyed_digest(digest_key, model, prompt),
        prefix: keyed_digest(digest_key, model, prefix),
    }
}

/// Digest of a part of the requests for a model; all nodes compute the same.
fn keyed_digest(digest_key: &[u8; 32], model: &ModelName, part: &[u8]) -> Digest {
    let mut hasher = blake3::Hasher::new_keyed(digest_key);
    hasher.update(model.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(part);
    Digest(*hasher.finalize().as_bytes())
}
