//! Decision whether a call is forwarded to another region.
//!
//! Load pattern: regions peak one after another, and the smallest cannot serve
//! its own peak. A call goes to another region if its predicted answer there,
//! including the round trip and the reading of its prompt, is clearly earlier,
//! or if its own region cannot run it at all. Work also moves away from a region
//! that is much busier than another. Reports of other regions are a few hundred
//! ms old. Calls sent there since then are added to the reported load, so that
//! one report does not attract all calls.

use std::collections::HashMap;
use std::time::Duration;

use super::settings::DispatchSettings;
use crate::id::{RegionName, ServiceName};
use crate::time::Moment;

/// Assumed round trip between two regions.
pub const REGION_ROUND_TRIP: Duration = Duration::from_millis(110);
/// Minimum gain for which a late call is forwarded: traffic between regions is
/// billed, and the region's report is older than the state of the own region.
const MIN_SPILL_GAIN: Duration = Duration::from_millis(150);
/// Age up to which calls sent to a region are assumed to be missing in its reports.
const REPORT_DELAY: Duration = Duration::from_millis(600);

/// Reported state of another region that can run a call.
#[derive(Debug, Clone)]
pub struct RemoteRegion<'a> {
    /// Name of the region.
    pub region: &'a RegionName,
    /// Reported wait of a new call for the service.
    pub wait: Duration,
    /// Number of servers there that take calls of the service.
    pub servers: u16,
}

/// Calls sent to other regions that their reports may not include yet.
#[derive(Debug, Default)]
pub struct SpillTracker {
    sent: HashMap<(RegionName, ServiceName), Vec<(Moment, Duration)>>,
}

impl SpillTracker {
    /// Records a call that takes `server_time` of a server in `region`.
    pub fn record(
        &mut self,
        region: &RegionName,
        service: &ServiceName,
        server_time: Duration,
        now: Moment,
    ) {
        let key = (region.clone(), service.clone());
        let sent = self.sent.entry(key).or_default();
        sent.retain(|(at, _)| now.since(*at) < REPORT_DELAY);
        sent.push((now, server_time));
    }

    /// Predicted time to the first event or the answer of a call in `remote`, where
    /// reading its prompt takes `read_time`.
    pub fn predict(
        &self,
        remote: &RemoteRegion<'_>,
        service: &ServiceName,
        read_time: Duration,
        now: Moment,
    ) -> Duration {
        let key = (remote.region.clone(), service.clone());
        let sent = self.sent.get(&key).map_or(&[][..], Vec::as_slice);
        let unreported = sent
            .iter()
            .filter(|(at, _)| now.since(*at) < REPORT_DELAY)
            .map(|(_, server_time)| *server_time);
        let pending_time: Duration = unreported.sum();
        REGION_ROUND_TRIP
            + remote.wait
            + read_time
            + pending_time / u32::from(remote.servers.max(1))
    }
}

/// Predicted wait of a call in one region and the load there.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionForecast {
    /// Predicted time to the first event or the answer.
    pub first_event: Duration,
    /// Fraction of their time that the servers spend reading prompts.
    pub busy: f64,
}

/// Whether a call should be forwarded from its region to `remote`.
///
/// A call that would miss its goal is forwarded for a clearly earlier answer. In
/// addition, load above [`DispatchSettings::spill_busy`] moves to a less busy
/// region, because the tokens of answers wait for each prompt that is read
/// between them. `session` determines which calls move, so that the other region
/// has their shared parts cached.
pub fn should_spill(
    settings: &DispatchSettings,
    local: RegionForecast,
    remote: RegionForecast,
    times: TimeBudget,
    session: u64,
) -> bool {
    let goal = times
        .goal
        .mul_f64(settings.goal_margin)
        .min(times.remaining);
    if local.first_event >= goal && remote.first_event + MIN_SPILL_GAIN < local.first_event {
        return true;
    }
    let busy_threshold = settings
        .spill_busy
        .max(remote.busy + settings.spill_difference);
    if local.busy <= busy_threshold || remote.first_event >= goal {
        return false;
    }
    let excess = (local.busy - busy_threshold) / local.busy;
    let position = (session >> 11) as f64 / (1_u64 << 53) as f64;
    position < excess
}

/// Target and remaining time of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeBudget {
    /// Target time, within which an answer is worth the most.
    pub goal: Duration,
    /// Time remaining until the deadline.
    pub remaining: Duration,
}
