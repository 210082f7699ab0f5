//! Tests of the review of a configuration: each fault, and what is no fault.

use std::time::Duration;

use verbenaring_policy::dispatch::call::{
    CallKind, CallRoute, RouteDocument, ServiceSettings, ServiceWeight,
};
use verbenaring_policy::dispatch::difference::{
    DocumentChange, DocumentField, DocumentPart, compare,
};
use verbenaring_policy::dispatch::review::{
    DocumentFault, DocumentPlace, find_conflicts, find_faults,
};
use verbenaring_policy::dispatch::tenant::{Allowance, AllowanceUnit, KeyHash, Tenant};
use verbenaring_policy::id::TenantName;

use super::fixture::*;

fn route(name: &str, prefix: &str) -> CallRoute {
    CallRoute {
        name: name.to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Idempotent,
        timeout: ms(3_000),
        goal: ms(1_000),
        rank: 0,
        attempts: 2,
        services: vec![ServiceWeight {
            service: service("engine"),
            weight: 100,
        }],
        residency: vec![region("north"), region("south")],
        pause_goal: ms(500),
        public: false,
    }
}

fn tenant(name: &str) -> Tenant {
    Tenant {
        name: TenantName::new(name).unwrap(),
        rank: None,
        allowance: Allowance {
            unit: AllowanceUnit::Requests,
            plain_tokens: 0,
            rate: 10.0,
            burst: 20.0,
        },
        residency: vec![region("south")],
        keys: vec![KeyHash::of(name.as_bytes()).unwrap()],
    }
}

/// Document without a fault, in which each limit is at the edge of what is allowed.
fn document() -> RouteDocument {
    let mut wide = route("wide", "/");
    wide.goal = wide.timeout;
    wide.pause_goal = wide.timeout;
    wide.attempts = 6;
    let mut single = route("single", "/orders/");
    single.kind = CallKind::Once;
    single.attempts = 1;
    let mut low = tenant("low");
    low.allowance.rate = 0.5;
    low.allowance.burst = 0.5;
    let mut even = tenant("even");
    even.allowance.burst = even.allowance.rate;
    let mut unlimited = tenant("unlimited");
    unlimited.allowance = Allowance::default();
    RouteDocument {
        version: 7,
        routes: vec![wide, single, route("narrow", "/orders/late/")],
        services: vec![(service("engine"), engine_settings())],
        tenants: vec![low, even, unlimited],
        ..RouteDocument::default()
    }
}

fn faults(document: &RouteDocument) -> Vec<(DocumentPlace, DocumentFault)> {
    let findings = find_faults(document).into_iter();
    findings
        .map(|finding| (finding.place, finding.fault))
        .collect()
}

/// Guards against findings that operators learn to ignore.
#[test]
fn a_sound_document_has_no_faults() {
    assert_eq!(faults(&document()), []);
    assert_eq!(faults(&RouteDocument::default()), []);
}

/// Guards against faults of routes that are passed over. Each change makes one fault.
#[test]
fn faults_of_routes_are_found() {
    type Change = fn(&mut CallRoute);
    let zero = |field| DocumentFault::ZeroLimit { field };
    let cases: Vec<(Change, DocumentFault)> = vec![
        (
            |route| route.prefix = "/orders/".to_owned(),
            DocumentFault::Shadowed { by: 1 },
        ),
        (
            |route| {
                route.host = "SHOP.example".to_owned();
                route.prefix = "/".to_owned();
            },
            DocumentFault::Shadowed { by: 0 },
        ),
        (
            |route| route.prefix = "late/".to_owned(),
            DocumentFault::PrefixWithoutSlash,
        ),
        (|route| route.host += ":8080", DocumentFault::HostWithPort),
        (
            |route| route.name = "wide".to_owned(),
            DocumentFault::NameUsedTwice { by: 0 },
        ),
        (|route| route.services.clear(), DocumentFault::NoService),
        (
            |route| route.services[0].weight = 0,
            DocumentFault::NoService,
        ),
        (
            |route| route.services[0].service = service("other"),
            DocumentFault::UnknownService {
                service: service("other"),
            },
        ),
        (|route| route.attempts = 0, zero(DocumentField::Attempts)),
        (
            |route| route.kind = CallKind::Once,
            DocumentFault::AttemptsOfSingleRuns { attempts: 2 },
        ),
        (
            |route| route.attempts = 7,
            DocumentFault::TooManyAttempts {
                attempts: 7,
                most: 6,
            },
        ),
        (
            |route| route.timeout = Duration::ZERO,
            zero(DocumentField::Timeout),
        ),
        (
            |route| route.goal = ms(3_001),
            DocumentFault::GoalAboveTimeout {
                goal: ms(3_001),
                timeout: ms(3_000),
            },
        ),
        (
            |route| route.pause_goal = ms(3_001),
            DocumentFault::PauseAboveTimeout {
                pause: ms(3_001),
                timeout: ms(3_000),
            },
        ),
    ];
    for (change, fault) in cases {
        let mut document = document();
        change(&mut document.routes[2]);
        let found = faults(&document);
        let expected = (DocumentPlace::Route(2), fault);
        assert!(found.contains(&expected), "{expected:?}: {found:?}");
        let further = found.iter().filter(|finding| **finding != expected);
        // A route without a weight has a service without one as well.
        let further = further.filter(|(_, fault)| !matches!(fault, DocumentFault::NoWeight { .. }));
        assert_eq!(further.count(), 0, "{found:?}");
    }
}

