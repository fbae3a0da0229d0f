//! Builds the records of a checkpoint and computes how many segments they need.

use crate::fragment::{encoded_len, RecordKind, MAX_PAYLOAD_BYTES};
use crate::segment_header::PAGE_BYTES;
use crate::segment_writer::RecordRef;

/// Upper bound, in bytes, of the space lost at the end of a segment: unused space, or the header and padding of the
/// additional fragment in the next segment.
const MAX_SEGMENT_OVERHEAD_BYTES: u64 = 256;

/// Part of a checkpoint that [`capacity`] leaves for the headers and the padding of fragments: one in this many bytes.
const HEADERS_SHARE: u64 = 64;

/// Returns the records of a checkpoint in writing order: a begin marker, the `live` pairs of stream and payload, and an
/// end marker.
pub(crate) fn records(live: &[(u32, Vec<u8>)]) -> impl Iterator<Item = RecordRef<'_>> {
    let marker = |kind| RecordRef { kind, stream: 0, bytes: &[] };
    let live = live.iter().map(|(stream, bytes)| RecordRef {
        kind: RecordKind::CheckpointLive,
        stream: *stream,
        bytes,
    });
    [marker(RecordKind::CheckpointBegin)].into_iter().chain(live).chain([marker(RecordKind::CheckpointEnd)])
}

/// Returns an upper bound of the number of segments that a checkpoint of `live` takes up.
pub(crate) fn max_segments(live: &[(u32, Vec<u8>)], file_bytes: u64) -> usize {
    let records: usize = live.iter().map(|(_, bytes)| encoded_record_len(bytes.len())).sum();
    let markers = 2 * encoded_len(0);
    let bytes = (records + markers) as u64;
    bytes.div_ceil(usable_bytes(file_bytes)) as usize
}

/// Returns the total size of records, in bytes, that fits into this number of segments.
pub(crate) fn capacity(segments: usize, file_bytes: u64) -> usize {
    let bytes = segments as u64 * usable_bytes(file_bytes);
    (bytes - bytes / HEADERS_SHARE) as usize
}

/// Returns the number of bytes of a segment that hold fragments for certain.
fn usable_bytes(file_bytes: u64) -> u64 {
    file_bytes.saturating_sub(PAGE_BYTES + MAX_SEGMENT_OVERHEAD_BYTES).max(1)
}

/// Returns the encoded size, in bytes, of a record that is not split by the end of a segment.
fn encoded_record_len(length: usize) -> usize {
    let full_fragments = length / MAX_PAYLOAD_BYTES;
    full_fragments * encoded_len(MAX_PAYLOAD_BYTES) + encoded_len(length % MAX_PAYLOAD_BYTES)
}
