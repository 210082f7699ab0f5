//! Split of limits over regions, data centres and entry VMs.
//!
//! The operators' layout document names the entry VMs of each data centre; the
//! position of a VM is its slot. Without the document the split is taken from
//! the peers of the settings, which are the same on all nodes.

use std::collections::BTreeMap;

use verbenaring_policy::id::{CentreName, DataCentre, MemberId, RegionName, VmId};
use verbenaring_policy::layout::{CentreLayout, RegionLayout, SplitLayout};
use verbenaring_protocol::document::LayoutDocument;

use crate::config::NodeSettings;

/// Layout of the deployment, with the slot of this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLayout {
    /// Split over regions and data centres.
    pub split: SplitLayout,
    /// Slot of this node; none if the layout does not name it.
    pub slot: Option<u32>,
    /// Shares of the members.
    pub members: BTreeMap<MemberId, u32>,
}

impl NodeLayout {
    /// Layout of the operators' document.
    pub fn from_document(
        document: &LayoutDocument,
        vm: &VmId,
    ) -> verbenaring_protocol::Result<Self> {
        let mut slot = None;
        let mut regions = Vec::new();
        for region in &document.regions {
            let mut centres = Vec::new();
            for centre in &region.data_centres {
                let position = centre.vms.iter().position(|name| name == vm.as_str());
                slot = slot.or(position.map(|position| position as u32));
                centres.push(CentreLayout {
                    name: CentreName::new(&centre.data_centre)?,
                    nodes: centre.vms.len() as u32,
                });
            }
            let name = RegionName::new(&region.region)?;
            regions.push(RegionLayout {
                name,
                weight: region.weight,
                centres,
            });
        }
        let members = document
            .members
            .iter()
            .map(|member| Ok((MemberId::new(&member.member)?, member.share.get())))
            .collect::<verbenaring_protocol::Result<_>>()?;
        Ok(Self {
            split: SplitLayout { regions },
            slot,
            members,
        })
    }

    /// Layout of the peers in the settings.
    pub fn from_settings(settings: &NodeSettings) -> Self {
        let own = std::iter::once((&settings.data_centre, &settings.vm));
        let peers = settings
            .peers
            .iter()
            .map(|peer| (&peer.data_centre, &peer.vm));
        let mut regions: BTreeMap<RegionName, BTreeMap<CentreName, Vec<VmId>>> = BTreeMap::new();
        for (DataCentre { region, name }, vm) in own.chain(peers) {
            let centres = regions.entry(region.clone()).or_default();
            centres.entry(name.clone()).or_default().push(vm.clone());
        }
        let mut slot = None;
        let regions = regions.into_iter().map(|(name, centres)| RegionLayout {
            name,
            weight: 1,
            centres: centres
                .into_iter()
                .map(|(name, mut vms)| {
                    vms.sort();
                    let position = vms.iter().position(|vm| *vm == settings.vm);
                    slot = slot.or(position.map(|position| position as u32));
                    CentreLayout {
                        name,
                        nodes: vms.len() as u32,
                    }
                })
                .collect(),
        });
        let regions = regions.collect();
        Self {
            split: SplitLayout { regions },
            slot,
            members: BTreeMap::new(),
        }
    }
}
