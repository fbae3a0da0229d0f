//! Implements [`Disk`] for a directory of the operating system.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use crate::Disk;

/// A directory of the operating system. Keeps files open after their first use.
#[derive(Debug)]
pub struct DirectoryDisk {
    directory: PathBuf,
    open_files: HashMap<String, File>,
}

impl DirectoryDisk {
    /// Opens a directory. Creates it and its parent directories if they do not exist.
    ///
    /// # Errors
    /// The directory cannot be created.
    pub fn open(directory: &Path) -> io::Result<Self> {
        fs::create_dir_all(directory)?;
        Ok(DirectoryDisk { directory: directory.to_owned(), open_files: HashMap::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&File> {
        if !self.open_files.contains_key(name) {
            let file = OpenOptions::new().read(true).write(true).open(self.directory.join(name))?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files.get(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for DirectoryDisk {
    fn create(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.open_files.remove(name);
        let path = self.directory.join(name);
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(length)?;
        self.open_files.insert(name.to_owned(), file);
        Ok(())
    }

    fn read_at(&mut self, name: &str, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let file = self.file(name)?;
        let mut bytes = vec![0; length];
        let mut filled = 0;
        while let Some(rest) = bytes.get_mut(filled..).filter(|rest| !rest.is_empty()) {
            match file.read_at(rest, offset + filled as u64) {
                Ok(0) => break,
                Ok(read) => filled += read,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        bytes.truncate(filled);
        Ok(bytes)
    }

    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all_at(bytes, offset)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
        fs::remove_file(self.directory.join(name))
    }

    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.directory)? {
            // Skips names that are not valid Unicode, which the journal never creates.
            names.extend(entry?.file_name().into_string());
        }
        names.sort_unstable();
        Ok(names)
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.directory)?.sync_all()
    }
}
