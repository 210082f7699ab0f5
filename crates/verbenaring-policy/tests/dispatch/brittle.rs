//! Tests of servers that fail when they have to refuse many calls.

use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::dispatch::brittle::BrittlenessChange;
use verbenaring_policy::dispatch::call::ServiceSettings;
use verbenaring_policy::dispatch::pace::PaceLimits;
use verbenaring_policy::dispatch::place::{PlacementError, PlacementRequest};
use verbenaring_policy::dispatch::prompt::name_hash;
use verbenaring_policy::dispatch::server::{CallOutcome, InFlightCall, ServerEntry, ServerKey};
use verbenaring_policy::dispatch::settings::DispatchSettings;
use verbenaring_policy::dispatch::table::ServerTable;

use super::fixture::*;
use super::test_vm::TestVm;

/// Time from which brittle servers let no call wait, in ms.
const CONTACT_MS: u64 = 5_000;
/// End of a run, in ms.
const END_MS: u64 = 8_000;
/// Time after which a server that has failed is back, in ms.
const DOWN_MS: u64 = 3_000;
/// Other VMs that are asked for a place.
const PLACE_HOLDERS: usize = 5;
/// Refusals a second above which a server fails.
const MAX_REFUSALS: usize = 5;

/// Load of one run.
#[derive(Debug, Clone, Copy)]
struct Load {
    vms: usize,
    servers: usize,
    slots: u32,
    /// Time that a server works on a call, in ms.
    work_ms: u64,
    /// Calls, as a share of what the servers can run.
    share: f64,
    /// Whether calls arrive in bursts of a quarter of a second, with as long a pause.
    bursts: bool,
    /// Interval of reports, in ms.
    report_ms: u64,
    /// Whether the servers state that they are brittle.
    stated: bool,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            vms: 7,
            servers: 6,
            slots: 6,
            work_ms: 40,
            share: 0.5,
            bursts: false,
            report_ms: 100,
            stated: true,
        }
    }
}

/// Server that lets calls wait until it is brittle.
#[derive(Debug, Default)]
struct BrittleServer {
    running: u32,
    refused: Vec<u64>,
    falls: usize,
    down_until: u64,
}

/// Region with a plain service.
struct BrittleRegion {
    load: Load,
    vms: Vec<TestVm>,
    keys: Vec<ServerKey>,
    servers: Vec<BrittleServer>,
    /// Calls that run, by their ends: VM, server and call.
    running: Vec<(u64, usize, usize, InFlightCall)>,
    groups: Vec<usize>,
    asked: usize,
    served: usize,
    rng: ChaCha8Rng,
}

fn plain_table(servers: usize, slots: u32) -> ServerTable {
    let settings = DispatchSettings::default();
    let mut table = ServerTable::new(region("north"), PaceLimits::default(), settings);
    for index in 0..servers {
        let entry = ServerEntry {
            service: service("plain"),
            slots,
            models: Vec::new(),
            ..entry(&format!("s{index}"), index as u64 + 1)
        };
        table.apply(entry, ms(0), at(0));
    }
    table
}

/// Call of the plain service.
fn plain_call() -> TestCall {
    TestCall {
        service: service("plain"),
        settings: ServiceSettings {
            cold_rate: 0.0,
            cache_tokens: None,
            ..engine_settings()
        },
        prompt: Vec::new(),
        answer_tokens: 0,
        remaining: ms(2_000),
    }
}

