//! Declares in the source at which software versions streams have begun.
//!
//! VMs tell each other where streams began. If all VMs end at the same time, this knowledge
//! is lost, and a VM that starts must not take the versions that it finds for all that have
//! begun streams. One VM declares a version before any of them begins streams there, and
//! withdraws it when no caller takes up its streams any more; a VM that starts reads the
//! declarations.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;
use verbenaring_policy::dispatch::build::DeclaredBuild;
use verbenaring_policy::dispatch::prompt::name_hash;
use verbenaring_policy::id::ServiceName;

use super::source::ConfigSource;
use crate::node::FrontNode;
use crate::wire::WireProtocol;

/// Time between checks whether a version is to be declared or withdrawn.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a VM declares a version itself, if the one that should has not. It is
/// random, so that not all VMs do so at the same time.
const TAKEOVER_TIME: std::ops::Range<Duration> = Duration::from_secs(1)..Duration::from_secs(3);
/// Pause after a failed call to the source.
const RETRY_PAUSE: std::ops::Range<Duration> =
    Duration::from_millis(200)..Duration::from_millis(1_000);

/// Reads the declarations whenever calls ask for it, until the process ends.
pub(crate) async fn read_declarations_for_calls<P: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<P>>,
    source: Arc<S>,
) {
    let read = || async {
        let declared = source.declared_builds().await?;
        node.apply_declarations(&declared);
        Ok(())
    };
    node.declaration_reads
        .serve("declared versions", read)
        .await;
}

/// Reads the declarations, then makes and withdraws those for which this VM is
/// responsible, until the process ends.
pub(crate) async fn sync_declarations<P: WireProtocol, S: ConfigSource>(
    node: Arc<FrontNode<P>>,
    source: Arc<S>,
) {
    read_declarations(&node, &*source).await;
    // VMs that start together do not know yet which of them is responsible.
    while !node.has_heard_others() {
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    let takeover_time = rand::rng().random_range(TAKEOVER_TIME);
    let mut missing_since: HashMap<DeclaredBuild, Instant> = HashMap::new();
    let mut lost: HashSet<DeclaredBuild> = HashSet::new();
    let mut restorations = source.restorations();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if source.restorations() != restorations {
            // The source may have lost what was declared.
            restorations = source.restorations();
            lost.extend(node.known_declarations());
        }
        let mut missing = node.undeclared_builds();
        missing.extend(lost.iter().cloned());
        missing_since.retain(|declared, _| missing.contains(declared));
        for declared in missing {
            let since = *missing_since
                .entry(declared.clone())
                .or_insert_with(Instant::now);
            if !node.is_declarer(&declared.service) && since.elapsed() < takeover_time {
                continue;
            }
            match node.declare_build(&declared, &*source).await {
                true => {
                    lost.remove(&declared);
                }
                false => pause_after_failure().await,
            }
        }
        for ended in node.ended_builds() {
            if node.is_declarer(&ended.service)
                && let Err(error) = source.withdraw_build(&ended).await
            {
                log::debug!(service:% = ended.service, error:% = error; "failed to withdraw a version");
                pause_after_failure().await;
                continue;
            }
            node.forget_build(&ended);
        }
    }
}

/// Applies the declarations as soon as the source answers.
async fn read_declarations<P: WireProtocol, S: ConfigSource>(node: &FrontNode<P>, source: &S) {
    loop {
        match source.declared_builds().await {
            Ok(declared) => {
                node.apply_declarations(&declared);
                node.lock().servers.builds.set_declarations_known();
                return;
            }
            Err(error) => log::debug!(error:% = error; "failed to read declared versions"),
        }
        pause_after_failure().await;
    }
}

async fn pause_after_failure() {
    let pause = rand::rng().random_range(RETRY_PAUSE);
    tokio::time::sleep(pause).await;
}

impl<P: WireProtocol> FrontNode<P> {
    /// Number of software versions that this VM knows to be declared.
    pub fn declared_builds(&self) -> usize {
        self.known_declarations().len()
    }

    /// Reads the declarations anew and returns whether the source answered. Afterwards, all
    /// versions are known at which streams had begun when this was called.
    pub(crate) async fn refresh_declarations(&self) -> bool {
        self.declaration_reads.refresh(Duration::ZERO).await
    }

    fn apply_declarations(&self, declared: &[DeclaredBuild]) {
        let now = self.clock.now();
        let builds = &mut self.lock().servers.builds;
        for declared in declared {
            builds.record_read(declared, now);
        }
    }

    fn undeclared_builds(&self) -> Vec<DeclaredBuild> {
        let now = self.clock.now();
        self.lock().servers.builds.undeclared(now)
    }

    fn known_declarations(&self) -> Vec<DeclaredBuild> {
        let now = self.clock.now();
        let declared = self.lock().servers.builds.declared(now);
        declared.into_iter().map(|(declared, _)| declared).collect()
    }

    fn ended_builds(&self) -> Vec<DeclaredBuild> {
        let now = self.clock.now();
        self.lock().servers.builds.ended(now)
    }

    fn is_declarer(&self, service: &ServiceName) -> bool {
        let now = self.clock.now();
        let part = name_hash(service.as_str()) as u32;
        self.lock().is_trier(part, now)
    }

    /// Declares a build; returns whether the source has taken it.
    async fn declare_build<S: ConfigSource>(&self, declared: &DeclaredBuild, source: &S) -> bool {
        match source.declare_build(declared).await {
            Ok(()) => {
                let now = self.clock.now();
                let builds = &mut self.lock().servers.builds;
                builds.record_declared(declared, Duration::ZERO, now);
                log::info!(service:% = declared.service, build = declared.build.0;
                    "version of servers declared");
                true
            }
            Err(error) => {
                log::debug!(service:% = declared.service, error:% = error; "failed to declare a version");
                false
            }
        }
    }

    fn forget_build(&self, declared: &DeclaredBuild) {
        let now = self.clock.now();
        self.lock().servers.builds.forget(declared, now);
    }
}
