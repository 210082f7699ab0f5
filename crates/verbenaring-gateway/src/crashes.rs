//! Parts of prompts that crash engines.
//!
//! Load pattern: chats that are all different share a message, and each engine that gets
//! one of them ends. The quarantine of whole requests does not find what they share.
//! Each end of an engine implicates the parts of the prompts that it had, and
//! [`SuspectTable`] decides which one is to blame. Nodes tell each other the evidence at
//! the interval of their other reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaring_policy::dispatch::evidence::{CallParts, SuspectNews};
use verbenaring_policy::dispatch::run::{RunKey, RunTable};
use verbenaring_policy::dispatch::suspect::{PartVerdict, QuarantineChange, SuspectTable};
use verbenaring_policy::id::{Digest, ServerId};
use verbenaring_policy::time::Moment;

use crate::backend::BackendTable;
use crate::check::has_ended;
use crate::links::ControlLinks;
use crate::server::server_hash;
use crate::view::NodeList;
use crate::work::PendingWork;

/// Ends of one engine in the same period of this length are one end, whichever nodes
/// notice it. An engine takes longer to start again.
const SAME_END_PERIOD: Duration = Duration::from_secs(1);
/// Parts in one report to other nodes; what matters most goes first.
const MAX_REPORTED_PARTS: usize = 256;

/// Calls that engines have now, and what ended them before.
#[derive(Debug, Default)]
pub(crate) struct PartCrashes {
    /// Engines by [`server_hash`].
    runs: RunTable<u32>,
    suspects: SuspectTable,
}

impl PartCrashes {
    /// Records that work is sent to an engine. It may end as soon as it reads the prompt.
    pub(crate) fn record_start(
        &mut self,
        server: &ServerId,
        parts: &CallParts,
        now: Moment,
    ) -> RunKey {
        let run = self
            .runs
            .record_sent(server_hash(server), parts.clone(), now);
        self.runs.record_begun(run, now);
        run
    }

    /// Records that work has ended; `complete` if its whole answer has arrived.
    pub(crate) fn record_end(&mut self, run: RunKey, complete: bool, now: Moment) {
        let parts = self.runs.record_end(run);
        if let Some(parts) = parts.filter(|_| complete) {
            self.suspects.record_complete(&parts, now);
        }
    }

    /// Whether work with these parts may not be sent, not even to try one of them.
    pub(crate) fn is_quarantined(&self, parts: &CallParts, now: Moment) -> bool {
        self.suspects.judge(parts, |_| false, now) != PartVerdict::Free
    }

    /// Drops what no longer counts.
    pub(crate) fn expire(&mut self, now: Moment) {
        self.suspects.expire(now);
    }

    fn log_changes(&mut self) {
        for change in self.suspects.take_changes() {
            match change {
                QuarantineChange::Quarantined { part, crashes } => log::warn!(
                    "part {part:08x} of prompts is quarantined: {crashes} servers ended under it"
                ),
                QuarantineChange::Cleared { part } => {
                    log::info!("part {part:08x} of prompts is cleared: it was answered completely");
                }
            }
        }
    }
}

impl BackendTable {
    /// Whether work may be sent, by the parts of its prompt. `is_trier` tells whether this
    /// node is the one that tries a quarantined part.
    pub fn allows_parts(&self, work: &PendingWork, is_trier: impl Fn(u32) -> bool) -> bool {
        if work.digests.is_none() {
            return true;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        let suspects = &mut state.crashes.suspects;
        match suspects.judge(&work.parts, is_trier, now) {
            PartVerdict::Free => true,
            PartVerdict::Trial { part } => {
                suspects.record_trial(part, now);
                true
            }
            PartVerdict::Refused { .. } => false,
        }
    }

    /// Records that the connection of some work broke, and checks in a task of its own
    /// whether the engine has ended.
    pub(crate) fn record_break(self: &Arc<Self>, run: RunKey) {
        let unchecked = {
            let mut state = self.lock();
            state.crashes.runs.record_break(run);
            state.crashes.runs.take_unchecked()
        };
        for server in unchecked {
            tokio::spawn(self.clone().check_server(server));
        }
    }

    async fn check_server(self: Arc<Self>, server: u32) {
        let ended = match self.address_of(server) {
            Some(address) => has_ended(address).await,
            None => false,
        };
        let now = self.clock.now();
        let end = end_id(server, self.clock.unix_ms());
        let mut state = self.lock();
        let broken = state.crashes.runs.take_break(server);
        if ended {
            let mut servers = state.servers.iter().map(|record| &record.terms.server);
            if let Some(server) = servers.find(|id| server_hash(id) == server).cloned() {
                state.record_end(&server, now);
            }
            state.crashes.suspects.record_crash(end, &broken.calls, now);
            state.crashes.log_changes();
        }
    }

    fn address_of(&self, server: u32) -> Option<SocketAddr> {
        let state = self.lock();
        let mut records = state.servers.iter();
        let record = records.find(|record| server_hash(&record.terms.server) == server)?;
        Some(record.terms.address)
    }

    /// What this node knows about parts of prompts that may crash engines, for other
    /// nodes.
    pub fn part_reports(&self) -> Vec<SuspectNews> {
        let now = self.clock.now();
        let mut evidence = self.lock().crashes.suspects.evidence(now);
        evidence.truncate(MAX_REPORTED_PARTS);
        evidence
    }

    /// Merges what another node knows about parts of prompts that may crash engines.
    pub fn merge_parts(&self, reports: &[SuspectNews]) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.crashes.suspects.merge(reports, false, now);
        state.crashes.log_changes();
    }
}

/// Tells all known nodes which requests and parts of prompts may crash servers.
pub(crate) fn send_suspects(backends: &BackendTable, nodes: &NodeList, links: &Arc<ControlLinks>) {
    let requests = backends.suspect_reports();
    let parts = backends.part_reports();
    if requests.is_empty() && parts.is_empty() {
        return;
    }
    for node in nodes.local.iter().chain(&nodes.remote) {
        let (requests, parts) = (requests.clone(), parts.clone());
        let links = links.clone();
        let address = node.control_address;
        tokio::spawn(async move {
            links
                .call(address, |client, context| async move {
                    client.suspects(context, requests).await?;
                    // Nodes of older versions do not know this report.
                    match parts.is_empty() {
                        true => Ok(()),
                        false => client.suspect_parts(context, parts).await,
                    }
                })
                .await
        });
    }
}

/// Identifies an end of an engine on all nodes that notice it.
fn end_id(server: u32, unix_ms: u64) -> u32 {
    let period = unix_ms / SAME_END_PERIOD.as_millis() as u64;
    let digest = Digest::of(format!("{server} {period}").as_bytes());
    digest.short_id()
}
