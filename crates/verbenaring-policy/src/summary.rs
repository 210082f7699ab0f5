//! Constant-size summaries of data centres and their exchange.
//!
//! Two delegates per data centre publish its summary. Each period they compare
//! versions with delegates of a few other data centres, and only summaries that
//! one side lacks are sent. All nodes of a data centre do the same with one
//! local peer, through which the summaries reach them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, IteratorRandom};
use serde::{Deserialize, Serialize};

use crate::contract::Revision;
use crate::id::{CentreName, DataCentre, ModelName, VmId};
use crate::rendezvous::rendezvous;
use crate::time::Moment;

/// Number of delegates per data centre; the second covers the loss of the first.
pub const DELEGATES: usize = 2;
/// Largest number of node addresses in a summary.
pub const MAX_ADDRESSES: usize = 20;
/// Largest number of models in a summary.
pub const MAX_MODELS: usize = 32;
/// Largest number of data centres in a table.
pub const MAX_CENTRES: usize = 64;

/// Delegates of `centre`, chosen by rendezvous hashing among its live nodes.
pub fn delegates<'a>(
    centre: &CentreName,
    live: impl IntoIterator<Item = &'a VmId>,
) -> Vec<&'a VmId> {
    rendezvous(centre.as_str(), live, DELEGATES)
}

/// Node that callers or other nodes can contact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Name of the node.
    pub vm: VmId,
    /// Address for messages between nodes.
    pub address: SocketAddr,
}

/// Capacity that a data centre can offer to others for one model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpareCapacity {
    /// Unused capacity in tokens per second.
    pub tokens_per_s: u32,
    /// Expected wait of a new request, in milliseconds.
    pub wait_ms: u32,
}

/// Content of a summary as its publisher measures it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreStatus {
    /// Live nodes in any order; published with delegates first and cut to [`MAX_ADDRESSES`].
    pub nodes: Vec<NodeAddress>,
    /// Number of live nodes before the list is cut; set when published.
    pub node_count: u32,
    /// Spare capacity per model, cut to [`MAX_MODELS`] when published.
    pub models: BTreeMap<ModelName, ModelSpareCapacity>,
    /// Newest configuration revision in force.
    pub revision: Revision,
    /// Number of live nodes that have this revision.
    pub nodes_in_force: u32,
    /// Wall-clock time of the measurement, for display.
    pub unix_ms: u64,
}

impl CentreStatus {
    /// Orders nodes in the same way for every publisher and applies the size limits.
    fn normalize(&mut self, centre: &CentreName) {
        let chosen = delegates(centre, self.nodes.iter().map(|node| &node.vm));
        let chosen: Vec<VmId> = chosen.into_iter().cloned().collect();
        let rank = |vm: &VmId| chosen.iter().position(|delegate| delegate == vm);
        self.nodes
            .sort_by_cached_key(|node| (rank(&node.vm).unwrap_or(DELEGATES), node.vm.clone()));
        self.node_count = self.nodes.len() as u32;
        self.nodes.truncate(MAX_ADDRESSES);
        while self.models.len() > MAX_MODELS {
            self.models.pop_last();
        }
    }

    fn is_bounded(&self) -> bool {
        self.nodes.len() <= MAX_ADDRESSES && self.models.len() <= MAX_MODELS
    }
}

/// State of a data centre as other data centres see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CentreSummary {
    /// Data centre that the summary describes.
    pub centre: DataCentre,
    /// Version; increases with each publication by any delegate of the data centre.
    pub version: u64,
    /// Measured state.
    pub status: CentreStatus,
}

/// Summary and its age, so that relaying does not make it look newer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedSummary {
    /// Summary as published, possibly without node addresses.
    pub summary: CentreSummary,
    /// Time since it was published, in milliseconds.
    pub age_ms: u32,
    /// Digest of the node addresses if they are left out because the receiver
    /// has them: they change rarely and are half of a summary.
    pub omitted_nodes: Option<u32>,
}

/// Version of one summary that a node has; 0 if it has none.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersion {
    /// Data centre of the summary.
    pub centre: CentreName,
    /// Version of the summary.
    pub version: u64,
    /// Digest of the node addresses.
    pub nodes: u32,
}

