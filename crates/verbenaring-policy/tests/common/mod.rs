//! Shorthands for names, and the proptest runner with a fixed seed, for several tests.
#![allow(dead_code)]

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use verbenaring_policy::id::{CustomerId, MemberId, VmId};

pub fn member(name: &str) -> MemberId {
    MemberId::new(name).unwrap()
}

pub fn customer(name: &str) -> CustomerId {
    CustomerId::new(name).unwrap()
}

pub fn vm(name: &str) -> VmId {
    VmId::new(name).unwrap()
}

/// Returns a proptest runner with a fixed seed, so that every run tests the same 256
/// cases.
pub fn runner(seed: u8) -> TestRunner {
    let config = Config {
        cases: 256,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    TestRunner::new_with_rng(config, rng)
}