/// Guards against faults of services and limits that are passed over.
#[test]
fn faults_of_services_and_limits_are_found() {
    let mut document = document();
    let odd = ServiceSettings {
        cold: Duration::ZERO,
        max_connections: 0,
        ..engine_settings()
    };
    document.services.push((service("odd"), odd));
    document
        .services
        .push((service("engine"), engine_settings()));
    document.limits.idle_timeout = Duration::ZERO;
    let zero = |field| DocumentFault::ZeroLimit { field };
    let place = DocumentPlace::Service(1);
    let expected = [
        (DocumentPlace::Limits, zero(DocumentField::IdleTimeout)),
        (place, DocumentFault::Unused),
        (place, zero(DocumentField::MaxConnections)),
        (place, DocumentFault::ColdRateWithoutColdTime),
        (
            DocumentPlace::Service(2),
            DocumentFault::NameUsedTwice { by: 0 },
        ),
    ];
    assert_eq!(faults(&document), expected);
}

/// Guards against faults of tenants that are passed over. Each change makes one fault.
#[test]
fn faults_of_tenants_are_found() {
    type Change = fn(&mut RouteDocument);
    let cases: Vec<(Change, DocumentFault)> = vec![
        (
            |document| document.tenants[0].keys.clear(),
            DocumentFault::NoKeys,
        ),
        (
            |document| document.tenants[0].residency = vec![region("west")],
            DocumentFault::NoCommonRegion {
                routes: 3,
                first: vec![0, 1, 2],
                all: true,
            },
        ),
        (
            |document| {
                document.tenants[0].residency = vec![region("west")];
                document.routes[0].public = true;
                document.routes[1].residency.push(region("west"));
            },
            DocumentFault::NoCommonRegion {
                routes: 1,
                first: vec![2],
                all: false,
            },
        ),
        (
            |document| document.tenants[0].allowance.burst = 0.4,
            DocumentFault::QuotaBelowOneCall { cost: 1.0 },
        ),
        (
            |document| {
                document.tenants[0].allowance.rate = 10.0;
                document.tenants[0].allowance.burst = 9.0;
            },
            DocumentFault::BurstBelowRate {
                burst: 9.0,
                rate: 10.0,
            },
        ),
        (
            |document| document.tenants[0].allowance.rate = 0.0,
            DocumentFault::BurstWithoutRate,
        ),
        (
            |document| document.tenants[0].allowance.unit = AllowanceUnit::Tokens,
            DocumentFault::PlainCallsCostNothing,
        ),
    ];
    for (change, fault) in cases {
        let mut document = document();
        change(&mut document);
        assert_eq!(faults(&document), [(DocumentPlace::Tenant(0), fault)]);
    }
}

/// Guards against a version that VMs ignore.
#[test]
fn a_version_must_be_higher_than_the_one_in_force() {
    let in_force = document();
    for (version, conflicts) in [(6, 1), (7, 1), (8, 0)] {
        let next = RouteDocument {
            version,
            ..document()
        };
        assert_eq!(
            find_conflicts(&next, &in_force).len(),
            conflicts,
            "{version}"
        );
    }
}

/// Guards against changes that are shown where only the order differs.
#[test]
fn the_order_is_no_change() {
    let mut other = document();
    other.routes.reverse();
    other.tenants.reverse();
    other.routes[0].residency.reverse();
    assert_eq!(compare(&document(), &other), []);
}

/// Guards against changes that are not shown.
#[test]
fn changes_are_shown_by_part_and_field() {
    let mut other = document();
    other.limits.body_bytes = 1;
    other.routes.remove(1);
    other.routes[0].attempts = 3;
    other.routes[0].residency.pop();
    other.routes.push(route("new", "/new/"));
    other.services[0].1.cold = ms(1);
    other.tenants[0].keys = vec![KeyHash::of(b"one").unwrap(), KeyHash::of(b"two").unwrap()];
    other.tenants[1].allowance.rate = 1.0;
    other.tenants[2] = tenant("other");
    let route_part = |prefix: &str| DocumentPart::Route {
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
    };
    let tenant_part = |name: &str| DocumentPart::Tenant(name.to_owned());
    let changed = |part, fields: &[DocumentField]| DocumentChange::Changed {
        part,
        fields: fields.to_vec(),
    };
    let expected = [
        changed(DocumentPart::Limits, &[DocumentField::BodyBytes]),
        DocumentChange::Removed(route_part("/orders/")),
        changed(
            route_part("/"),
            &[DocumentField::Attempts, DocumentField::Residency],
        ),
        DocumentChange::Added(route_part("/new/")),
        changed(
            DocumentPart::Service("engine".to_owned()),
            &[DocumentField::Cold],
        ),
        DocumentChange::Removed(tenant_part("unlimited")),
        changed(tenant_part("even"), &[DocumentField::Rate]),
        DocumentChange::Added(tenant_part("other")),
        DocumentChange::KeysChanged {
            part: tenant_part("low"),
            added: 2,
            removed: 1,
        },
    ];
    assert_eq!(compare(&document(), &other), expected);
}
