//! Failure detection over in-memory links in virtual time.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::gossip::{Envelope, MAX_PAYLOAD_BYTES, MemberState, StartId};
use verbenaring_policy::id::{CentreName, VmId};
use verbenaring_policy::membership::{MemberSettings, MemberTable, TICK_PERIOD, VmListEntry};
use verbenaring_policy::rendezvous::rendezvous;
use verbenaring_policy::time::Moment;

const NODES: usize = 14;

fn vm(index: usize) -> VmId {
    VmId::new(&format!("vm-{index}")).unwrap()
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], index as u16 + 1).into()
}

fn table(index: usize, start: u64, now: Moment) -> MemberTable {
    let centre = CentreName::new("cork-1").unwrap();
    let settings = MemberSettings::new(centre, vm(index), address(index), StartId(start));
    let peers = vec![address(0), address(1)];
    MemberTable::new(MemberSettings { peers, ..settings }, now)
}

/// Nodes whose messages arrive one tick after they are sent.
struct Network {
    now: Moment,
    rng: ChaCha8Rng,
    /// `None` for a stopped process.
    nodes: Vec<Option<MemberTable>>,
    paused: BTreeSet<usize>,
    /// Sender and receiver of each link that drops all messages.
    blocked_links: BTreeSet<(usize, usize)>,
    loss_rate: f64,
    /// Observer and member of every transition to dead.
    declared_dead: BTreeSet<(usize, VmId)>,
    in_flight: Vec<(usize, Envelope)>,
}

impl Network {
    /// Network of `count` nodes whose tables all list each other as live.
    fn converged(count: usize, seed: u64) -> Self {
        let now = Moment(1_000_000);
        let nodes = (0..count).map(|index| Some(table(index, index as u64 * 1_000, now)));
        let mut network = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: nodes.collect(),
            paused: BTreeSet::new(),
            blocked_links: BTreeSet::new(),
            loss_rate: 0.0,
            declared_dead: BTreeSet::new(),
            in_flight: Vec::new(),
        };
        network.run(15);
        assert!(network.all_list_live(count));
        network
    }

    fn run(&mut self, seconds: u64) {
        let end = self.now + Duration::from_secs(seconds);
        while self.now < end {
            self.now = self.now + TICK_PERIOD;
            let mut sent = Vec::new();
            for (from, envelope) in std::mem::take(&mut self.in_flight) {
                let to = usize::from(envelope.to.port()) - 1;
                if self.paused.contains(&to) {
                    sent.push((from, envelope));
                } else if let Some(node) = self.nodes.get_mut(to).and_then(Option::as_mut) {
                    let replies = node.receive(self.now, envelope.message, &mut self.rng);
                    sent.extend(replies.into_iter().map(|reply| (to, reply)));
                }
            }
            for (index, node) in self.nodes.iter_mut().enumerate() {
                let Some(node) = node.as_mut().filter(|_| !self.paused.contains(&index)) else {
                    continue;
                };
                let probes = node.tick(self.now, &mut self.rng);
                sent.extend(probes.into_iter().map(|probe| (index, probe)));
                let events = node.take_events().into_iter();
                let dead = events.filter(|event| event.to == MemberState::Dead);
                self.declared_dead
                    .extend(dead.map(|event| (index, event.vm)));
            }
            assert!(sent.iter().all(|(_, sent)| sent.message.is_bounded()));
            sent.retain(|(from, envelope)| {
                let to = usize::from(envelope.to.port()) - 1;
                !self.blocked_links.contains(&(*from, to)) && !self.rng.random_bool(self.loss_rate)
            });
            self.in_flight = sent;
        }
    }

    fn node(&mut self, index: usize) -> &mut MemberTable {
        self.nodes[index].as_mut().unwrap()
    }

    fn all_list_live(&self, count: usize) -> bool {
        let mut running = self.nodes.iter().flatten();
        running.all(|node| node.live().count() == count)
    }

    fn partition(&mut self, left: impl Fn(usize) -> bool) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if left(from) != left(to) {
                    self.blocked_links.insert((from, to));
                }
            }
        }
    }
}

