//! How a server treated the calls of this VM.
//!
//! Load pattern: servers crash, hang or fail part of their calls while their
//! published state is good. Only their answers show it. The evidence becomes a
//! penalty on the predicted time, not an exclusion: with every server of a
//! service bad, sending is better than refusing.

use std::time::Duration;

use crate::time::Moment;

/// Weight of one answer in the failure share; ten answers settle it.
const ANSWER_WEIGHT: f64 = 0.1;
/// Time after which half of the failure share is forgotten without answers, so
/// that the server is tried again.
const FORGET: Duration = Duration::from_secs(2);
/// Penalty of a server that fails every call.
const FAILURE_PENALTY: Duration = Duration::from_millis(1_500);
/// Penalty of a server whose answers all break. Unlike a failure, a broken
/// answer leaves a call that must not be repeated in doubt.
const BREAK_PENALTY: Duration = Duration::from_millis(4_000);
/// Failure share that every server may have without penalty. Services with
/// ordinary errors in 14% of their calls are in use.
const USUAL_FAILURES: f64 = 0.2;
/// Time for which a server is avoided after it refused a connection. Servers
/// need seconds to start again; the evidence of one VM must not block longer.
const REFUSED_AVOID: Duration = Duration::from_millis(1_000);
/// Penalty of a server that refused a connection.
const REFUSED_PENALTY: Duration = Duration::from_secs(10);
/// Silence that is usual while calls wait for their first answer.
const USUAL_SILENCE: Duration = Duration::from_millis(400);

/// What an answer says about its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerQuality {
    /// Whole and good.
    Good,
    /// Whole, but a failure or a refusal.
    Failed,
    /// Lost, cut or not an answer.
    Broken,
}

/// Evidence about one server.
#[derive(Debug, Clone, Default)]
pub struct ServerEvidence {
    failures: f64,
    breaks: f64,
    updated: Moment,
    refused: Option<Moment>,
    waiting: u32,
    quiet_since: Moment,
}

impl ServerEvidence {
    /// Counts a call that was sent.
    pub fn record_sent(&mut self, now: Moment) {
        if self.waiting == 0 {
            self.quiet_since = now;
        }
        self.waiting += 1;
    }

    /// Counts a call that no longer waits for its first answer.
    pub fn record_settled(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Counts a sign of life: a first event, an answer or a refusal.
    pub fn record_progress(&mut self, now: Moment) {
        self.quiet_since = now;
    }

    /// Counts the end of a call.
    pub fn record_answer(&mut self, quality: AnswerQuality, now: Moment) {
        let kept = self.kept(now);
        let moved = |share: f64, bad: bool| {
            let sample = if bad { 1.0 } else { 0.0 };
            share * kept + ANSWER_WEIGHT * (sample - share * kept)
        };
        self.failures = moved(self.failures, quality == AnswerQuality::Failed);
        self.breaks = moved(self.breaks, quality == AnswerQuality::Broken);
        self.updated = now;
        if quality == AnswerQuality::Good {
            self.refused = None;
        }
    }

    /// Counts a connection that was refused or not answered.
    pub fn record_refused(&mut self, now: Moment) {
        self.refused = Some(now);
    }

    /// Whether a connection was refused since the last good answer.
    pub fn is_refusing(&self) -> bool {
        self.refused.is_some()
    }

    /// Forgets everything, for a server that has started again.
    pub fn clear(&mut self) {
        *self = Self {
            waiting: self.waiting,
            quiet_since: self.quiet_since,
            ..Self::default()
        };
    }

    /// Time to add to the predicted time of the server.
    pub fn penalty(&self, now: Moment) -> Duration {
        let refused = self
            .refused
            .is_some_and(|refused| now.since(refused) < REFUSED_AVOID);
        if refused {
            return REFUSED_PENALTY;
        }
        let kept = self.kept(now);
        let failing = (self.failures * kept - USUAL_FAILURES).max(0.0);
        let breaking = self.breaks * kept;
        let silence = match self.waiting {
            0 => Duration::ZERO,
            _ => now.since(self.quiet_since).saturating_sub(USUAL_SILENCE),
        };
        FAILURE_PENALTY.mul_f64(failing) + BREAK_PENALTY.mul_f64(breaking) + silence
    }

    /// Part of the shares that is still remembered.
    fn kept(&self, now: Moment) -> f64 {
        let halves = now.since(self.updated).as_secs_f64() / FORGET.as_secs_f64();
        0.5_f64.powf(halves)
    }
}
