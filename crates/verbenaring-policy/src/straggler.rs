//! Detection of backend servers that are slower than their peers.
//!
//! The detector follows streamed answers. The time that the requests of this node
//! spend streaming from a server, divided by the tokens they receive, gives the
//! time per token of the server. Time without a token counts too, so a stall is
//! seen before any request ends, and the size of the requests does not matter.
//!
//! A server that serves several models has one [`ModelReplicaKey`] per model. The
//! replicas of one model form a group and are compared with each other.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::hedge::FirstTokenLatency;
use crate::id::ModelName;
use crate::request::SHORT_TOKENS;
use crate::router::ServerState;
use crate::time::Moment;

pub use crate::straggler_settings::StragglerSettings;

new_key_type! {
    /// One model on one server.
    pub struct ModelReplicaKey;
    /// One request in flight at a replica.
    pub struct InFlightKey;
}

/// Load factors that a server passes through after an ejection, in this order.
const RETURN_LOAD_FACTORS: [f64; 3] = [8.0, 4.0, 2.0];
/// Progress events that a sample must span. With 6, random gaps between the tokens
/// of a single stream ejected healthy servers for up to 1.5% of the time.
const MIN_EVENTS_PER_SAMPLE: f64 = 8.0;
/// Usual gaps between progress events after which a window without any is a sample.
const MIN_SILENT_GAPS: f64 = 3.0;
/// Multiple of the p95 first-token latency after which a missing first token counts
/// as a sample that is slow enough for an ejection.
const FIRST_TOKEN_TIMEOUT_FACTOR: f64 = 3.0;
/// Upper bound of the load factor, so that a slow server still gets requests, which
/// give samples.
const MAX_LOAD_FACTOR: f64 = 16.0;
/// Largest slowdown that is attributed to having more streams than the peers.
///
/// Streams share the engine. Without this correction, random placement of 16
/// streams per server on 8 slots ejected healthy servers for 16% of their time.
/// Without the bound, the requests that pile up on a slow server would hide its
/// slowness.
const MAX_STREAM_RATIO: f64 = 3.0;
/// Peers with samples without which no comparison is made.
const MIN_PEERS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Health {
    Healthy,
    Slow { factor: f64, since: Moment },
    Ejected { since: Moment, next_probe: Moment },
    Returning { step: usize, since: Moment },
}

/// Progress of the streams of a replica since its last sample.
#[derive(Debug, Clone, Copy, Default)]
struct SampleWindow {
    start: Moment,
    streaming_s: f64,
    tokens: u32,
    events: u32,
}

#[derive(Debug)]
struct ModelReplica {
    group: usize,
    health: Health,
    s_per_token: Option<f64>,
    s_per_event: Option<f64>,
    mean_streams: Option<f64>,
    reported_requests: u32,
    window: SampleWindow,
    slow_streak: u32,
    eject_streak: u32,
    healthy_streak: u32,
    ejection_time: Duration,
    last_progress: Moment,
    last_ejected: Moment,
}

#[derive(Debug)]
struct InFlightRequest {
    replica: ModelReplicaKey,
    prompt_tokens: u32,
    started: Moment,
    accounted_until: Moment,
    streaming: bool,
}

/// State of the requests of a replica that still wait for their first token.
#[derive(Debug, Clone, Copy, Default)]
struct FirstTokenWait {
    overdue: bool,
    in_prefill: bool,
}

/// Detects slow servers by comparing the replicas of each model.
#[derive(Debug, Default)]
pub struct StragglerDetector {
    settings: StragglerSettings,
    groups: Vec<FirstTokenLatency>,
    group_of: HashMap<ModelName, usize>,
    replicas: SlotMap<ModelReplicaKey, ModelReplica>,
    in_flight: SlotMap<InFlightKey, InFlightRequest>,
    scratch: Vec<f64>,
}

