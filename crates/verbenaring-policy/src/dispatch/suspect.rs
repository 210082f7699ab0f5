//! Requests, and parts of prompts, that crash servers.
//!
//! Load pattern: the same request comes again and again, or requests that are all
//! different share a part of their prompts, and each server that begins to run one ends.
//! All other answers of that server break off too, and callers repeat the requests at
//! any VM, so the servers end one after the other as they return.
//!
//! Every end of a server implicates the requests that it had, each as a whole, and the
//! shared parts of the prompts that it was answering. A request or a part is quarantined
//! when servers ended under it several times and no call with it was answered completely
//! meanwhile. Most of those that are implicated by chance are soon answered completely
//! elsewhere. Ends that a quarantined part explains do not count against others, and of
//! several parts that explain the same ends, the one that was answered longest ago is
//! quarantined, or else the one that stands last in prompts, as fewer requests share it.
//! A quarantined request explains no ends: each request with a bad part, repeated often
//! enough, would hide some of the ends that count against the part.
//!
//! VMs tell each other their evidence, as ages, because their clocks differ. A
//! quarantined part is tried again a few times by a single VM, so that a wrong decision
//! is corrected. Where some of the evidence is lost, a part that many calls share may be
//! blamed for what follows it in their prompts. It is tried soon, by a call whose other
//! parts are hardly implicated.

use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::evidence::{CallParts, REQUEST_DEPTH, SuspectNews};
use super::suspicion::{Crash, Suspect};
use crate::time::Moment;

/// Ends after which a part is quarantined with which no call was ever answered.
pub const MAX_CRASHES: usize = 3;
/// The same for a part with which calls were answered before.
pub const MAX_CRASHES_OF_SOUND: usize = 5;
/// Time for which a part is quarantined after its last end, and for which ends count.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Times after the start of a quarantine at which a call with the part is tried.
pub(super) const TRIAL_DELAYS: [Duration; 2] = [Duration::from_secs(30), Duration::from_secs(300)];
/// Ends that the other parts of a call may have been implicated in to try a part early.
const MAX_OTHER_CRASHES: usize = 1;
/// Parts with ends that are remembered.
const MAX_SUSPECTS: usize = 1_024;
/// Parts that are remembered as answered; those answered last stay.
const MAX_SOUND_PARTS: usize = 8_192;
/// Time for which a change is told to other VMs, again and again because datagrams get
/// lost.
const NEWS_TIME: Duration = Duration::from_millis(500);

/// Change of a quarantine, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// Calls with the part are refused from now on.
    Quarantined {
        /// Short ID of the part.
        part: u32,
        /// Ends of servers under it that are known here.
        crashes: usize,
    },
    /// A call with the part was answered completely after all.
    Cleared {
        /// Short ID of the part.
        part: u32,
    },
}

/// Decision on a call, by the parts of its prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartVerdict {
    /// No part is quarantined.
    Free,
    /// The call may be sent to a server, to try a quarantined part.
    Trial {
        /// Short ID of the part.
        part: u32,
    },
    /// The call would crash its server.
    Refused {
        /// Time until the part is tried again or its quarantine ends.
        wait: Duration,
    },
}

/// Requests and parts under which servers ended, and parts known to be sound.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<u32, Suspect>,
    sound: HashMap<u32, Moment>,
    /// Servers whose end a quarantined part explains.
    explained: HashSet<u32>,
    changes: Vec<QuarantineChange>,
}

impl SuspectTable {
    /// Records that a server ended while it answered these calls.
    pub fn record_crash(&mut self, server: u32, calls: &[CallParts], now: Moment) {
        self.record_earlier_crash(server, calls, now, now);
    }

    /// Records that a server ended at `at`, as is known now.
    pub fn record_earlier_crash(
        &mut self,
        server: u32,
        calls: &[CallParts],
        at: Moment,
        now: Moment,
    ) {
        for call in calls {
            for (depth, part) in call.by_depth() {
                let suspect = self.suspect(part);
                suspect.depth = suspect.depth.max(depth);
                if suspect.add(Crash { at, server }) {
                    suspect.changed_at = now;
                }
            }
        }
        self.decide(now);
    }

    /// Records that a call was answered completely.
    pub fn record_complete(&mut self, call: &CallParts, now: Moment) {
        for (depth, part) in call.by_depth() {
            if depth != REQUEST_DEPTH {
                self.sound.insert(part, now);
            }
            if let Some(suspect) = self.suspects.get_mut(&part) {
                suspect.sound_at = Some(now);
                suspect.changed_at = now;
                if suspect.quarantined_at.take().is_some() {
                    suspect.trials = 0;
                    self.clear(part);
                }
            }
        }
    }

