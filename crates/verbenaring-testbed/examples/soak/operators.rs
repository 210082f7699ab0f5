//! Operators who amend one contract, and the revisions that nodes report.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;
use verbenaring_gateway::etcd::EtcdStore;
use verbenaring_gateway::store::{
    PlatformStore, StoredValue, SwapCondition, SwapOutcome, SwapRequest,
};
use verbenaring_policy::id::ChangeId;
use verbenaring_protocol::stored::StoredEntry;
use verbenaring_testbed::deployment::contract_document;

use crate::faults::Surroundings;
use crate::fleet::{FleetNode, NodePhase};
use crate::load::{DEADLINE, LoadReport};

/// Key of the amended contract.
pub const AMENDED_KEY: &str = "config/contract/roaming";
/// Time between two rounds of amendments.
const ROUND_PERIOD: Duration = Duration::from_millis(2_500);
/// Time between two reads of the nodes' revisions.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Change that some node may not have in force yet.
struct PendingChange {
    revision: u64,
    written: Instant,
    missing: Vec<String>,
}

/// Period in which no node may use the wider residency.
#[derive(Debug, Clone, Copy)]
pub struct NarrowPeriod {
    /// Since when it is in force on all nodes.
    pub from: Instant,
    /// Start of the next amendment.
    pub until: Instant,
}

#[derive(Default)]
struct RevisionState {
    pending: Vec<PendingChange>,
    changes: usize,
    longest: Duration,
    in_force: u64,
}

/// Follows changes until they are in force everywhere.
#[derive(Default)]
pub struct RevisionMonitor {
    state: Mutex<RevisionState>,
}

impl RevisionMonitor {
    /// Notes a change that was written.
    pub fn add(&self, revision: u64, written: Instant, fleet: &[Arc<FleetNode>]) {
        let mut state = self.state.lock().unwrap();
        state.changes += 1;
        state.pending.push(PendingChange {
            revision,
            written,
            missing: fleet.iter().map(|node| node.vm.clone()).collect(),
        });
    }

    /// Changes seen, changes not in force everywhere, and the longest time until one was.
    pub fn result(&self) -> (usize, usize, Duration) {
        let state = self.state.lock().unwrap();
        (state.changes, state.pending.len(), state.longest)
    }

