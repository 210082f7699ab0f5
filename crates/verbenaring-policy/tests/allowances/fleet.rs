//! VMs with their allowances, and links that delay, lose and repeat statements.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use verbenaring_policy::dispatch::allowance::{
    AllowanceRole, AllowanceScope, AllowanceStatement, AllowanceTable,
};
use verbenaring_policy::dispatch::tenant::{Allowance, AllowanceUnit, Tenant};
use verbenaring_policy::id::TenantName;
use verbenaring_policy::time::Moment;

/// Number of regions; VM `i` is in region `i % REGIONS`.
pub const REGIONS: usize = 3;
/// Number of VMs up to which all report to each other.
const DIRECT_VMS: usize = 24;
const GROUP_SIZE: usize = 12;
const STEP_MS: i64 = 5;
const NEAR_MS: i64 = 100;
const FAR_MS: i64 = 300;
const FAR_MS_PER_VM: i64 = 40;
/// Share of the statements that are lost, and of those that arrive twice.
const LOST: f64 = 0.02;
const REPEATED: f64 = 0.02;
/// Window of the upper bound.
const WINDOW: Duration = Duration::from_secs(8);

pub fn tenant(unit: AllowanceUnit, rate: f64, burst: f64) -> Tenant {
    Tenant {
        name: TenantName::new("acme").unwrap(),
        rank: None,
        allowance: Allowance {
            unit,
            plain_tokens: 200,
            rate,
            burst,
        },
        residency: Vec::new(),
        keys: Vec::new(),
    }
}

pub fn tokens(rate: f64, burst: f64) -> Tenant {
    tenant(AllowanceUnit::Tokens, rate, burst)
}

struct Vm {
    table: AllowanceTable,
    relay: Option<usize>,
    next_tick: i64,
    next_far: i64,
    frozen_until: i64,
    stopped: bool,
}

/// Where calls arrive.
#[derive(Debug, Clone, Copy)]
pub enum Arrival {
    One(usize),
    All,
    Region(usize),
    /// At the VMs of one region, and of the next one after 3 s.
    Moving,
}

/// Load of one tenant.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    pub units_per_s: f64,
    pub cost: u64,
    pub arrival: Arrival,
}

pub struct Fleet {
    pub now_ms: i64,
    pub tenant: Tenant,
    vms: Vec<Vm>,
    queue: BTreeMap<(i64, u64), (usize, Duration, AllowanceStatement)>,
    sent: u64,
    rng: ChaCha8Rng,
    /// Whether a statement from one VM to another is lost.
    pub cut: fn(usize, usize) -> bool,
    /// Charges by time in ms.
    charged: Vec<(i64, f64)>,
    pub offered: f64,
    pub granted: f64,
}

impl Fleet {
    pub fn new(vms: usize, tenant: Tenant, seed: u64) -> Self {
        let mut fleet = Self {
            now_ms: 0,
            tenant,
            vms: Vec::new(),
            queue: BTreeMap::new(),
            sent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            cut: |_, _| false,
            charged: Vec::new(),
            offered: 0.0,
            granted: 0.0,
        };
        for index in 0..vms {
            let vm = fleet.start(index, vms);
            fleet.vms.push(vm);
        }
        fleet
    }

    fn now(&self) -> Moment {
        Moment(self.now_ms * 1_000)
    }

    fn start(&mut self, index: usize, vms: usize) -> Vm {
        let in_region = index / REGIONS;
        let relay = (vms > DIRECT_VMS).then(|| {
            let first = in_region / GROUP_SIZE * GROUP_SIZE;
            first * REGIONS + index % REGIONS
        });
        Vm {
            table: AllowanceTable::new(index as u32 + 1, self.now()),
            relay,
            next_tick: self.now_ms + self.rng.random_range(0..NEAR_MS),
            next_far: self.now_ms + self.rng.random_range(0..FAR_MS),
            frozen_until: 0,
            stopped: false,
        }
    }

    pub fn restart(&mut self, index: usize) {
        self.vms[index] = self.start(index, self.vms.len());
        self.queue.retain(|_, (to, ..)| *to != index);
    }

    pub fn restart_all(&mut self) {
        for index in 0..self.vms.len() {
            self.restart(index);
        }
    }

    /// Ends a relay; its group reports to the next one of the region.
    pub fn stop_relay(&mut self, index: usize) {
        self.vms[index].stopped = true;
        let next = index + GROUP_SIZE * REGIONS;
        for vm in &mut self.vms {
            if vm.relay == Some(index) {
                vm.relay = Some(next);
            }
        }
    }

