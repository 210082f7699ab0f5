//! Periodic reports between VMs.
//!
//! Each VM sends UDP datagrams with its state, the revisions of its
//! configuration and, inside its region, its outstanding work at each server. A
//! lost report does no harm, because the next one replaces it. Reports are
//! datagrams rather than requests because a late report is worthless, a dead
//! connection would delay all that follow, and a datagram costs only two system
//! calls.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::{Instant, MissedTickBehavior};
use verbenaring_policy::dispatch::presence::{ServiceWait, VmRecord, VmState};
use verbenaring_policy::dispatch::prompt::{PromptRecord, name_hash};
use verbenaring_policy::dispatch::server::LoadShare;
use verbenaring_policy::id::{CentreName, ServiceName, VmId};

use crate::config::source::VmAnnouncement;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Size of a datagram that common links carry without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Smallest report interval per VM of this region. The interval grows with the
/// number of VMs, so that the rate of datagrams that a VM sends stays bounded.
const NEAR_INTERVAL_PER_VM: Duration = Duration::from_millis(10);
/// Smallest report interval per VM of other regions.
const FAR_INTERVAL_PER_VM: Duration = Duration::from_millis(40);

/// Report as it is sent, encoded with postcard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct VmReport {
    vm: VmId,
    centre: CentreName,
    report_address: SocketAddr,
    peer_address: SocketAddr,
    caller_address: SocketAddr,
    boot: u64,
    sequence: u32,
    state: VmState,
    routes_version: u64,
    operator_revision: u64,
    servers_revision: u64,
    watching: bool,
    interval_ms: u32,
    waits: Vec<ServiceWait>,
    loads: Vec<(u32, LoadShare)>,
    reads: Vec<PromptRecord>,
}

/// Addresses to which reports are sent besides those of known VMs.
#[derive(Debug, Default)]
pub struct ReportTargets {
    announced: Mutex<HashSet<SocketAddr>>,
}

impl ReportTargets {
    /// Replaces the addresses by those of the announced VMs.
    pub fn set_announced(&self, vms: &[VmAnnouncement]) {
        let addresses = vms.iter().map(|vm| vm.report_address).collect();
        *self
            .announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }

    /// Adds an address until the announced VMs are replaced.
    pub fn add(&self, address: SocketAddr) {
        let announced = self.announced.lock();
        announced
            .unwrap_or_else(PoisonError::into_inner)
            .insert(address);
    }

    fn announced(&self) -> HashSet<SocketAddr> {
        let announced = self.announced.lock();
        announced.unwrap_or_else(PoisonError::into_inner).clone()
    }
}

struct ReportDestinations {
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
}

/// Sends and receives reports until the process ends.
pub async fn exchange_reports<P: WireProtocol>(node: Arc<FrontNode<P>>, socket: UdpSocket) {
    let tuning = &node.settings.tuning;
    let near_min_interval = Duration::from_millis(tuning.near_report_ms);
    let far_min_interval = Duration::from_millis(tuning.far_report_ms);
    let mut ticks = tokio::time::interval(near_min_interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (mut near_due, mut far_due) = (Instant::now(), Instant::now());
    let mut sequence = 0;
    let mut datagram = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            received = socket.recv_from(&mut datagram) => {
                if let Ok((length, _)) = received {
                    node.apply_report(&datagram[..length]);
                }
            }
            _ = ticks.tick() => {
                let now = Instant::now();
                let destinations = node.destinations();
                let near_interval = near_min_interval.max(NEAR_INTERVAL_PER_VM * destinations.near.len() as u32);
                let far_interval = far_min_interval.max(FAR_INTERVAL_PER_VM * destinations.far.len() as u32);
                if now >= near_due {
                    near_due = now + near_interval;
                    sequence += 1;
                    let report = node.report(sequence, near_interval, true);
                    send(&socket, &report, &destinations.near).await;
                }
                if now >= far_due {
                    far_due = now + far_interval;
                    sequence += 1;
                    let report = node.report(sequence, far_interval, false);
                    send(&socket, &report, &destinations.far).await;
                }
            }
        }
    }
}

