//! Review of a [`RouteDocument`] before operators publish it: what in it has no effect or
//! contradicts itself. What it changes is in [`super::difference`].
//!
//! Load pattern: a mistake in the operators' configuration reaches all VMs within seconds
//! and looks like an outage. Nothing here depends on the state of a deployment, so servers,
//! retry budgets and bounds in the settings of VMs are not looked at.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use super::call::{CallKind, CallRoute, RouteDocument};
use super::difference::DocumentField;
use super::tenant::{AllowanceUnit, Tenant, common_residency};
use crate::id::ServiceName;

/// Attempts of one call beyond which no further target is tried.
const MAX_ATTEMPTS: u32 = 6;
/// Routes that one finding names.
const MAX_NAMED_ROUTES: usize = 3;

/// Where in a document something was found; indexes count from 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentPlace {
    /// The document as a whole.
    Document,
    /// Limits on callers.
    Limits,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A tenant.
    Tenant(usize),
}

/// What is wrong at a place of a document.
#[derive(Debug, Clone, PartialEq)]
pub enum DocumentFault {
    /// No call matches: the route before it has the same host and prefix.
    Shadowed {
        /// Index of the other route.
        by: usize,
    },
    /// No call matches: the prefix does not begin with a slash.
    PrefixWithoutSlash,
    /// No call matches: host names are compared without their ports.
    HostWithPort,
    /// Two routes, services or tenants have the same name.
    NameUsedTwice {
        /// Index of the other one.
        by: usize,
    },
    /// The route names no service, or none with a weight.
    NoService,
    /// The route names a service that is not defined.
    UnknownService {
        /// Name of the service.
        service: ServiceName,
    },
    /// A service of the route gets no calls, as its weight is zero.
    NoWeight {
        /// Name of the service.
        service: ServiceName,
    },
    /// No route names the service.
    Unused,
    /// The tenant may call some routes in no region.
    NoCommonRegion {
        /// Number of these routes.
        routes: usize,
        /// Indexes of the first of them.
        first: Vec<usize>,
        /// Whether these are all routes that need a key.
        all: bool,
    },
    /// The tenant has no keys, so that no caller belongs to it.
    NoKeys,
    /// A limit is zero, so that no call is served.
    ZeroLimit {
        /// The limit.
        field: DocumentField,
    },
    /// A call may run at most once, but several attempts are stated.
    AttemptsOfSingleRuns {
        /// Stated attempts.
        attempts: u32,
    },
    /// More attempts are stated than targets are tried.
    TooManyAttempts {
        /// Stated attempts.
        attempts: u32,
        /// Most attempts that are made.
        most: u32,
    },
    /// The target time exceeds the time limit.
    GoalAboveTimeout {
        /// Target time.
        goal: Duration,
        /// Time limit.
        timeout: Duration,
    },
    /// The longest pause of an answer in time exceeds the time limit.
    PauseAboveTimeout {
        /// Longest pause.
        pause: Duration,
        /// Time limit.
        timeout: Duration,
    },
    /// A rate for cold servers is stated, but servers are never cold.
    ColdRateWithoutColdTime,
    /// The burst and the rate of one second together do not cover a call.
    QuotaBelowOneCall {
        /// Cost of a call.
        cost: f64,
    },
    /// The burst is smaller than the rate of one second.
    BurstBelowRate {
        /// Units beyond the rate.
        burst: f64,
        /// Units per second.
        rate: f64,
    },
    /// A burst is stated without a rate, so that there is no limit.
    BurstWithoutRate,
    /// Calls that state no tokens cost nothing.
    PlainCallsCostNothing,
    /// The version is not higher than the one in force, so that VMs ignore the document.
    VersionNotHigher {
        /// Version of the document.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
}

/// Fault of a document with its place.
#[derive(Debug, Clone, PartialEq)]
pub struct DocumentFinding {
    /// Where it is.
    pub place: DocumentPlace,
    /// What it is.
    pub fault: DocumentFault,
}

/// Finds what in a document has no effect or contradicts itself, by place.
pub fn find_faults(document: &RouteDocument) -> Vec<DocumentFinding> {
    let mut findings = FindingList::default();
    findings.review_limits(document);
    findings.review_routes(document);
    findings.review_services(document);
    findings.review_tenants(document);
    findings.0.sort_by_key(|finding| finding.place);
    findings.0
}

/// Finds what makes VMs ignore a document that is to follow `in_force`.
pub fn find_conflicts(document: &RouteDocument, in_force: &RouteDocument) -> Vec<DocumentFinding> {
    let mut findings = FindingList::default();
    let (version, in_force) = (document.version, in_force.version);
    if version <= in_force {
        let fault = DocumentFault::VersionNotHigher { version, in_force };
        findings.add(DocumentPlace::Document, fault);
    }
    findings.0
}

#[derive(Default)]
struct FindingList(Vec<DocumentFinding>);

impl FindingList {
    fn add(&mut self, place: DocumentPlace, fault: DocumentFault) {
        self.0.push(DocumentFinding { place, fault });
    }

    fn review_limits(&mut self, document: &RouteDocument) {
        let limits = &document.limits;
        let zero = [
            (limits.header_bytes == 0, DocumentField::HeaderBytes),
            (
                limits.header_timeout.is_zero(),
                DocumentField::HeaderTimeout,
            ),
            (limits.idle_timeout.is_zero(), DocumentField::IdleTimeout),
        ];
        for (_, field) in zero.into_iter().filter(|(is_zero, _)| *is_zero) {
            self.add(DocumentPlace::Limits, DocumentFault::ZeroLimit { field });
        }
    }

