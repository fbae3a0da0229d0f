//! The files and file names of an in-memory disk, with their durable state.

use std::collections::BTreeMap;
use std::io;

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::file::MemoryFile;

/// A mutating call of the disk.
pub(super) enum Mutation<'a> {
    Create { name: &'a str, length: usize },
    Write { name: &'a str, offset: usize, bytes: &'a [u8] },
    Sync { name: &'a str },
    Remove { name: &'a str },
    SyncDirectory,
}

#[derive(Default)]
pub(super) struct Volume {
    files: Vec<MemoryFile>,
    /// Index in `files` for each file name, as seen by calls.
    names: BTreeMap<String, usize>,
    /// The file names that survive a power loss.
    durable_names: BTreeMap<String, usize>,
}

impl Volume {
    /// Returns the file with a name. Fails with `NotFound` if there is none.
    pub fn file(&mut self, name: &str) -> io::Result<&mut MemoryFile> {
        let index = *self.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        self.files.get_mut(index).ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Returns the names of all files in sorted order, including names that are not durable yet.
    pub fn file_names(&self) -> Vec<String> {
        self.names.keys().cloned().collect()
    }

    /// Applies a mutating call. Fails with `NotFound` if the file to change or remove does not exist.
    pub fn apply(&mut self, mutation: Mutation<'_>) -> io::Result<()> {
        match mutation {
            Mutation::Create { name, length } => {
                self.names.insert(name.to_owned(), self.files.len());
                self.files.push(MemoryFile::new(length));
            }
            Mutation::Write { name, offset, bytes } => self.file(name)?.write(offset, bytes),
            Mutation::Sync { name } => self.file(name)?.sync(),
            Mutation::Remove { name } => {
                self.names.remove(name).ok_or(io::ErrorKind::NotFound)?;
            }
            Mutation::SyncDirectory => self.durable_names = self.names.clone(),
        }
        Ok(())
    }

    /// Loses unsynced writes and file names at random; with a probability of 1 in 4, all of them.
    pub fn lose_power(&mut self, rng: &mut Pcg64Mcg) {
        let all_lost = rng.random_ratio(1, 4);
        for file in &mut self.files {
            file.lose_power(all_lost, rng);
        }
        let mut names: Vec<String> = self.names.keys().chain(self.durable_names.keys()).cloned().collect();
        names.sort_unstable();
        names.dedup();
        for name in names {
            if !all_lost && rng.random() {
                match self.names.get(&name) {
                    Some(index) => self.durable_names.insert(name, *index),
                    None => self.durable_names.remove(&name),
                };
            }
        }
        self.names = self.durable_names.clone();
    }
}
