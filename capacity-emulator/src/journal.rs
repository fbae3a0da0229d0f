//! A coordinator's journal on an emulated disk on which every sync takes the same time.

use std::collections::VecDeque;

use shaletrail_storage::StoredRecord;

/// The size above which a checkpoint is requested: three of the six files that the production journal starts with.
const CHECKPOINT_THRESHOLD_BYTES: usize = 12 << 20;

/// A batch of records appended by a coordinator, with the ticket that is reported when they are synced.
type Append = (u64, Vec<StoredRecord>);

/// The records of the journal: synced ones, and those that a crash loses.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    synced: Vec<StoredRecord>,
    synced_bytes: usize,
    /// Appended batches that are not part of the write in flight.
    pending: VecDeque<Append>,
    /// The write in flight, with the ticket of its last batch.
    in_flight: Option<Append>,
}

impl Journal {
    /// The records that a process reads when it starts.
    pub fn synced(&self) -> &[StoredRecord] {
        &self.synced
    }

    /// The total size of the synced records, in bytes.
    pub fn synced_bytes(&self) -> usize {
        self.synced_bytes
    }

    /// Whether the journal is large enough to be replaced by a checkpoint.
    pub fn wants_checkpoint(&self) -> bool {
        self.synced_bytes > CHECKPOINT_THRESHOLD_BYTES
    }

    /// Adds records to the next write.
    pub fn append(&mut self, ticket: u64, records: Vec<StoredRecord>) {
        self.pending.push_back((ticket, records));
    }

    /// Starts a write of all pending batches and returns its ticket; `None` if a write is in flight or nothing is
    /// pending.
    pub fn begin_write(&mut self) -> Option<u64> {
        if self.in_flight.is_some() {
            return None;
        }
        let ticket = self.pending.back()?.0;
        let records = self.pending.drain(..).flat_map(|(_, records)| records).collect();
        self.in_flight = Some((ticket, records));
        Some(ticket)
    }

    /// Completes the write with this ticket and returns the records that it synced; `None` if it is not in flight.
    pub fn complete_write(&mut self, ticket: u64) -> Option<&[StoredRecord]> {
        let (_, records) = self.in_flight.take_if(|(in_flight, _)| *in_flight == ticket)?;
        self.synced_bytes += size_of_records(&records);
        let first = self.synced.len();
        self.synced.extend(records);
        self.synced.get(first..)
    }

    /// Replaces all synced records with those of a checkpoint.
    pub fn checkpoint(&mut self, records: Vec<StoredRecord>) {
        self.synced_bytes = size_of_records(&records);
        self.synced = records;
    }

    /// Discards all records that are not synced.
    pub fn crash(&mut self) {
        self.pending.clear();
        self.in_flight = None;
    }
}

/// The total size of the record contents in bytes, without the framing that a file adds.
pub(crate) fn size_of_records(records: &[StoredRecord]) -> usize {
    records.iter().map(|record| record.bytes.len()).sum()
}