    /// Decides on a call. `is_trier` tells whether this VM is the one that tries a part.
    pub fn judge(
        &self,
        call: &CallParts,
        is_trier: impl Fn(u32) -> bool,
        now: Moment,
    ) -> PartVerdict {
        let mut verdict = PartVerdict::Free;
        if self.suspects.is_empty() {
            return verdict;
        }
        for (_, part) in call.by_depth() {
            let suspect = self.suspects.get(&part);
            let Some((suspect, quarantined_at)) =
                suspect.and_then(|suspect| Some((suspect, suspect.quarantined_at?)))
            else {
                continue;
            };
            let next_trial = suspect.next_trial(quarantined_at);
            let is_due = now >= next_trial
                && (!suspect.has_early_trial() || self.is_hardly_implicated(call, part));
            if !is_due || verdict != PartVerdict::Free || !is_trier(part) {
                let wait = next_trial.since(now);
                return PartVerdict::Refused { wait };
            }
            verdict = PartVerdict::Trial { part };
        }
        verdict
    }

    /// Whether the parts of a call other than `tried` were implicated in few ends since
    /// they were answered.
    fn is_hardly_implicated(&self, call: &CallParts, tried: u32) -> bool {
        let mut others = call.by_depth().filter(|(_, part)| *part != tried);
        others.all(|(_, part)| {
            let suspect = self.suspects.get(&part);
            let crashes = suspect.map_or(0, |suspect| suspect.unexplained(&HashSet::new()));
            crashes <= MAX_OTHER_CRASHES
        })
    }

    /// Records that a call with a quarantined part is sent to a server, to try it.
    pub fn record_trial(&mut self, part: u32, now: Moment) {
        if let Some(suspect) = self.suspects.get_mut(&part) {
            suspect.trials = suspect.trials.saturating_add(1);
            suspect.changed_at = now;
        }
    }

    /// Merges what another VM tells. What changes here is told to further VMs if
    /// `pass_on` is set.
    pub fn merge(&mut self, news: &[SuspectNews], pass_on: bool, now: Moment) {
        let mut changed = false;
        for news in news {
            changed |= self.merge_part(news, pass_on, now);
        }
        if changed {
            self.decide(now);
        }
    }

    fn merge_part(&mut self, news: &SuspectNews, pass_on: bool, now: Moment) -> bool {
        let moment = |age_ms: u32| now - Duration::from_millis(u64::from(age_ms));
        let part = news.part;
        let suspect = self.suspect(part);
        let was_quarantined = suspect.quarantined_at.is_some();
        let stated_sound = news.sound_age_ms.map(moment);
        // The other VM does not know that a call with the part was answered here.
        let corrects = suspect.sound_at > stated_sound.map(|at| at + NEWS_TIME);
        let mut changed = news.trials > suspect.trials || stated_sound > suspect.sound_at;
        suspect.depth = suspect.depth.max(news.depth);
        suspect.trials = suspect.trials.max(news.trials);
        suspect.sound_at = suspect.sound_at.max(stated_sound);
        for crash in &news.crashes {
            changed |= suspect.add(Crash {
                at: moment(crash.age_ms),
                server: crash.server,
            });
        }
        let stated_quarantine = news.quarantine_age_ms.map(moment);
        suspect.quarantined_at = suspect.quarantined_at.or(stated_quarantine);
        if suspect.sound_at > suspect.quarantined_at {
            suspect.quarantined_at = None;
            suspect.trials = 0;
        }
        let is_quarantined = suspect.quarantined_at.is_some();
        changed |= was_quarantined != is_quarantined;
        if corrects || (changed && pass_on) {
            suspect.changed_at = now;
        }
        let crashes = suspect.crashes.len();
        match (was_quarantined, is_quarantined) {
            (false, true) => self
                .changes
                .push(QuarantineChange::Quarantined { part, crashes }),
            (true, false) => self.clear(part),
            _ => {}
        }
        changed
    }

    /// What is to be told to other VMs: recent changes or, if `all_quarantined` is set,
    /// also every quarantined part. What is quarantined comes first, then what has the
    /// most ends, and parts before whole requests.
    pub fn news(&self, all_quarantined: bool, now: Moment) -> Vec<SuspectNews> {
        let is_news = |suspect: &Suspect| {
            now.since(suspect.changed_at) < NEWS_TIME
                || (all_quarantined && suspect.quarantined_at.is_some())
        };
        self.told(is_news, now)
    }

    /// All evidence, in the order of [`news`](Self::news), for VMs that tell it to each
    /// other at a longer interval.
    pub fn evidence(&self, now: Moment) -> Vec<SuspectNews> {
        self.told(|_| true, now)
    }

