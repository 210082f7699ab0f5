//! Wire types of the failure detector and the payloads that are piggybacked on them.
//!
//! Every message has a bounded number of updates and a bounded number of
//! payload bytes, so its size does not depend on the number of nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::id::{CentreName, VmId};

/// Largest number of updates in a message to a known node.
pub const MAX_UPDATES: usize = 6;
/// Largest number of updates in the reply to a node that is not in the table.
pub const MAX_JOIN_UPDATES: usize = 32;
/// Largest payload of one node, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 256;
/// Largest sum of payload bytes in one message; 2 full messages per second stay under 2 KB/s.
pub const MAX_MESSAGE_PAYLOAD_BYTES: usize = 640;

/// Largest number of payloads in one message; bounds messages with empty payloads.
pub const MAX_PAYLOADS: usize = 16;

/// Identifier of one start of a process, drawn at random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StartId(pub u64);

/// State of a member. The order is the precedence within one incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Announced its stop; still answers probes.
    Leaving,
    /// Did not answer a probe; becomes dead unless it answers in time.
    Suspect,
    /// Did not answer as a suspect; returns with a higher incarnation.
    Dead,
}

impl MemberState {
    /// Whether the member is not dead.
    pub fn is_present(self) -> bool {
        self != MemberState::Dead
    }
}

/// What one node states about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Member that the update is about.
    pub vm: VmId,
    /// Address for messages between nodes.
    pub address: SocketAddr,
    /// Identifier of the current start of the member's process.
    pub start: StartId,
    /// Version of the member's state; only the member itself raises it.
    pub incarnation: u64,
    /// State in this incarnation.
    pub state: MemberState,
}

/// Latest content that a node sends to all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipPayload {
    /// Node that set the content.
    pub origin: VmId,
    /// Incarnation of the origin; orders payloads across restarts.
    pub incarnation: u64,
    /// Version of the content; compared after the incarnation.
    pub version: u64,
    /// Content, opaque to the failure detector.
    pub content: Vec<u8>,
}

/// Request or answer in a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GossipBody {
    /// Asks the receiver for an acknowledgement.
    Probe {
        /// Echoed in the acknowledgement.
        sequence: u64,
    },
    /// Answers a probe, directly or for a relayed target.
    Acknowledgement {
        /// Number of the probe that is answered.
        sequence: u64,
        /// Target as it described itself, when a helper relays its answer.
        relayed: Option<MemberUpdate>,
    },
    /// Answers an indirect probe: the helper runs but got no answer from the target.
    Unreached {
        /// Number of the indirect probe that is answered.
        sequence: u64,
    },
    /// Asks the receiver to probe another member.
    IndirectProbe {
        /// Echoed in the relayed acknowledgement.
        sequence: u64,
        /// Member to probe.
        target: VmId,
        /// Address of the member.
        address: SocketAddr,
    },
}

/// Message between entry VMs of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// Data centre of the sender, so that a reused address does not join two tables.
    pub centre: CentreName,
    /// State that the sender states about itself.
    pub sender: MemberUpdate,
    /// Digest of the sender's table; entries are exchanged when it differs.
    pub table_digest: u64,
    /// Request or answer.
    pub body: GossipBody,
    /// Piggybacked updates about members.
    pub updates: Vec<MemberUpdate>,
    /// Piggybacked payloads of any nodes.
    pub payloads: Vec<GossipPayload>,
}

impl GossipMessage {
    /// Whether the numbers of updates, payloads and payload bytes are within their limits.
    pub fn is_bounded(&self) -> bool {
        let bytes: usize = self.payloads.iter().map(|item| item.content.len()).sum();
        self.updates.len() <= MAX_JOIN_UPDATES
            && self.payloads.len() <= MAX_PAYLOADS
            && bytes <= MAX_MESSAGE_PAYLOAD_BYTES
    }
}

/// Message and the address to send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Message to send.
    pub message: GossipMessage,
}

/// Newest payload of each node, with the number of times left to send it.
#[derive(Debug, Clone, Default)]
pub(crate) struct PayloadTable {
    entries: BTreeMap<VmId, (GossipPayload, u32)>,
}

impl PayloadTable {
    pub(crate) fn merge(&mut self, payload: GossipPayload, sends: u32) {
        let order = |item: &GossipPayload| (item.incarnation, item.version);
        let known = self.entries.get(&payload.origin);
        if known.is_none_or(|(known, _)| order(known) < order(&payload)) {
            self.entries
                .insert(payload.origin.clone(), (payload, sends));
        }
    }

    pub(crate) fn remove(&mut self, vm: &VmId) {
        self.entries.remove(vm);
    }

    pub(crate) fn payloads(&self) -> impl Iterator<Item = &GossipPayload> {
        self.entries.values().map(|(payload, _)| payload)
    }

    /// Payloads for one message: the own one, then those with the most sends left.
    ///
    /// The own payload is in every message, because payloads are forwarded a
    /// limited number of times, which alone does not reach every node.
    pub(crate) fn select(&mut self, own: &VmId) -> Vec<GossipPayload> {
        let mut candidates: Vec<_> = self
            .entries
            .values_mut()
            .filter(|(payload, sends)| *sends > 0 || payload.origin == *own)
            .collect();
        candidates
            .sort_by_key(|(payload, sends)| std::cmp::Reverse((payload.origin == *own, *sends)));
        let mut remaining_bytes = MAX_MESSAGE_PAYLOAD_BYTES;
        let mut selected = Vec::new();
        for (payload, sends) in candidates {
            if payload.content.len() <= remaining_bytes && selected.len() < MAX_PAYLOADS {
                remaining_bytes -= payload.content.len();
                *sends = sends.saturating_sub(1);
                selected.push(payload.clone());
            }
        }
        selected
    }
}

pub(crate) fn check_payload(content: &[u8]) -> Result<()> {
    if content.len() > MAX_PAYLOAD_BYTES {
        return Err(Error::PayloadTooLarge {
            bytes: content.len(),
            limit: MAX_PAYLOAD_BYTES,
        });
    }
    Ok(())
}
