//! Exchange of the use of the tenants' quotas.
//!
//! It is stated behind reports and loads. A relay tells one relay of each other region the
//! use by its group in a datagram of its own, since nothing that it sends there has room.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaring_policy::dispatch::allowance::{AllowanceRole, AllowanceScope, AllowanceStatement};

use super::message::encode_allowances;
use super::report::{Datagrams, Reporter};
use crate::wire::WireProtocol;

impl<P: WireProtocol> Reporter<P> {
    /// Use of the quotas by the VMs of a scope; empty if no tenant has one.
    pub(super) fn stated_allowances(&self, scope: AllowanceScope) -> Vec<AllowanceStatement> {
        let now = self.node.clock.now();
        let mut state = self.node.lock();
        match state.allowances.is_stated(now) {
            true => vec![state.allowances.statement(scope, now)],
            false => Vec::new(),
        }
    }

    /// Tells relays of other regions the use by the group.
    pub(super) fn relay_allowances(&self, addresses: &[SocketAddr], datagrams: &mut Datagrams) {
        for statement in self.stated_allowances(AllowanceScope::Far) {
            match encode_allowances(&statement) {
                Ok(bytes) => {
                    let copies = addresses.iter().map(|address| (*address, bytes.clone()));
                    datagrams.extend(copies);
                }
                Err(error) => log::warn!(error:% = error; "failed to encode use of quotas"),
            }
        }
    }

    /// Holds what another VM states every `interval`.
    pub(super) fn hold_allowances(&self, statements: &[AllowanceStatement], interval: Duration) {
        let now = self.node.clock.now();
        let mut state = self.node.lock();
        for statement in statements {
            state.allowances.record(statement, interval, now);
        }
    }

    /// Notes to whom this VM states the use of quotas, and how many VMs there are.
    pub(super) fn update_allowance_group(&self) {
        let now = self.node.clock.now();
        let role = match (self.plan.relayed, self.plan.is_relay) {
            (false, _) => AllowanceRole::Direct,
            (true, false) => AllowanceRole::Member,
            (true, true) => AllowanceRole::Relay,
        };
        let routes = self.node.routes.load();
        let mut tenants = routes.tenants().iter();
        let enabled = tenants.any(|tenant| tenant.allowance.is_limited());
        let mut state = self.node.lock();
        state.allowances.set_enabled(enabled);
        state.set_allowance_group(role, now);
    }
}
