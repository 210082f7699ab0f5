//! Background task that tracks the other nodes.
//!
//! It runs the failure detector within the own data centre, exchanges status
//! summaries with the other data centres, fetches configuration that peers have
//! and this node lacks, and decides whether this node watches the platform store.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::{IteratorRandom, SliceRandom};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;
use verbenaring_policy::config::DigestSummary;
use verbenaring_policy::gossip::{Envelope, GossipMessage, MemberState, StartId};
use verbenaring_policy::id::{DataCentre, VmId};
use verbenaring_policy::membership::{MemberSettings, MemberTable, TICK_PERIOD};
use verbenaring_policy::rendezvous::rendezvous;
use verbenaring_policy::summary::{
    CentreStatus, NodeAddress, SummaryEnvelope, SummaryMessage, SummarySettings, SummaryTable,
    delegates,
};
use verbenaring_policy::time::Moment;
use verbenaring_protocol::control::{NodeDescription, NodeFacts};

use crate::clock::NodeClock;
use crate::config::PeerSettings;
use crate::crashes::send_suspects;
use crate::fetch::{fetch_delta, fetch_description, fetch_snapshot, resync_config};
use crate::links::ControlLinks;
use crate::view::{ClusterView, NodeList};

/// Number of nodes per data centre that watch the platform store.
const WATCHERS_PER_CENTRE: usize = 2;

/// Interval at which the gossiped facts and the published node list are refreshed.
const REFRESH_PERIOD: Duration = Duration::from_millis(500);

/// Interval at which the descriptions of known nodes in other data centres are fetched again.
const DESCRIPTION_REFRESH_PERIOD: Duration = Duration::from_secs(30);

/// Maximum number of nodes per remote data centre kept as forwarding targets.
const MAX_REMOTE_NODES: usize = 3;

/// Gap between two ticks from which the process counts as paused. The failure
/// detector uses the same value.
pub(crate) const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Assumed age of load reports received by gossip, which carry no timestamp.
const GOSSIPED_LOAD_AGE: Duration = Duration::from_secs(2);

/// Control message received from another node.
#[derive(Debug)]
pub enum ClusterMessage {
    /// Message of the failure detector within the data centre.
    Gossip(GossipMessage),
    /// Message of the summary exchange between data centres.
    Summary(SummaryMessage),
}

/// Membership and summary state of this node; see [`ClusterTask::run`].
pub struct ClusterTask {
    clock: NodeClock,
    view: Arc<ClusterView>,
    links: Arc<ControlLinks>,
    members: MemberTable,
    summaries: SummaryTable,
    facts: HashMap<VmId, NodeFacts>,
    descriptions: Arc<Mutex<HashMap<SocketAddr, NodeDescription>>>,
    watch_enabled: watch::Sender<bool>,
    fetching: Arc<AtomicBool>,
    rng: StdRng,
}

impl ClusterTask {
    /// Creates the task; `watch_enabled` receives whether this node has to
    /// watch the platform store.
    pub fn new(
        view: &Arc<ClusterView>,
        links: &Arc<ControlLinks>,
        clock: NodeClock,
        watch_enabled: watch::Sender<bool>,
    ) -> Self {
        let settings = &view.settings;
        let centre = &settings.data_centre;
        let own = settings.control_address;
        let is_local = |peer: &&PeerSettings| peer.data_centre == *centre;
        let local = settings
            .peers
            .iter()
            .filter(is_local)
            .map(|peer| peer.control_address);
        let remote = settings.peers.iter().filter(|peer| !is_local(peer));
        let member_settings = MemberSettings {
            peers: local.collect(),
            ..MemberSettings::new(
                centre.name.clone(),
                settings.vm.clone(),
                own,
                StartId(rand::random()),
            )
        };
        let summary_settings = SummarySettings {
            peers: remote.map(|peer| peer.control_address).collect(),
            ..SummarySettings::new(centre.clone(), own)
        };
        Self {
            clock,
            view: view.clone(),
            links: links.clone(),
            members: MemberTable::new(member_settings, clock.now()),
            summaries: SummaryTable::new(summary_settings),
            facts: HashMap::new(),
            descriptions: Arc::default(),
            watch_enabled,
            fetching: Arc::default(),
            rng: StdRng::from_rng(&mut rand::rng()),
        }
    }

