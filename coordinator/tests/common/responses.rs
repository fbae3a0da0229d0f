//! What a coordinator has answered and logged, among its actions.

use shaletrail_coordinator::interface::{Action, CallId, StateChange};
use shaletrail_protocol::internal::{OperatorResponse, PollResponse};

/// The response to an operator's call, if there is one.
pub fn operator_response(actions: &[Action], call: CallId) -> Option<&OperatorResponse> {
    actions.iter().find_map(|action| match action {
        Action::RespondToOperator { call: answered, response } if *answered == call => Some(response),
        _ => None,
    })
}

/// The response to a poll, if there is one.
pub fn poll_response(actions: &[Action], call: CallId) -> Option<&PollResponse> {
    actions.iter().find_map(|action| match action {
        Action::RespondToPoll { call: answered, response } if *answered == call => Some(&**response),
        _ => None,
    })
}

/// Whether a server's call was acknowledged, if it is answered.
pub fn server_response(actions: &[Action], call: CallId) -> Option<bool> {
    actions.iter().find_map(|action| match action {
        Action::RespondToServer { call: answered, accepted } if *answered == call => Some(*accepted),
        _ => None,
    })
}

/// The records of the first checkpoint, if one was written.
pub fn checkpoint(actions: &[Action]) -> Option<Vec<(u32, Vec<u8>)>> {
    actions.iter().find_map(|action| match action {
        Action::Checkpoint { live } => Some(live.clone()),
        _ => None,
    })
}

/// Whether a state change that satisfies the predicate was logged.
pub fn has_logged(actions: &[Action], predicate: impl Fn(&StateChange) -> bool) -> bool {
    actions.iter().any(|action| matches!(action, Action::LogStateChange(change) if predicate(change)))
}

/// Whether an operator's call has succeeded.
pub fn is_done(response: Option<&OperatorResponse>) -> bool {
    matches!(response, Some(OperatorResponse::Done { .. }))
}
