//! Second attempts of calls that take longer than comparable ones.
//!
//! Load pattern: a few calls take many times as long as the others, because one server is
//! slow, hangs or stands still, while the other servers have room. A second attempt at one
//! of them answers sooner. Where all servers are slow or a burst has filled them, it would
//! only add to the load, so hedges are withheld while the service is short of capacity, and
//! are at most a share of the calls at any time.
//!
//! The delay is taken from the times of this VM's own calls. It is the quantile that as many
//! calls exceed as the share allows hedges, so that the hedges go to the slowest calls.

use std::collections::HashMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::ownership::RegionView;
use super::place::{Placement, PlacementRequest};
use super::server::{InFlightCall, ServerKey, ServerRecord};
use super::table::ServerTable;
use crate::id::ServiceName;
use crate::time::Moment;

/// Hedges that the budget of a service holds at most while none is needed.
const MAX_CREDIT: f64 = 3.0;
/// Bounds of the quantile after which calls are hedged. Below the lower one, hedges would
/// go to calls that are about to be answered.
const QUANTILE_BOUNDS: (f64, f64) = (0.9, 0.99);
/// Least delay as a multiple of the median. A call that has waited for less has most of
/// the time of a second attempt behind it.
const MIN_MEDIANS: f64 = 1.5;
/// Calls that must have been answered before others are compared with them.
const MIN_SAMPLES: u64 = 50;
/// Calls of one window; times are taken from the current window and the one before it.
const WINDOW_SAMPLES: u64 = 500;
/// Age from which a window with [`MIN_SAMPLES`] ends, so that a delay follows a change.
const WINDOW_TIME: Duration = Duration::from_secs(10);
/// Largest recorded time; longer ones count as this.
const MAX_TIME_US: u64 = 60_000_000;
/// Classes of comparable calls that are kept, at about 4 KB each.
const MAX_CLASSES: usize = 64;
/// Time without calls after which a class is dropped.
const CLASS_TTL: Duration = Duration::from_secs(120);
/// Fraction of the slots of a service's servers from which they are short of capacity.
const MAX_LOAD: f64 = 0.7;

/// Settings of hedged calls.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HedgeSettings {
    /// Hedges as a share of the calls of a service that may be hedged; 0 turns them off.
    pub share: f64,
    /// Least time after which a call is hedged, in ms.
    pub min_delay_ms: u64,
}

impl Default for HedgeSettings {
    fn default() -> Self {
        Self {
            share: 0.0,
            min_delay_ms: 5,
        }
    }
}

impl HedgeSettings {
    /// Whether calls are hedged at all.
    pub fn is_on(&self) -> bool {
        self.share > 0.0
    }

    fn quantile(&self) -> f64 {
        (1.0 - self.share).clamp(QUANTILE_BOUNDS.0, QUANTILE_BOUNDS.1)
    }
}

/// Why a call that takes long is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeRefusal {
    /// The share of the service's calls is used up.
    Share,
    /// The retry budget is used up.
    RetryBudget,
    /// The servers of the service are short of capacity.
    Capacity,
    /// The servers of the service are brittle.
    Brittle,
    /// The other servers are cold.
    Cold,
    /// No other server is eligible, or none answers before the deadline.
    NoServer,
    /// The call is suspected to crash servers.
    Suspect,
}

impl HedgeRefusal {
    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Share => "share",
            Self::RetryBudget => "retry_budget",
            Self::Capacity => "capacity",
            Self::Brittle => "brittle",
            Self::Cold => "cold",
            Self::NoServer => "no_server",
            Self::Suspect => "suspect",
        }
    }
}

/// Calls whose times are comparable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct HedgeClass {
    service: ServiceName,
    route: String,
    /// Binary logarithm of the tokens of prompt and answer; 0 for plain calls.
    size: u32,
}

