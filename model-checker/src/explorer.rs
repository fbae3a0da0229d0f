//! Breadth-first exploration of all states reachable from an initial state.

use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::cluster_state::ClusterState;
use crate::fingerprint::Fingerprint;
use crate::invariants::InvariantViolation;
use crate::scenario::Scenario;
use crate::transition::Transition;
use crate::transition_cache::TransitionCache;

/// Bounds of an exploration.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of transitions on a path.
    pub depth: usize,
    /// The maximum number of states. The exploration stops before it completes a depth that would exceed this number.
    pub states: usize,
}

/// The result of an exploration.
#[derive(Clone, Debug)]
pub struct Report {
    /// The name of the explored scenario.
    pub scenario: &'static str,
    /// The number of distinct states, counted by fingerprint.
    pub states: usize,
    /// The number of transitions applied, including those to states already visited.
    pub transitions: usize,
    /// The depth up to which all states were visited.
    pub depth: usize,
    /// Whether every reachable state was visited.
    pub exhausted: bool,
    /// The first violation found; `None` if all invariants held.
    pub violation: Option<Violation>,
    /// Wall-clock time of the exploration.
    pub elapsed: Duration,
}

/// A path to a state in which an invariant does not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated invariant and the observation that contradicts it.
    pub cause: InvariantViolation,
    /// One line each for the initial state, every transition up to the one that violates the invariant, and the state
    /// before that last transition.
    pub path: Vec<String>,
}

/// The transition by which a state was first reached.
#[derive(Clone, Copy)]
struct Predecessor {
    state: Fingerprint,
    /// Index into [`ClusterState::transitions`] of the predecessor.
    transition: u16,
}

/// Visits all states within the limits, starting from a scenario's initial state.
pub fn explore(scenario: &Scenario, initial_state: ClusterState, limits: Limits) -> Report {
    let started_at = Instant::now();
    let mut exploration = Exploration::from(&initial_state);
    let mut frontier = vec![initial_state.clone()];
    let mut violation = None;
    let mut depth = 0;
    while violation.is_none() && !frontier.is_empty() && depth < limits.depth {
        match exploration.expand(&frontier, limits.states) {
            Expansion::Frontier(next) => {
                frontier = next;
                depth += 1;
            }
            Expansion::StateLimitReached => break,
            Expansion::Violated { state, transition, cause } => {
                violation =
                    Some(Violation { cause, path: exploration.path(&initial_state, state, &transition) });
            }
        }
    }
    Report {
        scenario: scenario.name,
        states: exploration.visited.len(),
        transitions: exploration.transitions,
        depth,
        exhausted: frontier.is_empty(),
        violation,
        elapsed: started_at.elapsed(),
    }
}

struct Exploration {
    cache: TransitionCache,
    /// Visited states with their predecessors; the initial state is its own predecessor.
    visited: HashMap<Fingerprint, Predecessor>,
    transitions: usize,
}

/// The result of applying all transitions to a frontier.
enum Expansion {
    /// States that were not visited before.
    Frontier(Vec<ClusterState>),
    /// The state limit was reached before the frontier was fully expanded.
    StateLimitReached,
    /// A transition that violates an invariant, with the state to which it was applied.
    Violated { state: Fingerprint, transition: Transition, cause: InvariantViolation },
}

impl Exploration {
    fn from(initial_state: &ClusterState) -> Exploration {
        let state = initial_state.fingerprint();
        let visited = HashMap::from([(state, Predecessor { state, transition: 0 })]);
        Exploration { cache: TransitionCache::default(), visited, transitions: 0 }
    }

    fn expand(&mut self, frontier: &[ClusterState], max_states: usize) -> Expansion {
        let mut next_frontier = Vec::new();
        for state in frontier {
            let fingerprint = state.fingerprint();
            for (position, transition) in state.transitions().into_iter().enumerate() {
                let Some(result) = state.apply(&transition, &mut self.cache) else { continue };
                self.transitions += 1;
                let next = match result {
                    Ok(next) => next,
                    Err(cause) => return Expansion::Violated { state: fingerprint, transition, cause },
                };
                if self.visited.len() >= max_states {
                    return Expansion::StateLimitReached;
                }
                if let Entry::Vacant(entry) = self.visited.entry(next.fingerprint()) {
                    entry.insert(Predecessor { state: fingerprint, transition: position as u16 });
                    next_frontier.push(next);
                }
            }
        }
        Expansion::Frontier(next_frontier)
    }

    /// Describes the path from the initial state to a visited state and one further transition, one line per step.
    fn path(
        &mut self,
        initial_state: &ClusterState,
        last_state: Fingerprint,
        last_transition: &Transition,
    ) -> Vec<String> {
        let mut state = initial_state.clone();
        let mut path = vec![state.to_string()];
        for position in self.transitions_to(initial_state.fingerprint(), last_state) {
            let transition = state.transitions().swap_remove(usize::from(position));
            path.push(state.describe(&transition));
            let next = state.apply(&transition, &mut self.cache).expect("the transition was applied before");
            state = next.expect("the transition violated no invariant before");
        }
        path.push(state.describe(last_transition));
        path.push(state.to_string());
        path
    }

    /// The indices of the transitions from the initial state to another state, in path order.
    fn transitions_to(&self, initial_state: Fingerprint, last_state: Fingerprint) -> Vec<u16> {
        let mut positions = Vec::new();
        let mut state = last_state;
        while state != initial_state {
            let predecessor = self.visited[&state];
            positions.push(predecessor.transition);
            state = predecessor.state;
        }
        positions.reverse();
        positions
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.cause)?;
        self.path.iter().enumerate().try_for_each(|(number, line)| writeln!(formatter, "{number:3} {line}"))
    }
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {} states, {} transitions, depth {}{}, {:.1} s{}",
            self.scenario,
            self.states,
            self.transitions,
            self.depth,
            if self.exhausted { " (exhausted)" } else { "" },
            self.elapsed.as_secs_f64(),
            if self.violation.is_some() { ", violation one transition further" } else { "" },
        )
    }
}
