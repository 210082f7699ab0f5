//! Measures of a run as its callers see them: latency, throughput, fairness,
//! cost.

use hdrhistogram::Histogram;
use std::time::Duration;

use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::request::RequestClass;
use verbenaring_policy::time::Moment;

use super::scenario::RunSpec;
use super::simulation::CallState;
use super::workload::{CallSpec, KINDS, MEMBER_SHARES};

/// Start of a run that is not measured, while caches fill and detectors learn.
pub const WARM_UP_TIME: Duration = Duration::from_secs(20);
/// Cost of a gigabyte sent between regions, in engine seconds.
const LINK_COST_S_PER_GB: f64 = 20.0;
/// Longest time to the first token of a call that counts as goodput, per call
/// kind.
const GOODPUT_FIRST_TOKEN_LIMIT: [Duration; KINDS] =
    [Duration::from_secs(2), Duration::from_secs(15)];
/// Longest latency that the histograms resolve, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Width of the time bins in which goodput is compared.
const GOODPUT_BIN: Duration = Duration::from_secs(5);
/// Share of the goodput before an outage at which a region counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Final result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Not decided yet.
    Pending,
    /// The whole answer was delivered.
    Completed,
    /// Refused by the admission limits of the contract.
    Limited,
    /// Refused because the contract does not allow the region of its entry
    /// node.
    Residency,
    /// Refused because no allowed region in reach had a server or link capacity
    /// for it.
    Capacity,
    /// Refused because the queue of the node was full.
    QueueFull,
    /// Dropped from the queue because it could no longer meet its deadline.
    Late,
    /// Refused because the request is quarantined for crashing servers.
    Quarantined,
    /// Its attempts or forwards failed and no retry was allowed.
    Failed(RunOutcome),
    /// The stream broke after its first token.
    Broken,
    /// The deadline passed.
    TimedOut,
}

/// Size, timing and result of one call.
#[derive(Debug, Clone)]
pub struct CallRecord {
    /// Moment at which the caller sent it.
    pub sent_at: Moment,
    /// Index of the caller's region.
    pub home_region: usize,
    /// Index of the member that the caller belongs to.
    pub member: usize,
    /// Call kind: 0 short question, 1 long work.
    pub kind: usize,
    /// Size class by the estimated tokens.
    pub class: RequestClass,
    /// Tokens of the prompt, the shared prefix included.
    pub prompt_tokens: u32,
    /// Tokens of the whole answer.
    pub wanted_tokens: u32,
    /// Answer tokens delivered so far.
    pub answer_tokens: u32,
    /// Moment at which an engine first ran it.
    pub started_at: Option<Moment>,
    /// Moment at which the first token reached the caller.
    pub first_token_at: Option<Moment>,
    /// Moment at which the whole answer had reached the caller.
    pub ended_at: Option<Moment>,
    /// Result of the call.
    pub outcome: CallOutcome,
    /// Whether it was forwarded to another region.
    pub was_sent_away: bool,
    /// Whether it crashes the engine that runs it.
    pub crashes: bool,
}

impl CallRecord {
    /// Creates the record of a call without an outcome.
    pub fn new(spec: &CallSpec) -> Self {
        Self {
            sent_at: spec.sent_at,
            home_region: spec.home_region,
            member: spec.member,
            kind: spec.kind,
            class: spec.class(),
            prompt_tokens: spec.size.prompt_tokens,
            wanted_tokens: spec.size.answer_tokens,
            answer_tokens: 0,
            started_at: None,
            first_token_at: None,
            ended_at: None,
            outcome: CallOutcome::Pending,
            was_sent_away: false,
            crashes: spec.crashes,
        }
    }

    /// Tokens of the prompt and of the answer so far.
    pub fn tokens(&self) -> u32 {
        self.prompt_tokens + self.answer_tokens
    }

    fn counts_as_goodput(&self) -> bool {
        let first = self.first_token_at.map(|first| first.since(self.sent_at));
        self.outcome == CallOutcome::Completed
            && first.is_some_and(|first| first <= GOODPUT_FIRST_TOKEN_LIMIT[self.kind])
    }
}

