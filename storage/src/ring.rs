//! Which files there are, which segments are in use, and which file comes next.

use snafu::ensure;

use crate::error::{RingFullSnafu, StorageError};

const PREFIX: &str = "ring-";

/// The name of a ring file.
fn file_name(index: usize) -> String {
    format!("{PREFIX}{index:04}")
}

/// Whether a name is that of a ring file.
pub(crate) fn is_ring_file(name: &str) -> bool {
    name.starts_with(PREFIX)
}

/// A segment in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Index of its file in [`Ring::files`].
    pub file: usize,
    pub generation: u64,
    /// Sequence number of its first record.
    pub first: u64,
    pub starts_checkpoint: bool,
    /// Where it ends, in bytes.
    pub end: u64,
}

/// What a segment is begun for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// Must leave room for a checkpoint of everything.
    Append,
    /// May use that room.
    Checkpoint,
}

/// A file for the next segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextFile {
    /// Is there: index in [`Ring::files`].
    Free(usize),
    /// Has to be made.
    Missing,
}

#[derive(Debug)]
pub(crate) struct RingFile {
    pub name: String,
    /// Of the segment it last held.
    pub generation: u64,
}

#[derive(Debug)]
pub(crate) struct Ring {
    pub files: Vec<RingFile>,
    /// From the newest complete checkpoint on, oldest first.
    pub chain: Vec<Segment>,
    /// The newest generation that was ever tried.
    pub newest_generation: u64,
    /// Segments that the newest checkpoint took up.
    pub checkpoint_segments: usize,
    pub max_files: usize,
}

impl Ring {
    /// Segments that a checkpoint may take up. As many may be in use besides, and as many again may be left over from
    /// an attempt that failed without keeping the next one from beginning.
    pub fn checkpoint_limit(&self) -> usize {
        (self.max_files / 2).saturating_sub(1)
    }

    /// Segments that may be in use for appends to go on: what they hold fits into a checkpoint, with one segment for
    /// partly filled ends.
    fn append_limit(&self) -> usize {
        self.checkpoint_limit().saturating_sub(1)
    }

    /// Whether a segment that begins with the record `first` may be begun for appends.
    pub fn check_append(&self, first: u64) -> Result<(), StorageError> {
        let used = self.chain.iter().filter(|segment| segment.first < first).count();
        ensure!(used < self.append_limit(), RingFullSnafu { needed: used + 1, limit: self.append_limit() });
        Ok(())
    }

    /// Whether a checkpoint of so many segments fits.
    pub fn check_checkpoint(&self, needed: usize) -> Result<(), StorageError> {
        let limit = self.checkpoint_limit();
        ensure!(needed <= limit, RingFullSnafu { needed, limit });
        Ok(())
    }

    /// Whether a checkpoint should be made: appends are about to be refused, or the ring would have to grow although
    /// a checkpoint might free files.
    pub fn wants_checkpoint(&self) -> bool {
        let used = self.chain.len();
        let refused = used >= self.append_limit();
        let nearly = used > self.checkpoint_segments && used + 1 >= self.append_limit();
        let free = self.files.len().saturating_sub(used);
        let crowded = used > 2 * self.checkpoint_segments.max(1) && free < used + 2;
        refused || nearly || crowded
    }

    /// The file for the next segment: the free one that was used longest ago.
    pub fn next_file(&self) -> Result<NextFile, StorageError> {
        let in_use = |index: usize| self.chain.iter().any(|segment| segment.file == index);
        let free = self.files.iter().enumerate().filter(|(index, _)| !in_use(*index));
        if let Some((index, _)) = free.min_by_key(|(_, file)| file.generation) {
            return Ok(NextFile::Free(index));
        }
        let limit = self.max_files;
        ensure!(self.files.len() < limit, RingFullSnafu { needed: limit + 1, limit });
        Ok(NextFile::Missing)
    }

    /// The first `count` names that no file has.
    pub fn missing_names(&self, count: usize) -> Vec<String> {
        let taken = |name: &String| self.files.iter().any(|file| file.name == *name);
        (0..).map(file_name).filter(|name| !taken(name)).take(count).collect()
    }

    pub fn name(&self, file: usize) -> &str {
        self.files.get(file).map(|file| file.name.as_str()).unwrap_or_default()
    }

    /// Takes in a segment whose header is synced. Segments that it voids as a whole become free.
    pub fn begin(&mut self, segment: Segment) {
        self.chain.retain(|older| older.first < segment.first);
        if let Some(file) = self.files.get_mut(segment.file) {
            file.generation = segment.generation;
        }
        self.chain.push(segment);
    }

    /// A checkpoint that began with a segment of this generation is complete: what is older becomes free.
    pub fn rebase(&mut self, generation: u64) {
        self.chain.retain(|segment| segment.generation >= generation);
        self.checkpoint_segments = self.chain.len();
    }
}
