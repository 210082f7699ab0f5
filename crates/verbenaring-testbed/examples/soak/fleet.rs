//! Node processes of the run, and the phase that the run has put each one into.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use tokio::process::{Child, Command};
use tokio::time::Instant;
use verbenaring_policy::id::Digest;
use verbenaring_testbed::client::{TestClient, read_answer};

/// Ports of the nodes, below the range from which Linux takes the ports of outgoing
/// connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Longest graceful shutdown: covers the contract's deadline and the limit on running
/// operations.
const STOP_TIMEOUT: Duration = Duration::from_secs(25);
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Phase of a node process, as set by the run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodePhase {
    /// Started, not yet ready.
    Starting,
    /// Running and ready, or resumed, since this instant.
    Live(Instant),
    /// Suspended by `SIGSTOP`; the process keeps its state.
    Paused,
    /// Not started, killed or shutting down.
    Down,
}

/// Process of one node and what the run has observed of it.
pub struct NodeState {
    /// Phase that the run has put the process into.
    pub phase: NodePhase,
    /// Number of times that the run started, killed, paused, resumed or stopped the process.
    ///
    /// If it is the same before and after an observation, the run did not cause what was
    /// observed.
    pub intervention_count: u64,
    /// Last revision that the current process reported; 0 before its first report.
    pub revision: u64,
    child: Option<Child>,
}

/// One node with its settings file, its log file and its process.
pub struct FleetNode {
    /// Name of the entry VM that the process runs as.
    pub vm: String,
    /// Region in which the node is placed.
    pub region: &'static str,
    /// Address at which the node accepts calls.
    pub address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    state: Mutex<NodeState>,
}

/// Placement of a data centre and its number of nodes.
pub struct CentrePlan {
    /// Region that the data centre belongs to.
    pub region: &'static str,
    /// Name of the data centre; the names of its VMs start with it.
    pub name: &'static str,
    /// Number of entry VMs.
    pub nodes: usize,
}

/// Chooses the ports of all nodes and writes their settings files. Starts no process.
///
/// Fails if `verbenaringd` is not built.
pub fn prepare_fleet(
    centres: &[CentrePlan],
    directory: &Path,
    store: SocketAddr,
) -> std::io::Result<Vec<Arc<FleetNode>>> {
    let binary = binary_path()?;
    let mut plans = Vec::new();
    for centre in centres {
        for index in 0..centre.nodes {
            // The sockets stay open until all ports are chosen, so that no port is chosen twice.
            let sockets: Vec<TcpListener> = (0..4).map(|_| bind_free()).collect();
            plans.push((centre, format!("{}-vm-{index}", centre.name), sockets));
        }
    }
    let address = |sockets: &[TcpListener], index: usize| sockets[index].local_addr();
    let mut fleet = Vec::new();
    for (centre, vm, sockets) in &plans {
        let mut peers = Vec::new();
        for (other, name, sockets) in plans.iter().filter(|(_, name, _)| name != vm) {
            peers.push(json!({
                "vm": name, "region": other.region, "data_centre": other.name,
                "caller_address": address(sockets, 0)?, "peer_address": address(sockets, 1)?,
                "control_address": address(sockets, 2)?,
            }));
        }
        let document = json!({
            "vm": vm, "region": centre.region, "data_centre": centre.name,
            "caller_address": address(sockets, 0)?, "peer_address": address(sockets, 1)?,
            "control_address": address(sockets, 2)?, "operator_address": address(sockets, 3)?,
            "store_addresses": [store], "peers": peers, "log_level": "info",
            "cluster_keys": [{ "id": "k1", "secret": Digest::of(b"soak").to_string() }],
        });
        let settings = directory.join(format!("{vm}.json"));
        std::fs::write(&settings, document.to_string())?;
        fleet.push(Arc::new(FleetNode {
            log: directory.join(format!("{vm}.log")),
            settings,
            address: address(sockets, 0)?,
            region: centre.region,
            vm: vm.clone(),
            binary: binary.clone(),
            state: Mutex::new(NodeState {
                phase: NodePhase::Down,
                intervention_count: 0,
                revision: 0,
                child: None,
            }),
        }));
    }
    Ok(fleet)
}

