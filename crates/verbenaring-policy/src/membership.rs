//! Failure detection between the entry VMs of one data centre.
//!
//! The table is a state machine after SWIM: the caller passes in received
//! messages, ticks and the platform's VM list, and sends the envelopes that
//! the calls return. Three rules keep healthy nodes in the table:
//!
//! - A rumour of a death only starts a suspicion. Each node probes the suspect
//!   itself and removes it after its own suspicion time without an answer.
//! - A node that hears no helper when a probe fails doubts its own link and
//!   lengthens its timeouts.
//! - After a jump of its own clock, a node drops its open probes, restarts all
//!   suspicion times, raises its incarnation and probes every member.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use crate::error::Result;
use crate::gossip::{
    Envelope, GossipBody, GossipMessage, GossipPayload, MAX_JOIN_UPDATES, MAX_UPDATES, MemberState,
    MemberUpdate, PayloadBook, StartId, check_payload,
};
use crate::id::{CentreName, VmId};
use crate::rendezvous::first_u64;
use crate::time::Moment;

/// Longest time between two ticks for the timeouts to be kept.
pub const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Identity and timing of a node.
#[derive(Debug, Clone)]
pub struct MemberSettings {
    /// Data centre.
    pub centre: CentreName,
    /// This node.
    pub vm: VmId,
    /// Address that other nodes use.
    pub address: SocketAddr,
    /// Random identifier of this start of the process.
    pub start: StartId,
    /// Initial peers; the own address is ignored.
    pub peers: Vec<SocketAddr>,
    /// Time between probes.
    pub probe_period: Duration,
    /// Time for a direct answer.
    pub direct_timeout: Duration,
    /// Helpers asked when the direct answer is late.
    pub indirect_probes: usize,
    /// Time that a suspect has to answer.
    pub suspicion: Duration,
    /// Gap between calls that counts as a pause of the process.
    pub pause: Duration,
    /// Time between contacts with absent nodes.
    pub rejoin_period: Duration,
}

impl MemberSettings {
    /// Settings with the timing of the design page.
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
            suspicion: Duration::from_secs(5),
            pause: Duration::from_secs(2),
            rejoin_period: Duration::from_secs(5),
        }
    }
}

/// What the platform's VM list says about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmListing {
    /// No list was seen since the member joined.
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
    /// Listed VM.
    pub vm: VmId,
    /// Address for messages between nodes.
    pub address: SocketAddr,
    /// Whether the platform is about to stop the VM.
    pub leaving: bool,
}

/// Change of a member's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEvent {
    /// Member.
    pub vm: VmId,
    /// State before; none for a new member.
    pub from: Option<MemberState>,
    /// State after.
    pub to: MemberState,
    /// Whether the member's process is a new start.
    pub restarted: bool,
}

/// Member as this node sees it.
#[derive(Debug, Clone)]
pub struct MemberRecord {
    /// Latest accepted update.
    pub update: MemberUpdate,
    /// Time of the last change of state.
    pub since: Moment,
    /// Platform's view.
    pub listing: VmListing,
}

#[derive(Debug, Clone)]
pub(crate) struct ProbeState {
    pub(crate) target: Option<VmId>,
    pub(crate) sent: Moment,
    pub(crate) helpers: usize,
    pub(crate) replies: usize,
}

#[derive(Debug, Clone)]
pub(crate) struct RelayState {
    pub(crate) origin: SocketAddr,
    pub(crate) sequence: u64,
    pub(crate) target: VmId,
    pub(crate) deadline: Moment,
}

/// Members of the own data centre.
#[derive(Debug, Clone)]
pub struct MemberTable {
    pub(crate) settings: MemberSettings,
    pub(crate) own: MemberUpdate,
    pub(crate) members: BTreeMap<VmId, MemberRecord>,
    pub(crate) unsent: BTreeMap<VmId, u32>,
    pub(crate) payloads: PayloadBook,
    pub(crate) payload_version: u64,
    pub(crate) probes: BTreeMap<u64, ProbeState>,
    pub(crate) relays: BTreeMap<u64, RelayState>,
    pub(crate) order: Vec<VmId>,
    pub(crate) verify: BTreeSet<VmId>,
    pub(crate) listed: BTreeSet<SocketAddr>,
    pub(crate) cursor: Option<VmId>,
    pub(crate) digest: u64,
    pub(crate) sequence: u64,
    pub(crate) health: u32,
    pub(crate) last_call: Option<Moment>,
    pub(crate) next_probe: Moment,
    pub(crate) next_contact: Moment,
    pub(crate) events: Vec<MemberEvent>,
}

