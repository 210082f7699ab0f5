//! Cost of four ways to know which nodes are live and which configuration
//! revision they have, on virtual time over in-memory links.
//!
//! Run with `cargo run --release -p verbenaring-testbed --example membership`.
//! Protocol figures depend on the seed only; CPU time and memory are measured.

#[path = "membership/baseline.rs"]
mod baseline;
#[path = "membership/product.rs"]
mod product;
#[path = "membership/simulation.rs"]
mod simulation;

use std::time::Duration;

use baseline::{Mesh, Ring};
use product::Product;
use simulation::{Layout, Node, Simulation};
use verbenaring_policy::time::Moment;

/// Time between new load figures of a node.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);
/// Load figures of 6 servers of 12 bytes each: 2,000 servers over 360 nodes.
const LOAD_BYTES: usize = 72;

const SIZES: [usize; 5] = [14, 60, 120, 240, 360];
const WARM_UP: Duration = Duration::from_secs(30);
const STEADY: Duration = Duration::from_secs(30);
const FAULT: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_secs(10);
const LIMIT: Duration = Duration::from_secs(120);
const LOSS: f64 = 0.05;
/// Node that crashes and pauses; not an initial peer.
const VICTIM: usize = 7;

const BUDGET_BYTES_PER_S: f64 = 5_000.0;
const BUDGET_CPU_PERCENT: f64 = 4.4;
const BUDGET_MEMORY_KB: f64 = 128.0 * 1_024.0;
const PAGE_KB: f64 = 4.0;

type Build<N> = fn(usize, &Layout, u64, Moment) -> N;

struct Cost {
    messages: f64,
    bytes: f64,
    most_bytes: f64,
    cpu_percent: f64,
    memory_kb: f64,
}

fn main() {
    let seed = seed_argument();
    println!("seed {seed}; messages, bytes and cpu per node and second; memory per node");
    println!(
        "{:<10}{:>6}{:>10}{:>10}{:>10}{:>9}{:>9}{:>9}{:>10}{:>8}",
        "way",
        "nodes",
        "messages",
        "bytes",
        "max bytes",
        "cpu %",
        "mem KB",
        "known %",
        "revision",
        "crash"
    );
    for nodes in SIZES {
        measure_cost::<Mesh>("mesh", nodes, seed, Mesh::new);
        measure_cost::<Product>("gossip", nodes, seed, Product::flat);
        measure_cost::<Product>("delegates", nodes, seed, Product::delegated);
        measure_cost::<Ring>("ring", nodes, seed, Ring::new);
    }
    println!(
        "known: pairs of nodes of one data centre that know each other a minute after all started"
    );
    println!("revision, crash: seconds until all know, - if not within 120 s");
    println!("healthy nodes removed under faults, as pairs of observer and subject");
    println!(
        "{:<10}{:>6}{:>10}{:>10}{:>10}{:>10}",
        "way", "nodes", "loss", "one-way", "pause", "return s"
    );
    for nodes in SIZES {
        measure_faults::<Mesh>("mesh", nodes, seed, Mesh::new);
        measure_faults::<Product>("gossip", nodes, seed, Product::flat);
        measure_faults::<Product>("delegates", nodes, seed, Product::delegated);
        measure_faults::<Ring>("ring", nodes, seed, Ring::new);
    }
}

fn seed_argument() -> u64 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => 1,
        [name, seed] if name == "--seed" => seed.parse().expect("--seed takes a number"),
        _ => panic!("usage: membership [--seed N]"),
    }
}

fn measure_cost<N: Node>(way: &str, nodes: usize, seed: u64, build: Build<N>) {
    let before = resident_kb();
    let mut simulation = warmed(nodes, seed, build);
    let cost = steady_cost(&mut simulation, before);
    let known = known_percent(&simulation);
    let revision = revision_time(&mut simulation);
    let crash = crash_time(&mut simulation);
    // Kept, because a later run would reuse freed pages and seem to need none.
    std::mem::forget(simulation);
    println!(
        "{way:<10}{nodes:>6}{:>10.1}{:>10.0}{:>10.0}{:>9.3}{:>9.0}{:>9.1}{:>10}{:>8}",
        cost.messages,
        cost.bytes,
        cost.most_bytes,
        cost.cpu_percent,
        cost.memory_kb,
        known,
        seconds(revision),
        seconds(crash),
    );
    if nodes == SIZES[SIZES.len() - 1] {
        print_budget(way, &cost);
    }
}

fn measure_faults<N: Node>(way: &str, nodes: usize, seed: u64, build: Build<N>) {
    let loss = loss_removals(nodes, seed, build);
    let one_way = one_way_removals(nodes, seed, build);
    let (pause, back) = pause_removals(nodes, seed, build);
    let back = seconds(back);
    println!("{way:<10}{nodes:>6}{loss:>10}{one_way:>10}{pause:>10}{back:>10}");
}

