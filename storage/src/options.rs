//! Sizes of a journal.

use snafu::ensure;

use crate::error::{OptionsSnafu, StorageError};
use crate::header::PAGE;

const MEBIBYTE: u64 = 1 << 20;
/// The smallest segment: the header's page and room for records.
const LEAST_FILE_BYTES: u64 = 4 * PAGE;
/// With fewer files there would be next to no room for appends between two checkpoints.
const LEAST_FILES: usize = 8;

/// Sizes of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Bytes of a file. May differ from those of files that are there already.
    pub file_bytes: u64,
    /// Files made at the first start.
    pub first_files: usize,
    /// Files that there may be. A checkpoint may take up half of them but one, so that it always fits beside what it
    /// replaces; appends go on up to one less.
    pub max_files: usize,
    /// The longest record, in bytes.
    pub longest_record: usize,
}

impl Default for Options {
    fn default() -> Self {
        Options { file_bytes: 4 * MEBIBYTE, first_files: 6, max_files: 20, longest_record: 16 << 20 }
    }
}

impl Options {
    /// The usual sizes, with at most five eighths of a disk of `disk_mb` megabytes used; 0 stands for a disk of
    /// unknown size.
    pub fn for_disk(disk_mb: u64) -> Self {
        let usual = Options::default();
        if disk_mb == 0 {
            return usual;
        }
        let share = disk_mb.saturating_mul(MEBIBYTE) / 8 * 5;
        // On a small disk the files are smaller, not fewer: a checkpoint must fit beside what it replaces.
        let pages = share / LEAST_FILES as u64 / PAGE;
        let file_bytes = (pages * PAGE).clamp(LEAST_FILE_BYTES, usual.file_bytes);
        let files = (share / file_bytes) as usize;
        let max_files = files.clamp(LEAST_FILES, usual.max_files);
        Options { file_bytes, max_files, first_files: usual.first_files.min(max_files), ..usual }
    }

    pub(crate) fn check(&self) -> Result<(), StorageError> {
        let least = |name, found, least| {
            ensure!(found >= least, OptionsSnafu { name, found, least });
            Ok(())
        };
        least("file_bytes", self.file_bytes, LEAST_FILE_BYTES)?;
        least("first_files", self.first_files as u64, 1)?;
        least("max_files", self.max_files as u64, LEAST_FILES.max(self.first_files) as u64)
    }
}