    fn told(&self, is_told: impl Fn(&Suspect) -> bool, now: Moment) -> Vec<SuspectNews> {
        let mut told: Vec<(u32, &Suspect)> = self
            .suspects
            .iter()
            .filter(|(_, suspect)| is_told(suspect))
            .map(|(part, suspect)| (*part, suspect))
            .collect();
        told.sort_by_key(|(_, suspect)| {
            (
                suspect.quarantined_at.is_none(),
                Reverse(suspect.crashes.len()),
                suspect.is_request(),
            )
        });
        told.into_iter()
            .map(|(part, suspect)| suspect.news(part, now))
            .collect()
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Quarantined parts and the times since the start of their quarantine.
    pub fn quarantines(&self, now: Moment) -> impl Iterator<Item = (u32, Duration)> {
        let suspects = self.suspects.iter();
        suspects
            .filter_map(move |(part, suspect)| Some((*part, now.since(suspect.quarantined_at?))))
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Moment) {
        self.suspects.retain(|_, suspect| {
            let last = suspect.last_evidence();
            let counts = suspect.quarantined_at.is_some()
                || suspect.sound_at.is_none_or(|sound| sound < last);
            let is_news = now.since(suspect.changed_at) < NEWS_TIME;
            is_news || (counts && now.since(last) < QUARANTINE_TIME)
        });
        if self.suspects.len() > MAX_SUSPECTS {
            let excess = self.suspects.len() - MAX_SUSPECTS;
            let mut order: Vec<(bool, usize, Moment, u32)> = self
                .suspects
                .iter()
                .map(|(part, suspect)| {
                    let quarantined = suspect.quarantined_at.is_some();
                    (
                        quarantined,
                        suspect.crashes.len(),
                        suspect.last_evidence(),
                        *part,
                    )
                })
                .collect();
            order.sort_unstable();
            for (.., part) in order.into_iter().take(excess) {
                self.suspects.remove(&part);
            }
        }
        if self.sound.len() > MAX_SOUND_PARTS {
            let mut moments: Vec<Moment> = self.sound.values().copied().collect();
            moments.sort_unstable();
            let oldest = moments[moments.len() - MAX_SOUND_PARTS / 2];
            self.sound.retain(|_, at| *at >= oldest);
        }
        let suspects = self.suspects.values();
        let crashes = suspects.flat_map(|suspect| &suspect.crashes);
        let known: HashSet<u32> = crashes.map(|crash| crash.server).collect();
        self.explained.retain(|server| known.contains(server));
    }

    /// Lets the ends that a cleared part seemed to explain count against others again.
    fn clear(&mut self, part: u32) {
        self.explained.clear();
        self.changes.push(QuarantineChange::Cleared { part });
    }

    fn suspect(&mut self, part: u32) -> &mut Suspect {
        let sound_at = self.sound.get(&part).copied();
        let suspect = self.suspects.entry(part).or_default();
        suspect.sound_at = suspect.sound_at.max(sound_at);
        suspect
    }

    /// Notes which quarantined parts others follow.
    fn note_followed(&mut self) {
        let quarantined = self.suspects.iter();
        let quarantined = quarantined.filter(|(_, suspect)| suspect.quarantined_at.is_some());
        let followed: Vec<u32> = quarantined
            .filter(|(_, suspect)| {
                let mut others = self.suspects.values();
                others.any(|other| suspect.is_followed_by(other))
            })
            .map(|(part, _)| *part)
            .collect();
        for part in followed {
            self.suspect(part).is_followed = true;
        }
    }

    /// Quarantines the parts that explain enough ends.
    fn decide(&mut self, now: Moment) {
        self.blame(now);
        self.note_followed();
    }

    fn blame(&mut self, now: Moment) {
        let quarantined = self.suspects.values();
        let quarantined =
            quarantined.filter(|suspect| suspect.quarantined_at.is_some() && !suspect.is_request());
        let explained = quarantined.flat_map(|suspect| &suspect.crashes);
        self.explained.extend(explained.map(|crash| crash.server));
        loop {
            let blamed = self
                .suspects
                .iter()
                .filter(|(_, suspect)| {
                    suspect.quarantined_at.is_none() && suspect.crashes.len() >= MAX_CRASHES
                })
                .map(|(part, suspect)| (*part, suspect, suspect.unexplained(&self.explained)))
                .filter(|(_, suspect, crashes)| *crashes >= suspect.max_crashes())
                .min_by_key(|(part, suspect, crashes)| {
                    let depth = Reverse(suspect.depth);
                    let is_request = suspect.is_request();
                    (
                        is_request,
                        suspect.sound_at,
                        Reverse(*crashes),
                        depth,
                        *part,
                    )
                });
            let Some((part, _, crashes)) = blamed else {
                return;
            };
            let suspect = self.suspect(part);
            suspect.quarantined_at = Some(now);
            suspect.changed_at = now;
            if !suspect.is_request() {
                let servers: Vec<u32> = suspect.crashes.iter().map(|crash| crash.server).collect();
                self.explained.extend(servers);
            }
            self.changes
                .push(QuarantineChange::Quarantined { part, crashes });
        }
    }
}
