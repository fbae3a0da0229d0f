//! Options and time-outs of the replica group under test.

use shaletrail_protocol::Millis;

/// Both bounds of the election time-out. One value is enough, because a tick may come at any later time.
pub(crate) const ELECTION_TIMEOUT_MS: Millis = 600;
/// The time-out of the first election of a newly bootstrapped group.
pub(crate) const BOOTSTRAP_ELECTION_TIMEOUT_MS: Millis = 50;
/// The interval between a leader's heartbeats.
pub(crate) const HEARTBEAT_INTERVAL_MS: Millis = 150;
/// The duration of the order lease: the minimum time between orders of two successive lease holders.
pub(crate) const ORDER_LEASE_MS: Millis = 1_000;

/// The state machine that the group replicates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum StateMachineKind {
    /// The configuration, changed by operators.
    Configuration,
    /// The order lease of a service shard.
    OrderLease,
}

/// Options that differ between scenarios.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GroupOptions {
    /// The replicated state machine.
    pub state_machine: StateMachineKind,
    /// Whether an append carries a single entry, and a probe none.
    pub single_entry_appends: bool,
    /// Bit set of node numbers whose disk syncs are separate transitions. All other disks sync immediately.
    pub slow_disks: u8,
}