/// Counts of violated invariants; all of them must stay 0.
#[derive(Debug, Clone, Copy, Default)]
pub struct Violations {
    /// Queueing or execution of a call in a region that its contract forbids.
    pub residency: u64,
    /// Repeated attempts of calls that are not repeatable.
    pub unsafe_repeats: u64,
    /// Calls that were queued after more than one forward.
    pub forwarding_loops: u64,
    /// Calls without an outcome at the end of the run.
    pub lost_calls: u64,
    /// Second outcomes of calls that already had one.
    pub duplicate_outcomes: u64,
}

impl Violations {
    /// Sum of all counts.
    pub fn total(&self) -> u64 {
        self.residency
            + self.unsafe_repeats
            + self.forwarding_loops
            + self.lost_calls
            + self.duplicate_outcomes
    }
}

/// Results of one run, from which the measures are calculated.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Records of all calls.
    pub calls: Vec<CallRecord>,
    /// Engine seconds weighted by the price of the region, including lost work.
    pub engine_cost: f64,
    /// Prompt tokens that engines prefilled because they were not cached.
    pub prefilled_tokens: u64,
    /// Bytes sent between regions.
    pub link_bytes: u64,
    /// Retries after failed attempts or forwards.
    pub retries: u64,
    /// Hedge requests sent.
    pub hedges: u64,
    /// Streams moved off slow servers.
    pub moves: u64,
    /// Engines crashed by requests.
    pub crashed_servers: u64,
    /// Periodic samples of a server's state at a node.
    pub server_samples: u64,
    /// Samples in which a node had ejected a healthy server.
    pub false_ejections: u64,
    /// Violated invariants.
    pub violations: Violations,
}

/// Names and values of the measures, in the order of printing.
pub type Measures = Vec<(String, f64)>;

impl RunRecord {
    /// Counts the calls that have no outcome at the end of the run.
    pub(super) fn count_lost_calls(&mut self, calls: &[CallState]) {
        let lost = calls.iter().filter(|call| !call.has_ended).count();
        self.violations.lost_calls += lost as u64;
    }

