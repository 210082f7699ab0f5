//! Choice between running a request in the own region and sending it to another.
//!
//! The residency rule of the contract is checked first. Work is sent away only
//! if the gain in waiting time exceeds the sum of the round trip, the time to
//! fill the cold cache and the cost weight of the contract. While that holds, a
//! customer's work keeps going to the same region, so that caches warm up and
//! traffic does not oscillate.

use std::collections::HashMap;
use std::time::Duration;

use crate::contract::ContractTerms;
use crate::id::{CustomerId, RegionName};
use crate::time::Moment;

/// Round trip between two regions at 55 ms one-way latency.
pub const ROUND_TRIP: Duration = Duration::from_millis(110);
/// Factor by which a gain must exceed the threshold before sending starts; the
/// threshold itself is enough to continue, which prevents oscillation.
pub const START_GAIN_FACTOR: f64 = 1.25;
/// Age above which the wait in a summary is not used to send work away for a gain.
pub const MAX_SUMMARY_AGE: Duration = Duration::from_secs(5);
/// Time without sent work after which the region of a customer is forgotten.
pub const STICKY_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes that this node may send over one link, as a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkBudget {
    bytes_per_s: f64,
    burst_bytes: f64,
    level_bytes: f64,
    refilled_at: Moment,
}

impl LinkBudget {
    /// Creates a full bucket.
    pub fn new(bytes_per_s: f64, burst_bytes: f64, now: Moment) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            level_bytes: burst_bytes,
            refilled_at: now,
        }
    }

    /// Takes `bytes` and returns true, or takes nothing if fewer are left.
    pub fn try_take(&mut self, bytes: u64, now: Moment) -> bool {
        self.refill(now);
        let enough = self.level_bytes >= bytes as f64;
        if enough {
            self.level_bytes -= bytes as f64;
        }
        enough
    }

    /// Takes `bytes` without a check, such as those beyond an estimate; the level may
    /// fall below zero.
    pub fn charge(&mut self, bytes: u64, now: Moment) {
        self.refill(now);
        self.level_bytes -= bytes as f64;
    }

    fn refill(&mut self, now: Moment) {
        let gained = now.since(self.refilled_at).as_secs_f64() * self.bytes_per_s;
        self.level_bytes = (self.level_bytes + gained).min(self.burst_bytes);
        self.refilled_at = self.refilled_at.max(now);
    }
}

/// State of a region as known to one node.
#[derive(Debug, Clone, Copy)]
pub struct RegionView<'a> {
    /// Name of the region.
    pub region: &'a RegionName,
    /// Whether a data centre of the region can be reached.
    pub reachable: bool,
    /// Expected wait for a slot; `None` if no server can run the request.
    pub wait: Option<Duration>,
    /// Age of the summary that the wait was taken from.
    pub age: Duration,
    /// Round trip from the own region.
    pub round_trip: Duration,
    /// Prompt tokens that a server processes per second, for the cold-cache penalty.
    pub prefill_tokens_per_s: f64,
    /// Whether the region served the request's prefix recently.
    pub warm: bool,
    /// Cost relative to the own region; multiplies the contract's cost weight.
    pub cost: f64,
}

/// Properties of a request that the choice of a region depends on.
#[derive(Debug, Clone, Copy)]
pub struct RegionRequest<'a> {
    /// Contract of the customer.
    pub terms: &'a ContractTerms,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Bytes of the request and of the expected answer.
    pub bytes: u64,
    /// Whether a peer forwarded the request; it then stays here (invariant I2).
    pub forwarded: bool,
}

/// Why a request can run in no region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionRefusal {
    /// The contract does not allow the own region.
    Residency,
    /// No allowed region in reach has a server for the request.
    Capacity,
    /// No allowed region that could run the request has link budget left.
    Link,
}

/// Region that a request runs in, or the refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionChoice {
    /// Run in the own region.
    Local,
    /// Send to the region at this index of the `remotes` argument.
    Remote(usize),
    /// Refuse with `not_run`.
    Refused(RegionRefusal),
}

#[derive(Debug)]
struct RegionAffinity {
    region: RegionName,
    last_sent: Moment,
}

/// Chooses a region per request and remembers where each customer's work is sent.
#[derive(Debug, Default)]
pub struct RegionSelector {
    links: HashMap<RegionName, LinkBudget>,
    affinities: HashMap<CustomerId, RegionAffinity>,
}

impl RegionSelector {
    /// Sets this node's budget of the link to a region.
    pub fn set_link(&mut self, region: &RegionName, budget: LinkBudget) {
        self.links.insert(region.clone(), budget);
    }

    /// Budget of the link to a region, for corrections; `None` if none was set.
    pub fn link_mut(&mut self, region: &RegionName) -> Option<&mut LinkBudget> {
        self.links.get_mut(region)
    }

