//! Deployments and their calls.
//!
//! Arrivals are open-loop and drawn before a run, so every policy receives
//! exactly the same calls.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use verbenaring_policy::id::Digest;
use verbenaring_policy::request::{RequestClass, SHORT_TOKENS, SizeEstimate};
use verbenaring_policy::time::Moment;

use super::engine::EngineSpec;

/// Contracted shares of the members of the consortium, in percent.
pub const MEMBER_SHARES: [u32; 4] = [40, 30, 20, 10];
/// Member whose calls must stay in their home region: about 19% of all calls.
pub const BOUND_MEMBER: usize = 2;
/// Number of call kinds: short questions (0) and long work (1).
pub const KINDS: usize = 2;

/// One region of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct RegionSpec {
    /// Name of the region.
    pub name: &'static str,
    /// Number of engines.
    pub engines: usize,
    /// Number of entry nodes.
    pub nodes: usize,
    /// Price of engine time relative to the first region.
    pub price: f64,
}

/// Sizes and contract terms of one call kind.
#[derive(Debug, Clone, Copy)]
pub struct SizeSpec {
    /// Median of the prompt tokens outside the shared prefix (log-normal).
    pub prompt_median: f64,
    /// Standard deviation of the logarithm of these prompt tokens.
    pub prompt_sigma: f64,
    /// Minimum of the answer tokens (Pareto).
    pub answer_scale: f64,
    /// Tail index of the answer tokens; lower values give more long answers.
    pub answer_shape: f64,
    /// Maximum of the answer tokens.
    pub answer_limit: u32,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Number of shared prefixes per customer.
    pub prefixes: u64,
    /// Share of calls that start with one of the customer's shared prefixes.
    pub reuse: f64,
    /// Deadline by the contract, from the sending of the call.
    pub deadline: Duration,
    /// Waiting time that another region must save before the contract sends a
    /// call there.
    pub send_away_after: Duration,
}

/// Deployment of a consortium at its present size.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentSpec {
    /// Name in reports.
    pub name: &'static str,
    /// Regions; the first one is the reference for prices and the target of
    /// region faults.
    pub regions: [RegionSpec; 3],
    /// Link rate in bytes per second, per pair of regions and direction.
    pub link_bytes_per_s: f64,
    /// Sizes by call kind.
    pub sizes: [SizeSpec; KINDS],
    /// Share of calls that are long work.
    pub long_share: f64,
    /// Model of all engines.
    pub engine: EngineSpec,
}

/// Deployment of the Office of Public Awning Maintenance.
pub const AWNING: DeploymentSpec = DeploymentSpec {
    name: "awning",
    regions: [
        RegionSpec {
            name: "dublin",
            engines: 9,
            nodes: 3,
            price: 1.0,
        },
        RegionSpec {
            name: "cork",
            engines: 6,
            nodes: 2,
            price: 1.0,
        },
        RegionSpec {
            name: "galway",
            engines: 3,
            nodes: 2,
            price: 1.0,
        },
    ],
    link_bytes_per_s: 250e6,
    sizes: [
        SizeSpec {
            prompt_median: 80.0,
            prompt_sigma: 0.6,
            answer_scale: 20.0,
            answer_shape: 2.0,
            answer_limit: 128,
            prefix_tokens: 120,
            prefixes: 20,
            reuse: 0.8,
            deadline: Duration::from_secs(20),
            send_away_after: Duration::from_millis(100),
        },
        SizeSpec {
            prompt_median: 2_500.0,
            prompt_sigma: 0.8,
            answer_scale: 250.0,
            answer_shape: 1.6,
            answer_limit: 4_000,
            prefix_tokens: 4_000,
            prefixes: 40,
            reuse: 0.6,
            deadline: Duration::from_secs(180),
            send_away_after: Duration::from_millis(500),
        },
    ],
    long_share: 0.15,
    engine: DEFAULT_ENGINE,
};

