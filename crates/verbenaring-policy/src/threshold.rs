//! Thresholds of the detection of slow servers.

use std::time::Duration;

/// Thresholds of the detector.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StragglerSettings {
    /// Multiple of the peers' median that counts as slow.
    pub slow_ratio: f64,
    /// Multiple of the peers' median that ejects. Prefill of a long prompt makes
    /// all streams of a healthy engine 2 to 3 times slower for seconds.
    pub eject_ratio: f64,
    /// Multiple of the peers' median below which a server counts as recovered.
    pub good_ratio: f64,
    /// Consecutive samples that change the judgement.
    pub streak: u32,
    /// Largest ejected share of a group.
    pub ejected_share: f64,
    /// Shortest time of a sample.
    pub window: Duration,
    /// Weight of a new sample in the moving average.
    pub sample_weight: f64,
    /// First ejection; doubles when a server is ejected again.
    pub first_ejection: Duration,
    /// Longest ejection.
    pub longest_ejection: Duration,
    /// Time between two probes of an ejected server.
    pub probe_interval: Duration,
    /// Ejection without evidence after which a server returns unproven.
    pub unproven_return: Duration,
    /// Time of one step of the return.
    pub step: Duration,
}

impl Default for StragglerSettings {
    fn default() -> Self {
        Self {
            slow_ratio: 2.0,
            eject_ratio: 4.0,
            good_ratio: 1.5,
            streak: 3,
            ejected_share: 0.2,
            window: Duration::from_millis(100),
            sample_weight: 0.3,
            first_ejection: Duration::from_secs(1),
            longest_ejection: Duration::from_secs(30),
            probe_interval: Duration::from_secs(1),
            unproven_return: Duration::from_secs(10),
            step: Duration::from_millis(500),
        }
    }
}
