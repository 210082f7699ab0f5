//! What one version of a [`RouteDocument`] changes of another, by part and field.
//!
//! The order of routes, services, tenants and regions has no effect and is no change. Keys
//! are counted and never shown.

use std::collections::{BTreeMap, HashSet};

use super::call::{CallRoute, RouteDocument, ServiceSettings};
use super::tenant::Tenant;
use crate::id::ServiceName;

/// Field of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentField {
    /// Name of a route.
    Name,
    /// How often a call may run.
    Kind,
    /// Time limit of a call.
    Timeout,
    /// Target time of a call.
    Goal,
    /// Longest pause of an answer in time.
    PauseGoal,
    /// Rank of a route or a tenant.
    Rank,
    /// Servers on which one call may run.
    Attempts,
    /// Services of a route.
    Services,
    /// Regions in which calls may run.
    Residency,
    /// Whether callers need no key.
    Public,
    /// Connections that one server accepts.
    MaxConnections,
    /// Time for which a server is cold.
    Cold,
    /// Calls that a cold server tolerates.
    ColdRate,
    /// Tokens that a server can cache.
    CacheTokens,
    /// What a tenant's quota counts.
    Unit,
    /// Cost of a call that states no tokens.
    PlainTokens,
    /// Units per second of a tenant.
    Rate,
    /// Units beyond the rate.
    Burst,
    /// Largest request head.
    HeaderBytes,
    /// Largest request body.
    BodyBytes,
    /// Time to receive a request head.
    HeaderTimeout,
    /// Time for which a connection may be idle.
    IdleTimeout,
}

/// Part of a document that another version adds, removes or changes.
#[derive(Debug, Clone, PartialEq)]
pub enum DocumentChange {
    /// It is new.
    Added(DocumentPart),
    /// It is gone.
    Removed(DocumentPart),
    /// Some of its fields have other values.
    Changed {
        /// Which part.
        part: DocumentPart,
        /// Its fields.
        fields: Vec<DocumentField>,
    },
    /// Keys of a tenant were added and removed.
    KeysChanged {
        /// Which part.
        part: DocumentPart,
        /// Number of new keys.
        added: usize,
        /// Number of keys that are gone.
        removed: usize,
    },
}

/// Part of a document that has the same identity in all versions.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum DocumentPart {
    /// Limits on callers.
    Limits,
    /// Route by host, in lower case, and path prefix.
    Route {
        /// Host.
        host: String,
        /// Path prefix.
        prefix: String,
    },
    /// Service by name.
    Service(String),
    /// Tenant by name.
    Tenant(String),
}

/// What `new` changes of `old`, by part.
pub fn compare(old: &RouteDocument, new: &RouteDocument) -> Vec<DocumentChange> {
    let mut changes = Vec::new();
    let (before, after) = (&old.limits, &new.limits);
    let fields = changed_fields(&[
        (
            DocumentField::HeaderBytes,
            before.header_bytes != after.header_bytes,
        ),
        (
            DocumentField::BodyBytes,
            before.body_bytes != after.body_bytes,
        ),
        (
            DocumentField::HeaderTimeout,
            before.header_timeout != after.header_timeout,
        ),
        (
            DocumentField::IdleTimeout,
            before.idle_timeout != after.idle_timeout,
        ),
    ]);
    if !fields.is_empty() {
        let part = DocumentPart::Limits;
        changes.push(DocumentChange::Changed { part, fields });
    }
    let routes = |document: &RouteDocument| {
        let routes = document.routes.iter().rev();
        // The first of several routes with the same host and prefix is in force.
        let parts = routes.map(|route| (route_part(route), route.clone()));
        parts.collect::<BTreeMap<_, _>>()
    };
    compare_parts(&routes(old), &routes(new), route_fields, &mut changes);
    let services = |document: &RouteDocument| {
        let services = document.services.iter().cloned();
        let part = |name: &ServiceName| DocumentPart::Service(name.as_str().to_owned());
        let parts = services.map(|(name, settings)| (part(&name), settings));
        parts.collect::<BTreeMap<_, _>>()
    };
    compare_parts(&services(old), &services(new), service_fields, &mut changes);
    let tenants = |document: &RouteDocument| {
        let tenants = document.tenants.iter().cloned();
        let part = |tenant: &Tenant| DocumentPart::Tenant(tenant.name.as_str().to_owned());
        let parts = tenants.map(|tenant| (part(&tenant), tenant));
        parts.collect::<BTreeMap<_, _>>()
    };
    let (before, after) = (tenants(old), tenants(new));
    compare_parts(&before, &after, tenant_fields, &mut changes);
    for (part, tenant) in &after {
        let Some(former) = before.get(part) else {
            continue;
        };
        let missing = |one: &Tenant, other: &Tenant| {
            let keys: HashSet<_> = other.keys.iter().collect();
            one.keys.iter().filter(|key| !keys.contains(key)).count()
        };
        let (added, removed) = (missing(tenant, former), missing(former, tenant));
        if added + removed > 0 {
            changes.push(DocumentChange::KeysChanged {
                part: part.clone(),
                added,
                removed,
            });
        }
    }
    changes
}

