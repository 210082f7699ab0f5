//! Fault schedule of the run, drawn from its seed.

use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use verbenaring_testbed::{EngineServer, ServiceFaults, ServiceServer, StoreFaults, StoreServer};

use crate::fleet::{FleetNode, NodePhase};
use crate::load::LoadReport;

/// Nodes that are disturbed at the same time.
const MAX_DISTURBED: usize = 3;

/// One entry of the schedule; the target is an index modulo the candidates.
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

/// Outside systems of the run.
pub struct Surroundings {
    /// Platform store.
    pub store: StoreServer,
    /// Engines with their regions.
    pub engines: Vec<(&'static str, EngineServer)>,
    /// Plain services with their regions.
    pub services: Vec<(&'static str, ServiceServer)>,
    /// Since when the store works without a fault; none while it does not.
    pub store_works: std::sync::Mutex<Option<Instant>>,
}

impl Surroundings {
    fn set_store(&self, faults: StoreFaults, works: bool) {
        *self.store_works.lock().unwrap() = works.then(Instant::now);
        self.store.set_faults(faults);
    }
}

/// Draws and applies faults for `duration`, then ends all of them.
pub async fn run_faults(
    seed: u64,
    duration: Duration,
    fleet: Vec<Arc<FleetNode>>,
    surroundings: Arc<Surroundings>,
    report: Arc<LoadReport>,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let end = Instant::now() + duration;
    let mut faults = JoinSet::new();
    loop {
        // All draws are made whether or not the fault applies, so that a seed gives one schedule.
        let wait = Duration::from_millis(rng.random_range(500..2_500));
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let length = Duration::from_millis(rng.random_range(2_000..12_000));
        let target = rng.random_range(0..1_000_usize);
        if Instant::now() + wait >= end {
            break;
        }
        tokio::time::sleep(wait).await;
        eprintln!("{fault:?} {length:?} {target}");
        let parts = (fleet.clone(), surroundings.clone(), report.clone());
        faults.spawn(apply(fault, length, target, parts));
    }
    while faults.join_next().await.is_some() {}
}

type FaultParts = (Vec<Arc<FleetNode>>, Arc<Surroundings>, Arc<LoadReport>);

async fn apply(fault: Fault, length: Duration, target: usize, parts: FaultParts) {
    let (fleet, surroundings, report) = parts;
    match fault {
        Fault::Kill | Fault::Pause | Fault::PlannedStop => {
            let Some(node) = choose_node(&fleet, target) else {
                return;
            };
            disturb_node(fault, length, &node, &fleet, &report).await;
        }
        Fault::StoreDown => {
            let down = StoreFaults {
                down: true,
                ..StoreFaults::default()
            };
            disturb_store(&surroundings, down, length / 2).await;
        }
        Fault::StoreLosesAnswers => {
            let lossy = StoreFaults {
                lose_answers: true,
                ..StoreFaults::default()
            };
            disturb_store(&surroundings, lossy, length / 4).await;
        }
        Fault::EngineCrash => {
            let engines = &surroundings.engines;
            engines[target % engines.len()].1.crash();
        }
        Fault::ServiceLosesAnswers => {
            let service = &surroundings.services[target % surroundings.services.len()].1;
            service.set_faults(ServiceFaults {
                lose_answer: true,
                ..ServiceFaults::default()
            });
            tokio::time::sleep(length / 4).await;
            service.set_faults(ServiceFaults::default());
        }
    }
}

async fn disturb_store(surroundings: &Surroundings, faults: StoreFaults, length: Duration) {
    let free = surroundings.store_works.lock().unwrap().is_some();
    if free {
        surroundings.set_store(faults, false);
        tokio::time::sleep(length).await;
        surroundings.set_store(StoreFaults::default(), true);
    }
}

/// Live node, if not too many are disturbed.
fn choose_node(fleet: &[Arc<FleetNode>], target: usize) -> Option<Arc<FleetNode>> {
    let is_live = |node: &&Arc<FleetNode>| matches!(node.state().phase, NodePhase::Live(_));
    let live: Vec<&Arc<FleetNode>> = fleet.iter().filter(is_live).collect();
    let disturbed = fleet.len() - live.len();
    (disturbed < MAX_DISTURBED && !live.is_empty()).then(|| live[target % live.len()].clone())
}

async fn disturb_node(
    fault: Fault,
    length: Duration,
    node: &Arc<FleetNode>,
    fleet: &[Arc<FleetNode>],
    report: &LoadReport,
) {
    match fault {
        Fault::Pause => {
            node.pause();
            tokio::time::sleep(length).await;
            node.resume();
            return;
        }
        Fault::Kill => {
            node.kill().await;
            tokio::time::sleep(length / 4).await;
        }
        _ => stop_node(node, fleet, report).await,
    }
    if let Err(error) = node.start() {
        report.find("node did not start", format!("{}: {error}", node.vm));
    } else if !node.wait_ready().await {
        report.find("node did not become ready", node.vm.clone());
    }
}

/// Stops a node gracefully and checks that its neighbours stop naming it.
async fn stop_node(node: &Arc<FleetNode>, fleet: &[Arc<FleetNode>], report: &LoadReport) {
    if !node.stop().await {
        report.find("shutdown was not graceful", node.vm.clone());
    }
    let centre = node.vm.split("-vm-").next().unwrap_or_default();
    for other in fleet.iter().filter(|other| other.vm.starts_with(centre)) {
        let live_since = match other.state().phase {
            NodePhase::Live(since) => since,
            _ => continue,
        };
        // A node that has just resumed or started still learns of its neighbours.
        if live_since.elapsed() < Duration::from_secs(5) {
            continue;
        }
        let Some(entries) = other.read_entries().await else {
            continue;
        };
        if entries.contains(&node.vm) {
            let detail = format!("{} names {} after its exit", other.vm, node.vm);
            report.find("stopped node is still named", detail);
        }
    }
}
