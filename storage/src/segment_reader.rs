//! Reads the records of one file through a small buffer.

use snafu::ResultExt;

use crate::error::{IoSnafu, StorageError};
use crate::header::PAGE;
use crate::record::{self, RecordHeader};
use crate::Disk;

/// Bytes read at once.
const CHUNK: usize = 256 << 10;

/// A valid record and where the next one would begin.
pub(crate) struct Found<'a> {
    pub header: RecordHeader,
    pub bytes: &'a [u8],
    pub next: u64,
}

pub(crate) struct SegmentReader<'a, D> {
    disk: &'a mut D,
    name: &'a str,
    buffer: Vec<u8>,
    start: u64,
    /// Where the file was seen to end.
    end: u64,
}

impl<'a, D: Disk> SegmentReader<'a, D> {
    pub fn new(disk: &'a mut D, name: &'a str) -> Self {
        SegmentReader { disk, name, buffer: Vec::new(), start: PAGE, end: u64::MAX }
    }

    /// The valid record at `offset`, of whichever generation.
    pub fn record_at(&mut self, offset: u64) -> Result<Option<Found<'_>>, StorageError> {
        let Some(header) = record::peek(self.bytes_at(offset, record::HEADER)?) else { return Ok(None) };
        let length = record::HEADER + header.length as usize;
        let next = offset + record::span(header.length as usize) as u64;
        let found = record::decode(self.bytes_at(offset, length)?);
        Ok(found.map(|(header, bytes)| Found { header, bytes, next }))
    }

    /// The first valid record from `offset` on, before `end`, that `wanted` asks for. Looks at each place where a
    /// record could begin.
    pub fn search(
        &mut self,
        offset: u64,
        end: u64,
        wanted: impl Fn(&RecordHeader) -> bool,
    ) -> Result<Option<u64>, StorageError> {
        for place in (offset..end.saturating_sub(record::HEADER as u64)).step_by(record::ALIGNMENT) {
            if place >= self.end {
                break;
            }
            let plausible =
                record::peek(self.bytes_at(place, record::HEADER)?).is_some_and(|header| wanted(&header));
            if plausible && self.record_at(place)?.is_some() {
                return Ok(Some(place));
            }
        }
        Ok(None)
    }

    /// `length` bytes from `offset` on; fewer where the file ends before.
    fn bytes_at(&mut self, offset: u64, length: usize) -> Result<&[u8], StorageError> {
        let reaches = self.start + self.buffer.len() as u64;
        let wanted_end = (offset + length as u64).min(self.end);
        if offset < self.start || wanted_end > reaches {
            self.load(offset, length.max(CHUNK))?;
        }
        let from = offset.saturating_sub(self.start) as usize;
        let rest = self.buffer.get(from..).unwrap_or_default();
        Ok(rest.get(..length).unwrap_or(rest))
    }

    fn load(&mut self, offset: u64, length: usize) -> Result<(), StorageError> {
        let read = self.disk.read_at(self.name, offset, length);
        self.buffer = read.context(IoSnafu { operation: "read", file: self.name })?;
        self.start = offset;
        if self.buffer.len() < length {
            self.end = offset + self.buffer.len() as u64;
        }
        Ok(())
    }
}
