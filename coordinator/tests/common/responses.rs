//! Finds responses and logged state changes among the actions of a coordinator.

use shaletrail_coordinator::interface::{Action, CallId, StateChange};
use shaletrail_protocol::internal::{OperatorResponse, PollResponse};

/// Returns the response to a call of the operator, if there is one.
pub fn operator_response(actions: &[Action], call: CallId) -> Option<&OperatorResponse> {
    actions.iter().find_map(|action| match action {
        Action::RespondToOperator { call: answered, response } if *answered == call => Some(response),
        _ => None,
    })
}

/// Returns the response to a poll, if there is one.
pub fn poll_response(actions: &[Action], call: CallId) -> Option<&PollResponse> {
    actions.iter().find_map(|action| match action {
        Action::RespondToPoll { call: answered, response } if *answered == call => Some(&**response),
        _ => None,
    })
}

/// Returns whether a call of a server was acknowledged; `None` if it is not answered yet.
pub fn server_response(actions: &[Action], call: CallId) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        Action::RespondToServer { call: answered, accepted } if *answered == call => Some(*accepted),
        _ => None,
    })
}

/// Returns the records of the first checkpoint, if one was written.
pub fn checkpoint(actions: &[Action]) -> Option<Vec<(u32, Vec<u8>)>> {
    actions.iter().find_map(|action| match action {
        Action::Checkpoint { live } => Some(live.clone()),
        _ => None,
    })
}

/// Returns whether a state change that satisfies the predicate was logged.
pub fn has_logged(actions: &[Action], predicate: impl Fn(&StateChange) -> bool) -> bool {
    actions.iter().any(|action| matches!(action, Action::LogStateChange(change) if predicate(change)))
}

/// Returns whether a call of the operator has succeeded.
pub fn is_done(response: Option<&OperatorResponse>) -> bool {
    matches!(response, Some(OperatorResponse::Done { .. }))
}