fn print_budget(way: &str, cost: &Cost) {
    let verdict = |measured: f64, budget: f64| if measured <= budget { "met" } else { "missed" };
    println!(
        "  budget of {way}: bytes {} (busiest node {}), cpu {}, memory {}",
        verdict(cost.bytes, BUDGET_BYTES_PER_S),
        verdict(cost.most_bytes, BUDGET_BYTES_PER_S),
        verdict(cost.cpu_percent, BUDGET_CPU_PERCENT),
        verdict(cost.memory_kb, BUDGET_MEMORY_KB),
    );
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or("-".into(), |time| format!("{:.1}", time.as_secs_f64()))
}

fn warmed<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> Simulation<N> {
    let mut simulation = Simulation::new(Layout { nodes, seed }, build);
    simulation.run(WARM_UP);
    simulation.removed.clear();
    simulation
}

fn steady_cost<N: Node>(simulation: &mut Simulation<N>, before_kb: f64) -> Cost {
    simulation.reset_traffic();
    simulation.run(STEADY);
    let traffic = &simulation.traffic;
    let nodes = simulation.nodes.len() as f64;
    let node_seconds = nodes * STEADY.as_secs_f64();
    let most = traffic.node_bytes.iter().max().copied().unwrap_or(0);
    Cost {
        messages: traffic.messages as f64 / node_seconds,
        bytes: traffic.bytes as f64 / node_seconds,
        most_bytes: most as f64 / STEADY.as_secs_f64(),
        cpu_percent: 100.0 * traffic.busy.as_secs_f64() / node_seconds,
        memory_kb: (resident_kb() - before_kb).max(0.0) / nodes,
    }
}

/// Share of the pairs of nodes in one data centre in which the first knows the
/// second. A node that does not know another cannot notice its crash.
fn known_percent<N: Node>(simulation: &Simulation<N>) -> f64 {
    let layout = &simulation.layout;
    let (mut pairs, mut known) = (0_u32, 0_u32);
    for (index, node) in simulation.nodes.iter().enumerate() {
        let is_peer = |peer: &usize| *peer != index && layout.centre(*peer) == layout.centre(index);
        for peer in (0..layout.nodes).filter(is_peer) {
            pairs += 1;
            known += u32::from(node.as_ref().is_some_and(|node| !node.has_removed(peer)));
        }
    }
    100.0 * f64::from(known) / f64::from(pairs)
}

/// Time until every node of every data centre has a revision that one node received.
fn revision_time<N: Node>(simulation: &mut Simulation<N>) -> Option<Duration> {
    const NEXT: u64 = 2;
    if let Some(node) = &mut simulation.nodes[VICTIM] {
        node.set_revision(NEXT);
    }
    let has_next = |node: &N| node.revision() == NEXT;
    simulation.run_until(LIMIT, |run| run.nodes.iter().flatten().all(has_next))
}

/// Time until every live node of the data centre has removed a crashed one.
fn crash_time<N: Node>(simulation: &mut Simulation<N>) -> Option<Duration> {
    simulation.nodes[VICTIM] = None;
    let centre = simulation.layout.centre(VICTIM);
    simulation.run_until(LIMIT, |run| {
        let nodes = run.nodes.iter().enumerate();
        let mut local = nodes.filter(|(index, _)| run.layout.centre(*index) == centre);
        local.all(|(_, node)| node.as_ref().is_none_or(|node| node.has_removed(VICTIM)))
    })
}

fn loss_removals<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> usize {
    let mut simulation = warmed(nodes, seed, build);
    simulation.loss = LOSS;
    simulation.run(FAULT);
    simulation.removed.len()
}

/// Blocks one direction between a node and one that it watches.
fn one_way_removals<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> usize {
    let mut simulation = warmed(nodes, seed, build);
    let watched = simulation.nodes[VICTIM].as_ref().map(N::watched);
    simulation.blocked.extend(watched.map(|to| (VICTIM, to)));
    simulation.run(FAULT);
    simulation.removed.len()
}

/// Nodes other than the paused one that were removed, and the time after the
/// pause until its data centre has the paused one back.
fn pause_removals<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> (usize, Option<Duration>) {
    let mut simulation = warmed(nodes, seed, build);
    simulation.paused = Some((VICTIM, simulation.now + PAUSE));
    simulation.run(PAUSE);
    let centre = simulation.layout.centre(VICTIM);
    let back = simulation.run_until(FAULT, |run| {
        let nodes = run.nodes.iter().enumerate();
        let local = nodes.filter(|(index, _)| run.layout.centre(*index) == centre);
        let mut peers = local.filter(|(index, _)| *index != VICTIM);
        peers.all(|(_, node)| node.as_ref().is_none_or(|node| !node.has_removed(VICTIM)))
    });
    let healthy = simulation
        .removed
        .iter()
        .filter(|(_, subject)| *subject != VICTIM);
    (healthy.count(), back)
}

fn resident_kb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_KB
}