    pub fn freeze(&mut self, index: usize, time: Duration) {
        self.vms[index].frozen_until = self.now_ms + time.as_millis() as i64;
    }

    /// Lets a load arrive for some time.
    pub fn run(&mut self, time: Duration, load: Load) {
        let end = self.now_ms + time.as_millis() as i64;
        let calls_per_step = load.units_per_s / load.cost as f64 * STEP_MS as f64 / 1_000.0;
        let mut due: f64 = self.rng.random();
        while self.now_ms < end {
            self.now_ms += STEP_MS;
            self.deliver();
            self.tick();
            due += calls_per_step;
            while due >= 1.0 {
                due -= 1.0;
                let vm = self.arrival(load.arrival);
                if !self.vms[vm].stopped {
                    self.call(vm, load.cost);
                }
            }
        }
    }

    /// Like [`Self::run`]; returns the share of the entitled amount that was granted.
    pub fn measure(&mut self, time: Duration, load: Load) -> f64 {
        (self.offered, self.granted) = (0.0, 0.0);
        self.run(time, load);
        let entitled = self.tenant.allowance.rate * time.as_secs_f64();
        self.granted / self.offered.min(entitled)
    }

    fn arrival(&mut self, arrival: Arrival) -> usize {
        let vms = self.vms.len();
        let region = match arrival {
            Arrival::One(vm) => return vm,
            Arrival::All => return self.rng.random_range(0..vms),
            Arrival::Region(region) => region,
            Arrival::Moving => (self.now_ms / 3_000) as usize % REGIONS,
        };
        let in_region = (vms - region).div_ceil(REGIONS);
        self.rng.random_range(0..in_region) * REGIONS + region
    }

    /// Opens accounts of other tenants at all VMs by one small call each.
    pub fn call_others(&mut self, others: &[Tenant]) {
        let now = self.now();
        for vm in &mut self.vms {
            for other in others {
                let _ = vm.table.charge(other, Some(1), 0.5, now);
            }
        }
    }

    pub fn call(&mut self, vm: usize, cost: u64) -> bool {
        if self.now_ms < self.vms[vm].frozen_until {
            return false;
        }
        let draw = self.rng.random();
        let now = self.now();
        self.offered += cost as f64;
        let table = &mut self.vms[vm].table;
        let charge = table.charge(&self.tenant, Some(cost), draw, now);
        let Ok(Some(charge)) = charge else {
            return false;
        };
        self.granted += charge.cost() as f64;
        self.charged.push((self.now_ms, charge.cost() as f64));
        true
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now_ms
        {
            let (to, interval, statement) = entry.remove();
            let vm = &mut self.vms[to];
            if self.now_ms < vm.frozen_until {
                self.sent += 1;
                let key = (vm.frozen_until, self.sent);
                self.queue.insert(key, (to, interval, statement));
                continue;
            }
            vm.table
                .record(&statement, interval, Moment(self.now_ms * 1_000));
        }
    }

    fn tick(&mut self) {
        let count = self.vms.len();
        let (now, now_ms) = (self.now(), self.now_ms);
        for index in 0..count {
            let far_ms = self.far_ms(index);
            let vm = &mut self.vms[index];
            if now_ms < vm.next_tick || now_ms < vm.frozen_until || vm.stopped {
                continue;
            }
            vm.next_tick = now_ms + NEAR_MS;
            let far_due = now_ms >= vm.next_far;
            if far_due {
                vm.next_far = now_ms + far_ms;
            }
            let role = match vm.relay {
                None => AllowanceRole::Direct,
                Some(relay) if relay == index => AllowanceRole::Relay,
                Some(_) => AllowanceRole::Member,
            };
            vm.table.set_group(role, count, now);
            vm.table.expire(now);
            match role {
                AllowanceRole::Direct => {
                    let stated = vm.table.statement(AllowanceScope::Vm, now);
                    let others = (0..count).filter(|other| *other != index);
                    let due = others.filter(|other| far_due || other % REGIONS == index % REGIONS);
                    self.send(index, due.collect(), &stated);
                }
                AllowanceRole::Member => {
                    let relay = vm.relay.unwrap();
                    let stated = vm.table.statement(AllowanceScope::Vm, now);
                    self.send(index, vec![relay], &stated);
                }
                AllowanceRole::Relay => self.relay(index, far_due),
            }
        }
    }

