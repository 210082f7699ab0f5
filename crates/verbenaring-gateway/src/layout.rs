//! Division of contract limits among regions, data centres and entry VMs.
//!
//! The operators' layout document lists the entry VMs of each data centre; the
//! position of a VM in the list is its slot. Without the document, the layout is
//! derived from the settings, which name the same entry VMs on all nodes.

use std::collections::BTreeMap;

use verbenaring_policy::id::{CentreName, DataCentre, MemberId, RegionName, VmId};
use verbenaring_policy::layout::{CentreLayout, RegionLayout, SplitLayout};
use verbenaring_protocol::document::LayoutDocument;

use crate::config::NodeSettings;

/// Layout of the deployment and the slot of this node in it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeLayout {
    /// Regions and data centres with their node counts.
    pub split: SplitLayout,
    /// Slot of this node in its data centre; `None` if the layout does not list it.
    pub slot: Option<u32>,
    /// Share of each member named in the layout document; empty without one.
    pub members: BTreeMap<MemberId, u32>,
}

impl NodeLayout {
    /// Layout from the operators' document, as seen by the entry VM `vm`.
    ///
    /// Fails if a name in the document is invalid.
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

    /// Layout from the peers in the settings: all regions have the same weight, and
    /// slots follow the order of the VM names.
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