    fn review_routes(&mut self, document: &RouteDocument) {
        let defined: HashSet<&ServiceName> =
            document.services.iter().map(|(name, _)| name).collect();
        let mut matches = HashMap::new();
        let mut names = HashMap::new();
        for (index, route) in document.routes.iter().enumerate() {
            let place = DocumentPlace::Route(index);
            let matched = (route.host.to_ascii_lowercase(), &route.prefix);
            if let Some(by) = matches.get(&matched) {
                self.add(place, DocumentFault::Shadowed { by: *by });
            } else {
                matches.insert(matched, index);
            }
            if let Some(by) = names.get(&route.name) {
                self.add(place, DocumentFault::NameUsedTwice { by: *by });
            } else if !route.name.is_empty() {
                names.insert(&route.name, index);
            }
            if !route.prefix.starts_with('/') {
                self.add(place, DocumentFault::PrefixWithoutSlash);
            }
            if has_port(&route.host) {
                self.add(place, DocumentFault::HostWithPort);
            }
            self.review_route_services(place, route, &defined);
            self.review_route_limits(place, route);
        }
    }

    fn review_route_services(
        &mut self,
        place: DocumentPlace,
        route: &CallRoute,
        defined: &HashSet<&ServiceName>,
    ) {
        if route.services.iter().all(|share| share.weight == 0) {
            self.add(place, DocumentFault::NoService);
        }
        for share in &route.services {
            let service = share.service.clone();
            if !defined.contains(&share.service) {
                self.add(place, DocumentFault::UnknownService { service });
            } else if share.weight == 0 {
                self.add(place, DocumentFault::NoWeight { service });
            }
        }
    }

    fn review_route_limits(&mut self, place: DocumentPlace, route: &CallRoute) {
        let CallRoute {
            attempts,
            timeout,
            goal,
            pause_goal: pause,
            ..
        } = *route;
        if attempts == 0 {
            let field = DocumentField::Attempts;
            self.add(place, DocumentFault::ZeroLimit { field });
        }
        if attempts > 1 && route.kind == CallKind::Once {
            self.add(place, DocumentFault::AttemptsOfSingleRuns { attempts });
        } else if attempts > MAX_ATTEMPTS {
            let most = MAX_ATTEMPTS;
            self.add(place, DocumentFault::TooManyAttempts { attempts, most });
        }
        if timeout.is_zero() {
            let field = DocumentField::Timeout;
            self.add(place, DocumentFault::ZeroLimit { field });
            return;
        }
        if goal > timeout {
            self.add(place, DocumentFault::GoalAboveTimeout { goal, timeout });
        }
        if pause > timeout {
            self.add(place, DocumentFault::PauseAboveTimeout { pause, timeout });
        }
    }

    fn review_services(&mut self, document: &RouteDocument) {
        let routes = document.routes.iter();
        let used: HashSet<&ServiceName> = routes
            .flat_map(|route| route.services.iter().map(|share| &share.service))
            .collect();
        let mut names = HashMap::new();
        for (index, (name, settings)) in document.services.iter().enumerate() {
            let place = DocumentPlace::Service(index);
            if let Some(by) = names.get(name) {
                self.add(place, DocumentFault::NameUsedTwice { by: *by });
            } else {
                names.insert(name, index);
            }
            if !used.contains(name) {
                self.add(place, DocumentFault::Unused);
            }
            if settings.max_connections == 0 {
                let field = DocumentField::MaxConnections;
                self.add(place, DocumentFault::ZeroLimit { field });
            }
            if settings.cold_rate > 0.0 && settings.cold.is_zero() {
                self.add(place, DocumentFault::ColdRateWithoutColdTime);
            }
        }
    }

    fn review_tenants(&mut self, document: &RouteDocument) {
        let routes = document.routes.iter().enumerate();
        let keyed: Vec<(usize, &CallRoute)> = routes.filter(|(_, route)| !route.public).collect();
        for (index, tenant) in document.tenants.iter().enumerate() {
            let place = DocumentPlace::Tenant(index);
            if tenant.keys.is_empty() {
                self.add(place, DocumentFault::NoKeys);
            }
            let apart = keyed
                .iter()
                .filter(|(_, route)| {
                    common_residency(&tenant.residency, &route.residency).is_none()
                })
                .map(|(index, _)| *index);
            let mut first: Vec<usize> = apart.collect();
            if !first.is_empty() {
                let routes = first.len();
                first.truncate(MAX_NAMED_ROUTES);
                let all = routes == keyed.len();
                self.add(place, DocumentFault::NoCommonRegion { routes, first, all });
            }
            self.review_quota(place, tenant);
        }
    }

    fn review_quota(&mut self, place: DocumentPlace, tenant: &Tenant) {
        let allowance = &tenant.allowance;
        let (rate, burst) = (allowance.rate, allowance.burst);
        if !allowance.is_limited() {
            if burst > 0.0 {
                self.add(place, DocumentFault::BurstWithoutRate);
            }
            return;
        }
        let cost = allowance.cost(None) as f64;
        if allowance.unit == AllowanceUnit::Tokens && allowance.plain_tokens == 0 {
            self.add(place, DocumentFault::PlainCallsCostNothing);
        }
        if rate + burst < cost {
            self.add(place, DocumentFault::QuotaBelowOneCall { cost });
        } else if burst < rate {
            self.add(place, DocumentFault::BurstBelowRate { burst, rate });
        }
    }
}

fn has_port(host: &str) -> bool {
    let port = host.rsplit_once(':').map(|(_, port)| port);
    port.is_some_and(|port| port.bytes().all(|byte| byte.is_ascii_digit()))
}
