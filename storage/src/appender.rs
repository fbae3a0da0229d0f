//! Writes records at the journal's end: begins segments, splits records into parts, syncs.

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::header::{SegmentHeader, PAGE};
use crate::record::{self, Kind, RecordHeader, LONGEST_PART};
use crate::ring::{NextFile, Purpose, Ring, RingFile, Segment};
use crate::Disk;

/// Encoded bytes that are written at once, about.
const WRITE_BYTES: usize = 256 << 10;
/// Less room than this for a part's own bytes is left unused at a segment's end.
const LEAST_PART: usize = 64;

/// A record to be written.
#[derive(Clone, Copy)]
pub(crate) struct Item<'a> {
    pub kind: Kind,
    pub stream: u32,
    pub bytes: &'a [u8],
}

/// The end of the segment that is being written.
struct Tail {
    /// Where the segment ends, in bytes.
    end: u64,
    name: String,
    /// Where the buffer's bytes go.
    offset: u64,
    /// Whether bytes were written since the last sync.
    written: bool,
}

pub(crate) struct Appender<D> {
    disk: D,
    pub ring: Ring,
    file_bytes: u64,
    /// `None` where the end of the newest segment is unknown: the next record begins a new one.
    tail: Option<Tail>,
    buffer: Vec<u8>,
    next: u64,
    synced: u64,
}

impl<D: Disk> Appender<D> {
    /// Goes on after the record `committed`.
    pub fn new(disk: D, ring: Ring, file_bytes: u64, committed: u64) -> Self {
        let (next, synced) = (committed + 1, committed);
        Appender { disk, ring, file_bytes, tail: None, buffer: Vec::new(), next, synced }
    }

    /// Bytes of a file.
    pub fn file_bytes(&self) -> u64 {
        self.file_bytes
    }

    /// The newest sequence number that is synced.
    pub fn synced(&self) -> u64 {
        self.synced
    }

    /// Voids what was written after the record `committed`: it is written over by what comes next.
    pub fn abandon(&mut self, committed: u64) {
        self.tail = None;
        self.buffer.clear();
        self.next = committed + 1;
        self.synced = committed;
    }

    /// Writes a record, not yet synced; the sequence number of its last part.
    pub fn write(&mut self, item: Item<'_>, purpose: Purpose) -> Result<u64, StorageError> {
        let mut rest = item.bytes;
        let mut first = true;
        loop {
            let room = match self.room() {
                Some(room) => room,
                None => self.begin_segment(purpose, false)?,
            };
            let (part, later) = rest.split_at(rest.len().min(room).min(LONGEST_PART));
            self.encode(item, part, first, later.is_empty());
            if self.buffer.len() >= WRITE_BYTES {
                self.flush()?;
            }
            if later.is_empty() {
                return Ok(self.next - 1);
            }
            (rest, first) = (later, false);
        }
    }

    /// Syncs all that was written.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.flush()?;
        if let Some(tail) = self.tail.as_mut().filter(|tail| tail.written) {
            self.disk.sync(&tail.name).context(IoSnafu { operation: "sync", file: &tail.name })?;
            tail.written = false;
        }
        self.synced = self.next - 1;
        Ok(())
    }

    /// Begins a segment in a free or new file; the room in it. All before it is synced then, and its header.
    pub fn begin_segment(
        &mut self,
        purpose: Purpose,
        starts_checkpoint: bool,
    ) -> Result<usize, StorageError> {
        self.sync()?;
        if purpose == Purpose::Append {
            self.ring.check_append(self.next)?;
        }
        let file = match self.ring.next_file()? {
            NextFile::Free(file) => file,
            NextFile::Missing => self.grow(1)?,
        };
        self.ring.newest_generation += 1;
        let (generation, first, end) = (self.ring.newest_generation, self.next, self.file_bytes);
        let header = SegmentHeader { generation, first, starts_checkpoint, end };
        let name = self.ring.name(file).to_owned();
        self.tail = None;
        self.disk
            .write_at(&name, 0, &header.encode())
            .context(IoSnafu { operation: "write", file: &name })?;
        self.disk.sync(&name).context(IoSnafu { operation: "sync", file: &name })?;
        let segment = Segment { file, generation, first, starts_checkpoint, end };
        self.ring.begin(segment);
        self.tail = Some(Tail { end, name, offset: PAGE, written: false });
        Ok(self.room().unwrap_or_default())
    }

    /// Makes more ring files, whose names last when this returns; the index of the first.
    pub fn grow(&mut self, count: usize) -> Result<usize, StorageError> {
        let names = self.ring.missing_names(count);
        for name in &names {
            self.disk.create(name, self.file_bytes).context(IoSnafu { operation: "create", file: name })?;
        }
        self.disk.sync_folder().context(IoSnafu { operation: "sync", file: "the folder" })?;
        let first = self.ring.files.len();
        self.ring.files.extend(names.into_iter().map(|name| RingFile { name, generation: 0 }));
        Ok(first)
    }

    /// Bytes that a part may have in the segment; `None` if there is no segment with room.
    fn room(&self) -> Option<usize> {
        let tail = self.tail.as_ref()?;
        let used = tail.offset + self.buffer.len() as u64 + record::HEADER as u64;
        let room = tail.end.saturating_sub(used) as usize / record::ALIGNMENT * record::ALIGNMENT;
        (room >= LEAST_PART).then_some(room)
    }

    fn encode(&mut self, item: Item<'_>, part: &[u8], first: bool, last: bool) {
        let header = RecordHeader {
            generation: self.ring.newest_generation,
            sequence: self.next,
            synced: self.synced,
            stream: item.stream,
            kind: item.kind,
            first,
            last,
            length: part.len() as u32,
        };
        record::encode(&header, part, &mut self.buffer);
        self.next += 1;
    }

    fn flush(&mut self) -> Result<(), StorageError> {
        let Some(tail) = self.tail.as_mut().filter(|_| !self.buffer.is_empty()) else { return Ok(()) };
        tail.written = true;
        let written = self.disk.write_at(&tail.name, tail.offset, &self.buffer);
        written.context(IoSnafu { operation: "write", file: &tail.name })?;
        tail.offset += self.buffer.len() as u64;
        self.buffer.clear();
        self.buffer.shrink_to(WRITE_BYTES / 4);
        Ok(())
    }
}
