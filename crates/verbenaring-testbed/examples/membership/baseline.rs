//! Baseline protocols: a full mesh of heartbeats, and a successor ring as in
//! Mejías, Grolaux and Van Roy, "Improving the Peer-to-Peer Ring for Building
//! Fault-Tolerant Grids". Both are minimal, and start with every node in place.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use verbenaring_policy::time::Moment;

use super::simulation::{Envelope, Layout, Node};
use super::{LOAD_BYTES, REFRESH_PERIOD};

/// Time without a message after which a node is removed. Equal to the probe period plus
/// the suspicion time of the product.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(6);
/// Length of the successor list of a ring node.
const SUCCESSOR_COUNT: usize = 4;
/// Number of pings in which a ring node announces a removal.
const REMOVAL_REPEATS: u8 = 3;

/// Heartbeat that carries the same content as a payload of the product.
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    vm: String,
    start: u64,
    incarnation: u64,
    revision: u64,
    load: Vec<u8>,
}

impl Heartbeat {
    fn new(index: usize, start: u64, revision: u64, rng: &mut impl Rng) -> Self {
        Self {
            vm: format!("vm-{index:03}"),
            start,
            incarnation: 1,
            revision,
            load: (0..LOAD_BYTES).map(|_| rng.random()).collect(),
        }
    }
}

/// Node that sends a heartbeat to every other node each second.
pub struct MeshNode {
    index: usize,
    start: u64,
    revision: u64,
    last_heard: Vec<Moment>,
    removed_nodes: BTreeSet<usize>,
    /// Removals that `take_removed` has not returned yet.
    unreported_removals: Vec<usize>,
    next_heartbeat: Moment,
}

impl MeshNode {
    /// Creates a node that knows all others.
    pub fn new(index: usize, layout: &Layout, start: u64, now: Moment) -> Self {
        Self {
            index,
            start,
            revision: 1,
            last_heard: vec![now; layout.nodes],
            removed_nodes: BTreeSet::new(),
            unreported_removals: Vec::new(),
            next_heartbeat: now,
        }
    }
}

impl Node for MeshNode {
    type Message = Heartbeat;

    fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Envelope<Heartbeat>> {
        for (index, last_heard) in self.last_heard.iter().enumerate() {
            let timed_out = index != self.index && now.since(*last_heard) >= FAILURE_TIMEOUT;
            if timed_out && self.removed_nodes.insert(index) {
                self.unreported_removals.push(index);
            }
        }
        if now < self.next_heartbeat {
            return Vec::new();
        }
        self.next_heartbeat = now + REFRESH_PERIOD;
        let others = (0..self.last_heard.len()).filter(|to| *to != self.index);
        others
            .map(|to| {
                let heartbeat = Heartbeat::new(self.index, self.start, self.revision, rng);
                (to, heartbeat)
            })
            .collect()
    }

    fn receive(
        &mut self,
        now: Moment,
        from: usize,
        heartbeat: Heartbeat,
        _: &mut impl Rng,
    ) -> Vec<Envelope<Heartbeat>> {
        self.last_heard[from] = now;
        self.removed_nodes.remove(&from);
        self.revision = self.revision.max(heartbeat.revision);
        Vec::new()
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn has_removed(&self, index: usize) -> bool {
        self.removed_nodes.contains(&index)
    }

    fn take_removed(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.unreported_removals)
    }

    fn monitored_node(&self) -> usize {
        self.index ^ 1
    }
}

/// Message between nodes of the ring.
#[derive(Serialize, Deserialize)]
pub enum RingMessage {
    /// Heartbeat to the successor, with the removed nodes that the sender announces. Each
    /// node announces them to its own successor.
    Ping(Heartbeat, Vec<usize>),
    /// Answer to a ping: the sender and its successors, for the successor list of the
    /// predecessor.
    Pong(Vec<usize>),
    /// Sent to the new first successor after the former one failed, with the failed node.
    Join(Vec<usize>),
}

