//! Answers of nodes about entry VMs and operations, read by callers and by the
//! operators' command line.

use serde::{Deserialize, Serialize};

/// Entry VM to which callers can connect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Name of the entry VM.
    pub vm: String,
    /// Region of the entry VM.
    pub region: String,
    /// Data centre of the entry VM.
    pub data_centre: String,
    /// IP address and port on which it accepts callers.
    pub caller_address: String,
}

/// Answer of `GET /v1/entry`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryList {
    /// Seconds after which callers must fetch the list again.
    pub ttl_s: u32,
    /// Entry VMs of the data centre of the answering node, best first; without the
    /// node itself while it is stopping.
    pub entries: Vec<EntryVm>,
    /// Entry VMs of other data centres, best first, for use if no entry works.
    pub spares: Vec<EntryVm>,
}

/// Recorded state of an operation that runs at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperationStatus {
    /// Idempotency key of the operation.
    pub key: String,
    /// `claimed`, `done`, `abandoned`, or `absent` if nothing is recorded.
    pub state: String,
    /// Whether the operation was run, as far as its state shows.
    pub outcome: verbenaring_policy::outcome::RunOutcome,
    /// HTTP status of the answer; `None` unless the state is `done`.
    pub status: Option<u16>,
}
