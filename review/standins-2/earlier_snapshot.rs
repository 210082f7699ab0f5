//! Configuration snapshots from other VMs.
//!
//! A VM that does not watch the source, that starts while the source is
//! unavailable or that cannot reach it, asks a VM whose reports show newer
//! state. Only newer revisions are applied, so that redundant requests have no
//! effect. The request states the known revisions, so that the answer contains
//! only what is new.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use verbenaring_policy::dispatch::call::{AccessRules, RouteDocument};
use verbenaring_policy::dispatch::changes::{RemovedServer, ServerChanges};
use verbenaring_policy::dispatch::presence::VmRecord;
use verbenaring_policy::id::CentreName;

use crate::caller::body::AnswerBody;
use crate::config::source::ConfigScope;
use crate::node::FrontNode;
use crate::upstream::pool::ConnectOptions;
use crate::upstream::request_body::RequestBody;
use crate::wire::WireProtocol;

/// Path of the snapshot at the peer address.
pub const SNAPSHOT_PATH: &str = "/verbenaring/snapshot";
/// Time between checks whether another VM reports newer state.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// The same while the VM has no configuration and refuses every call.
const STARTING_CHECK_PERIOD: Duration = Duration::from_millis(30);
/// Time for which the watch of this VM may lag behind the reports of others, on
/// top of its pause, before a snapshot is requested.
const MAX_WATCH_LAG: Duration = Duration::from_millis(400);
/// Time limit for fetching a snapshot; covers two round trips between regions
/// and the transfer.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Idle time after which a connection to another VM is not reused.
const MAX_IDLE: Duration = Duration::from_secs(5);
/// Largest snapshot that is accepted.
const MAX_SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;

/// Configuration of one VM, as far as it is new to the VM that asks.
#[derive(Debug, Serialize, Deserialize)]
struct ConfigSnapshot {
    /// Routes, if they are newer than those of the VM that asks.
    routes: Option<RouteDocument>,
    evacuated: HashSet<CentreName>,
    /// Revision of the evacuations; `None` if they are not known.
    operator_revision: Option<u64>,
    servers: Option<ServerChanges>,
}

/// Format of the access rules behind a snapshot.
const ACCESS_RULES_FORMAT: u8 = 1;

impl ConfigSnapshot {
    /// Encodes the snapshot and behind it the access rules of its routes, which earlier
    /// builds ignore.
    fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let bytes = postcard::to_allocvec(self)?;
        Ok(bytes)
    }

    /// Decodes a snapshot. Routes without access rules, as earlier builds state them, are
    /// left out: callers of a tenant would need no key.
    fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let (snapshot, rest): (Self, _) = postcard::take_from_bytes(bytes)?;
        let rules: Option<AccessRules> = match rest.split_first() {
            Some((&ACCESS_RULES_FORMAT, rules)) => Some(postcard::from_bytes(rules)?),
            Some(_) | None => None,
        };
        let _ = rules;
        Ok(snapshot)
    }
}

/// Revisions that the VM that asks already has; 0 where it has nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct KnownRevisions {
    routes_version: u64,
    servers_revision: u64,
}

impl KnownRevisions {
    fn to_query(self) -> String {
        let Self {
            routes_version,
            servers_revision,
        } = self;
        format!("routes={routes_version}&servers={servers_revision}")
    }

    /// Reads a query; missing or invalid values count as 0.
    fn read(query: Option<&str>) -> Self {
        let mut known = Self::default();
        let pairs = query.unwrap_or_default().split('&');
        for (name, value) in pairs.filter_map(|pair| pair.split_once('=')) {
            let value = value.parse().unwrap_or_default();
            match name {
                "routes" => known.routes_version = value,
                "servers" => known.servers_revision = value,
                _ => {}
            }
        }
        known
    }
}

