//! Keeps routes and servers current.
//!
//! Some VMs of each region list each scope once and then watch it. A watch that
//! fails or whose history is gone leads to a new listing. While the source is
//! away, the last state holds. VMs that do not watch, or whose watch is behind,
//! ask others whose reports show newer state.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;
use verbenaring_policy::dispatch::call::{RouteDocument, RouteTable};
use verbenaring_policy::dispatch::server::ServerEntry;
use verbenaring_policy::dispatch::table::EntryChange;
use verbenaring_policy::id::{CentreName, ServerId};

use super::source::{
    ConfigBatch, ConfigChange, ConfigScope, ConfigSource, SourceError, VmAnnouncement,
};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// First pause after a failed call; all VMs fail at the same moment.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. Bounds count from the return of the
/// source, so the pause is small against the shortest of them, 3 s.
const MAX_PAUSE: Duration = Duration::from_millis(800);
/// Pause after a watch that showed changes. Servers write about once a second
/// each; without it every change would be an answer of its own. The bounds on
/// changes are ten times as long.
const WATCH_PAUSE: Duration = Duration::from_millis(300);
/// Time between checks whether this VM is to watch.
const DUTY_PERIOD: Duration = Duration::from_millis(100);
/// Pause after a failed announcement. Announcements only help VMs to find each
/// other after all of a region were replaced, so they can wait.
const ANNOUNCEMENT_PAUSE: Duration = Duration::from_secs(2);
/// Time after the return of the source in which lapsed entries come back.
const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2_200);
/// Time for which an announcement holds; some renewals may be lost.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(15);
/// Time between renewals of the announcement.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(5);

/// Whether the state of a scope is known and current.
#[derive(Debug, Default)]
pub struct ScopeStatus {
    /// Listed by the source or by another VM in this boot.
    pub known: AtomicBool,
    /// Watched now.
    pub current: AtomicBool,
}

impl ScopeStatus {
    /// Whether the scope was listed in this boot.
    pub fn is_known(&self) -> bool {
        self.known.load(Ordering::Relaxed)
    }

    /// Counts the scope as listed; true the first time.
    pub(crate) fn set_known(&self) -> bool {
        !self.known.swap(true, Ordering::Relaxed)
    }
}

