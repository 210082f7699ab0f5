//! Probes, indirect probes through helpers, and timeouts of the [`MemberTable`].

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::gossip::{Envelope, GossipBody, GossipMessage, MAX_UPDATES, MemberState, MemberUpdate};
use crate::id::VmId;
use crate::membership::{MemberTable, ProbeState, VmListing, record_digest};
use crate::time::Moment;

/// Bounds the timeouts at five times their setting.
const MAX_HEALTH_SCORE: u32 = 4;
const MAX_PROBES_PER_TICK: usize = 8;
/// Absent nodes contacted per period while no member is present.
const ISOLATED_CONTACTS: usize = 3;
/// Retention of a dead member that the platform's VM list omits.
const UNLISTED_RETENTION: Duration = Duration::from_secs(60);
/// Retention of any other dead member; it is contacted at intervals until then.
const DEAD_RETENTION: Duration = Duration::from_secs(3600);

impl MemberTable {
    pub(crate) fn envelope(
        &mut self,
        to: SocketAddr,
        receiver: Option<&MemberUpdate>,
        body: GossipBody,
        extra: usize,
    ) -> Envelope {
        let updates = self.select_updates(receiver, extra);
        let message = GossipMessage {
            centre: self.settings.centre.clone(),
            sender: self.own.clone(),
            table_digest: self.digest,
            body,
            updates,
            payloads: self.payloads.select(&self.own.vm),
        };
        Envelope { to, message }
    }

    /// Updates for one message: first the entry about the receiver, if the receiver has
    /// to correct it, then changed entries, those with the most sends left first, then
    /// entries of the table in turn up to a total of `extra`, which repairs lost updates.
    fn select_updates(
        &mut self,
        receiver: Option<&MemberUpdate>,
        extra: usize,
    ) -> Vec<MemberUpdate> {
        let mut selected: Vec<MemberUpdate> = receiver
            .and_then(|receiver| {
                self.members
                    .get(&receiver.vm)
                    .map(|known| (receiver, known))
            })
            .filter(|(receiver, known)| {
                known.update != **receiver || !is_self_declared(known.update.state)
            })
            .map(|(_, known)| known.update.clone())
            .into_iter()
            .collect();
        let mut pending: Vec<_> = self.pending_sends.iter_mut().collect();
        pending.sort_by_key(|(_, sends)| std::cmp::Reverse(**sends));
        for (vm, sends) in pending.into_iter().take(MAX_UPDATES - selected.len()) {
            *sends -= 1;
            if *vm == self.own.vm {
                selected.push(self.own.clone());
            } else if let Some(record) = self.members.get(vm) {
                selected.push(record.update.clone());
            }
        }
        self.pending_sends.retain(|_, sends| *sends > 0);
        let remaining = extra.saturating_sub(selected.len());
        selected.extend(self.next_entries(remaining));
        selected
    }

    /// Entries that follow those of the previous call, from the start again after the last.
    fn next_entries(&mut self, count: usize) -> Vec<MemberUpdate> {
        use std::ops::Bound::{Excluded, Unbounded};
        let count = count.min(self.members.len());
        let mut entries = Vec::with_capacity(count);
        while entries.len() < count {
            let after = self.repair_cursor.take();
            let lower = after.as_ref().map_or(Unbounded, Excluded);
            let next = self.members.range::<VmId, _>((lower, Unbounded)).next();
            if let Some((vm, record)) = next {
                entries.push(record.update.clone());
                self.repair_cursor = Some(vm.clone());
            }
        }
        entries
    }