impl StragglerDetector {
    /// Creates a detector without replicas.
    pub fn new(settings: StragglerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a server to the group of a model that it serves.
    pub fn add_replica(&mut self, model: &ModelName, now: Moment) -> ModelReplicaKey {
        let next = self.groups.len();
        let group = *self.group_of.entry(model.clone()).or_insert(next);
        if group == next {
            self.groups.push(FirstTokenLatency::default());
        }
        self.replicas.insert(ModelReplica {
            group,
            health: Health::Healthy,
            s_per_token: None,
            s_per_event: None,
            mean_streams: None,
            reported_requests: 0,
            window: SampleWindow {
                start: now,
                ..SampleWindow::default()
            },
            slow_streak: 0,
            eject_streak: 0,
            healthy_streak: 0,
            ejection_time: self.settings.initial_ejection,
            last_progress: now,
            last_ejected: now,
        })
    }

    /// Removes a replica and its requests in flight.
    pub fn remove_replica(&mut self, key: ModelReplicaKey) {
        self.replicas.remove(key);
        self.in_flight.retain(|_, request| request.replica != key);
    }

    /// Records the number of running requests from a load report.
    pub fn record_load(&mut self, key: ModelReplicaKey, running: u32) {
        if let Some(replica) = self.replicas.get_mut(key) {
            replica.reported_requests = running;
        }
    }

    /// Records a request sent to a replica; `None` if the replica was removed.
    pub fn start(
        &mut self,
        key: ModelReplicaKey,
        prompt_tokens: u32,
        now: Moment,
    ) -> Option<InFlightKey> {
        let replica = self.replicas.get_mut(key)?;
        if let Health::Ejected { next_probe, .. } = &mut replica.health {
            *next_probe = now + self.settings.probe_interval;
        }
        Some(self.in_flight.insert(InFlightRequest {
            replica: key,
            prompt_tokens,
            started: now,
            accounted_until: now,
            streaming: false,
        }))
    }

    /// Records tokens received for a request. The first call for a request measures
    /// its first-token latency.
    pub fn progress(&mut self, key: InFlightKey, tokens: u32, now: Moment) {
        let Some(request) = self.in_flight.get_mut(key) else {
            return;
        };
        let Some(replica) = self.replicas.get_mut(request.replica) else {
            return;
        };
        replica.last_progress = now;
        if request.streaming {
            replica.window.streaming_s += now.since(request.accounted_until).as_secs_f64();
            replica.window.tokens += tokens;
            replica.window.events += 1;
        } else {
            request.streaming = true;
            // Latencies of slow servers would delay the hedges that work around them.
            if replica.health == Health::Healthy {
                self.groups[replica.group].record(now.since(request.started));
            }
        }
        request.accounted_until = now;
    }

    /// Removes a request that has completed, failed or been cancelled.
    pub fn finish(&mut self, key: InFlightKey, now: Moment) {
        let Some(request) = self.in_flight.remove(key) else {
            return;
        };
        if let Some(replica) = self.replicas.get_mut(request.replica)
            && request.streaming
        {
            replica.window.streaming_s += now.since(request.accounted_until).as_secs_f64();
        }
    }

    /// Time without a first token after which a request is hedged; `None` while
    /// too few latencies are known.
    pub fn hedge_delay(&self, model: &ModelName) -> Option<Duration> {
        let group = *self.group_of.get(model)?;
        self.groups[group].hedge_delay()
    }

    /// Availability of a replica; [`ServerState::Leaving`] once it was removed.
    pub fn state(&self, key: ModelReplicaKey, now: Moment) -> ServerState {
        let Some(replica) = self.replicas.get(key) else {
            return ServerState::Leaving;
        };
        match replica.health {
            Health::Healthy => ServerState::Active,
            Health::Slow { factor, .. } => ServerState::Slow { factor },
            Health::Ejected { next_probe, .. } => ServerState::Ejected {
                probe_due: now >= next_probe,
            },
            Health::Returning { step, .. } => ServerState::Slow {
                factor: RETURN_LOAD_FACTORS[step],
            },
        }
    }

    /// Updates the health of all replicas; to be called about every
    /// [`StragglerSettings::min_window`].
    pub fn evaluate(&mut self, now: Moment) {
        let waits = self.account_in_flight(now);
        let keys: Vec<ModelReplicaKey> = self.replicas.keys().collect();
        for key in keys {
            let wait = waits.get(&key).copied().unwrap_or_default();
            if let Some(ratio) = self.take_sample(key, wait, now) {
                self.update_health(key, ratio, now);
            }
            self.apply_timeouts(key, now);
        }
    }

    /// Adds the streaming time up to now and collects the waits for first tokens.
    fn account_in_flight(&mut self, now: Moment) -> HashMap<ModelReplicaKey, FirstTokenWait> {
        let mut waits: HashMap<ModelReplicaKey, FirstTokenWait> = HashMap::new();
        for request in self.in_flight.values_mut() {
            let Some(replica) = self.replicas.get_mut(request.replica) else {
                continue;
            };
            if request.streaming {
                replica.window.streaming_s += now.since(request.accounted_until).as_secs_f64();
                request.accounted_until = now;
                continue;
            }
            let Some(usual) = self.groups[replica.group].hedge_delay() else {
                continue;
            };
            let size = f64::from(request.prompt_tokens) / f64::from(SHORT_TOKENS);
            let expected = usual.mul_f64(size.max(1.0));
            let allowed = expected.mul_f64(FIRST_TOKEN_TIMEOUT_FACTOR);
            let waiting_since = request.started.max(replica.last_progress);
            let waited = now.since(waiting_since);
            let wait = waits.entry(request.replica).or_default();
            wait.overdue |= waited > allowed;
            wait.in_prefill |= request.prompt_tokens > SHORT_TOKENS && waited <= usual;
        }
        waits
    }

    /// Ends the window of a replica if it is long enough for a sample, and returns
    /// the time per token relative to the median of the peers.
    fn take_sample(
        &mut self,
        key: ModelReplicaKey,
        wait: FirstTokenWait,
        now: Moment,
    ) -> Option<f64> {
        let peer_s_per_event = self.peer_median(key, |replica| replica.s_per_event);
        let peer_s_per_token = self.peer_median(key, |replica| replica.s_per_token);
        let peer_streams = self.peer_median(key, |replica| replica.mean_streams);
        let settings = self.settings;
        let replica = &mut self.replicas[key];
        let window = replica.window;
        if now.since(window.start) < settings.min_window {
            return None;
        }
        let spans_events = match peer_s_per_event {
            Some(usual) if window.events == 0 => window.streaming_s >= MIN_SILENT_GAPS * usual,
            Some(usual) => window.streaming_s >= MIN_EVENTS_PER_SAMPLE * usual,
            None => f64::from(window.events) >= MIN_EVENTS_PER_SAMPLE,
        };
        if !spans_events && !wait.overdue {
            return None;
        }
        if window.events == 0 && wait.in_prefill {
            // The prefill of a long prompt from this node may explain the pause. The
            // window continues; dropping it would hide the pauses of a slow server.
            return None;
        }
        replica.window = SampleWindow {
            start: now,
            ..SampleWindow::default()
        };
        if !spans_events {
            return Some(settings.eject_ratio);
        }
        let own_streams = window.streaming_s / now.since(window.start).as_secs_f64();
        let streams = own_streams.max(f64::from(replica.reported_requests));
        let stream_ratio = streams / peer_streams.unwrap_or(streams).max(1.0);
        let sample = window.streaming_s
            / f64::from(window.tokens.max(1))
            / stream_ratio.clamp(1.0, MAX_STREAM_RATIO);
        let gap = window.streaming_s / f64::from(window.events.max(1));
        let average = |old: Option<f64>, new: f64| {
            old.map_or(new, |old| old + settings.sample_weight * (new - old))
        };
        replica.mean_streams = Some(average(replica.mean_streams, streams));
        replica.s_per_token = Some(average(replica.s_per_token, sample));
        if window.events > 0 {
            replica.s_per_event = Some(average(replica.s_per_event, gap));
        }
        let measured = match replica.health {
            Health::Healthy => replica.s_per_token?,
            _ => sample,
        };
        let ratio = measured / peer_s_per_token?;
        // Prefill only lengthens the gaps; a window without any token is a stall.
        let stalled = window.events == 0;
        Some(if stalled {
            ratio.max(settings.eject_ratio)
        } else {
            ratio
        })
    }

    fn peer_median(
        &mut self,
        key: ModelReplicaKey,
        value: impl Fn(&ModelReplica) -> Option<f64>,
    ) -> Option<f64> {
        let group = self.replicas[key].group;
        let peers = self.replicas.iter().filter(|(other, replica)| {
            *other != key
                && replica.group == group
                && !matches!(replica.health, Health::Ejected { .. })
        });
        self.scratch.clear();
        self.scratch
            .extend(peers.filter_map(|(_, replica)| value(replica)));
        if self.scratch.len() < MIN_PEERS {
            return None;
        }
        // The lower median, because one of two peers may be slow as well.
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    fn update_health(&mut self, key: ModelReplicaKey, ratio: f64, now: Moment) {
        let settings = self.settings;
        let may_eject = self.may_eject(key);
        let usual = self.peer_median(key, |replica| replica.s_per_token);
        let replica = &mut self.replicas[key];
        replica.slow_streak = if ratio >= settings.slow_ratio {
            replica.slow_streak + 1
        } else {
            0
        };
        replica.eject_streak = if ratio >= settings.eject_ratio {
            replica.eject_streak + 1
        } else {
            0
        };
        replica.healthy_streak = if ratio < settings.recovered_ratio {
            replica.healthy_streak + 1
        } else {
            0
        };
        let slow = replica.slow_streak >= settings.consecutive_samples;
        let eject = replica.eject_streak >= settings.consecutive_samples && may_eject;
        let recovered = replica.healthy_streak >= settings.consecutive_samples;
        match replica.health {
            Health::Ejected { .. } if recovered => {
                replica.s_per_token = usual;
                replica.health = Health::Returning {
                    step: 0,
                    since: now,
                };
            }
            Health::Ejected { .. } => {}
            _ if eject => replica.eject(&settings, now),
            Health::Healthy | Health::Slow { .. } if slow => {
                // The average, because single samples vary with the prompts in prefill.
                let average = replica
                    .s_per_token
                    .zip(usual)
                    .map(|(own, usual)| own / usual);
                let factor = average.unwrap_or(ratio);
                let factor = factor.clamp(settings.slow_ratio, MAX_LOAD_FACTOR);
                replica.health = Health::Slow { factor, since: now };
            }
            Health::Slow { .. } if recovered => {
                replica.s_per_token = usual;
                replica.health = Health::Healthy;
            }
            _ => {}
        }
    }

    fn may_eject(&self, key: ModelReplicaKey) -> bool {
        let group = self.replicas[key].group;
        let peers = self
            .replicas
            .values()
            .filter(|replica| replica.group == group);
        let (count, ejected) = peers.fold((0, 0), |(count, ejected), replica| {
            let is_ejected = matches!(replica.health, Health::Ejected { .. });
            (count + 1, ejected + usize::from(is_ejected))
        });
        let allowed = (f64::from(count) * self.settings.max_ejected_share) as usize;
        ejected < allowed
    }

    /// Applies the changes of health that depend on time instead of samples.
    fn apply_timeouts(&mut self, key: ModelReplicaKey, now: Moment) {
        let settings = self.settings;
        let replica = &mut self.replicas[key];
        match replica.health {
            Health::Ejected { since, .. }
                if now.since(since) >= settings.unconfirmed_return.max(replica.ejection_time) =>
            {
                replica.health = Health::Returning {
                    step: 0,
                    since: now,
                };
                replica.s_per_token = None;
            }
            // A server without requests yields no samples that could show a recovery.
            Health::Slow { factor, since } if now.since(since) >= settings.unconfirmed_return => {
                let factor = factor / 2.0;
                replica.health = if factor >= settings.slow_ratio {
                    Health::Slow { factor, since: now }
                } else {
                    Health::Healthy
                };
                replica.s_per_token = None;
            }
            Health::Returning { step, since }
                if now.since(since) >= settings.return_step && replica.slow_streak == 0 =>
            {
                replica.health = if step + 1 < RETURN_LOAD_FACTORS.len() {
                    Health::Returning {
                        step: step + 1,
                        since: now,
                    }
                } else {
                    Health::Healthy
                };
            }
            Health::Healthy if replica.healthy_streak > 0 => replica.reset_ejection(&settings, now),
            _ => {}
        }
    }
}

impl ModelReplica {
    fn eject(&mut self, settings: &StragglerSettings, now: Moment) {
        self.health = Health::Ejected {
            since: now,
            next_probe: now + self.ejection_time,
        };
        self.ejection_time = (self.ejection_time * 2).min(settings.max_ejection);
        self.slow_streak = 0;
        self.eject_streak = 0;
        self.healthy_streak = 0;
        self.last_ejected = now;
    }

    fn reset_ejection(&mut self, settings: &StragglerSettings, now: Moment) {
        if now.since(self.last_ejected) >= settings.max_ejection * 2 {
            self.ejection_time = settings.initial_ejection;
        }
    }
}
