//! The journal: appends, syncs and checkpoints over a ring of segment files.

use std::collections::VecDeque;

use snafu::ensure;

use crate::error::{RecordTooLargeSnafu, StorageError};
use crate::fragment::RecordKind;
use crate::recovery::{recover, Recovery};
use crate::segment_ring::SegmentPurpose;
use crate::segment_writer::{RecordRef, SegmentWriter};
use crate::{checkpoint, disk_io, erase, Disk, Options, StoredRecord};

/// A journal that was opened, and what recovery found in it.
pub struct OpenedJournal<D> {
    /// The journal, ready for appends. Check at once whether it [wants a checkpoint](Journal::wants_checkpoint).
    pub journal: Journal<D>,
    /// All records from the newest complete checkpoint on, in order. All of them are durable.
    pub stored: Vec<StoredRecord>,
    /// No record has ever been durable in this directory, or it has been wiped or erased: a voter that kept its state
    /// there has lost it. Stays true across restarts until the first record is durable, and is never true again unless
    /// the directory is wiped or erased.
    pub fresh: bool,
    /// Whether a journal was ever erased in this directory: what is fresh has lost its state then. Stays true for good.
    pub erased: bool,
    /// Whether ring files existed. A fresh journal with files was interrupted during its first start, or nothing has
    /// been synced in it yet.
    pub had_files: bool,
}

/// A write-ahead log of several streams of records.
pub struct Journal<D> {
    writer: SegmentWriter<D>,
    max_record_bytes: usize,
    /// Appended and not yet durable.
    pending: VecDeque<StoredRecord>,
    /// Sequence number of the newest durable record's last fragment; 0 if there is none.
    durable_sequence: u64,
}

impl<D: Disk> Journal<D> {
    /// Recovers the journal of a directory; creates one if there is none.
    ///
    /// # Errors
    /// [`StorageError::Io`] may be transient. After [`StorageError::Corrupt`] the disk must be treated as one that has
    /// lost its data; [`erase`](crate::erase) prepares it for a new journal. [`StorageError::InvalidOption`] if
    /// `options` cannot work.
    pub fn open(mut disk: D, options: &Options) -> Result<OpenedJournal<D>, StorageError> {
        options.validate()?;
        erase::complete_interrupted(&mut disk)?;
        let erased = erase::was_erased(&mut disk)?;
        let Recovery { stored, durable_sequence, ring } = recover(&mut disk, options.max_files)?;
        let had_files = !ring.files.is_empty();
        // The process before may have crashed with names and records unsynced. They count as durable from here on, so
        // they have to be.
        if had_files {
            disk_io::sync_folder(&mut disk)?;
        }
        if let Some(newest) = ring.live_segments.last() {
            disk_io::sync(&mut disk, ring.file_name(newest.file))?;
        }
        let mut writer = SegmentWriter::new(disk, ring, options.file_bytes, durable_sequence);
        let fresh = durable_sequence == 0;
        let missing_files = options.initial_files.saturating_sub(writer.ring.files.len());
        if fresh && missing_files > 0 {
            writer.create_files(missing_files)?;
        }
        let max_record_bytes = options.max_record_bytes;
        let journal = Journal { writer, max_record_bytes, pending: VecDeque::new(), durable_sequence };
        Ok(OpenedJournal { journal, stored, fresh, erased, had_files })
    }

    /// Appends a record. It is durable after the next [`Journal::sync`] that succeeds.
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`]; nothing was appended then.
    pub fn append(&mut self, stream: u32, bytes: Vec<u8>) -> Result<(), StorageError> {
        self.check_length(&bytes)?;
        self.pending.push_back(StoredRecord { stream, bytes });
        Ok(())
    }

    /// Makes all appended records durable.
    ///
    /// # Errors
    /// [`StorageError::Io`], or [`StorageError::RingFull`], after which only a checkpoint helps. Some of the records may
    /// be durable even so; the next call writes the others again, in another segment.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let mut ends = Vec::with_capacity(self.pending.len());
        let result = self.write_pending(&mut ends);
        let synced = self.writer.synced_sequence();
        let durable = ends.partition_point(|end| *end <= synced);
        let newest = ends.get(..durable).and_then(<[u64]>::last).copied();
        self.durable_sequence = newest.unwrap_or(self.durable_sequence);
        self.pending.drain(..durable);
        if result.is_err() {
            self.writer.abandon_segment(self.durable_sequence);
        }
        result
    }

    /// Number of records that were appended and are not durable yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The largest record that is accepted, in bytes.
    pub fn max_record_bytes(&self) -> usize {
        self.max_record_bytes
    }

    /// Whether the ring is filling up. Appends are refused before a checkpoint would not fit any more.
    pub fn wants_checkpoint(&self) -> bool {
        self.writer.ring.wants_checkpoint()
    }

    /// Replaces everything appended before, synced or not, by `live`, pairs of stream and payload. All of it is durable
    /// once this succeeds.
    ///
    /// # Errors
    /// Nothing has changed then: durable records still are, the others are still pending. [`StorageError::RingFull`] if
    /// `live` needs too many files, however many others are in use; [`StorageError::RecordTooLarge`];
    /// [`StorageError::Io`].
    pub fn checkpoint(&mut self, live: &[(u32, Vec<u8>)]) -> Result<(), StorageError> {
        for (_, bytes) in live {
            self.check_length(bytes)?;
        }
        match self.write_checkpoint(live) {
            Ok(generation) => {
                self.durable_sequence = self.writer.synced_sequence();
                self.writer.ring.release_before(generation);
                self.pending.clear();
                Ok(())
            }
            Err(error) => {
                self.writer.abandon_segment(self.durable_sequence);
                Err(error)
            }
        }
    }

    fn check_length(&self, bytes: &[u8]) -> Result<(), StorageError> {
        let (length, limit) = (bytes.len(), self.max_record_bytes);
        ensure!(length <= limit, RecordTooLargeSnafu { length, limit });
        Ok(())
    }

    /// Writes and syncs the pending records. `ends` receives the sequence number of each one's last fragment, as far as
    /// they were written.
    fn write_pending(&mut self, ends: &mut Vec<u64>) -> Result<(), StorageError> {
        for StoredRecord { stream, bytes } in &self.pending {
            let record = RecordRef { kind: RecordKind::Append, stream: *stream, bytes };
            ends.push(self.writer.write(record, SegmentPurpose::Append)?);
        }
        self.writer.sync()
    }

    /// Writes and syncs a complete checkpoint; the generation of its first segment.
    fn write_checkpoint(&mut self, live: &[(u32, Vec<u8>)]) -> Result<u64, StorageError> {
        let needed = checkpoint::max_segments(live, self.writer.file_bytes());
        self.writer.ring.check_checkpoint(needed)?;
        self.writer.begin_segment(SegmentPurpose::Checkpoint, true)?;
        let generation = self.writer.ring.newest_generation;
        for record in checkpoint::records(live) {
            self.writer.write(record, SegmentPurpose::Checkpoint)?;
        }
        self.writer.sync()?;
        Ok(generation)
    }
}
