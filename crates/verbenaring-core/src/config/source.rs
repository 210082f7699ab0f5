//! Where routes and servers come from.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaring_policy::dispatch::call::RouteDocument;
use verbenaring_policy::dispatch::server::ServerEntry;
use verbenaring_policy::id::{CentreName, ServerId, VmId};

/// Part of the configuration that is listed and watched by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigScope {
    /// Routes and evacuations, written by operators.
    Operator,
    /// Entries of backend servers.
    Servers,
}

impl ConfigScope {
    /// Name for logs.
    pub fn name(self) -> &'static str {
        match self {
            ConfigScope::Operator => "operator",
            ConfigScope::Servers => "servers",
        }
    }
}

/// One change, or one entry of a listing.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigChange {
    /// Routes and services.
    Routes(Box<RouteDocument>),
    /// The servers of a data centre take nothing.
    Evacuated(CentreName),
    /// The servers of a data centre take calls again.
    Reinstated(CentreName),
    /// Entry of a server.
    Server(Box<ServerEntry>),
    /// Removal of a server's entry.
    ServerRemoved {
        /// Server.
        id: ServerId,
        /// Revision of the removal.
        revision: u64,
    },
    /// Entry that cannot be read; the others hold.
    Unreadable {
        /// Key of the entry.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// Changes up to a revision.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigBatch {
    /// Changes, in order.
    pub changes: Vec<ConfigChange>,
    /// Revision from which a watch continues.
    pub revision: u64,
    /// Highest revision of one of the changes.
    pub newest_revision: u64,
}

/// Why the source did not answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The changes after the given revision are no longer kept.
    #[error("the history is no longer available")]
    Compacted,
    /// The source cannot be used now.
    #[error("{0}")]
    Unavailable(String),
}

/// A VM as it announces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmAnnouncement {
    /// Name.
    pub vm: VmId,
    /// Address for reports.
    pub report_address: SocketAddr,
}

/// Source of routes and servers, and the place where VMs find each other.
pub trait ConfigSource: Send + Sync + 'static {
    /// Everything in a scope, at least as new as the call.
    fn list(
        &self,
        scope: ConfigScope,
    ) -> impl Future<Output = Result<ConfigBatch, SourceError>> + Send;

    /// Changes after a revision; empty if there are none within `hold`.
    fn watch(
        &self,
        scope: ConfigScope,
        after: u64,
        hold: Duration,
    ) -> impl Future<Output = Result<ConfigBatch, SourceError>> + Send;

    /// Announces a VM, or renews its announcement, for `ttl`.
    fn announce(
        &self,
        announcement: &VmAnnouncement,
        ttl: Duration,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Announced VMs; may be some seconds old.
    fn announced_vms(
        &self,
    ) -> impl Future<Output = Result<Vec<VmAnnouncement>, SourceError>> + Send;
}
