//! The encoded bytes of segment headers and fragments.

use insta::assert_snapshot;
use shaletrail_storage::fragment::{self, FragmentHeader, RecordKind};
use shaletrail_storage::segment_header::SegmentHeader;

#[test]
fn encoded_segment_header_matches_the_format() {
    let header =
        SegmentHeader { generation: 3, first_sequence: 258, starts_checkpoint: true, end_offset: 16384 };
    let bytes = header.encode();
    assert_eq!(SegmentHeader::decode(&bytes), Some(header));
    assert_snapshot!(hex(&bytes), @r"
    73 68 61 6c 72 69 6e 67
    03 00 00 00 00 00 00 00
    02 01 00 00 00 00 00 00
    00 40 00 00 00 00 00 00
    01 00 00 00 00 00 00 00
    00 00 00 00 aa 46 bc 94
    ");
}

#[test]
fn encoded_fragment_matches_the_format() {
    // given
    let header = FragmentHeader {
        generation: 3,
        sequence: 258,
        synced_sequence: 257,
        stream: 5,
        kind: RecordKind::Append,
        is_first: true,
        is_last: false,
        length: 3,
    };
    // when
    let mut bytes = Vec::new();
    fragment::encode(&header, b"abc", &mut bytes);
    // then
    assert_eq!(fragment::decode(&bytes), Some((header, &b"abc"[..])));
    assert_snapshot!(hex(&bytes), @r"
    ed 9c 16 0c 03 00 00 00
    03 00 00 00 00 00 00 00
    02 01 00 00 00 00 00 00
    01 01 00 00 00 00 00 00
    05 00 00 00 01 01 00 00
    61 62 63 00 00 00 00 00
    ");
}

#[test]
fn fragment_with_a_flipped_bit_is_invalid() {
    let header = FragmentHeader {
        generation: 1,
        sequence: 1,
        synced_sequence: 0,
        stream: 0,
        kind: RecordKind::CheckpointLive,
        is_first: true,
        is_last: true,
        length: 9,
    };
    let mut bytes = Vec::new();
    fragment::encode(&header, b"some data", &mut bytes);
    for bit in 0..(fragment::HEADER_BYTES + 9) * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(fragment::decode(&flipped), None, "bit {bit}");
    }
}

fn hex(bytes: &[u8]) -> String {
    let lines = bytes
        .chunks(8)
        .map(|line| line.iter().map(|byte| format!("{byte:02x}")).collect::<Vec<_>>().join(" "));
    lines.collect::<Vec<_>>().join("\n")
}