/// Binds a free port that no outgoing connection can take while the node is down.
fn bind_free() -> TcpListener {
    let mut rng = rand::rng();
    loop {
        let port = rng.random_range(PORTS);
        if let Ok(socket) = TcpListener::bind(("127.0.0.1", port)) {
            return socket;
        }
    }
}

/// Path of the daemon in the same target directory as this example.
fn binary_path() -> std::io::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let profile = example.parent().and_then(Path::parent);
    let binary = profile.map(|profile| profile.join("verbenaringd"));
    binary.filter(|path| path.exists()).ok_or_else(|| {
        std::io::Error::other("verbenaringd is not built: cargo build -p verbenaring-gateway")
    })
}

impl FleetNode {
    /// Locks the state of the node.
    pub fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Starts the process; it is killed when this value is dropped.
    pub fn start(&self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.binary)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()?;
        let mut state = self.state();
        state.child = Some(child);
        state.revision = 0;
        state.intervention_count += 1;
        state.phase = NodePhase::Starting;
        Ok(())
    }

    /// Waits until the node is ready; returns false if that takes longer than
    /// `READY_TIMEOUT`.
    pub async fn wait_ready(&self) -> bool {
        let deadline = Instant::now() + READY_TIMEOUT;
        while Instant::now() < deadline {
            if self.fetch("/readyz").await.is_some() {
                self.state().phase = NodePhase::Live(Instant::now());
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Kills the process.
    pub async fn kill(&self) {
        let child = self.begin_intervention(NodePhase::Down).child.take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Suspends the process with `SIGSTOP`.
    pub fn pause(&self) {
        let state = self.begin_intervention(NodePhase::Paused);
        send_signal(&state, Signal::STOP);
    }

    /// Continues a suspended process with `SIGCONT`.
    pub fn resume(&self) {
        let state = self.begin_intervention(NodePhase::Live(Instant::now()));
        send_signal(&state, Signal::CONT);
    }

    /// Requests a graceful shutdown and waits for it. Returns false, after a kill, if it
    /// takes longer than `STOP_TIMEOUT`, and also if the exit status is not zero.
    pub async fn stop(&self) -> bool {
        let child = {
            let mut state = self.begin_intervention(NodePhase::Down);
            send_signal(&state, Signal::TERM);
            state.child.take()
        };
        let Some(mut child) = child else { return true };
        match tokio::time::timeout(STOP_TIMEOUT, child.wait()).await {
            Ok(Ok(status)) => status.success(),
            _ => {
                let _ = child.kill().await;
                false
            }
        }
    }

    /// Configuration revision that the node reports in its metrics; `None` if it does not
    /// answer.
    pub async fn read_revision(&self) -> Option<u64> {
        let text = self.fetch("/metrics").await?;
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix("verbenaring_config_revision "))?;
        value.trim().parse().ok()
    }

    /// Names of the entry VMs that the node lists at `/v1/entry`; `None` if it does not
    /// answer.
    pub async fn read_entries(&self) -> Option<Vec<String>> {
        let list: Value = serde_json::from_str(&self.fetch("/v1/entry").await?).ok()?;
        let entries = list["entries"].as_array()?;
        let name = |entry: &Value| entry["vm"].as_str().map(str::to_owned);
        Some(entries.iter().filter_map(name).collect())
    }

    async fn fetch(&self, path: &str) -> Option<String> {
        let client = TestClient::new(self.address, "");
        let request = async {
            let answer = client.open(hyper::Method::GET, path, &[], Vec::new()).await;
            Some(read_answer(answer.ok()?).await)
        };
        let answer = tokio::time::timeout(STATUS_TIMEOUT, request).await.ok()??;
        let complete = answer.status.is_success() && !answer.broken;
        complete.then(|| String::from_utf8_lossy(&answer.body).into_owned())
    }

    fn begin_intervention(&self, phase: NodePhase) -> MutexGuard<'_, NodeState> {
        let mut state = self.state();
        state.intervention_count += 1;
        state.phase = phase;
        state
    }
}

/// Sends a signal to the process of a node.
///
/// The child has not been reaped, so its process ID cannot belong to another process.
fn send_signal(state: &NodeState, signal: Signal) {
    let id = state.child.as_ref().and_then(Child::id);
    let pid = id.and_then(|id| Pid::from_raw(id as i32));
    if let Some(pid) = pid {
        let _ = kill_process(pid, signal);
    }
}
