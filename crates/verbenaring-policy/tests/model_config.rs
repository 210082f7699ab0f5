//! Exhaustive check of amendments and configuration tables; see
//! `docs/spec/config.md`.

mod checker;

use checker::{Model, count_states, expect_violation};
use verbenaring_policy::config::*;
use verbenaring_policy::id::ChangeId;

const KEY: &str = "config/contract/council";

const TWO_WINNERS: &str = "two amendments of one revision both reported success";
const FALSE_WRITTEN: &str = "a change was reported as written that was not";
const FALSE_CONFLICT: &str = "a change was reported as lost that was written";
const REVERTED: &str = "the revision in force of a node decreased";
const INVALID_IN_FORCE: &str = "an invalid value is in force";

/// Safeguard that the model disables, to show that the checker detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mutation {
    None,
    /// The store does not compare the revision.
    WriteWithoutCondition,
    /// The client mistakes any newer entry for its own change.
    ResolveWithoutChange,
    /// The client decides by the newest entry alone.
    ResolveWithoutTrace,
    /// The node replaces an entry by any that arrives.
    MergeWithoutMaximum,
    /// The node puts values in force without validating them.
    MergeWithoutValidation,
    /// Disables nothing: asserts that the tables never agree on the last entry, to show
    /// that the model reaches such a state.
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
struct SystemState {
    /// Every entry that the store has held, in the order of revisions from 1.
    history: Vec<ConfigEntry>,
    /// Operators whose writes the store has not applied yet, once per write.
    pending_writes: Vec<usize>,
    operators: Vec<Operator>,
    tables: Vec<ConfigTable>,
    losses: u8,
    restarts: u8,
    violated: Option<&'static str>,
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
    mutation: Mutation,
}

fn change(operator: usize) -> ChangeId {
    ChangeId(uuid::Uuid::from_u128(operator as u128 + 1))
}

/// The second operator writes an invalid value, the third deletes the key.
fn value(operator: usize) -> ConfigValue {
    match operator {
        0 => ConfigValue::Text("good".into()),
        1 => ConfigValue::Text("bad".into()),
        _ => ConfigValue::Deleted,
    }
}

fn validate(_: &str, text: &str) -> Result<(), String> {
    (text != "bad").then_some(()).ok_or("bad".into())
}

impl ConfigModel {
    fn merge(&self, state: &mut SystemState, node: usize, entry: &ConfigEntry) {
        let table = &mut state.tables[node];
        let before = table.in_force(KEY).map(|entry| entry.revision);
        if self.mutation == Mutation::MergeWithoutMaximum {
            *table = ConfigTable::default();
        }
        if self.mutation == Mutation::MergeWithoutValidation {
            table.merge(entry.clone(), &|_: &str, _: &str| Ok(()));
        } else {
            table.merge(entry.clone(), &validate);
        }
        let after = table.in_force(KEY);
        if after.map(|entry| entry.revision) < before {
            state.violated = Some(REVERTED);
        } else if after.is_some_and(|entry| entry.value == value(1)) {
            state.violated = Some(INVALID_IN_FORCE);
        }
    }

    fn apply(&self, state: &mut SystemState, index: usize) {
        let operator = state.pending_writes.remove(index);
        let waiting = state.operators[operator].call == Call::Write;
        let amendment = state.operators[operator].amendment.as_ref().unwrap();
        let current = state.history.last();
        let revision = current.map_or(0, |entry| entry.revision);
        let holds =
            self.mutation == Mutation::WriteWithoutCondition || revision == amendment.expected;
        let answer = if holds {
            let entry = amendment.entry(revision + 1);
            state.history.push(entry);
            AmendmentEvent::Applied(revision + 1)
        } else {
            AmendmentEvent::Refused(self.visible_entry(state, operator, None))
        };
        if waiting {
            state.operators[operator].call = Call::Answered(answer);
        }
    }

    /// Entry that the operator reads, at a revision or, if `None`, now.
    fn visible_entry(
        &self,
        state: &SystemState,
        operator: usize,
        at: Option<u64>,
    ) -> Option<ConfigEntry> {
        let index = at.map_or(state.history.len(), |revision| revision as usize);
        let mut entry = state.history[..index].last()?.clone();
        let expected = state.operators[operator].amendment.as_ref()?.expected;
        if entry.revision > expected && self.mutation == Mutation::ResolveWithoutChange {
            entry.change = change(operator);
        }
        if self.mutation == Mutation::ResolveWithoutTrace {
            entry.base = expected;
        }
        Some(entry)
    }

    fn perform(&self, state: &mut SystemState, operator: usize, action: Option<AmendmentAction>) {
        let operator_state = &mut state.operators[operator];
        match action {
            Some(AmendmentAction::Write) => {
                operator_state.call = Call::Write;
                state.pending_writes.push(operator);
                state.pending_writes.sort();
            }
            Some(AmendmentAction::Read(at)) => operator_state.call = Call::Read(at),
            Some(AmendmentAction::Report(report)) => {
                operator_state.call = Call::None;
                operator_state.report = Some(report);
            }
            None => {}
        }
    }

    fn deliver(&self, state: &mut SystemState, operator: usize, event: AmendmentEvent) {
        state.operators[operator].call = Call::None;
        let amendment = state.operators[operator].amendment.as_mut().unwrap();
        let action = amendment.on(event);
        self.perform(state, operator, action);
    }

