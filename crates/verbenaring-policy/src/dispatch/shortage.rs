//! Which calls engines are sent while there is too little room for all.
//!
//! Load pattern: for seconds, callers ask for several times what the engines of a region
//! can read and answer, short calls of low rank beside long ones of high rank. If all are
//! let in as they come, engines read prompts without a pause, answers that have begun do
//! not end before their deadline, and the calls that are worth most are lost with the
//! others.
//!
//! A VM admits a share of the work that it is asked for, the most urgent first: levels
//! before the share are admitted as a whole, of the level that crosses it a part, of those
//! behind it nothing. A controller moves the share so that the engines of the region, which
//! all VMs see alike, stay at the target. Calls of the level that crosses are chosen at
//! random, so that no session is refused again and again. What is not admitted goes to
//! another region that has room, or is refused at once.

use std::collections::BTreeMap;
use std::time::Duration;

use super::rate::WorkRate;
use crate::time::Moment;

/// Relative change of the admitted share per unit of the relative error, at once. The share
/// is changed in proportion to itself, as the same step counts more the more is asked for.
const PROPORTIONAL_GAIN: f64 = 0.7;
/// The same per second. The busy fraction follows the admitted work with a time constant of
/// 1.5 s and is reported 0.3 s late; the loop settles within a few seconds.
const INTEGRAL_GAIN: f64 = 0.6;
/// Relative error from which the load has gone rather than varied.
const LARGE_ERROR: f64 = 0.2;
/// Integral gain per second from there on, so that refusals do not outlast the load.
const RECOVERY_GAIN: f64 = 3.0;
/// Least share, from which the controller returns within seconds.
const MIN_SHARE: f64 = 0.02;
/// Longest time that one step of the controller covers.
const MAX_STEP: Duration = Duration::from_millis(500);
/// Relative error that counts at most, for engines that are far above the target.
const MAX_ERROR: f64 = 1.0;
/// Share of the room of another region that one region uses: others may use it as well,
/// and its state is known a few hundred ms late.
const SPILL_SHARE: f64 = 0.5;
/// Time without calls after which a level is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Urgency of a call: the rank of its tenant goes before that of its route; 0 first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRank {
    /// Rank of the tenant; 0 if the call belongs to none or the tenant has none.
    pub tenant: u8,
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
    /// Busy fraction that the work which is not admitted would add.
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

/// Share of the work asked of this VM that is admitted, for one service.
#[derive(Debug)]
pub struct ShortageGate {
    levels: BTreeMap<CallRank, LevelDemand>,
    /// Integral part of the controller, from [`MIN_SHARE`] to 1.
    share: f64,
    updated_at: Moment,
}

impl Default for ShortageGate {
    fn default() -> Self {
        Self {
            levels: BTreeMap::new(),
            share: 1.0,
            updated_at: Moment::default(),
        }
    }
}

impl ShortageGate {
    /// Records a caller's call with `tokens` to read.
    pub fn record_asked(&mut self, rank: CallRank, tokens: u32, now: Moment) {
        let level = self.levels.entry(rank).or_default();
        level.asked.add(tokens, now);
        level.asked_at = now;
    }

    /// What is admitted of a level while the engines are `busy` and are to be kept at
    /// `target`.
    pub fn admission(&mut self, rank: CallRank, busy: f64, target: f64, now: Moment) -> Admission {
        let elapsed = now.since(self.updated_at).min(MAX_STEP);
        self.updated_at = now;
        let error = ((target - busy) / target).max(-MAX_ERROR);
        let gain = match error > LARGE_ERROR {
            true => RECOVERY_GAIN,
            false => INTEGRAL_GAIN,
        };
        let step = gain * error * elapsed.as_secs_f64();
        self.share = (self.share * step.exp()).clamp(MIN_SHARE, 1.0);
        let share = self.share * (PROPORTIONAL_GAIN * error).exp();
        if share >= 1.0 {
            return Admission::ALL;
        }
        let asked = |level: &LevelDemand| level.asked.per_second(now);
        let urgent: f64 = self
            .levels
            .range(..rank)
            .map(|(_, level)| asked(level))
            .sum();
        let own = self.levels.get(&rank).map_or(0.0, asked);
        let total: f64 = self.levels.values().map(asked).sum();
        let left = share * total - urgent;
        Admission {
            part: match own > f64::EPSILON {
                true => (left / own).clamp(0.0, 1.0),
                false => f64::from(u8::from(left > 0.0)),
            },
            excess: busy.max(target) * (1.0 - share),
        }
    }

    /// Forgets levels without calls.
    pub fn expire(&mut self, now: Moment) {
        self.levels
            .retain(|_, level| now.since(level.asked_at) < IDLE_TIME);
    }
}
