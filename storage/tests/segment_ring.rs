//! Recycling segments, adding files, and the limits of the ring.

mod support;

use insta::assert_snapshot;
use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::{Disk, Journal, Options};
use support::{append_synced, open, payload_texts, small_options, stored};

#[test]
fn ring_wraps_around() {
    // given
    let mut disk = MemoryDisk::new(1);
    let options = Options { initial_files: 8, max_files: 8, ..small_options() };
    let mut journal = Journal::open(disk.clone(), &options).expect("the journal opens").journal;
    let mut expected = Vec::new();
    // when
    for number in 0..2_000_u32 {
        let record = vec![number as u8; 200];
        expected.push((number, record.clone()));
        journal.append(number, record).expect("the record is short");
        journal.sync().expect("a checkpoint is requested before appends are refused");
        if journal.wants_checkpoint() {
            expected = expected.split_off(expected.len().saturating_sub(10));
            journal.checkpoint(&expected).expect("a checkpoint fits");
        }
    }
    // then
    let opened = Journal::open(disk.clone(), &options).expect("the journal opens");
    let found: Vec<_> = opened.stored.into_iter().map(|record| (record.stream, record.bytes)).collect();
    assert_eq!(found, expected);
    assert_eq!(disk.list().expect("the disk has no faults").len(), 8);
}

#[test]
fn small_live_set_does_not_grow_the_ring() {
    // given
    let mut disk = MemoryDisk::new(1);
    let options = Options { initial_files: 6, ..small_options() };
    let mut journal = Journal::open(disk.clone(), &options).expect("the journal opens").journal;
    // when
    for _ in 0..1_000 {
        journal.append(1, vec![5; 300]).expect("the record is short");
        journal.sync().expect("the disk has no faults");
        if journal.wants_checkpoint() {
            journal.checkpoint(&[(1, vec![6; 100])]).expect("a checkpoint fits");
            assert!(!journal.wants_checkpoint());
        }
    }
    // then
    assert_eq!(disk.list().expect("the disk has no faults").len(), 6);
}

#[test]
fn full_ring_refuses_appends_until_a_checkpoint() {
    // given
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    let mut wanted = false;
    let error = (0..1_000).find_map(|_| {
        wanted = journal.wants_checkpoint();
        journal.append(1, vec![1; 1_000]).expect("the record is short");
        journal.sync().err()
    });
    assert!(wanted, "no checkpoint was requested before the ring was full");
    assert_snapshot!(error.expect("the ring is limited"), @"journal ring is full: 11 files needed, 10 allowed");
    assert_eq!(journal.pending_count(), 1);
    // when
    journal.checkpoint(&[(2, b"all".to_vec())]).expect("a checkpoint fits");
    // then
    append_synced(&mut journal, &["next"]);
    assert_eq!(payload_texts(&open(&disk).stored), ["all", "next"]);
}

#[test]
fn records_longer_than_files_are_recovered() {
    // given
    let disk = MemoryDisk::new(1);
    let options =
        Options { file_bytes: 1 << 20, max_files: 40, max_record_bytes: 12 << 20, ..small_options() };
    let mut journal = Journal::open(disk.clone(), &options).expect("the journal opens").journal;
    let long: Vec<u8> = (0..12_u32 << 20).map(|byte| (byte / 3) as u8).collect();
    // when
    journal.append(1, b"short".to_vec()).expect("the record is short");
    journal.append(2, long.clone()).expect("the record is within the limit");
    journal.sync().expect("the disk has no faults");
    journal.checkpoint(&[(2, long.clone()), (1, b"short".to_vec())]).expect("a checkpoint fits");
    // then
    let opened = Journal::open(disk.clone(), &options).expect("the journal opens");
    assert!(opened.stored == [stored(2, &long), stored(1, b"short")]);
}

#[test]
fn old_records_of_a_recycled_file_are_not_replayed() {
    // given: all files hold old records with the same lengths as the new ones.
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    for round in 0..20 {
        let record = format!("{round:04}");
        for _ in 0..200 {
            append_synced(&mut journal, &[&record]);
        }
        // when
        journal.checkpoint(&[(1, record.into_bytes())]).expect("a checkpoint fits");
        append_synced(&mut journal, &["new0", "new1"]);
        // then
        assert_eq!(
            payload_texts(&open(&disk).stored),
            [format!("{round:04}"), "new0".to_owned(), "new1".to_owned()]
        );
    }
}
