//! Events that shards report to the other components of the coordinator.

use shaletrail_configuration::ChangeOutcome;

use crate::core::lease_state::LeaseEpoch;

/// An event in a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardEvent {
    /// A change of the configuration was applied as the log entry with this index and term.
    ChangeApplied {
        /// The entry's index.
        index: u64,
        /// The entry's term.
        term: u64,
        /// Whether the change was accepted, or why it was not.
        outcome: ChangeOutcome,
    },
    /// A node has acquired the order lease of a service shard.
    LeaseEpochStarted {
        /// The shard.
        shard: u32,
        /// The epoch that has started.
        epoch: LeaseEpoch,
    },
    /// A quorum has confirmed this node's leadership after the read was started, so that the read may be answered.
    ReadReady {
        /// The token with which the read was started.
        token: u64,
    },
    /// This node cannot answer a read because it is not the leader any more.
    ReadFailed {
        /// The token with which the read was started.
        token: u64,
    },
    /// This node has become the leader of a shard.
    BecameLeader {
        /// The shard.
        shard: u32,
        /// The term in which it leads.
        term: u64,
    },
    /// This node no longer leads a shard.
    LostLeadership {
        /// The shard.
        shard: u32,
        /// The term in which it led.
        term: u64,
    },
}
