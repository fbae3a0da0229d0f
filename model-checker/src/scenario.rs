//! A scenario: an initial state shortly before a possible failure, from which an exploration starts.

use crate::cluster_state::ClusterState;

/// An initial state, and the depth up to which the tests explore from there.
#[derive(Clone, Copy)]
pub struct Scenario {
    /// Name of the scenario on the command line, and of its test.
    pub name: &'static str,
    /// What may go wrong in this scenario.
    pub hazard: &'static str,
    /// The exploration depth in the tests. It takes seconds, and is large enough to find a violation when a safety
    /// check is missing from the protocol.
    pub test_depth: usize,
    pub(crate) initial_state: fn() -> ClusterState,
}

impl Scenario {
    /// The initial state, with the fault budget of the scenario.
    pub fn initial_state(&self) -> ClusterState {
        (self.initial_state)()
    }

    /// The initial state with one more duplicate, crash, election time-out and leader tick in its budget.
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
