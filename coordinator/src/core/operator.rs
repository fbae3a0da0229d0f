//! Calls of the operator. Each is submitted to the leader of the configuration's shard and answered from its committed
//! log.

mod pending_calls;

use shaletrail_configuration::{Change, ChangeId, ChangeKind, ChangeOutcome, InvalidConfig};
use shaletrail_consensus::Replica;
use shaletrail_protocol::internal::{CoordinatorMessage, OperatorCall, OperatorResponse};
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::Action;

pub use pending_calls::{CallOrigin, CallStage, PendingCall, PendingCallId, PendingCalls};

impl Coordinator {
    /// Handles a call that the operator has sent to this node, or that a peer has forwarded.
    pub(super) fn on_operator_call(
        &mut self,
        now: Millis,
        origin: CallOrigin,
        call: OperatorCall,
        actions: &mut Vec<Action>,
    ) {
        let change = match identify(origin, &call) {
            Ok(change) => change,
            Err(invalid) => {
                let response = OperatorResponse::Invalid { reason: invalid.to_string() };
                return respond(origin, response, actions);
            }
        };
        if self.operator_calls.add(now, origin, call, change).is_none() {
            respond(origin, OperatorResponse::Unavailable, actions);
        }
    }

    /// Submits calls that wait for a leader, and answers calls that have timed out.
    pub(super) fn advance_operator_calls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let leader = self.shards.configuration_replica().leader();
        self.operator_calls.restart(|stage| match stage {
            CallStage::Forwarded(node) => leader.is_some_and(|leader| leader != node),
            _ => false,
        });
        for id in self.operator_calls.find(|pending| pending.stage == CallStage::WaitingForLeader) {
            self.submit_to_leader(now, id, leader, actions);
        }
        for id in self.operator_calls.find(|pending| pending.deadline <= now) {
            self.complete_call(id, OperatorResponse::Unavailable, actions);
        }
    }

    fn submit_to_leader(
        &mut self,
        now: Millis,
        id: PendingCallId,
        leader: Option<NodeId>,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.operator_calls.get_mut(id) else { return };
        let is_final =
            pending.change.is_some_and(|change| self.shards.configuration().final_outcome(change).is_some());
        let replica = self.shards.configuration_replica();
        if replica.is_leader() {
            let started = match &pending.call {
                OperatorCall::Change { replace, base_version, body } if !is_final => {
                    propose(replica, now, *replace, *base_version, body)
                }
                _ => start_read(replica, now, id),
            };
            pending.stage = started.unwrap_or(pending.stage);
        } else if let (Some(leader), CallOrigin::Local(_)) = (leader, pending.origin) {
            let request = CoordinatorMessage::ForwardRequest { call_id: id.0, call: pending.call.clone() };
            actions.push(Action::Send { to: leader, message: request });
            pending.stage = CallStage::Forwarded(leader);
        }
    }

    /// Handles a peer's response to a forwarded call. It is ignored unless it comes from the node that the call was
    /// last forwarded to.
    pub(super) fn on_forward_response(
        &mut self,
        from: NodeId,
        id: PendingCallId,
        response: OperatorResponse,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.operator_calls.get_mut(id) else { return };
        if pending.stage != CallStage::Forwarded(from) {
            return;
        }
        self.complete_call(id, response, actions);
    }

    /// Answers the calls whose change was applied as the log entry with this index and term.
    pub(super) fn on_change_applied(
        &mut self,
        index: u64,
        term: u64,
        outcome: &ChangeOutcome,
        actions: &mut Vec<Action>,
    ) {
        for id in self.operator_calls.resolve_proposals(index, term) {
            let Some(pending) = self.operator_calls.get_mut(id) else { continue };
            let Some(change) = pending.change else { continue };
            let response = response_to(outcome, change.base_version());
            self.complete_call(id, response, actions);
        }
    }

    /// Answers a read, or a change whose outcome is final, after a quorum has confirmed that this node was still the
    /// leader when the call arrived.
    pub(super) fn on_read_ready(&mut self, token: u64, actions: &mut Vec<Action>) {
        let id = PendingCallId(token);
        let Some(pending) = self.operator_calls.get_mut(id) else { return };
        let configuration = self.shards.configuration();
        let response = match pending.change {
            None => OperatorResponse::Done { body: configuration.read() },
            Some(change) => match configuration.final_outcome(change) {
                Some(outcome) => response_to(&outcome, change.base_version()),
                None => OperatorResponse::Unavailable,
            },
        };
        self.complete_call(id, response, actions);
    }

    /// Handles a read that this node cannot answer: it waits for the next leader.
    pub(super) fn on_read_failed(&mut self, token: u64) {
        if let Some(pending) = self.operator_calls.get_mut(PendingCallId(token)) {
            pending.stage = CallStage::WaitingForLeader;
        }
    }

    fn complete_call(&mut self, id: PendingCallId, response: OperatorResponse, actions: &mut Vec<Action>) {
        if let Some(pending) = self.operator_calls.remove(id) {
            respond(pending.origin, response, actions);
        }
    }
}

