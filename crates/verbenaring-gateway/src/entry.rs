//! Directory answer: which entry VMs a caller should use.

use verbenaring_protocol::node::{EntryList, EntryVm};

use crate::config::{NodeSettings, PeerSettings};
use crate::view::NodeList;

/// Seconds for which a caller may use the list.
const ENTRY_TTL_S: u32 = 30;
/// Entry VMs of other data centres that are named.
const MAX_SPARES: usize = 4;

/// Ranked entry VMs; a stopping node does not name itself.
pub fn entry_list(settings: &NodeSettings, nodes: &NodeList, stopping: bool) -> EntryList {
    let own = (!stopping).then(|| EntryVm {
        vm: settings.vm.to_string(),
        region: settings.data_centre.region.to_string(),
        data_centre: settings.data_centre.name.to_string(),
        caller_address: settings.caller_address.to_string(),
    });
    let mut remote: Vec<&PeerSettings> = nodes.remote.iter().collect();
    remote.sort_by_key(|peer| peer.data_centre.region != settings.data_centre.region);
    EntryList {
        ttl_s: ENTRY_TTL_S,
        entries: own
            .into_iter()
            .chain(nodes.local.iter().map(entry_of))
            .collect(),
        spares: remote.into_iter().take(MAX_SPARES).map(entry_of).collect(),
    }
}

fn entry_of(peer: &PeerSettings) -> EntryVm {
    EntryVm {
        vm: peer.vm.to_string(),
        region: peer.data_centre.region.to_string(),
        data_centre: peer.data_centre.name.to_string(),
        caller_address: peer.caller_address.to_string(),
    }
}