/// Lists and watches a scope until the process ends.
pub async fn follow<B: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<B>>,
    source: Arc<S>,
    scope: ConfigScope,
) {
    let mut pause = MIN_PAUSE;
    let mut lost: Option<Instant> = None;
    loop {
        if !node.is_on_duty() {
            lost = None;
            tokio::time::sleep(DUTY_PERIOD).await;
            continue;
        }
        match source.list(scope).await {
            Ok(batch) => {
                let regained = lost.take();
                if let Some(since) = regained {
                    log::info!(scope = scope.name(), away_ms = since.elapsed().as_millis() as u64,
                        revision = batch.revision; "platform store regained");
                }
                let grace = match regained {
                    Some(_) => LAPSED_ENTRY_GRACE,
                    None => Duration::ZERO,
                };
                let revision = batch.revision;
                node.apply_listing(scope, batch, grace);
                node.status(scope).current.store(true, Ordering::Relaxed);
                pause = MIN_PAUSE;
                let grace_until = Instant::now() + grace;
                let end = watch(&node, &*source, scope, revision, grace_until).await;
                node.status(scope).current.store(false, Ordering::Relaxed);
                match end {
                    WatchEnd::Relieved => {
                        log::info!(scope = scope.name(); "watch left to other VMs");
                        continue;
                    }
                    WatchEnd::Fault(SourceError::Compacted) => {
                        log::info!(scope = scope.name(); "history of the platform store is gone, listing again");
                        continue;
                    }
                    WatchEnd::Fault(fault) => report_loss(&mut lost, scope, &fault),
                }
            }
            Err(fault) => report_loss(&mut lost, scope, &fault),
        }
        let wait = rand::rng().random_range(pause / 2..pause);
        tokio::time::sleep(wait).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
}

fn report_loss(lost: &mut Option<Instant>, scope: ConfigScope, fault: &SourceError) {
    if lost.is_none() {
        log::warn!(scope = scope.name(), error:% = fault; "platform store lost");
        *lost = Some(Instant::now());
    }
}

/// Why a VM stopped watching.
enum WatchEnd {
    /// Enough other VMs of the region watch.
    Relieved,
    /// The source failed.
    Fault(SourceError),
}

async fn watch<B: WireProtocol, S: ConfigSource>(
    node: &FrontNode<B>,
    source: &S,
    scope: ConfigScope,
    mut after: u64,
    grace_until: Instant,
) -> WatchEnd {
    let hold = Duration::from_millis(node.settings.tuning.watch_ms);
    while node.is_on_duty() {
        match source.watch(scope, after, hold).await {
            Ok(batch) => {
                after = after.max(batch.revision);
                let changed = !batch.changes.is_empty();
                let grace = grace_until.saturating_duration_since(Instant::now());
                node.apply_changes(scope, batch, grace);
                if changed {
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
            }
            Err(fault) => return WatchEnd::Fault(fault),
        }
    }
    WatchEnd::Relieved
}

/// Announces the VM and asks for the others until the process ends.
pub async fn announce<B: WireProtocol, S: ConfigSource>(node: Arc<FrontNode<B>>, source: Arc<S>) {
    let announcement = VmAnnouncement {
        vm: node.settings.vm.clone(),
        report_address: node.settings.report_address,
    };
    loop {
        let announced = source.announce(&announcement, ANNOUNCEMENT_TTL).await;
        let listed = match announced {
            Ok(()) => source.announced_vms().await,
            Err(fault) => Err(fault),
        };
        let period = match listed {
            Ok(vms) => {
                node.reports.set_announced(&vms);
                ANNOUNCEMENT_PERIOD
            }
            Err(fault) => {
                log::debug!(error:% = fault; "VM not announced");
                ANNOUNCEMENT_PAUSE
            }
        };
        let jitter = rand::rng().random_range(0.8..1.0);
        tokio::time::sleep(period.mul_f64(jitter)).await;
    }
}

impl<B: WireProtocol> FrontNode<B> {
    /// Takes over everything in a scope; servers that are missing are removed.
    ///
    /// `grace` is the time for which a missing server is still used.
    pub fn apply_listing(&self, scope: ConfigScope, batch: ConfigBatch, grace: Duration) {
        let (revision, newest_revision) = (batch.revision, batch.newest_revision);
        let mut listed: HashSet<ServerId> = HashSet::new();
        let mut evacuated: HashSet<CentreName> = HashSet::new();
        for change in batch.changes {
            match change {
                ConfigChange::Evacuated(centre) => {
                    evacuated.insert(centre);
                }
                ConfigChange::Server(facts) => {
                    listed.insert(facts.id.clone());
                    self.apply_server(*facts);
                }
                other => self.apply_change(other, grace),
            }
        }
        match scope {
            ConfigScope::Operator => self.list_evacuated(evacuated, revision, newest_revision),
            ConfigScope::Servers => self.remove_unlisted(&listed, revision, grace),
        }
        if self.status(scope).set_known() {
            log::info!(scope = scope.name(), revision = revision; "state known");
        }
    }

    /// Takes over the changes that a watch has shown.
    pub fn apply_changes(&self, scope: ConfigScope, batch: ConfigBatch, grace: Duration) {
        let operator = scope == ConfigScope::Operator;
        // Another VM may have told of these changes, and of later ones.
        if operator && batch.newest_revision <= self.lock().operator_revision {
            return;
        }
        for change in batch.changes {
            self.apply_change(change, grace);
        }
        if operator {
            self.lock().operator_revision = batch.newest_revision;
        }
    }

    /// Takes over one change.
    fn apply_change(&self, change: ConfigChange, grace: Duration) {
        match change {
            ConfigChange::Routes(document) => self.apply_routes(*document),
            ConfigChange::Evacuated(centre) => {
                let mut evacuated = self.lock().servers.evacuated().clone();
                evacuated.insert(centre);
                self.set_evacuated(evacuated);
            }
            ConfigChange::Reinstated(centre) => {
                let mut evacuated = self.lock().servers.evacuated().clone();
                evacuated.remove(&centre);
                self.set_evacuated(evacuated);
            }
            ConfigChange::Server(facts) => self.apply_server(*facts),
            ConfigChange::ServerRemoved { id, revision } => {
                self.remove_server(&id, revision, grace);
            }
            ConfigChange::Unreadable { key, reason } => {
                log::warn!(key = key.as_str(), reason = reason.as_str(); "entry cannot be read, left out");
            }
        }
    }

    /// Takes over routes unless newer ones are in force.
    pub fn apply_routes(&self, document: RouteDocument) {
        let current = self.routes.load().version();
        let version = document.version;
        if version <= current && self.has_routes() {
            return;
        }
        let routes = document.routes.len();
        self.idle.set(document.limits.idle_timeout);
        self.routes.store(Arc::new(RouteTable::new(document)));
        self.routes_known.store(true, Ordering::Relaxed);
        self.metrics.routes_version.set(version as i64);
        log::info!(version = version, replaced = current, routes = routes; "routes in force");
    }

    pub(crate) fn apply_server(&self, facts: ServerEntry) {
        let now = self.clock.now();
        let cold = self.cold_of(&facts);
        let (id, revision) = (facts.id.clone(), facts.revision);
        let cold_ms = facts.cold_left.as_millis() as u64;
        let change = self.lock().servers.apply(facts, cold, now);
        match change {
            EntryChange::Outdated => {}
            EntryChange::Updated => {
                log::debug!(server:% = id, revision = revision, cold_ms = cold_ms; "server entry changed");
            }
            EntryChange::Added | EntryChange::Restarted | EntryChange::Draining => {
                log::info!(server:% = id, revision = revision, cold_ms = cold_ms, change:? = change;
                    "server entry changed");
            }
        }
    }

    pub(crate) fn remove_server(&self, id: &ServerId, revision: u64, grace: Duration) {
        let now = self.clock.now();
        let until = now + grace;
        if self.lock().servers.remove(id, revision, until, now) {
            log::info!(server:% = id, revision = revision,
                grace_ms = grace.as_millis() as u64; "server entry removed");
        }
    }

    fn cold_of(&self, facts: &ServerEntry) -> Duration {
        let routes = self.routes.load();
        let terms = routes.service(&facts.service);
        terms.map_or(Duration::ZERO, |terms| terms.cold)
    }

    /// Takes over the evacuations of a listing, unless newer ones are in force.
    fn list_evacuated(&self, evacuated: HashSet<CentreName>, revision: u64, newest_revision: u64) {
        let known = self.lock().operator_revision;
        if revision < known {
            return;
        }
        let changed = self.set_evacuated(evacuated);
        // An evacuation that has ended leaves no entry with a revision.
        let reached = if changed { revision } else { newest_revision };
        self.lock().operator_revision = known.max(reached);
    }

    /// Replaces the evacuated data centres; false if they are the same.
    pub(crate) fn set_evacuated(&self, evacuated: HashSet<CentreName>) -> bool {
        let routes = self.routes.load();
        let cold = routes.services().map(|(_, terms)| terms.cold).max();
        let now = self.clock.now();
        let mut state = self.lock();
        let changed = *state.servers.evacuated() != evacuated;
        if changed {
            log::info!(centres:? = evacuated; "evacuated data centres changed");
            state
                .servers
                .set_evacuated(evacuated, cold.unwrap_or_default(), now);
        }
        changed
    }

    pub(crate) fn remove_unlisted(
        &self,
        listed: &HashSet<ServerId>,
        revision: u64,
        grace: Duration,
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        for id in state.servers.listed_ids() {
            if !listed.contains(&id)
                && state
                    .servers
                    .remove_unlisted(&id, revision, now + grace, now)
            {
                log::info!(server:% = id, revision = revision,
                    grace_ms = grace.as_millis() as u64; "server entry missing");
            }
        }
        state.servers.record_listing(revision);
    }
}
