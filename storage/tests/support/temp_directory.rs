//! A directory of a test's own.

use std::path::PathBuf;

use shaletrail_storage::FolderDisk;

/// A directory of a test's own, removed at the end.
pub struct TempFolder {
    pub path: PathBuf,
}

impl TempFolder {
    /// `name` has to be unique among the tests of a program.
    pub fn new(name: &str) -> Self {
        let name = format!("shaletrail-storage-{}-{name}", std::process::id());
        TempFolder { path: std::env::temp_dir().join(name) }
    }

    pub fn disk(&self) -> FolderDisk {
        FolderDisk::open(&self.path).expect("the folder can be opened")
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _left_behind = std::fs::remove_dir_all(&self.path);
    }
}
