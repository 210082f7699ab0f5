//! Measures one node against the engine stand-in alone, as ratios within one run.
//!
//! `cargo run --release --example overhead` takes under a minute. Engine and node run
//! in separate processes, which this program starts; the load comes from threads with
//! blocking sockets, because their timers are precise.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command, ExitCode, Stdio};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde_json::json;
use tokio::runtime::{Builder, Runtime};
use verbenaring_gateway::config::{ClusterKey, LimitSettings, NodeSettings};
use verbenaring_gateway::etcd::EtcdStore;
use verbenaring_gateway::node::BoundNode;
use verbenaring_gateway::store::{PlatformStore, SwapCondition, SwapRequest};
use verbenaring_policy::id::{CentreName, ChangeId, DataCentre, RegionName, VmId};
use verbenaring_protocol::stored::StoredEntry;
use verbenaring_testbed::client::chat_body;
use verbenaring_testbed::deployment::{CUSTOMER_KEY, contract_document};
use verbenaring_testbed::{EngineFaults, EngineServer, EngineSettings, StoreServer, StoreSettings};

const CONNECTIONS: usize = 64;
/// Number of connections for streams and for load at half of the capacity.
const HALF_CONNECTIONS: usize = 16;
const SHORT_TOKENS: u32 = 4;
const STREAM_TOKENS: u32 = 1_000;
const WARM_UP_DURATION: Duration = Duration::from_millis(200);
const MEASURED_DURATION: Duration = Duration::from_millis(800);
const ENGINE_THREADS: usize = 4;
const NODE_THREADS: [usize; 3] = [1, 2, 4];
/// Number of rounds in which every target is loaded in turn. The best round counts,
/// because other work on the machine only makes results worse.
const ROUNDS: usize = 3;
/// Clock ticks per second, the unit of CPU time in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const IDLE_STREAMS: usize = 1_000;
/// Number of streams opened at the same time; more overflow the engine's accept queue.
const OPEN_BATCH_SIZE: usize = 50;
/// Token rate of the engine while streams are opened.
const OPENING_TOKENS_PER_S: f64 = 10.0;
/// Factor on the time between tokens, large enough that streams are idle.
const IDLE_SLOW_FACTOR: f64 = 1e6;
/// Longest wait until a node has its configuration and serves requests.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

mod flags {
    use std::net::SocketAddr;

    xflags::xflags! {
        /// Measures the overhead of one node.
        cmd overhead {
            /// Runs the benchmark.
            default cmd measure {
                /// Measure only the memory of idle streams.
                optional --memory
            }
            /// Runs an engine until standard input closes.
            cmd engine {}
            /// Runs a node until standard input closes.
            cmd node {
                /// Address of the platform store.
                required --store address: SocketAddr
                /// Number of worker threads.
                required --threads threads: usize
            }
        }
    }
}

fn main() -> ExitCode {
    match flags::Overhead::from_env_or_exit().subcommand {
        flags::OverheadCmd::Measure(flags) => measure(flags.memory),
        flags::OverheadCmd::Engine(_) => run_engine(),
        flags::OverheadCmd::Node(node) => run_node(node.store, node.threads),
    }
    ExitCode::SUCCESS
}

fn runtime(threads: usize) -> Runtime {
    let mut builder = Builder::new_multi_thread();
    let built = builder.worker_threads(threads).enable_all().build();
    built.expect("threads can be started")
}

/// Prints the address, which the parent reads, and blocks until standard input closes.
fn report_address(address: SocketAddr) {
    println!("{address}");
    let mut rest = Vec::new();
    let _ = std::io::stdin().read_to_end(&mut rest);
}

fn run_engine() {
    let runtime = runtime(ENGINE_THREADS);
    let settings = EngineSettings {
        slots: 10_000,
        tokens_per_s: f64::INFINITY,
        prefill_tokens_per_s: f64::INFINITY,
        ..EngineSettings::default()
    };
    let engine = runtime.block_on(EngineServer::start(settings));
    report_address(engine.expect("loopback ports are free").address());
}