/// Requests snapshots from VMs that report newer state until the process ends.
pub async fn poll_snapshots<P: WireProtocol>(node: Arc<FrontNode<P>>) {
    let mut behind_since: Option<Instant> = None;
    loop {
        let period = match node.is_configured() {
            true => CHECK_PERIOD,
            false => STARTING_CHECK_PERIOD,
        };
        tokio::time::sleep(period).await;
        let Some(address) = node.vm_with_newer_config() else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert_with(Instant::now);
        if since.elapsed() < MAX_WATCH_LAG + node.watch_pause()
            && node.is_configured()
            && node.is_watching()
        {
            continue;
        }
        behind_since = None;
        match tokio::time::timeout(SNAPSHOT_TIMEOUT, node.fetch_snapshot(address)).await {
            Ok(Ok(())) => {}
            Ok(Err(reason)) => node.record_snapshot_failure(address, &reason),
            Err(_) => {
                node.pool.close_idle(address);
                node.record_snapshot_failure(address, "no answer in time");
            }
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    fn record_snapshot_failure(&self, address: SocketAddr, reason: &str) {
        log::warn!(address:% = address, reason = reason; "failed to fetch snapshot");
        let now = self.clock.now();
        self.lock().record_snapshot_failure(now);
    }

    /// Peer address of a VM that reports newer configuration than this VM has.
    fn vm_with_newer_config(&self) -> Option<SocketAddr> {
        let now = self.clock.now();
        let version = self.routes.load().version();
        let state = self.lock();
        let revision = state.servers.revision();
        let newer = state.vms.live(now).map(|(_, record)| record);
        let newer = newer.filter(|record| {
            record.routes_version > version
                || record.operator_revision > state.operator_revision
                || record.servers_revision > revision
        });
        // Prefer VMs in this data centre, which are nearest, and among them those
        // that watch, which are the most current.
        let rank = |record: &&VmRecord| {
            let near = record.centre.region == self.location.region;
            let same_centre = record.centre == self.location;
            (near, same_centre, record.watching, rand::random::<u32>())
        };
        let nearest = newer
            .map(|record| (rank(&record), record))
            .max_by_key(|(rank, _)| *rank);
        nearest.map(|(_, record)| record.peer_address)
    }

    async fn fetch_snapshot(&self, address: SocketAddr) -> Result<(), String> {
        let known = KnownRevisions {
            routes_version: match self.has_routes() {
                true => self.routes.load().version(),
                false => 0,
            },
            servers_revision: match self.status(ConfigScope::Servers).is_known() {
                true => self.lock().servers.revision(),
                false => 0,
            },
        };
        let request = Request::get(format!("{SNAPSHOT_PATH}?{}", known.to_query()))
            .header("host", address.to_string())
            .body(RequestBody::default())
            .map_err(|error| error.to_string())?;
        let options = ConnectOptions {
            connect_timeout: SNAPSHOT_TIMEOUT,
            max_idle: MAX_IDLE,
            probe: false,
        };
        let sent = self.pool.send(address, request, options).await;
        let (answer, lease) = sent.map_err(|error| error.to_string())?;
        let body = Limited::new(answer.into_body(), MAX_SNAPSHOT_BYTES);
        let body = body.collect().await.map_err(|error| error.to_string())?;
        lease.release();
        let snapshot =
            ConfigSnapshot::decode(&body.to_bytes()).map_err(|error| error.to_string())?;
        if snapshot.routes.is_none() && !self.has_routes() {
            return Err("no routes that this build understands".to_owned());
        }
        let servers = snapshot.servers.as_ref();
        log::info!(address:% = address,
            operator_revision = snapshot.operator_revision.unwrap_or_default(),
            servers_revision = servers.map_or(0, |changes| changes.revision),
            entries = servers.map_or(0, |changes| changes.entries.len()),
            complete = servers.is_some_and(|changes| changes.complete),
            version = snapshot.routes.as_ref().map_or(0, |routes| routes.version);
            "snapshot taken over");
        self.apply_snapshot(snapshot);
        Ok(())
    }

    fn apply_snapshot(&self, snapshot: ConfigSnapshot) {
        if let Some(document) = snapshot.routes {
            self.apply_routes(document);
        }
        if let Some(revision) = snapshot.operator_revision {
            if revision > self.lock().operator_revision {
                self.set_evacuated(snapshot.evacuated);
                self.lock().operator_revision = revision;
            }
            if self.has_routes() {
                self.status(ConfigScope::Operator).set_known();
            }
        }
        if let Some(changes) = snapshot.servers {
            self.apply_server_changes(changes);
            self.status(ConfigScope::Servers).set_known();
        }
    }

    fn apply_server_changes(&self, changes: ServerChanges) {
        let mut named: HashSet<_> = changes
            .entries
            .iter()
            .map(|entry| entry.id.clone())
            .collect();
        for entry in changes.entries {
            self.apply_server(entry);
        }
        for removed in changes.removed {
            let RemovedServer {
                id,
                revision,
                grace,
            } = removed;
            named.insert(id.clone());
            self.remove_server(&id, revision, grace);
        }
        if changes.complete {
            self.remove_unlisted(&named, changes.revision, Duration::ZERO);
        }
        self.lock().servers.advance_revision(changes.revision);
    }

    /// Answers another VM with the configuration that is new to it.
    pub(crate) fn answer_snapshot(&self, query: Option<&str>) -> Response<AnswerBody> {
        let known = KnownRevisions::read(query);
        let is_known = |scope| self.status(scope).is_known();
        let now = self.clock.now();
        let routes = self.routes.load();
        let state = self.lock();
        let snapshot = ConfigSnapshot {
            routes: (self.has_routes() && routes.version() > known.routes_version)
                .then(|| routes.document().clone()),
            evacuated: state.servers.evacuated().clone(),
            operator_revision: is_known(ConfigScope::Operator).then_some(state.operator_revision),
            servers: is_known(ConfigScope::Servers)
                .then(|| state.servers.changes_since(known.servers_revision, now)),
        };
        drop(state);
        match snapshot.encode() {
            Ok(bytes) => Response::new(AnswerBody::whole(Bytes::from(bytes))),
            Err(error) => {
                log::warn!(error:% = error; "failed to encode snapshot");
                let mut answer = Response::new(AnswerBody::whole(Bytes::new()));
                *answer.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
                answer
            }
        }
    }
}
