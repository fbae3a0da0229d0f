//! A file whose writes are durable only once they were synced.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Bytes that a torn write keeps or loses together.
const SECTOR_BYTES: usize = 512;

/// A file in memory.
#[derive(Clone, Default)]
pub(super) struct MemoryFile {
    /// What reads return, as from the page cache.
    pub content: Vec<u8>,
    /// What a loss of power cannot take.
    pub durable: Vec<u8>,
    unsynced: Vec<Change>,
}

/// A change of a file's content.
#[derive(Clone)]
enum Change {
    Length(usize),
    Write { offset: usize, bytes: Vec<u8> },
}

impl MemoryFile {
    /// A file of `length` zero bytes, which is not synced yet.
    pub fn new(length: usize) -> Self {
        let mut file = MemoryFile::default();
        file.change(Change::Length(length));
        file
    }

    pub fn write(&mut self, offset: usize, bytes: &[u8]) {
        self.change(Change::Write { offset, bytes: bytes.to_vec() });
    }

    pub fn sync(&mut self) {
        self.flush_unsynced(Change::apply);
    }

    /// Loses unsynced changes: all of them, or each by chance, a write perhaps in part.
    pub fn lose_power(&mut self, all_lost: bool, rng: &mut Pcg64Mcg) {
        self.flush_unsynced(|change, durable| {
            if !all_lost {
                change.apply_by_chance(durable, rng);
            }
        });
    }

    fn change(&mut self, change: Change) {
        change.apply(&mut self.content);
        self.unsynced.push(change);
    }

    /// Makes unsynced changes durable as far as `apply` does, and shows the result.
    fn flush_unsynced(&mut self, mut apply: impl FnMut(&Change, &mut Vec<u8>)) {
        for change in self.unsynced.drain(..) {
            apply(&change, &mut self.durable);
        }
        self.content.clone_from(&self.durable);
    }
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Change::Length(length) => content.resize(*length, 0),
            Change::Write { offset, bytes } => write(content, *offset, bytes),
        }
    }

    /// Applies the change completely, not at all, or as a torn write.
    fn apply_by_chance(&self, content: &mut Vec<u8>, rng: &mut Pcg64Mcg) {
        match (rng.random_range(0..4), self) {
            (0, _) => {}
            (1, Change::Write { offset, bytes }) => {
                let kept = rng.random_range(0..=bytes.len());
                write(content, *offset, bytes.get(..kept).unwrap_or_default());
            }
            (2, Change::Write { offset, bytes }) => {
                for (number, sector) in bytes.chunks(SECTOR_BYTES).enumerate().filter(|_| rng.random()) {
                    write(content, offset + number * SECTOR_BYTES, sector);
                }
            }
            _ => self.apply(content),
        }
    }
}

fn write(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    if let Some(target) = content.get_mut(offset..end) {
        target.copy_from_slice(bytes);
    }
}
