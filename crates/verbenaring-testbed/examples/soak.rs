//! Soak test: runs real node processes under load and injected faults, and
//! checks the answers that callers received.
//!
//! The store, the engines and the plain services are stand-ins in this
//! process. The test stops only processes that it started, and it stops them
//! also when it is interrupted. It exits with code 1 after a violation.

#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use verbenaring_gateway::etcd::EtcdStore;
use verbenaring_gateway::store::SwapOutcome;
use verbenaring_policy::id::ChangeId;
use verbenaring_testbed::{
    EngineServer, EngineSettings, ServiceServer, ServiceSettings, StoreServer, StoreSettings,
};

#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/load.rs"]
mod load;
#[path = "soak/operators.rs"]
mod operators;

use faults::{ExternalSystems, run_faults};
use fleet::{CentrePlan, prepare_fleet};
use load::{Caller, Load, LoadReport};
use operators::{
    OperatorContext, RestrictedPeriod, RevisionMonitor, amend, contract, run_operators,
};

type RunResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Time after the last fault within which every change must be in force on all running nodes.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(20);
const ENGINES_PER_CENTRE: usize = 2;
/// Checks that are always printed with their number of violations, also when it is zero.
const CHECKS: [&str; 13] = [
    "operation run twice",
    "wrong not_run",
    "confirmed booking that did not run",
    "answer to the wrong caller",
    "partial answer that looked complete",
    "request lost without an error",
    "revision went backwards",
    "residency violation",
    "change not in force everywhere",
    "accepted amendment was lost",
    "both operators won",
    "stopped node is still named",
    "valid key refused",
];

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Runs node processes under load and injected faults.
        cmd soak {
            /// Time during which faults are injected, in seconds (default 60).
            optional --seconds seconds: u64
            /// Seed of the load and the faults (default 1).
            optional --seed seed: u64
            /// Directory in which settings and logs of the nodes are kept.
            optional --logs directory: PathBuf
        }
    }
}

const CENTRES: [CentrePlan; 3] = [
    CentrePlan {
        region: "dublin",
        name: "dublin-a",
        nodes: 3,
    },
    CentrePlan {
        region: "dublin",
        name: "dublin-b",
        nodes: 2,
    },
    CentrePlan {
        region: "cork",
        name: "cork-a",
        nodes: 2,
    },
];
/// Data centres with a booking service; `dublin-b` has none and forwards its bookings.
const SERVICE_CENTRES: [&str; 2] = ["dublin-a", "cork-a"];

const CALLERS: [Caller; 9] = [
    Caller {
        customer: "council",
        region: None,
    },
    Caller {
        customer: "council",
        region: None,
    },
    Caller {
        customer: "council",
        region: None,
    },
    Caller {
        customer: "council",
        region: Some("cork"),
    },
    Caller {
        customer: "bound",
        region: Some("dublin"),
    },
    Caller {
        customer: "bound",
        region: Some("dublin"),
    },
    Caller {
        customer: "roaming",
        region: Some("dublin"),
    },
    Caller {
        customer: "roaming",
        region: None,
    },
    Caller {
        customer: "roaming",
        region: Some("cork"),
    },
];