    /// Chooses a region and takes the bytes of a sent request from its link.
    pub fn select(
        &mut self,
        request: &RegionRequest<'_>,
        local: &RegionView<'_>,
        remotes: &[RegionView<'_>],
        now: Moment,
    ) -> RegionChoice {
        let residency = &request.terms.residency;
        if !residency.allows(local.region) {
            // A relay through this region would process the data here (invariant I1).
            return RegionChoice::Refused(RegionRefusal::Residency);
        }
        let Some(local_wait) = local.wait else {
            return self.send_without_local(request, remotes, now);
        };
        if request.forwarded {
            return RegionChoice::Local;
        }
        // The gain cannot exceed the local wait, and so not the round trip either.
        if local_wait <= shortest_round_trip(remotes) {
            self.affinities.remove(&request.terms.customer);
            return RegionChoice::Local;
        }
        self.send_if_faster(request, local_wait, remotes, now)
    }

    /// Forgets the region of customers whose work was not sent away for [`STICKY_TIMEOUT`].
    pub fn remove_idle(&mut self, now: Moment) {
        self.affinities
            .retain(|_, affinity| now.since(affinity.last_sent) < STICKY_TIMEOUT);
    }

    /// Chooses the shortest total time; the own region cannot run the request, so cost
    /// and gain do not count.
    fn send_without_local(
        &mut self,
        request: &RegionRequest<'_>,
        remotes: &[RegionView<'_>],
        now: Moment,
    ) -> RegionChoice {
        let residency = &request.terms.residency;
        let allowed = |view: &RegionView<'_>| view.reachable && residency.allows(view.region);
        let mut refusal = RegionRefusal::Capacity;
        if request.forwarded {
            return RegionChoice::Refused(refusal);
        }
        let mut best: Option<(usize, Duration)> = None;
        for (index, view) in remotes.iter().enumerate() {
            let Some(wait) = view.wait.filter(|_| allowed(view)) else {
                continue;
            };
            let total = wait + view.round_trip + cold_penalty(request, view);
            if !self.has_link_budget(view.region, request.bytes, now) {
                refusal = RegionRefusal::Link;
            } else if best.is_none_or(|(_, shortest)| total < shortest) {
                best = Some((index, total));
            }
        }
        match best {
            Some((index, _)) => self.send(request, index, remotes, now),
            None => RegionChoice::Refused(refusal),
        }
    }

    fn send_if_faster(
        &mut self,
        request: &RegionRequest<'_>,
        local_wait: Duration,
        remotes: &[RegionView<'_>],
        now: Moment,
    ) -> RegionChoice {
        let customer = &request.terms.customer;
        let current = self
            .affinities
            .get(customer)
            .filter(|affinity| now.since(affinity.last_sent) < STICKY_TIMEOUT)
            .map(|affinity| &affinity.region);
        let mut best: Option<(usize, f64)> = None;
        for (index, view) in remotes.iter().enumerate() {
            let usable = view.reachable && view.age <= MAX_SUMMARY_AGE;
            let Some(wait) = view.wait.filter(|_| usable) else {
                continue;
            };
            let Some(gain) = local_wait.checked_sub(wait) else {
                continue;
            };
            let threshold = threshold(request, view).as_secs_f64();
            let sticky = current == Some(view.region);
            let needed = if sticky {
                threshold
            } else {
                threshold * START_GAIN_FACTOR
            };
            let margin = gain.as_secs_f64() - needed;
            let better = best.is_none_or(|(_, largest)| margin > largest);
            if margin > 0.0 && better && request.terms.residency.allows(view.region) {
                best = Some((index, margin));
            }
        }
        match best {
            Some((index, _)) if self.has_link_budget(remotes[index].region, request.bytes, now) => {
                self.send(request, index, remotes, now)
            }
            Some(_) => RegionChoice::Local,
            None => {
                self.affinities.remove(customer);
                RegionChoice::Local
            }
        }
    }

    fn has_link_budget(&mut self, region: &RegionName, bytes: u64, now: Moment) -> bool {
        self.links.get_mut(region).is_some_and(|budget| {
            budget.refill(now);
            budget.level_bytes >= bytes as f64
        })
    }

    fn send(
        &mut self,
        request: &RegionRequest<'_>,
        index: usize,
        remotes: &[RegionView<'_>],
        now: Moment,
    ) -> RegionChoice {
        let region = remotes[index].region;
        if let Some(budget) = self.links.get_mut(region) {
            budget.charge(request.bytes, now);
        }
        match self.affinities.get_mut(&request.terms.customer) {
            Some(affinity) if affinity.region == *region => affinity.last_sent = now,
            _ => {
                let affinity = RegionAffinity {
                    region: region.clone(),
                    last_sent: now,
                };
                self.affinities
                    .insert(request.terms.customer.clone(), affinity);
            }
        }
        RegionChoice::Remote(index)
    }
}

fn shortest_round_trip(remotes: &[RegionView<'_>]) -> Duration {
    let trips = remotes.iter().map(|view| view.round_trip);
    trips.min().unwrap_or(Duration::MAX)
}

/// Gain in waiting time above which work is sent away.
fn threshold(request: &RegionRequest<'_>, view: &RegionView<'_>) -> Duration {
    let weight = request.terms.preference.send_away_after;
    let cost = weight.mul_f64(view.cost.max(0.0));
    view.round_trip + cold_penalty(request, view) + cost
}

fn cold_penalty(request: &RegionRequest<'_>, view: &RegionView<'_>) -> Duration {
    if view.warm {
        return Duration::ZERO;
    }
    let seconds = f64::from(request.prompt_tokens) / view.prefill_tokens_per_s.max(1.0);
    Duration::from_secs_f64(seconds)
}
