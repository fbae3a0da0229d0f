//! Recovers a journal from its files: finds the newest complete checkpoint, replays the records after it, and
//! distinguishes a torn write at the end of the log from corruption.

mod record_assembler;
mod replay;
mod segment_reader;

use crate::error::{Corruption, StorageError};
use crate::segment_header::{SegmentHeader, HEADER_BYTES, PAGE_BYTES};
use crate::segment_ring::{is_ring_file, RingFile, Segment, SegmentRing};
use crate::{disk_io, Disk, StoredRecord};
use record_assembler::FIRST_SEQUENCE;
use replay::{replay, ReplayedLog};
use segment_reader::SegmentReader;

/// The content of a journal, as recovered from its files.
pub(crate) struct Recovery {
    /// The records since the newest complete checkpoint, including its own, in order.
    pub stored: Vec<StoredRecord>,
    /// Sequence number of the last fragment of the newest record; 0 if there has never been a record.
    pub durable_sequence: u64,
    pub ring: SegmentRing,
}

/// Recovers the journal from all ring files of the directory.
pub(crate) fn recover<D: Disk>(disk: &mut D, max_files: usize) -> Result<Recovery, StorageError> {
    let (files, segments) = read_headers(disk)?;
    let ring = SegmentRing {
        max_files: max_files.max(files.len()),
        files,
        live_segments: Vec::new(),
        newest_generation: segments.iter().map(|segment| segment.generation).max().unwrap_or_default(),
        checkpoint_segments: 0,
    };
    check_files_without_header(disk, &ring, &segments)?;
    if segments.is_empty() {
        return Ok(Recovery { stored: Vec::new(), durable_sequence: FIRST_SEQUENCE - 1, ring });
    }
    recover_from_newest_checkpoint(disk, ring, &drop_truncated_segments(segments))
}

/// Returns all files of the ring, and one segment for each file with a valid header.
fn read_headers<D: Disk>(disk: &mut D) -> Result<(Vec<RingFile>, Vec<Segment>), StorageError> {
    let names = disk_io::list(disk)?.into_iter().filter(|name| is_ring_file(name));
    let (mut files, mut segments) = (Vec::new(), Vec::new());
    for (file, name) in names.enumerate() {
        let header = SegmentHeader::decode(&disk_io::read_at(disk, &name, 0, HEADER_BYTES)?);
        files.push(RingFile { name, generation: header.map_or(0, |header| header.generation) });
        segments.extend(header.map(|header| segment_from_header(file, header)));
    }
    Ok((files, segments))
}

fn segment_from_header(file: usize, header: SegmentHeader) -> Segment {
    let SegmentHeader { generation, first_sequence, starts_checkpoint, end_offset } = header;
    Segment { file, generation, first_sequence, starts_checkpoint, end_offset }
}

/// Reports corruption if a file without a valid header contains fragments of a newer generation than all valid headers.
///
/// Such a file may be new, or its recycling may have been interrupted. But a header is synced before any fragment of
/// its generation is written, so newer fragments show that a synced header was lost.
fn check_files_without_header<D: Disk>(
    disk: &mut D,
    ring: &SegmentRing,
    segments: &[Segment],
) -> Result<(), StorageError> {
    for (index, file) in ring.files.iter().enumerate() {
        if segments.iter().any(|segment| segment.file == index) {
            continue;
        }
        let mut reader = SegmentReader::new(disk, &file.name);
        let first = reader.fragment_at(PAGE_BYTES)?;
        let is_newer = first.is_some_and(|fragment| fragment.header.generation > ring.newest_generation);
        if is_newer {
            return Err(corrupt_file(&file.name, Corruption::MissingHeader));
        }
    }
    Ok(())
}

/// Removes the segments that newer segments have truncated completely. Returns the others, oldest first.
fn drop_truncated_segments(mut segments: Vec<Segment>) -> Vec<Segment> {
    segments.sort_unstable_by_key(|segment| std::cmp::Reverse(segment.generation));
    let mut truncated_from = u64::MAX;
    segments.retain(|segment| {
        let is_live = segment.first_sequence < truncated_from;
        truncated_from = truncated_from.min(segment.first_sequence);
        is_live
    });
    segments.reverse();
    segments
}

/// Replays the log from the newest segment that begins a complete checkpoint. If there is none, replays it from its
/// first segment.
fn recover_from_newest_checkpoint<D: Disk>(
    disk: &mut D,
    mut ring: SegmentRing,
    segments: &[Segment],
) -> Result<Recovery, StorageError> {
    for start in (0..segments.len()).rev() {
        let Some(tail @ [first, ..]) = segments.get(start..) else { continue };
        if !first.starts_checkpoint && first.first_sequence != FIRST_SEQUENCE {
            continue;
        }
        // An interrupted checkpoint is skipped; recovery falls back to the one before it.
        let Some(replayed) = replay(disk, &ring, tail)? else { continue };
        let ReplayedLog { stored, durable_sequence, checkpoint_end_sequence } = replayed;
        let in_checkpoint = |segment: &&Segment| segment.first_sequence <= checkpoint_end_sequence;
        ring.checkpoint_segments = tail.iter().filter(in_checkpoint).count();
        ring.live_segments = tail.to_vec();
        return Ok(Recovery { stored, durable_sequence, ring });
    }
    let oldest = segments.first().map(|segment| ring.file_name(segment.file)).unwrap_or_default();
    Err(corrupt_file(oldest, Corruption::NoCompleteCheckpoint))
}

/// Reports corruption that cannot be located within the file.
fn corrupt_file(file: &str, source: Corruption) -> StorageError {
    StorageError::Corrupt { file: file.to_owned(), offset: 0, source }
}
