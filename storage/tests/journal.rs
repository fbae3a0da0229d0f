//! Opening a journal, appending, syncing and options.

mod support;

use insta::assert_snapshot;
use shaletrail_storage::fault_injection::MemoryDisk;
use shaletrail_storage::{Disk, Journal, Options};
use support::{append_synced, open, small_options, stored};

#[test]
fn empty_directory_gives_a_fresh_journal_with_files() {
    let mut disk = MemoryDisk::new(1);
    let opened = open(&disk);
    assert!(opened.fresh && !opened.had_files && opened.stored.is_empty());
    assert_eq!(disk.list().expect("the disk has no faults"), ["ring-0000", "ring-0001", "ring-0002"]);
}

#[test]
fn journal_is_fresh_until_the_first_sync() {
    // given
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    journal.append(1, b"never synced".to_vec()).expect("the record is short");
    drop(journal);
    // when
    let opened = open(&disk);
    // then
    assert!(opened.fresh && opened.had_files && opened.stored.is_empty());
}

#[test]
fn synced_records_are_recovered_in_order() {
    // given
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    append_synced(&mut journal, &["a", "b"]);
    journal.append(7, Vec::new()).expect("the record is short");
    journal.sync().expect("the disk has no faults");
    // when
    let opened = open(&disk);
    // then
    assert_eq!(opened.stored, [stored(1, b"a"), stored(1, b"b"), stored(7, b"")]);
    assert!(!opened.fresh && opened.had_files);
}

#[test]
fn journal_with_an_empty_checkpoint_is_not_fresh() {
    // given
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    journal.checkpoint(&[]).expect("the disk has no faults");
    // when
    let opened = open(&disk);
    // then
    assert!(opened.stored.is_empty() && !opened.fresh);
}

#[test]
fn too_large_record_is_refused() {
    let disk = MemoryDisk::new(1);
    let mut journal = open(&disk).journal;
    let refused = journal.append(1, vec![0; 70_000]).expect_err("the record exceeds the limit");
    assert_snapshot!(refused, @"record of 70000 bytes exceeds the limit of 65536 bytes");
    assert_eq!(journal.pending_count(), 0);
}

#[test]
fn invalid_option_is_named() {
    let options = Options { file_bytes: 100, ..small_options() };
    let refused = Journal::open(MemoryDisk::new(1), &options).err().expect("the option is invalid");
    assert_snapshot!(refused, @"invalid option file_bytes: got 100, must be at least 16384");
}

#[test]
fn wiped_disk_gives_a_fresh_journal() {
    let disk = MemoryDisk::new(1);
    append_synced(&mut open(&disk).journal, &["one"]);
    disk.wipe();
    let opened = open(&disk);
    assert!(opened.fresh && !opened.had_files);
}

#[test]
fn file_size_may_change_between_openings() {
    // given
    let disk = MemoryDisk::new(1);
    let larger = Options { file_bytes: 64 << 10, initial_files: 5, ..small_options() };
    let mut journal = Journal::open(disk.clone(), &larger).expect("the journal opens").journal;
    for _ in 0..40 {
        append_synced(&mut journal, &[&"x".repeat(900)]);
    }
    // when
    let mut journal = open(&disk).journal;
    append_synced(&mut journal, &["last"]);
    // then
    let found = open(&disk).stored;
    assert_eq!(found.len(), 41);
    assert_eq!(found.last(), Some(&stored(1, b"last")));
}

#[test]
fn options_fit_the_size_of_the_disk() {
    let files = |disk_mb| (Options::for_disk(disk_mb).initial_files, Options::for_disk(disk_mb).max_files);
    assert_eq!(files(0), (6, 20));
    assert_eq!(files(128), (6, 20));
    assert_eq!(files(64), (6, 10));
    assert_eq!(files(8), (6, 8), "the minimum number of files");
}
