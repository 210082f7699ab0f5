//! Model of the store, nodes, callers and backend servers around the operation ledger.

use crate::checker::Model;
use verbenaring_policy::id::{AttemptId, Digest};
use verbenaring_policy::ledger::*;
use verbenaring_policy::outcome::RunOutcome;

const NOW_MS: u64 = 1_800_000_000_000;
const DAY_MS: u64 = 24 * 3_600_000;
const SKEW_MS: u64 = 300_000;

pub const STARTED_TWICE: &str = "two attempts of one operation started";
pub const FALSE_NOT_RUN: &str = "not_run was reported for an attempt that started";
pub const CLAIM_LEFT: &str = "the claim of an attempt that was not run stays";
const FALSE_RAN: &str = "ran was reported for an operation that never started";

/// Safeguard that the model disables, to show that the checker detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mutation {
    None,
    /// A claim overwrites an existing record.
    ClaimWithoutCondition,
    /// An abandonment overwrites the record of another attempt.
    AbandonWithoutCondition,
    /// The record of another attempt is mistaken for the own claim.
    ClaimWithoutOwner,
    /// A claimed record counts as abandoned, as if claims timed out.
    ClaimTakeover,
    /// The node still sends after it reported not_run to the caller.
    SendAfterGivingUp,
    /// The age of the key is not checked after the claim.
    AgeCheckedOnce,
    /// The node that deletes records does not allow for clock skew.
    DropWithoutSkew,
    /// A broken connection is reported as a refusal before execution.
    BrokenAsRefused,
    /// A retry carries the attempt identifier of the first attempt.
    ReusedAttempt,
    /// The node drops attempts that wait for the store.
    NoCleanUp,
    /// Disables nothing: asserts that no abandoned record is claimed again, to show that
    /// the model reaches such a state.
    ExpectNoReclaim,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    None,
    Write(u32),
    Read(u32),
    Answered(LedgerEvent),
}

/// Connection to the backend server, and progress of the request on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Connection {
    None,
    Connecting,
    /// The request was passed to the connection; no byte was sent.
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
    connection: Connection,
    started: bool,
    gave_up: bool,
    reported: Option<RunOutcome>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SystemState {
    record: Option<StoredRecord>,
    revision: u64,
    /// Slot and write of each call that the store has not applied yet, also if the node
    /// no longer waits for it.
    pending_writes: Vec<(usize, RecordWrite)>,
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
    /// Largest number of lost answers and attempts given up, together.
    pub faults: u8,
    pub crashes: u8,
    /// Whether the retention of the key can end.
    pub expiry: bool,
    /// Whether the last slot carries another request under the same key.
    pub other_digest: bool,
    pub mutation: Mutation,
}

impl LedgerModel {
    /// Wall clock of the nodes, which lags by the clock skew behind that of the node that
    /// deletes records.
    fn wall_clock_ms(&self, state: &SystemState) -> u64 {
        match (state.expired, self.mutation) {
            (false, _) => NOW_MS,
            (true, Mutation::DropWithoutSkew) => NOW_MS + DAY_MS - SKEW_MS,
            (true, _) => NOW_MS + DAY_MS,
        }
    }

