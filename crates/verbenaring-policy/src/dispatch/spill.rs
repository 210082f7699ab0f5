//! Whether a call leaves its region.
//!
//! Load pattern: regions peak one after another and the smallest cannot serve
//! its own peak. A call goes to another region if its predicted answer there,
//! round trip and unread shared parts included, is clearly earlier, or if its
//! own region cannot run it at all. Reports of other regions are some hundred
//! ms old; calls sent there since are added to them, so that one report does
//! not draw every call.

use std::collections::HashMap;
use std::time::Duration;

use super::settings::DispatchSettings;
use crate::id::{RegionName, ServiceName};
use crate::time::Moment;

/// Round trip between two regions before it is measured.
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(110);
/// Gain below which a call stays: bytes between regions are priced, and the
/// report is older than the own queue.
const MIN_GAIN: Duration = Duration::from_millis(150);
/// Time in which calls sent to a region are assumed to be missing in its reports.
const REPORT_LAG: Duration = Duration::from_millis(600);

/// Another region as a choice.
#[derive(Debug, Clone)]
pub struct RemoteRegion<'a> {
    /// Region.
    pub region: &'a RegionName,
    /// Reported wait for the service.
    pub wait: Duration,
    /// Servers that take work there.
    pub servers: u16,
}

/// Calls sent to other regions that their reports do not show yet.
#[derive(Debug, Default)]
pub struct SpillTracker {
    sent: HashMap<(RegionName, ServiceName), Vec<(Moment, Duration)>>,
}

impl SpillTracker {
    /// Counts a call that takes `work` of a server in `region`.
    pub fn record(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        work: Duration,
        now: Moment,
    ) {
        let key = (region.clone(), service.clone());
        let sent = self.sent.entry(key).or_default();
        sent.retain(|(at, _)| now.since(*at) < REPORT_LAG);
        sent.push((now, work));
    }

    /// Predicted time to the answer of a call in the offered region.
    pub fn predict(
        &self,
        offer: &RemoteRegion<'_>,
        service: &ServiceName,
        unread: Duration,
        now: Moment,
    ) -> Duration {
        let key = (offer.region.clone(), service.clone());
        let sent = self.sent.get(&key).map_or(&[][..], Vec::as_slice);
        let recent = sent
            .iter()
            .filter(|(at, _)| now.since(*at) < REPORT_LAG)
            .map(|(_, work)| *work);
        let added: Duration = recent.sum();
        REGION_ROUND_TRIP + offer.wait + unread + added / u32::from(offer.servers.max(1))
    }
}

/// Predicted service of a call in one region.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionForecast {
    /// Time to the first event or the answer.
    pub first_event: Duration,
    /// Part of their time that the servers spend reading prompts.
    pub busy: f64,
}

/// Whether a call leaves its region for `remote`.
///
/// A call that would miss its goal leaves for a clearly earlier answer. Beyond
/// that, the work above [`DispatchSettings::spill_busy`] leaves for a region with
/// less: tokens of answers wait for every prompt that is read between them.
/// Which calls these are follows from `session`, so that the other region finds
/// their shared parts read.
pub fn should_spill(
    settings: &DispatchSettings,
    local: RegionForecast,
    remote: RegionForecast,
    limits: TimeBudget,
    session: u64,
) -> bool {
    let goal = limits.goal.mul_f64(settings.goal_margin).min(limits.left);
    if local.first_event >= goal && remote.first_event + MIN_GAIN < local.first_event {
        return true;
    }
    let level = settings
        .spill_busy
        .max(remote.busy + settings.spill_difference);
    if local.busy <= level || remote.first_event >= goal {
        return false;
    }
    let excess = (local.busy - level) / local.busy;
    let point = (session >> 11) as f64 / (1_u64 << 53) as f64;
    point < excess
}

/// Times of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeBudget {
    /// Time within which the answer is worth the most.
    pub goal: Duration,
    /// Time left.
    pub left: Duration,
}
