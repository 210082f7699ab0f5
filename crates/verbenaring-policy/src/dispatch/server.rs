//! State of one backend server: its published entry, load and health.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::build::BuildId;
use super::health::ServerHealth;
use super::pace::PaceWindow;
use super::process::ServerProcess;
use super::prompt::{PromptCache, name_hash, rendezvous_score};
use super::rate::WorkRate;
use super::silence::ServerSigns;
use super::statement::ServerStatements;
use crate::id::{DataCentre, ModelName, ServerId, ServiceName};
use crate::time::Moment;

new_key_type! {
    /// Key of a backend server in the table; valid in this process only.
    pub struct ServerKey;
}

/// Age from which the load reported by another VM is ignored.
const PEER_LOAD_TTL: Duration = Duration::from_millis(1_500);

/// Difference up to which the end of a cold time counts as unchanged. Entries
/// arrive with different delays.
const COLD_TOLERANCE: Duration = Duration::from_millis(500);

/// Published entry of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// ID of the server; a restarted server usually has a new one.
    pub id: ServerId,
    /// Service that the server runs.
    pub service: ServiceName,
    /// Address that accepts calls.
    pub address: SocketAddr,
    /// Data centre and region of the server.
    pub centre: DataCentre,
    /// Number of calls that can run at the same time.
    pub slots: u32,
    /// Whether the server shuts down and takes no new calls.
    pub draining: bool,
    /// Time for which the server remains cold.
    pub cold_left: Duration,
    /// Start time in Unix ms, if published.
    pub born: Option<u64>,
    /// Models that the server runs completely; empty for plain services.
    pub models: Vec<ModelName>,
    /// Version of the server's software, if published.
    pub version: Option<String>,
    /// Store revision of the entry.
    pub revision: u64,
}

/// Outstanding work of one VM at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Unread prompt tokens of urgent calls.
    pub urgent_tokens: u32,
    /// Unread prompt tokens of other calls.
    pub late_tokens: u32,
    /// Tokens of prompts and expected answers, which occupy the server's memory.
    pub memory_tokens: u32,
    /// Number of outstanding calls.
    pub calls: u16,
    /// Prompt tokens sent per second.
    pub token_rate: u32,
}

impl LoadShare {
    pub(super) fn add(self, other: Self) -> Self {
        Self {
            urgent_tokens: self.urgent_tokens.saturating_add(other.urgent_tokens),
            late_tokens: self.late_tokens.saturating_add(other.late_tokens),
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
            calls: self.calls.saturating_add(other.calls),
            token_rate: self.token_rate.saturating_add(other.token_rate),
        }
    }

    /// What remains without the part `other`.
    pub fn without(self, other: Self) -> Self {
        Self {
            urgent_tokens: self.urgent_tokens.saturating_sub(other.urgent_tokens),
            late_tokens: self.late_tokens.saturating_sub(other.late_tokens),
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
            calls: self.calls.saturating_sub(other.calls),
            token_rate: self.token_rate.saturating_sub(other.token_rate),
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.calls == 0 && self.token_rate == 0
    }
}

/// Call that was sent to a server and has not ended.
#[derive(Debug, Clone, Copy)]
pub struct InFlightCall {
    /// Key of the server.
    pub key: ServerKey,
    /// Whether the call was sent as urgent.
    pub urgent: bool,
    /// Prompt tokens that the server has to read.
    pub unread_tokens: u32,
    /// Work ahead of the call when it was sent: unread tokens at engines, calls at
    /// plain servers.
    pub queued_ahead: u32,
    /// Tokens of the prompt and of the expected answer.
    pub memory_tokens: u32,
    /// Time at which the call was sent.
    pub sent_at: Moment,
}

/// How a call at a server ended, for the health of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// A complete answer arrived.
    Good,
    /// A complete answer arrived, but it reports a failure or a refusal.
    Failed,
    /// The answer was lost, truncated or malformed.
    Broken,
    /// No connection was established, or another server answered at the address.
    Refused,
    /// The call was abandoned, which says nothing about the server.
    Abandoned,
}

