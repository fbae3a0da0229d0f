//! Calls of a [`Disk`] whose errors say what was attempted on which file.

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::Disk;

/// What errors name in place of a file if a call concerns the directory.
const FOLDER: &str = "the folder";

pub(crate) fn create<D: Disk>(disk: &mut D, file: &str, length: u64) -> Result<(), StorageError> {
    disk.create(file, length).context(IoSnafu { operation: "create", file })
}

pub(crate) fn read_at<D: Disk>(
    disk: &mut D,
    file: &str,
    offset: u64,
    length: usize,
) -> Result<Vec<u8>, StorageError> {
    disk.read_at(file, offset, length).context(IoSnafu { operation: "read", file })
}

pub(crate) fn write_at<D: Disk>(
    disk: &mut D,
    file: &str,
    offset: u64,
    bytes: &[u8],
) -> Result<(), StorageError> {
    disk.write_at(file, offset, bytes).context(IoSnafu { operation: "write", file })
}

pub(crate) fn sync<D: Disk>(disk: &mut D, file: &str) -> Result<(), StorageError> {
    disk.sync(file).context(IoSnafu { operation: "sync", file })
}

pub(crate) fn remove<D: Disk>(disk: &mut D, file: &str) -> Result<(), StorageError> {
    disk.remove(file).context(IoSnafu { operation: "remove", file })
}

pub(crate) fn list<D: Disk>(disk: &mut D) -> Result<Vec<String>, StorageError> {
    disk.list().context(IoSnafu { operation: "list", file: FOLDER })
}

pub(crate) fn sync_folder<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    disk.sync_folder().context(IoSnafu { operation: "sync", file: FOLDER })
}
