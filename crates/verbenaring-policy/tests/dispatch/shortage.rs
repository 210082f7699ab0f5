//! Tests of the admission of calls while engines have too little room for all.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::dispatch::shortage::{Admission, CallRank, ShortageGate};
use verbenaring_policy::time::Moment;

const TARGET: f64 = 0.75;
const STEP: Duration = Duration::from_millis(20);
/// Time constant with which the stated busy fraction follows the admitted work.
const RATE_TIME: f64 = 1.5;
/// Steps by which what is stated lags behind.
const LAG_STEPS: usize = 15;
/// Tokens a second that keep the engines busy all of the time, in thousandths.
const TOKENS_PER_S: f64 = 100_000.0;

const LONG: CallRank = CallRank {
    tenant: 1,
    route: 0,
};
const SHORT: CallRank = CallRank {
    tenant: 1,
    route: 2,
};

/// Work asked for at a rank, as a fraction of what the engines can do.
type Demand = (CallRank, f64);

/// Engines of a region behind one gate.
struct Region {
    gate: ShortageGate,
    rng: ChaCha8Rng,
    now: Moment,
    busy: f64,
    stated: Vec<f64>,
}

/// Parts of the work that were admitted, by demand, and the mean busy fraction.
#[derive(Debug)]
struct Outcome {
    parts: Vec<f64>,
    busy: f64,
}

impl Region {
    fn new(seed: u64) -> Self {
        Self {
            gate: ShortageGate::default(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Moment::default(),
            busy: 0.0,
            stated: vec![0.0; LAG_STEPS],
        }
    }

    fn run(&mut self, seconds: f64, demands: &[Demand]) -> Outcome {
        let steps = (seconds / STEP.as_secs_f64()) as usize;
        let mut admitted = vec![0.0; demands.len()];
        let mut total_busy = 0.0;
        for _ in 0..steps {
            self.now = self.now + STEP;
            let busy = self.stated.remove(0);
            let mut work = 0.0;
            for (index, (rank, demand)) in demands.iter().enumerate() {
                let tokens = demand * TOKENS_PER_S * STEP.as_secs_f64();
                self.gate.record_asked(*rank, tokens as u32, self.now);
                let admission = self.gate.admission(*rank, busy, TARGET, self.now);
                if self.rng.random::<f64>() < admission.part {
                    work += demand;
                    admitted[index] += 1.0;
                }
            }
            let weight = STEP.as_secs_f64() / RATE_TIME;
            self.busy += (work - self.busy) * weight;
            self.stated.push(self.busy);
            total_busy += self.busy;
        }
        Outcome {
            parts: admitted.iter().map(|count| count / steps as f64).collect(),
            busy: total_busy / steps as f64,
        }
    }
}

/// Guards against refusals while there is room for all calls.
#[test]
fn all_calls_are_admitted_below_the_target() {
    for seed in 0..5 {
        let outcome = Region::new(seed).run(20.0, &[(LONG, 0.3), (SHORT, 0.3)]);
        assert_eq!(outcome.parts, [1.0, 1.0], "seed {seed}: {outcome:?}");
    }
}

/// Guards against short calls that crowd out the long ones that go first: callers ask for
/// 1.5 times and for 3 times what the engines can do.
#[test]
fn the_least_urgent_calls_are_refused_in_a_burst() {
    for seed in 0..5 {
        for short in [1.0, 2.5] {
            let mut region = Region::new(seed);
            region.run(5.0, &[(LONG, 0.3), (SHORT, 0.3)]);
            region.run(4.0, &[(LONG, 0.5), (SHORT, short)]);
            let outcome = region.run(10.0, &[(LONG, 0.5), (SHORT, short)]);
            let seen = format!("seed {seed}, short {short}: {outcome:?}");
            assert!(outcome.parts[0] >= 0.95, "{seen}");
            assert!((outcome.busy - TARGET).abs() < 0.1, "{seen}");
            // What is left goes to the short calls.
            let left = (TARGET - 0.5) / short;
            assert!(outcome.parts[1] >= 0.6 * left, "{seen}");
        }
    }
}

/// Guards against engines that stay beyond the target where the most urgent calls alone
/// exceed it.
#[test]
fn urgent_calls_are_refused_if_they_alone_exceed_the_target() {
    let mut region = Region::new(1);
    region.run(6.0, &[(LONG, 1.5), (SHORT, 0.5)]);
    let outcome = region.run(10.0, &[(LONG, 1.5), (SHORT, 0.5)]);
    assert!((outcome.busy - TARGET).abs() < 0.1, "{outcome:?}");
    assert!(outcome.parts[0] >= 0.4, "{outcome:?}");
    assert!(outcome.parts[1] < 0.05, "{outcome:?}");
}

/// Guards against refusals that last after the load has gone.
#[test]
fn all_calls_are_admitted_again_after_a_burst() {
    for seed in 0..5 {
        let mut region = Region::new(seed);
        region.run(10.0, &[(LONG, 0.5), (SHORT, 2.5)]);
        region.run(3.0, &[(LONG, 0.2), (SHORT, 0.2)]);
        let outcome = region.run(5.0, &[(LONG, 0.2), (SHORT, 0.2)]);
        assert_eq!(outcome.parts, [1.0, 1.0], "seed {seed}: {outcome:?}");
    }
}

/// Guards against a route's rank that goes before that of a tenant.
#[test]
fn the_rank_of_the_tenant_goes_first() {
    let first_tenant = CallRank {
        tenant: 0,
        route: 2,
    };
    let mut region = Region::new(1);
    region.run(6.0, &[(first_tenant, 0.5), (LONG, 1.0)]);
    let outcome = region.run(10.0, &[(first_tenant, 0.5), (LONG, 1.0)]);
    assert!(outcome.parts[0] >= 0.95, "{outcome:?}");
    assert!(outcome.parts[1] <= 0.5, "{outcome:?}");
}

/// Guards against a region that is flooded by what all others cannot take, and against calls
/// that are refused although another region has room.
#[test]
fn excess_goes_to_regions_with_room() {
    let admission = Admission {
        part: 0.0,
        excess: 0.5,
    };
    assert_eq!(admission.spill_part(0.75, TARGET, (30, 10)), 0.0);
    assert_eq!(admission.spill_part(0.9, TARGET, (30, 10)), 0.0);
    let part = admission.spill_part(0.25, TARGET, (30, 10));
    // Ten engines have room for a third of the excess of thirty; half of it is used.
    assert!((part - 1.0 / 6.0).abs() < 1e-9, "{part}");
    assert_eq!(admission.spill_part(0.0, TARGET, (5, 60)), 1.0);
}
