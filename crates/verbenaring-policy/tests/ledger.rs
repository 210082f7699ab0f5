//! Key checks, stored format, claim batches and single attempts of the ledger.

use verbenaring_policy::id::{AttemptId, Digest};
use verbenaring_policy::ledger::*;
use verbenaring_policy::operation::MAX_BATCH_CLAIMS;
use verbenaring_policy::outcome::RunOutcome;

const NOW: u64 = 1_800_000_000_000;
const DAY: u64 = 24 * 3_600_000;

fn key(time_ms: u64) -> IdempotencyKey {
    let uuid = uuid::Uuid::from_u128(u128::from(time_ms) << 80 | 0x7 << 76 | 0x8 << 60);
    IdempotencyKey::parse(&uuid.to_string()).unwrap()
}

fn attempt(number: u128) -> OperationAttempt {
    OperationAttempt {
        key: key(NOW),
        digest: Digest::of(b"booking"),
        attempt: AttemptId(uuid::Uuid::from_u128(number)),
    }
}

fn single_write(actions: &[LedgerAction]) -> RecordWrite {
    match actions {
        [LedgerAction::Write(write)] => *write,
        other => panic!("expected one write, got {other:?}"),
    }
}

/// Guards against a key that is accepted after its record was dropped, so that the
/// operation runs twice.
#[test]
fn keys_expire_before_records() {
    assert_eq!(key(NOW).time_ms(), NOW);
    assert!(key(NOW).check(NOW + DAY - 1).is_ok());
    assert_eq!(key(NOW).check(NOW + DAY), Err(KeyError::Expired));
    assert!(key(NOW).check(NOW - 300_000).is_ok());
    assert_eq!(key(NOW).check(NOW - 300_001), Err(KeyError::InFuture));
    let v4 = "6f1c1f0e-6f5c-4b4e-9a51-0d5c3f1d2a10";
    assert_eq!(IdempotencyKey::parse(v4), Err(KeyError::NotVersion7));
    let record = single_write(&OperationLedger::start(attempt(1), NOW).1).record;
    assert!(!record.may_delete(NOW + DAY + 299_999));
    assert!(record.may_delete(NOW + DAY + 300_000));
}

/// Guards against a changed record format, because nodes of different builds share records.
#[test]
fn record_format_is_stable() {
    let mut record = single_write(&OperationLedger::start(attempt(1), NOW).1).record;
    record.state = RecordState::Done(201);
    let digest = Digest::of(b"booking");
    let text = format!(
        "{{\"attempt\":\"00000000-0000-0000-0000-000000000001\",\"digest\":\"{digest}\",\
         \"key_time_ms\":{NOW},\"state\":{{\"done\":201}}}}"
    );
    assert_eq!(serde_json::to_string(&record).unwrap(), text);
    assert_eq!(
        serde_json::from_str::<OperationRecord>(&text).unwrap(),
        record
    );
}

/// Guards against another request under a used key that runs, or gets the outcome of the first.
#[test]
fn another_digest_is_refused() {
    let found = single_write(&OperationLedger::start(attempt(1), NOW).1).record;
    let mut second = attempt(2);
    second.digest = Digest::of(b"other");
    let (mut ledger, actions) = OperationLedger::start(second, NOW);
    let stored = StoredRecord {
        record: found,
        revision: 1,
    };
    let answer = WriteAnswer::Refused(Some(stored));
    let event = LedgerEvent::Written(single_write(&actions).serial, answer);
    let report = LedgerReport {
        outcome: RunOutcome::NotRun,
        reason: OutcomeReason::DigestMismatch,
    };
    assert_eq!(ledger.on(event, NOW), [LedgerAction::Report(report)]);
    assert!(ledger.is_closed());
}

/// Guards against a store outage that keeps the caller waiting or loses the clean-up.
#[test]
fn store_outage_reports_not_run_and_is_cleaned_up_later() {
    let (mut ledger, actions) = OperationLedger::start(attempt(1), NOW);
    let serial = single_write(&actions).serial;
    let read_actions = ledger.on(LedgerEvent::Written(serial, WriteAnswer::Lost), NOW);
    assert_eq!(read_actions, [LedgerAction::Read(2)]);
    let reported = ledger.on(LedgerEvent::Read(2, ReadAnswer::Lost), NOW);
    let report = LedgerReport {
        outcome: RunOutcome::NotRun,
        reason: OutcomeReason::StoreUnreachable,
    };
    assert_eq!(reported, [LedgerAction::Report(report)]);
    assert!(ledger.awaits_store());
    let late = ledger.on(LedgerEvent::Written(serial, WriteAnswer::Applied), NOW);
    assert!(late.is_empty(), "a late claim must not start the attempt");
    let write = single_write(&ledger.on(LedgerEvent::StoreReturned, NOW));
    assert_eq!(write.condition, WriteCondition::Absent);
    assert_eq!(write.record.state, RecordState::Abandoned);
}

/// Guards against batches above the store's limit or with a repeated key, which it refuses,
/// and against an incomplete answer that is taken for some of the claims.
#[test]
fn batch_is_bounded_and_independent() {
    let claim = single_write(&OperationLedger::start(attempt(1), NOW).1);
    let mut batch = ClaimBatch::default();
    assert!(batch.add("0", claim));
    assert!(!batch.add("0", claim));
    assert!((1..MAX_BATCH_CLAIMS).all(|number| batch.add(&number.to_string(), claim)));
    assert!(!batch.add("64", claim));
    let short = batch
        .clone()
        .into_answers(Some(vec![WriteAnswer::Applied; 3]));
    assert!(
        short
            .into_iter()
            .all(|(_, _, answer)| answer == WriteAnswer::Lost)
    );
    let complete = batch.into_answers(Some(vec![WriteAnswer::Applied; MAX_BATCH_CLAIMS]));
    assert!(
        complete
            .into_iter()
            .all(|(_, _, answer)| answer == WriteAnswer::Applied)
    );
}
