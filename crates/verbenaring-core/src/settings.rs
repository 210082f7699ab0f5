//! Settings of one VM, read from a JSON file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaring_policy::dispatch::hedge::HedgeSettings;
use verbenaring_policy::dispatch::pace::PaceLimits;
use verbenaring_policy::dispatch::relay::RelaySettings;
use verbenaring_policy::dispatch::settings::DispatchSettings;
use verbenaring_policy::id::{CentreName, DataCentre, RegionName, VmId};
use verbenaring_policy::retry::BudgetTerms;

use crate::error::{Error, Result};

/// Settings file of one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FrontSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: CentreName,
    /// Region of each data centre of the deployment.
    pub data_centres: BTreeMap<CentreName, RegionName>,
    /// Address on which callers connect.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub ready_address: SocketAddr,
    /// Address at which callers look up the VMs to use.
    pub directory_address: SocketAddr,
    /// Address for calls and requests for snapshots from other VMs.
    pub peer_address: SocketAddr,
    /// UDP address for reports from other VMs.
    pub report_address: SocketAddr,
    /// Address for metrics; metrics are not served if absent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of some VMs, used to find the others. They may be outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform store.
    pub store_address: SocketAddr,
    /// Limit on file descriptors of the process.
    #[serde(default = "default_descriptors")]
    pub max_descriptors: usize,
    /// What the VM has of processor, memory and link.
    #[serde(default)]
    pub resources: ResourceSettings,
    /// Bounds that apply to the deployment as a whole.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Limits and intervals of this process.
    #[serde(default)]
    pub tuning: TuningSettings,
}

fn default_descriptors() -> usize {
    1_024
}

/// What a VM has of processor, memory and link.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResourceSettings {
    /// Share of a processor core.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Bandwidth of the link, in Mbit/s.
    pub link_mbps: f64,
}

impl Default for ResourceSettings {
    fn default() -> Self {
        Self {
            cores: 0.25,
            memory_mb: 256.0,
            link_mbps: 1_000.0,
        }
    }
}

impl ResourceSettings {
    /// Resources of a VM with capacity 100, in the proportions in which calls use
    /// them.
    const REFERENCE: Self = Self {
        cores: 0.25,
        memory_mb: 256.0,
        link_mbps: 100.0,
    };
    /// Descriptors of a VM with capacity 100.
    const REFERENCE_DESCRIPTORS: f64 = 4_096.0;

    /// Memory for long answers that are buffered as a whole, in bytes: an eighth of
    /// all, so that streams and state keep theirs.
    pub fn answer_memory_bytes(&self) -> usize {
        (self.memory_mb.max(0.0) * 1024.0 * 1024.0 / 8.0) as usize
    }

    /// Capacity relative to other VMs: that of the scarcest resource, at least 1.
    pub fn capacity(&self, descriptors: usize) -> u32 {
        let shares = [
            self.cores / Self::REFERENCE.cores,
            self.memory_mb / Self::REFERENCE.memory_mb,
            self.link_mbps / Self::REFERENCE.link_mbps,
            descriptors as f64 / Self::REFERENCE_DESCRIPTORS,
        ];
        let scarcest = shares.into_iter().fold(f64::INFINITY, f64::min);
        (scarcest * 100.0).max(1.0) as u32
    }
}

/// Bounds that the VMs of a deployment keep jointly.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// Time after which a draining server gets no more calls, in ms.
    pub drain_ms: u64,
    /// Time from the stop signal until the process is killed, in s.
    pub grace_s: f64,
    /// Retries allowed per call of a service.
    pub retry_share: f64,
    /// Retries of a service allowed on top of that share, in any 10 s.
    pub retry_extra: f64,
    /// Factor on the call rate that a cold server tolerates.
    pub cold_factor: f64,
    /// Calls per second allowed on top of that rate.
    pub cold_slack: f64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            drain_ms: 3_000,
            grace_s: 8.0,
            retry_share: 0.2,
            retry_extra: 0.0,
            cold_factor: 1.0,
            cold_slack: 0.0,
        }
    }
}

