//! Parsing of operators' documents and their conversion to checked types.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::de::DeserializeOwned;
use verbenaring_policy::contract::{
    ContractTerms, LimitTerms, PriorityLevel, ResidencyRule, RoutingPreference, ServiceCall,
};
use verbenaring_policy::id::{
    CentreName, CustomerId, DataCentre, Digest, MemberId, ModelName, RegionName, ServerId,
    ServiceName,
};

use crate::error::{Error, Result};
pub use crate::generated::contract::{ContractDocument, PriorityDocument};
pub use crate::generated::region::LayoutDocument;
pub use crate::generated::server::{KindDocument, ServerDocument};
pub use crate::generated::settings::SettingsDocument;
pub use crate::generated::stop::{ScopeDocument, StopDocument};

/// Checked content of a [`ServerDocument`].
#[derive(Debug, Clone, PartialEq)]
pub struct ServerTerms {
    /// Name of the server.
    pub server: ServerId,
    /// Region and data centre of the server.
    pub data_centre: DataCentre,
    /// IP address and port to which requests are sent.
    pub address: SocketAddr,
    /// Whether the server is an inference engine or a plain service.
    pub kind: KindDocument,
    /// Models that the server offers if it is an engine.
    pub models: Vec<ModelName>,
    /// Names of the plain services that the server offers.
    pub services: Vec<ServiceName>,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Tokens per second that one request achieves on a healthy server.
    pub tokens_per_s: f64,
    /// Whether the server can resume a broken stream.
    pub resumes: bool,
    /// Whether the server refuses orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Whether operators have marked the server as leaving.
    pub leaving: bool,
}

/// Parses a JSON document. An error holds line, column and path of the invalid
/// field.
pub fn read_document<T: DeserializeOwned>(text: &[u8]) -> Result<T> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let document = serde_path_to_error::deserialize(&mut deserializer).map_err(|error| {
        let field = error.path().to_string();
        document_error(field, error.inner())
    })?;
    deserializer
        .end()
        .map_err(|error| document_error(".".into(), &error))?;
    Ok(document)
}

fn document_error(field: String, error: &serde_json::Error) -> Error {
    let text = error.to_string();
    let reason = text.split(" at line ").next().unwrap_or(&text).to_owned();
    Error::Document {
        line: error.line(),
        column: error.column(),
        field,
        reason,
    }
}

/// Parses an IP address with port; an error names `field`.
pub fn read_address(field: &str, text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| Error::Field {
        field: field.to_owned(),
        reason: format!("{text:?} is not an IP address and port such as 127.0.0.1:8080"),
    })
}

impl TryFrom<&ContractDocument> for ContractTerms {
    type Error = Error;

    fn try_from(document: &ContractDocument) -> Result<Self> {
        let terms = ContractTerms {
            customer: CustomerId::new(&document.customer)?,
            member: MemberId::new(&document.member)?,
            keys: document
                .keys
                .iter()
                .map(|key| Digest::try_from(key.clone()))
                .collect::<std::result::Result<_, _>>()?,
            residency: ResidencyRule {
                home: RegionName::new(&document.residency.home)?,
                allowed: document
                    .residency
                    .allowed
                    .iter()
                    .map(|region| RegionName::new(region))
                    .collect::<std::result::Result<_, _>>()?,
            },
            limits: LimitTerms {
                requests_per_s: document.limits.requests_per_s,
                tokens_per_s: document.limits.tokens_per_s,
                concurrent: document.limits.concurrent,
                deadline: Duration::from_millis(document.limits.deadline_ms),
            },
            priority: match document.priority {
                PriorityDocument::Interactive => PriorityLevel::Interactive,
                PriorityDocument::Standard => PriorityLevel::Standard,
                PriorityDocument::Batch => PriorityLevel::Batch,
            },
            weight: document.weight.get(),
            models: document
                .models
                .iter()
                .map(|model| ModelName::new(model))
                .collect::<std::result::Result<_, _>>()?,
            services: convert_services(document)?,
            preference: RoutingPreference {
                send_away_after: Duration::from_millis(document.send_away_after_ms),
            },
        };
        terms.check()?;
        Ok(terms)
    }
}

fn convert_services(
    document: &ContractDocument,
) -> Result<BTreeMap<ServiceName, Vec<ServiceCall>>> {
    document
        .services
        .iter()
        .map(|service| {
            let calls = service.calls.iter().map(|call| ServiceCall {
                method: call.method.clone(),
                path: call.path.clone(),
                repeatable: call.repeatable,
            });
            Ok((ServiceName::new(&service.service)?, calls.collect()))
        })
        .collect()
}

impl TryFrom<&ServerDocument> for ServerTerms {
    type Error = Error;

    fn try_from(document: &ServerDocument) -> Result<Self> {
        Ok(ServerTerms {
            server: ServerId::new(&document.server)?,
            data_centre: DataCentre {
                region: RegionName::new(&document.region)?,
                name: CentreName::new(&document.data_centre)?,
            },
            address: read_address("address", &document.address)?,
            kind: document.kind,
            models: document
                .models
                .iter()
                .map(|model| ModelName::new(model))
                .collect::<std::result::Result<_, _>>()?,
            services: document
                .services
                .iter()
                .map(|service| ServiceName::new(service))
                .collect::<std::result::Result<_, _>>()?,
            slots: document.slots.get(),
            tokens_per_s: document.tokens_per_s,
            resumes: document.resumes,
            checks_fencing: document.checks_fencing,
            leaving: document.leaving,
        })
    }
}
