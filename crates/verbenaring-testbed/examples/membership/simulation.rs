//! Simulation of nodes in virtual time, connected by in-memory links with delays
//! and faults.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_serde::{Deserializer, Serializer};
use verbenaring_policy::membership::TICK_PERIOD;
use verbenaring_policy::time::Moment;

/// Bytes that a message adds to its encoded size: IPv4 and TCP headers with
/// timestamps and the length prefix of a frame (56), identifier and context of a
/// `tarpc` call (40, estimated), and the frame of its empty response (64, estimated).
const CALL_BYTES: u64 = 160;
const SAME_REGION_DELAY: Duration = Duration::from_micros(500);
const OTHER_REGION_DELAY: Duration = Duration::from_millis(55);
const NODES_PER_CENTRE: usize = 14;

/// Index of the receiver, and the message for it.
pub type Envelope<M> = (usize, M);

/// Address that stands for the simulated node with this index.
pub fn address_of(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], index as u16 + 1).into()
}

/// Index of the node that a simulated address stands for.
pub fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Placement of the nodes: data centres of about 14 nodes. Every five data centres
/// span two regions.
pub struct Layout {
    /// Number of nodes in all data centres.
    pub nodes: usize,
    /// Seed of every random choice of the run.
    pub seed: u64,
}

impl Layout {
    /// Number of data centres.
    pub fn centres(&self) -> usize {
        (self.nodes / NODES_PER_CENTRE).max(1)
    }

    /// Index of the data centre of a node.
    pub fn centre(&self, index: usize) -> usize {
        index * self.centres() / self.nodes
    }

    /// Index of the first node of a data centre; its other nodes follow.
    pub fn first_node(&self, centre: usize) -> usize {
        (centre * self.nodes).div_ceil(self.centres())
    }

    /// One-way delay of a link.
    fn delay(&self, from: usize, to: usize) -> Duration {
        let region = |index| self.centre(index) * 2 / 5;
        if region(from) == region(to) {
            SAME_REGION_DELAY
        } else {
            OTHER_REGION_DELAY
        }
    }
}

/// Membership protocol of one node.
pub trait Node {
    /// Message that nodes exchange.
    type Message: Serialize + DeserializeOwned;
    /// Handles expired timers, every `TICK_PERIOD`. Returns the messages to send.
    fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Envelope<Self::Message>>;
    /// Handles a message of node `from`. Returns the messages to send.
    fn receive(
        &mut self,
        now: Moment,
        from: usize,
        message: Self::Message,
        rng: &mut impl Rng,
    ) -> Vec<Envelope<Self::Message>>;
    /// Puts a configuration revision in force, for the node to spread.
    fn set_revision(&mut self, revision: u64);
    /// Configuration revision that is in force at the node.
    fn revision(&self) -> u64;
    /// Whether the node has removed another one or does not know it.
    fn has_removed(&self, index: usize) -> bool;
    /// Takes the nodes that this one has removed since the last call.
    fn take_removed(&mut self) -> Vec<usize>;
    /// A node whose failure this one detects.
    fn monitored_node(&self) -> usize;
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Deliver(usize, Bytes),
}

/// Messages sent and time spent on them since the last reset.
#[derive(Default)]
pub struct Traffic {
    /// Number of messages sent, including lost ones.
    pub messages: u64,
    /// Bytes sent, with `CALL_BYTES` for each message.
    pub bytes: u64,
    /// Bytes sent by each node, by its index.
    pub node_bytes: Vec<u64>,
    /// Time spent in the protocol and in the codec. This is real, not virtual time.
    pub processing_time: Duration,
}

/// Nodes with their links, faults and event queue.
pub struct Simulation<N: Node> {
    /// Placement of the nodes.
    pub layout: Layout,
    /// Current virtual time.
    pub now: Moment,
    /// Nodes by index; `None` after a crash.
    pub nodes: Vec<Option<N>>,
    /// Probability that a message is lost.
    pub loss_probability: f64,
    /// Pairs of sender and receiver between which every message is lost.
    pub blocked_links: BTreeSet<(usize, usize)>,
    /// Paused node and the end of its pause. Its events are handled then.
    pub paused: Option<(usize, Moment)>,
    /// Pairs of nodes in which the first has removed the second.
    pub removals: BTreeSet<(usize, usize)>,
    /// Traffic since the last call of `reset_traffic`.
    pub traffic: Traffic,
    /// Time, sequence number and node of each event; the sequence number keeps events of
    /// the same time in the order in which they were scheduled.
    queue: BinaryHeap<Reverse<(Moment, u64, usize, Event)>>,
    last_sequence: u64,
    rng: ChaCha8Rng,
}

