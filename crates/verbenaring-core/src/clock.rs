//! Clock of the runtime, converted to the times that decisions use.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;
use verbenaring_policy::time::Moment;

/// Time since the system started, including the time in which it was suspended.
pub(crate) fn system_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Converts the runtime's clock to [`Moment`]s since the start and to Unix time.
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
    /// Current time as the time since the start.
    pub fn now(&self) -> Moment {
        Moment::default() + self.start.elapsed()
    }

    /// Unix time in milliseconds: the system time at the start, advanced by the
    /// runtime's clock.
    pub fn unix_ms(&self) -> u64 {
        (self.start_unix + self.start.elapsed()).as_millis() as u64
    }

    /// Converts an instant of the runtime; earlier ones become the start.
    pub fn moment(&self, instant: Instant) -> Moment {
        Moment::default() + instant.saturating_duration_since(self.start)
    }

    /// Converts a Unix time in milliseconds; earlier ones become the start.
    pub fn moment_of_unix(&self, unix_ms: u64) -> Moment {
        let unix = Duration::from_millis(unix_ms);
        Moment::default() + unix.saturating_sub(self.start_unix)
    }

    /// Converts a moment to an instant of the runtime.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment.since(Moment::default())
    }
}
