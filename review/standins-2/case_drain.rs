//! Case 9: a server leaves while one VM is cut off from the store, and the other VM is restarted.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::gate::Gate;
use crate::net::{exchange, free_ports};
use crate::plain::{PlainRuns, PlainServer};
use crate::store::Store;
use crate::vm::{Vm, VmPlan};
use crate::{Outcome, Record, ms};

/// Bounds of the site file `bungline`.
const CONTACT: Duration = Duration::from_millis(5_000);
const DRAIN: Duration = Duration::from_millis(3_000);
/// Length of the cut, `core_cut` in the site files.
const CUT: Duration = Duration::from_millis(7_800);
/// Requests that are sent at once.
const REQUESTS: usize = 12;

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"orders","host":"shop.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":3000,"goalMs":500,"priority":2,"service":"yard-app","attempts":1,"sticky":false,"resumable":false,"homeRegions":[]}],
"services":[{"name":"yard-app","healthPath":"/healthz","maxConns":100,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", MANIFEST);
    let runs = PlainRuns::default();
    let stays = PlainServer::start("i-stays", "yard-app", 1_700_000_000_001, &runs);
    let leaves = PlainServer::start("i-leaves", "yard-app", 1_700_000_000_002, &runs);
    for server in [&stays, &leaves] {
        store.put(
            &format!("servers/{}", server.id),
            &server.entry("tas-south-a"),
        );
    }
    let gate = Gate::start(store.address);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ips: Vec<String> = (1..=2)
        .map(|index| format!("127.{}.{low}.{index}", 100 + high % 100))
        .collect();
    let ports = free_ports(6);
    let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:{}", ports[3])).collect();
    let start = |index: usize| {
        let name = format!("front-tas-south-a-{}", index + 1);
        let plan = VmPlan {
            name: &name,
            zone: "tas-south-a",
            ip: &ips[index],
            ports: &ports,
            seeds: &seeds,
            store: if index == 1 {
                gate.address
            } else {
                store.address
            },
            cores: 0.25,
            memory_mb: 260,
            descriptors: 4_100,
            link_mbps: 1_000.0,
            drain_ms: 3_000,
            retry_extra: 54,
        };
        Vm::start(folder, &plan)
    };
    let mut first = start(0);
    let second = start(1);
    if !first.await_ready() || !second.await_ready() {
        return Outcome::NotRun("a VM does not become ready".to_owned());
    }
    thread::sleep(CONTACT + Duration::from_millis(500));

    let begin = Instant::now();
    let now = || ms(begin, Instant::now());
    if trouble {
        gate.set_cut(true);
        record.line(&format!(
            "{} {} is cut off from the store",
            now(),
            second.name
        ));
    }
    thread::sleep(Duration::from_millis(200));
    if trouble {
        record.line(&format!("{} {} is killed", now(), first.name));
        first.kill();
    }
    thread::sleep(Duration::from_millis(300));
    // It does not report `draining`, and goes on serving.
    leaves.leave();
    store.remove("servers/i-leaves");
    let confirmed = Instant::now();
    record.line(&format!("{} the entry of i-leaves is removed", now()));
    thread::sleep(Duration::from_millis(300));
    if trouble {
        record.line(&format!("{} {} is started again", now(), first.name));
        first = start(0);
    }
    let started = Instant::now();
    if !first.await_ready() {
        return Outcome::NotRun("the restarted VM does not become ready".to_owned());
    }
    record.line(&format!("{} {} is ready", now(), first.name));
    let from = (started + CONTACT).max(confirmed + DRAIN) + Duration::from_millis(300);
    thread::sleep(from.saturating_duration_since(Instant::now()));
    let threads: Vec<_> = (0..REQUESTS)
        .map(|index| {
            let callers = first.callers;
            thread::spawn(move || {
                let request = format!(
                    "POST /orders/{index} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: o{index}\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 5\r\n\r\norder"
                );
                let sent = Instant::now();
                (index, sent, exchange(callers, &request, Duration::from_secs(3)))
            })
        })
        .collect();
    let mut answered = 0;
    for thread in threads {
        let Ok((index, sent, status)) = thread.join() else {
            continue;
        };
        answered += usize::from(status == Some(200));
        record.line(&format!(
            "{} o{index} sent to {}, {} after the confirmation, answered {status:?}",
            ms(begin, sent),
            first.name,
            ms(confirmed, sent)
        ));
    }
    thread::sleep(CUT.saturating_sub(begin.elapsed()));
    gate.set_cut(false);
    let runs = runs.lock().expect("runs").clone();
    let late: Vec<_> = runs
        .iter()
        .filter(|run| run.server == "i-leaves" && run.arrived > confirmed + DRAIN)
        .collect();
    for run in &late {
        record.line(&format!(
            "{} {} reached i-leaves, {} after its removal was confirmed",
            ms(begin, run.arrived),
            run.attempt,
            ms(confirmed, run.arrived)
        ));
    }
    record.line(&format!(
        "{} of {} requests reached a server later than drainMs after it had left",
        late.len(),
        runs.len()
    ));
    if answered < REQUESTS / 2 {
        return Outcome::NotRun(format!("only {answered} requests were answered"));
    }
    match late.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