impl HedgeClass {
    /// Class of a call of the route named `route`.
    pub fn of(route: &str, request: &PlacementRequest<'_>) -> Self {
        let tokens = match request.settings.cache_tokens {
            None => 0,
            Some(_) => request
                .prompt_tokens()
                .saturating_add(request.answer_tokens),
        };
        Self {
            service: request.service.clone(),
            route: route.to_owned(),
            size: tokens.checked_ilog2().unwrap_or_default(),
        }
    }

    /// Service that runs the calls.
    pub fn service(&self) -> &ServiceName {
        &self.service
    }
}

/// Distribution of the recent times of comparable calls.
#[derive(Debug, Clone)]
struct AnswerTimes {
    current: Histogram<u32>,
    /// The current window and the one before it.
    merged: Histogram<u32>,
    window_began: Moment,
    recorded_at: Moment,
}

impl AnswerTimes {
    fn new(now: Moment) -> Self {
        // One significant digit resolves 6%, far below the spread of times.
        let histogram = Histogram::new_with_bounds(1, MAX_TIME_US, 1)
            .expect("bounds and digits are within the supported range");
        Self {
            current: histogram.clone(),
            merged: histogram,
            window_began: now,
            recorded_at: now,
        }
    }

    fn record(&mut self, time: Duration, now: Moment) {
        let is_full = self.current.len() >= WINDOW_SAMPLES;
        let is_old = now.since(self.window_began) >= WINDOW_TIME;
        if is_full || (is_old && self.current.len() >= MIN_SAMPLES) {
            self.merged = self.current.clone();
            self.current.reset();
            self.window_began = now;
        }
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.current.saturating_record(micros);
        self.merged.saturating_record(micros);
        self.recorded_at = now;
    }

    fn delay(&self, settings: &HedgeSettings) -> Option<Duration> {
        if self.merged.len() < MIN_SAMPLES {
            return None;
        }
        let time_at = |quantile| Duration::from_micros(self.merged.value_at_quantile(quantile));
        let delay = time_at(settings.quantile()).max(time_at(0.5).mul_f64(MIN_MEDIANS));
        Some(delay.max(Duration::from_millis(settings.min_delay_ms)))
    }
}

/// Budgets and delays of the hedges of one VM.
///
/// Each VM hedges a share of its own calls and begins without credit, so that the hedges of
/// all VMs and of all their processes stay within the share of all calls.
#[derive(Debug, Default)]
pub struct HedgePlanner {
    settings: HedgeSettings,
    credits: HashMap<ServiceName, f64>,
    classes: HashMap<HedgeClass, AnswerTimes>,
}

