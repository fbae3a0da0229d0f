//! The ring of files: tracks which segments are live, selects the next file to recycle, and limits how far the ring may
//! fill up.

use snafu::ensure;

use crate::error::{RingFullSnafu, StorageError};

const FILE_PREFIX: &str = "ring-";

fn file_name(index: usize) -> String {
    format!("{FILE_PREFIX}{index:04}")
}

/// Returns whether `name` is the name of a ring file.
pub(crate) fn is_ring_file(name: &str) -> bool {
    name.starts_with(FILE_PREFIX)
}

/// A segment as described by its header. A segment is *live* while recovery would read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Index of the file in [`SegmentRing::files`].
    pub file: usize,
    pub generation: u64,
    /// Sequence number of the first fragment.
    pub first_sequence: u64,
    pub starts_checkpoint: bool,
    /// End of the segment, in bytes from the start of the file.
    pub end_offset: u64,
}

/// What a new segment is used for, which determines how many files it must leave free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentPurpose {
    /// Must leave enough free files for a checkpoint of all live records.
    Append,
    /// May use the files that appends must leave free.
    Checkpoint,
}

/// The file to use for the next segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextFile {
    /// An existing file without a live segment, as an index in [`SegmentRing::files`].
    Recycle(usize),
    /// A new file, which has to be created first.
    Create,
}

#[derive(Debug)]
pub(crate) struct RingFile {
    pub name: String,
    /// Generation of the last segment in this file; 0 if there was none.
    pub generation: u64,
}

/// All files of a journal and its live segments.
#[derive(Debug)]
pub(crate) struct SegmentRing {
    pub files: Vec<RingFile>,
    /// Segments since the beginning of the newest complete checkpoint, oldest first.
    pub live_segments: Vec<Segment>,
    /// The highest generation for which a header write has been attempted.
    pub newest_generation: u64,
    /// Number of segments in the newest complete checkpoint.
    pub checkpoint_segments: usize,
    pub max_files: usize,
}

/// Returns the number of segments that a checkpoint may use in a ring of up to `max_files` files. Beside a checkpoint of
/// this size, the ring has room for as many live segments. If a failed checkpoint has left this many segments behind,
/// one file is still free for the first segment of the next checkpoint, whose header frees the leftover segments.
pub(crate) fn checkpoint_limit(max_files: usize) -> usize {
    (max_files / 2).saturating_sub(1)
}

impl SegmentRing {
    /// Returns the number of segments that a checkpoint may use.
    pub fn checkpoint_limit(&self) -> usize {
        checkpoint_limit(self.max_files)
    }

    /// Returns the number of segments that may be live while appends are accepted. Their content always fits into a
    /// checkpoint; one segment is reserved for the space lost at segment ends.
    fn append_limit(&self) -> usize {
        self.checkpoint_limit().saturating_sub(1)
    }

    /// Returns an error if no segment that begins with the fragment `first_sequence` may be started for appends.
    pub fn check_append_fits(&self, first_sequence: u64) -> Result<(), StorageError> {
        let remaining = |segment: &&Segment| segment.first_sequence < first_sequence;
        let used = self.live_segments.iter().filter(remaining).count();
        let limit = self.append_limit();
        ensure!(used < limit, RingFullSnafu { needed: used + 1, limit });
        Ok(())
    }

    /// Returns an error if a checkpoint of `needed` segments does not fit.
    pub fn check_checkpoint_fits(&self, needed: usize) -> Result<(), StorageError> {
        let limit = self.checkpoint_limit();
        ensure!(needed <= limit, RingFullSnafu { needed, limit });
        Ok(())
    }

    /// Returns whether a checkpoint should be made. This is the case if appends are about to be refused, or if the ring
    /// would have to grow although a checkpoint might free files.
    pub fn wants_checkpoint(&self) -> bool {
        let used = self.live_segments.len();
        let is_full = used >= self.append_limit();
        let is_nearly_full = used > self.checkpoint_segments && used + 1 >= self.append_limit();
        let free = self.files.len().saturating_sub(used);
        let must_grow_soon = used > 2 * self.checkpoint_segments.max(1) && free < used + 2;
        is_full || is_nearly_full || must_grow_soon
    }

    /// Selects the file for the next segment: the least recently used file without a live segment, or else a new file.
    pub fn next_file(&self) -> Result<NextFile, StorageError> {
        let is_live = |index: usize| self.live_segments.iter().any(|segment| segment.file == index);
        let free = self.files.iter().enumerate().filter(|(index, _)| !is_live(*index));
        if let Some((index, _)) = free.min_by_key(|(_, file)| file.generation) {
            return Ok(NextFile::Recycle(index));
        }
        let limit = self.max_files;
        ensure!(self.files.len() < limit, RingFullSnafu { needed: limit + 1, limit });
        Ok(NextFile::Create)
    }

    /// Returns the first `count` file names that are not in use.
    pub fn unused_file_names(&self, count: usize) -> Vec<String> {
        let is_used = |name: &String| self.files.iter().any(|file| file.name == *name);
        (0..).map(file_name).filter(|name| !is_used(name)).take(count).collect()
    }

    /// Returns the name of the file with this index; empty if there is no such file.
    pub fn file_name(&self, file: usize) -> &str {
        self.files.get(file).map(|file| file.name.as_str()).unwrap_or_default()
    }

    /// Adds a segment whose header has been synced. Frees the older segments that it truncates completely.
    pub fn add_segment(&mut self, segment: Segment) {
        self.live_segments.retain(|older| older.first_sequence < segment.first_sequence);
        if let Some(file) = self.files.get_mut(segment.file) {
            file.generation = segment.generation;
        }
        self.live_segments.push(segment);
    }

    /// Frees all segments older than `generation`, because the checkpoint that begins with this generation is complete.
    pub fn free_segments_before(&mut self, generation: u64) {
        self.live_segments.retain(|segment| segment.generation >= generation);
        self.checkpoint_segments = self.live_segments.len();
    }
}
