//! Model checker: breadth-first search over all reachable states, which finds the
//! shortest trace to a state that violates a property.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::rc::Rc;

/// Production state machines together with a model of their environment.
pub trait Model {
    /// State of the whole system.
    type State: Eq + Hash;
    /// One action of a node or of the environment.
    type Step: Copy + Debug;

    /// State before the first step.
    fn initial_state(&self) -> Self::State;
    /// Adds all successors of a state, each with the step that leads to it.
    fn successors(&self, state: &Self::State, successors: &mut Vec<(Self::Step, Self::State)>);
    /// Checks the properties; the error names the violated one.
    fn check(&self, state: &Self::State) -> Result<(), &'static str>;
}

/// Number of distinct states, or the trace to the violation of a property.
fn search<M: Model>(model: &M) -> Result<usize, String> {
    let start = Rc::new(model.initial_state());
    let mut seen = HashSet::from([Rc::clone(&start)]);
    let mut queue = vec![(start, 0, None)];
    let mut successors = Vec::new();
    let mut next = 0;
    while next < queue.len() {
        let state = Rc::clone(&queue[next].0);
        model.successors(&state, &mut successors);
        for (step, successor) in successors.drain(..) {
            let successor = Rc::new(successor);
            if !seen.insert(Rc::clone(&successor)) {
                continue;
            }
            let violated = model.check(&successor).err();
            queue.push((successor, next, Some(step)));
            if let Some(property) = violated {
                return Err(trace(&queue, property));
            }
        }
        next += 1;
    }
    Ok(queue.len())
}

/// Returns and prints the number of distinct states; panics if a property is violated.
pub fn count_states<M: Model>(name: &str, model: &M) -> usize {
    let states = search(model).unwrap_or_else(|trace| panic!("{name}: {trace}"));
    println!("{name}: {states} distinct states");
    states
}

fn trace<S, T: Debug>(queue: &[(S, usize, Option<T>)], property: &str) -> String {
    let mut steps = Vec::new();
    let mut index = queue.len() - 1;
    while let (_, parent, Some(step)) = &queue[index] {
        steps.push(format!("  {step:?}"));
        index = *parent;
    }
    steps.reverse();
    format!("{property}\n{}", steps.join("\n"))
}

/// Panics unless the search finds a violation of this property.
pub fn expect_violation<M: Model>(name: &str, model: &M, property: &str) {
    match search(model) {
        Ok(states) => panic!("{name}: no property violated in {states} states"),
        Err(trace) => {
            println!("{name}: {trace}");
            assert!(trace.starts_with(property), "{name}: {trace}");
        }
    }
}
