//! Heartbeats and deregistrations of servers, and the directory messages by which coordinators replicate them.

use shaletrail_cluster::directory::{CallOutcome, CallToken, DirectoryMessage};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId, ServerId};

use super::Coordinator;
use crate::interface::{Action, CallId};

impl Coordinator {
    /// A server has sent a heartbeat. One that changes how the server may be used waits until a majority knows it.
    pub(super) fn on_heartbeat(
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
                let accepted = !self.has_lost_quorum_contact(now);
                actions.push(Action::RespondToServer { call, accepted });
            }
        }
    }

    /// A server is about to shut down.
    pub(super) fn on_deregister(&mut self, now: Millis, call: CallId, id: ServerId) {
        let token = self.directory.deregister(now, &id);
        self.wait_for_majority(call, token);
    }

    /// The call is answered when the directory completes it or gives it up; the directory also bounds how many wait.
    fn wait_for_majority(&mut self, call: CallId, token: CallToken) {
        self.directory_snapshots.expedite();
        self.server_calls.insert(token, call);
    }

    /// Answers the calls that the directory has completed or given up.
    pub(super) fn answer_server_calls(&mut self, actions: &mut Vec<Action>) {
        for outcome in self.directory.take_completed_calls() {
            let (token, accepted) = match outcome {
                CallOutcome::Acknowledged(token) => (token, true),
                CallOutcome::Failed(token) => (token, false),
            };
            if let Some(call) = self.server_calls.remove(&token) {
                actions.push(Action::RespondToServer { call, accepted });
            }
        }
    }

    /// A peer's directory message has arrived; one that cannot be decoded is ignored.
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
            Ok(DirectoryMessage::Request { servers }) => self.directory.receive_request(now, from, servers),
            Err(_) => {}
        }
    }
}
