//! Failure detection between the entry VMs of one data centre.
//!
//! The table is a state machine after the SWIM protocol: the caller passes in
//! received messages, ticks and the platform's VM list, and sends the envelopes
//! that the calls return. Three rules keep healthy nodes in the table:
//!
//! - A report that a present member is dead only makes it a suspect. Each node probes
//!   the suspect itself and removes it if it does not answer within the suspicion timeout.
//! - A node whose failed probe none of the helpers answered assumes that its own
//!   link or process is slow and lengthens its timeouts.
//! - After a pause of its own process, a node drops its open probes, restarts all
//!   suspicion timeouts, raises its incarnation and probes every member.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::error::Result;
use crate::gossip::{
    Envelope, GossipBody, GossipMessage, GossipPayload, MAX_JOIN_UPDATES, MAX_UPDATES, MemberState,
    MemberUpdate, PayloadTable, StartId, check_payload,
};
use crate::id::{CentreName, VmId};
use crate::rendezvous::first_u64;
use crate::time::Moment;

/// Longest interval between two calls of [`MemberTable::tick`]; only these check timeouts.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Identity of a node and timing of its failure detector.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// Data centre of the node; messages of others are ignored.
    pub centre: CentreName,
    /// Name of this node.
    pub vm: VmId,
    /// Address at which other nodes reach this one.
    pub address: SocketAddr,
    /// Random identifier of this start of the process.
    pub start: StartId,
    /// Addresses contacted while no present member has them; the own one is ignored.
    pub peers: Vec<SocketAddr>,
    /// Interval between routine probes, and time after which a probe has failed.
    pub probe_period: Duration,
    /// Time after which a direct answer is late and helpers are asked.
    pub direct_timeout: Duration,
    /// Number of helpers asked to probe a member whose direct answer is late.
    pub indirect_probes: usize,
    /// Time after which a suspect that did not answer is removed.
    pub suspicion_timeout: Duration,
    /// Time between two calls from which the process counts as paused.
    pub pause_threshold: Duration,
    /// Interval between contacts with absent nodes while any member is present.
    pub rejoin_period: Duration,
}

impl MemberSettings {
    /// Settings with the default timing and no peers.
    pub fn new(centre: CentreName, vm: VmId, address: SocketAddr, start: StartId) -> Self {
        Self {
            centre,
            vm,
            address,
            start,
            peers: Vec::new(),
            probe_period: Duration::from_secs(1),
            direct_timeout: Duration::from_millis(300),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(5),
            pause_threshold: Duration::from_secs(2),
            rejoin_period: Duration::from_secs(5),
        }
    }
}

/// State of a member in the platform's VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmListing {
    /// No list was received since the member joined.
    Unknown,
    /// Listed as live.
    Live,
    /// Listed as leaving.
    Leaving,
    /// Not in the list.
    Absent,
}

/// Entry of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmListEntry {
    /// Name of the VM.
    pub vm: VmId,
    /// Address for messages between nodes.
    pub address: SocketAddr,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// Change of a member's state, or a restart of its process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEvent {
    /// Member that changed.
    pub vm: VmId,
    /// Previous state; `None` for a new member.
    pub from: Option<MemberState>,
    /// New state.
    pub to: MemberState,
    /// Whether the member's process was restarted.
    pub restarted: bool,
}

/// Record that this node keeps of another member.
#[derive(Debug, Clone)]
pub struct MemberRecord {
    /// Latest accepted update.
    pub update: MemberUpdate,
    /// Time at which the state last changed.
    pub since: Moment,
    /// State in the latest VM list of the platform.
    pub listing: VmListing,
}