// Guards against a crash that some node does not suspect within 8 s and remove within 16 s.
#[test]
fn crash_is_detected_by_all_nodes() {
    let mut network = Network::converged(NODES, 1);
    network.nodes[5] = None;
    network.run(8);
    let state = |node: &MemberTable| node.member(&vm(5)).unwrap().update.state;
    let mut running = network.nodes.iter().flatten();
    assert!(running.all(|node| state(node) >= MemberState::Suspect));
    network.run(8);
    assert!(network.all_list_live(NODES - 1));
    assert_eq!(network.declared_dead.len(), NODES - 1);
}

// Guards against removal of healthy nodes when 5 % of the messages are lost.
#[test]
fn message_loss_removes_no_node() {
    let mut network = Network::converged(NODES, 2);
    network.loss_rate = 0.05;
    network.run(300);
    assert!(network.declared_dead.is_empty());
}

// Guards against removal of healthy nodes because of links that work in one direction
// only, or by the others because of a node that sends but cannot receive.
#[test]
fn one_way_links_remove_only_a_node_that_cannot_receive() {
    let mut network = Network::converged(NODES, 3);
    network.blocked_links.extend([(3, 4), (5, 6), (6, 7)]);
    network.run(120);
    assert!(network.declared_dead.is_empty());
    network
        .blocked_links
        .extend((0..NODES).map(|from| (from, 9)));
    network.run(60);
    let by_others = |(by, subject): &&(usize, VmId)| *by != 9 && *subject != vm(9);
    assert_eq!(network.declared_dead.iter().filter(by_others).count(), 0);
    network.blocked_links.clear();
    network.run(30);
    assert!(network.all_list_live(NODES));
}

// Guards against a process that declares all others dead after it was paused.
#[test]
fn paused_process_removes_no_other_node() {
    let mut network = Network::converged(NODES, 4);
    let before = network.node(2).own().incarnation;
    network.paused.insert(2);
    network.run(10);
    network.paused.clear();
    network.run(10);
    assert!(
        network
            .declared_dead
            .iter()
            .all(|(_, subject)| *subject == vm(2))
    );
    assert!(network.node(2).own().incarnation > before);
    assert!(network.all_list_live(NODES));
}

// Guards against a restarted process that is mistaken for its predecessor.
#[test]
fn restart_is_recognised() {
    let mut network = Network::converged(NODES, 5);
    let before = network.node(6).own().incarnation;
    let now = network.now;
    network.nodes[6] = Some(table(6, 77, now));
    network.run(10);
    assert!(network.all_list_live(NODES));
    assert!(network.node(6).own().incarnation > before);
    let record = network.node(0).member(&vm(6)).unwrap();
    assert_eq!(record.update.start, StartId(77));
}

// Guards against nodes that do not find each other after all of them restart, at
// once or after a downtime longer than the suspicion timeout.
#[test]
fn nodes_rejoin_after_all_of_them_restart() {
    for downtime_seconds in [0, 60] {
        let mut network = Network::converged(NODES, 6);
        network.nodes.fill(None);
        network.run(downtime_seconds);
        let now = network.now;
        for index in 0..NODES {
            network.nodes[index] = Some(table(index, 900 + index as u64, now));
        }
        network.run(15);
        assert!(network.all_list_live(NODES));
    }
}

// Guards against parts of a data centre that never merge again after a partition.
#[test]
fn partitions_merge_again() {
    let mut network = Network::converged(NODES, 7);
    network.partition(|index| index < 5);
    network.run(90);
    assert_eq!(network.node(0).live().count(), 5);
    assert_eq!(network.node(9).live().count(), 9);
    network.blocked_links.clear();
    network.run(20);
    assert!(network.all_list_live(NODES));
}