    pub(crate) fn acknowledge(
        &mut self,
        now: Moment,
        sequence: u64,
        subject: &MemberUpdate,
        out: &mut Vec<Envelope>,
    ) {
        if let Some(relay) = self.relays.remove(&sequence) {
            if relay.target == subject.vm {
                let body = GossipBody::Acknowledgement {
                    sequence: relay.sequence,
                    relayed: Some(subject.clone()),
                };
                out.push(self.envelope(relay.origin, None, body, 0));
            }
            return;
        }
        // The address may have been reassigned to another VM.
        let matches_target =
            |probe: &ProbeState| probe.target.as_ref().is_none_or(|vm| *vm == subject.vm);
        if !self.probes.get(&sequence).is_some_and(matches_target) {
            return;
        }
        self.probes.remove(&sequence);
        self.health_score = self.health_score.saturating_sub(1);
        let suspect = self.members.get(&subject.vm).map(|record| &record.update);
        let suspect = suspect.filter(|update| update.state == MemberState::Suspect);
        if let Some(update) = suspect.filter(|update| update.start == subject.start) {
            let state = subject.state;
            let cleared = MemberUpdate {
                state,
                ..update.clone()
            };
            self.put_record(now, cleared, false);
            self.pending_sends.remove(&subject.vm);
        }
    }

    pub(crate) fn expire_relays(&mut self, now: Moment, out: &mut Vec<Envelope>) {
        let expired: Vec<u64> = self
            .relays
            .iter()
            .filter(|(_, relay)| relay.deadline <= now)
            .map(|(sequence, _)| *sequence)
            .collect();
        for relay in expired
            .iter()
            .filter_map(|key| self.relays.remove(key))
            .collect::<Vec<_>>()
        {
            let body = GossipBody::Unreached {
                sequence: relay.sequence,
            };
            out.push(self.envelope(relay.origin, None, body, 0));
        }
    }

