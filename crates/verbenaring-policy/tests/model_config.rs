//! Exhaustive check of amendments and configuration books; see
//! `docs/spec/config.md`.

mod checker;

use checker::{Model, count_states, expect_broken};
use verbenaring_policy::config::*;
use verbenaring_policy::id::ChangeId;

const KEY: &str = "config/contract/council";

const TWO_WINNERS: &str = "two amendments of one revision both reported success";
const FALSE_WRITTEN: &str = "a change was reported written that was not";
const FALSE_CONFLICT: &str = "a change was reported as lost that was written";
const REVERTED: &str = "the revision in force of a node decreased";
const UNREADABLE: &str = "an unreadable value is in force";

/// Safeguard that the environment disables.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// The store does not compare the revision.
    WriteWithoutCondition,
    /// The client takes any newer entry for its own.
    SettleWithoutChange,
    /// The client concludes from the newest entry alone.
    SettleWithoutTrace,
    /// The node replaces an entry by whatever arrives.
    MergeWithoutMaximum,
    /// The node puts values in force without reading them.
    MergeWithoutReading,
    /// No safeguard: asserts that the books never agree on the last entry.
    ExpectNoConvergence,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Call {
    None,
    Write,
    Read(Option<u64>),
    Answered(AmendmentEvent),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    amendment: Option<Amendment>,
    call: Call,
    report: Option<AmendmentReport>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    /// Every entry that the store has held, by revision.
    history: Vec<ConfigEntry>,
    /// Writes that the store has not applied yet, by operator.
    late: Vec<usize>,
    operators: Vec<Operator>,
    books: Vec<ConfigTable>,
    losses: u8,
    restarts: u8,
    broken: Option<&'static str>,
}

#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "the fields are read by the printed trace")]
enum Step {
    Amend(usize, u64),
    Apply(usize),
    AnswerRead(usize),
    Deliver(usize),
    LoseAnswer(usize),
    GiveUp(usize),
    Watch(usize, u64),
    Pull(usize),
    Restart(usize),
}

struct ConfigModel {
    operators: usize,
    nodes: usize,
    losses: u8,
    restarts: u8,
    flaw: Flaw,
}

fn change(operator: usize) -> ChangeId {
    ChangeId(uuid::Uuid::from_u128(operator as u128 + 1))
}

/// The second operator writes an unreadable value, the third deletes the key.
fn value(operator: usize) -> ConfigValue {
    match operator {
        0 => ConfigValue::Text("good".into()),
        1 => ConfigValue::Text("bad".into()),
        _ => ConfigValue::Deleted,
    }
}

fn read(_: &str, text: &str) -> Result<(), String> {
    (text != "bad").then_some(()).ok_or("bad".into())
}

impl ConfigModel {
    fn merge(&self, world: &mut World, node: usize, entry: &ConfigEntry) {
        let book = &mut world.books[node];
        let before = book.in_force(KEY).map(|entry| entry.revision);
        if self.flaw == Flaw::MergeWithoutMaximum {
            *book = ConfigTable::default();
        }
        if self.flaw == Flaw::MergeWithoutReading {
            book.merge(entry.clone(), &|_: &str, _: &str| Ok(()));
        } else {
            book.merge(entry.clone(), &read);
        }
        let after = book.in_force(KEY);
        if after.map(|entry| entry.revision) < before {
            world.broken = Some(REVERTED);
        } else if after.is_some_and(|entry| entry.value == value(1)) {
            world.broken = Some(UNREADABLE);
        }
    }

    fn apply(&self, world: &mut World, index: usize) {
        let operator = world.late.remove(index);
        let waiting = world.operators[operator].call == Call::Write;
        let amendment = world.operators[operator].amendment.as_ref().unwrap();
        let current = world.history.last();
        let revision = current.map_or(0, |entry| entry.revision);
        let holds = self.flaw == Flaw::WriteWithoutCondition || revision == amendment.expected;
        let answer = if holds {
            let entry = amendment.entry(revision + 1);
            world.history.push(entry);
            AmendmentEvent::Applied(revision + 1)
        } else {
            AmendmentEvent::Refused(self.seen(world, operator, None))
        };
        if waiting {
            world.operators[operator].call = Call::Answered(answer);
        }
    }

    /// Entry as the operator reads it, at a revision or now.
    fn seen(&self, world: &World, operator: usize, at: Option<u64>) -> Option<ConfigEntry> {
        let index = at.map_or(world.history.len(), |revision| revision as usize);
        let mut entry = world.history[..index].last()?.clone();
        let expected = world.operators[operator].amendment.as_ref()?.expected;
        if entry.revision > expected && self.flaw == Flaw::SettleWithoutChange {
            entry.change = change(operator);
        }
        if self.flaw == Flaw::SettleWithoutTrace {
            entry.base = expected;
        }
        Some(entry)
    }

    fn act(&self, world: &mut World, operator: usize, action: Option<AmendmentAction>) {
        let state = &mut world.operators[operator];
        match action {
            Some(AmendmentAction::Write) => {
                state.call = Call::Write;
                world.late.push(operator);
                world.late.sort();
            }
            Some(AmendmentAction::Read(at)) => state.call = Call::Read(at),
            Some(AmendmentAction::Report(report)) => {
                state.call = Call::None;
                state.report = Some(report);
            }
            None => {}
        }
    }

    fn event(&self, world: &mut World, operator: usize, event: AmendmentEvent) {
        world.operators[operator].call = Call::None;
        let amendment = world.operators[operator].amendment.as_mut().unwrap();
        let action = amendment.on(event);
        self.act(world, operator, action);
    }

