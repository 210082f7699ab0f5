//! Records what servers state about themselves in their answers.

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use verbenaring_policy::dispatch::brittle::BrittlenessChange;
use verbenaring_policy::dispatch::build::BuildId;
use verbenaring_policy::dispatch::limit::{LimitChange, LimitUpdate, StatementSource};
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::id::{ServerId, ServiceName};

use super::call::{BUILD_HEADER, CallOrigin, PendingCall, SERVER_HEADER};
use crate::node::FrontNode;
use crate::wire::{ServerStatement, WireProtocol};

impl<P: WireProtocol> FrontNode<P> {
    /// Records whether a server of the service states that it is brittle.
    pub(super) fn record_brittleness(&self, service: &ServiceName, stated: bool) {
        let now = self.clock.now();
        let change = self.lock().servers.record_brittleness(service, stated, now);
        match change {
            Some(BrittlenessChange::Began) => {
                log::info!(service:% = service; "servers state that they are brittle");
            }
            Some(BrittlenessChange::Ended) => {
                log::info!(service:% = service; "servers are not brittle any more");
            }
            None => {}
        }
    }

    /// Names the server of an answer, and its software version, to the VM that forwarded
    /// the call.
    pub(super) fn name_server(
        &self,
        call: &PendingCall,
        server: Option<ServerKey>,
        build: Option<BuildId>,
        headers: &mut HeaderMap,
    ) {
        let Some(server) = server.filter(|_| call.origin == CallOrigin::Vm) else {
            return;
        };
        let state = self.lock();
        let entry = state.servers.entry(server);
        if let Some(id) = entry.and_then(|entry| HeaderValue::from_str(entry.id.as_str()).ok()) {
            headers.insert(SERVER_HEADER, id);
        }
        if let Some(BuildId(build)) = build {
            headers.insert(BUILD_HEADER, HeaderValue::from(build));
        }
    }

    /// Records the statement of an answer that came through another VM. This VM may send
    /// calls to the server as well.
    pub(super) fn record_passed_statement(&self, headers: &HeaderMap, statement: ServerStatement) {
        let named = headers.get(SERVER_HEADER);
        let named = named.and_then(|id| ServerId::new(id.to_str().ok()?).ok());
        let server = named.and_then(|id| self.lock().servers.key_of(&id));
        if let Some(server) = server {
            self.record_leaving(server, statement.leaving);
        }
    }

    fn record_leaving(&self, server: ServerKey, leaving: bool) {
        if leaving && self.lock().servers.record_leaving(server) {
            log::info!(server = self.server_name(server); "server states that it leaves");
        }
    }

    /// Records the statement of an answer.
    pub(super) fn record_statement(&self, server: ServerKey, statement: ServerStatement) {
        let now = self.clock.now();
        let change = {
            let servers = &mut self.lock().servers;
            let change = servers.record_limit(server, statement.limit, now);
            if let Some(pause) = statement.pause {
                servers.record_pause(server, pause, now);
            }
            change
        };
        if let Some(change) = change {
            self.log_limit(server, change);
        }
        if let Some(pause) = statement.pause {
            log::info!(server = self.server_name(server), pause_ms = pause.as_millis() as u64;
                "server wants no calls for some time");
        }
        self.record_leaving(server, statement.leaving);
    }

    /// Takes over what another VM told about limits of servers.
    pub(crate) fn merge_limits(&self, updates: &[LimitUpdate], source: StatementSource) {
        if updates.is_empty() {
            return;
        }
        let now = self.clock.now();
        let changes = self.lock().servers.merge_limits(updates, source, now);
        for (server, change) in changes {
            self.log_limit(server, change);
        }
    }

    fn log_limit(&self, server: ServerKey, change: LimitChange) {
        let name = self.server_name(server);
        match change {
            LimitChange::Named(limit) => {
                log::info!(server = name, limit_per_s = limit; "server names a limit");
            }
            LimitChange::Ended => log::info!(server = name; "limit of a server has ended"),
        }
    }
}