    /// Asks helpers for probes whose direct answer is late and fails those that timed out.
    pub(crate) fn advance_probes(
        &mut self,
        now: Moment,
        rng: &mut impl Rng,
        out: &mut Vec<Envelope>,
    ) {
        let timeout_factor = self.health_score + 1;
        let late_before = now - self.settings.direct_timeout * timeout_factor;
        let failed_before = now - self.settings.probe_period * timeout_factor;
        let late: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.sent_at <= late_before)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in late {
            let probe = &self.probes[&sequence];
            if probe.sent_at <= failed_before {
                self.fail_probe(now, sequence);
            } else if probe.helpers == 0 {
                self.ask_helpers(sequence, rng, out);
            }
        }
    }

    fn ask_helpers(&mut self, sequence: u64, rng: &mut impl Rng, out: &mut Vec<Envelope>) {
        let target = self.probes[&sequence].target.clone();
        let Some(target) = target.and_then(|vm| self.members.get(&vm)) else {
            return;
        };
        let target = target.update.clone();
        let candidates: Vec<SocketAddr> = self
            .present()
            .filter(|record| record.update.vm != target.vm)
            .filter(|record| record.update.state != MemberState::Suspect)
            .map(|record| record.update.address)
            .collect();
        let count = self.settings.indirect_probes;
        let helpers: Vec<_> = candidates.choose_multiple(rng, count).copied().collect();
        if let Some(probe) = self.probes.get_mut(&sequence) {
            probe.helpers = helpers.len();
        }
        for helper in helpers {
            let body = GossipBody::IndirectProbe {
                sequence,
                target: target.vm.clone(),
                address: target.address,
            };
            out.push(self.envelope(helper, None, body, 0));
        }
    }

    fn fail_probe(&mut self, now: Moment, sequence: u64) {
        let Some(probe) = self.probes.remove(&sequence) else {
            return;
        };
        if probe.helpers > 0 && probe.helper_replies == 0 {
            self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
        }
        let record = probe.target.and_then(|vm| self.members.get(&vm));
        let record = record.filter(|record| record.update.state.is_present());
        let Some(update) = record.map(|record| record.update.clone()) else {
            return;
        };
        // A suspect is probed until it answers or its suspicion timeout has passed.
        self.probe_queue.insert(update.vm.clone());
        if is_self_declared(update.state) {
            let state = MemberState::Suspect;
            self.put_record(now, MemberUpdate { state, ..update }, false);
        }
    }

    pub(crate) fn expire_members(&mut self, now: Moment) {
        let suspicion_timeout = self.settings.suspicion_timeout * (self.health_score + 1);
        let mut removed = Vec::new();
        let mut forgotten = Vec::new();
        for (vm, record) in &self.members {
            let age = now.since(record.since);
            let retention = match record.listing {
                VmListing::Absent => UNLISTED_RETENTION,
                _ => DEAD_RETENTION,
            };
            match record.update.state {
                MemberState::Suspect if age >= suspicion_timeout => {
                    removed.push(record.update.clone())
                }
                MemberState::Dead if age >= retention => forgotten.push(vm.clone()),
                _ => {}
            }
        }
        for update in removed {
            self.payloads.remove(&update.vm);
            let state = MemberState::Dead;
            self.put_record(now, MemberUpdate { state, ..update }, false);
        }
        for vm in forgotten {
            if let Some(record) = self.members.remove(&vm) {
                self.digest ^= record_digest(&record.update);
            }
            self.pending_sends.remove(&vm);
            self.probe_order.retain(|member| *member != vm);
        }
    }

    /// Probes absent nodes at intervals, so that separated tables merge again: initial
    /// peers, VMs of the platform's list, and dead members that it does not omit.
    pub(crate) fn contact_absent(
        &mut self,
        now: Moment,
        rng: &mut impl Rng,
        out: &mut Vec<Envelope>,
    ) {
        if now < self.next_contact {
            return;
        }
        let present: BTreeSet<_> = self.present().map(|record| record.update.address).collect();
        let dead = self.members.values().filter(|record| {
            !record.update.state.is_present() && record.listing != VmListing::Absent
        });
        let known = self
            .settings
            .peers
            .iter()
            .chain(&self.listed_addresses)
            .copied();
        let absent: BTreeSet<SocketAddr> = known
            .chain(dead.map(|record| record.update.address))
            .filter(|address| *address != self.own.address && !present.contains(address))
            .collect();
        let absent: Vec<_> = absent.into_iter().collect();
        let isolated = present.is_empty();
        let count = if isolated { ISOLATED_CONTACTS } else { 1 };
        let period = if isolated {
            self.settings.probe_period
        } else {
            self.settings.rejoin_period
        };
        self.next_contact = now + period;
        for address in absent.choose_multiple(rng, count) {
            self.send_probe(now, None, *address, out);
        }
    }

    pub(crate) fn start_probes(
        &mut self,
        now: Moment,
        rng: &mut impl Rng,
        out: &mut Vec<Envelope>,
    ) {
        let mut targets = Vec::new();
        while targets.len() < MAX_PROBES_PER_TICK
            && let Some(vm) = self.probe_queue.pop_first()
        {
            targets.push(vm);
        }
        if now >= self.next_probe {
            self.next_probe = now + self.settings.probe_period;
            targets.extend(self.next_target(rng));
        }
        for vm in targets {
            let record = self.members.get(&vm);
            let record = record.filter(|record| record.update.state.is_present());
            if let Some(address) = record.map(|record| record.update.address) {
                self.send_probe(now, Some(vm), address, out);
            }
        }
    }

    /// Next present member in shuffled order; each one is returned once per round.
    fn next_target(&mut self, rng: &mut impl Rng) -> Option<VmId> {
        for _ in 0..2 {
            while let Some(vm) = self.probe_order.pop() {
                if self.members.get(&vm)?.update.state.is_present() {
                    return Some(vm);
                }
            }
            self.probe_order = self.members.keys().cloned().collect();
            self.probe_order.shuffle(rng);
        }
        None
    }

    fn send_probe(
        &mut self,
        now: Moment,
        target: Option<VmId>,
        address: SocketAddr,
        out: &mut Vec<Envelope>,
    ) {
        let receiver = target.as_ref().and_then(|vm| self.members.get(vm));
        let receiver = receiver.map(|record| record.update.clone());
        let sequence = self.next_sequence();
        let probe = ProbeState {
            target,
            sent_at: now,
            helpers: 0,
            helper_replies: 0,
        };
        self.probes.insert(sequence, probe);
        let body = GossipBody::Probe { sequence };
        out.push(self.envelope(address, receiver.as_ref(), body, 0));
    }
}

/// Whether only the member itself can state this about it.
fn is_self_declared(state: MemberState) -> bool {
    matches!(state, MemberState::Alive | MemberState::Leaving)
}
