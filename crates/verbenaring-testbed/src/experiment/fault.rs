//! Crashes, slow periods, partitions.

use std::time::Duration;

use verbenaring_policy::retry::AttemptFailure;

use super::measure::CallOutcome;
use super::scenario::Fault;
use super::world::{Event, LOCAL_DELAY, REGION_DELAY, World};

/// Restart of an engine after a crash.
const RESTART_TIME: Duration = Duration::from_secs(30);

impl World<'_> {
    pub(super) fn apply_fault(&mut self, index: usize) {
        let now = self.agenda.now();
        match self.faults[index].fault {
            Fault::Slow { server, factor } => {
                self.engines[server].slowness = factor;
                self.slow_until[server] = now;
            }
            Fault::RegionDown(region) => {
                for server in self.servers_of(region) {
                    self.crash(server);
                    // The region returns by its own fault.
                    self.engines[server].epoch += 1;
                }
            }
            Fault::RegionUp(region) => {
                for server in self.servers_of(region) {
                    self.engines[server].is_up = true;
                }
            }
            Fault::ColdCaches(region) => {
                for server in self.servers_of(region) {
                    self.engines[server].clear_cache();
                }
            }
            Fault::Partition(region) => self.cut_off(region),
            Fault::Heal => self.cut = None,
        }
    }

    fn servers_of(&self, region: usize) -> Vec<usize> {
        let servers = 0..self.engines.len();
        servers
            .filter(|server| self.engine_region[*server] == region)
            .collect()
    }

    pub(super) fn restart(&mut self, server: usize, epoch: u64) {
        if self.engines[server].epoch == epoch {
            self.engines[server].is_up = true;
        }
    }

    /// Stops an engine and fails the attempts that it loses.
    pub(super) fn crash(&mut self, server: usize) {
        let now = self.agenda.now();
        let lost = self.engines[server].crash();
        let epoch = self.engines[server].epoch;
        self.agenda
            .after(RESTART_TIME, Event::Restart { server, epoch });
        self.reports[server].clear();
        let mut told: Vec<usize> = lost.iter().map(|own| self.attempts[*own].node).collect();
        told.sort_unstable();
        told.dedup();
        for node in told {
            let position = self.nodes[node].position(server);
            let id = self.nodes[node].servers[position].id.clone();
            self.nodes[node].mark_down(server, now);
            if self.variant.quarantine {
                self.nodes[node].quarantine.record_crash(&id, true, now);
                self.share_suspects(node);
            }
        }
        for attempt in lost {
            self.fail(attempt, AttemptFailure::Crashed);
        }
    }

    fn share_suspects(&mut self, from: usize) {
        let now = self.agenda.now();
        let mut reports = self.nodes[from].quarantine.reports(now);
        reports.sort_by_key(|report| report.print);
        for node in 0..self.nodes.len() {
            let region = self.nodes[node].region;
            let delay = if region == self.nodes[from].region {
                LOCAL_DELAY
            } else {
                REGION_DELAY
            };
            let is_cut = self.is_cut(region, self.nodes[from].region);
            if node != from && !is_cut {
                let reports = reports.clone();
                self.agenda.after(delay, Event::Merge { node, reports });
            }
        }
    }

    /// Whether two regions are separated now.
    pub(super) fn is_cut(&self, left: usize, right: usize) -> bool {
        let Some((region, _)) = self.cut else {
            return false;
        };
        left != right && (left == region || right == region)
    }

    /// Cuts a region off and breaks what crosses the cut.
    pub(super) fn cut_off(&mut self, region: usize) {
        self.cut = Some((region, self.agenda.now()));
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            let entry = self.nodes[state.entry].region;
            let crosses = self.is_cut(entry, self.nodes[state.holder].region);
            if state.has_ended || !crosses {
                continue;
            }
            let was_sent = !state.live.is_empty();
            for attempt in state.live.clone() {
                self.cancel(attempt);
            }
            self.calls[call].is_queued = false;
            self.release_slot(call);
            if self.calls[call].record.first_token.is_some() {
                self.end_call(call, CallOutcome::Broken);
            } else if was_sent {
                self.after_failure(call, AttemptFailure::Broken);
            } else {
                self.after_failure(call, AttemptFailure::Refused);
            }
        }
    }
}
