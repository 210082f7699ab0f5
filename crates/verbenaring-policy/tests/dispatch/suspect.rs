//! Tests of the quarantine of prompt parts that crash servers.

use std::collections::HashMap;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::dispatch::evidence::{CallParts, SuspectNews};
use verbenaring_policy::dispatch::suspect::{
    MAX_CRASHES, MAX_CRASHES_OF_SOUND, PartVerdict, SuspectTable,
};
use verbenaring_policy::time::Moment;

use super::fixture::*;

/// First part, shared by many sound requests.
pub(super) const FIRST: u32 = 1;
/// Part that crashes servers.
pub(super) const BAD: u32 = 666;
/// Bound of the rules on the time within which all VMs know of an end.
const CONTACT_MS: u64 = 5_000;

/// Call whose request as a whole has the ID `request`.
pub(super) fn call(request: u32, shared: &[u32]) -> CallParts {
    CallParts {
        request,
        shared: shared.to_vec(),
    }
}

/// Call that is like no other; its ID follows from `number`.
pub(super) fn unique(number: u32, shared: &[u32]) -> CallParts {
    call(1_000_000 + number, shared)
}

pub(super) fn is_refused(table: &SuspectTable, parts: &[u32], now: Moment) -> bool {
    let verdict = table.judge(&call(0, parts), |_| false, now);
    matches!(verdict, PartVerdict::Refused { .. })
}

/// Ends of `count` servers under the first and the bad part, 400 ms apart.
pub(super) fn crash(table: &mut SuspectTable, count: usize) {
    for index in 0..count as u32 {
        let calls = [
            unique(2 * index, &[FIRST, BAD]),
            unique(2 * index + 1, &[FIRST, 100 + index]),
        ];
        table.record_crash(index, &calls, at(1_000 + 400 * u64::from(index)));
    }
}

/// Load: requests that share only the bad part behind a common first part. Guards
/// against more ends than needed to know it, and against a quarantine of the first part.
#[test]
fn the_part_that_crashes_servers_is_quarantined() {
    let mut table = SuspectTable::default();
    table.record_complete(&unique(900, &[FIRST, 7]), at(500));
    crash(&mut table, MAX_CRASHES - 1);
    assert!(!is_refused(&table, &[FIRST, BAD], at(5_000)));
    crash(&mut table, MAX_CRASHES_OF_SOUND + 2);
    assert!(is_refused(&table, &[FIRST, BAD], at(5_000)));
    assert!(!is_refused(&table, &[FIRST, 7], at(5_000)));
}

/// Load: calls with more parts than depths can tell apart. Guards against a panic, and
/// against a part that is taken for a whole request.
#[test]
fn prompts_of_very_many_parts_are_judged() {
    const FIRST_PART: u32 = 1_000;
    let parts: Vec<u32> = (FIRST_PART..).take(600).collect();
    let mut table = SuspectTable::default();
    for index in 0..MAX_CRASHES as u32 {
        let now = at(1_000 + 400 * u64::from(index));
        table.record_crash(index, &[unique(index, &parts)], now);
    }
    assert!(is_refused(&table, &parts, at(5_000)));
    let news = table.news(true, at(2_000));
    let mut shared = news.iter().filter(|news| parts.contains(&news.part));
    assert!(shared.all(|news| news.depth > 0));
    table.record_complete(&unique(900, &parts), at(6_000));
    assert!(!is_refused(&table, &parts, at(6_000)));
}

/// Load: the same request comes again and again beside different ones of its prompt.
#[test]
fn a_request_that_crashes_servers_is_quarantined() {
    let mut table = SuspectTable::default();
    table.record_complete(&unique(900, &[FIRST, 7]), at(500));
    for index in 0..MAX_CRASHES as u32 {
        let calls = [call(BAD, &[FIRST, 7]), unique(index, &[FIRST, 100 + index])];
        table.record_crash(index, &calls, at(1_000 + 400 * u64::from(index)));
    }
    let verdict = table.judge(&call(BAD, &[FIRST, 7]), |_| false, at(3_000));
    assert!(matches!(verdict, PartVerdict::Refused { .. }));
    assert!(!is_refused(&table, &[FIRST, 7], at(3_000)));
}

