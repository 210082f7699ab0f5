//! Wire types of the failure detector and the payloads that travel with them.
//!
//! Every message has a bounded number of updates and a bounded number of
//! payload bytes, so its size does not depend on the number of nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::id::{CentreName, VmId};

/// Most updates in a message between nodes that know each other.
pub const MAX_UPDATES: usize = 6;
/// Most updates in the reply to a node that is not in the table.
pub const MAX_JOIN_UPDATES: usize = 32;
/// Most bytes in the payload of one node.
pub const MAX_PAYLOAD_BYTES: usize = 256;
/// Most payload bytes in one message; a full message of 2 per second stays under 2 KB/s.
pub const MAX_MESSAGE_PAYLOAD_BYTES: usize = 640;

/// Most payloads in one message; bounds the message when payloads are empty.
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
    /// Did not answer a probe; removed unless it answers in time.
    Suspect,
    /// Removed; returns with a higher incarnation.
    Dead,
}

impl MemberState {
    /// Whether the member counts as present.
    pub fn is_present(self) -> bool {
        self != MemberState::Dead
    }
}

/// What one node states about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// Member.
    pub vm: VmId,
    /// Address for messages between nodes.
    pub address: SocketAddr,
    /// Start of the member's process.
    pub start: StartId,
    /// Number that only the member raises.
    pub incarnation: u64,
    /// State in this incarnation.
    pub state: MemberState,
}

/// Latest content that a node supplies for all others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipPayload {
    /// Node that supplies the content.
    pub origin: VmId,
    /// Incarnation of the origin; orders payloads over restarts.
    pub incarnation: u64,
    /// Number of the content within the incarnation.
    pub version: u64,
    /// Content, opaque to the failure detector.
    pub content: Vec<u8>,
}

/// Purpose of a message.
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
        /// Number of the probe.
        sequence: u64,
        /// Target as it described itself, when a helper relays its answer.
        relayed: Option<MemberUpdate>,
    },
    /// Tells that the helper works but got no answer from the target.
    Unreached {
        /// Number of the indirect probe.
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
    /// Data centre of the sender; a reused address must not join two tables.
    pub centre: CentreName,
    /// Sender as it describes itself.
    pub sender: MemberUpdate,
    /// Digest of the sender's table.
    pub table_digest: u64,
    /// Purpose.
    pub body: GossipBody,
    /// Piggybacked updates.
    pub updates: Vec<MemberUpdate>,
    /// Piggybacked payloads.
    pub payloads: Vec<GossipPayload>,
}

impl GossipMessage {
    /// Whether the message keeps the size bounds.
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
    /// Receiver.
    pub to: SocketAddr,
    /// Content.
    pub message: GossipMessage,
}

/// Newest payload of each node, with the number of times left to pass it on.
#[derive(Debug, Clone, Default)]
pub(crate) struct PayloadBook {
    entries: BTreeMap<VmId, (GossipPayload, u32)>,
}

impl PayloadBook {
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

    pub(crate) fn contents(&self) -> impl Iterator<Item = &GossipPayload> {
        self.entries.values().map(|(payload, _)| payload)
    }

    /// Payloads for one message: the own one, then those that were sent least.
    ///
    /// The own payload is always sent: the others are passed on a limited
    /// number of times, which alone does not reach every node.
    pub(crate) fn select(&mut self, own: &VmId) -> Vec<GossipPayload> {
        let mut waiting: Vec<_> = self
            .entries
            .values_mut()
            .filter(|(payload, sends)| *sends > 0 || payload.origin == *own)
            .collect();
        waiting.sort_by_key(|(payload, sends)| std::cmp::Reverse((payload.origin == *own, *sends)));
        let mut room = MAX_MESSAGE_PAYLOAD_BYTES;
        let mut selected = Vec::new();
        for (payload, sends) in waiting {
            if payload.content.len() <= room && selected.len() < MAX_PAYLOADS {
                room -= payload.content.len();
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
