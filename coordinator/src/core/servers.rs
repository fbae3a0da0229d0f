//! Calls of servers, and what coordinators tell each other of them.

use shaletrail_cluster::directory::{CallOutcome, CallToken, DirectoryMessage};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId, ServerId};

use super::Coordinator;
use crate::interface::{Action, CallId};

impl Coordinator {
    pub(super) fn heartbeat(
        &mut self,
        now: Millis,
        call: CallId,
        id: ServerId,
        heartbeat: Heartbeat,
        actions: &mut Vec<Action>,
    ) {
        match self.directory.heartbeat(now, &id, heartbeat).call {
            Some(token) => self.wait_for_majority(call, token),
            None => {
                let taken = !self.has_lost_touch(now);
                actions.push(Action::RespondToServer { call, accepted: taken });
            }
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
                actions.push(Action::Send { to: from, message: CoordinatorMessage::DirectoryAck { batch } });
            }
            Ok(DirectoryMessage::Digest { servers }) => self.directory.receive_digest(now, from, servers),
            Ok(DirectoryMessage::Ask { servers }) => self.directory.receive_ask(now, from, servers),
            Err(_) => {}
        }
    }

    pub(super) fn answer_servers(&mut self, actions: &mut Vec<Action>) {
        for settlement in self.directory.take_completed_calls() {
            let (token, taken) = match settlement {
                CallOutcome::Settled(token) => (token, true),
                CallOutcome::Failed(token) => (token, false),
            };
            if let Some(call) = self.server_calls.remove(&token) {
                actions.push(Action::RespondToServer { call, accepted: taken });
            }
        }
    }

    /// A server says that it is about to end.
    pub(super) fn deregister(&mut self, now: Millis, call: CallId, id: ServerId) {
        let token = self.directory.deregister(now, &id);
        self.wait_for_majority(call, token);
    }

    /// The call is answered when the directory settles it or gives it up, which also bounds how many wait.
    fn wait_for_majority(&mut self, call: CallId, token: CallToken) {
        self.directory_snapshots.expedite();
        self.server_calls.insert(token, call);
    }
}
