//! Interface to the source of routes and servers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaring_policy::dispatch::build::DeclaredBuild;
use verbenaring_policy::dispatch::call::RouteDocument;
use verbenaring_policy::dispatch::origin::OriginRecord;
use verbenaring_policy::dispatch::server::ServerEntry;
use verbenaring_policy::id::{CentreName, ServerId, VmId};

/// Part of the configuration that is listed and watched separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigScope {
    /// Routes and evacuations, written by operators.
    Operator,
    /// Entries of backend servers.
    Servers,
}

impl ConfigScope {
    /// Name used in logs.
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
    /// Routes and services, which replace all earlier ones.
    Routes(Box<RouteDocument>),
    /// The servers of a data centre take no calls.
    Evacuated(CentreName),
    /// The evacuation of a data centre has ended.
    Reinstated(CentreName),
    /// New or changed entry of a server.
    Server(Box<ServerEntry>),
    /// Removal of a server's entry.
    ServerRemoved {
        /// Server whose entry was removed.
        id: ServerId,
        /// Revision of the removal.
        revision: u64,
    },
    /// Entry that cannot be parsed; the others still apply.
    Invalid {
        /// Key of the entry in the source.
        key: String,
        /// Why it cannot be parsed.
        reason: String,
    },
}

/// Changes up to a revision, from a listing or a watch.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigBatch {
    /// Changes in the order in which they apply.
    pub changes: Vec<ConfigChange>,
    /// Revision from which a watch continues. Revisions rise also when the source comes
    /// back from an older state.
    pub revision: u64,
    /// Highest revision among the changes; 0 if there are none.
    pub newest_revision: u64,
    /// Whether the source came back from an older state a short time ago, so that what
    /// was written since may be missing.
    pub incomplete: bool,
}

/// Why the source did not provide what was asked for.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SourceError {
    /// The source no longer keeps the changes after the given revision.
    #[error("changes after the requested revision are no longer available")]
    Compacted,
    /// The source came back from an older state; its changes are to be listed again.
    #[error("the source came back from an older state")]
    Restored,
    /// The source did not answer in time; open connections to it may be dead.
    #[error("{0}")]
    NoAnswer(String),
    /// The source cannot be reached or failed; holds the reason.
    #[error("{0}")]
    Unavailable(String),
}

/// Entry by which a VM makes itself known to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmAnnouncement {
    /// Name of the VM.
    pub vm: VmId,
    /// UDP address for reports from other VMs.
    pub report_address: SocketAddr,
}

/// Entry about a request or a part of prompts that crashes servers, for VMs that start
/// later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Short ID of the request or part.
    pub part: u32,
    /// Start of the quarantine as Unix time in ms.
    pub since_unix_ms: u64,
}

/// Origins of streams that a process writes at once; the key under which they are kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OriginBatch {
    /// VM at which the streams began.
    pub vm: VmId,
    /// Boot number of its process.
    pub boot: u64,
    /// Number of the batch within the boot.
    pub sequence: u32,
}

/// Source of routes and servers, through which VMs also find each other.
pub trait ConfigSource: Send + Sync + 'static {
    /// Lists all entries of a scope, at least as new as the start of the call.
    fn list(
        &self,
        scope: ConfigScope,
    ) -> impl Future<Output = Result<ConfigBatch, SourceError>> + Send;

    /// Waits for changes after the revision `after`; empty if there are none
    /// within `hold`.
    fn watch(
        &self,
        scope: ConfigScope,
        after: u64,
        hold: Duration,
    ) -> impl Future<Output = Result<ConfigBatch, SourceError>> + Send;

    /// Number of times that the source is known to have come back from an older state.
    fn restorations(&self) -> u64;

    /// Announces a VM, or renews its announcement. It expires after `ttl`.
    fn announce(
        &self,
        announcement: &VmAnnouncement,
        ttl: Duration,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Whether a VM is announced at the time of the call.
    fn has_announcement(&self, vm: &VmId)
    -> impl Future<Output = Result<bool, SourceError>> + Send;

    /// Lists the announced VMs; the list may be some seconds old.
    fn announced_vms(
        &self,
    ) -> impl Future<Output = Result<Vec<VmAnnouncement>, SourceError>> + Send;

    /// Publishes that a request or a part of prompts is quarantined. The entry expires
    /// after `ttl`.
    fn publish_quarantine(
        &self,
        entry: QuarantineEntry,
        ttl: Duration,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Removes the entry about a request or a part of prompts, if there is one.
    fn withdraw_quarantine(
        &self,
        part: u32,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Declares that streams may have begun at a software version, until it is withdrawn.
    fn declare_build(
        &self,
        declared: &DeclaredBuild,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Withdraws a declaration, if there is one.
    fn withdraw_build(
        &self,
        declared: &DeclaredBuild,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Lists the declared software versions.
    fn declared_builds(
        &self,
    ) -> impl Future<Output = Result<Vec<DeclaredBuild>, SourceError>> + Send;

    /// Publishes where streams began, for at least as long as callers take them up.
    fn publish_origins(
        &self,
        batch: &OriginBatch,
        origins: &[OriginRecord],
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Lists where streams began, as far as it is published.
    fn published_origins(
        &self,
    ) -> impl Future<Output = Result<Vec<OriginRecord>, SourceError>> + Send;

    /// Lists the published quarantines.
    fn published_quarantines(
        &self,
    ) -> impl Future<Output = Result<Vec<QuarantineEntry>, SourceError>> + Send;
}
