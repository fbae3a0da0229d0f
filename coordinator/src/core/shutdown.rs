//! How long a process goes on that was told to end.

use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;

/// How long responses and transfers of leadership may go on, in milliseconds.
pub const SHUTDOWN_GRACE: Millis = 400;
/// The longest time for which a voter waits until its place is taken, in milliseconds.
pub const MAX_SHUTDOWN_TIME: Millis = 2_000;

impl Coordinator {
    /// Whether a process that was told to end `elapsed` milliseconds ago may end. A voter stays while another node is there
    /// that can take its place: the next loss may come as soon as this process has ended, and a group in which it still
    /// votes would have no majority then.
    pub fn may_end(&self, elapsed: Millis) -> bool {
        elapsed >= MAX_SHUTDOWN_TIME || (elapsed >= SHUTDOWN_GRACE && !self.is_awaiting_replacement())
    }

    fn is_awaiting_replacement(&self) -> bool {
        let node = self.options.node;
        let others: Vec<NodeId> =
            self.membership.alive().into_iter().filter(|other| *other != node).collect();
        self.shards.numbers().filter_map(|shard| self.shards.get(shard)).any(|shard| {
            let voters = shard.replica.voters();
            let may_be_replaced =
                voters.contains(node) && others.iter().any(|other| !voters.contains(*other));
            // Until the exchange is committed the former voters decide as well, this one among them.
            may_be_replaced || (shard.replica.is_changing_voters() && !others.is_empty())
        })
    }
}
