//! Requests and answers of the operators' interface, `/operator/v1/`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::{AttemptId, ChangeId, CustomerId, DataCentre, MemberId};
use verbenaring_policy::usage::{MemberLines, UsageCounters, UsageStatement};

/// Path prefix of the operators' interface.
pub const OPERATOR_PREFIX: &str = "/operator/v1/";

/// Version of a document that a node has in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InForceDocument {
    /// Revision of the version in force.
    pub revision: Revision,
    /// Amendment that wrote this version; `None` if the node does not know it.
    pub change: Option<ChangeId>,
    /// Document in force, with defaults filled in.
    pub document: Box<RawValue>,
}

/// Version of a document in the platform store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Revision of the entry in the store.
    pub revision: Revision,
    /// Amendment that wrote the entry.
    pub change: ChangeId,
    /// Revision that the amendment expected; 0 for a new entry.
    pub base: Revision,
    /// Document as the operator wrote it; `None` if the entry is deleted or
    /// unreadable.
    pub document: Option<Box<RawValue>>,
}

/// Versions of one configuration document: in force at a node, and stored.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentView {
    /// Key in the platform store.
    pub key: String,
    /// Version in force at the answering node; `None` if it has none.
    pub in_force: Option<InForceDocument>,
    /// Version in the platform store; `None` if it is absent or the store failed.
    pub stored: Option<StoredDocument>,
    /// Why the newest version is not in force; `None` unless it is invalid.
    pub fault: Option<String>,
}

/// Answer of `GET contracts`, `servers` and `stops`, and of `GET` on one document.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentList {
    /// Documents in the order of their keys.
    pub documents: Vec<DocumentView>,
    /// Why the store could not be read, so that every document lacks `stored`;
    /// `None` if it was read.
    pub store_fault: Option<String>,
}

/// Body of `PUT` on one document.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AmendRequest {
    /// Revision that the operator amends; 0 for a new key.
    pub expected: Revision,
    /// Identifier of the amendment, chosen by the client; new for each amendment.
    pub change: ChangeId,
    /// Whether an earlier request with the same `change` got no answer.
    #[serde(default)]
    pub repeated: bool,
    /// New document; `None` deletes the entry.
    pub document: Option<Box<RawValue>>,
}

/// Answer to an amendment that was written to the platform store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AmendAnswer {
    /// Key in the platform store.
    pub key: String,
    /// Revision of the entry that was written.
    pub revision: Revision,
    /// Identifier of the amendment, from the request.
    pub change: ChangeId,
}

/// Answer with status 409: the entry is not at the expected revision, because
/// another amendment was written first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AmendConflict {
    /// Key in the platform store.
    pub key: String,
    /// Revision that the amendment expected.
    pub expected: Revision,
    /// Version in the platform store; `None` if the key does not exist.
    pub current: Option<StoredDocument>,
    /// Document that was not written; `None` for a deletion.
    pub proposed: Option<Box<RawValue>>,
}

/// State of a backend server at one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: String,
    /// Region of the server.
    pub region: String,
    /// Data centre of the server.
    pub data_centre: String,
    /// IP address and port of the server.
    pub address: String,
    /// Whether operators have marked the server as leaving.
    pub leaving: bool,
    /// Number of this node's requests in flight at the server.
    pub requests: u32,
    /// Estimated tokens of this node's requests in flight at the server.
    pub tokens: u64,
}

/// Configuration document that a node could not read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultyDocument {
    /// Key in the platform store.
    pub key: String,
    /// Revision of the unreadable document.
    pub revision: Revision,
    /// Why it could not be read.
    pub reason: String,
}

/// Status of one node, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the entry VM.
    pub vm: String,
    /// Region of the entry VM.
    pub region: String,
    /// Data centre of the entry VM.
    pub data_centre: String,
    /// Revision of the configuration that the node has in force.
    pub revision: Revision,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
    /// Backend servers of the node's data centre.
    pub servers: Vec<ServerStatus>,
    /// Documents that the node could not read; their previous versions stay in force.
    pub faults: Vec<FaultyDocument>,
}

/// Answer of `GET status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusList {
    /// Status of each node that answered.
    pub nodes: Vec<NodeStatus>,
    /// Names of the nodes that could not be asked.
    pub missing: Vec<String>,
}

/// Timeline event as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventView {
    /// Sequence number of the event at its node.
    pub sequence: u64,
    /// Hybrid logical time: NTP64 fixed-point seconds since 1970-01-01 UTC.
    pub time: u64,
    /// Name of the entry VM that recorded the event.
    pub vm: String,
    /// Kind of the event: an
    /// [`EventKind`](crate::timeline::EventKind) in snake case.
    pub kind: String,
    /// Identifier of the request; empty if the event is not about one.
    pub request: String,
    /// Identifier of the attempt; `None` if the event is not about one.
    pub attempt: Option<AttemptId>,
}

/// Answer of `GET timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventList {
    /// Events in the order of their hybrid logical times.
    pub events: Vec<EventView>,
    /// Names of the nodes that could not be asked.
    pub missing: Vec<String>,
}

/// Counters of one contract at one node since its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractCounters {
    /// Customer of the contract.
    pub customer: String,
    /// Requests received from the customer's callers.
    pub requests: u64,
    /// Requests that were refused and not run.
    pub not_run: u64,
    /// Requests that may have run and got no complete answer.
    pub unknown: u64,
    /// Answers relayed to their end, including answers to forwarded requests.
    pub whole: u64,
    /// Answers that ended early because the caller closed its connection.
    pub caller_gone: u64,
    /// Tokens relayed, including those of answers to forwarded requests.
    pub tokens: u64,
}

/// Answer of `GET report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractReport {
    /// Name of the node whose counters these are.
    pub vm: String,
    /// Counters of each customer, in the order of their names.
    pub contracts: Vec<ContractCounters>,
}

/// Usage of one customer in the data centre, over the epochs that are still kept
/// there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Member that the customer belongs to.
    pub member: MemberId,
    /// Name of the customer.
    pub customer: CustomerId,
    /// Requests and tokens in the kept epochs.
    pub usage: UsageCounters,
}

/// Configured share of one member in the capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberShare {
    /// Name of the member.
    pub member: MemberId,
    /// Share relative to those of the other members.
    pub share: u32,
}

/// Answer of `GET usage`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Data centre whose usage is reported.
    pub centre: DataCentre,
    /// Usage of each customer.
    pub customers: Vec<CustomerUsage>,
    /// Share of each member.
    pub shares: Vec<MemberShare>,
    /// Usage statements of the data centre, oldest first; empty if the store could
    /// not be read.
    pub statements: Vec<UsageStatement>,
    /// For each kept statement that the node wrote, by epoch: the customers' lines
    /// from which it was made.
    pub lines: BTreeMap<u64, BTreeMap<MemberId, MemberLines>>,
    /// Why the platform store could not be read; `None` if it was read.
    pub store_fault: Option<String>,
}

/// Body of an error answer, except for a conflict ([`AmendConflict`]).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Reason as a fixed identifier for programs.
    pub code: String,
    /// Reason as a text for people.
    pub message: String,
}
