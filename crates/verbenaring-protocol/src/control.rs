//! Remote calls between nodes: gossip, replication of the configuration, usage and
//! status.

use serde::{Deserialize, Serialize};
use verbenaring_policy::config::{
    ConfigDelta, ConfigDigest, DeltaRequest, DigestSummary, SnapshotPage,
};
use verbenaring_policy::dispatch::evidence::SuspectNews;
use verbenaring_policy::gossip::GossipMessage;
use verbenaring_policy::id::{DataCentre, VmId};
use verbenaring_policy::quarantine::SuspectReport;
use verbenaring_policy::summary::SummaryMessage;
use verbenaring_policy::usage::{UsageEntries, UsageStatement};

use crate::operator::NodeStatus;
use crate::timeline::TimelineEvent;

/// Maximum size of the entries in one configuration delta, in bytes.
pub const MAX_DELTA_BYTES: usize = 256 * 1024;

/// Properties and state that a node publishes in its gossip payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeFacts {
    /// Port for callers, at the IP address of the control address.
    pub caller_port: u16,
    /// Port for requests forwarded by other nodes.
    pub peer_port: u16,
    /// Digest of the configuration that the node has in force.
    pub config: DigestSummary,
    /// Last load reports of the servers that the node polls.
    pub loads: Vec<ReportedLoad>,
    /// Whether the node is shutting down, so that other nodes should be used.
    pub leaving: bool,
}

/// Load that one backend server reported when it was polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// 32-bit hash of the server name.
    pub server: u32,
    /// Number of requests that the server is running.
    pub running: u16,
    /// Number of requests that wait in the server's queue.
    pub waiting: u16,
}

/// Name, place and facts of a node, requested by nodes of other data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDescription {
    /// Name of the entry VM.
    pub vm: VmId,
    /// Region and data centre of the entry VM.
    pub data_centre: DataCentre,
    /// Facts that the node gossips in its own data centre.
    pub facts: NodeFacts,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
}

/// Usage that a node sends to another node of its data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// Counters that changed.
    pub entries: UsageEntries,
    /// Statement that the sender wrote to the platform store; `None` if there is
    /// no new one.
    pub statement: Option<UsageStatement>,
}

/// Events that one node returns for a timeline query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePage {
    /// Sequence number of the oldest event that the node still keeps; 0 if it
    /// keeps none.
    pub oldest: u64,
    /// Requested events, oldest first.
    pub events: Vec<TimelineEvent>,
}

#[allow(missing_docs)]
mod service {
    use super::*;

    /// Service that every node offers to the other nodes.
    #[tarpc::service]
    pub trait NodeControl {
        /// Delivers a message of the failure detector.
        async fn gossip(message: GossipMessage);
        /// Delivers one message of a summary exchange.
        async fn summary(message: SummaryMessage);
        /// Returns the digest of the configuration entries of the node.
        async fn config_digest() -> ConfigDigest;
        /// Returns configuration entries that the caller lacks.
        async fn config_delta(request: DeltaRequest) -> ConfigDelta;
        /// Returns a page of the whole configuration with the keys after `after`;
        /// `None` starts at the first key.
        async fn config_snapshot(after: Option<String>) -> SnapshotPage;
        /// Returns the events from a sequence number on.
        async fn timeline_since(sequence: u64) -> TimelinePage;
        /// Merges the caller's reports on requests that may crash servers.
        async fn suspects(reports: Vec<SuspectReport>);
        /// Merges usage counters and a statement of the own data centre.
        async fn usage(update: UsageUpdate);
        /// Returns the status of the node as shown to operators.
        async fn node_status() -> NodeStatus;
        /// Returns the description of the node.
        async fn status() -> NodeDescription;
        /// Merges the caller's reports on parts of prompts that may crash servers.
        async fn suspect_parts(reports: Vec<SuspectNews>);
    }
}

pub use service::{NodeControl, NodeControlClient, NodeControlRequest, NodeControlResponse};
