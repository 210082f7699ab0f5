//! Failure detection over in-memory links on virtual time.

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
    nodes: Vec<Option<MemberTable>>,
    paused: BTreeSet<usize>,
    blocked: BTreeSet<(usize, usize)>,
    loss: f64,
    removed: BTreeSet<(usize, VmId)>,
    in_flight: Vec<(usize, Envelope)>,
}

impl Network {
    /// Network of `count` nodes that know each other.
    fn settled(count: usize, seed: u64) -> Self {
        let now = Moment(1_000_000);
        let nodes = (0..count).map(|index| Some(table(index, index as u64 * 1_000, now)));
        let mut network = Self {
            now,
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: nodes.collect(),
            paused: BTreeSet::new(),
            blocked: BTreeSet::new(),
            loss: 0.0,
            removed: BTreeSet::new(),
            in_flight: Vec::new(),
        };
        network.run(15);
        assert!(network.all_see(count));
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
                self.removed.extend(dead.map(|event| (index, event.vm)));
            }
            assert!(sent.iter().all(|(_, sent)| sent.message.is_bounded()));
            sent.retain(|(from, envelope)| {
                let to = usize::from(envelope.to.port()) - 1;
                !self.blocked.contains(&(*from, to)) && !self.rng.random_bool(self.loss)
            });
            self.in_flight = sent;
        }
    }

    fn node(&mut self, index: usize) -> &mut MemberTable {
        self.nodes[index].as_mut().unwrap()
    }

    fn all_see(&self, count: usize) -> bool {
        let mut running = self.nodes.iter().flatten();
        running.all(|node| node.live().count() == count)
    }

    fn partition(&mut self, left: impl Fn(usize) -> bool) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if left(from) != left(to) {
                    self.blocked.insert((from, to));
                }
            }
        }
    }
}

// Guards against crashes that some node never notices, or notices too late.
#[test]
fn crash_is_known_to_all() {
    let mut network = Network::settled(NODES, 1);
    network.nodes[5] = None;
    network.run(8);
    let state = |node: &MemberTable| node.member(&vm(5)).unwrap().update.state;
    let mut running = network.nodes.iter().flatten();
    assert!(running.all(|node| state(node) >= MemberState::Suspect));
    network.run(8);
    assert!(network.all_see(NODES - 1));
    assert_eq!(network.removed.len(), NODES - 1);
}

// Guards against removal of healthy nodes by lost messages.
#[test]
fn loss_removes_nobody() {
    let mut network = Network::settled(NODES, 2);
    network.loss = 0.05;
    network.run(300);
    assert!(network.removed.is_empty());
}

// Guards against removal of healthy nodes over links that work in one direction
// only, and by a node that sends but cannot receive.
#[test]
fn one_way_links_remove_only_the_deaf_node() {
    let mut network = Network::settled(NODES, 3);
    network.blocked.extend([(3, 4), (5, 6), (6, 7)]);
    network.run(120);
    assert!(network.removed.is_empty());
    network.blocked.extend((0..NODES).map(|from| (from, 9)));
    network.run(60);
    let foreign = |(by, subject): &&(usize, VmId)| *by != 9 && *subject != vm(9);
    assert_eq!(network.removed.iter().filter(foreign).count(), 0);
    network.blocked.clear();
    network.run(30);
    assert!(network.all_see(NODES));
}

// Guards against a process that wakes from a pause and accuses all others.
#[test]
fn paused_process_accuses_nobody() {
    let mut network = Network::settled(NODES, 4);
    let before = network.node(2).own().incarnation;
    network.paused.insert(2);
    network.run(10);
    network.paused.clear();
    network.run(10);
    assert!(network.removed.iter().all(|(_, subject)| *subject == vm(2)));
    assert!(network.node(2).own().incarnation > before);
    assert!(network.all_see(NODES));
}

// Guards against a restarted process that is taken for its predecessor.
#[test]
fn restart_is_recognised() {
    let mut network = Network::settled(NODES, 5);
    let before = network.node(6).own().incarnation;
    let now = network.now;
    network.nodes[6] = Some(table(6, 77, now));
    network.run(10);
    assert!(network.all_see(NODES));
    assert!(network.node(6).own().incarnation > before);
    let record = network.node(0).member(&vm(6)).unwrap();
    assert_eq!(record.update.start, StartId(77));
}

// Guards against nodes that do not find each other after all of them restart,
// and after all were lost for longer than the suspicion time.
#[test]
fn mass_restart_and_lost_centre_recover() {
    for lost_seconds in [0, 60] {
        let mut network = Network::settled(NODES, 6);
        network.nodes.fill(None);
        network.run(lost_seconds);
        let now = network.now;
        for index in 0..NODES {
            network.nodes[index] = Some(table(index, 900 + index as u64, now));
        }
        network.run(15);
        assert!(network.all_see(NODES));
    }
}

// Guards against halves of a data centre that never merge again.
#[test]
fn partition_heals() {
    let mut network = Network::settled(NODES, 7);
    network.partition(|index| index < 5);
    network.run(90);
    assert_eq!(network.node(0).live().count(), 5);
    assert_eq!(network.node(9).live().count(), 9);
    network.blocked.clear();
    network.run(20);
    assert!(network.all_see(NODES));
}

// Guards against a lagging VM list that removes a node that answers, or that
// fails to introduce a node that no initial peer knows.
#[test]
fn vm_list_is_a_hint() {
    let mut network = Network::settled(4, 8);
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
    assert!(network.all_see(5));
    assert!(network.removed.is_empty());
    network.nodes[3] = None;
    network.run(15);
    assert!(network.node(0).is_confirmed_gone(&vm(3)));
    assert!(!network.node(0).is_confirmed_gone(&vm(1)));
    assert!(!network.node(1).is_confirmed_gone(&vm(3)));
}

// Guards against a planned stop that is reported as a failure or kept as live.
#[test]
fn leaving_node_is_not_live() {
    let mut network = Network::settled(NODES, 9);
    network.node(1).leave();
    network.run(5);
    assert!(network.all_see(NODES - 1));
    let record = network.node(0).member(&vm(1)).unwrap();
    assert_eq!(record.update.state, MemberState::Leaving);
}

// Guards against a node that stops before its neighbours know, and is called meanwhile.
#[test]
fn leaving_node_tells_all_members_first() {
    let mut network = Network::settled(NODES, 11);
    network.node(1).leave();
    network.run(1);
    assert!(network.all_see(NODES - 1));
}

// Guards against payloads that do not reach all nodes or break the size bound.
#[test]
fn payloads_spread() {
    let mut network = Network::settled(NODES, 10);
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
// node supplies an empty payload. The network checks the bounds of each message.
#[test]
fn messages_stay_within_bounds() {
    let count = 20;
    let mut network = Network::settled(count, 12);
    for size in [0, MAX_PAYLOAD_BYTES] {
        for index in 0..count {
            network.node(index).set_payload(vec![0; size]).unwrap();
        }
        network.run(5);
    }
}

// Guards against a reused address that joins two data centres, and against
// messages above the bounds.
#[test]
fn foreign_and_oversized_messages_are_ignored() {
    let mut network = Network::settled(2, 11);
    let now = network.now;
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut stranger = table(7, 70, now);
    let mut message = stranger.tick(now, &mut rng).remove(0).message;
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
    // Guards against an assignment that moves keys between nodes that stay.
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