    /// Calculates all measures. Latency, throughput, forwarding, fairness and
    /// completion leave out the calls before `measured_from` and those that
    /// crash engines.
    pub fn measures(&self, run: &RunSpec) -> Measures {
        let start = Moment::default() + run.measured_from;
        let end = Moment::default() + run.duration;
        let calls: Vec<&CallRecord> = self
            .calls
            .iter()
            .filter(|call| !call.crashes && call.sent_at >= start)
            .collect();
        let mut figures = Measures::new();
        let mut add = |name: &str, value: f64| figures.push((name.to_owned(), value));
        let completed = calls
            .iter()
            .filter(|call| call.outcome == CallOutcome::Completed)
            .count();
        let completed_in_run = self
            .calls
            .iter()
            .filter(|call| call.outcome == CallOutcome::Completed);
        let cost = self.engine_cost + self.link_bytes as f64 / 1e9 * LINK_COST_S_PER_GB;
        add(
            "cost_per_1000_calls",
            cost / completed_in_run.count().max(1) as f64 * 1_000.0,
        );
        for (kind, name) in ["short", "long"].into_iter().enumerate() {
            let kind_calls: Vec<&CallRecord> = calls
                .iter()
                .copied()
                .filter(|call| call.kind == kind)
                .collect();
            let deadline = run.deployment.sizes[kind].deadline;
            let latency = |call: &CallRecord| call.ended_at.map(|at| at.since(call.sent_at));
            let first = |call: &CallRecord| call.first_token_at.map(|at| at.since(call.sent_at));
            let wait = |call: &CallRecord| call.started_at.map(|at| at.since(call.sent_at));
            let latencies = histogram(&kind_calls, deadline, latency);
            let firsts = histogram(&kind_calls, deadline, first);
            let waits = histogram(&kind_calls, deadline, wait);
            for (label, quantile) in QUANTILES {
                add(
                    &format!("{name}_latency_{label}_ms"),
                    quantile_ms(&latencies, quantile),
                );
            }
            for (label, quantile) in QUANTILES {
                add(
                    &format!("{name}_first_token_{label}_ms"),
                    quantile_ms(&firsts, quantile),
                );
            }
            add(&format!("{name}_blocked_p99_ms"), quantile_ms(&waits, 0.99));
            let tokens: f64 = kind_calls
                .iter()
                .map(|call| delivered_tokens(call, end))
                .sum();
            let seconds = end.since(start).as_secs_f64();
            add(&format!("{name}_tokens_per_s"), tokens / seconds);
        }
        let away = calls.iter().filter(|call| call.was_sent_away).count();
        add("sent_away_share", share(away, calls.len()));
        let received = received_shares(&calls, end);
        for (member, share) in received.into_iter().enumerate() {
            add(&format!("member_{member}_received"), share);
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
        add("prefilled_mtokens", self.prefilled_tokens as f64 / 1e6);
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

    /// Latency quantiles of short calls for the plot: pairs of the number of
    /// nines (1 is p90, 2 is p99) and milliseconds.
    pub fn short_latency(&self, run: &RunSpec) -> Vec<(f64, f64)> {
        let start = Moment::default() + run.measured_from;
        let short_calls = self
            .calls
            .iter()
            .filter(|call| !call.crashes && call.sent_at >= start);
        let short_calls: Vec<&CallRecord> = short_calls.filter(|call| call.kind == 0).collect();
        let deadline = run.deployment.sizes[0].deadline;
        let latencies = histogram(&short_calls, deadline, |call| {
            call.ended_at.map(|at| at.since(call.sent_at))
        });
        (0..=300)
            .map(|step| {
                let nines = f64::from(step) / 100.0;
                (nines, quantile_ms(&latencies, 1.0 - 10f64.powf(-nines)))
            })
            .collect()
    }

    /// Seconds from the return of a region to the end of the last time bin in
    /// which its goodput was below the recovered share.
    fn recovery_s(
        &self,
        run: &RunSpec,
        lost_at: Duration,
        returned_at: Duration,
        region: usize,
    ) -> f64 {
        let goodput = |from: Duration, to: Duration| {
            let range = Moment::default() + from..Moment::default() + to;
            let region_calls = self.calls.iter().filter(|call| {
                call.home_region == region && !call.crashes && range.contains(&call.sent_at)
            });
            let (good, count) = region_calls.fold((0, 0), |(good, count), call| {
                (good + usize::from(call.counts_as_goodput()), count + 1)
            });
            if count == 0 { 1.0 } else { share(good, count) }
        };
        let min_goodput = goodput(WARM_UP_TIME, lost_at) * RECOVERED_SHARE;
        let mut recovered = returned_at;
        let mut bin = returned_at;
        while bin + GOODPUT_BIN <= run.duration {
            if goodput(bin, bin + GOODPUT_BIN) < min_goodput {
                recovered = bin + GOODPUT_BIN;
            }
            bin += GOODPUT_BIN;
        }
        (recovered - returned_at).as_secs_f64()
    }
}

/// Labels and values of the reported quantiles.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p95", 0.95), ("p99", 0.99), ("p99.9", 0.999)];

/// Histogram in microseconds. A call that was not completed counts with its
/// deadline, so that a policy does not improve its latency by refusing calls.
fn histogram(
    calls: &[&CallRecord],
    deadline: Duration,
    value: impl Fn(&CallRecord) -> Option<Duration>,
) -> Histogram<u64> {
    let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
        .expect("the bounds and three significant digits are valid");
    for call in calls {
        let value = value(call).filter(|_| call.outcome == CallOutcome::Completed);
        histogram.saturating_record(value.unwrap_or(deadline).as_micros() as u64);
    }
    histogram
}

/// Quantile of a histogram in milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1e3
}

fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// Prompt and answer tokens of a call that was completed by `end`, otherwise 0.
fn delivered_tokens(call: &CallRecord, end: Moment) -> f64 {
    let in_time = call.ended_at.is_some_and(|at| at <= end);
    if in_time {
        f64::from(call.tokens())
    } else {
        0.0
    }
}

/// Tokens received by each member divided by what it is entitled to: its share
/// of all delivered tokens, or its demand if that is less.
fn received_shares(calls: &[&CallRecord], end: Moment) -> [f64; 4] {
    let mut received = [0.0; 4];
    let mut offered = [0.0; 4];
    for call in calls {
        received[call.member] += delivered_tokens(call, end);
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
