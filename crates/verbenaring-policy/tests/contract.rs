//! Tests of contract validation, allowed service calls and names.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaring_policy::contract::{
    ContractTerms, LimitTerms, PriorityLevel, ResidencyRule, RoutingPreference, ServiceCall,
};
use verbenaring_policy::id::{CustomerId, Digest, MemberId, RegionName, ServiceName};

fn terms() -> ContractTerms {
    let home = RegionName::new("dublin").unwrap();
    let calls = vec![
        ServiceCall {
            method: "POST".into(),
            path: "/bookings".into(),
            repeatable: false,
        },
        ServiceCall {
            method: "GET".into(),
            path: "/".into(),
            repeatable: true,
        },
    ];
    ContractTerms {
        customer: CustomerId::new("council").unwrap(),
        member: MemberId::new("awning").unwrap(),
        keys: vec![Digest::of(b"key")],
        residency: ResidencyRule {
            home: home.clone(),
            allowed: BTreeSet::from([home]),
        },
        limits: LimitTerms {
            requests_per_s: 10.0,
            tokens_per_s: 1000.0,
            concurrent: 5,
            deadline: Duration::from_secs(30),
        },
        priority: PriorityLevel::Interactive,
        weight: 1,
        models: BTreeSet::new(),
        services: BTreeMap::from([(ServiceName::new("jobs").unwrap(), calls)]),
        preference: RoutingPreference {
            send_away_after: Duration::from_millis(500),
        },
    }
}

/// Guards against a contract whose home region is not allowed, by which data would
/// be routed to a region that the contract forbids.
#[test]
fn home_region_must_be_allowed() {
    let mut terms = terms();
    terms.residency.home = RegionName::new("cork").unwrap();
    let message = terms.check().unwrap_err().to_string();
    assert_eq!(
        message,
        "contract of customer council: field residency.home: must be one of residency.allowed"
    );
}

/// Guards against path prefixes that match part of a segment: `/bookingsX` is not
/// allowed by `/bookings`.
#[test]
fn service_calls_match_whole_segments() {
    let terms = terms();
    assert!(
        !terms
            .service_call("jobs", "POST", "/bookings/7")
            .unwrap()
            .repeatable
    );
    assert!(terms.service_call("jobs", "POST", "/bookingsX").is_none());
    assert!(
        terms
            .service_call("jobs", "GET", "/job/1")
            .unwrap()
            .repeatable
    );
    assert!(terms.service_call("other", "GET", "/").is_none());
}

/// Guards against names with characters that would need escaping in store keys or
/// headers.
#[test]
fn names_are_restricted() {
    assert!(CustomerId::new("a/b").is_err());
    assert!(CustomerId::new("").is_err());
    assert!(CustomerId::new(&"x".repeat(65)).is_err());
    assert!(CustomerId::new("council-1.dublin").is_ok());
}
