//! Amendments (changes) of configuration documents in the platform store.
//!
//! [`Amendment`] is the state machine that decides the next step. This module
//! performs its calls and tracks whether a write may have reached the store.

use std::time::Duration;

use tokio::time::Instant;
use verbenaring_policy::config::{
    Amendment, AmendmentAction, AmendmentEvent, AmendmentReport, ConfigEntry, ConfigValue,
};
use verbenaring_policy::contract::Revision;
use verbenaring_protocol::operator::AmendRequest;
use verbenaring_protocol::stored::{StoredEntry, decode_entry};

use crate::error::StoreError;
use crate::store::{PlatformStore, StoredValue, SwapCondition, SwapOutcome, SwapRequest};

/// Longest time to find out whether a change was written; shorter than the
/// operator client's timeout of 15 s.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Delay before the next call after one without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Result of an amendment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AmendOutcome {
    /// The change is in the store at this revision.
    Written(Revision),
    /// Another amendment was written first; carries the current entry, `None` if the
    /// key does not exist.
    Conflict(Option<ConfigEntry>),
    /// No write was sent, or the store refused it; carries the reason.
    NotWritten(String),
    /// The change may have been written or may still be written.
    Undecided,
}

/// Writes a change of `key` by compare-and-swap.
///
/// If an answer is lost, the key is read to find out whether the write took
/// effect. Takes [`SETTLE_TIMEOUT`] at most, plus one retry delay.
pub async fn amend_document<S: PlatformStore>(
    store: &S,
    key: &str,
    request: &AmendRequest,
) -> AmendOutcome {
    let value = match &request.document {
        Some(document) => ConfigValue::Text(document.get().to_owned()),
        None => ConfigValue::Deleted,
    };
    let (mut amendment, mut action) =
        Amendment::start(key, request.expected, request.change, value);
    let mut driver = AmendDriver {
        store,
        value: stored_value(request),
        maybe_sent: request.repeated,
        last_error: String::new(),
    };
    if request.repeated {
        // The earlier write may have taken effect, so the key is read first.
        action = amendment
            .on(AmendmentEvent::Lost)
            .unwrap_or(AmendmentAction::Read(None));
    }
    let deadline = Instant::now() + SETTLE_TIMEOUT;
    loop {
        if let AmendmentAction::Report(report) = action {
            return driver.conclude(report, &amendment);
        }
        let event = tokio::time::timeout_at(deadline, driver.perform(&amendment, &action)).await;
        let event = match event {
            Ok(Ok(event)) => event,
            Ok(Err(reason)) => return AmendOutcome::NotWritten(reason),
            Err(_) => {
                driver.maybe_sent |= action == AmendmentAction::Write;
                AmendmentEvent::GaveUp
            }
        };
        let event = if event == AmendmentEvent::Lost {
            tokio::time::sleep(RETRY_DELAY).await;
            // Calls that fail at once never reach the timeout above.
            let timed_out = Instant::now() >= deadline;
            if timed_out {
                AmendmentEvent::GaveUp
            } else {
                event
            }
        } else {
            event
        };
        match amendment.on(event) {
            Some(next) => action = next,
            None => return AmendOutcome::Undecided,
        }
    }
}

fn stored_value(request: &AmendRequest) -> Vec<u8> {
    StoredEntry {
        change: request.change,
        base: request.expected,
        document: request.document.clone(),
    }
    .to_bytes()
}

/// Performs the calls of one [`Amendment`].
struct AmendDriver<'a, S> {
    store: &'a S,
    value: Vec<u8>,
    /// Whether a write may have reached the store.
    maybe_sent: bool,
    /// Reason of the last failed call, for the answer to the operator.
    last_error: String,
}

impl<S: PlatformStore> AmendDriver<'_, S> {
    async fn perform(
        &mut self,
        amendment: &Amendment,
        action: &AmendmentAction,
    ) -> Result<AmendmentEvent, String> {
        match action {
            AmendmentAction::Write => self.write(amendment).await,
            AmendmentAction::Read(None) => Ok(self.read(&amendment.key).await),
            // The store client cannot read earlier revisions.
            AmendmentAction::Read(Some(_)) => Ok(AmendmentEvent::Compacted),
            AmendmentAction::Report(_) => Ok(AmendmentEvent::GaveUp),
        }
    }

    async fn write(&mut self, amendment: &Amendment) -> Result<AmendmentEvent, String> {
        let request = SwapRequest {
            key: amendment.key.clone(),
            condition: match amendment.expected {
                0 => SwapCondition::Absent,
                revision => SwapCondition::Revision(revision),
            },
            value: Some(self.value.clone()),
            lease: 0,
        };
        match self.store.swap(&[request]).await.map(|mut all| all.pop()) {
            Ok(Some(SwapOutcome::Written(revision))) => Ok(AmendmentEvent::Applied(revision)),
            Ok(Some(SwapOutcome::Conflict(found))) => {
                Ok(AmendmentEvent::Refused(found.as_ref().map(config_entry)))
            }
            Ok(None) => self.record_lost_answer("answer lacks the write".into(), true),
            // No write can have taken effect, so the operator gets the reason at once.
            Err(error @ (StoreError::Refused(_) | StoreError::Unreachable(_)))
                if !self.maybe_sent =>
            {
                Err(error.to_string())
            }
            Err(error) => {
                let sent = matches!(error, StoreError::NoAnswer(_));
                self.record_lost_answer(error.to_string(), sent)
            }
        }
    }

    fn record_lost_answer(&mut self, error: String, sent: bool) -> Result<AmendmentEvent, String> {
        self.maybe_sent |= sent;
        self.last_error = error;
        Ok(AmendmentEvent::Lost)
    }

    async fn read(&mut self, key: &str) -> AmendmentEvent {
        match self.store.get(key).await {
            Ok(found) => AmendmentEvent::Found(found.as_ref().map(config_entry)),
            Err(error) => {
                self.last_error = error.to_string();
                AmendmentEvent::Lost
            }
        }
    }

    fn conclude(&self, report: AmendmentReport, amendment: &Amendment) -> AmendOutcome {
        match report {
            AmendmentReport::Written(revision) => AmendOutcome::Written(revision),
            // The entry has the identifier of this change: an earlier copy of the
            // write took effect.
            AmendmentReport::Conflict(Some(entry)) if entry.change == amendment.change => {
                AmendOutcome::Written(entry.revision)
            }
            AmendmentReport::Conflict(found) => AmendOutcome::Conflict(found),
            AmendmentReport::Undecided if !self.maybe_sent => {
                AmendOutcome::NotWritten(self.last_error.clone())
            }
            AmendmentReport::Undecided => AmendOutcome::Undecided,
        }
    }
}

fn config_entry(value: &StoredValue) -> ConfigEntry {
    decode_entry(&value.key, value.revision, Some(&value.value))
}
