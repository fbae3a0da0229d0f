//! Options and time-outs of the group under test.

use shaletrail_protocol::Millis;

/// The shortest and longest election time-out; a tick may come at any later moment.
pub(crate) const ELECTION_TIMEOUT_MS: Millis = 600;
/// The time-out of a new group's first election.
pub(crate) const BOOTSTRAP_ELECTION_TIMEOUT_MS: Millis = 50;
/// The interval between two heartbeats of a leader.
pub(crate) const HEARTBEAT_INTERVAL_MS: Millis = 150;
/// The lease of orders: the least time between the orders of two lease holders.
pub(crate) const ORDER_LEASE_MS: Millis = 1_000;

/// The state machine that the group replicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum StateMachineKind {
    /// The configuration, changed by operators.
    Configuration,
    /// The lease of orders of a service shard.
    OrderLease,
}

/// What differs between the groups of the scenarios.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupOptions {
    /// The replicated state machine.
    pub state_machine: StateMachineKind,
    /// Whether an append holds one entry, and a probe none.
    pub single_entry_appends: bool,
    /// Nodes whose syncs are transitions of their own, as a bit for each node's number; other disks sync at once.
    pub slow_disks: u8,
}
