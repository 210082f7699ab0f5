//! Last filter: records how a request ended.
//!
//! An [`AnswerRecord`] lives as long as the answer. It holds what must be
//! released when the answer ends in any way, so a caller that goes away frees
//! the same resources as one that reads to the end.

use std::sync::Arc;

use tokio::time::Instant;
use verbenaring_policy::id::{AttemptId, CustomerId};
use verbenaring_policy::outcome::RunOutcome;

use crate::backend::WorkGuard;
use crate::metrics::NodeMetrics;
use crate::timeline::{EventKind, TimelineRing};

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerEnd {
    Open,
    Whole,
    Broken,
}

/// What an answer holds and reports until it ends.
pub struct AnswerRecord {
    /// Request identifier towards the caller.
    pub request: Arc<str>,
    /// Try that the answer comes from.
    pub attempt: AttemptId,
    /// Customer of the request.
    pub customer: CustomerId,
    /// Time at which the request was accepted.
    pub accepted: Instant,
    /// Counters of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub timeline: Arc<TimelineRing>,
    /// Work counted at the backend server.
    pub guard: WorkGuard,
    tokens: u32,
    end: AnswerEnd,
}

impl AnswerRecord {
    /// Record of an answer whose head has arrived.
    pub fn new(
        request: Arc<str>,
        attempt: AttemptId,
        customer: CustomerId,
        accepted: Instant,
        observers: (&Arc<NodeMetrics>, &Arc<TimelineRing>),
        guard: WorkGuard,
    ) -> Self {
        Self {
            request,
            attempt,
            customer,
            accepted,
            metrics: observers.0.clone(),
            timeline: observers.1.clone(),
            guard,
            tokens: 0,
            end: AnswerEnd::Open,
        }
    }

    /// Counts relayed tokens.
    pub fn add_streamed(&mut self, tokens: u32) {
        if self.tokens == 0 && tokens > 0 {
            self.metrics
                .first_token
                .observe(self.accepted.elapsed().as_secs_f64());
        }
        self.add_tokens(tokens);
    }

    /// Counts the tokens of an answer that was not streamed.
    pub fn add_tokens(&mut self, tokens: u32) {
        self.tokens = self.tokens.saturating_add(tokens);
    }

    /// The answer continues on a new connection.
    pub fn resume(&self) {
        self.timeline
            .record(EventKind::StreamResumed, &self.request, Some(self.attempt));
    }

    /// The answer is whole.
    pub fn succeed(&mut self) {
        self.end = AnswerEnd::Whole;
        self.timeline
            .record(EventKind::AnswerWhole, &self.request, Some(self.attempt));
    }

    /// The answer broke.
    pub fn fail(&mut self, reason: &str) {
        self.end = AnswerEnd::Broken;
        self.timeline
            .record(EventKind::AnswerBroken, &self.request, Some(self.attempt));
        log::warn!("answer to request {} broke: {reason}", self.request);
    }
}

impl Drop for AnswerRecord {
    fn drop(&mut self) {
        let seconds = self.accepted.elapsed().as_secs_f64();
        self.metrics.request_seconds.observe(seconds);
        self.metrics.answer_tokens.inc_by(u64::from(self.tokens));
        let label = match self.end {
            AnswerEnd::Whole => "ran",
            AnswerEnd::Broken => RunOutcome::Unknown.as_str(),
            AnswerEnd::Open => "caller_gone",
        };
        self.metrics.requests.with_label_values(&[label]).inc();
        if self.end != AnswerEnd::Whole {
            self.guard.cancel();
        }
        if self.end == AnswerEnd::Open {
            self.timeline
                .record(EventKind::CallerGone, &self.request, Some(self.attempt));
        }
    }
}
