//! Shares, priorities, size classes, queue limits and deadlines of the fair queue.

mod common;

use std::collections::BTreeMap;

use common::{customer, member};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};
use verbenaring_policy::contract::PriorityLevel;
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::request::{RequestClass, SizeEstimate};
use verbenaring_policy::scheduler::{DropReason, FairQueue, QueueRequest, QueueSettings};
use verbenaring_policy::time::Moment;

const START: Moment = Moment(0);
const NO_DEADLINE: Moment = Moment(i64::MAX);

fn queue(slots: usize, reserved: usize) -> FairQueue<&'static str> {
    FairQueue::new(QueueSettings {
        slots,
        reserved,
        ..QueueSettings::default()
    })
}

fn add_contract(queue: &mut FairQueue<&'static str>, name: &str, share: u32, level: PriorityLevel) {
    let owner = member(name.split('-').next().unwrap());
    queue.set_member(&owner, share);
    assert!(queue.set_contract(&customer(name), &owner, 1, level));
}

fn request(tokens: u32, latest_start: Moment) -> QueueRequest {
    let estimate = SizeEstimate {
        prompt_tokens: tokens,
        answer_tokens: 0,
    };
    QueueRequest {
        estimate,
        latest_start,
    }
}

fn push(queue: &mut FairQueue<&'static str>, name: &'static str, tokens: u32) {
    let request = request(tokens, NO_DEADLINE);
    queue.push(&customer(name), &request, name, START).unwrap();
}