/// Returns the identity of a change, or `None` for a read. The body of a change is parsed at the node that the operator
/// has called, but not again where a peer has forwarded it: parsing takes long enough to delay a leader's heartbeats.
///
/// # Errors
/// The body is invalid regardless of the current configuration.
fn identify(origin: CallOrigin, call: &OperatorCall) -> Result<Option<ChangeId>, InvalidConfig> {
    let OperatorCall::Change { replace, base_version, body } = call else { return Ok(None) };
    let kind = ChangeKind::from_replace_flag(*replace);
    let change = match origin {
        CallOrigin::Local(_) => Change::parse(kind, *base_version, body)?.id(),
        CallOrigin::Peer { .. } => ChangeId::of(kind, *base_version, body),
    };
    Ok(Some(change))
}

/// Starts a read at the leader; `None` if the replica does not accept it at this time. A change whose outcome is final is
/// answered like a read: an entry in the log would only delay the entries of other changes.
fn start_read(replica: &mut Replica, now: Millis, id: PendingCallId) -> Option<CallStage> {
    replica.read(now, id.0).ok().map(|()| CallStage::Reading)
}

/// Proposes a change at the leader; `None` if the replica does not accept it at this time.
fn propose(
    replica: &mut Replica,
    now: Millis,
    replace: bool,
    base_version: u64,
    body: &[u8],
) -> Option<CallStage> {
    // Checked first: while the log is full, every event would encode the large bodies of all waiting calls.
    replica.check_proposal(now, body.len()).ok()?;
    let command = Change::encode_call(ChangeKind::from_replace_flag(replace), base_version, body)?;
    let term = replica.term();
    let index = replica.propose(now, command).ok()?;
    Some(CallStage::Proposed { index, term })
}

/// Returns the response to a change with this outcome. A conflict is only reported if it is final, as another copy of
/// the same call may still be in flight to another node: a change based on an older version can never be accepted, but
/// one based on a future version can, so it is answered `Unavailable`.
fn response_to(outcome: &ChangeOutcome, base_version: u64) -> OperatorResponse {
    match outcome {
        ChangeOutcome::Accepted | ChangeOutcome::Duplicate => OperatorResponse::Done { body: b"{}".to_vec() },
        ChangeOutcome::Expired => OperatorResponse::Unavailable,
        ChangeOutcome::Conflict { current } if base_version > *current => OperatorResponse::Unavailable,
        ChangeOutcome::Conflict { current } => OperatorResponse::Conflict { current_version: *current },
        ChangeOutcome::Invalid(invalid) => OperatorResponse::Invalid { reason: invalid.to_string() },
    }
}

fn respond(origin: CallOrigin, response: OperatorResponse, actions: &mut Vec<Action>) {
    match origin {
        CallOrigin::Local(call) => actions.push(Action::RespondToOperator { call, response }),
        CallOrigin::Peer { node, call } => actions.push(Action::Send {
            to: node,
            message: CoordinatorMessage::ForwardResponse { call_id: call, response },
        }),
    }
}