    fn operator_steps(
        &self,
        world: &World,
        index: usize,
        add: &mut impl FnMut(Step, &dyn Fn(&mut World)),
    ) {
        let operator = &world.operators[index];
        if operator.amendment.is_none() {
            // The operator read the newest or an earlier state.
            for expected in 0..=world.history.len() as u64 {
                add(Step::Amend(index, expected), &|next| {
                    let start = Amendment::start(KEY, expected, change(index), value(index));
                    next.operators[index].amendment = Some(start.0);
                    self.act(next, index, Some(start.1));
                });
            }
            return;
        }
        if operator.report.is_some() {
            return;
        }
        if let Call::Read(at) = operator.call {
            let found = AmendmentEvent::Found(self.seen(world, index, at));
            add(Step::AnswerRead(index), &|next| {
                next.operators[index].call = Call::Answered(found.clone());
            });
        }
        if let Call::Answered(answer) = &operator.call {
            add(Step::Deliver(index), &|next| {
                self.event(next, index, answer.clone())
            });
        }
        if world.losses > 0 {
            add(Step::LoseAnswer(index), &|next| {
                next.losses -= 1;
                self.event(next, index, AmendmentEvent::Lost);
            });
            add(Step::GiveUp(index), &|next| {
                next.losses -= 1;
                self.event(next, index, AmendmentEvent::GaveUp);
            });
        }
    }

    fn check_reports(&self, world: &World) -> Result<(), &'static str> {
        let mut winners = Vec::new();
        for operator in &world.operators {
            let Some(amendment) = &operator.amendment else {
                continue;
            };
            let written = world
                .history
                .iter()
                .any(|entry| entry.change == amendment.change);
            match operator.report {
                Some(AmendmentReport::Written(_)) if !written => return Err(FALSE_WRITTEN),
                Some(AmendmentReport::Written(_)) if winners.contains(&amendment.expected) => {
                    return Err(TWO_WINNERS);
                }
                Some(AmendmentReport::Written(_)) => winners.push(amendment.expected),
                Some(AmendmentReport::Conflict(_)) if written => return Err(FALSE_CONFLICT),
                _ => {}
            }
        }
        Ok(())
    }
}

impl Model for ConfigModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        let operator = Operator {
            amendment: None,
            call: Call::None,
            report: None,
        };
        World {
            history: vec![],
            late: vec![],
            operators: vec![operator; self.operators],
            books: vec![ConfigTable::default(); self.nodes],
            losses: self.losses,
            restarts: self.restarts,
            broken: None,
        }
    }

    fn successors(&self, world: &World, into: &mut Vec<(Step, World)>) {
        let mut add = |step, change: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            change(&mut next);
            into.push((step, next));
        };
        for index in 0..world.operators.len() {
            self.operator_steps(world, index, &mut add);
        }
        for (index, &operator) in world.late.iter().enumerate() {
            add(Step::Apply(operator), &|next| self.apply(next, index));
        }
        for node in 0..self.nodes {
            // Watch messages may be repeated, reordered and left out.
            for entry in &world.history {
                add(Step::Watch(node, entry.revision), &|next| {
                    self.merge(next, node, entry)
                });
            }
            let peer = &world.books[(node + 1) % self.nodes];
            if let Some(request) = world.books[node].delta_request(peer.digest()) {
                add(Step::Pull(node), &|next| {
                    for entry in peer.delta(&request, 1).entries {
                        self.merge(next, node, &entry);
                    }
                });
            }
            if world.restarts > 0 {
                add(Step::Restart(node), &|next| {
                    next.restarts -= 1;
                    next.books[node] = ConfigTable::default();
                });
            }
        }
    }

    fn check(&self, world: &World) -> Result<(), &'static str> {
        let last = world.history.last();
        let agreed = |book: &ConfigTable| book.in_force(KEY) == last && last.is_some();
        if self.flaw == Flaw::ExpectNoConvergence && world.books.iter().all(agreed) {
            return Err("the books agreed");
        }
        world.broken.map_or(Ok(()), Err)?;
        self.check_reports(world)
    }
}

const OPERATORS: ConfigModel = ConfigModel {
    operators: 3,
    nodes: 0,
    losses: 2,
    restarts: 0,
    flaw: Flaw::None,
};
const NODES: ConfigModel = ConfigModel {
    nodes: 2,
    losses: 0,
    restarts: 1,
    ..OPERATORS
};

/// Guards against operators who are told falsely whose change was written.
#[test]
fn operators_are_told_the_truth() {
    count_states("config, 3 operators, 2 losses", &OPERATORS);
}

/// Guards against a node that reverts or puts an unreadable value in force.
#[test]
fn nodes_never_revert() {
    count_states("config, 3 operators, 2 nodes, 1 restart", &NODES);
}

/// Guards against a check that passes because it cannot see a fault.
#[test]
fn every_removed_safeguard_is_found() {
    let flaws = [
        (Flaw::WriteWithoutCondition, OPERATORS, TWO_WINNERS),
        (Flaw::SettleWithoutChange, OPERATORS, FALSE_WRITTEN),
        (Flaw::SettleWithoutTrace, OPERATORS, FALSE_CONFLICT),
        (Flaw::MergeWithoutMaximum, NODES, REVERTED),
        (Flaw::MergeWithoutReading, NODES, UNREADABLE),
        (Flaw::ExpectNoConvergence, NODES, "the books agreed"),
    ];
    for (flaw, model, property) in flaws {
        let model = ConfigModel { flaw, ..model };
        expect_broken(&format!("{flaw:?}"), &model, property);
    }
}
