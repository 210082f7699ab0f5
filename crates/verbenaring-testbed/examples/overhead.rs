//! Overhead of one node against the engine stand-in, as ratios of one run.
//!
//! `cargo run --release --example overhead` takes under a minute. Engine and
//! node run in processes of their own, started from this program; the load
//! comes from threads with blocking sockets, whose timers are precise.

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
/// Connections of streams and of the load at half of the capacity.
const HALF_CONNECTIONS: usize = 16;
const SHORT_TOKENS: u32 = 4;
const STREAM_TOKENS: u32 = 1_000;
const WARM_UP: Duration = Duration::from_millis(200);
const PHASE: Duration = Duration::from_millis(800);
const ENGINE_THREADS: usize = 4;
const NODE_THREADS: [usize; 3] = [1, 2, 4];
/// Rounds in which every target is loaded in turn; the best round counts, as
/// other work on the machine only makes results worse.
const ROUNDS: usize = 3;
/// Unit of processor time in `/proc`.
const TICKS_PER_S: f64 = 100.0;
const IDLE_STREAMS: usize = 1_000;
/// Streams opened at once; more overflow the accept queue of the engine.
const OPENED_AT_ONCE: usize = 50;
/// Pace while idle streams are opened.
const OPENING_TOKENS_PER_S: f64 = 10.0;
/// Factor on the time between tokens that makes streams idle.
const IDLE_FACTOR: f64 = 1e6;
/// Longest wait for the configuration.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

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
            /// Runs an engine until its input ends.
            cmd engine {}
            /// Runs a node until its input ends.
            cmd node {
                /// Address of the platform store.
                required --store address: SocketAddr
                /// Worker threads.
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

/// Prints the address of a role and waits for the end of its input.
fn announce(address: SocketAddr) {
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
    announce(engine.expect("loopback ports are free").address());
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
    announce(node.caller_address());
}

/// Process of one role; ended when dropped.
struct RoleProcess {
    child: Child,
    address: SocketAddr,
}

impl RoleProcess {
    fn start(arguments: &[&str]) -> Self {
        let program = std::env::current_exe().expect("program has a path");
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("program can start itself");
        let mut line = String::new();
        let output = child.stdout.take().expect("output is piped");
        let read = BufReader::new(output).read_line(&mut line);
        read.expect("role announces its address");
        let address = line.trim().parse().expect("role announces its address");
        Self { child, address }
    }

    fn node(store: SocketAddr, threads: usize) -> Self {
        let (store, threads) = (store.to_string(), threads.to_string());
        let node = Self::start(&["node", "--store", &store, "--threads", &threads]);
        let start = Instant::now();
        while exchange_once(node.address, &short_request()) != 200 {
            assert!(start.elapsed() < SETTLE_LIMIT, "node is not ready");
            std::thread::sleep(Duration::from_millis(20));
        }
        node
    }

    /// Processor time used so far, in seconds.
    fn processor_s(&self) -> f64 {
        let file = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(file).unwrap_or_default();
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        ticks
            .filter_map(|ticks| ticks.parse::<f64>().ok())
            .sum::<f64>()
            / TICKS_PER_S
    }

    /// Resident memory in bytes.
    fn memory(&self) -> u64 {
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

fn request(tokens: u32, stream: bool) -> Vec<u8> {
    let body = chat_body("the crank of the awning jams", tokens, stream);
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: node\r\n\
         authorization: Bearer {CUSTOMER_KEY}\r\ncontent-type: application/json\r\n\
         x-request-id: overhead\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), &body].concat()
}

fn short_request() -> Vec<u8> {
    request(SHORT_TOKENS, false)
}

fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpStream::connect(address).expect("role accepts connections");
    socket.set_nodelay(true).expect("socket is open");
    socket
}

fn exchange_once(address: SocketAddr, request: &[u8]) -> u16 {
    exchange(&mut connect(address), request, &mut Vec::new())
}

