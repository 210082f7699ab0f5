//! Detection of backend servers that are slower than their peers.
//!
//! The detector follows streamed answers. The time that own requests spend in
//! flight, divided by the tokens they receive, gives the time per token of a
//! server. Time without a token counts, so a stall is seen before any request
//! ends, and the size of a request does not matter.
//!
//! A server that serves several models has one member per model; members of
//! one model form a group.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::hedge::FirstTokenLatency;
use crate::id::ModelName;
use crate::request::SHORT_TOKENS;
use crate::router::ServerState;
use crate::time::Moment;

pub use crate::threshold::StragglerSettings;

new_key_type! {
    /// One server in the group of one model.
    pub struct ModelReplicaKey;
    /// One request in flight.
    pub struct InFlightKey;
}

/// Load factors of the return, in order.
const RETURN_FACTORS: [f64; 3] = [8.0, 4.0, 2.0];
/// Progress events that a sample should span. With 6, random gaps between the
/// tokens of a single stream ejected healthy servers for up to 1.5% of the time.
const EVENTS_PER_SAMPLE: f64 = 8.0;
/// Usual time between progress events after which silence is a sample.
const SILENT_EVENTS: f64 = 3.0;
/// Multiple of the p95 first-token latency after which silence is evidence.
const FIRST_TOKEN_SLACK: f64 = 3.0;
/// Upper bound of the load factor, so that a slow server is still sampled.
const MAX_FACTOR: f64 = 16.0;
/// Largest slowness explained by more streams than the peers have.
///
/// Streams share the engine: without this, random placement of 16 streams per
/// server on 8 slots ejected healthy servers for 16% of their time. Without a
/// bound, the requests that pile up on a slow server would explain its slowness.
const MAX_CROWDING: f64 = 3.0;
/// Peers with samples that a comparison needs.
const MIN_PEERS: usize = 2;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Health {
    Healthy,
    Slow { factor: f64, since: Moment },
    Ejected { since: Moment, next_probe: Moment },
    Returning { step: usize, since: Moment },
}

#[derive(Debug, Clone, Copy, Default)]
struct Window {
    start: Moment,
    busy_s: f64,
    tokens: u32,
    events: u32,
}

#[derive(Debug)]
struct Member {
    group: usize,
    health: Health,
    token_s: Option<f64>,
    event_s: Option<f64>,
    streams: Option<f64>,
    reported_requests: u32,
    window: Window,
    slow_streak: u32,
    eject_streak: u32,
    good_streak: u32,
    ejection: Duration,
    last_progress: Moment,
    last_ejected: Moment,
}

#[derive(Debug)]
struct Flight {
    member: ModelReplicaKey,
    prompt_tokens: u32,
    started: Moment,
    accounted: Moment,
    streaming: bool,
}

/// What the flights of a member show besides its window.
#[derive(Debug, Clone, Copy, Default)]
struct Silence {
    overdue: bool,
    in_prefill: bool,
}

/// Compares the servers of each model.
#[derive(Debug, Default)]
pub struct StragglerDetector {
    settings: StragglerSettings,
    groups: Vec<FirstTokenLatency>,
    group_of: HashMap<ModelName, usize>,
    members: SlotMap<ModelReplicaKey, Member>,
    flights: SlotMap<InFlightKey, Flight>,
    scratch: Vec<f64>,
}

