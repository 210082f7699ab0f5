//! The operators' interface, `/operator/v1/`.
//!
//! Reads return the state of this node and, for documents, also the content of
//! the platform store. Writes change one document by compare-and-swap on its
//! revision.
//!
//! - `GET contracts`, `servers`, `stops`: all documents of a kind.
//! - `GET` and `PUT contracts/{customer}`, `servers/{data centre}/{server}`,
//!   `stops/{stop}`: one document.
//! - `GET status`, `timeline?since=&request=`, `report`, `usage`, `entry`,
//!   `operations/{customer}/{key}`.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};
use verbenaring_policy::config::{ConfigEntry, ConfigValue, MAX_VALUE_BYTES};
use verbenaring_policy::id::CustomerId;
use verbenaring_protocol::document::{ContractDocument, ServerDocument, read_document};
use verbenaring_protocol::operator::{
    AmendAnswer, AmendConflict, AmendRequest, ContractReport, DocumentList, DocumentView,
    InForceDocument, OPERATOR_PREFIX, OperatorError, StoredDocument,
};
use verbenaring_protocol::rules::{DocumentKind, check_document};
use verbenaring_protocol::stored::decode_entry;

use crate::amend::{AmendOutcome, amend_document};
use crate::answer::json_answer;
use crate::authenticate::bearer_key;
use crate::body::AnswerBody;
use crate::catalog::ServingCatalog;
use crate::controller::NodeCore;
use crate::entry::entry_list;
use crate::listener::RequestHandler;
use crate::operation::read_operation;
use crate::refusal::Refusal;
use crate::store::{PlatformStore, StoreResult, StoredValue};
use crate::usage::usage_report;

use crate::status::{collect_events, collect_statuses};

/// Request handler of the operators' interface.
pub struct OperatorHandler<S> {
    core: Arc<NodeCore<S>>,
    store: Arc<S>,
}

impl<S> Clone for OperatorHandler<S> {
    fn clone(&self) -> Self {
        Self {
            core: self.core.clone(),
            store: self.store.clone(),
        }
    }
}

type Answer = Result<Response<AnswerBody>, Refusal>;

impl<S: PlatformStore> RequestHandler for OperatorHandler<S> {
    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let (parts, body) = request.into_parts();
        self.answer(&parts, body)
            .await
            .unwrap_or_else(|refusal| refusal_answer(&refusal))
    }
}

impl<S: PlatformStore> OperatorHandler<S> {
    /// Creates a handler that reads the state of `core` and changes documents in `store`.
    pub fn new(core: &Arc<NodeCore<S>>, store: &Arc<S>) -> Self {
        Self {
            core: core.clone(),
            store: store.clone(),
        }
    }

    async fn answer(&self, parts: &Parts, body: Incoming) -> Answer {
        self.authenticate(parts)?;
        let path = parts.uri.path();
        let path = path
            .strip_prefix(OPERATOR_PREFIX)
            .ok_or_else(|| unknown_path(parts))?;
        let (segment, name) = path.split_once('/').unwrap_or((path, ""));
        if let Some(kind) = DocumentKind::from_segment(segment) {
            return match parts.method {
                Method::GET => Ok(answer_json(&self.read_documents(kind, name).await?)),
                Method::PUT if !name.is_empty() => self.amend(kind, name, body).await,
                _ => Err(unknown_path(parts)),
            };
        }
        if parts.method != Method::GET {
            return Err(unknown_path(parts));
        }
        match (segment, name) {
            ("status", "") => Ok(answer_json(&collect_statuses(&self.core).await)),
            ("timeline", "") => self.answer_timeline(parts).await,
            ("report", "") => Ok(answer_json(&self.contract_report())),
            ("usage", "") => Ok(answer_json(&usage_report(&self.core, &*self.store).await)),
            ("entry", "") => {
                let stopping = self.core.cluster.is_leaving();
                Ok(answer_json(&entry_list(
                    &self.core.settings,
                    &self.core.cluster.nodes.load(),
                    stopping,
                )))
            }
            ("operations", name) => self.answer_operation(name).await,
            _ => Err(unknown_path(parts)),
        }
    }

    fn authenticate(&self, parts: &Parts) -> Result<(), Refusal> {
        let Some(expected) = &self.core.settings.operator_key else {
            return Err(Refusal::not_run(
                StatusCode::FORBIDDEN,
                "interface_closed",
                "the operators' interface is closed: set operator_key_digest in the settings",
            ));
        };
        let key = bearer_key(&parts.headers)?;
        if expected.matches(&verbenaring_policy::id::Digest::of(key.as_bytes())) {
            return Ok(());
        }
        Err(Refusal::not_run(
            StatusCode::UNAUTHORIZED,
            "invalid_operator_key",
            "bearer key is not the operators' key of this node",
        ))
    }