    /// Reads revisions until `end`.
    pub async fn run(
        &self,
        fleet: &[Arc<FleetNode>],
        surroundings: &Surroundings,
        report: &LoadReport,
        end: CancellationToken,
    ) {
        while !end.is_cancelled() {
            let reads = fleet
                .iter()
                .map(|node| self.read(node, surroundings, report));
            futures::future::join_all(reads).await;
            self.settle(fleet);
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    async fn read(&self, node: &FleetNode, surroundings: &Surroundings, report: &LoadReport) {
        let before = node.state().disturbances;
        let floor = self.state.lock().unwrap().in_force;
        let Some(revision) = node.read_revision().await else {
            return;
        };
        let NodePhase::Live(since) = node.state().phase else {
            return;
        };
        {
            let mut observed = node.state();
            if observed.disturbances != before {
                return;
            }
            // A new process must not be ready with less than was in force everywhere.
            let restarted = observed.revision == 0;
            if revision < observed.revision || restarted && revision < floor {
                let known = observed.revision.max(floor);
                let detail = format!("{} reports {revision} after {known}", node.vm);
                report.find("revision went backwards", detail);
            }
            observed.revision = revision;
        }
        let Some(store_since) = *surroundings.store_works.lock().unwrap() else {
            return;
        };
        let mut state = self.state.lock().unwrap();
        let RevisionState {
            pending, longest, ..
        } = &mut *state;
        for change in pending
            .iter_mut()
            .filter(|change| change.revision <= revision)
        {
            let waited = change.missing.contains(&node.vm);
            change.missing.retain(|vm| *vm != node.vm);
            // A change cannot reach a node that is paused or down, nor leave a store that is down.
            let possible = change.written.max(since).max(store_since);
            if waited {
                *longest = (*longest).max(possible.elapsed());
            }
        }
    }

    /// Takes a change as in force once every running node reports it.
    ///
    /// A paused node serves nothing and must read the change before it serves again.
    fn settle(&self, fleet: &[Arc<FleetNode>]) {
        let missing = |vm: &String| {
            let node = fleet.iter().find(|node| node.vm == *vm);
            node.is_some_and(|node| {
                !matches!(node.state().phase, NodePhase::Down | NodePhase::Paused)
            })
        };
        let mut state = self.state.lock().unwrap();
        let RevisionState {
            pending, in_force, ..
        } = &mut *state;
        pending.retain(|change| {
            let waits = change.missing.iter().any(missing);
            if !waits {
                *in_force = (*in_force).max(change.revision);
            }
            waits
        });
    }

    /// Whether every node has `revision` in force.
    pub fn is_in_force(&self, revision: u64) -> bool {
        self.state.lock().unwrap().in_force >= revision
    }
}

/// Contract of a customer whose bearer key is its name.
pub fn contract(customer: &str, allowed: &[&str]) -> Value {
    let mut document = contract_document(customer, customer, "dublin", allowed);
    document["limits"]["deadline_ms"] = json!(DEADLINE.as_millis() as u64);
    document
}

/// Writes a document unless its key has changed since `base`.
pub async fn amend(
    writer: &EtcdStore,
    key: &str,
    base: Option<&StoredValue>,
    document: &Value,
    change: ChangeId,
) -> Option<SwapOutcome> {
    let revision = base.map_or(0, |value| value.revision);
    let entry = StoredEntry::new(change, revision, Some(&document.to_string()))
        .expect("a JSON value is a document");
    let request = SwapRequest {
        key: key.to_owned(),
        condition: base.map_or(SwapCondition::Absent, |value| {
            SwapCondition::Revision(value.revision)
        }),
        value: Some(entry.to_bytes()),
        lease: 0,
    };
    writer
        .swap(&[request])
        .await
        .ok()
        .map(|mut outcomes| outcomes.remove(0))
}

/// Parts of the run that operators use.
pub struct OperatorParts {
    /// Client of the store.
    pub writer: EtcdStore,
    /// Nodes.
    pub fleet: Vec<Arc<FleetNode>>,
    /// Follows changes.
    pub monitor: Arc<RevisionMonitor>,
    /// Findings.
    pub report: Arc<LoadReport>,
}

/// Lets two operators amend the same contract at once until `end`.
pub async fn run_operators(parts: OperatorParts, end: CancellationToken) -> Vec<NarrowPeriod> {
    let mut periods = Vec::new();
    let mut narrow: Option<(u64, Option<Instant>)> = None;
    while !end.is_cancelled() {
        wait_round(&parts.monitor, &mut narrow).await;
        let Ok(Some(base)) = parts.writer.get(AMENDED_KEY).await else {
            continue;
        };
        if let Some((_, Some(from))) = narrow.take() {
            periods.push(NarrowPeriod {
                from,
                until: Instant::now(),
            });
        }
        let written = Instant::now();
        let changes = [ChangeId(Uuid::new_v4()), ChangeId(Uuid::new_v4())];
        let documents = [
            contract("roaming", &["dublin"]),
            contract("roaming", &["dublin", "cork"]),
        ];
        let (first, second) = tokio::join!(
            amend(
                &parts.writer,
                AMENDED_KEY,
                Some(&base),
                &documents[0],
                changes[0]
            ),
            amend(
                &parts.writer,
                AMENDED_KEY,
                Some(&base),
                &documents[1],
                changes[1]
            ),
        );
        let won = [first, second].map(|outcome| matches!(outcome, Some(SwapOutcome::Written(_))));
        if won == [true, true] {
            parts
                .report
                .find("both operators won", format!("revision {}", base.revision));
        }
        // The winner is read, because either answer may have been lost.
        let current = loop {
            match parts.writer.get(AMENDED_KEY).await {
                Ok(Some(current)) => break current,
                _ => tokio::time::sleep(POLL_PERIOD).await,
            }
        };
        if current.revision > base.revision {
            parts.monitor.add(current.revision, written, &parts.fleet);
        }
        check_winner(&current, &base, changes, won, &parts.report);
        let text = String::from_utf8_lossy(&current.value).into_owned();
        if !text.contains("\"cork\"") {
            narrow = Some((current.revision, None));
        }
    }
    if let Some((_, Some(from))) = narrow {
        periods.push(NarrowPeriod {
            from,
            until: Instant::now(),
        });
    }
    periods
}

/// Waits for the next round and notes since when a narrow contract is in force.
async fn wait_round(monitor: &RevisionMonitor, narrow: &mut Option<(u64, Option<Instant>)>) {
    let next = Instant::now() + ROUND_PERIOD;
    while Instant::now() < next {
        if let Some((revision, from @ None)) = narrow
            && monitor.is_in_force(*revision)
        {
            *from = Some(Instant::now());
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// An operator who was told of success must have written the entry that is stored.
fn check_winner(
    current: &StoredValue,
    base: &StoredValue,
    changes: [ChangeId; 2],
    won: [bool; 2],
    report: &LoadReport,
) {
    let stored: Option<StoredEntry> = serde_json::from_slice(&current.value).ok();
    let change = stored.map(|entry| entry.change);
    for (own, won) in changes.into_iter().zip(won) {
        if won && change != Some(own) {
            let detail = format!("change of revision {} was lost", base.revision);
            report.find("accepted amendment was lost", detail);
        }
    }
}
