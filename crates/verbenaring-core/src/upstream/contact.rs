//! Notices whether this VM reaches backend servers.
//!
//! Calls show it first. Where they do not, because they wait on connections that have
//! fallen silent or go through other VMs, servers are asked for their status on new
//! connections: one that is merely accepted shows nothing. The decision is in
//! [`verbenaring_policy::dispatch::contact`].

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use verbenaring_policy::dispatch::contact::ContactChange;
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::id::{ServiceName, VmId};

use super::pool::ConnectOptions;
use super::process::StatusError;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Time between two rounds of checks whether servers can be reached.
const PROBE_PERIOD: Duration = Duration::from_millis(250);
/// Servers that are checked in each round.
const PROBED_SERVERS: usize = 3;
/// Time without an answer to calls, from which a server is checked. Sound servers may be
/// silent for about a second.
const PROBED_SILENCE: Duration = Duration::from_millis(1_200);

/// Time without contact after which connections from before may have fallen silent. While
/// only new ones are refused, contact comes and goes within moments, and they are needed.
const LASTING_LOSS: Duration = Duration::from_secs(1);

/// Outcome of asking a server for its status.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StatusOutcome {
    /// It answered.
    Answered,
    /// No connection could be opened.
    Unreached,
    /// A connection was opened, and no answer came.
    Silent,
}

/// Checks servers that may be out of reach, until the process ends.
pub(crate) async fn probe_servers<P: WireProtocol>(node: Arc<FrontNode<P>>) {
    loop {
        tokio::time::sleep(PROBE_PERIOD).await;
        let now = node.clock.now();
        let (silent, restarted) = {
            let servers = &node.lock().servers;
            let silent = servers.doubtful_servers(PROBED_SILENCE, now);
            (silent, servers.doubtful_processes(now))
        };
        let all: HashSet<ServerKey> = silent.iter().copied().chain(restarted).collect();
        let probed = all
            .into_iter()
            .choose_multiple(&mut rand::rng(), PROBED_SERVERS);
        let probes = probed
            .into_iter()
            .map(|server| node.probe_server(server, silent.contains(&server)));
        futures::future::join_all(probes).await;
    }
}

impl<P: WireProtocol> FrontNode<P> {
    /// Checks whether a silent server can be reached and answers.
    pub(crate) async fn check_silent_server(self: Arc<Self>, server: ServerKey) {
        let status = self.ask_status(server).await;
        if status == StatusOutcome::Unreached {
            self.record_unreached(server);
        }
        log::info!(server = self.server_name(server), status:? = status; "silent server checked");
    }

    /// Asks a server for its status. `shows_contact` tells that a connection that cannot be
    /// opened counts towards a loss of contact: where one was refused before, which is why
    /// the process is in doubt, another one shows nothing new.
    async fn probe_server(&self, server: ServerKey, shows_contact: bool) {
        match self.ask_status(server).await {
            StatusOutcome::Unreached if shows_contact => self.record_unreached(server),
            StatusOutcome::Answered | StatusOutcome::Unreached => {}
            StatusOutcome::Silent => {
                let now = self.clock.now();
                let change = self.lock().servers.record_unanswered(server, now);
                report_loss(change);
            }
        }
    }

    /// Asks a server for its status on a new connection.
    async fn ask_status(&self, server: ServerKey) -> StatusOutcome {
        let asked = self.ask_on_new_connection(server, self.probe_options());
        match asked.await {
            Ok(_) => StatusOutcome::Answered,
            Err(StatusError::Unlisted) => StatusOutcome::Unreached,
            Err(StatusError::Unreached(error)) => {
                log::debug!(server = self.server_name(server), error:% = error;
                    "server not reached");
                StatusOutcome::Unreached
            }
            Err(StatusError::Broken(_) | StatusError::Silent) => StatusOutcome::Silent,
        }
    }

    /// Options of a new connection that shows whether a server can be reached.
    fn probe_options(&self) -> ConnectOptions {
        ConnectOptions {
            connect_timeout: Duration::from_millis(self.settings.tuning.connect_ms),
            max_idle: Duration::ZERO,
            probe: false,
        }
    }

    /// Records that a server was reached.
    pub(crate) fn record_reached(&self, server: ServerKey) {
        let now = self.clock.now();
        let change = self.lock().servers.record_reached(server, now);
        if let Some(ContactChange::Regained { service, away }) = change {
            if away >= LASTING_LOSS {
                self.close_idle_connections(&service);
            }
            log::info!(service:% = service, away_ms = away.as_millis() as u64;
                "servers are reached again");
        }
    }

    /// Records that no connection to a server could be opened.
    pub(crate) fn record_unreached(&self, server: ServerKey) {
        let now = self.clock.now();
        let change = self.lock().servers.record_unreached(server, now);
        report_loss(change);
    }

    /// Whether another VM is in the region of this one.
    pub(crate) fn is_in_region(&self, vm: &VmId) -> bool {
        let state = self.lock();
        let record = state.vms.find(vm);
        record.is_some_and(|record| record.centre.region == self.location.region)
    }

    /// Closes connections that were opened before contact was lost and may be silent.
    fn close_idle_connections(&self, service: &ServiceName) {
        let entries: Vec<SocketAddr> = {
            let state = self.lock();
            let entries = state.servers.entries();
            let entries = entries.filter(|entry| entry.service == *service);
            entries.map(|entry| entry.address).collect()
        };
        for address in entries {
            self.pool.close_idle(address);
        }
    }
}

fn report_loss(change: Option<ContactChange>) {
    if let Some(ContactChange::Lost(service)) = change {
        log::warn!(service:% = service; "servers cannot be reached");
    }
}
