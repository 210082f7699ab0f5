//! Users' measures of a run.

use hdrhistogram::Histogram;
use std::time::Duration;

use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::request::RequestClass;
use verbenaring_policy::time::Moment;

use super::scenario::RunSpec;
use super::workload::{CallSpec, KINDS, MEMBER_SHARES};
use super::world::CallState;

/// Start of a run that is left out, while caches fill and detectors learn.
pub const WARM_UP: Duration = Duration::from_secs(20);
/// Engine seconds that a gigabyte between regions costs.
const LINK_PRICE_PER_GB: f64 = 20.0;
/// First-token time within which an answer counts as goodput, per kind.
const GOOD_FIRST_TOKEN: [Duration; KINDS] = [Duration::from_secs(2), Duration::from_secs(15)];
/// Longest latency that the histograms resolve.
const LONGEST_US: u64 = 3_600_000_000;
/// Bin of the goodput.
const GOODPUT_BIN: Duration = Duration::from_secs(5);
/// Share of the earlier goodput that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// What the caller was told in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Nothing yet.
    Pending,
    /// Whole answer.
    Completed,
    /// Refused by a limit of the contract.
    Limited,
    /// Refused by residency.
    Residency,
    /// Refused for lack of servers or link.
    Capacity,
    /// Refused because the queue is full.
    QueueFull,
    /// Dropped because it could not be in time.
    Late,
    /// Refused by quarantine.
    Quarantined,
    /// Attempts failed.
    Failed(RunOutcome),
    /// Stream broken by a crash or partition.
    Broken,
    /// Deadline passed in flight.
    TimedOut,
}

/// Result of one call.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Moment of sending.
    pub at: Moment,
    /// Region of the caller.
    pub home: usize,
    /// Member.
    pub member: usize,
    /// Kind.
    pub kind: usize,
    /// Class by the estimate.
    pub class: RequestClass,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens of the answer as asked for.
    pub wanted_tokens: u32,
    /// Tokens of the answer so far.
    pub answer_tokens: u32,
    /// Start at an engine.
    pub started: Option<Moment>,
    /// First token at the caller.
    pub first_token: Option<Moment>,
    /// End of the answer at the caller.
    pub ended: Option<Moment>,
    /// Outcome.
    pub outcome: CallOutcome,
    /// Whether it was sent to another region.
    pub was_sent_away: bool,
    /// Whether it crashes engines.
    pub crashes: bool,
}

impl CallRecord {
    /// Record of a call that has not been decided.
    pub fn new(spec: &CallSpec) -> Self {
        Self {
            at: spec.at,
            home: spec.home,
            member: spec.member,
            kind: spec.kind,
            class: spec.class(),
            prompt_tokens: spec.size.prompt_tokens,
            wanted_tokens: spec.size.answer_tokens,
            answer_tokens: 0,
            started: None,
            first_token: None,
            ended: None,
            outcome: CallOutcome::Pending,
            was_sent_away: false,
            crashes: spec.crashes,
        }
    }

    /// Prompt tokens and answer tokens so far.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens + self.answer_tokens
    }

    fn is_good(&self) -> bool {
        let first = self.first_token.map(|first| first.since(self.at));
        self.outcome == CallOutcome::Completed
            && first.is_some_and(|first| first <= GOOD_FIRST_TOKEN[self.kind])
    }
}

/// Violations of what must always hold.
#[derive(Debug, Clone, Copy, Default)]
pub struct Violations {
    /// Requests in a region that the contract does not allow.
    pub residency: u64,
    /// Second attempts of calls that may not be repeated.
    pub repeated: u64,
    /// Requests forwarded more than once.
    pub loops: u64,
    /// Requests without an outcome.
    pub lost: u64,
    /// Requests with two outcomes.
    pub outcomes_twice: u64,
}

impl Violations {
    /// All of them.
    pub fn total(&self) -> u64 {
        self.residency + self.repeated + self.loops + self.lost + self.outcomes_twice
    }
}