/// Sends a request, reads the whole answer and returns its status.
fn exchange(socket: &mut TcpStream, request: &[u8], buffer: &mut Vec<u8>) -> u16 {
    buffer.clear();
    socket.write_all(request).expect("request is sent");
    let mut part = [0; 64 * 1024];
    let mut end = None;
    loop {
        let count = socket.read(&mut part).expect("answer arrives");
        assert!(count > 0, "connection ended within an answer");
        buffer.extend_from_slice(&part[..count]);
        end = end.or_else(|| answer_end(buffer));
        let whole = match end {
            Some(Some(length)) => buffer.len() >= length,
            Some(None) => buffer.ends_with(b"\r\n0\r\n\r\n"),
            None => false,
        };
        if whole {
            let status = std::str::from_utf8(&buffer[9..12]).unwrap_or_default();
            return status.parse().unwrap_or_default();
        }
    }
}

/// Length of the whole answer, none if it is chunked, once its head is there.
fn answer_end(buffer: &[u8]) -> Option<Option<usize>> {
    let head = buffer.windows(4).position(|window| window == b"\r\n\r\n")?;
    let text = String::from_utf8_lossy(&buffer[..head]).to_lowercase();
    let length = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    Some(length.and_then(|length| Some(head + 4 + length.trim().parse::<usize>().ok()?)))
}

struct LoadResult {
    per_s: f64,
    /// Requests, those of the warm-up included.
    requests: u64,
    micros: Histogram<u64>,
}

/// Load on `address` from parallel connections: as fast as answers come, or at
/// `rate` requests per second in total.
fn load(address: SocketAddr, request: &[u8], connections: usize, rate: Option<f64>) -> LoadResult {
    let start = Instant::now() + Duration::from_millis(20);
    let interval = rate.map(|rate| Duration::from_secs_f64(connections as f64 / rate));
    let worker = |index: usize| {
        let mut socket = connect(address);
        let mut buffer = Vec::new();
        let mut micros = Histogram::<u64>::new(3).expect("valid precision");
        let mut requests = 0;
        let phase = interval
            .unwrap_or_default()
            .mul_f64(index as f64 / connections as f64);
        let mut due = start + phase;
        while due.max(Instant::now()) < start + WARM_UP + PHASE {
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let sent = Instant::now();
            let status = exchange(&mut socket, request, &mut buffer);
            assert_eq!(status, 200, "{}", String::from_utf8_lossy(&buffer));
            requests += 1;
            if sent >= start + WARM_UP {
                let elapsed = sent.elapsed().as_micros() as u64;
                micros.record(elapsed).expect("histogram grows");
            }
            due = interval.map_or(due, |interval| due + interval);
        }
        (micros, requests)
    };
    let mut micros = Histogram::<u64>::new(3).expect("valid precision");
    let mut requests = 0;
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..connections)
            .map(|index| scope.spawn(move || worker(index)))
            .collect();
        for worker in workers {
            let (part, count) = worker.join().expect("load runs to its end");
            requests += count;
            micros.add(part).expect("same precision");
        }
    });
    let per_s = micros.len() as f64 / PHASE.as_secs_f64();
    LoadResult {
        per_s,
        requests,
        micros,
    }
}

/// Highest throughput and number of requests of each target over the rounds.
fn full_load<const N: usize>(
    targets: [SocketAddr; N],
    request: &[u8],
    connections: usize,
) -> [(f64, u64); N] {
    let mut best = [(0.0, 0); N];
    for _ in 0..ROUNDS {
        for (target, best) in targets.iter().zip(&mut best) {
            let result = load(*target, request, connections, None);
            *best = (result.per_s.max(best.0), best.1 + result.requests);
        }
    }
    best
}

/// Lowest p50 and p99 at half of `full` requests per second, direct and
/// through the node.
fn half_load(direct: SocketAddr, node: SocketAddr, request: &[u8], full: f64) {
    let mut lowest = [[f64::MAX; 2]; 2];
    for _ in 0..ROUNDS {
        for (target, lowest) in [direct, node].iter().zip(&mut lowest) {
            let result = load(*target, request, HALF_CONNECTIONS, Some(full / 2.0));
            for (quantile, lowest) in [0.5, 0.99].into_iter().zip(lowest) {
                let millis = result.micros.value_at_quantile(quantile) as f64 / 1_000.0;
                *lowest = millis.min(*lowest);
            }
        }
    }
    let [direct, node] = lowest;
    for (index, name) in ["p50", "p99"].into_iter().enumerate() {
        println!(
            "| {name} at half load ({:.0}/s), ms: direct, node, added | {:.2} | {:.2} | {:.2} |",
            full / 2.0,
            direct[index],
            node[index],
            node[index] - direct[index]
        );
    }
}

