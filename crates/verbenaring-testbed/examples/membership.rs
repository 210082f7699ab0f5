//! Compares the cost of four protocols by which nodes learn which other nodes are
//! live and which configuration revision these have, in virtual time over in-memory
//! links.
//!
//! Run with `cargo run --release -p verbenaring-testbed --example membership`.
//! Figures of the protocols depend only on the seed; CPU time and memory are measured
//! and vary.

#[path = "membership/baseline.rs"]
mod baseline;
#[path = "membership/product.rs"]
mod product;
#[path = "membership/simulation.rs"]
mod simulation;

use std::time::Duration;

use baseline::{MeshNode, RingNode};
use product::ProductNode;
use simulation::{Layout, Node, Simulation};
use verbenaring_policy::time::Moment;

/// Period at which a node updates its load figures.
const REFRESH_PERIOD: Duration = Duration::from_secs(1);
/// Size of the load figures of a node: 6 servers of 12 bytes each, which is about
/// 2,000 servers over 360 nodes.
const LOAD_BYTES: usize = 72;

const NODE_COUNTS: [usize; 5] = [14, 60, 120, 240, 360];
const WARM_UP_DURATION: Duration = Duration::from_secs(30);
const STEADY_DURATION: Duration = Duration::from_secs(30);
const FAULT_DURATION: Duration = Duration::from_secs(60);
const PAUSE_DURATION: Duration = Duration::from_secs(10);
/// Longest wait for all nodes to learn of a revision or a crash.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(120);
const LOSS_PROBABILITY: f64 = 0.05;
/// Node that receives the new revision first and that the faults apply to. It is not one
/// of the initial peers.
const FAULTY_NODE: usize = 7;

// Targets per node, printed as met or missed.
const BUDGET_BYTES_PER_S: f64 = 5_000.0;
const BUDGET_CPU_PERCENT: f64 = 4.4;
const BUDGET_MEMORY_KB: f64 = 128.0 * 1_024.0;
const PAGE_KB: f64 = 4.0;

type Build<N> = fn(usize, &Layout, u64, Moment) -> N;

struct Cost {
    messages: f64,
    bytes: f64,
    max_node_bytes: f64,
    cpu_percent: f64,
    memory_kb: f64,
}

fn main() {
    let seed = parse_seed();
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
    for nodes in NODE_COUNTS {
        measure_cost::<MeshNode>("mesh", nodes, seed, MeshNode::new);
        measure_cost::<ProductNode>("gossip", nodes, seed, ProductNode::flat);
        measure_cost::<ProductNode>("delegates", nodes, seed, ProductNode::delegated);
        measure_cost::<RingNode>("ring", nodes, seed, RingNode::new);
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
    for nodes in NODE_COUNTS {
        measure_faults::<MeshNode>("mesh", nodes, seed, MeshNode::new);
        measure_faults::<ProductNode>("gossip", nodes, seed, ProductNode::flat);
        measure_faults::<ProductNode>("delegates", nodes, seed, ProductNode::delegated);
        measure_faults::<RingNode>("ring", nodes, seed, RingNode::new);
    }
}

fn parse_seed() -> u64 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => 1,
        [name, seed] if name == "--seed" => seed.parse().expect("--seed takes a number"),
        _ => panic!("usage: membership [--seed N]"),
    }
}

fn measure_cost<N: Node>(protocol: &str, nodes: usize, seed: u64, build: Build<N>) {
    let resident_before_kb = resident_kb();
    let mut simulation = warmed_up_simulation(nodes, seed, build);
    let cost = steady_cost(&mut simulation, resident_before_kb);
    let known = known_percent(&simulation);
    let revision = revision_time(&mut simulation);
    let crash = crash_time(&mut simulation);
    // Not freed, because a later run would reuse the pages and seem to need no memory.
    std::mem::forget(simulation);
    println!(
        "{protocol:<10}{nodes:>6}{:>10.1}{:>10.0}{:>10.0}{:>9.3}{:>9.0}{:>9.1}{:>10}{:>8}",
        cost.messages,
        cost.bytes,
        cost.max_node_bytes,
        cost.cpu_percent,
        cost.memory_kb,
        known,
        format_seconds(revision),
        format_seconds(crash),
    );
    if nodes == NODE_COUNTS[NODE_COUNTS.len() - 1] {
        print_budget(protocol, &cost);
    }
}

fn measure_faults<N: Node>(protocol: &str, nodes: usize, seed: u64, build: Build<N>) {
    let loss = loss_removals(nodes, seed, build);
    let one_way = one_way_removals(nodes, seed, build);
    let (pause, return_time) = pause_removals(nodes, seed, build);
    let return_time = format_seconds(return_time);
    println!("{protocol:<10}{nodes:>6}{loss:>10}{one_way:>10}{pause:>10}{return_time:>10}");
}

