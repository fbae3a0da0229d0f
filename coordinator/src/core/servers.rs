//! Calls of servers, and what coordinators tell each other of them.

use std::collections::HashMap;

use shaletrail_cluster::directory::{CallToken, DirectoryMessage, Settlement};
use shaletrail_protocol::inside::CoreMessage;
use shaletrail_protocol::outside::Heartbeat;
use shaletrail_protocol::{Millis, NodeId, ServerId};

use super::Core;
use crate::interface::{Action, CallId};

/// Calls of servers that wait for a majority at once, at most.
const MOST_SERVER_CALLS: usize = 1_024;

/// Calls of servers that wait until a majority knows what they say, by the directory's names for them.
#[derive(Debug, Default)]
pub struct ServerCalls {
    waiting: HashMap<CallToken, CallId>,
}

impl ServerCalls {
    /// Takes a call in; false if too many wait.
    pub fn add(&mut self, token: CallToken, call: CallId) -> bool {
        if self.waiting.len() >= MOST_SERVER_CALLS {
            return false;
        }
        self.waiting.insert(token, call);
        true
    }

    /// Takes out the call that the directory has settled or given up.
    pub fn remove(&mut self, token: CallToken) -> Option<CallId> {
        self.waiting.remove(&token)
    }
}

impl Core {
    pub(super) fn heartbeat(
        &mut self,
        now: Millis,
        call: CallId,
        id: ServerId,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        match self.directory.heartbeat(now, &id, heartbeat).call {
            Some(token) => self.wait_for_majority(call, token, actions),
            None => actions.push(Action::AnswerServer { call, taken: true }),
        }
    }

    pub(super) fn receive_directory(
        &mut self,
        now: Millis,
        from: NodeId,
        body: &[u8],
        actions: &mut Vec<Action>,
    ) {
        match bitcode::decode(body) {
            Ok(DirectoryMessage::Batch { batch, records }) => {
                let batch = self.directory.merge(now, from, batch, records);
                actions.push(Action::Send { to: from, message: CoreMessage::DirectoryAck { batch } });
            }
            Ok(DirectoryMessage::Digest { servers }) => self.directory.receive_digest(now, from, servers),
            Ok(DirectoryMessage::Ask { servers }) => self.directory.receive_ask(now, from, servers),
            Err(_) => {}
        }
    }

    pub(super) fn answer_servers(&mut self, actions: &mut Vec<Action>) {
        for settlement in self.directory.take_settled() {
            let (token, taken) = match settlement {
                Settlement::Settled(token) => (token, true),
                Settlement::Failed(token) => (token, false),
            };
            if let Some(call) = self.server_calls.remove(token) {
                actions.push(Action::AnswerServer { call, taken });
            }
        }
    }

    /// A server says that it is about to end.
    pub(super) fn deregister(&mut self, now: Millis, call: CallId, id: ServerId, actions: &mut Vec<Action>) {
        let token = self.directory.deregister(now, &id);
        self.wait_for_majority(call, token, actions);
    }

    fn wait_for_majority(&mut self, call: CallId, token: CallToken, actions: &mut Vec<Action>) {
        self.directory_memory.hurry();
        if !self.server_calls.add(token, call) {
            actions.push(Action::AnswerServer { call, taken: false });
        }
    }
}
