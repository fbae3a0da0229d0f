//! Time-outs, intervals and limits of the membership protocol.

use shaletrail_protocol::Millis;

/// Time-outs, intervals and limits of the membership protocol; all times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The interval between two pings to a member that answers.
    pub ping_interval_ms: Millis,
    /// A member whose oldest unanswered ping was sent this long ago is suspected.
    pub ping_timeout_ms: Millis,
    /// A suspect that does not refute the suspicion within this time is declared dead.
    pub suspicion_timeout_ms: Millis,
    /// The longest interval between two pings to a node that does not answer.
    pub max_backoff_ms: Millis,
    /// A member that has been dead for this long is removed from the table.
    pub dead_retention_ms: Millis,
    /// The number of peers that monitor each member.
    pub monitors_per_member: usize,
    /// The interval between two exchanges of all records with one peer.
    pub full_exchange_interval_ms: Millis,
    /// A gap between two calls of `tick` that is longer than this is treated as a stall of this process.
    pub stall_ms: Millis,
    /// This node does not suspect a member again for this long after another node has passed on its refutation.
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
            monitors_per_member: 3,
            full_exchange_interval_ms: 1000,
            stall_ms: 500,
            suspicion_cooldown_ms: 3000,
        }
    }
}

/// Limit on the member records in one message.
pub const MAX_MESSAGE_RECORDS: usize = 32;
/// Limit on the other members in the table.
pub const MAX_MEMBERS: usize = 256;
/// Limit on the seeds; beyond it the oldest are dropped.
pub const MAX_SEEDS: usize = 32;
