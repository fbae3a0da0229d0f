//! The journal: appends, syncs and checkpoints on a ring of segment files.

use std::collections::VecDeque;

use snafu::ensure;

use crate::error::{RecordTooLargeSnafu, StorageError};
use crate::fragment::RecordKind;
use crate::recovery::{recover, Recovery};
use crate::segment_ring::SegmentPurpose;
use crate::segment_writer::{RecordRef, SegmentWriter};
use crate::{checkpoint, disk_io, erase, Disk, Options, StoredRecord};

/// An opened journal and what recovery found in its directory.
pub struct OpenedJournal<D> {
    /// The journal, ready for appends. The caller should check [`Journal::wants_checkpoint`] right after opening.
    pub journal: Journal<D>,
    /// All records since the newest complete checkpoint, including its own, in order. All of them are durable.
    pub stored: Vec<StoredRecord>,
    /// Whether no record has been durable in this directory since it was created, wiped or erased. A voter that kept
    /// its state in such a directory has lost that state. Stays true across restarts until the first record is durable;
    /// after that, only wiping or erasing the directory makes it true again.
    pub fresh: bool,
    /// Whether a journal has ever been erased in this directory. If the journal is also fresh, earlier state has been
    /// lost. Once true, it stays true.
    pub erased: bool,
    /// Whether ring files existed before the journal was opened. If a fresh journal has files, its first start was
    /// interrupted, or nothing has been synced in it yet.
    pub had_files: bool,
}

/// A write-ahead log for several streams of records.
pub struct Journal<D> {
    writer: SegmentWriter<D>,
    max_record_bytes: usize,
    /// Records that were appended and are not durable yet.
    pending: VecDeque<StoredRecord>,
    /// Sequence number of the last fragment of the newest durable record; 0 if there is none.
    durable_sequence: u64,
}

impl<D: Disk> Journal<D> {
    /// Recovers the journal of a directory, or creates one if there is none.
    ///
    /// # Errors
    /// - [`StorageError::Io`], which may be transient.
    /// - [`StorageError::Corrupt`]: the disk must be treated as having lost its data. [`erase`](crate::erase) prepares
    ///   it for a new journal.
    /// - [`StorageError::InvalidOption`] if an option is below its minimum.
    pub fn open(mut disk: D, options: &Options) -> Result<OpenedJournal<D>, StorageError> {
        options.validate()?;
        erase::resume_interrupted(&mut disk)?;
        let erased = erase::was_erased(&mut disk)?;
        let Recovery { stored, durable_sequence, ring } = recover(&mut disk, options.max_files)?;
        let had_files = !ring.files.is_empty();
        // A previous process may have crashed before it synced file names and records. From here on they count as
        // durable, so they are synced now.
        if had_files {
            disk_io::sync_directory(&mut disk)?;
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

    /// Appends a record. It is durable after the next successful [`Journal::sync`].
    ///
    /// # Errors
    /// [`StorageError::RecordTooLarge`], in which case nothing was appended.
    pub fn append(&mut self, stream: u32, bytes: Vec<u8>) -> Result<(), StorageError> {
        self.check_length(&bytes)?;
        self.pending.push_back(StoredRecord { stream, bytes });
        Ok(())
    }

    /// Makes all appended records durable.
    ///
    /// # Errors
    /// [`StorageError::Io`], or [`StorageError::RingFull`], which only a checkpoint resolves. Some of the records may
    /// be durable despite the error; the next call writes the others again in another segment.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let mut end_sequences = Vec::with_capacity(self.pending.len());
        let result = self.write_pending(&mut end_sequences);
        let synced = self.writer.synced_sequence();
        let durable_count = end_sequences.partition_point(|end| *end <= synced);
        let newest = end_sequences.get(..durable_count).and_then(<[u64]>::last).copied();
        self.durable_sequence = newest.unwrap_or(self.durable_sequence);
        self.pending.drain(..durable_count);
        if result.is_err() {
            self.writer.abandon_segment(self.durable_sequence);
        }
        result
    }

    /// Returns the number of records that were appended and are not durable yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Returns the maximum length of a record, in bytes.
    pub fn max_record_bytes(&self) -> usize {
        self.max_record_bytes
    }

    /// Returns whether a checkpoint should be made because the ring is filling up. Appends are refused before the ring
    /// is too full for a checkpoint.
    pub fn wants_checkpoint(&self) -> bool {
        self.writer.ring.wants_checkpoint()
    }

    /// Replaces all earlier records, synced or not, by `live`, which are pairs of stream and payload. All of them are
    /// durable once this succeeds.
    ///
    /// # Errors
    /// On an error nothing has changed: durable records stay durable and the others stay pending.
    /// - [`StorageError::RingFull`] if `live` needs too many files; this does not depend on how many other files are in
    ///   use.
    /// - [`StorageError::RecordTooLarge`]
    /// - [`StorageError::Io`]
    pub fn checkpoint(&mut self, live: &[(u32, Vec<u8>)]) -> Result<(), StorageError> {
        for (_, bytes) in live {
            self.check_length(bytes)?;
        }
        match self.write_checkpoint(live) {
            Ok(generation) => {
                self.durable_sequence = self.writer.synced_sequence();
                self.writer.ring.free_segments_before(generation);
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

    /// Writes and syncs the pending records. Appends to `end_sequences` the sequence number of the last fragment of
    /// each record that was written.
    fn write_pending(&mut self, end_sequences: &mut Vec<u64>) -> Result<(), StorageError> {
        for StoredRecord { stream, bytes } in &self.pending {
            let record = RecordRef { kind: RecordKind::Append, stream: *stream, bytes };
            end_sequences.push(self.writer.write(record, SegmentPurpose::Append)?);
        }
        self.writer.sync()
    }

    /// Writes and syncs a complete checkpoint. Returns the generation of its first segment.
    fn write_checkpoint(&mut self, live: &[(u32, Vec<u8>)]) -> Result<u64, StorageError> {
        let needed = checkpoint::max_segments(live, self.writer.file_bytes());
        self.writer.ring.check_checkpoint_fits(needed)?;
        self.writer.begin_segment(SegmentPurpose::Checkpoint, true)?;
        let generation = self.writer.ring.newest_generation;
        for record in checkpoint::records(live) {
            self.writer.write(record, SegmentPurpose::Checkpoint)?;
        }
        self.writer.sync()?;
        Ok(generation)
    }
}
