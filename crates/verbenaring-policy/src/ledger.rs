//! State machine of operations that run at most once.
//!
//! [`OperationLedger`] is the state machine of one attempt at one node. It
//! takes events and returns actions and never performs I/O, so the daemon and
//! the model checker run the same transitions. The specification is
//! `docs/spec/ledger.md`.
//!
//! [`LedgerAction::Send`] is returned in answer to [`LedgerEvent::Connected`] only,
//! and only while the claim is held. From then on the request may have run.

pub use crate::operation::{
    ClaimBatch, IdempotencyKey, KeyError, OperationRecord, ReadAnswer, RecordState, RecordWrite,
    StoredRecord, WriteAnswer, WriteCondition,
};

use crate::id::{AttemptId, Digest};
use crate::outcome::RunOutcome;

/// Answer of the store, event of the connection or decision of the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LedgerEvent {
    /// Answer to the write with this serial.
    Written(u32, WriteAnswer),
    /// Answer to the read with this serial.
    Read(u32, ReadAnswer),
    /// The connection to the backend server is ready; no byte was sent.
    Connected,
    /// The first byte of the request was sent.
    Sent,
    /// No byte of the request was or will be sent on the connection.
    Unsent,
    /// The backend server refused the request without executing it.
    Refused,
    /// The backend server answered completely with this status.
    Finished(u16),
    /// The connection broke, or the answer does not belong to the attempt.
    Broken,
    /// The deadline passed or the caller disconnected.
    GaveUp,
    /// The store answers again; sent to attempts that wait for it.
    StoreReturned,
}

/// Reason of an outcome that is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OutcomeReason {
    /// The idempotency key is refused.
    Key(KeyError),
    /// The key was used for another request.
    DigestMismatch,
    /// Another attempt holds the operation (`operation_in_progress`).
    InProgress,
    /// An earlier attempt ran and was answered with this status.
    AlreadyDone(u16),
    /// The store did not answer in time, so it is unknown whether the claim was written.
    StoreUnreachable,
    /// The deadline passed or the caller disconnected.
    GaveUp,
    /// No backend server took the request.
    Refused,
    /// The connection broke after the request may have been sent.
    Broken,
    /// This attempt ran and was answered with this status.
    Finished(u16),
}

/// Outcome that is reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LedgerReport {
    /// Outcome of this attempt, or of the earlier attempt in the record.
    pub outcome: RunOutcome,
    /// Reason of the outcome.
    pub reason: OutcomeReason,
}

/// Step for the driver; a list of them is executed in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LedgerAction {
    /// Write the record if the condition holds.
    Write(RecordWrite),
    /// Read the record; carries the serial of the store call.
    Read(u32),
    /// Connect to a backend server without sending a byte.
    Connect,
    /// Send the request once on the connection.
    Send,
    /// Report the outcome to the caller; returned at most once per attempt.
    Report(LedgerReport),
}

/// Identity of an attempt: its operation, its request and itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OperationAttempt {
    /// Idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Keyed digest of the request.
    pub digest: Digest,
    /// Identifier of the attempt, new for every attempt.
    pub attempt: AttemptId,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Phase {
    /// The write of the claim has no answer yet.
    Claiming,
    /// The answer to the claim was lost; the read of the record has no answer yet.
    Settling,
    /// The claim is held and nothing was sent.
    Connecting,
    /// The driver may send.
    Sending,
    /// At least one byte was sent.
    Sent,
    /// The write of the outcome has no answer yet.
    Recording(OperationRecord),
    /// The write of the abandonment under this condition has no answer yet.
    Abandoning(WriteCondition),
    /// Waits until the store answers again, to record the outcome.
    RecordLater(OperationRecord),
    /// Waits until the store answers again, to abandon the attempt.
    AbandonLater(WriteCondition),
    /// Nothing is left to do.
    Closed,
}

/// State machine of one attempt at one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OperationLedger {
    attempt: OperationAttempt,
    phase: Phase,
    serial: u32,
    /// Condition of the latest claim, whose write may take effect late.
    claim_condition: WriteCondition,
    /// Whether the store confirmed the claim.
    claim_confirmed: bool,
    /// Report to send when the abandonment is written or no longer needed.
    pending_report: Option<LedgerReport>,
    reported: bool,
}

type Actions = Vec<LedgerAction>;

impl OperationLedger {
    /// Checks the key and starts the claim of the operation.
    pub fn start(attempt: OperationAttempt, wall_ms: u64) -> (Self, Actions) {
        let mut ledger = Self {
            attempt,
            phase: Phase::Closed,
            serial: 0,
            claim_condition: WriteCondition::Absent,
            claim_confirmed: false,
            pending_report: None,
            reported: false,
        };
        let actions = match attempt.key.check(wall_ms) {
            Ok(()) => ledger.write_claim(WriteCondition::Absent),
            Err(error) => ledger.report(RunOutcome::NotRun, OutcomeReason::Key(error)),
        };
        (ledger, actions)
    }

