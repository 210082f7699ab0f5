//! Case 8: clients send chunked bodies piece by piece, slowly, and ordinary clients try to connect.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
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
/// `contactMs` there.
const CONTACT: Duration = Duration::from_millis(6_000);
/// Clients at once, each with one request. The VM has places for 1,146.
const CLIENTS: usize = 1_320;
const SENDERS: usize = 12;
/// Size of a chunk and the time between two of them.
const CHUNK: usize = 200;
const CHUNK_INTERVAL: Duration = Duration::from_millis(900);
/// Chunks that a client sends, without the last one that would end the body.
const CHUNKS: u32 = 14;
/// Ordinary clients that try a new channel again and again.
const ORDINARY: usize = 8;
const RETRY: Duration = Duration::from_millis(250);
const PLAY: Duration = Duration::from_secs(15);

const MANIFEST: &str = r#"{"version":1,"routes":[{"name":"orders","host":"shop.example","pathPrefix":"/orders/","kind":"unsafe","timeoutMs":6000,"goalMs":400,"priority":2,"service":"table-desk","attempts":1,"sticky":false,"resumable":false,"homeRegions":[]}],
"services":[{"name":"table-desk","healthPath":"/healthz","maxConns":948,"proto":"h1","tls":false,"coldS":0.0,"coldPerS":0.0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// Sends a body piece by piece for each of some clients; returns how many were answered.
fn hold(address: SocketAddr, clients: std::ops::Range<usize>, until: Instant) -> usize {
    let chunk = format!("{CHUNK:x}\r\n{}\r\n", "x".repeat(CHUNK));
    let mut streams: Vec<(TcpStream, bool)> = Vec::new();
    for index in clients {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(3)) else {
            continue;
        };
        let head = format!(
            "POST /orders/{index} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: slow{index}\r\nDeadline-Ms: 6000\r\nTransfer-Encoding: chunked\r\n\r\n{}",
            chunk.repeat(2)
        );
        if stream.write_all(head.as_bytes()).is_ok() {
            let _ = stream.set_nonblocking(true);
            streams.push((stream, false));
        }
        // Stays below the link of the machine, 10 Mbit/s.
        thread::sleep(Duration::from_millis(10));
    }
    let mut sent = 0;
    let mut next = Instant::now();
    while Instant::now() < until {
        if sent < CHUNKS && Instant::now() >= next {
            sent += 1;
            next += CHUNK_INTERVAL;
            for (stream, answered) in &mut streams {
                if !*answered {
                    let _ = stream.write_all(chunk.as_bytes());
                }
            }
        }
        for (stream, answered) in &mut streams {
            match stream.read(&mut [0; 512]) {
                Ok(length) => *answered |= length > 0,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => {}
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    streams.iter().filter(|(_, answered)| *answered).count()
}

pub fn run(folder: &Path, record: &Record, trouble: bool) -> Outcome {
    let store = Store::start();
    store.put("op/config", MANIFEST);
    let runs = PlainRuns::default();
    let server = PlainServer::start("i-1", "table-desk", 1_700_000_000_001, &runs);
    store.put("servers/i-1", &server.entry("tas-south-a"));
    let ports = free_ports(6);
    let seeds = [format!("127.0.0.1:{}", ports[3])];
    let plan = VmPlan {
        name: "front-tas-south-a-1",
        zone: "tas-south-a",
        ip: "127.0.0.1",
        ports: &ports,
        seeds: &seeds,
        store: store.address,
        cores: CORES,
        memory_mb: MEMORY_MB,
        descriptors: DESCRIPTORS,
        link_mbps: 10.0,
        drain_ms: 5_000,
        retry_extra: 350,
    };
    let mut vm = Vm::start(folder, &plan);
    if !vm.await_ready() {
        return Outcome::NotRun("the VM does not become ready".to_owned());
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    let begin = Instant::now();
    let until = begin + PLAY;
    // When the VM answered on a new channel, and how many tries it closed without an answer.
    let answers = Mutex::new(vec![begin]);
    let closed = AtomicUsize::new(0);
    let (ready, not_ready) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        if trouble {
            let per_sender = CLIENTS / SENDERS;
            for sender in 0..SENDERS {
                let address = vm.callers;
                scope.spawn(move || {
                    hold(
                        address,
                        sender * per_sender..(sender + 1) * per_sender,
                        until,
                    )
                });
            }
        }
        for client in 0..ORDINARY {
            let (address, answers, closed) = (vm.callers, &answers, &closed);
            scope.spawn(move || {
                let mut tries = 0;
                while Instant::now() < until {
                    tries += 1;
                    let request = format!(
                        "POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: o{client}-{tries}\r\nDeadline-Ms: 6000\r\nConnection: close\r\nContent-Length: 5\r\n\r\norder"
                    );
                    // Clients allow a new channel one second.
                    match exchange(address, &request, Duration::from_secs(1)) {
                        Some(_) => answers.lock().expect("answers").push(Instant::now()),
                        None => {
                            closed.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                    thread::sleep(RETRY);
                }
            });
        }
        // The platform asks once a second.
        while Instant::now() < until {
            match vm.is_ready() {
                true => ready.fetch_add(1, Ordering::Relaxed),
                false => not_ready.fetch_add(1, Ordering::Relaxed),
            };
            thread::sleep(Duration::from_secs(1));
        }
    });
    let mut answers = answers.lock().expect("answers").clone();
    answers.push(Instant::now().min(until));
    answers.sort_unstable();
    let gaps = answers.windows(2).map(|pair| (pair[1] - pair[0], pair[0]));
    let (gap, from) = gaps.max().expect("answers");
    let (ready, not_ready) = (
        ready.load(Ordering::Relaxed),
        not_ready.load(Ordering::Relaxed),
    );
    record.line(&format!(
        "{ORDINARY} clients tried new channels: {} answered, {} closed without an answer",
        answers.len() - 2,
        closed.load(Ordering::Relaxed)
    ));
    record.line(&format!(
        "longest time without an answer on a new channel: {} ms, from {}; asked for its state, the VM said ready {ready} times and not ready {not_ready} times; contactMs: {} ms",
        gap.as_millis(),
        ms(begin, from),
        CONTACT.as_millis()
    ));
    if !vm.runs() || not_ready > 0 {
        return Outcome::NotRun("the VM ended or did not say that it is ready".to_owned());
    }
    match gap > CONTACT {
        true => Outcome::Broken,
        false => Outcome::Held,
    }
}
