//! Calls that wait for a response of the state machine.

use std::collections::HashMap;

use shaletrail_protocol::internal::{OperatorResponse, PollResponse};
use tokio::sync::oneshot::{channel, Receiver, Sender};

use crate::interface::CallId;

/// The pending calls, by id.
#[derive(Default)]
pub(super) struct PendingCalls {
    next_id: u64,
    calls: HashMap<CallId, PendingCall>,
}

/// The sender of a call's response. If the caller has stopped waiting, sending has no effect.
enum PendingCall {
    Server(Sender<bool>),
    Operator(Sender<OperatorResponse>),
    Poll(Sender<Box<PollResponse>>),
}

impl PendingCalls {
    pub(super) fn add_server_call(&mut self) -> (CallId, Receiver<bool>) {
        let (sender, receiver) = channel();
        (self.add(PendingCall::Server(sender)), receiver)
    }

    pub(super) fn add_operator_call(&mut self) -> (CallId, Receiver<OperatorResponse>) {
        let (sender, receiver) = channel();
        (self.add(PendingCall::Operator(sender)), receiver)
    }

    pub(super) fn add_poll(&mut self) -> (CallId, Receiver<Box<PollResponse>>) {
        let (sender, receiver) = channel();
        (self.add(PendingCall::Poll(sender)), receiver)
    }

    fn add(&mut self, call: PendingCall) -> CallId {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.insert(id, call);
        id
    }

    pub(super) fn respond_to_server(&mut self, id: CallId, accepted: bool) {
        if let Some(PendingCall::Server(sender)) = self.calls.remove(&id) {
            let _ = sender.send(accepted);
        }
    }

    pub(super) fn respond_to_operator(&mut self, id: CallId, response: OperatorResponse) {
        if let Some(PendingCall::Operator(sender)) = self.calls.remove(&id) {
            let _ = sender.send(response);
        }
    }

    pub(super) fn respond_to_poll(&mut self, id: CallId, response: Box<PollResponse>) {
        if let Some(PendingCall::Poll(sender)) = self.calls.remove(&id) {
            let _ = sender.send(response);
        }
    }

    /// Removes a call whose caller has stopped waiting. Returns whether it was still pending.
    pub(super) fn cancel(&mut self, id: CallId) -> bool {
        self.calls.remove(&id).is_some()
    }

    /// Removes all calls. Their receivers fail, which tells the callers that there will be no response.
    pub(super) fn cancel_all(&mut self) {
        self.calls.clear();
    }
}
