//! Temporary directories for tests.

use std::path::PathBuf;

use shaletrail_storage::DirectoryDisk;

/// A temporary directory, removed when dropped.
pub struct TempDirectory {
    pub path: PathBuf,
}

impl TempDirectory {
    /// `name` must be unique among the tests of one test program.
    pub fn new(name: &str) -> Self {
        let name = format!("shaletrail-storage-{}-{name}", std::process::id());
        TempDirectory { path: std::env::temp_dir().join(name) }
    }

    pub fn disk(&self) -> DirectoryDisk {
        DirectoryDisk::open(&self.path).expect("the directory can be opened")
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ignored = std::fs::remove_dir_all(&self.path);
    }
}
