//! Routes: what may be done with a call and where it may run.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{RegionName, ServiceName};

/// How often a call may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallKind {
    /// Any number of times.
    Idempotent,
    /// At most once.
    Once,
    /// Answered with a stream of events.
    Stream {
        /// Whether another server may continue the stream after a given event.
        resumable: bool,
    },
}

impl CallKind {
    /// Whether a call that may have run may be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(
            self,
            CallKind::Idempotent | CallKind::Stream { resumable: true }
        )
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, CallKind::Stream { .. })
    }
}

/// Service of a route and its part of the calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWeight {
    /// Service.
    pub service: ServiceName,
    /// Part of the calls, relative to the other services of the route.
    pub weight: u32,
}

/// Rules for the calls below one path of one host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRoute {
    /// Name, for logs.
    pub name: String,
    /// Host that callers address.
    pub host: String,
    /// Path that begins the paths of the calls; starts and ends with a slash.
    pub prefix: String,
    /// How often a call may run.
    pub kind: CallKind,
    /// Time after which a call gets its final answer.
    pub timeout: Duration,
    /// Time within which an answer is worth the most.
    pub goal: Duration,
    /// Rank among the routes, 0 first.
    pub rank: u8,
    /// Servers on which one call may run.
    pub attempts: u32,
    /// Services that run the calls.
    pub services: Vec<ServiceWeight>,
    /// Regions in which the calls may run; all if empty.
    pub residency: Vec<RegionName>,
}

impl CallRoute {
    /// Whether a call may run in `region`.
    pub fn allows(&self, region: &RegionName) -> bool {
        self.residency.is_empty() || self.residency.contains(region)
    }

    /// Service for a call; calls with the same `hash` get the same one.
    pub fn service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|part| u64::from(part.weight))
            .sum();
        let mut point = hash.checked_rem(total)?;
        let part = self.services.iter().find(|part| {
            let weight = u64::from(part.weight);
            let found = point < weight;
            point = point.saturating_sub(weight);
            found
        });
        part.map(|part| &part.service)
    }
}

/// Terms of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceSettings {
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Time for which a server is cold after its start.
    pub cold: Duration,
    /// Calls per second that a cold server tolerates; not limited if zero.
    pub cold_rate: f64,
    /// Prompt tokens that a server can keep; absent for plain services.
    pub cache_tokens: Option<u64>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Bytes of a request head.
    pub header_bytes: usize,
    /// Bytes of a request body.
    pub body_bytes: usize,
    /// Time for a request head.
    pub header_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Limits until a configuration states them; those of common servers.
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
    /// Version; a document never replaces one with a higher version.
    pub version: u64,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Routes.
    pub routes: Vec<CallRoute>,
    /// Services.
    pub services: Vec<(ServiceName, ServiceSettings)>,
}

/// Index of one version of the routes and services.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    document: RouteDocument,
    services: HashMap<ServiceName, usize>,
    hosts: HashMap<String, Vec<Arc<CallRoute>>>,
}

impl RouteTable {
    /// Table of a document.
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
            document,
        }
    }

    /// Document of the table.
    pub fn document(&self) -> &RouteDocument {
        &self.document
    }

    /// Version of the document.
    pub fn version(&self) -> u64 {
        self.document.version
    }

    /// Route with the longest prefix of `path` at `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<CallRoute>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Regions that may run calls of every route of `host`; all if empty.
    pub fn common_residency(&self, host: &str) -> Vec<RegionName> {
        let routes = self.hosts.get(host).map_or(&[][..], Vec::as_slice);
        let mut bound = routes.iter().filter(|route| !route.residency.is_empty());
        let Some(first) = bound.next() else {
            return Vec::new();
        };
        let mut regions = first.residency.clone();
        bound.for_each(|route| regions.retain(|region| route.allows(region)));
        regions
    }

    /// Terms of a service.
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceSettings> {
        let index = *self.services.get(service)?;
        self.document
            .services
            .get(index)
            .map(|(_, settings)| settings)
    }

    /// Services of this version.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceSettings)> {
        self.document
            .services
            .iter()
            .map(|(name, settings)| (name, settings))
    }
}
