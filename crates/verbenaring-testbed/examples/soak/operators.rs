//! Two operators who amend one contract at the same time, and a monitor of the
//! revisions that nodes report.

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

use crate::faults::ExternalSystems;
use crate::fleet::{FleetNode, NodePhase};
use crate::load::{DEADLINE, LoadReport};

/// Key of the contract that both operators amend.
pub const AMENDED_KEY: &str = "config/contract/roaming";
const ROUND_PERIOD: Duration = Duration::from_millis(2_500);
/// Time between two reads of the nodes' revisions or of the store.
const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Change that is not yet known to be in force on all running nodes.
struct PendingChange {
    revision: u64,
    written: Instant,
    missing_vms: Vec<String>,
}

/// Period in which the amended contract allows only `dublin` on all nodes.
#[derive(Debug, Clone, Copy)]
pub struct RestrictedPeriod {
    /// Time at which the restriction was first seen in force on all running nodes.
    pub from: Instant,
    /// Time at which the round of amendments began that lifted the restriction.
    pub until: Instant,
}

#[derive(Default)]
struct RevisionState {
    pending: Vec<PendingChange>,
    changes: usize,
    longest_delay: Duration,
    /// Highest revision that all running nodes have reported.
    in_force: u64,
}

/// Polls the nodes' revisions and tracks each change until all running nodes report it.
#[derive(Default)]
pub struct RevisionMonitor {
    state: Mutex<RevisionState>,
}

impl RevisionMonitor {
    /// Adds a change that no node has reported yet.
    pub fn record_change(&self, revision: u64, written: Instant, fleet: &[Arc<FleetNode>]) {
        let mut state = self.state.lock().unwrap();
        state.changes += 1;
        state.pending.push(PendingChange {
            revision,
            written,
            missing_vms: fleet.iter().map(|node| node.vm.clone()).collect(),
        });
    }

    /// Number of changes, number of them still pending, and the longest delay until a node
    /// reported a change. Time in which the node or the store was down does not count.
    pub fn totals(&self) -> (usize, usize, Duration) {
        let state = self.state.lock().unwrap();
        (state.changes, state.pending.len(), state.longest_delay)
    }

    /// Polls all nodes until `cancellation`.
    pub async fn run(
        &self,
        fleet: &[Arc<FleetNode>],
        systems: &ExternalSystems,
        report: &LoadReport,
        cancellation: CancellationToken,
    ) {
        while !cancellation.is_cancelled() {
            let reads = fleet
                .iter()
                .map(|node| self.check_revision(node, systems, report));
            futures::future::join_all(reads).await;
            self.remove_completed(fleet);
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }

    async fn check_revision(
        &self,
        node: &FleetNode,
        systems: &ExternalSystems,
        report: &LoadReport,
    ) {
        let count_before = node.state().intervention_count;
        let fleet_revision = self.state.lock().unwrap().in_force;
        let Some(revision) = node.read_revision().await else {
            return;
        };
        let NodePhase::Live(live_since) = node.state().phase else {
            return;
        };
        {
            let mut observed = node.state();
            if observed.intervention_count != count_before {
                return;
            }
            // A restarted node must not become ready with a revision older than the one that
            // was already in force on all nodes.
            let restarted = observed.revision == 0;
            if revision < observed.revision || restarted && revision < fleet_revision {
                let expected = observed.revision.max(fleet_revision);
                let detail = format!("{} reports {revision} after {expected}", node.vm);
                report.record_violation("revision went backwards", detail);
            }
            observed.revision = revision;
        }
        let Some(store_healthy_since) = *systems.store_healthy_since.lock().unwrap() else {
            return;
        };
        let mut state = self.state.lock().unwrap();
        let RevisionState {
            pending,
            longest_delay,
            ..
        } = &mut *state;
        for change in pending
            .iter_mut()
            .filter(|change| change.revision <= revision)
        {
            let was_missing = change.missing_vms.contains(&node.vm);
            change.missing_vms.retain(|vm| *vm != node.vm);
            // The delay counts from the time at which both the node and the store work, because
            // a change cannot spread before.
            let reachable_since = change.written.max(live_since).max(store_healthy_since);
            if was_missing {
                *longest_delay = (*longest_delay).max(reachable_since.elapsed());
            }
        }
    }

    /// Removes changes that every running node has reported.
    ///
    /// Paused nodes are not waited for: a paused node serves nothing and must read the
    /// change before it serves again.
    fn remove_completed(&self, fleet: &[Arc<FleetNode>]) {
        let is_running = |vm: &String| {
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
            let is_pending = change.missing_vms.iter().any(is_running);
            if !is_pending {
                *in_force = (*in_force).max(change.revision);
            }
            is_pending
        });
    }

