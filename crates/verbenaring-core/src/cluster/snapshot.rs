//! Configuration from other VMs.
//!
//! A VM that starts while the platform store is away, or that is cut off from
//! it, asks a VM whose reports show newer state. Revisions decide what is
//! taken over, so that asking too often changes nothing.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use verbenaring_policy::dispatch::call::RouteDocument;
use verbenaring_policy::dispatch::server::ServerFacts;
use verbenaring_policy::id::CentreName;

use crate::border::WireBorder;
use crate::caller::body::AnswerBody;
use crate::config::source::ConfigScope;
use crate::node::FrontNode;
use crate::upstream::pool::ConnectRules;

/// Path of the snapshot at the peer address.
pub const SNAPSHOT_PATH: &str = "/verbenaring/snapshot";
/// Time between checks for newer state.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// The same while the VM has no configuration and refuses every call.
const STARTING_CHECK_PERIOD: Duration = Duration::from_millis(30);
/// Time for which the own watch may be behind a report before a VM is asked.
const WATCH_LAG: Duration = Duration::from_millis(400);
/// Time limit of a snapshot; two round trips between regions and the transfer.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest snapshot that is read.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Configuration as one VM knows it.
#[derive(Debug, Serialize, Deserialize)]
struct ConfigSnapshot {
    routes: Option<RouteDocument>,
    evacuated: HashSet<CentreName>,
    servers: Option<Vec<ServerFacts>>,
    servers_revision: u64,
}

/// Asks other VMs for newer state until the process ends.
pub async fn catch_up<B: WireBorder>(node: Arc<FrontNode<B>>) {
    let mut behind: Option<Instant> = None;
    loop {
        let period = match node.is_known() {
            true => CHECK_PERIOD,
            false => STARTING_CHECK_PERIOD,
        };
        tokio::time::sleep(period).await;
        let Some(address) = node.newer_vm() else {
            behind = None;
            continue;
        };
        let since = *behind.get_or_insert_with(Instant::now);
        if since.elapsed() < WATCH_LAG && node.is_known() {
            continue;
        }
        behind = None;
        match tokio::time::timeout(SNAPSHOT_TIMEOUT, node.fetch_snapshot(address)).await {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => {
                log::warn!(address:% = address, reason = reason.as_str(); "snapshot not taken over");
            }
            Err(_) => log::warn!(address:% = address; "snapshot not received in time"),
        }
    }
}

impl<B: WireBorder> FrontNode<B> {
    /// VM that knows newer routes or servers.
    fn newer_vm(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let version = self.routes.load().version();
        let state = self.lock();
        let revision = state.servers.revision();
        let newer = state.vms.live(now).find(|(_, record)| {
            record.routes_version > version || record.servers_revision > revision
        });
        newer.map(|(_, record)| record.peer_address)
    }

    async fn fetch_snapshot(&self, address: SocketAddr) -> Result<(), String> {
        let request = Request::get(SNAPSHOT_PATH)
            .header("host", address.to_string())
            .body(Full::default())
            .map_err(|error| error.to_string())?;
        let rules = ConnectRules {
            timeout: SNAPSHOT_TIMEOUT,
            max_idle: Duration::ZERO,
        };
        let sent = self.pool.send(address, request, rules).await;
        let (answer, _lease) = sent.map_err(|fault| fault.to_string())?;
        let body = Limited::new(answer.into_body(), MAX_SNAPSHOT_BYTES);
        let body = body.collect().await.map_err(|error| error.to_string())?;
        let snapshot: ConfigSnapshot =
            postcard::from_bytes(&body.to_bytes()).map_err(|error| error.to_string())?;
        log::info!(address:% = address, revision = snapshot.servers_revision,
            version = snapshot.routes.as_ref().map_or(0, |routes| routes.version);
            "snapshot taken over");
        self.apply_snapshot(snapshot);
        Ok(())
    }

    fn apply_snapshot(&self, snapshot: ConfigSnapshot) {
        if let Some(document) = snapshot.routes {
            self.apply_routes(document);
            let operator = self.status(ConfigScope::Operator);
            if !operator.current.load(Ordering::Relaxed) {
                self.set_evacuated(snapshot.evacuated);
            }
            operator.known.store(true, Ordering::Relaxed);
        }
        if let Some(servers) = snapshot.servers {
            let listed: HashSet<_> = servers.iter().map(|facts| facts.id.clone()).collect();
            for facts in servers {
                self.apply_server(facts);
            }
            self.remove_unlisted(&listed, snapshot.servers_revision, Duration::ZERO);
            self.lock()
                .servers
                .reach_revision(snapshot.servers_revision);
            let status = self.status(ConfigScope::Servers);
            status.known.store(true, Ordering::Relaxed);
        }
    }

    /// Answers another VM with the own configuration.
    pub(crate) fn answer_snapshot(&self) -> Response<AnswerBody> {
        let known = |scope| self.status(scope).known.load(Ordering::Relaxed);
        let state = self.lock();
        let snapshot = ConfigSnapshot {
            routes: self
                .has_routes()
                .then(|| self.routes.load().document().clone()),
            evacuated: state.servers.evacuated().clone(),
            servers: known(ConfigScope::Servers)
                .then(|| state.servers.entries().cloned().collect()),
            servers_revision: state.servers.revision(),
        };
        drop(state);
        match postcard::to_allocvec(&snapshot) {
            Ok(bytes) => Response::new(AnswerBody::whole(Bytes::from(bytes))),
            Err(error) => {
                log::warn!(error:% = error; "snapshot not encoded");
                let mut answer = Response::new(AnswerBody::whole(Bytes::new()));
                *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                answer
            }
        }
    }
}
