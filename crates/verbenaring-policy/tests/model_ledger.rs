//! Exhaustive check of the operation ledger; see `docs/spec/ledger.md`.

mod checker;
mod ledger_environment;

use checker::{count_states, expect_broken};
use ledger_environment::{BLOCKED, FALSE_NOT_RUN, Flaw, LedgerModel, TWICE};

const DEFAULT: LedgerModel = LedgerModel {
    slots: 2,
    faults: 1,
    crashes: 1,
    expiry: false,
    other_digest: false,
    flaw: Flaw::None,
};

/// Guards against a lost or late store call, a pause or a crash that runs an
/// operation twice or gives a false outcome.
#[test]
fn two_attempts_run_at_most_once() {
    let model = LedgerModel {
        faults: 3,
        ..DEFAULT
    };
    count_states("ledger, 2 attempts, 3 faults, 1 crash", &model);
}

/// Guards against a retry that claims an abandoned record while an earlier
/// claim is still on its way.
#[test]
fn three_attempts_run_at_most_once() {
    let model = LedgerModel {
        slots: 3,
        ..DEFAULT
    };
    assert!(count_states("ledger, 3 attempts, 1 fault, 1 crash", &model) >= 100_000);
}

/// Guards against a run after the record of the first run was dropped.
#[test]
fn dropped_records_allow_no_second_run() {
    let model = LedgerModel {
        faults: 2,
        expiry: true,
        ..DEFAULT
    };
    count_states(
        "ledger, 2 attempts, 2 faults, 1 crash, end of retention",
        &model,
    );
}

/// Guards against a second request under the same key that runs or hides the first.
#[test]
fn another_digest_changes_nothing() {
    let model = LedgerModel {
        faults: 2,
        other_digest: true,
        ..DEFAULT
    };
    count_states(
        "ledger, 2 attempts with different digests, 2 faults, 1 crash",
        &model,
    );
}

/// Guards against a check that passes because it cannot see a fault.
#[test]
fn every_removed_safeguard_is_found() {
    let flaws = [
        (Flaw::ClaimWithoutCondition, TWICE),
        (Flaw::AbandonWithoutCondition, TWICE),
        (Flaw::ClaimWithoutOwner, TWICE),
        (Flaw::ClaimTakeover, TWICE),
        (Flaw::SendAfterGivingUp, FALSE_NOT_RUN),
        (Flaw::AgeCheckedOnce, TWICE),
        (Flaw::DropWithoutSkew, TWICE),
        (Flaw::BrokenAsRefused, FALSE_NOT_RUN),
        (Flaw::ReusedAttempt, TWICE),
        (Flaw::NoCleanUp, BLOCKED),
        (
            Flaw::ExpectNoReclaim,
            "an abandoned record was claimed again and ran",
        ),
    ];
    for (flaw, property) in flaws {
        let model = LedgerModel {
            slots: if flaw == Flaw::AbandonWithoutCondition {
                3
            } else {
                2
            },
            crashes: 0,
            expiry: matches!(flaw, Flaw::AgeCheckedOnce | Flaw::DropWithoutSkew),
            flaw,
            ..DEFAULT
        };
        expect_broken(&format!("{flaw:?}"), &model, property);
    }
}