    /// Applies an event and returns what the driver has to do.
    ///
    /// Answers to earlier store calls and events that do not fit the phase
    /// are ignored.
    pub fn on(&mut self, event: LedgerEvent, wall_ms: u64) -> Actions {
        match event {
            LedgerEvent::Written(serial, answer) if serial == self.serial => {
                self.on_written(answer, wall_ms)
            }
            LedgerEvent::Read(serial, answer) if serial == self.serial => {
                self.on_read(answer, wall_ms)
            }
            LedgerEvent::Written(..) | LedgerEvent::Read(..) => Actions::new(),
            LedgerEvent::GaveUp => self.on_gave_up(),
            LedgerEvent::StoreReturned => self.on_store_returned(wall_ms),
            _ => self.on_backend(event),
        }
    }

    /// Whether the driver may forget the attempt.
    pub fn is_closed(&self) -> bool {
        self.phase == Phase::Closed
    }

    /// Whether the attempt waits for [`LedgerEvent::StoreReturned`]; the driver keeps it
    /// on its clean-up list.
    pub fn awaits_store(&self) -> bool {
        matches!(self.phase, Phase::RecordLater(_) | Phase::AbandonLater(_))
    }

    fn on_written(&mut self, answer: WriteAnswer, wall_ms: u64) -> Actions {
        match (self.phase, answer) {
            (Phase::Claiming, WriteAnswer::Applied) => self.confirm_claim(wall_ms),
            (Phase::Claiming, WriteAnswer::Refused(found)) => self.resolve_claim(found, wall_ms),
            (Phase::Claiming, WriteAnswer::Lost) => {
                self.phase = Phase::Settling;
                self.serial += 1;
                vec![LedgerAction::Read(self.serial)]
            }
            (Phase::Recording(record), WriteAnswer::Lost) => {
                self.phase = Phase::RecordLater(record);
                Actions::new()
            }
            (Phase::Recording(_), _) => self.close(),
            (Phase::Abandoning(_), WriteAnswer::Applied) => self.close(),
            (Phase::Abandoning(_), WriteAnswer::Refused(found)) => self.resolve_abandon(found),
            (Phase::Abandoning(condition), WriteAnswer::Lost) => {
                self.phase = Phase::AbandonLater(condition);
                self.report_pending()
            }
            _ => Actions::new(),
        }
    }

    fn on_read(&mut self, answer: ReadAnswer, wall_ms: u64) -> Actions {
        match (self.phase, answer) {
            (Phase::Settling, ReadAnswer::Found(found)) => self.resolve_claim(found, wall_ms),
            (Phase::Settling, ReadAnswer::Lost) => self.give_up(OutcomeReason::StoreUnreachable),
            _ => Actions::new(),
        }
    }

    fn on_gave_up(&mut self) -> Actions {
        match self.phase {
            Phase::Claiming | Phase::Settling => self.give_up(OutcomeReason::StoreUnreachable),
            Phase::Connecting => self.abandon(OutcomeReason::GaveUp),
            // The attempt continues, so that its outcome can still be recorded.
            Phase::Sending | Phase::Sent => self.report(RunOutcome::Unknown, OutcomeReason::GaveUp),
            Phase::Abandoning(_) => self.report_pending(),
            _ => Actions::new(),
        }
    }

    fn on_store_returned(&mut self, wall_ms: u64) -> Actions {
        let expired = self.attempt.key.check(wall_ms) == Err(KeyError::Expired);
        match self.phase {
            // No attempt can claim an expired key, so nothing is blocked.
            Phase::RecordLater(_) | Phase::AbandonLater(_) if expired => self.close(),
            Phase::RecordLater(record) => self.write_outcome(record),
            Phase::AbandonLater(condition) => self.write_abandon(condition),
            _ => Actions::new(),
        }
    }

    fn on_backend(&mut self, event: LedgerEvent) -> Actions {
        match (self.phase, event) {
            (Phase::Connecting, LedgerEvent::Connected) => {
                self.phase = Phase::Sending;
                vec![LedgerAction::Send]
            }
            (
                Phase::Connecting,
                LedgerEvent::Unsent | LedgerEvent::Refused | LedgerEvent::Broken,
            ) => self.abandon(OutcomeReason::Refused),
            (Phase::Sending, LedgerEvent::Sent) => {
                self.phase = Phase::Sent;
                Actions::new()
            }
            (Phase::Sending, LedgerEvent::Unsent)
            | (Phase::Sending | Phase::Sent, LedgerEvent::Refused) => {
                self.abandon(OutcomeReason::Refused)
            }
            (Phase::Sending | Phase::Sent, LedgerEvent::Finished(status)) => {
                let mut actions = self.report(RunOutcome::Ran, OutcomeReason::Finished(status));
                actions.extend(self.write_outcome(self.record(RecordState::Done(status))));
                actions
            }
            (Phase::Sending | Phase::Sent, LedgerEvent::Broken | LedgerEvent::Unsent) => {
                self.phase = Phase::Closed;
                self.report(RunOutcome::Unknown, OutcomeReason::Broken)
            }
            _ => Actions::new(),
        }
    }

