//! Filtering of servers, routing policies and ownership of servers.

use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::id::{Digest, ModelName, ServerId};
use verbenaring_policy::load::{PrefixTable, rendezvous_key};
use verbenaring_policy::request::SizeEstimate;
use verbenaring_policy::router::{
    LeastReported, OwnerNode, PrefixAffinity, RoundRobin, RoutePlanner, RoutePolicy, RouteRequest,
    ServedModel, ServerLoad, ServerRequirement, ServerRole, ServerState, ServerView, TwoChoices,
};

struct Fixture {
    ids: Vec<ServerId>,
    models: Vec<ServedModel>,
    prefixes: PrefixTable,
}

impl Fixture {
    fn new(count: usize) -> Self {
        let id = |index| ServerId::new(&format!("s{index}")).unwrap();
        let served = ServedModel {
            model: ModelName::new("m").unwrap(),
            version: "2".into(),
            adapters: vec!["a".into()],
            role: ServerRole::Whole,
        };
        Self {
            ids: (0..count).map(id).collect(),
            models: vec![served],
            prefixes: PrefixTable::default(),
        }
    }

    fn views(&self) -> Vec<ServerView<'_, PrefixTable>> {
        let view = |id| ServerView {
            id,
            state: ServerState::Active,
            own_tokens: 0,
            own_requests: 0,
            slots: 8,
            tokens_per_s: 400.0,
            report: None,
            models: &self.models,
            services: &[],
            prefixes: &self.prefixes,
        };
        self.ids.iter().map(view).collect()
    }

    fn request(&self) -> RouteRequest<'_> {
        RouteRequest {
            requirement: ServerRequirement::Model {
                model: &self.models[0].model,
                version: None,
                adapter: None,
                role: ServerRole::Whole,
            },
            size: SizeEstimate {
                prompt_tokens: 100,
                answer_tokens: 100,
            },
            prefix: Digest::of(b"prefix"),
            low_priority: false,
            relayed: false,
            excluded: &[],
        }
    }
}