    fn attempt(&self, slot: usize) -> OperationAttempt {
        let key = uuid::Uuid::from_u128(u128::from(NOW_MS) << 80 | 0x7 << 76 | 0x8 << 60);
        let number = if self.mutation == Mutation::ReusedAttempt {
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

    fn launch(&self, state: &mut SystemState, slot: usize) {
        let wall_ms = self.wall_clock_ms(state);
        let (ledger, actions) = OperationLedger::start(self.attempt(slot), wall_ms);
        state.slots[slot].launched = true;
        state.slots[slot].ledger = Some(ledger);
        perform(state, slot, actions);
    }

    fn deliver(&self, state: &mut SystemState, slot: usize, event: LedgerEvent) {
        let wall_ms = match self.mutation {
            Mutation::AgeCheckedOnce => NOW_MS,
            _ => self.wall_clock_ms(state),
        };
        let Some(ledger) = state.slots[slot].ledger.as_mut() else {
            return;
        };
        let actions = ledger.on(event, wall_ms);
        perform(state, slot, actions);
    }

    fn apply(&self, state: &mut SystemState, index: usize) {
        let (slot, write) = state.pending_writes.remove(index);
        let unconditional = match write.record.state {
            RecordState::Claimed => self.mutation == Mutation::ClaimWithoutCondition,
            RecordState::Abandoned => self.mutation == Mutation::AbandonWithoutCondition,
            RecordState::Done(_) => false,
        };
        let answer = if unconditional || write.condition.holds(state.record.as_ref()) {
            state.revision += 1;
            let (record, revision) = (write.record, state.revision);
            state.record = Some(StoredRecord { record, revision });
            WriteAnswer::Applied
        } else {
            WriteAnswer::Refused(self.visible_record(state, slot))
        };
        if state.slots[slot].call == Call::Write(write.serial) {
            state.slots[slot].call = Call::Answered(LedgerEvent::Written(write.serial, answer));
        }
    }

    /// Record as the store reports it to the node of the slot.
    fn visible_record(&self, state: &SystemState, slot: usize) -> Option<StoredRecord> {
        let mut stored = state.record?;
        let own = self.attempt(slot).attempt;
        if self.mutation == Mutation::ClaimWithoutOwner {
            stored.record.attempt = own;
        }
        let claimed = stored.record.state == RecordState::Claimed;
        if self.mutation == Mutation::ClaimTakeover && claimed && stored.record.attempt != own {
            stored.record.state = RecordState::Abandoned;
        }
        Some(stored)
    }

    /// Possible events of the connection, each with the state of the connection after it
    /// and whether the backend server started the operation.
    fn connection_events(&self, slot: &Slot) -> Vec<(LedgerEvent, Connection, bool)> {
        let broken = match self.mutation {
            Mutation::BrokenAsRefused => LedgerEvent::Refused,
            _ => LedgerEvent::Broken,
        };
        match slot.connection {
            Connection::Connecting => vec![
                (LedgerEvent::Connected, Connection::None, false),
                (LedgerEvent::Unsent, Connection::None, false),
            ],
            Connection::Queued => vec![
                (LedgerEvent::Sent, Connection::Sent, false),
                (LedgerEvent::Unsent, Connection::Ended, false),
                (broken, Connection::Sent, false),
            ],
            Connection::Sent => vec![
                (LedgerEvent::Refused, Connection::Ended, false),
                (LedgerEvent::Finished(200), Connection::Ended, true),
                (broken, Connection::Sent, false),
            ],
            Connection::Running => vec![
                (LedgerEvent::Finished(200), Connection::Ended, true),
                (broken, Connection::Running, true),
            ],
            Connection::None | Connection::Ended => vec![],
        }
    }
}

fn perform(state: &mut SystemState, slot: usize, actions: Vec<LedgerAction>) {
    for action in actions {
        let attempt = &mut state.slots[slot];
        match action {
            LedgerAction::Write(write) => {
                attempt.call = Call::Write(write.serial);
                state.pending_writes.push((slot, write));
                state
                    .pending_writes
                    .sort_by_key(|(slot, write)| (*slot, write.serial));
            }
            LedgerAction::Read(serial) => attempt.call = Call::Read(serial),
            LedgerAction::Connect => attempt.connection = Connection::Connecting,
            LedgerAction::Send => attempt.connection = Connection::Queued,
            LedgerAction::Report(report) => {
                assert!(
                    attempt.reported.is_none() || attempt.gave_up,
                    "reported twice"
                );
                attempt.reported = attempt.reported.or(Some(report.outcome));
            }
        }
    }
    drop_closed(&mut state.slots[slot]);
}

/// Drops a closed ledger, as the driver does.
fn drop_closed(slot: &mut Slot) {
    if slot.ledger.as_ref().is_some_and(OperationLedger::is_closed) {
        slot.ledger = None;
        slot.call = Call::None;
    }
}

impl Model for LedgerModel {
    type State = SystemState;
    type Step = Step;

    fn initial_state(&self) -> SystemState {
        let slot = Slot {
            launched: false,
            ledger: None,
            call: Call::None,
            connection: Connection::None,
            started: false,
            gave_up: false,
            reported: None,
        };
        SystemState {
            record: None,
            revision: 0,
            pending_writes: vec![],
            slots: vec![slot; self.slots],
            expired: false,
            faults: self.faults,
            crashes: self.crashes,
        }
    }

    fn successors(&self, state: &SystemState, successors: &mut Vec<(Step, SystemState)>) {
        let mut add = |step, change: &dyn Fn(&mut SystemState)| {
            let mut next = state.clone();
            change(&mut next);
            successors.push((step, next));
        };
        if let Some(slot) = state.slots.iter().position(|slot| !slot.launched) {
            add(Step::Launch(slot), &|next| self.launch(next, slot));
        }
        for (index, (_, write)) in state.pending_writes.iter().enumerate() {
            add(Step::Apply(index, write.record.state), &|next| {
                self.apply(next, index)
            });
        }
        if self.expiry && !state.expired {
            add(Step::Expire, &|next| next.expired = true);
        }
        let deleting_node_ms = NOW_MS + DAY_MS + SKEW_MS;
        if state.expired
            && state
                .record
                .is_some_and(|stored| stored.record.may_delete(deleting_node_ms))
        {
            add(Step::DropRecord, &|next| next.record = None);
        }
        for node in 0..2 {
            let mut slots = state.slots.iter().skip(node).step_by(2);
            if state.crashes > 0 && slots.any(|slot| slot.ledger.is_some()) {
                add(Step::CrashNode(node), &|next| {
                    next.crashes -= 1;
                    for slot in next.slots.iter_mut().skip(node).step_by(2) {
                        (slot.ledger, slot.call) = (None, Call::None);
                    }
                });
            }
        }
        for (index, slot) in state.slots.iter().enumerate() {
            if slot.connection == Connection::Sent {
                add(Step::StartLate(index), &|next| {
                    next.slots[index].connection = Connection::Running;
                    next.slots[index].started = true;
                });
            }
            if slot.ledger.is_some() {
                self.ledger_steps(state, index, &mut add);
            }
        }
    }

    fn check(&self, state: &SystemState) -> Result<(), &'static str> {
        let started = state.slots.iter().filter(|slot| slot.started).count();
        let reported = |outcome| move |slot: &&Slot| slot.reported == Some(outcome);
        let mut not_run = state.slots.iter().filter(reported(RunOutcome::NotRun));
        let mut ran = state.slots.iter().filter(reported(RunOutcome::Ran));
        if started > 1 {
            Err(STARTED_TWICE)
        } else if not_run.any(|slot| slot.started) {
            Err(FALSE_NOT_RUN)
        } else if started == 0 && ran.next().is_some() {
            Err(FALSE_RAN)
        } else if matches!(self.mutation, Mutation::None | Mutation::NoCleanUp)
            && self.has_left_claim(state)
        {
            Err(CLAIM_LEFT)
        } else if self.mutation == Mutation::ExpectNoReclaim
            && state.slots[1].started
            && state.revision > 2
        {
            Err("an abandoned record was claimed again and ran")
        } else {
            Ok(())
        }
    }
}

impl LedgerModel {
    /// Whether nothing is in progress and the claim of an attempt that was reported as
    /// not run is still in the store. Crashes lose the clean-up list, so states after
    /// one are not checked. Models with other mutations are not checked either, because
    /// they would violate this before their own property.
    fn has_left_claim(&self, state: &SystemState) -> bool {
        let open = |slot: &Slot| match &slot.ledger {
            Some(ledger) => self.mutation != Mutation::NoCleanUp || !ledger.awaits_store(),
            None => false,
        };
        let is_idle = state.pending_writes.is_empty() && !state.slots.iter().any(open);
        let claimed = |slot: usize| {
            let attempt = self.attempt(slot).attempt;
            let own = |stored: StoredRecord| stored.record.attempt == attempt;
            state
                .record
                .is_some_and(|stored| own(stored) && stored.record.state == RecordState::Claimed)
        };
        let released = |slot: usize| state.slots[slot].reported == Some(RunOutcome::NotRun);
        let crashed = state.crashes < self.crashes;
        is_idle
            && !crashed
            && !state.expired
            && (0..self.slots).any(|slot| released(slot) && claimed(slot))
    }

