//! Which VMs callers should use.

use std::net::SocketAddr;

use verbenaring_policy::dispatch::presence::VmState;
use verbenaring_policy::id::RegionName;

use crate::border::WireBorder;
use crate::node::FrontNode;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

impl<B: WireBorder> FrontNode<B> {
    /// Addresses for callers of `host` in `region`.
    ///
    /// VMs of the caller's region come alone, because the way to another region
    /// takes longer than most answers. Without any, VMs of regions in which all
    /// calls of the host may run are named, and then any VM.
    pub fn directory(&self, host: &str, region: Option<&RegionName>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let state = self.lock();
        let own = (self.vm_state() == VmState::Ready)
            .then_some((&self.place.region, self.settings.caller_address));
        let others = state
            .vms
            .live(now)
            .filter(|(_, record)| record.state == VmState::Ready)
            .map(|(_, record)| (&record.centre.region, record.caller_address));
        let ready: Vec<(&RegionName, SocketAddr)> = own.into_iter().chain(others).collect();
        let within = |regions: &[&RegionName]| -> Vec<SocketAddr> {
            let named = ready.iter().filter(|(region, _)| regions.contains(region));
            named
                .map(|(_, address)| *address)
                .take(MAX_ADDRESSES)
                .collect()
        };
        let near = region.map_or_else(Vec::new, |region| within(&[region]));
        if !near.is_empty() {
            return near;
        }
        let homes = self.routes.load().residency_of(host);
        let home: Vec<SocketAddr> = within(&homes.iter().collect::<Vec<_>>());
        if !home.is_empty() {
            return home;
        }
        let all = ready.iter().map(|(_, address)| *address);
        all.take(MAX_ADDRESSES).collect()
    }
}
