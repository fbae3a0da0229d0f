//! Writes records at the end of the log: starts segments, splits records into fragments, and syncs.

use crate::error::StorageError;
use crate::fragment::{self, FragmentHeader, RecordKind, MAX_PAYLOAD_BYTES};
use crate::segment_header::{SegmentHeader, PAGE_BYTES};
use crate::segment_ring::{NextFile, RingFile, Segment, SegmentPurpose, SegmentRing};
use crate::{disk_io, Disk};

/// The buffer is written to the file once it holds at least this many bytes.
const WRITE_BUFFER_BYTES: usize = 256 << 10;
/// A fragment is not started at the end of a segment if less than this many bytes are left for its payload.
const MIN_PAYLOAD_BYTES: usize = 64;

/// A record to be written, with a borrowed payload.
#[derive(Clone, Copy)]
pub(crate) struct RecordRef<'a> {
    pub kind: RecordKind,
    pub stream: u32,
    pub bytes: &'a [u8],
}

/// The segment that receives new fragments.
struct ActiveSegment {
    file_name: String,
    /// End of the segment, in bytes from the start of the file.
    end_offset: u64,
    /// Position of the next write, in bytes from the start of the file.
    write_offset: u64,
    /// Whether the file has been written to since its last sync.
    dirty: bool,
}

/// Appends to the log. Owns the disk and the ring of files.
pub(crate) struct SegmentWriter<D> {
    disk: D,
    pub ring: SegmentRing,
    file_bytes: u64,
    /// `None` after opening and after a failure. The next record then starts a new segment, because the newest one may
    /// end with a torn write.
    active: Option<ActiveSegment>,
    /// Encoded fragments that are not written to the file yet.
    buffer: Vec<u8>,
    next_sequence: u64,
    synced_sequence: u64,
}

impl<D: Disk> SegmentWriter<D> {
    /// Creates a writer that continues after the fragment `durable_sequence`.
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

    /// Returns the size of a new file, in bytes.
    pub fn file_bytes(&self) -> u64 {
        self.file_bytes
    }

    /// Returns the highest sequence number that is synced.
    pub fn synced_sequence(&self) -> u64 {
        self.synced_sequence
    }

    /// Discards everything after the fragment `durable_sequence`; the next segment reuses the sequence numbers. Nothing
    /// may be written to the same segment after a failed write or sync, because it is unknown which of those bytes were
    /// written.
    pub fn abandon_segment(&mut self, durable_sequence: u64) {
        self.active = None;
        self.buffer.clear();
        self.next_sequence = durable_sequence + 1;
        self.synced_sequence = durable_sequence;
    }

    /// Writes a record without syncing it. Returns the sequence number of its last fragment.
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

    /// Writes the buffer and syncs the active segment.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.flush()?;
        if let Some(active) = self.active.as_mut().filter(|active| active.dirty) {
            disk_io::sync(&mut self.disk, &active.file_name)?;
            active.dirty = false;
        }
        self.synced_sequence = self.next_sequence - 1;
        Ok(())
    }

    /// Starts a segment in a recycled or new file. Returns the payload capacity of its first fragment, in bytes. First
    /// syncs everything written before, and syncs the header before returning (invariants 1 and 2 in the crate
    /// documentation).
    pub fn begin_segment(
        &mut self,
        purpose: SegmentPurpose,
        starts_checkpoint: bool,
    ) -> Result<usize, StorageError> {
        self.sync()?;
        if purpose == SegmentPurpose::Append {
            self.ring.check_append_fits(self.next_sequence)?;
        }
        let file = match self.ring.next_file()? {
            NextFile::Recycle(file) => file,
            NextFile::Create => self.create_files(1)?,
        };
        // The generation is used up even if writing the header fails, because a part of the header may have been
        // written.
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
        disk_io::write_at(&mut self.disk, &file_name, 0, &header_for(&segment).encode())?;
        disk_io::sync(&mut self.disk, &file_name)?;
        self.ring.add_segment(segment);
        let end_offset = segment.end_offset;
        self.active = Some(ActiveSegment { file_name, end_offset, write_offset: PAGE_BYTES, dirty: false });
        Ok(self.payload_capacity().unwrap_or_default())
    }

    /// Creates ring files and makes their names durable. Returns the index of the first one.
    pub fn create_files(&mut self, count: usize) -> Result<usize, StorageError> {
        let names = self.ring.unused_file_names(count);
        for name in &names {
            disk_io::create(&mut self.disk, name, self.file_bytes)?;
        }
        disk_io::sync_directory(&mut self.disk)?;
        let first = self.ring.files.len();
        self.ring.files.extend(names.into_iter().map(|name| RingFile { name, generation: 0 }));
        Ok(first)
    }

    /// Returns the maximum payload of the next fragment, in bytes, or `None` if it needs a new segment.
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
        // Set before the write, because a failed write may have changed a part of the file.
        active.dirty = true;
        disk_io::write_at(&mut self.disk, &active.file_name, active.write_offset, &self.buffer)?;
        active.write_offset += self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(WRITE_BUFFER_BYTES / 4);
        Ok(())
    }
}

fn header_for(segment: &Segment) -> SegmentHeader {
    let Segment { generation, first_sequence, starts_checkpoint, end_offset, .. } = *segment;
    SegmentHeader { generation, first_sequence, starts_checkpoint, end_offset }
}
