//! Checks whether a server has ended when the end of an answer raises the question.
//!
//! A broken connection alone does not tell a server that has ended from one that failed
//! a single call, and the end of a connection does not show that an answer without
//! another mark of its end is complete. Nothing listens at the address of a server that
//! has ended, until the next one starts there. A server that listens is looked at again,
//! and what is published of its address later decides as well.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaring_policy::dispatch::doubt::{EndedServer, RECHECK_DELAY};
use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::id::ServerId;

use super::pool::{ConnectOptions, ConnectionLease, ListenerState};
use crate::node::FrontNode;
use crate::path::framing::AnswerFraming;
use crate::wire::WireProtocol;

/// Time limit for the connection by which a server is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which a server that ends closes what it still accepted.
const CLOSE_TIME: Duration = Duration::from_millis(20);
/// Pauses before the looks at a server that closes connections. One that ends refuses them
/// soon, one that has too many does not.
const CLOSING_LOOKS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(30),
    Duration::from_millis(100),
];

const CHECK_OPTIONS: ConnectOptions = ConnectOptions {
    connect_timeout: CHECK_TIMEOUT,
    max_idle: Duration::ZERO,
    probe: false,
};

/// Checks servers whenever answers have broken off, until the process ends.
pub(crate) async fn check_servers<P: WireProtocol>(node: Arc<FrontNode<P>>) {
    loop {
        node.server_check.notified().await;
        let unchecked = node.lock().runs.take_unchecked();
        for server in unchecked {
            tokio::spawn(check_server(node.clone(), server));
        }
    }
}

async fn check_server<P: WireProtocol>(node: Arc<FrontNode<P>>, server: ServerKey) {
    let broke_at = node.clock.now();
    let known = {
        let mut state = node.lock();
        let broken = state.runs.take_break(server);
        let address = state.servers.entry(server).map(|entry| entry.address);
        let known = address.zip(state.servers.boot_hash(server));
        if let Some((address, boot)) = known {
            state.doubtful.hold(server, address, boot, broken, broke_at);
        }
        known
    };
    let Some((address, _)) = known else {
        return;
    };
    for pause in [Duration::ZERO, RECHECK_DELAY] {
        tokio::time::sleep(pause).await;
        if node.pool.is_refused(address, CHECK_OPTIONS).await {
            let ended = node.lock().doubtful.record_refusal(server);
            node.record_ended(ended);
            return;
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    /// Records that a server is published that was not there before, or has started again.
    pub(crate) fn record_server_start(&self, id: &ServerId) {
        let ended = {
            let mut state = self.lock();
            let key = state.servers.key_of(id);
            let address = key.and_then(|key| Some(state.servers.entry(key)?.address));
            let boot = key.and_then(|key| state.servers.boot_hash(key));
            let (Some(key), Some(address), Some(boot)) = (key, address, boot) else {
                return;
            };
            state.doubtful.record_start(key, address, boot)
        };
        self.record_ended(ended);
    }

    /// Records the servers that have ended while they answered calls.
    fn record_ended(&self, ended: impl IntoIterator<Item = EndedServer>) {
        for ended in ended {
            let now = self.clock.now();
            self.lock()
                .suspects
                .record_earlier_crash(ended.boot, &ended.calls, ended.at, now);
            self.metrics.ended_servers.inc();
            let calls: Vec<String> = ended.calls.iter().map(hex_ids).collect();
            log::warn!(server = self.server_name(ended.server), calls = calls.join(" "),
                known_after_ms = now.since(ended.at).as_millis() as u64;
                "server ended while it answered");
            self.log_quarantines();
        }
    }

    /// Whether the end of an answer is that of its server, or of a connection that was reset,
    /// so that the answer may have been cut.
    pub(crate) async fn ended_with_answer(
        &self,
        framing: AnswerFraming,
        server: Option<ServerKey>,
        lease: &ConnectionLease,
    ) -> bool {
        if framing != AnswerFraming::Connection {
            return false;
        }
        let address = server.and_then(|server| self.serving_address(server));
        let (reset, ended) = tokio::join!(lease.was_reset(), self.has_ended(address));
        reset || ended
    }

    /// Whether the server at an address has ended. One that shuts down may close its listener
    /// before its last answers end, and has no address here.
    async fn has_ended(&self, address: Option<SocketAddr>) -> bool {
        let Some(address) = address else {
            return false;
        };
        for pause in CLOSING_LOOKS {
            tokio::time::sleep(pause).await;
            let looked = self.pool.look_at(address, CHECK_OPTIONS, CLOSE_TIME);
            match looked.await {
                ListenerState::Refuses => return true,
                ListenerState::Accepts | ListenerState::Unknown => return false,
                ListenerState::Closes => {}
            }
        }
        false
    }

    /// Address of a server that is not known to shut down.
    fn serving_address(&self, server: ServerKey) -> Option<SocketAddr> {
        let state = self.lock();
        let entry = state.servers.entry(server)?;
        (!state.servers.is_leaving(server)).then_some(entry.address)
    }
}

/// Ids of a call and of the shared parts of its prompt, as logs show them.
fn hex_ids(call: &CallParts) -> String {
    let shared: Vec<String> = call
        .shared
        .iter()
        .map(|part| format!("{part:08x}"))
        .collect();
    format!("{:08x}:{}", call.request, shared.join(","))
}
