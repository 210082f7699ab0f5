//! Runs the policies of the gateway in a discrete-event simulation.
//!
//! The routing, queueing, admission and retry code is the same that the daemon
//! uses. Engines are simulated by a simple model, the network by fixed delays
//! and a link rate per pair of regions. Everything runs in one thread under
//! virtual time, so the same seed gives the same output.

mod attempt;
pub mod call_queue;
mod dispatch;
pub mod engine;
pub mod event_queue;
mod fault;
pub mod measure;
pub mod node;
pub mod report;
pub mod scenario;
pub mod simulation;
pub mod variant;
pub mod workload;

use report::{ExperimentReport, PolicyResult};
use scenario::Experiment;
use simulation::Simulation;
use variant::PolicyVariant;

/// Runs an experiment with all its policies, or with only one of them.
pub fn run(experiment: &Experiment, seed: u64, only: Option<PolicyVariant>) -> ExperimentReport {
    let variants = only.map_or_else(|| experiment.variants.clone(), |variant| vec![variant]);
    let mut results = Vec::new();
    for spec in &experiment.runs {
        for variant in &variants {
            let record = Simulation::new(spec, *variant, seed).run_to_end();
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
