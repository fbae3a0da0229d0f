//! Encoding of the segment header, which is stored in the first page of each file.

use crate::little_endian::{u32_at, u64_at};

/// Number of bytes reserved for the header. Fragments begin after them, so that writing fragments never touches the
/// page of the header.
pub const PAGE_BYTES: u64 = 4096;
/// Size of an encoded header, in bytes.
pub const HEADER_BYTES: usize = 48;

const MAGIC: u64 = u64::from_le_bytes(*b"shalring");
const STARTS_CHECKPOINT_FLAG: u32 = 1;

/// Describes the segment that a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Generation of the segment, which increases by one with each segment of the journal.
    pub generation: u64,
    /// Sequence number of the first fragment. Fragments of older segments with this number or a higher one are ignored.
    pub first_sequence: u64,
    /// Whether the first fragment begins a checkpoint.
    pub starts_checkpoint: bool,
    /// End of the segment, in bytes from the start of the file.
    pub end_offset: u64,
}

impl SegmentHeader {
    /// Encodes the header: magic number, generation, first sequence number, end offset and flags in little-endian
    /// order, zeros, and a CRC-32 of everything before it in the last four bytes.
    pub fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        let flags = if self.starts_checkpoint { STARTS_CHECKPOINT_FLAG } else { 0 };
        bytes[0..8].copy_from_slice(&MAGIC.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.first_sequence.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.end_offset.to_le_bytes());
        bytes[32..36].copy_from_slice(&flags.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..HEADER_BYTES - 4]);
        bytes[HEADER_BYTES - 4..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a header. Returns `None` if `bytes` is too short, or the magic number or the checksum is wrong.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (body, checksum) = bytes.get(..HEADER_BYTES)?.split_last_chunk::<4>()?;
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) || u64_at(body, 0)? != MAGIC {
            return None;
        }
        Some(SegmentHeader {
            generation: u64_at(body, 8)?,
            first_sequence: u64_at(body, 16)?,
            end_offset: u64_at(body, 24)?,
            starts_checkpoint: u32_at(body, 32)? & STARTS_CHECKPOINT_FLAG != 0,
        })
    }
}
