//! Detection of stragglers on streamed answers with heavy-tailed sizes.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::hedge::{FirstTokenLatency, HedgeBudget};
use verbenaring_policy::id::ModelName;
use verbenaring_policy::request::RequestClass;
use verbenaring_policy::router::ServerState;
use verbenaring_policy::straggler::{InFlightKey, ModelReplicaKey, StragglerDetector};
use verbenaring_policy::time::Moment;

const TICK: Duration = Duration::from_millis(10);

/// Servers that stream a token per stream every 30 ms on average, and slower
/// with more streams than slots. Requests are placed at random.
struct Streams {
    slots: f64,
    detector: StragglerDetector,
    members: Vec<ModelReplicaKey>,
    streams: Vec<(usize, Option<InFlightKey>, u32)>,
    rng: ChaCha8Rng,
    now: Moment,
}

impl Streams {
    fn new(servers: usize, streams: usize, seed: u64) -> Self {
        let mut detector = StragglerDetector::default();
        let model = ModelName::new("m").unwrap();
        let members = (0..servers).map(|_| detector.add_replica(&model, Moment(0)));
        Self {
            slots: 8.0,
            members: members.collect(),
            detector,
            streams: (0..servers * streams)
                .map(|n| (n % servers, None, 0))
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment(0),
        }
    }

    /// Runs for `time`; `slowdown` gives the factor per server, 0 for a stall.
    fn run(&mut self, time: Duration, slowdown: impl Fn(usize) -> f64) -> Vec<Duration> {
        let mut out = vec![Duration::ZERO; self.members.len()];
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + TICK;
            let mut counts = vec![0.0_f64; self.members.len()];
            for (server, ..) in &self.streams {
                counts[*server] += 1.0;
            }
            for (server, flight, left) in &mut self.streams {
                let Some(key) = *flight else {
                    // Pareto sizes with shape 1.2: few requests are very long.
                    let size = 20.0 * self.rng.random_range(1e-4..1.0_f64).powf(-1.0 / 1.2);
                    *left = size as u32;
                    *server = self.rng.random_range(0..self.members.len());
                    let prompt = *left;
                    *flight = self.detector.start(self.members[*server], prompt, self.now);
                    continue;
                };
                let chance = match slowdown(*server) {
                    0.0 => 0.0,
                    factor => 1.0 / (3.0 * factor * (counts[*server] / self.slots).max(1.0)),
                };
                if self.rng.random_bool(chance) {
                    self.detector.progress(key, 1, self.now);
                    *left = left.saturating_sub(1);
                }
                if *left == 0 {
                    self.detector.finish(key, self.now);
                    *flight = None;
                }
            }
            if self.now.0.is_multiple_of(100_000) {
                self.detector.evaluate(self.now);
            }
            for (index, time) in out.iter_mut().enumerate() {
                if matches!(self.state(index), ServerState::Ejected { .. }) {
                    *time += TICK;
                }
            }
        }
        out
    }

    fn state(&self, index: usize) -> ServerState {
        self.detector.state(self.members[index], self.now)
    }
}

/// Heavy-tailed sizes must not look like slowness: under 1% of server time ejected.
#[test]
fn healthy_servers_stay() {
    for (seed, streams, slots) in [(1, 1, 8.0), (2, 4, 4.0), (3, 16, 8.0)] {
        let mut servers = Streams::new(10, streams, seed);
        servers.slots = slots;
        let out: Duration = servers.run(Duration::from_secs(120), |_| 1.0).iter().sum();
        assert!(out < Duration::from_secs(12), "{streams} streams: {out:?}");
    }
}

/// A stall must be seen before any request ends, and the server must come back.
#[test]
fn stall_is_detected_and_ends() {
    for streams in [2, 8] {
        let mut servers = Streams::new(10, streams, 4);
        servers.run(Duration::from_secs(10), |_| 1.0);
        let stalled = |server| if server == 3 { 0.0 } else { 1.0 };
        servers.run(Duration::from_millis(400), stalled);
        assert!(
            matches!(servers.state(3), ServerState::Ejected { .. }),
            "{streams}"
        );
        servers.run(Duration::from_millis(600), |_| 1.0);
        assert!(
            matches!(servers.state(3), ServerState::Slow { .. }),
            "{streams}"
        );
        servers.run(Duration::from_secs(3), |_| 1.0);
        assert_eq!(servers.state(3), ServerState::Active, "{streams}");
    }
}