fn print_budget(protocol: &str, cost: &Cost) {
    let verdict = |measured: f64, budget: f64| if measured <= budget { "met" } else { "missed" };
    println!(
        "  budget of {protocol}: bytes {} (busiest node {}), cpu {}, memory {}",
        verdict(cost.bytes, BUDGET_BYTES_PER_S),
        verdict(cost.max_node_bytes, BUDGET_BYTES_PER_S),
        verdict(cost.cpu_percent, BUDGET_CPU_PERCENT),
        verdict(cost.memory_kb, BUDGET_MEMORY_KB),
    );
}

fn format_seconds(time: Option<Duration>) -> String {
    time.map_or("-".into(), |time| format!("{:.1}", time.as_secs_f64()))
}

fn warmed_up_simulation<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> Simulation<N> {
    let mut simulation = Simulation::new(Layout { nodes, seed }, build);
    simulation.run(WARM_UP_DURATION);
    simulation.removals.clear();
    simulation
}

fn steady_cost<N: Node>(simulation: &mut Simulation<N>, resident_before_kb: f64) -> Cost {
    simulation.reset_traffic();
    simulation.run(STEADY_DURATION);
    let traffic = &simulation.traffic;
    let nodes = simulation.nodes.len() as f64;
    let node_seconds = nodes * STEADY_DURATION.as_secs_f64();
    let max_bytes = traffic.node_bytes.iter().max().copied().unwrap_or(0);
    Cost {
        messages: traffic.messages as f64 / node_seconds,
        bytes: traffic.bytes as f64 / node_seconds,
        max_node_bytes: max_bytes as f64 / STEADY_DURATION.as_secs_f64(),
        cpu_percent: 100.0 * traffic.processing_time.as_secs_f64() / node_seconds,
        memory_kb: (resident_kb() - resident_before_kb).max(0.0) / nodes,
    }
}

/// Percentage of the pairs of nodes in one data centre in which the first knows the
/// second. A node that does not know another one cannot detect its crash.
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

/// Time until all nodes of all data centres have a revision that one node received.
fn revision_time<N: Node>(simulation: &mut Simulation<N>) -> Option<Duration> {
    const NEXT: u64 = 2;
    if let Some(node) = &mut simulation.nodes[FAULTY_NODE] {
        node.set_revision(NEXT);
    }
    let has_next = |node: &N| node.revision() == NEXT;
    simulation.run_until(CONVERGENCE_LIMIT, |run| {
        run.nodes.iter().flatten().all(has_next)
    })
}

/// Time until all live nodes of a data centre have removed a crashed one.
fn crash_time<N: Node>(simulation: &mut Simulation<N>) -> Option<Duration> {
    simulation.nodes[FAULTY_NODE] = None;
    let centre = simulation.layout.centre(FAULTY_NODE);
    simulation.run_until(CONVERGENCE_LIMIT, |run| {
        let nodes = run.nodes.iter().enumerate();
        let mut local = nodes.filter(|(index, _)| run.layout.centre(*index) == centre);
        local.all(|(_, node)| {
            node.as_ref()
                .is_none_or(|node| node.has_removed(FAULTY_NODE))
        })
    })
}

/// Number of removals while messages are lost at random.
fn loss_removals<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> usize {
    let mut simulation = warmed_up_simulation(nodes, seed, build);
    simulation.loss_probability = LOSS_PROBABILITY;
    simulation.run(FAULT_DURATION);
    simulation.removals.len()
}

/// Number of removals while messages from a node to the one that it monitors are lost.
fn one_way_removals<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> usize {
    let mut simulation = warmed_up_simulation(nodes, seed, build);
    let monitored_node = simulation.nodes[FAULTY_NODE]
        .as_ref()
        .map(N::monitored_node);
    simulation
        .blocked_links
        .extend(monitored_node.map(|to| (FAULTY_NODE, to)));
    simulation.run(FAULT_DURATION);
    simulation.removals.len()
}

/// Number of removals of nodes other than the paused one, and the time after the pause
/// until no other node of its data centre regards it as removed.
fn pause_removals<N: Node>(nodes: usize, seed: u64, build: Build<N>) -> (usize, Option<Duration>) {
    let mut simulation = warmed_up_simulation(nodes, seed, build);
    simulation.paused = Some((FAULTY_NODE, simulation.now + PAUSE_DURATION));
    simulation.run(PAUSE_DURATION);
    let centre = simulation.layout.centre(FAULTY_NODE);
    let return_time = simulation.run_until(FAULT_DURATION, |run| {
        let nodes = run.nodes.iter().enumerate();
        let local = nodes.filter(|(index, _)| run.layout.centre(*index) == centre);
        let mut peers = local.filter(|(index, _)| *index != FAULTY_NODE);
        peers.all(|(_, node)| {
            node.as_ref()
                .is_none_or(|node| !node.has_removed(FAULTY_NODE))
        })
    });
    let healthy_removals = simulation
        .removals
        .iter()
        .filter(|(_, subject)| *subject != FAULTY_NODE);
    (healthy_removals.count(), return_time)
}

/// Resident memory of this process in KiB.
fn resident_kb() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<f64>().ok())
        .unwrap_or(0.0)
        * PAGE_KB
}
