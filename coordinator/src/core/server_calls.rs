//! Heartbeats and deregistrations of servers, and the directory messages that replicate them between coordinators.

use shaletrail_cluster::directory::{CallOutcome, CallToken, DirectoryMessage};
use shaletrail_protocol::external::Heartbeat;
use shaletrail_protocol::internal::CoordinatorMessage;
use shaletrail_protocol::{Millis, NodeId, ServerId};

use super::{directory_snapshot, Coordinator};
use crate::interface::{Action, CallId};

/// A write of leaving servers to the journal that is not synced yet.
pub(super) struct LeavingSync {
    /// The ticket of the [`Action::Persist`] that contains the records.
    ticket: u64,
    /// The ticket that the directory has assigned to the records.
    directory_ticket: u64,
}

impl Coordinator {
    /// Handles a heartbeat. If it changes how the server may be used, for example to draining, the response waits until
    /// a majority of coordinators has stored it.
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

    /// Handles the deregistration of a server that is about to shut down.
    pub(super) fn on_deregister(&mut self, now: Millis, call: CallId, id: ServerId) {
        let token = self.directory.deregister(now, &id);
        self.wait_for_majority(call, token);
    }

    /// Keeps a call until the directory reports that it is complete or has failed. The directory also limits the number
    /// of waiting calls.
    fn wait_for_majority(&mut self, call: CallId, token: CallToken) {
        self.server_calls.insert(token, call);
    }

    /// Writes the servers that have begun to leave to the journal. Neither these servers nor the peers that sent their
    /// records get an acknowledgement before the write is synced. Otherwise all coordinators could be killed right
    /// after the acknowledgement and restore the servers as `ready`, and requests would be routed to servers that rely
    /// on getting none.
    pub(super) fn persist_leaving_servers(&mut self, actions: &mut Vec<Action>) {
        if let Some(unsynced) = self.directory.take_unsynced() {
            let record = self.directory_snapshots.add_leaving(&unsynced.records);
            let ticket = self.shards.persist_record(directory_snapshot::LEAVING_STREAM, record, actions);
            self.leaving_syncs.push_back(LeavingSync { ticket, directory_ticket: unsynced.ticket });
        }
    }

    /// Tells the directory which records of leaving servers are synced to disk.
    pub(super) fn on_leaving_servers_synced(&mut self, now: Millis, ticket: u64) {
        while let Some(synced) = self.leaving_syncs.pop_front_if(|sync| sync.ticket <= ticket) {
            self.directory.on_synced(now, synced.directory_ticket);
        }
    }

    /// Acknowledges the batches of records from peers that are durable now.
    pub(super) fn send_directory_acknowledgements(&mut self, actions: &mut Vec<Action>) {
        for (to, batch) in self.directory.take_deferred_acknowledgements() {
            actions.push(Action::Send { to, message: CoordinatorMessage::DirectoryAck { batch } });
        }
    }

    /// Answers the calls that the directory has reported as complete or failed.
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

    /// Handles a directory message of a peer. Messages that cannot be decoded are ignored.
    pub(super) fn receive_directory(
        &mut self,
        now: Millis,
        from: NodeId,
        body: &[u8],
        actions: &mut Vec<Action>,
    ) {
        match bitcode::decode(body) {
            Ok(DirectoryMessage::Batch { batch, records }) => {
                if let Some(batch) = self.directory.receive_batch(now, from, batch, records) {
                    let message = CoordinatorMessage::DirectoryAck { batch };
                    actions.push(Action::Send { to: from, message });
                }
            }
            Ok(DirectoryMessage::Digest { servers }) => self.directory.receive_digest(now, from, servers),
            Ok(DirectoryMessage::Request { servers }) => self.directory.receive_request(now, from, servers),
            Err(_) => {}
        }
    }
}
