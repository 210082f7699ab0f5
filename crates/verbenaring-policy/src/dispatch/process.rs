//! Which process stands behind the entry of a server.
//!
//! Load pattern: many servers end together and are back at their addresses under their IDs,
//! cold, before their entries say so. What VMs know of them stems from the processes before
//! and holds no more. A process states its start when it is asked; that outranks entries,
//! which may be late, or be written by the process before it. A refused connection raises
//! doubt about the process, which only its start settles: an answer shows that a server
//! lives and not for how long it has.

use std::net::SocketAddr;
use std::time::Duration;

use super::build::BuildId;
use super::call::ServiceSettings;
use super::ownership::RegionView;
use super::place::PlacementRequest;
use super::server::{InFlightCall, ServerEntry, ServerKey, ServerRecord};
use super::table::ServerTable;
use crate::time::Moment;

/// Time after which an entry shows that its server has restarted: it is removed when the
/// server has been silent for some seconds, and replaced when it is back.
const RESTART_NOTICE_TIME: Duration = Duration::from_secs(10);
/// Time since a process was last shown for which an entry of one before it counts as a late
/// write. Writes without an answer may take effect some seconds later.
const LATE_WRITE_TIME: Duration = Duration::from_secs(10);

/// What is known of the process of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessSigns {
    /// Start of the process in Unix ms, if it is known.
    pub born: Option<u64>,
    /// Whether it counts as cold.
    pub cold: bool,
    /// Time since the newest entry arrived.
    pub entry_age: Duration,
    /// Time since a byte of an answer arrived; `None` if none has.
    pub heard_ago: Option<Duration>,
    /// Time since a connection was refused; `None` if the start was stated since.
    pub refused_ago: Option<Duration>,
}

/// What the start that a server states says about its process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartVerdict {
    /// The server has never stated a start, or is not known any more.
    Unstated,
    /// The server states no start, but has done so before: another process may answer.
    Concealed,
    /// The process is the one that was known.
    Known,
    /// Another process answers: the server has started again.
    Restarted,
    /// A former process has answered, before the known one was learned of.
    Former,
}

/// Start that a server has stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedStart {
    /// Start of the process in Unix ms; `None` if the server stated none.
    pub born: Option<u64>,
    /// When the connection was opened on which the server was asked.
    pub asked_at: Moment,
}

/// Process behind an entry.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ServerProcess {
    /// Start in Unix ms, as the process or its entry states it.
    pub(super) born: Option<u64>,
    /// Whether it is known to have followed another one under the same ID.
    has_former: bool,
    /// Whether the process has stated its start itself.
    is_stated: bool,
    /// When the start was learned.
    learned_at: Moment,
    /// When the start was last shown, by an entry or by the process.
    shown_at: Moment,
    /// When a connection was last refused, unless the start was stated since.
    refused_at: Option<Moment>,
    /// When the first good answer after that arrived.
    answered_at: Option<Moment>,
}

impl ServerProcess {
    pub(super) fn of(entry: &ServerEntry, now: Moment) -> Self {
        Self {
            born: entry.born,
            learned_at: now,
            shown_at: now,
            ..Self::default()
        }
    }

    /// Process that has replaced one with another start.
    pub(super) fn restarted(born: Option<u64>, now: Moment) -> Self {
        Self {
            born,
            has_former: true,
            learned_at: now,
            shown_at: now,
            ..Self::default()
        }
    }

    /// Whether an entry was written by a process before this one. Both write their entries
    /// while the former one drains. If this one is not shown any more, the clock of a later
    /// one may have gone back.
    pub(super) fn has_replaced(&self, entry: &ServerEntry, now: Moment) -> bool {
        let starts = entry.born.zip(self.born);
        let is_older = starts.is_some_and(|(old, born)| old < born);
        is_older && self.has_former && now.since(self.shown_at) < LATE_WRITE_TIME
    }

    /// Whether an entry is one of this process, whose address was `address`. One that states
    /// no start does not tell processes apart.
    pub(super) fn is_behind(&self, entry: &ServerEntry, address: SocketAddr) -> bool {
        let is_stated = entry.born.is_some();
        address == entry.address && (!is_stated || self.born == entry.born)
    }

    /// Records an entry, which shows this process if it states its start.
    pub(super) fn record_entry(&mut self, entry: &ServerEntry, now: Moment) {
        if entry.born.is_some() && entry.born == self.born {
            self.shown_at = now;
        }
    }

    /// Records a connection that was refused or timed out.
    pub(super) fn record_refused(&mut self, now: Moment) {
        self.refused_at = Some(now);
        self.answered_at = None;
    }

    /// Records a good answer.
    pub(super) fn record_answered(&mut self, now: Moment) {
        if self.refused_at.is_some() {
            self.answered_at.get_or_insert(now);
        }
    }

    /// Forgets refused connections, which do not tell of an end.
    pub(super) fn settle_doubt(&mut self) {
        self.refused_at = None;
        self.answered_at = None;
    }

