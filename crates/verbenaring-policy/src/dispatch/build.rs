//! Software versions of the servers of a service.
//!
//! Load pattern: a new version replaces an old one while both serve, VMs restart at the
//! same time, and callers take up streams that broke off. What two versions write does not
//! fit together, so a stream goes on only at the version that began it. A VM that does not
//! know where a stream began may continue it only if a single version can have begun it.
//! To know that after all VMs have restarted, VMs declare each version in the source before
//! they begin streams there, and withdraw it when no caller takes up its streams any more.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::prompt::{name_hash, rendezvous_score};
use super::server::ServerEntry;
use crate::id::ServiceName;
use crate::time::Moment;

/// Time after which no caller takes up a stream any more.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(120);
/// Time for which a declaration outlasts the streams of its version, so that all VMs take
/// it for ended before it is withdrawn.
const WITHDRAWAL_DELAY: Duration = Duration::from_secs(30);
/// Age up to which a version counts as listed; versions are observed more often.
const LISTED_AGE: Duration = Duration::from_secs(2);

/// Software version of a server within its service, as a short hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BuildId(pub u32);

impl BuildId {
    /// Build of the servers of a service that state `version`; those that state none are
    /// taken for one version.
    pub fn new(service: &ServiceName, version: Option<&str>) -> Self {
        let version = name_hash(version.unwrap_or_default());
        Self(rendezvous_score(name_hash(service.as_str()), version) as u32)
    }
}

impl ServerEntry {
    /// Software version of the server.
    pub fn build(&self) -> BuildId {
        BuildId::new(&self.service, self.version.as_deref())
    }
}

/// Builds at which a call may run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum BuildRule {
    /// All.
    #[default]
    Any,
    /// Those at which streams may begin that may go on later.
    MayBegin,
    /// The one that began the stream.
    Only(BuildId),
}

/// What is known of one build.
#[derive(Debug, Clone, Copy, Default)]
struct BuildRecord {
    /// When a server of the build was last listed; `None` if this VM has seen none.
    listed_at: Option<Moment>,
    /// Time until which its streams may be taken up.
    live_until: Moment,
    /// Whether it is declared in the source.
    declared: bool,
}

/// Build of a service that is declared in the source.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DeclaredBuild {
    /// Service of the servers.
    pub service: ServiceName,
    /// Their software version.
    pub build: BuildId,
}

/// Builds that serve, or whose streams may still be taken up, by service.
#[derive(Debug, Default)]
pub struct BuildHistory {
    services: HashMap<ServiceName, HashMap<BuildId, BuildRecord>>,
    declarations_known: bool,
}

