//! Learned times of engines.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use verbenaring_policy::dispatch::forecast::FirstEventModel;

use super::fixture::*;

/// Base time of the simulated engine, in ms.
const BASE_MS: f64 = 55.0;
/// Time per 1,000 tokens of the simulated engine, in ms.
const KTOKEN_MS: f64 = 8.9;

#[test]
fn learns_the_time_to_the_first_event() {
    let mut model = FirstEventModel::default();
    for round in 0..200_u64 {
        let tokens = 500 + (round * 7_919) % 20_000;
        model.learn(tokens, ms(30) + Duration::from_micros(tokens * 20));
    }
    let predicted = model.predict(10_000).as_millis();
    assert!(
        (220..240).contains(&predicted),
        "{predicted} ms instead of 230"
    );
}

/// Guards against incident inc-1e3c of opam-crankline: calls waited behind work
/// that this VM did not know of, the learned time per token rose to ten times
/// the true one, and calls were refused by engines that were free.
///
/// Load: a burst in which two calls of five wait up to 2 s more than predicted,
/// in phases, so that for a while most of them do.
#[test]
fn unseen_queues_do_not_inflate_the_read_time() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut model = FirstEventModel::default();
        for round in 0..1_000_u32 {
            let tokens = rng.random_range(1_000..40_000_u64);
            let delayed = rng.random_bool(if round % 100 < 20 { 0.8 } else { 0.3 });
            let unseen = match delayed {
                true => rng.random_range(100.0..2_000.0),
                false => rng.random_range(0.0..20.0),
            };
            let observed = BASE_MS + KTOKEN_MS * tokens as f64 / 1_000.0 + unseen;
            model.learn(tokens, Duration::from_secs_f64(observed / 1_000.0));
            let (_, ktoken_ms) = model.learned_ms();
            assert!(
                (0.5 * KTOKEN_MS..2.0 * KTOKEN_MS).contains(&ktoken_ms),
                "{ktoken_ms} ms per 1,000 tokens after {round} samples, seed {seed}"
            );
        }
    }
}

/// Load: engines that work four times as long as before.
#[test]
fn learns_that_all_engines_have_slowed_down() {
    let mut model = FirstEventModel::default();
    let sample = |tokens: u64, factor: f64| {
        let observed = factor * (BASE_MS + KTOKEN_MS * tokens as f64 / 1_000.0);
        Duration::from_secs_f64(observed / 1_000.0)
    };
    for round in 0..600_u64 {
        let tokens = 1_000 + (round * 7_919) % 30_000;
        let factor = if round < 300 { 1.0 } else { 4.0 };
        model.learn(tokens, sample(tokens, factor));
    }
    let predicted = model.predict(20_000).as_secs_f64();
    let expected = sample(20_000, 4.0).as_secs_f64();
    assert!(
        (0.85 * expected..1.15 * expected).contains(&predicted),
        "{predicted} s instead of {expected} s"
    );
}
