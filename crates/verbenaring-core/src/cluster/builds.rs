//! Exchange of where streams began, and of which software versions are declared.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use verbenaring_policy::dispatch::build::DeclaredBuild;
use verbenaring_policy::dispatch::origin::OriginRecord;

use super::message::{encode_builds, encode_origins};
use super::report::{Datagrams, RELAY_INTERVAL, Reporter};
use crate::wire::WireProtocol;

/// Origins in one datagram; each takes up to 15 bytes.
const ORIGINS_PER_DATAGRAM: usize = 90;
/// Builds in one datagram; each takes up to 75 bytes.
const BUILDS_PER_DATAGRAM: usize = 18;
/// Interval at which declared builds are told while a service has several.
const BUILDS_INTERVAL: Duration = Duration::from_secs(1);

impl<P: WireProtocol> Reporter<P> {
    pub(super) fn report_origins(&mut self, datagrams: &mut Datagrams) {
        let origins = self.node.lock().origins.take_untold();
        if origins.is_empty() {
            return;
        }
        if !self.plan.relayed {
            let (near, far) = self.known_addresses();
            push_origins(&origins, &[near, far].concat(), datagrams);
            return;
        }
        let now = self.node.clock.now();
        let mut by_holder: HashMap<SocketAddr, Vec<OriginRecord>> = HashMap::new();
        {
            let state = self.node.lock();
            for origin in &origins {
                for (address, _) in state.origin_holders(origin.stream, now) {
                    by_holder.entry(address).or_default().push(*origin);
                }
            }
        }
        for (address, origins) in by_holder {
            push_origins(&origins, &[address], datagrams);
        }
    }

    /// Tells others which versions are declared: at once when that changes, and again and
    /// again while a service has several.
    pub(super) fn report_builds(&mut self, datagrams: &mut Datagrams) {
        if !self.builds_schedule.is_due(RELAY_INTERVAL) {
            return;
        }
        let now = self.node.clock.now();
        let (declared, mixed) = {
            let state = self.node.lock();
            let builds = &state.servers.builds;
            let declared = builds.declared(now);
            let is_mixed = |build: &DeclaredBuild| builds.is_mixed(&build.service, now);
            let mixed = declared.iter().any(|(build, _)| is_mixed(build));
            (declared, mixed)
        };
        let changed = declared.len() != self.told_builds;
        self.told_builds = declared.len();
        let repeat = mixed && self.builds_repeat.is_due(BUILDS_INTERVAL);
        if !changed && !repeat {
            return;
        }
        let declared: Vec<(DeclaredBuild, u32)> = declared
            .into_iter()
            .map(|(build, remaining)| (build, remaining.as_millis() as u32))
            .collect();
        let addresses = self.suspect_addresses();
        for builds in declared.chunks(BUILDS_PER_DATAGRAM) {
            match encode_builds(builds) {
                Ok(bytes) => {
                    datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone())));
                }
                Err(error) => log::warn!(error:% = error; "failed to encode versions"),
            }
        }
    }

    pub(super) fn apply_origins(&self, origins: &[OriginRecord]) {
        let now = self.node.clock.now();
        self.node.lock().origins.merge(origins, now);
    }

    pub(super) fn apply_builds(&self, declared: &[(DeclaredBuild, u32)]) {
        let now = self.node.clock.now();
        let mut state = self.node.lock();
        for (build, remaining_ms) in declared {
            let remaining = Duration::from_millis(u64::from(*remaining_ms));
            state.servers.builds.record_declared(build, remaining, now);
        }
    }
}

fn push_origins(origins: &[OriginRecord], addresses: &[SocketAddr], datagrams: &mut Datagrams) {
    for origins in origins.chunks(ORIGINS_PER_DATAGRAM) {
        match encode_origins(origins) {
            Ok(bytes) => {
                datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone())));
            }
            Err(error) => log::warn!(error:% = error; "failed to encode origins of streams"),
        }
    }
}
