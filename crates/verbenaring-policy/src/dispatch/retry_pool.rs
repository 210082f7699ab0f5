//! Retries that no share of the budget covers, lent to the VMs that need them.
//!
//! Load pattern: callers gather at some VMs while others stop and start, and servers
//! refuse many calls. The shares of a budget leave out half of what calls earn, since a VM
//! does not know how the load moves between VMs. Where the statements of all VMs are
//! fresh, it does: what the budget still allows beyond all shares and beyond what is
//! spent is lent, to each VM its part of it in the time that a statement takes.

use crate::retry::{BudgetHistory, BudgetTerms, WINDOW_BUCKETS};

/// Calls of all VMs in the window, by age in its tenths.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct CallAges([u32; WINDOW_BUCKETS]);

impl CallAges {
    /// Adds the calls of a history that was stated `passed` tenths ago.
    pub(super) fn add(&mut self, history: &BudgetHistory, passed: usize) {
        let ages = self.0.iter_mut().skip(passed);
        for (count, stated) in ages.zip(&history.successes) {
            *count = count.saturating_add(u32::from(*stated));
        }
    }

    fn between(&self, from: usize, to: usize) -> u32 {
        let to = to.min(WINDOW_BUCKETS);
        self.0.get(from..to).map_or(0, |counts| counts.iter().sum())
    }

    /// Calls that count for each window which has a retry of now in it, however few come
    /// after now. Those of a window, of the one before it and of the one half a window
    /// before count, whichever has most.
    pub(super) fn lasting(&self) -> u32 {
        const WHOLE: usize = WINDOW_BUCKETS;
        const HALF: usize = WINDOW_BUCKETS / 2;
        // Tenths that lie in a window only in part are left out.
        let counted = (0..WHOLE).map(|later| {
            let own = self.between(0, WHOLE - 1 - later);
            let half_before = self.between(
                (HALF + 1).saturating_sub(later),
                (WHOLE + HALF - 1).saturating_sub(later),
            );
            let before = self.between(WHOLE - later, WHOLE);
            own.max(half_before).max(before)
        });
        counted.min().unwrap_or_default()
    }
}

/// What all VMs together may spend, and what they have spent or may spend of their shares.
#[derive(Debug, Clone, Copy)]
pub(super) struct RetryPool {
    /// Retries that the budget allows, less those that all VMs have committed.
    remaining: usize,
    vms: usize,
}

impl RetryPool {
    pub(super) fn new(terms: BudgetTerms, calls: &CallAges, committed: usize, vms: usize) -> Self {
        let allowed = f64::from(calls.lasting()) * terms.retries_per_success;
        let allowed = (allowed + terms.for_all_vms().extra_retries) as usize;
        Self {
            remaining: allowed.saturating_sub(committed),
            vms,
        }
    }

    /// Retries that this VM may borrow, those that others may not know of included.
    pub(super) fn part(self) -> usize {
        self.remaining / self.vms.max(1)
    }
}
