//! Nodes that run the product's own code: either one `MemberTable` over all
//! nodes, or a `MemberTable` per data centre with a `SummaryTable` between data
//! centres.

use std::net::SocketAddr;

use rand::Rng;
use serde::{Deserialize, Serialize};
use verbenaring_policy::gossip::{GossipMessage, MemberState, StartId};
use verbenaring_policy::id::{CentreName, DataCentre, ModelName, RegionName, VmId};
use verbenaring_policy::membership::{MemberSettings, MemberTable};
use verbenaring_policy::summary::{
    CentreStatus, ModelSpareCapacity, NodeAddress, SummaryMessage, SummarySettings, SummaryTable,
    delegates,
};
use verbenaring_policy::time::Moment;

use super::simulation::{Envelope, Layout, Node, address_of, index_of};
use super::{LOAD_BYTES, REFRESH_PERIOD};

const MODEL_COUNT: usize = 9;
/// Added to virtual time to give a Unix time. It is realistic, because small numbers have
/// a shorter encoding.
const WALL_CLOCK_START_MS: u64 = 1_790_000_000_000;

/// Message of either protocol.
#[derive(Serialize, Deserialize)]
pub enum Message {
    /// Failure detection, with the payloads of the nodes.
    Gossip(GossipMessage),
    /// Exchange of summaries between data centres.
    Summary(SummaryMessage),
}

/// Node that runs the product's membership code.
pub struct ProductNode {
    index: usize,
    members: MemberTable,
    summaries: Option<SummaryTable>,
    revision: u64,
    next_refresh: Moment,
    /// Peers in the same table: all live nodes for a delegate, otherwise those that are not
    /// delegates.
    local_peers: Vec<SocketAddr>,
    /// Position among the delegates; `None` if the node is not one.
    delegate_rank: Option<usize>,
    centre: DataCentre,
}

impl ProductNode {
    /// Creates a node whose table covers all nodes.
    pub fn flat(index: usize, _: &Layout, start: u64, now: Moment) -> Self {
        Self::new(index, 0, 0..3, start, now)
    }

    /// Creates a node whose table covers its data centre. Delegates exchange summaries with
    /// other data centres.
    pub fn delegated(index: usize, layout: &Layout, start: u64, now: Moment) -> Self {
        let centre = layout.centre(index);
        let first = layout.first_node(centre);
        let mut node = Self::new(index, centre, first..first + 3, start, now);
        let mut settings = SummarySettings::new(node.centre.clone(), address_of(index));
        let first_nodes = (1..=4).map(|step| layout.first_node((centre + step) % layout.centres()));
        settings.peers = first_nodes
            .filter(|peer| *peer != first)
            .map(address_of)
            .collect();
        node.summaries = Some(SummaryTable::new(settings));
        node
    }

    fn new(
        index: usize,
        centre: usize,
        peers: std::ops::Range<usize>,
        start: u64,
        now: Moment,
    ) -> Self {
        let centre = DataCentre {
            region: RegionName::new(&format!("region-{}", centre * 2 / 5)).expect("valid name"),
            name: CentreName::new(&format!("centre-{centre:02}")).expect("valid name"),
        };
        let vm = VmId::new(&format!("vm-{index:03}")).expect("valid name");
        let name = centre.name.clone();
        let mut settings = MemberSettings::new(name, vm, address_of(index), StartId(start));
        settings.peers = peers.map(address_of).collect();
        Self {
            index,
            members: MemberTable::new(settings, now),
            summaries: None,
            revision: 1,
            next_refresh: now,
            local_peers: Vec::new(),
            delegate_rank: None,
            centre,
        }
    }

    /// Updates load figures, local peers and the delegate rank, and publishes a summary if
    /// the node is a delegate. Runs once per `REFRESH_PERIOD` and after a new revision.
    fn refresh(&mut self, now: Moment, rng: &mut impl Rng) {
        self.next_refresh = now + REFRESH_PERIOD;
        let live: Vec<_> = self.members.live().map(|update| &update.vm).collect();
        let delegate_vms = delegates(&self.centre.name, live);
        let own = &self.members.own().vm;
        self.delegate_rank = delegate_vms.iter().position(|vm| *vm == own);
        let is_peer = |vm: &VmId| self.delegate_rank.is_some() || !delegate_vms.contains(&vm);
        let peers = self.members.live().filter(|update| is_peer(&update.vm));
        self.local_peers = peers.map(|update| update.address).collect();
        self.update_payload(rng);
        if let Some(rank) = self.delegate_rank.filter(|_| self.summaries.is_some()) {
            let status = self.status(now, rng);
            if let Some(summaries) = &mut self.summaries {
                summaries.publish(now, rank, status);
            }
        }
    }

