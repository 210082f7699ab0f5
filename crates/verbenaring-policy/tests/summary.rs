//! Exchange of summaries between data centres in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::id::{CentreName, DataCentre, ModelName, RegionName, VmId};
use verbenaring_policy::summary::{
    AgedSummary, CentreStatus, CentreSummary, MAX_ADDRESSES, ModelSpareCapacity, NodeAddress,
    SummaryBody, SummaryEnvelope, SummarySettings, SummaryTable, delegates,
};
use verbenaring_policy::time::Moment;

const CENTRES: usize = 8;

fn centre(index: usize) -> DataCentre {
    DataCentre {
        region: RegionName::new("tasmania-south").unwrap(),
        name: CentreName::new(&format!("centre-{index}")).unwrap(),
    }
}

fn address(index: usize) -> SocketAddr {
    ([127, 0, 0, 1], index as u16 + 1).into()
}

fn status(index: usize, revision: u64) -> CentreStatus {
    let node = NodeAddress {
        vm: VmId::new(&format!("vm-{index}")).unwrap(),
        address: address(index),
    };
    let spare = ModelSpareCapacity {
        tokens_per_s: 100,
        wait_ms: 20,
    };
    CentreStatus {
        nodes: vec![node],
        node_count: 1,
        models: BTreeMap::from([(ModelName::new("small").unwrap(), spare)]),
        revision,
        nodes_in_force: 1,
        unix_ms: 1_000,
    }
}

fn aged(index: usize, version: u64, age_ms: u32) -> AgedSummary {
    let summary = CentreSummary {
        centre: centre(index),
        version,
        status: status(index, 1),
    };
    AgedSummary {
        summary,
        age_ms,
        omitted_nodes: None,
    }
}

fn table(index: usize) -> SummaryTable {
    let settings = SummarySettings::new(centre(index), address(index));
    let peers = vec![address((index + 1) % CENTRES)];
    SummaryTable::new(SummarySettings { peers, ..settings })
}

/// Simulation with one delegate per data centre, which initially knows only the next one.
struct Exchange {
    now: Moment,
    rng: ChaCha8Rng,
    tables: Vec<SummaryTable>,
    revisions: Vec<u64>,
    isolated: BTreeSet<usize>,
    summaries_sent: usize,
}

impl Exchange {
    fn new() -> Self {
        Self {
            now: Moment(0),
            rng: ChaCha8Rng::seed_from_u64(1),
            tables: (0..CENTRES).map(table).collect(),
            revisions: vec![1; CENTRES],
            isolated: BTreeSet::new(),
            summaries_sent: 0,
        }
    }

    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 10 {
            self.now = self.now + Duration::from_millis(100);
            let now = self.now;
            let mut sent: Vec<(usize, SummaryEnvelope)> = Vec::new();
            for (index, table) in self.tables.iter_mut().enumerate() {
                table.publish(now, 0, status(index, self.revisions[index]));
                let offers = table.tick(now, &[], true, &mut self.rng);
                sent.extend(offers.into_iter().map(|offer| (index, offer)));
            }
            while let Some((from, envelope)) = sent.pop() {
                let to = usize::from(envelope.to.port()) - 1;
                if from != to && (self.isolated.contains(&from) || self.isolated.contains(&to)) {
                    continue;
                }
                self.summaries_sent += match &envelope.message.body {
                    SummaryBody::Offer(_) => 0,
                    SummaryBody::Reply { newer, .. } => newer.len(),
                    SummaryBody::Delivery(summaries) => summaries.len(),
                };
                let reply = self.tables[to].receive(now, envelope.message);
                sent.extend(reply.map(|reply| (to, reply)));
            }
        }
    }

    fn fresh_counts(&self) -> Vec<usize> {
        let count = |table: &SummaryTable| table.fresh(self.now).count();
        self.tables.iter().map(count).collect()
    }
}

// Guards against data centres that never learn of those that are no initial peers.
#[test]
fn summaries_reach_all_centres() {
    let mut exchange = Exchange::new();
    exchange.run(10);
    assert_eq!(exchange.fresh_counts(), vec![CENTRES; CENTRES]);
}

// Guards against exchanges that send summaries the other side already has.
#[test]
fn each_version_is_sent_about_once_per_centre() {
    let mut exchange = Exchange::new();
    exchange.run(20);
    exchange.summaries_sent = 0;
    exchange.run(100);
    let needed = CENTRES * (CENTRES - 1) * 100 / 10;
    assert!(exchange.summaries_sent <= needed + needed / 10);
    assert!(exchange.summaries_sent >= needed - needed / 5);
}

