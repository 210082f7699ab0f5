//! Merge laws, size limits and repair of configuration books.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use verbenaring_policy::config::*;
use verbenaring_policy::id::ChangeId;

fn reader(_: &str, text: &str) -> Result<(), String> {
    match text.starts_with("bad") {
        true => Err("bad".into()),
        false => Ok(()),
    }
}

fn entry(key: &str, revision: u64, text: &str) -> ConfigEntry {
    ConfigEntry {
        key: key.into(),
        revision,
        change: ChangeId(uuid::Uuid::from_u128(revision.into())),
        base: 0,
        value: match text {
            "" => ConfigValue::Deleted,
            _ => ConfigValue::Text(text.into()),
        },
    }
}

fn book<'a>(entries: impl IntoIterator<Item = &'a ConfigEntry>) -> ConfigTable {
    let mut book = ConfigTable::default();
    for entry in entries {
        book.merge(entry.clone(), &reader);
    }
    book
}

fn entries() -> impl Strategy<Value = Vec<ConfigEntry>> {
    let text = prop::sample::select(vec!["", "bad", "good", "other"]);
    let one = (0..3u8, 1..6u64, text);
    let one = one.prop_map(|(key, revision, text)| entry(&key.to_string(), revision, text));
    prop::collection::vec(one, 0..12)
}

/// Messages arrive repeatedly and in any order; books must agree regardless.
#[test]
fn merge_is_commutative_associative_idempotent_and_never_reverts() {
    let config = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let lists = (entries(), entries(), entries());
    let law = |(first, second, third): (Vec<_>, Vec<_>, Vec<_>)| {
        let ahead = book(first.iter().chain(&second).chain(&third));
        let pair = book(second.iter().chain(&third));
        let grouped: Vec<_> = all_entries(&pair).chain(first.clone()).collect();
        prop_assert_eq!(&book(third.iter().chain(&first).chain(&second)), &ahead);
        prop_assert_eq!(&book(&grouped), &ahead);
        prop_assert_eq!(
            &book(first.iter().chain(&second).chain(&third).chain(&first)),
            &ahead
        );
        let mut grown = ConfigTable::default();
        for entry in &first {
            let before = grown.in_force(&entry.key).cloned();
            grown.merge(entry.clone(), &reader);
            prop_assert!(before.as_ref() <= grown.in_force(&entry.key));
        }
        Ok(())
    };
    runner.run(&lists, law).unwrap();
}

fn all_entries(book: &ConfigTable) -> impl Iterator<Item = ConfigEntry> {
    let piece = book.snapshot(None);
    assert!(piece.next.is_none());
    piece.entries.into_iter()
}

/// An unreadable contract must not take the customer out of service.
#[test]
fn unreadable_value_keeps_the_previous_one() {
    let key = "config/contract/council";
    let entries = [
        entry(key, 5, "bad"),
        entry(key, 4, "good"),
        entry(key, 3, "other"),
    ];
    let book = book(&entries);
    assert_eq!(book.in_force(key), Some(&entries[1]));
    assert_eq!(book.latest(key), Some(&entries[0]));
    assert_eq!(
        book.invalid_entries().collect::<Vec<_>>(),
        [(&entries[0], "bad")]
    );
}

/// Repair at 6,800 entries must stay within the control budget of a node.
#[test]
fn repair_costs_bounded_bytes() {
    let text = "x".repeat(1_000);
    let all: Vec<_> = (1..=6_800)
        .map(|n| entry(&format!("k{n}"), n, &text))
        .collect();
    let full = book(&all);
    let mut gaps = book(
        all.iter()
            .filter(|entry| entry.revision % 1_700 != 0 || entry.revision == 6_800),
    );
    let digest_bytes = serde_json::to_string(full.digest()).unwrap().len();
    let request = gaps.delta_request(full.digest()).unwrap();
    let listed: usize = request
        .listings
        .iter()
        .map(|listing| listing.entries.len() * 16)
        .sum();
    let delta = full.delta(&request, 10_000);
    assert_eq!(delta.entries.len(), 3);
    println!("digest {digest_bytes} B as JSON, listings {listed} B");
    assert!(digest_bytes < 3_000 && listed < 6_000);
    for entry in delta.entries {
        gaps.merge(entry, &reader);
    }
    assert_eq!(gaps.digest().summary(), full.digest().summary());
    assert_eq!(gaps.delta_request(full.digest()), None);
}

/// A limited delta must make progress, and no piece may exceed the message limit.
#[test]
fn new_node_catches_up_in_limited_messages() {
    let text = "x".repeat(400_000);
    let all: Vec<_> = (1..=9).map(|n| entry(&format!("k{n}"), n, &text)).collect();
    let full = book(&all);
    let mut copy = ConfigTable::default();
    let mut after = None;
    loop {
        let piece = full.snapshot(after.as_deref());
        assert!(serde_json::to_string(&piece).unwrap().len() < 1_000_000);
        piece
            .entries
            .iter()
            .for_each(|entry| drop(copy.merge(entry.clone(), &reader)));
        after = piece.next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(copy, full);
    let mut late = ConfigTable::default();
    while let Some(request) = late.delta_request(full.digest()) {
        for entry in full.delta(&request, 10).entries {
            late.merge(entry, &reader);
        }
    }
    assert_eq!(late, full);
    let large = entry("k1", 10, &"x".repeat(MAX_VALUE_BYTES + 1));
    assert!(matches!(
        late.merge(large, &reader),
        MergeEffect::Invalid(_)
    ));
    assert_eq!(late.in_force("k1").unwrap().revision, 1);
}
