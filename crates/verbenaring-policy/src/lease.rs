//! The order lease of a data centre and fenced orders to engines.
//!
//! One node per data centre holds the lease and gives orders to the engines.
//! Engines that check tokens refuse the orders of an earlier holder. For
//! engines that ignore tokens the margins in [`LeaseTiming`] keep the orders of
//! two holders apart. The specification is `docs/spec/lease.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::contract::Revision;
use crate::id::{ModelName, ServerId};
use crate::time::Moment;

/// Times of the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseTiming {
    /// Time to live of the lease in the store.
    pub ttl: Duration,
    /// Longest time between the check of the lease and the arrival of an
    /// order; the driver closes a connection that takes longer.
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
    /// How long a holder gives orders after it sent a confirmed request.
    ///
    /// The remaining third covers a clock of the holder that runs slow.
    pub fn hold(&self) -> Duration {
        self.ttl * 2 / 3
    }

    /// Interval between renewals; two may fail before the holder stops.
    pub fn renewal_interval(&self) -> Duration {
        self.hold() / 3
    }

    /// Wait before the first order to engines that ignore tokens.
    pub fn settling(&self) -> Duration {
        self.ttl + self.max_transit
    }
}

/// Creation revision of the lease key; grows with every change of holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FencingToken(pub Revision);

/// Request to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseRequest {
    /// Grant a new lease and create the key with it if the key is absent.
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

/// Answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseAnswer {
    /// The key was created with this revision.
    Granted(FencingToken),
    /// The lease was renewed.
    Renewed,
    /// Another node holds the key, or the lease lapsed.
    Refused,
    /// No answer. A lease granted unnoticed is not used and lapses.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct HeldLease {
    token: FencingToken,
    granted: Moment,
    expires: Moment,
}

/// One node's view of the order lease.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    terms: LeaseTiming,
    held: Option<HeldLease>,
    open: Option<(LeaseCall, Moment)>,
    serial: u32,
}

/// Proof that orders may be given at the instant of the check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct OrderPermit {
    /// Token to send with the order.
    pub token: FencingToken,
    /// Whether engines that ignore tokens may be addressed as well.
    pub unfenced: bool,
}

impl LeaseHolder {
    /// View of a node that holds nothing.
    pub fn new(terms: LeaseTiming) -> Self {
        Self {
            terms,
            held: None,
            open: None,
            serial: 0,
        }
    }

    /// Starts a request; `now` must be read before the request is sent.
    ///
    /// Returns none while another request is open.
    pub fn request(&mut self, now: Moment) -> Option<LeaseCall> {
        if self.open.is_some() {
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
        self.open = Some((call, now));
        Some(call)
    }

    /// Applies the answer to the call with this serial; others are ignored.
    pub fn answer(&mut self, serial: u32, answer: LeaseAnswer, now: Moment) {
        let Some((call, asked)) = self.open.take_if(|(call, _)| call.serial == serial) else {
            return;
        };
        // Counted from before the request: the store starts the time to live later.
        let expires = asked + self.terms.hold();
        match (call.request, answer) {
            (LeaseRequest::Acquire, LeaseAnswer::Granted(token)) => {
                self.held = Some(HeldLease {
                    token,
                    granted: now,
                    expires,
                });
            }
            (LeaseRequest::Renew(token), LeaseAnswer::Renewed) => {
                if let Some(held) = self.held.as_mut().filter(|held| held.token == token) {
                    held.expires = expires;
                }
            }
            (_, LeaseAnswer::Lost) => {}
            _ => self.held = None,
        }
    }

    /// Gives the lease up, for a planned stop.
    pub fn release(&mut self) -> Option<FencingToken> {
        self.open = None;
        self.held.take().map(|held| held.token)
    }

    /// Whether orders may be given now. The order must be sent within
    /// [`LeaseTiming::max_transit`] of this check or not at all.
    pub fn permit(&self, now: Moment) -> Option<OrderPermit> {
        let held = self.held.filter(|held| now < held.expires)?;
        Some(OrderPermit {
            token: held.token,
            unfenced: now >= held.granted + self.terms.settling(),
        })
    }
}

/// Part of an engine in serving.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decode.
    Combined,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Complete desired state of an engine. It is no difference to the current
/// state, so an order can be repeated without harm.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTarget {
    /// Role of the engine.
    pub role: EngineRole,
    /// Models to have loaded, with their versions.
    pub models: BTreeMap<ModelName, String>,
    /// Adapters to have loaded.
    pub adapters: BTreeSet<String>,
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Token of the holder.
    pub token: FencingToken,
    /// Revision of the configuration entry that states the target.
    pub revision: Revision,
    /// Engine the order is for.
    pub server: ServerId,
    /// State to reach.
    pub target: EngineTarget,
}

/// An order came from an earlier holder or was overtaken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("order with token {offered:?} is older than the accepted {accepted:?}")]
pub struct StaleOrder {
    /// Token and revision of the order.
    pub offered: (FencingToken, Revision),
    /// Highest token and revision accepted.
    pub accepted: (FencingToken, Revision),
}

/// Check of an engine that honours tokens.
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
