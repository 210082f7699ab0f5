//! Breadth-first search over all reachable states, with the shortest trace to
//! a state that breaks a property.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::rc::Rc;

/// A system of production code and its environment.
pub trait Model {
    /// Complete state.
    type State: Eq + Hash;
    /// One action of a node or of the environment.
    type Step: Copy + Debug;

    /// State before the first step.
    fn start(&self) -> Self::State;
    /// Adds all successors of a state.
    fn successors(&self, state: &Self::State, into: &mut Vec<(Self::Step, Self::State)>);
    /// Checks the properties; the error names the broken one.
    fn check(&self, state: &Self::State) -> Result<(), &'static str>;
}

/// Number of distinct states, or the trace to a broken property.
fn search<M: Model>(model: &M) -> Result<usize, String> {
    let start = Rc::new(model.start());
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
            let broken = model.check(&successor).err();
            queue.push((successor, next, Some(step)));
            if let Some(property) = broken {
                return Err(trace(&queue, property));
            }
        }
        next += 1;
    }
    Ok(queue.len())
}

/// Number of distinct states of a model whose properties hold.
pub fn count_states<M: Model>(name: &str, model: &M) -> usize {
    let states = search(model).unwrap_or_else(|trace| panic!("{name}: {trace}"));
    println!("{name}: {states} distinct states");
    states
}

fn trace<S, T: Debug>(queue: &[(S, usize, Option<T>)], property: &str) -> String {
    let mut steps = Vec::new();
    let mut at = queue.len() - 1;
    while let (_, parent, Some(step)) = &queue[at] {
        steps.push(format!("  {step:?}"));
        at = *parent;
    }
    steps.reverse();
    format!("{property}\n{}", steps.join("\n"))
}

/// Fails unless the search of a flawed model ends in this broken property.
pub fn expect_broken<M: Model>(name: &str, model: &M, property: &str) {
    match search(model) {
        Ok(states) => panic!("{name}: no property broken in {states} states"),
        Err(trace) => {
            println!("{name}: {trace}");
            assert!(trace.starts_with(property), "{name}: {trace}");
        }
    }
}