async fn send(socket: &UdpSocket, report: &VmReport, addresses: &[SocketAddr]) {
    let bytes = match postcard::to_allocvec(report) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::warn!(error:% = error; "failed to encode report");
            return;
        }
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(address:% = address, error:% = error; "failed to send report");
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    fn report(&self, sequence: u32, interval: Duration, near: bool) -> VmReport {
        let settings = &self.settings;
        let now = self.clock.now();
        let routes = self.routes.load();
        let mut state = self.lock();
        let mut loads = match near {
            true => state.servers.own_loads(now),
            false => Vec::new(),
        };
        // If not all loads fit into a datagram, keep those of the busiest servers.
        const MAX_LOADS: usize = 30;
        if loads.len() > MAX_LOADS {
            loads.sort_by_key(|(_, share)| {
                std::cmp::Reverse(share.urgent_tokens.saturating_add(share.late_tokens))
            });
            loads.truncate(MAX_LOADS);
        }
        VmReport {
            vm: settings.vm.clone(),
            centre: settings.data_centre.clone(),
            report_address: settings.report_address,
            peer_address: settings.peer_address,
            caller_address: settings.caller_address,
            boot: self.boot,
            sequence,
            state: self.vm_state(),
            routes_version: routes.version(),
            operator_revision: state.operator_revision,
            servers_revision: state.servers.revision(),
            watching: self.is_watching(),
            interval_ms: interval.as_millis() as u32,
            waits: state.servers.waits(routes.services(), now),
            loads,
            reads: state.servers.take_prompt_records(near),
        }
    }

    fn apply_report(&self, bytes: &[u8]) {
        let report: VmReport = match postcard::from_bytes(bytes) {
            Ok(report) => report,
            Err(error) => {
                log::debug!(error:% = error; "failed to decode report");
                return;
            }
        };
        if report.vm == self.settings.vm {
            return;
        }
        let now = self.clock.now();
        let vm_hash = name_hash(report.vm.as_str());
        let name = report.vm.clone();
        let record = VmRecord {
            centre: verbenaring_policy::id::DataCentre {
                region: self.settings.region_of(&report.centre).clone(),
                name: report.centre,
            },
            vm: report.vm,
            report_address: report.report_address,
            peer_address: report.peer_address,
            caller_address: report.caller_address,
            boot: report.boot,
            sequence: report.sequence,
            state: report.state,
            routes_version: report.routes_version,
            operator_revision: report.operator_revision,
            servers_revision: report.servers_revision,
            watching: report.watching,
            waits: report.waits,
            interval: Duration::from_millis(u64::from(report.interval_ms)),
            received_at: now,
        };
        let mut state = self.lock();
        let near = record.centre.region == self.location.region;
        let was_live = state.vms.find(&name).map(|known| known.is_live(now));
        if state.vms.record(record, now) {
            let routes = self.routes.load();
            let capacity = |service: &ServiceName| {
                let settings = routes.service(service);
                settings
                    .and_then(|settings| settings.cache_tokens)
                    .unwrap_or(0)
            };
            state
                .servers
                .record_peer_prompts(&report.reads, capacity, now);
            if near {
                state.servers.record_peer_loads(vm_hash, &report.loads, now);
            }
            if was_live != Some(true) {
                log::info!(peer:% = name, near = near; "VM heard");
            }
        }
    }

    fn destinations(&self) -> ReportDestinations {
        let own = self.settings.report_address;
        let state = self.lock();
        let mut near = Vec::new();
        let mut far = Vec::new();
        for record in state.vms.iter() {
            match record.centre.region == self.location.region {
                true => near.push(record.report_address),
                false => far.push(record.report_address),
            }
        }
        // All VMs of a deployment use the same ports.
        let seeds = self.settings.seeds.iter();
        let seeds = seeds.map(|seed| SocketAddr::new(seed.ip(), own.port()));
        let others = seeds.chain(self.reports.announced());
        let unknown: HashSet<SocketAddr> = others
            .filter(|address| *address != own && !state.vms.contains_address(address))
            .collect();
        far.extend(unknown);
        ReportDestinations { near, far }
    }
}
