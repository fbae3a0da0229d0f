//! Time-outs, intervals and limits of the directory.

use shaletrail_protocol::Millis;

/// Time-outs, intervals and limits of the directory; all times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// A server that has had no contact for this long times out.
    pub heartbeat_timeout_ms: Millis,
    /// A server that has been timed out for this long is dropped from the directory.
    pub timed_out_retention_ms: Millis,
    /// Draining and removed servers are kept as tombstones for this long after their last contact.
    pub tombstone_retention_ms: Millis,
    /// Tombstones are included in full digests for this long after the server's last contact.
    pub tombstone_gossip_ms: Millis,
    /// A server that has had no contact for this long may be replaced by another server with the same address.
    pub address_takeover_ms: Millis,
    /// The interval between two digests of the servers that have sent heartbeats to this coordinator.
    pub digest_interval_ms: Millis,
    /// The interval between two digests of all servers.
    pub full_digest_interval_ms: Millis,
    /// A batch that has not been acknowledged for this long is sent again.
    pub retry_interval_ms: Millis,
    /// The longest backoff between two batches to a peer that does not respond.
    pub max_backoff_ms: Millis,
    /// A call that a majority has not acknowledged within this time fails.
    pub majority_timeout_ms: Millis,
    /// A gap between two calls of the directory that is longer than this is treated as a stall of this process.
    pub stall_ms: Millis,
    /// Limit on the servers in the table.
    pub max_servers: usize,
    /// Limit on the changes in the log from which edges are updated.
    pub max_changes: usize,
    /// Whether a draining or removed stage must be on disk before it is acknowledged; see
    /// [`Directory::take_unsynced`](super::Directory::take_unsynced).
    pub sync_before_acknowledging: bool,
}

impl Options {
    /// The defaults for servers that send a heartbeat every `heartbeat_ms` milliseconds.
    pub fn for_heartbeat(heartbeat_ms: Millis) -> Self {
        Options {
            heartbeat_timeout_ms: heartbeat_ms * 16 / 5,
            timed_out_retention_ms: 20_000,
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
            sync_before_acknowledging: false,
        }
    }
}

/// Limit on the servers in the table. It exceeds the largest planned fleet, so that no live server is evicted.
pub const MAX_SERVERS: usize = 16_384;
/// Limit on the records in one batch to a peer that responds.
pub const MAX_BATCH_RECORDS: usize = 64;
/// Limit on the records in one batch to a peer that does not respond.
pub const MAX_RETRY_RECORDS: usize = 16;
/// Limit on the batches in flight to one peer that responds.
pub const MAX_BATCHES_IN_FLIGHT: usize = 4;
/// Limit on the servers in one digest or request.
pub const MAX_DIGEST_SERVERS: usize = MAX_SERVERS;
/// Limit on the calls that wait for a majority; further calls fail at once.
pub const MAX_PENDING_CALLS: usize = 1024;
