//! Fault schedule of the run, generated from its seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use verbenaring_testbed::{EngineServer, ServiceFaults, ServiceServer, StoreFaults, StoreServer};

use crate::fleet::{FleetNode, NodePhase};
use crate::load::LoadReport;

/// Limit on the nodes that faults make unavailable at the same time.
const MAX_UNAVAILABLE_NODES: usize = 3;

/// Kind of fault.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Pause,
    PlannedStop,
    StoreDown,
    StoreLosesAnswers,
    EngineCrash,
    ServiceLosesAnswers,
}

/// Faults to draw from; a kind that is listed twice is twice as likely.
const FAULTS: [Fault; 9] = [
    Fault::Kill,
    Fault::Kill,
    Fault::Pause,
    Fault::Pause,
    Fault::PlannedStop,
    Fault::StoreDown,
    Fault::StoreLosesAnswers,
    Fault::EngineCrash,
    Fault::ServiceLosesAnswers,
];

/// Stand-ins for the systems that the nodes use.
pub struct ExternalSystems {
    /// Stand-in of the platform store.
    pub store: StoreServer,
    /// Stand-ins of engines, each with its region.
    pub engines: Vec<(&'static str, EngineServer)>,
    /// Stand-ins of plain services, each with its region.
    pub services: Vec<(&'static str, ServiceServer)>,
    /// Time since which the store has had no fault; `None` while it has one.
    pub store_healthy_since: std::sync::Mutex<Option<Instant>>,
}

impl ExternalSystems {
    fn set_store_faults(&self, faults: StoreFaults, healthy: bool) {
        *self.store_healthy_since.lock().unwrap() = healthy.then(Instant::now);
        self.store.set_faults(faults);
    }
}

/// Draws and applies faults for `duration`, then waits until all of them have ended.
pub async fn run_faults(
    seed: u64,
    duration: Duration,
    fleet: Vec<Arc<FleetNode>>,
    systems: Arc<ExternalSystems>,
    report: Arc<LoadReport>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut faults = JoinSet::new();
    loop {
        // Every value is drawn even if the fault does not apply, so that a seed always gives
        // the same schedule.
        let wait = Duration::from_millis(rng.random_range(500..2_500));
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let fault_duration = Duration::from_millis(rng.random_range(2_000..12_000));
        let target = rng.random_range(0..1_000_usize);
        if Instant::now() + wait >= end {
            break;
        }
        tokio::time::sleep(wait).await;
        eprintln!("{fault:?} {fault_duration:?} {target}");
        let context = (fleet.clone(), systems.clone(), report.clone());
        faults.spawn(apply_fault(fault, fault_duration, target, context));
    }
    while faults.join_next().await.is_some() {}
}

type FaultContext = (Vec<Arc<FleetNode>>, Arc<ExternalSystems>, Arc<LoadReport>);

/// Applies a fault and ends it after `duration` or a part of it.
///
/// `target` modulo the number of candidates selects what the fault applies to.
async fn apply_fault(fault: Fault, duration: Duration, target: usize, context: FaultContext) {
    let (fleet, systems, report) = context;
    match fault {
        Fault::Kill | Fault::Pause | Fault::PlannedStop => {
            let Some(node) = choose_node(&fleet, target) else {
                return;
            };
            inject_node_fault(fault, duration, &node, &fleet, &report).await;
        }
        Fault::StoreDown => {
            let down = StoreFaults {
                down: true,
                ..StoreFaults::default()
            };
            inject_store_fault(&systems, down, duration / 2).await;
        }
        Fault::StoreLosesAnswers => {
            let lossy = StoreFaults {
                lose_answers: true,
                ..StoreFaults::default()
            };
            inject_store_fault(&systems, lossy, duration / 4).await;
        }
        Fault::EngineCrash => {
            let engines = &systems.engines;
            engines[target % engines.len()].1.crash();
        }
        Fault::ServiceLosesAnswers => {
            let service = &systems.services[target % systems.services.len()].1;
            service.set_faults(ServiceFaults {
                lose_answer: true,
                ..ServiceFaults::default()
            });
            tokio::time::sleep(duration / 4).await;
            service.set_faults(ServiceFaults::default());
        }
    }
}

/// Applies faults to the store unless it already has some.
async fn inject_store_fault(systems: &ExternalSystems, faults: StoreFaults, duration: Duration) {
    let healthy = systems.store_healthy_since.lock().unwrap().is_some();
    if healthy {
        systems.set_store_faults(faults, false);
        tokio::time::sleep(duration).await;
        systems.set_store_faults(StoreFaults::default(), true);
    }
}

/// Selects a live node; `None` if there is none or too many nodes are unavailable.
fn choose_node(fleet: &[Arc<FleetNode>], target: usize) -> Option<Arc<FleetNode>> {
    let is_live = |node: &&Arc<FleetNode>| matches!(node.state().phase, NodePhase::Live(_));
    let live: Vec<&Arc<FleetNode>> = fleet.iter().filter(is_live).collect();
    let unavailable_count = fleet.len() - live.len();
    (unavailable_count < MAX_UNAVAILABLE_NODES && !live.is_empty())
        .then(|| live[target % live.len()].clone())
}

async fn inject_node_fault(
    fault: Fault,
    duration: Duration,
    node: &Arc<FleetNode>,
    fleet: &[Arc<FleetNode>],
    report: &LoadReport,
) {
    match fault {
        Fault::Pause => {
            node.pause();
            tokio::time::sleep(duration).await;
            node.resume();
            return;
        }
        Fault::Kill => {
            node.kill().await;
            tokio::time::sleep(duration / 4).await;
        }
        _ => stop_node(node, fleet, report).await,
    }
    if let Err(error) = node.start() {
        report.record_violation("node did not start", format!("{}: {error}", node.vm));
    } else if !node.wait_ready().await {
        report.record_violation("node did not become ready", node.vm.clone());
    }
}

/// Stops a node gracefully and checks that the other nodes of its data centre no longer
/// list it.
async fn stop_node(node: &Arc<FleetNode>, fleet: &[Arc<FleetNode>], report: &LoadReport) {
    if !node.stop().await {
        report.record_violation("shutdown was not graceful", node.vm.clone());
    }
    let centre = node.vm.split("-vm-").next().unwrap_or_default();
    for other in fleet.iter().filter(|other| other.vm.starts_with(centre)) {
        let live_since = match other.state().phase {
            NodePhase::Live(since) => since,
            _ => continue,
        };
        // A node that has just started or resumed may not know its neighbours' state yet.
        if live_since.elapsed() < Duration::from_secs(5) {
            continue;
        }
        let Some(entries) = other.read_entries().await else {
            continue;
        };
        if entries.contains(&node.vm) {
            let detail = format!("{} names {} after its exit", other.vm, node.vm);
            report.record_violation("stopped node is still named", detail);
        }
    }
}
