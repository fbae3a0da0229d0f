//! Events that shards raise for the rest of the coordinator.

use shaletrail_configuration::ChangeOutcome;

use crate::core::lease_state::LeaseEpoch;

/// Something that has happened in a shard.
#[derive(Clone, Debug, PartialEq)]
pub enum ShardEvent {
    /// A change of the configuration was applied as the entry of this index and term.
    ChangeDecided {
        /// The entry's index.
        index: u64,
        /// The entry's term.
        term: u64,
        /// Whether the change was accepted, and why not.
        outcome: ChangeOutcome,
    },
    /// A node has acquired the order lease of a service shard.
    LeaseEpochStarted {
        /// The shard.
        shard: u32,
        /// The epoch.
        epoch: LeaseEpoch,
    },
    /// A quorum has confirmed this node's leadership, so that a read may be answered.
    ReadReady {
        /// The token with which the read was started.
        token: u64,
    },
    /// A read cannot be answered at this node.
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
