//! Experiments: deployments, load, faults and the policies to compare.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp};
use verbenaring_policy::time::Moment;

use super::measure::WARM_UP_TIME;
use super::variant::{
    FIFO, LATENCY_FIRST, LEAST_REPORTED, OWNER_NODE, PRODUCT, PRODUCT_FIFO, PRODUCT_LEAST_REPORTED,
    PRODUCT_NO_EJECTION, PRODUCT_ROUND_ROBIN, PolicyVariant, ROUND_ROBIN,
};
use super::workload::{AWNING, DeploymentSpec, HUON, LoadSpec};

/// Usual delay until nodes see the load report of an engine.
const REPORT_LAG: Duration = Duration::from_secs(2);

/// Fault that is injected into a run, or its end.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// Changes the speed of a server.
    Slowdown {
        /// Index of the server.
        server: usize,
        /// Factor on the duration of a step; 1 restores the usual speed.
        factor: f64,
    },
    /// Crashes all engines of a region.
    RegionCrash(usize),
    /// Starts all engines of a region, with empty caches.
    RegionReturn(usize),
    /// Empties the caches of all engines of a region.
    ColdCaches(usize),
    /// Separates a region from the others.
    Partition(usize),
    /// Ends the partition.
    PartitionEnd,
}

/// Fault with the moment at which it is injected.
#[derive(Debug, Clone, Copy)]
pub struct TimedFault {
    /// Moment of the injection.
    pub at: Moment,
    /// Fault to inject.
    pub fault: Fault,
}

/// Set of faults of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultPlan {
    /// No faults.
    NoFaults,
    /// Random slow periods of every server.
    SlowPeriods,
    /// All engines of the first region crash after a third of the run and
    /// return at half time.
    RegionLoss,
    /// The first region is separated from the others between a third and a half
    /// of the run.
    Partition,
    /// The engines of the first region lose their caches at half time, as after
    /// a replacement.
    ColdReturn,
}

/// One run of an experiment.
#[derive(Debug, Clone, Copy)]
pub struct RunSpec {
    /// Regions, engines and request sizes.
    pub deployment: DeploymentSpec,
    /// Rate and mix of the calls.
    pub load: LoadSpec,
    /// Time during which calls arrive; the run ends when the last one has an
    /// outcome.
    pub duration: Duration,
    /// Calls sent earlier do not count in latency, throughput, forwarding,
    /// fairness and completion.
    pub measured_from: Duration,
    /// Delay until nodes see the load report of an engine.
    pub report_lag: Duration,
    /// Faults to inject.
    pub fault_plan: FaultPlan,
    /// How often the caller of a crashing request sends it again.
    pub resends: u32,
    /// Start and end of an outage and its region, to measure the recovery time.
    pub outage: Option<(Duration, Duration, usize)>,
}

impl RunSpec {
    /// Faults of the run in the order of time.
    pub fn faults(&self, seed: u64) -> Vec<TimedFault> {
        let half = self.duration / 2;
        let third = self.duration / 3;
        let fault = |at: Duration, fault: Fault| TimedFault {
            at: Moment::default() + at,
            fault,
        };
        match self.fault_plan {
            FaultPlan::NoFaults => Vec::new(),
            FaultPlan::SlowPeriods => self.slow_periods(seed),
            FaultPlan::RegionLoss => vec![
                fault(third, Fault::RegionCrash(0)),
                fault(half, Fault::RegionReturn(0)),
            ],
            FaultPlan::Partition => {
                vec![
                    fault(third, Fault::Partition(0)),
                    fault(half, Fault::PartitionEnd),
                ]
            }
            FaultPlan::ColdReturn => vec![fault(half, Fault::ColdCaches(0))],
        }
    }

    /// Slow periods of 5 to 20 s for each server, about every 100 s, in which
    /// its steps take 4 to 10 times as long.
    fn slow_periods(&self, seed: u64) -> Vec<TimedFault> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x510);
        let gap_s = Exp::new(1.0 / 90.0).expect("a positive rate");
        let mut faults = Vec::new();
        for server in 0..self.deployment.engines() {
            let mut time_s = 0.0;
            loop {
                time_s += gap_s.sample(&mut rng);
                if time_s >= self.duration.as_secs_f64() {
                    break;
                }
                let factor = rng.random_range(4.0..10.0);
                let at = |time_s: f64| Moment((time_s * 1e6) as i64);
                let slowdown = Fault::Slowdown { server, factor };
                faults.push(TimedFault {
                    at: at(time_s),
                    fault: slowdown,
                });
                time_s += rng.random_range(5.0..20.0);
                let restored = Fault::Slowdown {
                    server,
                    factor: 1.0,
                };
                faults.push(TimedFault {
                    at: at(time_s),
                    fault: restored,
                });
            }
        }
        faults.sort_by_key(|fault| fault.at);
        faults
    }
}

/// Named set of runs and of policies to compare in them.
#[derive(Debug, Clone)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description for the list of experiments.
    pub description: &'static str,
    /// Runs; each is made with every policy.
    pub runs: Vec<RunSpec>,
    /// Policies to compare.
    pub variants: Vec<PolicyVariant>,
}

