//! Servers whose answers have broken off although they accept connections.
//!
//! Load pattern: a server ends under a call, accepts connections for some time while its
//! process ends, and listens again at its address soon after. A look at the moment of the
//! break finds a server that listens. What its end would leave behind is held until later
//! evidence decides: a refused connection, another server or a later start at its address.
//! An answer to a call that was sent after the break shows that the server lives.

use std::collections::HashMap;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::Duration;

use super::evidence::CallParts;
use super::run::ServerBreak;
use super::server::ServerKey;
use crate::time::Moment;

/// Time after a break at which a server that still listened is looked at again.
pub const RECHECK_DELAY: Duration = Duration::from_millis(200);
/// Time for which a break is held. A server that starts again publishes its entry sooner.
const HOLD_TIME: Duration = Duration::from_secs(6);
/// Breaks that are held at most.
const MAX_HELD_BREAKS: usize = 1_024;

/// Server that has ended, with the calls that it left behind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedServer<S = ServerKey> {
    /// Server whose process ended.
    pub server: S,
    /// Short hash of the server and the start that ended.
    pub boot: u32,
    /// When its answers broke off.
    pub at: Moment,
    /// What may have ended it.
    pub calls: Vec<CallParts>,
}

#[derive(Debug)]
struct HeldBreak {
    address: SocketAddr,
    boot: u32,
    at: Moment,
    calls: Vec<CallParts>,
    /// Whether a call that was sent later has been answered.
    answered: bool,
}

/// Latest break at each server that may have ended.
#[derive(Debug)]
pub struct DoubtfulServers<S = ServerKey> {
    breaks: HashMap<S, HeldBreak>,
}

impl<S> Default for DoubtfulServers<S> {
    fn default() -> Self {
        Self {
            breaks: HashMap::new(),
        }
    }
}

impl<S: Copy + Eq + Hash> DoubtfulServers<S> {
    /// Holds what broke off at `at` at the server with this address and start.
    pub fn hold(
        &mut self,
        server: S,
        address: SocketAddr,
        boot: u32,
        broken: ServerBreak,
        at: Moment,
    ) {
        if self.breaks.len() < MAX_HELD_BREAKS || self.breaks.contains_key(&server) {
            let held = HeldBreak {
                address,
                boot,
                at,
                calls: broken.calls,
                answered: false,
            };
            self.breaks.insert(server, held);
        }
    }

    /// Records that a server has answered a call that was sent at `sent_at`.
    pub fn record_answer(&mut self, server: S, sent_at: Moment) {
        if let Some(held) = self.breaks.get_mut(&server) {
            held.answered |= sent_at > held.at;
        }
    }

    /// Records that a server refuses connections; returns it if it ended with a break.
    pub fn record_refusal(&mut self, server: S) -> Option<EndedServer<S>> {
        let held = self.breaks.remove(&server)?;
        (!held.answered).then(|| held.into_ended(server))
    }

    /// Records that a server with another start, `boot`, is at an address; returns those
    /// that were there before and ended with a break.
    pub fn record_start(
        &mut self,
        server: S,
        address: SocketAddr,
        boot: u32,
    ) -> Vec<EndedServer<S>> {
        // Under the same key, the answer may be that of the later start.
        let replaced = self.breaks.extract_if(|known, held| {
            held.address == address && held.boot != boot && (!held.answered || *known == server)
        });
        replaced
            .map(|(known, held)| held.into_ended(known))
            .collect()
    }

    /// Drops breaks that no evidence has followed.
    pub fn expire(&mut self, now: Moment) {
        self.breaks.retain(|_, held| now.since(held.at) < HOLD_TIME);
    }
}

impl HeldBreak {
    fn into_ended<S>(self, server: S) -> EndedServer<S> {
        EndedServer {
            server,
            boot: self.boot,
            at: self.at,
            calls: self.calls,
        }
    }
}
