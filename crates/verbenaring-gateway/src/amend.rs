//! Amendments of configuration documents in the platform store.
//!
//! The decisions are those of [`Amendment`]; this module performs its calls
//! and knows which of them were never sent.

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

/// Longest time to settle an amendment; below the client's timeout of 15 s.
pub const SETTLE_LIMIT: Duration = Duration::from_secs(8);
/// Pause after a call without an answer.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// How an amendment ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AmendOutcome {
    /// In the store at this revision.
    Written(Revision),
    /// Another amendment was written first; carries the current entry.
    Conflict(Option<ConfigEntry>),
    /// No write was sent, or the store refused it.
    NotWritten(String),
    /// A write may have taken or may still take effect.
    Undecided,
}

/// Writes the amendment of `key` and settles lost answers by reading.
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
        sent: request.repeated,
        fault: String::new(),
    };
    if request.repeated {
        // The earlier write may have taken effect, so its trace is read first.
        action = amendment
            .on(AmendmentEvent::Lost)
            .unwrap_or(AmendmentAction::Read(None));
    }
    let deadline = Instant::now() + SETTLE_LIMIT;
    loop {
        if let AmendmentAction::Report(report) = action {
            return driver.outcome(report, &amendment);
        }
        let event = tokio::time::timeout_at(deadline, driver.perform(&amendment, &action)).await;
        let event = match event {
            Ok(Ok(event)) => event,
            Ok(Err(reason)) => return AmendOutcome::NotWritten(reason),
            Err(_) => {
                driver.sent |= action == AmendmentAction::Write;
                AmendmentEvent::GaveUp
            }
        };
        let event = if event == AmendmentEvent::Lost {
            tokio::time::sleep(RETRY_DELAY).await;
            // Calls that fail at once do not run into their own time limit.
            let expired = Instant::now() >= deadline;
            if expired {
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

struct AmendDriver<'a, S> {
    store: &'a S,
    value: Vec<u8>,
    /// Whether a write may have reached the store.
    sent: bool,
    fault: String,
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
            // The client of the store reads the current revision only.
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
                Ok(AmendmentEvent::Refused(found.as_ref().map(entry_of)))
            }
            Ok(None) => self.lose("answer lacks the write".into(), true),
            // Certain at once, so the operator need not wait for the time limit.
            Err(error @ (StoreError::Refused(_) | StoreError::Unreachable(_))) if !self.sent => {
                Err(error.to_string())
            }
            Err(error) => {
                let sent = matches!(error, StoreError::NoAnswer(_));
                self.lose(error.to_string(), sent)
            }
        }
    }

    fn lose(&mut self, fault: String, sent: bool) -> Result<AmendmentEvent, String> {
        self.sent |= sent;
        self.fault = fault;
        Ok(AmendmentEvent::Lost)
    }

    async fn read(&mut self, key: &str) -> AmendmentEvent {
        match self.store.get(key).await {
            Ok(found) => AmendmentEvent::Found(found.as_ref().map(entry_of)),
            Err(error) => {
                self.fault = error.to_string();
                AmendmentEvent::Lost
            }
        }
    }

    fn outcome(&self, report: AmendmentReport, amendment: &Amendment) -> AmendOutcome {
        match report {
            AmendmentReport::Written(revision) => AmendOutcome::Written(revision),
            // The same request was sent twice.
            AmendmentReport::Conflict(Some(entry)) if entry.change == amendment.change => {
                AmendOutcome::Written(entry.revision)
            }
            AmendmentReport::Conflict(found) => AmendOutcome::Conflict(found),
            AmendmentReport::Undecided if !self.sent => {
                AmendOutcome::NotWritten(self.fault.clone())
            }
            AmendmentReport::Undecided => AmendOutcome::Undecided,
        }
    }
}

fn entry_of(value: &StoredValue) -> ConfigEntry {
    decode_entry(&value.key, value.revision, Some(&value.value))
}