    fn operator_steps(
        &self,
        state: &SystemState,
        index: usize,
        add: &mut impl FnMut(Step, &dyn Fn(&mut SystemState)),
    ) {
        let operator = &state.operators[index];
        if operator.amendment.is_none() {
            // The operator may have read the newest or any earlier state.
            for expected in 0..=state.history.len() as u64 {
                add(Step::Amend(index, expected), &|next| {
                    let start = Amendment::start(KEY, expected, change(index), value(index));
                    next.operators[index].amendment = Some(start.0);
                    self.perform(next, index, Some(start.1));
                });
            }
            return;
        }
        if operator.report.is_some() {
            return;
        }
        if let Call::Read(at) = operator.call {
            let found = AmendmentEvent::Found(self.visible_entry(state, index, at));
            add(Step::AnswerRead(index), &|next| {
                next.operators[index].call = Call::Answered(found.clone());
            });
        }
        if let Call::Answered(answer) = &operator.call {
            add(Step::Deliver(index), &|next| {
                self.deliver(next, index, answer.clone())
            });
        }
        if state.losses > 0 {
            add(Step::LoseAnswer(index), &|next| {
                next.losses -= 1;
                self.deliver(next, index, AmendmentEvent::Lost);
            });
            add(Step::GiveUp(index), &|next| {
                next.losses -= 1;
                self.deliver(next, index, AmendmentEvent::GaveUp);
            });
        }
    }

    fn check_reports(&self, state: &SystemState) -> Result<(), &'static str> {
        let mut winners = Vec::new();
        for operator in &state.operators {
            let Some(amendment) = &operator.amendment else {
                continue;
            };
            let written = state
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
    type State = SystemState;
    type Step = Step;

    fn initial_state(&self) -> SystemState {
        let operator = Operator {
            amendment: None,
            call: Call::None,
            report: None,
        };
        SystemState {
            history: vec![],
            pending_writes: vec![],
            operators: vec![operator; self.operators],
            tables: vec![ConfigTable::default(); self.nodes],
            losses: self.losses,
            restarts: self.restarts,
            violated: None,
        }
    }

    fn successors(&self, state: &SystemState, successors: &mut Vec<(Step, SystemState)>) {
        let mut add = |step, change: &dyn Fn(&mut SystemState)| {
            let mut next = state.clone();
            change(&mut next);
            successors.push((step, next));
        };
        for index in 0..state.operators.len() {
            self.operator_steps(state, index, &mut add);
        }
        for (index, &operator) in state.pending_writes.iter().enumerate() {
            add(Step::Apply(operator), &|next| self.apply(next, index));
        }
        for node in 0..self.nodes {
            // Watch messages may be repeated, reordered and left out.
            for entry in &state.history {
                add(Step::Watch(node, entry.revision), &|next| {
                    self.merge(next, node, entry)
                });
            }
            let peer = &state.tables[(node + 1) % self.nodes];
            if let Some(request) = state.tables[node].delta_request(peer.digest()) {
                add(Step::Pull(node), &|next| {
                    for entry in peer.delta(&request, 1).entries {
                        self.merge(next, node, &entry);
                    }
                });
            }
            if state.restarts > 0 {
                add(Step::Restart(node), &|next| {
                    next.restarts -= 1;
                    next.tables[node] = ConfigTable::default();
                });
            }
        }
    }

    fn check(&self, state: &SystemState) -> Result<(), &'static str> {
        let last = state.history.last();
        let agreed = |table: &ConfigTable| table.in_force(KEY) == last && last.is_some();
        if self.mutation == Mutation::ExpectNoConvergence && state.tables.iter().all(agreed) {
            return Err("the tables agreed");
        }
        state.violated.map_or(Ok(()), Err)?;
        self.check_reports(state)
    }
}

const OPERATORS: ConfigModel = ConfigModel {
    operators: 3,
    nodes: 0,
    losses: 2,
    restarts: 0,
    mutation: Mutation::None,
};
const NODES: ConfigModel = ConfigModel {
    nodes: 2,
    losses: 0,
    restarts: 1,
    ..OPERATORS
};

/// Guards against operators who get a false report on whose change was written.
#[test]
fn operators_get_correct_reports() {
    count_states("config, 3 operators, 2 losses", &OPERATORS);
}

/// Guards against a node that goes back to an older entry or puts an invalid value in force.
#[test]
fn nodes_never_revert() {
    count_states("config, 3 operators, 2 nodes, 1 restart", &NODES);
}

/// Guards against a model that cannot detect a fault: the check must fail for each
/// disabled safeguard.
#[test]
fn every_disabled_safeguard_is_detected() {
    let mutations = [
        (Mutation::WriteWithoutCondition, OPERATORS, TWO_WINNERS),
        (Mutation::ResolveWithoutChange, OPERATORS, FALSE_WRITTEN),
        (Mutation::ResolveWithoutTrace, OPERATORS, FALSE_CONFLICT),
        (Mutation::MergeWithoutMaximum, NODES, REVERTED),
        (Mutation::MergeWithoutValidation, NODES, INVALID_IN_FORCE),
        (Mutation::ExpectNoConvergence, NODES, "the tables agreed"),
    ];
    for (mutation, model, property) in mutations {
        let model = ConfigModel { mutation, ..model };
        expect_violation(&format!("{mutation:?}"), &model, property);
    }
}