impl MemberTable {
    /// Table that knows only its own node.
    pub fn new(settings: MemberSettings, now: Moment) -> Self {
        let own = MemberUpdate {
            vm: settings.vm.clone(),
            address: settings.address,
            start: settings.start,
            incarnation: 1,
            state: MemberState::Alive,
        };
        Self {
            // Starting at the random identifier keeps late answers to an
            // earlier process from matching a probe of this one.
            sequence: settings.start.0,
            digest: record_digest(&own),
            settings,
            own,
            members: BTreeMap::new(),
            unsent: BTreeMap::new(),
            payloads: PayloadBook::default(),
            payload_version: 0,
            probes: BTreeMap::new(),
            relays: BTreeMap::new(),
            order: Vec::new(),
            verify: BTreeSet::new(),
            listed: BTreeSet::new(),
            cursor: None,
            health: 0,
            last_call: None,
            next_probe: now,
            next_contact: now,
            events: Vec::new(),
        }
    }

    /// This node as it describes itself.
    pub fn own(&self) -> &MemberUpdate {
        &self.own
    }

    /// Other members, removed ones included until they are forgotten.
    pub fn members(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// One other member.
    pub fn member(&self, vm: &VmId) -> Option<&MemberRecord> {
        self.members.get(vm)
    }

    /// Live table: this node and all members that are neither removed nor leaving.
    pub fn live(&self) -> impl Iterator<Item = &MemberUpdate> {
        let others = self.members.values().map(|record| &record.update);
        std::iter::once(&self.own)
            .chain(others)
            .filter(|update| matches!(update.state, MemberState::Alive | MemberState::Suspect))
    }

    /// Whether failure detection and the platform's list agree that the VM is gone.
    pub fn is_confirmed_gone(&self, vm: &VmId) -> bool {
        self.members.get(vm).is_some_and(|record| {
            !record.update.state.is_present() && record.listing == VmListing::Absent
        })
    }

    /// Number of recent signs that the own link or process is slow; 0 is healthy.
    pub fn health_score(&self) -> u32 {
        self.health
    }

    /// Changes since the last call.
    pub fn take_events(&mut self) -> Vec<MemberEvent> {
        std::mem::take(&mut self.events)
    }

    /// Newest payload of each node.
    pub fn payloads(&self) -> impl Iterator<Item = &GossipPayload> {
        self.payloads.contents()
    }

    /// Replaces the content that this node supplies to all others.
    pub fn set_payload(&mut self, content: Vec<u8>) -> Result<()> {
        check_payload(&content)?;
        self.payload_version += 1;
        let payload = GossipPayload {
            origin: self.own.vm.clone(),
            incarnation: self.own.incarnation,
            version: self.payload_version,
            content,
        };
        let sends = self.spread(2);
        self.payloads.merge(payload, sends);
        Ok(())
    }

    /// Announces a planned stop and probes every member, which tells them at once.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.raise_incarnation(self.own.incarnation);
        let present: Vec<VmId> = self
            .present()
            .map(|record| record.update.vm.clone())
            .collect();
        self.verify.extend(present);
    }

    /// Takes the platform's lagging list as a hint: unknown VMs are contacted,
    /// members that the list omits or marks as leaving are probed.
    pub fn apply_vm_list(&mut self, list: &[VmListEntry]) {
        let listed: BTreeMap<_, _> = list.iter().map(|entry| (&entry.vm, entry)).collect();
        for (vm, record) in &mut self.members {
            let listing = match listed.get(vm) {
                None => VmListing::Absent,
                Some(entry) if entry.leaving => VmListing::Leaving,
                Some(_) => VmListing::Live,
            };
            if record.listing != listing && listing != VmListing::Live {
                self.verify.insert(vm.clone());
            }
            record.listing = listing;
        }
        let live = list.iter().filter(|entry| !entry.leaving);
        self.listed = live.clone().map(|entry| entry.address).collect();
        let is_known = |vm: &VmId| *vm == self.own.vm || self.members.contains_key(vm);
        if live.clone().any(|entry| !is_known(&entry.vm)) {
            self.next_contact = Moment(0);
        }
    }