impl BrittleRegion {
    fn new(load: Load, seed: u64) -> Self {
        let table = || plain_table(load.servers, load.slots);
        let vms = (0..load.vms).map(|vm| TestVm::new(&format!("vm-{vm}"), table()));
        let mut region = Self {
            load,
            vms: vms.collect(),
            keys: Vec::new(),
            servers: (0..load.servers)
                .map(|_| BrittleServer::default())
                .collect(),
            running: Vec::new(),
            groups: vec![0; load.vms],
            asked: 0,
            served: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        // All tables hold the same servers under the same keys.
        let mut seen: Vec<ServerKey> = Vec::new();
        let call = plain_call();
        let mut table = table();
        while seen.len() < load.servers {
            let request = PlacementRequest {
                excluded: &seen,
                ..call.request()
            };
            let placement = table.place(&request, &single_vm(), at(0)).expect("placed");
            seen.push(placement.key);
        }
        seen.sort_by_key(|key| table.entry(*key).expect("server").revision);
        region.keys = seen;
        region.report(0);
        region
    }

    /// Every VM tells those of its group that it runs and which calls it has.
    fn report(&mut self, now: u64) {
        for sender in 0..self.vms.len() {
            let name = self.vms[sender].name.clone();
            let loads = self.vms[sender].servers.own_loads(at(now));
            for receiver in 0..self.vms.len() {
                if receiver != sender && self.groups[receiver] == self.groups[sender] {
                    let vm = &mut self.vms[receiver];
                    vm.hear(&name, self.load.report_ms, now);
                    vm.servers
                        .record_peer_loads(name_hash(&name), &loads, at(now));
                }
            }
        }
    }

    /// Sends a call through a VM; returns whether a server runs it, or why none was asked.
    fn send(&mut self, vm: usize, now: u64) -> Result<bool, PlacementError> {
        let call = plain_call();
        let view = self.vms[vm].view(now);
        let table = &mut self.vms[vm].servers;
        let placement = table.place(&call.request(), &view, at(now))?;
        let sent = table.record_sent(&placement, &call.request(), at(now));
        let server = self.keys.iter().position(|key| *key == sent.key).unwrap();
        let state = &mut self.servers[server];
        if now < state.down_until {
            table.record_end(&sent, false, CallOutcome::Refused, at(now));
            return Ok(false);
        }
        let brittle = now >= CONTACT_MS;
        let waiting = if brittle { 0 } else { 4 * self.load.slots };
        if self.load.stated {
            table.record_brittleness(&call.service, true, at(now));
        }
        if state.running < self.load.slots + waiting {
            state.running += 1;
            let jitter = self.rng.random_range(0.5..1.5);
            let end = now + (self.load.work_ms as f64 * jitter) as u64;
            self.running.push((end, vm, server, sent));
            return Ok(true);
        }
        table.record_end(&sent, false, CallOutcome::Failed, at(now));
        table.record_call_refused(sent.key, at(now));
        state.refused.push(now);
        state.refused.retain(|at| at + 1_000 > now);
        if brittle && state.refused.len() > MAX_REFUSALS {
            state.falls += 1;
            state.refused.clear();
            state.down_until = now + DOWN_MS;
            state.running = 0;
            self.running.retain(|(_, _, running, _)| *running != server);
        }
        Ok(false)
    }

    /// A call of a caller at one VM, which other VMs send on if it has no place.
    fn call(&mut self, vm: usize, now: u64) {
        self.asked += usize::from(now >= CONTACT_MS);
        let mut outcome = self.send(vm, now);
        let mut tried = vec![vm];
        while outcome == Err(PlacementError::Brittle) && tried.len() <= PLACE_HOLDERS {
            let view = self.vms[vm].view(now);
            let has_place = |other: &usize| {
                let hash = name_hash(&self.vms[*other].name);
                let table = &self.vms[vm].servers;
                let near = self.groups[*other] == self.groups[vm];
                near && table.has_place(&service("plain"), hash, &view, at(now))
            };
            let others = (0..self.vms.len()).filter(|other| !tried.contains(other));
            let other = others.filter(has_place).choose(&mut self.rng);
            let Some(other) = other else { break };
            tried.push(other);
            outcome = self.send(other, now);
        }
        self.served += usize::from(now >= CONTACT_MS && outcome == Ok(true));
    }

    fn run(&mut self) {
        let capacity_per_ms =
            f64::from(self.load.slots) * self.load.servers as f64 / self.load.work_ms as f64;
        for now in 0..END_MS {
            if now % self.load.report_ms == 0 {
                self.report(now);
            }
            let ended = self.running.extract_if(.., |(end, ..)| *end <= now);
            for (_, vm, server, sent) in ended.collect::<Vec<_>>() {
                self.servers[server].running = self.servers[server].running.saturating_sub(1);
                complete(&mut self.vms[vm].servers, &sent, at(now));
            }
            let busy = !self.load.bursts || (now / 250) % 2 == 0;
            let factor = if self.load.bursts { 2.0 } else { 1.0 };
            let mut calls = match busy {
                true => capacity_per_ms * self.load.share * factor,
                false => 0.0,
            };
            while self.rng.random_bool(calls.clamp(0.0, 1.0)) {
                calls -= 1.0;
                let vm = self.rng.random_range(0..self.vms.len());
                self.call(vm, now);
            }
        }
    }

    fn falls(&self) -> usize {
        self.servers.iter().map(|server| server.falls).sum()
    }

    fn allowed_falls(&self) -> f64 {
        2.0 + self.load.servers as f64 / 10.0
    }

    fn served_share(&self) -> f64 {
        self.served as f64 / self.asked as f64
    }
}

/// Runs a load under which no server may fail; returns the share of the calls served.
fn assert_kept(load: Load, seed: u64) -> f64 {
    let mut region = BrittleRegion::new(load, seed);
    region.run();
    assert_eq!(region.falls(), 0, "{load:?}");
    region.served_share()
}

/// Guards against brittle servers that fail again and again because of what they refuse.
#[test]
fn brittle_servers_do_not_fail_under_pressure() {
    for vms in [1, 3, 7, 30] {
        for (servers, slots, work_ms) in [(2, 6, 15), (6, 6, 60), (4, 24, 400), (1, 1, 40)] {
            for bursts in [false, true] {
                let load = Load {
                    vms,
                    servers,
                    slots,
                    work_ms,
                    share: 2.5,
                    bursts,
                    ..Load::default()
                };
                let served = assert_kept(load, 1);
                // Of what the servers can run while callers press; no call waits for a
                // pause between bursts.
                let pressed = if bursts { 0.5 } else { 1.0 };
                let used = served * 2.5 / pressed;
                assert!(used >= 0.6, "{used} used: {load:?}");
            }
        }
    }
}

/// The other side: callers are served where there is room.
#[test]
fn brittle_servers_are_used_by_few_and_by_many_vms() {
    let services = [(2, 6, 15), (6, 6, 60), (4, 24, 400)];
    for (vms, services) in [
        (1, &services[..]),
        (7, &services),
        (30, &services),
        (65, &services[..1]),
    ] {
        for &(servers, slots, work_ms) in services {
            let load = Load {
                vms,
                servers,
                slots,
                work_ms,
                share: 0.4,
                ..Load::default()
            };
            let served = assert_kept(load, 1);
            assert!(served >= 0.95, "{served} served: {load:?}");
        }
    }
}

/// Guards against room at brittle servers that is left unused while callers are refused.
#[test]
fn brittle_servers_serve_most_of_what_has_room() {
    /// Least share of what has room that callers may expect.
    const SERVED_SHARE: f64 = 0.8;
    let mut too_few = Vec::new();
    for vms in [2, 7, 30, 90] {
        for (servers, slots, work_ms) in [(2, 6, 15), (6, 6, 60), (4, 24, 400)] {
            for share in [0.7, 1.1, 1.3] {
                let load = Load {
                    vms,
                    servers,
                    slots,
                    work_ms,
                    share,
                    ..Load::default()
                };
                let served = assert_kept(load, 1) * share.max(1.0);
                if served < SERVED_SHARE {
                    too_few.push((vms, servers, slots, share, served));
                }
            }
        }
    }
    assert!(too_few.is_empty(), "{too_few:?}");
}

/// The load is one under which servers that say nothing fail.
#[test]
fn servers_that_do_not_state_that_they_are_brittle_fail_under_this_load() {
    let load = Load {
        vms: 30,
        share: 2.5,
        stated: false,
        ..Load::default()
    };
    let mut region = BrittleRegion::new(load, 1);
    region.run();
    assert!(region.falls() as f64 > region.allowed_falls());
}

/// Guards against places that add up to more than there are while VMs do not hear each
/// other, or hear each other late.
#[test]
fn brittle_servers_do_not_fail_while_reports_are_late_or_lost() {
    for seed in 0..10 {
        let load = Load {
            vms: 27,
            share: 1.5,
            report_ms: 2_000,
            ..Load::default()
        };
        assert_kept(load, seed);
        let load = Load {
            report_ms: 100,
            ..load
        };
        let mut region = BrittleRegion::new(load, seed);
        for group in &mut region.groups {
            *group = region.rng.random_range(0..3);
        }
        region.run();
        assert!(region.falls() as f64 <= region.allowed_falls(), "{seed}");
    }
}

/// Guards against a state that ends with one answer, and one that never ends.
#[test]
fn brittleness_ends_when_answers_lack_it_for_a_second() {
    let mut table = plain_table(1, 6);
    let name = service("plain");
    let mut answer = |stated, now| table.record_brittleness(&name, stated, at(now));
    assert_eq!(answer(false, 0), None);
    assert_eq!(answer(true, 10), Some(BrittlenessChange::Began));
    assert_eq!(answer(false, 500), None);
    assert_eq!(answer(true, 900), None);
    assert_eq!(answer(false, 1_600), None, "counted anew");
    assert_eq!(answer(false, 2_600), Some(BrittlenessChange::Ended));
    assert_eq!(answer(true, 3_000), Some(BrittlenessChange::Began));
    assert!(table.is_brittle(&name, at(32_999)));
    assert!(!table.is_brittle(&name, at(33_000)), "no answers at all");
}