    /// Interval of statements to other regions. Where all VMs report to each other, it
    /// grows with their number.
    fn far_ms(&self, index: usize) -> i64 {
        let count = self.vms.len();
        match self.vms[index].relay {
            Some(_) => FAR_MS,
            None => FAR_MS.max(FAR_MS_PER_VM * (count - count / REGIONS) as i64),
        }
    }

    fn relay(&mut self, index: usize, far_due: bool) {
        let now = self.now();
        let is_relay = |vm: &usize| self.vms[*vm].relay == Some(*vm);
        let relays: Vec<usize> = (0..self.vms.len()).filter(is_relay).collect();
        let others = relays.iter().copied().filter(|other| *other != index);
        let near = others.filter(|other| other % REGIONS == index % REGIONS);
        let near: Vec<usize> = near.collect();
        let group = (0..self.vms.len()).filter(|vm| self.vms[*vm].relay == Some(index));
        let group: Vec<usize> = group.filter(|vm| *vm != index).collect();
        let far = (0..REGIONS).filter(|region| *region != index % REGIONS);
        let far = far.map(|region| {
            let of_region = relays.iter().filter(|relay| **relay % REGIONS == region);
            let of_region: Vec<usize> = of_region.copied().collect();
            of_region[index / REGIONS % of_region.len()]
        });
        let far: Vec<usize> = far.collect();
        let stated = self.vms[index].table.statement(AllowanceScope::Near, now);
        self.send(index, near, &stated);
        let stated = self.vms[index].table.statement(AllowanceScope::Total, now);
        self.send(index, group, &stated);
        if far_due {
            let stated = self.vms[index].table.statement(AllowanceScope::Far, now);
            self.send(index, far, &stated);
        }
    }

    fn send(&mut self, from: usize, to: Vec<usize>, stated: &AllowanceStatement) {
        for to in to {
            if (self.cut)(from, to) || self.rng.random_bool(LOST) {
                continue;
            }
            let interval_ms = match from % REGIONS == to % REGIONS {
                true => NEAR_MS,
                false => self.far_ms(from),
            };
            let copies = 1 + usize::from(self.rng.random_bool(REPEATED));
            for _ in 0..copies {
                let delay = match from % REGIONS == to % REGIONS {
                    true => self.rng.random_range(1..20),
                    false => self.rng.random_range(20..90),
                };
                self.sent += 1;
                let key = (self.now_ms + delay, self.sent);
                let interval = Duration::from_millis(interval_ms as u64);
                self.queue.insert(key, (to, interval, stated.clone()));
            }
        }
    }

    /// Most units that were charged in a window.
    pub fn most_in_window(&self) -> f64 {
        self.most_since(0)
    }

    /// Most units that were charged in a window that begins at `start_ms` or later.
    pub fn most_since(&self, start_ms: i64) -> f64 {
        let mut most: f64 = 0.0;
        let mut sum = 0.0;
        let charged = self.charged.iter().filter(|(at, _)| *at >= start_ms);
        let charged: Vec<&(i64, f64)> = charged.collect();
        let mut first = 0;
        for (at, cost) in &charged {
            sum += cost;
            while charged[first].0 <= at - WINDOW.as_millis() as i64 {
                sum -= charged[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    /// Upper bound of the page for one window.
    pub fn bound(&self) -> f64 {
        let limits = self.tenant.allowance;
        let extra = match limits.unit {
            AllowanceUnit::Requests => 0.0,
            AllowanceUnit::Tokens => 140_000.0,
        };
        1.1 * (limits.rate * WINDOW.as_secs_f64() + limits.burst) + extra
    }

    pub fn check_bound(&self, cases: &mut Cases, case: &str) {
        let part = self.most_in_window() / self.bound();
        println!("{case}: most in a window {part:.3} of the bound");
        cases.check(part <= 1.0, format!("{case}: {part:.3} of the bound"));
    }
}

/// Failed cases of a test, all of which are reported at its end.
#[derive(Default)]
pub struct Cases(Vec<String>);

impl Cases {
    pub fn check(&mut self, holds: bool, case: String) {
        if !holds {
            self.0.push(case);
        }
    }

    #[track_caller]
    pub fn finish(self) {
        assert!(self.0.is_empty(), "failed:\n{}", self.0.join("\n"));
    }
}