fn main() -> ExitCode {
    let flags = flags::Soak::from_env_or_exit();
    let seed = flags.seed.unwrap_or(1);
    let duration = Duration::from_secs(flags.seconds.unwrap_or(60));
    let runtime = tokio::runtime::Runtime::new().expect("the runtime starts");
    let result = runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate())?;
        // On a signal the future of `run` is dropped, which kills the node processes.
        tokio::select! {
            result = run(seed, duration, flags.logs.as_deref()) => result,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
            _ = terminate.recv() => Err("terminated".into()),
        }
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("soak: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(seed: u64, duration: Duration, logs: Option<&Path>) -> RunResult<bool> {
    let temporary = tempfile::tempdir()?;
    let directory = logs.unwrap_or(temporary.path());
    std::fs::create_dir_all(directory)?;
    let systems = Arc::new(start_external_systems().await?);
    let fleet = prepare_fleet(&CENTRES, directory, systems.store.address())?;
    let writer = || EtcdStore::new(&[systems.store.address()], Duration::from_secs(2));
    write_documents(&writer(), &systems).await?;
    for node in &fleet {
        node.start()?;
    }
    for node in &fleet {
        if !node.wait_ready().await {
            return Err(format!("{} did not become ready", node.vm).into());
        }
    }
    let start = Instant::now();
    let report = Arc::new(LoadReport::default());
    let monitor = Arc::new(RevisionMonitor::default());
    let load = Arc::new(Load {
        fleet: fleet.clone(),
        report: report.clone(),
        start,
        cancellation: CancellationToken::new(),
    });
    let operators_cancellation = CancellationToken::new();
    let monitor_cancellation = CancellationToken::new();
    let _guards = [
        load.cancellation.clone().drop_guard(),
        monitor_cancellation.clone().drop_guard(),
    ];
    let mut callers = JoinSet::new();
    for (index, caller) in CALLERS.into_iter().enumerate() {
        callers.spawn(load.clone().run_caller(caller, seed * 100 + index as u64));
    }
    let mut monitors = JoinSet::new();
    let context = (
        monitor.clone(),
        fleet.clone(),
        systems.clone(),
        report.clone(),
    );
    let cancellation = monitor_cancellation.clone();
    monitors.spawn(async move {
        context
            .0
            .run(&context.1, &context.2, &context.3, cancellation)
            .await
    });
    let mut operators = JoinSet::new();
    operators.spawn(run_operators(
        OperatorContext {
            writer: writer(),
            fleet: fleet.clone(),
            monitor: monitor.clone(),
            report: report.clone(),
        },
        operators_cancellation.clone(),
    ));
    run_faults(
        seed,
        duration,
        fleet.clone(),
        systems.clone(),
        report.clone(),
    )
    .await;
    operators_cancellation.cancel();
    let periods = operators
        .join_next()
        .await
        .ok_or("the operators task did not start")??;
    load.cancellation.cancel();
    while callers.join_next().await.is_some() {}
    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    while monitor.totals().1 > 0 && Instant::now() < deadline {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    monitor_cancellation.cancel();
    while monitors.join_next().await.is_some() {}
    for node in &fleet {
        node.kill().await;
    }
    check_executions(&systems, &report, &periods, start);
    check_pending_changes(&monitor, &report);
    Ok(print_report(seed, duration, &monitor, &report))
}

async fn start_external_systems() -> RunResult<ExternalSystems> {
    let mut engines = Vec::new();
    let mut services = Vec::new();
    for centre in &CENTRES {
        for _ in 0..ENGINES_PER_CENTRE {
            let settings = EngineSettings {
                keep_prompts: true,
                ..EngineSettings::default()
            };
            engines.push((centre.region, EngineServer::start(settings).await?));
        }
    }
    for name in SERVICE_CENTRES {
        let centre = CENTRES.iter().find(|centre| centre.name == name);
        let region = centre
            .ok_or("a service is assigned to an unknown data centre")?
            .region;
        services.push((
            region,
            ServiceServer::start(ServiceSettings::default()).await?,
        ));
    }
    Ok(ExternalSystems {
        store: StoreServer::start(StoreSettings {
            latency: Duration::from_millis(2),
        })
        .await?,
        engines,
        services,
        store_healthy_since: Mutex::new(Some(Instant::now())),
    })
}

async fn write_documents(writer: &EtcdStore, systems: &ExternalSystems) -> RunResult<()> {
    let mut documents: Vec<(String, Value)> = Vec::new();
    for (index, (_, engine)) in systems.engines.iter().enumerate() {
        let centre = &CENTRES[index / ENGINES_PER_CENTRE];
        let server = format!("{}-engine-{}", centre.name, index % ENGINES_PER_CENTRE);
        let settings = EngineSettings::default();
        documents.push((
            format!("config/server/{}/{server}", centre.name),
            json!({
                "server": server, "region": centre.region, "data_centre": centre.name,
                "address": engine.address(), "kind": "engine", "resumes": true,
                "models": settings.model_names, "slots": settings.slots,
                "tokens_per_s": settings.tokens_per_s,
            }),
        ));
    }
    for (name, (region, service)) in SERVICE_CENTRES.iter().zip(&systems.services) {
        documents.push((
            format!("config/server/{name}/{name}-service"),
            json!({
                "server": format!("{name}-service"), "region": region, "data_centre": name,
                "address": service.address(), "kind": "service", "services": ["jobs"],
            }),
        ));
    }
    for (customer, allowed) in [
        ("council", &["dublin", "cork"][..]),
        ("bound", &["dublin"]),
        ("roaming", &["dublin", "cork"]),
    ] {
        let key = format!("config/contract/{customer}");
        documents.push((key, contract(customer, allowed)));
    }
    for (key, document) in documents {
        let change = ChangeId(Uuid::new_v4());
        let outcome = amend(writer, &key, None, &document, change).await;
        if !matches!(outcome, Some(SwapOutcome::Written(_))) {
            return Err(format!("the store did not write {key}").into());
        }
    }
    Ok(())
}

/// Compares the answers that callers received with what the stand-ins executed.
fn check_executions(
    systems: &ExternalSystems,
    report: &LoadReport,
    periods: &[RestrictedPeriod],
    start: Instant,
) {
    let mut executions: BTreeMap<String, usize> = BTreeMap::new();
    for (region, service) in &systems.services {
        for call in service.calls() {
            if *region != "dublin" && call.operation.starts_with("bound-") {
                report.record_violation(
                    "residency violation",
                    format!("{} in {region}", call.operation),
                );
            }
            *executions.entry(call.operation).or_default() += 1;
        }
    }
    for booking in report.bookings.lock().unwrap().iter() {
        let runs = executions.get(&booking.operation).copied().unwrap_or(0);
        if runs > 1 {
            let detail = format!("{} ran {runs} times", booking.operation);
            report.record_violation("operation run twice", detail);
        }
        if runs > 0 && booking.all_not_run {
            report.record_violation("wrong not_run", booking.operation.clone());
        }
        if runs == 0 && booking.confirmed {
            report.record_violation(
                "confirmed booking that did not run",
                booking.operation.clone(),
            );
        }
    }
    for (region, engine) in &systems.engines {
        for prompt in engine.prompts().iter().filter(|_| *region != "dublin") {
            let sent = first_sent_at(&prompt.text, start);
            // A request that waits, at a node that is paused for example, may run once the
            // contract allows it again.
            let covers =
                |period: &&RestrictedPeriod| sent > period.from && prompt.started < period.until;
            let is_roaming = prompt.text.starts_with("roaming-");
            let restricted = periods.iter().filter(|_| is_roaming).find(covers);
            if prompt.text.starts_with("bound-") || restricted.is_some() {
                let since_start = |at: Instant| at.saturating_duration_since(start);
                let times = restricted.map(|period| [period.from, period.until].map(since_start));
                let detail = format!(
                    "{} in {region}, started at {:?}, restricted in {times:?}",
                    prompt.text,
                    since_start(prompt.started)
                );
                report.record_violation("residency violation", detail);
            }
        }
    }
}

/// Time of the first try of a prompt, which the caller writes into it as
/// milliseconds since `start`.
fn first_sent_at(prompt: &str, start: Instant) -> Instant {
    let millis = prompt.split(' ').nth(1).and_then(|text| text.parse().ok());
    start + Duration::from_millis(millis.unwrap_or(0))
}

fn check_pending_changes(monitor: &RevisionMonitor, report: &LoadReport) {
    let (_, pending_count, _) = monitor.totals();
    if pending_count > 0 {
        report.record_violation(
            "change not in force everywhere",
            format!("{pending_count} changes"),
        );
    }
}

fn print_report(
    seed: u64,
    duration: Duration,
    monitor: &RevisionMonitor,
    report: &LoadReport,
) -> bool {
    let violations = report.violations.lock().unwrap();
    println!("seed {seed}, {} s of faults", duration.as_secs());
    for check in CHECKS {
        let count = violations.iter().filter(|(kind, _)| *kind == check).count();
        println!("  {check}: {count}");
    }
    for (kind, detail) in violations.iter().filter(|(kind, _)| !CHECKS.contains(kind)) {
        println!("  {kind}: {detail}");
    }
    let count = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    let requests = count(&report.requests);
    let succeeded = count(&report.succeeded);
    let excluded = count(&report.excluded);
    let share = 100.0 * succeeded as f64 / (requests - excluded).max(1) as f64;
    println!("  requests: {requests}, tries: {}", count(&report.tries));
    println!("  refused by residency: {excluded}");
    println!("  succeeded: {succeeded} ({share:.2}%)");
    println!(
        "  failed, by the last answer: {:?}",
        report.failures.lock().unwrap()
    );
    println!("  refusals: {:?}", report.refusals.lock().unwrap());
    let (changes, _, longest_delay) = monitor.totals();
    println!("  changes: {changes}, longest until in force on all live nodes: {longest_delay:.2?}");
    violations.is_empty()
}
