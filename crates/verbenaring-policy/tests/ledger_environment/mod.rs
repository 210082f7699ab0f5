//! Store, nodes, callers and backend servers around the operation ledger.

use crate::checker::Model;
use verbenaring_policy::id::{AttemptId, Digest};
use verbenaring_policy::ledger::*;
use verbenaring_policy::outcome::RunOutcome;

const NOW: u64 = 1_800_000_000_000;
const DAY: u64 = 24 * 3_600_000;
const SKEW: u64 = 300_000;

pub const TWICE: &str = "two attempts of one operation started";
pub const FALSE_NOT_RUN: &str = "not_run was said of an attempt that started";
pub const BLOCKED: &str = "the claim of an attempt that was not run stays";
const FALSE_RAN: &str = "ran was said of an operation that never started";

/// Safeguard that the environment disables.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Flaw {
    None,
    /// A claim overwrites an existing record.
    ClaimWithoutCondition,
    /// An abandonment overwrites the record of another attempt.
    AbandonWithoutCondition,
    /// A record of another attempt is taken for the own claim.
    ClaimWithoutOwner,
    /// A claimed record is taken for an abandoned one, as after a timeout.
    ClaimTakeover,
    /// The node sends after it told the caller that it gave up.
    SendAfterGivingUp,
    /// The age of the key is not checked after the claim.
    AgeCheckedOnce,
    /// The node that drops records does not allow for clock skew.
    DropWithoutSkew,
    /// A broken connection is reported as a refusal before execution.
    BrokenAsRefused,
    /// A retry carries the attempt identifier of the first attempt.
    ReusedAttempt,
    /// The node forgets attempts that wait for the store.
    NoCleanUp,
    /// No safeguard: asserts that no abandoned record is claimed again, to show that one is.
    ExpectNoReclaim,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    None,
    Write(u32),
    Read(u32),
    Answered(LedgerEvent),
}

/// Request on its way to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Wire {
    None,
    Connecting,
    /// Given to the connection, no byte sent.
    Queued,
    Sent,
    Running,
    Ended,
}

/// One attempt; even slots run on the first node, odd slots on the second.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Slot {
    launched: bool,
    ledger: Option<OperationLedger>,
    call: Call,
    wire: Wire,
    started: bool,
    gave_up: bool,
    told: Option<RunOutcome>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    record: Option<StoredRecord>,
    revision: u64,
    /// Writes that the store has not applied yet, with or without a waiting node.
    late: Vec<(usize, RecordWrite)>,
    slots: Vec<Slot>,
    expired: bool,
    faults: u8,
    crashes: u8,
}

#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "the fields are read by the printed trace")]
pub enum Step {
    Launch(usize),
    Apply(usize, RecordState),
    AnswerRead(usize),
    Deliver(usize),
    LoseAnswer(usize),
    Backend(usize, LedgerEvent),
    StartLate(usize),
    GiveUp(usize),
    CleanUp(usize),
    CrashNode(usize),
    Expire,
    DropRecord,
}

pub struct LedgerModel {
    pub slots: usize,
    /// Lost answers and attempts given up, together.
    pub faults: u8,
    pub crashes: u8,
    /// Whether the retention can end.
    pub expiry: bool,
    /// Whether the last slot carries another request under the same key.
    pub other_digest: bool,
    pub flaw: Flaw,
}

impl LedgerModel {
    /// Wall clock of a node that lags behind the dropper's by the clock skew.
    fn clock(&self, world: &World) -> u64 {
        match (world.expired, self.flaw) {
            (false, _) => NOW,
            (true, Flaw::DropWithoutSkew) => NOW + DAY - SKEW,
            (true, _) => NOW + DAY,
        }
    }

    fn attempt(&self, slot: usize) -> OperationAttempt {
        let key = uuid::Uuid::from_u128(u128::from(NOW) << 80 | 0x7 << 76 | 0x8 << 60);
        let number = if self.flaw == Flaw::ReusedAttempt {
            0
        } else {
            slot as u128
        };
        let other = self.other_digest && slot + 1 == self.slots;
        OperationAttempt {
            key: IdempotencyKey::parse(&key.to_string()).unwrap(),
            digest: Digest([u8::from(other); 32]),
            attempt: AttemptId(uuid::Uuid::from_u128(number)),
        }
    }

    fn launch(&self, world: &mut World, slot: usize) {
        let wall = self.clock(world);
        let (ledger, actions) = OperationLedger::start(self.attempt(slot), wall);
        world.slots[slot].launched = true;
        world.slots[slot].ledger = Some(ledger);
        act(world, slot, actions);
    }

    fn event(&self, world: &mut World, slot: usize, event: LedgerEvent) {
        let wall = match self.flaw {
            Flaw::AgeCheckedOnce => NOW,
            _ => self.clock(world),
        };
        let Some(ledger) = world.slots[slot].ledger.as_mut() else {
            return;
        };
        let actions = ledger.on(event, wall);
        act(world, slot, actions);
    }

