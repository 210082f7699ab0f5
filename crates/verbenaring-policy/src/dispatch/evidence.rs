//! Parts of calls that may crash servers, and the evidence about them that VMs exchange.
//!
//! Evidence states ages instead of moments, because the clocks of VMs differ, and IDs of
//! 32 bits, because the evidence about many parts goes into one datagram.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::suspect::TRIAL_DELAYS;

/// Parts of a call that may crash servers, by short IDs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallParts {
    /// The request as a whole: equal requests have equal IDs.
    pub request: u32,
    /// Parts of its prompt that other requests may share, in order.
    pub shared: Vec<u32>,
}

/// Depth of a whole request, beside those of the parts of prompts.
pub(super) const REQUEST_DEPTH: u8 = 0;

impl CallParts {
    /// The whole request, then the shared parts, each with its depth.
    pub(super) fn by_depth(&self) -> impl Iterator<Item = (u8, u32)> {
        let parts = [self.request]
            .into_iter()
            .chain(self.shared.iter().copied());
        // Callers choose the number of parts; the last ones may share the largest depth.
        let depths = (REQUEST_DEPTH..=u8::MAX).chain(std::iter::repeat(u8::MAX));
        depths.zip(parts)
    }
}

/// End of a server, as told to other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// Short hash of the server and its start.
    pub server: u32,
    /// Time since the server ended, in ms.
    pub age_ms: u32,
}

/// Evidence about one part, as told to other VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNews {
    /// Short ID of the part.
    pub part: u32,
    /// Position of the part in prompts, from 1; 0 for a whole request.
    pub depth: u8,
    /// Ends of servers that were answering calls with the part.
    pub crashes: Vec<CrashNews>,
    /// Time since the last complete answer to a call with the part, in ms; `None` if
    /// there was none.
    pub sound_age_ms: Option<u32>,
    /// Time since the part was quarantined, in ms; `None` if it is not.
    pub quarantine_age_ms: Option<u32>,
    /// Calls by which it was tried since then.
    pub trials: u8,
}

impl SuspectNews {
    /// News of a quarantine that began `age` ago, without the evidence for it and the depth,
    /// which other VMs add. Trials that were due since then count as made.
    pub fn of_quarantine(part: u32, age: Duration) -> Self {
        let trials = TRIAL_DELAYS.iter().filter(|delay| **delay <= age).count();
        Self {
            part,
            depth: REQUEST_DEPTH,
            crashes: Vec::new(),
            sound_age_ms: None,
            quarantine_age_ms: Some(age.as_millis() as u32),
            trials: trials as u8,
        }
    }
}
