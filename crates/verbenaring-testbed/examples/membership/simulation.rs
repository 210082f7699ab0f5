//! In-memory links on virtual time.

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

/// IPv4 and TCP headers with timestamps and the length prefix of a frame (56),
/// identifier and context of a `tarpc` call (40, estimated), and the frame of
/// its empty response (64, estimated).
const CALL_BYTES: u64 = 160;
const LOCAL_DELAY: Duration = Duration::from_micros(500);
const REMOTE_DELAY: Duration = Duration::from_millis(55);
const CENTRE_NODES: usize = 14;

/// Message and the index of its receiver.
pub type Sent<M> = (usize, M);

/// Address of a simulated node.
pub fn address_of(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], index as u16 + 1).into()
}

/// Node at a simulated address.
pub fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Nodes in data centres of about 14, five data centres in two regions.
pub struct Layout {
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of the run.
    pub seed: u64,
}

impl Layout {
    /// Number of data centres.
    pub fn centres(&self) -> usize {
        (self.nodes / CENTRE_NODES).max(1)
    }

    /// Data centre of a node.
    pub fn centre(&self, index: usize) -> usize {
        index * self.centres() / self.nodes
    }

    /// First node of a data centre.
    pub fn first_node(&self, centre: usize) -> usize {
        (centre * self.nodes).div_ceil(self.centres())
    }

    fn delay(&self, from: usize, to: usize) -> Duration {
        let region = |index| self.centre(index) * 2 / 5;
        if region(from) == region(to) {
            LOCAL_DELAY
        } else {
            REMOTE_DELAY
        }
    }
}

/// Protocol of one node.
pub trait Node {
    /// Wire message.
    type Message: Serialize + DeserializeOwned;
    /// Advances timeouts.
    fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Sent<Self::Message>>;
    /// Handles a message.
    fn receive(
        &mut self,
        now: Moment,
        from: usize,
        message: Self::Message,
        rng: &mut impl Rng,
    ) -> Vec<Sent<Self::Message>>;
    /// Puts a configuration revision in force.
    fn set_revision(&mut self, revision: u64);
    /// Configuration revision in force.
    fn revision(&self) -> u64;
    /// Whether the node regards another as removed.
    fn has_removed(&self, index: usize) -> bool;
    /// Nodes removed since the last call.
    fn take_removed(&mut self) -> Vec<usize>;
    /// A node of which this one notices the failure.
    fn watched(&self) -> usize;
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick,
    Deliver(usize, Bytes),
}

/// Traffic since the last reset.
#[derive(Default)]
pub struct Traffic {
    /// Messages sent.
    pub messages: u64,
    /// Bytes sent, framing included.
    pub bytes: u64,
    /// Bytes sent by each node.
    pub node_bytes: Vec<u64>,
    /// Time spent in protocol code and codec.
    pub busy: Duration,
}

/// Nodes, links and faults.
pub struct Simulation<N: Node> {
    /// Placement.
    pub layout: Layout,
    /// Virtual time.
    pub now: Moment,
    /// Nodes; none after a crash.
    pub nodes: Vec<Option<N>>,
    /// Share of messages lost.
    pub loss: f64,
    /// Links that lose every message.
    pub blocked: BTreeSet<(usize, usize)>,
    /// Paused node and the end of its pause.
    pub paused: Option<(usize, Moment)>,
    /// Removals as pairs of observer and subject.
    pub removed: BTreeSet<(usize, usize)>,
    /// Traffic since the last reset.
    pub traffic: Traffic,
    queue: BinaryHeap<Reverse<(Moment, u64, usize, Event)>>,
    order: u64,
    rng: ChaCha8Rng,
}

impl<N: Node> Simulation<N> {
    /// Nodes that start at random times within a second.
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
            loss: 0.0,
            blocked: BTreeSet::new(),
            paused: None,
            removed: BTreeSet::new(),
            traffic: Traffic::default(),
            queue: BinaryHeap::new(),
            order: 0,
            rng,
        };
        simulation.reset_traffic();
        for index in 0..count {
            let phase = simulation.rng.random_range(0..1_000_000);
            simulation.push(now + Duration::from_micros(phase), index, Event::Tick);
        }
        simulation
    }

    /// Starts a new measurement of traffic.
    pub fn reset_traffic(&mut self) {
        self.traffic = Traffic {
            node_bytes: vec![0; self.nodes.len()],
            ..Traffic::default()
        };
    }

    /// Runs for a time.
    pub fn run(&mut self, duration: Duration) {
        self.run_until(duration, |_| false);
    }

    /// Runs until a condition holds, checked every 100 ms; none at the limit.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            let step = self.now + TICK_PERIOD;
            while let Some(event) = self.pop(step) {
                self.handle(event);
            }
            self.now = step;
            if done(self) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    fn pop(&mut self, until: Moment) -> Option<(usize, Event)> {
        let Reverse((time, ..)) = self.queue.peek()?;
        if *time > until {
            return None;
        }
        let Reverse((time, _, index, event)) = self.queue.pop()?;
        self.now = time;
        Some((index, event))
    }

    fn push(&mut self, time: Moment, index: usize, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((time, self.order, index, event)));
    }

    fn handle(&mut self, (index, event): (usize, Event)) {
        if let Some((paused, end)) = self.paused
            && paused == index
            && self.now < end
        {
            self.push(end, index, event);
            return;
        }
        let Some(node) = &mut self.nodes[index] else {
            return;
        };
        let started = Instant::now();
        let is_tick = event == Event::Tick;
        let sent = match event {
            Event::Tick => node.tick(self.now, &mut self.rng),
            Event::Deliver(from, bytes) => {
                let message = decode(&bytes);
                node.receive(self.now, from, message, &mut self.rng)
            }
        };
        let encoded = |(to, message)| (to, encode(&message));
        let sent: Vec<(usize, Bytes)> = sent.into_iter().map(encoded).collect();
        self.traffic.busy += started.elapsed();
        for subject in node.take_removed() {
            self.removed.insert((index, subject));
        }
        if is_tick {
            self.push(self.now + TICK_PERIOD, index, Event::Tick);
        }
        for (to, bytes) in sent {
            self.send(index, to, bytes);
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Bytes) {
        let size = bytes.len() as u64 + CALL_BYTES;
        self.traffic.messages += 1;
        self.traffic.bytes += size;
        self.traffic.node_bytes[from] += size;
        let lost = self.loss > 0.0 && self.rng.random_bool(self.loss);
        if !lost && !self.blocked.contains(&(from, to)) {
            let arrival = self.now + self.layout.delay(from, to);
            self.push(arrival, to, Event::Deliver(from, bytes));
        }
    }
}

fn encode<M: Serialize>(message: &M) -> Bytes {
    let codec = std::pin::pin!(Bincode::<(), M>::default());
    let bytes = codec.serialize(message);
    bytes.expect("plain data")
}

fn decode<M: DeserializeOwned>(bytes: &Bytes) -> M {
    let codec = std::pin::pin!(Bincode::<M, ()>::default());
    let message = codec.deserialize(&BytesMut::from(&bytes[..]));
    message.expect("encoded by this program")
}