/// Node that monitors its first successor. Removals and revisions pass from successor
/// to successor.
pub struct RingNode {
    index: usize,
    start: u64,
    revision: u64,
    predecessor: usize,
    successors: VecDeque<usize>,
    last_heard: Moment,
    removed_nodes: BTreeSet<usize>,
    /// Removed nodes, each with the number of pings that will still announce it.
    announcements: Vec<(usize, u8)>,
    /// Removals that `take_removed` has not returned yet.
    unreported_removals: Vec<usize>,
    next_heartbeat: Moment,
}

impl RingNode {
    /// Creates a node of a complete ring. The order is random, as with hashed identifiers.
    pub fn new(index: usize, layout: &Layout, start: u64, now: Moment) -> Self {
        let mut order: Vec<usize> = (0..layout.nodes).collect();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(layout.seed));
        let position = order.iter().position(|node| *node == index).unwrap_or(0);
        let node_at = |offset: usize| order[(position + offset) % order.len()];
        Self {
            index,
            start,
            revision: 1,
            predecessor: node_at(order.len() - 1),
            successors: (1..=SUCCESSOR_COUNT).map(node_at).collect(),
            last_heard: now,
            removed_nodes: BTreeSet::new(),
            announcements: Vec::new(),
            unreported_removals: Vec::new(),
            next_heartbeat: now,
        }
    }

    /// Removes a node and announces the removal at the next tick.
    fn remove_node(&mut self, index: usize) {
        if index != self.index && self.removed_nodes.insert(index) {
            self.unreported_removals.push(index);
            self.announcements.push((index, REMOVAL_REPEATS));
            self.next_heartbeat = Moment(0);
            self.successors.retain(|node| *node != index);
        }
    }

    fn announced_nodes(&self) -> Vec<usize> {
        self.announcements.iter().map(|(index, _)| *index).collect()
    }
}

impl Node for RingNode {
    type Message = RingMessage;

    fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Envelope<RingMessage>> {
        let mut messages = Vec::new();
        if now.since(self.last_heard) >= FAILURE_TIMEOUT
            && let Some(failed) = self.successors.front().copied()
        {
            self.remove_node(failed);
            self.last_heard = now;
            let successor = self.successors.front();
            messages.extend(successor.map(|to| (*to, RingMessage::Join(vec![failed]))));
        }
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + REFRESH_PERIOD;
            let heartbeat = Heartbeat::new(self.index, self.start, self.revision, rng);
            let ping = RingMessage::Ping(heartbeat, self.announced_nodes());
            for (_, repeats) in &mut self.announcements {
                *repeats -= 1;
            }
            self.announcements.retain(|(_, repeats)| *repeats > 0);
            messages.extend(self.successors.front().map(|to| (*to, ping)));
        }
        messages
    }

    fn receive(
        &mut self,
        now: Moment,
        from: usize,
        message: RingMessage,
        _: &mut impl Rng,
    ) -> Vec<Envelope<RingMessage>> {
        match message {
            RingMessage::Ping(heartbeat, removed) => {
                if heartbeat.revision > self.revision {
                    self.set_revision(heartbeat.revision);
                }
                for index in removed {
                    self.remove_node(index);
                }
                let own_list = std::iter::once(self.index).chain(self.successors.iter().copied());
                return vec![(
                    from,
                    RingMessage::Pong(own_list.take(SUCCESSOR_COUNT).collect()),
                )];
            }
            RingMessage::Pong(list) if self.successors.front() == Some(&from) => {
                self.last_heard = now;
                let live = list
                    .into_iter()
                    .filter(|node| !self.removed_nodes.contains(node));
                self.successors = live.collect();
            }
            RingMessage::Pong(_) => {}
            RingMessage::Join(removed) => {
                for index in removed {
                    self.remove_node(index);
                }
                self.predecessor = from;
            }
        }
        Vec::new()
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
        self.next_heartbeat = Moment(0);
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn has_removed(&self, index: usize) -> bool {
        self.removed_nodes.contains(&index)
    }

    fn take_removed(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.unreported_removals)
    }

    fn monitored_node(&self) -> usize {
        self.successors.front().copied().unwrap_or(self.predecessor)
    }
}
