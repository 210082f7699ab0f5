//! Graceful shutdown of a VM.
//!
//! A stop is announced first, so that callers and other VMs leave this one. Then no new
//! call is accepted that could outlast the process, and open calls end or get their final
//! answer before it does.

use std::time::Duration;

use tokio::time::Instant;

use crate::caller::listener::ShutdownPhase;
use crate::node::{FrontNode, RunningNode};
use crate::wire::WireProtocol;

/// Time for which a stop is announced while calls are still accepted. Callers
/// use an answer of the directory for up to three times its time to live, 1 s.
const STOP_ANNOUNCEMENT_TIME: Duration = Duration::from_millis(2_900);
/// Largest part of the time until the exit for which a stop is announced. Calls that are
/// accepted later must be able to end before the process does.
const MAX_ANNOUNCEMENT_SHARE: f64 = 0.4;
/// Safety margin between the end of the last call and the kill.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// Time before the exit by which open calls get their final answers.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(200);

impl<P: WireProtocol> FrontNode<P> {
    /// Whether the shutdown of this VM has begun.
    pub fn is_stopping(&self) -> bool {
        *self.shutdown_phase.borrow() != ShutdownPhase::Serving
    }

    /// Whether a call that may last until `deadline` is accepted now. While the
    /// VM closes, it must be able to end before the process does.
    pub fn can_finish(&self, deadline: Instant) -> bool {
        let closing = *self.shutdown_phase.borrow() >= ShutdownPhase::Closing;
        !closing || self.last_answer_at().is_some_and(|last| deadline < last)
    }

    /// Time of the last answers; `None` as long as no stop has begun.
    fn last_answer_at(&self) -> Option<Instant> {
        let exit = self.exit_deadline.get()?;
        Some(*exit - FINAL_ANSWER_MARGIN)
    }

    /// Waits until open calls must be answered, because the process is about to end.
    pub(crate) async fn wait_for_last_answers(&self) {
        let mut phase = self.shutdown_phase.subscribe();
        let stopping = phase.wait_for(|phase| *phase != ShutdownPhase::Serving);
        // The sender lives as long as the node.
        let _ = stopping.await.is_ok();
        // Set before the phase.
        if let Some(last) = self.last_answer_at() {
            tokio::time::sleep_until(last).await;
        }
    }
}

impl<P: WireProtocol> RunningNode<P> {
    async fn wait_for_calls(&self) {
        self.connections.wait().await;
        self.node.stream_tasks.wait().await;
    }

    /// Shuts down gracefully: announces the stop, then waits for open calls
    /// until shortly before the end of the grace period.
    pub async fn stop(self) {
        let grace = self
            .node
            .settings
            .bounds
            .grace()
            .saturating_sub(EXIT_MARGIN);
        // If a stop is already in progress, its deadline is kept.
        let _ = self.node.exit_deadline.set(Instant::now() + grace);
        let ended = async {
            self.node
                .shutdown_phase
                .send_replace(ShutdownPhase::Announced);
            let announcement = grace.mul_f64(MAX_ANNOUNCEMENT_SHARE);
            tokio::time::sleep(STOP_ANNOUNCEMENT_TIME.min(announcement)).await;
            self.node
                .shutdown_phase
                .send_replace(ShutdownPhase::Closing);
            self.connections.close();
            self.node.stream_tasks.close();
            self.wait_for_calls().await;
            // Connections that were accepted meanwhile still get an answer; those
            // that were not are reset, which tells callers that nothing was read.
            self.node.shutdown_phase.send_replace(ShutdownPhase::Closed);
            self.wait_for_calls().await;
        };
        if tokio::time::timeout(grace, ended).await.is_err() {
            log::warn!(open_connections = self.connections.len(), streams = self.node.stream_tasks.len();
                "calls are still open at the end of the grace period");
        }
    }
}