impl HedgePlanner {
    /// Planner of a process that has just started.
    pub fn new(settings: HedgeSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Counts an answered call that might have been hedged; it adds to the budget of its
    /// service.
    pub fn record_call(&mut self, service: &ServiceName) {
        if !self.settings.is_on() {
            return;
        }
        let share = self.settings.share.min(1.0);
        match self.credits.get_mut(service) {
            Some(credit) => *credit = (*credit + share).min(MAX_CREDIT),
            None => {
                self.credits.insert(service.clone(), share);
            }
        }
    }

    /// Whether the budget of a service allows a hedge.
    pub fn has_credit(&self, service: &ServiceName) -> bool {
        let credit = self.credits.get(service);
        credit.is_some_and(|credit| *credit >= 1.0)
    }

    /// Takes a hedge from the budget of a service; returns whether there was one.
    pub fn try_take(&mut self, service: &ServiceName) -> bool {
        let allowed = self.has_credit(service);
        if let Some(credit) = self.credits.get_mut(service).filter(|_| allowed) {
            *credit -= 1.0;
        }
        allowed
    }

    /// Records how long the first attempt of a call took, or how long it had taken when it
    /// was cancelled because its hedge answered.
    ///
    /// A cancelled attempt has exceeded the delay already. If it were left out, the delay
    /// would fall with every hedge.
    pub fn record_time(&mut self, class: &HedgeClass, time: Duration, now: Moment) {
        if let Some(times) = self.classes.get_mut(class) {
            times.record(time, now);
        } else if self.classes.len() < MAX_CLASSES {
            let mut times = AnswerTimes::new(now);
            times.record(time, now);
            self.classes.insert(class.clone(), times);
        }
    }

    /// Time without an answer after which a call is hedged; `None` while too few calls have
    /// been answered.
    pub fn delay(&self, class: &HedgeClass) -> Option<Duration> {
        self.classes.get(class)?.delay(&self.settings)
    }

    /// Drops the times of classes without calls.
    pub fn expire(&mut self, now: Moment) {
        self.classes
            .retain(|_, times| now.since(times.recorded_at) < CLASS_TTL);
    }
}

impl ServerTable {
    /// Chooses a server for the second attempt of a call. Servers on which it has been
    /// tried are excluded by the request.
    pub fn place_hedge(
        &mut self,
        request: &PlacementRequest<'_>,
        vms: &RegionView,
        now: Moment,
    ) -> Result<Placement, HedgeRefusal> {
        if self.is_brittle(request.service, now) {
            return Err(HedgeRefusal::Brittle);
        }
        if self.is_short_of_capacity(request, now) {
            return Err(HedgeRefusal::Capacity);
        }
        let mut excluded = request.excluded.to_vec();
        let mut refusal = HedgeRefusal::NoServer;
        for (key, record) in &self.servers {
            let eligible = record.entry.service == *request.service && self.is_usable(record, now);
            if !eligible || request.excluded.contains(&key) {
                continue;
            }
            if let Some(reason) = self.unfit_reason(key, record, request, now) {
                refusal = reason;
                excluded.push(key);
            }
        }
        let request = PlacementRequest {
            excluded: &excluded,
            ..*request
        };
        self.place(&request, vms, now).map_err(|_| refusal)
    }

    /// Why a server gets no second attempts now.
    fn unfit_reason(
        &self,
        key: ServerKey,
        record: &ServerRecord,
        request: &PlacementRequest<'_>,
        now: Moment,
    ) -> Option<HedgeRefusal> {
        if record.is_paced(request.settings, self.current_since, now) {
            return Some(HedgeRefusal::Cold);
        }
        if u32::from(record.load(now).calls) >= record.entry.slots {
            return Some(HedgeRefusal::Capacity);
        }
        self.is_silent(key, now).then_some(HedgeRefusal::NoServer)
    }

    /// Whether the servers of a service have little room: their slots are taken, they read
    /// prompts for much of their time, or one of them turns calls away.
    fn is_short_of_capacity(&self, request: &PlacementRequest<'_>, now: Moment) -> bool {
        let (mut calls, mut slots, mut busy, mut servers) = (0.0, 0.0, 0.0, 0.0);
        for record in self.usable_servers(request.service, now) {
            let limit = &record.statements.limit;
            if record.statements.wait(now).is_some() || limit.rate().is_some() {
                return true;
            }
            calls += f64::from(record.load(now).calls);
            slots += f64::from(record.entry.slots);
            busy += self.busy(record, request.settings, now);
            servers += 1.0;
        }
        calls > slots * MAX_LOAD || busy > servers * self.settings.spill_busy
    }

    /// Records that an attempt is cancelled because another one has answered its call;
    /// `sent` tells whether the server may have got it. To be called besides
    /// [`record_end`](Self::record_end).
    ///
    /// The attempt has not failed. What is known is that it takes longer than it has lasted.
    pub fn record_cancelled(&mut self, call: &InFlightCall, sent: bool, now: Moment) {
        let Some(record) = self.servers.get_mut(call.key) else {
            return;
        };
        if !sent {
            record.pace.withdraw(call.sent_at);
            record.rate.take_back(call.unread_tokens, call.sent_at, now);
            return;
        }
        let waited = now.since(call.sent_at);
        if self
            .expected_time(call)
            .is_some_and(|expected| waited > expected)
        {
            self.learn_time(call, waited, now);
        }
        if let Some(record) = self.servers.get_mut(call.key) {
            record.health.record_cancelled(waited, now);
        }
    }
}
