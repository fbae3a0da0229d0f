//! The ring of files: which segments are live, which file is recycled next, and how far the ring may fill up.

use snafu::ensure;

use crate::error::{RingFullSnafu, StorageError};

const FILE_PREFIX: &str = "ring-";

fn file_name(index: usize) -> String {
    format!("{FILE_PREFIX}{index:04}")
}

/// Whether a name is that of a ring file.
pub(crate) fn is_ring_file(name: &str) -> bool {
    name.starts_with(FILE_PREFIX)
}

/// A segment that recovery would read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Segment {
    /// Index of its file in [`SegmentRing::files`].
    pub file: usize,
    pub generation: u64,
    /// Sequence number of its first fragment.
    pub first_sequence: u64,
    pub starts_checkpoint: bool,
    /// Where it ends, in bytes from the file's start.
    pub end_offset: u64,
}

/// What a segment is begun for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SegmentPurpose {
    /// Must leave enough files for a checkpoint of everything.
    Append,
    /// May use those files.
    Checkpoint,
}

/// The file of the next segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextFile {
    /// An existing file without a live segment: its index in [`SegmentRing::files`].
    Recycle(usize),
    /// A file that has to be created.
    Create,
}

/// A file of the ring.
#[derive(Debug)]
pub(crate) struct RingFile {
    pub name: String,
    /// Generation of the segment that it last held; 0 if there was none.
    pub generation: u64,
}

/// All files of a journal, and the segments in use.
#[derive(Debug)]
pub(crate) struct SegmentRing {
    pub files: Vec<RingFile>,
    /// From the newest complete checkpoint on, oldest first.
    pub live_segments: Vec<Segment>,
    /// The newest generation that was ever attempted.
    pub newest_generation: u64,
    /// Segments of the newest complete checkpoint.
    pub checkpoint_segments: usize,
    pub max_files: usize,
}

impl SegmentRing {
    /// Segments that a checkpoint may take up. As many may be live besides, and as many again may be left over from
    /// an attempt that failed, without keeping the next one from beginning.
    pub fn checkpoint_limit(&self) -> usize {
        (self.max_files / 2).saturating_sub(1)
    }

    /// Segments that may be live while appends continue: their content fits into a checkpoint, with one segment for
    /// partly filled ends.
    fn append_limit(&self) -> usize {
        self.checkpoint_limit().saturating_sub(1)
    }

    /// Whether a segment that begins with the fragment `first_sequence` may be begun for appends.
    pub fn check_append(&self, first_sequence: u64) -> Result<(), StorageError> {
        let remaining = |segment: &&Segment| segment.first_sequence < first_sequence;
        let used = self.live_segments.iter().filter(remaining).count();
        let limit = self.append_limit();
        ensure!(used < limit, RingFullSnafu { needed: used + 1, limit });
        Ok(())
    }

    /// Whether a checkpoint of `needed` segments fits.
    pub fn check_checkpoint(&self, needed: usize) -> Result<(), StorageError> {
        let limit = self.checkpoint_limit();
        ensure!(needed <= limit, RingFullSnafu { needed, limit });
        Ok(())
    }

    /// Whether a checkpoint should be made: appends are about to be refused, or the ring would have to grow although
    /// a checkpoint might free files.
    pub fn wants_checkpoint(&self) -> bool {
        let used = self.live_segments.len();
        let is_full = used >= self.append_limit();
        let is_nearly_full = used > self.checkpoint_segments && used + 1 >= self.append_limit();
        let free = self.files.len().saturating_sub(used);
        let must_grow_soon = used > 2 * self.checkpoint_segments.max(1) && free < used + 2;
        is_full || is_nearly_full || must_grow_soon
    }

    /// The file for the next segment: of those without a live segment the one that was used longest ago.
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

    /// The first `count` names that no file has.
    pub fn unused_names(&self, count: usize) -> Vec<String> {
        let is_used = |name: &String| self.files.iter().any(|file| file.name == *name);
        (0..).map(file_name).filter(|name| !is_used(name)).take(count).collect()
    }

    /// Name of the file with this index.
    pub fn file_name(&self, file: usize) -> &str {
        self.files.get(file).map(|file| file.name.as_str()).unwrap_or_default()
    }

    /// Adds a segment whose header is synced. Segments that it voids completely are free from now on.
    pub fn add_segment(&mut self, segment: Segment) {
        self.live_segments.retain(|older| older.first_sequence < segment.first_sequence);
        if let Some(file) = self.files.get_mut(segment.file) {
            file.generation = segment.generation;
        }
        self.live_segments.push(segment);
    }

    /// A checkpoint that began with a segment of this generation is complete: older segments are free from now on.
    pub fn release_before(&mut self, generation: u64) {
        self.live_segments.retain(|segment| segment.generation >= generation);
        self.checkpoint_segments = self.live_segments.len();
    }
}
