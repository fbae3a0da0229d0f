//! Disk calls that fail, in some tests followed by a crash of the process.

mod support;

use shaletrail_storage::fault_injection::{Faults, MemoryDisk};
use shaletrail_storage::{Journal, Options, StorageError};
use support::{append_synced, open, payload_texts, small_options, stored};

#[test]
fn unreadable_disk_is_not_fresh() {
    // given
    let disk = MemoryDisk::new(1);
    append_synced(&mut open(&disk).journal, &["one"]);
    // when
    disk.set_faults(Faults { reads_fail: true, ..Faults::default() });
    // then
    let error = Journal::open(disk, &small_options()).err().expect("the disk cannot be read");
    assert!(matches!(error, StorageError::Io { operation: "read", .. }));
}

#[test]
fn opening_syncs_names_of_existing_files() {
    for seed in 0..40 {
        // given: the process crashed before it could sync the directory.
        let disk = MemoryDisk::new(seed);
        let options = Options { initial_files: 1, ..small_options() };
        disk.fail_after(1);
        let error = Journal::open(disk.clone(), &options).err().expect("the directory cannot be synced");
        assert!(matches!(error, StorageError::Io { operation: "sync", .. }));
        // when
        let mut journal = Journal::open(disk.clone(), &options).expect("the journal opens").journal;
        append_synced(&mut journal, &["one"]);
        disk.power_cycle();
        // then
        assert_eq!(payload_texts(&open(&disk).stored), ["one"]);
    }
}

#[test]
fn journal_on_a_full_disk_can_be_read() {
    // given
    let disk = MemoryDisk::new(1);
    append_synced(&mut open(&disk).journal, &["one"]);
    // when
    disk.set_faults(Faults { full: true, ..Faults::default() });
    let mut opened = open(&disk);
    // then
    assert_eq!(payload_texts(&opened.stored), ["one"]);
    opened.journal.append(1, b"two".to_vec()).expect("the record is short");
    assert!(matches!(opened.journal.sync(), Err(StorageError::Io { operation: "write", .. })));
}

#[test]
fn failed_append_is_written_once_before_the_next() {
    let mut failures = 0;
    for step in 0..12 {
        for seed in 0..6 {
            // given: a record that continues in a second file.
            let disk = MemoryDisk::new(seed * 100 + step);
            let mut journal = open(&disk).journal;
            append_synced(&mut journal, &["a"]);
            journal.append(1, vec![b'x'; 20_000]).expect("the record is within the limit");
            disk.fail_after(step);
            failures += u64::from(journal.sync().is_err());
            disk.fail_after(u64::MAX);
            // when
            append_synced(&mut journal, &["c"]);
            disk.power_cycle();
            // then
            let found = open(&disk).stored;
            let lengths: Vec<usize> = found.iter().map(|record| record.bytes.len()).collect();
            assert_eq!(lengths, [1, 20_000, 1], "after {step} calls");
            assert_eq!(found.last(), Some(&stored(1, b"c")));
        }
    }
    assert!(failures >= 24, "only {failures} appends failed");
}

#[test]
fn failed_append_is_atomic_across_a_crash() {
    for step in 0..12 {
        for seed in 0..6 {
            // given
            let disk = MemoryDisk::new(seed * 100 + step);
            let mut journal = open(&disk).journal;
            append_synced(&mut journal, &["a"]);
            journal.append(1, vec![b'x'; 20_000]).expect("the record is within the limit");
            disk.fail_after(step);
            let synced = journal.sync().is_ok();
            drop(journal);
            disk.fail_after(u64::MAX);
            // when
            let mut journal = open(&disk).journal;
            append_synced(&mut journal, &["c"]);
            disk.power_cycle();
            // then
            let lengths: Vec<usize> = open(&disk).stored.iter().map(|record| record.bytes.len()).collect();
            assert!(
                lengths == [1, 20_000, 1] || (!synced && lengths == [1, 1]),
                "{lengths:?} after {step} calls"
            );
        }
    }
}
