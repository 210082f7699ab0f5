//! Tests of the memory and the descriptors of `verbenaringd` while clients flood it.
//!
//! Each test starts a process of its own and checks that it lives, that its peak memory and
//! its descriptors stay within the bounds, and that ordinary requests are answered beside
//! and after the flood. One flood runs at a time.

mod flood;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use flood::{BODY_BYTES, FloodKind, RunningFlood, ask};
use serde_json::json;
use tokio::process::{Child, Command};
use tokio::sync::Mutex;
use verbenaring_policy::id::Digest;
use verbenaring_testbed::deployment::{
    CUSTOMER_KEY, CentreSpec, DeploymentSpec, OPERATOR_KEY, TestDeployment, contract_document,
};

/// Memory of the VM, which the program assumes by default.
const MEMORY_MB: f64 = 256.0;
/// Share of it that the process may take.
const MEMORY_SHARE: f64 = 0.8;
/// Connections of a listener. Few, so that a small flood would use them up.
const MAX_CONNECTIONS: usize = 150;
/// Descriptors that the process may have open: those of all three listeners, and as many as
/// one of them for other purposes.
const MAX_DESCRIPTORS: usize = 4 * MAX_CONNECTIONS;
/// Clients with large bodies.
const CLIENTS: usize = 120;
/// Clients with small chunks.
const CHUNK_CLIENTS: usize = 60;
/// Clients that only hold connections.
const HOLDING_CLIENTS: usize = 700;
/// Time limit on a request head. Connections that only it ends keep ordinary callers out for
/// longer than the flood takes to start and `ANSWER_LIMIT` together.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after which an ordinary request counts as never answered. Generous, so that a busy
/// machine does not fail a test.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);
/// Pause of an ordinary caller before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Prompt of an ordinary request.
const ORDINARY_BYTES: usize = 4 * 1024;

/// Lets one flood run at a time.
static TURN: Mutex<()> = Mutex::const_new(());
/// Processes started by this test process.
static PROCESSES: AtomicU8 = AtomicU8::new(0);

/// Listener that is flooded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Callers,
    Peers,
    Operators,
}

/// Process under test with the store and the engine that it uses.
struct FloodedNode {
    child: Child,
    addresses: [SocketAddr; 4],
    settings_file: PathBuf,
    _deployment: TestDeployment,
}

impl Drop for FloodedNode {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.settings_file);
    }
}

impl FloodedNode {
    async fn start() -> Self {
        let spec = DeploymentSpec {
            centres: vec![CentreSpec::default()],
            ..DeploymentSpec::default()
        };
        let deployment = TestDeployment::start(&spec).await.expect("loopback");
        let contract = contract_document("council", CUSTOMER_KEY, "dublin", &["dublin"]);
        deployment.write("config/contract/council", &contract).await;
        let index = PROCESSES.fetch_add(1, Ordering::Relaxed);
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        // Not the addresses of other tests, whose ports may be taken at any time.
        let ip = IpAddr::V4(Ipv4Addr::from([127, high % 100 + 10, low, index + 1]));
        let addresses = free_addresses(ip);
        let [caller, peer, control, operator] = addresses;
        let settings = json!({
            "vm": "dublin-a-vm-9", "region": "dublin", "data_centre": "dublin-a",
            "caller_address": caller, "peer_address": peer, "control_address": control,
            "operator_address": operator,
            "operator_key_digest": Digest::of(OPERATOR_KEY.as_bytes()).to_string(),
            "store_addresses": [deployment.store.address()],
            "cluster_keys": [{ "id": "k1", "secret": "07".repeat(32) }],
            "max_connections": MAX_CONNECTIONS,
            "header_timeout_ms": HEADER_TIMEOUT.as_millis() as u64,
        });
        let name = format!("floods-{}-{index}.json", std::process::id());
        let settings_file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&settings_file, settings.to_string()).expect("settings written");
        let child = Command::new(env!("CARGO_BIN_EXE_verbenaringd"))
            .arg("--settings")
            .arg(&settings_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn();
        let node = Self {
            child: child.expect("program starts"),
            addresses,
            settings_file,
            _deployment: deployment,
        };
        node.check_answer("before the flood").await;
        node
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        let [caller, peer, _, operator] = self.addresses;
        match listener {
            Listener::Callers => caller,
            Listener::Peers => peer,
            Listener::Operators => operator,
        }
    }