#[derive(Debug, Clone)]
pub(crate) struct ProbeState {
    pub(crate) target: Option<VmId>,
    pub(crate) sent_at: Moment,
    pub(crate) helpers: usize,
    pub(crate) helper_replies: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct RelayState {
    pub(crate) origin: SocketAddr,
    pub(crate) sequence: u64,
    pub(crate) target: VmId,
    pub(crate) deadline: Moment,
}

/// Failure detector of one node, with the members of its data centre.
#[derive(Debug, Clone)]
pub struct MemberTable {
    pub(crate) settings: MemberSettings,
    pub(crate) own: MemberUpdate,
    pub(crate) members: BTreeMap<VmId, MemberRecord>,
    pub(crate) pending_sends: BTreeMap<VmId, u32>,
    pub(crate) payloads: PayloadTable,
    pub(crate) payload_version: u64,
    pub(crate) probes: BTreeMap<u64, ProbeState>,
    pub(crate) relays: BTreeMap<u64, RelayState>,
    pub(crate) probe_order: Vec<VmId>,
    pub(crate) probe_queue: BTreeSet<VmId>,
    pub(crate) listed_addresses: BTreeSet<SocketAddr>,
    pub(crate) repair_cursor: Option<VmId>,
    pub(crate) digest: u64,
    pub(crate) sequence: u64,
    pub(crate) health_score: u32,
    pub(crate) last_call: Option<Moment>,
    pub(crate) next_probe: Moment,
    pub(crate) next_contact: Moment,
    pub(crate) events: Vec<MemberEvent>,
}

impl MemberTable {
    /// Creates a table that holds only the own node.
    pub fn new(settings: MemberSettings, now: Moment) -> Self {
        let own = MemberUpdate {
            vm: settings.vm.clone(),
            address: settings.address,
            start: settings.start,
            incarnation: 1,
            state: MemberState::Alive,
        };
        Self {
            // Random, so that late answers to an earlier process match no probe of this one.
            sequence: settings.start.0,
            digest: record_digest(&own),
            settings,
            own,
            members: BTreeMap::new(),
            pending_sends: BTreeMap::new(),
            payloads: PayloadTable::default(),
            payload_version: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            probe_order: Vec::new(),
            probe_queue: BTreeSet::new(),
            listed_addresses: BTreeSet::new(),
            repair_cursor: None,
            health_score: 0,
            last_call: None,
            next_probe: now,
            next_contact: now,
            events: Vec::new(),
        }
    }

    /// Update that this node sends about itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Other members, including dead ones until their retention ends.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Record of a member; `None` for this node and for unknown ones.
    pub fn member(&self, vm: &VmId) -> Option<&MemberRecord> {
        self.members.get(vm)
    }