// Guards against an outdated VM list that removes a node that still answers, and
// against a listed node that is not contacted because no initial peer knows it.
#[test]
fn vm_list_adds_nodes_but_removes_none() {
    let mut network = Network::converged(4, 8);
    let entry = |index| VmListEntry {
        vm: vm(index),
        address: address(index),
        leaving: index == 2,
    };
    let now = network.now;
    let settings = MemberSettings::new(
        CentreName::new("cork-1").unwrap(),
        vm(4),
        address(4),
        StartId(4_000),
    );
    network.nodes.push(Some(MemberTable::new(settings, now)));
    let list = [entry(0), entry(2), entry(4)];
    network.node(0).apply_vm_list(&list);
    network.run(10);
    assert!(network.all_list_live(5));
    assert!(network.declared_dead.is_empty());
    network.nodes[3] = None;
    network.run(15);
    assert!(network.node(0).is_confirmed_gone(&vm(3)));
    assert!(!network.node(0).is_confirmed_gone(&vm(1)));
    assert!(!network.node(1).is_confirmed_gone(&vm(3)));
}

// Guards against a planned stop that is reported as a failure, or whose node stays live.
#[test]
fn leaving_node_is_not_live() {
    let mut network = Network::converged(NODES, 9);
    network.node(1).leave();
    network.run(5);
    assert!(network.all_list_live(NODES - 1));
    let record = network.node(0).member(&vm(1)).unwrap();
    assert_eq!(record.update.state, MemberState::Leaving);
}

// Guards against a node that stops before the others know and still receives calls.
#[test]
fn leave_reaches_all_members_within_a_second() {
    let mut network = Network::converged(NODES, 11);
    network.node(1).leave();
    network.run(1);
    assert!(network.all_list_live(NODES - 1));
}

// Guards against payloads that do not reach all nodes, or exceed the size limit.
#[test]
fn payloads_reach_all_nodes() {
    let mut network = Network::converged(NODES, 10);
    for round in 0..5_u8 {
        for index in 0..NODES {
            network.node(index).set_payload(vec![round; 60]).unwrap();
        }
        network.run(1);
    }
    network.run(5);
    let newest = |node: &MemberTable| node.payloads().filter(|item| item.content[0] == 4).count();
    let mut nodes = network.nodes.iter().flatten();
    assert!(nodes.all(|node| newest(node) == NODES));
    let large = vec![0; MAX_PAYLOAD_BYTES + 1];
    assert!(network.node(0).set_payload(large).is_err());
}

// Guards against messages that grow with the number of nodes, even if each
// node sends an empty payload. `Network::run` checks the bounds of each message.
#[test]
fn messages_stay_within_bounds() {
    let count = 20;
    let mut network = Network::converged(count, 12);
    for size in [0, MAX_PAYLOAD_BYTES] {
        for index in 0..count {
            network.node(index).set_payload(vec![0; size]).unwrap();
        }
        network.run(5);
    }
}

// Guards against a reused address that joins the tables of two data centres, and
// against messages above the size bounds.
#[test]
fn foreign_and_oversized_messages_are_ignored() {
    let mut network = Network::converged(2, 11);
    let now = network.now;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut unknown_node = table(7, 70, now);
    let mut message = unknown_node.tick(now, &mut rng).remove(0).message;
    message.centre = CentreName::new("galway-1").unwrap();
    assert!(
        network
            .node(0)
            .receive(now, message.clone(), &mut rng)
            .is_empty()
    );
    message.centre = CentreName::new("cork-1").unwrap();
    message.updates = vec![message.sender.clone(); 33];
    assert!(network.node(0).receive(now, message, &mut rng).is_empty());
    assert!(network.node(0).member(&vm(7)).is_none());
}

proptest! {
    // Guards against an assignment that moves keys between nodes that remain.
    #[test]
    fn rendezvous_moves_only_keys_of_the_lost_node(key in "[a-z]{1,12}", lost in 0..NODES) {
        let all: Vec<VmId> = (0..NODES).map(vm).collect();
        let rest = all.iter().filter(|node| **node != vm(lost));
        let before = rendezvous(&key, &all, NODES);
        let after = rendezvous(&key, rest, NODES);
        let expected: Vec<_> = before.into_iter().filter(|node| **node != vm(lost)).collect();
        prop_assert_eq!(after, expected);
    }
}
