//! Records as they stand in a segment, each whole or a part of a longer one.

use crate::header::{u32_at, u64_at};

/// Bytes before a record's own.
pub const HEADER: usize = 40;
/// Records begin at multiples of this many bytes.
pub const ALIGNMENT: usize = 8;
/// The longest part of a record, in bytes: what is encoded, written and read at once stays small.
pub const LONGEST_PART: usize = 256 << 10;

/// What a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Appended by the journal's user.
    Append,
    /// A checkpoint begins; carries no bytes.
    CheckpointBegin,
    /// A live record, written anew by a checkpoint.
    CheckpointLive,
    /// A checkpoint is complete; carries no bytes.
    CheckpointEnd,
}

impl Kind {
    const ALL: [Kind; 4] = [Kind::Append, Kind::CheckpointBegin, Kind::CheckpointLive, Kind::CheckpointEnd];

    /// Never 0, so that zeros are no record.
    fn code(self) -> u8 {
        match self {
            Kind::Append => 1,
            Kind::CheckpointBegin => 2,
            Kind::CheckpointLive => 3,
            Kind::CheckpointEnd => 4,
        }
    }
}

/// The header of a record or of a part of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// Of the segment.
    pub generation: u64,
    /// Rises by one over the whole journal.
    pub sequence: u64,
    /// All records up to this one were synced when this one was written.
    pub synced: u64,
    /// The user's stream; 0 for marks.
    pub stream: u32,
    /// What it is.
    pub kind: Kind,
    /// Whether a record begins with this part.
    pub first: bool,
    /// Whether the record is complete with this part.
    pub last: bool,
    /// Bytes that follow.
    pub length: u32,
}

const FIRST: u8 = 1;
const LAST: u8 = 2;

/// Bytes that a part with `length` bytes of its own takes up in a segment.
pub fn span(length: usize) -> usize {
    (HEADER + length).next_multiple_of(ALIGNMENT)
}

/// Appends a part to `out`. `header.length` must be that of `bytes`.
pub fn encode(header: &RecordHeader, bytes: &[u8], out: &mut Vec<u8>) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&header.length.to_le_bytes());
    out.extend_from_slice(&header.generation.to_le_bytes());
    out.extend_from_slice(&header.sequence.to_le_bytes());
    out.extend_from_slice(&header.synced.to_le_bytes());
    out.extend_from_slice(&header.stream.to_le_bytes());
    let parts = if header.first { FIRST } else { 0 } | if header.last { LAST } else { 0 };
    out.extend_from_slice(&[header.kind.code(), parts, 0, 0]);
    out.extend_from_slice(bytes);
    let checksum = crc32fast::hash(&out[start + 4..]);
    out[start..start + 4].copy_from_slice(&checksum.to_le_bytes());
    out.resize(start + span(bytes.len()), 0);
}

/// Reads a header that may be one; nothing is verified but its form.
pub fn peek(bytes: &[u8]) -> Option<RecordHeader> {
    let [code, parts, 0, 0] = *bytes.get(36..HEADER)?.first_chunk()? else { return None };
    let header = RecordHeader {
        length: u32_at(bytes, 4)?,
        generation: u64_at(bytes, 8)?,
        sequence: u64_at(bytes, 16)?,
        synced: u64_at(bytes, 24)?,
        stream: u32_at(bytes, 32)?,
        kind: Kind::ALL.into_iter().find(|kind| kind.code() == code)?,
        first: parts & FIRST != 0,
        last: parts & LAST != 0,
    };
    (header.length as usize <= LONGEST_PART).then_some(header)
}

/// Reads and verifies a part; `None` if there is no valid one at the start of `bytes`.
pub fn decode(bytes: &[u8]) -> Option<(RecordHeader, &[u8])> {
    let header = peek(bytes)?;
    let whole = bytes.get(..HEADER + header.length as usize)?;
    let (checksum, covered) = whole.split_first_chunk::<4>()?;
    if crc32fast::hash(covered) != u32::from_le_bytes(*checksum) {
        return None;
    }
    Some((header, whole.get(HEADER..)?))
}
