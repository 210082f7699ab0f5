//! Notices that this VM has stood still.
//!
//! Load pattern: a VM is suspended, or gets no processor time for seconds. Afterwards it
//! goes on with calls that piled up, while what it knows of other VMs is old: either all
//! of them seem lost, or, if its clock stood still too, none of them does, although others
//! have taken over its duties. Until it has heard the others again, it counts as a VM
//! that has just started.

use std::time::Duration;

use crate::time::Moment;

/// Gap between two ticks from which a VM has stood still. Shorter gaps are common where
/// VMs have a small share of a core, and no other VM takes over a duty meanwhile.
const MAX_TICK_GAP: Duration = Duration::from_millis(1_000);

/// Watches the ticks of one VM for gaps.
#[derive(Debug, Clone, Default)]
pub struct StandstillDetector {
    ticked_at: Moment,
    /// Time since the system started, suspended or not, at the last tick.
    system_time: Option<Duration>,
    running_since: Moment,
}

impl StandstillDetector {
    /// Records that the VM runs; to be called several times a second. `system_time` is a
    /// clock that also goes on while the VM is suspended. Returns for how long the VM
    /// has stood still, if it has.
    pub fn record_tick(&mut self, system_time: Duration, now: Moment) -> Option<Duration> {
        let own_gap = now.since(self.ticked_at);
        let system_gap = self
            .system_time
            .map_or(Duration::ZERO, |last| system_time.saturating_sub(last));
        self.ticked_at = now;
        self.system_time = Some(system_time);
        let gap = own_gap.max(system_gap);
        if gap < MAX_TICK_GAP {
            return None;
        }
        self.running_since = now;
        Some(gap)
    }

    /// Time for which the VM has run without standing still. Zero if it has just gone on
    /// and not ticked yet.
    pub fn running_time(&self, now: Moment) -> Duration {
        match now.since(self.ticked_at) < MAX_TICK_GAP {
            true => now.since(self.running_since),
            false => Duration::ZERO,
        }
    }
}
