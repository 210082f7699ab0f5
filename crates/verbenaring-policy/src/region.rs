//! Choice between the own and other regions.
//!
//! Residency comes first. Work is sent away only if the gain in waiting time
//! exceeds the round trip, the cold cache and the cost weight of the contract.
//! A customer that is sent away stays with its region while that holds, so
//! that caches warm up and traffic does not oscillate.

use std::collections::HashMap;
use std::time::Duration;

use crate::contract::ContractTerms;
use crate::id::{CustomerId, RegionName};
use crate::time::Moment;

/// Round trip between two regions at 55 ms one-way latency.
pub const ROUND_TRIP: Duration = Duration::from_millis(110);
/// Gain over the threshold that is needed to start sending, as a factor.
pub const START_FACTOR: f64 = 1.25;
/// Summaries older than this are not used to send work away.
pub const MAX_SUMMARY_AGE: Duration = Duration::from_secs(5);
/// Time without sent work after which a customer's region is forgotten.
pub const STICKY_TIME: Duration = Duration::from_secs(30);

/// Budget of one link as a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkBudget {
    bytes_per_s: f64,
    burst: f64,
    level: f64,
    filled: Moment,
}

impl LinkBudget {
    /// Full bucket.
    pub fn new(bytes_per_s: f64, burst_bytes: f64, now: Moment) -> Self {
        Self {
            bytes_per_s,
            burst: burst_bytes,
            level: burst_bytes,
            filled: now,
        }
    }

    /// Takes `bytes`, or nothing if the budget is short.
    pub fn try_take(&mut self, bytes: u64, now: Moment) -> bool {
        self.refill(now);
        let enough = self.level >= bytes as f64;
        if enough {
            self.level -= bytes as f64;
        }
        enough
    }

    /// Corrects the estimate by bytes beyond it; the level may fall below zero.
    pub fn charge(&mut self, bytes: u64, now: Moment) {
        self.refill(now);
        self.level -= bytes as f64;
    }

    fn refill(&mut self, now: Moment) {
        let gained = now.since(self.filled).as_secs_f64() * self.bytes_per_s;
        self.level = (self.level + gained).min(self.burst);
        self.filled = self.filled.max(now);
    }
}

/// Region as seen by one node.
#[derive(Debug, Clone, Copy)]
pub struct RegionView<'a> {
    /// Name.
    pub region: &'a RegionName,
    /// Whether a data centre of the region can be reached.
    pub reachable: bool,
    /// Expected wait for a slot; `None` if no server can run the request.
    pub wait: Option<Duration>,
    /// Age of the summary that the wait was taken from.
    pub age: Duration,
    /// Round trip from the own region.
    pub round_trip: Duration,
    /// Speed of prompt processing, for the cold-cache penalty.
    pub prefill_tokens_per_s: f64,
    /// Whether the region served the request's prefix recently.
    pub warm: bool,
    /// Cost of running the request there, relative to the own region.
    pub cost: f64,
}

/// Request as seen by the choice of a region.
#[derive(Debug, Clone, Copy)]
pub struct RegionRequest<'a> {
    /// Contract of the customer.
    pub terms: &'a ContractTerms,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Bytes of the request and the expected answer.
    pub bytes: u64,
    /// Whether a peer forwarded the request; it then stays here (I2).
    pub forwarded: bool,
}

/// Why a request can run in no region.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionRefusal {
    /// The contract does not allow the own region.
    Residency,
    /// No allowed region in reach has a server for the request.
    Capacity,
    /// The link to every allowed region is used up.
    Link,
}

/// Result of a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegionChoice {
    /// Run in the own region.
    Local,
    /// Send to the remote region at this index.
    Remote(usize),
    /// Refuse with `not_run`.
    Refused(RegionRefusal),
}

#[derive(Debug)]
struct Sending {
    region: RegionName,
    last: Moment,
}

/// Decides per request, and remembers where each customer's work is sent.
#[derive(Debug, Default)]
pub struct RegionSelector {
    links: HashMap<RegionName, LinkBudget>,
    sending: HashMap<CustomerId, Sending>,
}

impl RegionSelector {
    /// Sets this node's budget of the link to a region.
    pub fn set_link(&mut self, region: &RegionName, budget: LinkBudget) {
        self.links.insert(region.clone(), budget);
    }

    /// Budget of the link to a region, for corrections.
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
            // A relay through this region would process the data here (I1).
            return RegionChoice::Refused(RegionRefusal::Residency);
        }
        let Some(local_wait) = local.wait else {
            return self.send_necessarily(request, remotes, now);
        };
        if request.forwarded {
            return RegionChoice::Local;
        }
        // No gain can exceed the local wait, so a short wait decides early.
        if local_wait <= shortest_round_trip(remotes) {
            self.sending.remove(&request.terms.customer);
            return RegionChoice::Local;
        }
        self.send_for_gain(request, local_wait, remotes, now)
    }

    /// Drops customers whose work was not sent away for [`STICKY_TIME`].
    pub fn remove_idle(&mut self, now: Moment) {
        self.sending
            .retain(|_, sending| now.since(sending.last) < STICKY_TIME);
    }

    /// The own region cannot run the request, so cost and gain do not matter.
    fn send_necessarily(
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
            if !self.has_link(view.region, request.bytes, now) {
                refusal = RegionRefusal::Link;
            } else if best.is_none_or(|(_, least)| total < least) {
                best = Some((index, total));
            }
        }
        match best {
            Some((index, _)) => self.send(request, index, remotes, now),
            None => RegionChoice::Refused(refusal),
        }
    }

    fn send_for_gain(
        &mut self,
        request: &RegionRequest<'_>,
        local_wait: Duration,
        remotes: &[RegionView<'_>],
        now: Moment,
    ) -> RegionChoice {
        let customer = &request.terms.customer;
        let current = self
            .sending
            .get(customer)
            .filter(|sending| now.since(sending.last) < STICKY_TIME)
            .map(|sending| &sending.region);
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
                threshold * START_FACTOR
            };
            let margin = gain.as_secs_f64() - needed;
            let better = best.is_none_or(|(_, most)| margin > most);
            if margin > 0.0 && better && request.terms.residency.allows(view.region) {
                best = Some((index, margin));
            }
        }
        match best {
            Some((index, _)) if self.has_link(remotes[index].region, request.bytes, now) => {
                self.send(request, index, remotes, now)
            }
            Some(_) => RegionChoice::Local,
            None => {
                self.sending.remove(customer);
                RegionChoice::Local
            }
        }
    }

    fn has_link(&mut self, region: &RegionName, bytes: u64, now: Moment) -> bool {
        self.links.get_mut(region).is_some_and(|budget| {
            budget.refill(now);
            budget.level >= bytes as f64
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
        match self.sending.get_mut(&request.terms.customer) {
            Some(sending) if sending.region == *region => sending.last = now,
            _ => {
                let sending = Sending {
                    region: region.clone(),
                    last: now,
                };
                self.sending.insert(request.terms.customer.clone(), sending);
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
