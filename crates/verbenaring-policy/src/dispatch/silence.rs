//! How long a call waits for a server that owes it an answer.
//!
//! Load pattern: sound servers stand still for a second or so, several at a time, and go on
//! with all that they have. A stream that is sent elsewhere meanwhile runs at two servers,
//! and repeats pile up at servers that stand still as well. An answer that is overdue
//! therefore shows nothing by itself: its call is given up if the server is heard again and
//! again without it, if the server cannot be reached, or if it is silent for too long.

use std::time::Duration;

use super::server::ServerKey;
use super::table::ServerTable;
use crate::time::Moment;

/// Time without a byte from a server after which it counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(400);
/// Silence after which a server that can be reached counts as stuck. Sound servers are
/// silent for a second or so.
const MAX_SILENCE: Duration = Duration::from_secs(4);
/// Time without a connection after which a server counts as gone. The queue of new
/// connections of a server that stands still may be full for a while.
const UNREACHED_TIME: Duration = Duration::from_millis(1_000);
/// Most time that an answer gets after its server was heard again.
const MAX_EXTENSION: Duration = Duration::from_millis(1_000);
/// Age up to which a check whether a server can be reached is not repeated.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What this VM has last noticed of a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerSigns {
    /// When a byte of an answer last arrived from it.
    pub heard_at: Option<Moment>,
    /// When the first call was sent since it was last heard; `None` if none was.
    pub unanswered_since: Option<Moment>,
    /// When connections to it began to fail; `None` if it was heard or reached since.
    pub unreached_since: Option<Moment>,
    /// When it was last checked whether it can be reached.
    pub(super) checked_at: Option<Moment>,
}

impl ServerSigns {
    /// Time without a byte from the server while a call that was sent at `sent_at` waits.
    pub fn silence(&self, sent_at: Moment, now: Moment) -> Duration {
        let heard_at = self.heard_at.map_or(sent_at, |heard| heard.max(sent_at));
        now.since(heard_at)
    }

    /// Time for which calls have been sent and nothing was heard.
    pub fn unanswered(&self, now: Moment) -> Duration {
        let since = self.unanswered_since;
        since.map_or(Duration::ZERO, |since| now.since(since))
    }

    fn is_silent(&self, sent_at: Moment, now: Moment) -> bool {
        self.silence(sent_at, now) >= SILENT_AFTER
    }
}

/// Whether a call goes on waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitVerdict {
    /// The answer is not due yet.
    Wait,
    /// The answer is due and the server has not been heard since; it is to be checked.
    Silent,
    /// The answer will not come.
    GiveUp,
}

/// Wait of one call for the head of its answer.
///
/// An answer that is due while its server stands still gets more time once the server is
/// heard again, because what has queued up there comes first.
#[derive(Debug, Clone, Copy)]
pub struct AnswerWait {
    limit: Duration,
    sent_at: Moment,
    due_at: Moment,
    extended: bool,
}

impl AnswerWait {
    /// Creates the wait of a call whose answer is due within `limit`.
    pub fn new(limit: Duration, sent_at: Moment) -> Self {
        Self {
            limit,
            sent_at,
            due_at: sent_at + limit,
            extended: false,
        }
    }

    /// When the call was sent.
    pub fn sent_at(&self) -> Moment {
        self.sent_at
    }

    /// Judges the wait by the signs of the server.
    pub fn judge(&mut self, signs: ServerSigns, now: Moment) -> WaitVerdict {
        if now < self.due_at {
            return WaitVerdict::Wait;
        }
        let unreached = signs.unreached_since;
        if unreached.is_some_and(|since| now.since(since) >= UNREACHED_TIME) {
            return WaitVerdict::GiveUp;
        }
        match signs.heard_at.filter(|heard| *heard >= self.due_at) {
            Some(_) if self.extended => WaitVerdict::GiveUp,
            Some(heard) => {
                self.extended = true;
                self.due_at = heard + self.limit.min(MAX_EXTENSION);
                WaitVerdict::Wait
            }
            None if signs.silence(self.sent_at, now) >= MAX_SILENCE => WaitVerdict::GiveUp,
            None => WaitVerdict::Silent,
        }
    }
}

impl ServerTable {
    /// Records that a byte of an answer arrived from a server.
    pub fn record_heard(&mut self, server: ServerKey, now: Moment) {
        if let Some(record) = self.servers.get_mut(server) {
            record.signs.heard_at = Some(now);
            record.signs.unanswered_since = None;
            record.signs.unreached_since = None;
        }
    }

    /// What was last noticed of a server; `None` once it is dropped.
    pub fn signs(&self, server: ServerKey) -> Option<ServerSigns> {
        self.servers.get(server).map(|record| record.signs)
    }

    /// Whether a server is silent while calls of this VM wait there.
    pub fn is_silent(&self, server: ServerKey, now: Moment) -> bool {
        self.servers.get(server).is_some_and(|record| {
            let waiting = record.health.silence(now);
            waiting >= SILENT_AFTER && record.signs.is_silent(now - waiting, now)
        })
    }

    /// Begins a check whether a server can be reached, unless one began a short time ago.
    pub fn begin_check(&mut self, server: ServerKey, now: Moment) -> bool {
        let Some(record) = self.servers.get_mut(server) else {
            return false;
        };
        let last = record.signs.checked_at;
        let due = last.is_none_or(|last| now.since(last) >= CHECK_INTERVAL);
        if due {
            record.signs.checked_at = Some(now);
        }
        due
    }
}
