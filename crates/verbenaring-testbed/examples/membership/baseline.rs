//! Baselines: full mesh of heartbeats, and a successor ring as in Mejías,
//! Grolaux and Van Roy, "Improving the Peer-to-Peer Ring for Building
//! Fault-Tolerant Grids". Both are small and settled from the start.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use verbenaring_policy::time::Moment;

use super::simulation::{Layout, Node, Sent};
use super::{LOAD_BYTES, REFRESH_PERIOD};

/// Silence after which a node is removed: probe period and suspicion time of the product.
const SILENCE: Duration = Duration::from_secs(6);
const SUCCESSORS: usize = 4;
const NEWS_REPEATS: u8 = 3;

/// Heartbeat with the same content as the product's payload.
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
pub struct Mesh {
    index: usize,
    start: u64,
    revision: u64,
    heard: Vec<Moment>,
    gone: BTreeSet<usize>,
    removed: Vec<usize>,
    next: Moment,
}

impl Mesh {
    /// Node that knows all others.
    pub fn new(index: usize, layout: &Layout, start: u64, now: Moment) -> Self {
        Self {
            index,
            start,
            revision: 1,
            heard: vec![now; layout.nodes],
            gone: BTreeSet::new(),
            removed: Vec::new(),
            next: now,
        }
    }
}

impl Node for Mesh {
    type Message = Heartbeat;

    fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Sent<Heartbeat>> {
        for (index, heard) in self.heard.iter().enumerate() {
            let silent = index != self.index && now.since(*heard) >= SILENCE;
            if silent && self.gone.insert(index) {
                self.removed.push(index);
            }
        }
        if now < self.next {
            return Vec::new();
        }
        self.next = now + REFRESH_PERIOD;
        let others = (0..self.heard.len()).filter(|to| *to != self.index);
        others
            .map(|to| {
                let beat = Heartbeat::new(self.index, self.start, self.revision, rng);
                (to, beat)
            })
            .collect()
    }

    fn receive(
        &mut self,
        now: Moment,
        from: usize,
        beat: Heartbeat,
        _: &mut impl Rng,
    ) -> Vec<Sent<Heartbeat>> {
        self.heard[from] = now;
        self.gone.remove(&from);
        self.revision = self.revision.max(beat.revision);
        Vec::new()
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn has_removed(&self, index: usize) -> bool {
        self.gone.contains(&index)
    }

    fn take_removed(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.removed)
    }

    fn watched(&self) -> usize {
        self.index ^ 1
    }
}

/// Message on the ring.
#[derive(Serialize, Deserialize)]
pub enum RingMessage {
    /// To the successor, with news that travels around the ring.
    Ping(Heartbeat, Vec<usize>),
    /// To the predecessor, with the successor list.
    Pong(Vec<usize>),
    /// To the next successor after the loss of the former one.
    Join(Vec<usize>),
}

/// Node that watches its successor; news passes from successor to successor.
pub struct Ring {
    index: usize,
    start: u64,
    revision: u64,
    predecessor: usize,
    successors: VecDeque<usize>,
    heard: Moment,
    gone: BTreeSet<usize>,
    news: Vec<(usize, u8)>,
    removed: Vec<usize>,
    next: Moment,
}

impl Ring {
    /// Node of a settled ring in random order, as hashed identifiers give.
    pub fn new(index: usize, layout: &Layout, start: u64, now: Moment) -> Self {
        let mut order: Vec<usize> = (0..layout.nodes).collect();
        order.shuffle(&mut ChaCha8Rng::seed_from_u64(layout.seed));
        let position = order.iter().position(|node| *node == index).unwrap_or(0);
        let at = |offset: usize| order[(position + offset) % order.len()];
        Self {
            index,
            start,
            revision: 1,
            predecessor: at(order.len() - 1),
            successors: (1..=SUCCESSORS).map(at).collect(),
            heard: now,
            gone: BTreeSet::new(),
            news: Vec::new(),
            removed: Vec::new(),
            next: now,
        }
    }

    fn learn(&mut self, index: usize) {
        if index != self.index && self.gone.insert(index) {
            self.removed.push(index);
            self.news.push((index, NEWS_REPEATS));
            self.next = Moment(0);
            self.successors.retain(|node| *node != index);
        }
    }

    fn gone_list(&self) -> Vec<usize> {
        self.news.iter().map(|(index, _)| *index).collect()
    }
}

impl Node for Ring {
    type Message = RingMessage;

    fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Sent<RingMessage>> {
        let mut sent = Vec::new();
        if now.since(self.heard) >= SILENCE
            && let Some(lost) = self.successors.front().copied()
        {
            self.learn(lost);
            self.heard = now;
            let join = self.successors.front();
            sent.extend(join.map(|next| (*next, RingMessage::Join(vec![lost]))));
        }
        if now >= self.next {
            self.next = now + REFRESH_PERIOD;
            let beat = Heartbeat::new(self.index, self.start, self.revision, rng);
            let ping = RingMessage::Ping(beat, self.gone_list());
            for (_, repeats) in &mut self.news {
                *repeats -= 1;
            }
            self.news.retain(|(_, repeats)| *repeats > 0);
            sent.extend(self.successors.front().map(|next| (*next, ping)));
        }
        sent
    }

    fn receive(
        &mut self,
        now: Moment,
        from: usize,
        message: RingMessage,
        _: &mut impl Rng,
    ) -> Vec<Sent<RingMessage>> {
        match message {
            RingMessage::Ping(beat, gone) => {
                if beat.revision > self.revision {
                    self.set_revision(beat.revision);
                }
                for index in gone {
                    self.learn(index);
                }
                let list = std::iter::once(self.index).chain(self.successors.iter().copied());
                return vec![(from, RingMessage::Pong(list.take(SUCCESSORS).collect()))];
            }
            RingMessage::Pong(list) if self.successors.front() == Some(&from) => {
                self.heard = now;
                let known = list.into_iter().filter(|node| !self.gone.contains(node));
                self.successors = known.collect();
            }
            RingMessage::Pong(_) => {}
            RingMessage::Join(gone) => {
                for index in gone {
                    self.learn(index);
                }
                self.predecessor = from;
            }
        }
        Vec::new()
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
        self.next = Moment(0);
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn has_removed(&self, index: usize) -> bool {
        self.gone.contains(&index)
    }

    fn take_removed(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.removed)
    }

    fn watched(&self) -> usize {
        self.successors.front().copied().unwrap_or(self.predecessor)
    }
}
