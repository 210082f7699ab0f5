//! Evidence about one request or part of prompts under which servers ended.

use std::collections::HashSet;
use std::time::Duration;

use super::evidence::{CrashNews, REQUEST_DEPTH, SuspectNews};
use super::suspect::{MAX_CRASHES, MAX_CRASHES_OF_SOUND, QUARANTINE_TIME, TRIAL_DELAYS};
use crate::time::Moment;

/// Servers that end within this time count as one end: they may have a common cause,
/// such as a loss of power.
const COMMON_CAUSE_TIME: Duration = Duration::from_millis(250);
/// Time after the start of a quarantine at which a part is tried that other implicated
/// parts follow.
const EARLY_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// Ends that are remembered of a part: the latest ones.
const MAX_REMEMBERED_CRASHES: usize = 8;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Crash {
    pub(super) at: Moment,
    pub(super) server: u32,
}

/// Evidence about a part under which servers ended.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspect {
    /// Position in prompts, from 1; 0 for a whole request.
    pub(super) depth: u8,
    pub(super) crashes: Vec<Crash>,
    pub(super) sound_at: Option<Moment>,
    pub(super) quarantined_at: Option<Moment>,
    pub(super) trials: u8,
    /// Whether parts that follow it in prompts were implicated in the same ends.
    pub(super) is_followed: bool,
    pub(super) changed_at: Moment,
}

impl Suspect {
    /// Adds the end of a server unless it is known; returns whether it was added.
    pub(super) fn add(&mut self, crash: Crash) -> bool {
        let known = self
            .crashes
            .iter()
            .any(|known| known.server == crash.server);
        if known {
            return false;
        }
        self.crashes.push(crash);
        self.crashes.sort_unstable();
        if self.crashes.len() > MAX_REMEMBERED_CRASHES {
            self.crashes.remove(0);
        }
        true
    }

    /// Number of ends after the last complete answer, without those in `explained`.
    pub(super) fn unexplained(&self, explained: &HashSet<u32>) -> usize {
        let mut last: Option<Moment> = None;
        let mut count = 0;
        for crash in &self.crashes {
            let counts = self.sound_at.is_none_or(|sound| crash.at > sound)
                && !explained.contains(&crash.server);
            let separate = last.is_none_or(|last| crash.at.since(last) >= COMMON_CAUSE_TIME);
            if counts && separate {
                last = Some(crash.at);
                count += 1;
            }
        }
        count
    }

    pub(super) fn is_request(&self) -> bool {
        self.depth == REQUEST_DEPTH
    }

    pub(super) fn max_crashes(&self) -> usize {
        match self.sound_at {
            Some(_) => MAX_CRASHES_OF_SOUND,
            None => MAX_CRASHES,
        }
    }

    /// Latest end of a server, or the start of the quarantine if that is later.
    pub(super) fn last_evidence(&self) -> Moment {
        let last = self.crashes.last().map(|crash| crash.at);
        last.max(self.quarantined_at).unwrap_or_default()
    }

    /// When a call with the quarantined part is tried next; the end of the quarantine
    /// if none is.
    pub(super) fn next_trial(&self, quarantined_at: Moment) -> Moment {
        if self.has_early_trial() {
            return quarantined_at + EARLY_TRIAL_DELAY;
        }
        let early = usize::from(self.is_followed);
        let trials = usize::from(self.trials).saturating_sub(early);
        match TRIAL_DELAYS.get(trials) {
            Some(delay) => quarantined_at + *delay,
            None => self.last_evidence() + QUARANTINE_TIME,
        }
    }

    /// Whether the next trial is due after [`EARLY_TRIAL_DELAY`].
    pub(super) fn has_early_trial(&self) -> bool {
        self.is_followed && self.trials == 0
    }

    /// Whether `other` follows this part in prompts and was implicated in a same end.
    pub(super) fn is_followed_by(&self, other: &Suspect) -> bool {
        let mut crashes = self.crashes.iter();
        !self.is_request()
            && other.depth > self.depth
            && crashes.any(|crash| {
                let mut others = other.crashes.iter();
                others.any(|other| other.server == crash.server)
            })
    }

    pub(super) fn news(&self, part: u32, now: Moment) -> SuspectNews {
        let age_ms = |at: Moment| now.since(at).as_millis() as u32;
        let crashes = self.crashes.iter().map(|crash| CrashNews {
            server: crash.server,
            age_ms: age_ms(crash.at),
        });
        SuspectNews {
            part,
            depth: self.depth,
            crashes: crashes.collect(),
            sound_age_ms: self.sound_at.map(age_ms),
            quarantine_age_ms: self.quarantined_at.map(age_ms),
            trials: self.trials,
        }
    }
}
