//! Which calls engines are sent while there is too little room for all.
//!
//! Load pattern: for seconds, callers ask for several times what the engines of a region
//! can read and answer, short calls of low rank beside long ones of high rank. If all are
//! let in as they come, engines read prompts without a pause, answers that have begun do
//! not end before their deadline, and the calls that are worth most are lost with the
//! others.
//!
//! A VM compares the work that it is asked for, by urgency, with the work that the engines
//! of its region are given. As far as callers are spread over the VMs, the ratio of the two
//! at this VM is that of the region. Urgent levels are admitted as a whole as long as the
//! work of all levels up to them keeps the engines below the target; of the level that
//! exceeds it a part is admitted; of those behind it nothing. Calls are chosen at random, so
//! that no session is refused again and again. What is not admitted goes to another region
//! that has room, or is refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rate::WorkRate;
use crate::time::Moment;

/// Work below which a level says nothing about the mix of the calls, in tokens a second.
const MIN_RATE: f64 = 1.0;
/// Share of the room of another region that one region uses: others may use it as well,
/// and its state is known a few hundred ms late.
const SPILL_SHARE: f64 = 0.5;
/// Time without calls after which a level is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Urgency of a call: the rank of its team goes before that of its route; 0 first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRank {
    /// Rank of the team; 0 if the call belongs to none or the team has none.
    pub team: u8,
    /// Rank of the route.
    pub route: u8,
}

/// Work asked for at one level.
#[derive(Debug, Default)]
struct LevelDemand {
    asked: WorkRate,
    asked_at: Moment,
}

/// What is admitted of the calls of a level.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Admission {
    /// Part of the calls, from 0 to 1.
    pub part: f64,
    /// Busy fraction by which the work asked for exceeds the target.
    pub excess: f64,
}

impl Admission {
    /// All calls are admitted.
    pub const ALL: Self = Self {
        part: 1.0,
        excess: 0.0,
    };

    /// Part of the calls that are not admitted which another region can take: it has room
    /// below `target`, a share of which is left to the other regions. `servers` are the
    /// numbers of engines here and there.
    pub fn spill_part(&self, remote_busy: f64, target: f64, servers: (u16, u16)) -> f64 {
        let (here, there) = servers;
        let room = (target - remote_busy).max(0.0) * f64::from(there) * SPILL_SHARE;
        let excess = self.excess * f64::from(here);
        match excess > f64::EPSILON {
            true => (room / excess).min(1.0),
            false => f64::from(u8::from(room > 0.0)),
        }
    }
}

/// Work that callers ask this VM for, and what of it was admitted, for one service.
#[derive(Debug, Default)]
pub struct ShortageGate {
    levels: BTreeMap<CallRank, LevelDemand>,
    admitted: WorkRate,
}

impl ShortageGate {
    /// Records a caller's call with `tokens` to read.
    pub fn record_asked(&mut self, rank: CallRank, tokens: u32, now: Moment) {
        let level = self.levels.entry(rank).or_default();
        level.asked.add(tokens, now);
        level.asked_at = now;
    }

    /// Records that a call is sent to an engine of the region.
    pub fn record_admitted(&mut self, tokens: u32, now: Moment) {
        self.admitted.add(tokens, now);
    }

    /// What is admitted of a level while the engines are `busy` and are to be kept below
    /// `target`.
    pub fn admission(&self, rank: CallRank, busy: f64, target: f64, now: Moment) -> Admission {
        let admitted = self.admitted.per_second(now);
        if admitted < MIN_RATE {
            return Admission::ALL;
        }
        // Busy fraction that a unit of the work asked for causes.
        let scale = busy / admitted;
        let asked = |level: &LevelDemand| level.asked.per_second(now) * scale;
        let urgent: f64 = self
            .levels
            .range(..rank)
            .map(|(_, level)| asked(level))
            .sum();
        let own = self.levels.get(&rank).map_or(0.0, asked);
        let total: f64 = self.levels.values().map(asked).sum();
        let left = target - urgent;
        Admission {
            part: match own > f64::EPSILON {
                true => (left / own).clamp(0.0, 1.0),
                false => f64::from(u8::from(left > 0.0)),
            },
            excess: (total - target).max(0.0),
        }
    }

    /// Forgets levels without calls.
    pub fn expire(&mut self, now: Moment) {
        self.levels
            .retain(|_, level| now.since(level.asked_at) < IDLE_TIME);
    }
}
