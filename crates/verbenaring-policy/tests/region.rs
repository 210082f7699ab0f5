//! Choice between running a request in the own region and sending it to another.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaring_policy::contract::{
    ContractTerms, LimitTerms, PriorityLevel, ResidencyRule, RoutingPreference,
};
use verbenaring_policy::id::{CustomerId, MemberId, RegionName};
use verbenaring_policy::region::{
    LinkBudget, ROUND_TRIP, RegionChoice, RegionRefusal, RegionRequest, RegionSelector, RegionView,
};
use verbenaring_policy::time::Moment;

struct Fixture {
    names: [RegionName; 3],
    terms: ContractTerms,
    selector: RegionSelector,
    warm: bool,
    bytes: u64,
}

impl Fixture {
    fn new(allowed: &[usize]) -> Self {
        let names = ["a", "b", "c"].map(|name| RegionName::new(name).unwrap());
        let allowed: BTreeSet<_> = allowed.iter().map(|index| names[*index].clone()).collect();
        let mut selector = RegionSelector::default();
        for name in &names {
            selector.set_link(name, LinkBudget::new(1000.0, 10_000.0, Moment(0)));
        }
        let terms = ContractTerms {
            customer: CustomerId::new("cooper").unwrap(),
            member: MemberId::new("huon").unwrap(),
            keys: Vec::new(),
            residency: ResidencyRule {
                home: allowed.first().unwrap().clone(),
                allowed,
            },
            limits: LimitTerms {
                requests_per_s: 1.0,
                tokens_per_s: 1.0,
                concurrent: 1,
                deadline: Duration::from_secs(60),
            },
            priority: PriorityLevel::Standard,
            weight: 1,
            models: BTreeSet::new(),
            services: BTreeMap::new(),
            preference: RoutingPreference {
                send_away_after: Duration::from_millis(390),
            },
        };
        Self {
            names,
            terms,
            selector,
            warm: true,
            bytes: 100,
        }
    }

    /// Selects a region, given the waits in ms of regions a (local), b and c.
    fn select(&mut self, waits: [Option<u64>; 3], forwarded: bool) -> RegionChoice {
        let view = |index: usize| RegionView {
            region: &self.names[index],
            reachable: true,
            wait: waits[index].map(Duration::from_millis),
            age: Duration::ZERO,
            round_trip: ROUND_TRIP,
            prefill_tokens_per_s: 1000.0,
            warm: self.warm,
            cost: 1.0,
        };
        let request = RegionRequest {
            terms: &self.terms,
            prompt_tokens: 1000,
            bytes: self.bytes,
            forwarded,
        };
        self.selector
            .select(&request, &view(0), &[view(1), view(2)], Moment(0))
    }
}

/// Guards against data that leaves the allowed regions to avoid a wait (invariant I1).
#[test]
fn residency_comes_first() {
    let mut home = Fixture::new(&[0]);
    assert_eq!(
        home.select([Some(60_000), Some(0), Some(0)], false),
        RegionChoice::Local
    );
    let capacity = RegionChoice::Refused(RegionRefusal::Capacity);
    assert_eq!(home.select([None, Some(0), Some(0)], false), capacity);
    let home_residency = home.terms.residency.clone();
    let mut away = Fixture::new(&[2]);
    let residency = RegionChoice::Refused(RegionRefusal::Residency);
    let waits = [Some(0), Some(0), Some(900)];
    assert_eq!(
        away.select(waits, false),
        residency,
        "no relay through region a"
    );
    assert_eq!(away.select(waits, true), residency);
    away.terms.residency = home_residency;
    away.terms.residency.allowed.insert(away.names[2].clone());
    assert_eq!(
        away.select([None, Some(0), Some(900)], false),
        RegionChoice::Remote(1)
    );
}

/// Guards against a forwarded request that is forwarded again, possibly in a loop (invariant I2).
#[test]
fn forwarded_requests_stay() {
    let mut fixture = Fixture::new(&[0, 1, 2]);
    assert_eq!(
        fixture.select([Some(60_000), Some(0), Some(0)], true),
        RegionChoice::Local
    );
    let refused = RegionChoice::Refused(RegionRefusal::Capacity);
    assert_eq!(fixture.select([None, Some(0), Some(0)], true), refused);
}

/// Guards against sending for a small gain and against flapping around the threshold of
/// 500 ms, which both waste warm caches.
#[test]
fn gain_must_exceed_the_threshold_with_hysteresis() {
    let mut fixture = Fixture::new(&[0, 1, 2]);
    let mut with_wait = |wait| fixture.select([Some(wait), Some(0), Some(10)], false);
    assert_eq!(with_wait(600), RegionChoice::Local);
    assert_eq!(with_wait(640), RegionChoice::Remote(0));
    assert_eq!(
        with_wait(510),
        RegionChoice::Remote(0),
        "stays remote above the threshold"
    );
    assert_eq!(with_wait(490), RegionChoice::Local);
    assert_eq!(
        with_wait(510),
        RegionChoice::Local,
        "starts again only above 625 ms"
    );
    fixture.warm = false;
    assert_eq!(
        fixture.select([Some(1400), Some(0), Some(0)], false),
        RegionChoice::Local
    );
}

/// Guards against forwarding beyond the link budget, which saturates a slow wide-area link.
#[test]
fn link_budget_is_kept() {
    let mut fixture = Fixture::new(&[0, 1]);
    fixture.bytes = 6_000;
    assert_eq!(
        fixture.select([Some(9000), Some(0), None], false),
        RegionChoice::Remote(0)
    );
    assert_eq!(
        fixture.select([Some(9000), Some(0), None], false),
        RegionChoice::Local
    );
    let refused = RegionChoice::Refused(RegionRefusal::Link);
    assert_eq!(fixture.select([None, Some(0), None], false), refused);
    let mut budget = LinkBudget::new(1000.0, 10_000.0, Moment(0));
    assert!(budget.try_take(10_000, Moment(0)));
    assert!(!budget.try_take(1001, Moment(1_000_000)));
    assert!(budget.try_take(1000, Moment(1_000_000)));
}
