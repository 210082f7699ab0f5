//! Sends calls to servers, with regard to which process stands behind their entries.
//!
//! A connection belongs to one process. A call on a connection that was used before
//! reaches the process that answered on it; a new connection may lead to a later one, which
//! is asked for its start before a call is sent. The decisions are in
//! [`verbenaring_policy::dispatch::process`].

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Response;
use hyper::body::Incoming;
use verbenaring_policy::dispatch::process::{StartVerdict, StatedStart};
use verbenaring_policy::dispatch::server::{InFlightCall, ServerKey};
use verbenaring_policy::time::Moment;

use super::pool::{ConnectOptions, ConnectionLease, IdleSend, SendError};
use crate::node::FrontNode;
use crate::path::call::PendingCall;
use crate::path::exchange::AttemptRequest;
use crate::wire::WireProtocol;

/// Time limit for the answer to a status request that no call waits for.
const STATUS_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Largest answer to a status request that is read; it lists the calls that run.
const MAX_STATUS_BYTES: usize = 64 * 1024;

/// Connections that are opened for one attempt. Servers close some of them after a report,
/// and those of a former process are not used.
const MAX_ASKED_CONNECTIONS: usize = 3;

/// Why a server did not state its status.
#[derive(Debug, thiserror::Error)]
pub(super) enum StatusError {
    /// The server is not listed any more.
    #[error("the server is not listed any more")]
    Unlisted,
    /// No connection could be opened.
    #[error("{0}")]
    Unreached(SendError),
    /// The connection failed after the request was sent.
    #[error("no status: {0}")]
    Broken(String),
    /// No answer came in time.
    #[error("no status within {STATUS_TIMEOUT:?}")]
    Silent,
}

impl<P: WireProtocol> FrontNode<P> {
    /// Sends an attempt and waits for the head of its answer.
    pub(crate) async fn send_attempt(
        &self,
        call: &PendingCall,
        attempt: AttemptRequest,
    ) -> Result<(Response<Incoming>, ConnectionLease), SendError> {
        let AttemptRequest {
            request,
            address,
            options,
            work,
            role,
            ..
        } = attempt;
        call.running.set(role, true);
        let mut work = work.filter(|_| call.service_settings.cold_rate > 0.0);
        let may_send = || match &mut work {
            Some(work) => self.may_send_now(call, work, address),
            None => true,
        };
        let sent = self
            .pool
            .send_on_idle(address, request, options, may_send)
            .await?;
        let request = match sent {
            IdleSend::Answered(answer, lease) => return Ok((answer, lease)),
            IdleSend::Unsent(request) => request,
        };
        call.running.set(role, false);
        let lease = match work {
            Some(mut work) => self.open_asked(call, &mut work, address, options).await?,
            None => self.pool.open(address, options).await?,
        };
        call.running.set(role, true);
        lease.send(request).await
    }

    /// Opens a connection to a server on which its process has stated its start, and on
    /// which the call may be sent.
    async fn open_asked(
        &self,
        call: &PendingCall,
        work: &mut InFlightCall,
        address: SocketAddr,
        options: ConnectOptions,
    ) -> Result<ConnectionLease, SendError> {
        let server = work.key;
        for _ in 0..MAX_ASKED_CONNECTIONS {
            let asked_at = self.clock.now();
            let mut lease = self.pool.open(address, options).await?;
            let asked = self.ask_start(server, address, asked_at, &mut lease).await;
            let verdict = asked.map_err(|error| SendError::NoReport(error.to_string()))?;
            self.log_new_connection(call, server, verdict);
            match verdict {
                StartVerdict::Former => continue,
                // The next call asks again.
                StartVerdict::Concealed => lease.close_after_use(),
                StartVerdict::Unstated | StartVerdict::Known | StartVerdict::Restarted => {}
            }
            if !self.may_send_now(call, work, address) {
                return Err(SendError::Withdrawn);
            }
            if lease.is_open().await {
                return Ok(lease);
            }
        }
        Err(SendError::NoReport("closed after it".to_owned()))
    }

