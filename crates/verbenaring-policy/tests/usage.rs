//! Tests of merging usage counters and of verifying statements.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{runner, vm};
use proptest::prelude::*;
use verbenaring_policy::id::{CentreName, CustomerId, DataCentre, Digest, MemberId, RegionName};
use verbenaring_policy::usage::{
    ChainError, ChainVerifier, MemberLines, StatementChain, UsageAccount, UsageCounters,
    UsageEntries, UsageStatement,
};

const NODES: usize = 4;
const SALT: [u8; 32] = [9; 32];

fn member(index: usize) -> MemberId {
    common::member(&format!("member-{index}"))
}

fn customer(index: usize) -> CustomerId {
    common::customer(&format!("customer-{index}"))
}

fn members() -> BTreeSet<MemberId> {
    (0..4).map(member).collect()
}

fn centre(name: &str) -> DataCentre {
    DataCentre {
        region: RegionName::new("cork").unwrap(),
        name: CentreName::new(name).unwrap(),
    }
}

fn account(node: usize, incarnation: u64) -> UsageAccount {
    UsageAccount::new(vm(&format!("vm-{node}")), incarnation)
}

fn tokens(amount: u64) -> UsageCounters {
    UsageCounters {
        requests: 1,
        answer_tokens: amount,
        ..UsageCounters::default()
    }
}

/// Guards against usage that is counted twice or lost when counters travel
/// over several paths, after a partition, after a restart, or when another node
/// issues the next statement.
#[test]
fn merged_and_stated_usage_is_what_was_recorded() {
    let step = (0u8..14, 0..NODES, 0usize..6, 1u64..100);
    runner(23)
        .run(&prop::collection::vec(step, 1..120), |steps| {
            let mut nodes: Vec<_> = (0..NODES).map(|node| account(node, 0)).collect();
            let mut chain = StatementChain::new(centre("c-1"));
            let mut verifier = ChainVerifier::new(centre("c-1"));
            let mut recorded: BTreeMap<MemberId, UsageCounters> = BTreeMap::new();
            let mut stated = recorded.clone();
            let mut state = |entries: &UsageEntries, epoch| {
                let (statement, lines) = chain.issue(entries, &members(), epoch, &SALT).unwrap();
                verifier.append(&statement).unwrap();
                for (member, usage) in &statement.members {
                    assert!(statement.matches_lines(member, &lines[member]));
                    let total = stated.entry(member.clone()).or_default();
                    *total = total.plus(&usage.total);
                }
                stated.clone()
            };
            for (index, (kind, node, number, amount)) in steps.into_iter().enumerate() {
                let (epoch, other) = (index as u64 / 10, number % NODES);
                match kind {
                    0..=5 => {
                        let (member, customer) = (member(number % 3), customer(number));
                        nodes[node].record(epoch, &member, &customer, &tokens(amount));
                        let total = recorded.entry(member).or_default();
                        *total = total.plus(&tokens(amount));
                    }
                    6..=8 => {
                        let changes = nodes[node].take_changes();
                        nodes[other].merge(&changes);
                        nodes[other].merge(&changes);
                    }
                    9..=11 => {
                        let entries = nodes[node].entries().clone();
                        nodes[other].merge(&entries);
                    }
                    12 => {
                        let before = nodes[node].entries().clone();
                        nodes[(node + 1) % NODES].merge(&before);
                        nodes[node] = account(node, 1 + index as u64);
                    }
                    _ if index % 10 == 9 => _ = state(nodes[node].entries(), epoch),
                    _ => {}
                }
            }
            let mut all = UsageEntries::default();
            nodes.iter().for_each(|node| all.merge(node.entries()));
            prop_assert_eq!(&all.totals_by_member(), &recorded);
            let mut stated = state(&all, 1_000);
            stated.retain(|_, total| *total != UsageCounters::default());
            prop_assert_eq!(stated, recorded);
            Ok(())
        })
        .unwrap();
}

/// Guards against a peer that brings back an epoch that was already removed.
#[test]
fn removed_epochs_are_not_merged_again() {
    let (mut node, mut peer) = (account(0, 0), account(1, 0));
    peer.record(1, &member(0), &customer(0), &tokens(5));
    node.merge(peer.entries());
    node.prune_before(2);
    node.merge(peer.entries());
    assert!(node.entries().is_empty());
    node.record(1, &member(0), &customer(0), &tokens(7));
    assert_eq!(node.entries().up_to(1), UsageEntries::default());
    assert_eq!(node.entries().totals_by_member()[&member(0)], tokens(7));
}

