//! Runs real node processes under load and faults and checks what callers saw.
//!
//! The store, the engines and the plain services are stand-ins in this
//! process. The run ends only processes that it started; they also end when
//! it is interrupted. Exit code 1 after a violation.

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

use faults::{Surroundings, run_faults};
use fleet::{CentrePlan, plan_fleet};
use load::{Caller, Load, LoadReport};
use operators::{NarrowPeriod, OperatorParts, RevisionMonitor, amend, contract, run_operators};

type RunResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Time after the last fault in which everything must settle.
const SETTLE_LIMIT: Duration = Duration::from_secs(20);
/// Engines of each data centre.
const ENGINES_PER_CENTRE: usize = 2;
/// Checks of the run, printed with their number of violations.
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
        /// Runs node processes under load and faults.
        cmd soak {
            /// Duration of the faults, in seconds.
            optional --seconds seconds: u64
            /// Seed of load and faults.
            optional --seed seed: u64
            /// Keep settings and logs of the nodes in this directory.
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
/// Data centres with a booking service; the third forwards its bookings.
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
        // Dropping the run kills the node processes that it started.
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
    let surroundings = Arc::new(start_surroundings().await?);
    let fleet = plan_fleet(&CENTRES, directory, surroundings.store.address())?;
    let writer = || EtcdStore::new(&[surroundings.store.address()], Duration::from_secs(2));
    write_documents(&writer(), &surroundings).await?;
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
        end: CancellationToken::new(),
    });
    let operators_end = CancellationToken::new();
    let monitor_end = CancellationToken::new();
    let _guards = [
        load.end.clone().drop_guard(),
        monitor_end.clone().drop_guard(),
    ];
    let mut callers = JoinSet::new();
    for (index, caller) in CALLERS.into_iter().enumerate() {
        callers.spawn(load.clone().call(caller, seed * 100 + index as u64));
    }
    let mut followers = JoinSet::new();
    let parts = (
        monitor.clone(),
        fleet.clone(),
        surroundings.clone(),
        report.clone(),
    );
    let end = monitor_end.clone();
    followers.spawn(async move { parts.0.run(&parts.1, &parts.2, &parts.3, end).await });
    let mut operators = JoinSet::new();
    operators.spawn(run_operators(
        OperatorParts {
            writer: writer(),
            fleet: fleet.clone(),
            monitor: monitor.clone(),
            report: report.clone(),
        },
        operators_end.clone(),
    ));
    run_faults(
        seed,
        duration,
        fleet.clone(),
        surroundings.clone(),
        report.clone(),
    )
    .await;
    operators_end.cancel();
    let periods = operators.join_next().await.ok_or("no operators")??;
    load.end.cancel();
    while callers.join_next().await.is_some() {}
    let limit = Instant::now() + SETTLE_LIMIT;
    while monitor.result().1 > 0 && Instant::now() < limit {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    monitor_end.cancel();
    while followers.join_next().await.is_some() {}
    for node in &fleet {
        node.kill().await;
    }
    check(&surroundings, &report, &periods, start);
    check_changes(&monitor, &report);
    Ok(print(seed, duration, &monitor, &report))
}

async fn start_surroundings() -> RunResult<Surroundings> {
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
        let region = centre.ok_or("unknown data centre")?.region;
        services.push((
            region,
            ServiceServer::start(ServiceSettings::default()).await?,
        ));
    }
    Ok(Surroundings {
        store: StoreServer::start(StoreSettings {
            latency: Duration::from_millis(2),
        })
        .await?,
        engines,
        services,
        store_works: Mutex::new(Some(Instant::now())),
    })
}

async fn write_documents(writer: &EtcdStore, surroundings: &Surroundings) -> RunResult<()> {
    let mut documents: Vec<(String, Value)> = Vec::new();
    for (index, (_, engine)) in surroundings.engines.iter().enumerate() {
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
    for (name, (region, service)) in SERVICE_CENTRES.iter().zip(&surroundings.services) {
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
            return Err(format!("{key} cannot be written").into());
        }
    }
    Ok(())
}

/// Compares what callers were told with what the stand-ins executed.
fn check(
    surroundings: &Surroundings,
    report: &LoadReport,
    periods: &[NarrowPeriod],
    start: Instant,
) {
    let mut executions: BTreeMap<String, usize> = BTreeMap::new();
    for (region, service) in &surroundings.services {
        for call in service.calls() {
            if *region != "dublin" && call.operation.starts_with("bound-") {
                report.find(
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
            report.find("operation run twice", detail);
        }
        if runs > 0 && booking.all_not_run {
            report.find("wrong not_run", booking.operation.clone());
        }
        if runs == 0 && booking.confirmed {
            report.find(
                "confirmed booking that did not run",
                booking.operation.clone(),
            );
        }
    }
    for (region, engine) in &surroundings.engines {
        for prompt in engine.prompts().iter().filter(|_| *region != "dublin") {
            let sent = sent_at(prompt, start);
            let in_force = |period: &NarrowPeriod| sent > period.from && sent < period.until;
            let roamed = prompt.starts_with("roaming-") && periods.iter().any(in_force);
            if prompt.starts_with("bound-") || roamed {
                report.find("residency violation", format!("{prompt} in {region}"));
            }
        }
    }
}

/// Time at which the caller sent a prompt first.
fn sent_at(prompt: &str, start: Instant) -> Instant {
    let millis = prompt.split(' ').nth(1).and_then(|text| text.parse().ok());
    start + Duration::from_millis(millis.unwrap_or(0))
}

fn check_changes(monitor: &RevisionMonitor, report: &LoadReport) {
    let (_, pending, _) = monitor.result();
    if pending > 0 {
        report.find(
            "change not in force everywhere",
            format!("{pending} changes"),
        );
    }
}

fn print(seed: u64, duration: Duration, monitor: &RevisionMonitor, report: &LoadReport) -> bool {
    let findings = report.findings.lock().unwrap();
    println!("seed {seed}, {} s of faults", duration.as_secs());
    for check in CHECKS {
        let count = findings.iter().filter(|(kind, _)| *kind == check).count();
        println!("  {check}: {count}");
    }
    for (kind, detail) in findings.iter().filter(|(kind, _)| !CHECKS.contains(kind)) {
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
    let (changes, _, longest) = monitor.result();
    println!("  changes: {changes}, longest until in force on all live nodes: {longest:.2?}");
    findings.is_empty()
}
