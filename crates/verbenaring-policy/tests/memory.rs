//! Tests of the memory account of client requests.

use std::sync::Arc;

use proptest::prelude::*;
use verbenaring_policy::memory::{MemoryAccount, MemoryHold};

/// Bytes of the account.
const TOTAL: usize = 28 * 1024 * 1024;

#[derive(Debug, Clone)]
enum Step {
    Hold {
        bytes: usize,
        size: usize,
    },
    Grow {
        index: usize,
        more: usize,
        size: usize,
    },
    Split {
        index: usize,
        bytes: usize,
    },
    Release {
        index: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let bytes = prop_oneof![0..20_000_usize, 0..200_000_usize, 0..8_000_000_usize];
    let size = prop_oneof![0..20_000_usize, 0..200_000_usize, 0..8_000_000_usize];
    let step = prop_oneof![
        (bytes.clone(), size.clone()).prop_map(|(bytes, size)| Step::Hold { bytes, size }),
        (any::<usize>(), bytes.clone(), size).prop_map(|(index, more, size)| Step::Grow {
            index,
            more,
            size
        }),
        (any::<usize>(), bytes).prop_map(|(index, bytes)| Step::Split { index, bytes }),
        any::<usize>().prop_map(|index| Step::Release { index }),
    ];
    prop::collection::vec(step, 0..200)
}

fn held(holds: &[MemoryHold]) -> usize {
    holds.iter().map(MemoryHold::bytes).sum()
}

proptest! {
    /// Guards against bytes that are held twice or never released, in any order of endings.
    #[test]
    fn what_is_held_is_released(steps in steps()) {
        let account = MemoryAccount::new(TOTAL);
        let mut holds: Vec<MemoryHold> = Vec::new();
        for step in steps {
            let count = holds.len().max(1);
            match step {
                Step::Hold { bytes, size } => {
                    let room = account.held() + bytes <= account.limit(size);
                    let hold = account.try_hold(bytes, size);
                    prop_assert_eq!(hold.is_some(), room);
                    holds.extend(hold);
                }
                Step::Grow { index, more, size } => {
                    let room = account.held() + more <= account.limit(size);
                    if let Some(hold) = holds.get_mut(index % count) {
                        prop_assert_eq!(hold.try_grow(more, size), room);
                    }
                }
                Step::Split { index, bytes } => {
                    let part = holds.get_mut(index % count).map(|hold| hold.split(bytes));
                    holds.extend(part);
                }
                Step::Release { index } if !holds.is_empty() => {
                    holds.swap_remove(index % count);
                }
                Step::Release { .. } => {}
            }
            prop_assert_eq!(account.held(), held(&holds));
            prop_assert!(account.held() <= account.total());
        }
        holds.clear();
        prop_assert_eq!(account.held(), 0);
    }
}

/// Guards against large and unfinished bodies that take the room of small calls.
#[test]
fn small_calls_keep_room_beside_large_ones() {
    let account = MemoryAccount::new(TOTAL);
    let fill = |size: usize| -> Vec<MemoryHold> {
        std::iter::from_fn(|| account.try_hold(size, size)).collect()
    };
    let large = fill(4 * 1024 * 1024);
    assert_eq!(large.len(), 3);
    let medium = fill(100 * 1024);
    let small = fill(14 * 1024);
    assert!(small.len() >= 400, "{} small calls", small.len());
    drop((large, medium, small));
    assert_eq!(account.held(), 0);
}

/// Guards against an account that counts wrongly when threads share it.
#[test]
fn threads_share_an_account() {
    let account = MemoryAccount::new(TOTAL);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            let account: &Arc<MemoryAccount> = &account;
            scope.spawn(move || {
                for round in 0..1_000 {
                    let _held = account.try_hold(1_000 * (round % 50), 1_000);
                }
            });
        }
    });
    assert_eq!(account.held(), 0);
}
