//! Snapshots of the directory on this node's disk, from which it restores the servers after a restart.
//!
//! The directory is soft state that is rebuilt from heartbeats. Until these arrive after a restart of the whole system,
//! requests are routed by the coordinators' snapshots. If a snapshot contains a server that no longer exists, the first
//! request to it fails and is retried at another server. Snapshots are written at intervals and may be stale; nothing
//! waits for them to be synced. Servers that begin to leave (they drain or deregister) are written immediately, each
//! change as a separate record, and are acknowledged only after that record is synced.

use shaletrail_cluster::Directory;
use shaletrail_protocol::internal::{DirectoryCursor, Presence, ServerRecord};
use shaletrail_protocol::Millis;
use shaletrail_storage::StoredRecord;

/// The journal stream of directory snapshots. Lower numbers are the streams of the shards.
pub const STREAM: u32 = 1_000;
/// The journal stream of servers that have begun to leave since the newest snapshot.
pub const LEAVING_STREAM: u32 = 1_001;
/// Maximum size of a snapshot of the directory, in bytes. Of a larger directory, a part is written.
const MAX_SNAPSHOT_BYTES: usize = 3 << 20;
/// Once the servers that have begun to leave since the newest snapshot take up this many bytes, a snapshot is due.
const MAX_LEAVING_BYTES: usize = 1 << 20;
/// Maximum size of everything that the directory stores, in bytes.
pub const MAX_DIRECTORY_BYTES: usize = MAX_SNAPSHOT_BYTES + MAX_LEAVING_BYTES;
/// Minimum time between snapshots of a directory of up to [`SERVERS_PER_INTERVAL`] servers.
const SNAPSHOT_INTERVAL: Millis = 1_000;
/// Each time the directory contains this many more servers, the minimum time grows by another [`SNAPSHOT_INTERVAL`], so
/// that the write rate does not grow with the number of servers.
const SERVERS_PER_INTERVAL: usize = 1_024;

/// Encodes a snapshot of the directory whenever it has changed and the minimum time since the last snapshot has passed.
#[derive(Debug, Default)]
pub struct DirectorySnapshotWriter {
    /// The directory's cursor at the newest snapshot.
    saved: DirectoryCursor,
    next_due: Millis,
    /// The ticket of the newest snapshot while it is not synced.
    unsynced_ticket: Option<u64>,
    /// The newest snapshot, encoded; empty if there is none.
    newest: Vec<u8>,
    /// Encoded records of servers that have begun to leave since the newest snapshot.
    leaving: Vec<Vec<u8>>,
}

impl DirectorySnapshotWriter {
    /// Removes the directory's records from the records of the journal, so that only those of the shards remain.
    /// Returns the servers of the newest snapshot that can be decoded, followed by those that have begun to leave since
    /// then.
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

    /// Encodes servers that have begun to leave and returns the record for [`LEAVING_STREAM`].
    pub fn add_leaving(&mut self, records: &[ServerRecord]) -> Vec<u8> {
        let encoded = bitcode::encode(records);
        self.leaving.push(encoded.clone());
        encoded
    }

    /// Returns the encoded snapshot to write now, if one is due and the directory has changed.
    pub fn take_due(&mut self, now: Millis, directory: &Directory) -> Option<Vec<u8>> {
        let leaving_bytes: usize = self.leaving.iter().map(Vec::len).sum();
        let is_due = now >= self.next_due || leaving_bytes > MAX_LEAVING_BYTES;
        if !is_due || self.unsynced_ticket.is_some() || directory.cursor() == self.saved {
            return None;
        }
        self.saved = directory.cursor();
        let records: Vec<ServerRecord> = directory.records().cloned().collect();
        let intervals = 1 + records.len() / SERVERS_PER_INTERVAL;
        self.next_due = now + SNAPSHOT_INTERVAL * intervals as Millis;
        self.newest = encode_snapshot(records);
        self.leaving.clear();
        Some(self.newest.clone())
    }

    /// Must be called with the ticket of each snapshot. Until it is synced no other snapshot is due, so that the snapshots
    /// that wait for a stalled disk do not add up.
    pub fn on_written(&mut self, ticket: u64) {
        self.unsynced_ticket = Some(ticket);
    }

    /// Handles the sync of all records up to and including a ticket.
    pub fn on_synced(&mut self, ticket: u64) {
        if self.unsynced_ticket.is_some_and(|unsynced| unsynced <= ticket) {
            self.unsynced_ticket = None;
        }
    }

    /// Returns the stream and bytes of each record that a checkpoint of the journal must keep: the newest snapshot, and
    /// the servers that have begun to leave since.
    pub fn live_records(&self) -> Vec<(u32, Vec<u8>)> {
        let snapshot = (!self.newest.is_empty()).then(|| (STREAM, self.newest.clone()));
        let leaving = self.leaving.iter().map(|record| (LEAVING_STREAM, record.clone()));
        snapshot.into_iter().chain(leaving).collect()
    }
}

/// Encodes as many records as fit into [`MAX_SNAPSHOT_BYTES`]. Servers that leave come first: they have been told that
/// their departure is stored, while the others are known again from their next heartbeats.
fn encode_snapshot(mut records: Vec<ServerRecord>) -> Vec<u8> {
    let mut encoded = bitcode::encode(&records);
    if encoded.len() > MAX_SNAPSHOT_BYTES {
        records.sort_by_key(|record| !matches!(record.presence, Presence::Draining | Presence::Removed));
    }
    while encoded.len() > MAX_SNAPSHOT_BYTES {
        let fitting = records.len() * MAX_SNAPSHOT_BYTES / encoded.len();
        records.truncate(fitting.min(records.len() - 1));
        encoded = bitcode::encode(&records);
    }
    encoded
}
