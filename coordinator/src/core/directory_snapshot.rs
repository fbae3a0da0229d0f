//! Snapshots of the directory on this node's disk, by which it knows the servers after a restart.
//!
//! The directory is soft state that heartbeats rebuild. Until they have come, a fleet that was restarted as a whole
//! serves by the snapshots of its coordinators: a server that no longer exists is found out by the first request, which
//! is retried at another one. A snapshot is written at intervals and may be old; nothing waits for it to be synced. Servers that
//! have begun to leave are written at once, each change as a record of its own, and what is acknowledged of them waits for
//! that.

use shaletrail_cluster::Directory;
use shaletrail_protocol::internal::{DirectoryCursor, ServerRecord};
use shaletrail_protocol::Millis;
use shaletrail_storage::StoredRecord;

/// The journal's stream of directory snapshots; the shards' streams have the lower numbers.
pub const STREAM: u32 = 1_000;
/// The journal's stream of servers that have begun to leave since the newest snapshot.
pub const LEAVING_STREAM: u32 = 1_001;
/// Minimum time between two snapshots of a directory that changes, for each [`SERVERS_PER_INTERVAL`] servers begun.
const SNAPSHOT_INTERVAL: Millis = 1_000;
/// See [`SNAPSHOT_INTERVAL`]: what is written in a second does not grow with the fleet.
const SERVERS_PER_INTERVAL: usize = 1_024;

/// Encodes a snapshot of the directory when it has changed and the interval since the last one is over.
#[derive(Debug, Default)]
pub struct DirectorySnapshotWriter {
    /// State of the directory at the newest snapshot.
    saved: DirectoryCursor,
    next_due: Millis,
    /// The newest snapshot, encoded; empty if there is none.
    newest: Vec<u8>,
    /// Records of servers that have begun to leave since then, encoded.
    leaving: Vec<Vec<u8>>,
}

impl DirectorySnapshotWriter {
    /// Takes the directory's records out of what the journal held, leaving those of the shards. The servers of the newest
    /// snapshot that can be decoded, and after them those that have begun to leave since.
    pub fn restore_from(stored: &mut Vec<StoredRecord>) -> Vec<ServerRecord> {
        let mut known: Vec<ServerRecord> = Vec::new();
        stored.retain(|record| {
            let decoded = || bitcode::decode::<Vec<ServerRecord>>(&record.bytes).ok();
            match record.stream {
                STREAM => known = decoded().unwrap_or(std::mem::take(&mut known)),
                LEAVING_STREAM => known.extend(decoded().unwrap_or_default()),
                _ => {}
            }
            !matches!(record.stream, STREAM | LEAVING_STREAM)
        });
        known
    }

    /// Encodes servers that have begun to leave, as a record of [`LEAVING_STREAM`].
    pub fn add_leaving(&mut self, records: &[ServerRecord]) -> Vec<u8> {
        let encoded = bitcode::encode(records);
        self.leaving.push(encoded.clone());
        encoded
    }

    /// The encoded snapshot that is to be written now, if the directory has changed and one is due.
    pub fn take_due(&mut self, now: Millis, directory: &Directory) -> Option<Vec<u8>> {
        if now < self.next_due || directory.cursor() == self.saved {
            return None;
        }
        self.saved = directory.cursor();
        let records: Vec<ServerRecord> = directory.records().cloned().collect();
        let intervals = 1 + records.len() / SERVERS_PER_INTERVAL;
        self.next_due = now + SNAPSHOT_INTERVAL * intervals as Millis;
        self.newest = bitcode::encode(&records);
        self.leaving.clear();
        Some(self.newest.clone())
    }

    /// Streams and bytes of the newest snapshot and what follows it, which a checkpoint of the journal must keep.
    pub fn live_records(&self) -> Vec<(u32, Vec<u8>)> {
        let snapshot = (!self.newest.is_empty()).then(|| (STREAM, self.newest.clone()));
        let leaving = self.leaving.iter().map(|record| (LEAVING_STREAM, record.clone()));
        snapshot.into_iter().chain(leaving).collect()
    }
}