    /// Handles incoming messages and timers until `shutdown` is cancelled.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<ClusterMessage>,
        shutdown: CancellationToken,
    ) {
        let mut ticks = tokio::time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut refreshes = tokio::time::interval(REFRESH_PERIOD);
        refreshes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut description_refreshes = tokio::time::interval(DESCRIPTION_REFRESH_PERIOD);
        loop {
            tokio::select! {
                () = shutdown.cancelled() => return,
                Some(message) = inbox.recv() => self.receive(message),
                _ = ticks.tick() => self.tick(),
                _ = refreshes.tick() => self.refresh(),
                _ = description_refreshes.tick() => self.fetch_descriptions(true),
            }
        }
    }

    /// Loads the initial configuration from a peer, so that a node can restart
    /// while the platform store is down.
    ///
    /// Does nothing once the configuration is loaded. Until then every refresh
    /// tries again, because all peers may have been down at the first attempt.
    fn fetch_snapshot(&mut self) {
        let replica = &self.view.replica;
        if replica.is_loaded() || self.fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let peers = self.view.settings.peers.iter();
        let own = &self.view.settings.data_centre;
        let (mut local, mut remote): (Vec<_>, Vec<_>) =
            peers.partition(|peer| peer.data_centre == *own);
        local.shuffle(&mut self.rng);
        remote.shuffle(&mut self.rng);
        let candidates = local.into_iter().chain(remote);
        let addresses: Vec<SocketAddr> = candidates.map(|peer| peer.control_address).collect();
        let (links, replica) = (self.links.clone(), replica.clone());
        let fetching = self.fetching.clone();
        tokio::spawn(async move {
            for address in addresses {
                if replica.is_loaded() || fetch_snapshot(&links, address, &replica).await {
                    break;
                }
            }
            fetching.store(false, Ordering::Relaxed);
        });
    }

    fn receive(&mut self, message: ClusterMessage) {
        let now = self.clock.now();
        match message {
            ClusterMessage::Gossip(message) => {
                let replies = self.members.receive(now, message, &mut self.rng);
                self.send(replies);
            }
            ClusterMessage::Summary(message) => {
                let reply = self.summaries.receive(now, message);
                self.send_summary(reply);
            }
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.check_pause(now);
        if self.view.stopping.load(Ordering::Relaxed)
            && self.members.own().state != MemberState::Leaving
        {
            self.members.leave();
        }
        let envelopes = self.members.tick(now, &mut self.rng);
        self.send(envelopes);
        let addresses: Vec<SocketAddr> = self.members.live().map(|member| member.address).collect();
        let is_delegate = self.is_delegate();
        let envelope = self
            .summaries
            .tick(now, &addresses, is_delegate, &mut self.rng);
        self.send_summary(envelope);
        let events = self.members.take_events();
        for event in &events {
            log::info!("entry VM {} is now {:?}", event.vm, event.to);
        }
        if !events.is_empty() {
            self.publish_nodes();
        }
    }

    /// Starts a resynchronisation of the configuration if the process was paused
    /// since the last tick.
    fn check_pause(&self, now: Moment) {
        let last = Moment(self.view.last_tick.load(Ordering::Acquire));
        if now.since(last) >= PAUSE_THRESHOLD {
            log::warn!("process was paused, synchronising configuration with peers");
            self.view.resyncing.store(true, Ordering::Release);
            let (links, view) = (self.links.clone(), self.view.clone());
            tokio::spawn(async move { resync_config(&links, &view).await });
        }
        self.view.last_tick.store(now.0, Ordering::Release);
    }

    fn refresh(&mut self) {
        let description = self.view.description();
        match postcard::to_allocvec(&description.facts) {
            Ok(content) => {
                if let Err(error) = self.members.set_payload(content) {
                    log::warn!("cannot gossip the facts of this node: {error}");
                }
            }
            Err(error) => log::warn!("cannot encode the facts of this node: {error}"),
        }
        self.facts = self
            .members
            .payloads()
            .filter_map(|payload| {
                let facts = postcard::from_bytes(&payload.content).ok()?;
                Some((payload.origin.clone(), facts))
            })
            .collect();
        for (origin, facts) in &self.facts {
            if *origin != self.view.settings.vm {
                self.view
                    .backends
                    .record_loads(&facts.loads, GOSSIPED_LOAD_AGE);
            }
        }
        send_suspects(&self.view.backends, &self.view.nodes.load(), &self.links);
        self.choose_watchers();
        self.publish_summary(description.facts.config);
        self.fetch_snapshot();
        self.fetch_newer(description.facts.config);
        self.fetch_descriptions(false);
        self.publish_nodes();
        let own = description.facts.config.highest;
        self.view
            .admission
            .accept(self.view.nodes.load().accepted_revision(own));
    }

    /// Whether this node exchanges summaries on behalf of its data centre.
    fn is_delegate(&self) -> bool {
        let centre = &self.view.settings.data_centre.name;
        let live = self.members.live().map(|member| &member.vm);
        delegates(centre, live).contains(&&self.view.settings.vm)
    }

    /// Decides by rendezvous hashing whether this node watches the platform store.
    ///
    /// A node that stops is not among those that are live, but serves for a while. It
    /// watches the store itself.
    fn choose_watchers(&self) {
        let live = self.members.live().map(|member| &member.vm);
        let chosen = rendezvous("configuration watcher", live, WATCHERS_PER_CENTRE);
        let enabled =
            self.view.stopping.load(Ordering::Relaxed) || chosen.contains(&&self.view.settings.vm);
        self.watch_enabled
            .send_if_modified(|current| std::mem::replace(current, enabled) != enabled);
    }

    /// Publishes the status of this data centre if this node is one of its delegates.
    fn publish_summary(&mut self, config: DigestSummary) {
        let centre = &self.view.settings.data_centre.name;
        let live: Vec<_> = self.members.live().collect();
        let chosen = delegates(centre, live.iter().map(|member| &member.vm));
        let own = &self.view.settings.vm;
        let Some(rank) = chosen.iter().position(|vm| *vm == own) else {
            return;
        };
        let nodes: Vec<NodeAddress> = live
            .iter()
            .map(|member| NodeAddress {
                vm: member.vm.clone(),
                address: member.address,
            })
            .collect();
        let in_force = live.iter().filter(|member| {
            member.vm == self.view.settings.vm
                || self
                    .facts
                    .get(&member.vm)
                    .is_some_and(|facts| facts.config.highest >= config.highest)
        });
        let status = CentreStatus {
            node_count: live.len() as u32,
            nodes_in_force: in_force.count() as u32,
            nodes,
            models: self.view.backends.spare_by_model(),
            revision: config.highest,
            unix_ms: self.clock.unix_ms(),
        };
        self.summaries.publish(self.clock.now(), rank, status);
    }

    /// Fetches missing entries from a node whose configuration is newer or differs
    /// at the same revision.
    ///
    /// The node is chosen at random, because any single one may be paused or down.
    fn fetch_newer(&mut self, own: DigestSummary) {
        let local = self
            .members
            .live()
            .filter(|member| {
                let facts = self.facts.get(&member.vm);
                facts.is_some_and(|facts| {
                    facts.config.highest > own.highest
                        || facts.config.highest == own.highest && facts.config.total != own.total
                })
            })
            .map(|member| member.address)
            .choose(&mut self.rng);
        let newest = self.summaries.newest_revision(self.clock.now());
        let remote = newest
            .filter(|(revision, _)| *revision > own.highest)
            .and_then(|(_, summary)| summary.status.nodes.iter().choose(&mut self.rng))
            .map(|node| node.address);
        let Some(peer) = local.or(remote) else { return };
        if self.fetching.swap(true, Ordering::Relaxed) {
            return;
        }
        let (links, replica) = (self.links.clone(), self.view.replica.clone());
        let fetching = self.fetching.clone();
        tokio::spawn(async move {
            fetch_delta(&links, peer, &replica).await;
            fetching.store(false, Ordering::Relaxed);
        });
    }

    /// Fetches the descriptions of nodes in other data centres; only missing ones unless `all`.
    fn fetch_descriptions(&self, all: bool) {
        let own = &self.view.settings.data_centre;
        for summary in self.summaries.fresh(self.clock.now()) {
            if summary.centre == *own {
                continue;
            }
            for node in summary.status.nodes.iter().take(MAX_REMOTE_NODES) {
                let address = node.address;
                let known = self.lock_descriptions().contains_key(&address);
                if all || !known {
                    let (links, nodes) = (self.links.clone(), self.descriptions.clone());
                    tokio::spawn(async move { fetch_description(&links, address, &nodes).await });
                }
            }
        }
    }

    fn publish_nodes(&self) {
        let own = &self.view.settings.data_centre;
        let live = self
            .members
            .live()
            .filter(|member| member.vm != self.view.settings.vm);
        let local = live.filter_map(|member| {
            let facts = self.facts.get(&member.vm).filter(|facts| !facts.leaving)?;
            Some(peer_settings(&member.vm, own, member.address, facts))
        });
        let nodes = self.lock_descriptions();
        let fresh = self
            .summaries
            .fresh(self.clock.now())
            .filter(|summary| summary.centre != *own);
        let remote = fresh.flat_map(|summary| {
            summary
                .status
                .nodes
                .iter()
                .take(MAX_REMOTE_NODES)
                .filter_map(|node| {
                    let description = nodes.get(&node.address).filter(|known| !known.stopping)?;
                    Some(peer_settings(
                        &description.vm,
                        &description.data_centre,
                        node.address,
                        &description.facts,
                    ))
                })
        });
        let centres = self
            .summaries
            .fresh(self.clock.now())
            .filter(|summary| summary.centre != *own)
            .cloned();
        let mut list = NodeList {
            local: local.collect(),
            remote: remote.collect(),
            centres: centres.collect(),
        };
        self.add_configured_peers(&mut list);
        drop(nodes);
        self.view.nodes.store(Arc::new(list));
    }

    /// Adds the configured peers of data centres without a node in the list.
    ///
    /// A summary holds control addresses only. Without this, nothing could be
    /// forwarded to a newly discovered data centre until its first description arrives.
    fn add_configured_peers(&self, list: &mut NodeList) {
        let settings = &self.view.settings;
        let known: Vec<DataCentre> = list
            .remote
            .iter()
            .map(|peer| peer.data_centre.clone())
            .collect();
        let missing = settings.peers.iter().filter(|peer| {
            peer.data_centre != settings.data_centre && !known.contains(&peer.data_centre)
        });
        list.remote.extend(missing.cloned());
    }

    fn lock_descriptions(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, NodeDescription>> {
        self.descriptions
            .lock()
            .unwrap_or_else(|error| error.into_inner())
    }

    fn send(&self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let links = self.links.clone();
            tokio::spawn(async move {
                let message = envelope.message;
                links
                    .call(envelope.to, |client, context| async move {
                        client.gossip(context, message).await
                    })
                    .await
            });
        }
    }

    fn send_summary(&self, envelope: Option<SummaryEnvelope>) {
        let Some(envelope) = envelope else { return };
        let links = self.links.clone();
        tokio::spawn(async move {
            let message = envelope.message;
            links
                .call(envelope.to, |client, context| async move {
                    client.summary(context, message).await
                })
                .await
        });
    }
}

fn peer_settings(
    vm: &VmId,
    centre: &DataCentre,
    control_address: SocketAddr,
    facts: &NodeFacts,
) -> PeerSettings {
    let with_port = |port| SocketAddr::new(control_address.ip(), port);
    PeerSettings {
        vm: vm.clone(),
        data_centre: centre.clone(),
        caller_address: with_port(facts.caller_port),
        peer_address: with_port(facts.peer_port),
        control_address,
    }
}
