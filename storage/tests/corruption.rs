//! Damage that recovery must report as corruption, and a torn write that it must accept.

mod support;

use insta::assert_snapshot;
use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::fragment::{self, FragmentHeader, RecordKind};
use shaletrail_storage::{Disk, Journal, StorageError};
use support::{append_synced, open, payload_texts, small_options};

#[test]
fn corrupt_record_before_synced_ones_is_located() {
    // given
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    append_synced(&mut journal, &["one"]);
    append_synced(&mut journal, &["two"]);
    append_synced(&mut journal, &["three"]);
    // when
    assert!(disk.corrupt_byte("ring-0000", 4096 + 48 + 41, 1));
    // then
    let error = Journal::open(disk, &small_options()).err().expect("the corruption is found");
    assert!(matches!(error, StorageError::Corrupt { .. }));
    assert_snapshot!(
        error,
        @"ring-0000 is corrupt at byte 4144: a synced record is missing but later records are present"
    );
}

#[test]
fn corrupt_end_of_a_full_segment_is_found() {
    // given
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    for _ in 0..20 {
        journal.append(1, vec![9; 1_000]).expect("the record is short");
        journal.sync().expect("the disk has no faults");
    }
    // when
    assert!(disk.corrupt_byte("ring-0000", 16_000, 0x80));
    // then
    let error = Journal::open(disk, &small_options()).err().expect("the corruption is found");
    assert_snapshot!(
        error,
        @"ring-0000 is corrupt at byte 15536: records before the start of the next segment are missing"
    );
}

#[test]
fn journal_without_its_only_header_is_not_fresh() {
    // given
    let disk = MemoryDisk::new(1);
    append_synced(&mut open(&disk).journal, &["one"]);
    // when
    assert!(disk.corrupt_byte("ring-0000", 9, 1));
    // then
    let error = Journal::open(disk, &small_options()).err().expect("the corruption is found");
    assert_snapshot!(
        error,
        @"ring-0000 is corrupt at byte 0: fragments of a newer generation found without a segment header"
    );
}

#[test]
fn corrupt_header_of_a_checkpoint_is_found() {
    // given
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    append_synced(&mut journal, &["one"]);
    journal.checkpoint(&[(1, b"live".to_vec())]).expect("the disk has no faults");
    // when
    assert!(disk.corrupt_byte("ring-0001", 9, 1));
    // then
    let error = Journal::open(disk, &small_options()).err().expect("the corruption is found");
    assert!(matches!(error, StorageError::Corrupt { file, .. } if file == "ring-0001"));
}

#[test]
fn record_behind_a_sequence_gap_is_ignored() {
    // given
    let mut disk = MemoryDisk::new(1);
    append_synced(&mut open(&disk).journal, &["one"]);
    let out_of_order = FragmentHeader {
        generation: 1,
        sequence: 5,
        synced_sequence: 0,
        stream: 1,
        kind: RecordKind::Append,
        is_first: true,
        is_last: true,
        length: 4,
    };
    // when
    let mut bytes = Vec::new();
    fragment::encode(&out_of_order, b"five", &mut bytes);
    disk.write_at("ring-0000", 4096 + fragment::encoded_len(3) as u64, &bytes)
        .expect("the disk has no faults");
    // then
    assert_eq!(payload_texts(&open(&disk).stored), ["one"]);
}

#[test]
fn fragments_of_different_records_are_not_joined() {
    // given: the first fragment of a record, followed by the last fragment of a record of another stream.
    let mut disk = MemoryDisk::new(1);
    append_synced(&mut open(&disk).journal, &["one"]);
    let fragment_header = |sequence, stream, is_first| FragmentHeader {
        generation: 1,
        sequence,
        synced_sequence: 1,
        stream,
        kind: RecordKind::Append,
        is_first,
        is_last: !is_first,
        length: 4,
    };
    let mut bytes = Vec::new();
    fragment::encode(&fragment_header(2, 1, true), b"head", &mut bytes);
    fragment::encode(&fragment_header(3, 2, false), b"tail", &mut bytes);
    // when
    disk.write_at("ring-0000", 4096 + fragment::encoded_len(3) as u64, &bytes)
        .expect("the disk has no faults");
    // then
    let error = Journal::open(disk, &small_options()).err().expect("the mismatch is found");
    assert_snapshot!(
        error,
        @"ring-0000 is corrupt at byte 4192: consecutive fragments belong to different records"
    );
}
