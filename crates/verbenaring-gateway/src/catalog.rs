//! Contracts, backend servers and planned stops in force on this node.
//!
//! A catalog is immutable. A change builds the next one and reuses every
//! document whose revision is unchanged. A document that cannot be read keeps
//! its last readable version in force and is listed as a fault.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use verbenaring_policy::config::ConfigValue;
use verbenaring_policy::contract::{ContractTerms, Revision};
use verbenaring_policy::id::{ChangeId, CustomerId, Digest};
use verbenaring_protocol::document::{
    ContractDocument, ServerDocument, ServerTerms, StopDocument, read_document,
};
use verbenaring_protocol::stored::read_entry;

/// Prefix of all configuration keys in the platform store.
pub const CONFIG_PREFIX: &str = "config/";
/// Prefix of contracts.
pub const CONTRACT_PREFIX: &str = "config/contract/";
/// Prefix of backend servers.
pub const SERVER_PREFIX: &str = "config/server/";
/// Prefix of planned stops.
pub const STOP_PREFIX: &str = "config/stop/";

/// Contract with the revision that wrote it.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractEntry {
    /// Revision of the contract.
    pub revision: Revision,
    /// Amendment that wrote the contract.
    pub change: ChangeId,
    /// Terms of the contract.
    pub terms: ContractTerms,
}

#[derive(Debug, Clone)]
enum Document {
    Contract(Arc<ContractEntry>),
    Server(Arc<ServerTerms>),
    Stop(Arc<StopDocument>),
    Other,
}

/// Configuration document that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DocumentFault {
    /// Key of the document.
    pub key: String,
    /// Revision of the document.
    pub revision: Revision,
    /// What is wrong with it.
    pub reason: String,
}

/// Configuration in force.
#[derive(Debug, Default)]
pub struct ServingCatalog {
    revision: Revision,
    documents: BTreeMap<String, (Revision, Document)>,
    by_key: HashMap<Digest, Arc<ContractEntry>>,
    by_customer: HashMap<CustomerId, Arc<ContractEntry>>,
    servers: Vec<Arc<ServerTerms>>,
    stops: Vec<Arc<StopDocument>>,
    faults: Vec<DocumentFault>,
}

impl ServingCatalog {
    /// Builds the catalog of `entries` after `previous`.
    pub fn build<'a>(
        previous: &ServingCatalog,
        revision: Revision,
        entries: impl Iterator<Item = (&'a str, Revision, &'a [u8])>,
    ) -> Self {
        let mut catalog = ServingCatalog {
            revision,
            ..Self::default()
        };
        for (key, revision, value) in entries {
            let known = previous.documents.get(key);
            match known {
                Some((known_revision, document)) if *known_revision == revision => {
                    catalog
                        .documents
                        .insert(key.to_owned(), (revision, document.clone()));
                }
                _ => catalog.read(key, revision, value, known),
            }
        }
        catalog.index();
        catalog
    }

    fn read(
        &mut self,
        key: &str,
        revision: Revision,
        value: &[u8],
        known: Option<&(Revision, Document)>,
    ) {
        match parse_document(key, revision, value) {
            Ok(document) => {
                self.documents.insert(key.to_owned(), (revision, document));
            }
            Err(error) => {
                let reason = error.to_string();
                self.faults.push(DocumentFault {
                    key: key.to_owned(),
                    revision,
                    reason,
                });
                if let Some(known) = known {
                    self.documents.insert(key.to_owned(), known.clone());
                }
            }
        }
    }

    fn index(&mut self) {
        for (_, document) in self.documents.values() {
            match document {
                Document::Contract(entry) => {
                    for key in &entry.terms.keys {
                        self.by_key.insert(*key, entry.clone());
                    }
                    self.by_customer
                        .insert(entry.terms.customer.clone(), entry.clone());
                }
                Document::Server(terms) => self.servers.push(terms.clone()),
                Document::Stop(stop) => self.stops.push(stop.clone()),
                Document::Other => {}
            }
        }
    }

    /// Revision in force of one document.
    pub fn revision_of(&self, key: &str) -> Option<Revision> {
        self.documents.get(key).map(|(revision, _)| *revision)
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Contract of the holder of a bearer key.
    pub fn contract_of_key(&self, key: &str) -> Option<&Arc<ContractEntry>> {
        let digest = Digest::of(key.as_bytes());
        let entry = self.by_key.get(&digest)?;
        let matches = entry
            .terms
            .keys
            .iter()
            .fold(false, |found, key| found | key.matches(&digest));
        matches.then_some(entry)
    }

    /// Contract of a customer.
    pub fn contract_of(&self, customer: &str) -> Option<&Arc<ContractEntry>> {
        self.by_customer.get(&CustomerId::new(customer).ok()?)
    }

    /// All contracts in force.
    pub fn contracts(&self) -> impl Iterator<Item = &Arc<ContractEntry>> {
        self.by_customer.values()
    }

    /// All backend servers.
    pub fn servers(&self) -> &[Arc<ServerTerms>] {
        &self.servers
    }

    /// All planned stops.
    pub fn stops(&self) -> &[Arc<StopDocument>] {
        &self.stops
    }

    /// Documents that cannot be read.
    pub fn faults(&self) -> &[DocumentFault] {
        &self.faults
    }
}

fn parse_document(
    key: &str,
    revision: Revision,
    value: &[u8],
) -> verbenaring_protocol::Result<Document> {
    let entry = read_entry(key, revision, Some(value));
    let ConfigValue::Text(text) = &entry.value else {
        return Ok(Document::Other);
    };
    let value = text.as_bytes();
    if key.starts_with(CONTRACT_PREFIX) {
        let document: ContractDocument = read_document(value)?;
        let terms = ContractTerms::try_from(&document)?;
        return Ok(Document::Contract(Arc::new(ContractEntry {
            revision,
            change: entry.change,
            terms,
        })));
    }
    if key.starts_with(SERVER_PREFIX) {
        let document: ServerDocument = read_document(value)?;
        return Ok(Document::Server(Arc::new(ServerTerms::try_from(
            &document,
        )?)));
    }
    if key.starts_with(STOP_PREFIX) {
        return Ok(Document::Stop(Arc::new(read_document(value)?)));
    }
    Ok(Document::Other)
}