    /// Nodes that are alive or suspect, including this one unless it is leaving.
    pub fn live(&self) -> impl Iterator<Item = &MemberUpdate> {
        let others = self.members.values().map(|record| &record.update);
        std::iter::once(&self.own)
            .chain(others)
            .filter(|update| matches!(update.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Whether the VM is dead here and also absent from the platform's VM list.
    pub fn is_confirmed_gone(&self, vm: &VmId) -> bool {
        self.members.get(vm).is_some_and(|record| {
            !record.update.state.is_present() && record.listing == VmListing::Absent
        })
    }

    /// 0 (healthy) to 4; rises when a probe fails and no helper replied, falls with each answer.
    pub fn health_score(&self) -> u32 {
        self.health_score
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Newest payload of each node, including this one.
    pub fn payloads(&self) -> impl Iterator<Item = &GossipPayload> {
        self.payloads.payloads()
    }

    /// Replaces the content that this node sends to all others; fails if it is too large.
    pub fn set_payload(&mut self, content: Vec<u8>) -> Result<()> {
        check_payload(&content)?;
        self.payload_version += 1;
        let payload = GossipPayload {
            origin: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            version: self.payload_version,
            content,
        };
        let sends = self.retransmit_count(2);
        self.payloads.merge(payload, sends);
        Ok(())
    }

    /// Announces a planned stop and probes every member, so that all learn of it at once.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.raise_incarnation(self.own.incarnation);
        let present: Vec<VmId> = self
            .present()
            .map(|record| record.update.vm.clone())
            .collect();
        self.probe_queue.extend(present);
    }

    /// Applies the platform's VM list. It lags, so it removes nobody: unknown VMs are
    /// contacted, members that it omits or marks as leaving are probed.
    pub fn apply_vm_list(&mut self, list: &[VmListEntry]) {
        let listed: BTreeMap<_, _> = list.iter().map(|entry| (&entry.vm, entry)).collect();
        for (vm, record) in &mut self.members {
            let listing = match listed.get(vm) {
                None => VmListing::Absent,
                Some(entry) if entry.leaving => VmListing::Leaving,
                Some(_) => VmListing::Live,
            };
            if record.listing != listing && listing != VmListing::Live {
                self.probe_queue.insert(vm.clone());
            }
            record.listing = listing;
        }
        let live = list.iter().filter(|entry| !entry.leaving);
        self.listed_addresses = live.clone().map(|entry| entry.address).collect();
        let is_known = |vm: &VmId| *vm == self.own.vm || self.members.contains_key(vm);
        if live.clone().any(|entry| !is_known(&entry.vm)) {
            self.next_contact = Moment(0);
        }
    }

    /// Advances timeouts and starts the probes that are due.
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Envelope> {
        let mut out = Vec::new();
        self.detect_pause(now);
        self.expire_relays(now, &mut out);
        self.advance_probes(now, rng, &mut out);
        self.expire_members(now);
        self.contact_absent(now, rng, &mut out);
        self.start_probes(now, rng, &mut out);
        out
    }

    /// Handles a message and returns the replies. Messages of another data
    /// centre and messages above the size bounds are ignored.
    pub fn receive(
        &mut self,
        now: Moment,
        message: GossipMessage,
        rng: &mut impl Rng,
    ) -> Vec<Envelope> {
        let mut out = Vec::new();
        let foreign = message.centre != self.settings.centre || message.sender.vm == self.own.vm;
        if foreign || !message.is_bounded() {
            return out;
        }
        self.detect_pause(now);
        let sender = message.sender;
        let is_new = !self.members.contains_key(&sender.vm);
        self.apply_update(now, &sender, rng);
        for update in &message.updates {
            self.apply_update(now, update, rng);
        }
        for payload in message.payloads {
            let origin = self.members.get(&payload.origin);
            let present = origin.is_some_and(|record| record.update.state.is_present());
            if present && payload.content.len() <= crate::gossip::MAX_PAYLOAD_BYTES {
                let sends = self.retransmit_count(2);
                self.payloads.merge(payload, sends);
            }
        }
        let digest_differs = message.table_digest != self.digest;
        match message.body {
            GossipBody::Probe { sequence } => {
                let body = GossipBody::Acknowledgement {
                    sequence,
                    relayed: None,
                };
                let extra = match (is_new, digest_differs) {
                    (true, _) => MAX_JOIN_UPDATES,
                    (_, true) => MAX_UPDATES,
                    _ => 0,
                };
                out.push(self.envelope(sender.address, Some(&sender), body, extra));
            }
            GossipBody::Acknowledgement { sequence, relayed } => {
                let subject = relayed.as_ref().unwrap_or(&sender);
                if relayed.is_some() {
                    self.apply_update(now, subject, rng);
                }
                self.acknowledge(now, sequence, subject, &mut out);
            }
            GossipBody::Unreached { sequence } => {
                if let Some(probe) = self.probes.get_mut(&sequence) {
                    probe.helper_replies += 1;
                }
            }
            GossipBody::IndirectProbe {
                sequence,
                target,
                address,
            } => {
                let relay = RelayState {
                    origin: sender.address,
                    sequence,
                    target,
                    deadline: now + self.settings.direct_timeout,
                };
                let own_sequence = self.next_sequence();
                self.relays.insert(own_sequence, relay);
                let body = GossipBody::Probe {
                    sequence: own_sequence,
                };
                out.push(self.envelope(address, None, body, 0));
            }
        }
        out
    }

    pub(crate) fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .filter(|record| record.update.state.is_present())
    }

    /// Times to send a change so that it is likely to reach all nodes.
    fn retransmit_count(&self, factor: u32) -> u32 {
        let nodes = self.members.len() as u32 + 2;
        factor * (nodes.ilog2() + 1)
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn raise_incarnation(&mut self, observed: u64) {
        self.digest ^= record_digest(&self.own);
        self.own.incarnation = observed.max(self.own.incarnation).saturating_add(1);
        self.digest ^= record_digest(&self.own);
        self.pending_sends
            .insert(self.own.vm.clone(), self.retransmit_count(3));
    }

    fn detect_pause(&mut self, now: Moment) {
        let last = self.last_call.replace(now).unwrap_or(now);
        if now.since(last) < self.settings.pause_threshold {
            return;
        }
        self.raise_incarnation(self.own.incarnation);
        self.probes.clear();
        self.relays.clear();
        for (vm, record) in &mut self.members {
            if record.update.state == MemberState::Suspect {
                record.since = now;
            }
            if record.update.state.is_present() {
                self.probe_queue.insert(vm.clone());
            }
        }
    }

    fn apply_update(&mut self, now: Moment, update: &MemberUpdate, rng: &mut impl Rng) {
        if update.vm == self.own.vm {
            self.refute(update);
            return;
        }
        let precedence = |update: &MemberUpdate| (update.incarnation, update.state);
        let known = self.members.get(&update.vm);
        if known.is_some_and(|known| precedence(&known.update) >= precedence(update)) {
            return;
        }
        let mut accepted = update.clone();
        let from = known.map(|known| known.update.state);
        let restarted = known.is_some_and(|known| known.update.start != update.start);
        if accepted.state == MemberState::Dead && from.is_some_and(MemberState::is_present) {
            accepted.state = MemberState::Suspect;
            if known.is_some_and(|known| precedence(&known.update) >= precedence(&accepted)) {
                return;
            }
        }
        if from.is_none() {
            let index = rng.random_range(0..=self.probe_order.len());
            self.probe_order.insert(index, accepted.vm.clone());
        }
        if accepted.state == MemberState::Suspect {
            self.probe_queue.insert(accepted.vm.clone());
        }
        self.put_record(now, accepted, restarted);
    }

    pub(crate) fn put_record(&mut self, now: Moment, update: MemberUpdate, restarted: bool) {
        let vm = update.vm.clone();
        let previous = self.members.get(&vm);
        let from = previous.map(|previous| previous.update.state);
        let listing = previous.map_or(VmListing::Unknown, |previous| previous.listing);
        let since = previous
            .filter(|previous| previous.update.state == update.state)
            .map_or(now, |previous| previous.since);
        if let Some(previous) = previous {
            self.digest ^= record_digest(&previous.update);
        }
        self.digest ^= record_digest(&update);
        if from != Some(update.state) || restarted {
            self.events.push(MemberEvent {
                vm: vm.clone(),
                from,
                to: update.state,
                restarted,
            });
        }
        let record = MemberRecord {
            update,
            since,
            listing,
        };
        self.members.insert(vm.clone(), record);
        self.pending_sends.insert(vm, self.retransmit_count(3));
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let suspected = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let outdated = update.start != self.own.start;
        let own = self.own.incarnation;
        if update.incarnation > own || update.incarnation == own && (suspected || outdated) {
            self.raise_incarnation(update.incarnation);
        }
    }
}

pub(crate) fn record_digest(update: &MemberUpdate) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(update.vm.as_str().as_bytes());
    hasher.update(&update.start.0.to_le_bytes());
    hasher.update(&update.incarnation.to_le_bytes());
    hasher.update(&[u8::from(update.state.is_present())]);
    first_u64(&hasher.finalize())
}
