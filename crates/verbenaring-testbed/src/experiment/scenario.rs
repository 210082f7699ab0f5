//! Experiments: deployment, load, faults and the policies to compare.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use verbenaring_policy::time::Moment;

use super::measure::WARM_UP;
use super::variant::{
    FIFO, LATENCY_FIRST, LEAST_REPORTED, OWNER_NODE, PRODUCT, PRODUCT_FIFO, PRODUCT_LEAST_REPORTED,
    PRODUCT_NO_EJECTION, PRODUCT_ROUND_ROBIN, PolicyVariant, ROUND_ROBIN,
};
use super::workload::{AWNING, DeploymentSpec, HUON, LoadSpec};

/// Lag of load reports behind the engine.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// Change of the outside world.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Steps of a server take this many times longer.
    Slow {
        /// Server.
        server: usize,
        /// Factor; 1 ends the slow period.
        factor: f64,
    },
    /// All engines of a region crash.
    RegionDown(usize),
    /// They return with cold caches.
    RegionUp(usize),
    /// All engines of a region lose their caches.
    ColdCaches(usize),
    /// A region is cut off from the others.
    Partition(usize),
    /// The partition ends.
    Heal,
}

/// Fault and its moment.
#[derive(Debug, Clone, Copy)]
pub struct TimedFault {
    /// Moment.
    pub at: Moment,
    /// Fault.
    pub fault: Fault,
}

/// Faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPlan {
    /// None.
    Calm,
    /// Slow periods of random servers.
    SlowPeriods,
    /// Loss and return of the capacity of the first region.
    RegionLoss,
    /// Partition between the first region and the others.
    Partition,
    /// Cold caches in the first region, as after a replacement of its engines.
    ColdReturn,
}

/// One run of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct RunSpec {
    /// Deployment.
    pub deployment: DeploymentSpec,
    /// Load.
    pub load: LoadSpec,
    /// Time of arrivals.
    pub duration: Duration,
    /// Earlier arrivals are not measured.
    pub measured_from: Duration,
    /// Lag of load reports.
    pub report_lag: Duration,
    /// Faults.
    pub plan: FaultPlan,
    /// Times that the caller of a crashing request sends it again.
    pub resends: u32,
    /// Loss and return of a region, for the recovery time.
    pub outage: Option<(Duration, Duration, usize)>,
}

impl RunSpec {
    /// Faults in the order of time.
    pub fn faults(&self, seed: u64) -> Vec<TimedFault> {
        let half = self.duration / 2;
        let third = self.duration / 3;
        let fault = |at: Duration, fault: Fault| TimedFault {
            at: Moment::default() + at,
            fault,
        };
        match self.plan {
            FaultPlan::Calm => Vec::new(),
            FaultPlan::SlowPeriods => self.slow_periods(seed),
            FaultPlan::RegionLoss => vec![
                fault(third, Fault::RegionDown(0)),
                fault(half, Fault::RegionUp(0)),
            ],
            FaultPlan::Partition => {
                vec![fault(third, Fault::Partition(0)), fault(half, Fault::Heal)]
            }
            FaultPlan::ColdReturn => vec![fault(half, Fault::ColdCaches(0))],
        }
    }

    /// Each server is slow for 5 to 20 s, 4 to 10 times, about every 100 s.
    fn slow_periods(&self, seed: u64) -> Vec<TimedFault> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x510);
        let gaps = Exp::new(1.0 / 90.0).expect("a positive rate");
        let mut faults = Vec::new();
        for server in 0..self.deployment.engines() {
            let mut time_s = 0.0;
            loop {
                time_s += gaps.sample(&mut rng);
                if time_s >= self.duration.as_secs_f64() {
                    break;
                }
                let factor = rng.random_range(4.0..10.0);
                let at = |time_s: f64| Moment((time_s * 1e6) as u64);
                let slow = Fault::Slow { server, factor };
                faults.push(TimedFault {
                    at: at(time_s),
                    fault: slow,
                });
                time_s += rng.random_range(5.0..20.0);
                let usual = Fault::Slow {
                    server,
                    factor: 1.0,
                };
                faults.push(TimedFault {
                    at: at(time_s),
                    fault: usual,
                });
            }
        }
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}

/// Experiment by name.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// What it shows.
    pub about: &'static str,
    /// Runs.
    pub runs: Vec<RunSpec>,
    /// Policies to compare.
    pub variants: Vec<PolicyVariant>,
}

const LOAD: LoadSpec = LoadSpec {
    utilisation: 0.6,
    amplitude: 0.2,
    day: Duration::from_secs(200),
    long_factor: 1.0,
    demand: [1.0; 4],
    crashing: 0,
    copies: 1,
};