fn run_node(store: SocketAddr, threads: usize) {
    let runtime = runtime(threads);
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = NodeSettings {
        vm: VmId::new("vm-0").expect("valid name"),
        data_centre: DataCentre {
            region: RegionName::new("dublin").expect("valid name"),
            name: CentreName::new("dublin-a").expect("valid name"),
        },
        caller_address: loopback,
        peer_address: loopback,
        control_address: loopback,
        operator_address: loopback,
        operator_key: None,
        store_addresses: vec![store],
        store_timeout: Duration::from_secs(2),
        peers: Vec::new(),
        cluster_keys: vec![ClusterKey {
            id: "k1".into(),
            secret: [7; 32],
        }],
        limits: LimitSettings::default(),
        drain: Duration::ZERO,
        node_tls: None,
        caller_tls: None,
        log_level: log::LevelFilter::Off,
    };
    let node = runtime.block_on(async {
        let bound = BoundNode::bind(settings).await;
        bound.expect("loopback ports are free").start()
    });
    report_address(node.caller_address());
}

/// Child process that runs an engine or a node. It is killed on drop.
struct RoleProcess {
    child: Child,
    address: SocketAddr,
}

impl RoleProcess {
    fn start(arguments: &[&str]) -> Self {
        let program = std::env::current_exe().expect("the path of this program is known");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("this program can be started again");
        let mut line = String::new();
        let output = child.stdout.take().expect("standard output is piped");
        let read = BufReader::new(output).read_line(&mut line);
        read.expect("the child prints its address");
        let address = line.trim().parse().expect("the child prints its address");
        Self { child, address }
    }

    fn node(store: SocketAddr, threads: usize) -> Self {
        let (store, threads) = (store.to_string(), threads.to_string());
        let node = Self::start(&["node", "--store", &store, "--threads", &threads]);
        let start = Instant::now();
        while exchange_once(node.address, &short_chat_request()) != 200 {
            assert!(start.elapsed() < READY_TIMEOUT, "node is not ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        node
    }

    /// CPU time that the process has used so far, in seconds; 0 if it cannot be read.
    fn cpu_time_s(&self) -> f64 {
        let file = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / TICKS_PER_S
    }

    /// Resident memory of the process, in bytes.
    fn resident_bytes(&self) -> u64 {
        let file = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        number.expect("the system reports resident memory") * 1024
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn chat_request(tokens: u32, stream: bool) -> Vec<u8> {
    let body = chat_body("the crank of the awning jams", tokens, stream);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\n\
         authorization: Bearer {CUSTOMER_KEY}\r\ncontent-type: application/json\r\n\
         x-request-id: overhead\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), &body].concat()
}

fn short_chat_request() -> Vec<u8> {
    chat_request(SHORT_TOKENS, false)
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).expect("the child accepts connections");
    socket.set_nodelay(true).expect("socket is open");
    socket
}

fn exchange_once(address: SocketAddr, request: &[u8]) -> u16 {
    exchange(&mut connect(address), request, &mut Vec::new())
}

/// Sends a request, reads the complete answer into `buffer` and returns its status.
fn exchange(socket: &mut TcpStream, request: &[u8], buffer: &mut Vec<u8>) -> u16 {
    buffer.clear();
    socket.write_all(request).expect("request is sent");
    let mut chunk = [0; 64 * 1024];
    let mut length = None;
    loop {
        let count = socket.read(&mut chunk).expect("the answer arrives");
        assert!(count > 0, "connection closed within an answer");
        buffer.extend_from_slice(&chunk[..count]);
        length = length.or_else(|| answer_length(buffer));
        let complete = match length {
            Some(Some(total)) => buffer.len() >= total,
            Some(None) => buffer.ends_with(b"\r\n0\r\n\r\n"),
            None => false,
        };
        if complete {
            let status = std::str::from_utf8(&buffer[9..12]).unwrap_or_default();
            return status.parse().unwrap_or_default();
        }
    }
}

/// Length of the answer including its head; `None` until the head is complete and
/// `Some(None)` if the answer is chunked.
fn answer_length(buffer: &[u8]) -> Option<Option<usize>> {
    let head = buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&buffer[..head]).to_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    Some(length.and_then(|length| Some(head + 4 + length.trim().parse::<usize>().ok()?)))
}

struct LoadResult {
    /// Answers per second after the warm-up.
    requests_per_s: f64,
    /// Number of requests, including those of the warm-up.
    requests: u64,
    /// Latencies after the warm-up, in microseconds.
    latency_us: Histogram<u64>,
}