    fn update_payload(&mut self, rng: &mut impl Rng) {
        let mut content = self.revision.to_le_bytes().to_vec();
        content.extend((0..LOAD_BYTES).map(|_| rng.random::<u8>()));
        self.members
            .set_payload(content)
            .expect("the payload is within the size limit");
    }

    fn status(&self, now: Moment, rng: &mut impl Rng) -> CentreStatus {
        let live = self.members.live();
        let nodes = live.map(|update| NodeAddress {
            vm: update.vm.clone(),
            address: update.address,
        });
        let payloads = self.members.payloads();
        let nodes_in_force =
            payloads.filter(|item| payload_revision(&item.content) == self.revision);
        let models = (0..MODEL_COUNT).map(|model| {
            let spare = ModelSpareCapacity {
                tokens_per_s: rng.random_range(0..40_000),
                wait_ms: rng.random_range(0..500),
            };
            let name = ModelName::new(&format!("model-{model}")).expect("valid name");
            (name, spare)
        });
        CentreStatus {
            nodes: nodes.collect(),
            node_count: 0,
            models: models.collect(),
            revision: self.revision,
            nodes_in_force: nodes_in_force.count() as u32,
            unix_ms: WALL_CLOCK_START_MS + now.since(Moment::default()).as_millis() as u64,
        }
    }

    /// Adopts the newest revision that a peer has reported, if it is newer than the node's
    /// own. A real gateway would fetch the delta from that peer.
    fn adopt_newest_revision(&mut self, now: Moment, rng: &mut impl Rng) {
        let payloads = self.members.payloads();
        let local = payloads.map(|item| payload_revision(&item.content)).max();
        let summaries = self.summaries.as_ref();
        let remote = summaries.and_then(|table| table.newest_revision(now));
        let newest = local.max(remote.map(|(revision, _)| revision));
        if let Some(newest) = newest.filter(|newest| *newest > self.revision) {
            self.set_revision(newest);
            self.refresh(now, rng);
        }
    }
}

/// Revision in the first 8 bytes of a payload; 0 if it is shorter.
fn payload_revision(content: &[u8]) -> u64 {
    let bytes = content.first_chunk::<8>();
    bytes.map_or(0, |bytes| u64::from_le_bytes(*bytes))
}

impl Node for ProductNode {
    type Message = Message;

    fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Envelope<Message>> {
        if now >= self.next_refresh {
            self.refresh(now, rng);
        }
        let probes = self.members.tick(now, rng).into_iter();
        let mut messages: Vec<_> = probes
            .map(|probe| (index_of(probe.to), Message::Gossip(probe.message)))
            .collect();
        if let Some(summaries) = &mut self.summaries {
            let offer = summaries.tick(now, &self.local_peers, self.delegate_rank.is_some(), rng);
            messages
                .extend(offer.map(|offer| (index_of(offer.to), Message::Summary(offer.message))));
        }
        messages
    }

    fn receive(
        &mut self,
        now: Moment,
        _: usize,
        message: Message,
        rng: &mut impl Rng,
    ) -> Vec<Envelope<Message>> {
        let messages = match message {
            Message::Gossip(message) => {
                let replies = self.members.receive(now, message, rng).into_iter();
                replies
                    .map(|reply| (index_of(reply.to), Message::Gossip(reply.message)))
                    .collect()
            }
            Message::Summary(message) => {
                let summaries = self.summaries.as_mut();
                let reply = summaries.and_then(|table| table.receive(now, message));
                reply
                    .map(|reply| (index_of(reply.to), Message::Summary(reply.message)))
                    .into_iter()
                    .collect()
            }
        };
        self.adopt_newest_revision(now, rng);
        messages
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
        self.next_refresh = Moment(0);
    }

    fn revision(&self) -> u64 {
        self.revision
    }

    fn has_removed(&self, index: usize) -> bool {
        let vm = VmId::new(&format!("vm-{index:03}")).expect("valid name");
        let member = self.members.member(&vm);
        member.is_none_or(|member| member.update.state == MemberState::Dead)
    }

    fn take_removed(&mut self) -> Vec<usize> {
        let events = self.members.take_events().into_iter();
        let dead = events.filter(|event| event.to == MemberState::Dead);
        dead.filter_map(|event| event.vm.as_str()[3..].parse().ok())
            .collect()
    }

    fn monitored_node(&self) -> usize {
        self.index ^ 1
    }
}
