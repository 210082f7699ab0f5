//! Last filter: records how a request ended.
//!
//! An [`AnswerRecord`] lives as long as the answer and holds what must be
//! released at its end. So a caller that goes away frees the same resources as
//! one that reads to the end.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;
use verbenaring_policy::id::{AttemptId, CustomerId, MemberId};
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::usage::UsageCounters;

use crate::admit::AdmissionGuard;
use crate::backend::BackendTable;
use crate::guard::WorkGuard;
use crate::metrics::NodeMetrics;
use crate::schedule::SlotGuard;
use crate::timeline::{EventKind, TimelineRing};
use crate::usage::UsageLedger;
use crate::work::PendingWork;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerEnd {
    /// Still being sent; on drop, the caller has gone away.
    Unfinished,
    Complete,
    Failed,
}

/// Resources that a request holds over all its attempts, freed on drop.
#[derive(Default)]
pub struct RequestGuards {
    /// Slot of the node's queue; `None` for requests without a queue.
    pub slot: Option<SlotGuard>,
    /// Admission under the contract; `None` for forwarded requests, which the
    /// forwarding node admitted.
    pub admission: Option<AdmissionGuard>,
}

/// Components that are told about the progress and end of answers.
#[derive(Clone)]
pub struct AnswerObservers {
    /// Metrics of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Recent events of requests at this node.
    pub timeline: Arc<TimelineRing>,
    /// Backend servers of the data centre; successes raise the retry budget.
    pub backends: Arc<BackendTable>,
    /// Usage by customer.
    pub usage: Arc<UsageLedger>,
}

/// Progress of one answer; dropping it reports the result and frees the
/// resources.
pub struct AnswerRecord {
    request_id: Arc<str>,
    attempt: AttemptId,
    customer: CustomerId,
    member: MemberId,
    accepted: Instant,
    observers: AnswerObservers,
    guard: Option<WorkGuard>,
    guards: RequestGuards,
    prompt_tokens: u32,
    tokens: u32,
    end: AnswerEnd,
}

impl AnswerRecord {
    /// Starts the record of an answer whose status and headers have arrived.
    ///
    /// `guard` is `None` if another node runs the request.
    pub fn new(
        work: &PendingWork,
        attempt: AttemptId,
        observers: &AnswerObservers,
        guard: Option<WorkGuard>,
        guards: RequestGuards,
    ) -> Self {
        Self {
            request_id: work.request_id.clone(),
            attempt,
            customer: work.entry.terms.customer.clone(),
            member: work.entry.terms.member.clone(),
            accepted: work.accepted,
            observers: observers.clone(),
            guard,
            guards,
            prompt_tokens: work.size.prompt_tokens,
            tokens: 0,
            end: AnswerEnd::Unfinished,
        }
    }

    /// Counts tokens of a streamed answer; the first ones set the time to first
    /// token.
    pub fn add_streamed(&mut self, tokens: u32) {
        if self.tokens == 0 && tokens > 0 {
            let seconds = self.accepted.elapsed().as_secs_f64();
            self.observers.metrics.first_token_seconds.observe(seconds);
        }
        self.add_tokens(tokens);
    }

    /// Counts tokens without measuring the time to first token.
    pub fn add_tokens(&mut self, tokens: u32) {
        self.tokens = self.tokens.saturating_add(tokens);
        if let Some(guard) = &mut self.guard {
            guard.record_progress(tokens);
        }
        if let Some(slot) = &mut self.guards.slot {
            slot.progress(self.prompt_tokens.saturating_add(self.tokens));
        }
    }

    /// Whether the stream may be resumed after it broke.
    pub fn may_resume(&self) -> bool {
        self.guard.as_ref().is_none_or(WorkGuard::may_resume)
    }

    /// Records that a resume is sent.
    pub fn start_resume(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.record_resume();
        }
    }

    /// Records that the server did not take a resume.
    pub fn end_resume(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.record_no_resume();
        }
    }

    /// Records that the stream was resumed on a new connection.
    pub fn record_resume(&self) {
        self.record_event(EventKind::StreamResumed);
    }

    /// Address of the server that answers; `None` if it is leaving or another node
    /// runs the request.
    pub fn serving_address(&self) -> Option<SocketAddr> {
        self.guard.as_ref()?.serving_address()
    }

    /// Records that the answer is complete.
    pub fn succeed(&mut self) {
        self.end = AnswerEnd::Complete;
        if let Some(guard) = &mut self.guard {
            guard.mark_complete();
        }
        self.observers.backends.record_success(&self.customer);
        self.record_event(EventKind::AnswerWhole);
    }

    /// Records that the server seems to have crashed during the answer.
    pub fn record_crash(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.record_crash();
        }
    }

    /// Records that the answer failed after it had begun.
    pub fn fail(&mut self, reason: &str) {
        self.end = AnswerEnd::Failed;
        self.record_event(EventKind::AnswerBroken);
        log::warn!("answer to request {} failed: {reason}", self.request_id);
    }

    fn record_event(&self, kind: EventKind) {
        self.observers
            .timeline
            .record(kind, &self.request_id, Some(self.attempt));
    }
}

impl Drop for AnswerRecord {
    fn drop(&mut self) {
        let total = self.prompt_tokens.saturating_add(self.tokens);
        if let Some(admission) = &mut self.guards.admission {
            admission.set_tokens(total);
        }
        if let Some(slot) = &mut self.guards.slot {
            slot.set_tokens(total);
        }
        let metrics = &self.observers.metrics;
        metrics.answer_tokens.inc_by(u64::from(self.tokens));
        let label = match self.end {
            AnswerEnd::Complete => "ran",
            AnswerEnd::Failed => RunOutcome::Unknown.as_str(),
            AnswerEnd::Unfinished => "caller_gone",
        };
        metrics.requests.with_label_values(&[label]).inc();
        metrics
            .contract_counters
            .count_answer(&self.customer, label, self.tokens);
        // Usage is counted by the node whose server ran the request, not by the one
        // that forwarded it.
        if self.guard.is_some() {
            let amount = UsageCounters {
                requests: 1,
                prompt_tokens: u64::from(self.prompt_tokens),
                answer_tokens: u64::from(self.tokens),
                ..UsageCounters::default()
            };
            let usage = &self.observers.usage;
            usage.record(&self.member, &self.customer, &amount);
        }
        metrics
            .request_seconds
            .observe(self.accepted.elapsed().as_secs_f64());
        if self.end == AnswerEnd::Unfinished {
            self.record_event(EventKind::CallerGone);
        }
    }
}
