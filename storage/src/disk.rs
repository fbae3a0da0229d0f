//! The file operations that the journal needs, as a trait over one directory.

use std::io;

/// A directory of files. File names contain no path separators.
///
/// A write is durable once [`Disk::sync`] of its file has succeeded. A created or removed file name is durable once
/// [`Disk::sync_directory`] has succeeded. Any call may fail or block for a long time. Errors are those of the operating
/// system.
pub trait Disk: Send {
    /// Creates a file of `length` zero bytes. Replaces an existing file of the same name.
    fn create(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Reads up to `length` bytes starting at `offset`. Returns fewer bytes if the file ends earlier.
    fn read_at(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Writes all of `bytes` at `offset`. After an error, any part of them may have been written.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Makes all earlier writes to the file durable, like `fdatasync`.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Removes a file. The removal is durable after [`Disk::sync_directory`].
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Returns the names of all files in ascending order.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Makes all earlier creations and removals of files durable, like `fsync` on the directory.
    fn sync_directory(&mut self) -> io::Result<()>;
}