/// Deployment of Huon Cask Systems.
pub const HUON: DeploymentSpec = DeploymentSpec {
    name: "huon",
    regions: [
        RegionSpec {
            name: "tasmania-south",
            engines: 4,
            nodes: 3,
            price: 1.0,
        },
        RegionSpec {
            name: "victoria-east",
            engines: 3,
            nodes: 2,
            price: 1.1,
        },
        RegionSpec {
            name: "nsw-coast",
            engines: 2,
            nodes: 2,
            price: 1.2,
        },
    ],
    link_bytes_per_s: 17.5e6,
    sizes: [
        SizeSpec {
            prompt_median: 100.0,
            prompt_sigma: 0.6,
            answer_scale: 30.0,
            answer_shape: 2.0,
            answer_limit: 160,
            prefix_tokens: 100,
            prefixes: 20,
            reuse: 0.8,
            deadline: Duration::from_secs(30),
            send_away_after: Duration::from_secs(1),
        },
        SizeSpec {
            prompt_median: 2_000.0,
            prompt_sigma: 1.0,
            answer_scale: 500.0,
            answer_shape: 1.5,
            answer_limit: 6_000,
            prefix_tokens: 3_000,
            prefixes: 30,
            reuse: 0.7,
            deadline: Duration::from_secs(300),
            send_away_after: Duration::from_secs(10),
        },
    ],
    long_share: 0.3,
    engine: DEFAULT_ENGINE,
};

const DEFAULT_ENGINE: EngineSpec = EngineSpec {
    slots: 16,
    step_s: 0.015,
    decode_s: 0.0005,
    prefill_s: 0.0001,
    prefill_chunk: 512,
    cache_tokens: 200_000,
};

impl DeploymentSpec {
    /// Number of engines in all regions.
    pub fn engines(&self) -> usize {
        self.regions.iter().map(|region| region.engines).sum()
    }
}

/// Rate and mix of the calls.
#[derive(Debug, Clone, Copy)]
pub struct LoadSpec {
    /// Mean demanded engine time as a share of the capacity.
    pub utilisation: f64,
    /// Amplitude of the daily cycle as a share of the mean rate.
    pub amplitude: f64,
    /// Period of the daily cycle, compressed to fit a run. The regions are
    /// spread evenly over its phase.
    pub day: Duration,
    /// Factor on the deployment's share of long work.
    pub long_factor: f64,
    /// Demand of each member as a multiple of its contracted share.
    pub demand: [f64; 4],
    /// Number of distinct requests that crash engines.
    pub crashing: usize,
    /// Number of callers that send such a request at the same time.
    pub copies: usize,
}

/// Call of a run.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Moment at which the caller sends it.
    pub sent_at: Moment,
    /// Index of the caller's region.
    pub home_region: usize,
    /// Index of the member that the caller belongs to.
    pub member: usize,
    /// Call kind: 0 short question, 1 long work.
    pub kind: usize,
    /// Actual tokens of the prompt and of the answer.
    pub size: SizeEstimate,
    /// Tokens that the gateway expects, with the caller's answer limit.
    pub estimate: SizeEstimate,
    /// Identifier of the shared prefix.
    pub prefix: u64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Fingerprint of the whole prompt, by which the quarantine recognises a
    /// request.
    pub fingerprint: Digest,
    /// Whether the call may be sent more than once.
    pub repeatable: bool,
    /// Whether it crashes the engine that runs it.
    pub crashes: bool,
    /// How often the caller has sent the same request before.
    pub resent: u32,
}

impl CallSpec {
    /// Size class by the estimated tokens.
    pub fn class(&self) -> RequestClass {
        self.estimate.class()
    }

    /// Bytes of the request and its streamed answer, at 5 bytes per prompt
    /// token and 200 per answer event.
    pub fn bytes(&self) -> u64 {
        u64::from(self.size.prompt_tokens) * 5 + u64::from(self.size.answer_tokens) * 200
    }
}

/// Draws all calls of a run and sorts them by time.
pub fn draw_calls(
    deployment: &DeploymentSpec,
    load: &LoadSpec,
    duration: Duration,
    seed: u64,
) -> Vec<CallSpec> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let long_share = (deployment.long_share * load.long_factor).min(0.9);
    let work_s = mean_work_s(deployment, long_share);
    let engines = deployment.engines() as f64;
    let demand: f64 = (0..MEMBER_SHARES.len())
        .map(|member| load.demand[member] * f64::from(MEMBER_SHARES[member]) / 100.0)
        .sum();
    let mut calls = Vec::new();
    for (home_region, region) in deployment.regions.iter().enumerate() {
        let mean = engines * load.utilisation * demand / work_s * region.engines as f64 / engines;
        let peak = mean * (1.0 + load.amplitude);
        let interarrival_s = Exp::new(peak).expect("a positive rate");
        let phase = home_region as f64 / deployment.regions.len() as f64;
        let mut time_s = 0.0;
        loop {
            time_s += interarrival_s.sample(&mut rng);
            if time_s >= duration.as_secs_f64() {
                break;
            }
            let angle = TAU * (time_s / load.day.as_secs_f64() + phase);
            let rate = mean * (1.0 + load.amplitude * angle.sin());
            if rng.random::<f64>() * peak < rate {
                let sent_at = Moment((time_s * 1e6) as i64);
                let member = draw_member(load, &mut rng);
                let kind = usize::from(rng.random::<f64>() < long_share);
                calls.push(draw_call(
                    deployment,
                    sent_at,
                    home_region,
                    member,
                    kind,
                    &mut rng,
                ));
            }
        }
    }
    for index in 0..load.crashing {
        let sent_at = Moment::default() + duration / 10 * (1 + index as u32);
        let home_region = index % deployment.regions.len();
        let mut call = draw_call(deployment, sent_at, home_region, 0, 0, &mut rng);
        call.crashes = true;
        call.repeatable = true;
        // Several callers share the request and send it at the same time.
        calls.extend(std::iter::repeat_n(call, load.copies));
    }
    calls.sort_by_key(|call| call.sent_at);
    calls
}