/// Load: callers repeat requests with the bad part, each as often as it takes to know
/// the request. Guards against ends that are blamed on one request after the other.
#[test]
fn repeated_requests_do_not_hide_their_part() {
    for answered_before in [false, true] {
        let mut table = SuspectTable::default();
        if answered_before {
            table.record_complete(&unique(900, &[FIRST, BAD]), at(100));
        }
        table.record_complete(&unique(901, &[FIRST, 7]), at(500));
        let mut ends = 0;
        for index in 0..8 {
            for _ in 0..4 {
                let now = at(1_000 + 400 * u64::from(ends));
                let call = call(2_000 + index, &[FIRST, BAD]);
                if table.judge(&call, |_| false, now) == PartVerdict::Free {
                    table.record_crash(ends, &[call], now);
                    ends += 1;
                }
            }
        }
        assert!(ends as usize <= MAX_CRASHES_OF_SOUND, "{ends}");
    }
}

/// Guards against a part that is never quarantined because it was sound once.
#[test]
fn a_part_that_turns_bad_is_quarantined() {
    let mut table = SuspectTable::default();
    table.record_complete(&unique(900, &[FIRST, BAD]), at(100));
    table.record_complete(&unique(900, &[FIRST, 7]), at(500));
    crash(&mut table, MAX_CRASHES_OF_SOUND);
    assert!(is_refused(&table, &[FIRST, BAD], at(5_000)));
    assert!(!is_refused(&table, &[FIRST, 7], at(5_000)));
}

/// Load: all VMs have just started and no call has been answered yet. Guards against a
/// quarantine of the part that sound requests share with the bad ones.
#[test]
fn the_part_that_fewer_requests_share_is_quarantined() {
    let mut table = SuspectTable::default();
    crash(&mut table, MAX_CRASHES);
    assert!(is_refused(&table, &[FIRST, BAD], at(5_000)));
    assert!(!is_refused(&table, &[FIRST, 7], at(5_000)));
}

/// Load: a region loses power before any call was answered. Guards against a quarantine
/// of the parts that all requests share.
#[test]
fn servers_that_end_together_blame_no_part() {
    let mut table = SuspectTable::default();
    for server in 0..9 {
        let calls = [unique(server, &[FIRST, 100 + server])];
        table.record_crash(server, &calls, at(1_000 + u64::from(server) * 20));
    }
    assert!(!is_refused(&table, &[FIRST, 7], at(2_000)));
}

/// Guards against evidence that outlives its refutation.
#[test]
fn a_complete_answer_clears_a_part() {
    let mut table = SuspectTable::default();
    crash(&mut table, MAX_CRASHES - 1);
    table.record_complete(&unique(900, &[FIRST, BAD]), at(3_000));
    table.record_crash(90, &[unique(90, &[FIRST, BAD])], at(3_500));
    table.record_crash(91, &[unique(91, &[FIRST, BAD])], at(4_000));
    assert!(!is_refused(&table, &[FIRST, BAD], at(5_000)));
}

/// Guards against evidence that is lost between VMs: each saw an end of its own, one
/// knows that the first part is sound.
#[test]
fn vms_add_their_evidence_up() {
    let mut tables: Vec<SuspectTable> = (0..4).map(|_| SuspectTable::default()).collect();
    tables[3].record_complete(&unique(900, &[FIRST, 7]), at(500));
    for step in 0..20 {
        let now = at(1_000 + 100 * step);
        let ended = step as usize / 4;
        if step % 4 == 0 && ended < MAX_CRASHES {
            let calls = [unique(ended as u32, &[FIRST, BAD])];
            tables[ended].record_crash(ended as u32, &calls, now);
        }
        let news: Vec<_> = tables.iter().map(|table| table.news(false, now)).collect();
        for (receiver, table) in tables.iter_mut().enumerate() {
            let others = news.iter().enumerate();
            for (_, news) in others.filter(|(sender, _)| *sender != receiver) {
                table.merge(news, false, now);
            }
        }
    }
    for table in &tables {
        assert!(is_refused(table, &[FIRST, BAD], at(3_000)));
        assert!(!is_refused(table, &[FIRST, 7], at(3_000)));
    }
    // A VM that starts later learns it from any of them.
    let mut late = SuspectTable::default();
    late.merge(&tables[2].news(true, at(9_000)), false, at(9_000));
    assert!(is_refused(&late, &[FIRST, BAD], at(9_000)));
}

