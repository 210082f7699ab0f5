//! Rate limit for calls to cold servers.
//!
//! Load pattern: servers return together, with empty caches, and every VM has
//! calls for them. A cold server crashes under more than a few calls per second
//! from all VMs together. Each cold server therefore has one owner VM, chosen by
//! rendezvous hashing over the live VMs ([`super::ownership`]). The owner sends at
//! most half of the limit, so that two VMs that both believe to be the owner stay
//! within it. The others forward their calls to owners while all servers are cold.

use std::collections::VecDeque;
use std::time::Duration;

use super::ownership::RegionView;
use super::place::PlacementRequest;
use super::table::ServerTable;
use crate::time::Moment;

/// Sliding window of the rate limit.
const PACE_WINDOW: Duration = Duration::from_secs(1);

/// Largest part of the limit that one owner uses.
const MAX_OWNER_SHARE: f64 = 0.5;

/// Limit on the calls to a cold server from all VMs, derived from its tolerated rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PaceLimits {
    /// Factor applied to the tolerated rate.
    pub factor: f64,
    /// Calls per second allowed in addition.
    pub slack: f64,
}

impl Default for PaceLimits {
    /// Allows exactly the tolerated rate.
    fn default() -> Self {
        Self {
            factor: 1.0,
            slack: 0.0,
        }
    }
}

impl PaceLimits {
    /// Calls that an owner may send per second; `rate` is the tolerated rate,
    /// `live_share` the fraction of the region's VMs that the owner hears.
    ///
    /// Owners that do not hear each other hear different VMs, so that their parts add up
    /// to the limit at most.
    pub fn calls_per_owner(&self, rate: f64, live_share: f64) -> usize {
        let limit = (rate * self.factor + self.slack).max(0.0);
        (limit * live_share.min(MAX_OWNER_SHARE)) as usize
    }
}

/// Calls recently sent to one server.
#[derive(Debug, Clone, Default)]
pub struct PaceWindow {
    sent: VecDeque<Moment>,
}

impl PaceWindow {
    /// Whether another call stays within `limit` calls in every sliding window.
    pub fn allows(&mut self, limit: usize, now: Moment) -> bool {
        self.expire(now);
        self.sent.len() < limit
    }

    /// Records a call sent now.
    pub fn record(&mut self, now: Moment) {
        // Only the owner of the server asks whether calls are allowed.
        self.expire(now);
        self.sent.push_back(now);
    }

    /// Takes back a call that was recorded at `sent_at` and not sent.
    pub fn withdraw(&mut self, sent_at: Moment) {
        if let Some(index) = self.sent.iter().position(|at| *at == sent_at) {
            self.sent.remove(index);
        }
    }

    /// Number of calls that are kept.
    pub fn kept_calls(&self) -> usize {
        self.sent.len()
    }

    fn expire(&mut self, now: Moment) {
        while let Some(first) = self.sent.front()
            && now.since(*first) > PACE_WINDOW
        {
            self.sent.pop_front();
        }
    }
}

impl ServerTable {
    /// Whether VM `vm` of the region may send calls to a cold server of the request's
    /// service.
    pub fn owns_cold_server(
        &self,
        request: &PlacementRequest<'_>,
        vm: u64,
        view: &RegionView,
        now: Moment,
    ) -> bool {
        let mut servers = self.usable_servers(request.service, now);
        servers.any(|record| {
            record.is_paced(request.settings, self.current_since, now)
                && view.is_owned_by(vm, record.name_hash)
        })
    }
}
