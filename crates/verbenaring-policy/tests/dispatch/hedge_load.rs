//! Simulated region of plain servers whose slow calls are hedged.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::dispatch::build::BuildRule;
use verbenaring_policy::dispatch::call::ServiceSettings;
use verbenaring_policy::dispatch::hedge::{HedgeClass, HedgePlanner, HedgeRefusal, HedgeSettings};
use verbenaring_policy::dispatch::ownership::RegionView;
use verbenaring_policy::dispatch::pace::PaceLimits;
use verbenaring_policy::dispatch::place::PlacementRequest;
use verbenaring_policy::dispatch::server::{CallOutcome, InFlightCall, ServerEntry, ServerKey};
use verbenaring_policy::dispatch::settings::DispatchSettings;
use verbenaring_policy::dispatch::table::ServerTable;
use verbenaring_policy::id::ServiceName;
use verbenaring_policy::time::Moment;

use super::fixture::*;

/// Median time of a call at a sound server, in µs.
const CALL_US: f64 = 20_000.0;
/// Time limit of a call, in µs.
const DEADLINE_US: u64 = 3_000_000;
/// Time between two decisions about a call whose hedge is withheld, in µs.
const DECISION_INTERVAL_US: u64 = 50_000;
/// Calls that a server runs at a time; others wait.
pub const SLOTS: usize = 8;

pub fn plain_settings() -> ServiceSettings {
    ServiceSettings {
        max_connections: 100,
        cold: ms(3_000),
        cold_rate: 0.0,
        cache_tokens: None,
    }
}

/// Table with one plain server per name.
pub fn plain_table(servers: usize) -> ServerTable {
    let mut table = ServerTable::new(
        region("north"),
        PaceLimits::default(),
        DispatchSettings::default(),
    );
    for index in 0..servers {
        let entry = ServerEntry {
            models: Vec::new(),
            slots: SLOTS as u32,
            ..entry(&format!("i-{index}"), index as u64 + 1)
        };
        table.apply(entry, Duration::ZERO, at(0));
    }
    table
}

pub fn plain_request<'a>(
    service: &'a ServiceName,
    settings: &'a ServiceSettings,
    excluded: &'a [ServerKey],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service,
        settings,
        model: None,
        prompt: &[],
        answer_tokens: 0,
        rank: 0,
        residency: &[],
        builds: BuildRule::Any,
        excluded,
        through_peer: false,
        elapsed: Duration::ZERO,
        goal: ms(1_000),
        remaining: ms(3_000),
    }
}

/// Load of a region.
pub struct Load {
    pub servers: usize,
    pub seconds: u64,
    /// Calls a second at a time in µs.
    pub rate: fn(u64) -> f64,
    /// Factor on the time of a call at a server (by index) at a time in µs.
    pub factor: fn(usize, u64) -> f64,
    /// Part of the calls that take ten times as long, wherever they run.
    pub stragglers: f64,
    /// Server that never answers from 5 s on.
    pub hangs: Option<usize>,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            servers: 10,
            seconds: 60,
            rate: |_| 100.0,
            factor: |_, _| 1.0,
            stragglers: 0.0,
            hangs: None,
        }
    }
}

/// What became of the calls.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Times of the calls in ms, sorted; the time limit for those without an answer.
    times_ms: Vec<f64>,
    pub calls: usize,
    pub sent: usize,
    pub won: usize,
    pub unanswered: usize,
    pub withheld: BTreeMap<&'static str, usize>,
    /// Moments of the hedges, in µs.
    pub sent_us: Vec<u64>,
}

impl Outcome {
    pub fn percentile(&self, percent: f64) -> f64 {
        let index = (self.times_ms.len() as f64 * percent / 100.0) as usize;
        self.times_ms[index.min(self.times_ms.len() - 1)]
    }

    pub fn extra_share(&self) -> f64 {
        self.sent as f64 / self.calls as f64
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    HedgeDue(usize),
    /// End of an attempt of a call, by its index among the attempts.
    End(usize),
    Deadline(usize),
}

struct Attempt {
    call: usize,
    work: InFlightCall,
    server: usize,
    slot: usize,
    end_us: u64,
    is_hedge: bool,
    running: bool,
}

struct Simulation<'a> {
    load: &'a Load,
    table: ServerTable,
    planner: HedgePlanner,
    keys: Vec<ServerKey>,
    /// When each slot of each server is free.
    free_us: Vec<[u64; SLOTS]>,
    began_us: Vec<u64>,
    done: Vec<bool>,
    attempts: Vec<Attempt>,
    /// Attempts of each call, the first one first.
    by_call: Vec<Vec<usize>>,
    withheld: Vec<bool>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rng: ChaCha8Rng,
    outcome: Outcome,
}

fn moment(us: u64) -> Moment {
    Moment::default() + Duration::from_micros(us)
}

fn vms() -> RegionView {
    RegionView::of_live(1, &[1])
}

/// Plays a load with hedges as a share of the calls.
pub fn play(load: &Load, share: f64, seed: u64) -> Outcome {
    let table = plain_table(load.servers);
    let ids = (0..load.servers).map(|index| entry(&format!("i-{index}"), 1).id);
    let keys = ids.map(|id| table.key_of(&id).expect("known")).collect();
    let settings = HedgeSettings {
        share,
        ..HedgeSettings::default()
    };
    let mut simulation = Simulation {
        load,
        table,
        planner: HedgePlanner::new(settings),
        keys,
        free_us: vec![[0; SLOTS]; load.servers],
        began_us: Vec::new(),
        done: Vec::new(),
        attempts: Vec::new(),
        by_call: Vec::new(),
        withheld: Vec::new(),
        events: BinaryHeap::from([Reverse((0, Event::Arrival))]),
        rng: ChaCha8Rng::seed_from_u64(seed),
        outcome: Outcome::default(),
    };
    while let Some(Reverse((now, event))) = simulation.events.pop() {
        simulation.step(now, event);
    }
    let mut outcome = simulation.outcome;
    outcome.calls = simulation.began_us.len();
    outcome.times_ms.sort_by(f64::total_cmp);
    outcome
}

