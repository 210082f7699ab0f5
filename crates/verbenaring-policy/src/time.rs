//! Points in time that are passed to decisions as values.
//!
//! Decisions never read a clock. The daemon converts the clock of the async
//! runtime to a [`Moment`]; experiments and the model checker advance it
//! themselves.

use std::ops::{Add, Sub};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Point in time, in microseconds since an arbitrary start; negative before it.
///
/// Moments of different processes have different starts and cannot be compared.
/// Sums and differences saturate. The start of a process is the default: what others
/// tell it of the time before has a negative moment.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Moment(pub i64);

impl Moment {
    /// Time since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Moment) -> Duration {
        let micros = self.0.saturating_sub(earlier.0);
        Duration::from_micros(u64::try_from(micros).unwrap_or_default())
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX);
        Moment(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Moment {
    type Output = Moment;

    fn sub(self, duration: Duration) -> Moment {
        let micros = i64::try_from(duration.as_micros()).unwrap_or(i64::MAX);
        Moment(self.0.saturating_sub(micros))
    }
}
