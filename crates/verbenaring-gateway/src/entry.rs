//! List of entry VMs that callers should use, as served by the directory.

use verbenaring_protocol::node::{EntryList, EntryVm};

use crate::config::{NodeSettings, PeerSettings};
use crate::view::NodeList;

/// Time for which a caller may use the list, in seconds.
const ENTRY_TTL_S: u32 = 30;
/// Maximum number of spare entry VMs in other data centres.
const MAX_SPARES: usize = 4;

/// Entry VMs in order of preference: this node, its data centre, and as spares the
/// other data centres, those of the own region first.
///
/// A stopping node leaves itself out.
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
            .chain(nodes.local.iter().map(entry_vm))
            .collect(),
        spares: remote.into_iter().take(MAX_SPARES).map(entry_vm).collect(),
    }
}

fn entry_vm(peer: &PeerSettings) -> EntryVm {
    EntryVm {
        vm: peer.vm.to_string(),
        region: peer.data_centre.region.to_string(),
        data_centre: peer.data_centre.name.to_string(),
        caller_address: peer.caller_address.to_string(),
    }
}
