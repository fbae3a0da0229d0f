//! The state machines that the committed entries of shards are applied to.

use shaletrail_configuration::ConfigState;

use super::CONFIGURATION;
use crate::core::lease_state::LeaseState;

/// The state machine of a shard.
pub(super) enum StateMachine {
    Configuration(Box<ConfigState>),
    Service(LeaseState),
}

impl StateMachine {
    /// Creates the state machine of a shard in its initial state.
    pub fn new(shard: u32) -> Self {
        match shard {
            CONFIGURATION => StateMachine::Configuration(Box::default()),
            _ => StateMachine::Service(LeaseState::default()),
        }
    }

    /// Encodes the state, for [`StateMachine::restore`].
    pub fn snapshot(&self) -> Vec<u8> {
        match self {
            StateMachine::Configuration(state) => state.snapshot(),
            StateMachine::Service(state) => state.snapshot(),
        }
    }

    /// Replaces the state with an encoded one. Returns `false` and keeps the state if the bytes cannot be decoded.
    pub fn restore(&mut self, bytes: &[u8]) -> bool {
        match self {
            StateMachine::Configuration(state) => match ConfigState::restore(bytes) {
                Ok(restored) => **state = restored,
                Err(_) => return false,
            },
            StateMachine::Service(state) => match LeaseState::restore(bytes) {
                Some(restored) => *state = restored,
                None => return false,
            },
        }
        true
    }
}