fn draw_member(load: &LoadSpec, rng: &mut ChaCha8Rng) -> usize {
    let weight = |member: usize| load.demand[member] * f64::from(MEMBER_SHARES[member]);
    let total: f64 = (0..MEMBER_SHARES.len()).map(weight).sum();
    let mut point = rng.random::<f64>() * total;
    for member in 0..MEMBER_SHARES.len() {
        point -= weight(member);
        if point < 0.0 {
            return member;
        }
    }
    MEMBER_SHARES.len() - 1
}

fn draw_call(
    deployment: &DeploymentSpec,
    sent_at: Moment,
    home_region: usize,
    member: usize,
    kind: usize,
    rng: &mut ChaCha8Rng,
) -> CallSpec {
    let sizes = &deployment.sizes[kind];
    let size = draw_size(sizes, rng);
    let customer = ((home_region * MEMBER_SHARES.len() + member) * KINDS + kind) as u64;
    let reuses = rng.random::<f64>() < sizes.reuse;
    let prefix_number = if reuses {
        rng.random_range(0..sizes.prefixes)
    } else {
        rng.random::<u64>() >> 24
    };
    // Callers set an answer limit up to 50% above what they need.
    let slack: f64 = rng.random_range(1.0..1.5);
    let mut answer_tokens = (f64::from(size.answer_tokens) * slack) as u32;
    if kind == 0 {
        answer_tokens = answer_tokens.min(SHORT_TOKENS.saturating_sub(size.prompt_tokens));
    }
    let prompt_id: [u8; 16] = rng.random();
    CallSpec {
        sent_at,
        home_region,
        member,
        kind,
        size,
        estimate: SizeEstimate {
            answer_tokens,
            ..size
        },
        prefix: prefix_number << 8 | customer,
        prefix_tokens: sizes.prefix_tokens,
        fingerprint: Digest::of(&prompt_id),
        repeatable: kind == 1 || rng.random::<f64>() >= 0.05,
        crashes: false,
        resent: 0,
    }
}

fn draw_size(sizes: &SizeSpec, rng: &mut ChaCha8Rng) -> SizeEstimate {
    let prompts =
        LogNormal::new(sizes.prompt_median.ln(), sizes.prompt_sigma).expect("a finite spread");
    let answers = Pareto::new(sizes.answer_scale, sizes.answer_shape).expect("a positive shape");
    let prompt = prompts.sample(rng).clamp(8.0, sizes.prompt_median * 8.0) as u32;
    let answer = answers.sample(rng).min(f64::from(sizes.answer_limit)) as u32;
    let total = prompt + sizes.prefix_tokens;
    let is_short = sizes.answer_limit < SHORT_TOKENS;
    SizeEstimate {
        prompt_tokens: if is_short {
            total.min(SHORT_TOKENS - sizes.answer_limit)
        } else {
            total
        },
        answer_tokens: answer.max(1),
    }
}

/// Mean engine seconds of a call, from a sample with a fixed seed.
fn mean_work_s(deployment: &DeploymentSpec, long_share: f64) -> f64 {
    const SAMPLES: u32 = 20_000;
    let mut rng = ChaCha8Rng::seed_from_u64(0);
    let mut mean = |kind: usize| {
        let sizes = &deployment.sizes[kind];
        let sum: f64 = (0..SAMPLES)
            .map(|_| {
                let size = draw_size(sizes, &mut rng);
                let cached = f64::from(sizes.prefix_tokens) * sizes.reuse;
                let prefill = (f64::from(size.prompt_tokens) - cached).max(1.0) as u32;
                deployment.engine.work_s(prefill, size.answer_tokens)
            })
            .sum();
        sum / f64::from(SAMPLES)
    };
    mean(0) * (1.0 - long_share) + mean(1) * long_share
}