/// Returns the tokens served per contract while each contract always has a request
/// waiting. `load` holds name, estimated tokens and actual tokens per contract.
fn serve_rounds(
    queue: &mut FairQueue<&'static str>,
    load: &[(&'static str, u32, u32)],
    rounds: usize,
) -> BTreeMap<&'static str, u32> {
    let mut served = BTreeMap::new();
    for (name, estimate, _) in load {
        push(queue, name, *estimate);
    }
    for _ in 0..rounds {
        let dispatch = queue.next(START).unwrap();
        let (name, estimate, actual) = load
            .iter()
            .find(|request| request.0 == dispatch.item)
            .unwrap();
        push(queue, name, *estimate);
        queue.finish(dispatch.key, *actual);
        *served.entry(*name).or_default() += actual;
    }
    served
}

/// Guards against a member that gets more than its share through more contracts,
/// higher priorities or estimates that are too low.
#[test]
fn members_are_served_by_share() {
    let mut queue = queue(1, 0);
    for name in ["greedy-a", "greedy-b", "greedy-c"] {
        add_contract(&mut queue, name, 2, PriorityLevel::Interactive);
    }
    add_contract(&mut queue, "modest-a", 1, PriorityLevel::Batch);
    let greedy = ["greedy-a", "greedy-b", "greedy-c"].map(|name| (name, 100, 400));
    let load = [&greedy[..], &[("modest-a", 200, 200)]].concat();
    let served = serve_rounds(&mut queue, &load, 4_000);
    let sum: u32 = greedy.iter().map(|(name, ..)| served[name]).sum();
    let ratio = f64::from(sum) / f64::from(served["modest-a"]);
    assert!((1.98..2.02).contains(&ratio), "ratio {ratio}");
}

/// Guards against a high priority that starves the other contracts of the member.
#[test]
fn priority_multiplies_the_weight() {
    let mut queue = queue(1, 0);
    add_contract(&mut queue, "a-batch", 1, PriorityLevel::Batch);
    add_contract(&mut queue, "a-person", 1, PriorityLevel::Interactive);
    let load = [("a-batch", 100, 100), ("a-person", 100, 100)];
    let served = serve_rounds(&mut queue, &load, 1_000);
    let ratio = f64::from(served["a-person"]) / f64::from(served["a-batch"]);
    assert!((3.9..4.1).contains(&ratio), "ratio {ratio}");
}

/// Guards against the share of an idle member that is wasted, accumulates as
/// credit, or is returned late.
#[test]
fn an_idle_share_is_lent_and_returns_at_the_next_dispatch() {
    let mut queue = queue(1, 0);
    add_contract(&mut queue, "busy-a", 1, PriorityLevel::Standard);
    add_contract(&mut queue, "idle-a", 1, PriorityLevel::Standard);
    let served = serve_rounds(&mut queue, &[("busy-a", 100, 100)], 500);
    assert_eq!(served["busy-a"], 50_000);
    for _ in 0..20 {
        push(&mut queue, "idle-a", 100);
        push(&mut queue, "busy-a", 100);
    }
    let serve_one = |_| {
        let dispatch = queue.next(START).unwrap();
        queue.finish(dispatch.key, 100);
        dispatch.item
    };
    let items: Vec<_> = (0..20).map(serve_one).collect();
    assert!(items[..2].contains(&"idle-a"), "{items:?}");
    let returned = items.iter().filter(|item| **item == "idle-a").count();
    assert!((10..=11).contains(&returned), "{items:?}");
}

/// Guards against a member that waits long afterwards because it has used slots
/// that nobody else could use.
#[test]
fn the_lead_of_a_member_is_bounded() {
    let mut queue = queue(2, 1);
    add_contract(&mut queue, "long-a", 1, PriorityLevel::Standard);
    add_contract(&mut queue, "short-a", 1, PriorityLevel::Standard);
    push(&mut queue, "long-a", 5_000);
    push(&mut queue, "long-a", 5_000);
    assert_eq!(queue.next(START).unwrap().item, "long-a");
    serve_rounds(&mut queue, &[("short-a", 500, 500)], 2_000);
    let load = [("long-a", 500, 500), ("short-a", 500, 500)];
    let served = serve_rounds(&mut queue, &load, 600);
    assert!(served["short-a"] > 500 * 100, "{served:?}");
}

/// Guards against a contract that is no longer served after another contract of
/// the same member has ended.
#[test]
fn other_contracts_are_served_after_one_has_ended() {
    let mut queue = queue(1, 0);
    add_contract(&mut queue, "a-ended", 1, PriorityLevel::Standard);
    add_contract(&mut queue, "a-other", 1, PriorityLevel::Standard);
    push(&mut queue, "a-ended", 100);
    push(&mut queue, "a-other", 100);
    queue.remove_contract(&customer("a-ended"));
    assert_eq!(queue.take_dropped()[0].reason, DropReason::ContractEnded);
    assert_eq!(queue.next(START).unwrap().item, "a-other");
}

/// Guards against short requests that wait for medium or long ones to end.
#[test]
fn short_requests_never_wait_for_long_ones() {
    let mut queue = queue(8, 4);
    add_contract(&mut queue, "a-a", 1, PriorityLevel::Standard);
    (0..10).for_each(|_| push(&mut queue, "a-a", 50_000));
    let longs: Vec<_> = std::iter::from_fn(|| queue.next(START)).collect();
    assert_eq!(longs.len(), 4);
    queue.finish(longs[0].key, 50_000);
    (0..10).for_each(|_| push(&mut queue, "a-a", 2_000));
    let classes: Vec<_> = std::iter::from_fn(|| queue.next(START))
        .map(|dispatch| dispatch.class)
        .collect();
    // One general slot is free, and half of the reserved slots are lent to medium
    // requests only.
    assert_eq!(classes.len(), 3);
    assert!(
        classes[1..]
            .iter()
            .all(|class| *class == RequestClass::Medium)
    );
    push(&mut queue, "a-a", 100);
    push(&mut queue, "a-a", 100);
    let shorts = [queue.next(START).unwrap(), queue.next(START).unwrap()];
    assert!(
        shorts
            .iter()
            .all(|request| request.class == RequestClass::Short)
    );
    assert!(queue.next(START).is_none());
}

/// Guards against long requests that are starved by short ones of the same
/// contract, and against short requests that lose their precedence if only one
/// waits at a time.
#[test]
fn long_requests_are_served_beside_short_ones() {
    let mut queue = queue(1, 0);
    add_contract(&mut queue, "a-a", 1, PriorityLevel::Standard);
    let mut positions = Vec::new();
    for tokens in [5_000, 5_000, 400] {
        push(&mut queue, "a-a", tokens);
    }
    for position in 0..300 {
        let dispatch = queue.next(START).unwrap();
        queue.finish(
            dispatch.key,
            if dispatch.class == RequestClass::Long {
                5_000
            } else {
                400
            },
        );
        match dispatch.class {
            RequestClass::Short => push(&mut queue, "a-a", 400),
            _ => positions.push(position),
        }
    }
    // One long request of 5,000 tokens per 16 × 5,000 tokens of short requests, which
    // are 200 short requests.
    assert!(matches!(positions[..], [_, 195..=205]), "{positions:?}");
}

/// Guards against reserved slots held by requests that turned out to be long, and
/// against servers overloaded by many such requests.
#[test]
fn outgrown_requests_free_their_reserved_slots() {
    let mut queue = queue(4, 2);
    add_contract(&mut queue, "a-a", 1, PriorityLevel::Standard);
    for _ in 0..20 {
        push(&mut queue, "a-a", 100);
    }
    let first: Vec<_> = std::iter::from_fn(|| queue.next(START)).collect();
    assert_eq!(first.len(), 4);
    assert_eq!(queue.progress(first[0].key, 90), None);
    assert_eq!(
        queue.progress(first[0].key, 600),
        Some(RequestClass::Medium)
    );
    assert_eq!(queue.progress(first[0].key, 700), None);
    let mut keys = vec![queue.next(START).unwrap().key];
    assert!(queue.next(START).is_none());
    keys.push(first[1].key);
    while let Some(key) = keys.pop() {
        queue.progress(key, 5_000);
        keys.extend(queue.next(START).map(|dispatch| dispatch.key));
    }
    assert_eq!(queue.running(), 6);
}

/// Guards against a member that fills the queue at the cost of the others.
#[test]
fn queues_are_bounded_per_member_and_contract() {
    let mut queue = FairQueue::new(QueueSettings {
        max_queued: 10,
        max_per_contract: 4,
        ..QueueSettings::default()
    });
    add_contract(&mut queue, "greedy-a", 4, PriorityLevel::Standard);
    add_contract(&mut queue, "greedy-b", 4, PriorityLevel::Standard);
    add_contract(&mut queue, "modest-a", 1, PriorityLevel::Standard);
    let request = request(1, Moment(10));
    let mut push_at = |name: &'static str, now| queue.push(&customer(name), &request, name, now);
    let mut reasons = Vec::new();
    for name in ["greedy-a", "greedy-b"] {
        reasons.extend((0..5).filter_map(|_| push_at(name, START).err()));
    }
    assert_eq!(reasons.len(), 2);
    assert_eq!(reasons[0].reason, DropReason::ContractFull);
    assert_eq!(reasons[1].reason, DropReason::ContractFull);
    assert_eq!(reasons[1].outcome(), RunOutcome::NotRun);
    assert!((0..2).all(|_| push_at("modest-a", START).is_ok()));
    let mut reason = |name, now| push_at(name, now).unwrap_err().reason;
    assert_eq!(reason("modest-a", START), DropReason::MemberFull);
    assert_eq!(reason("nobody", START), DropReason::UnknownContract);
    assert_eq!(reason("greedy-a", Moment(11)), DropReason::Late);
}

/// Guards against requests that are lost, sent twice or sent too late, and against
/// contracts that are not served after changes. Random operations on 6,800 contracts.
#[test]
fn every_request_is_sent_dropped_or_cancelled_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(17);
    let settings = QueueSettings {
        max_per_contract: 8,
        ..QueueSettings::default()
    };
    let mut queue: FairQueue<(u64, Moment)> = FairQueue::new(settings);
    let name = |number: u64| customer(&format!("customer-{number}"));
    let owner = |number: u64| member(&format!("member-{}", number % 12));
    for number in 0..6_800 {
        queue.set_member(&owner(number), 1 + (number % 12) as u32);
        assert!(queue.set_contract(&name(number), &owner(number), 1, PriorityLevel::Standard));
    }
    let (mut ended, mut accepted, mut running) = (Vec::new(), 0, Vec::new());
    let mut waiting = Vec::new();
    let mut now = START;
    for step in 0..60_000u64 {
        let random_bits = rng.next_u64();
        let contract = (random_bits >> 8) % 6_800 % (1 + (random_bits >> 32) % 6_800);
        match random_bits % 16 {
            0..=6 => {
                let latest_start = Moment(now.0 + (random_bits >> 40) as i64 % 4_000);
                let request = request(1 + (random_bits >> 20) as u32 % 9_000, latest_start);
                if let Ok(key) = queue.push(&name(contract), &request, (step, latest_start), now) {
                    accepted += 1;
                    waiting.push(key);
                }
            }
            7..=10 => {
                if let Some(dispatch) = queue.next(now) {
                    assert!(dispatch.item.1 >= now, "sent late");
                    ended.push(dispatch.item.0);
                    running.push(dispatch.key);
                }
            }
            11..=13 if !running.is_empty() => {
                let key = running.swap_remove(random_bits as usize / 16 % running.len());
                queue.progress(key, (random_bits >> 30) as u32 % 9_000);
                queue.finish(key, (random_bits >> 24) as u32 % 9_000);
            }
            14 if !waiting.is_empty() => {
                let key = waiting.swap_remove(random_bits as usize / 16 % waiting.len());
                ended.extend(queue.cancel(key).map(|item| item.0));
            }
            15 if random_bits % 5 == 0 => {
                queue.remove_contract(&name(contract));
                queue.set_contract(&name(contract), &owner(contract), 1, PriorityLevel::Batch);
            }
            _ => now = Moment(now.0 + 1),
        }
    }
    running.into_iter().for_each(|key| queue.finish(key, 10));
    while let Some(dispatch) = queue.next(now) {
        ended.push(dispatch.item.0);
        queue.finish(dispatch.key, 10);
    }
    ended.extend(queue.take_dropped().iter().map(|dropped| dropped.item.0));
    assert_eq!((queue.queued(), queue.running()), (0, 0));
    assert_eq!(ended.len(), accepted);
    ended.sort_unstable();
    ended.dedup();
    assert_eq!(ended.len(), accepted);
    assert!(accepted > 10_000, "{accepted}");
}