/// Result of one run.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Calls.
    pub calls: Vec<CallRecord>,
    /// Engine seconds by price of the region, lost work included.
    pub engine_cost: f64,
    /// Prompt tokens that were not cached.
    pub prefilled: u64,
    /// Bytes between regions.
    pub link_bytes: u64,
    /// Retries.
    pub retries: u64,
    /// Hedges.
    pub hedges: u64,
    /// Moved streams.
    pub moves: u64,
    /// Engines crashed by requests.
    pub crashed_servers: u64,
    /// Samples of node and server.
    pub server_samples: u64,
    /// Samples in which a healthy server was ejected.
    pub false_ejections: u64,
    /// Violations.
    pub violations: Violations,
}

/// Named figures in the order of printing.
pub type Measures = Vec<(String, f64)>;

impl RunRecord {
    pub(super) fn is_complete(&mut self, calls: &[CallState]) {
        let lost = calls.iter().filter(|call| !call.has_ended).count();
        self.violations.lost += lost as u64;
    }

    /// All measures.
    pub fn measures(&self, run: &RunSpec) -> Measures {
        let start = Moment::default() + run.measured_from;
        let end = Moment::default() + run.duration;
        let calls: Vec<&CallRecord> = self
            .calls
            .iter()
            .filter(|call| !call.crashes && call.at >= start)
            .collect();
        let mut figures = Measures::new();
        let mut add = |name: &str, value: f64| figures.push((name.to_owned(), value));
        let completed = calls
            .iter()
            .filter(|call| call.outcome == CallOutcome::Completed)
            .count();
        let all = self
            .calls
            .iter()
            .filter(|call| call.outcome == CallOutcome::Completed);
        let cost = self.engine_cost + self.link_bytes as f64 / 1e9 * LINK_PRICE_PER_GB;
        add(
            "cost_per_1000_calls",
            cost / all.count().max(1) as f64 * 1_000.0,
        );
        for (kind, name) in ["short", "long"].into_iter().enumerate() {
            let own: Vec<&CallRecord> = calls
                .iter()
                .copied()
                .filter(|call| call.kind == kind)
                .collect();
            let deadline = run.deployment.sizes[kind].deadline;
            let latency = |call: &CallRecord| call.ended.map(|at| at.since(call.at));
            let first = |call: &CallRecord| call.first_token.map(|at| at.since(call.at));
            let wait = |call: &CallRecord| call.started.map(|at| at.since(call.at));
            let latencies = histogram(&own, deadline, latency);
            let firsts = histogram(&own, deadline, first);
            let waits = histogram(&own, deadline, wait);
            for (label, quantile) in QUANTILES {
                add(
                    &format!("{name}_latency_{label}_ms"),
                    at(&latencies, quantile),
                );
            }
            for (label, quantile) in QUANTILES {
                add(
                    &format!("{name}_first_token_{label}_ms"),
                    at(&firsts, quantile),
                );
            }
            add(&format!("{name}_blocked_p99_ms"), at(&waits, 0.99));
            let tokens: f64 = own.iter().map(|call| delivered(call, end)).sum();
            let seconds = end.since(start).as_secs_f64();
            add(&format!("{name}_tokens_per_s"), tokens / seconds);
        }
        let away = calls.iter().filter(|call| call.was_sent_away).count();
        add("sent_away_share", share(away, calls.len()));
        let fairness = fairness(&calls, end);
        for (member, fairness) in fairness.into_iter().enumerate() {
            add(&format!("member_{member}_received"), fairness);
        }
        add(
            "not_completed_share",
            share(calls.len() - completed, calls.len()),
        );
        add("retries", self.retries as f64);
        add(
            "hedges_share",
            share(self.hedges as usize, self.calls.len()),
        );
        add("moves_share", share(self.moves as usize, self.calls.len()));
        add("prefilled_mtokens", self.prefilled as f64 / 1e6);
        add("crashed_servers", self.crashed_servers as f64);
        let samples = self.server_samples as usize;
        add(
            "false_ejection_share",
            share(self.false_ejections as usize, samples),
        );
        if let Some((lost_at, returned_at, region)) = run.outage {
            let recovery = self.recovery_s(run, lost_at, returned_at, region);
            add("recovery_s", recovery);
        }
        add("violations", self.violations.total() as f64);
        figures
    }