impl BoundSettings {
    /// Terms of the retry budget that all VMs share.
    pub fn budget(&self) -> BudgetTerms {
        BudgetTerms {
            retries_per_success: self.retry_share,
            extra_retries: self.retry_extra,
            min_retries: 0,
        }
    }

    /// Limits on the rate of calls to cold servers.
    pub fn pace(&self) -> PaceLimits {
        PaceLimits {
            factor: self.cold_factor,
            slack: self.cold_slack,
        }
    }

    /// Time from the stop signal until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }

    /// Pause of a watch that has just returned changes, where many VMs share the
    /// source.
    ///
    /// A fifth of the time within which a change must apply leaves time for the
    /// watch itself and for passing the change on to VMs that do not watch.
    pub fn watch_pause(&self) -> Duration {
        Duration::from_millis(self.drain_ms) / 5
    }
}

/// Limits and intervals of one process.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TuningSettings {
    /// Time between reports to VMs in the same region, in ms. Short, because the
    /// reports tell a VM which work the others have just sent to a server.
    pub near_report_ms: u64,
    /// Time between reports to VMs in other regions, in ms. Longer, because
    /// traffic between regions is charged and their load changes over seconds.
    pub far_report_ms: u64,
    /// Time limit for opening a connection inside a region, in ms. A full accept
    /// queue drops the SYN packet, which is retransmitted only after a second.
    pub connect_ms: u64,
    /// Time limit for opening a connection to another region, in ms; four round
    /// trips.
    pub far_connect_ms: u64,
    /// Time for which callers may cache an answer of the directory, in s.
    pub directory_ttl_s: u64,
    /// Time for which the store may hold a watch of the operators' configuration open,
    /// in ms.
    pub watch_ms: u64,
    /// Time for which the store may hold a watch of server entries open, in ms. Servers
    /// renew their entries about once a second, so that a watch without an answer soon
    /// shows that connections to the store have fallen silent.
    pub server_watch_ms: u64,
    /// Limit on log lines per second about calls that succeeded. Failures have a
    /// separate limit.
    pub routine_lines_per_s: u32,
    /// Limits on what clients may make this process hold.
    pub clients: ClientSettings,
    /// Weights and limits for choosing a server and a region.
    pub dispatch: DispatchSettings,
    /// When reports go through relays.
    pub relay: RelaySettings,
    /// Second attempts of calls that take long.
    pub hedge: HedgeSettings,
}

impl Default for TuningSettings {
    fn default() -> Self {
        Self {
            near_report_ms: 50,
            far_report_ms: 250,
            connect_ms: 300,
            far_connect_ms: 450,
            directory_ttl_s: 1,
            watch_ms: 5_000,
            server_watch_ms: 1_500,
            routine_lines_per_s: 20,
            clients: ClientSettings::default(),
            dispatch: DispatchSettings::default(),
            relay: RelaySettings::default(),
            hedge: HedgeSettings::default(),
        }
    }
}

/// Limits on what clients may make the process hold, beside the limits on one request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ClientSettings {
    /// Part of the memory for request heads and bodies, in percent.
    pub body_memory_percent: u32,
    /// Part of the memory for the buffers of connections, in percent.
    pub connection_memory_percent: u32,
    /// Time in which a body must grow by `body_interval_bytes`, in ms.
    pub body_interval_ms: u64,
    /// Least growth of a body in each interval, in bytes.
    pub body_interval_bytes: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            body_memory_percent: 25,
            connection_memory_percent: 20,
            body_interval_ms: 3_000,
            body_interval_bytes: 256,
        }
    }
}

/// Connections that each listener may have open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other VMs.
    pub peers: usize,
    /// Connections to the directory.
    pub directory: usize,
    /// Connections for readiness checks, and as many for metrics.
    pub operations: usize,
}

