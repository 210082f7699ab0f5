//! Node processes of the run and what is known of each.

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

/// Ports of the nodes, below those of outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;
/// Longest wait for a node to become ready after its start.
const READY_LIMIT: Duration = Duration::from_secs(20);
/// Longest graceful shutdown: the contract's deadline and the operations' limit.
const STOP_LIMIT: Duration = Duration::from_secs(25);
/// Longest wait for one status call.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// What a node process is doing, as far as the run has arranged it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodePhase {
    /// Started, not yet ready.
    Starting,
    /// Ready since this instant and not paused.
    Live(Instant),
    /// Stopped by a signal; it keeps its state.
    Paused,
    /// No process, or one that is stopping.
    Down,
}

/// Observations of one node.
pub struct NodeState {
    /// What the process is doing.
    pub phase: NodePhase,
    /// Number of arranged disturbances, to tell faults of the run from others.
    pub disturbances: u64,
    /// Highest revision reported by the present process.
    pub revision: u64,
    child: Option<Child>,
}

/// One node and its process.
pub struct FleetNode {
    /// Name of the entry VM.
    pub vm: String,
    /// Region of the node.
    pub region: &'static str,
    /// Address for callers.
    pub address: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    binary: PathBuf,
    state: Mutex<NodeState>,
}

/// Place of a data centre and its number of nodes.
pub struct CentrePlan {
    /// Region.
    pub region: &'static str,
    /// Data centre.
    pub name: &'static str,
    /// Entry VMs.
    pub nodes: usize,
}

/// Writes the settings files of all nodes.
pub fn plan_fleet(
    centres: &[CentrePlan],
    directory: &Path,
    store: SocketAddr,
) -> std::io::Result<Vec<Arc<FleetNode>>> {
    let binary = binary_path()?;
    let mut cards = Vec::new();
    for centre in centres {
        for index in 0..centre.nodes {
            // The sockets stay open until every port is chosen, so that none is chosen twice.
            let sockets: Vec<TcpListener> = (0..4).map(|_| bind_free()).collect();
            cards.push((centre, format!("{}-vm-{index}", centre.name), sockets));
        }
    }
    let address = |sockets: &[TcpListener], index: usize| sockets[index].local_addr();
    let mut fleet = Vec::new();
    for (centre, vm, sockets) in &cards {
        let mut peers = Vec::new();
        for (other, name, sockets) in cards.iter().filter(|(_, name, _)| name != vm) {
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
                disturbances: 0,
                revision: 0,
                child: None,
            }),
        }));
    }
    Ok(fleet)
}

/// Socket on a free port that no outgoing connection takes while its node is down.
fn bind_free() -> TcpListener {
    let mut rng = rand::rng();
    loop {
        let port = rng.random_range(PORTS);
        if let Ok(socket) = TcpListener::bind(("127.0.0.1", port)) {
            return socket;
        }
    }
}

/// Daemon of the same target directory as this example.
fn binary_path() -> std::io::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let profile = example.parent().and_then(Path::parent);
    let binary = profile.map(|profile| profile.join("verbenaringd"));
    binary.filter(|path| path.exists()).ok_or_else(|| {
        std::io::Error::other("verbenaringd is not built: cargo build -p verbenaring-gateway")
    })
}

impl FleetNode {
    /// Present observations.
    pub fn state(&self) -> MutexGuard<'_, NodeState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Starts a process; it ends with this value at the latest.
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
        state.disturbances += 1;
        state.phase = NodePhase::Starting;
        Ok(())
    }

    /// Waits until the node is ready; false if it is not in time.
    pub async fn wait_ready(&self) -> bool {
        let end = Instant::now() + READY_LIMIT;
        while Instant::now() < end {
            if self.read("/readyz").await.is_some() {
                self.state().phase = NodePhase::Live(Instant::now());
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    /// Ends the process at once.
    pub async fn kill(&self) {
        let child = self.disturb(NodePhase::Down).child.take();
        if let Some(mut child) = child {
            let _ = child.kill().await;
        }
    }

    /// Pauses the process.
    pub fn pause(&self) {
        let state = self.disturb(NodePhase::Paused);
        signal(&state, Signal::STOP);
    }

    /// Lets a paused process go on.
    pub fn resume(&self) {
        let state = self.disturb(NodePhase::Live(Instant::now()));
        signal(&state, Signal::CONT);
    }

    /// Asks for a graceful shutdown and waits for it; false if it is not clean.
    pub async fn stop(&self) -> bool {
        let child = {
            let mut state = self.disturb(NodePhase::Down);
            signal(&state, Signal::TERM);
            state.child.take()
        };
        let Some(mut child) = child else { return true };
        match tokio::time::timeout(STOP_LIMIT, child.wait()).await {
            Ok(Ok(status)) => status.success(),
            _ => {
                let _ = child.kill().await;
                false
            }
        }
    }

    /// Revision that the node reports, if it answers.
    pub async fn read_revision(&self) -> Option<u64> {
        let text = self.read("/metrics").await?;
        let value = text
            .lines()
            .find_map(|line| line.strip_prefix("verbenaring_config_revision "))?;
        value.trim().parse().ok()
    }

    /// Names in the node's directory answer.
    pub async fn read_entries(&self) -> Option<Vec<String>> {
        let list: Value = serde_json::from_str(&self.read("/v1/entry").await?).ok()?;
        let entries = list["entries"].as_array()?;
        let name = |entry: &Value| entry["vm"].as_str().map(str::to_owned);
        Some(entries.iter().filter_map(name).collect())
    }

    async fn read(&self, path: &str) -> Option<String> {
        let client = TestClient::new(self.address, "");
        let read = async {
            let answer = client.open(hyper::Method::GET, path, &[], Vec::new()).await;
            Some(read_answer(answer.ok()?).await)
        };
        let answer = tokio::time::timeout(STATUS_TIMEOUT, read).await.ok()??;
        let whole = answer.status.is_success() && !answer.broken;
        whole.then(|| String::from_utf8_lossy(&answer.body).into_owned())
    }

    fn disturb(&self, phase: NodePhase) -> MutexGuard<'_, NodeState> {
        let mut state = self.state();
        state.disturbances += 1;
        state.phase = phase;
        state
    }
}

/// Sends a signal to the process of a node, which is a child that was not reaped.
fn signal(state: &NodeState, signal: Signal) {
    let id = state.child.as_ref().and_then(Child::id);
    let pid = id.and_then(|id| Pid::from_raw(id as i32));
    if let Some(pid) = pid {
        let _ = kill_process(pid, signal);
    }
}
