//! Injected faults: slow servers, crashes, lost regions and partitions.

use std::time::Duration;

use verbenaring_policy::retry::AttemptFailure;

use super::measure::CallOutcome;
use super::scenario::Fault;
use super::simulation::{Event, LOCAL_DELAY, REGION_DELAY, Simulation};

/// Time from the crash of an engine to its restart.
const RESTART_TIME: Duration = Duration::from_secs(30);

impl Simulation<'_> {
    pub(super) fn apply_fault(&mut self, index: usize) {
        let now = self.events.now();
        match self.faults[index].fault {
            Fault::Slowdown { server, factor } => {
                self.engines[server].slowdown_factor = factor;
                self.speed_changed_at[server] = now;
            }
            Fault::RegionCrash(region) => {
                for server in self.servers_in_region(region) {
                    self.crash_engine(server);
                    // The new epoch voids the restart that the crash has
                    // scheduled: the engine returns with `Fault::RegionReturn`.
                    self.engines[server].epoch += 1;
                }
            }
            Fault::RegionReturn(region) => {
                for server in self.servers_in_region(region) {
                    self.engines[server].is_up = true;
                }
            }
            Fault::ColdCaches(region) => {
                for server in self.servers_in_region(region) {
                    self.engines[server].clear_cache();
                }
            }
            Fault::Partition(region) => self.start_partition(region),
            Fault::PartitionEnd => self.partition = None,
        }
    }

    fn servers_in_region(&self, region: usize) -> Vec<usize> {
        let servers = 0..self.engines.len();
        servers
            .filter(|server| self.engine_regions[*server] == region)
            .collect()
    }

    /// Restarts a crashed engine unless its epoch has changed since.
    pub(super) fn restart_engine(&mut self, server: usize, epoch: u64) {
        if self.engines[server].epoch == epoch {
            self.engines[server].is_up = true;
        }
    }

    /// Stops an engine, reports the crash to the nodes that lost requests and
    /// fails those attempts.
    pub(super) fn crash_engine(&mut self, server: usize) {
        let now = self.events.now();
        let lost = self.engines[server].crash();
        let epoch = self.engines[server].epoch;
        self.events
            .schedule_after(RESTART_TIME, Event::Restart { server, epoch });
        self.reports[server].clear();
        let mut affected_nodes: Vec<usize> = lost
            .iter()
            .map(|attempt| self.attempts[*attempt].node)
            .collect();
        affected_nodes.sort_unstable();
        affected_nodes.dedup();
        for node in affected_nodes {
            let position = self.nodes[node].position(server);
            let id = self.nodes[node].servers[position].id.clone();
            self.nodes[node].mark_down(server, now);
            if self.variant.quarantine {
                self.nodes[node].quarantine.record_crash(&id, true, now);
                self.share_suspects(node);
            }
        }
        for attempt in lost {
            self.fail_attempt(attempt, AttemptFailure::Crashed);
        }
    }

    /// Sends the suspected requests of a node to all nodes that it can reach.
    fn share_suspects(&mut self, from: usize) {
        let now = self.events.now();
        let mut reports = self.nodes[from].quarantine.reports(now);
        reports.sort_by_key(|report| report.print);
        for node in 0..self.nodes.len() {
            let region = self.nodes[node].region;
            let delay = if region == self.nodes[from].region {
                LOCAL_DELAY
            } else {
                REGION_DELAY
            };
            let is_partitioned = self.is_partitioned(region, self.nodes[from].region);
            if node != from && !is_partitioned {
                let reports = reports.clone();
                self.events
                    .schedule_after(delay, Event::Merge { node, reports });
            }
        }
    }

    /// Whether a partition separates two regions.
    pub(super) fn is_partitioned(&self, left: usize, right: usize) -> bool {
        let Some((region, _)) = self.partition else {
            return false;
        };
        left != right && (left == region || right == region)
    }

    /// Partitions a region from the others and breaks the forwarded calls
    /// between the two sides.
    pub(super) fn start_partition(&mut self, region: usize) {
        self.partition = Some((region, self.events.now()));
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            let entry = self.nodes[state.entry].region;
            let crosses = self.is_partitioned(entry, self.nodes[state.holder].region);
            if state.has_ended || !crosses {
                continue;
            }
            let was_sent = !state.in_flight.is_empty();
            for attempt in state.in_flight.clone() {
                self.cancel_attempt(attempt);
            }
            self.calls[call].is_queued = false;
            self.release_slot(call);
            if self.calls[call].record.first_token_at.is_some() {
                self.end_call(call, CallOutcome::Broken);
            } else if was_sent {
                self.retry_or_end(call, AttemptFailure::Broken);
            } else {
                self.retry_or_end(call, AttemptFailure::Refused);
            }
        }
    }
}
