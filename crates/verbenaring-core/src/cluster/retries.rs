//! Exchange of what VMs have spent of the retry budgets.
//!
//! A VM states it behind its reports: soon after each retry, and from time to time for VMs
//! that have started since. A process that follows another one under its name asks in the
//! same way; VMs that hold a statement of its predecessor answer.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaring_policy::dispatch::retry_share::RetryStatement;

use super::message::encode_retries;
use super::report::{Datagrams, RELAY_INTERVAL, Reporter};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Interval of statements while retries are made, and of those that ask.
const CHANGE_INTERVAL: Duration = RELAY_INTERVAL;
/// Time for which a change is stated again and again, because datagrams get lost.
const CHANGE_TIME: Duration = Duration::from_millis(350);
/// Interval of statements without changes.
const REPEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Answers to VMs that ask, in one tick.
const MAX_RECALLED: usize = 20;

impl<P: WireProtocol> Reporter<P> {
    /// The statement of this VM if one is due.
    pub(super) fn due_statement(&mut self) -> Vec<RetryStatement> {
        if !self.retries_schedule.is_due(CHANGE_INTERVAL) {
            return Vec::new();
        }
        let now = self.node.clock.now();
        let urgent = {
            let shares = &self.node.lock().retry_shares;
            shares.changed_within(CHANGE_TIME, now) || !shares.knows_spending(now)
        };
        match urgent || self.retries_repeat.is_due(REPEAT_INTERVAL) {
            true => vec![self.own_statement()],
            false => Vec::new(),
        }
    }

    pub(super) fn own_statement(&self) -> RetryStatement {
        let now = self.node.clock.now();
        let boot = self.node.boot;
        self.node.lock().retry_statement(boot, now)
    }

    /// Holds what another VM states, and prepares an answer if it asks.
    pub(super) fn hold_statements(&mut self, statements: Vec<RetryStatement>, from: SocketAddr) {
        let now = self.node.clock.now();
        let mut state = self.node.lock();
        let own = state.vm_hash() as u32;
        for statement in statements {
            if statement.vm == own {
                continue;
            }
            let recalled = state.held_statements.record(statement, now);
            if let Some(recalled) = recalled
                && self.recalled_statements.len() < MAX_RECALLED
            {
                self.recalled_statements.push((from, recalled));
            }
        }
    }

    /// Tells VMs what their earlier processes have spent.
    pub(super) fn recall_statements(&mut self, datagrams: &mut Datagrams) {
        for (address, statement) in std::mem::take(&mut self.recalled_statements) {
            match encode_retries(&statement) {
                Ok(bytes) => datagrams.push((address, bytes)),
                Err(error) => log::warn!(error:% = error; "failed to encode spent retries"),
            }
        }
    }

    /// Goes on with the shares of the process before this one.
    pub(super) fn inherit_retries(&self, statement: &RetryStatement) {
        let now = self.node.clock.now();
        let mut state = self.node.lock();
        if statement.vm != state.vm_hash() as u32 || statement.boot == self.node.boot {
            return;
        }
        let is_first = state.retry_shares.inherit(statement, now);
        drop(state);
        if is_first {
            log::info!(boot = statement.boot, spent = statement.spent(), vms = statement.vms,
                age_ms = statement.age_ms; "repeats of an earlier process taken over");
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    /// Records that no process of this VM ran before this one.
    pub(crate) fn record_first_start(&self) {
        self.lock().record_first_start(self.boot);
    }
}