    /// Whether all running nodes have reported `revision` or a later one.
    pub fn is_in_force(&self, revision: u64) -> bool {
        self.state.lock().unwrap().in_force >= revision
    }
}

/// Contract of a customer with home region `dublin`, whose bearer key is its name.
///
/// `allowed` lists the regions in which its requests may be served.
pub fn contract(customer: &str, allowed: &[&str]) -> Value {
    let mut document = contract_document(customer, customer, "dublin", allowed);
    document["limits"]["deadline_ms"] = json!(DEADLINE.as_millis() as u64);
    document
}

/// Writes a document if the key is still at `base`, or absent where `base` is `None`.
///
/// Returns `None` if the call failed; the document may have been written even so.
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

/// Handles that the operators share with the rest of the run.
pub struct OperatorContext {
    /// Store client that writes the amendments.
    pub writer: EtcdStore,
    /// All nodes, each of which must report every amendment.
    pub fleet: Vec<Arc<FleetNode>>,
    /// Receives the written amendments.
    pub monitor: Arc<RevisionMonitor>,
    /// Receives the violations.
    pub report: Arc<LoadReport>,
}

/// Lets two operators amend the same contract at the same time, round after round,
/// until `cancellation`.
///
/// One operator restricts the contract to `dublin`, the other also allows `cork`.
/// Returns the periods in which the restriction was in force on all running nodes.
pub async fn run_operators(
    context: OperatorContext,
    cancellation: CancellationToken,
) -> Vec<RestrictedPeriod> {
    let mut periods = Vec::new();
    let mut restricted: Option<(u64, Option<Instant>)> = None;
    while !cancellation.is_cancelled() {
        wait_for_round(&context.monitor, &mut restricted).await;
        let Ok(Some(base)) = context.writer.get(AMENDED_KEY).await else {
            continue;
        };
        let restricted_from = restricted.take().and_then(|(_, from)| from);
        let written = Instant::now();
        let changes = [ChangeId(Uuid::new_v4()), ChangeId(Uuid::new_v4())];
        let documents = [
            contract("roaming", &["dublin"]),
            contract("roaming", &["dublin", "cork"]),
        ];
        let (first, second) = tokio::join!(
            amend(
                &context.writer,
                AMENDED_KEY,
                Some(&base),
                &documents[0],
                changes[0]
            ),
            amend(
                &context.writer,
                AMENDED_KEY,
                Some(&base),
                &documents[1],
                changes[1]
            ),
        );
        let accepted =
            [first, second].map(|outcome| matches!(outcome, Some(SwapOutcome::Written(_))));
        if accepted == [true, true] {
            context
                .report
                .record_violation("both operators won", format!("revision {}", base.revision));
        }
        // The stored entry shows which amendment was written; the store's answers may be lost.
        let current = loop {
            match context.writer.get(AMENDED_KEY).await {
                Ok(Some(current)) => break current,
                _ => tokio::time::sleep(POLL_PERIOD).await,
            }
        };
        if current.revision > base.revision {
            context
                .monitor
                .record_change(current.revision, written, &context.fleet);
        }
        check_accepted(&current, &base, changes, accepted, &context.report);
        let text = String::from_utf8_lossy(&current.value).into_owned();
        if !text.contains("\"cork\"") {
            // The period goes on if the contract was restricted before as well.
            restricted = Some((current.revision, restricted_from));
        } else if let Some(from) = restricted_from {
            periods.push(RestrictedPeriod {
                from,
                until: written,
            });
        }
    }
    if let Some((_, Some(from))) = restricted {
        periods.push(RestrictedPeriod {
            from,
            until: Instant::now(),
        });
    }
    periods
}

/// Waits for the next round. Sets the time in `restricted` once its revision is in force on
/// all running nodes.
async fn wait_for_round(
    monitor: &RevisionMonitor,
    restricted: &mut Option<(u64, Option<Instant>)>,
) {
    let next = Instant::now() + ROUND_PERIOD;
    while Instant::now() < next {
        if let Some((revision, from @ None)) = restricted
            && monitor.is_in_force(*revision)
        {
            *from = Some(Instant::now());
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
}

/// Checks that the stored entry is the one of the operator whose write was accepted.
fn check_accepted(
    current: &StoredValue,
    base: &StoredValue,
    changes: [ChangeId; 2],
    accepted: [bool; 2],
    report: &LoadReport,
) {
    let stored: Option<StoredEntry> = serde_json::from_slice(&current.value).ok();
    let stored_change = stored.map(|entry| entry.change);
    for (own_change, accepted) in changes.into_iter().zip(accepted) {
        if accepted && stored_change != Some(own_change) {
            let detail = format!("change of revision {} was lost", base.revision);
            report.record_violation("accepted amendment was lost", detail);
        }
    }
}
