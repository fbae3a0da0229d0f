//! Long polls of data-plane nodes: each is held until there is news, and answered by what this node knows.

mod table;

use shaletrail_protocol::internal::{EdgeIdentity, PollRequest, PollResponse};
use shaletrail_protocol::Millis;

use super::demand;
use super::Coordinator;
use crate::interface::{Action, CallId};

pub use table::{PendingPoll, PendingPolls};

impl Coordinator {
    pub(super) fn poll(&mut self, now: Millis, call: CallId, edge: EdgeIdentity, request: PollRequest) {
        self.edges.polled(edge.node, now);
        self.gather(edge.node, request.demand, request.server_outcomes);
        let due = now + Millis::from(request.max_wait_ms);
        let poll = PendingPoll {
            edge: edge.node,
            config_version: request.config_version,
            cursor: request.cursor,
            edge_list: request.edge_list_hash,
            due,
        };
        self.polls.add(now, call, poll);
    }

    pub(super) fn answer_polls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let version = self.configuration_version();
        let cursor = self.directory.cursor();
        let due = |poll: &PendingPoll| {
            poll.due <= now
                || poll.config_version < version
                || poll.cursor != cursor
                || !self.may_inform(now, poll.config_version)
        };
        for call in self.polls.find(due) {
            let Some(poll) = self.polls.remove(call) else { continue };
            let reply = Box::new(self.reply_to(now, &poll));
            actions.push(Action::RespondToPoll { call, response: reply });
        }
    }

    fn reply_to(&self, now: Millis, poll: &PendingPoll) -> PollResponse {
        if !self.may_inform(now, poll.config_version) {
            return self.turn_away(poll);
        }
        let news = self.directory.updates_since(poll.cursor);
        let edges = self.edges.list();
        let edge_list = demand::list_name(&edges);
        PollResponse {
            config: self.shards.configuration().updates_since(poll.config_version),
            servers: news.records,
            // A young node has not heard of all servers: what it doesn't know may be there all the same.
            complete: news.complete && !self.directory.is_recently_started(now),
            cursor: news.cursor,
            coordinators: self.coordinators(),
            edge_count: self.edges.sharing(now),
            edge_nodes: (edge_list != poll.edge_list).then_some(edges),
            edge_list_hash: edge_list,
            isolated: false,
        }
    }

    /// What this node knows may be out of date: the edge asks another, and keeps what it has. That holds for one
    /// that has just started and has nothing as well: without a configuration it refuses all requests for a
    /// moment, while with an old one it would go by routes that are no longer in force.
    fn turn_away(&self, poll: &PendingPoll) -> PollResponse {
        PollResponse {
            cursor: poll.cursor,
            coordinators: self.coordinators(),
            isolated: true,
            ..PollResponse::default()
        }
    }
}
