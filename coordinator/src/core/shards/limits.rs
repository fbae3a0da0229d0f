//! Limits that keep everything that a node stores within one checkpoint of its journal.
//!
//! Invariant: whatever the shards and the directory hold, a checkpoint of it fits into the journal. Without it, two full
//! journals would stop the core for good: only a commit shortens the log, a commit needs a majority that stores its
//! records, and a full journal stores nothing before a checkpoint has freed space. So the uncommitted entries of the
//! configuration's shard may only use what the other parts of a checkpoint leave over:
//!
//! | part | limit |
//! | --- | --- |
//! | snapshot of the configuration | [`MAX_CONFIGURATION_SNAPSHOT_BYTES`] |
//! | applied entries that no snapshot covers yet | [`COMPACT_BYTES`] |
//! | the directory of servers | [`MAX_DIRECTORY_BYTES`] |
//! | the attributes of all coordinators | [`MAX_TABLE_BYTES`] |
//! | snapshots and entries of all service shards | [`MAX_SERVICE_SHARDS_BYTES`] |
//! | uncommitted entries of the configuration's shard | [`max_uncommitted_bytes`] |
//!
//! The limits of the snapshot hold for each replica on its own, not for the leader alone, because a follower may still
//! hold a snapshot of a larger, earlier configuration.

use shaletrail_configuration::MAX_CONFIGURATION_BYTES;

use super::{CONFIGURATION, SERVICE_SHARDS};
use crate::core::directory_snapshot::MAX_DIRECTORY_BYTES;
use crate::core::node_attributes::MAX_TABLE_BYTES;

/// Maximum size of the parts of a configuration's snapshot other than its items: accepted changes, recently changed
/// items and voters.
const SNAPSHOT_OVERHEAD_BYTES: usize = 2 << 20;
/// Maximum size of a snapshot of the configuration.
pub const MAX_CONFIGURATION_SNAPSHOT_BYTES: usize = MAX_CONFIGURATION_BYTES + SNAPSHOT_OVERHEAD_BYTES;
/// Bytes of applied commands after which the log is compacted into a snapshot, if the snapshot is large.
pub const COMPACT_BYTES: usize = 2 << 20;
/// Maximum size of what all service shards store. Their commands and snapshots name one node each.
pub const MAX_SERVICE_SHARDS_BYTES: usize = 256 << 10;

/// Returns the limit on the uncommitted entries of a shard, in bytes, at a node whose journal has room for a checkpoint
/// of `checkpoint_bytes`.
pub fn max_uncommitted_bytes(shard: u32, checkpoint_bytes: usize) -> usize {
    if shard != CONFIGURATION {
        return MAX_SERVICE_SHARDS_BYTES / SERVICE_SHARDS as usize;
    }
    let others = MAX_CONFIGURATION_SNAPSHOT_BYTES
        + COMPACT_BYTES
        + MAX_DIRECTORY_BYTES
        + MAX_TABLE_BYTES
        + MAX_SERVICE_SHARDS_BYTES;
    checkpoint_bytes.saturating_sub(others)
}
