//! An in-memory file whose writes become durable only when they are synced.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A torn write keeps or loses whole sectors of this size.
const SECTOR_BYTES: usize = 512;

#[derive(Clone, Default)]
pub(super) struct MemoryFile {
    /// What reads return, like the page cache.
    pub content: Vec<u8>,
    /// The content that survives a power loss.
    pub durable: Vec<u8>,
    unsynced: Vec<Change>,
}

/// A change to the content of a file.
#[derive(Clone)]
enum Change {
    Length(usize),
    Write { offset: usize, bytes: Vec<u8> },
}

impl MemoryFile {
    /// Creates a file of `length` zero bytes that is not synced yet.
    pub fn new(length: usize) -> Self {
        let mut file = MemoryFile::default();
        file.change(Change::Length(length));
        file
    }

    /// Writes bytes at an offset. They are readable at once, but not durable until the next sync.
    pub fn write(&mut self, offset: usize, bytes: &[u8]) {
        self.change(Change::Write { offset, bytes: bytes.to_vec() });
    }

    /// Makes all changes so far durable.
    pub fn sync(&mut self) {
        self.flush_unsynced(Change::apply);
    }

    /// Loses unsynced changes: either all of them, or each one at random. A write may also be torn.
    pub fn lose_power(&mut self, all_lost: bool, rng: &mut Pcg64Mcg) {
        self.flush_unsynced(|change, durable| {
            if !all_lost {
                change.apply_randomly(durable, rng);
            }
        });
    }

    fn change(&mut self, change: Change) {
        change.apply(&mut self.content);
        self.unsynced.push(change);
    }

    /// Passes each unsynced change to `apply`, which decides how much of it becomes durable. Then resets the readable
    /// content to the durable content.
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

    /// Applies the whole change, nothing of it, or a torn write.
    fn apply_randomly(&self, content: &mut Vec<u8>, rng: &mut Pcg64Mcg) {
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
