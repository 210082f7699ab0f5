//! Checks whether a server has ended when the end of an answer raises the question.
//!
//! A broken connection alone does not tell a server that has ended from one that failed
//! a single call, and the end of a connection does not show that an answer without
//! another mark of its end is complete. Nothing listens at the address of a server that
//! has ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaring_policy::dispatch::evidence::CallParts;
use verbenaring_policy::dispatch::server::ServerKey;

use super::pool::ConnectOptions;
use crate::node::FrontNode;
use crate::path::framing::AnswerFraming;
use crate::wire::WireProtocol;

/// Time limit for the connection by which a server is checked.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

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
    let known = {
        let state = node.lock();
        let address = state.servers.entry(server).map(|entry| entry.address);
        address.zip(state.servers.boot_hash(server))
    };
    let ended = match known {
        Some((address, _)) => node.pool.is_refused(address, CHECK_OPTIONS).await,
        None => false,
    };
    let mut state = node.lock();
    let broken = state.runs.take_break(server);
    let Some((_, boot)) = known.filter(|_| ended) else {
        return;
    };
    let now = node.clock.now();
    state.suspects.record_crash(boot, &broken.calls, now);
    drop(state);
    node.metrics.ended_servers.inc();
    let calls: Vec<String> = broken.calls.iter().map(hex_ids).collect();
    log::warn!(server = node.server_name(server), calls = calls.join(" ");
        "server ended while it answered");
    node.log_quarantines();
}

impl<P: WireProtocol> FrontNode<P> {
    /// Whether the end of an answer is that of its server, so that the answer may have been
    /// cut. A server that shuts down may close its listener before its last answers end.
    pub(crate) async fn ended_with_answer(
        &self,
        framing: AnswerFraming,
        server: Option<ServerKey>,
    ) -> bool {
        let address = server
            .filter(|_| framing == AnswerFraming::Connection)
            .and_then(|server| self.serving_address(server));
        match address {
            Some(address) => self.pool.is_refused(address, CHECK_OPTIONS).await,
            None => false,
        }
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
