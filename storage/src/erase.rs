//! Removes a damaged journal so that a new one can begin.

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::ring::is_ring_file;
use crate::Disk;

/// Is there while files are being removed: what is left of them must not be taken for a journal.
const MARKER: &str = "erasing";

/// Removes all files of a journal, for one that was found to be corrupt: the next one that is opened in the folder
/// is fresh. Where this is interrupted, opening goes on with it.
pub fn erase<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    disk.create(MARKER, 0).context(IoSnafu { operation: "create", file: MARKER })?;
    disk.sync(MARKER).context(IoSnafu { operation: "sync", file: MARKER })?;
    sync_folder(disk)?;
    remove_files(disk)
}

/// Completes an erasure that was interrupted.
pub(crate) fn resume<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    let names = disk.list().context(IoSnafu { operation: "list", file: "the folder" })?;
    if names.iter().any(|name| name == MARKER) {
        // The marker may be there without having been synced.
        sync_folder(disk)?;
        remove_files(disk)?;
    }
    Ok(())
}

fn remove_files<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    let names = disk.list().context(IoSnafu { operation: "list", file: "the folder" })?;
    for name in names.iter().filter(|name| is_ring_file(name)) {
        disk.remove(name).context(IoSnafu { operation: "remove", file: name })?;
    }
    sync_folder(disk)?;
    disk.remove(MARKER).context(IoSnafu { operation: "remove", file: MARKER })?;
    sync_folder(disk)
}

fn sync_folder<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    disk.sync_folder().context(IoSnafu { operation: "sync", file: "the folder" })
}
