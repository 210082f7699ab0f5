//! One backend server: its published state and the work at it.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slotmap::new_key_type;

use super::call::ServiceSettings;
use super::evidence::ServerEvidence;
use super::pace::PaceWindow;
use super::prompt::{PartCache, name_hash};
use super::usage::WorkRate;
use crate::id::{DataCentre, ModelName, ServerId, ServiceName};
use crate::time::Moment;

new_key_type! {
    /// Backend server.
    pub struct ServerKey;
}

/// Age at which the load that another VM reported no longer counts.
const PEER_LOAD_AGE: Duration = Duration::from_millis(1_500);
/// Published state of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Identity; a server that starts again mostly has a new one.
    pub id: ServerId,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address for calls.
    pub address: SocketAddr,
    /// Place.
    pub centre: DataCentre,
    /// Calls that run at the same time.
    pub slots: u32,
    /// Whether it leaves and takes no new calls.
    pub draining: bool,
    /// Time for which it is still cold.
    pub cold_left: Duration,
    /// Unix ms of its start.
    pub born: Option<u64>,
    /// Models that it runs whole; empty for plain services.
    pub models: Vec<ModelName>,
    /// Revision of the entry.
    pub revision: u64,
}

/// Work that one VM has outstanding at a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Unread prompt tokens of urgent calls.
    pub urgent_tokens: u32,
    /// Unread prompt tokens of other calls.
    pub late_tokens: u32,
    /// Tokens of prompts and expected answers.
    pub memory_tokens: u32,
    /// Calls.
    pub calls: u16,
    /// Prompt tokens sent per second.
    pub token_rate: u32,
}

impl LoadShare {
    fn add(self, other: Self) -> Self {
        Self {
            urgent_tokens: self.urgent_tokens.saturating_add(other.urgent_tokens),
            late_tokens: self.late_tokens.saturating_add(other.late_tokens),
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
            calls: self.calls.saturating_add(other.calls),
            token_rate: self.token_rate.saturating_add(other.token_rate),
        }
    }
}

/// Work of one call at a server, from sending to its end.
#[derive(Debug, Clone, Copy)]
pub struct InFlightCall {
    /// Server.
    pub key: ServerKey,
    /// Whether it was sent as urgent.
    pub urgent: bool,
    /// Prompt tokens to read.
    pub unread_tokens: u32,
    /// Unread tokens, or calls, that were ahead.
    pub queued_ahead: u32,
    /// Tokens of the prompt and of the expected answer.
    pub memory: u32,
    /// Time of sending.
    pub sent: Moment,
}

/// How a call at a server ended, as evidence about the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Whole answer.
    Good,
    /// Whole answer that is a failure or a refusal.
    Failed,
    /// Lost, cut or wrong answer.
    Broken,
    /// No connection.
    Refused,
    /// Says nothing about the server.
    Abandoned,
}

#[derive(Debug)]
pub(super) struct ServerRecord {
    pub(super) entry: ServerEntry,
    pub(super) hash: u64,
    pub(super) own: LoadShare,
    pub(super) rate: WorkRate,
    pub(super) peers: Vec<(u64, LoadShare, Moment)>,
    pub(super) evidence: ServerEvidence,
    pub(super) cache: PartCache,
    pub(super) cold_until: Moment,
    pub(super) pace: PaceWindow,
    pub(super) gone_at: Option<Moment>,
}

impl ServerRecord {
    pub(super) fn new(entry: ServerEntry, now: Moment) -> Self {
        Self {
            hash: name_hash(entry.id.as_str()),
            own: LoadShare::default(),
            rate: WorkRate::default(),
            peers: Vec::new(),
            evidence: ServerEvidence::default(),
            cache: PartCache::default(),
            cold_until: now + entry.cold_left,
            pace: PaceWindow::default(),
            gone_at: None,
            entry,
        }
    }

    pub(super) fn load(&self, now: Moment) -> LoadShare {
        let fresh = self
            .peers
            .iter()
            .filter(|(_, _, at)| now.since(*at) < PEER_LOAD_AGE);
        fresh.fold(self.own_load(now), |sum, (_, share, _)| sum.add(*share))
    }

    pub(super) fn own_load(&self, now: Moment) -> LoadShare {
        LoadShare {
            token_rate: self.rate.per_second(now) as u32,
            ..self.own
        }
    }

    /// Whether calls must be paced: the server is cold, or it refused a
    /// connection and may have started again without its entry showing it.
    pub(super) fn is_paced(&self, settings: &ServiceSettings, now: Moment) -> bool {
        settings.cold_rate > 0.0 && (now < self.cold_until || self.evidence.is_refusing())
    }

    pub(super) fn settle_first(&mut self, work: &InFlightCall) {
        let own = &mut self.own;
        match work.urgent {
            true => own.urgent_tokens = own.urgent_tokens.saturating_sub(work.unread_tokens),
            false => own.late_tokens = own.late_tokens.saturating_sub(work.unread_tokens),
        }
        self.evidence.record_settled();
    }
}
