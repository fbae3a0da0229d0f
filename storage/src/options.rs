//! Sizes and limits of a journal.

use snafu::ensure;

use crate::checkpoint;
use crate::error::{InvalidOptionSnafu, StorageError};
use crate::segment_header::PAGE_BYTES;
use crate::segment_ring::checkpoint_limit;

const MEBIBYTE: u64 = 1 << 20;
/// One page for the header and three pages for records.
const MIN_FILE_BYTES: u64 = 4 * PAGE_BYTES;
/// With fewer files, almost no space would be left for appends between two checkpoints.
const MIN_FILES: usize = 8;

/// Sizes and limits of a journal. [`Journal::open`](crate::Journal::open) rejects values below their minimum.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Size of a new file, in bytes; at least 16 KiB. Existing files keep their size.
    pub file_bytes: u64,
    /// Number of files created with a new journal; at least 1.
    pub initial_files: usize,
    /// Maximum number of files; at least 8 and at least [`initial_files`](Options::initial_files). A checkpoint may use
    /// one file less than half of them, so that it always fits beside the checkpoint it replaces. Appends may use one
    /// file less than a checkpoint.
    pub max_files: usize,
    /// Maximum length of a record, in bytes.
    pub max_record_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { file_bytes: 4 * MEBIBYTE, initial_files: 6, max_files: 20, max_record_bytes: 16 << 20 }
    }
}

impl Options {
    /// Returns the default sizes, reduced so that the ring uses at most five eighths of a disk of `disk_mb` mebibytes,
    /// but not below the minimum sizes. A `disk_mb` of 0 means that the disk size is unknown, and gives the defaults.
    pub fn for_disk(disk_mb: u64) -> Self {
        let default = Options::default();
        if disk_mb == 0 {
            return default;
        }
        let budget = disk_mb.saturating_mul(MEBIBYTE) / 8 * 5;
        // On a small disk the files are smaller instead of fewer, because a checkpoint must fit beside the one it
        // replaces.
        let pages = budget / MIN_FILES as u64 / PAGE_BYTES;
        let file_bytes = (pages * PAGE_BYTES).clamp(MIN_FILE_BYTES, default.file_bytes);
        let files = (budget / file_bytes) as usize;
        let max_files = files.clamp(MIN_FILES, default.max_files);
        Options { file_bytes, max_files, initial_files: default.initial_files.min(max_files), ..default }
    }

    /// Returns the total size of records, in bytes, that a checkpoint always has room for, however many files of the ring
    /// are in use.
    pub fn checkpoint_bytes(&self) -> usize {
        checkpoint::capacity(checkpoint_limit(self.max_files), self.file_bytes)
    }

    /// Checks each size against its minimum.
    ///
    /// # Errors
    /// [`StorageError::InvalidOption`] for the first field that is too small.
    pub(crate) fn validate(&self) -> Result<(), StorageError> {
        let require_at_least = |name, found, min| {
            ensure!(found >= min, InvalidOptionSnafu { name, found, min });
            Ok(())
        };
        require_at_least("file_bytes", self.file_bytes, MIN_FILE_BYTES)?;
        require_at_least("initial_files", self.initial_files as u64, 1)?;
        require_at_least("max_files", self.max_files as u64, MIN_FILES.max(self.initial_files) as u64)
    }
}
