//! Wrappers around the calls of a [`Disk`] that add the operation and the file name to errors.

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::Disk;

/// Reported as the file name in errors of calls that concern the whole directory.
const DIRECTORY: &str = "the directory";

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
    disk.list().context(IoSnafu { operation: "list", file: DIRECTORY })
}

pub(crate) fn sync_directory<D: Disk>(disk: &mut D) -> Result<(), StorageError> {
    disk.sync_directory().context(IoSnafu { operation: "sync", file: DIRECTORY })
}
