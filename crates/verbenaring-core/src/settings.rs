//! Settings of one VM, a JSON file.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaring_policy::dispatch::pace::PaceTerms;
use verbenaring_policy::dispatch::terms::DispatchTerms;
use verbenaring_policy::id::{CentreName, DataCentre, RegionName, VmId};
use verbenaring_policy::retry::BudgetTerms;

use crate::error::{Error, Result};

/// Settings of one VM.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FrontSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: CentreName,
    /// Region of each data centre of the deployment.
    pub data_centres: BTreeMap<CentreName, RegionName>,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for readiness checks.
    pub ready_address: SocketAddr,
    /// Address at which callers ask for VMs.
    pub directory_address: SocketAddr,
    /// Address for calls that other VMs forward.
    pub peer_address: SocketAddr,
    /// UDP address for reports of other VMs.
    pub report_address: SocketAddr,
    /// Address for metrics; none if absent.
    #[serde(default)]
    pub metrics_address: Option<SocketAddr>,
    /// Peer addresses of some VMs, possibly outdated.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform store.
    pub store_address: SocketAddr,
    /// Descriptors that the process may open.
    #[serde(default = "default_descriptors")]
    pub max_descriptors: usize,
    /// Agreed bounds.
    #[serde(default)]
    pub bounds: BoundSettings,
    /// Limits and intervals of this process.
    #[serde(default)]
    pub tuning: TuningSettings,
}

fn default_descriptors() -> usize {
    1_024
}

/// Bounds that all VMs keep together.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BoundSettings {
    /// Time after which a leaving server gets nothing, in ms.
    pub drain_ms: u64,
    /// Time from the stop signal to the kill, in s.
    pub grace_s: f64,
    /// Repeats of a service per call.
    pub retry_share: f64,
    /// Repeats of a service on top of the share, in any 10 s.
    pub retry_extra: f64,
    /// Factor on the rate that a cold server tolerates.
    pub cold_factor: f64,
    /// Calls in a second on top of that factor.
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
    /// Budget of repeats of all VMs.
    pub fn budget(&self) -> BudgetTerms {
        BudgetTerms {
            retries_per_success: self.retry_share,
            extra_retries: self.retry_extra,
            min_retries: 0,
        }
    }

    /// Pace of calls to cold servers.
    pub fn pace(&self) -> PaceTerms {
        PaceTerms {
            factor: self.cold_factor,
            slack: self.cold_slack,
        }
    }

    /// Time from the stop signal to the kill.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

/// Limits and intervals of one process.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TuningSettings {
    /// Time between reports to VMs of the own region, in ms. Short, because the
    /// reports show work that other VMs have just sent to a server.
    pub near_report_ms: u64,
    /// Time between reports to VMs of other regions, in ms. Bytes between
    /// regions are priced; their load changes over seconds.
    pub far_report_ms: u64,
    /// Time limit of a new connection inside a region, in ms. A full accept
    /// queue drops the opening packet, which is repeated only after a second.
    pub connect_ms: u64,
    /// Time limit of a new connection to another region, in ms; four round trips.
    pub far_connect_ms: u64,
    /// Time for which callers keep an answer of the directory, in s.
    pub directory_ttl_s: u64,
    /// Time that the store may hold a watch, in ms. It bounds how long a silent
    /// connection goes unnoticed.
    pub watch_ms: u64,
    /// Log lines a second on calls that went well; failures are always logged.
    pub routine_lines_per_s: u32,
    /// Weights and limits of the choice of a server and a region.
    pub dispatch: DispatchTerms,
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
            routine_lines_per_s: 20,
            dispatch: DispatchTerms::default(),
        }
    }
}

impl FrontSettings {
    /// Reads and checks a settings file.
    pub fn load(file: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(file).map_err(|source| Error::File {
            file: file.to_owned(),
            source,
        })?;
        let fault = |field: &str, reason: String| Error::Settings {
            file: file.to_owned(),
            field: field.to_owned(),
            reason,
        };
        let mut reader = serde_json::Deserializer::from_str(&text);
        let settings: Self = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| fault(&error.path().to_string(), error.inner().to_string()))?;
        if !settings.data_centres.contains_key(&settings.data_centre) {
            let reason = format!("{} is not one of data_centres", settings.data_centre);
            return Err(fault("data_centre", reason));
        }
        if settings.tuning.near_report_ms == 0 || settings.tuning.far_report_ms == 0 {
            let reason = "report intervals must be at least 1 ms".to_owned();
            return Err(fault("tuning", reason));
        }
        Ok(settings)
    }

    /// Place of the VM.
    pub fn place(&self) -> DataCentre {
        DataCentre {
            region: self.region_of(&self.data_centre).clone(),
            name: self.data_centre.clone(),
        }
    }

    /// Region of a data centre; that of the VM for one that is not listed.
    pub fn region_of(&self, centre: &CentreName) -> &RegionName {
        let listed = self.data_centres.get(centre);
        // `load` has checked that the own data centre is listed.
        listed.unwrap_or_else(|| &self.data_centres[&self.data_centre])
    }
}
