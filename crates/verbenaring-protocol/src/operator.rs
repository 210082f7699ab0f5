//! Requests and answers of the operators' interface, `/operator/v1/`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use verbenaring_policy::contract::Revision;
use verbenaring_policy::id::{AttemptId, ChangeId, CustomerId, DataCentre, MemberId};
use verbenaring_policy::usage::{MemberLines, UsageCounters, UsageStatement};

/// Path prefix of the operators' interface.
pub const OPERATOR_PREFIX: &str = "/operator/v1/";

/// Document as a node has it in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InForceDocument {
    /// Revision in force.
    pub revision: Revision,
    /// Amendment that wrote it, where the node keeps it.
    pub change: Option<ChangeId>,
    /// Document in force, defaults filled in.
    pub document: Box<RawValue>,
}

/// Document as the platform store has it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredDocument {
    /// Revision of the entry.
    pub revision: Revision,
    /// Amendment that wrote the entry.
    pub change: ChangeId,
    /// Revision that the amendment expected; 0 for a new entry.
    pub base: Revision,
    /// Document as written; none if the entry is deleted or unreadable.
    pub document: Option<Box<RawValue>>,
}

/// One configuration document at a node and in the platform store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentView {
    /// Key in the platform store.
    pub key: String,
    /// Document in force at the node that answers.
    pub in_force: Option<InForceDocument>,
    /// Entry in the platform store; none if absent or if the store failed.
    pub stored: Option<StoredDocument>,
    /// Why the newest document is not in force.
    pub fault: Option<String>,
}

/// Answer of `GET contracts`, `servers`, `stops` and of one document of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DocumentList {
    /// Documents by key.
    pub documents: Vec<DocumentView>,
    /// Why `stored` is missing from every document.
    pub store_fault: Option<String>,
}

/// Body of `PUT` on one document.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AmendRequest {
    /// Revision that the operator saw; 0 for a new key.
    pub expected: Revision,
    /// Identifier of the change, new for every amendment.
    pub change: ChangeId,
    /// Whether an earlier request with this change had no answer.
    #[serde(default)]
    pub repeated: bool,
    /// New document; none deletes the entry.
    pub document: Option<Box<RawValue>>,
}

/// Answer to an amendment that is in the platform store.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AmendAnswer {
    /// Key in the platform store.
    pub key: String,
    /// Revision of the entry.
    pub revision: Revision,
    /// Amendment that wrote the entry.
    pub change: ChangeId,
}

/// Answer 409: another amendment was written first.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AmendConflict {
    /// Key in the platform store.
    pub key: String,
    /// Revision that the amendment expected.
    pub expected: Revision,
    /// Entry in the platform store; none if the key is absent.
    pub current: Option<StoredDocument>,
    /// Document that was not written.
    pub proposed: Option<Box<RawValue>>,
}

/// Backend server as one node uses it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStatus {
    /// Name of the server.
    pub server: String,
    /// Region of the server.
    pub region: String,
    /// Data centre of the server.
    pub data_centre: String,
    /// Address of the server.
    pub address: String,
    /// Whether the operators marked the server as leaving.
    pub leaving: bool,
    /// Requests of this node in flight at the server.
    pub requests: u32,
    /// Estimated tokens of this node in flight at the server.
    pub tokens: u64,
}

/// Configuration document that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultyDocument {
    /// Key in the platform store.
    pub key: String,
    /// Revision of the unreadable document.
    pub revision: Revision,
    /// What is wrong with it.
    pub reason: String,
}

/// Status of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Name of the entry VM.
    pub vm: String,
    /// Region of the entry VM.
    pub region: String,
    /// Data centre of the entry VM.
    pub data_centre: String,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
    /// Backend servers of the node's data centre.
    pub servers: Vec<ServerStatus>,
    /// Documents that cannot be read.
    pub faults: Vec<FaultyDocument>,
}

/// Answer of `GET status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusList {
    /// Nodes that answered.
    pub nodes: Vec<NodeStatus>,
    /// Nodes that could not be asked.
    pub missing: Vec<String>,
}

/// Event of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventView {
    /// Position in the events of the node.
    pub sequence: u64,
    /// Hybrid logical time: NTP64 fixed-point seconds since 1970-01-01 UTC.
    pub time: u64,
    /// Node of the event.
    pub vm: String,
    /// What happened.
    pub kind: String,
    /// Request identifier, empty if none.
    pub request: String,
    /// Attempt identifier.
    pub attempt: Option<AttemptId>,
}

/// Answer of `GET timeline`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EventList {
    /// Events in hybrid logical time.
    pub events: Vec<EventView>,
    /// Nodes that could not be asked.
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
    /// Requests that may have run and had no whole answer.
    pub unknown: u64,
    /// Answers relayed whole, those to requests of other nodes included.
    pub whole: u64,
    /// Answers that the caller did not read to the end.
    pub caller_gone: u64,
    /// Tokens relayed, those to requests of other nodes included.
    pub tokens: u64,
}

/// Answer of `GET report`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ContractReport {
    /// Node that counted.
    pub vm: String,
    /// Counters by customer.
    pub contracts: Vec<ContractCounters>,
}

/// Usage of one customer in the data centre, in the epochs still kept there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Member of the customer.
    pub member: MemberId,
    /// Customer.
    pub customer: CustomerId,
    /// Usage.
    pub usage: UsageCounters,
}

/// Share of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberShare {
    /// Member.
    pub member: MemberId,
    /// Share of capacity, relative to the other members.
    pub share: u32,
}

/// Answer of `GET usage`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Data centre of the customers' lines and of the statements.
    pub centre: DataCentre,
    /// Usage by customer.
    pub customers: Vec<CustomerUsage>,
    /// Shares of the members.
    pub shares: Vec<MemberShare>,
    /// Statements of the data centre, oldest first.
    pub statements: Vec<UsageStatement>,
    /// Customers' lines of the kept statements that the node wrote, by epoch.
    pub lines: BTreeMap<u64, BTreeMap<MemberId, MemberLines>>,
    /// Why the platform store could not be read.
    pub store_fault: Option<String>,
}

/// Answer to a request that failed in another way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// Machine-readable reason.
    pub code: String,
    /// Readable reason.
    pub message: String,
}
