//! Keeps routes and servers current.
//!
//! Some VMs of each region list each scope once and then watch it. If a watch
//! fails or the source no longer has the changes it needs, the scope is listed
//! again. While the source is unavailable, the last state stays in force. VMs
//! that do not watch, or whose watch lags, ask VMs whose reports show newer
//! state.
//!
//! Open connections can fall silent without an error, and a watch whose connection is
//! silent looks like one without changes. A watch that is not answered in time therefore
//! ends the other one too.
//!
//! A source that came back from an older state lacks changes that have been in force.
//! Until they are written again, nothing is taken back because it is missing; then the
//! scope is listed once more.

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
use verbenaring_policy::retry::RETRY_WINDOW;

use super::source::{
    ConfigBatch, ConfigChange, ConfigScope, ConfigSource, SourceError, VmAnnouncement,
};
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// First pause after a failed call to the source. All VMs fail at the same time
/// and must not return at once.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after failed calls. The time limits for applying changes start
/// when the source returns; the pause is short compared to the smallest, 3 s.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Pause of a watch that has just returned changes, where few VMs share the source.
/// Each server writes about once a second; without the pause every renewal would
/// need a request of its own.
const WATCH_PAUSE: Duration = Duration::from_millis(300);
/// Time between checks whether this VM should watch.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(100);
/// Pause after a failed announcement. Announcements are needed only for VMs to
/// find each other after all VMs of a region were replaced, so they can wait.
const ANNOUNCEMENT_RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Time after the return of the source in which servers restore entries that
/// expired meanwhile; until then they are kept.
const LAPSED_ENTRY_GRACE: Duration = Duration::from_millis(2_200);
/// Time after a listing of a source that came back from an older state, after which it is
/// listed again. By then, what was missing has been written again.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Time to live of an announcement; allows for some failed renewals. What is left of it
/// when a VM ends covers the window of its retries.
const ANNOUNCEMENT_TTL: Duration = Duration::from_secs(15);
const _: () = assert!(
    ANNOUNCEMENT_TTL.as_millis() - ANNOUNCEMENT_PERIOD.as_millis() >= RETRY_WINDOW.as_millis()
);
/// Time from the start by which a VM has found others through its seeds.
const ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(2);
/// Time between listings while this VM hears no other one of its data centre.
const ALONE_PERIOD: Duration = Duration::from_secs(2);
/// Time between renewals of the announcement.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_secs(5);

/// Whether a scope has been loaded and is being watched.
#[derive(Debug, Default)]
pub struct ScopeStatus {
    /// Whether the scope has been loaded from the source or another VM since the
    /// start.
    pub known: AtomicBool,
    /// Whether this VM has a working watch on the scope.
    pub watched: AtomicBool,
}

impl ScopeStatus {
    /// Whether the scope has been loaded since the start.
    pub fn is_known(&self) -> bool {
        self.known.load(Ordering::Relaxed)
    }

    /// Marks the scope as loaded; returns true the first time.
    pub(crate) fn set_known(&self) -> bool {
        !self.known.swap(true, Ordering::Relaxed)
    }
}

/// Lists and watches a scope, whenever this VM should watch, until the process
/// ends.
pub async fn sync_scope<P: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<P>>,
    source: Arc<S>,
    scope: ConfigScope,
) {
    let mut pause = MIN_RETRY_PAUSE;
    let mut lost_since: Option<Instant> = None;
    loop {
        if !node.should_watch() {
            lost_since = None;
            tokio::time::sleep(WATCH_CHECK_PERIOD).await;
            continue;
        }
        match source.list(scope).await {
            Ok(batch) => {
                let regained = lost_since.take();
                if let Some(since) = regained {
                    log::info!(scope = scope.name(), away_ms = since.elapsed().as_millis() as u64,
                        revision = batch.revision; "platform store regained");
                }
                let grace = match regained.is_some() || batch.incomplete {
                    true => LAPSED_ENTRY_GRACE,
                    false => Duration::ZERO,
                };
                let relist_at = batch.incomplete.then(|| Instant::now() + REWRITE_TIME);
                let revision = batch.revision;
                node.apply_listing(scope, batch, grace);
                // VMs that start together all list; most need not watch.
                while !node.has_heard_others() {
                    tokio::time::sleep(WATCH_CHECK_PERIOD).await;
                }
                node.status(scope).watched.store(true, Ordering::Relaxed);
                pause = MIN_RETRY_PAUSE;
                let grace_until = Instant::now() + grace;
                let watching = watch(&node, &*source, scope, revision, grace_until);
                let outcome = match relist_at {
                    Some(at) => tokio::time::timeout_at(at, watching).await,
                    None => Ok(watching.await),
                };
                node.status(scope).watched.store(false, Ordering::Relaxed);
                match outcome {
                    Err(_) => continue,
                    Ok(WatchOutcome::NotNeeded) => {
                        log::info!(scope = scope.name(); "watch left to other VMs");
                        continue;
                    }
                    Ok(WatchOutcome::Error(SourceError::Compacted)) => {
                        log::info!(scope = scope.name(); "platform store no longer has the history, listing again");
                        continue;
                    }
                    Ok(WatchOutcome::Error(SourceError::Restored)) => continue,
                    Ok(WatchOutcome::Error(error)) => {
                        if matches!(error, SourceError::NoAnswer(_)) {
                            node.source_silent.notify_waiters();
                        }
                        log_store_loss(&mut lost_since, scope, &error);
                    }
                }
            }
            Err(error) => log_store_loss(&mut lost_since, scope, &error),
        }
        let wait = rand::rng().random_range(pause / 2..pause);
        tokio::time::sleep(wait).await;
        pause = (pause * 2).min(MAX_RETRY_PAUSE);
    }
}

