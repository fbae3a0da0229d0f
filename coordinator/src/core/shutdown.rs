//! When a process that was requested to shut down may exit.

use shaletrail_protocol::{Millis, NodeId};

use super::Coordinator;

/// Minimum time between the request and the exit, in milliseconds, for pending responses and leadership transfers.
pub const SHUTDOWN_GRACE: Millis = 400;
/// Maximum time that a voter waits for its replacement, in milliseconds.
pub const MAX_SHUTDOWN_TIME: Millis = 2_000;

impl Coordinator {
    /// Returns whether the process may exit `elapsed` milliseconds after the request to shut down. A voter
    /// waits while another node can replace it: a further node may fail as soon as this process has exited, and a group
    /// in which both are still voters might have no majority.
    pub fn may_exit(&self, elapsed: Millis) -> bool {
        elapsed >= MAX_SHUTDOWN_TIME || (elapsed >= SHUTDOWN_GRACE && !self.is_awaiting_replacement())
    }

    fn is_awaiting_replacement(&self) -> bool {
        let node = self.options.node;
        let may_vote = |other: &NodeId| *other != node && self.node_attributes.counts_for_quorum(*other);
        let others: Vec<NodeId> = self.membership.alive().into_iter().filter(may_vote).collect();
        self.shards.numbers().filter_map(|shard| self.shards.get(shard)).any(|shard| {
            let voters = shard.replica.voters();
            let may_be_replaced =
                voters.contains(node) && others.iter().any(|other| !voters.contains(*other));
            // Until the change of voters is committed, decisions also need a majority of the former voters, which
            // include this node.
            may_be_replaced || (shard.replica.is_changing_voters() && !others.is_empty())
        })
    }
}
