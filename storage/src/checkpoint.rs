//! The records of a checkpoint, and the capacity that they need.

use crate::fragment::{encoded_len, RecordKind, MAX_PAYLOAD_BYTES};
use crate::segment_header::PAGE_BYTES;
use crate::segment_writer::RecordRef;

/// Upper bound of the bytes that stay unused at a segment's end, or that one more fragment needs after it.
const MAX_SEGMENT_WASTE: u64 = 256;

/// The records of a checkpoint of `live`, pairs of stream and payload: all of them between two markers.
pub(crate) fn records(live: &[(u32, Vec<u8>)]) -> impl Iterator<Item = RecordRef<'_>> {
    let marker = |kind| RecordRef { kind, stream: 0, bytes: &[] };
    let live = live.iter().map(|(stream, bytes)| RecordRef {
        kind: RecordKind::CheckpointLive,
        stream: *stream,
        bytes,
    });
    [marker(RecordKind::CheckpointBegin)].into_iter().chain(live).chain([marker(RecordKind::CheckpointEnd)])
}

/// Segments that a checkpoint of `live` takes up at most.
pub(crate) fn max_segments(live: &[(u32, Vec<u8>)], file_bytes: u64) -> usize {
    let records: usize = live.iter().map(|(_, bytes)| encoded_record_len(bytes.len())).sum();
    let markers = 2 * encoded_len(0);
    let bytes = (records + markers) as u64;
    bytes.div_ceil(file_bytes.saturating_sub(PAGE_BYTES + MAX_SEGMENT_WASTE).max(1)) as usize
}

/// Bytes of all fragments of a record that no segment's end splits.
fn encoded_record_len(length: usize) -> usize {
    let full_fragments = length / MAX_PAYLOAD_BYTES;
    full_fragments * encoded_len(MAX_PAYLOAD_BYTES) + encoded_len(length % MAX_PAYLOAD_BYTES)
}
