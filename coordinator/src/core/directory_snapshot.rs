//! Snapshots of the directory on this node's disk, by which it knows the servers after a restart.
//!
//! The directory is soft state that heartbeats rebuild. Until they have come, a fleet that was restarted as a whole
//! serves by the snapshots of its coordinators: a server that no longer exists is found out by the first request, which
//! is retried at another one. A snapshot is written at intervals and may be old; nothing waits for it to be synced.

use shaletrail_cluster::Directory;
use shaletrail_protocol::internal::{DirectoryCursor, ServerRecord};
use shaletrail_protocol::Millis;
use shaletrail_storage::StoredRecord;

/// The journal's stream of directory snapshots; the shards' streams have the lower numbers.
pub const STREAM: u32 = 1_000;
/// Minimum time between two snapshots of a directory that changes.
const SNAPSHOT_INTERVAL: Millis = 1_000;
/// Servers in a snapshot; others are left out.
const MAX_SERVERS: usize = 4_096;

/// Encodes a snapshot of the directory when it has changed and the interval since the last one is over.
#[derive(Debug, Default)]
pub struct DirectorySnapshotWriter {
    /// State of the directory at the newest snapshot.
    saved: DirectoryCursor,
    next_due: Millis,
    /// The newest snapshot, encoded; empty if there is none.
    newest: Vec<u8>,
}

impl DirectorySnapshotWriter {
    /// Takes the directory's records out of what the journal held, leaving those of the shards. The servers of the newest
    /// snapshot that can be decoded.
    pub fn restore_from(stored: &mut Vec<StoredRecord>) -> Vec<ServerRecord> {
        let mut newest = None;
        stored.retain(|record| {
            if record.stream == STREAM {
                newest = bitcode::decode(&record.bytes).ok().or(newest.take());
            }
            record.stream != STREAM
        });
        newest.unwrap_or_default()
    }

    /// Makes the next snapshot due at once, as a server has begun to drain or leave.
    pub fn expedite(&mut self) {
        self.next_due = 0;
    }

    /// The encoded snapshot that is to be written now, if the directory has changed and one is due.
    pub fn take_due(&mut self, now: Millis, directory: &Directory) -> Option<Vec<u8>> {
        if now < self.next_due || directory.cursor() == self.saved {
            return None;
        }
        self.next_due = now + SNAPSHOT_INTERVAL;
        self.saved = directory.cursor();
        let records: Vec<ServerRecord> = directory.records().take(MAX_SERVERS).cloned().collect();
        self.newest = bitcode::encode(&records);
        Some(self.newest.clone())
    }

    /// Stream and bytes of the newest snapshot, which a checkpoint of the journal must keep.
    pub fn live_record(&self) -> Option<(u32, Vec<u8>)> {
        (!self.newest.is_empty()).then(|| (STREAM, self.newest.clone()))
    }
}
