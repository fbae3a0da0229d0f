//! The operator's calls: each is brought to the leader of the configuration's shard, and answered by what was agreed.

mod table;

use shaletrail_configuration::{Change, ChangeOutcome};
use shaletrail_consensus::Replica;
use shaletrail_protocol::internal::{CoordinatorMessage, OperatorCall, OperatorResponse};
use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;
use crate::interface::Action;

pub use table::{Caller, OperatorCalls, Pending, Stage, Ticket};

impl Coordinator {
    pub(super) fn operate(
        &mut self,
        now: Millis,
        caller: Caller,
        call: OperatorCall,
        actions: &mut Vec<Action>,
    ) {
        if let OperatorCall::Change { replace: whole, base_version: base, body } = &call {
            if let Err(invalid) = Change::parse(*whole, *base, body) {
                let answer = OperatorResponse::Invalid { reason: invalid.to_string() };
                return answer_caller(caller, answer, actions);
            }
        }
        if self.operator_calls.add(now, caller, call).is_none() {
            answer_caller(caller, OperatorResponse::Unavailable, actions);
        }
    }

    /// Brings calls that wait to the leader of the configuration's shard.
    pub(super) fn advance_calls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let leader = self.shards.configuration_replica().leader();
        self.operator_calls.start_over(|stage| match stage {
            Stage::Forwarded(node) => leader.is_some_and(|leader| leader != node),
            _ => false,
        });
        for ticket in self.operator_calls.find(|pending| pending.stage == Stage::Waiting) {
            let Some(pending) = self.operator_calls.get_mut(ticket) else { continue };
            let replica = self.shards.configuration_replica();
            if replica.is_leader() {
                if let Some(stage) = begin(replica, now, ticket, &pending.call) {
                    pending.stage = stage;
                }
            } else if let (Some(leader), Caller::Here(_)) = (leader, pending.caller) {
                let forward =
                    CoordinatorMessage::ForwardRequest { call_id: ticket.0, call: pending.call.clone() };
                actions.push(Action::Send { to: leader, message: forward });
                pending.stage = Stage::Forwarded(leader);
            }
        }
        for ticket in self.operator_calls.find(|pending| pending.until <= now) {
            self.end_call(ticket, OperatorResponse::Unavailable, actions);
        }
    }

    pub(super) fn forwarded(
        &mut self,
        from: NodeId,
        ticket: Ticket,
        answer: OperatorResponse,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.operator_calls.get_mut(ticket) else { return };
        if pending.stage != Stage::Forwarded(from) {
            return;
        }
        self.end_call(ticket, answer, actions);
    }

    pub(super) fn judged(
        &mut self,
        index: u64,
        term: u64,
        judgement: ChangeOutcome,
        actions: &mut Vec<Action>,
    ) {
        for ticket in self.operator_calls.decided(index, term) {
            let Some(pending) = self.operator_calls.get_mut(ticket) else { continue };
            let answer = answer_of(&judgement, &pending.call);
            self.end_call(ticket, answer, actions);
        }
    }

    pub(super) fn read_done(&mut self, token: u64, confirmed: bool, actions: &mut Vec<Action>) {
        let ticket = Ticket(token);
        if confirmed {
            let body = self.shards.configuration().read();
            self.end_call(ticket, OperatorResponse::Done { body }, actions);
        } else if let Some(pending) = self.operator_calls.get_mut(ticket) {
            pending.stage = Stage::Waiting;
        }
    }

    fn end_call(&mut self, ticket: Ticket, answer: OperatorResponse, actions: &mut Vec<Action>) {
        if let Some(pending) = self.operator_calls.remove(ticket) {
            answer_caller(pending.caller, answer, actions);
        }
    }
}

/// Starts a call at the leader; `None` if it must wait.
fn begin(replica: &mut Replica, now: Millis, ticket: Ticket, call: &OperatorCall) -> Option<Stage> {
    match call {
        OperatorCall::Read => replica.read(now, ticket.0).ok().map(|()| Stage::Reading),
        OperatorCall::Change { replace: whole, base_version: base, body } => {
            let change = Change::parse(*whole, *base, body).ok()?;
            let term = replica.term();
            let index = replica.propose(now, change.encode()).ok()?;
            Some(Stage::Proposed { index, term })
        }
    }
}

/// What a judgement tells the operator. A refusal must be final, as the same call may still be on its way to another
/// node: one that builds on an older version can never be taken, but one that builds on a version that is yet to
/// come can, so it gets no clear answer.
fn answer_of(judgement: &ChangeOutcome, call: &OperatorCall) -> OperatorResponse {
    let builds_after =
        |version: u64| matches!(call, OperatorCall::Change { base_version: base, .. } if *base > version);
    match judgement {
        ChangeOutcome::Accepted | ChangeOutcome::Duplicate => OperatorResponse::Done { body: b"{}".to_vec() },
        ChangeOutcome::Expired => OperatorResponse::Unavailable,
        ChangeOutcome::Conflict { current } if builds_after(*current) => OperatorResponse::Unavailable,
        ChangeOutcome::Conflict { current } => OperatorResponse::Conflict { current_version: *current },
        ChangeOutcome::Invalid(invalid) => OperatorResponse::Invalid { reason: invalid.to_string() },
    }
}

fn answer_caller(caller: Caller, answer: OperatorResponse, actions: &mut Vec<Action>) {
    match caller {
        Caller::Here(call) => actions.push(Action::RespondToOperator { call, response: answer }),
        Caller::Node { node, call } => actions.push(Action::Send {
            to: node,
            message: CoordinatorMessage::ForwardResponse { call_id: call, response: answer },
        }),
    }
}