fn compare(name: &str, unit: &str, direct: f64, node: f64) {
    let ratio = node / direct;
    println!("| {name}, {unit}: base, node, ratio | {direct:.0} | {node:.0} | {ratio:.2} |");
}

/// Writes contract and engine to the store.
async fn configure(store: SocketAddr, engine: SocketAddr) {
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
        value: Some(stored(&value)),
        lease: 0,
    };
    let documents = [
        request("config/contract/council", contract),
        request("config/server/dublin-a/engine-0", server),
    ];
    let writer = EtcdStore::new(&[store], Duration::from_secs(2));
    writer.swap(&documents).await.expect("store is up");
}

fn stored(document: &serde_json::Value) -> Vec<u8> {
    let entry = StoredEntry::new(ChangeId::default(), 0, Some(&document.to_string()));
    entry.expect("a JSON value is a document").to_bytes()
}

/// Store with the configuration of a node in front of `engine`.
fn start_store(runtime: &Runtime, engine: SocketAddr) -> StoreServer {
    runtime.block_on(async {
        let store = StoreServer::start(StoreSettings::default()).await;
        let store = store.expect("loopback ports are free");
        configure(store.address(), engine).await;
        store
    })
}

/// Opens streams and waits for the first token of each.
fn open_streams(address: SocketAddr) -> Vec<TcpStream> {
    let request = request(STREAM_TOKENS, true);
    let mut sockets: Vec<TcpStream> = (0..IDLE_STREAMS).map(|_| connect(address)).collect();
    for batch in sockets.chunks_mut(OPENED_AT_ONCE) {
        for socket in &mut *batch {
            socket.write_all(&request).expect("request is sent");
        }
        for socket in batch {
            let mut part = [0; 4_096];
            let count = socket.read(&mut part).expect("stream starts");
            let text = String::from_utf8_lossy(&part[..count]);
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
    let idle = |slow_factor| {
        engine.set_faults(EngineFaults {
            slow_factor,
            ..EngineFaults::default()
        });
        std::thread::sleep(Duration::from_millis(500));
        node.memory()
    };
    let before = idle(1.0);
    let first = open_streams(node.address);
    let between = idle(IDLE_FACTOR);
    idle(1.0);
    let second = open_streams(node.address);
    let after = idle(IDLE_FACTOR);
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
    let short = short_request();
    let stream = request(STREAM_TOKENS, true);

    let nodes = NODE_THREADS.map(|threads| RoleProcess::node(store_address, threads));
    let [one, two, four] = [0, 1, 2].map(|index| nodes[index].address);
    let targets = [engine.address, one, two, four];
    let before = [0, 1, 2].map(|index: usize| nodes[index].processor_s());
    let [(direct, _), through @ ..] = full_load(targets, &short, CONNECTIONS);
    for (index, (per_s, requests)) in through.into_iter().enumerate() {
        let name = format!("short answers, node with {} threads", NODE_THREADS[index]);
        compare(&name, "requests/s", direct, per_s);
        let micros = (nodes[index].processor_s() - before[index]) * 1e6 / requests as f64;
        println!("| processor time of the node per request, µs | | {micros:.0} | |");
    }
    let [one_s, two_s, four_s] = through.map(|(per_s, _)| per_s);
    compare("growth from 1 to 2 threads", "requests/s", one_s, two_s);
    compare("growth from 1 to 4 threads", "requests/s", one_s, four_s);
    half_load(engine.address, two, &short, two_s);

    let [(direct, _), (through, _)] = full_load([engine.address, two], &stream, HALF_CONNECTIONS);
    let tokens = f64::from(STREAM_TOKENS);
    compare(
        "streams of 1,000 tokens",
        "tokens/s",
        direct * tokens,
        through * tokens,
    );
    half_load(engine.address, two, &stream, through);
    drop(nodes);
    measure_memory(&runtime);
}
