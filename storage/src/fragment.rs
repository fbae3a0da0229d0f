//! Encoding of record fragments in a segment. A short record consists of a single fragment.

use crate::little_endian::{u32_at, u64_at};

/// Size of an encoded fragment header, in bytes.
pub const HEADER_BYTES: usize = 40;
/// Alignment of fragments within a file, in bytes.
pub const ALIGNMENT: usize = 8;
/// Maximum payload of a fragment, in bytes. Bounds the amount of data that is encoded, written or read at once.
pub const MAX_PAYLOAD_BYTES: usize = 256 << 10;

/// The kind of a record. Each fragment of a record stores it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// A record appended by the user of the journal.
    Append,
    /// Marks the beginning of a checkpoint. Has no payload.
    CheckpointBegin,
    /// A live record, rewritten by a checkpoint.
    CheckpointLive,
    /// Marks a checkpoint as complete. Has no payload.
    CheckpointEnd,
}

impl RecordKind {
    const ALL: [RecordKind; 4] = [
        RecordKind::Append,
        RecordKind::CheckpointBegin,
        RecordKind::CheckpointLive,
        RecordKind::CheckpointEnd,
    ];

    /// Returns the stored code. It is never 0, so that zeroed space does not decode as a fragment.
    fn code(self) -> u8 {
        match self {
            RecordKind::Append => 1,
            RecordKind::CheckpointBegin => 2,
            RecordKind::CheckpointLive => 3,
            RecordKind::CheckpointEnd => 4,
        }
    }
}

/// The header of a fragment, which precedes its payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FragmentHeader {
    /// Generation of the segment that contains the fragment.
    pub generation: u64,
    /// Sequence number, which increases by one with each fragment across the whole journal.
    pub sequence: u64,
    /// Highest sequence number that had been synced when this fragment was encoded.
    pub synced_sequence: u64,
    /// Stream that the record was appended to; 0 for checkpoint markers.
    pub stream: u32,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Whether this is the first fragment of the record.
    pub is_first: bool,
    /// Whether this is the last fragment of the record.
    pub is_last: bool,
    /// Length of the payload, in bytes.
    pub length: u32,
}

const FIRST_FLAG: u8 = 1;
const LAST_FLAG: u8 = 2;

/// Returns the number of bytes that a fragment with a payload of `length` bytes takes up in a segment, including
/// padding.
pub fn encoded_len(length: usize) -> usize {
    (HEADER_BYTES + length).next_multiple_of(ALIGNMENT)
}

/// Appends an encoded fragment to `out`: a CRC-32 of everything after it except the padding, the other header fields in
/// little-endian order, the payload, and zeros up to the alignment. `header.length` must be the length of `payload`.
pub fn encode(header: &FragmentHeader, payload: &[u8], out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&header.length.to_le_bytes());
    out.extend_from_slice(&header.generation.to_le_bytes());
    out.extend_from_slice(&header.sequence.to_le_bytes());
    out.extend_from_slice(&header.synced_sequence.to_le_bytes());
    out.extend_from_slice(&header.stream.to_le_bytes());
    let flags = if header.is_first { FIRST_FLAG } else { 0 } | if header.is_last { LAST_FLAG } else { 0 };
    out.extend_from_slice(&[header.kind.code(), flags, 0, 0]);
    out.extend_from_slice(payload);
    let checksum = crc32fast::hash(&out[start + 4..]);
    out[start..start + 4].copy_from_slice(&checksum.to_le_bytes());
    out.resize(start + encoded_len(payload.len()), 0);
}

/// Decodes a header without verifying the checksum, which also covers the payload. Returns `None` if `bytes` is too
/// short or a field is invalid.
pub fn decode_unverified_header(bytes: &[u8]) -> Option<FragmentHeader> {
    let [code, flags, 0, 0] = *bytes.get(36..HEADER_BYTES)?.first_chunk()? else { return None };
    let header = FragmentHeader {
        length: u32_at(bytes, 4)?,
        generation: u64_at(bytes, 8)?,
        sequence: u64_at(bytes, 16)?,
        synced_sequence: u64_at(bytes, 24)?,
        stream: u32_at(bytes, 32)?,
        kind: RecordKind::ALL.into_iter().find(|kind| kind.code() == code)?,
        is_first: flags & FIRST_FLAG != 0,
        is_last: flags & LAST_FLAG != 0,
    };
    (header.length as usize <= MAX_PAYLOAD_BYTES).then_some(header)
}

/// Decodes and verifies the fragment at the start of `bytes`. Returns its header and payload, or `None` if there is no
/// valid fragment.
pub fn decode(bytes: &[u8]) -> Option<(FragmentHeader, &[u8])> {
    let header = decode_unverified_header(bytes)?;
    let encoded = bytes.get(..HEADER_BYTES + header.length as usize)?;
    let (checksum, covered) = encoded.split_first_chunk::<4>()?;
    if crc32fast::hash(covered) != u32::from_le_bytes(*checksum) {
        return None;
    }
    Some((header, encoded.get(HEADER_BYTES..)?))
}
