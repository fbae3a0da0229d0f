//! Intervals and bounds of the directory.

use shaletrail_protocol::Millis;

/// Intervals and bounds of the directory; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// A server without contact for this long is timed out.
    pub heartbeat_timeout_ms: Millis,
    /// A server that has been timed out for this long is dropped from the directory.
    pub remove_timed_out_ms: Millis,
    /// Draining and removed servers stay as tombstones for this long after the last contact.
    pub tombstone_retention_ms: Millis,
    /// Tombstones are part of full digests for this long after the last contact.
    pub tombstone_gossip_ms: Millis,
    /// A server must have had no contact for this long before another one at its address replaces it.
    pub address_takeover_ms: Millis,
    /// Between two digests of the servers whose heartbeats this coordinator itself received.
    pub digest_interval_ms: Millis,
    /// Between two digests of all servers.
    pub full_digest_interval_ms: Millis,
    /// A batch without an acknowledgement for this long is sent again.
    pub retry_interval_ms: Millis,
    /// The longest backoff between two batches to a peer that does not respond.
    pub max_backoff_ms: Millis,
    /// A call that a majority has not acknowledged for this long fails.
    pub majority_timeout_ms: Millis,
    /// A longer gap between two calls of the directory means that the process itself has stalled.
    pub stall_ms: Millis,
    /// Servers in the table.
    pub max_servers: usize,
    /// Changes in the log from which edges catch up.
    pub max_changes: usize,
    /// Whether the stage of a server that leaves must be durable before it is acknowledged; see
    /// [`Directory::take_unsynced`](super::Directory::take_unsynced).
    pub waits_for_disk: bool,
}

impl Options {
    /// The defaults for servers that send a heartbeat each `heartbeat_ms` milliseconds.
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
            max_servers: MAX_SERVERS,
            max_changes: 2048,
            waits_for_disk: false,
        }
    }
}

/// Servers in the table: more than the largest fleet that is planned for, so that none of them is ever evicted.
pub const MAX_SERVERS: usize = 16_384;
/// Records in one batch to a peer that responds.
pub const MAX_BATCH_RECORDS: usize = 64;
/// Records in one batch to a peer that does not respond.
pub const MAX_RETRY_RECORDS: usize = 16;
/// Batches to one peer that are not acknowledged yet.
pub const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// Servers in one digest or request.
pub const MAX_DIGEST_SERVERS: usize = MAX_SERVERS;
/// Calls that wait for a majority; further ones fail at once.
pub const MAX_PENDING_CALLS: usize = 1024;
