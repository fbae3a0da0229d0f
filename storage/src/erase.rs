//! Removes a corrupt journal so that a new one can begin.

use crate::error::StorageError;
use crate::segment_ring::is_ring_file;
use crate::{disk_io, Disk};

/// Exists while files are being removed: the rest of them must not be taken for a journal.
const MARKER_FILE: &str = "erasing";
/// Exists for good once a journal was erased: a directory without records is not one that never had any.
const ERASED_FILE: &str = "erased";

/// Removes all files of a journal that was found to be corrupt: the next one that is opened in the directory is fresh.
/// If this is interrupted, the next [`Journal::open`](crate::Journal::open) completes it.
///
/// # Errors
/// [`StorageError::Io`], after which some files may have been removed.
pub fn erase<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    disk_io::create(disk, MARKER_FILE, 0)?;
    disk_io::sync(disk, MARKER_FILE)?;
    disk_io::create(disk, ERASED_FILE, 0)?;
    disk_io::sync(disk, ERASED_FILE)?;
    // Both must be durable before the first file goes: half a ring could look like an older journal, and none at all like
    // a directory that never had one.
    disk_io::sync_folder(disk)?;
    remove_files(disk)
}

/// Whether a journal was ever erased in the directory.
pub(crate) fn was_erased<D: Disk>(disk: &mut D) -> Result<bool, StorageError> {
    Ok(disk_io::list(disk)?.iter().any(|name| name == ERASED_FILE))
}

/// Completes an erasure that was interrupted, if there is one.
pub(crate) fn complete_interrupted<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    let names = disk_io::list(disk)?;
    if names.iter().any(|name| name == MARKER_FILE) {
        // The marker may exist without having been synced, and without the other one.
        disk_io::create(disk, ERASED_FILE, 0)?;
        disk_io::sync(disk, ERASED_FILE)?;
        disk_io::sync_folder(disk)?;
        remove_files(disk)?;
    }
    Ok(())
}

fn remove_files<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    let names = disk_io::list(disk)?;
    for name in names.iter().filter(|name| is_ring_file(name)) {
        disk_io::remove(disk, name)?;
    }
    // The removals must be durable before the marker goes, or a removed file could come back without it.
    disk_io::sync_folder(disk)?;
    disk_io::remove(disk, MARKER_FILE)?;
    disk_io::sync_folder(disk)
}