impl<N: Node> Simulation<N> {
    /// Creates the nodes. The first tick of each is at a random time within one second.
    pub fn new(layout: Layout, build: fn(usize, &Layout, u64, Moment) -> N) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(layout.seed);
        let now = Moment(1_000_000_000);
        let count = layout.nodes;
        let nodes = (0..count).map(|index| Some(build(index, &layout, rng.random(), now)));
        let nodes = nodes.collect();
        let mut simulation = Self {
            layout,
            now,
            nodes,
            loss_probability: 0.0,
            blocked_links: BTreeSet::new(),
            paused: None,
            removals: BTreeSet::new(),
            traffic: Traffic::default(),
            queue: BinaryHeap::new(),
            last_sequence: 0,
            rng,
        };
        simulation.reset_traffic();
        for index in 0..count {
            let offset_us = simulation.rng.random_range(0..1_000_000);
            simulation.schedule(now + Duration::from_micros(offset_us), index, Event::Tick);
        }
        simulation
    }

    /// Sets all traffic counters to zero.
    pub fn reset_traffic(&mut self) {
        self.traffic = Traffic {
            node_bytes: vec![0; self.nodes.len()],
            ..Traffic::default()
        };
    }

    /// Runs for `duration` of virtual time.
    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until `done` holds, which is checked every 100 ms. Returns the virtual time
    /// that this took, or `None` if `limit` was reached.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            let step = self.now + TICK_PERIOD;
            while let Some(event) = self.next_event(step) {
                self.handle(event);
            }
            self.now = step;
            if done(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    /// Takes the next event that is due at `until` or before, and advances the time to it.
    fn next_event(&mut self, until: Moment) -> Option<(usize, Event)> {
        let Reverse((time, ..)) = self.queue.peek()?;
        if *time > until {
            return None;
        }
        let Reverse((time, _, index, event)) = self.queue.pop()?;
        self.now = time;
        Some((index, event))
    }

    fn schedule(&mut self, time: Moment, index: usize, event: Event) {
        self.last_sequence += 1;
        self.queue
            .push(Reverse((time, self.last_sequence, index, event)));
    }

    fn handle(&mut self, (index, event): (usize, Event)) {
        if let Some((paused, end)) = self.paused
            && paused == index
            && self.now < end
        {
            self.schedule(end, index, event);
            return;
        }
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let started = Instant::now();
        let is_tick = event == Event::Tick;
        let messages = match event {
            Event::Tick => node.tick(self.now, &mut self.rng),
            Event::Deliver(from, bytes) => {
                let message = decode(&bytes);
                node.receive(self.now, from, message, &mut self.rng)
            }
        };
        let encode_one = |(to, message)| (to, encode(&message));
        let encoded: Vec<(usize, Bytes)> = messages.into_iter().map(encode_one).collect();
        self.traffic.processing_time += started.elapsed();
        for subject in node.take_removed() {
            self.removals.insert((index, subject));
        }
        if is_tick {
            self.schedule(self.now + TICK_PERIOD, index, Event::Tick);
        }
        for (to, bytes) in encoded {
            self.send(index, to, bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Bytes) {
        let size = bytes.len() as u64 + CALL_BYTES;
        self.traffic.messages += 1;
        self.traffic.bytes += size;
        self.traffic.node_bytes[from] += size;
        let lost = self.loss_probability > 0.0 && self.rng.random_bool(self.loss_probability);
        if !lost && !self.blocked_links.contains(&(from, to)) {
            let arrival = self.now + self.layout.delay(from, to);
            self.schedule(arrival, to, Event::Deliver(from, bytes));
        }
    }
}

fn encode<M: Serialize>(message: &M) -> Bytes {
    let codec = std::pin::pin!(Bincode::<(), M>::default());
    let bytes = codec.serialize(message);
    bytes.expect("plain data can be encoded")
}

fn decode<M: DeserializeOwned>(bytes: &Bytes) -> M {
    let codec = std::pin::pin!(Bincode::<M, ()>::default());
    let message = codec.deserialize(&BytesMut::from(&bytes[..]));
    message.expect("the message was encoded by this program")
}
