//! Recovers a journal from its files: finds the newest complete checkpoint, replays what follows it, and distinguishes a
//! torn write at the end of the log from corruption.

mod record_assembler;
mod replay;
mod segment_reader;

use crate::error::{Corruption, StorageError};
use crate::segment_header::{SegmentHeader, HEADER_BYTES, PAGE_BYTES};
use crate::segment_ring::{is_ring_file, RingFile, Segment, SegmentRing};
use crate::{disk_io, Disk, StoredRecord};
use record_assembler::FIRST_SEQUENCE;
use replay::{replay, Replayed};
use segment_reader::SegmentReader;

/// What the files of a journal hold.
pub(crate) struct Recovery {
    /// The records from the newest complete checkpoint on, in order.
    pub stored: Vec<StoredRecord>,
    /// Sequence number of the newest record's last fragment; 0 if there has never been a record.
    pub durable_sequence: u64,
    pub ring: SegmentRing,
}

/// Reads all ring files.
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
    recover_from_newest_checkpoint(disk, ring, &without_void_segments(segments))
}

/// The ring's files, and the segments of those that have a valid header.
fn read_headers<D: Disk>(disk: &mut D) -> Result<(Vec<RingFile>, Vec<Segment>), StorageError> {
    let names = disk_io::list(disk)?.into_iter().filter(|name| is_ring_file(name));
    let (mut files, mut segments) = (Vec::new(), Vec::new());
    for (file, name) in names.enumerate() {
        let header = SegmentHeader::decode(&disk_io::read_at(disk, &name, 0, HEADER_BYTES)?);
        files.push(RingFile { name, generation: header.map_or(0, |header| header.generation) });
        segments.extend(header.map(|header| segment_of(file, header)));
    }
    Ok((files, segments))
}

fn segment_of(file: usize, header: SegmentHeader) -> Segment {
    let SegmentHeader { generation, first_sequence, starts_checkpoint, end_offset } = header;
    Segment { file, generation, first_sequence, starts_checkpoint, end_offset }
}

/// A file without a valid header may be new, or have been about to be recycled. But a header is synced before fragments
/// of its generation are written: such fragments without it are corruption.
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

/// Drops the segments that newer ones have voided completely; oldest first.
fn without_void_segments(mut segments: Vec<Segment>) -> Vec<Segment> {
    segments.sort_unstable_by_key(|segment| std::cmp::Reverse(segment.generation));
    let mut void_from = u64::MAX;
    segments.retain(|segment| {
        let is_live = segment.first_sequence < void_from;
        void_from = void_from.min(segment.first_sequence);
        is_live
    });
    segments.reverse();
    segments
}

/// Replays from the newest segment on that begins a complete checkpoint, or else from the journal's first one.
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
        // A checkpoint that was interrupted is no start: the one before it still counts.
        let Some(replayed) = replay(disk, &ring, tail)? else { continue };
        let Replayed { stored, durable_sequence, checkpoint_end } = replayed;
        let in_checkpoint = |segment: &&Segment| segment.first_sequence <= checkpoint_end;
        ring.checkpoint_segments = tail.iter().filter(in_checkpoint).count();
        ring.live_segments = tail.to_vec();
        return Ok(Recovery { stored, durable_sequence, ring });
    }
    let oldest = segments.first().map(|segment| ring.file_name(segment.file)).unwrap_or_default();
    Err(corrupt_file(oldest, Corruption::NoCompleteCheckpoint))
}

/// Corruption that no offset inside the file can be named for.
fn corrupt_file(file: &str, source: Corruption) -> StorageError {
    StorageError::Corrupt { file: file.to_owned(), offset: 0, source }
}
