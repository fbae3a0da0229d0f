//! Sizes and limits of a journal.

use snafu::ensure;

use crate::error::{InvalidOptionSnafu, StorageError};
use crate::segment_header::PAGE_BYTES;

const MEBIBYTE: u64 = 1 << 20;
/// The smallest file: the header's page and capacity for records.
const MIN_FILE_BYTES: u64 = 4 * PAGE_BYTES;
/// With fewer files there would be next to no capacity for appends between two checkpoints.
const MIN_FILES: usize = 8;

/// Sizes and limits of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bytes of a new file; at least 16 KiB. Existing files keep their length.
    pub file_bytes: u64,
    /// Files created when a journal begins; at least one.
    pub initial_files: usize,
    /// Limit on the number of files; at least 8 and [`initial_files`](Options::initial_files). A checkpoint may take up
    /// one less than half of them, so that it always fits beside the one it replaces; appends may use one less.
    pub max_files: usize,
    /// The largest record, in bytes.
    pub max_record_bytes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { file_bytes: 4 * MEBIBYTE, initial_files: 6, max_files: 20, max_record_bytes: 16 << 20 }
    }
}

impl Options {
    /// The default sizes, reduced to at most five eighths of a disk of `disk_mb` mebibytes; 0 stands for a disk of
    /// unknown size.
    pub fn for_disk(disk_mb: u64) -> Self {
        let default = Options::default();
        if disk_mb == 0 {
            return default;
        }
        let budget = disk_mb.saturating_mul(MEBIBYTE) / 8 * 5;
        // On a small disk the files are smaller, not fewer: a checkpoint must fit beside the one it replaces.
        let pages = budget / MIN_FILES as u64 / PAGE_BYTES;
        let file_bytes = (pages * PAGE_BYTES).clamp(MIN_FILE_BYTES, default.file_bytes);
        let files = (budget / file_bytes) as usize;
        let max_files = files.clamp(MIN_FILES, default.max_files);
        Options { file_bytes, max_files, initial_files: default.initial_files.min(max_files), ..default }
    }

    /// Validates the sizes.
    ///
    /// # Errors
    /// [`StorageError::InvalidOption`] names the first field that is too small.
    pub(crate) fn validate(&self) -> Result<(), StorageError> {
        let at_least = |name, found, min| {
            ensure!(found >= min, InvalidOptionSnafu { name, found, min });
            Ok(())
        };
        at_least("file_bytes", self.file_bytes, MIN_FILE_BYTES)?;
        at_least("initial_files", self.initial_files as u64, 1)?;
        at_least("max_files", self.max_files as u64, MIN_FILES.max(self.initial_files) as u64)
    }
}
