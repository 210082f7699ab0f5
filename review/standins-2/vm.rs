//! Process of the project's program, started with the command of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::exchange;

/// `run` of `deploy/system.toml`.
pub const PROGRAM: &str = "target/release/verbenaring-front";

/// Process of a VM; killed when dropped.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// What the template of the settings is filled in with.
pub struct VmPlan<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    /// Address, which the VM has for itself.
    pub ip: &'a str,
    /// Callers, readiness, directory, other VMs, reports, metrics.
    pub ports: &'a [u16],
    pub seeds: &'a [String],
    pub store: SocketAddr,
    /// Processor share, memory and link of the machine.
    pub cores: f64,
    pub memory_mb: u32,
    pub descriptors: u32,
    pub link_mbps: f64,
    /// `drainMs` and `retryExtra` of the site.
    pub drain_ms: u32,
    pub retry_extra: u32,
}

/// Zones and regions of the site file `bungline`.
const ZONES: &str =
    r#"{"tas-south-a":"tas-south","vic-east-a":"vic-east","nsw-coast-a":"nsw-coast"}"#;

impl Vm {
    pub fn start(folder: &Path, plan: &VmPlan<'_>) -> Self {
        Self::start_program(folder, plan, PROGRAM)
    }

    pub fn start_program(folder: &Path, plan: &VmPlan<'_>, program: &str) -> Self {
        let VmPlan {
            name,
            zone,
            ip,
            ports,
            store,
            cores,
            memory_mb,
            descriptors,
            ..
        } = plan;
        let VmPlan {
            drain_ms,
            retry_extra,
            link_mbps,
            ..
        } = plan;
        let at = |port: usize| format!("{ip}:{}", ports[port]);
        let seeds: Vec<String> = plan
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        // The other bounds are the same in all site files.
        let settings = format!(
            r#"{{"vm":"{name}","data_centre":"{zone}","data_centres":{ZONES},
"caller_address":"{}","ready_address":"{}","directory_address":"{}","peer_address":"{}",
"report_address":"{}","metrics_address":"{}","seeds":[{}],"store_address":"{store}",
"max_descriptors":{descriptors},
"resources":{{"cores":{cores},"memory_mb":{memory_mb},"link_mbps":{link_mbps}}},
"bounds":{{"drain_ms":{drain_ms},"grace_s":8,"retry_share":0.2,"retry_extra":{retry_extra},"cold_factor":1.5,"cold_slack":3}}}}"#,
            at(0),
            at(1),
            at(2),
            at(3),
            at(4),
            at(5),
            seeds.join(",")
        );
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let out = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log");
        let child = Command::new(program)
            .env("VERBENARING_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(out)
            .spawn()
            .expect("the program starts; run the build of the deploy file first");
        note_started(child.id());
        Self {
            name: (*name).to_owned(),
            callers: at(0).parse().expect("address"),
            ready: at(1).parse().expect("address"),
            child,
        }
    }

    /// Whether the VM says that it takes calls.
    pub fn is_ready(&self) -> bool {
        let request = "GET /api/readyz HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n";
        let answer = exchange(self.ready, request, Duration::from_secs(1));
        answer == Some(200)
    }

    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Adds a process to the file from which `run.sh` ends what is left if it is stopped.
fn note_started(id: u32) {
    let Some(file) = std::env::var_os("STARTED") else {
        return;
    };
    if let Ok(mut file) = File::options().create(true).append(true).open(file) {
        let _ = writeln!(file, "{id}");
    }
}

/// Sends SIGTERM to the process of a VM.
pub fn signal_term(vm: &Vm) {
    let _ = Command::new("kill")
        .arg("-TERM")
        .arg(vm.child.id().to_string())
        .status();
}