fn log_store_loss(lost_since: &mut Option<Instant>, scope: ConfigScope, error: &SourceError) {
    if lost_since.is_none() {
        log::warn!(scope = scope.name(), error:% = error; "platform store lost");
        *lost_since = Some(Instant::now());
    }
}

/// Why a VM stopped watching.
enum WatchOutcome {
    /// Enough other VMs of the region watch.
    NotNeeded,
    /// The source returned an error.
    Error(SourceError),
}

async fn watch<P: WireProtocol, S: ConfigSource>(
    node: &FrontNode<P>,
    source: &S,
    scope: ConfigScope,
    mut after: u64,
    grace_until: Instant,
) -> WatchOutcome {
    let tuning = &node.settings.tuning;
    let hold = Duration::from_millis(match scope {
        ConfigScope::Operator => tuning.watch_ms,
        ConfigScope::Servers => tuning.server_watch_ms,
    });
    while node.should_watch() {
        let watched = tokio::select! {
            watched = source.watch(scope, after, hold) => watched,
            () = node.source_silent.notified() => {
                Err(SourceError::Unavailable("no answer to another watch".to_owned()))
            }
        };
        match watched {
            Ok(batch) => {
                after = after.max(batch.revision);
                let paused = scope == ConfigScope::Servers && !batch.changes.is_empty();
                let grace = grace_until.saturating_duration_since(Instant::now());
                node.apply_changes(scope, batch, grace);
                if paused {
                    tokio::time::sleep(node.watch_pause()).await;
                }
            }
            Err(error) => return WatchOutcome::Error(error),
        }
    }
    WatchOutcome::NotNeeded
}

/// Announces this VM, where that is its duty, and lists the others periodically
/// until the process ends.
///
/// VMs that start together first find each other through their seeds; until then,
/// none of them knows whether it has to announce itself. One without seeds does at once.
pub async fn run_announcements<P: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<P>>,
    source: Arc<S>,
) {
    let announcement = VmAnnouncement {
        vm: node.settings.vm.clone(),
        report_address: node.settings.report_address,
    };
    let delay = match node.settings.has_other_seeds() {
        true => rand::rng().random_range(ANNOUNCEMENT_DELAY / 2..ANNOUNCEMENT_DELAY),
        false => Duration::ZERO,
    };
    let announced_from = Instant::now() + delay;
    let mut is_first = true;
    loop {
        let alone = !node.hears_centre();
        let duty = node.is_announced();
        let due = duty && Instant::now() >= announced_from;
        let announced = match due {
            true if is_first => announce_first(&node, &*source, &announcement).await,
            true => source.announce(&announcement, ANNOUNCEMENT_TTL).await,
            false => Ok(()),
        };
        is_first &= !due || announced.is_err();
        let listed = match (announced, alone || duty) {
            (Ok(()), true) => source.announced_vms().await.map(Some),
            (Ok(()), false) => Ok(None),
            (Err(error), _) => Err(error),
        };
        let period = match listed {
            Ok(vms) => {
                if let Some(vms) = vms {
                    node.reports.set_announced(&vms);
                }
                match alone {
                    true => ALONE_PERIOD,
                    false => ANNOUNCEMENT_PERIOD,
                }
            }
            Err(error) => {
                log::debug!(error:% = error; "failed to announce this VM or to list the others");
                ANNOUNCEMENT_RETRY_PAUSE
            }
        };
        let jitter = rand::rng().random_range(0.8..1.0);
        let pause = period.mul_f64(jitter);
        let until_announced = announced_from.saturating_duration_since(Instant::now());
        tokio::time::sleep(match until_announced.is_zero() {
            true => pause,
            false => pause.min(until_announced),
        })
        .await;
    }
}

/// Announces this VM for the first time since its start, and finds out whether an earlier
/// process of it has run of late.
async fn announce_first<P: WireProtocol, S: ConfigSource>(
    node: &FrontNode<P>,
    source: &S,
    announcement: &VmAnnouncement,
) -> Result<(), SourceError> {
    // Announcements outlast their VM for longer than retries count.
    let announced_before = source.has_announcement(&announcement.vm).await?;
    source.announce(announcement, ANNOUNCEMENT_TTL).await?;
    if !announced_before {
        node.record_first_start();
    }
    Ok(())
}