fn choice_counts<P: RoutePolicy>(
    policy: P,
    fixture: &Fixture,
    views: &[ServerView<'_, PrefixTable>],
) -> Vec<u32> {
    let mut planner = RoutePlanner::new(policy);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut counts = vec![0; views.len()];
    for _ in 0..1000 {
        let choice = planner.plan(&fixture.request(), views, &mut rng).unwrap();
        counts[choice.server] += 1;
    }
    counts
}

/// Guards against requests sent to leaving, ejected or excluded servers, or to
/// servers without the required model, version or role.
#[test]
fn unusable_servers_are_not_chosen() {
    let fixture = Fixture::new(4);
    let decode_only = ServedModel {
        role: ServerRole::Decode,
        ..fixture.models[0].clone()
    };
    let decode_models = [decode_only];
    let mut views = fixture.views();
    views[0].state = ServerState::Leaving;
    views[1].state = ServerState::Ejected { probe_due: false };
    views[2].models = &decode_models;
    assert_eq!(
        choice_counts(RoundRobin::default(), &fixture, &views),
        [0, 0, 0, 1000]
    );
    let mut planner = RoutePlanner::new(TwoChoices);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let excluded = [fixture.ids[3].clone()];
    let mut request = fixture.request();
    request.excluded = &excluded;
    let choice = planner.plan(&request, &views, &mut rng).unwrap();
    assert_eq!(choice.server, 1, "an ejected server is the last resort");
    request.requirement = ServerRequirement::Model {
        model: &fixture.models[0].model,
        version: Some("1"),
        adapter: Some("a"),
        role: ServerRole::Whole,
    };
    assert!(planner.plan(&request, &views, &mut rng).is_none());
}

/// Guards against ejected servers that never return because nothing probes them,
/// and against probes with requests that are not of low priority.
#[test]
fn low_priority_requests_probe_ejected_servers() {
    let fixture = Fixture::new(3);
    let mut views = fixture.views();
    views[2].state = ServerState::Ejected { probe_due: true };
    let mut planner = RoutePlanner::new(TwoChoices);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut request = fixture.request();
    assert_ne!(planner.plan(&request, &views, &mut rng).unwrap().server, 2);
    request.low_priority = true;
    assert_eq!(planner.plan(&request, &views, &mut rng).unwrap().server, 2);
}

/// Guards against nodes that read the same stale report and all send their requests
/// to the server that it shows as idle.
#[test]
fn stale_reports_do_not_attract_all_requests() {
    let fixture = Fixture::new(10);
    let mut views = fixture.views();
    for (index, view) in views.iter_mut().enumerate() {
        view.report = Some(ServerLoad {
            running: if index == 0 { 0 } else { 5 },
            waiting: 0,
            cache_usage: 0.0,
            age: Duration::from_secs(5),
        });
    }
    assert_eq!(choice_counts(LeastReported, &fixture, &views)[0], 1000);
    assert!(choice_counts(TwoChoices, &fixture, &views)[0] < 250);
}

/// Guards against a choice that ignores how slow a server is, or how many requests
/// of this node are outstanding there.
#[test]
fn slow_factor_and_own_requests_count() {
    let fixture = Fixture::new(3);
    let mut views = fixture.views();
    views[0].state = ServerState::Slow { factor: 4.0 };
    views[1].own_tokens = 10_000;
    views[1].own_requests = 20;
    let counts = choice_counts(TwoChoices, &fixture, &views);
    assert!(counts[2] > 600 && counts[1] == 0, "{counts:?}");
}

/// Guards against a slow server that seems better than busy ones after it was
/// avoided and has run out of work.
#[test]
fn idle_slow_server_is_still_avoided() {
    let fixture = Fixture::new(3);
    let mut warm = PrefixTable::default();
    warm.insert(&fixture.request().prefix);
    let mut views = fixture.views();
    views[0].state = ServerState::Slow { factor: 4.0 };
    views[0].prefixes = &warm;
    for view in &mut views[1..] {
        view.own_tokens = 10_000;
        view.own_requests = 20;
    }
    let counts = choice_counts(PrefixAffinity(TwoChoices), &fixture, &views);
    assert_eq!(counts[0], 0, "{counts:?}");
}

/// Guards against overload of a server whose cache holds a popular prefix.
#[test]
fn affinity_ends_at_the_load_bound() {
    let fixture = Fixture::new(8);
    let mut warm = PrefixTable::default();
    warm.insert(&fixture.request().prefix);
    let mut views = fixture.views();
    views[3].prefixes = &warm;
    assert_eq!(
        choice_counts(PrefixAffinity(TwoChoices), &fixture, &views)[3],
        1000
    );
    views[3].own_tokens = 4000;
    views[3].own_requests = 20;
    assert_eq!(
        choice_counts(PrefixAffinity(TwoChoices), &fixture, &views)[3],
        0
    );
}

/// Guards against nodes that disagree on the owner of a server, and against
/// requests that are relayed more than once.
#[test]
fn nodes_agree_on_owners_and_relay_once() {
    let fixture = Fixture::new(20);
    let views = fixture.views();
    let nodes: Vec<u64> = ["a", "b", "c"].map(rendezvous_key).to_vec();
    let policies = [0, 1, 2].map(|own| OwnerNode::new(own, nodes.clone()));
    let mut owned = [0; 3];
    for id in &fixture.ids {
        let owner = policies[0].owner(id);
        assert!(policies.iter().all(|policy| policy.owner(id) == owner));
        owned[owner] += 1;
    }
    assert!(owned.iter().all(|count| *count > 0), "{owned:?}");
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    for policy in policies {
        let mut request = fixture.request();
        request.relayed = true;
        let choice = RoutePlanner::new(policy).plan(&request, &views, &mut rng);
        assert_eq!(choice.unwrap().owner, None);
    }
}