/// Step of an exchange: offer, reply, delivery.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SummaryBody {
    /// Versions that the sender has.
    Offer(Vec<KnownVersion>),
    /// Summaries that the offering side lacks, and requests for those that it has newer.
    Reply {
        /// Summaries newer than offered, or not offered.
        newer: Vec<AgedSummary>,
        /// Versions that the replying side has where the offered one is newer.
        wanted: Vec<KnownVersion>,
    },
    /// Summaries that the reply requested.
    Delivery(Vec<AgedSummary>),
}

/// Message between nodes of any two data centres.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryMessage {
    /// Data centre of the sender.
    pub centre: CentreName,
    /// Address for the reply.
    pub sender: SocketAddr,
    /// Step of the exchange.
    pub body: SummaryBody,
}

/// Message and the address to send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SummaryEnvelope {
    /// Address of the receiver.
    pub to: SocketAddr,
    /// Message to send.
    pub message: SummaryMessage,
}

/// Identity and timing of a node's exchanges.
#[derive(Debug, Clone)]
pub struct SummarySettings {
    /// Data centre of this node.
    pub centre: DataCentre,
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
    /// Addresses in other data centres that are known before any exchange.
    pub peers: Vec<SocketAddr>,
    /// Period over which exchanges with `fan_out` data centres and a local peer are spread.
    pub exchange_period: Duration,
    /// Number of other data centres that a delegate contacts each period.
    pub fan_out: usize,
    /// Shortest time between versions when nodes or counts change.
    pub change_period: Duration,
    /// Time between versions when only load changes.
    pub publish_period: Duration,
    /// Age at which a summary stops being used.
    pub retention: Duration,
    /// Age at which the addresses of a lost data centre are forgotten.
    pub contact_retention: Duration,
}

impl SummarySettings {
    /// Settings without peers; the timing keeps the traffic budget at 25 data centres.
    pub fn new(centre: DataCentre, address: SocketAddr) -> Self {
        Self {
            centre,
            address,
            peers: Vec::new(),
            exchange_period: Duration::from_secs(2),
            fan_out: 2,
            change_period: Duration::from_secs(2),
            publish_period: Duration::from_secs(10),
            retention: Duration::from_secs(60),
            contact_retention: Duration::from_secs(24 * 3600),
        }
    }
}

#[derive(Debug, Clone)]
struct SummaryEntry {
    summary: CentreSummary,
    nodes_digest: u32,
    received_at: Moment,
    age_at_receipt: Duration,
    unanswered: bool,
}

impl SummaryEntry {
    fn age(&self, now: Moment) -> Duration {
        self.age_at_receipt + now.since(self.received_at)
    }

    fn known_version(&self) -> KnownVersion {
        KnownVersion {
            centre: self.summary.centre.name.clone(),
            version: self.summary.version,
            nodes: self.nodes_digest,
        }
    }

    /// Summary for a node whose known addresses have the digest `known_nodes`.
    fn aged(&self, now: Moment, known_nodes: Option<u32>) -> AgedSummary {
        let mut summary = self.summary.clone();
        let omitted_nodes = known_nodes.filter(|known| *known == self.nodes_digest);
        if omitted_nodes.is_some() {
            summary.status.nodes.clear();
        }
        AgedSummary {
            summary,
            age_ms: u32::try_from(self.age(now).as_millis()).unwrap_or(u32::MAX),
            omitted_nodes,
        }
    }
}

/// Newest known summary of each data centre, and the schedule of exchanges.
#[derive(Debug, Clone)]
pub struct SummaryTable {
    settings: SummarySettings,
    entries: BTreeMap<CentreName, SummaryEntry>,
    next_exchange: Moment,
    exchange_index: usize,
}

impl SummaryTable {
    /// Creates an empty table.
    pub fn new(mut settings: SummarySettings) -> Self {
        let own = settings.address;
        settings.peers.retain(|address| *address != own);
        Self {
            settings,
            entries: BTreeMap::new(),
            next_exchange: Moment(0),
            exchange_index: 0,
        }
    }

    /// Summaries younger than the retention, including that of the own data centre.
    pub fn fresh(&self, now: Moment) -> impl Iterator<Item = &CentreSummary> {
        self.fresh_entries(now).map(|entry| &entry.summary)
    }

    /// Newest revision in a fresh summary, and that summary; `None` if there is none.
    pub fn newest_revision(&self, now: Moment) -> Option<(Revision, &CentreSummary)> {
        self.fresh(now)
            .map(|summary| (summary.status.revision, summary))
            .max_by_key(|(revision, _)| *revision)
    }