    /// All documents of a kind if `name` is empty, otherwise the named one.
    ///
    /// Each view combines the document in force, the stored one and the fault that
    /// keeps the stored one out of force. If the store does not answer, the list
    /// has the documents of this node and the store's fault.
    async fn read_documents(
        &self,
        kind: DocumentKind,
        name: &str,
    ) -> Result<DocumentList, Refusal> {
        let key = format!("{}{name}", kind.prefix());
        let stored = self.read_stored_values(&key, name.is_empty()).await;
        let store_fault = stored.as_ref().err().map(ToString::to_string);
        let mut views: BTreeMap<String, DocumentView> = BTreeMap::new();
        for value in stored.unwrap_or_default() {
            let entry = decode_entry(&value.key, value.revision, Some(&value.value));
            view_for_key(&mut views, &value.key).stored = Some(stored_document(&entry));
        }
        let catalog = self.core.catalog.load_full();
        let matches = |found: &str| found == key || (name.is_empty() && found.starts_with(&key));
        for (found, mut document) in documents_in_force(&catalog, kind) {
            if matches(&found) {
                let view = view_for_key(&mut views, &found);
                let stored = view.stored.as_ref();
                let same_revision = stored.filter(|stored| stored.revision == document.revision);
                document.change = document
                    .change
                    .or(same_revision.map(|stored| stored.change));
                view.in_force = Some(document);
            }
        }
        for document in catalog.invalid_documents() {
            if matches(&document.key) {
                view_for_key(&mut views, &document.key).fault = Some(document.reason.clone());
            }
        }
        let documents: Vec<DocumentView> = views.into_values().collect();
        if documents.is_empty() && !name.is_empty() && store_fault.is_none() {
            return Err(Refusal::not_run(
                StatusCode::NOT_FOUND,
                "not_found",
                format!("{key} does not exist"),
            ));
        }
        Ok(DocumentList {
            documents,
            store_fault,
        })
    }

    async fn read_stored_values(&self, key: &str, all: bool) -> StoreResult<Vec<StoredValue>> {
        if all {
            return Ok(self.store.range(key).await?.values);
        }
        Ok(self.store.get(key).await?.into_iter().collect())
    }

    async fn amend(&self, kind: DocumentKind, name: &str, body: Incoming) -> Answer {
        let body = self.core.read_body(body).await?;
        let request: AmendRequest =
            read_document(&body).map_err(|error| invalid_document(error.to_string()))?;
        let key = format!("{}{name}", kind.prefix());
        match &request.document {
            Some(document) => {
                check_proposed_document(kind, name, document)?;
                self.check_bearer_keys(kind, document)?;
            }
            None if request.expected == 0 => {
                return Err(invalid_document(
                    "a deletion needs the revision to delete".into(),
                ));
            }
            None => {}
        }
        let outcome = amend_document(&*self.store, &key, &request).await;
        let result = match &outcome {
            AmendOutcome::Written(_) => "written",
            AmendOutcome::Conflict(_) => "lost a race",
            AmendOutcome::NotWritten(_) => "not written",
            AmendOutcome::Undecided => "undecided",
        };
        log::info!("amendment {} of {key}: {result}", request.change);
        match outcome {
            AmendOutcome::Written(revision) => Ok(answer_json(&AmendAnswer {
                key,
                revision,
                change: request.change,
            })),
            AmendOutcome::Conflict(current) => {
                let mut answer = answer_json(&AmendConflict {
                    key,
                    expected: request.expected,
                    current: current.as_ref().map(stored_document),
                    proposed: request.document,
                });
                *answer.status_mut() = StatusCode::CONFLICT;
                Ok(answer)
            }
            AmendOutcome::NotWritten(reason) => Err(Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "not_written",
                format!("the change was not written: {reason}"),
            )),
            AmendOutcome::Undecided => Err(Refusal {
                status: StatusCode::GATEWAY_TIMEOUT,
                ..Refusal::unknown(
                    "undecided",
                    "the platform store did not answer: the change may have been written",
                )
            }),
        }
    }

    /// Refuses a contract with a bearer key of another customer, because requests
    /// with that key could be served under either contract.
    fn check_bearer_keys(&self, kind: DocumentKind, document: &RawValue) -> Result<(), Refusal> {
        if kind != DocumentKind::Contract {
            return Ok(());
        }
        let document: ContractDocument = read_document(document.get().as_bytes())
            .map_err(|error| invalid_document(error.to_string()))?;
        let catalog = self.core.catalog.load_full();
        let conflicting = catalog.contracts().find(|entry| {
            let terms = &entry.terms;
            terms.customer.as_str() != document.customer
                && (terms.keys.iter()).any(|key| document.keys.contains(&key.to_string()))
        });
        conflicting.map_or(Ok(()), |entry| {
            Err(invalid_document(format!(
                "field keys: a key is already used by customer {}",
                entry.terms.customer
            )))
        })
    }

    async fn answer_timeline(&self, parts: &Parts) -> Answer {
        let mut since = 0;
        let mut request = None;
        let query = parts.uri.query().unwrap_or_default();
        for (name, value) in form_urlencoded::parse(query.as_bytes()) {
            match &*name {
                "since" => {
                    since = value.parse().map_err(|_| {
                        Refusal::not_run(
                            StatusCode::BAD_REQUEST,
                            "invalid_query",
                            "since must be the sequence number of an event",
                        )
                    })?;
                }
                "request" => request = Some(value.into_owned()),
                _ => {
                    return Err(Refusal::not_run(
                        StatusCode::BAD_REQUEST,
                        "invalid_query",
                        format!("query {name} is not known, use since or request"),
                    ));
                }
            }
        }
        let events = collect_events(&self.core, since, request.as_deref()).await;
        Ok(answer_json(&events))
    }

    async fn answer_operation(&self, name: &str) -> Answer {
        let (customer, key) = name.split_once('/').unwrap_or((name, ""));
        let customer = CustomerId::new(customer).map_err(|error| {
            Refusal::not_run(
                StatusCode::BAD_REQUEST,
                "invalid_customer",
                error.to_string(),
            )
        })?;
        Ok(answer_json(
            &read_operation(&self.core, &customer, key).await?,
        ))
    }

    fn contract_report(&self) -> ContractReport {
        ContractReport {
            vm: self.core.settings.vm.to_string(),
            contracts: self.core.metrics.contract_counters.contracts(),
        }
    }
}