    fn apply(&self, world: &mut World, index: usize) {
        let (slot, write) = world.late.remove(index);
        let ignored = match write.record.state {
            RecordState::Claimed => self.flaw == Flaw::ClaimWithoutCondition,
            RecordState::Abandoned => self.flaw == Flaw::AbandonWithoutCondition,
            RecordState::Done(_) => false,
        };
        let answer = if ignored || write.condition.holds(world.record.as_ref()) {
            world.revision += 1;
            let (record, revision) = (write.record, world.revision);
            world.record = Some(StoredRecord { record, revision });
            WriteAnswer::Applied
        } else {
            WriteAnswer::Refused(self.seen(world, slot))
        };
        if world.slots[slot].call == Call::Write(write.serial) {
            world.slots[slot].call = Call::Answered(LedgerEvent::Written(write.serial, answer));
        }
    }

    /// Record as the node of the slot sees it.
    fn seen(&self, world: &World, slot: usize) -> Option<StoredRecord> {
        let mut stored = world.record?;
        let own = self.attempt(slot).attempt;
        if self.flaw == Flaw::ClaimWithoutOwner {
            stored.record.attempt = own;
        }
        let claimed = stored.record.state == RecordState::Claimed;
        if self.flaw == Flaw::ClaimTakeover && claimed && stored.record.attempt != own {
            stored.record.state = RecordState::Abandoned;
        }
        Some(stored)
    }

    /// Events of the connection, with the state of the wire after each.
    fn backend(&self, slot: &Slot) -> Vec<(LedgerEvent, Wire, bool)> {
        let broken = match self.flaw {
            Flaw::BrokenAsRefused => LedgerEvent::Refused,
            _ => LedgerEvent::Broken,
        };
        match slot.wire {
            Wire::Connecting => vec![
                (LedgerEvent::Connected, Wire::None, false),
                (LedgerEvent::Unsent, Wire::None, false),
            ],
            Wire::Queued => vec![
                (LedgerEvent::Sent, Wire::Sent, false),
                (LedgerEvent::Unsent, Wire::Ended, false),
                (broken, Wire::Sent, false),
            ],
            Wire::Sent => vec![
                (LedgerEvent::Refused, Wire::Ended, false),
                (LedgerEvent::Finished(200), Wire::Ended, true),
                (broken, Wire::Sent, false),
            ],
            Wire::Running => vec![
                (LedgerEvent::Finished(200), Wire::Ended, true),
                (broken, Wire::Running, true),
            ],
            Wire::None | Wire::Ended => vec![],
        }
    }
}

fn act(world: &mut World, slot: usize, actions: Vec<LedgerAction>) {
    for action in actions {
        let state = &mut world.slots[slot];
        match action {
            LedgerAction::Write(write) => {
                state.call = Call::Write(write.serial);
                world.late.push((slot, write));
                world
                    .late
                    .sort_by_key(|(slot, write)| (*slot, write.serial));
            }
            LedgerAction::Read(serial) => state.call = Call::Read(serial),
            LedgerAction::Connect => state.wire = Wire::Connecting,
            LedgerAction::Send => state.wire = Wire::Queued,
            LedgerAction::Report(verdict) => {
                assert!(state.told.is_none() || state.gave_up, "told twice");
                state.told = state.told.or(Some(verdict.outcome));
            }
        }
    }
    forget(&mut world.slots[slot]);
}

/// Drops a closed ledger as the driver does.
fn forget(slot: &mut Slot) {
    if slot.ledger.as_ref().is_some_and(OperationLedger::is_closed) {
        slot.ledger = None;
        slot.call = Call::None;
    }
}

