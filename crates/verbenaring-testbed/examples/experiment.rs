//! Compares the product's policy with baselines in a simulation under virtual
//! time.
//!
//! `cargo run --release --example experiment -- --list` prints the experiments.

use std::path::PathBuf;
use std::process::ExitCode;

use verbenaring_testbed::Result;
use verbenaring_testbed::experiment::run;
use verbenaring_testbed::experiment::scenario::{Experiment, experiments};
use verbenaring_testbed::experiment::variant::VARIANTS;

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs an experiment and prints the measures of each policy and the
        /// targets.
        cmd experiment {
            /// Name of the experiment.
            optional name: String
            /// Print the names of the experiments and policies.
            optional --list
            /// Seed of the workload, the faults and the decisions.
            optional --seed seed: u64
            /// Run this policy only.
            optional --policy policy: String
            /// Write the report with all measures as JSON to this file.
            optional --json json: PathBuf
            /// Draw the latency of short work as SVG to this file.
            optional --plot plot: PathBuf
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Experiment::from_env_or_exit();
    let experiments = experiments();
    if flags.list {
        print_list(&experiments);
        return ExitCode::SUCCESS;
    }
    let name = flags.name.as_deref().unwrap_or_default();
    let Some(experiment) = experiments
        .iter()
        .find(|experiment| experiment.name == name)
    else {
        eprintln!("experiment: unknown experiment {name:?}; --list prints the experiments");
        return ExitCode::FAILURE;
    };
    let policy = flags.policy.as_deref();
    let only = policy.and_then(|name| VARIANTS.into_iter().find(|variant| variant.name == name));
    if policy.is_some() && only.is_none() {
        eprintln!("experiment: unknown policy; --list prints the policies");
        return ExitCode::FAILURE;
    }
    let report = run(experiment, flags.seed.unwrap_or(1), only);
    print!("{}", report.text());
    let written = write(flags.json, |path| report.write_json(path))
        .and_then(|()| write(flags.plot, |path| report.write_plot(path)));
    if let Err(error) = written {
        eprintln!("experiment: {error}");
        return ExitCode::FAILURE;
    }
    if report.violations() > 0.0 {
        eprintln!("experiment: a run violated an invariant; see the measure `violations`");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn write(path: Option<PathBuf>, write: impl FnOnce(&std::path::Path) -> Result<()>) -> Result<()> {
    path.map_or(Ok(()), |path| write(&path))
}

fn print_list(experiments: &[Experiment]) {
    println!("Experiments:");
    for experiment in experiments {
        println!("  {:<20}{}", experiment.name, experiment.description);
    }
    println!("Policies:");
    for variant in VARIANTS {
        println!("  {}", variant.name);
    }
}
