//! Detection of slow servers from streamed answers with heavy-tailed sizes, hedge
//! budget and moves of streams.

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

/// Simulated servers that send a token per stream every 30 ms on average, and more
/// slowly with more streams than slots. Requests are placed at random.
struct SimulatedServers {
    slots: f64,
    detector: StragglerDetector,
    replicas: Vec<ModelReplicaKey>,
    /// Server, request in flight and tokens left of each stream.
    streams: Vec<(usize, Option<InFlightKey>, u32)>,
    rng: ChaCha8Rng,
    now: Moment,
}

impl SimulatedServers {
    fn new(servers: usize, streams: usize, seed: u64) -> Self {
        let mut detector = StragglerDetector::default();
        let model = ModelName::new("m").unwrap();
        let replicas = (0..servers).map(|_| detector.add_replica(&model, Moment(0)));
        Self {
            slots: 8.0,
            replicas: replicas.collect(),
            detector,
            streams: (0..servers * streams)
                .map(|n| (n % servers, None, 0))
                .collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment(0),
        }
    }

    /// Runs for `duration` and returns how long each server was ejected. `slowdown`
    /// gives the slowdown factor of a server, 0 for a stall.
    fn run(&mut self, duration: Duration, slowdown: impl Fn(usize) -> f64) -> Vec<Duration> {
        let mut ejected_time = vec![Duration::ZERO; self.replicas.len()];
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            let mut counts = vec![0.0_f64; self.replicas.len()];
            for (server, ..) in &self.streams {
                counts[*server] += 1.0;
            }
            for (server, request, tokens_left) in &mut self.streams {
                let Some(key) = *request else {
                    // Pareto sizes with shape 1.2: few requests are very long.
                    let size = 20.0 * self.rng.random_range(1e-4..1.0_f64).powf(-1.0 / 1.2);
                    *tokens_left = size as u32;
                    *server = self.rng.random_range(0..self.replicas.len());
                    let prompt = *tokens_left;
                    *request = self
                        .detector
                        .start(self.replicas[*server], prompt, self.now);
                    continue;
                };
                let token_probability = match slowdown(*server) {
                    0.0 => 0.0,
                    factor => 1.0 / (3.0 * factor * (counts[*server] / self.slots).max(1.0)),
                };
                if self.rng.random_bool(token_probability) {
                    self.detector.progress(key, 1, self.now);
                    *tokens_left = tokens_left.saturating_sub(1);
                }
                if *tokens_left == 0 {
                    self.detector.finish(key, self.now);
                    *request = None;
                }
            }
            if self.now.0 % 100_000 == 0 {
                self.detector.evaluate(self.now);
            }
            for (index, duration) in ejected_time.iter_mut().enumerate() {
                if matches!(self.state(index), ServerState::Ejected { .. }) {
                    *duration += TICK;
                }
            }
        }
        ejected_time
    }

    fn state(&self, index: usize) -> ServerState {
        self.detector.state(self.replicas[index], self.now)
    }
}

/// Guards against healthy servers that are ejected because a few requests are very
/// long. They may be ejected for less than 1% of the server time.
#[test]
fn healthy_servers_are_not_ejected() {
    for (seed, streams, slots) in [(1, 1, 8.0), (2, 4, 4.0), (3, 16, 8.0)] {
        let mut servers = SimulatedServers::new(10, streams, seed);
        servers.slots = slots;
        let ejected_time: Duration = servers.run(Duration::from_secs(120), |_| 1.0).iter().sum();
        assert!(
            ejected_time < Duration::from_secs(12),
            "{streams} streams: {ejected_time:?}"
        );
    }
}

/// Guards against a stall that is seen only when requests end, and against a server
/// that does not return after the stall.
#[test]
fn stalled_server_is_ejected_and_returns() {
    for streams in [2, 8] {
        let mut servers = SimulatedServers::new(10, streams, 4);
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

/// Guards against a server that sends no first token and is therefore never measured.
#[test]
fn missing_first_tokens_are_detected() {
    let mut servers = SimulatedServers::new(10, 4, 5);
    servers.run(Duration::from_secs(10), |_| 1.0);
    let idle = servers
        .detector
        .add_replica(&ModelName::new("m").unwrap(), servers.now);
    servers.detector.start(idle, 100, servers.now);
    servers.run(Duration::from_millis(1000), |_| 1.0);
    let state = servers.detector.state(idle, servers.now);
    assert!(matches!(state, ServerState::Ejected { .. }), "{state:?}");
}

/// Guards against overload of the remaining servers when many are slow: those above
/// the limit of ejections only get fewer requests.
#[test]
fn ejected_share_is_bounded() {
    let mut servers = SimulatedServers::new(10, 4, 6);
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

/// Guards against the ejection of a healthy engine whose streams are all slowed by the
/// prefill of long prompts.
#[test]
fn moderate_slowness_does_not_eject() {
    let mut servers = SimulatedServers::new(10, 4, 8);
    servers.run(Duration::from_secs(5), |_| 1.0);
    let slow = |server| if server == 1 { 2.8 } else { 1.0 };
    let ejected_time = servers.run(Duration::from_secs(5), slow);
    assert_eq!(ejected_time[1], Duration::ZERO);
    let state = servers.state(1);
    assert!(matches!(state, ServerState::Slow { .. }), "{state:?}");
}

/// Guards against slow servers that stay undetected in a small group because most of
/// the group is slow.
#[test]
fn two_slow_servers_of_three_are_detected() {
    let mut servers = SimulatedServers::new(3, 4, 9);
    servers.run(Duration::from_secs(5), |_| 1.0);
    let slow = |server| if server > 0 { 5.0 } else { 1.0 };
    servers.run(Duration::from_secs(3), slow);
    for server in [1, 2] {
        let state = servers.state(server);
        assert!(matches!(state, ServerState::Slow { .. }), "{state:?}");
    }
}

/// Guards against a slow server that stays unused because without requests it yields
/// no samples that show its recovery.
#[test]
fn slow_servers_without_requests_recover() {
    let mut servers = SimulatedServers::new(4, 4, 7);
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
    for (_, request, _) in &servers.streams {
        request.map(|key| servers.detector.finish(key, servers.now));
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

/// Guards against hedges of long or non-repeatable requests, and of more than 5% of
/// all requests: they would add load or repeat side effects.
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
        "old samples must be dropped: {delay:?}"
    );
}

/// Guards against moves of streams from servers that are only slowed by prefill; they
/// would use up the budget that slow servers need.
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
