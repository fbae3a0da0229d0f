//! Replays consecutive segments.

use snafu::ResultExt;

use super::record_assembler::RecordAssembler;
use super::segment_reader::{Fragment, SegmentReader};
use crate::error::{CorruptSnafu, Corruption, StorageError};
use crate::fragment::FragmentHeader;
use crate::segment_header::PAGE_BYTES;
use crate::segment_ring::{Segment, SegmentRing};
use crate::{Disk, StoredRecord};

/// What consecutive segments hold.
pub(super) struct Replayed {
    pub stored: Vec<StoredRecord>,
    /// Sequence number of the newest record's last fragment.
    pub durable_sequence: u64,
    /// Sequence number of the newest checkpoint's end marker; 0 if there is none.
    pub checkpoint_end: u64,
}

/// Replays `segments`, oldest first, of which the first begins the journal or a checkpoint. `None` if that checkpoint
/// never ended.
pub(super) fn replay<D: Disk>(
    disk: &mut D,
    ring: &SegmentRing,
    segments: &[Segment],
) -> Result<Option<Replayed>, StorageError> {
    let Some(first) = segments.first() else { return Ok(None) };
    let mut assembler = RecordAssembler::new(first.first_sequence);
    for (index, segment) in segments.iter().enumerate() {
        let next_segment = segments.get(index + 1);
        SegmentReplay { segment, file: ring.file_name(segment.file), next_segment }
            .run(disk, &mut assembler)?;
    }
    let RecordAssembler { is_complete, stored, durable_sequence, checkpoint_end, .. } = assembler;
    Ok(is_complete.then_some(Replayed { stored, durable_sequence, checkpoint_end }))
}

/// One segment to be replayed.
struct SegmentReplay<'a> {
    segment: &'a Segment,
    file: &'a str,
    next_segment: Option<&'a Segment>,
}

impl SegmentReplay<'_> {
    /// Replays the segment's fragments up to those that the next segment has voided.
    fn run<D: Disk>(&self, disk: &mut D, assembler: &mut RecordAssembler) -> Result<(), StorageError> {
        let mut reader = SegmentReader::new(disk, self.file);
        let mut offset = PAGE_BYTES;
        let mut expected = self.segment.first_sequence;
        let void_from = self.next_segment.map_or(u64::MAX, |next| next.first_sequence);
        while expected < void_from {
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

    /// Whether the log may end at `offset`, where the fragment `expected` is missing: after a torn write it may. A
    /// later segment, or a later fragment that was written after a sync of the missing one, proves corruption.
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
        let proof = reader.find(offset, self.segment.end_offset, proves_corruption)?;
        if proof.is_some() {
            return Err(corrupt(Corruption::MissingSyncedRecord));
        }
        Ok(())
    }
}