fn usual(deployment: DeploymentSpec) -> RunSpec {
    RunSpec {
        deployment,
        load: LOAD,
        duration: Duration::from_secs(300),
        measured_from: WARM_UP,
        report_lag: REPORT_LAG,
        plan: FaultPlan::Calm,
        resends: 0,
        outage: None,
    }
}

/// All experiments.
pub fn experiments() -> Vec<Experiment> {
    let baselines = [PRODUCT, ROUND_ROBIN, LEAST_REPORTED, FIFO];
    let routers = [
        PRODUCT,
        PRODUCT_ROUND_ROBIN,
        PRODUCT_LEAST_REPORTED,
        OWNER_NODE,
    ];
    let with = |base: &[PolicyVariant], more: &[PolicyVariant]| [base, more].concat();
    let awning = usual(AWNING);
    let load = |load: LoadSpec| RunSpec { load, ..awning };
    let plan = |plan: FaultPlan| RunSpec { plan, ..awning };
    vec![
        Experiment {
            name: "steady",
            about: "usual load without faults",
            runs: vec![awning, usual(HUON)],
            variants: with(
                &baselines,
                &[LATENCY_FIRST, routers[1], routers[2], OWNER_NODE],
            ),
        },
        Experiment {
            name: "peak-shift",
            about: "daily peaks at different hours exceed the capacity of their region",
            runs: [AWNING, HUON]
                .map(|deployment| RunSpec {
                    load: LoadSpec {
                        utilisation: 0.7,
                        amplitude: 0.8,
                        ..LOAD
                    },
                    duration: Duration::from_secs(400),
                    ..usual(deployment)
                })
                .to_vec(),
            variants: with(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "stragglers",
            about: "servers slow down for 5 to 20 s",
            runs: vec![plan(FaultPlan::SlowPeriods)],
            variants: with(&baselines, &[PRODUCT_FIFO, PRODUCT_NO_EJECTION]),
        },
        Experiment {
            name: "region-loss",
            about: "a region loses its capacity, which returns with cold caches",
            runs: vec![RunSpec {
                load: LoadSpec {
                    utilisation: 0.45,
                    ..LOAD
                },
                outage: Some((Duration::from_secs(100), Duration::from_secs(150), 0)),
                ..plan(FaultPlan::RegionLoss)
            }],
            variants: with(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "partition",
            about: "a region is cut off from the others",
            runs: vec![RunSpec {
                load: LoadSpec {
                    utilisation: 0.7,
                    amplitude: 0.6,
                    ..LOAD
                },
                ..plan(FaultPlan::Partition)
            }],
            variants: with(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "crashing-request",
            about: "a request crashes every server that runs it and is sent again",
            // One caller, and three callers at the same time.
            runs: [(AWNING, 1), (HUON, 3)]
                .map(|(deployment, copies)| RunSpec {
                    load: LoadSpec {
                        crashing: 1,
                        copies,
                        ..LOAD
                    },
                    resends: 20,
                    ..usual(deployment)
                })
                .to_vec(),
            variants: baselines.to_vec(),
        },
        Experiment {
            name: "greedy-member",
            about: "one member asks for many times its share",
            runs: vec![load(LoadSpec {
                utilisation: 1.0,
                amplitude: 0.0,
                demand: [1.1, 1.1, 1.1, 8.0],
                ..LOAD
            })],
            variants: baselines.to_vec(),
        },
        Experiment {
            name: "long-behind-short",
            about: "long work fills all slots while short questions arrive",
            runs: vec![load(LoadSpec {
                utilisation: 0.95,
                amplitude: 0.1,
                long_factor: 2.0,
                ..LOAD
            })],
            variants: with(&baselines, &[PRODUCT_FIFO]),
        },
        Experiment {
            name: "cold-return",
            about: "a region returns with cold caches under load",
            runs: [AWNING, HUON]
                .map(|deployment| RunSpec {
                    plan: FaultPlan::ColdReturn,
                    load: LoadSpec {
                        utilisation: 0.75,
                        ..LOAD
                    },
                    measured_from: Duration::from_secs(150),
                    duration: Duration::from_secs(300),
                    ..usual(deployment)
                })
                .to_vec(),
            variants: with(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "lagging-reports",
            about: "load reports lag by 5 s",
            runs: vec![RunSpec {
                load: LoadSpec {
                    utilisation: 0.75,
                    amplitude: 0.4,
                    ..LOAD
                },
                report_lag: Duration::from_secs(5),
                ..awning
            }],
            variants: with(&routers, &[ROUND_ROBIN, LEAST_REPORTED]),
        },
    ]
}
