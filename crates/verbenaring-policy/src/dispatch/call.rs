//! Routes, which state how often and where a call may run, and service settings.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::tenant::{Tenant, TenantTable};
use crate::id::{RegionName, ServiceName};

/// How often a call may run and how it is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    Once,
    /// Is answered with a stream of events.
    Stream {
        /// Whether another server may continue the stream after a given event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call may be sent again although it may have run before.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            CallKind::Idempotent | CallKind::Stream { resumable: true }
        )
    }

    /// Whether a call may run at two servers at the same time.
    pub fn may_overlap(self) -> bool {
        self == CallKind::Idempotent
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// Service of a route and its share of the calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWeight {
    /// Name of the service.
    pub service: ServiceName,
    /// Share of the calls, relative to the weights of the route's other services.
    pub weight: u32,
}

/// Rules for the calls to one host whose paths have a common prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRoute {
    /// Name of the route in logs.
    pub name: String,
    /// Host to which callers send the calls.
    pub host: String,
    /// Path prefix of the calls; starts and ends with a slash.
    pub prefix: String,
    /// How often a call may run and how it is answered.
    pub kind: CallKind,
    /// Time limit, at which a call gets its final answer.
    pub timeout: Duration,
    /// Target time, within which an answer is worth the most.
    pub goal: Duration,
    /// Rank of the calls under load; 0 is the most urgent.
    pub rank: u8,
    /// Maximum number of servers on which one call may run.
    pub attempts: u32,
    /// Services that run the calls.
    pub services: Vec<ServiceWeight>,
    /// Regions in which the calls may run; all if empty.
    pub residency: Vec<RegionName>,
    /// Longest pause between two events of an answer that is in time; zero if the
    /// route states none.
    pub pause_goal: Duration,
    /// Whether callers need no key. VMs state it to each other in the [`AccessRules`], as
    /// earlier builds do not know it.
    #[serde(skip)]
    pub public: bool,
}

/// Shortest time without an event after which callers give a stream up.
const MIN_GIVE_UP_PAUSE: Duration = Duration::from_secs(2);
/// The same as a multiple of the target time of the route.
const GIVE_UP_GOALS: u32 = 4;
/// The same as a multiple of the longest pause of an answer in time.
const GIVE_UP_PAUSES: u32 = 8;
/// Multiple of that time after which a stream is ended here: a caller that still
/// waits must not lose a server that is only silent.
const STALL_FACTOR: u32 = 2;

impl CallRoute {
    /// Time without an event after which a stream is ended: callers have given it up
    /// long before.
    pub fn max_pause(&self) -> Duration {
        let given_up = MIN_GIVE_UP_PAUSE
            .max(self.goal * GIVE_UP_GOALS)
            .max(self.pause_goal * GIVE_UP_PAUSES);
        given_up * STALL_FACTOR
    }

    /// Whether a call may run in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.residency.is_empty() || self.residency.contains(region)
    }

    /// Service for a call, chosen by weight: calls with the same `hash` get the same
    /// one. `None` if the weights add up to zero.
    pub fn service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut position = hash.checked_rem(total)?;
        let share = self.services.iter().find(|share| {
            let weight = u64::from(share.weight);
            let found = position < weight;
            position = position.saturating_sub(weight);
            found
        });
        share.map(|share| &share.service)
    }
}

/// Settings of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Connections that one server accepts from all clients together.
    pub max_connections: u32,
    /// How long a server is cold after its start.
    pub cold: Duration,
    /// Calls per second that a cold server tolerates; zero means no limit.
    pub cold_rate: f64,
    /// Prompt tokens that a server can cache; `None` for plain services.
    pub cache_tokens: Option<u64>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head.
    pub header_timeout: Duration,
    /// How long a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits in force until a configuration is read, as common servers have them.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the routes and services, as operators publish it.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteDocument {
    /// Version of the document, which never replaces one with a higher version.
    pub version: u64,
    /// Limits on callers, for all routes.
    pub limits: CallerLimits,
    /// Rules for calls, in any order.
    pub routes: Vec<CallRoute>,
    /// Services that the routes name, with their settings.
    pub services: Vec<(ServiceName, ServiceSettings)>,
    /// Tenants whose callers identify themselves; without any, callers need no keys. VMs
    /// state them to each other in the [`AccessRules`], as earlier builds do not know them.
    #[serde(skip)]
    pub tenants: Vec<Tenant>,
}

impl RouteDocument {
    /// What the document says of keys and tenants.
    pub fn access_rules(&self) -> AccessRules {
        AccessRules {
            public: self.routes.iter().map(|route| route.public).collect(),
            tenants: self.tenants.clone(),
        }
    }

    /// Adds what another VM states of keys and tenants.
    pub fn with_access_rules(mut self, rules: AccessRules) -> Self {
        for (route, public) in self.routes.iter_mut().zip(rules.public) {
            route.public = public;
        }
        self.tenants = rules.tenants;
        self
    }
}

/// Part of a [`RouteDocument`] that says who may call.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct AccessRules {
    /// Whether callers of each route need no key, in the order of the routes.
    pub public: Vec<bool>,
    /// Tenants whose callers identify themselves.
    pub tenants: Vec<Tenant>,
}

/// Routes of one document, indexed by host, its services, indexed by name, and its tenants.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    document: RouteDocument,
    services: HashMap<ServiceName, usize>,
    hosts: HashMap<String, Vec<Arc<CallRoute>>>,
    tenants: TenantTable,
}

impl RouteTable {
    /// Builds the indexes of a document.
    pub fn new(document: RouteDocument) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<CallRoute>>> = HashMap::new();
        for route in &document.routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route.clone()));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let names = document.services.iter().enumerate();
        let services = names
            .map(|(index, (name, _))| (name.clone(), index))
            .collect();
        Self {
            services,
            hosts,
            tenants: TenantTable::new(&document.tenants),
            document,
        }
    }

    /// Tenants of the document.
    pub fn tenants(&self) -> &TenantTable {
        &self.tenants
    }

    /// Document that the table was built from.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// Version of the document.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Route of `host` with the longest prefix that matches `path`; `host` is not
    /// case-sensitive.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CallRoute>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Regions in which calls of all routes of `host` may run. Empty if no route is
    /// restricted, or if no region suits all of them.
    pub fn common_residency(&self, host: &str) -> Vec<RegionName> {
        let routes = self.hosts.get(host).map_or(&[][..], Vec::as_slice);
        let mut restricted = routes.iter().filter(|route| !route.residency.is_empty());
        let Some(first) = restricted.next() else {
            return Vec::new();
        };
        let mut regions = first.residency.clone();
        restricted.for_each(|route| regions.retain(|region| route.allows(region)));
        regions
    }

    /// Settings of a service; `None` if the document does not define it.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSettings> {
        let index = *self.services.get(service)?;
        self.document
            .services
            .get(index)
            .map(|(_, settings)| settings)
    }

    /// Services of the document with their settings.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSettings)> {
        self.document
            .services
            .iter()
            .map(|(name, settings)| (name, settings))
    }
}