    /// Publishes the own summary if a new version is due, and returns whether it was;
    /// delegates call it with their index in [`delegates`] as `rank`.
    ///
    /// A new revision is published at once, a change of nodes or counts after
    /// the change period, anything else after the publish period. The second
    /// delegate waits one publish period longer: versions of the first one reach it
    /// after seconds, and with a wait of 2 s both published most versions.
    pub fn publish(&mut self, now: Moment, rank: usize, mut status: CentreStatus) -> bool {
        let centre = self.settings.centre.clone();
        status.normalize(&centre.name);
        let known = self.entries.get(&centre.name);
        let due = known.is_none_or(|known| {
            let old = &known.summary.status;
            let changed = status.nodes != old.nodes
                || status.node_count != old.node_count
                || status.nodes_in_force != old.nodes_in_force;
            let wait = self.settings.publish_period * (rank as u32);
            let age = known.age(now).saturating_sub(wait);
            status.revision > old.revision
                || changed && age >= self.settings.change_period
                || age >= self.settings.publish_period
        });
        if !due {
            return false;
        }
        // Wall-clock time puts a new delegate that lacks its predecessor's version
        // above it; the increment covers clocks that run behind.
        let min_version = known.map_or(0, |known| known.summary.version.saturating_add(1));
        let summary = CentreSummary {
            centre,
            version: min_version.max(status.unix_ms),
            status,
        };
        let published = AgedSummary {
            summary,
            age_ms: 0,
            omitted_nodes: None,
        };
        self.merge(now, published)
    }

    /// Stores a summary that is newer than the known one, not expired and within the
    /// size limits; returns whether it was stored.
    pub fn merge(&mut self, now: Moment, aged: AgedSummary) -> bool {
        let age_at_receipt = Duration::from_millis(aged.age_ms.into());
        let mut summary = aged.summary;
        let known = self.entries.get(&summary.centre.name);
        let newer = known.is_none_or(|known| known.summary.version < summary.version);
        let fits = known.is_some() || self.entries.len() < MAX_CENTRES;
        let expired = age_at_receipt >= self.settings.retention;
        if !newer || !fits || expired || !summary.status.is_bounded() {
            return false;
        }
        if let Some(digest) = aged.omitted_nodes {
            let Some(known) = known.filter(|known| known.nodes_digest == digest) else {
                return false;
            };
            summary.status.nodes = known.summary.status.nodes.clone();
        }
        let newest = self.newest_revision(now).map(|(revision, _)| revision);
        if newest.is_none_or(|newest| newest < summary.status.revision) {
            self.next_exchange = now;
        }
        let entry = SummaryEntry {
            received_at: now,
            age_at_receipt,
            unanswered: known.is_some_and(|known| known.unanswered),
            nodes_digest: nodes_digest(&summary.status.nodes),
            summary,
        };
        self.entries
            .insert(entry.summary.centre.name.clone(), entry);
        true
    }

    /// Starts the exchange that is due: with one of the `local` addresses or,
    /// if this node is a delegate, with another data centre. Nodes that are not
    /// delegates leave the delegates out of `local`: these get new summaries first
    /// and would otherwise send most of the local traffic.
    ///
    /// The exchanges of one period are spread over it: two at the same time
    /// would fetch the same summaries twice.
    pub fn tick(
        &mut self,
        now: Moment,
        local: &[SocketAddr],
        is_delegate: bool,
        rng: &mut impl Rng,
    ) -> Option<SummaryEnvelope> {
        if now < self.next_exchange {
            return None;
        }
        let remote = if is_delegate {
            self.settings.fan_out
        } else {
            0
        };
        let exchanges = remote + usize::from(!local.is_empty());
        let share = 1.0 / exchanges.max(1) as f64;
        let jitter = rng.random_range(0.75..1.25);
        self.next_exchange = now + self.settings.exchange_period.mul_f64(share * jitter);
        let contact_retention = self.settings.contact_retention;
        self.entries
            .retain(|_, entry| entry.age(now) < contact_retention);
        self.exchange_index = (self.exchange_index + 1) % exchanges.max(1);
        let target = if self.exchange_index < remote {
            self.choose_remote(rng)
        } else {
            let own = self.settings.address;
            let others = local.iter().copied().filter(|address| *address != own);
            others.choose(rng)
        };
        let versions = self.fresh_entries(now).map(SummaryEntry::known_version);
        let body = SummaryBody::Offer(versions.collect());
        target.map(|to| self.envelope(to, body))
    }

