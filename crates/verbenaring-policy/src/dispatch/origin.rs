//! Where streams began, so that they go on at the same software version.
//!
//! Load pattern: a server or a VM fails, and the callers of all its streams take them up at
//! other VMs within a second. While several versions serve, VMs tell each other where
//! streams began as soon as the first event has arrived; what a VM has not been told it
//! asks for. Records are kept for as long as streams are taken up, up to a fixed number.
//! What would be lost if all VMs ended is published as soon as a second version serves.

use std::collections::{HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::build::{BuildId, STREAM_LIFETIME};
use super::prompt::name_hash;
use crate::time::Moment;

/// Records that a VM keeps; the oldest are dropped first.
const MAX_RECORDS: usize = 32_768;
/// Records of own streams that wait to be published; the oldest are dropped first.
const MAX_UNPUBLISHED: usize = 8_192;

/// Stream, by the hash of the attempt that brought its first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// Stream whose first event the attempt `attempt_id` brought.
    pub fn of(attempt_id: &str) -> Self {
        Self(name_hash(attempt_id))
    }
}

/// Build at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Stream that began.
    pub stream: StreamId,
    /// Build of its first server.
    pub build: BuildId,
}

/// Origins of streams, as far as this VM knows.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    builds: HashMap<StreamId, BuildId>,
    /// Streams by age; the oldest come first.
    order: VecDeque<(StreamId, Moment)>,
    untold: Vec<OriginRecord>,
    /// Streams of this VM that have not been published, by age.
    unpublished: VecDeque<(OriginRecord, Moment)>,
}

impl StreamOrigins {
    /// Records where a stream of this VM began. The others are told if `tell` is set.
    pub fn record(&mut self, origin: OriginRecord, tell: bool, now: Moment) {
        self.insert(origin, now);
        if tell {
            self.untold.push(origin);
        }
        if self.unpublished.len() >= MAX_UNPUBLISHED {
            self.unpublished.pop_front();
        }
        self.unpublished.push_back((origin, now));
    }

    /// Takes over what another VM told.
    pub fn merge(&mut self, origins: &[OriginRecord], now: Moment) {
        for origin in origins {
            self.insert(*origin, now);
        }
    }

    fn insert(&mut self, origin: OriginRecord, now: Moment) {
        // What a stream began at does not change.
        if self.builds.contains_key(&origin.stream) {
            return;
        }
        if self.order.len() >= MAX_RECORDS
            && let Some((oldest, _)) = self.order.pop_front()
        {
            self.builds.remove(&oldest);
        }
        self.builds.insert(origin.stream, origin.build);
        self.order.push_back((origin.stream, now));
    }

    /// Build at which a stream began; `None` if it is not known.
    pub fn find(&self, stream: StreamId) -> Option<BuildId> {
        self.builds.get(&stream).copied()
    }

    /// Takes the origins that the other VMs are to be told.
    pub fn take_untold(&mut self) -> Vec<OriginRecord> {
        std::mem::take(&mut self.untold)
    }

    /// Takes up to `count` origins of streams of this VM that are to be published, those
    /// that began last first.
    pub fn take_unpublished(&mut self, count: usize, now: Moment) -> Vec<OriginRecord> {
        let kept = self.unpublished.len().saturating_sub(count);
        let taken = self.unpublished.split_off(kept).into_iter().rev();
        let live = taken.filter(|(_, at)| now.since(*at) < STREAM_LIFETIME);
        live.map(|(origin, _)| origin).collect()
    }

    /// Puts back what could not be published.
    pub fn put_back_unpublished(&mut self, origins: Vec<OriginRecord>, now: Moment) {
        let room = MAX_UNPUBLISHED.saturating_sub(self.unpublished.len());
        let origins = origins.into_iter().take(room).rev();
        self.unpublished.extend(origins.map(|origin| (origin, now)));
    }

    /// Drops the records of streams that no caller takes up any more.
    pub fn expire(&mut self, now: Moment) {
        self.unpublished
            .retain(|(_, at)| now.since(*at) < STREAM_LIFETIME);
        while let Some((stream, at)) = self.order.front() {
            if now.since(*at) < STREAM_LIFETIME {
                return;
            }
            self.builds.remove(stream);
            self.order.pop_front();
        }
    }
}
