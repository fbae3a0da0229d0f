//! Replays a run of consecutive segments.

use snafu::ResultExt;

use super::record_assembler::RecordAssembler;
use super::segment_reader::{Fragment, SegmentReader};
use crate::error::{CorruptSnafu, Corruption, StorageError};
use crate::fragment::FragmentHeader;
use crate::segment_header::PAGE_BYTES;
use crate::segment_ring::{Segment, SegmentRing};
use crate::{Disk, StoredRecord};

/// The content of a run of consecutive segments.
pub(super) struct ReplayedLog {
    pub stored: Vec<StoredRecord>,
    /// Sequence number of the last fragment of the newest record, or of the end marker of the newest checkpoint if that
    /// is later.
    pub durable_sequence: u64,
    /// Sequence number of the end marker of the newest checkpoint; 0 if there is none.
    pub checkpoint_end_sequence: u64,
}

/// Replays `segments`, oldest first. The first one must begin the journal or a checkpoint. Returns `None` if that
/// checkpoint was not completed.
pub(super) fn replay<D: Disk>(
    disk: &mut D,
    ring: &SegmentRing,
    segments: &[Segment],
) -> Result<Option<ReplayedLog>, StorageError> {
    let Some(first) = segments.first() else { return Ok(None) };
    let mut assembler = RecordAssembler::new(first.first_sequence);
    for (index, segment) in segments.iter().enumerate() {
        let next_segment = segments.get(index + 1);
        SegmentReplay { segment, file: ring.file_name(segment.file), next_segment }
            .run(disk, &mut assembler)?;
    }
    let RecordAssembler { is_complete, stored, durable_sequence, checkpoint_end_sequence, .. } = assembler;
    Ok(is_complete.then_some(ReplayedLog { stored, durable_sequence, checkpoint_end_sequence }))
}

/// The replay of one segment.
struct SegmentReplay<'a> {
    segment: &'a Segment,
    file: &'a str,
    next_segment: Option<&'a Segment>,
}

impl SegmentReplay<'_> {
    /// Replays the fragments of the segment, up to the first one that the next segment has truncated.
    fn run<D: Disk>(&self, disk: &mut D, assembler: &mut RecordAssembler) -> Result<(), StorageError> {
        let mut reader = SegmentReader::new(disk, self.file);
        let mut offset = PAGE_BYTES;
        let mut expected = self.segment.first_sequence;
        let truncated_from = self.next_segment.map_or(u64::MAX, |next| next.first_sequence);
        while expected < truncated_from {
            let is_inside = offset < self.segment.end_offset;
            let found = if is_inside { reader.fragment_at(offset)? } else { None };
            let follows = |found: &Fragment<'_>| {
                found.header.generation == self.segment.generation && found.header.sequence == expected
            };
            let Some(fragment) = found.filter(follows) else {
                return self.check_end(&mut reader, offset, expected);
            };
            let added = assembler.add(&fragment.header, fragment.payload);
            added.context(CorruptSnafu { file: self.file, offset })?;
            offset = fragment.next_offset;
            expected += 1;
        }
        Ok(())
    }

    /// Checks whether the log may end at `offset`, where the fragment `expected` is missing. This is valid after a torn
    /// write. It is corruption if there is a later segment, or a later fragment that was written after the missing one
    /// had been synced.
    fn check_end<D: Disk>(
        &self,
        reader: &mut SegmentReader<'_, D>,
        offset: u64,
        expected: u64,
    ) -> Result<(), StorageError> {
        let corrupt = |source| StorageError::Corrupt { file: self.file.to_owned(), offset, source };
        if self.next_segment.is_some() {
            return Err(corrupt(Corruption::MissingBeforeLaterSegment));
        }
        let generation = self.segment.generation;
        let proves_corruption = |header: &FragmentHeader| {
            header.generation == generation
                && header.sequence > expected
                && header.synced_sequence >= expected
        };
        let proof = reader.find_fragment(offset, self.segment.end_offset, proves_corruption)?;
        if proof.is_some() {
            return Err(corrupt(Corruption::MissingSyncedRecord));
        }
        Ok(())
    }
}
