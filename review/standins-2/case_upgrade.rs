//! Case 6: machines are replaced by the new build one after the other, and the operator sends a
//! manifest meanwhile.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{exchange, free_ports};
use crate::plain::{PlainRuns, PlainServer};
use crate::store::Store;
use crate::vm::{PROGRAM, Vm, VmPlan, signal_term};
use crate::{Outcome, Record, ms};

/// Build that runs before the upgrade; `build-2.sh` makes it.
const EARLIER_PROGRAM: &str = "target/review-2/earlier/release/verbenaring-front";
/// VMs of the region. The last one has less of everything, as in the grown deployments.
const VMS: usize = 5;
/// `contactMs` and `applyMs` of the site file `bungline-grown`.
const CONTACT: Duration = Duration::from_millis(6_000);
const APPLY: Duration = Duration::from_millis(5_000);
/// Requests through each VM afterwards.
const REQUESTS: usize = 10;

fn manifest(version: u64, service: &str) -> String {
    let route = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"shop.example","pathPrefix":"/{name}/","kind":"unsafe","timeoutMs":3000,"goalMs":500,"priority":2,"service":"{service}","attempts":1,"sticky":false,"resumable":false,"homeRegions":[]}}"#
        )
    };
    let service_spec = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/healthz","maxConns":100,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{},{}],"services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        route("orders", service),
        route("stock", "yard-app"),
        service_spec("yard-app"),
        service_spec("yard-app-2")
    )
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    let before = if trouble { EARLIER_PROGRAM } else { PROGRAM };
    if !Path::new(before).exists() {
        return Outcome::NotRun(format!("{before} is missing; run review/build-2.sh"));
    }
    let store = Store::start();
    store.put("op/config", &manifest(1, "yard-app"));
    let runs = PlainRuns::default();
    let former = PlainServer::start("i-former", "yard-app", 1_700_000_000_001, &runs);
    let next = PlainServer::start("i-next", "yard-app-2", 1_700_000_000_002, &runs);
    for server in [&former, &next] {
        store.put(
            &format!("servers/{}", server.id),
            &server.entry("vic-east-a"),
        );
    }
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ips: Vec<String> = (1..=VMS)
        .map(|index| format!("127.{}.{low}.{index}", 100 + high % 100))
        .collect();
    let ports = free_ports(6);
    let seeds: Vec<String> = ips
        .iter()
        .take(3)
        .map(|ip| format!("{ip}:{}", ports[3]))
        .collect();
    let start = |index: usize, program: &str| {
        let small = index + 1 == VMS;
        let name = format!("front-vic-east-a-{}", index + 1);
        let plan = VmPlan {
            name: &name,
            zone: "vic-east-a",
            ip: &ips[index],
            ports: &ports,
            seeds: &seeds,
            store: store.address,
            cores: if small { 0.12 } else { 0.5 },
            memory_mb: if small { 160 } else { 512 },
            descriptors: if small { 4_100 } else { 8_192 },
            link_mbps: if small { 10.0 } else { 200.0 },
            drain_ms: 5_000,
            retry_extra: 220,
        };
        Vm::start_program(folder, &plan, program)
    };
    let mut vms: Vec<Vm> = (0..VMS).map(|index| start(index, before)).collect();
    if !vms.iter().all(Vm::await_ready) {
        return Outcome::NotRun("a VM does not become ready".to_owned());
    }
    thread::sleep(CONTACT);
    let begin = Instant::now();
    // The replacement begins with the last machine.
    let mut replaced = vms.pop().expect("VM");
    record.line(&format!(
        "{} SIGTERM to {}",
        ms(begin, Instant::now()),
        replaced.name
    ));
    signal_term(&replaced);
    replaced.wait();
    drop(replaced);
    vms.push(start(VMS - 1, PROGRAM));
    record.line(&format!(
        "{} it starts as the new build",
        ms(begin, Instant::now())
    ));
    if !vms[VMS - 1].await_ready() {
        return Outcome::NotRun("the replaced VM does not become ready".to_owned());
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    store.put("op/config", &manifest(4, "yard-app-2"));
    let confirmed = Instant::now();
    record.line(&format!(
        "{} version 4 is confirmed: orders move from yard-app to yard-app-2",
        ms(begin, confirmed)
    ));
    thread::sleep(APPLY + Duration::from_millis(2_000));
    let mut asked = 0;
    for round in 0..REQUESTS {
        for (index, vm) in vms.iter().enumerate() {
            let attempt = format!("vm{}-{round}", index + 1);
            let request = format!(
                "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 5\r\n\r\norder"
            );
            let sent = Instant::now();
            let status = exchange(vm.callers, &request, Duration::from_secs(3));
            asked += usize::from(status == Some(200));
            record.line(&format!(
                "{} {attempt} sent, {} after the confirmation, answered {status:?}",
                ms(begin, sent),
                ms(confirmed, sent)
            ));
        }
    }
    let runs = runs.lock().expect("runs").clone();
    let stale: Vec<_> = runs.iter().filter(|run| run.server == "i-former").collect();
    for run in &stale {
        record.line(&format!(
            "{} {} was run by the old service",
            ms(begin, run.arrived),
            run.attempt
        ));
    }
    record.line(&format!(
        "{} of {} requests that were sent later than applyMs after the confirmation were run by the old service",
        stale.len(),
        runs.len()
    ));
    if asked < VMS * REQUESTS / 2 {
        return Outcome::NotRun(format!("only {asked} requests were answered"));
    }
    match stale.is_empty() {
        true => Outcome::Held,
        false => Outcome::Broken,
    }
}
