//! Merge properties, size limits and repair of configuration tables.

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

use verbenaring_policy::config::*;
use verbenaring_policy::id::ChangeId;

fn validator(_: &str, text: &str) -> Result<(), String> {
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

fn table_of<'a>(entries: impl IntoIterator<Item = &'a ConfigEntry>) -> ConfigTable {
    let mut table = ConfigTable::default();
    for entry in entries {
        table.merge(entry.clone(), &validator);
    }
    table
}

fn entries() -> impl Strategy<Value = Vec<ConfigEntry>> {
    let text = prop::sample::select(vec!["", "bad", "good", "other"]);
    let one = (0..3u8, 1..6u64, text);
    let one = one.prop_map(|(key, revision, text)| entry(&key.to_string(), revision, text));
    prop::collection::vec(one, 0..12)
}

/// Guards against tables that differ because entries arrive repeatedly or in another order.
#[test]
fn merge_is_commutative_associative_idempotent_and_monotonic() {
    let config = ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..Default::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let lists = (entries(), entries(), entries());
    let property = |(first, second, third): (Vec<_>, Vec<_>, Vec<_>)| {
        let merged = table_of(first.iter().chain(&second).chain(&third));
        let pair = table_of(second.iter().chain(&third));
        let grouped: Vec<_> = all_entries(&pair).chain(first.clone()).collect();
        prop_assert_eq!(
            &table_of(third.iter().chain(&first).chain(&second)),
            &merged
        );
        prop_assert_eq!(&table_of(&grouped), &merged);
        prop_assert_eq!(
            &table_of(first.iter().chain(&second).chain(&third).chain(&first)),
            &merged
        );
        let mut growing = ConfigTable::default();
        for entry in &first {
            let before = growing.in_force(&entry.key).cloned();
            growing.merge(entry.clone(), &validator);
            prop_assert!(before.as_ref() <= growing.in_force(&entry.key));
        }
        Ok(())
    };
    runner.run(&lists, property).unwrap();
}

fn all_entries(table: &ConfigTable) -> impl Iterator<Item = ConfigEntry> {
    let page = table.snapshot(None);
    assert!(page.next.is_none());
    page.entries.into_iter()
}

/// Guards against an invalid contract that takes the customer out of service.
#[test]
fn invalid_value_keeps_the_previous_one_in_force() {
    let key = "config/contract/council";
    let entries = [
        entry(key, 5, "bad"),
        entry(key, 4, "good"),
        entry(key, 3, "other"),
    ];
    let table = table_of(&entries);
    assert_eq!(table.in_force(key), Some(&entries[1]));
    assert_eq!(table.latest(key), Some(&entries[0]));
    assert_eq!(
        table.invalid_entries().collect::<Vec<_>>(),
        [(&entries[0], "bad")]
    );
}

/// Guards against a repair at 6,800 entries that exceeds the control traffic budget of a node.
#[test]
fn repair_costs_bounded_bytes() {
    let text = "x".repeat(1_000);
    let all: Vec<_> = (1..=6_800)
        .map(|n| entry(&format!("k{n}"), n, &text))
        .collect();
    let full = table_of(&all);
    let mut incomplete = table_of(
        all.iter()
            .filter(|entry| entry.revision % 1_700 != 0 || entry.revision == 6_800),
    );
    let digest_bytes = serde_json::to_string(full.digest()).unwrap().len();
    let request = incomplete.delta_request(full.digest()).unwrap();
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
        incomplete.merge(entry, &validator);
    }
    assert_eq!(incomplete.digest().summary(), full.digest().summary());
    assert_eq!(incomplete.delta_request(full.digest()), None);
}

/// Guards against a size-limited delta that makes no progress, and against a page above the
/// message limit.
#[test]
fn new_node_catches_up_in_limited_messages() {
    let text = "x".repeat(400_000);
    let all: Vec<_> = (1..=9).map(|n| entry(&format!("k{n}"), n, &text)).collect();
    let full = table_of(&all);
    let mut copy = ConfigTable::default();
    let mut after = None;
    loop {
        let page = full.snapshot(after.as_deref());
        assert!(serde_json::to_string(&page).unwrap().len() < 1_000_000);
        page.entries
            .iter()
            .for_each(|entry| drop(copy.merge(entry.clone(), &validator)));
        after = page.next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(copy, full);
    let mut limited = ConfigTable::default();
    while let Some(request) = limited.delta_request(full.digest()) {
        for entry in full.delta(&request, 10).entries {
            limited.merge(entry, &validator);
        }
    }
    assert_eq!(limited, full);
    let large = entry("k1", 10, &"x".repeat(MAX_VALUE_BYTES + 1));
    assert!(matches!(
        limited.merge(large, &validator),
        MergeEffect::Invalid(_)
    ));
    assert_eq!(limited.in_force("k1").unwrap().revision, 1);
}
