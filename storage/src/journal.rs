//! The journal: appends, syncs and checkpoints over a ring of files.

use std::collections::VecDeque;

use snafu::{ensure, ResultExt};

use crate::appender::{Appender, Item};
use crate::error::{IoSnafu, StorageError, TooLongSnafu};
use crate::header::PAGE;
use crate::record::{self, Kind, LONGEST_PART};
use crate::replay::{replay, Replay, StoredRecord};
use crate::ring::Purpose;
use crate::{erase, Disk, Options};

/// What opening a journal found.
pub struct Opened<D> {
    /// The journal, ready for appends. Ask it at once whether it [wants a checkpoint](Journal::wants_checkpoint).
    pub journal: Journal<D>,
    /// All records from the newest checkpoint on, in order. All of them are synced.
    pub stored: Vec<StoredRecord>,
    /// No record has ever been safe in this folder, or the folder has been wiped or erased: whoever kept promises in
    /// it has forgotten them. Stays so over restarts until the first record is synced, and never comes back unless
    /// the folder is wiped or erased.
    pub fresh: bool,
    /// Whether ring files were there. A fresh journal with files was interrupted during its first start, or has had
    /// nothing synced yet.
    pub had_files: bool,
}

/// Checksummed records of several streams in a ring of files.
pub struct Journal<D> {
    appender: Appender<D>,
    longest_record: usize,
    /// Appended and not yet synced.
    pending: VecDeque<StoredRecord>,
    /// The newest sequence number that counts.
    committed: u64,
}

impl<D: Disk> Journal<D> {
    /// Reads the journal of a folder; begins one where there is none.
    ///
    /// # Errors
    /// [`StorageError::Io`] may pass. After [`StorageError::Corrupt`] the disk must be treated as one that has
    /// forgotten; [`erase`](crate::erase) makes room for a new journal.
    pub fn open(mut disk: D, options: &Options) -> Result<Opened<D>, StorageError> {
        options.check()?;
        erase::resume(&mut disk)?;
        let Replay { stored, committed, ring } = replay(&mut disk, options.max_files)?;
        let had_files = !ring.files.is_empty();
        if had_files {
            disk.sync_folder().context(IoSnafu { operation: "sync", file: "the folder" })?;
        }
        if let Some(newest) = ring.chain.last() {
            let file = ring.name(newest.file);
            disk.sync(file).context(IoSnafu { operation: "sync", file })?;
        }
        let mut appender = Appender::new(disk, ring, options.file_bytes, committed);
        let fresh = committed == 0;
        let missing = options.first_files.saturating_sub(appender.ring.files.len());
        if fresh && missing > 0 {
            appender.grow(missing)?;
        }
        let longest_record = options.longest_record;
        let journal = Journal { appender, longest_record, pending: VecDeque::new(), committed };
        Ok(Opened { journal, stored, fresh, had_files })
    }

    /// Takes a record in. It is safe after the next [`Journal::sync`] that succeeds.
    ///
    /// # Errors
    /// [`StorageError::TooLong`]; nothing was taken then.
    pub fn append(&mut self, stream: u32, bytes: Vec<u8>) -> Result<(), StorageError> {
        let (length, longest) = (bytes.len(), self.longest_record);
        ensure!(length <= longest, TooLongSnafu { length, longest });
        self.pending.push_back(StoredRecord { stream, bytes });
        Ok(())
    }

    /// Makes all appended records safe.
    ///
    /// # Errors
    /// Nothing is known to be safe that was not before, but no record is lost: the next call writes those that are
    /// not safe yet anew, in another file. After [`StorageError::RingFull`] that succeeds only after a checkpoint.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        let mut ends = Vec::with_capacity(self.pending.len());
        let result = self.write_pending(&mut ends);
        let synced = self.appender.synced();
        let safe = ends.partition_point(|end| *end <= synced);
        self.committed = ends.get(..safe).and_then(<[u64]>::last).copied().unwrap_or(self.committed);
        self.pending.drain(..safe);
        if result.is_err() {
            self.appender.abandon(self.committed);
        }
        result
    }

    /// Records that were appended and are not safe yet.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The longest record that is taken, in bytes.
    pub fn longest_record(&self) -> usize {
        self.longest_record
    }

    /// Whether the ring is filling: appends are refused before a checkpoint would not fit any more.
    pub fn wants_checkpoint(&self) -> bool {
        self.appender.ring.wants_checkpoint()
    }

    /// Replaces all that was appended before, synced or not, by `live`, pairs of stream and bytes. All of it is safe
    /// once this succeeds.
    ///
    /// # Errors
    /// Nothing has changed then: what was safe is, what was appended and not safe is still to be synced.
    /// [`StorageError::RingFull`] if `live` needs too many files; how many others are in use does not matter.
    pub fn checkpoint(&mut self, live: &[(u32, Vec<u8>)]) -> Result<(), StorageError> {
        let longest = self.longest_record;
        for length in live.iter().map(|(_, bytes)| bytes.len()) {
            ensure!(length <= longest, TooLongSnafu { length, longest });
        }
        let result = self.write_checkpoint(live);
        match result {
            Ok(generation) => {
                self.committed = self.appender.synced();
                self.appender.ring.rebase(generation);
                self.pending.clear();
                Ok(())
            }
            Err(error) => {
                self.appender.abandon(self.committed);
                Err(error)
            }
        }
    }

    fn write_pending(&mut self, ends: &mut Vec<u64>) -> Result<(), StorageError> {
        for StoredRecord { stream, bytes } in &self.pending {
            let item = Item { kind: Kind::Append, stream: *stream, bytes };
            ends.push(self.appender.write(item, Purpose::Append)?);
        }
        self.appender.sync()
    }

    /// Writes and syncs a whole checkpoint; the generation that it began with.
    fn write_checkpoint(&mut self, live: &[(u32, Vec<u8>)]) -> Result<u64, StorageError> {
        let file_bytes = self.appender.file_bytes();
        self.appender.ring.check_checkpoint(segments_for(live, file_bytes))?;
        self.appender.begin_segment(Purpose::Checkpoint, true)?;
        let generation = self.appender.ring.newest_generation;
        let mark = |kind| Item { kind, stream: 0, bytes: &[] };
        let records =
            live.iter().map(|(stream, bytes)| Item { kind: Kind::CheckpointLive, stream: *stream, bytes });
        let end = [mark(Kind::CheckpointEnd)];
        for item in [mark(Kind::CheckpointBegin)].into_iter().chain(records).chain(end) {
            self.appender.write(item, Purpose::Checkpoint)?;
        }
        self.appender.sync()?;
        Ok(generation)
    }
}

/// Segments that a checkpoint takes up at most.
fn segments_for(live: &[(u32, Vec<u8>)], file_bytes: u64) -> usize {
    /// What may stay unused at a segment's end, or be needed for one more part after it.
    const LOST: u64 = 256;
    let whole_parts = |length: usize| length / LONGEST_PART * record::span(LONGEST_PART);
    let spans =
        live.iter().map(|(_, bytes)| whole_parts(bytes.len()) + record::span(bytes.len() % LONGEST_PART));
    let marks = 2 * record::span(0);
    let bytes = (spans.sum::<usize>() + marks) as u64;
    bytes.div_ceil(file_bytes.saturating_sub(PAGE + LOST).max(1)) as usize
}
