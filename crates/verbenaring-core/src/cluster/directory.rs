//! Which VMs callers should use.

use std::net::SocketAddr;

use verbenaring_policy::dispatch::presence::VmState;
use verbenaring_policy::id::RegionName;

use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

impl<B: WireProtocol> FrontNode<B> {
    /// Addresses for callers of `host` in `region`.
    ///
    /// VMs of the caller's region come alone, because the way to another region
    /// takes longer than most answers. Next come VMs of regions in which all
    /// calls of the host may run. While these stop in turn, VMs that stop but
    /// still serve what they can finish are better than VMs that must not see
    /// the calls. Only without any of them all VMs are named.
    pub fn caller_addresses(&self, host: &str, region: Option<&RegionName>) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let homes = self.routes.load().common_residency(host);
        let state = self.lock();
        let own = (
            self.vm_state(),
            &self.place.region,
            self.settings.caller_address,
        );
        let others = state
            .vms
            .live(now)
            .map(|(_, record)| (record.state, &record.centre.region, record.caller_address));
        let vms: Vec<_> = others.chain([own]).collect();
        let named = |taken: VmState, regions: &[&RegionName]| -> Vec<SocketAddr> {
            let named = vms.iter().filter(|(state, region, _)| {
                *state == taken && (regions.is_empty() || regions.contains(region))
            });
            let addresses = named.map(|(_, _, address)| *address);
            addresses.take(MAX_ADDRESSES).collect()
        };
        let near: Vec<&RegionName> = region.into_iter().collect();
        let homes: Vec<&RegionName> = homes.iter().collect();
        let mut choices = Vec::new();
        for state in [VmState::Ready, VmState::Leaving, VmState::Closing] {
            for regions in [&near, &homes] {
                if !regions.is_empty() {
                    choices.push((state, regions));
                }
            }
        }
        let anywhere = Vec::new();
        choices.push((VmState::Ready, &anywhere));
        let answers = choices
            .iter()
            .map(|(state, regions)| named(*state, regions));
        answers
            .into_iter()
            .find(|answer| !answer.is_empty())
            .unwrap_or_default()
    }
}
