//! Exchange of evidence about requests and parts of prompts that crash servers.
//!
//! VMs tell each other changes at once and quarantines again and again, for VMs that
//! start later. Where reports go through relays, so does this evidence.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaring_policy::dispatch::evidence::SuspectNews;
use verbenaring_policy::dispatch::presence::VmKey;
use verbenaring_policy::dispatch::suspect::QuarantineChange;

use super::message::encode_suspects;
use super::report::{Datagrams, RELAY_INTERVAL, Reporter};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Interval at which changes are told.
const CHANGE_INTERVAL: Duration = RELAY_INTERVAL;
/// Interval at which all quarantined parts are told.
const QUARANTINE_INTERVAL: Duration = Duration::from_secs(1);
/// Requests and parts in one datagram; each takes up to 103 bytes.
pub const NEWS_PER_DATAGRAM: usize = 13;
/// Datagrams with evidence to one VM at a time; what matters most goes first.
const MAX_DATAGRAMS: usize = 4;

impl<P: WireProtocol> Reporter<P> {
    pub(super) fn report_suspects(&mut self, datagrams: &mut Datagrams) {
        if !self.suspect_schedule.is_due(CHANGE_INTERVAL) {
            return;
        }
        let all_quarantined = self.quarantine_schedule.is_due(QUARANTINE_INTERVAL);
        let now = self.node.clock.now();
        let news = self.node.lock().suspects.news(all_quarantined, now);
        if news.is_empty() {
            return;
        }
        let addresses = self.suspect_addresses();
        push_suspects(&news, &addresses, datagrams);
    }

    /// Tells VMs that this VM has just heard of what is quarantined.
    pub(super) fn introduce_suspects(&self, newcomers: &[SocketAddr], datagrams: &mut Datagrams) {
        let now = self.node.clock.now();
        let news = self.node.lock().suspects.news(true, now);
        push_suspects(&news, newcomers, datagrams);
    }

    pub(super) fn apply_suspects(&self, news: &[SuspectNews]) {
        let now = self.node.clock.now();
        let pass_on = self.plan.is_relay;
        self.node.lock().suspects.merge(news, pass_on, now);
        self.node.log_quarantines();
    }

    pub(super) fn suspect_addresses(&self) -> Vec<SocketAddr> {
        let plan = &self.plan;
        let keys: Vec<VmKey> = match (plan.relayed, plan.is_relay) {
            (false, _) => {
                let (near, far) = self.known_addresses();
                return [near, far].concat();
            }
            (true, true) => [
                plan.group.as_slice(),
                plan.near_relays.as_slice(),
                plan.far_relays.as_slice(),
            ]
            .concat(),
            (true, false) => plan.primary.into_iter().collect(),
        };
        let state = self.node.lock();
        let records = keys.into_iter().filter_map(|key| state.vms.get(key));
        records.map(|record| record.report_address).collect()
    }
}

fn push_suspects(news: &[SuspectNews], addresses: &[SocketAddr], datagrams: &mut Datagrams) {
    for news in news.chunks(NEWS_PER_DATAGRAM).take(MAX_DATAGRAMS) {
        match encode_suspects(news) {
            Ok(bytes) => {
                datagrams.extend(addresses.iter().map(|address| (*address, bytes.clone())));
            }
            Err(error) => log::warn!(error:% = error; "failed to encode suspects"),
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    /// Logs the changes of quarantines since the last call.
    pub(crate) fn log_quarantines(&self) {
        let now = self.clock.now();
        let (changes, quarantined) = {
            let mut state = self.lock();
            let quarantined = state.suspects.quarantines(now).count();
            (state.suspects.take_changes(), quarantined)
        };
        self.metrics.quarantined_parts.set(quarantined as i64);
        for change in changes {
            match change {
                QuarantineChange::Quarantined { part, crashes } => {
                    log::warn!(part = format!("{part:08x}"), crashes = crashes;
                        "request or part of prompts quarantined: servers end under it");
                }
                QuarantineChange::Cleared { part } => {
                    log::info!(part = format!("{part:08x}");
                        "request or part of prompts cleared: it was answered completely");
                }
            }
        }
    }
}
