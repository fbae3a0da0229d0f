//! Intervals and bounds of the membership.

use shaletrail_protocol::Millis;

/// Intervals and bounds of the membership; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Between two pings to a member that answers.
    pub ping_ms: Millis,
    /// Without an answer for so long a member is suspected.
    pub suspect_ms: Millis,
    /// A suspicion that is not refuted within this makes the member absent.
    pub absent_ms: Millis,
    /// The longest pause between two pings to a node that does not answer.
    pub max_backoff_ms: Millis,
    /// A member that has been absent for so long is forgotten.
    pub forget_ms: Millis,
    /// Peers that monitor a member.
    pub monitors: usize,
    /// Between two exchanges of all that is known.
    pub exchange_ms: Millis,
    /// A longer pause between two calls of `tick` means that this process itself has stood still.
    pub stall_ms: Millis,
    /// After a refuted suspicion this node does not suspect the member anew for so long.
    pub calm_ms: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            ping_ms: 200,
            suspect_ms: 500,
            absent_ms: 1000,
            max_backoff_ms: 1000,
            forget_ms: 60_000,
            monitors: 3,
            exchange_ms: 1000,
            stall_ms: 500,
            calm_ms: 3000,
        }
    }
}

/// Records in one message, at most.
pub const MAX_MESSAGE_RECORDS: usize = 32;
/// Members kept, at most.
pub const MAX_MEMBERS: usize = 256;
/// Seeds kept, at most; the newest stay.
pub const MAX_SEEDS: usize = 32;
