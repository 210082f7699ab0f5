//! Service that every node offers to the other nodes.

use serde::{Deserialize, Serialize};
use verbenaring_policy::config::{
    ConfigDelta, ConfigDigest, DeltaRequest, DigestSummary, SnapshotPiece,
};
use verbenaring_policy::gossip::GossipMessage;
use verbenaring_policy::id::{DataCentre, VmId};
use verbenaring_policy::quarantine::SuspectReport;
use verbenaring_policy::summary::SummaryMessage;
use verbenaring_policy::usage::{UsageEntries, UsageStatement};

use crate::operator::NodeStatus;
use crate::timeline::TimelineEvent;

/// Most bytes of entries in one configuration delta.
pub const MAX_DELTA_BYTES: usize = 256 * 1024;

/// What a node tells about itself in its gossip payload.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeFacts {
    /// Port for callers; the IP address is that of the control address.
    pub caller_port: u16,
    /// Port for forwarded requests.
    pub peer_port: u16,
    /// Configuration in force.
    pub config: DigestSummary,
    /// Load of the servers that this node polls.
    pub loads: Vec<ReportedLoad>,
    /// Whether other nodes should be used instead.
    pub leaving: bool,
}

/// Load report of one server, as polled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Short hash of the server name.
    pub server: u32,
    /// Requests that the server runs.
    pub running: u16,
    /// Requests that wait at the server.
    pub waiting: u16,
}

/// Addresses of a node, asked for by nodes of other data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeDescription {
    /// Name of the entry VM.
    pub vm: VmId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Facts as gossiped.
    pub facts: NodeFacts,
    /// Whether the node is stopping.
    pub stopping: bool,
}

/// Usage that one node tells another of its data centre.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// Counters that changed.
    pub entries: UsageEntries,
    /// Statement that the sender wrote to the platform store.
    pub statement: Option<UsageStatement>,
}

/// Events of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePage {
    /// Sequence of the oldest event that the node still has.
    pub oldest: u64,
    /// Events, oldest first.
    pub events: Vec<TimelineEvent>,
}

#[allow(missing_docs)]
mod service {
    use super::*;

    /// Service that every node offers to the other nodes.
    #[tarpc::service]
    pub trait NodeControl {
        /// Takes a message of the failure detector.
        async fn gossip(message: GossipMessage);
        /// Takes a step of a summary exchange.
        async fn summary(message: SummaryMessage);
        /// Digest of the configuration.
        async fn config_digest() -> ConfigDigest;
        /// Entries that the caller lacks.
        async fn config_delta(request: DeltaRequest) -> ConfigDelta;
        /// Piece of the whole configuration.
        async fn config_snapshot(after: Option<String>) -> SnapshotPiece;
        /// Events since a sequence number.
        async fn timeline_since(sequence: u64) -> TimelinePage;
        /// Takes what the caller knows of requests that crash servers.
        async fn suspects(reports: Vec<SuspectReport>);
        /// Takes usage counters and statements of the own data centre.
        async fn usage(update: UsageUpdate);
        /// Status of the node for operators.
        async fn node_status() -> NodeStatus;
        /// Addresses and facts of the node.
        async fn status() -> NodeDescription;
    }
}

pub use service::{NodeControl, NodeControlClient, NodeControlRequest, NodeControlResponse};
