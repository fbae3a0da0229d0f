//! Long polls of data-plane nodes. Each is pending until there are updates, and is answered from this node's state.

mod pending_polls;

use shaletrail_protocol::internal::{EdgeIdentity, PollRequest, PollResponse};
use shaletrail_protocol::Millis;

use super::demand;
use super::Coordinator;
use crate::interface::{Action, CallId};

pub use pending_polls::{PendingPoll, PendingPolls};

impl Coordinator {
    /// Handles a poll of a data-plane node and the demand report that it carries.
    pub(super) fn on_poll(&mut self, now: Millis, call: CallId, edge: EdgeIdentity, request: PollRequest) {
        self.edges.on_poll(edge.node, now);
        self.record_demand(edge.node, request.demand, request.server_outcomes);
        let poll = PendingPoll {
            edge: edge.node,
            config_version: request.config_version,
            cursor: request.cursor,
            edge_list_hash: request.edge_list_hash,
            deadline: now + Millis::from(request.max_wait_ms),
        };
        self.polls.add(now, call, poll);
    }

    /// Answers the polls for which there are updates, whose deadline has passed, or whose edge must poll elsewhere.
    pub(super) fn answer_polls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let version = self.configuration_version();
        let cursor = self.directory.cursor();
        let due = |poll: &PendingPoll| {
            poll.deadline <= now
                || poll.config_version < version
                || poll.cursor != cursor
                || !self.may_serve(now, poll.config_version)
        };
        for call in self.polls.find(due) {
            let Some(poll) = self.polls.remove(call) else { continue };
            let response = Box::new(self.poll_response(now, &poll));
            actions.push(Action::RespondToPoll { call, response });
        }
    }

    fn poll_response(&self, now: Millis, poll: &PendingPoll) -> PollResponse {
        if !self.may_serve(now, poll.config_version) {
            return self.isolated_response(poll);
        }
        let directory = self.directory.updates_since(poll.cursor);
        let edges = self.edges.list();
        let edge_list_hash = demand::edge_list_hash(&edges);
        PollResponse {
            config: self.shards.configuration().updates_since(poll.config_version),
            servers: directory.records,
            // A node that has just started has not received heartbeats of all servers yet. The edge must not drop
            // servers that are missing here.
            complete: directory.complete && !self.directory.is_recently_started(now),
            cursor: directory.cursor,
            coordinators: self.coordinators(),
            edge_count: self.edges.retry_budget_shares(now),
            edge_nodes: (edge_list_hash != poll.edge_list_hash).then_some(edges),
            edge_list_hash,
            isolated: false,
        }
    }

    /// Returns the response while this node's state may be stale: the edge keeps its state and polls another
    /// coordinator. An edge that has just started gets no configuration either. Without one it rejects all requests for
    /// a moment, which is better than routing by a configuration that is no longer in force.
    fn isolated_response(&self, poll: &PendingPoll) -> PollResponse {
        PollResponse {
            cursor: poll.cursor,
            coordinators: self.coordinators(),
            isolated: true,
            ..PollResponse::default()
        }
    }
}