/// A stall before the first token must count too: no token has to arrive for detection.
#[test]
fn missing_first_tokens_are_evidence() {
    let mut servers = Streams::new(10, 4, 5);
    servers.run(Duration::from_secs(10), |_| 1.0);
    let idle = servers
        .detector
        .add_replica(&ModelName::new("m").unwrap(), servers.now);
    servers.detector.start(idle, 100, servers.now);
    servers.run(Duration::from_millis(1000), |_| 1.0);
    let state = servers.detector.state(idle, servers.now);
    assert!(matches!(state, ServerState::Ejected { .. }), "{state:?}");
}

/// Ejecting many slow servers would overload the rest; those over the limit only get less work.
#[test]
fn ejection_is_bounded() {
    let mut servers = Streams::new(10, 4, 6);
    servers.run(Duration::from_secs(5), |_| 1.0);
    servers.run(
        Duration::from_secs(5),
        |server| if server < 4 { 5.0 } else { 1.0 },
    );
    let states: Vec<_> = (0..10).map(|index| servers.state(index)).collect();
    let ejected = states
        .iter()
        .filter(|state| matches!(state, ServerState::Ejected { .. }));
    assert_eq!(ejected.count(), 2, "{states:?}");
    let slow = states
        .iter()
        .filter(|state| matches!(state, ServerState::Slow { .. }));
    assert_eq!(slow.count(), 2, "{states:?}");
}

/// Prefill of long prompts slows all streams of a healthy engine; it must not be ejected for it.
#[test]
fn moderate_slowness_does_not_eject() {
    let mut servers = Streams::new(10, 4, 8);
    servers.run(Duration::from_secs(5), |_| 1.0);
    let slow = |server| if server == 1 { 2.8 } else { 1.0 };
    let out = servers.run(Duration::from_secs(5), slow);
    assert_eq!(out[1], Duration::ZERO);
    let state = servers.state(1);
    assert!(matches!(state, ServerState::Slow { .. }), "{state:?}");
}

/// In a small group the second slow server must not hide behind the first.
#[test]
fn two_slow_servers_of_three_are_seen() {
    let mut servers = Streams::new(3, 4, 9);
    servers.run(Duration::from_secs(5), |_| 1.0);
    let slow = |server| if server > 0 { 5.0 } else { 1.0 };
    servers.run(Duration::from_secs(3), slow);
    for server in [1, 2] {
        let state = servers.state(server);
        assert!(matches!(state, ServerState::Slow { .. }), "{state:?}");
    }
}

/// A slow server that gets no requests must become active again, or it would stay unused.
#[test]
fn slow_servers_without_requests_recover() {
    let mut servers = Streams::new(4, 4, 7);
    servers.run(Duration::from_secs(5), |_| 1.0);
    servers.run(
        Duration::from_secs(3),
        |server| if server == 1 { 5.0 } else { 1.0 },
    );
    let state = servers.state(1);
    assert!(
        matches!(state, ServerState::Slow { .. }),
        "a group of 4 ejects none: {state:?}"
    );
    for (_, flight, _) in &servers.streams {
        flight.map(|key| servers.detector.finish(key, servers.now));
    }
    for second in 1..=40 {
        servers
            .detector
            .evaluate(servers.now + Duration::from_secs(second));
        if second == 9 {
            assert!(matches!(servers.state(1), ServerState::Slow { .. }));
        }
    }
    assert_eq!(servers.state(1), ServerState::Active);
}

/// Hedges of long or non-repeatable requests, or above 5%, would add load or repeat effects.
#[test]
fn hedges_are_limited() {
    let mut budget = HedgeBudget::default();
    let mut hedges = 0;
    for _ in 0..1000 {
        budget.record_request();
        assert!(!budget.try_hedge(RequestClass::Short, false));
        assert!(!budget.try_hedge(RequestClass::Long, true));
        hedges += u32::from(budget.try_hedge(RequestClass::Short, true));
    }
    assert!((48..=50).contains(&hedges), "{hedges}");
    let mut latency = FirstTokenLatency::default();
    for millis in 1..=19 {
        latency.record(Duration::from_millis(millis));
        assert_eq!(latency.hedge_delay(), None);
    }
    (20..=2000).for_each(|millis| latency.record(Duration::from_millis(millis)));
    let delay = latency.hedge_delay().unwrap();
    assert!(
        delay > Duration::from_millis(1800),
        "old samples must leave: {delay:?}"
    );
}

/// Moving streams of servers that only prefill would spend the budget that slow servers need.
#[test]
fn only_streams_of_very_slow_servers_move() {
    use verbenaring_policy::hedge::should_move_streams;
    assert!(should_move_streams(ServerState::Ejected {
        probe_due: false
    }));
    assert!(should_move_streams(ServerState::Slow { factor: 8.0 }));
    assert!(!should_move_streams(ServerState::Slow { factor: 4.8 }));
    assert!(!should_move_streams(ServerState::Active));
}
