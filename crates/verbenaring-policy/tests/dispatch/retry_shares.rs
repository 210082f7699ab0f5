//! Tests of retry budgets that several VMs share while their processes end and start.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::dispatch::retry_share::{
    HeldStatements, OtherShares, RetryShares, RetryStatement,
};
use verbenaring_policy::id::ServiceName;
use verbenaring_policy::retry::{BudgetTerms, RETRY_WINDOW};
use verbenaring_policy::time::Moment;

use super::fixture::*;

const TERMS: BudgetTerms = BudgetTerms {
    retries_per_success: 0.2,
    extra_retries: 54.0,
    min_retries: 0,
};
/// Interval at which VMs state what they have spent, in ms.
const STATEMENT_MS: u64 = 100;

/// How processes end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ends {
    None,
    /// One VM after the other, this far apart in ms.
    InTurn(u64),
    /// Two VMs at a time, this far apart in ms.
    InPairs(u64),
    /// All at once, this often, 2,500 ms apart.
    All(u64),
    /// One VM leaves and another one joins, this far apart in ms.
    Exchanged(u64),
}

/// Where and when calls come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    /// At all VMs alike.
    Even,
    /// At one VM, another one after each 7 s.
    Gathered,
    /// At all VMs, for 1 s of each 9.
    Bursts,
}

impl Load {
    /// Factor on the mean rate of a VM.
    fn factor(self, vm: usize, vms: usize, now: u64) -> f64 {
        let comes = match self {
            Load::Even => return 1.0,
            Load::Gathered => (now / 7_000) as usize % vms == vm,
            Load::Bursts => now % 9_000 < 1_000,
        };
        match (comes, self) {
            (false, _) => 0.0,
            (true, Load::Bursts) => 9.0,
            (true, _) => vms as f64,
        }
    }
}

struct TestVm {
    shares: RetryShares,
    held: HeldStatements,
    /// Hash of its name.
    name: u32,
    boot: u64,
    /// VMs that it knows, those that have left included.
    known_vms: usize,
    started_ms: u64,
    /// When the process runs again, if it does not.
    down_until: Option<u64>,
}

impl TestVm {
    fn start(name: u32, boot: u64, known_vms: usize, now_ms: u64) -> Self {
        Self {
            name,
            known_vms,
            shares: RetryShares::new(TERMS, at(0)),
            held: HeldStatements::default(),
            boot,
            started_ms: now_ms,
            down_until: None,
        }
    }

    /// Time of the clock of the process, which begins at its start.
    fn clock(&self, now_ms: u64) -> Moment {
        at(now_ms - self.started_ms)
    }
}

struct Play {
    vms: usize,
    /// Calls a second at each VM.
    rate: f64,
    load: Load,
    ends: Ends,
    /// Statements that are lost.
    loss: f64,
    seed: u64,
}

#[derive(Debug, Default)]
struct Outcome {
    calls: Vec<u64>,
    retries: Vec<u64>,
    refused: usize,
}

