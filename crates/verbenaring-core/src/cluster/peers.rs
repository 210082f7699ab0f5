//! What a VM knows of the others and of its duties towards them.

use std::sync::atomic::Ordering;
use std::time::Duration;

use verbenaring_policy::dispatch::presence::VmState;
use verbenaring_policy::dispatch::relay::RelayPlan;
use verbenaring_policy::id::VmId;
use verbenaring_policy::time::Moment;

use crate::clock::system_time;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Time after its start by which a VM that hears no other one counts as alone.
const SOLITUDE_TIME: Duration = Duration::from_millis(1_500);

impl<P: WireProtocol> FrontNode<P> {
    /// Whether another VM sends reports.
    pub fn is_vm_live(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        state.vms.find(vm).is_some_and(|record| record.is_live(now))
    }

    /// Whether another VM accepts calls according to its reports.
    pub fn vm_takes_calls(&self, vm: &VmId) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let record = state.vms.find(vm);
        record.is_some_and(|record| record.takes_calls(now))
    }

    /// Reported state of another VM; `None` if it sends no reports.
    pub fn vm_state_of(&self, vm: &VmId) -> Option<VmState> {
        let now = self.clock.now();
        let state = self.lock();
        let record = state.vms.find(vm).filter(|record| record.is_live(now))?;
        Some(record.state)
    }

    /// Whether this VM keeps itself announced, so that others find it: relays do,
    /// and every VM where there are no relays.
    pub(crate) fn is_announced(&self) -> bool {
        !self.is_relayed() || self.is_relay()
    }

    /// Whether reports go through relays.
    pub(crate) fn is_relayed(&self) -> bool {
        self.is_relayed.load(Ordering::Relaxed)
    }

    /// Whether this VM passes on the reports of others.
    pub fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Records whether reports go through relays and whether this VM is one.
    pub(crate) fn set_relay_duty(&self, plan: &RelayPlan) {
        self.is_relayed.store(plan.relayed, Ordering::Relaxed);
        self.is_relay.store(plan.is_relay, Ordering::Relaxed);
    }

    /// Capacity that this VM states to others.
    pub(crate) fn effective_capacity(&self) -> u32 {
        let now = self.clock.now();
        self.lock().effective_capacity(now)
    }

    /// Records that this VM runs.
    pub(crate) fn record_tick(&self) {
        let now = self.clock.now();
        let watching = self.is_watching();
        let mut state = self.lock();
        let gap = state.standstill.record_tick(system_time(), now);
        // Entries are as old as the standstill was long.
        let current = gap.is_none() && (watching || state.hears_watcher(now));
        state.servers.set_current(current, now);
        drop(state);
        if let Some(gap) = gap {
            log::warn!(gap_ms = gap.as_millis() as u64; "VM stood still");
        }
    }

    /// Whether this VM hears another one, or has run for so long that there is none.
    pub(crate) fn has_heard_others(&self) -> bool {
        let now = self.clock.now();
        now.since(Moment::default()) >= SOLITUDE_TIME || self.lock().vms.live(now).next().is_some()
    }

    /// Whether this VM hears another one of its data centre.
    pub(crate) fn hears_centre(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let mut live = state.vms.live(now);
        live.any(|(_, record)| record.centre == self.location)
    }

    /// Whether another VM of this region takes calls.
    pub(crate) fn region_has_ready_vm(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let mut live = state.vms.live(now);
        live.any(|(_, record)| {
            record.centre.region == self.location.region && record.takes_calls(now)
        })
    }
}