/// Keys and documents of a kind that this node has in force.
fn documents_in_force(
    catalog: &ServingCatalog,
    kind: DocumentKind,
) -> Vec<(String, InForceDocument)> {
    let key = |name: String| format!("{}{name}", kind.prefix());
    let document = |key: String, change, document: Option<Box<RawValue>>| {
        let revision = catalog.revision_of(&key)?;
        let document = InForceDocument {
            revision,
            change,
            document: document?,
        };
        Some((key, document))
    };
    match kind {
        DocumentKind::Contract => catalog
            .contracts()
            .filter_map(|entry| {
                let text = to_raw_value(&ContractDocument::from(&entry.terms)).ok();
                let key = key(entry.terms.customer.to_string());
                document(key, Some(entry.change), text)
            })
            .collect(),
        DocumentKind::Server => catalog
            .servers()
            .iter()
            .filter_map(|terms| {
                let text = to_raw_value(&ServerDocument::from(&**terms)).ok();
                let key = key(format!("{}/{}", terms.data_centre.name, terms.server));
                document(key, None, text)
            })
            .collect(),
        DocumentKind::Stop => catalog
            .stops()
            .iter()
            .filter_map(|stop| document(key(stop.stop.clone()), None, to_raw_value(&**stop).ok()))
            .collect(),
    }
}

fn view_for_key<'a>(
    views: &'a mut BTreeMap<String, DocumentView>,
    key: &str,
) -> &'a mut DocumentView {
    views.entry(key.to_owned()).or_insert_with(|| DocumentView {
        key: key.to_owned(),
        in_force: None,
        stored: None,
        fault: None,
    })
}

fn stored_document(entry: &ConfigEntry) -> StoredDocument {
    let document = match &entry.value {
        ConfigValue::Text(text) => RawValue::from_string(text.clone()).ok(),
        ConfigValue::Deleted | ConfigValue::Oversized => None,
    };
    StoredDocument {
        revision: entry.revision,
        change: entry.change,
        base: entry.base,
        document,
    }
}

/// Checks size, content and name of a document that is to be written.
fn check_proposed_document(
    kind: DocumentKind,
    name: &str,
    document: &RawValue,
) -> Result<(), Refusal> {
    let text = document.get();
    if text.len() > MAX_VALUE_BYTES {
        return Err(invalid_document(format!(
            "document is larger than {MAX_VALUE_BYTES} bytes"
        )));
    }
    let found = check_document(kind, text).map_err(|error| invalid_document(error.to_string()))?;
    if found != name {
        return Err(invalid_document(format!(
            "document is for {found}, but was sent for {name}"
        )));
    }
    Ok(())
}

fn invalid_document(reason: String) -> Refusal {
    Refusal::not_run(StatusCode::UNPROCESSABLE_ENTITY, "invalid_document", reason)
}

fn unknown_path(parts: &Parts) -> Refusal {
    Refusal::not_run(
        StatusCode::NOT_FOUND,
        "not_found",
        format!("{} {} does not exist", parts.method, parts.uri.path()),
    )
}

fn answer_json(value: &impl Serialize) -> Response<AnswerBody> {
    json_answer(serde_json::to_string(value).unwrap_or_default())
}

fn refusal_answer(refusal: &Refusal) -> Response<AnswerBody> {
    let mut answer = answer_json(&OperatorError {
        code: refusal.code.to_owned(),
        message: refusal.message.clone(),
    });
    *answer.status_mut() = refusal.status;
    answer
}
