//! Change of one configuration entry by compare-and-swap.
//!
//! If the answer to a write is lost, the state machine finds out whether it was
//! written, so that of two operators each learns whose change took effect.
//! Deletions are written as values, so they carry a change identifier too.

use crate::config::{ConfigEntry, ConfigValue};
use crate::contract::Revision;
use crate::id::ChangeId;

/// Answer of the store, or decision of the operator, that advances an amendment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AmendmentEvent {
    /// The store wrote the change at this revision.
    Applied(Revision),
    /// The key was not at the expected revision; carries the current entry.
    Refused(Option<ConfigEntry>),
    /// Answer to a read; `None` if the key is absent.
    Found(Option<ConfigEntry>),
    /// No answer to a write or a read.
    Lost,
    /// The store no longer has the revision that was asked for.
    Compacted,
    /// The operator no longer waits.
    GaveUp,
}

/// Next step for the client of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AmendmentAction {
    /// Write the change if the key is still at the expected revision.
    Write,
    /// Read the key, at this revision or, if `None`, now.
    Read(Option<Revision>),
    /// Report the result to the operator; the amendment is done.
    Report(AmendmentReport),
}

/// Result of an amendment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AmendmentReport {
    /// The change was written at this revision.
    Written(Revision),
    /// Another change was made first and this one never takes effect; carries the
    /// newest entry.
    Conflict(Option<ConfigEntry>),
    /// The change may have been or may still be written.
    Undecided,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Writing,
    Reading,
    /// Reads the entry at this base revision; the newest entry is kept for the report.
    Tracing(ConfigEntry, Revision),
    Done,
}

/// State machine of one amendment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Amendment {
    /// Key to amend.
    pub key: String,
    /// Revision that the operator saw; 0 for a new key.
    pub expected: Revision,
    /// Identifier of the change, new for every amendment.
    pub change: ChangeId,
    /// New content or deletion.
    pub value: ConfigValue,
    phase: Phase,
    /// Whether the answer to a write was lost, so that it may take effect late.
    write_unanswered: bool,
}

impl Amendment {
    /// Creates an amendment and returns its first action.
    pub fn start(
        key: &str,
        expected: Revision,
        change: ChangeId,
        value: ConfigValue,
    ) -> (Self, AmendmentAction) {
        let amendment = Self {
            key: key.to_owned(),
            expected,
            change,
            value,
            phase: Phase::Writing,
            write_unanswered: false,
        };
        (amendment, AmendmentAction::Write)
    }

    /// Entry as the store holds it once it is written at `revision`.
    pub fn entry(&self, revision: Revision) -> ConfigEntry {
        ConfigEntry {
            key: self.key.clone(),
            revision,
            change: self.change,
            base: self.expected,
            value: self.value.clone(),
        }
    }

    /// Applies an event; `None` if there is nothing to do.
    pub fn on(&mut self, event: AmendmentEvent) -> Option<AmendmentAction> {
        match (std::mem::replace(&mut self.phase, Phase::Done), event) {
            (Phase::Done, _) => None,
            (_, AmendmentEvent::GaveUp | AmendmentEvent::Compacted) => {
                self.report(AmendmentReport::Undecided)
            }
            (Phase::Writing, AmendmentEvent::Applied(revision)) => {
                self.report(AmendmentReport::Written(revision))
            }
            (Phase::Writing, AmendmentEvent::Refused(found))
            | (Phase::Reading, AmendmentEvent::Found(found)) => self.resolve(found),
            (Phase::Writing | Phase::Reading, AmendmentEvent::Lost) => {
                self.write_unanswered = true;
                self.phase = Phase::Reading;
                Some(AmendmentAction::Read(None))
            }
            (Phase::Tracing(newest, _), AmendmentEvent::Found(found)) => {
                self.trace_bases(newest, found)
            }
            (Phase::Tracing(newest, revision), AmendmentEvent::Lost) => {
                self.phase = Phase::Tracing(newest, revision);
                Some(AmendmentAction::Read(Some(revision)))
            }
            (phase, _) => {
                self.phase = phase;
                None
            }
        }
    }

    fn resolve(&mut self, found: Option<ConfigEntry>) -> Option<AmendmentAction> {
        let revision = found.as_ref().map_or(0, |entry| entry.revision);
        if revision == self.expected {
            // A write without an answer is repeated; the store applies at most one.
            self.phase = Phase::Writing;
            return Some(AmendmentAction::Write);
        }
        match found {
            found if !self.write_unanswered => self.report(AmendmentReport::Conflict(found)),
            Some(newest) => self.trace_bases(newest.clone(), Some(newest)),
            None => self.report(AmendmentReport::Undecided),
        }
    }

    /// Follows the base revisions back to the change that followed the expected
    /// revision: another operator may have amended the own change already.
    fn trace_bases(
        &mut self,
        newest: ConfigEntry,
        found: Option<ConfigEntry>,
    ) -> Option<AmendmentAction> {
        let Some(entry) = found else {
            return self.report(AmendmentReport::Undecided);
        };
        if entry.change == self.change {
            return self.report(AmendmentReport::Written(entry.revision));
        }
        if entry.base == self.expected {
            return self.report(AmendmentReport::Conflict(Some(newest)));
        }
        // The key was removed without an amendment, so its history is incomplete.
        if entry.base < self.expected {
            return self.report(AmendmentReport::Undecided);
        }
        self.phase = Phase::Tracing(newest, entry.base);
        Some(AmendmentAction::Read(Some(entry.base)))
    }

    fn report(&mut self, report: AmendmentReport) -> Option<AmendmentAction> {
        self.phase = Phase::Done;
        Some(AmendmentAction::Report(report))
    }
}
