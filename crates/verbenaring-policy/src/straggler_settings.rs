//! Settings of the detection of slow servers.

use std::time::Duration;

/// Thresholds and times of a [`crate::straggler::StragglerDetector`].
///
/// The ratios compare the time per token of a server with the median of its peers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StragglerSettings {
    /// Ratio from which a sample counts as slow.
    pub slow_ratio: f64,
    /// Ratio from which a sample counts towards ejection. Prefill of a long prompt
    /// makes all streams of a healthy engine 2 to 3 times slower for seconds.
    pub eject_ratio: f64,
    /// Ratio below which a sample counts as recovered.
    pub recovered_ratio: f64,
    /// Consecutive samples of one kind that change the state of a server.
    pub consecutive_samples: u32,
    /// Largest share of the servers of one model that may be ejected at once.
    pub max_ejected_share: f64,
    /// Shortest time that a sample spans.
    pub min_window: Duration,
    /// Weight of a new sample in the moving averages.
    pub sample_weight: f64,
    /// Time from the first ejection to the first probe; doubles with each
    /// further ejection.
    pub initial_ejection: Duration,
    /// Longest time from an ejection to the first probe. After twice this time
    /// without an ejection, the next one lasts [`Self::initial_ejection`] again.
    pub max_ejection: Duration,
    /// Time from one request at an ejected server to the next probe.
    pub probe_interval: Duration,
    /// Time after which an ejected server returns, and the load factor of a slow
    /// one is halved, although no sample has shown a recovery.
    pub unconfirmed_return: Duration,
    /// Time that a returning server spends at each load factor.
    pub return_step: Duration,
}

impl Default for StragglerSettings {
    fn default() -> Self {
        Self {
            slow_ratio: 2.0,
            eject_ratio: 4.0,
            recovered_ratio: 1.5,
            consecutive_samples: 3,
            max_ejected_share: 0.2,
            min_window: Duration::from_millis(100),
            sample_weight: 0.3,
            initial_ejection: Duration::from_secs(1),
            max_ejection: Duration::from_secs(30),
            probe_interval: Duration::from_secs(1),
            unconfirmed_return: Duration::from_secs(10),
            return_step: Duration::from_millis(500),
        }
    }
}
