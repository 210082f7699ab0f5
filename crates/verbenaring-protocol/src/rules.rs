//! Checks of a configuration document before it is written to the store, and
//! conversion of checked types back to documents.

use serde_json::Value;
use verbenaring_policy::contract::{ContractTerms, PriorityLevel};
use verbenaring_policy::id::{CentreName, Digest, ServerId, VmId};

use crate::document::{
    ContractDocument, PriorityDocument, ScopeDocument, ServerDocument, ServerTerms, StopDocument,
    read_document,
};
use crate::error::{Error, Result};
use crate::generated::contract::{CallDocument, LimitDocument, ResidencyDocument, ServiceDocument};

/// Kind of a configuration document that operators write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentKind {
    /// Contract of a customer ([`ContractDocument`]).
    Contract,
    /// Backend server ([`ServerDocument`]).
    Server,
    /// Planned stop ([`StopDocument`]).
    Stop,
}

impl DocumentKind {
    /// Prefix of the keys in the platform store.
    pub fn prefix(self) -> &'static str {
        match self {
            DocumentKind::Contract => "config/contract/",
            DocumentKind::Server => "config/server/",
            DocumentKind::Stop => "config/stop/",
        }
    }

    /// First path segment below the prefix of the operators' interface.
    pub fn segment(self) -> &'static str {
        match self {
            DocumentKind::Contract => "contracts",
            DocumentKind::Server => "servers",
            DocumentKind::Stop => "stops",
        }
    }

    /// Kind with this path segment in the operators' interface; `None` if unknown.
    pub fn from_segment(segment: &str) -> Option<Self> {
        [Self::Contract, Self::Server, Self::Stop]
            .into_iter()
            .find(|kind| kind.segment() == segment)
    }
}

/// Checks a document and returns its name, which follows the prefix in its key.
pub fn check_document(kind: DocumentKind, text: &str) -> Result<String> {
    match kind {
        DocumentKind::Contract => check_contract(&read_document(text.as_bytes())?),
        DocumentKind::Server => check_server(&read_document(text.as_bytes())?),
        DocumentKind::Stop => check_stop(&read_document(text.as_bytes())?),
    }
}

/// Parses a document and fills in its defaults, so that documents can be compared.
pub fn with_defaults(kind: DocumentKind, text: &str) -> Result<Value> {
    let text = text.as_bytes();
    let value = match kind {
        DocumentKind::Contract => serde_json::to_value(read_document::<ContractDocument>(text)?),
        DocumentKind::Server => serde_json::to_value(read_document::<ServerDocument>(text)?),
        DocumentKind::Stop => serde_json::to_value(read_document::<StopDocument>(text)?),
    };
    Ok(value.expect("a document can be encoded as JSON"))
}

fn check_contract(document: &ContractDocument) -> Result<String> {
    let terms = ContractTerms::try_from(document)?;
    Ok(terms.customer.to_string())
}

fn check_server(document: &ServerDocument) -> Result<String> {
    let terms = ServerTerms::try_from(document)?;
    if !terms.tokens_per_s.is_finite() || terms.tokens_per_s <= 0.0 {
        return Err(field_error("tokens_per_s", "must be a number above 0"));
    }
    Ok(format!("{}/{}", terms.data_centre.name, terms.server))
}

fn check_stop(document: &StopDocument) -> Result<String> {
    // Names of stops follow the same rules as names of entry VMs.
    if VmId::new(&document.stop).is_err() {
        return Err(field_error(
            "stop",
            "must be a name of letters, digits, '-', '_' and '.'",
        ));
    }
    match document.scope {
        ScopeDocument::Vm => VmId::new(&document.target).map(|_| ())?,
        ScopeDocument::Server => ServerId::new(&document.target).map(|_| ())?,
        ScopeDocument::DataCentre => CentreName::new(&document.target).map(|_| ())?,
        ScopeDocument::Rack if document.target.is_empty() => {
            return Err(field_error("target", "must name a rack"));
        }
        ScopeDocument::Rack => {}
    }
    if document
        .until_unix_ms
        .is_some_and(|until| until <= document.from_unix_ms)
    {
        return Err(field_error("until_unix_ms", "must be after from_unix_ms"));
    }
    Ok(document.stop.clone())
}

fn field_error(field: &str, reason: &str) -> Error {
    Error::Field {
        field: field.to_owned(),
        reason: reason.to_owned(),
    }
}

impl From<&ContractTerms> for ContractDocument {
    fn from(terms: &ContractTerms) -> Self {
        let services = terms.services.iter().map(|(service, calls)| {
            let calls = calls.iter().map(|call| CallDocument {
                method: call.method.clone(),
                path: call.path.clone(),
                repeatable: call.repeatable,
            });
            ServiceDocument {
                service: service.to_string(),
                calls: calls.collect(),
            }
        });
        ContractDocument {
            customer: terms.customer.to_string(),
            member: terms.member.to_string(),
            keys: terms.keys.iter().map(Digest::to_string).collect(),
            residency: ResidencyDocument {
                home: terms.residency.home.to_string(),
                allowed: to_strings(&terms.residency.allowed),
            },
            limits: LimitDocument {
                requests_per_s: terms.limits.requests_per_s,
                tokens_per_s: terms.limits.tokens_per_s,
                concurrent: terms.limits.concurrent,
                deadline_ms: terms.limits.deadline.as_millis() as u64,
            },
            priority: match terms.priority {
                PriorityLevel::Interactive => PriorityDocument::Interactive,
                PriorityLevel::Standard => PriorityDocument::Standard,
                PriorityLevel::Batch => PriorityDocument::Batch,
            },
            weight: terms
                .weight
                .try_into()
                .unwrap_or(std::num::NonZero::<u32>::MIN),
            models: to_strings(&terms.models),
            services: services.collect(),
            send_away_after_ms: terms.preference.send_away_after.as_millis() as u64,
        }
    }
}

impl From<&ServerTerms> for ServerDocument {
    fn from(terms: &ServerTerms) -> Self {
        ServerDocument {
            server: terms.server.to_string(),
            region: terms.data_centre.region.to_string(),
            data_centre: terms.data_centre.name.to_string(),
            address: terms.address.to_string(),
            kind: terms.kind,
            models: to_strings(&terms.models),
            services: to_strings(&terms.services),
            slots: terms
                .slots
                .try_into()
                .unwrap_or(std::num::NonZero::<u32>::MIN),
            tokens_per_s: terms.tokens_per_s,
            resumes: terms.resumes,
            checks_fencing: terms.checks_fencing,
            leaving: terms.leaving,
        }
    }
}

fn to_strings<'a, T: ToString + 'a>(values: impl IntoIterator<Item = &'a T>) -> Vec<String> {
    values.into_iter().map(T::to_string).collect()
}