/// Sends requests to `address` over parallel connections, each as soon as the previous
/// answer is complete, or at `rate` requests per second in total.
fn load(address: SocketAddr, request: &[u8], connections: usize, rate: Option<f64>) -> LoadResult {
    let start = Instant::now() + Duration::from_millis(20);
    let interval = rate.map(|rate| Duration::from_secs_f64(connections as f64 / rate));
    let worker = |index: usize| {
        let mut socket = connect(address);
        let mut buffer = Vec::new();
        let mut latency_us = Histogram::<u64>::new(3).expect("valid precision");
        let mut requests = 0;
        let start_offset = interval
            .unwrap_or_default()
            .mul_f64(index as f64 / connections as f64);
        let mut due = start + start_offset;
        while due.max(Instant::now()) < start + WARM_UP_DURATION + MEASURED_DURATION {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let sent = Instant::now();
            let status = exchange(&mut socket, request, &mut buffer);
            assert_eq!(status, 200, "{}", String::from_utf8_lossy(&buffer));
            requests += 1;
            if sent >= start + WARM_UP_DURATION {
                let elapsed = sent.elapsed().as_micros() as u64;
                latency_us.record(elapsed).expect("histogram grows");
            }
            due = interval.map_or(due, |interval| due + interval);
        }
        (latency_us, requests)
    };
    let mut latency_us = Histogram::<u64>::new(3).expect("valid precision");
    let mut requests = 0;
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..connections)
            .map(|index| scope.spawn(move || worker(index)))
            .collect();
        for worker in workers {
            let (worker_us, count) = worker.join().expect("the load thread does not panic");
            requests += count;
            latency_us.add(worker_us).expect("same precision");
        }
    });
    let requests_per_s = latency_us.len() as f64 / MEASURED_DURATION.as_secs_f64();
    LoadResult {
        requests_per_s,
        requests,
        latency_us,
    }
}

/// Highest requests per second of any round and total requests, for each target.
fn full_load<const N: usize>(
    targets: [SocketAddr; N],
    request: &[u8],
    connections: usize,
) -> [(f64, u64); N] {
    let mut best = [(0.0, 0); N];
    for _ in 0..ROUNDS {
        for (target, best) in targets.iter().zip(&mut best) {
            let result = load(*target, request, connections, None);
            *best = (result.requests_per_s.max(best.0), best.1 + result.requests);
        }
    }
    best
}

/// Prints the lowest p50 and p99 of any round at half of `full_rate` requests per second,
/// sent directly and through the node.
fn half_load(direct: SocketAddr, node: SocketAddr, request: &[u8], full_rate: f64) {
    let mut lowest = [[f64::MAX; 2]; 2];
    for _ in 0..ROUNDS {
        for (target, lowest) in [direct, node].iter().zip(&mut lowest) {
            let result = load(*target, request, HALF_CONNECTIONS, Some(full_rate / 2.0));
            for (quantile, lowest) in [0.5, 0.99].into_iter().zip(lowest) {
                let millis = result.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
                *lowest = millis.min(*lowest);
            }
        }
    }
    let [direct, node] = lowest;
    for (index, name) in ["p50", "p99"].into_iter().enumerate() {
        println!(
            "| {name} at half load ({:.0}/s), ms: direct, node, added | {:.2} | {:.2} | {:.2} |",
            full_rate / 2.0,
            direct[index],
            node[index],
            node[index] - direct[index]
        );
    }
}

fn print_ratio(name: &str, unit: &str, direct: f64, node: f64) {
    let ratio = node / direct;
    println!("| {name}, {unit}: base, node, ratio | {direct:.0} | {node:.0} | {ratio:.2} |");
}

/// Writes the documents of the contract and of the engine to the store.
async fn write_documents(store: SocketAddr, engine: SocketAddr) {
    let mut contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin"]);
    contract["limits"] = json!({
        "requests_per_s": 1e6, "tokens_per_s": 1e9, "concurrent": 100_000, "deadline_ms": 600_000,
    });
    let server = json!({
        "server": "engine-0", "region": "dublin", "data_centre": "dublin-a",
        "address": engine.to_string(), "kind": "engine", "models": ["standin"],
        "slots": 10_000, "tokens_per_s": 1_000_000.0, "resumes": true,
    });
    let request = |key: &str, value: serde_json::Value| SwapRequest {
        key: key.to_owned(),
        condition: SwapCondition::Absent,
        value: Some(encode_entry(&value)),
        lease: 0,
    };
    let documents = [
        request("config/contract/council", contract),
        request("config/server/dublin-a/engine-0", server),
    ];
    let writer = EtcdStore::new(&[store], Duration::from_secs(2));
    writer.swap(&documents).await.expect("the store is up");
}

fn encode_entry(document: &serde_json::Value) -> Vec<u8> {
    let entry = StoredEntry::new(ChangeId::default(), 0, Some(&document.to_string()));
    entry.expect("a JSON value is a document").to_bytes()
}

