//! Exhaustive check of the operation ledger; see `docs/spec/ledger.md`.

mod checker;
mod ledger_environment;

use checker::{count_states, expect_violation};
use ledger_environment::{CLAIM_LEFT, FALSE_NOT_RUN, LedgerModel, Mutation, STARTED_TWICE};

const DEFAULT: LedgerModel = LedgerModel {
    slots: 2,
    faults: 1,
    crashes: 1,
    expiry: false,
    other_digest: false,
    mutation: Mutation::None,
};

/// Guards against lost or late store calls, pauses and crashes that make an operation
/// run twice or report a false outcome.
#[test]
fn two_attempts_run_at_most_once() {
    let model = LedgerModel {
        faults: 3,
        ..DEFAULT
    };
    count_states("ledger, 2 attempts, 3 faults, 1 crash", &model);
}

/// Guards against a retry that claims an abandoned record while an earlier claim
/// has not reached the store yet.
#[test]
fn three_attempts_run_at_most_once() {
    let model = LedgerModel {
        slots: 3,
        ..DEFAULT
    };
    assert!(count_states("ledger, 3 attempts, 1 fault, 1 crash", &model) >= 100_000);
}

/// Guards against a second run after the record of the first run was deleted.
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

/// Guards against another request under the same key that runs, or that affects the first.
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

/// Guards against a model that cannot detect a fault: the check must fail for each
/// disabled safeguard.
#[test]
fn every_disabled_safeguard_is_detected() {
    let mutations = [
        (Mutation::ClaimWithoutCondition, STARTED_TWICE),
        (Mutation::AbandonWithoutCondition, STARTED_TWICE),
        (Mutation::ClaimWithoutOwner, STARTED_TWICE),
        (Mutation::ClaimTakeover, STARTED_TWICE),
        (Mutation::SendAfterGivingUp, FALSE_NOT_RUN),
        (Mutation::AgeCheckedOnce, STARTED_TWICE),
        (Mutation::DropWithoutSkew, STARTED_TWICE),
        (Mutation::BrokenAsRefused, FALSE_NOT_RUN),
        (Mutation::ReusedAttempt, STARTED_TWICE),
        (Mutation::NoCleanUp, CLAIM_LEFT),
        (
            Mutation::ExpectNoReclaim,
            "an abandoned record was claimed again and ran",
        ),
    ];
    for (mutation, property) in mutations {
        let model = LedgerModel {
            slots: if mutation == Mutation::AbandonWithoutCondition {
                3
            } else {
                2
            },
            crashes: 0,
            expiry: matches!(
                mutation,
                Mutation::AgeCheckedOnce | Mutation::DropWithoutSkew
            ),
            mutation,
            ..DEFAULT
        };
        expect_violation(&format!("{mutation:?}"), &model, property);
    }
}