    /// Handles a step of an exchange and returns the next one.
    pub fn receive(&mut self, now: Moment, message: SummaryMessage) -> Option<SummaryEnvelope> {
        if let Some(entry) = self.entries.get_mut(&message.centre) {
            entry.unanswered = false;
        }
        match message.body {
            SummaryBody::Offer(versions) if versions.len() <= MAX_CENTRES => {
                let body = self.reply(now, &versions);
                Some(self.envelope(message.sender, body))
            }
            SummaryBody::Reply { newer, wanted } if newer.len() <= MAX_CENTRES => {
                self.merge_all(now, newer);
                let wanted = wanted.iter().take(MAX_CENTRES);
                let summaries: Vec<_> = wanted
                    .filter_map(|known| {
                        let entry = self.entries.get(&known.centre)?;
                        Some(entry.aged(now, Some(known.nodes)))
                    })
                    .collect();
                let body = SummaryBody::Delivery(summaries);
                let empty = SummaryBody::Delivery(Vec::new());
                (body != empty).then(|| self.envelope(message.sender, body))
            }
            SummaryBody::Delivery(summaries) if summaries.len() <= MAX_CENTRES => {
                self.merge_all(now, summaries);
                None
            }
            _ => None,
        }
    }

    fn merge_all(&mut self, now: Moment, summaries: Vec<AgedSummary>) {
        for summary in summaries {
            self.merge(now, summary);
        }
    }

    fn fresh_entries(&self, now: Moment) -> impl Iterator<Item = &SummaryEntry> {
        let retention = self.settings.retention;
        self.entries
            .values()
            .filter(move |entry| entry.age(now) < retention)
    }

    /// Answers an offer, also without content, so that the sender knows it was received.
    fn reply(&self, now: Moment, offered: &[KnownVersion]) -> SummaryBody {
        let by_name: BTreeMap<_, _> = offered.iter().map(|known| (&known.centre, known)).collect();
        let newer = self.fresh_entries(now).filter_map(|entry| {
            let known = by_name.get(&entry.summary.centre.name);
            let lacks = known.is_none_or(|known| known.version < entry.summary.version);
            lacks.then(|| entry.aged(now, known.map(|known| known.nodes)))
        });
        let wanted = offered.iter().filter_map(|offer| {
            let known = self.entries.get(&offer.centre);
            let none = KnownVersion {
                version: 0,
                nodes: 0,
                ..offer.clone()
            };
            let known = known.map_or(none, SummaryEntry::known_version);
            (known.version < offer.version).then_some(known)
        });
        SummaryBody::Reply {
            newer: newer.collect(),
            wanted: wanted.collect(),
        }
    }

    /// Delegate of a random other data centre; any of its nodes if the last
    /// exchange with the data centre was not answered.
    fn choose_remote(&mut self, rng: &mut impl Rng) -> Option<SocketAddr> {
        let own = &self.settings.centre.name;
        let others = self.entries.values_mut();
        let others = others.filter(|entry| entry.summary.centre.name != *own);
        // 1 in 16 goes to an initial peer, to merge groups that lost each other's addresses.
        let chosen = others.choose(rng).filter(|_| !rng.random_ratio(1, 16));
        let Some(entry) = chosen else {
            return self.settings.peers.choose(rng).copied();
        };
        let nodes = &entry.summary.status.nodes;
        let count = if entry.unanswered {
            nodes.len()
        } else {
            nodes.len().min(DELEGATES)
        };
        entry.unanswered = true;
        nodes[..count].choose(rng).map(|node| node.address)
    }

    fn envelope(&self, to: SocketAddr, body: SummaryBody) -> SummaryEnvelope {
        let message = SummaryMessage {
            centre: self.settings.centre.name.clone(),
            sender: self.settings.address,
            body,
        };
        SummaryEnvelope { to, message }
    }
}

fn nodes_digest(nodes: &[NodeAddress]) -> u32 {
    let mut hasher = blake3::Hasher::new();
    for node in nodes {
        hasher.update(node.vm.as_str().as_bytes());
        hasher.update(node.address.to_string().as_bytes());
    }
    let hash = hasher.finalize();
    let bytes = hash.as_bytes().first_chunk::<4>();
    bytes.map_or(0, |bytes| u32::from_le_bytes(*bytes))
}
