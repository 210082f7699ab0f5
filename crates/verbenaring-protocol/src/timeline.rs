//! Events on the time line of a node.

use serde::{Deserialize, Serialize};
use verbenaring_policy::id::AttemptId;

/// What happened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// A caller's request was accepted.
    RequestAccepted,
    /// A request was refused.
    RequestRefused,
    /// A request was received from another node.
    ForwardReceived,
    /// A try was sent to a backend server.
    AttemptSent,
    /// A try was sent to another node.
    AttemptForwarded,
    /// A try failed.
    AttemptFailed,
    /// A broken stream was resumed.
    StreamResumed,
    /// An answer was relayed whole.
    AnswerWhole,
    /// An answer broke.
    AnswerBroken,
    /// The caller went away.
    CallerGone,
    /// An operation was claimed.
    OperationClaimed,
    /// The outcome of an operation was recorded.
    OperationDone,
    /// A configuration came into force.
    ConfigInForce,
    /// The node began a graceful shutdown.
    ShutdownStarted,
}

/// One event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEvent {
    /// Position in the events of the node.
    pub sequence: u64,
    /// Hybrid logical time: NTP64 fixed-point seconds since 1970-01-01 UTC.
    pub time: u64,
    /// Node of the event.
    pub vm: String,
    /// What happened.
    pub kind: EventKind,
    /// Request identifier, empty if none.
    pub request: String,
    /// Attempt identifier.
    pub attempt: Option<AttemptId>,
}