impl Model for LedgerModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        let slot = Slot {
            launched: false,
            ledger: None,
            call: Call::None,
            wire: Wire::None,
            started: false,
            gave_up: false,
            told: None,
        };
        World {
            record: None,
            revision: 0,
            late: vec![],
            slots: vec![slot; self.slots],
            expired: false,
            faults: self.faults,
            crashes: self.crashes,
        }
    }

    fn successors(&self, world: &World, into: &mut Vec<(Step, World)>) {
        let mut add = |step, change: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            change(&mut next);
            into.push((step, next));
        };
        if let Some(slot) = world.slots.iter().position(|slot| !slot.launched) {
            add(Step::Launch(slot), &|next| self.launch(next, slot));
        }
        for (index, (_, write)) in world.late.iter().enumerate() {
            add(Step::Apply(index, write.record.state), &|next| {
                self.apply(next, index)
            });
        }
        if self.expiry && !world.expired {
            add(Step::Expire, &|next| next.expired = true);
        }
        let dropper = NOW + DAY + SKEW;
        if world.expired
            && world
                .record
                .is_some_and(|stored| stored.record.may_delete(dropper))
        {
            add(Step::DropRecord, &|next| next.record = None);
        }
        for node in 0..2 {
            let mut slots = world.slots.iter().skip(node).step_by(2);
            if world.crashes > 0 && slots.any(|slot| slot.ledger.is_some()) {
                add(Step::CrashNode(node), &|next| {
                    next.crashes -= 1;
                    for slot in next.slots.iter_mut().skip(node).step_by(2) {
                        (slot.ledger, slot.call) = (None, Call::None);
                    }
                });
            }
        }
        for (index, slot) in world.slots.iter().enumerate() {
            if slot.wire == Wire::Sent {
                add(Step::StartLate(index), &|next| {
                    next.slots[index].wire = Wire::Running;
                    next.slots[index].started = true;
                });
            }
            if slot.ledger.is_some() {
                self.ledger_steps(world, index, &mut add);
            }
        }
    }

    fn check(&self, world: &World) -> Result<(), &'static str> {
        let started = world.slots.iter().filter(|slot| slot.started).count();
        let told = |outcome| move |slot: &&Slot| slot.told == Some(outcome);
        let mut not_run = world.slots.iter().filter(told(RunOutcome::NotRun));
        let mut ran = world.slots.iter().filter(told(RunOutcome::Ran));
        if started > 1 {
            Err(TWICE)
        } else if not_run.any(|slot| slot.started) {
            Err(FALSE_NOT_RUN)
        } else if started == 0 && ran.next().is_some() {
            Err(FALSE_RAN)
        } else if matches!(self.flaw, Flaw::None | Flaw::NoCleanUp) && self.blocked(world) {
            Err(BLOCKED)
        } else if self.flaw == Flaw::ExpectNoReclaim && world.slots[1].started && world.revision > 2
        {
            Err("an abandoned record was claimed again and ran")
        } else {
            Ok(())
        }
    }
}

impl LedgerModel {
    /// Whether nothing is in progress and a released claim is still in the
    /// store. Crashes lose the clean-up list, so this holds only without one.
    /// It is not asked of other flaws, which break it before their own property.
    fn blocked(&self, world: &World) -> bool {
        let open = |slot: &Slot| match &slot.ledger {
            Some(ledger) => self.flaw != Flaw::NoCleanUp || !ledger.awaits_store(),
            None => false,
        };
        let quiet = world.late.is_empty() && !world.slots.iter().any(open);
        let claimed = |slot: usize| {
            let attempt = self.attempt(slot).attempt;
            let own = |stored: StoredRecord| stored.record.attempt == attempt;
            world
                .record
                .is_some_and(|stored| own(stored) && stored.record.state == RecordState::Claimed)
        };
        let released = |slot: usize| world.slots[slot].told == Some(RunOutcome::NotRun);
        let crashed = world.crashes < self.crashes;
        quiet
            && !crashed
            && !world.expired
            && (0..self.slots).any(|slot| released(slot) && claimed(slot))
    }

    /// Steps of a slot whose node runs.
    fn ledger_steps(
        &self,
        world: &World,
        index: usize,
        add: &mut impl FnMut(Step, &dyn Fn(&mut World)),
    ) {
        let slot = &world.slots[index];
        let ledger = slot.ledger.as_ref().unwrap();
        for (event, wire, started) in self.backend(slot) {
            add(Step::Backend(index, event), &|next| {
                next.slots[index].wire = wire;
                next.slots[index].started |= started;
                self.event(next, index, event);
            });
        }
        let lost = match slot.call {
            Call::Write(serial) | Call::Answered(LedgerEvent::Written(serial, _)) => {
                Some(LedgerEvent::Written(serial, WriteAnswer::Lost))
            }
            Call::Read(serial) | Call::Answered(LedgerEvent::Read(serial, _)) => {
                Some(LedgerEvent::Read(serial, ReadAnswer::Lost))
            }
            _ => None,
        };
        if let Some(lost) = lost.filter(|_| world.faults > 0) {
            add(Step::LoseAnswer(index), &|next| {
                next.faults -= 1;
                next.slots[index].call = Call::None;
                self.event(next, index, lost);
            });
        }
        if let Call::Read(serial) = slot.call {
            let answer = LedgerEvent::Read(serial, ReadAnswer::Found(self.seen(world, index)));
            add(Step::AnswerRead(index), &|next| {
                next.slots[index].call = Call::Answered(answer);
            });
        }
        if let Call::Answered(answer) = slot.call {
            add(Step::Deliver(index), &|next| {
                next.slots[index].call = Call::None;
                self.event(next, index, answer);
            });
        }
        if !slot.gave_up && slot.told.is_none() && world.faults > 0 {
            add(Step::GiveUp(index), &|next| {
                next.faults -= 1;
                next.slots[index].gave_up = true;
                if self.flaw == Flaw::SendAfterGivingUp {
                    next.slots[index].told = Some(RunOutcome::NotRun);
                } else {
                    self.event(next, index, LedgerEvent::GaveUp);
                }
            });
        }
        if ledger.awaits_store() && self.flaw != Flaw::NoCleanUp {
            add(Step::CleanUp(index), &|next| {
                self.event(next, index, LedgerEvent::StoreReturned);
            });
        }
    }
}