// Guards against a new revision that takes more than 10 s to reach all data centres.
#[test]
fn new_revision_spreads_within_limit() {
    let mut exchange = Exchange::new();
    exchange.run(20);
    exchange.revisions[3] = 2;
    exchange.run(10);
    let now = exchange.now;
    let newest = |table: &SummaryTable| table.newest_revision(now).unwrap().0;
    assert!(exchange.tables.iter().all(|table| newest(table) == 2));
}

// Guards against an isolated data centre that stays listed, or does not return.
#[test]
fn isolated_centre_expires_and_returns() {
    let mut exchange = Exchange::new();
    exchange.run(20);
    exchange.isolated.insert(5);
    exchange.run(75);
    let mut expected = vec![CENTRES - 1; CENTRES];
    expected[5] = 1;
    assert_eq!(exchange.fresh_counts(), expected);
    exchange.isolated.clear();
    exchange.run(30);
    assert_eq!(exchange.fresh_counts(), vec![CENTRES; CENTRES]);
}

// Guards against an old version that replaces a newer one, and against relays
// that make an old summary look new.
#[test]
fn merge_keeps_newest_and_counts_age() {
    let mut table = table(0);
    let now = Moment(5_000_000);
    assert!(table.merge(now, aged(1, 7, 50_000)));
    assert!(!table.merge(now, aged(1, 7, 0)));
    assert!(!table.merge(now, aged(1, 6, 0)));
    assert!(!table.merge(now, aged(2, 1, 60_000)));
    assert_eq!(table.fresh(now + Duration::from_secs(9)).count(), 1);
    assert_eq!(table.fresh(now + Duration::from_secs(10)).count(), 0);
}

// Guards against a new delegate that publishes below its predecessor's version,
// and against summaries above the size limits.
#[test]
fn publisher_continues_versions_within_bounds() {
    let mut table = table(1);
    let now = Moment(0);
    assert!(table.merge(now, aged(1, 9_000, 0)));
    let mut large = status(1, 2);
    large.nodes = vec![large.nodes[0].clone(); MAX_ADDRESSES + 10];
    assert!(table.publish(now, 0, large));
    let own = table.fresh(now).next().unwrap();
    assert_eq!(own.version, 9_001);
    assert_eq!(own.status.nodes.len(), MAX_ADDRESSES);
    let mut oversized = aged(2, 1, 0);
    oversized.summary.status.nodes = vec![own.status.nodes[0].clone(); MAX_ADDRESSES + 1];
    assert!(!table.merge(now, oversized));
}

// Guards against addresses that are lost when a peer omits them, and against a
// summary that is stored although this node lacks the omitted addresses.
#[test]
fn omitted_addresses_are_kept() {
    let now = Moment(0);
    let (mut left, mut right) = (table(0), table(1));
    assert!(left.merge(now, aged(2, 1, 0)));
    assert!(right.merge(now, aged(2, 1, 0)));
    assert!(right.merge(now, aged(2, 2, 0)));
    let local = [address(1)];
    let offer = left.tick(now, &local, false, &mut ChaCha8Rng::seed_from_u64(1));
    let reply = right.receive(now, offer.unwrap().message).unwrap();
    let SummaryBody::Reply { newer, .. } = &reply.message.body else {
        panic!("an offer is answered by a reply");
    };
    assert!(newer[0].omitted_nodes.is_some() && newer[0].summary.status.nodes.is_empty());
    assert!(!table(3).merge(now, newer[0].clone()));
    left.receive(now, reply.message);
    let summary = left.fresh(now).next().unwrap();
    assert_eq!((summary.version, summary.status.nodes.len()), (2, 1));
}

// Guards against two delegates that both publish each version.
#[test]
fn second_delegate_waits_for_the_first() {
    let mut table = table(1);
    assert!(table.publish(Moment(0), 0, status(1, 1)));
    let due = Moment(10_000_000);
    assert!(!table.clone().publish(due, 1, status(1, 1)));
    assert!(table.clone().publish(due, 0, status(1, 1)));
    assert!(table.clone().publish(due, 1, status(1, 2)));
    assert!(table.publish(due + Duration::from_secs(10), 1, status(1, 1)));
}

// Guards against nodes that choose different delegates, and against delegates
// that change when another node is removed.
#[test]
fn delegates_are_stable() {
    let nodes: Vec<VmId> = (0..14)
        .map(|index| VmId::new(&format!("vm-{index}")).unwrap())
        .collect();
    let name = centre(0).name;
    let chosen = delegates(&name, &nodes);
    assert_eq!(chosen, delegates(&name, nodes.iter().rev()));
    let other_node = nodes.iter().find(|node| !chosen.contains(node)).unwrap();
    let rest = nodes.iter().filter(|node| *node != other_node);
    assert_eq!(chosen, delegates(&name, rest));
}