    /// Checks that an ordinary caller that tries again gets an answer.
    async fn check_answer(&self, when: &str) {
        let head = chat_head();
        let prompt = "word ".repeat(ORDINARY_BYTES / 5);
        let body = json!({
            "model": "standin", "max_tokens": 2,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let body = body.to_string();
        let started = Instant::now();
        let mut seen = Vec::new();
        while started.elapsed() < ANSWER_LIMIT {
            let asking = ask(self.addresses[0], &head, &body);
            let limit = ANSWER_LIMIT.saturating_sub(started.elapsed());
            let answer = tokio::time::timeout(limit, asking).await;
            let answer = answer.unwrap_or_else(|_| "none in time".to_owned());
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
            seen.push(answer.lines().next().unwrap_or_default().to_owned());
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        seen.dedup();
        panic!("no answer {when}: {seen:?}");
    }

    /// Checks that the process lives and that its memory and descriptors are within the
    /// bounds.
    fn check_process(&self, when: &str) {
        let id = self.child.id().expect("process runs");
        let status = std::fs::read_to_string(format!("/proc/{id}/status"));
        let status = status.unwrap_or_else(|error| panic!("process ended {when}: {error}"));
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.unwrap_or_else(|| panic!("process ended {when}"));
        let peak = peak.trim().trim_end_matches(" kB").parse::<f64>();
        let peak_mb = peak.expect("size") / 1024.0;
        let descriptors = std::fs::read_dir(format!("/proc/{id}/fd"));
        let descriptors = descriptors.expect("descriptors").count();
        println!("{when}: peak {peak_mb:.1} MB, {descriptors} descriptors");
        let allowed_mb = MEMORY_MB * MEMORY_SHARE;
        assert!(
            peak_mb < allowed_mb,
            "{when}: {peak_mb:.1} of {allowed_mb:.1} MB"
        );
        assert!(
            descriptors < MAX_DESCRIPTORS,
            "{when}: {descriptors} of {MAX_DESCRIPTORS} descriptors"
        );
    }

    /// Floods a listener with one client per kind of `kinds`.
    async fn flood(
        &self,
        listener: Listener,
        kinds: impl Iterator<Item = FloodKind>,
        resets: bool,
    ) {
        let head = match listener {
            Listener::Callers | Listener::Peers => chat_head(),
            Listener::Operators => format!(
                "PUT /operator/v1/contracts/council HTTP/1.1\r\nHost: node\r\n\
                 Authorization: Bearer {OPERATOR_KEY}\r\n"
            ),
        };
        let flood = RunningFlood::start(self.address(listener), &head, kinds).await;
        self.check_process("during the flood");
        self.check_answer("beside the flood").await;
        flood.end(resets).await;
        self.check_answer("after the flood").await;
        self.check_process("after the flood");
    }
}

fn chat_head() -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nHost: node\r\n\
         Authorization: Bearer {CUSTOMER_KEY}\r\nContent-Type: application/json\r\n"
    )
}

/// Addresses at `ip` whose ports are free.
fn free_addresses(ip: IpAddr) -> [SocketAddr; 4] {
    let held = [(); 4].map(|()| std::net::TcpListener::bind((ip, 0)).expect("loopback"));
    held.map(|listener| listener.local_addr().expect("bound"))
}

/// Floods a listener of a new node with `clients` of one kind.
async fn check_kind(listener: Listener, kind: FloodKind, clients: usize) {
    let _turn = TURN.lock().await;
    let node = FloodedNode::start().await;
    let kinds = std::iter::repeat_n(kind, clients);
    node.flood(listener, kinds, false).await;
}

/// Declares a test that floods a listener with clients of one kind.
macro_rules! floods {
    ($($(#[$doc:meta])* $name:ident: $listener:ident, $kind:ident, $clients:expr;)*) => {
        $(
            $(#[$doc])*
            #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
            async fn $name() {
                check_kind(Listener::$listener, FloodKind::$kind, $clients).await;
            }
        )*
    };
}

floods! {
    /// Guards against bodies of permitted size that fill the memory together.
    whole_bodies: Callers, WholeBodies, CLIENTS;
    /// Guards against bodies that stay in memory because they never end.
    bodies_without_last_byte: Callers, AlmostWhole, CLIENTS;
    /// Guards against bodies that grow in pieces and never end.
    pieces_without_last_byte: Callers, AlmostWholePieces, CLIENTS;
    /// Guards against chunked bodies that never end.
    large_chunks_without_end: Callers, LargeChunks, CLIENTS;
    /// Guards against memory that grows with the chunks instead of the bytes.
    small_chunks_without_end: Callers, SmallChunks, CHUNK_CLIENTS;
    /// Guards against reading a body whose declared length is over the limit.
    declared_length_over_limit: Callers, DeclaredTooLong, CLIENTS;
    /// Guards against chunked bodies that are read beyond the limit.
    chunks_over_limit: Callers, ChunkedTooLong, CLIENTS;
    /// Guards against heads without end that keep ordinary callers out.
    half_heads: Callers, HalfHead, HOLDING_CLIENTS;
    /// Guards against idle connections that keep ordinary callers out.
    idle_connections: Callers, Idle, HOLDING_CLIENTS;
    /// Guards against bodies that are read before their sender is known to be a node.
    bodies_without_last_byte_at_peers: Peers, AlmostWhole, CLIENTS;
    /// Guards against chunks that fill the memory through the listener for other nodes.
    large_chunks_at_peers: Peers, LargeChunks, CLIENTS;
    /// Guards against documents of operators that fill the memory.
    bodies_at_operators: Operators, AlmostWholePieces, CLIENTS;
    /// Guards against connections of operators that use up the descriptors.
    half_heads_at_operators: Operators, HalfHead, HOLDING_CLIENTS;
}

/// Guards against floods of several kinds, each of which alone is bounded.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn mixed_kinds() {
    let _turn = TURN.lock().await;
    let node = FloodedNode::start().await;
    let kinds = [
        FloodKind::AlmostWhole,
        FloodKind::LargeChunks,
        FloodKind::HalfHead,
        FloodKind::ChunkedTooLong,
        FloodKind::WholeBodies,
        FloodKind::Idle,
    ];
    let kinds = kinds.into_iter().cycle().take(2 * CLIENTS);
    node.flood(Listener::Callers, kinds, false).await;
}

/// Guards against memory that floods leave behind, also when they end with resets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recurring_floods() {
    let _turn = TURN.lock().await;
    let node = FloodedNode::start().await;
    for round in 0..4 {
        let kinds = std::iter::repeat_n(FloodKind::AlmostWhole, CLIENTS / 2);
        node.flood(Listener::Callers, kinds, round % 2 == 0).await;
    }
}

/// Guards against limits that refuse the largest permitted body in calm.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn largest_body_is_read_in_calm() {
    let _turn = TURN.lock().await;
    let node = FloodedNode::start().await;
    for _ in 0..4 {
        let body = "x".repeat(BODY_BYTES);
        let answer = ask(node.addresses[0], &chat_head(), &body).await;
        // The body has been read and is no JSON.
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    }
    node.check_process("after large bodies");
}