impl BuildHistory {
    fn record(&mut self, service: &ServiceName, build: BuildId) -> &mut BuildRecord {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), HashMap::new());
        }
        let builds = self.services.get_mut(service).expect("inserted above");
        builds.entry(build).or_default()
    }

    /// Records that a server of a build is listed.
    pub fn observe(&mut self, service: &ServiceName, build: BuildId, now: Moment) {
        let record = self.record(service, build);
        // Another VM may have withdrawn it meanwhile.
        record.declared &= now < record.live_until;
        record.listed_at = Some(now);
        record.live_until = now + STREAM_LIFETIME;
    }

    /// Records that a build is declared. Its streams may be taken up for `remaining`.
    pub fn record_declared(&mut self, declared: &DeclaredBuild, remaining: Duration, now: Moment) {
        let record = self.record(&declared.service, declared.build);
        record.declared = true;
        record.live_until = record.live_until.max(now + remaining.min(STREAM_LIFETIME));
    }

    /// Records a declaration that was read in the source. If it is new to this VM, its
    /// streams may have begun a moment ago; a known one is not prolonged.
    pub fn record_read(&mut self, declared: &DeclaredBuild, now: Moment) {
        let builds = self.services.get(&declared.service);
        let known = builds.and_then(|builds| builds.get(&declared.build));
        let remaining = match known {
            Some(_) => Duration::ZERO,
            None => STREAM_LIFETIME,
        };
        self.record_declared(declared, remaining, now);
    }

    /// Records that all declarations that the source has were read since the start.
    pub fn set_declarations_known(&mut self) {
        self.declarations_known = true;
    }

    fn builds(&self) -> impl Iterator<Item = (DeclaredBuild, BuildRecord)> {
        self.services.iter().flat_map(|(service, builds)| {
            builds.iter().map(|(build, record)| {
                let service = service.clone();
                let build = *build;
                (DeclaredBuild { service, build }, *record)
            })
        })
    }

    /// Builds that are listed and not declared.
    pub fn undeclared(&self, now: Moment) -> Vec<DeclaredBuild> {
        let is_listed = |record: &BuildRecord| {
            let listed_at = record.listed_at;
            listed_at.is_some_and(|at| now.since(at) < LISTED_AGE)
        };
        let builds = self.builds();
        let undeclared = builds.filter(|(_, record)| !record.declared && is_listed(record));
        undeclared.map(|(build, _)| build).collect()
    }

    /// Builds that are declared, with the time for which their streams may be taken up.
    pub fn declared(&self, now: Moment) -> Vec<(DeclaredBuild, Duration)> {
        let declared = self.builds().filter(|(_, record)| record.declared);
        let declared = declared.map(|(build, record)| (build, record.live_until.since(now)));
        declared.collect()
    }

    /// Declared builds whose streams are not taken up any more. The last one of a service
    /// stays until another is declared.
    pub fn ended(&self, now: Moment) -> Vec<DeclaredBuild> {
        let has_other = |ended: &DeclaredBuild| {
            let builds = self.services.get(&ended.service).into_iter().flatten();
            let mut others = builds.filter(|(build, _)| **build != ended.build);
            others.any(|(_, other)| other.declared)
        };
        let ended = self
            .builds()
            .filter(|(_, record)| record.declared && now >= record.live_until + WITHDRAWAL_DELAY);
        let ended = ended.map(|(build, _)| build);
        ended.filter(has_other).collect()
    }

    /// Forgets a build, unless its servers are listed again.
    pub fn forget(&mut self, ended: &DeclaredBuild, now: Moment) {
        if let Some(builds) = self.services.get_mut(&ended.service) {
            builds.retain(|build, record| *build != ended.build || now < record.live_until);
        }
    }

    fn live(
        &self,
        service: &ServiceName,
        now: Moment,
    ) -> impl Iterator<Item = (BuildId, BuildRecord)> {
        let builds = self.services.get(service).into_iter().flatten();
        let live = builds.filter(move |(_, record)| now < record.live_until);
        live.map(|(build, record)| (*build, *record))
    }

    /// Whether several builds of a service may have begun streams that are taken up.
    pub fn is_mixed(&self, service: &ServiceName, now: Moment) -> bool {
        self.live(service, now).nth(1).is_some()
    }

    /// Whether several builds of any service may have begun streams that are taken up.
    pub fn any_mixed(&self, now: Moment) -> bool {
        let mut services = self.services.keys();
        services.any(|service| self.is_mixed(service, now))
    }

    /// The only build that can have begun a stream of a service; `None` if there are
    /// several or this is not known.
    pub fn sole(&self, service: &ServiceName, now: Moment) -> Option<BuildId> {
        if !self.declarations_known || self.is_mixed(service, now) {
            return None;
        }
        self.live(service, now).next().map(|(build, _)| build)
    }

    /// Whether streams may begin at a build: it is declared, or it is the only one and
    /// none has been declared yet.
    pub(super) fn may_begin(&self, service: &ServiceName, build: BuildId, now: Moment) -> bool {
        let Some(builds) = self.services.get(service) else {
            return true;
        };
        let is_declared = builds.get(&build).is_some_and(|record| record.declared);
        let any_declared = builds.values().any(|record| record.declared);
        is_declared || (!any_declared && !self.is_mixed(service, now))
    }
}
