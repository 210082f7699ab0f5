//! Experiments with the product's own decisions under virtual time.
//!
//! Back ends are small fakes, the network is a set of fixed delays with a link
//! rate per pair of regions, and everything runs in one thread. The same seed
//! gives the same output.

pub mod agenda;
mod attempt;
pub mod engine;
mod fault;
mod flow;
pub mod measure;
pub mod node;
pub mod report;
pub mod scenario;
pub mod variant;
pub mod waiting;
pub mod workload;
pub mod world;

use report::{ExperimentReport, PolicyResult};
use scenario::Experiment;
use variant::PolicyVariant;
use world::World;

/// Runs an experiment; all its policies, or only one of them.
pub fn run(experiment: &Experiment, seed: u64, only: Option<PolicyVariant>) -> ExperimentReport {
    let variants = only.map_or_else(|| experiment.variants.clone(), |variant| vec![variant]);
    let mut results = Vec::new();
    for spec in &experiment.runs {
        for variant in &variants {
            let record = World::new(spec, *variant, seed).finish();
            results.push(PolicyResult {
                deployment: spec.deployment.name,
                policy: variant.name,
                measures: record.measures(spec),
                short_latency: record.short_latency(spec),
            });
        }
    }
    ExperimentReport::new(experiment, seed, results)
}