impl StragglerDetector {
    /// Detector without servers.
    pub fn new(settings: StragglerSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Adds a server to the group of a model.
    pub fn add_replica(&mut self, model: &ModelName, now: Moment) -> ModelReplicaKey {
        let next = self.groups.len();
        let group = *self.group_of.entry(model.clone()).or_insert(next);
        if group == next {
            self.groups.push(FirstTokenLatency::default());
        }
        self.members.insert(Member {
            group,
            health: Health::Healthy,
            token_s: None,
            event_s: None,
            streams: None,
            reported_requests: 0,
            window: Window {
                start: now,
                ..Window::default()
            },
            slow_streak: 0,
            eject_streak: 0,
            good_streak: 0,
            ejection: self.settings.first_ejection,
            last_progress: now,
            last_ejected: now,
        })
    }

    /// Removes a server and its requests in flight.
    pub fn remove_replica(&mut self, key: ModelReplicaKey) {
        self.members.remove(key);
        self.flights.retain(|_, flight| flight.member != key);
    }

    /// Takes over the running requests from a load report.
    pub fn record_load(&mut self, key: ModelReplicaKey, running: u32) {
        if let Some(member) = self.members.get_mut(key) {
            member.reported_requests = running;
        }
    }

    /// Counts a request sent to a server; `None` if the server was removed.
    pub fn start(
        &mut self,
        key: ModelReplicaKey,
        prompt_tokens: u32,
        now: Moment,
    ) -> Option<InFlightKey> {
        let member = self.members.get_mut(key)?;
        if let Health::Ejected { next_probe, .. } = &mut member.health {
            *next_probe = now + self.settings.probe_interval;
        }
        Some(self.flights.insert(Flight {
            member: key,
            prompt_tokens,
            started: now,
            accounted: now,
            streaming: false,
        }))
    }

    /// Counts received tokens.
    pub fn progress(&mut self, key: InFlightKey, tokens: u32, now: Moment) {
        let Some(flight) = self.flights.get_mut(key) else {
            return;
        };
        let Some(member) = self.members.get_mut(flight.member) else {
            return;
        };
        member.last_progress = now;
        if flight.streaming {
            member.window.busy_s += now.since(flight.accounted).as_secs_f64();
            member.window.tokens += tokens;
            member.window.events += 1;
        } else {
            flight.streaming = true;
            // Stragglers would lengthen the delay of the hedges against them.
            if member.health == Health::Healthy {
                self.groups[member.group].record(now.since(flight.started));
            }
        }
        flight.accounted = now;
    }

    /// Removes a request that has ended, for whatever reason.
    pub fn finish(&mut self, key: InFlightKey, now: Moment) {
        let Some(flight) = self.flights.remove(key) else {
            return;
        };
        if let Some(member) = self.members.get_mut(flight.member)
            && flight.streaming
        {
            member.window.busy_s += now.since(flight.accounted).as_secs_f64();
        }
    }

    /// Time without a first token after which a request is hedged.
    pub fn hedge_delay(&self, model: &ModelName) -> Option<Duration> {
        let group = *self.group_of.get(model)?;
        self.groups[group].hedge_delay()
    }

    /// Availability of a server for the model of its group.
    pub fn state(&self, key: ModelReplicaKey, now: Moment) -> ServerState {
        let Some(member) = self.members.get(key) else {
            return ServerState::Leaving;
        };
        match member.health {
            Health::Healthy => ServerState::Active,
            Health::Slow { factor, .. } => ServerState::Slow { factor },
            Health::Ejected { next_probe, .. } => ServerState::Ejected {
                probe_due: now >= next_probe,
            },
            Health::Returning { step, .. } => ServerState::Slow {
                factor: RETURN_FACTORS[step],
            },
        }
    }

    /// Judges all servers; to be called about every [`StragglerSettings::window`].
    pub fn evaluate(&mut self, now: Moment) {
        let silences = self.account_flights(now);
        let keys: Vec<ModelReplicaKey> = self.members.keys().collect();
        for key in keys {
            let silence = silences.get(&key).copied().unwrap_or_default();
            if let Some(ratio) = self.close_window(key, silence, now) {
                self.judge(key, ratio, now);
            }
            self.advance(key, now);
        }
    }

    /// Adds the time in flight up to now and collects overdue first tokens.
    fn account_flights(&mut self, now: Moment) -> HashMap<ModelReplicaKey, Silence> {
        let mut silences: HashMap<ModelReplicaKey, Silence> = HashMap::new();
        for flight in self.flights.values_mut() {
            let Some(member) = self.members.get_mut(flight.member) else {
                continue;
            };
            if flight.streaming {
                member.window.busy_s += now.since(flight.accounted).as_secs_f64();
                flight.accounted = now;
                continue;
            }
            let Some(usual) = self.groups[member.group].hedge_delay() else {
                continue;
            };
            let size = f64::from(flight.prompt_tokens) / f64::from(SHORT_TOKENS);
            let expected = usual.mul_f64(size.max(1.0));
            let allowed = expected.mul_f64(FIRST_TOKEN_SLACK);
            let silent_since = flight.started.max(member.last_progress);
            let silent = now.since(silent_since);
            let silence = silences.entry(flight.member).or_default();
            silence.overdue |= silent > allowed;
            silence.in_prefill |= flight.prompt_tokens > SHORT_TOKENS && silent <= usual;
        }
        silences
    }

    /// Ends the sample of a member if it is long enough, and returns its
    /// average time per token relative to the peers.
    fn close_window(&mut self, key: ModelReplicaKey, silence: Silence, now: Moment) -> Option<f64> {
        let event_s = self.peer_median(key, |member| member.event_s);
        let token_s = self.peer_median(key, |member| member.token_s);
        let usual_streams = self.peer_median(key, |member| member.streams);
        let settings = self.settings;
        let member = &mut self.members[key];
        let window = member.window;
        if now.since(window.start) < settings.window {
            return None;
        }
        let spans_events = match event_s {
            Some(usual) if window.events == 0 => window.busy_s >= SILENT_EVENTS * usual,
            Some(usual) => window.busy_s >= EVENTS_PER_SAMPLE * usual,
            None => f64::from(window.events) >= EVENTS_PER_SAMPLE,
        };
        if !spans_events && !silence.overdue {
            return None;
        }
        if window.events == 0 && silence.in_prefill {
            // A long prompt of this node may explain the pause. The window goes
            // on, because without the pauses a slow server would look usual.
            return None;
        }
        member.window = Window {
            start: now,
            ..Window::default()
        };
        if !spans_events {
            return Some(settings.eject_ratio);
        }
        let own_streams = window.busy_s / now.since(window.start).as_secs_f64();
        let streams = own_streams.max(f64::from(member.reported_requests));
        let crowding = streams / usual_streams.unwrap_or(streams).max(1.0);
        let sample =
            window.busy_s / f64::from(window.tokens.max(1)) / crowding.clamp(1.0, MAX_CROWDING);
        let gap = window.busy_s / f64::from(window.events.max(1));
        let average = |old: Option<f64>, new: f64| {
            old.map_or(new, |old| old + settings.sample_weight * (new - old))
        };
        member.streams = Some(average(member.streams, streams));
        member.token_s = Some(average(member.token_s, sample));
        if window.events > 0 {
            member.event_s = Some(average(member.event_s, gap));
        }
        let judged = match member.health {
            Health::Healthy => member.token_s?,
            _ => sample,
        };
        let ratio = judged / token_s?;
        // Prefill lengthens the gaps between tokens but leaves no window without any.
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
        value: impl Fn(&Member) -> Option<f64>,
    ) -> Option<f64> {
        let group = self.members[key].group;
        let peers = self.members.iter().filter(|(other, member)| {
            *other != key
                && member.group == group
                && !matches!(member.health, Health::Ejected { .. })
        });
        self.scratch.clear();
        self.scratch
            .extend(peers.filter_map(|(_, member)| value(member)));
        if self.scratch.len() < MIN_PEERS {
            return None;
        }
        // The lower median: of two peers, one may be slow at the same time.
        let middle = (self.scratch.len() - 1) / 2;
        let (_, median, _) = self.scratch.select_nth_unstable_by(middle, f64::total_cmp);
        Some(*median)
    }

    fn judge(&mut self, key: ModelReplicaKey, ratio: f64, now: Moment) {
        let settings = self.settings;
        let may_eject = self.may_eject(key);
        let usual = self.peer_median(key, |member| member.token_s);
        let member = &mut self.members[key];
        member.slow_streak = if ratio >= settings.slow_ratio {
            member.slow_streak + 1
        } else {
            0
        };
        member.eject_streak = if ratio >= settings.eject_ratio {
            member.eject_streak + 1
        } else {
            0
        };
        member.good_streak = if ratio < settings.good_ratio {
            member.good_streak + 1
        } else {
            0
        };
        let slow = member.slow_streak >= settings.streak;
        let eject = member.eject_streak >= settings.streak && may_eject;
        let good = member.good_streak >= settings.streak;
        match member.health {
            Health::Ejected { .. } if good => {
                member.token_s = usual;
                member.health = Health::Returning {
                    step: 0,
                    since: now,
                };
            }
            Health::Ejected { .. } => {}
            _ if eject => member.eject(&settings, now),
            Health::Healthy | Health::Slow { .. } if slow => {
                // The average, because single samples vary with the prompts in prefill.
                let average = member.token_s.zip(usual).map(|(own, usual)| own / usual);
                let factor = average.unwrap_or(ratio);
                let factor = factor.clamp(settings.slow_ratio, MAX_FACTOR);
                member.health = Health::Slow { factor, since: now };
            }
            Health::Slow { .. } if good => {
                member.token_s = usual;
                member.health = Health::Healthy;
            }
            _ => {}
        }
    }

    fn may_eject(&self, key: ModelReplicaKey) -> bool {
        let group = self.members[key].group;
        let peers = self.members.values().filter(|member| member.group == group);
        let (count, ejected) = peers.fold((0, 0), |(count, ejected), member| {
            let out = matches!(member.health, Health::Ejected { .. });
            (count + 1, ejected + usize::from(out))
        });
        let allowed = (f64::from(count) * self.settings.ejected_share) as usize;
        ejected < allowed
    }

    /// Moves the return on as time passes.
    fn advance(&mut self, key: ModelReplicaKey, now: Moment) {
        let settings = self.settings;
        let member = &mut self.members[key];
        match member.health {
            Health::Ejected { since, .. }
                if now.since(since) >= settings.unproven_return.max(member.ejection) =>
            {
                member.health = Health::Returning {
                    step: 0,
                    since: now,
                };
                member.token_s = None;
            }
            // Without requests there is no sample that could show a recovery.
            Health::Slow { factor, since } if now.since(since) >= settings.unproven_return => {
                let factor = factor / 2.0;
                member.health = if factor >= settings.slow_ratio {
                    Health::Slow { factor, since: now }
                } else {
                    Health::Healthy
                };
                member.token_s = None;
            }
            Health::Returning { step, since }
                if now.since(since) >= settings.step && member.slow_streak == 0 =>
            {
                member.health = if step + 1 < RETURN_FACTORS.len() {
                    Health::Returning {
                        step: step + 1,
                        since: now,
                    }
                } else {
                    Health::Healthy
                };
            }
            Health::Healthy if member.good_streak > 0 => member.forgive(&settings, now),
            _ => {}
        }
    }
}

impl Member {
    fn eject(&mut self, settings: &StragglerSettings, now: Moment) {
        self.health = Health::Ejected {
            since: now,
            next_probe: now + self.ejection,
        };
        self.ejection = (self.ejection * 2).min(settings.longest_ejection);
        self.slow_streak = 0;
        self.eject_streak = 0;
        self.good_streak = 0;
        self.last_ejected = now;
    }

    fn forgive(&mut self, settings: &StragglerSettings, now: Moment) {
        if now.since(self.last_ejected) >= settings.longest_ejection * 2 {
            self.ejection = settings.first_ejection;
        }
    }
}
