//! Attempts that have ended, and their targets.

use std::sync::Arc;

use verbenaring_policy::dispatch::server::ServerKey;
use verbenaring_policy::id::VmId;

use super::call::{AttemptRole, PendingCall, TriedTargets};
use super::choose::CallTarget;
use super::exchange::AttemptOutcome;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Target of an attempt, used to exclude it after a failure.
pub(super) enum EndedTarget {
    Server { key: ServerKey, name: String },
    Vm { vm: VmId },
}

impl EndedTarget {
    pub(super) fn of(target: &CallTarget) -> Self {
        match target {
            CallTarget::Server(server) => EndedTarget::Server {
                key: server.work.key,
                name: server.id.to_string(),
            },
            CallTarget::Vm(vm) => EndedTarget::Vm { vm: vm.vm.clone() },
        }
    }

    /// Name in logs.
    pub(super) fn name(&self) -> &str {
        match self {
            EndedTarget::Server { name, .. } => name,
            EndedTarget::Vm { vm } => vm.as_str(),
        }
    }

    pub(super) fn exclude(&self, tried: &mut TriedTargets) {
        match self {
            EndedTarget::Server { key, .. } => tried.servers.push(*key),
            EndedTarget::Vm { vm } => tried.vms.push(vm.clone()),
        }
    }
}

/// Attempt that has ended.
pub(super) struct EndedAttempt<P: WireProtocol> {
    pub(super) target: EndedTarget,
    pub(super) outcome: AttemptOutcome<P>,
}

/// Attempts that were made at the same time and have ended. Those that were cancelled are
/// left out.
pub(super) struct EndedAttempts<P: WireProtocol> {
    /// Attempt that failed while the other one went on. Boxed, as few calls have one.
    pub(super) earlier: Option<Box<EndedAttempt<P>>>,
    /// Attempt that ended last; only this one may have an answer to be passed on.
    pub(super) last: EndedAttempt<P>,
}

impl<P: WireProtocol> EndedAttempts<P> {
    pub(super) fn one(target: EndedTarget, outcome: AttemptOutcome<P>) -> Self {
        Self {
            earlier: None,
            last: EndedAttempt { target, outcome },
        }
    }
}

impl<P: WireProtocol> FrontNode<P> {
    /// Makes an attempt that is not hedged.
    pub(super) async fn attempt_once(
        self: &Arc<Self>,
        call: &PendingCall,
        target: CallTarget,
        tried: &TriedTargets,
        last_event_id: Option<&str>,
    ) -> EndedAttempts<P> {
        let ended = EndedTarget::of(&target);
        let role = AttemptRole::First;
        let outcome = self.attempt(call, target, tried, last_event_id, role).await;
        EndedAttempts::one(ended, outcome)
    }
}