    /// Asks the process at the other end of a connection for its start; the connection was
    /// opened at `asked_at` or later. A call that waits for the answer is given up like one
    /// that was sent: sound servers may stand still.
    async fn ask_start(
        &self,
        server: ServerKey,
        address: SocketAddr,
        asked_at: Moment,
        lease: &mut ConnectionLease,
    ) -> Result<StartVerdict, StatusError> {
        let id = {
            let state = self.lock();
            state.servers.entry(server).map(|entry| entry.id.clone())
        };
        let id = id.ok_or(StatusError::Unlisted)?;
        let asked = lease.ask(P::status_request(&id), MAX_STATUS_BYTES).await;
        let answer = asked.map_err(StatusError::Broken)?;
        self.record_reached(server);
        let stated = StatedStart {
            born: P::read_start(answer.status(), answer.body()),
            asked_at,
        };
        // Meanwhile, the server may have started again at another address.
        let is_there = self.lock().servers.is_at(server, address);
        Ok(match is_there {
            true => self.record_start(server, stated),
            false => StartVerdict::Unstated,
        })
    }

    fn record_start(&self, server: ServerKey, stated: StatedStart) -> StartVerdict {
        let now = self.clock.now();
        let routes = self.routes.load();
        let (verdict, id) = {
            let servers = &mut self.lock().servers;
            servers.record_heard(server, now);
            let entry = servers.entry(server);
            let cold = entry.and_then(|entry| routes.service(&entry.service));
            let cold = cold.map_or(Duration::ZERO, |settings| settings.cold);
            let id = entry.map(|entry| entry.id.clone());
            (servers.record_start(server, stated, cold, now), id)
        };
        if let (StartVerdict::Restarted, Some(id)) = (verdict, id) {
            self.metrics.restarted_servers.inc();
            log::info!(server:% = id, born = stated.born; "server states that it has started again");
            self.record_server_start(&id);
        }
        verdict
    }

    fn may_send_now(
        &self,
        call: &PendingCall,
        work: &mut InFlightCall,
        address: SocketAddr,
    ) -> bool {
        let now = self.clock.now();
        let request = call.placement_request(&[]);
        let mut state = self.lock();
        let vms = self.region_view(&state, now);
        let servers = &mut state.servers;
        servers.is_at(work.key, address) && servers.may_send_now(work, &request, &vms, now)
    }

    /// Logs what is known of the process that a call reaches on a new connection.
    fn log_new_connection(&self, call: &PendingCall, server: ServerKey, verdict: StartVerdict) {
        let now = self.clock.now();
        let signs = self.lock().servers.process_signs(server, now);
        let Some((signs, suppressed)) = signs.zip(self.allow_log_line(false)) else {
            return;
        };
        let ms = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
        log::info!(request = call.metadata.attempt_id.as_str(),
            server = self.server_name(server), start:? = verdict, born = signs.born,
            cold = signs.cold, entry_age_ms = ms(Some(signs.entry_age)),
            heard_ago_ms = ms(signs.heard_ago), refused_ago_ms = ms(signs.refused_ago),
            suppressed_lines = suppressed; "connection opened for a call");
    }

    /// Asks a server for its status on a new connection, which is not kept.
    pub(super) async fn ask_on_new_connection(
        &self,
        server: ServerKey,
        options: ConnectOptions,
    ) -> Result<StartVerdict, StatusError> {
        let address = {
            let state = self.lock();
            state.servers.entry(server).map(|entry| entry.address)
        };
        let address = address.ok_or(StatusError::Unlisted)?;
        let asked_at = self.clock.now();
        let opened = self.pool.open(address, options).await;
        let mut lease = opened.map_err(StatusError::Unreached)?;
        let asking = self.ask_start(server, address, asked_at, &mut lease);
        let asked = tokio::time::timeout(STATUS_TIMEOUT, asking).await;
        asked.unwrap_or(Err(StatusError::Silent))
    }
}
