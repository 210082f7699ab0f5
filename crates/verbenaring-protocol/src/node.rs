//! Types that nodes and the operators' client exchange.

use serde::{Deserialize, Serialize};

/// Where an entry VM listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Name of the entry VM.
    pub vm: String,
    /// Region of the entry VM.
    pub region: String,
    /// Data centre of the entry VM.
    pub data_centre: String,
    /// Address for callers.
    pub caller_address: String,
}

/// Answer of `GET /v1/entry`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// Seconds for which the list may be used.
    pub ttl_s: u32,
    /// Entry VMs, best first.
    pub entries: Vec<EntryVm>,
    /// Entry VMs of other data centres, best first.
    pub spares: Vec<EntryVm>,
}

/// State of an operation that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationStatus {
    /// Idempotency key of the operation.
    pub key: String,
    /// `claimed`, `done`, `abandoned` or `absent`.
    pub state: String,
    /// Whether the operation was run.
    pub outcome: verbenaring_policy::outcome::RunOutcome,
    /// HTTP status of the answer, once done.
    pub status: Option<u16>,
}