/// File descriptors reserved for listeners, the store, other VMs and files.
const RESERVED_DESCRIPTORS: usize = 300;
/// Largest part of the memory for bodies and connections, in percent. Answers have an eighth
/// beside it, and the process needs the rest.
const MAX_CLIENT_PERCENT: u64 = 65;
/// Least number of connections of a listener.
const MIN_CONNECTIONS: usize = 16;
/// Memory of a connection: its buffers and its task.
const CONNECTION_BYTES: f64 = 20.0 * 1024.0;

impl FrontSettings {
    /// Memory for request heads and bodies, in bytes.
    pub fn client_memory_bytes(&self) -> usize {
        let memory = self.resources.memory_mb.max(0.0) * 1024.0 * 1024.0;
        (memory / 100.0 * f64::from(self.tuning.clients.body_memory_percent)) as usize
    }

    /// Limits on connections, from the descriptors and the memory of the VM. Half of the
    /// descriptors are for callers; each listener has its own part, so that a flood of one
    /// leaves room at the others.
    pub fn connection_limits(&self) -> ConnectionLimits {
        let descriptors = self.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let percent = f64::from(self.tuning.clients.connection_memory_percent);
        let memory = self.resources.memory_mb.max(0.0) * 1024.0 * 1024.0 / 100.0 * percent;
        let held = (memory / CONNECTION_BYTES) as usize;
        let part = |divisor: usize| (descriptors / divisor).min(held * 2 / divisor);
        ConnectionLimits {
            callers: part(2).max(MIN_CONNECTIONS),
            peers: part(4).max(MIN_CONNECTIONS),
            directory: part(16).max(MIN_CONNECTIONS),
            operations: part(32).max(MIN_CONNECTIONS),
        }
    }

    /// Reads and checks a settings file.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::File {
            file: file.to_owned(),
            source,
        })?;
        let invalid = |field: &str, reason: String| Error::Settings {
            file: file.to_owned(),
            field: field.to_owned(),
            reason,
        };
        let mut reader = serde_json::Deserializer::from_str(&text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| invalid(&error.path().to_string(), error.inner().to_string()))?;
        if !settings.data_centres.contains_key(&settings.data_centre) {
            let reason = format!("{} is not listed in data_centres", settings.data_centre);
            return Err(invalid("data_centre", reason));
        }
        if settings.tuning.near_report_ms == 0 || settings.tuning.far_report_ms == 0 {
            let reason = "report intervals must be at least 1 ms".to_owned();
            return Err(invalid("tuning", reason));
        }
        if !(0.0..=1.0).contains(&settings.tuning.hedge.share) {
            let reason = "the share of hedged calls must be from 0 to 1".to_owned();
            return Err(invalid("tuning.hedge.share", reason));
        }
        let clients = &settings.tuning.clients;
        let percent =
            u64::from(clients.body_memory_percent) + u64::from(clients.connection_memory_percent);
        if percent > MAX_CLIENT_PERCENT {
            let reason = format!(
                "{percent}% of the memory for bodies and connections, over {MAX_CLIENT_PERCENT}%"
            );
            return Err(invalid("tuning.clients", reason));
        }
        if clients.body_interval_ms == 0 {
            let reason = "the interval must be at least 1 ms".to_owned();
            return Err(invalid("tuning.clients.body_interval_ms", reason));
        }
        Ok(settings)
    }

    /// Capacity of the VM relative to others.
    pub fn capacity(&self) -> u32 {
        self.resources.capacity(self.max_descriptors)
    }

    /// Whether the seeds name another VM.
    pub fn has_other_seeds(&self) -> bool {
        self.seeds.iter().any(|seed| *seed != self.peer_address)
    }

    /// Data centre of the VM with its region.
    pub fn location(&self) -> DataCentre {
        DataCentre {
            region: self.region_of(&self.data_centre).clone(),
            name: self.data_centre.clone(),
        }
    }

    /// Region of a data centre; the region of this VM if it is not listed.
    pub fn region_of(&self, centre: &CentreName) -> &RegionName {
        let listed = self.data_centres.get(centre);
        // `load` has checked that the VM's own data centre is listed.
        listed.unwrap_or_else(|| &self.data_centres[&self.data_centre])
    }
}
