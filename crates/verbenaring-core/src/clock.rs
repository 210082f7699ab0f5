//! The runtime's clock as data for decisions.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::time::Instant;
use verbenaring_policy::time::Moment;

/// Converts the runtime's clock to moments and to Unix time.
#[derive(Debug, Clone, Copy)]
pub struct NodeClock {
    start: Instant,
    start_unix: Duration,
}

impl Default for NodeClock {
    fn default() -> Self {
        let start_unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            start: Instant::now(),
            start_unix,
        }
    }
}

impl NodeClock {
    /// Present moment.
    pub fn now(&self) -> Moment {
        Moment::default() + self.start.elapsed()
    }

    /// Milliseconds since 1970-01-01 UTC, advanced by the runtime's clock.
    pub fn unix_ms(&self) -> u64 {
        (self.start_unix + self.start.elapsed()).as_millis() as u64
    }

    /// Moment of an instant of the runtime.
    pub fn moment(&self, instant: Instant) -> Moment {
        Moment::default() + instant.saturating_duration_since(self.start)
    }

    /// Moment of a Unix time in milliseconds; the start for earlier times.
    pub fn moment_of_unix(&self, unix_ms: u64) -> Moment {
        let unix = Duration::from_millis(unix_ms);
        Moment::default() + unix.saturating_sub(self.start_unix)
    }

    /// Instant of the runtime at `moment`.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment.since(Moment::default())
    }
}
