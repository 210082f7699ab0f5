//! The order lease of a data centre and fenced orders to engines.
//!
//! One node per data centre holds the lease and sends orders to the engines.
//! Engines that check fencing tokens refuse the orders of an earlier holder. For
//! engines that ignore tokens, the margins in [`LeaseTiming`] ensure that no order
//! of an earlier holder arrives after one of a later holder. The specification is
//! `docs/spec/lease.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contract::Revision;
use crate::id::{ModelName, ServerId};
use crate::time::Moment;

/// Time to live and safety margin of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Time to live of the lease in the store.
    pub ttl: Duration,
    /// Longest time between the check of the lease and the arrival of an
    /// order; the driver closes a connection that exceeds it.
    pub max_transit: Duration,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(15),
            max_transit: Duration::from_secs(10),
        }
    }
}

impl LeaseTiming {
    /// How long a holder may send orders, counted from when it sent the last request
    /// that the store confirmed.
    ///
    /// The remaining third of the time to live covers a slow clock of the holder.
    pub fn hold_time(&self) -> Duration {
        self.ttl * 2 / 3
    }

    /// Interval between renewals; two may fail before the holder stops sending orders.
    pub fn renewal_interval(&self) -> Duration {
        self.hold_time() / 3
    }

    /// Wait of a new holder before its first order to engines that ignore tokens.
    pub fn settling_time(&self) -> Duration {
        self.ttl + self.max_transit
    }
}

/// Creation revision of the lease key; increases with every change of holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub Revision);

/// Request of a node to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseRequest {
    /// Grant a new lease and create the lease key with it if the key is absent.
    Acquire,
    /// Keep the lease of this token alive.
    Renew(FencingToken),
}

/// Request with its number, so that a late answer to an earlier request is
/// not taken for the answer to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseCall {
    /// Number of the call.
    pub serial: u32,
    /// Request to send.
    pub request: LeaseRequest,
}

/// Answer of the store to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseAnswer {
    /// The key was created with this revision.
    Granted(FencingToken),
    /// The lease was renewed.
    Renewed,
    /// Another node holds the key, or the lease expired.
    Refused,
    /// No answer. If the lease was granted nonetheless, it is not used and expires.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    token: FencingToken,
    granted_at: Moment,
    expires_at: Moment,
}

/// Client state of the order lease at one node, whether or not it holds the lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    timing: LeaseTiming,
    held: Option<HeldLease>,
    pending: Option<(LeaseCall, Moment)>,
    serial: u32,
}

/// Permission to send orders, valid at the instant of the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OrderPermit {
    /// Token to send with the order.
    pub token: FencingToken,
    /// Whether orders may also go to engines that ignore tokens.
    pub unfenced: bool,
}

impl LeaseHolder {
    /// Creates the state of a node that does not hold the lease.
    pub fn new(timing: LeaseTiming) -> Self {
        Self {
            timing,
            held: None,
            pending: None,
            serial: 0,
        }
    }

    /// Starts a request to acquire or renew; `now` must be read before it is sent.
    ///
    /// Returns `None` while another request has no answer.
    pub fn request(&mut self, now: Moment) -> Option<LeaseCall> {
        if self.pending.is_some() {
            return None;
        }
        let request = match self.held {
            Some(held) => LeaseRequest::Renew(held.token),
            None => LeaseRequest::Acquire,
        };
        self.serial += 1;
        let call = LeaseCall {
            serial: self.serial,
            request,
        };
        self.pending = Some((call, now));
        Some(call)
    }

    /// Applies the answer to the call with this serial; others are ignored.
    pub fn answer(&mut self, serial: u32, answer: LeaseAnswer, now: Moment) {
        let Some((call, sent_at)) = self.pending.take_if(|(call, _)| call.serial == serial) else {
            return;
        };
        // Counted from before the request, because the store starts the time to live later.
        let expires_at = sent_at + self.timing.hold_time();
        match (call.request, answer) {
            (LeaseRequest::Acquire, LeaseAnswer::Granted(token)) => {
                self.held = Some(HeldLease {
                    token,
                    granted_at: now,
                    expires_at,
                });
            }
            (LeaseRequest::Renew(token), LeaseAnswer::Renewed) => {
                if let Some(held) = self.held.as_mut().filter(|held| held.token == token) {
                    held.expires_at = expires_at;
                }
            }
            (_, LeaseAnswer::Lost) => {}
            _ => self.held = None,
        }
    }

    /// Releases the lease for a planned stop and returns its token, if it was held.
    pub fn release(&mut self) -> Option<FencingToken> {
        self.pending = None;
        self.held.take().map(|held| held.token)
    }

    /// Permission to send an order now, if the lease is held. The order must arrive
    /// within [`LeaseTiming::max_transit`] of this check or not at all.
    pub fn permit(&self, now: Moment) -> Option<OrderPermit> {
        let held = self.held.filter(|held| now < held.expires_at)?;
        Some(OrderPermit {
            token: held.token,
            unfenced: now >= held.granted_at + self.timing.settling_time(),
        })
    }
}

/// Phases of a request that an engine serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Serves prefill and decode.
    Combined,
    /// Serves prefill only.
    Prefill,
    /// Serves decode only.
    Decode,
}

/// Complete desired state of an engine. It does not depend on the current state,
/// so an order can be repeated without harm.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Phases to serve.
    pub role: EngineRole,
    /// Models to load, with their versions.
    pub models: BTreeMap<ModelName, String>,
    /// Adapters to load.
    pub adapters: BTreeSet<String>,
}

/// Order to an engine to reach a state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing token of the lease holder that sends the order.
    pub token: FencingToken,
    /// Revision of the configuration entry that states the target.
    pub revision: Revision,
    /// Engine the order is for.
    pub server: ServerId,
    /// State to reach.
    pub target: EngineTarget,
}

/// An order came from an earlier holder, or a newer revision was accepted before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("order with token {offered:?} is older than the accepted {accepted:?}")]
pub struct StaleOrder {
    /// Token and revision of the order.
    pub offered: (FencingToken, Revision),
    /// Highest token and revision accepted.
    pub accepted: (FencingToken, Revision),
}

/// Check of an engine that refuses orders with outdated tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct FencingCheck {
    accepted: Option<(FencingToken, Revision)>,
}

impl FencingCheck {
    /// Accepts an order unless a newer token, or a newer revision of the same
    /// holder, was accepted before. A repeated order is accepted.
    pub fn accept(&mut self, token: FencingToken, revision: Revision) -> Result<(), StaleOrder> {
        let offered = (token, revision);
        match self.accepted {
            Some(accepted) if offered < accepted => Err(StaleOrder { offered, accepted }),
            _ => {
                self.accepted = Some(offered);
                Ok(())
            }
        }
    }
}
