//! Deployments and their requests.
//!
//! Arrivals are open-loop and drawn before a run, so every policy receives
//! exactly the same requests.

use std::f64::consts::TAU;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use verbenaring_policy::id::Digest;
use verbenaring_policy::request::{RequestClass, SHORT_TOKENS, SizeEstimate};
use verbenaring_policy::time::Moment;

use super::engine::EngineSpec;

/// Members of the consortium and their contracted shares in percent.
pub const MEMBER_SHARES: [u32; 4] = [40, 30, 20, 10];
/// Member whose customers are bound to their home region: about 19% of requests.
pub const BOUND_MEMBER: usize = 2;
/// Kinds of customers: short questions and long work.
pub const KINDS: usize = 2;

/// One region of a deployment.
#[derive(Debug, Clone, Copy)]
pub struct RegionSpec {
    /// Name.
    pub name: &'static str,
    /// Engines.
    pub engines: usize,
    /// Entry nodes.
    pub nodes: usize,
    /// Price of engine time relative to the first region.
    pub price: f64,
}

/// Sizes of one kind of requests.
#[derive(Debug, Clone, Copy)]
pub struct SizeSpec {
    /// Median of prompt tokens outside the shared prefix (log-normal).
    pub prompt_median: f64,
    /// Spread of the prompt.
    pub prompt_sigma: f64,
    /// Smallest answer (Pareto).
    pub answer_scale: f64,
    /// Tail index of the answer.
    pub answer_shape: f64,
    /// Longest answer.
    pub answer_limit: u32,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Different prefixes per customer.
    pub prefixes: u64,
    /// Share of requests that start with one of the customer's prefixes.
    pub reuse: f64,
    /// Deadline of the contract.
    pub deadline: Duration,
    /// Gain in waiting time above which the contract sends work away.
    pub send_away_after: Duration,
}

/// Deployment at today's size.
#[derive(Debug, Clone, Copy)]
pub struct DeploymentSpec {
    /// Name.
    pub name: &'static str,
    /// Regions.
    pub regions: [RegionSpec; 3],
    /// Link rate per pair of regions and direction.
    pub link_bytes_per_s: f64,
    /// Short questions and long work.
    pub sizes: [SizeSpec; KINDS],
    /// Share of requests that are long.
    pub long_share: f64,
    /// Engines.
    pub engine: EngineSpec,
}

/// Office of Public Awning Maintenance.
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

/// Huon Cask Systems.
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
    chunk: 512,
    cache_tokens: 200_000,
};

impl DeploymentSpec {
    /// Engines of all regions.
    pub fn engines(&self) -> usize {
        self.regions.iter().map(|region| region.engines).sum()
    }
}

/// Shape of the load.
#[derive(Debug, Clone, Copy)]
pub struct LoadSpec {
    /// Mean engine time asked for, as a share of the capacity.
    pub utilisation: f64,
    /// Amplitude of the daily peaks as a share of the mean.
    pub amplitude: f64,
    /// Compressed day.
    pub day: Duration,
    /// Factor on the share of long requests.
    pub long_factor: f64,
    /// Demand of each member as a multiple of its contracted share.
    pub demand: [f64; 4],
    /// Requests that crash engines, each sent again by its caller.
    pub crashing: usize,
    /// Callers that send such a request at the same moment.
    pub copies: usize,
}

/// Request of a run.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Moment at which the caller sends it.
    pub at: Moment,
    /// Home region of the caller.
    pub home: usize,
    /// Member.
    pub member: usize,
    /// Kind: 0 short question, 1 long work.
    pub kind: usize,
    /// Actual tokens.
    pub size: SizeEstimate,
    /// Tokens that the gateway estimates.
    pub estimate: SizeEstimate,
    /// Identifier of the shared prefix.
    pub prefix: u64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Digest of the whole prompt.
    pub print: Digest,
    /// Whether the call may be sent more than once.
    pub repeatable: bool,
    /// Whether it crashes the engine that runs it.
    pub crashes: bool,
    /// Times the caller has sent it before.
    pub resent: u32,
}

impl CallSpec {
    /// Size class by the estimate.
    pub fn class(&self) -> RequestClass {
        self.estimate.class()
    }

    /// Bytes of the request and its streamed answer, with 200 bytes per event.
    pub fn bytes(&self) -> u64 {
        u64::from(self.size.prompt_tokens) * 5 + u64::from(self.size.answer_tokens) * 200
    }
}

/// Draws all requests of a run in the order of arrival.
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
    for (home, region) in deployment.regions.iter().enumerate() {
        let mean = engines * load.utilisation * demand / work_s * region.engines as f64 / engines;
        let peak = mean * (1.0 + load.amplitude);
        let gaps = Exp::new(peak).expect("a positive rate");
        let phase = home as f64 / deployment.regions.len() as f64;
        let mut time_s = 0.0;
        loop {
            time_s += gaps.sample(&mut rng);
            if time_s >= duration.as_secs_f64() {
                break;
            }
            let angle = TAU * (time_s / load.day.as_secs_f64() + phase);
            let rate = mean * (1.0 + load.amplitude * angle.sin());
            if rng.random::<f64>() * peak < rate {
                let at = Moment((time_s * 1e6) as u64);
                let member = draw_member(load, &mut rng);
                let kind = usize::from(rng.random::<f64>() < long_share);
                calls.push(draw_call(deployment, at, home, member, kind, &mut rng));
            }
        }
    }
    for index in 0..load.crashing {
        let at = Moment(duration.as_micros() as u64 / 10 * (1 + index as u64));
        let home = index % deployment.regions.len();
        let mut call = draw_call(deployment, at, home, 0, 0, &mut rng);
        call.crashes = true;
        call.repeatable = true;
        // Several callers share the request and send it at the same time.
        calls.extend(std::iter::repeat_n(call, load.copies));
    }
    calls.sort_by_key(|call| call.at);
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
    at: Moment,
    home: usize,
    member: usize,
    kind: usize,
    rng: &mut ChaCha8Rng,
) -> CallSpec {
    let sizes = &deployment.sizes[kind];
    let size = draw_size(sizes, rng);
    let group = ((home * MEMBER_SHARES.len() + member) * KINDS + kind) as u64;
    let reuses = rng.random::<f64>() < sizes.reuse;
    let number = if reuses {
        rng.random_range(0..sizes.prefixes)
    } else {
        rng.random::<u64>() >> 24
    };
    // Callers set an answer limit above what they need.
    let slack: f64 = rng.random_range(1.0..1.5);
    let mut answer_tokens = (f64::from(size.answer_tokens) * slack) as u32;
    if kind == 0 {
        answer_tokens = answer_tokens.min(SHORT_TOKENS.saturating_sub(size.prompt_tokens));
    }
    let identity: [u8; 16] = rng.random();
    CallSpec {
        at,
        home,
        member,
        kind,
        size,
        estimate: SizeEstimate {
            answer_tokens,
            ..size
        },
        prefix: number << 8 | group,
        prefix_tokens: sizes.prefix_tokens,
        print: Digest::of(&identity),
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
    let short = sizes.answer_limit < SHORT_TOKENS;
    SizeEstimate {
        prompt_tokens: if short {
            total.min(SHORT_TOKENS - sizes.answer_limit)
        } else {
            total
        },
        answer_tokens: answer.max(1),
    }
}

/// Mean engine time of a request, from a fixed sample.
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