#[derive(Debug)]
pub(super) struct ServerRecord {
    pub(super) entry: ServerEntry,
    /// When the entry arrived.
    pub(super) entry_at: Moment,
    pub(super) process: ServerProcess,
    /// Software version of `entry`.
    pub(super) build: BuildId,
    /// Revision of the last change of the entry that was not a renewal.
    pub(super) changed_revision: u64,
    pub(super) name_hash: u64,
    pub(super) own_share: LoadShare,
    pub(super) rate: WorkRate,
    /// Loads by other VMs, or by the groups of other relays.
    pub(super) peer_loads: Vec<(u64, LoadShare, Moment)>,
    /// Load by all other VMs of the region, as stated by the relay of this VM; it
    /// replaces `peer_loads`.
    pub(super) region_load: Option<(LoadShare, Moment)>,
    pub(super) health: ServerHealth,
    pub(super) signs: ServerSigns,
    pub(super) cache: PromptCache,
    pub(super) cold_until: Moment,
    pub(super) pace: PaceWindow,
    pub(super) statements: ServerStatements,
    /// Calls that the server refused, while it was brittle, since the last good answer.
    pub(super) refusals: u32,
    /// Set when the entry is removed; the server takes calls until then.
    pub(super) use_until: Option<Moment>,
}

impl ServerRecord {
    pub(super) fn new(entry: ServerEntry, now: Moment) -> Self {
        Self {
            name_hash: name_hash(entry.id.as_str()),
            own_share: LoadShare::default(),
            rate: WorkRate::default(),
            peer_loads: Vec::new(),
            region_load: None,
            health: ServerHealth::default(),
            signs: ServerSigns::default(),
            cache: PromptCache::default(),
            cold_until: now + entry.cold_left,
            pace: PaceWindow::default(),
            statements: ServerStatements::default(),
            refusals: 0,
            use_until: None,
            changed_revision: entry.revision,
            build: entry.build(),
            process: ServerProcess::of(&entry, now),
            entry,
            entry_at: now,
        }
    }

    /// Whether the server takes no new calls because it shuts down.
    pub(super) fn is_leaving(&self) -> bool {
        self.entry.draining || self.statements.leaving
    }

    /// Short hash of the server and its start. A server that does not state its start is
    /// told apart by its address.
    pub(super) fn boot_hash(&self) -> u32 {
        let start = self.process.born;
        let start = start.unwrap_or_else(|| match self.entry.address {
            SocketAddr::V4(address) => {
                u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
            }
            SocketAddr::V6(address) => address.ip().to_bits() as u64 ^ u64::from(address.port()),
        });
        rendezvous_score(self.name_hash, start) as u32
    }

    /// Whether `entry` only renews the current one. The remaining cold time shrinks
    /// with every renewal; a server that is cold for longer has become cold again.
    pub(super) fn is_renewed_by(&self, entry: &ServerEntry, now: Moment) -> bool {
        let same_fields = ServerEntry {
            revision: self.entry.revision,
            cold_left: self.entry.cold_left,
            ..entry.clone()
        } == self.entry;
        let no_colder = now + entry.cold_left <= self.cold_until + COLD_TOLERANCE;
        same_fields && (entry.cold_left.is_zero() || no_colder) && self.use_until.is_none()
    }

    /// Load by all VMs of the region, from reports younger than [`PEER_LOAD_TTL`].
    pub(super) fn load(&self, now: Moment) -> LoadShare {
        let stated = self
            .region_load
            .filter(|(_, at)| now.since(*at) < PEER_LOAD_TTL);
        if let Some((others, _)) = stated {
            return self.own_load(now).add(others);
        }
        let fresh = self
            .peer_loads
            .iter()
            .filter(|(_, _, at)| now.since(*at) < PEER_LOAD_TTL);
        fresh.fold(self.own_load(now), |sum, (_, share, _)| sum.add(*share))
    }

    /// Load by this VM and by the VMs that report to it; `others` are the relays
    /// whose groups do not count.
    pub(super) fn group_load(&self, others: &[u64], now: Moment) -> LoadShare {
        let members = self
            .peer_loads
            .iter()
            .filter(|(vm, _, at)| now.since(*at) < PEER_LOAD_TTL && !others.contains(vm));
        members.fold(self.own_load(now), |sum, (_, share, _)| sum.add(*share))
    }

    pub(super) fn own_load(&self, now: Moment) -> LoadShare {
        LoadShare {
            token_rate: self.rate.per_second(now) as u32,
            ..self.own_share
        }
    }

    /// Removes the unread tokens of a call when its first event arrives or it ends.
    pub(super) fn release_unread(&mut self, call: &InFlightCall) {
        let own = &mut self.own_share;
        match call.urgent {
            true => own.urgent_tokens = own.urgent_tokens.saturating_sub(call.unread_tokens),
            false => own.late_tokens = own.late_tokens.saturating_sub(call.unread_tokens),
        }
        self.health.record_wait_ended();
    }
}