    /// Latency quantiles of short work, for the plot.
    pub fn short_latency(&self, run: &RunSpec) -> Vec<(f64, f64)> {
        let start = Moment::default() + run.measured_from;
        let own = self
            .calls
            .iter()
            .filter(|call| !call.crashes && call.at >= start);
        let own: Vec<&CallRecord> = own.filter(|call| call.kind == 0).collect();
        let deadline = run.deployment.sizes[0].deadline;
        let latencies = histogram(&own, deadline, |call| {
            call.ended.map(|at| at.since(call.at))
        });
        (0..=300)
            .map(|step| {
                let nines = f64::from(step) / 100.0;
                (nines, at(&latencies, 1.0 - 10f64.powf(-nines)))
            })
            .collect()
    }

    /// Time from the return of a region until its goodput has recovered.
    fn recovery_s(
        &self,
        run: &RunSpec,
        lost_at: Duration,
        returned_at: Duration,
        region: usize,
    ) -> f64 {
        let goodput = |from: Duration, to: Duration| {
            let range = Moment::default() + from..Moment::default() + to;
            let own = self
                .calls
                .iter()
                .filter(|call| call.home == region && !call.crashes && range.contains(&call.at));
            let (good, count) = own.fold((0, 0), |(good, count), call| {
                (good + usize::from(call.is_good()), count + 1)
            });
            if count == 0 { 1.0 } else { share(good, count) }
        };
        let needed = goodput(WARM_UP, lost_at) * RECOVERED_SHARE;
        let mut recovered = returned_at;
        let mut bin = returned_at;
        while bin + GOODPUT_BIN <= run.duration {
            if goodput(bin, bin + GOODPUT_BIN) < needed {
                recovered = bin + GOODPUT_BIN;
            }
            bin += GOODPUT_BIN;
        }
        (recovered - returned_at).as_secs_f64()
    }
}

const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("p99.9", 0.999)];

/// Histogram in microseconds. A call without a whole answer counts with its
/// deadline, so that a policy does not gain by refusing.
fn histogram(
    calls: &[&CallRecord],
    deadline: Duration,
    value: impl Fn(&CallRecord) -> Option<Duration>,
) -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, LONGEST_US, 3).expect("three digits are supported");
    for call in calls {
        let value = value(call).filter(|_| call.outcome == CallOutcome::Completed);
        histogram.saturating_record(value.unwrap_or(deadline).as_micros() as u64);
    }
    histogram
}

fn at(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

fn delivered(call: &CallRecord, end: Moment) -> f64 {
    let in_time = call.ended.is_some_and(|at| at <= end);
    if in_time {
        f64::from(call.tokens())
    } else {
        0.0
    }
}

/// Tokens received by each member over what it is entitled to: its share of
/// all tokens delivered, or what it asked for if that is less.
fn fairness(calls: &[&CallRecord], end: Moment) -> [f64; 4] {
    let mut received = [0.0; 4];
    let mut offered = [0.0; 4];
    for call in calls {
        received[call.member] += delivered(call, end);
        offered[call.member] += f64::from(call.prompt_tokens + call.wanted_tokens);
    }
    let total: f64 = received.iter().sum();
    let mut result = [0.0; 4];
    for (member, share) in MEMBER_SHARES.into_iter().enumerate() {
        let entitled = (total * f64::from(share) / 100.0).min(offered[member]);
        result[member] = received[member] / entitled.max(1.0);
    }
    result
}
