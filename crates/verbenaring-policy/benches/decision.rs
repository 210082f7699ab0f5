//! Benchmark of a full routing decision: contract lookup, residency, choice of the
//! server and of the region.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hint::black_box;
use std::time::Duration;

use criterion::Criterion;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::contract::{
    ContractTerms, LimitTerms, PriorityLevel, ResidencyRule, RoutingPreference,
};
use verbenaring_policy::id::{CustomerId, Digest, MemberId, ModelName, RegionName, ServerId};
use verbenaring_policy::load::{PrefixTable, rendezvous_key};
use verbenaring_policy::region::{
    LinkBudget, ROUND_TRIP, RegionChoice, RegionRequest, RegionSelector, RegionView,
};
use verbenaring_policy::request::SizeEstimate;
use verbenaring_policy::router::{
    LeastReported, OwnerNode, PrefixAffinity, RoundRobin, RouteChoice, RoutePlanner, RoutePolicy,
    RouteRequest, ServedModel, ServerLoad, ServerRequirement, ServerRole, ServerState, ServerView,
    TwoChoices,
};
use verbenaring_policy::time::Moment;

const SEED: u64 = 11;
const MODELS: usize = 9;
const NODES: usize = 14;

/// Number of servers, contracts and regions.
type DeploymentSize = (usize, usize, usize);

/// A small and a large deployment as designed for, and one four times as large.
const SIZES: [DeploymentSize; 3] = [(18, 100, 3), (80, 6_800, 10), (320, 27_200, 40)];

/// The large deployment with four times the contracts or regions, to show how the
/// decision time depends on each.
const GROWTH_SIZES: [DeploymentSize; 2] = [(80, 27_200, 10), (80, 6_800, 40)];

struct Deployment {
    ids: Vec<ServerId>,
    served: Vec<[ServedModel; 2]>,
    prefixes: Vec<PrefixTable>,
    regions: Vec<RegionName>,
    contracts: HashMap<Digest, ContractTerms>,
    keys: Vec<Digest>,
}

fn model(number: usize) -> ServedModel {
    ServedModel {
        model: ModelName::new(&format!("model-{}", number % MODELS)).unwrap(),
        version: "1".into(),
        adapters: Vec::new(),
        role: ServerRole::Whole,
    }
}

fn contract(number: usize, key: Digest, regions: &[RegionName]) -> ContractTerms {
    // 19% of the contracts are bound to the home region.
    let bound_to_home = number % 100 < 19;
    let count = if bound_to_home { 1 } else { regions.len() };
    ContractTerms {
        customer: CustomerId::new(&format!("customer-{number}")).unwrap(),
        member: MemberId::new("member").unwrap(),
        keys: vec![key],
        residency: ResidencyRule {
            home: regions[0].clone(),
            allowed: regions[..count].iter().cloned().collect(),
        },
        limits: LimitTerms {
            requests_per_s: 1.0,
            tokens_per_s: 1.0,
            concurrent: 1,
            deadline: Duration::from_secs(60),
        },
        priority: PriorityLevel::Standard,
        weight: 1,
        models: BTreeSet::from([model(number).model]),
        services: BTreeMap::new(),
        preference: RoutingPreference {
            send_away_after: Duration::from_millis(300),
        },
    }
}

impl Deployment {
    fn new((servers, contracts, regions): DeploymentSize) -> Self {
        let name = |index| RegionName::new(&format!("region-{index}")).unwrap();
        let regions: Vec<_> = (0..regions).map(name).collect();
        let key = |number: usize| Digest::of(&number.to_le_bytes());
        let keys: Vec<_> = (0..contracts).map(key).collect();
        let mut prefixes = vec![PrefixTable::default(); servers];
        for number in 0..servers * 500 {
            prefixes[number % servers].insert(&key(number / 3));
        }
        Self {
            ids: (0..servers)
                .map(|index| ServerId::new(&format!("server-{index}")).unwrap())
                .collect(),
            served: (0..servers)
                .map(|index| [model(index), model(index + 4)])
                .collect(),
            prefixes,
            contracts: (0..contracts)
                .map(|number| (keys[number], contract(number, keys[number], &regions)))
                .collect(),
            keys,
            regions,
        }
    }

