//! Accounts for the work of one attempt.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use verbenaring_policy::dispatch::build::BuildId;
use verbenaring_policy::dispatch::run::RunKey;
use verbenaring_policy::dispatch::server::{CallOutcome, InFlightCall, ServerKey};

use super::call::PendingCall;
use super::choose::ChosenServer;
use super::framing::AnswerFraming;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Interval at which it is recorded that a server is heard.
const HEARD_INTERVAL: Duration = Duration::from_millis(50);

/// Removes the work of an attempt from the load of its server when dropped.
pub struct WorkGuard<P: WireProtocol> {
    node: Arc<FrontNode<P>>,
    work: Option<InFlightCall>,
    /// Address to which the call was sent, if to a server.
    address: Option<SocketAddr>,
    run: Option<RunKey>,
    build: Option<BuildId>,
    sent: Instant,
    /// When it was last recorded that the server is heard.
    heard: Instant,
    forecast: Duration,
    answered: bool,
    framing: Option<AnswerFraming>,
    end: CallOutcome,
    withdrawn: bool,
}

impl<P: WireProtocol> WorkGuard<P> {
    /// Guard of a call that is sent to a server.
    pub(super) fn at_server(
        node: &Arc<FrontNode<P>>,
        call: &PendingCall,
        server: &ChosenServer,
    ) -> Self {
        let now = node.clock.now();
        let run = node
            .lock()
            .runs
            .record_sent(server.work.key, call.parts.clone(), now);
        let mut guard = Self::at_vm(node, server.forecast);
        guard.work = Some(server.work);
        guard.address = Some(server.address);
        guard.run = Some(run);
        guard.build = server.build;
        guard
    }

    /// Guard of a call that is forwarded to a VM, which accounts for the work itself.
    pub(super) fn at_vm(node: &Arc<FrontNode<P>>, forecast: Duration) -> Self {
        Self {
            node: node.clone(),
            work: None,
            address: None,
            run: None,
            build: None,
            sent: Instant::now(),
            heard: Instant::now(),
            forecast,
            answered: false,
            framing: None,
            end: CallOutcome::Abandoned,
            withdrawn: false,
        }
    }

    /// Records that the server has begun an answer with this framing.
    pub(super) fn record_begun(&mut self, framing: AnswerFraming) {
        self.framing = Some(framing);
        if let Some(run) = self.run {
            let now = self.node.clock.now();
            self.node.lock().runs.record_begun(run, now);
        }
    }

    /// Records that the first event or the whole answer has arrived. Later calls
    /// have no effect.
    pub fn record_first_event(&mut self) {
        if self.answered {
            return;
        }
        self.answered = true;
        let Some(work) = &self.work else {
            return;
        };
        let now = self.node.clock.now();
        self.node.lock().servers.record_first_event(work, now);
        let error = self.sent.elapsed().abs_diff(self.forecast);
        let metrics = &self.node.metrics;
        metrics.forecast_error.observe(error.as_secs_f64());
    }

    /// Records that a part of the answer has arrived.
    pub(super) fn record_part(&mut self) {
        let Some(server) = self.current_server() else {
            return;
        };
        let now = Instant::now();
        if now.saturating_duration_since(self.heard) >= HEARD_INTERVAL {
            self.heard = now;
            let now = self.node.clock.now();
            self.node.lock().servers.record_heard(server, now);
        }
    }

    /// Sets the result that is recorded for the server on drop;
    /// [`CallOutcome::Abandoned`] if it is never set.
    pub fn set_end(&mut self, end: CallOutcome) {
        self.end = end;
    }

    /// Records that the call was not sent after all.
    pub(super) fn withdraw(&mut self) {
        self.withdrawn = true;
    }

    /// Software version that the server had shown when the call was placed.
    pub(super) fn build(&self) -> Option<BuildId> {
        self.build
    }

    /// Server that does the work; `None` for a call forwarded to a VM.
    pub fn server(&self) -> Option<ServerKey> {
        self.work.map(|work| work.key)
    }

    /// Like [`Self::server`]; `None` if the next process of the server is listed at another
    /// address, of which this work says nothing.
    pub fn current_server(&self) -> Option<ServerKey> {
        let (server, address) = self.server().zip(self.address)?;
        let is_there = self.node.lock().servers.is_at(server, address);
        is_there.then_some(server)
    }
}

impl<P: WireProtocol> Drop for WorkGuard<P> {
    fn drop(&mut self) {
        if self.current_server().is_none() && self.work.is_some() {
            self.end = CallOutcome::Abandoned;
        }
        let now = self.node.clock.now();
        let mut state = self.node.lock();
        match &self.work {
            Some(work) if self.withdrawn => state.servers.withdraw(work, now),
            Some(work) => state.servers.record_end(work, self.answered, self.end, now),
            None => {}
        }
        match (self.run, self.end) {
            (Some(run), CallOutcome::Broken) => {
                state.runs.record_break(run);
                self.node.server_check.notify_one();
            }
            (Some(run), end) => {
                let parts = state.runs.record_end(run);
                // An answer without a marked end may have been cut between two events.
                let complete =
                    end == CallOutcome::Good && self.framing != Some(AnswerFraming::Connection);
                if let Some(parts) = parts.filter(|_| complete) {
                    state.suspects.record_complete(&parts, now);
                    if let Some(work) = &self.work {
                        let sent_at = self.node.clock.moment(self.sent);
                        state.doubtful.record_answer(work.key, sent_at);
                    }
                }
            }
            (None, _) => {}
        }
    }
}
