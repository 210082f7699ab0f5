//! Amendment of one configuration entry by compare-and-swap.
//!
//! The state machine settles lost answers, so that each of two operators is
//! told truthfully whose change was written. Deletions are written as values,
//! so they carry a change identifier too.

use crate::config::{ConfigEntry, ConfigValue};
use crate::contract::Revision;
use crate::id::ChangeId;

/// What happened to the amendment.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AmendmentEvent {
    /// The store wrote the change at this revision.
    Applied(Revision),
    /// The expected revision did not hold; carries the current entry.
    Refused(Option<ConfigEntry>),
    /// Answer to a read.
    Found(Option<ConfigEntry>),
    /// No answer to a write or a read.
    Lost,
    /// The store no longer has the revision that was asked for.
    Compacted,
    /// The operator stops waiting.
    GaveUp,
}

/// What the client has to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AmendmentAction {
    /// Write the change if the key is still at the expected revision.
    Write,
    /// Read the key, at the revision if one is given.
    Read(Option<Revision>),
    /// Tell the operator.
    Report(AmendmentReport),
}

/// What the operator is told.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum AmendmentReport {
    /// The change was written at this revision.
    Written(Revision),
    /// Another change was made first and this one never takes effect.
    Conflict(Option<ConfigEntry>),
    /// The change may have been or may still be written.
    Undecided,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Writing,
    Reading,
    /// Follows the bases back from the newest entry, which is kept for the report.
    Tracing(ConfigEntry, Revision),
    Settled,
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
    /// Whether a write has no answer and may take effect late.
    lost: bool,
}

impl Amendment {
    /// Starts an amendment.
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
            lost: false,
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

    /// Applies an event; none if nothing is to be done.
    pub fn on(&mut self, event: AmendmentEvent) -> Option<AmendmentAction> {
        match (std::mem::replace(&mut self.phase, Phase::Settled), event) {
            (Phase::Settled, _) => None,
            (_, AmendmentEvent::GaveUp | AmendmentEvent::Compacted) => {
                self.report(AmendmentReport::Undecided)
            }
            (Phase::Writing, AmendmentEvent::Applied(revision)) => {
                self.report(AmendmentReport::Written(revision))
            }
            (Phase::Writing, AmendmentEvent::Refused(found))
            | (Phase::Reading, AmendmentEvent::Found(found)) => self.judge(found),
            (Phase::Writing | Phase::Reading, AmendmentEvent::Lost) => {
                self.lost = true;
                self.phase = Phase::Reading;
                Some(AmendmentAction::Read(None))
            }
            (Phase::Tracing(newest, _), AmendmentEvent::Found(found)) => self.trace(newest, found),
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

    fn judge(&mut self, found: Option<ConfigEntry>) -> Option<AmendmentAction> {
        let revision = found.as_ref().map_or(0, |entry| entry.revision);
        if revision == self.expected {
            // A write without an answer is repeated; at most one of them applies.
            self.phase = Phase::Writing;
            return Some(AmendmentAction::Write);
        }
        match found {
            found if !self.lost => self.report(AmendmentReport::Conflict(found)),
            Some(newest) => self.trace(newest.clone(), Some(newest)),
            None => self.report(AmendmentReport::Undecided),
        }
    }

    /// Looks for the change that followed the expected revision: an own
    /// change may already have been amended by another operator.
    fn trace(
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
        // The key was removed by other means, and with it the trace.
        if entry.base < self.expected {
            return self.report(AmendmentReport::Undecided);
        }
        self.phase = Phase::Tracing(newest, entry.base);
        Some(AmendmentAction::Read(Some(entry.base)))
    }

    fn report(&mut self, report: AmendmentReport) -> Option<AmendmentAction> {
        self.phase = Phase::Settled;
        Some(AmendmentAction::Report(report))
    }
}