impl Outcome {
    /// Largest excess of retries over what is allowed in any window.
    fn worst_excess(&self) -> f64 {
        let window = RETRY_WINDOW.as_millis() as u64;
        let count = |moments: &[u64], from: u64, to: u64| {
            let first = moments.partition_point(|at| *at < from);
            moments.partition_point(|at| *at < to).saturating_sub(first) as f64
        };
        let windows = self.retries.iter().map(|last| {
            let end = last + 1;
            let calls = [0, window / 2, window].map(|shift: u64| {
                let end = end.saturating_sub(shift);
                count(&self.calls, end.saturating_sub(window), end)
            });
            let calls = calls.into_iter().fold(0.0, f64::max);
            let retries = count(&self.retries, end.saturating_sub(window), end);
            retries - (calls * TERMS.retries_per_success + TERMS.extra_retries)
        });
        windows.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Plays a region in which every call could be retried twice, for 50 s; the processes end
/// from 20 s on.
fn play(scenario: &Play) -> Outcome {
    let service = ServiceName::new("plain").unwrap();
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    let mut vms: Vec<TestVm> = (0..scenario.vms)
        .map(|index| TestVm::start(index as u32, random.random(), scenario.vms, 0))
        .collect();
    let mut outcome = Outcome::default();
    for now in 0..50_000_u64 {
        end_processes(&mut vms, scenario.ends, now, &mut random);
        let running = vms.iter().filter(|vm| vm.down_until.is_none()).count();
        let share = scenario.vms as f64 / running.max(1) as f64;
        for (index, vm) in vms.iter_mut().enumerate() {
            let factor = scenario.load.factor(index, scenario.vms, now);
            let chance = scenario.rate * share * factor / 1_000.0;
            if vm.down_until.is_some() || !random.random_bool(chance.min(1.0)) {
                continue;
            }
            let clock = vm.clock(now);
            vm.shares.record_call(&service, clock);
            outcome.calls.push(now);
            for _ in 0..2 {
                let others = OtherShares {
                    known_vms: vm.known_vms,
                    statements: &vm.held,
                };
                match vm.shares.try_take(&service, others, clock) {
                    Ok(()) => outcome.retries.push(now),
                    Err(_) => outcome.refused += 1,
                }
            }
        }
        if now % STATEMENT_MS == 0 {
            exchange_statements(&mut vms, scenario.loss, now, &mut random);
        }
    }
    outcome
}

fn end_processes(vms: &mut [TestVm], ends: Ends, now: u64, random: &mut ChaCha8Rng) {
    for vm in vms.iter_mut() {
        if vm.down_until.is_some_and(|until| until <= now) {
            *vm = TestVm::start(vm.name, random.random(), vm.known_vms, now);
        }
    }
    let Some(since) = now.checked_sub(20_000) else {
        return;
    };
    let count = vms.len() as u64;
    let due = |spacing: u64| (since % spacing == 0).then_some((since / spacing) % count);
    let ended: Vec<u64> = match ends {
        Ends::None => Vec::new(),
        Ends::InTurn(spacing) => due(spacing).into_iter().collect(),
        Ends::InPairs(spacing) => {
            due(spacing).map_or(Vec::new(), |first| vec![first, (first + 1) % count])
        }
        Ends::Exchanged(spacing) => {
            if let Some(left) = due(spacing) {
                for vm in vms.iter_mut() {
                    vm.known_vms += 1;
                }
                let name = vms.iter().map(|vm| vm.name).max().unwrap_or_default() + 1;
                vms[left as usize] = TestVm::start(name, random.random(), vms.len(), now);
            }
            Vec::new()
        }
        Ends::All(times) => match since % 2_500 == 0 && since / 2_500 < times {
            true => (0..count).collect(),
            false => Vec::new(),
        },
    };
    for index in ended {
        vms[index as usize].down_until = Some(now + random.random_range(200..800));
    }
}

fn exchange_statements(vms: &mut [TestVm], loss: f64, now: u64, random: &mut ChaCha8Rng) {
    for sender in 0..vms.len() {
        if vms[sender].down_until.is_some() {
            continue;
        }
        let vm = &mut vms[sender];
        let clock = vm.clock(now);
        let statement = vm.shares.statement(vm.name, vm.boot, vm.known_vms, clock);
        let mut recalled = Vec::new();
        for (receiver, vm) in vms.iter_mut().enumerate() {
            if receiver != sender && vm.down_until.is_none() && !random.random_bool(loss) {
                let clock = vm.clock(now);
                recalled.extend(vm.held.record(statement.clone(), clock));
                vm.held.expire(clock);
            }
        }
        for statement in recalled {
            if !random.random_bool(loss) {
                vms[sender].shares.inherit(&statement, clock);
            }
        }
    }
}

/// Load: all VMs use up their shares while processes end and start again, at high and low
/// rates. Guards against shares that are spent once more by each process.
#[test]
fn processes_that_follow_others_keep_the_budget() {
    for seed in 0..50 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let ends = [
            Ends::InTurn(400),
            Ends::InTurn(1_000),
            Ends::InPairs(1_000),
            Ends::All(1),
            Ends::All(4),
            Ends::Exchanged(700),
            Ends::None,
        ];
        let scenario = Play {
            vms: [1, 2, 7, 30][random.random_range(0..4)],
            rate: [0.3, 2.0, 5.0, 20.0][random.random_range(0..4)],
            load: [Load::Even, Load::Gathered, Load::Bursts][random.random_range(0..3)],
            ends: ends[seed as usize % ends.len()],
            loss: [0.0, 0.02, 0.1][random.random_range(0..3)],
            seed,
        };
        let excess = play(&scenario).worst_excess();
        assert!(
            excess <= 0.0,
            "seed {seed}, {:?}, {:?}, {} VMs, {} calls/s: {excess:.1} over",
            scenario.load,
            scenario.ends,
            scenario.vms,
            scenario.rate
        );
    }
}

/// Guards against a budget that is kept by refusing: while processes end in turn, nearly
/// as many retries are made as without.
#[test]
fn processes_that_follow_others_retry() {
    for (vms, rate) in [(2, 2.0), (7, 3.6), (30, 2.0)] {
        let retries = |ends| {
            let scenario = Play {
                vms,
                rate,
                load: Load::Even,
                ends,
                loss: 0.02,
                seed: 1,
            };
            play(&scenario).retries.len() as f64
        };
        let share = retries(Ends::InTurn(1_000)) / retries(Ends::None);
        assert!(share > 0.8, "{vms} VMs: {share:.2}");
    }
}

/// Guards against retries that are refused at the VM to which all callers came, while the
/// budget allows them.
#[test]
fn what_no_share_covers_is_lent() {
    let retries = |load| {
        let scenario = Play {
            vms: 7,
            rate: 3.6,
            load,
            ends: Ends::None,
            loss: 0.02,
            seed: 1,
        };
        play(&scenario).retries.len() as f64
    };
    // The shares of the other six VMs stay reserved.
    let share = retries(Load::Gathered) / retries(Load::Even);
    assert!(share > 0.5, "{share:.2}");
}

/// Guards against a VM that has just started and refuses retries although its predecessor
/// has spent little.
#[test]
fn what_is_left_of_a_share_is_available_at_once() {
    let service = ServiceName::new("plain").unwrap();
    let mut before = RetryShares::new(TERMS, at(0));
    let statements = HeldStatements::default();
    let others = OtherShares {
        known_vms: 7,
        statements: &statements,
    };
    for _ in 0..2 {
        assert!(before.try_take(&service, others, at(11_000)).is_ok());
    }
    let whole = before.usage(&service, 7, at(11_000)).allowed;
    let mut holder = HeldStatements::default();
    assert_eq!(
        holder.record(before.statement(1, 1, 7, at(11_100)), at(50)),
        None
    );
    let mut after = RetryShares::new(TERMS, at(0));
    assert_eq!(after.usage(&service, 1, at(100)).allowed, 0);
    let asking = after.statement(1, 2, 1, at(100));
    let recalled = holder.record(asking, at(1_000)).expect("held");
    assert!(after.inherit(&recalled, at(200)));
    let usage = after.usage(&service, 1, at(200));
    assert_eq!((usage.spent, usage.allowed), (2, whole));
    // Without an answer, the share is available once the window has passed.
    let mut alone = RetryShares::new(TERMS, at(0));
    assert!(!alone.usage(&service, 7, at(9_999)).has_room());
    assert_eq!(alone.usage(&service, 7, at(10_000)).allowed, whole);
}

/// Guards against a statement of a VM that was cut off: it may have spent more since.
#[test]
fn old_statements_are_not_told() {
    let service = ServiceName::new("plain").unwrap();
    let mut before = RetryShares::new(TERMS, at(0));
    before.record_call(&service, at(11_000));
    let mut holder = HeldStatements::default();
    holder.record(before.statement(1, 1, 7, at(11_000)), at(0));
    let mut after = RetryShares::new(TERMS, at(0));
    let asking = after.statement(1, 2, 7, at(100));
    assert_eq!(holder.record(asking.clone(), at(5_100)), None);
    let recalled = holder.record(asking, at(5_000)).expect("held");
    let older = RetryStatement {
        age_ms: recalled.age_ms + 1,
        ..recalled
    };
    assert!(!after.inherit(&older, at(1_000)));
}

/// Guards against a process that is told of the one before its predecessor only, because
/// that statement arrives first.
#[test]
fn the_statement_that_shows_more_counts() {
    let service = ServiceName::new("plain").unwrap();
    let statement = |boot, retries: usize| {
        let mut shares = RetryShares::new(TERMS, at(0));
        let statements = HeldStatements::default();
        let others = OtherShares {
            known_vms: 7,
            statements: &statements,
        };
        for _ in 0..retries {
            assert!(shares.try_take(&service, others, at(11_000)).is_ok());
        }
        shares.statement(1, boot, 7, at(11_000))
    };
    let mut after = RetryShares::new(TERMS, at(0));
    assert!(after.inherit(&statement(1, 2), at(100)));
    assert!(!after.inherit(&statement(2, 5), at(200)));
    assert!(!after.inherit(&statement(1, 2), at(300)));
    assert_eq!(after.usage(&service, 7, at(300)).spent, 5);
}

/// Guards against retries of an earlier process that count from the start of the one
/// after it, whose clock begins there.
#[test]
fn retries_before_a_start_leave_the_window_in_time() {
    let service = ServiceName::new("plain").unwrap();
    let statements = HeldStatements::default();
    let others = OtherShares {
        known_vms: 7,
        statements: &statements,
    };
    let mut before = RetryShares::new(TERMS, at(0));
    before.record_first_start();
    while before.try_take(&service, others, at(1_000)).is_ok() {}
    let statement = before.statement(1, 1, 7, at(10_000));
    let mut after = RetryShares::new(TERMS, at(0));
    assert!(after.inherit(&statement, at(200)));
    assert!(!after.usage(&service, 7, at(1_199)).has_room());
    assert_eq!(after.usage(&service, 7, at(1_200)).spent, 0);
}
