//! The replicated state machine of a node.

use shaletrail_configuration::{ChangeOutcome, ConfigState};
use shaletrail_coordinator::core::lease_state::{LeaseEpoch, LeaseState};

use crate::config_changes::{self, ChangeId};
use crate::group_options::StateMachineKind;

/// The production state machine of a shard.
#[derive(Clone, Debug)]
pub(crate) enum StateMachine {
    /// The configuration, which operators change.
    Configuration(Box<ConfigState>),
    /// The order lease of a service shard.
    OrderLease(LeaseState),
}

/// The result of applying a command.
pub(crate) enum CommandResult {
    /// A change was evaluated.
    Change(ChangeId, ChangeOutcome),
    /// A new epoch of the order lease began.
    LeaseEpoch(LeaseEpoch),
    /// The command requires no action of the caller.
    Nothing,
}

impl StateMachine {
    /// A state machine in its initial state.
    pub fn new(kind: StateMachineKind) -> Self {
        match kind {
            StateMachineKind::Configuration => StateMachine::Configuration(Box::default()),
            StateMachineKind::OrderLease => StateMachine::OrderLease(LeaseState::default()),
        }
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &[u8]) -> CommandResult {
        match self {
            StateMachine::Configuration(state) => {
                let outcome = state.apply(command);
                config_changes::find(command)
                    .map_or(CommandResult::Nothing, |change| CommandResult::Change(change, outcome))
            }
            StateMachine::OrderLease(state) => {
                state.apply(command).map_or(CommandResult::Nothing, CommandResult::LeaseEpoch)
            }
        }
    }

    /// The encoded state, as stored in a snapshot.
    pub fn snapshot(&self) -> Vec<u8> {
        match self {
            StateMachine::Configuration(state) => state.snapshot(),
            StateMachine::OrderLease(state) => state.snapshot(),
        }
    }

    /// Replaces the state with that of a snapshot.
    pub fn restore(&mut self, snapshot: &[u8]) {
        match self {
            StateMachine::Configuration(state) => {
                **state = ConfigState::restore(snapshot).expect("own snapshots decode");
            }
            StateMachine::OrderLease(state) => {
                *state = LeaseState::restore(snapshot).expect("own snapshots decode");
            }
        }
    }
}
