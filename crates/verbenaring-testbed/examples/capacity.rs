//! Measures how costs grow with load and size, as used in `docs/CAPACITY.md`, and
//! prints the projected table.
//!
//! `cargo run --release --example capacity` takes about a minute. Memory is measured
//! as the growth of resident pages, so small values are imprecise. The example
//! `membership` measures the cost of membership, `overhead` that of relaying.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use futures::future::join_all;
use uuid::Uuid;
use verbenaring_gateway::catalog::ServingCatalog;
use verbenaring_gateway::etcd::EtcdStore;
use verbenaring_gateway::metrics::NodeMetrics;
use verbenaring_gateway::records::{RecordStore, operation_key};
use verbenaring_gateway::replica::ConfigReplica;
use verbenaring_gateway::timeline::{EventKind, RING_EVENTS, TimelineRing};
use verbenaring_policy::config::{ConfigEntry, ConfigValue, DeltaRequest};
use verbenaring_policy::id::{AttemptId, ChangeId, CustomerId, Digest, VmId};
use verbenaring_policy::operation::{OperationRecord, RecordState, RecordWrite, WriteCondition};
use verbenaring_testbed::deployment::contract_document;
use verbenaring_testbed::{StoreServer, StoreSettings};

const CONTRACT_COUNTS: [usize; 3] = [1_700, 3_400, 6_800];
const CHANGE_COUNT: u32 = 50;
const OPERATION_COUNT: usize = 512;
const CONCURRENCY: [usize; 4] = [1, 8, 32, 128];

// Size and load of the projection.
const NODE_COUNT: f64 = 360.0;
const DATA_CENTRE_COUNT: f64 = 25.0;
const REQUESTS_PER_S: f64 = 2_800.0;
const CHANGES_PER_DAY: f64 = 1_000.0;
const RESTARTS_PER_DAY: f64 = 235.0;
const DAY_S: f64 = 86_400.0;
/// Share of requests that are bookings.
const BOOKING_SHARE: f64 = 0.05;

#[tokio::main]
async fn main() {
    measure_timeline();
    let replicas = measure_replicas();
    let calls = measure_operations().await;
    print_projection(&replicas, &calls);
}

/// Costs of one configuration size.
struct ReplicaCost {
    contracts: usize,
    memory_kb: f64,
    change_ms: f64,
    snapshot_kb: f64,
    digest_bytes: f64,
    delta_bytes: f64,
}

fn measure_replicas() -> Vec<ReplicaCost> {
    println!("Configuration of one node (replica and catalog)\n");
    println!("contracts  memory KB  change ms  snapshot KB  digest B  delta of one change B");
    // No replica is dropped, because a later one would reuse its pages and hide the growth.
    let mut kept = Vec::new();
    let costs: Vec<ReplicaCost> = CONTRACT_COUNTS
        .iter()
        .map(|count| measure_replica(*count, &mut kept))
        .collect();
    for cost in &costs {
        println!(
            "{:>9}  {:>9.0}  {:>9.2}  {:>11.0}  {:>8.0}  {:>21.0}",
            cost.contracts,
            cost.memory_kb,
            cost.change_ms,
            cost.snapshot_kb,
            cost.digest_bytes,
            cost.delta_bytes
        );
    }
    println!();
    costs
}

fn measure_replica(contracts: usize, kept: &mut Vec<ConfigReplica>) -> ReplicaCost {
    let before_kb = resident_kb();
    let vm = VmId::new("vm").expect("valid name");
    let catalog = Arc::new(ArcSwap::from_pointee(ServingCatalog::default()));
    let metrics = Arc::new(NodeMetrics::default());
    let replica = ConfigReplica::new(&catalog, &metrics, &Arc::new(TimelineRing::new(&vm)));
    replica.merge((0..contracts).map(|index| entry(index, 1 + index as u64)));
    let memory_kb = resident_kb() - before_kb;
    replica.set_loaded();
    let start = Instant::now();
    for change in 0..CHANGE_COUNT {
        let revision = contracts as u64 + 2 + u64::from(change);
        black_box(replica.merge([entry(change as usize, revision)]));
    }
    let change_ms = start.elapsed().as_secs_f64() * 1e3 / f64::from(CHANGE_COUNT);
    let mut bytes = 0;
    let mut cursor: Option<String> = None;
    loop {
        let page = replica.snapshot(cursor.as_deref());
        bytes += encoded_len(&page);
        cursor = page.next;
        if cursor.is_none() {
            break;
        }
    }
    let highest = replica.summary().highest;
    let request = DeltaRequest {
        highest: highest - 1,
        listings: Vec::new(),
    };
    let digest_bytes = encoded_len(&replica.digest()) as f64;
    let delta_bytes = encoded_len(&replica.delta(&request)) as f64;
    kept.push(replica);
    ReplicaCost {
        contracts,
        memory_kb,
        change_ms,
        snapshot_kb: bytes as f64 / 1e3,
        digest_bytes,
        delta_bytes,
    }
}

