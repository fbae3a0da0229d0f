//! The disk as the journal sees it: one directory of files.

use std::io;

/// One directory of files, named by plain names without separators.
///
/// A write is durable once [`Disk::sync`] of its file has succeeded, a created or removed name once
/// [`Disk::sync_folder`] has. Any call may fail or take long; the errors are those of the operating system.
pub trait Disk: Send {
    /// Creates a file of `length` zero bytes, or replaces one of that name.
    fn create(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Reads up to `length` bytes from `offset` on; fewer if the file ends before.
    fn read_at(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Writes all `bytes` at `offset`. After an error any part of them may have been written.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Makes all earlier writes to the file durable (`fdatasync`).
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// The names of all files, sorted.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Makes all earlier creations and removals of names durable (`fsync` of the directory).
    fn sync_folder(&mut self) -> io::Result<()>;
}
