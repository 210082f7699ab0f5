//! Tests of the route table.

use verbenaring_policy::dispatch::call::{
    CallKind, CallRoute, CallerLimits, RouteDocument, RouteTable, ServiceWeight,
};

use super::fixture::*;

fn route(prefix: &str, residency: &[&str]) -> CallRoute {
    CallRoute {
        name: prefix.to_owned(),
        host: "Shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: CallKind::Once,
        timeout: ms(1_000),
        goal: ms(500),
        rank: 0,
        attempts: 1,
        services: [(30, "one"), (70, "two")]
            .map(|(weight, name)| ServiceWeight {
                service: service(name),
                weight,
            })
            .to_vec(),
        residency: residency.iter().map(|name| region(name)).collect(),
        pause_goal: ms(0),
        public: false,
    }
}

#[test]
fn the_longest_prefix_selects_the_route() {
    let table = RouteTable::new(RouteDocument {
        version: 3,
        limits: CallerLimits::default(),
        routes: vec![
            route("/a/", &["north", "south"]),
            route("/a/b/", &["south"]),
            route("/c/", &[]),
        ],
        services: Vec::new(),
        tenants: Vec::new(),
    });
    let found = |path: &str| {
        table
            .find("shop.example", path)
            .map(|route| route.prefix.as_str())
    };
    assert_eq!(found("/a/x"), Some("/a/"));
    assert_eq!(found("/a/b/x"), Some("/a/b/"));
    assert_eq!(found("/a"), None);
    assert!(table.find("other.example", "/a/x").is_none());
    assert_eq!(table.common_residency("shop.example"), [region("south")]);
    let split = route("/", &[]);
    let first = (0..1_000).filter(|hash| split.service(*hash) == Some(&service("one")));
    assert_eq!(first.count(), 300);
}
