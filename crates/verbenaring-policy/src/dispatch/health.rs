//! Health of a server as observed from the calls of this VM.
//!
//! Load pattern: servers crash, hang or fail some of their calls while their
//! published entries look healthy. Only their answers show it. Poor health adds
//! a penalty to the predicted time and doesn't exclude the server: if all
//! servers of a service are unhealthy, sending is better than refusing.

use std::time::Duration;

use crate::time::Moment;

/// Weight of one answer in the failure share, which follows a change within about
/// ten answers.
const ANSWER_WEIGHT: f64 = 0.1;
/// Time in which the failure share halves without answers, so that the server is
/// tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// Penalty factor of the failure share above [`TOLERATED_FAILURE_SHARE`].
const FAILURE_PENALTY: Duration = Duration::from_millis(1_500);
/// Penalty of a server whose answers are all broken. Unlike a failure, a broken
/// answer leaves it unknown whether a call that must not be repeated has run.
const BROKEN_PENALTY: Duration = Duration::from_millis(4_000);
/// Failure share without a penalty. Some services in use answer 14% of their
/// calls with ordinary errors.
const TOLERATED_FAILURE_SHARE: f64 = 0.2;
/// How long a server is avoided after it refused a connection. A restart takes
/// seconds, but one VM's observation must not block the server for longer.
const REFUSED_AVOID_TIME: Duration = Duration::from_millis(1_000);
/// Penalty of a server that recently refused a connection.
const REFUSED_PENALTY: Duration = Duration::from_secs(10);
/// Silence without a penalty while calls wait for their first event.
const TOLERATED_SILENCE: Duration = Duration::from_millis(400);

/// Quality of an answer, as a sample of its server's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerQuality {
    /// Complete and successful.
    Good,
    /// Complete, but a failure or a refusal.
    Failed,
    /// Lost, truncated or malformed.
    Broken,
}

/// Observed health of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    failure_share: f64,
    broken_share: f64,
    updated_at: Moment,
    refused_at: Option<Moment>,
    waiting_calls: u32,
    silent_since: Moment,
    /// Time that cancelled calls have waited since the last first event or answer.
    cancelled_wait: Duration,
}

impl ServerHealth {
    /// Records a call that was sent.
    pub fn record_sent(&mut self, now: Moment) {
        if self.waiting_calls == 0 {
            self.silent_since = now;
        }
        self.waiting_calls += 1;
    }

    /// Records that a call no longer waits for its first event.
    pub fn record_wait_ended(&mut self) {
        self.waiting_calls = self.waiting_calls.saturating_sub(1);
    }

    /// Records a first event or an answer, which ends a silence.
    pub fn record_progress(&mut self, now: Moment) {
        self.silent_since = now;
        self.cancelled_wait = Duration::ZERO;
    }

    /// Records a call that was cancelled after it had waited for its first event, because
    /// another server answered it. It counts as silence: a server that hangs would otherwise
    /// never be silent for long.
    pub fn record_cancelled(&mut self, waited: Duration, now: Moment) {
        let decay = self.decay(now);
        self.failure_share *= decay;
        self.broken_share *= decay;
        self.cancelled_wait = self.cancelled_wait.mul_f64(decay) + waited;
        self.updated_at = now;
    }

    /// Records the quality of an answer. A good one ends the avoidance of a server
    /// that refused a connection.
    pub fn record_answer(&mut self, quality: AnswerQuality, now: Moment) {
        let decay = self.decay(now);
        let updated_share = |share: f64, bad: bool| {
            let sample = if bad { 1.0 } else { 0.0 };
            share * decay + ANSWER_WEIGHT * (sample - share * decay)
        };
        self.failure_share = updated_share(self.failure_share, quality == AnswerQuality::Failed);
        self.broken_share = updated_share(self.broken_share, quality == AnswerQuality::Broken);
        self.cancelled_wait = self.cancelled_wait.mul_f64(decay);
        self.updated_at = now;
        if quality == AnswerQuality::Good {
            self.refused_at = None;
        }
    }

    /// Records a connection that was refused or timed out.
    pub fn record_refused(&mut self, now: Moment) {
        self.refused_at = Some(now);
    }

    /// Time of the last connection that was refused since the last good answer.
    pub fn refused_at(&self) -> Option<Moment> {
        self.refused_at
    }

    /// Forgets refused connections, which were not due to the server.
    pub fn clear_refusal(&mut self) {
        self.refused_at = None;
    }

    /// Time for which the server has shown no progress while calls wait for their first
    /// event.
    pub fn silence(&self, now: Moment) -> Duration {
        match self.waiting_calls {
            0 => Duration::ZERO,
            _ => now.since(self.silent_since),
        }
    }

    /// Resets the health of a restarted server; calls that wait still count.
    pub fn clear(&mut self) {
        *self = Self {
            waiting_calls: self.waiting_calls,
            silent_since: self.silent_since,
            ..Self::default()
        };
    }

    /// Time to add to the predicted time of the server.
    pub fn penalty(&self, now: Moment) -> Duration {
        let refused = self
            .refused_at
            .is_some_and(|at| now.since(at) < REFUSED_AVOID_TIME);
        if refused {
            return REFUSED_PENALTY;
        }
        let decay = self.decay(now);
        let excess_failures = (self.failure_share * decay - TOLERATED_FAILURE_SHARE).max(0.0);
        let broken = self.broken_share * decay;
        let silence = self.silence(now) + self.cancelled_wait.mul_f64(decay);
        let silence = silence.saturating_sub(TOLERATED_SILENCE);
        FAILURE_PENALTY.mul_f64(excess_failures) + BROKEN_PENALTY.mul_f64(broken) + silence
    }

    /// Decay factor of the shares since their last update.
    fn decay(&self, now: Moment) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        0.5_f64.powf(half_lives)
    }
}
