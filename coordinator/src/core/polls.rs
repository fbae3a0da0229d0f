//! Long polls of data-plane nodes: each is held until there is news, and answered by what this node knows.

mod table;

use shaletrail_protocol::inside::{EdgeIdentity, PollReply, PollRequest};
use shaletrail_protocol::Millis;

use super::demand;
use super::Core;
use crate::interface::{Action, CallId};

pub use table::{HeldPoll, HeldPolls};

impl Core {
    pub(super) fn poll(&mut self, now: Millis, call: CallId, edge: EdgeIdentity, request: PollRequest) {
        self.edges.polled(edge.node, now);
        self.gather(edge.node, request.demand, request.observed);
        let due = now + Millis::from(request.hold_ms);
        let poll = HeldPoll {
            edge: edge.node,
            config_version: request.config_version,
            cursor: request.cursor,
            edge_list: request.edge_list,
            due,
        };
        self.polls.add(now, call, poll);
    }

    pub(super) fn answer_polls(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let version = self.configuration_version();
        let cursor = self.directory.cursor();
        let in_touch = self.in_touch;
        let due = |poll: &HeldPoll| {
            poll.due <= now || !in_touch || poll.config_version < version || poll.cursor != cursor
        };
        for (call, poll) in self.polls.take(due) {
            let reply = Box::new(self.reply_to(now, &poll));
            actions.push(Action::AnswerPoll { call, reply });
        }
    }

    fn reply_to(&self, now: Millis, poll: &HeldPoll) -> PollReply {
        // Out of touch, what this node knows may be out of date: the edge asks another, and keeps what it has. One
        // that has just started and knows nothing serves by this until it has found another.
        if !self.in_touch && poll.config_version > 0 {
            return PollReply {
                cursor: poll.cursor,
                coordinators: self.coordinators(),
                isolated: true,
                ..PollReply::default()
            };
        }
        let news = self.directory.since(poll.cursor);
        let edges = self.edges.list();
        let edge_list = demand::list_name(&edges);
        PollReply {
            config: self.shards.configuration().news_since(poll.config_version),
            servers: news.records,
            // A young node has not heard of all servers: what it doesn't know may be there all the same.
            whole: news.whole && self.in_touch && !self.directory.is_young(now),
            cursor: news.cursor,
            coordinators: self.coordinators(),
            edges: self.edges.sharing(now),
            edge_nodes: (edge_list != poll.edge_list).then_some(edges),
            edge_list,
            isolated: !self.in_touch,
        }
    }
}
