//! Removes a corrupt journal so that a new one can be created in the same directory.

use crate::error::StorageError;
use crate::segment_ring::is_ring_file;
use crate::{disk_io, Disk};

/// Exists while files are being removed, so that the remaining files are not opened as a journal.
const ERASE_IN_PROGRESS_FILE: &str = "erasing";
/// Created by the first erasure and never removed. Distinguishes a directory whose journal was erased from one that
/// never had a journal.
const ERASED_FILE: &str = "erased";

/// Removes all files of a corrupt journal. The next journal that is opened in the directory is fresh. If the removal is
/// interrupted, the next [`Journal::open`](crate::Journal::open) completes it.
///
/// # Errors
/// [`StorageError::Io`], after which some of the files may have been removed.
pub fn erase<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    disk_io::create(disk, ERASE_IN_PROGRESS_FILE, 0)?;
    disk_io::sync(disk, ERASE_IN_PROGRESS_FILE)?;
    disk_io::create(disk, ERASED_FILE, 0)?;
    disk_io::sync(disk, ERASED_FILE)?;
    // Both marker files must be durable before the first ring file is removed. Otherwise, after a power loss, a partly
    // removed ring could look like an older journal, and an empty directory like one that never had a journal.
    disk_io::sync_directory(disk)?;
    remove_files(disk)
}

/// Returns whether a journal has ever been erased in the directory.
pub(crate) fn was_erased<D: Disk>(disk: &mut D) -> Result<bool, StorageError> {
    Ok(disk_io::list(disk)?.iter().any(|name| name == ERASED_FILE))
}

/// Completes an interrupted erasure, if there is one.
pub(crate) fn resume_interrupted<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    let names = disk_io::list(disk)?;
    if names.iter().any(|name| name == ERASE_IN_PROGRESS_FILE) {
        // The in-progress marker may not have been synced, and the erased marker may not exist yet.
        disk_io::create(disk, ERASED_FILE, 0)?;
        disk_io::sync(disk, ERASED_FILE)?;
        disk_io::sync_directory(disk)?;
        remove_files(disk)?;
    }
    Ok(())
}

fn remove_files<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    let names = disk_io::list(disk)?;
    for name in names.iter().filter(|name| is_ring_file(name)) {
        disk_io::remove(disk, name)?;
    }
    // The removals must be durable before the in-progress marker is removed. Otherwise a power loss could restore a
    // removed file without the marker.
    disk_io::sync_directory(disk)?;
    disk_io::remove(disk, ERASE_IN_PROGRESS_FILE)?;
    disk_io::sync_directory(disk)
}