    /// Advances timeouts and starts the probes that are due.
    pub fn tick(&mut self, now: Moment, rng: &mut impl Rng) -> Vec<Envelope> {
        let mut out = Vec::new();
        self.observe_clock(now);
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
        self.observe_clock(now);
        let sender = message.sender;
        let joins = !self.members.contains_key(&sender.vm);
        self.apply(now, &sender, rng);
        for update in &message.updates {
            self.apply(now, update, rng);
        }
        for payload in message.payloads {
            let origin = self.members.get(&payload.origin);
            let present = origin.is_some_and(|record| record.update.state.is_present());
            if present && payload.content.len() <= crate::gossip::MAX_PAYLOAD_BYTES {
                let sends = self.spread(2);
                self.payloads.merge(payload, sends);
            }
        }
        let differs = message.table_digest != self.digest;
        match message.body {
            GossipBody::Probe { sequence } => {
                let body = GossipBody::Acknowledgement {
                    sequence,
                    relayed: None,
                };
                let extra = match (joins, differs) {
                    (true, _) => MAX_JOIN_UPDATES,
                    (_, true) => MAX_UPDATES,
                    _ => 0,
                };
                out.push(self.envelope(sender.address, Some(&sender), body, extra));
            }
            GossipBody::Acknowledgement { sequence, relayed } => {
                let subject = relayed.as_ref().unwrap_or(&sender);
                if relayed.is_some() {
                    self.apply(now, subject, rng);
                }
                self.acknowledge(now, sequence, subject, &mut out);
            }
            GossipBody::Unreached { sequence } => {
                if let Some(probe) = self.probes.get_mut(&sequence) {
                    probe.replies += 1;
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

    /// Times to repeat news so that all nodes are likely to receive it.
    fn spread(&self, factor: u32) -> u32 {
        let nodes = self.members.len() as u32 + 2;
        factor * (nodes.ilog2() + 1)
    }

    pub(crate) fn next_sequence(&mut self) -> u64 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }

    fn raise_incarnation(&mut self, heard: u64) {
        self.digest ^= record_digest(&self.own);
        self.own.incarnation = heard.max(self.own.incarnation).saturating_add(1);
        self.digest ^= record_digest(&self.own);
        self.unsent.insert(self.own.vm.clone(), self.spread(3));
    }

    fn observe_clock(&mut self, now: Moment) {
        let last = self.last_call.replace(now).unwrap_or(now);
        if now.since(last) < self.settings.pause {
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
                self.verify.insert(vm.clone());
            }
        }
    }

    fn apply(&mut self, now: Moment, update: &MemberUpdate, rng: &mut impl Rng) {
        if update.vm == self.own.vm {
            self.refute(update);
            return;
        }
        let order = |update: &MemberUpdate| (update.incarnation, update.state);
        let known = self.members.get(&update.vm);
        if known.is_some_and(|known| order(&known.update) >= order(update)) {
            return;
        }
        let mut accepted = update.clone();
        let from = known.map(|known| known.update.state);
        let restarted = known.is_some_and(|known| known.update.start != update.start);
        if accepted.state == MemberState::Dead && from.is_some_and(MemberState::is_present) {
            accepted.state = MemberState::Suspect;
            if known.is_some_and(|known| order(&known.update) >= order(&accepted)) {
                return;
            }
        }
        if from.is_none() {
            let index = rng.random_range(0..=self.order.len());
            self.order.insert(index, accepted.vm.clone());
        }
        if accepted.state == MemberState::Suspect {
            self.verify.insert(accepted.vm.clone());
        }
        self.store(now, accepted, restarted);
    }

    pub(crate) fn store(&mut self, now: Moment, update: MemberUpdate, restarted: bool) {
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
        self.unsent.insert(vm, self.spread(3));
    }

    fn refute(&mut self, update: &MemberUpdate) {
        let accused = matches!(update.state, MemberState::Suspect | MemberState::Dead);
        let outdated = update.start != self.own.start;
        let own = self.own.incarnation;
        if update.incarnation > own || update.incarnation == own && (accused || outdated) {
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
