//! The disk as the journal sees it: one folder of files.

use std::io;

/// One folder of files, named by plain names without separators.
///
/// A write lasts once [`Disk::sync`] of its file has succeeded, a created or removed name once
/// [`Disk::sync_folder`] has. Any call may fail or take long.
pub trait Disk: Send {
    /// Creates a file of `length` zero bytes, in place of one that may be there.
    fn create(&mut self, name: &str, length: u64) -> io::Result<()>;

    /// Reads up to `length` bytes from `offset` on; fewer where the file ends before.
    fn read_at(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>>;

    /// Writes all `bytes` at `offset`.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Makes all earlier writes to the file last.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// The names of all files, in order.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Makes all earlier changes of names last.
    fn sync_folder(&mut self) -> io::Result<()>;
}
