//! Writes records at the log's end: begins segments, splits records into fragments, syncs.

use crate::error::StorageError;
use crate::fragment::{self, FragmentHeader, RecordKind, MAX_PAYLOAD_BYTES};
use crate::segment_header::{SegmentHeader, PAGE_BYTES};
use crate::segment_ring::{NextFile, RingFile, Segment, SegmentPurpose, SegmentRing};
use crate::{disk_io, Disk};

/// Buffered bytes from which on the buffer is written to the file.
const WRITE_BUFFER_BYTES: usize = 256 << 10;
/// Less capacity than this for a fragment's payload is left unused at a segment's end.
const MIN_PAYLOAD_BYTES: usize = 64;

/// A record to be written.
#[derive(Clone, Copy)]
pub(crate) struct RecordRef<'a> {
    pub kind: RecordKind,
    pub stream: u32,
    pub bytes: &'a [u8],
}

/// The segment that is being written.
struct ActiveSegment {
    file_name: String,
    /// Where the segment ends, in bytes from the file's start.
    end_offset: u64,
    /// Where the buffer goes, in bytes from the file's start.
    write_offset: u64,
    /// Whether bytes were written since the last sync.
    dirty: bool,
}

/// The writing end of the log, and the owner of its disk.
pub(crate) struct SegmentWriter<D> {
    disk: D,
    pub ring: SegmentRing,
    file_bytes: u64,
    /// `None` if the end of the newest segment is unknown: the next record begins a new one.
    active: Option<ActiveSegment>,
    /// Encoded fragments that are not written yet.
    buffer: Vec<u8>,
    next_sequence: u64,
    synced_sequence: u64,
}

impl<D: Disk> SegmentWriter<D> {
    /// Continues after the fragment `durable_sequence`.
    pub fn new(disk: D, ring: SegmentRing, file_bytes: u64, durable_sequence: u64) -> Self {
        SegmentWriter {
            disk,
            ring,
            file_bytes,
            active: None,
            buffer: Vec::new(),
            next_sequence: durable_sequence + 1,
            synced_sequence: durable_sequence,
        }
    }

    /// Bytes of a new file.
    pub fn file_bytes(&self) -> u64 {
        self.file_bytes
    }

    /// The newest sequence number that is synced.
    pub fn synced_sequence(&self) -> u64 {
        self.synced_sequence
    }

    /// Voids everything after the fragment `durable_sequence`: the next segment reuses the sequence numbers. Nothing
    /// may be written behind a failed write or sync, whose bytes are there, missing or torn.
    pub fn abandon_segment(&mut self, durable_sequence: u64) {
        self.active = None;
        self.buffer.clear();
        self.next_sequence = durable_sequence + 1;
        self.synced_sequence = durable_sequence;
    }

    /// Writes a record without syncing it; the sequence number of its last fragment.
    pub fn write(&mut self, record: RecordRef<'_>, purpose: SegmentPurpose) -> Result<u64, StorageError> {
        let mut rest = record.bytes;
        let mut is_first = true;
        loop {
            let capacity = match self.payload_capacity() {
                Some(capacity) => capacity,
                None => self.begin_segment(purpose, false)?,
            };
            let (payload, later) = rest.split_at(rest.len().min(capacity).min(MAX_PAYLOAD_BYTES));
            self.encode_fragment(record, payload, is_first, later.is_empty());
            if self.buffer.len() >= WRITE_BUFFER_BYTES {
                self.flush()?;
            }
            if later.is_empty() {
                return Ok(self.next_sequence - 1);
            }
            (rest, is_first) = (later, false);
        }
    }

    /// Writes the buffer and syncs the segment.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.flush()?;
        if let Some(active) = self.active.as_mut().filter(|active| active.dirty) {
            disk_io::sync(&mut self.disk, &active.file_name)?;
            active.dirty = false;
        }
        self.synced_sequence = self.next_sequence - 1;
        Ok(())
    }

    /// Begins a segment in a recycled or new file; its capacity for the payload of a fragment. Everything before it is
    /// synced first, and its header is synced before this returns (invariants 1 and 2 of the crate).
    pub fn begin_segment(
        &mut self,
        purpose: SegmentPurpose,
        starts_checkpoint: bool,
    ) -> Result<usize, StorageError> {
        self.sync()?;
        if purpose == SegmentPurpose::Append {
            self.ring.check_append(self.next_sequence)?;
        }
        let file = match self.ring.next_file()? {
            NextFile::Recycle(file) => file,
            NextFile::Create => self.create_files(1)?,
        };
        // Counts up even if the header cannot be written: some of it may be in the file.
        self.ring.newest_generation += 1;
        let segment = Segment {
            file,
            generation: self.ring.newest_generation,
            first_sequence: self.next_sequence,
            starts_checkpoint,
            end_offset: self.file_bytes,
        };
        let file_name = self.ring.file_name(file).to_owned();
        self.active = None;
        disk_io::write_at(&mut self.disk, &file_name, 0, &header_of(&segment).encode())?;
        disk_io::sync(&mut self.disk, &file_name)?;
        self.ring.add_segment(segment);
        let end_offset = segment.end_offset;
        self.active = Some(ActiveSegment { file_name, end_offset, write_offset: PAGE_BYTES, dirty: false });
        Ok(self.payload_capacity().unwrap_or_default())
    }

    /// Creates ring files, whose names are durable when this returns; the index of the first.
    pub fn create_files(&mut self, count: usize) -> Result<usize, StorageError> {
        let names = self.ring.unused_names(count);
        for name in &names {
            disk_io::create(&mut self.disk, name, self.file_bytes)?;
        }
        disk_io::sync_folder(&mut self.disk)?;
        let first = self.ring.files.len();
        self.ring.files.extend(names.into_iter().map(|name| RingFile { name, generation: 0 }));
        Ok(first)
    }

    /// Bytes of payload that the next fragment may have; `None` if a segment has to be begun for it.
    fn payload_capacity(&self) -> Option<usize> {
        let active = self.active.as_ref()?;
        let used = active.write_offset + self.buffer.len() as u64 + fragment::HEADER_BYTES as u64;
        let free = active.end_offset.saturating_sub(used) as usize;
        let capacity = free / fragment::ALIGNMENT * fragment::ALIGNMENT;
        (capacity >= MIN_PAYLOAD_BYTES).then_some(capacity)
    }

    fn encode_fragment(&mut self, record: RecordRef<'_>, payload: &[u8], is_first: bool, is_last: bool) {
        let header = FragmentHeader {
            generation: self.ring.newest_generation,
            sequence: self.next_sequence,
            synced_sequence: self.synced_sequence,
            stream: record.stream,
            kind: record.kind,
            is_first,
            is_last,
            length: payload.len() as u32,
        };
        fragment::encode(&header, payload, &mut self.buffer);
        self.next_sequence += 1;
    }

    fn flush(&mut self) -> Result<(), StorageError> {
        let Some(active) = self.active.as_mut().filter(|_| !self.buffer.is_empty()) else { return Ok(()) };
        // Before the write: one that fails may have reached the file in part.
        active.dirty = true;
        disk_io::write_at(&mut self.disk, &active.file_name, active.write_offset, &self.buffer)?;
        active.write_offset += self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(WRITE_BUFFER_BYTES / 4);
        Ok(())
    }
}

fn header_of(segment: &Segment) -> SegmentHeader {
    let Segment { generation, first_sequence, starts_checkpoint, end_offset, .. } = *segment;
    SegmentHeader { generation, first_sequence, starts_checkpoint, end_offset }
}
