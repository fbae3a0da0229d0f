//! A coordinator's journal on an emulated disk, of which every sync takes the same time.

use std::collections::VecDeque;

use shaletrail_storage::StoredRecord;

/// Size from which a checkpoint is wanted: three of the six files with which the production journal begins.
const CHECKPOINT_THRESHOLD_BYTES: usize = 12 << 20;

/// Records that a coordinator appends, with the ticket by which it learns of their sync.
type Append = (u64, Vec<StoredRecord>);

/// Synced records, and those that a crash loses.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    synced: Vec<StoredRecord>,
    synced_bytes: usize,
    /// Appends that the write in flight does not cover.
    pending: VecDeque<Append>,
    /// The write in flight, with the ticket of its last append.
    in_flight: Option<Append>,
}

impl Journal {
    /// The records that a process finds when it starts.
    pub fn synced(&self) -> &[StoredRecord] {
        &self.synced
    }

    /// The size of the synced records.
    pub fn synced_bytes(&self) -> usize {
        self.synced_bytes
    }

    /// Whether the journal is so large that it should be replaced by a checkpoint.
    pub fn wants_checkpoint(&self) -> bool {
        self.synced_bytes > CHECKPOINT_THRESHOLD_BYTES
    }

    /// Appends records to the next write.
    pub fn append(&mut self, ticket: u64, records: Vec<StoredRecord>) {
        self.pending.push_back((ticket, records));
    }

    /// Begins a write of all pending appends and returns its ticket; `None` if one is in flight or nothing is pending.
    pub fn begin_write(&mut self) -> Option<u64> {
        if self.in_flight.is_some() {
            return None;
        }
        let ticket = self.pending.back()?.0;
        let records = self.pending.drain(..).flat_map(|(_, records)| records).collect();
        self.in_flight = Some((ticket, records));
        Some(ticket)
    }

    /// Completes the write of a ticket and returns the records that it synced; `None` if it is not in flight.
    pub fn complete_write(&mut self, ticket: u64) -> Option<&[StoredRecord]> {
        let (_, records) = self.in_flight.take_if(|(in_flight, _)| *in_flight == ticket)?;
        self.synced_bytes += size_of_records(&records);
        let first = self.synced.len();
        self.synced.extend(records);
        self.synced.get(first..)
    }

    /// Replaces all synced records.
    pub fn checkpoint(&mut self, records: Vec<StoredRecord>) {
        self.synced_bytes = size_of_records(&records);
        self.synced = records;
    }

    /// Loses everything that is not synced.
    pub fn crash(&mut self) {
        self.pending.clear();
        self.in_flight = None;
    }
}

/// The size of records, without what a file adds to them.
pub(crate) fn size_of_records(records: &[StoredRecord]) -> usize {
    records.iter().map(|record| record.bytes.len()).sum()
}
