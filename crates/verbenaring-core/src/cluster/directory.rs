//! Selects the VMs that callers should use.

use std::net::SocketAddr;

use verbenaring_policy::dispatch::presence::VmState;
use verbenaring_policy::id::RegionName;

use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Limit on the addresses in one answer.
const MAX_ADDRESSES: usize = 64;

impl<P: WireProtocol> FrontNode<P> {
    /// Addresses of VMs for callers of `host` in `region`.
    ///
    /// If the caller's region has usable VMs, only those are returned, because
    /// the round trip to another region takes longer than most answers. Those that reach
    /// no servers are left out as long as half of them remain. Otherwise
    /// the VMs of regions in which all calls of the host may run are returned.
    /// While all of these VMs are stopping, those that still accept calls they
    /// can finish are better than VMs that must not handle the calls. Only if
    /// there are none either, the VMs of all regions are returned.
    pub fn caller_addresses(&self, host: &str, region: Option<&RegionName>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let home_regions = self.routes.load().common_residency(host);
        let state = self.lock();
        let own = (
            self.vm_state(),
            &self.location.region,
            self.settings.caller_address,
            !state.servers.is_cut_off(now),
        );
        let other_vms = state.vms.live(now).map(|(_, record)| {
            let reaches_servers = record.reaches_servers();
            (
                record.state,
                &record.centre.region,
                record.caller_address,
                reaches_servers,
            )
        });
        let vms: Vec<_> = other_vms.chain([own]).collect();
        let in_state = |wanted: VmState, regions: &[&RegionName]| -> Vec<SocketAddr> {
            let matching = vms.iter().filter(|(state, region, ..)| {
                *state == wanted && (regions.is_empty() || regions.contains(region))
            });
            let (reaching, others): (Vec<_>, Vec<_>) =
                matching.partition(|(.., reaches_servers)| *reaches_servers);
            // Few VMs could not take the callers of many.
            let named = match reaching.len() >= others.len() {
                true => reaching,
                false => [reaching, others].concat(),
            };
            let addresses = named.iter().map(|(_, _, address, _)| *address);
            addresses.take(MAX_ADDRESSES).collect()
        };
        let caller_region: Vec<&RegionName> = region.into_iter().collect();
        let homes: Vec<&RegionName> = home_regions.iter().collect();
        let mut preferences = Vec::new();
        for state in [VmState::Ready, VmState::Leaving, VmState::Closing] {
            for regions in [&caller_region, &homes] {
                if !regions.is_empty() {
                    preferences.push((state, regions));
                }
            }
        }
        let any_region = Vec::new();
        preferences.push((VmState::Ready, &any_region));
        let address_lists = preferences
            .iter()
            .map(|(state, regions)| in_state(*state, regions));
        address_lists
            .into_iter()
            .find(|addresses| !addresses.is_empty())
            .unwrap_or_default()
    }
}