    /// Decides from the current record whether the claim holds, fails or is repeated.
    fn resolve_claim(&mut self, found: Option<StoredRecord>, wall_ms: u64) -> Actions {
        let Some(StoredRecord { record, revision }) = found else {
            return self.claim_again(WriteCondition::Absent, wall_ms);
        };
        if record.attempt == self.attempt.attempt {
            return match record.state {
                RecordState::Claimed => self.confirm_claim(wall_ms),
                _ => self.finish(RunOutcome::Unknown, OutcomeReason::InProgress),
            };
        }
        if !record.digest.matches(&self.attempt.digest) {
            return self.finish(RunOutcome::NotRun, OutcomeReason::DigestMismatch);
        }
        match record.state {
            RecordState::Claimed => self.finish(RunOutcome::Unknown, OutcomeReason::InProgress),
            RecordState::Done(status) => {
                self.finish(RunOutcome::Ran, OutcomeReason::AlreadyDone(status))
            }
            RecordState::Abandoned => self.claim_again(WriteCondition::Revision(revision), wall_ms),
        }
    }

    fn claim_again(&mut self, condition: WriteCondition, wall_ms: u64) -> Actions {
        match self.attempt.key.check(wall_ms) {
            Ok(()) => self.write_claim(condition),
            Err(error) => self.give_up(OutcomeReason::Key(error)),
        }
    }

    /// The store has the claim of this attempt. The key is checked again, because a
    /// claim that took effect after the retention may have replaced a dropped record.
    fn confirm_claim(&mut self, wall_ms: u64) -> Actions {
        self.claim_confirmed = true;
        if let Err(error) = self.attempt.key.check(wall_ms) {
            return self.abandon(OutcomeReason::Key(error));
        }
        self.phase = Phase::Connecting;
        vec![LedgerAction::Connect]
    }

    /// Ends an attempt whose claim may or may not be written. The abandonment has the
    /// condition of the claim, so the store refuses a claim that arrives after it.
    fn give_up(&mut self, reason: OutcomeReason) -> Actions {
        self.phase = Phase::AbandonLater(self.claim_condition);
        self.report(RunOutcome::NotRun, reason)
    }

    /// Releases a held claim of an attempt that is known not to run. The
    /// caller gets the report afterwards, so that its retry can claim at once.
    fn abandon(&mut self, reason: OutcomeReason) -> Actions {
        self.pending_report = Some(LedgerReport {
            outcome: RunOutcome::NotRun,
            reason,
        });
        self.write_abandon(WriteCondition::Value(self.record(RecordState::Claimed)))
    }

    fn resolve_abandon(&mut self, found: Option<StoredRecord>) -> Actions {
        let own = self.record(RecordState::Claimed);
        if found.is_some_and(|stored| stored.record == own) {
            self.write_abandon(WriteCondition::Value(own))
        } else if !self.claim_confirmed && self.claim_condition.holds(found.as_ref()) {
            self.write_abandon(self.claim_condition)
        } else {
            self.close()
        }
    }

    fn write_claim(&mut self, condition: WriteCondition) -> Actions {
        self.phase = Phase::Claiming;
        self.claim_condition = condition;
        self.write(condition, RecordState::Claimed)
    }

    fn write_abandon(&mut self, condition: WriteCondition) -> Actions {
        self.phase = Phase::Abandoning(condition);
        self.write(condition, RecordState::Abandoned)
    }

    fn write_outcome(&mut self, record: OperationRecord) -> Actions {
        self.phase = Phase::Recording(record);
        let own = self.record(RecordState::Claimed);
        self.write(WriteCondition::Value(own), record.state)
    }

    fn write(&mut self, condition: WriteCondition, state: RecordState) -> Actions {
        self.serial += 1;
        vec![LedgerAction::Write(RecordWrite {
            serial: self.serial,
            condition,
            record: self.record(state),
        })]
    }

    fn record(&self, state: RecordState) -> OperationRecord {
        OperationRecord {
            attempt: self.attempt.attempt,
            digest: self.attempt.digest,
            key_time_ms: self.attempt.key.time_ms(),
            state,
        }
    }

    fn close(&mut self) -> Actions {
        self.phase = Phase::Closed;
        self.report_pending()
    }

    fn finish(&mut self, outcome: RunOutcome, reason: OutcomeReason) -> Actions {
        self.phase = Phase::Closed;
        self.report(outcome, reason)
    }

    fn report_pending(&mut self) -> Actions {
        match self.pending_report {
            Some(report) => self.report(report.outcome, report.reason),
            None => Actions::new(),
        }
    }

    /// Reports an outcome to the caller; all but the first report are dropped.
    fn report(&mut self, outcome: RunOutcome, reason: OutcomeReason) -> Actions {
        if std::mem::replace(&mut self.reported, true) {
            return Actions::new();
        }
        vec![LedgerAction::Report(LedgerReport { outcome, reason })]
    }
}