    /// Steps of a slot whose node still has its ledger.
    fn ledger_steps(
        &self,
        state: &SystemState,
        index: usize,
        add: &mut impl FnMut(Step, &dyn Fn(&mut SystemState)),
    ) {
        let slot = &state.slots[index];
        let ledger = slot.ledger.as_ref().unwrap();
        for (event, connection, started) in self.connection_events(slot) {
            add(Step::Backend(index, event), &|next| {
                next.slots[index].connection = connection;
                next.slots[index].started |= started;
                self.deliver(next, index, event);
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
        if let Some(lost) = lost.filter(|_| state.faults > 0) {
            add(Step::LoseAnswer(index), &|next| {
                next.faults -= 1;
                next.slots[index].call = Call::None;
                self.deliver(next, index, lost);
            });
        }
        if let Call::Read(serial) = slot.call {
            let answer =
                LedgerEvent::Read(serial, ReadAnswer::Found(self.visible_record(state, index)));
            add(Step::AnswerRead(index), &|next| {
                next.slots[index].call = Call::Answered(answer);
            });
        }
        if let Call::Answered(answer) = slot.call {
            add(Step::Deliver(index), &|next| {
                next.slots[index].call = Call::None;
                self.deliver(next, index, answer);
            });
        }
        if !slot.gave_up && slot.reported.is_none() && state.faults > 0 {
            add(Step::GiveUp(index), &|next| {
                next.faults -= 1;
                next.slots[index].gave_up = true;
                if self.mutation == Mutation::SendAfterGivingUp {
                    next.slots[index].reported = Some(RunOutcome::NotRun);
                } else {
                    self.deliver(next, index, LedgerEvent::GaveUp);
                }
            });
        }
        if ledger.awaits_store() && self.mutation != Mutation::NoCleanUp {
            add(Step::CleanUp(index), &|next| {
                self.deliver(next, index, LedgerEvent::StoreReturned);
            });
        }
    }
}