fn compare_parts<T>(
    old: &BTreeMap<DocumentPart, T>,
    new: &BTreeMap<DocumentPart, T>,
    fields_of: impl Fn(&T, &T) -> Vec<DocumentField>,
    changes: &mut Vec<DocumentChange>,
) {
    for part in old.keys().filter(|part| !new.contains_key(part)) {
        changes.push(DocumentChange::Removed(part.clone()));
    }
    for (part, after) in new {
        let Some(before) = old.get(part) else {
            changes.push(DocumentChange::Added(part.clone()));
            continue;
        };
        let fields = fields_of(before, after);
        if !fields.is_empty() {
            let part = part.clone();
            changes.push(DocumentChange::Changed { part, fields });
        }
    }
}

fn changed_fields(fields: &[(DocumentField, bool)]) -> Vec<DocumentField> {
    let changed = fields.iter().filter(|(_, changed)| *changed);
    changed.map(|(field, _)| *field).collect()
}

fn route_part(route: &CallRoute) -> DocumentPart {
    DocumentPart::Route {
        host: route.host.to_ascii_lowercase(),
        prefix: route.prefix.clone(),
    }
}

fn route_fields(before: &CallRoute, after: &CallRoute) -> Vec<DocumentField> {
    changed_fields(&[
        (DocumentField::Name, before.name != after.name),
        (DocumentField::Kind, before.kind != after.kind),
        (DocumentField::Timeout, before.timeout != after.timeout),
        (DocumentField::Goal, before.goal != after.goal),
        (
            DocumentField::PauseGoal,
            before.pause_goal != after.pause_goal,
        ),
        (DocumentField::Rank, before.rank != after.rank),
        (DocumentField::Attempts, before.attempts != after.attempts),
        (
            DocumentField::Services,
            !same_elements(&before.services, &after.services),
        ),
        (
            DocumentField::Residency,
            !same_elements(&before.residency, &after.residency),
        ),
        (DocumentField::Public, before.public != after.public),
    ])
}

fn service_fields(before: &ServiceSettings, after: &ServiceSettings) -> Vec<DocumentField> {
    changed_fields(&[
        (
            DocumentField::MaxConnections,
            before.max_connections != after.max_connections,
        ),
        (DocumentField::Cold, before.cold != after.cold),
        (DocumentField::ColdRate, before.cold_rate != after.cold_rate),
        (
            DocumentField::CacheTokens,
            before.cache_tokens != after.cache_tokens,
        ),
    ])
}

fn tenant_fields(before: &Tenant, after: &Tenant) -> Vec<DocumentField> {
    let (old, new) = (&before.allowance, &after.allowance);
    changed_fields(&[
        (DocumentField::Rank, before.rank != after.rank),
        (DocumentField::Unit, old.unit != new.unit),
        (
            DocumentField::PlainTokens,
            old.plain_tokens != new.plain_tokens,
        ),
        (DocumentField::Rate, old.rate != new.rate),
        (DocumentField::Burst, old.burst != new.burst),
        (
            DocumentField::Residency,
            !same_elements(&before.residency, &after.residency),
        ),
    ])
}

fn same_elements<T: PartialEq>(one: &[T], other: &[T]) -> bool {
    one.len() == other.len()
        && one.iter().all(|element| other.contains(element))
        && other.iter().all(|element| one.contains(element))
}