impl Simulation<'_> {
    fn step(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::HedgeDue(call) if !self.done[call] => self.hedge(call, now),
            Event::End(attempt) if self.attempts[attempt].running => self.end(attempt, now),
            Event::Deadline(call) if !self.done[call] => {
                self.outcome.unanswered += 1;
                self.finish(call, None, now);
            }
            _ => {}
        }
    }

    fn arrive(&mut self, now: u64) {
        let gap = -self.rng.random_range(f64::EPSILON..1.0).ln() / (self.load.rate)(now);
        let next = now + (gap * 1e6) as u64;
        if next < self.load.seconds * 1_000_000 {
            self.events.push(Reverse((next, Event::Arrival)));
        }
        let (service, settings) = (service("engine"), plain_settings());
        let request = plain_request(&service, &settings, &[]);
        let placed = self.table.place(&request, &vms(), moment(now));
        let Ok(placement) = placed else {
            return;
        };
        let call = self.began_us.len();
        self.began_us.push(now);
        self.done.push(false);
        self.by_call.push(Vec::new());
        self.withheld.push(false);
        let work = self.table.record_sent(&placement, &request, moment(now));
        self.run(call, work, false, now);
        let class = HedgeClass::of("route", &request);
        if let Some(delay) = self.planner.delay(&class) {
            let due = now + delay.as_micros() as u64;
            self.events.push(Reverse((due, Event::HedgeDue(call))));
        }
        let deadline = now + DEADLINE_US;
        self.events.push(Reverse((deadline, Event::Deadline(call))));
    }

    fn run(&mut self, call: usize, work: InFlightCall, is_hedge: bool, now: u64) {
        let mut keys = self.keys.iter();
        let server = keys.position(|key| *key == work.key).expect("listed");
        let slots = &self.free_us[server];
        let slot = (0..SLOTS).min_by_key(|slot| slots[*slot]).expect("slots");
        let begins = now.max(slots[slot]);
        let hangs = self.load.hangs == Some(server) && now >= 5_000_000;
        // Log-normal with a standard deviation of 0.3, from twelve uniform values.
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        let straggles = self.rng.random_bool(self.load.stragglers);
        let factor = (self.load.factor)(server, now) * if straggles { 10.0 } else { 1.0 };
        let time = CALL_US * (0.3 * normal).exp() * factor;
        let end_us = match hangs {
            true => begins + 2 * DEADLINE_US,
            false => begins + time as u64,
        };
        self.free_us[server][slot] = end_us;
        let attempt = self.attempts.len();
        self.events.push(Reverse((end_us, Event::End(attempt))));
        self.by_call[call].push(attempt);
        self.attempts.push(Attempt {
            call,
            work,
            server,
            slot,
            end_us,
            is_hedge,
            running: true,
        });
    }

    fn hedge(&mut self, call: usize, now: u64) {
        let (service, settings) = (service("engine"), plain_settings());
        let first = &self.attempts[self.by_call[call][0]];
        let excluded = [first.work.key];
        let request = plain_request(&service, &settings, &excluded);
        let placed = match self.planner.has_credit(&service) {
            true => self.table.place_hedge(&request, &vms(), moment(now)),
            false => Err(HedgeRefusal::Share),
        };
        match placed {
            Ok(placement) => {
                assert!(self.planner.try_take(&service));
                let work = self.table.record_sent(&placement, &request, moment(now));
                self.outcome.sent += 1;
                self.outcome.sent_us.push(now);
                self.run(call, work, true, now);
            }
            Err(reason) => {
                if !std::mem::replace(&mut self.withheld[call], true) {
                    *self.outcome.withheld.entry(reason.as_str()).or_default() += 1;
                }
                let next = now + DECISION_INTERVAL_US;
                self.events.push(Reverse((next, Event::HedgeDue(call))));
            }
        }
    }

    fn end(&mut self, attempt: usize, now: u64) {
        let Attempt { call, is_hedge, .. } = self.attempts[attempt];
        self.outcome.won += usize::from(is_hedge);
        self.finish(call, Some(attempt), now);
    }

    /// Ends a call; all its attempts but `winner` are cancelled.
    fn finish(&mut self, call: usize, winner: Option<usize>, now: u64) {
        self.done[call] = true;
        let time = now - self.began_us[call];
        self.outcome.times_ms.push(time as f64 / 1_000.0);
        let (service, settings) = (service("engine"), plain_settings());
        let class = HedgeClass::of("route", &plain_request(&service, &settings, &[]));
        let taken = Duration::from_micros(time);
        if winner.is_some() {
            self.planner.record_call(&service);
            self.planner.record_time(&class, taken, moment(now));
        }
        for index in self.by_call[call].clone() {
            let attempt = &mut self.attempts[index];
            attempt.running = false;
            let work = attempt.work;
            if Some(index) == winner {
                complete(&mut self.table, &work, moment(now));
                continue;
            }
            let slot = &mut self.free_us[attempt.server][attempt.slot];
            if *slot == attempt.end_us {
                *slot = now;
            }
            let end = CallOutcome::Abandoned;
            self.table.record_end(&work, false, end, moment(now));
            if winner.is_some() {
                self.table.record_cancelled(&work, true, moment(now));
            }
        }
    }
}
