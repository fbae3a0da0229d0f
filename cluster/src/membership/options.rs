//! Intervals and bounds of the membership.

use shaletrail_protocol::Millis;

/// Intervals and bounds of the membership; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Between two pings to a member that answers.
    pub ping_interval_ms: Millis,
    /// A member that has answered no ping for this long is suspected.
    pub ping_timeout_ms: Millis,
    /// A suspected member that does not refute within this is dead.
    pub suspicion_timeout_ms: Millis,
    /// The longest interval between two pings to a node that does not answer.
    pub max_backoff_ms: Millis,
    /// A member that has been dead for this long is forgotten.
    pub dead_retention_ms: Millis,
    /// The number of peers that monitor each member.
    pub monitors: usize,
    /// Between two exchanges of all records with one peer.
    pub full_exchange_interval_ms: Millis,
    /// A longer gap between two calls of `tick` means that this process itself has stalled.
    pub stall_ms: Millis,
    /// For this long after a refuted suspicion this node does not suspect the member again.
    pub suspicion_cooldown_ms: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            ping_interval_ms: 200,
            ping_timeout_ms: 500,
            suspicion_timeout_ms: 1000,
            max_backoff_ms: 1000,
            dead_retention_ms: 60_000,
            monitors: 3,
            full_exchange_interval_ms: 1000,
            stall_ms: 500,
            suspicion_cooldown_ms: 3000,
        }
    }
}

/// Records in one message.
pub const MAX_MESSAGE_RECORDS: usize = 32;
/// Members in the table.
pub const MAX_MEMBERS: usize = 256;
/// Seeds; the oldest are dropped first.
pub const MAX_SEEDS: usize = 32;