    /// Whether a refused connection may be due to an end of the process. Entries have been
    /// current since `current_since`, if they are; a process that starts is cold for `cold`.
    fn is_doubtful(&self, cold: Duration, current_since: Option<Moment>, now: Moment) -> bool {
        let Some(refused_at) = self.refused_at else {
            return false;
        };
        let shown = current_since.map(|since| refused_at.max(since) + RESTART_NOTICE_TIME);
        let warm = self.answered_at.map(|answered| answered + cold);
        let is_past = |at: Option<Moment>| at.is_some_and(|at| now >= at);
        !is_past(shown) && !is_past(warm)
    }
}

impl ServerRecord {
    /// Whether calls must be paced: the server is cold, or may have started again without
    /// a new entry. Entries have been current since `current_since`, if they are.
    pub(super) fn is_paced(
        &self,
        settings: &ServiceSettings,
        current_since: Option<Moment>,
        now: Moment,
    ) -> bool {
        let is_doubtful = self.process.is_doubtful(settings.cold, current_since, now);
        settings.cold_rate > 0.0 && (now < self.cold_until || is_doubtful)
    }

    /// Software version of the process; `None` if the entry is that of a former one. The
    /// next process may run another version.
    pub(super) fn shown_build(&self) -> Option<BuildId> {
        let (stated, known) = (self.entry.born, self.process.born);
        let is_shown = stated == known || (stated.is_none() && !self.process.has_former);
        is_shown.then_some(self.build)
    }
}

impl ServerTable {
    /// What is known of the process of a server; `None` once the server is dropped.
    pub fn process_signs(&self, server: ServerKey, now: Moment) -> Option<ProcessSigns> {
        let record = self.servers.get(server)?;
        let ago = |at: Option<Moment>| at.map(|at| now.since(at));
        Some(ProcessSigns {
            born: record.process.born,
            cold: now < record.cold_until,
            entry_age: now.since(record.entry_at),
            heard_ago: ago(record.signs.heard_at),
            refused_ago: ago(record.process.refused_at),
        })
    }

    /// Records the start that a server has stated. One that has started again is cold for
    /// `cold`.
    pub fn record_start(
        &mut self,
        server: ServerKey,
        stated: StatedStart,
        cold: Duration,
        now: Moment,
    ) -> StartVerdict {
        let Some(record) = self.servers.get_mut(server) else {
            return StartVerdict::Unstated;
        };
        let Some(born) = stated.born else {
            if !record.process.is_stated {
                return StartVerdict::Unstated;
            }
            record.process.record_refused(now);
            return StartVerdict::Concealed;
        };
        let known = *record.process.born.get_or_insert(born);
        if known == born {
            record.process.is_stated = true;
            record.process.shown_at = now;
            record.process.settle_doubt();
            record.health.clear_refusal();
            return StartVerdict::Known;
        }
        if born < known && stated.asked_at <= record.process.learned_at {
            return StartVerdict::Former;
        }
        self.forget_process(server, now);
        self.begin_process(server, Some(born), now);
        let record = &mut self.servers[server];
        record.process.is_stated = true;
        record.cold_until = record.cold_until.max(now + cold);
        StartVerdict::Restarted
    }

    /// Forgets what a former process of a server knew and stated.
    pub(super) fn forget_process(&mut self, server: ServerKey, now: Moment) {
        let record = &mut self.servers[server];
        record.cache.clear();
        self.remote_prompts.retain(|_, (key, _)| *key != server);
        record.health.clear();
        record.signs = Default::default();
        record.refusals = 0;
        let earlier = std::mem::take(&mut record.statements);
        self.former_statements
            .keep(record.boot_hash(), earlier, now);
    }

    /// Records the process that follows a former one.
    pub(super) fn begin_process(&mut self, server: ServerKey, born: Option<u64>, now: Moment) {
        let record = &mut self.servers[server];
        record.process = ServerProcess::restarted(born, now);
        record.statements = self.former_statements.take(record.boot_hash());
    }

    /// Whether a call may be sent now to the server that was chosen for it. The state of the
    /// server may have changed while a connection was opened, and a call to a cold server
    /// counts towards its pace when it is sent, from then on.
    pub fn may_send_now(
        &mut self,
        call: &mut InFlightCall,
        request: &PlacementRequest<'_>,
        vms: &RegionView,
        now: Moment,
    ) -> bool {
        let Some(record) = self.servers.get(call.key) else {
            return false;
        };
        if !self.is_usable(record, now) || !self.allows_build(record, request.builds, now) {
            return false;
        }
        if !record.is_paced(request.settings, self.current_since, now) {
            return true;
        }
        let rate = request.settings.cold_rate;
        let limit = self.pace.calls_per_owner(rate, vms.live_share());
        let record = &mut self.servers[call.key];
        record.pace.withdraw(call.sent_at);
        let may_send = vms.is_owner(record.name_hash) && record.pace.allows(limit, now);
        if may_send {
            record.pace.record(now);
            call.sent_at = now;
        }
        may_send
    }

    /// Servers about whose processes there is doubt that their start would settle.
    pub fn doubtful_processes(&self, now: Moment) -> Vec<ServerKey> {
        let doubtful = self.servers.iter().filter(|(_, record)| {
            let is_doubtful = record.process.refused_at.is_some();
            is_doubtful && record.process.born.is_some() && self.is_usable(record, now)
        });
        doubtful.map(|(key, _)| key).collect()
    }
}