impl<P: WireProtocol> FrontNode<P> {
    /// Pause of a watch that has just returned changes.
    pub(crate) fn watch_pause(&self) -> Duration {
        match self.is_relayed() {
            true => self.settings.bounds.watch_pause(),
            false => WATCH_PAUSE,
        }
    }

    /// Replaces the state of a scope by a listing.
    ///
    /// Servers that are not listed are removed; they are still used for `grace`.
    pub fn apply_listing(&self, scope: ConfigScope, batch: ConfigBatch, grace: Duration) {
        let (revision, newest) = (batch.revision, batch.newest_revision);
        let mut listed: HashSet<ServerId> = HashSet::new();
        let mut evacuated: HashSet<CentreName> = match batch.incomplete {
            true => self.lock().servers.evacuated().clone(),
            false => HashSet::new(),
        };
        for change in batch.changes {
            match change {
                ConfigChange::Evacuated(centre) => {
                    evacuated.insert(centre);
                }
                ConfigChange::Server(entry) => {
                    listed.insert(entry.id.clone());
                    self.apply_server(*entry);
                }
                other => self.apply_change(other, grace),
            }
        }
        match scope {
            ConfigScope::Operator => self.apply_evacuations(evacuated, revision, newest),
            ConfigScope::Servers => {
                self.remove_unlisted(&listed, revision, grace);
                let now = self.clock.now();
                self.lock().servers.record_fresh(now);
            }
        }
        if self.status(scope).set_known() {
            log::info!(scope = scope.name(), revision = revision; "state known");
        }
    }

    /// Applies the changes that a watch returned. Removed servers are still used
    /// for `grace`.
    pub fn apply_changes(&self, scope: ConfigScope, batch: ConfigBatch, grace: Duration) {
        let operator = scope == ConfigScope::Operator;
        // These changes, and later ones, may already have come from another VM.
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
            ConfigChange::Server(entry) => self.apply_server(*entry),
            ConfigChange::ServerRemoved { id, revision } => {
                self.remove_server(&id, revision, grace);
            }
            ConfigChange::Invalid { key, reason } => {
                log::warn!(key = key.as_str(), reason = reason.as_str(); "ignoring invalid entry");
            }
        }
    }

    /// Puts routes in force unless the same or a newer version already is.
    pub fn apply_routes(&self, document: RouteDocument) {
        let current = self.routes.load().version();
        let version = document.version;
        if version <= current && self.has_routes() {
            return;
        }
        let (routes, tenants) = (document.routes.len(), document.tenants.len());
        self.caller_timeouts.set(&document.limits);
        self.routes.store(Arc::new(RouteTable::new(document)));
        self.routes_known.store(true, Ordering::Relaxed);
        self.metrics.routes_version.set(version as i64);
        log::info!(version = version, replaced = current, routes = routes, tenants = tenants; "routes in force");
    }

    pub(crate) fn apply_server(&self, entry: ServerEntry) {
        let now = self.clock.now();
        let cold = self.cold_duration(&entry);
        let (id, revision) = (entry.id.clone(), entry.revision);
        let cold_ms = entry.cold_left.as_millis() as u64;
        let change = self.lock().servers.apply(entry, cold, now);
        match change {
            EntryChange::Outdated | EntryChange::Renewed => {}
            EntryChange::Updated => {
                log::debug!(server:% = id, revision = revision, cold_ms = cold_ms; "server entry changed");
            }
            EntryChange::Added | EntryChange::Restarted | EntryChange::Draining => {
                log::info!(server:% = id, revision = revision, cold_ms = cold_ms, change:? = change;
                    "server entry changed");
                if change != EntryChange::Draining {
                    self.record_server_start(&id);
                }
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

    fn cold_duration(&self, entry: &ServerEntry) -> Duration {
        let routes = self.routes.load();
        let settings = routes.service(&entry.service);
        settings.map_or(Duration::ZERO, |settings| settings.cold)
    }

    /// Applies the evacuations of a listing unless newer ones are in force.
    fn apply_evacuations(&self, evacuated: HashSet<CentreName>, revision: u64, newest: u64) {
        let known = self.lock().operator_revision;
        if revision < known {
            return;
        }
        let changed = self.set_evacuated(evacuated);
        // The end of an evacuation removes its entry, so the listing has no entry
        // with that revision.
        let reached = if changed { revision } else { newest };
        self.lock().operator_revision = known.max(reached);
    }

    /// Replaces the evacuated data centres; returns false if they are the same.
    pub(crate) fn set_evacuated(&self, evacuated: HashSet<CentreName>) -> bool {
        let routes = self.routes.load();
        let cold = routes.services().map(|(_, settings)| settings.cold).max();
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
