//! The header of a segment, in the first page of its file.

/// Bytes kept for the header. Records begin after them, so that writing those never touches the header's page.
pub const PAGE: u64 = 4096;
/// Bytes of the encoded header.
pub const LENGTH: usize = 48;

const MAGIC: u64 = u64::from_le_bytes(*b"shalring");
const STARTS_CHECKPOINT: u32 = 1;

/// What the first page of a file says of the segment in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SegmentHeader {
    /// Rises with each segment begun.
    pub generation: u64,
    /// Sequence number of its first record. Records from this number on in older segments are void.
    pub first: u64,
    /// Whether a checkpoint begins with its first record.
    pub starts_checkpoint: bool,
    /// Where it ends, in bytes from the file's start.
    pub end: u64,
}

impl SegmentHeader {
    /// The header as it stands in the file.
    pub fn encode(&self) -> [u8; LENGTH] {
        let mut bytes = [0; LENGTH];
        let flags = if self.starts_checkpoint { STARTS_CHECKPOINT } else { 0 };
        bytes[0..8].copy_from_slice(&MAGIC.to_le_bytes());
        bytes[8..16].copy_from_slice(&self.generation.to_le_bytes());
        bytes[16..24].copy_from_slice(&self.first.to_le_bytes());
        bytes[24..32].copy_from_slice(&self.end.to_le_bytes());
        bytes[32..36].copy_from_slice(&flags.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..LENGTH - 4]);
        bytes[LENGTH - 4..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Reads a header; `None` if there is no valid one.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (body, checksum) = bytes.get(..LENGTH)?.split_last_chunk::<4>()?;
        if crc32fast::hash(body) != u32::from_le_bytes(*checksum) || u64_at(body, 0)? != MAGIC {
            return None;
        }
        Some(SegmentHeader {
            generation: u64_at(body, 8)?,
            first: u64_at(body, 16)?,
            end: u64_at(body, 24)?,
            starts_checkpoint: u32_at(body, 32)? & STARTS_CHECKPOINT != 0,
        })
    }
}

pub(crate) fn u64_at(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}

pub(crate) fn u32_at(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(*bytes.get(at..)?.first_chunk()?))
}
