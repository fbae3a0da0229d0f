//! Reads the fragments of one file through a buffer.

use crate::error::StorageError;
use crate::fragment::{self, FragmentHeader};
use crate::segment_header::PAGE_BYTES;
use crate::{disk_io, Disk};

/// Minimum number of bytes requested by one read.
const READ_BUFFER_BYTES: usize = 256 << 10;

/// A fragment whose checksum is valid.
pub(super) struct Fragment<'a> {
    pub header: FragmentHeader,
    pub payload: &'a [u8],
    /// Offset at which the next fragment would begin, in bytes from the start of the file.
    pub next_offset: u64,
}

pub(super) struct SegmentReader<'a, D> {
    disk: &'a mut D,
    file: &'a str,
    buffer: Vec<u8>,
    /// Offset of the buffered bytes in the file.
    buffer_offset: u64,
    /// Size of the file, in bytes; `u64::MAX` until a read has reached the end.
    known_file_end: u64,
}

impl<'a, D: Disk> SegmentReader<'a, D> {
    /// Creates a reader of `file` with an empty buffer. Nothing is read until the first call.
    pub fn new(disk: &'a mut D, file: &'a str) -> Self {
        SegmentReader { disk, file, buffer: Vec::new(), buffer_offset: PAGE_BYTES, known_file_end: u64::MAX }
    }

    /// Returns the fragment at `offset`, whatever its generation, or `None` if there is no valid one.
    pub fn fragment_at(&mut self, offset: u64) -> Result<Option<Fragment<'_>>, StorageError> {
        let header_bytes = self.bytes_at(offset, fragment::HEADER_BYTES)?;
        let Some(header) = fragment::decode_unverified_header(header_bytes) else { return Ok(None) };
        let payload_bytes = header.length as usize;
        let next_offset = offset + fragment::encoded_len(payload_bytes) as u64;
        let decoded = fragment::decode(self.bytes_at(offset, fragment::HEADER_BYTES + payload_bytes)?);
        Ok(decoded.map(|(header, payload)| Fragment { header, payload, next_offset }))
    }

    /// Returns the offset of the first valid fragment in `offset..end` whose header satisfies `predicate`. Checks every
    /// aligned offset, because the position of the fragments after a missing one is unknown.
    pub fn find_fragment(
        &mut self,
        offset: u64,
        end: u64,
        predicate: impl Fn(&FragmentHeader) -> bool,
    ) -> Result<Option<u64>, StorageError> {
        let end = end.saturating_sub(fragment::HEADER_BYTES as u64);
        for candidate in (offset..end).step_by(fragment::ALIGNMENT) {
            if candidate >= self.known_file_end {
                break;
            }
            let header_bytes = self.bytes_at(candidate, fragment::HEADER_BYTES)?;
            let header = fragment::decode_unverified_header(header_bytes);
            if header.is_some_and(|header| predicate(&header)) && self.fragment_at(candidate)?.is_some() {
                return Ok(Some(candidate));
            }
        }
        Ok(None)
    }

    /// Returns `length` bytes starting at `offset`; fewer if the file ends earlier.
    fn bytes_at(&mut self, offset: u64, length: usize) -> Result<&[u8], StorageError> {
        let buffer_end = self.buffer_offset + self.buffer.len() as u64;
        let wanted_end = (offset + length as u64).min(self.known_file_end);
        if offset < self.buffer_offset || wanted_end > buffer_end {
            self.fill_buffer(offset, length.max(READ_BUFFER_BYTES))?;
        }
        let start = offset.saturating_sub(self.buffer_offset) as usize;
        let rest = self.buffer.get(start..).unwrap_or_default();
        Ok(rest.get(..length).unwrap_or(rest))
    }

    fn fill_buffer(&mut self, offset: u64, length: usize) -> Result<(), StorageError> {
        self.buffer = disk_io::read_at(self.disk, self.file, offset, length)?;
        self.buffer_offset = offset;
        if self.buffer.len() < length {
            self.known_file_end = offset + self.buffer.len() as u64;
        }
        Ok(())
    }
}