/// Starts a store with the configuration of a node that has `engine` as its server.
fn start_store(runtime: &Runtime, engine: SocketAddr) -> StoreServer {
    runtime.block_on(async {
        let store = StoreServer::start(StoreSettings::default()).await;
        let store = store.expect("loopback ports are free");
        write_documents(store.address(), engine).await;
        store
    })
}

/// Opens `IDLE_STREAMS` streams and waits for the first part of each answer.
fn open_streams(address: SocketAddr) -> Vec<TcpStream> {
    let request = chat_request(STREAM_TOKENS, true);
    let mut sockets: Vec<TcpStream> = (0..IDLE_STREAMS).map(|_| connect(address)).collect();
    for batch in sockets.chunks_mut(OPEN_BATCH_SIZE) {
        for socket in &mut *batch {
            socket.write_all(&request).expect("request is sent");
        }
        for socket in batch {
            let mut chunk = [0; 4_096];
            let count = socket.read(&mut chunk).expect("the stream starts");
            let text = String::from_utf8_lossy(&chunk[..count]);
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        }
    }
    sockets
}

fn measure_memory(runtime: &Runtime) {
    let settings = EngineSettings {
        slots: 10_000,
        tokens_per_s: OPENING_TOKENS_PER_S,
        prefill_tokens_per_s: f64::INFINITY,
        ..EngineSettings::default()
    };
    let engine = runtime.block_on(EngineServer::start(settings));
    let engine = engine.expect("loopback ports are free");
    let store = start_store(runtime, engine.address());
    let node = RoleProcess::node(store.address(), 2);
    let resident_at_pace = |slow_factor| {
        engine.set_faults(EngineFaults {
            slow_factor,
            ..EngineFaults::default()
        });
        std::thread::sleep(Duration::from_millis(500));
        node.resident_bytes()
    };
    let before = resident_at_pace(1.0);
    let first = open_streams(node.address);
    let between = resident_at_pace(IDLE_SLOW_FACTOR);
    resident_at_pace(1.0);
    let second = open_streams(node.address);
    let after = resident_at_pace(IDLE_SLOW_FACTOR);
    let per_stream =
        |low, high: u64| high.saturating_sub(low) as f64 / 1024.0 / IDLE_STREAMS as f64;
    println!(
        "| gateway memory per idle stream, KB: first {IDLE_STREAMS}, next {IDLE_STREAMS} | {:.1} | {:.1} | |",
        per_stream(before, between),
        per_stream(between, after)
    );
    drop((first, second));
}

fn measure(memory_only: bool) {
    let runtime = runtime(1);
    println!("| measure | | | |\n|---|---|---|---|");
    if memory_only {
        return measure_memory(&runtime);
    }
    let engine = RoleProcess::start(&["engine"]);
    let store = start_store(&runtime, engine.address);
    let store_address = store.address();
    let short = short_chat_request();
    let stream = chat_request(STREAM_TOKENS, true);

    let nodes = NODE_THREADS.map(|threads| RoleProcess::node(store_address, threads));
    let [one, two, four] = [0, 1, 2].map(|index| nodes[index].address);
    let targets = [engine.address, one, two, four];
    let cpu_before_s = [0, 1, 2].map(|index: usize| nodes[index].cpu_time_s());
    let [(direct, _), via_node @ ..] = full_load(targets, &short, CONNECTIONS);
    for (index, (requests_per_s, requests)) in via_node.into_iter().enumerate() {
        let name = format!("short answers, node with {} threads", NODE_THREADS[index]);
        print_ratio(&name, "requests/s", direct, requests_per_s);
        let cpu_us = (nodes[index].cpu_time_s() - cpu_before_s[index]) * 1e6 / requests as f64;
        println!("| processor time of the node per request, µs | | {cpu_us:.0} | |");
    }
    let [rate_1, rate_2, rate_4] = via_node.map(|(requests_per_s, _)| requests_per_s);
    print_ratio("growth from 1 to 2 threads", "requests/s", rate_1, rate_2);
    print_ratio("growth from 1 to 4 threads", "requests/s", rate_1, rate_4);
    half_load(engine.address, two, &short, rate_2);

    let [(direct, _), (via_node, _)] = full_load([engine.address, two], &stream, HALF_CONNECTIONS);
    let tokens = f64::from(STREAM_TOKENS);
    print_ratio(
        "streams of 1,000 tokens",
        "tokens/s",
        direct * tokens,
        via_node * tokens,
    );
    half_load(engine.address, two, &stream, via_node);
    drop(nodes);
    measure_memory(&runtime);
}
