//! Last filter: records how a request ended.
//!
//! An [`AnswerRecord`] lives as long as the answer. It holds what must be
//! released when the answer ends in any way, so a caller that goes away frees
//! the same resources as one that reads to the end.

use std::sync::Arc;

use tokio::time::Instant;
use verbenaring_policy::id::{AttemptId, CustomerId, MemberId};
use verbenaring_policy::outcome::RunOutcome;
use verbenaring_policy::usage::UsageCounters;

use crate::admit::AdmissionTicket;
use crate::backend::BackendTable;
use crate::guard::WorkGuard;
use crate::metrics::NodeMetrics;
use crate::schedule::RunTicket;
use crate::timeline::{EventKind, TimelineRing};
use crate::usage::UsageLedger;
use crate::work::PendingWork;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AnswerEnd {
    Open,
    Whole,
    Broken,
}

/// What a request holds over all its tries.
#[derive(Default)]
pub struct WorkTickets {
    /// Slot of the node's queue.
    pub run: Option<RunTicket>,
    /// Admission under the contract.
    pub admission: Option<AdmissionTicket>,
}

/// Observers of answers.
#[derive(Clone)]
pub struct AnswerObservers {
    /// Counters of the node.
    pub metrics: Arc<NodeMetrics>,
    /// Events of the node.
    pub timeline: Arc<TimelineRing>,
    /// Backend servers of the data centre.
    pub backends: Arc<BackendTable>,
    /// Usage of customers.
    pub usage: Arc<UsageLedger>,
}

/// What an answer holds and reports until it ends.
pub struct AnswerRecord {
    request: Arc<str>,
    attempt: AttemptId,
    customer: CustomerId,
    member: MemberId,
    accepted: Instant,
    observers: AnswerObservers,
    guard: Option<WorkGuard>,
    tickets: WorkTickets,
    prompt_tokens: u32,
    tokens: u32,
    end: AnswerEnd,
}

impl AnswerRecord {
    /// Record of an answer whose head has arrived.
    pub fn new(
        work: &PendingWork,
        attempt: AttemptId,
        observers: &AnswerObservers,
        guard: Option<WorkGuard>,
        tickets: WorkTickets,
    ) -> Self {
        Self {
            request: work.request.clone(),
            attempt,
            customer: work.entry.terms.customer.clone(),
            member: work.entry.terms.member.clone(),
            accepted: work.accepted,
            observers: observers.clone(),
            guard,
            tickets,
            prompt_tokens: work.size.prompt_tokens,
            tokens: 0,
            end: AnswerEnd::Open,
        }
    }

    /// Counts relayed tokens.
    pub fn add_streamed(&mut self, tokens: u32) {
        if self.tokens == 0 && tokens > 0 {
            let seconds = self.accepted.elapsed().as_secs_f64();
            self.observers.metrics.first_token_seconds.observe(seconds);
        }
        self.add_tokens(tokens);
    }

    /// Counts the tokens of an answer that was not streamed.
    pub fn add_tokens(&mut self, tokens: u32) {
        self.tokens = self.tokens.saturating_add(tokens);
        if let Some(guard) = &mut self.guard {
            guard.progress(tokens);
        }
        if let Some(run) = &mut self.tickets.run {
            run.progress(self.prompt_tokens.saturating_add(self.tokens));
        }
    }

    /// The answer continues on a new connection.
    pub fn resume(&self) {
        self.record(EventKind::StreamResumed);
    }

    /// The answer is whole.
    pub fn succeed(&mut self) {
        self.end = AnswerEnd::Whole;
        if let Some(guard) = &mut self.guard {
            guard.set_whole();
        }
        self.observers.backends.record_success(&self.customer);
        self.record(EventKind::AnswerWhole);
    }

    /// The server seems to have crashed with the answer under way.
    pub fn set_crashed(&mut self) {
        if let Some(guard) = &mut self.guard {
            guard.crash();
        }
    }

    /// The answer broke.
    pub fn fail(&mut self, reason: &str) {
        self.end = AnswerEnd::Broken;
        self.record(EventKind::AnswerBroken);
        log::warn!("answer to request {} broke: {reason}", self.request);
    }

    fn record(&self, kind: EventKind) {
        self.observers
            .timeline
            .record(kind, &self.request, Some(self.attempt));
    }
}

impl Drop for AnswerRecord {
    fn drop(&mut self) {
        let total = self.prompt_tokens.saturating_add(self.tokens);
        if let Some(admission) = &mut self.tickets.admission {
            admission.set_tokens(total);
        }
        if let Some(run) = &mut self.tickets.run {
            run.set_tokens(total);
        }
        let metrics = &self.observers.metrics;
        metrics.answer_tokens.inc_by(u64::from(self.tokens));
        let label = match self.end {
            AnswerEnd::Whole => "ran",
            AnswerEnd::Broken => RunOutcome::Unknown.as_str(),
            AnswerEnd::Open => "caller_gone",
        };
        metrics.requests.with_label_values(&[label]).inc();
        metrics
            .contract_counters
            .count_answer(&self.customer, label, self.tokens);
        // A forwarded request counts where its server stands.
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
        if self.end == AnswerEnd::Open {
            self.record(EventKind::CallerGone);
        }
    }
}
