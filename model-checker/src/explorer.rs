//! Breadth-first exploration of all states that are reachable from an initial state.

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

/// Where an exploration ends.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The most transitions on one path.
    pub depth: usize,
    /// The most states: the exploration ends before a depth that would have more.
    pub states: usize,
}

/// What an exploration visited and found.
#[derive(Clone, Debug)]
pub struct Report {
    /// The scenario's name.
    pub scenario: &'static str,
    /// The number of distinct states, by their fingerprints.
    pub states: usize,
    /// The number of transitions between them.
    pub transitions: usize,
    /// The depth to which all states were visited.
    pub depth: usize,
    /// Whether the frontier was empty at the end.
    pub exhausted: bool,
    /// The first violation.
    pub violation: Option<Violation>,
    /// How long it took.
    pub elapsed: Duration,
}

/// A path to a state in which an invariant does not hold.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The invariant, and what contradicts it.
    pub cause: InvariantViolation,
    /// The initial state, the transitions, of which the last one violates the invariant, and the state before that.
    pub path: Vec<String>,
}

/// The transition by which a state was first reached.
#[derive(Clone, Copy)]
struct Predecessor {
    state: Fingerprint,
    /// The transition's position in [`ClusterState::transitions`] of the predecessor.
    transition: u16,
}

/// Visits all states from a scenario's initial state within the limits.
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
    /// Visited states; the initial one is its own predecessor.
    visited: HashMap<Fingerprint, Predecessor>,
    transitions: usize,
}

/// What lies one transition beyond a frontier.
enum Expansion {
    /// States that were not visited before.
    Frontier(Vec<ClusterState>),
    /// More states than the limit allows.
    StateLimitReached,
    /// A transition that violates an invariant, and the state that it starts from.
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

    /// The path from the initial state to a visited state and one transition further, a line each.
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
            state = next.expect("the transition violated nothing before");
        }
        path.push(state.describe(last_transition));
        path.push(state.to_string());
        path
    }

    /// The positions of the transitions between two states, the first one first.
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
