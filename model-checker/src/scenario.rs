//! A scenario: an initial state close to a danger, from which an exploration starts.

use crate::cluster_state::ClusterState;

/// An initial state, and the depth to which the tests explore from there.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Names the scenario on the command line, and its test.
    pub name: &'static str,
    /// What may go wrong.
    pub danger: &'static str,
    /// The depth of the tests: small enough for seconds, and large enough to find a violation where a guard is missing.
    pub test_depth: usize,
    pub(crate) initial_state: fn() -> ClusterState,
}

impl Scenario {
    /// The initial state, with the budget of faults that belongs to the danger.
    pub fn initial_state(&self) -> ClusterState {
        (self.initial_state)()
    }

    /// The initial state with one more duplicate, crash, election time-out and leader's tick in its budget.
    pub fn initial_state_with_more_faults(&self) -> ClusterState {
        let mut state = self.initial_state();
        let budget = &mut state.budget;
        budget.duplicates += 1;
        budget.crashes += 1;
        budget.election_timeouts += 1;
        budget.leader_ticks += 1;
        state
    }
}