/// Guards against a VM that forgets, between two reports, a quarantine that is older than
/// the VM itself.
#[test]
fn a_vm_that_starts_keeps_older_quarantines() {
    let mut old = SuspectTable::default();
    old.record_complete(&unique(900, &[BAD]), at(100));
    old.record_complete(&unique(900, &[FIRST]), at(200));
    crash(&mut old, MAX_CRASHES_OF_SOUND);
    assert!(is_refused(&old, &[BAD], at(20_000)));
    let mut late = SuspectTable::default();
    late.merge(&old.news(true, at(20_000)), false, at(200));
    late.expire(at(2_000));
    assert!(is_refused(&late, &[BAD], at(2_000)));
}

/// Traffic of a deployment on its VMs and servers, in steps of 10 ms.
struct Fleet {
    rng: ChaCha8Rng,
    now_ms: u64,
    tables: Vec<SuspectTable>,
    /// Moment at which each server is back.
    down_until: Vec<u64>,
    boots: u32,
    boot_of: Vec<u32>,
    runs: Vec<Run>,
    /// Ends caused by the bad part.
    crashes: Vec<u64>,
    /// Moments at which requests with it reached servers.
    bad_sent: Vec<u64>,
    sound_sent: u64,
    sound_refused: u64,
    sent: u32,
}

struct Run {
    vm: usize,
    server: usize,
    call: CallParts,
    begins_at: u64,
    ends_at: u64,
}

/// Rates of one load.
struct FleetLoad {
    seconds: u64,
    bad_per_s: f64,
    /// Servers that end for another reason, each second.
    ends_per_s: f64,
}

impl Fleet {
    const VMS: usize = 7;
    const SERVERS: usize = 7;
    const SOUND_PER_S: f64 = 90.0;
    const FIRST_PARTS: u32 = 40;
    const SESSIONS: u32 = 569;
    const STEP_MS: u64 = 10;

    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_ms: 0,
            tables: (0..Self::VMS).map(|_| SuspectTable::default()).collect(),
            down_until: vec![0; Self::SERVERS],
            boots: Self::SERVERS as u32,
            boot_of: (0..Self::SERVERS as u32).collect(),
            runs: Vec::new(),
            crashes: Vec::new(),
            bad_sent: Vec::new(),
            sound_sent: 0,
            sound_refused: 0,
            sent: 0,
        }
    }

    fn is_due(&mut self, per_s: f64) -> bool {
        self.rng.random_bool(per_s * Self::STEP_MS as f64 / 1_000.0)
    }

    fn run(&mut self, load: &FleetLoad) {
        for _ in 0..load.seconds * 1_000 / Self::STEP_MS {
            self.now_ms += Self::STEP_MS;
            if self.is_due(load.bad_per_s) {
                let first = self.rng.random_range(1..=Self::FIRST_PARTS);
                self.send(&[first, BAD]);
            }
            if self.is_due(Self::SOUND_PER_S) {
                let first = self.rng.random_range(1..=Self::FIRST_PARTS);
                let session = 10_000 + self.rng.random_range(0..Self::SESSIONS);
                self.send(&[first, session]);
            }
            if self.is_due(load.ends_per_s) {
                let server = self.rng.random_range(0..Self::SERVERS);
                self.end_server(server);
            }
            self.advance_runs();
            if self.now_ms.is_multiple_of(100) {
                self.exchange_news();
            }
        }
    }

    fn send(&mut self, shared: &[u32]) {
        let now = at(self.now_ms);
        let vm = self.rng.random_range(0..Self::VMS);
        let is_bad = shared.contains(&BAD);
        self.sent += 1;
        let call = unique(self.sent, shared);
        let verdict = self.tables[vm].judge(&call, |_| vm == 0, now);
        self.sound_sent += u64::from(!is_bad);
        match verdict {
            PartVerdict::Refused { .. } => {
                self.sound_refused += u64::from(!is_bad);
                return;
            }
            PartVerdict::Trial { part } => self.tables[vm].record_trial(part, now),
            PartVerdict::Free => {}
        }
        let up: Vec<usize> = (0..Self::SERVERS)
            .filter(|server| self.down_until[*server] <= self.now_ms)
            .collect();
        let Some(server) = up.choose(&mut self.rng).copied() else {
            return;
        };
        let begins_at = self.now_ms + self.rng.random_range(80..300);
        if is_bad {
            self.bad_sent.push(self.now_ms);
        }
        self.runs.push(Run {
            vm,
            server,
            ends_at: begins_at
                + if is_bad {
                    80
                } else {
                    self.rng.random_range(50..700)
                },
            call,
            begins_at,
        });
    }

    fn advance_runs(&mut self) {
        let now_ms = self.now_ms;
        let ended = self.runs.extract_if(.., |run| run.ends_at <= now_ms);
        let ended: Vec<Run> = ended.collect();
        for run in ended {
            if run.call.shared.contains(&BAD) {
                let server = run.server;
                self.runs.push(run);
                self.crashes.push(now_ms);
                self.end_server(server);
            } else {
                self.tables[run.vm].record_complete(&run.call, at(now_ms));
            }
        }
    }

    /// Ends a server with all its runs; each VM knows its own, and which had begun.
    fn end_server(&mut self, server: usize) {
        let now_ms = self.now_ms;
        let broken = self.runs.extract_if(.., |run| run.server == server);
        let mut calls: HashMap<usize, Vec<CallParts>> = HashMap::new();
        for mut run in broken {
            if run.begins_at > now_ms {
                run.call.shared.clear();
            }
            calls.entry(run.vm).or_default().push(run.call);
        }
        for (vm, calls) in calls {
            self.tables[vm].record_crash(self.boot_of[server], &calls, at(now_ms));
        }
        self.boot_of[server] = self.boots;
        self.boots += 1;
        self.down_until[server] = now_ms + self.rng.random_range(1_400..5_000);
    }

    /// Exchanges news; a tenth of the datagrams is lost.
    fn exchange_news(&mut self) {
        let now = at(self.now_ms);
        let all = self.now_ms.is_multiple_of(1_000);
        let news: Vec<_> = self
            .tables
            .iter()
            .map(|table| table.news(all, now))
            .collect();
        for receiver in 0..Self::VMS {
            for (sender, news) in news.iter().enumerate() {
                if sender != receiver && self.rng.random_bool(0.9) {
                    self.tables[receiver].merge(news, false, now);
                }
            }
            self.tables[receiver].expire(now);
        }
    }

    /// Requests with the bad part sent later than the rules allow.
    fn late_bad_requests(&self) -> usize {
        let Some(fifth) = self.crashes.get(4) else {
            return 0;
        };
        let sent = self.bad_sent.iter();
        sent.filter(|sent| **sent > fifth + CONTACT_MS).count()
    }
}

