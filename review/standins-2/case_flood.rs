//! Case 7: clients send chunked bodies in very small chunks and stop just short of their end.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{exchange, free_ports};
use crate::plain::{PlainRuns, PlainServer};
use crate::store::Store;
use crate::vm::{Vm, VmPlan};
use crate::{Outcome, Record, ms};

/// The smallest machines of the site file `flopline-prairie-grown`.
const MEMORY_MB: u32 = 112;
const DESCRIPTORS: u32 = 2_870;
const CORES: f64 = 0.084;
/// Clients at once, at each VM. The VM serves 1,146 of them and closes the others.
const CLIENTS: usize = 1_200;
/// Threads that send for them.
const SENDERS: usize = 12;
/// Bytes of a body and of a chunk; `maxBodyBytes` is 4,194,304.
const BODY_BYTES: usize = 15_900;
const CHUNK_BYTES: usize = 2;
/// Header lines of a request, under 4 KB in all; `maxHeaderBytes` is 16,384.
const HEADERS: usize = 94;
/// Longest time of one flood.
const FLOOD_TIME: Duration = Duration::from_secs(20);
/// Times that each process is flooded: it is started again as often as the platform ends it.
const FLOODS: usize = 3;
/// VMs: the rule asks for two at least.
const VMS: usize = 2;
const CONTACT: Duration = Duration::from_millis(5_000);

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"orders","host":"shop.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":6000,"goalMs":400,"priority":2,"service":"table-desk","attempts":1,"sticky":false,"resumable":false,"homeRegions":[]}],
"services":[{"name":"table-desk","healthPath":"/healthz","maxConns":948,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Client that has sent a part of its request.
struct Sender {
    stream: TcpStream,
    sent: usize,
    closed: bool,
}

fn request_bytes(index: usize) -> Vec<u8> {
    let mut text = format!(
        "POST /orders/{index} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: flood{index}\r\nDeadline-Ms: 6000\r\nTransfer-Encoding: chunked\r\n"
    );
    for header in 0..HEADERS {
        text += &format!("x-note-{header}: value of line {header}, 20 more\r\n");
    }
    text += "\r\n";
    // The last chunk, which ends the body, is never sent.
    for _ in 0..BODY_BYTES / CHUNK_BYTES {
        text += &format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    }
    text.into_bytes()
}

/// Sends the requests of some clients until the flood ends; returns how many connected.
fn flood(address: SocketAddr, clients: std::ops::Range<usize>, ended: &AtomicBool) -> usize {
    let bytes = request_bytes(clients.start);
    let mut senders: Vec<Sender> = Vec::new();
    for _ in clients {
        if let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            let _ = stream.set_nonblocking(true);
            senders.push(Sender {
                stream,
                sent: 0,
                closed: false,
            });
        }
    }
    while !ended.load(Ordering::Relaxed) {
        let mut progress = false;
        for sender in senders.iter_mut().filter(|sender| !sender.closed) {
            let end = (sender.sent + 8_192).min(bytes.len());
            match sender.stream.write(&bytes[sender.sent..end]) {
                Ok(length) => {
                    sender.sent += length;
                    progress |= length > 0;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => sender.closed = true,
            }
            match sender.stream.read(&mut [0; 512]) {
                Ok(0) => sender.closed = true,
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => sender.closed = true,
            }
        }
        if !progress {
            thread::sleep(Duration::from_millis(5));
        }
    }
    senders.len()
}

/// Resident memory of a process, in KiB.
fn resident(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn ordinary(address: SocketAddr, attempt: &str) -> Option<u16> {
    let request = format!(
        "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 6000\r\nConnection: close\r\nContent-Length: 5\r\n\r\norder"
    );
    exchange(address, &request, Duration::from_secs(6))
}

/// Floods one VM, and ends it as the platform does once it is over the memory of its machine.
/// Returns how often it was ended; `None` if it could not be played.
fn play(record: &Record, begin: Instant, trouble: bool, start: impl Fn() -> Vm) -> Option<usize> {
    let limit = u64::from(MEMORY_MB) * 1_024;
    let mut vm = start();
    if !vm.await_ready() {
        return None;
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    let mut ends = 0;
    for round in 1..=FLOODS {
        let name = vm.name.clone();
        let before = resident(vm.id());
        let began = Instant::now();
        let ended = AtomicBool::new(false);
        let connected = AtomicUsize::new(0);
        let (mut peak, mut over) = (0, None);
        thread::scope(|scope| {
            if trouble {
                let per_sender = CLIENTS / SENDERS;
                for sender in 0..SENDERS {
                    let (address, ended, connected) = (vm.callers, &ended, &connected);
                    scope.spawn(move || {
                        let sent = flood(
                            address,
                            sender * per_sender..(sender + 1) * per_sender,
                            ended,
                        );
                        connected.fetch_add(sent, Ordering::Relaxed);
                    });
                }
            }
            let time = if trouble {
                FLOOD_TIME
            } else {
                Duration::from_secs(4)
            };
            while began.elapsed() < time && over.is_none() && vm.runs() {
                if !trouble {
                    let _ = ordinary(
                        vm.callers,
                        &format!("{name}-{round}-{}", began.elapsed().as_millis()),
                    );
                }
                let now = resident(vm.id()).unwrap_or(0);
                peak = peak.max(now);
                over = (now > limit).then(Instant::now);
                thread::sleep(Duration::from_millis(10));
            }
            // The process is ended first: the memory that it holds is what the flood left.
            if over.is_some() {
                vm.kill();
            }
            ended.store(true, Ordering::Relaxed);
        });
        record.line(&format!(
            "{name}, flood {round}: begun {}, {} clients connected, resident memory before {before:?} KiB, at its peak {peak} KiB of {limit} KiB; over the memory of the machine and ended: {}",
            ms(begin, began),
            connected.load(Ordering::Relaxed),
            over.map_or("no".to_owned(), |at| ms(begin, at))
        ));
        if over.is_some() || !vm.runs() {
            ends += 1;
            drop(vm);
            thread::sleep(Duration::from_millis(600));
            vm = start();
            if !vm.await_ready() {
                return None;
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.line(&format!(
        "{}: ordinary request afterwards: {:?}",
        vm.name,
        ordinary(vm.callers, "after")
    ));
    Some(ends)
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", MANIFEST);
    let runs = PlainRuns::default();
    let server = PlainServer::start("i-1", "table-desk", 1_700_000_000_001, &runs);
    store.put("servers/i-1", &server.entry("tas-south-a"));
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let ips: Vec<String> = (1..=VMS)
        .map(|index| format!("127.{}.{low}.{index}", 100 + high % 100))
        .collect();
    let ports = free_ports(6);
    let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:{}", ports[3])).collect();
    let begin = Instant::now();
    let ends: Vec<Option<usize>> = thread::scope(|scope| {
        let plays: Vec<_> = (0..VMS)
            .map(|index| {
                let (ips, ports, seeds, store) = (&ips, &ports, &seeds, &store);
                scope.spawn(move || {
                    let name = format!("front-tas-south-a-{}", index + 1);
                    let start = || {
                        let plan = VmPlan {
                            name: &name,
                            zone: "tas-south-a",
                            ip: &ips[index],
                            ports,
                            seeds,
                            store: store.address,
                            cores: CORES,
                            memory_mb: MEMORY_MB,
                            descriptors: DESCRIPTORS,
                            drain_ms: 5_000,
                            retry_extra: 350,
                        };
                        Vm::start(folder, &plan)
                    };
                    play(record, begin, trouble, start)
                })
            })
            .collect();
        plays
            .into_iter()
            .map(|play| play.join().ok().flatten())
            .collect()
    });
    record.line(&format!(
        "ends of each process by itself: {ends:?}; allowed: fewer than 3 on two machines"
    ));
    if ends.iter().any(Option::is_none) {
        return Outcome::NotRun("a VM does not become ready".to_owned());
    }
    match ends
        .iter()
        .all(|ends| ends.is_some_and(|ends| ends >= FLOODS))
    {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
