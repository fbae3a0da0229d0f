//! Intervals and bounds of the directory.

use shaletrail_protocol::Millis;

/// Intervals and bounds of the directory; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// A server without a sign of life for so long is silent.
    pub heartbeat_timeout_ms: Millis,
    /// A server that has been silent for so long is removed.
    pub remove_timed_out_ms: Millis,
    /// Draining and gone servers are remembered for so long after the last that was heard of them.
    pub tombstone_retention_ms: Millis,
    /// Final states are offered to other coordinators for so long, beyond what is pushed to them.
    pub tombstone_gossip_ms: Millis,
    /// A server must have been silent for so long before another one at its address makes it gone.
    pub address_takeover_ms: Millis,
    /// Between two digests of the servers heard by this coordinator itself.
    pub digest_interval_ms: Millis,
    /// Between two digests of all servers.
    pub full_digest_interval_ms: Millis,
    /// Without an acknowledgement for so long a batch is sent again.
    pub retry_interval_ms: Millis,
    /// The longest pause between two batches to a coordinator that does not answer.
    pub max_backoff_ms: Millis,
    /// A call that waits for the majority fails after so long.
    pub majority_timeout_ms: Millis,
    /// A longer pause between two calls of this object means that the process itself has stood still.
    pub stall_ms: Millis,
    /// Servers kept, at most.
    pub servers: usize,
    /// Changes kept for edges that come back, at most.
    pub changes: usize,
}

impl Options {
    /// The usual options for servers that send a heartbeat each `heartbeat_ms`.
    pub fn for_heartbeat(heartbeat_ms: Millis) -> Self {
        Options {
            heartbeat_timeout_ms: heartbeat_ms * 16 / 5,
            remove_timed_out_ms: 20_000,
            tombstone_retention_ms: 60_000,
            tombstone_gossip_ms: 10_000,
            address_takeover_ms: heartbeat_ms * 5 / 4,
            digest_interval_ms: 300,
            full_digest_interval_ms: heartbeat_ms * 2,
            retry_interval_ms: 250,
            max_backoff_ms: 1000,
            majority_timeout_ms: 900,
            stall_ms: heartbeat_ms.max(500),
            servers: 4096,
            changes: 2048,
        }
    }
}

/// Records in one batch, at most.
pub const MAX_BATCH_RECORDS: usize = 64;
/// Records in one batch to a coordinator that does not answer, at most.
pub const MAX_RETRY_RECORDS: usize = 16;
/// Batches without an acknowledgement to one coordinator, at most.
pub const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// Servers in one digest or ask, at most.
pub const MAX_DIGEST_SERVERS: usize = 4096;
/// Calls that wait for the majority, at most; further ones fail at once.
pub const MAX_PENDING_CALLS: usize = 1024;