    fn servers(&self, rng: &mut ChaCha8Rng) -> Vec<ServerView<'_, PrefixTable>> {
        let view = |index: usize| {
            let requests = rng.random_range(0..12);
            ServerView {
                id: &self.ids[index],
                state: ServerState::Active,
                own_tokens: u64::from(requests) * 300,
                own_requests: requests,
                slots: 8,
                tokens_per_s: 400.0,
                report: Some(ServerLoad {
                    running: 8,
                    waiting: requests,
                    cache_usage: 0.5,
                    age: Duration::from_millis(rng.random_range(0..2000)),
                }),
                models: &self.served[index],
                services: &[],
                prefixes: &self.prefixes[index],
            }
        };
        (0..self.ids.len()).map(view).collect()
    }

    fn region_views(&self) -> Vec<RegionView<'_>> {
        let view = |(index, region)| RegionView {
            region,
            reachable: true,
            wait: Some(Duration::from_millis(40 * index as u64)),
            age: Duration::from_millis(500),
            round_trip: ROUND_TRIP,
            prefill_tokens_per_s: 5_000.0,
            warm: false,
            cost: 1.0,
        };
        self.regions.iter().enumerate().map(view).collect()
    }
}

fn decide<P: RoutePolicy>(
    deployment: &Deployment,
    servers: &[ServerView<'_, PrefixTable>],
    regions: &[RegionView<'_>],
    planner: &mut RoutePlanner<P>,
    selector: &mut RegionSelector,
    rng: &mut ChaCha8Rng,
) -> Option<(RouteChoice, RegionChoice)> {
    let key = deployment.keys[rng.random_range(0..deployment.keys.len())];
    let terms = deployment.contracts.get(&key)?;
    let request = RouteRequest {
        requirement: ServerRequirement::Model {
            model: terms.models.first()?,
            version: None,
            adapter: None,
            role: ServerRole::Whole,
        },
        size: SizeEstimate {
            prompt_tokens: 400,
            answer_tokens: 300,
        },
        prefix: key,
        low_priority: false,
        // Relayed requests take longer to decide, because the owner of every candidate
        // is computed.
        relayed: true,
        excluded: &[],
    };
    let choice = planner.plan(&request, servers, rng)?;
    let local = RegionView {
        // A long local wait makes the selector compare all regions.
        wait: Some(choice.wait + Duration::from_millis(500)),
        ..regions[0]
    };
    let request = RegionRequest {
        terms,
        prompt_tokens: 400,
        bytes: 4_000,
        forwarded: false,
    };
    let region = selector.select(&request, &local, &regions[1..], Moment(0));
    Some((choice, region))
}

fn bench_policy<P: RoutePolicy>(
    criterion: &mut Criterion,
    name: &str,
    size: DeploymentSize,
    policy: P,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED);
    let deployment = Deployment::new(size);
    let servers = deployment.servers(&mut rng);
    let regions = deployment.region_views();
    let mut planner = RoutePlanner::new(policy);
    let mut selector = RegionSelector::default();
    for region in &deployment.regions {
        selector.set_link(region, LinkBudget::new(1e6, 1e12, Moment(0)));
    }
    let bench_name = format!("{name}/{}x{}x{}", size.0, size.1, size.2);
    criterion.bench_function(&bench_name, |bencher| {
        bencher.iter(|| {
            let decision = decide(
                &deployment,
                &servers,
                &regions,
                &mut planner,
                &mut selector,
                &mut rng,
            );
            black_box(decision.expect("every model is served by a server"))
        });
    });
}

fn bench_decisions(criterion: &mut Criterion) {
    for size in SIZES {
        let nodes = (0..NODES)
            .map(|node| rendezvous_key(&format!("node-{node}")))
            .collect();
        bench_policy(criterion, "round_robin", size, RoundRobin::default());
        bench_policy(criterion, "least_reported", size, LeastReported);
        bench_policy(criterion, "two_choices", size, PrefixAffinity(TwoChoices));
        bench_policy(criterion, "owner_node", size, OwnerNode::new(0, nodes));
    }
    for size in GROWTH_SIZES {
        bench_policy(criterion, "two_choices", size, PrefixAffinity(TwoChoices));
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_decisions(&mut criterion);
    criterion.final_summary();
}