/// Load of a run unless its experiment changes it.
const DEFAULT_LOAD: LoadSpec = LoadSpec {
    utilisation: 0.6,
    amplitude: 0.2,
    day: Duration::from_secs(200),
    long_factor: 1.0,
    demand: [1.0; 4],
    crashing: 0,
    copies: 1,
};

/// Run with the default load and without faults.
fn default_run(deployment: DeploymentSpec) -> RunSpec {
    RunSpec {
        deployment,
        load: DEFAULT_LOAD,
        duration: Duration::from_secs(300),
        measured_from: WARM_UP_TIME,
        report_lag: REPORT_LAG,
        fault_plan: FaultPlan::NoFaults,
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
    let extended = |base: &[PolicyVariant], more: &[PolicyVariant]| [base, more].concat();
    let awning = default_run(AWNING);
    let with_load = |load: LoadSpec| RunSpec { load, ..awning };
    let with_faults = |fault_plan: FaultPlan| RunSpec {
        fault_plan,
        ..awning
    };
    vec![
        Experiment {
            name: "steady",
            description: "usual load without faults",
            runs: vec![awning, default_run(HUON)],
            variants: extended(
                &baselines,
                &[LATENCY_FIRST, routers[1], routers[2], OWNER_NODE],
            ),
        },
        Experiment {
            name: "peak-shift",
            description: "daily peaks at different hours exceed the capacity of their region",
            runs: [AWNING, HUON]
                .map(|deployment| RunSpec {
                    load: LoadSpec {
                        utilisation: 0.7,
                        amplitude: 0.8,
                        ..DEFAULT_LOAD
                    },
                    duration: Duration::from_secs(400),
                    ..default_run(deployment)
                })
                .to_vec(),
            variants: extended(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "stragglers",
            description: "servers slow down for 5 to 20 s",
            runs: vec![with_faults(FaultPlan::SlowPeriods)],
            variants: extended(&baselines, &[PRODUCT_FIFO, PRODUCT_NO_EJECTION]),
        },
        Experiment {
            name: "region-loss",
            description: "a region loses its capacity, which returns with cold caches",
            runs: vec![RunSpec {
                load: LoadSpec {
                    utilisation: 0.45,
                    ..DEFAULT_LOAD
                },
                outage: Some((Duration::from_secs(100), Duration::from_secs(150), 0)),
                ..with_faults(FaultPlan::RegionLoss)
            }],
            variants: extended(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "partition",
            description: "a region is cut off from the others",
            runs: vec![RunSpec {
                load: LoadSpec {
                    utilisation: 0.7,
                    amplitude: 0.6,
                    ..DEFAULT_LOAD
                },
                ..with_faults(FaultPlan::Partition)
            }],
            variants: extended(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "crashing-request",
            description: "a request crashes every server that runs it and is sent again",
            // One caller sends the request; in the second run three callers
            // send it at the same time.
            runs: [(AWNING, 1), (HUON, 3)]
                .map(|(deployment, copies)| RunSpec {
                    load: LoadSpec {
                        crashing: 1,
                        copies,
                        ..DEFAULT_LOAD
                    },
                    resends: 20,
                    ..default_run(deployment)
                })
                .to_vec(),
            variants: baselines.to_vec(),
        },
        Experiment {
            name: "greedy-member",
            description: "one member asks for many times its share",
            runs: vec![with_load(LoadSpec {
                utilisation: 1.0,
                amplitude: 0.0,
                demand: [1.1, 1.1, 1.1, 8.0],
                ..DEFAULT_LOAD
            })],
            variants: baselines.to_vec(),
        },
        Experiment {
            name: "long-behind-short",
            description: "long work fills all slots while short questions arrive",
            runs: vec![with_load(LoadSpec {
                utilisation: 0.95,
                amplitude: 0.1,
                long_factor: 2.0,
                ..DEFAULT_LOAD
            })],
            variants: extended(&baselines, &[PRODUCT_FIFO]),
        },
        Experiment {
            name: "cold-return",
            description: "a region returns with cold caches under load",
            runs: [AWNING, HUON]
                .map(|deployment| RunSpec {
                    fault_plan: FaultPlan::ColdReturn,
                    load: LoadSpec {
                        utilisation: 0.75,
                        ..DEFAULT_LOAD
                    },
                    measured_from: Duration::from_secs(150),
                    duration: Duration::from_secs(300),
                    ..default_run(deployment)
                })
                .to_vec(),
            variants: extended(&baselines, &[LATENCY_FIRST]),
        },
        Experiment {
            name: "lagging-reports",
            description: "load reports lag by 5 s",
            runs: vec![RunSpec {
                load: LoadSpec {
                    utilisation: 0.75,
                    amplitude: 0.4,
                    ..DEFAULT_LOAD
                },
                report_lag: Duration::from_secs(5),
                ..awning
            }],
            variants: extended(&routers, &[ROUND_ROBIN, LEAST_REPORTED]),
        },
    ]
}
