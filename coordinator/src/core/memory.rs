//! What a coordinator remembers of the servers over a restart.
//!
//! The directory is soft state, rebuilt from heartbeats. Until these have come, a fleet that was killed as a whole
//! serves by what its coordinators had written to their disks: a server that is no longer there is found out by
//! the first request, which goes to another one.

use shaletrail_cluster::Directory;
use shaletrail_protocol::internal::{DirectoryCursor, ServerRecord};
use shaletrail_protocol::Millis;
use shaletrail_storage::StoredRecord;

/// The stream of the journal that holds the directory; shards have the lower ones.
pub const STREAM: u32 = 1_000;
/// Between two records of the directory, if it has changed.
const EVERY: Millis = 1_000;
/// Servers that are written, at most.
const MOST_SERVERS: usize = 4_096;

/// Writes the directory down as it changes.
#[derive(Debug, Default)]
pub struct DirectoryMemory {
    saved: DirectoryCursor,
    next: Millis,
    newest: Vec<u8>,
}

impl DirectoryMemory {
    /// What the journal held, if anything; the records of the shards stay in `stored`.
    pub fn take_from(stored: &mut Vec<StoredRecord>) -> Vec<ServerRecord> {
        let mut newest = None;
        stored.retain(|record| {
            if record.stream == STREAM {
                newest = bitcode::decode(&record.bytes).ok().or(newest.take());
            }
            record.stream != STREAM
        });
        newest.unwrap_or_default()
    }

    /// A server has begun to leave: that should be on the disk soon.
    pub fn hurry(&mut self) {
        self.next = 0;
    }

    /// The directory as it should be written now, if it has changed.
    pub fn due(&mut self, now: Millis, directory: &Directory) -> Option<Vec<u8>> {
        if now < self.next || directory.cursor() == self.saved {
            return None;
        }
        (self.next, self.saved) = (now + EVERY, directory.cursor());
        let records: Vec<ServerRecord> = directory.records().take(MOST_SERVERS).cloned().collect();
        self.newest = bitcode::encode(&records);
        Some(self.newest.clone())
    }

    /// What a checkpoint must hold.
    pub fn live_record(&self) -> Option<(u32, Vec<u8>)> {
        (!self.newest.is_empty()).then(|| (STREAM, self.newest.clone()))
    }
}