fn statements(count: u64) -> (Vec<UsageStatement>, Vec<BTreeMap<MemberId, MemberLines>>) {
    let mut node = account(0, 0);
    let mut chain = StatementChain::new(centre("c-1"));
    (0..count)
        .map(|epoch| {
            for number in 0..6 {
                let amount = tokens(epoch + 10 * number as u64);
                node.record(epoch, &member(number % 3), &customer(number), &amount);
            }
            let issued = chain.issue(node.entries(), &members(), epoch, &SALT);
            issued.unwrap()
        })
        .unzip()
}

/// Guards against a data centre that changes, hides, drops or reorders the usage of
/// a member, even the largest one, after a statement was published.
#[test]
fn a_changed_dropped_or_reordered_statement_is_detected() {
    let (good, _) = statements(5);
    let head = good[4].digest;
    let check =
        |chain: &[UsageStatement]| ChainVerifier::verify_chain(&centre("c-1"), chain, &head);
    assert_eq!(check(&good), Ok(()));
    assert_eq!(good[2].members.len(), 4);
    assert_eq!(
        good[2].largest_member().map(|(name, _)| name),
        Some(&member(2))
    );

    let mut changed = good.clone();
    let usage = changed[2].members.get_mut(&member(2)).unwrap();
    usage.total.answer_tokens -= 1;
    assert_eq!(
        check(&changed),
        Err(ChainError::DigestMismatch { epoch: 2 })
    );
    let mut hidden = good.clone();
    hidden[2].members.remove(&member(2));
    assert_eq!(check(&hidden), Err(ChainError::DigestMismatch { epoch: 2 }));

    let mut dropped = good.clone();
    dropped.remove(2);
    assert_eq!(check(&dropped), Err(ChainError::OutOfSequence { epoch: 3 }));
    let mut reordered = good.clone();
    reordered.swap(1, 2);
    assert_eq!(
        check(&reordered),
        Err(ChainError::OutOfSequence { epoch: 2 })
    );
    let repeated = [&good[..2], &good[1..]].concat();
    assert_eq!(
        check(&repeated),
        Err(ChainError::OutOfSequence { epoch: 1 })
    );
    assert_eq!(check(&good[..4]), Err(ChainError::WrongHead));
    let mut chain = StatementChain::new(centre("c-1"));
    let mut issue = |epoch| chain.issue(&UsageEntries::default(), &members(), epoch, &SALT);
    assert!(issue(7).is_ok());
    assert_eq!(
        issue(7).unwrap_err(),
        ChainError::OutOfSequence { epoch: 7 }
    );

    let other_centre = ChainVerifier::verify_chain(&centre("c-2"), &good, &head);
    assert_eq!(other_centre, Err(ChainError::WrongCentre { epoch: 0 }));
}

/// Guards against lines that do not add up to a member's published total, and
/// against customer names or lines in a statement that all members read.
#[test]
fn a_member_checks_its_own_lines() {
    let (good, lines) = statements(2);
    let own = &lines[1][&member(2)];
    assert!(good[1].matches_lines(&member(2), own));
    assert!(!good[0].matches_lines(&member(2), own));
    assert!(!good[1].matches_lines(&member(1), own));
    let mut fewer = own.clone();
    fewer.customers.remove(&customer(5));
    assert!(!good[1].matches_lines(&member(2), &fewer));
    let text = serde_json::to_string(&good[1]).unwrap();
    assert!(!text.contains("customer-"), "{text}");
    let resalted = MemberLines {
        salt: Digest([0; 32]),
        ..own.clone()
    };
    assert!(!good[1].matches_lines(&member(2), &resalted));
}

/// Guards against usage that two issuers of a chain state once each: an issuer
/// does not know which counters the other's statement contains.
#[test]
fn adopted_epochs_are_not_stated_again() {
    let mut account = account(0, 0);
    let mut first = StatementChain::new(centre("c-1"));
    let mut second = first.clone();
    account.record(4, &member(0), &customer(0), &tokens(5));
    let (statement, _) = first
        .issue(account.entries(), &members(), 4, &SALT)
        .unwrap();
    second.adopt(&statement).unwrap();
    assert!(second.adopt(&statement).is_err());
    assert_eq!(second.epoch(), Some(4));

    account.record(5, &member(0), &customer(0), &tokens(7));
    let (next, _) = second
        .issue(account.entries(), &members(), 5, &SALT)
        .unwrap();
    assert_eq!(next.members[&member(0)].total.answer_tokens, 7);
    first.adopt(&next).unwrap();
    let (last, _) = first
        .issue(account.entries(), &members(), 6, &SALT)
        .unwrap();
    assert_eq!(last.members[&member(0)].total.answer_tokens, 0);
}