fn entry(index: usize, revision: u64) -> ConfigEntry {
    let customer = format!("team-{index}");
    let key = format!("key-{index}");
    let document = contract_document(&customer, &key, "dublin", &["dublin", "cork", "galway"]);
    ConfigEntry {
        key: format!("config/contract/{customer}"),
        revision,
        change: ChangeId(Uuid::new_v4()),
        base: 0,
        value: ConfigValue::Text(document.to_string()),
    }
}

/// Size of a value in its binary encoding, in bytes.
fn encoded_len(value: &impl serde::Serialize) -> usize {
    postcard::to_allocvec(value).map_or(0, |bytes| bytes.len())
}

fn measure_timeline() {
    let before_kb = resident_kb();
    let ring = TimelineRing::new(&VmId::new("vm").expect("valid name"));
    let start = Instant::now();
    let events = 10 * RING_EVENTS;
    for _ in 0..events {
        let request = Uuid::new_v4().to_string();
        ring.record(
            EventKind::AttemptSent,
            &request,
            Some(AttemptId(Uuid::new_v4())),
        );
    }
    let micros = start.elapsed().as_secs_f64() * 1e6 / events as f64;
    let memory_kb = resident_kb() - before_kb;
    println!("Time line: {RING_EVENTS} events take {memory_kb:.0} KB, one event {micros:.2} us\n");
    drop(ring);
}

/// Returns pairs of the number of concurrent writes and the store calls per write.
async fn measure_operations() -> Vec<(usize, f64)> {
    println!("Operation records: store calls per conditional write\n");
    println!("writes at once  calls per write  writes/s");
    let settings = StoreSettings {
        latency: Duration::from_millis(2),
    };
    let server = StoreServer::start(settings)
        .await
        .expect("loopback ports are free");
    let mut calls = Vec::new();
    for concurrency in CONCURRENCY {
        let store = Arc::new(EtcdStore::new(&[server.address()], Duration::from_secs(5)));
        let records = Arc::new(RecordStore::start(store.clone()));
        let start = Instant::now();
        for _ in 0..OPERATION_COUNT / concurrency {
            join_all((0..concurrency).map(|_| write_claim(&records))).await;
        }
        let writes = (OPERATION_COUNT / concurrency * concurrency) as f64;
        let per_write = store.calls() as f64 / writes;
        let rate = writes / start.elapsed().as_secs_f64();
        println!("{concurrency:>14}  {per_write:>15.3}  {rate:>8.0}");
        calls.push((concurrency, per_write));
    }
    println!();
    calls
}

async fn write_claim(records: &RecordStore<EtcdStore>) {
    let customer = CustomerId::new("council").expect("valid name");
    let key = operation_key(&customer, &Uuid::now_v7().to_string());
    let record = OperationRecord {
        attempt: AttemptId(Uuid::new_v4()),
        digest: Digest::of(b"request"),
        key_time_ms: 0,
        state: RecordState::Claimed,
    };
    let write = RecordWrite {
        serial: 1,
        condition: WriteCondition::Absent,
        record,
    };
    black_box(records.write(&key, write).await);
}

fn print_projection(replicas: &[ReplicaCost], calls: &[(usize, f64)]) {
    let largest = &replicas[replicas.len() - 1];
    let bookings = REQUESTS_PER_S * BOOKING_SHARE;
    let calls_per_write = calls.first().map_or(1.0, |(_, per_write)| *per_write);
    let change_bytes = largest.digest_bytes + largest.delta_bytes;
    println!("Projection: 360 nodes, 25 data centres, 2,800 requests/s, 6,800 contracts\n");
    println!(
        "configuration memory per node       {:>10.1} MB of 128 MB",
        largest.memory_kb / 1e3
    );
    println!(
        "changes, CPU per node                {:>9.4} % of a core of 4.4 %",
        CHANGES_PER_DAY * largest.change_ms / 1e3 / DAY_S * 100.0
    );
    println!(
        "changes, bytes per node              {:>9.1} B/s of 5,000 B/s",
        CHANGES_PER_DAY * change_bytes / DAY_S
    );
    println!(
        "snapshots for restarts, all nodes    {:>9.0} B/s, per node {:.1} B/s",
        RESTARTS_PER_DAY * largest.snapshot_kb * 1e3 / DAY_S,
        RESTARTS_PER_DAY * largest.snapshot_kb * 1e3 / DAY_S / NODE_COUNT
    );
    println!(
        "waiting watches at the store         {:>9.0} (2 per data centre)",
        2.0 * DATA_CENTRE_COUNT
    );
    println!(
        "bookings/s at {:.0} %                    {:>9.0}, store writes/s {:.0} (2 writes each, {:.2} calls per write at one booking at once per node)",
        BOOKING_SHARE * 100.0,
        bookings,
        2.0 * bookings * calls_per_write,
        calls_per_write
    );
}

/// Resident memory of this process in kB (1,000 bytes).
fn resident_kb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse().ok())
        .unwrap_or(0.0);
    pages * 4.096
}
