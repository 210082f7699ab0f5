//! Contracts, backend servers and planned stops in force on this node.
//!
//! A catalog is immutable. A change builds the next one, which reuses every
//! document whose revision is unchanged. The replica passes in only documents
//! that can be parsed; the others are listed as invalid.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use verbenaring_policy::config::{ConfigEntry, ConfigValue};
use verbenaring_policy::contract::{ContractTerms, Revision};
use verbenaring_policy::drain::StopScope;
use verbenaring_policy::id::{
    CentreName, ChangeId, CustomerId, DataCentre, Digest, ServerId, VmId,
};
use verbenaring_protocol::document::{
    ContractDocument, LayoutDocument, ScopeDocument, ServerDocument, ServerTerms, StopDocument,
    read_document,
};

/// Prefix of all configuration keys in the platform store.
pub const CONFIG_PREFIX: &str = "config/";
/// Key prefix of contracts.
pub const CONTRACT_PREFIX: &str = "config/contract/";
/// Key prefix of backend servers.
pub const SERVER_PREFIX: &str = "config/server/";
/// Key of the layout: regions, data centres and members.
pub const LAYOUT_KEY: &str = "config/region";
/// Key prefix of planned stops.
pub const STOP_PREFIX: &str = "config/stop/";

/// Terms of a contract, with the revision and amendment that wrote them.
#[derive(Debug, Clone, PartialEq)]
pub struct ContractEntry {
    /// Revision of the document.
    pub revision: Revision,
    /// Amendment that wrote the document.
    pub change: ChangeId,
    /// Checked terms.
    pub terms: ContractTerms,
}

#[derive(Debug, Clone)]
enum Document {
    Contract(Arc<ContractEntry>),
    Server(Arc<ServerTerms>),
    Stop(Arc<StopDocument>),
    Layout(Arc<LayoutDocument>),
    Other,
}

/// Configuration document that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidDocument {
    /// Key of the document in the platform store.
    pub key: String,
    /// Revision of the document.
    pub revision: Revision,
    /// Why it cannot be parsed.
    pub reason: String,
}

/// Configuration in force, indexed for requests.
#[derive(Debug, Default)]
pub struct ServingCatalog {
    revision: Revision,
    documents: BTreeMap<String, (Revision, Document)>,
    by_key: HashMap<Digest, Arc<ContractEntry>>,
    by_customer: HashMap<CustomerId, Arc<ContractEntry>>,
    servers: Vec<Arc<ServerTerms>>,
    stops: Vec<Arc<StopDocument>>,
    layout: Option<Arc<LayoutDocument>>,
    invalid_documents: Vec<InvalidDocument>,
}

impl ServingCatalog {
    /// Builds the catalog of `entries`; documents that `previous` holds in the same
    /// revision are not parsed again.
    pub fn build<'a>(
        previous: &ServingCatalog,
        revision: Revision,
        entries: impl Iterator<Item = &'a ConfigEntry>,
        invalid_documents: Vec<InvalidDocument>,
    ) -> Self {
        let mut catalog = ServingCatalog {
            revision,
            invalid_documents,
            ..Self::default()
        };
        for entry in entries {
            let known = previous.documents.get(&entry.key);
            let document = match known {
                Some((known, document)) if *known == entry.revision => Some(document.clone()),
                _ => parse_document(entry).ok(),
            };
            if let Some(document) = document {
                let versioned = (entry.revision, document);
                catalog.documents.insert(entry.key.clone(), versioned);
            }
        }
        catalog.index();
        catalog
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
                Document::Layout(layout) => self.layout = Some(layout.clone()),
                Document::Other => {}
            }
        }
    }

    /// Revision in force of the document under `key`; `None` if there is none.
    pub fn revision_of(&self, key: &str) -> Option<Revision> {
        self.documents.get(key).map(|(revision, _)| *revision)
    }

    /// Revision of the configuration in force.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Contract to which a bearer key belongs.
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

    /// Contract of a customer; `None` also if the name is not valid.
    pub fn contract_of(&self, customer: &str) -> Option<&Arc<ContractEntry>> {
        self.by_customer.get(&CustomerId::new(customer).ok()?)
    }

    /// All contracts in force.
    pub fn contracts(&self) -> impl Iterator<Item = &Arc<ContractEntry>> {
        self.by_customer.values()
    }

    /// Backend servers of all data centres.
    pub fn servers(&self) -> &[Arc<ServerTerms>] {
        &self.servers
    }

    /// All planned stops.
    pub fn stops(&self) -> &[Arc<StopDocument>] {
        &self.stops
    }

    /// Regions, data centres and members; `None` until operators write the document.
    pub fn layout(&self) -> Option<&LayoutDocument> {
        self.layout.as_deref()
    }

    /// Documents that cannot be parsed.
    pub fn invalid_documents(&self) -> &[InvalidDocument] {
        &self.invalid_documents
    }
}

/// Checks whether the text of a document can be parsed; the error says why not.
pub fn check_document(key: &str, text: &str) -> Result<(), String> {
    let entry = ConfigEntry {
        key: key.to_owned(),
        revision: 0,
        change: ChangeId::default(),
        base: 0,
        value: ConfigValue::Text(text.to_owned()),
    };
    parse_document(&entry)
        .map(|_| ())
        .map_err(|error| error.to_string())
}

fn parse_document(entry: &ConfigEntry) -> verbenaring_protocol::Result<Document> {
    let ConfigValue::Text(text) = &entry.value else {
        return Ok(Document::Other);
    };
    let (key, text) = (entry.key.as_str(), text.as_bytes());
    if key.starts_with(CONTRACT_PREFIX) {
        let document: ContractDocument = read_document(text)?;
        let terms = ContractTerms::try_from(&document)?;
        return Ok(Document::Contract(Arc::new(ContractEntry {
            revision: entry.revision,
            change: entry.change,
            terms,
        })));
    }
    if key.starts_with(SERVER_PREFIX) {
        let document: ServerDocument = read_document(text)?;
        return Ok(Document::Server(Arc::new(ServerTerms::try_from(
            &document,
        )?)));
    }
    if key.starts_with(STOP_PREFIX) {
        return Ok(Document::Stop(Arc::new(read_document(text)?)));
    }
    if key == LAYOUT_KEY {
        return Ok(Document::Layout(Arc::new(read_document(text)?)));
    }
    read_document::<serde_json::Value>(text)?;
    Ok(Document::Other)
}

/// Scope of a planned stop; `None` if its target is invalid or is another data centre.
pub(crate) fn stop_scope(
    scope: ScopeDocument,
    target: &str,
    centre: &DataCentre,
) -> Option<StopScope> {
    match scope {
        ScopeDocument::Vm => VmId::new(target).ok().map(StopScope::Vm),
        ScopeDocument::Server => ServerId::new(target).ok().map(StopScope::Server),
        ScopeDocument::Rack => Some(StopScope::Rack {
            centre: centre.clone(),
            rack: target.to_owned(),
        }),
        ScopeDocument::DataCentre => {
            let name = CentreName::new(target).ok()?;
            (name == centre.name).then(|| StopScope::Centre(centre.clone()))
        }
    }
}