/// Load of the incident on bungline. Guards against more requests with the bad part at
/// servers than the rules allow, and against a refusal of sound ones.
#[test]
fn few_bad_requests_reach_servers_after_the_fifth_end() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed);
        let calm = FleetLoad {
            seconds: 8,
            bad_per_s: 0.0,
            ends_per_s: 0.0,
        };
        fleet.run(&calm);
        let bad_per_s = [0.3, 1.0, 4.0, 15.0][seed as usize % 4];
        fleet.run(&FleetLoad {
            seconds: 80,
            bad_per_s,
            ends_per_s: 0.05,
        });
        let late = fleet.late_bad_requests();
        assert!(late <= 3, "seed {seed}: {late} of {bad_per_s}/s");
        let refused = fleet.sound_refused as f64 / fleet.sound_sent as f64;
        assert!(refused < 0.01, "seed {seed}: {refused} of the sound ones");
    }
}

/// Load: servers end again and again for reasons of their own, from the start on.
/// Guards against a quarantine of what they happened to answer.
#[test]
fn servers_that_end_for_other_reasons_quarantine_next_to_nothing() {
    for seed in 0..50 {
        let mut fleet = Fleet::new(seed);
        fleet.run(&FleetLoad {
            seconds: 80,
            bad_per_s: 0.0,
            ends_per_s: 1.0,
        });
        let refused = fleet.sound_refused as f64 / fleet.sound_sent as f64;
        assert!(refused < 0.01, "seed {seed}: {refused} of the sound ones");
    }
}

/// Load: a VM that has just started is told that a part was answered soundly after its
/// quarantine. Guards against a quarantine that goes on there.
#[test]
fn what_came_before_a_start_keeps_its_order() {
    let mut table = SuspectTable::default();
    let quarantine = SuspectNews::of_quarantine(BAD, ms(20_000));
    let sound = SuspectNews {
        sound_age_ms: Some(10_000),
        quarantine_age_ms: None,
        ..quarantine.clone()
    };
    table.merge(&[quarantine], false, at(100));
    assert!(is_refused(&table, &[FIRST, BAD], at(100)));
    table.merge(&[sound], false, at(100));
    assert!(!is_refused(&table, &[FIRST, BAD], at(100)));
}
