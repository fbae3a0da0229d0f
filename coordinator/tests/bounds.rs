//! Limits of different crates that must be consistent with each other.

use shaletrail_consensus::Options as ReplicaOptions;
use shaletrail_coordinator::core::directory_snapshot::MAX_DIRECTORY_BYTES;
use shaletrail_coordinator::core::shards::limits::{
    max_uncommitted_bytes, COMPACT_BYTES, MAX_CONFIGURATION_SNAPSHOT_BYTES, MAX_SERVICE_SHARDS_BYTES,
};
use shaletrail_coordinator::core::shards::{CONFIGURATION, SERVICE_SHARDS};
use shaletrail_protocol::NodeId;
use shaletrail_storage::Options;

/// Size of the disk of a core machine, in mebibytes.
const DISK_MB: u64 = 128;
/// Upper bound of the encoding of an entry or a snapshot without its payload, in bytes.
const ENCODING_OVERHEAD_BYTES: usize = 4 << 10;

#[test]
fn journal_accepts_largest_configuration() {
    // given
    let journal = Options::default();

    // when
    let snapshot = MAX_CONFIGURATION_SNAPSHOT_BYTES;

    // then
    assert!(snapshot <= journal.max_record_bytes);
}

#[test]
fn journal_accepts_records_of_largest_entries() {
    let replica = ReplicaOptions::new(NodeId(1), 1);
    let largest = replica.max_command_bytes.max(replica.max_append_bytes) + ENCODING_OVERHEAD_BYTES;
    assert!(largest <= Options::default().max_record_bytes);
}

/// Guards against journals that stay full for good: what a node may store has to fit into a checkpoint.
#[test]
fn checkpoint_has_room_for_everything_that_may_be_stored() {
    for disk_mb in [0, DISK_MB, 256, 4_096] {
        // given
        let checkpoint_bytes = Options::for_disk(disk_mb).checkpoint_bytes();

        // when
        let uncommitted = |shard| max_uncommitted_bytes(shard, checkpoint_bytes);
        let services: usize = (1..=SERVICE_SHARDS).map(uncommitted).sum();
        let total = MAX_CONFIGURATION_SNAPSHOT_BYTES
            + COMPACT_BYTES
            + MAX_DIRECTORY_BYTES
            + services
            + uncommitted(CONFIGURATION);

        // then
        assert!(services <= MAX_SERVICE_SHARDS_BYTES);
        assert!(total <= checkpoint_bytes, "{disk_mb} MiB: {total} of {checkpoint_bytes} bytes");
        let largest_command = ReplicaOptions::new(NodeId(1), 1).max_command_bytes;
        assert!(largest_command <= uncommitted(CONFIGURATION), "{disk_mb} MiB: every change can be proposed");
    }
}
